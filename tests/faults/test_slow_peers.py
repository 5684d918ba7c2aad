"""Long values and writes whose servers are slow: they come whole, or get their final answer in time."""

from __future__ import annotations

import random
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from tests.faults.crowd import FACTS, cache_of
from tests.faults.usual_clients import DEADLINE_MS, LATE_S
from tests.sockets import MISS, Client, Peer, eventually, get, hit, http_answer, put, reset, run_router

LONG = random.Random(11).randbytes(1 << 20)
SLOW_DEADLINE_MS = 349


class BreakingServer:
    """A server that resets its connection half-way through a long value, the first times."""

    def __init__(self, encode: Callable[[bytes], bytes], is_http: bool, times: int = 1) -> None:
        self.long_reads = 0
        self._times = times
        self._encode = encode
        self.peer = Peer(self._serve, is_http)

    def _serve(self, connection: socket.socket, message: list[bytes]) -> bytes:
        if b"long" not in message[1]:
            return self._encode(b"short")
        self.long_reads += 1
        answer = self._encode(LONG)
        if self.long_reads > self._times:
            return answer
        connection.sendall(answer[: len(answer) // 2])
        time.sleep(0.1)
        return reset(connection)


def encode_http(value: bytes) -> bytes:
    return http_answer(200, value)


@pytest.mark.parametrize("at", ["cache", "origin"])
def test_requests_behind_a_value_whose_server_breaks_off_are_answered(tmp_path: Path, at: str) -> None:
    """Guards against a close that loses the requests behind a value that broke off."""
    if at == "cache":
        breaking = BreakingServer(hit, is_http=False)
        cache, origin = breaking.peer, Peer(lambda *_: http_answer(200, LONG), is_http=True)
    else:
        breaking = BreakingServer(encode_http, is_http=True)
        cache, origin = Peer(lambda *_: MISS), breaking.peer
    with run_router(tmp_path, {"s1": cache}, origin, facts=FACTS) as router:
        client = router.client()
        client.send(get("a1", "long") + get("a2", "k2") + get("a3", "k3"))
        assert client.answer() == LONG
        assert [client.answer() for _ in range(2)] == [b"short", b"short"]


def test_value_that_broke_off_is_not_continued_with_another_value(tmp_path: Path) -> None:
    """Guards against a value that is put together from two different ones."""
    breaking = BreakingServer(hit, is_http=False, times=10)
    other = LONG[: len(LONG) // 4] + b"?" + LONG[len(LONG) // 4 + 1 :]
    origin = Peer(lambda *_: http_answer(200, other), is_http=True)
    with run_router(tmp_path, {"s1": breaking.peer}, origin, facts=FACTS) as router:
        client = router.client()
        client.send(get("a1", "long") + get("a2", "k2"))
        assert client.answer().startswith(b"cut off after")
        router.until("closed_unanswered", {"value_cut": 2})


def write_slowly(connection: socket.socket, answer: bytes, seconds: float, silent_s: float = 0.0) -> None:
    """Send an answer in 28 parts over so many seconds, the first after `silent_s`."""
    time.sleep(silent_s)
    size = len(answer) // 28 + 1
    for begin in range(0, len(answer), size):
        connection.sendall(answer[begin : begin + size])
        time.sleep(seconds / 28)


@pytest.mark.parametrize(("silent_s", "memory_mb"), [(0.0, 192), (0.2, 192), (0.3, 192), (0.2, 32)])
@pytest.mark.parametrize("at", ["cache", "origin"])
def test_long_value_that_is_written_slowly_comes_whole(
    tmp_path: Path, at: str, silent_s: float, memory_mb: int
) -> None:
    """Guards against a value that is cut off while its server is still writing."""

    def serve(connection: socket.socket, message: list[bytes]) -> bytes:
        if at == "origin" and message[0] == b"KV.GET":
            return MISS
        answer = http_answer(200, LONG) if at == "origin" else hit(LONG)
        write_slowly(connection, answer, 2.8, silent_s)
        return b""

    cache, origin = Peer(serve), Peer(serve, is_http=True)
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    with run_router(tmp_path, {"s1": cache}, origin, limits=limits, facts=FACTS) as router:
        client = router.client()
        client.send(get("a1", "long", SLOW_DEADLINE_MS) + get("a2", "long2", SLOW_DEADLINE_MS))
        assert client.answer() == LONG
        assert client.answer()


def test_long_value_that_is_written_slowly_comes_whole_though_the_process_is_told_to_end(
    tmp_path: Path,
) -> None:
    """Guards against an exit ahead of SIGKILL that cuts off what a server still gives."""

    def serve(connection: socket.socket, message: list[bytes]) -> bytes:
        started.set()
        write_slowly(connection, hit(LONG), 4.0)
        return b""

    started = threading.Event()
    with run_router(tmp_path, {"s1": Peer(serve)}, facts=FACTS) as router:
        client = router.client()
        client.send(get("a1", "long"))
        assert started.wait(10)
        time.sleep(0.2)
        router.terminate()
        assert client.answer() == LONG
        client.leave()
        router.process.wait(10)


class SlowReader(Peer):
    """An origin that reads so many bytes a second of each connection, and answers nothing."""

    def __init__(self, bytes_per_s: int) -> None:
        self.ended = threading.Event()
        self._bytes_per_s = bytes_per_s
        super().__init__(lambda *_: b"", is_http=True)

    def _serve(self, connection: socket.socket) -> None:
        with suppress(OSError):
            while not self.ended.wait(0.05):
                if self._bytes_per_s and not connection.recv(self._bytes_per_s // 20):
                    break
        connection.close()


@pytest.mark.parametrize(
    ("size", "memory_mb"), [(2_500_000, 192), (4 << 20, 192), (2_500_000, 32), (100_000, 32)]
)
@pytest.mark.parametrize("bytes_per_s", [0, 1 << 20])
def test_writes_get_their_answer_in_time_though_the_origin_reads_slowly(
    tmp_path: Path, size: int, memory_mb: int, bytes_per_s: int
) -> None:
    """Guards against a time that begins anew for a command that waited for memory."""
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    cache, origin = cache_of({b"u": 100}), SlowReader(bytes_per_s)
    with run_router(tmp_path, {"s1": cache}, origin, limits=limits, facts=FACTS) as router:
        took_s: list[float] = []
        answers: list[bytes] = []

        def write(number: int) -> None:
            client: Client = router.client()
            data = put(f"w{number}", b"v" * size, d=DEADLINE_MS)
            client.send(data)
            sent = time.monotonic()
            answers.append(client.answer()[:4])
            took_s.append(time.monotonic() - sent)
            client.leave()

        threads = [threading.Thread(target=write, args=(number,)) for number in range(40)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        origin.ended.set()
        late = sorted(took for took in took_s if took > DEADLINE_MS / 1000 + LATE_S)
        print(f"{max(took_s):.3f} s at most")
        assert late == []
        assert set(answers) <= {b"-BUS", b"-ERR"}
        eventually(lambda: router.status_value("held_bytes") == 0, "nothing is held")
