"""Accepting connections fails for a moment: nobody who connected loses a request by it."""

from __future__ import annotations

import errno
import threading
import time
from pathlib import Path

import pytest

from saltport.admin.client import ask
from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import echo_cache, eventually, get, run_router

CLIENTS = 8
LONG_S = 0.6
MOST_TRIES_A_SECOND = 300

MOMENTARY = (
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN,
    errno.ENOBUFS, errno.ENOMEM, errno.ENFILE, errno.EMFILE,
)  # fmt: skip
EXHAUSTED = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)


def names(numbers: tuple[int, ...]) -> list[str]:
    return [errno.errorcode[number] for number in numbers]


@pytest.mark.parametrize("number", MOMENTARY, ids=names(MOMENTARY))
def test_requests_on_connections_whose_accept_failed_are_served(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache()}, environ=calls.environ) as router:
        calls.strike(Call.ACCEPT, number, times=3)
        clients = [router.client() for _ in range(CLIENTS)]
        for turn, client in enumerate(clients):
            client.send(get(f"a{turn}"))
        assert [client.answer() for client in clients] == [b"a%d" % turn for turn in range(CLIENTS)]
        assert calls.struck(Call.ACCEPT) == 3


@pytest.mark.parametrize("number", EXHAUSTED, ids=names(EXHAUSTED))
def test_accepts_that_fail_for_long_are_tried_again_without_a_spin(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache()}, environ=calls.environ) as router:
        calls.strike(Call.ACCEPT, number)
        clients = [router.client() for _ in range(CLIENTS)]
        for turn, client in enumerate(clients):
            client.send(get(f"a{turn}"))
        time.sleep(LONG_S)
        calls.end(Call.ACCEPT)
        assert [client.answer() for client in clients] == [b"a%d" % turn for turn in range(CLIENTS)]
        assert 0 < calls.struck(Call.ACCEPT) < LONG_S * MOST_TRIES_A_SECOND


def test_operators_are_answered_once_accepts_work_again_and_none_spins(tmp_path: Path) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache()}, environ=calls.environ) as router:
        calls.strike(Call.ACCEPT, errno.ENFILE)
        told: list[object] = []
        caller = threading.Thread(target=lambda: told.append(ask(router.admin, "/stats")))
        caller.start()
        time.sleep(LONG_S)
        calls.end(Call.ACCEPT)
        caller.join()
        assert told
        assert 0 < calls.struck(Call.ACCEPT) < LONG_S * MOST_TRIES_A_SECOND


def test_connections_that_wait_at_the_end_are_taken_before_the_door_closes(tmp_path: Path) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache()}, environ=calls.environ) as router:
        calls.strike(Call.ACCEPT, errno.ENFILE)
        client = router.client()
        client.send(get("a1"))
        eventually(lambda: calls.struck(Call.ACCEPT), "an accept has failed")
        router.terminate()
        time.sleep(LONG_S)  # by then the door would be closed
        calls.end(Call.ACCEPT)
        assert client.answer() == b"a1"
