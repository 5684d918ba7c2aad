"""Answers that wait in the router for somebody stay within its memory budget.

The origin's answers tell no length, so the router has to read each one whole before it can pass it on.
"""

from __future__ import annotations

import functools
import itertools
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.memory import MemoryWatch
from tests.sockets import MISS, Peer, RunningRouter, eventually, get, hit, put, reset, run_router

LONG, SHORT = 4 << 20, 64 << 10
CHUNK = 64 << 10
MEMORY_MB = 96
DEADLINE_MS = 1200
FACTS = {
    "classes": [
        {"name": "get", "aimNs": 300_000_000, "giveUpNs": DEADLINE_MS * 1_000_000, "semantics": "retryable"}
    ]
}
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(body: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(body), body)


@functools.cache
def encoded_padding(length: int, framing: str) -> bytes:
    """Encode the part of an answer behind the key; it is the same for all, so they share it."""
    if framing != "chunked":
        return b"." * length
    whole, rest = divmod(length, CHUNK)
    return chunk(b"." * CHUNK) * whole + (chunk(b"." * rest) if rest else b"") + b"0\r\n\r\n"


def encoded(key: bytes, length: int, framing: str) -> bytes:
    """Encode an answer of this length that begins with its key."""
    head, start = (CHUNKED_HEAD, chunk(key)) if framing == "chunked" else (HEAD, key)
    return b"".join((head, start, encoded_padding(length - len(key), framing)))


def origin_without_lengths(length: int, framing: str, pause_s: float = 0.0) -> Peer:
    """Return an origin whose answers begin with their key; `pause_s` lies between the parts of an answer."""

    def answer(connection: socket.socket, message: list[bytes]) -> None:
        data = encoded(message[1][1:], length, framing)
        part = len(data) // 8 + 1 if pause_s else len(data)
        for at in range(0, len(data), part):
            connection.sendall(data[at : at + part])
            time.sleep(pause_s)
        if framing != "chunked":
            connection.shutdown(socket.SHUT_RDWR)

    return Peer(answer, is_http=True)


@contextmanager
def running(folder: Path, origin: Peer, memory_mb: int = MEMORY_MB) -> Iterator[RunningRouter]:
    cache = Peer(lambda _, words: MISS)
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    with run_router(folder, {"s1": cache}, origin, limits=limits, facts=FACTS) as router:
        yield router


def read_all(router: RunningRouter, name: str, reads: int, pause_s: float = 0.0) -> Counter[str]:
    """Send so many reads at once, wait for `pause_s`, and read their answers; return how often each came."""
    client, outcomes = router.client(), Counter[str]()
    client.send(b"".join(get(f"{name}-{i}", f"{name}/{i}", DEADLINE_MS) for i in range(reads)))
    time.sleep(pause_s)
    for i in range(reads):
        answer = client.answer()
        key = f"{name}/{i}".encode()
        served = answer.rstrip(b".") == key
        outcomes["served" if served else answer[:5].decode()] += 1
    client.close()
    return outcomes


