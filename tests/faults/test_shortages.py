"""This machine temporarily lacks memory for a call on a connection; no client or server may notice.

Guards against a fault of uvloop: its streams end a connection at any error but EAGAIN, and libuv aborts where
it can't watch a descriptor. One to three `read` calls with ENOBUFS or ENOMEM closed as many of eight clients
without an answer; a failed `write` to a cache server moved the read to the origin; a failed `setsockopt`
closed a new connection; a failed `epoll_ctl` ended the process (status -6) with every request in it. The
failed reads showed only as ECONNRESET at the client, with no entry in the access log, as the connection ended
below the router's own code. The end of the process showed as:

    python: src/unix/linux.c:1427: uv__io_poll: Assertion `errno == EEXIST' failed.
    Fatal Python error: Aborted
      File ".../uvloop/__init__.py", line 92 in run

Where io_uring is allowed, libuv makes its epoll_ctl calls through it and none of them fails; so the library
in system_calls.c refuses io_uring, as the platform does.
"""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import Client, Peer, RunningRouter, echo_cache, get, http_answer, put, run_router

CLIENTS = 8
MEMORY_ERRORS = (errno.ENOBUFS, errno.ENOMEM)
EPOLL_ERRORS = (errno.ENOMEM, errno.ENOSPC)
CASES = [
    *[(call, number) for call in (Call.READ, Call.WRITE, Call.SETSOCKOPT) for number in MEMORY_ERRORS],
    *[(Call.EPOLL_CTL, number) for number in EPOLL_ERRORS],
]


def names(cases: list[tuple[Call, int]]) -> list[str]:
    return [f"{call.name.lower()}-{errno.errorcode[number]}" for call, number in cases]


def origin() -> Peer:
    return Peer(lambda *_: http_answer(200, b"from the origin"), is_http=True)


def ask_at_once(clients: list[Client], name: str) -> None:
    """Send one read per client before any answer is read, and check that each gets its own answer."""
    for index, client in enumerate(clients):
        client.send(get(f"{name}{index}", f"k{index}"))
    assert [client.answer() for client in clients] == [
        b"%b%d" % (name.encode(), index) for index in range(CLIENTS)
    ]


def check_no_read_at_origin(router: RunningRouter, store: Peer) -> None:
    assert not store.seen, "no read went to the origin"
    assert router.status_value("cluster_unhealthy") == 0, "no server is marked unhealthy"


@pytest.mark.parametrize("times", [1, 3])
@pytest.mark.parametrize(("call", "number"), CASES, ids=names(CASES))
def test_reads_on_used_connections_are_served_once(
    tmp_path: Path, call: Call, number: int, times: int
) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    with run_router(
        tmp_path, {"s1": echo_cache(), "s2": echo_cache()}, store, environ=calls.environ
    ) as router:
        clients = [router.client() for _ in range(CLIENTS)]
        ask_at_once(clients, "a")
        calls.inject(call, number, times=times)
        ask_at_once(clients, "b")
        calls.clear(call)
        ask_at_once(clients, "c")
        check_no_read_at_origin(router, store)


@pytest.mark.parametrize("times", [1, 3])
@pytest.mark.parametrize(("call", "number"), CASES, ids=names(CASES))
def test_reads_on_new_connections_are_served_once(
    tmp_path: Path, call: Call, number: int, times: int
) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    with run_router(
        tmp_path, {"s1": echo_cache(), "s2": echo_cache()}, store, environ=calls.environ
    ) as router:
        calls.inject(call, number, times=times)
        ask_at_once([router.client() for _ in range(CLIENTS)], "a")
        calls.clear(call)
        check_no_read_at_origin(router, store)


@pytest.mark.parametrize(("call", "number"), CASES, ids=names(CASES))
def test_unsafe_writes_run_once_and_are_answered(tmp_path: Path, call: Call, number: int) -> None:
    calls = SystemCalls(tmp_path)
    store = Peer(lambda *_: http_answer(200, b"receipt"), is_http=True)
    with run_router(tmp_path, {"s1": echo_cache()}, store, environ=calls.environ) as router:
        client = router.client()
        assert client.ask(put("w0", cls="once")) == b"receipt"
        for index in range(1, 6):
            calls.inject(call, number, times=index)
            assert client.ask(put(f"w{index}", cls="once")) == b"receipt"
        calls.clear(call)
        assert sum(message[0] == b"PUT" for message in store.seen) == 6
