"""Memory runs short within an operation: a client's disconnect, a long value, a batch of commands."""

from __future__ import annotations

import errno
import random
import threading
import time
from pathlib import Path

import pytest

from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import (
    MISS,
    TIMEOUT_S,
    Peer,
    echo_cache,
    eventually,
    get,
    hit,
    http_answer,
    put,
    run_router,
)

MEMORY_ERRORS = (errno.ENOBUFS, errno.ENOMEM)
NAMES = [errno.errorcode[number] for number in MEMORY_ERRORS]
LONG = random.Random(11).randbytes(1 << 20)


@pytest.mark.parametrize("number", MEMORY_ERRORS, ids=NAMES)
def test_client_whose_end_can_not_be_read_has_nothing_begun_for_it(tmp_path: Path, number: int) -> None:
    """The client's end and a miss, which calls for a fetch, both wait unread in the kernel."""
    calls, may_answer = SystemCalls(tmp_path), threading.Event()
    store = Peer(lambda *_: http_answer(200, b"from the origin"), is_http=True)

    def miss_late(*_: object) -> bytes:
        may_answer.wait(TIMEOUT_S)
        return MISS

    cache = Peer(miss_late)
    with run_router(tmp_path, {"s1": cache}, store, environ=calls.environ) as router:
        client = router.client()
        client.send(get("a1"))
        eventually(lambda: cache.seen, "the server has the read")
        calls.inject(Call.READ, number)
        client.leave()
        may_answer.set()
        eventually(lambda: calls.injected(Call.READ) > 10, "reads fail")
        time.sleep(0.15)
        calls.clear(Call.READ)
        router.until("current", 0)
        assert not store.seen, "nothing is fetched for a client that has left"


@pytest.mark.parametrize("number", MEMORY_ERRORS, ids=NAMES)
def test_long_value_arrives_whole_through_buffers_that_are_full(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": Peer(lambda *_: hit(LONG))}, environ=calls.environ) as router:
        client, finished = router.client(), threading.Event()

        def fail_repeatedly() -> None:
            while not finished.wait(0.01):
                calls.inject(Call.READ, number, times=2)
                calls.inject(Call.WRITE, number, times=2)

        client.send(get("a1", d=15_000))
        time.sleep(0.3)  # until the socket buffers of both sides are full
        failing = threading.Thread(target=fail_repeatedly)
        failing.start()
        try:
            assert client.answer() == LONG
        finally:
            finished.set()
            failing.join()
        assert client.ask(get("a2", d=15_000)) == LONG


@pytest.mark.parametrize("number", MEMORY_ERRORS, ids=NAMES)
def test_long_write_arrives_whole_and_once(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    store = Peer(lambda *_: http_answer(200, b"receipt"), is_http=True)
    with run_router(tmp_path, {"s1": echo_cache()}, store, environ=calls.environ) as router:
        client = router.client()
        for index in range(8):
            client.send(put(f"w{index}", LONG, cls="once", d=15_000)[: len(LONG) // 2])
            calls.inject(Call.READ, number, times=index)
            calls.inject(Call.WRITE, number, times=index)
            client.send(put(f"w{index}", LONG, cls="once", d=15_000)[len(LONG) // 2 :])
            assert client.answer() == b"receipt"
        assert [message[3] for message in store.seen if message[0] == b"PUT"] == [LONG] * 8


@pytest.mark.parametrize("number", MEMORY_ERRORS, ids=NAMES)
def test_commands_behind_a_read_that_fails_are_answered_in_order(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache(), "s2": echo_cache()}, environ=calls.environ) as router:
        client = router.client()
        batch = b"".join(get(f"a{index}", f"k{index}", d=15_000) for index in range(60))
        for start in range(0, len(batch), 701):
            calls.inject(Call.READ, number, times=3)
            client.send(batch[start : start + 701])
            time.sleep(0.005)
        assert [client.answer() for _ in range(60)] == [b"a%d" % index for index in range(60)]