def read_from_all(router: RunningRouter, clients: int, reads: int, **pauses: float) -> Counter[str]:
    """Let several clients read at once; return how often each answer came. `pauses`: by client."""
    outcomes: Counter[str] = Counter()
    lock = threading.Lock()

    def run(name: str) -> None:
        result = read_all(router, name, reads, pauses.get(name, 0.0))
        with lock:
            outcomes.update(result)

    threads = [threading.Thread(target=run, args=(f"c{i}",)) for i in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return outcomes


@pytest.mark.parametrize("framing", ["none", "chunked"])
@pytest.mark.parametrize("memory_mb", [32, MEMORY_MB])
def test_long_answers_without_a_length_stay_within_the_memory_limit(
    tmp_path: Path, memory_mb: int, framing: str
) -> None:
    """Guards against a router that is killed for memory: it held each such answer whole, without a bound."""
    with (
        running(tmp_path, origin_without_lengths(LONG, framing), memory_mb) as router,
        MemoryWatch(router) as watch,
    ):
        outcomes = read_from_all(router, clients=8, reads=40)
        assert outcomes.keys() <= {"served", "-BUSY"}, "each read has its value, or is refused"
        assert outcomes["served"] >= 8
        router.until("held_bytes", 0)
    assert watch.most_mb < memory_mb


def test_slow_client_does_not_keep_the_answers_of_others_from_memory(tmp_path: Path) -> None:
    """Guards against a budget that one client which does not read can hold for good."""
    with running(tmp_path, origin_without_lengths(1 << 20, "none")) as router, MemoryWatch(router) as watch:
        slow = router.client()
        slow.send(b"".join(get(f"slow-{i}", f"slow/{i}", DEADLINE_MS) for i in range(40)))
        outcomes: Counter[str] = Counter()
        for number in range(7):
            outcomes.update(read_all(router, f"fast{number}", 2))
        assert outcomes["served"] == 14, outcomes
        slow.leave()
        router.until("held_bytes", 0)
    assert watch.most_mb < MEMORY_MB


@pytest.mark.parametrize("framing", ["none", "chunked"])
def test_answers_without_a_length_that_come_whole_are_passed_on(tmp_path: Path, framing: str) -> None:
    """Guards against a budget that is so cautious that answers which fit are refused."""
    origin = origin_without_lengths(200 << 10, framing, pause_s=0.05)
    with running(tmp_path, origin, memory_mb=64) as router:
        outcomes = read_from_all(router, clients=12, reads=1)
        assert outcomes == {"served": 12}


def test_short_answers_that_clients_do_not_read_stay_within_the_memory_limit(tmp_path: Path) -> None:
    """Guards against answers that pile up behind unread ones: each is short, and there are thousands."""
    caches = {f"s{i}": Peer(lambda _, words: hit(words[1].ljust(SHORT, b"."))) for i in range(8)}
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    with run_router(tmp_path, caches, limits=limits, facts=FACTS) as router, MemoryWatch(router) as watch:
        pauses = {f"c{i}": 1.0 for i in range(20)}
        outcomes = read_from_all(router, clients=20, reads=200, **pauses)
        assert outcomes.keys() <= {"served", "-BUSY"}
        assert outcomes["served"] >= 20
        router.until("held_bytes", 0)
    assert watch.most_mb < MEMORY_MB


class HangingPeer(Peer):
    """A server that accepts connections and reads nothing."""

    def _serve(self, connection: socket.socket) -> None:
        self.ended.wait()
        connection.close()

    def __init__(self) -> None:
        self.ended = threading.Event()
        super().__init__(lambda _, message: None, is_http=True)

    def close(self) -> None:
        self.ended.set()
        super().close()


def test_values_of_ended_writes_do_not_stay_in_memory(tmp_path: Path) -> None:
    """Guards against values that are kept by objects that refer to each other, until the collector runs."""
    with running(tmp_path, HangingPeer()) as router, MemoryWatch(router) as watch:
        answers: list[bytes] = []

        def run(number: int) -> None:
            client = router.client()
            answers.append(client.ask(put(f"w{number}", b"v" * LONG, cls="get", d=600)))
            client.close()

        threads = [threading.Thread(target=run, args=(number,)) for number in range(24)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert {answer[:5] for answer in answers} == {b"-BUSY"}
        router.until("held_bytes", 0)
    assert watch.most_mb < MEMORY_MB


def suppressed_fetches(router: RunningRouter) -> int:
    """Return how many fetches the tenant's rate limit has refused so far."""
    given_up = router.status_value("given_up")
    return sum(entry["total"] for entry in given_up if entry["name"] == ["acme", "fetch suppressed"])


def is_served(router: RunningRouter, name: str) -> bool:
    """Whether a read is served; only the tenant's rate limit, low after slow fetches, may refuse it."""
    suppressed = suppressed_fetches(router)
    outcome = read_all(router, name, 1)
    assert outcome == {"served": 1} or suppressed_fetches(router) == suppressed + 1
    return outcome == {"served": 1}


def test_connection_carries_further_answers_after_one_that_had_to_wait_for_memory(tmp_path: Path) -> None:
    """Guards against a connection that is not read again, as its answer ended while it waited."""
    origin = origin_without_lengths(LONG, "chunked")
    with running(tmp_path, origin, memory_mb=32) as router:
        for attempt in range(4):
            read_from_all(router, clients=4, reads=4)
            names = (f"alone{attempt}-{number}" for number in itertools.count())
            eventually(lambda: is_served(router, next(names)), "a read alone is served")  # noqa: B023


class Moment:
    """Ends an exchange at one of its moments."""

    def __init__(self, at: str) -> None:
        self.at = at
        self.client_leaves = threading.Event()

    def answer(self, connection: socket.socket, message: list[bytes]) -> None:
        body = b"." * LONG
        if self.at == "its length lies":
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * LONG // 2) + body[:-1])
        else:
            connection.sendall(HEAD + body[: LONG // 2])
        if self.at == "the client leaves":
            self.client_leaves.set()
            time.sleep(0.1)
            connection.sendall(body[LONG // 2 :])
        if self.at == "the server resets":
            reset(connection)
        connection.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize(
    "at", ["its length lies", "the client leaves", "the server resets", "the value ends"]
)
def test_nothing_is_held_after_an_answer_that_ended_at_any_moment(tmp_path: Path, at: str) -> None:
    """Guards against a count that drifts until no answer finds room."""
    moment = Moment(at)
    with running(tmp_path, Peer(moment.answer, is_http=True)) as router:
        clients = [router.client() for _ in range(4)]
        for number, client in enumerate(clients):
            client.send(get(f"r{number}", f"k{number}", DEADLINE_MS) + get(f"b{number}", f"b{number}"))
        if at == "the client leaves":
            assert moment.client_leaves.wait(20)
        else:
            for client in clients:
                client.answer()
        for client in clients:
            client.leave()
        router.until("held_bytes", 0)
        eventually(lambda: router.status_value("current") == 0, "no request is open")
