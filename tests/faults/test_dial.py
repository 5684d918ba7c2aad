"""Dials fail for lack of local resources: no server is marked unhealthy, and the origin is spared."""

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
LOCAL_FAILURES = [(Call.SOCKET, number) for number in SHORTAGES] + [
    (Call.CONNECT, number) for number in REFUSALS
]
NAMES = [f"{call.name.lower()}-{errno.errorcode[number]}" for call, number in LOCAL_FAILURES]
LONG_S = 1.2


def origin() -> Peer:
    return Peer(lambda _, message: http_answer(200, b"from the origin"), is_http=True)


@pytest.mark.parametrize(("call", "number"), LOCAL_FAILURES, ids=NAMES)
def test_a_few_failures_move_no_read_to_the_origin(tmp_path: Path, call: Call, number: int) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    caches = {f"s{index}": echo_cache() for index in range(4)}
    with run_router(tmp_path, caches, store, environ=calls.environ) as router:
        calls.inject(call, number, times=3)
        client = router.client()
        client.send(b"".join(get(f"a{index}", f"k{index}") for index in range(READS)))
        assert [client.answer() for _ in range(READS)] == [b"a%d" % index for index in range(READS)]
        assert calls.injected(call) == 3
        assert not store.seen


@pytest.mark.parametrize(("call", "number"), LOCAL_FAILURES, ids=NAMES)
def test_reads_wait_for_a_connection_as_long_as_their_time_allows(
    tmp_path: Path, call: Call, number: int
) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    caches = {f"s{index}": echo_cache() for index in range(4)}
    with run_router(tmp_path, caches, store, environ=calls.environ) as router:
        calls.inject(call, number)
        client = router.client()
        client.send(b"".join(get(f"a{index}", f"k{index}") for index in range(READS)))
        time.sleep(LONG_S)
        failed = calls.injected(call)
        calls.clear(call)
        assert [client.answer() for _ in range(READS)] == [b"a%d" % index for index in range(READS)]
        assert not store.seen
        assert 0 < failed < LONG_S * len(caches) * 60, "dials are retried with pauses, not in a busy loop"
        assert router.status_value("cluster_unhealthy") == 0


def test_reads_whose_time_ends_meanwhile_are_refused_and_all_is_served_right_after(tmp_path: Path) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    caches = {f"s{index}": echo_cache() for index in range(4)}
    with run_router(tmp_path, caches, store, environ=calls.environ) as router:
        calls.inject(Call.SOCKET, errno.ENFILE)
        client = router.client()
        started_at = time.monotonic()
        client.send(b"".join(get(f"a{index}", f"k{index}", d=400) for index in range(READS)))
        answers = [client.answer() for _ in range(READS)]
        assert all(answer.startswith(b"-BUSY") for answer in answers), "no request was sent"
        assert 0.3 < time.monotonic() - started_at < 3
        calls.clear(Call.SOCKET)
        client.send(b"".join(get(f"b{index}", f"k{index}") for index in range(READS)))
        assert [client.answer() for _ in range(READS)] == [b"b%d" % index for index in range(READS)]
        assert not store.seen


def test_a_server_that_drains_meanwhile_gets_nothing(tmp_path: Path) -> None:
    calls, store, draining = SystemCalls(tmp_path), origin(), echo_cache()
    with run_router(tmp_path, {"s1": draining}, store, environ=calls.environ) as router:
        calls.inject(Call.SOCKET, errno.ENFILE)
        client = router.client()
        client.send(get("a1"))
        eventually(lambda: calls.injected(Call.SOCKET), "a dial has failed")
        before = len(draining.seen)
        router.discovery.change(entry(draining, "s1", lifecycle="draining"))
        router.until("generation", 2)
        calls.clear(Call.SOCKET)
        client.answer()
        assert len(draining.seen) == before


def test_fetch_from_the_origin_after_a_miss_waits_as_well(tmp_path: Path) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    with run_router(tmp_path, {"s1": Peer(lambda *_: MISS)}, store, environ=calls.environ) as router:
        client = router.client()
        assert client.ask(get("a0")) == b"from the origin"
        time.sleep(0.1)
        calls.inject(Call.SOCKET, errno.ENOBUFS, times=2)
        answers = []
        others = [router.client() for _ in range(4)]
        for index, other in enumerate(others):
            other.send(get(f"b{index}", f"other{index}"))
        answers = [other.answer() for other in others]
        assert answers == [b"from the origin"] * 4


@contextmanager
def unresponsive_origin() -> Iterator[Peer]:
    """An origin whose kernel accepts no connection: its backlog is full, and no process accepts."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    pending = []
    for _ in range(4):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        pending.append(sock)
    unresponsive = Peer(lambda *_: None, is_http=True)
    unresponsive.port = listener.getsockname()[1]
    try:
        yield unresponsive
    finally:
        for sock in (*pending, listener):
            sock.close()


@pytest.mark.parametrize("request_class", ["once", "put"])
def test_write_whose_dial_never_came_up_never_ran(tmp_path: Path, request_class: str) -> None:
    with (
        unresponsive_origin() as unresponsive,
        run_router(tmp_path, {"s1": echo_cache()}, unresponsive) as router,
    ):
        client = router.client()
        answer = client.ask(put("w1", cls=request_class, d=300))
        assert answer.startswith(b"-BUSY"), "refused, so the client may retry"
