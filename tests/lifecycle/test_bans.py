"""Operators' bans of servers: their store, and that no request goes to a server once its ban is confirmed."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest

from saltport.admin.client import ask
from saltport.lifecycle.bans import Bans, BanStore
from tests.sockets import Peer, echo_cache, entry, eventually, get, hit, run_router

IDS = ["s-1", "ü/ ä", "..", ".", "a%2Eb", "x" * 80, "a\nb"]


def test_store_returns_the_servers_that_were_added(tmp_path: Path) -> None:
    store = BanStore(tmp_path / "out")
    assert store.read() == set()
    for server in IDS:
        store.add(server)
        store.add(server)
    assert BanStore(tmp_path / "out").read() == set(IDS)
    for server in IDS[1:]:
        store.remove(server)
        store.remove(server)
    assert store.read() == {IDS[0]}


def test_files_that_name_no_server_are_ignored(tmp_path: Path) -> None:
    store = BanStore(tmp_path / "out")
    store.add("s-1")
    for name in ("%ff", "not quoted", "half%2", ".hidden"):
        (tmp_path / "out" / name).touch()
    (tmp_path / "out" / "folder").mkdir()
    assert store.read() == {"s-1", "folder"}
    with pytest.raises(OSError, match="name too long"):
        store.add("x" * 300)


class FakeRouter:
    """The bans in force in one router process."""

    def __init__(self) -> None:
        self.banned: set[str] = set()

    def bans(self, store: BanStore | None) -> Bans:
        return Bans(store, lambda: frozenset(self.banned), self.banned.add, self.banned.discard)


def test_processes_sync_through_one_folder_and_an_unreadable_folder_changes_nothing(tmp_path: Path) -> None:
    old, new = FakeRouter(), FakeRouter()
    first, second = old.bans(BanStore(tmp_path / "out")), new.bans(BanStore(tmp_path / "out"))
    first.ban("a")
    second.ban("b")
    first.sync()
    second.sync()
    assert old.banned == new.banned == {"a", "b"}
    second.unban("a")
    first.sync()
    assert old.banned == {"b"}
    (tmp_path / "out" / "b").unlink()
    (tmp_path / "out").rmdir()
    (tmp_path / "out").write_text("a file where the folder was")
    first.sync()
    assert old.banned == {"b"}
    with pytest.raises(OSError, match="exists"):
        first.ban("c")
    assert old.banned == {"b"}, "a ban that cannot be stored is not applied"


def test_no_request_follows_a_confirmed_ban_despite_list_changes_and_a_restart(tmp_path: Path) -> None:
    caches = {f"s{i}": echo_cache() for i in range(3)}
    with run_router(tmp_path, caches) as router:
        stop = threading.Event()
        answered: list[bytes] = []

        def load(number: int) -> None:
            client = router.client()
            count = 0
            while not stop.is_set():
                name = f"r{number}x{count}"
                answer = client.ask(get(name, f"k{count % 40}"))
                answered.append(answer)
                assert answer == name.encode()
                count += 1

        clients = [threading.Thread(target=load, args=(n,)) for n in range(4)]
        for client in clients:
            client.start()
        eventually(lambda: caches["s0"].seen, "the server is in use")
        assert router.ban("s0") == 200
        time.sleep(0.2)  # requests sent before the confirmation arrive
        before = len(caches["s0"].seen)
        entries = [entry(peer, name) for name, peer in caches.items()]
        router.discovery.change(*entries[1:])
        router.discovery.change(*entries)
        restarted = {**entries[0], "startedAtMs": int(time.time() * 1000)}
        router.discovery.change(restarted, *entries[1:])
        moved = echo_cache()
        router.discovery.change({**restarted, "hostPort": f"127.0.0.1:{moved.port}"}, *entries[1:])
        done = len(answered)
        eventually(lambda: len(answered) > done + 400, "the other servers answer")
        assert len(caches["s0"].seen) == before
        assert not moved.seen
        stats = ask(router.admin, "/stats")
        assert (stats["cluster_size"], stats["cluster_unhealthy"]) == (3, 1)
        assert router.ban("s0") == 200
        assert router.ban("s0", "ready") == 200
        eventually(lambda: moved.seen, "the server is used again at its new address")
        stop.set()
        for client in clients:
            client.join()
        moved.close()


def test_requests_waiting_for_a_server_are_answered_elsewhere_when_it_is_banned(tmp_path: Path) -> None:
    release = threading.Event()

    def slow(_: object, words: list[bytes]) -> bytes:
        release.wait(5)
        return hit(words[2])

    first, second = Peer(slow), echo_cache()
    with run_router(tmp_path, {"s1": first, "s2": second}) as router:
        clients = [router.client() for _ in range(24)]
        for i, client in enumerate(clients):
            client.send(get(f"w{i}", f"k{i}", d=15_000))
        eventually(lambda: first.seen, "some requests wait at the server")
        assert router.ban("s1") == 200
        release.set()
        assert [client.answer() for client in clients] == [b"w%d" % i for i in range(24)]


def test_bans_of_a_killed_process_apply_in_the_next_one(tmp_path: Path) -> None:
    first, second = echo_cache(), echo_cache()
    store = BanStore(tmp_path / "saltport.out")
    store.add("s1")
    with run_router(tmp_path, {"s1": first, "s2": second}, known=[entry(first, "s1")]) as router:
        client = router.client()
        for i in range(40):
            assert client.ask(get(f"r{i}", f"k{i}")) == b"r%d" % i
        assert not first.seen
        assert router.ban("s1", "ready") == 200
        assert store.read() == set()
