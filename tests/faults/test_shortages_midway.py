"""Memory runs short in the middle of something: a client's end, a long value, a batch of commands."""

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

OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
NAMES = [errno.errorcode[number] for number in OF_MEMORY]
LONG = random.Random(11).randbytes(1 << 20)


@pytest.mark.parametrize("number", OF_MEMORY, ids=NAMES)
def test_client_whose_end_can_not_be_read_has_nothing_begun_for_it(tmp_path: Path, number: int) -> None:
    """The end and the answer that calls for another attempt lie in the kernel, and both are read at last."""
    calls, let_go = SystemCalls(tmp_path), threading.Event()
    store = Peer(lambda *_: http_answer(200, b"from the origin"), is_http=True)

    def miss_late(*_: object) -> bytes:
        let_go.wait(TIMEOUT_S)
        return MISS

    cache = Peer(miss_late)
    with run_router(tmp_path, {"s1": cache}, store, environ=calls.environ) as router:
        client = router.client()
        client.send(get("a1"))
        eventually(lambda: cache.seen, "the read is at its server")
        calls.strike(Call.READ, number)
        client.leave()
        let_go.set()
        eventually(lambda: calls.struck(Call.READ) > 10, "reads fail")
        time.sleep(0.15)
        calls.end(Call.READ)
        router.until("current", 0)
        assert not store.seen, "nothing is fetched for a client that has left"


@pytest.mark.parametrize("number", OF_MEMORY, ids=NAMES)
def test_long_value_arrives_whole_through_buffers_that_are_full(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": Peer(lambda *_: hit(LONG))}, environ=calls.environ) as router:
        client, over = router.client(), threading.Event()

        def fail_now_and_then() -> None:
            while not over.wait(0.01):
                calls.strike(Call.READ, number, times=2)
                calls.strike(Call.WRITE, number, times=2)

        client.send(get("a1", d=15_000))
        time.sleep(0.3)  # until both sides' buffers are full
        failing = threading.Thread(target=fail_now_and_then)
        failing.start()
        try:
            assert client.answer() == LONG
        finally:
            over.set()
            failing.join()
        assert client.ask(get("a2", d=15_000)) == LONG


@pytest.mark.parametrize("number", OF_MEMORY, ids=NAMES)
def test_long_write_arrives_whole_and_once(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    store = Peer(lambda *_: http_answer(200, b"receipt"), is_http=True)
    with run_router(tmp_path, {"s1": echo_cache()}, store, environ=calls.environ) as router:
        client = router.client()
        for turn in range(8):
            client.send(put(f"w{turn}", LONG, cls="once", d=15_000)[: len(LONG) // 2])
            calls.strike(Call.READ, number, times=turn)
            calls.strike(Call.WRITE, number, times=turn)
            client.send(put(f"w{turn}", LONG, cls="once", d=15_000)[len(LONG) // 2 :])
            assert client.answer() == b"receipt"
        assert [message[3] for message in store.seen if message[0] == b"PUT"] == [LONG] * 8


@pytest.mark.parametrize("number", OF_MEMORY, ids=NAMES)
def test_commands_behind_a_read_that_fails_are_answered_in_order(tmp_path: Path, number: int) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache(), "s2": echo_cache()}, environ=calls.environ) as router:
        client = router.client()
        batch = b"".join(get(f"a{turn}", f"k{turn}", d=15_000) for turn in range(60))
        for start in range(0, len(batch), 701):
            calls.strike(Call.READ, number, times=3)
            client.send(batch[start : start + 701])
            time.sleep(0.005)
        assert [client.answer() for _ in range(60)] == [b"a%d" % turn for turn in range(60)]
