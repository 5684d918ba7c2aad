"""accept(2) fails temporarily: no client loses a request."""

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
MAX_ATTEMPTS_PER_S = 300

TEMPORARY = (
    errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN,
    errno.ENOBUFS, errno.ENOMEM, errno.ENFILE, errno.EMFILE,
)  # fmt: skip
EXHAUSTED = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)


def names(numbers: tuple[int, ...]) -> list[str]:
    return [errno.errorcode[number] for number in numbers]


@pytest.mark.parametrize("number", TEMPORARY, ids=names(TEMPORARY))
def test_requests_on_connections_whose_accept_failed_are_served(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache()}, environ=calls.environ) as router:
        calls.inject(Call.ACCEPT, number, times=3)
        clients = [router.client() for _ in range(CLIENTS)]
        for index, client in enumerate(clients):
            client.send(get(f"a{index}"))
        assert [client.answer() for client in clients] == [b"a%d" % index for index in range(CLIENTS)]
        assert calls.injected(Call.ACCEPT) == 3


@pytest.mark.parametrize("number", EXHAUSTED, ids=names(EXHAUSTED))
def test_accepts_that_fail_for_long_are_retried_without_a_busy_loop(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache()}, environ=calls.environ) as router:
        calls.inject(Call.ACCEPT, number)
        clients = [router.client() for _ in range(CLIENTS)]
        for index, client in enumerate(clients):
            client.send(get(f"a{index}"))
        time.sleep(LONG_S)
        calls.clear(Call.ACCEPT)
        assert [client.answer() for client in clients] == [b"a%d" % index for index in range(CLIENTS)]
        assert 0 < calls.injected(Call.ACCEPT) < LONG_S * MAX_ATTEMPTS_PER_S


def test_admin_api_answers_once_accepts_work_again_without_a_busy_loop(tmp_path: Path) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache()}, environ=calls.environ) as router:
        calls.inject(Call.ACCEPT, errno.ENFILE)
        answers: list[object] = []
        caller = threading.Thread(target=lambda: answers.append(ask(router.admin, "/stats")))
        caller.start()
        time.sleep(LONG_S)
        calls.clear(Call.ACCEPT)
        caller.join()
        assert answers
        assert 0 < calls.injected(Call.ACCEPT) < LONG_S * MAX_ATTEMPTS_PER_S


def test_connections_pending_at_shutdown_are_accepted_before_the_listener_closes(tmp_path: Path) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache()}, environ=calls.environ) as router:
        calls.inject(Call.ACCEPT, errno.ENFILE)
        client = router.client()
        client.send(get("a1"))
        eventually(lambda: calls.injected(Call.ACCEPT), "an accept has failed")
        router.terminate()
        time.sleep(LONG_S)  # without pending connections the listener would be closed by now
        calls.clear(Call.ACCEPT)
        assert client.answer() == b"a1"
