"""System calls fail or return short counts as Linux documents; each request is served once."""

from __future__ import annotations

import errno
import threading
import time
from pathlib import Path

import pytest

from tests.faults.system_calls import Call, SystemCalls
from tests.sockets import (
    TIMEOUT_S,
    DiscoveryPeer,
    Peer,
    configuration,
    echo_cache,
    entry,
    eventually,
    free_port,
    get,
    http_answer,
    is_ready,
    put,
    run_router,
    start_router,
)

READS = 40
VALUE = b"v" * 3_000
TRANSIENT = [
    (Call.POLL, errno.EINTR, 200),
    (Call.READ, errno.EINTR, 3),
    (Call.READ, errno.EAGAIN, 3),
    (Call.WRITE, errno.EINTR, 3),
    (Call.WRITE, errno.EAGAIN, 3),
    (Call.GETSOCKOPT, errno.ENOBUFS, 3),
    (Call.GETSOCKOPT, errno.ENOMEM, 3),
    (Call.SHUTDOWN, errno.ENOBUFS, 3),
    (Call.SHUTDOWN, errno.ENOTCONN, 3),
]
SHORTAGES = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
BROKEN = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EPIPE)


@pytest.mark.parametrize(
    ("call", "number", "times"),
    TRANSIENT,
    ids=[f"{call.name.lower()}-{errno.errorcode[number]}" for call, number, _ in TRANSIENT],
)
def test_reads_and_writes_are_served_though_calls_fail_for_a_moment(
    tmp_path: Path, call: Call, number: int, times: int
) -> None:
    calls = SystemCalls(tmp_path)
    origin = Peer(lambda *_: http_answer(200, b"receipt"), is_http=True)
    with run_router(
        tmp_path, {"s1": echo_cache(), "s2": echo_cache()}, origin, environ=calls.environ
    ) as router:
        client = router.client()
        assert client.ask(get("a0")) == b"a0"
        calls.inject(call, number, times)
        for index in range(1, READS):
            assert client.ask(get(f"a{index}", f"k{index}")) == b"a%d" % index
            if index % 10 == 0:
                assert client.ask(put(f"w{index}", cls="once")) == b"receipt"
        fresh = router.client()
        assert fresh.ask(get("b0", "k0")) == b"b0"
        unsafe = [words[2] for words in origin.seen if words[0] == b"PUT"]
        assert len(unsafe) == READS // 10 - 1, "each write runs once"


def test_writes_that_fail_for_want_of_memory_are_made_again(tmp_path: Path) -> None:
    calls = SystemCalls(tmp_path)
    with run_router(tmp_path, {"s1": echo_cache(), "s2": echo_cache()}, environ=calls.environ) as router:
        client = router.client()
        for index, number in enumerate([errno.ENOBUFS, errno.ENOMEM] * 5):
            assert client.ask(get(f"a{index}", f"k{index}")) == b"a%d" % index
            calls.inject(Call.WRITE, number, times=index)
            assert client.ask(get(f"b{index}", f"k{index}")) == b"b%d" % index
            calls.clear(Call.WRITE)


@pytest.mark.parametrize("call", [Call.READ, Call.WRITE])
@pytest.mark.parametrize("max_bytes", [1, 7, 100])
def test_short_reads_and_writes_change_nothing(tmp_path: Path, call: Call, max_bytes: int) -> None:
    calls = SystemCalls(tmp_path)
    origin = Peer(lambda _, words: http_answer(200, VALUE), is_http=True)
    with run_router(tmp_path, {"s1": echo_cache()}, origin, environ=calls.environ) as router:
        client = router.client()
        assert client.ask(get("a0")) == b"a0"
        calls.inject(call, max_bytes=max_bytes)
        client.send(b"".join(get(f"a{index}", f"k{index}") for index in range(1, READS)))
        assert [client.answer() for _ in range(1, READS)] == [b"a%d" % index for index in range(1, READS)]
        assert client.ask(put("w1", VALUE, cls="once")) == VALUE
        assert [words[3] for words in origin.seen if words[0] == b"PUT"] == [VALUE]


