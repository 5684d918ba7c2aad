"""Long values, overload, shutdown, reload and configuration of the real router, over loopback sockets."""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from saltport.downstream.clients import SWEEP_INTERVAL_S
from saltport.downstream.command_progress import COMMAND_PROGRESS_TIMEOUT_S
from tests.sockets import (
    FACTS,
    ROOT,
    TIMEOUT_S,
    Client,
    DiscoveryPeer,
    Peer,
    bulk,
    entry,
    eventually,
    get,
    hit,
    http_answer,
    put,
    reset,
    run_router,
)

LONG = bytes(range(256)) * 4096 * 2  # 2 MiB


def test_long_value_that_breaks_off_ends_visibly_incomplete(tmp_path: Path) -> None:
    def answer(connection: socket.socket, words: list[bytes]) -> bytes:
        connection.sendall(hit(LONG)[: len(LONG) // 2])
        connection.shutdown(socket.SHUT_RDWR)
        return b""

    cache = Peer(answer)
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        with contextlib.suppress(ConnectionResetError):
            assert client.ask(get("l1")).startswith(b"cut off")
        assert router.client().ask(bulk(b"PING")) == b"+PONG"


def test_long_value_waits_for_the_answers_before_it(tmp_path: Path) -> None:
    begun = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        if words[2] == b"slow":
            begun.wait(10)
            return hit(b"slow")
        begun.set()
        return hit(LONG)

    cache = Peer(answer)
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(get("slow") + get("l1", "long"))
        assert client.answer() == b"slow"
        assert client.answer() == LONG


def test_many_long_values_for_clients_that_never_read_stay_within_memory(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(LONG * 2))
    with run_router(tmp_path, {"s1": cache}) as router:
        before = router.memory_kb()
        clients = [router.client() for _ in range(15)]  # the maximum of attempts at one server
        for i, client in enumerate(clients):
            client.send(get(f"l{i}", f"k{i}"))
        eventually(lambda: len(cache.seen) == len(clients), "all attempts")
        assert router.client().ask(bulk(b"PING")) == b"+PONG"
        assert router.memory_kb() - before < 15 * 1024  # the values have 60 MiB in total
        for client in clients:
            client.close()


def test_long_commands_of_many_clients_are_read_in_turn(tmp_path: Path) -> None:
    origin = Peer(lambda _, message: http_answer(200, b"%d" % len(message[3])), True)
    limits = {"cores": 1.0, "memory_mb": 128, "sockets": 256}
    value = bytes(4 << 20)
    with run_router(tmp_path, {}, origin, limits=limits) as router:
        stuck = [router.client() for _ in range(3)]
        for i, client in enumerate(stuck):
            client.send(put(f"stuck{i}", value)[:1_000_000])
        answers: list[bytes] = []

        def write(i: int) -> None:
            client = router.client()
            answers.append(client.ask(put(f"w{i}", value, d=15_000)))
            client.close()

        writers = [threading.Thread(target=write, args=(i,)) for i in range(12)]
        for writer in writers:
            writer.start()
        for writer in writers:
            writer.join(TIMEOUT_S)
        assert answers == [b"%d" % len(value)] * 12
        assert router.memory_kb() < 128 * 1024


def test_clients_that_only_connect_leave_room_for_others_and_for_servers(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 96}
    with run_router(tmp_path, {"s1": cache}, limits=limits) as router:
        crowd = [router.client() for _ in range(150)]
        client = router.client()
        assert client.ask(get("r1")) == b"r1"
        assert router.descriptors() <= 96
        for other in crowd:
            other.close()


def test_connection_without_an_open_request_is_closed_and_one_with_it_is_not(tmp_path: Path) -> None:
    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        threading.Event().wait(3.5 if words[2] == b"slow" else 0)
        return hit(words[2])

    cache = Peer(answer)
    with run_router(tmp_path, {"s1": cache}) as router:
        begun = time.monotonic()
        silent, once, slow = router.client(), router.client(), router.client()
        slow.send(get("slow", d=15_000))
        assert once.ask(get("once")) == b"once"
        assert silent.at_end()
        assert once.at_end()
        assert time.monotonic() - begun >= 2.0
        assert slow.answer() == b"slow"
        assert slow.ask(bulk(b"PING")) == b"+PONG"  # the answer counts as use


def test_command_that_is_never_finished_gets_an_error_in_time(tmp_path: Path) -> None:
    with run_router(tmp_path, {}) as router:
        begun = time.monotonic()
        halves = [router.client() for _ in range(3)]
        for client, cut in zip(halves, (3, 30, -2), strict=True):
            client.send(get("half")[:cut])
        complete = router.client()
        for client in halves:
            assert client.answer().startswith(b"-ERR Protocol error: command not finished")
            assert client.at_end()
        took = time.monotonic() - begun
        assert took >= 2.0
        assert complete.at_end()
        assert (
            COMMAND_PROGRESS_TIMEOUT_S + SWEEP_INTERVAL_S < 3.0
        )  # the limit for clients; the time taken here depends on the machine


def test_deep_pipeline_is_answered_in_order(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        client.send(b"".join(get(f"r{i}", f"k{i}", 15_000) for i in range(600)))
        assert [client.answer() for _ in range(600)] == [b"r%d" % i for i in range(600)]


def test_connection_that_the_server_closed_meanwhile_costs_a_safe_read_nothing(tmp_path: Path) -> None:
    def answer(connection: socket.socket, words: list[bytes]) -> bytes | None:
        connection.sendall(hit(words[2]))
        reset(connection)
        return None

    first, second = Peer(answer), Peer(answer)
    with run_router(tmp_path, {"s1": first, "s2": second}) as router:
        client = router.client()
        for i in range(20):
            assert client.ask(get(f"r{i}", f"k{i}")) in (b"r%d" % i, b"-BUSY")


def _run_client(
    router_port: int, stop: threading.Event, lost: list[str], served: list[str], name: str
) -> None:
    """Run a client that follows the protocol: it reconnects if its connection is closed between requests."""
    client, i = Client(router_port), 0
    while not stop.is_set():
        i += 1
        try:
            answer = client.ask(get(f"{name}.{i}"))
        except OSError:
            answer = b""
        if not answer:
            try:
                client = Client(router_port)
            except OSError:
                return  # the router has ended, with no request of this client open
            continue
        (served if answer == f"{name}.{i}".encode() else lost).append(answer.decode())


def test_sigterm_under_load_answers_all_that_was_taken(tmp_path: Path) -> None:
    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        threading.Event().wait(0.02)
        return hit(words[2])

    cache = Peer(answer)
    with run_router(tmp_path, {"s1": cache}) as router:
        slow = router.client()
        stop, lost, served = threading.Event(), list[str](), list[str]()
        threads = [
            threading.Thread(target=_run_client, args=(router.port, stop, lost, served, f"c{i}"))
            for i in range(6)
        ]
        for thread in threads:
            thread.start()
        eventually(lambda: len(served) > 30, "load")
        slow.send(get("taken"))
        router.terminate()
        late = router.client()  # it still accepts for a while
        assert late.ask(get("late")) == b"late"
        assert slow.answer() == b"taken"
        assert router.process.wait(TIMEOUT_S) == 0
        stop.set()
        for thread in threads:
            thread.join(TIMEOUT_S)
        assert not lost
        assert slow.at_end()


def test_reload_moves_to_the_new_discovery_and_loses_nothing(tmp_path: Path) -> None:
    release = threading.Event()

    def answer(_: socket.socket, words: list[bytes]) -> bytes:
        release.wait(TIMEOUT_S)
        return hit(b"old")

    old, new = Peer(answer), Peer(lambda _, words: hit(b"new"))
    with run_router(tmp_path, {"s1": old}) as router:
        busy = router.client()
        busy.send(get("r0", d=15_000))
        eventually(lambda: old.seen, "the attempt")
        moved = DiscoveryPeer([entry(new, "s2")])
        router.reload(
            json.dumps({**router.read_configuration(), "discovery": f"127.0.0.1:{moved.peer.port}"})
        )
        eventually(lambda: len(moved.peer.seen) >= 2, "the list, and a watch at the new address")
        assert router.client().ask(get("r1")) == b"new"
        moved.change(entry(new, "s2", lifecycle="draining"), entry(old, "s3"))
        release.set()
        assert busy.answer() == b"old"
        client = router.client()
        names = (f"w{i}" for i in range(10_000))
        eventually(lambda: client.ask(get(next(names))) == b"old", "a later change from the new address")
        moved.peer.close()


@pytest.mark.parametrize("text", ["{nonsense", "{}", '{"listen":"127.0.0.1:1","discovery":"nowhere"}'])
def test_reload_of_what_cannot_be_read_leaves_the_old_configuration(tmp_path: Path, text: str) -> None:
    first, second = Peer(lambda _, words: hit(b"first")), Peer(lambda _, words: hit(b"second"))
    with run_router(tmp_path, {"s1": first}) as router:
        router.reload(text)
        assert router.client().ask(get("r0")) == b"first"
        router.discovery.change(entry(first, "s1", lifecycle="draining"), entry(second, "s2"))
        client = router.client()
        names = (f"w{i}" for i in range(10_000))
        eventually(lambda: client.ask(get(next(names))) == b"second", "the old discovery is followed")


def _bad_configs() -> Iterator[tuple[str | None, str]]:
    good: dict[str, Any] = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": FACTS}
    yield None, "LB_CONFIG"
    yield "{nonsense", "config"
    yield "[]", "expected object"
    yield json.dumps({**good, "settings": {}}), "classes"
    yield json.dumps({**good, "listen": "nowhere"}), "listen"
    yield json.dumps({**good, "limits": {"sockets": "many"}}), "sockets"
    yield json.dumps({key: value for key, value in good.items() if key != "settings"}), "settings"


@pytest.mark.parametrize(("text", "words"), list(_bad_configs()))
def test_bad_configuration_is_one_plain_line(tmp_path: Path, text: str | None, words: str) -> None:
    environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
    if text is not None:
        (tmp_path / "config.json").write_text(text)
        environ["LB_CONFIG"] = str(tmp_path / "config.json")
    result = subprocess.run(
        [sys.executable, "-m", "saltport.router"],
        cwd=ROOT,
        env=environ,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert result.returncode != 0
    assert len(result.stderr.splitlines()) == 1
    assert words in result.stderr
