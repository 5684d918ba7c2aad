"""This machine can't make connections for a while: no server is held to account, and the origin is spared."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import MISS, Peer, echo_cache, entry, eventually, get, http_answer, put, run_router

READS = 8
SHORTAGES = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
REFUSALS = (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.ENOBUFS)
OWN = [(Call.SOCKET, number) for number in SHORTAGES] + [(Call.CONNECT, number) for number in REFUSALS]
NAMES = [f"{call.name.lower()}-{errno.errorcode[number]}" for call, number in OWN]
LONG_S = 1.2


def origin() -> Peer:
    return Peer(lambda _, message: http_answer(200, b"from the origin"), is_http=True)


@pytest.mark.parametrize(("call", "number"), OWN, ids=NAMES)
def test_a_few_failures_move_no_read_to_the_origin(tmp_path: Path, call: Call, number: int) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    caches = {f"s{turn}": echo_cache() for turn in range(4)}
    with run_router(tmp_path, caches, store, environ=calls.environ) as router:
        calls.strike(call, number, times=3)
        client = router.client()
        client.send(b"".join(get(f"a{turn}", f"k{turn}") for turn in range(READS)))
        assert [client.answer() for _ in range(READS)] == [b"a%d" % turn for turn in range(READS)]
        assert calls.struck(call) == 3
        assert not store.seen


@pytest.mark.parametrize(("call", "number"), OWN, ids=NAMES)
def test_reads_wait_for_a_connection_as_long_as_their_time_allows(
    tmp_path: Path, call: Call, number: int
) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    caches = {f"s{turn}": echo_cache() for turn in range(4)}
    with run_router(tmp_path, caches, store, environ=calls.environ) as router:
        calls.strike(call, number)
        client = router.client()
        client.send(b"".join(get(f"a{turn}", f"k{turn}") for turn in range(READS)))
        time.sleep(LONG_S)
        failed = calls.struck(call)
        calls.end(call)
        assert [client.answer() for _ in range(READS)] == [b"a%d" % turn for turn in range(READS)]
        assert not store.seen
        assert 0 < failed < LONG_S * len(caches) * 60, "dialed again now and then, without a spin"
        assert router.status_value("cluster_unhealthy") == 0


def test_reads_whose_time_ends_meanwhile_are_refused_and_all_is_served_right_after(tmp_path: Path) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    caches = {f"s{turn}": echo_cache() for turn in range(4)}
    with run_router(tmp_path, caches, store, environ=calls.environ) as router:
        calls.strike(Call.SOCKET, errno.ENFILE)
        client = router.client()
        begun = time.monotonic()
        client.send(b"".join(get(f"a{turn}", f"k{turn}", d=400) for turn in range(READS)))
        answers = [client.answer() for _ in range(READS)]
        assert all(answer.startswith(b"-BUSY") for answer in answers), "none of them ever left"
        assert 0.3 < time.monotonic() - begun < 3
        calls.end(Call.SOCKET)
        client.send(b"".join(get(f"b{turn}", f"k{turn}") for turn in range(READS)))
        assert [client.answer() for _ in range(READS)] == [b"b%d" % turn for turn in range(READS)]
        assert not store.seen


def test_a_server_that_drains_meanwhile_gets_nothing(tmp_path: Path) -> None:
    calls, store, gone = SystemCalls(tmp_path), origin(), echo_cache()
    with run_router(tmp_path, {"s1": gone}, store, environ=calls.environ) as router:
        calls.strike(Call.SOCKET, errno.ENFILE)
        client = router.client()
        client.send(get("a1"))
        eventually(lambda: calls.struck(Call.SOCKET), "a dial has failed")
        before = len(gone.seen)
        router.discovery.change(entry(gone, "s1", lifecycle="draining"))
        router.until("generation", 2)
        calls.end(Call.SOCKET)
        client.answer()
        assert len(gone.seen) == before


def test_what_a_miss_needs_of_the_origin_waits_as_well(tmp_path: Path) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    with run_router(tmp_path, {"s1": Peer(lambda *_: MISS)}, store, environ=calls.environ) as router:
        client = router.client()
        assert client.ask(get("a0")) == b"from the origin"
        time.sleep(0.1)
        calls.strike(Call.SOCKET, errno.ENOBUFS, times=2)
        answers = []
        others = [router.client() for _ in range(4)]
        for turn, other in enumerate(others):
            other.send(get(f"b{turn}", f"other{turn}"))
        answers = [other.answer() for other in others]
        assert answers == [b"from the origin"] * 4


@contextmanager
def deaf_origin() -> Iterator[Peer]:
    """An origin whose kernel answers no more connections: its queue of one is full, and nobody accepts."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    waiting = []
    for _ in range(4):
        end = socket.socket()
        end.setblocking(False)
        end.connect_ex(listener.getsockname())
        waiting.append(end)
    deaf = Peer(lambda *_: None, is_http=True)
    deaf.port = listener.getsockname()[1]
    try:
        yield deaf
    finally:
        for end in (*waiting, listener):
            end.close()


@pytest.mark.parametrize("request_class", ["once", "put"])
def test_write_whose_dial_never_came_up_never_ran(tmp_path: Path, request_class: str) -> None:
    with deaf_origin() as deaf, run_router(tmp_path, {"s1": echo_cache()}, deaf) as router:
        client = router.client()
        answer = client.ask(put("w1", cls=request_class, d=300))
        assert answer.startswith(b"-BUSY"), "refused: trying again is harmless"