@pytest.mark.parametrize("number", BROKEN, ids=[errno.errorcode[number] for number in BROKEN])
@pytest.mark.parametrize("request_class", ["get", "once"])
def test_connection_that_breaks_while_the_request_is_written_did_not_run_it(
    tmp_path: Path, number: int, request_class: str
) -> None:
    calls = SystemCalls(tmp_path)
    origin = Peer(lambda *_: http_answer(200, b"receipt"), is_http=True)
    with run_router(
        tmp_path, {"s1": echo_cache(), "s2": echo_cache()}, origin, environ=calls.environ
    ) as router:
        client = router.client()
        assert client.ask(get("a0")) == b"a0"
        assert client.ask(put("w0", cls="once")) == b"receipt"
        calls.inject(Call.WRITE, number, times=1)
        if request_class == "get":
            assert client.ask(get("a1")) == b"a1"
        else:
            answer = client.ask(put("w1", cls="once"))
            assert answer == b"receipt" or answer.startswith(b"-BUSY"), "the write did not run"
            assert sum(b"w1" in words[2] for words in origin.seen) == (answer == b"receipt")
        assert calls.injected(Call.WRITE) == 1


@pytest.mark.parametrize("number", BROKEN, ids=[errno.errorcode[number] for number in BROKEN])
@pytest.mark.parametrize("request_class", ["get", "once"])
def test_connection_that_breaks_before_the_answer_may_have_run_the_request(
    tmp_path: Path, number: int, request_class: str
) -> None:
    calls, may_answer = SystemCalls(tmp_path), threading.Event()

    def serve(*_: object) -> bytes:
        may_answer.wait(TIMEOUT_S)
        return http_answer(200, b"receipt")

    slow_origin = Peer(serve, is_http=True)
    with run_router(tmp_path, {"s1": echo_cache()}, slow_origin, environ=calls.environ) as router:
        client = router.client()
        assert client.ask(get("a0")) == b"a0"
        client.send(put("w1", cls="once") if request_class == "once" else put("w1"))
        eventually(lambda: slow_origin.seen, "the origin has the write")
        calls.inject(Call.READ, number, times=1)
        may_answer.set()
        answer = client.answer()
        if request_class == "once":
            assert answer == b"-ERR failed"
            assert len(slow_origin.seen) == 1
        else:
            assert answer == b"receipt", "a keyed write is retried once"


@pytest.mark.parametrize("number", SHORTAGES, ids=[errno.errorcode[number] for number in SHORTAGES])
@pytest.mark.parametrize("call", [Call.SOCKET, Call.BIND])
def test_start_waits_out_a_shortage(tmp_path: Path, call: Call, number: int) -> None:
    calls, cache = SystemCalls(tmp_path), echo_cache()
    discovery, port = DiscoveryPeer([entry(cache, "s1")]), free_port()
    config = configuration(port, discovery) | {"admin_addr": f"127.0.0.1:{free_port()}"}
    calls.inject(call, number)
    process = start_router(tmp_path, config, environ=calls.environ)
    try:
        eventually(lambda: calls.injected(call) > 1 or process.poll() is not None, "the call was retried")
        time.sleep(0.1)
        calls.clear(call)
        eventually(lambda: is_ready(port) or process.poll() is not None, "the router is ready")
        assert process.poll() is None
    finally:
        process.terminate()
        _, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0, log


def test_start_at_an_address_that_is_taken_is_a_prompt_error(tmp_path: Path) -> None:
    cache = echo_cache()
    discovery = DiscoveryPeer([entry(cache, "s1")])
    process = start_router(tmp_path, configuration(cache.port, discovery))
    _, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 1
    assert "ddress already in use" in log
