"""Servers out by hand: the folder that keeps them, and every send after the yes counted at real sockets."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import pytest

from saltport.admin.client import ask
from saltport.lifecycle.bans import Bans, BanStore
from tests.sockets import Peer, echo_cache, entry, eventually, get, hit, run_router

IDS = ["s-1", "ü/ ä", "..", ".", "a%2Eb", "x" * 80, "a\nb"]


def test_store_gives_back_what_it_was_given(tmp_path: Path) -> None:
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


def test_what_is_no_servers_file_is_left_alone_and_no_crash(tmp_path: Path) -> None:
    store = BanStore(tmp_path / "out")
    store.add("s-1")
    for name in ("%ff", "not quoted", "half%2", ".hidden"):
        (tmp_path / "out" / name).touch()
    (tmp_path / "out" / "folder").mkdir()
    assert store.read() == {"s-1", "folder"}
    with pytest.raises(OSError, match="name too long"):
        store.add("x" * 300)


class Held:
    """A router's side of it."""

    def __init__(self) -> None:
        self.out: set[str] = set()

    def bans(self, store: BanStore | None) -> Bans:
        return Bans(store, lambda: frozenset(self.out), self.out.add, self.out.discard)


def test_two_processes_follow_one_folder_and_one_that_cant_be_read_changes_nothing(tmp_path: Path) -> None:
    old, new = Held(), Held()
    first, second = old.bans(BanStore(tmp_path / "out")), new.bans(BanStore(tmp_path / "out"))
    first.take_out("a")
    second.take_out("b")
    first.follow()
    second.follow()
    assert old.out == new.out == {"a", "b"}
    second.put_back("a")
    first.follow()
    assert old.out == {"b"}
    (tmp_path / "out" / "b").unlink()
    (tmp_path / "out").rmdir()
    (tmp_path / "out").write_text("a file where the folder was")
    first.follow()
    assert old.out == {"b"}
    with pytest.raises(OSError, match="exists"):
        first.take_out("c")
    assert old.out == {"b"}, "what can't be kept is not done"


def test_no_send_follows_the_yes_over_list_changes_and_a_restart(tmp_path: Path) -> None:
    caches = {f"s{i}": echo_cache() for i in range(3)}
    with run_router(tmp_path, caches) as router:
        over = threading.Event()
        answered: list[bytes] = []

        def load(number: int) -> None:
            client = router.client()
            count = 0
            while not over.is_set():
                name = f"r{number}x{count}"
                answer = client.ask(get(name, f"k{count % 40}"))
                answered.append(answer)
                assert answer == name.encode()
                count += 1

        clients = [threading.Thread(target=load, args=(n,)) for n in range(4)]
        for client in clients:
            client.start()
        eventually(lambda: caches["s0"].seen, "it is in use")
        assert router.ban("s0") == 200
        time.sleep(0.2)  # what was sent before the yes arrives
        before = len(caches["s0"].seen)
        entries = [entry(peer, name) for name, peer in caches.items()]
        router.discovery.change(*entries[1:])
        router.discovery.change(*entries)
        restarted = {**entries[0], "startedAtMs": int(time.time() * 1000)}
        router.discovery.change(restarted, *entries[1:])
        moved = echo_cache()
        router.discovery.change({**restarted, "hostPort": f"127.0.0.1:{moved.port}"}, *entries[1:])
        done = len(answered)
        eventually(lambda: len(answered) > done + 400, "the others serve")
        assert len(caches["s0"].seen) == before
        assert not moved.seen
        told = ask(router.admin, "/stats")
        assert (told["cluster_size"], told["cluster_unhealthy"]) == (3, 1)
        assert router.ban("s0") == 200
        assert router.ban("s0", "ready") == 200
        eventually(lambda: moved.seen, "it is used again, where it is now")
        over.set()
        for client in clients:
            client.join()
        moved.close()


def test_what_waits_for_a_server_is_answered_elsewhere_when_it_is_taken_out(tmp_path: Path) -> None:
    held = threading.Event()

    def slow(_: object, words: list[bytes]) -> bytes:
        held.wait(5)
        return hit(words[2])

    first, second = Peer(slow), echo_cache()
    with run_router(tmp_path, {"s1": first, "s2": second}) as router:
        clients = [router.client() for _ in range(24)]
        for i, client in enumerate(clients):
            client.send(get(f"w{i}", f"k{i}", d=15_000))
        eventually(lambda: first.seen, "some wait at it")
        assert router.ban("s1") == 200
        held.set()
        assert [client.answer() for client in clients] == [b"w%d" % i for i in range(24)]


def test_bans_of_a_process_that_was_killed_hold_in_the_next(tmp_path: Path) -> None:
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
