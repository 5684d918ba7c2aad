"""Nothing is sent to servers for a client that has left, even if the router was delayed in noticing it."""

from __future__ import annotations

import errno
import os
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import (
    MISS,
    TIMEOUT_S,
    Peer,
    RunningRouter,
    echo_cache,
    eventually,
    get,
    http_answer,
    put,
    run_router,
)

GONE_S = 0.25  # well above the 0.1 s in which an attempt may still start


@contextmanager
def stopped(router: RunningRouter) -> Iterator[None]:
    """Stop the router's process (SIGSTOP) within the block."""
    os.kill(router.process.pid, signal.SIGSTOP)
    try:
        yield
    finally:
        os.kill(router.process.pid, signal.SIGCONT)


def test_miss_that_is_read_behind_its_clients_end_is_not_fetched(tmp_path: Path) -> None:
    may_answer = threading.Event()

    def miss(*_: object) -> bytes:
        may_answer.wait(TIMEOUT_S)
        return MISS

    cache, origin = Peer(miss), Peer(lambda *_: http_answer(200, b"value"), is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        may_answer.set()
        assert router.client().ask(get("a0")) == b"value", "connections are established"
        may_answer.clear()
        client = router.client()
        client.send(get("a1"))
        eventually(lambda: len(cache.seen) == 2, "the cache has the read")
        with stopped(router):
            may_answer.set()
            time.sleep(GONE_S / 2)  # the miss arrives before the client's end
            client.close()
            time.sleep(GONE_S)
        assert router.client().ask(get("a2")) == b"value", "the router has read both events"
        assert [words for words in origin.seen if b"a1" in words[2]] == []


@pytest.mark.parametrize("kind", ["read", "write"])
def test_request_and_end_that_are_read_together_late_are_not_sent(tmp_path: Path, kind: str) -> None:
    cache, origin = echo_cache(), Peer(lambda *_: http_answer(200, b"value"), is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        assert client.ask(get("a0")) == b"a0"
        assert client.ask(put("b0")) == b"value"
        with stopped(router):
            client.send(get("a1") if kind == "read" else put("a1"))
            client.close()
            time.sleep(GONE_S)
        assert router.client().ask(get("a2")) == b"a2"
        assert [words for words in cache.seen if words[2] == b"a1"] == []
        assert [words for words in origin.seen if b"a1" in words[2]] == []


def test_request_of_a_client_that_left_before_it_was_accepted_is_not_sent(tmp_path: Path) -> None:
    calls, cache = SystemCalls(tmp_path), echo_cache()
    with run_router(tmp_path, {"s1": cache}, environ=calls.environ) as router:
        assert router.client().ask(get("a0")) == b"a0"
        calls.inject(Call.ACCEPT, errno.ENFILE)
        client = router.client()
        client.send(get("a1"))
        client.close()
        time.sleep(GONE_S)
        calls.clear(Call.ACCEPT)
        assert router.client().ask(get("a2")) == b"a2"
        assert [words for words in cache.seen if words[2] == b"a1"] == []


def test_request_that_waits_for_a_dial_is_not_sent_for_a_client_that_left_meanwhile(tmp_path: Path) -> None:
    calls, cache = SystemCalls(tmp_path), echo_cache()
    with run_router(tmp_path, {"s1": cache}, environ=calls.environ) as router:
        calls.inject(Call.SOCKET, errno.ENFILE)
        client = router.client()
        client.send(get("a1"))
        eventually(lambda: calls.injected(Call.SOCKET), "a dial has failed")
        with stopped(router):
            client.close()
            calls.clear(Call.SOCKET)
            time.sleep(GONE_S)
        assert router.client().ask(get("a2")) == b"a2"
        assert [words for words in cache.seen if words[2] == b"a1"] == []
