"""For a moment this machine has no memory for a call on a connection: nobody but the caller of it may notice.

What happened: with one to three `read` calls that failed with ENOBUFS or ENOMEM as many of eight clients
were closed without an answer; each `write` to a cache server that failed so moved a read to the origin; one
`setsockopt` on a new connection closed it; and one `epoll_ctl` ended the whole process, with every request
in it. Why: uvloop's streams end a connection at any error but EAGAIN, and libuv's poll aborts where it
can't watch a descriptor. What showed it: for the read, the client's ECONNRESET, and an access log that
holds not one entry of its request, though its bytes had been acknowledged: the connection ended below the
router's own code. For epoll_ctl, status -6 and the last lines of the process:

    python: src/unix/linux.c:1427: uv__io_poll: Assertion `errno == EEXIST' failed.
    Fatal Python error: Aborted
      File ".../uvloop/__init__.py", line 92 in run

Where io_uring is allowed, libuv sends its epoll_ctl calls through that, and none of them fails: so the
library in system_calls.c refuses it, as the platform does.
"""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import Client, Peer, RunningRouter, echo_cache, get, http_answer, put, run_router

CLIENTS = 8
OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
OF_WATCHES = (errno.ENOMEM, errno.ENOSPC)
CASES = [
    *[(call, number) for call in (Call.READ, Call.WRITE, Call.SETSOCKOPT) for number in OF_MEMORY],
    *[(Call.EPOLL_CTL, number) for number in OF_WATCHES],
]


def names(cases: list[tuple[Call, int]]) -> list[str]:
    return [f"{call.name.lower()}-{errno.errorcode[number]}" for call, number in cases]


def origin() -> Peer:
    return Peer(lambda *_: http_answer(200, b"from the origin"), is_http=True)


def ask_at_once(clients: list[Client], name: str) -> None:
    """One read each, all on their way before the first answer is read; each has its own answer."""
    for turn, client in enumerate(clients):
        client.send(get(f"{name}{turn}", f"k{turn}"))
    assert [client.answer() for client in clients] == [
        b"%b%d" % (name.encode(), turn) for turn in range(CLIENTS)
    ]


def nothing_was_moved(router: RunningRouter, store: Peer) -> None:
    assert not store.seen, "no read went to the origin"
    assert router.status_value("cluster_unhealthy") == 0, "no server is held to account"


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
        calls.strike(call, number, times=times)
        ask_at_once(clients, "b")
        calls.end(call)
        ask_at_once(clients, "c")
        nothing_was_moved(router, store)


@pytest.mark.parametrize("times", [1, 3])
@pytest.mark.parametrize(("call", "number"), CASES, ids=names(CASES))
def test_reads_on_new_connections_are_served_once(
    tmp_path: Path, call: Call, number: int, times: int
) -> None:
    calls, store = SystemCalls(tmp_path), origin()
    with run_router(
        tmp_path, {"s1": echo_cache(), "s2": echo_cache()}, store, environ=calls.environ
    ) as router:
        calls.strike(call, number, times=times)
        ask_at_once([router.client() for _ in range(CLIENTS)], "a")
        calls.end(call)
        nothing_was_moved(router, store)


@pytest.mark.parametrize(("call", "number"), CASES, ids=names(CASES))
def test_unsafe_writes_run_once_and_are_answered(tmp_path: Path, call: Call, number: int) -> None:
    calls = SystemCalls(tmp_path)
    store = Peer(lambda *_: http_answer(200, b"receipt"), is_http=True)
    with run_router(tmp_path, {"s1": echo_cache()}, store, environ=calls.environ) as router:
        client = router.client()
        assert client.ask(put("w0", cls="once")) == b"receipt"
        for turn in range(1, 6):
            calls.strike(call, number, times=turn)
            assert client.ask(put(f"w{turn}", cls="once")) == b"receipt"
        calls.end(call)
        assert sum(message[0] == b"PUT" for message in store.seen) == 6
