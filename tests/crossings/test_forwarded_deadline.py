"""The remaining time that a server receives is at most what the client has left when the bytes are sent.

A stand-in measures how long it held the request, which is a lower bound of the time that has passed. Time
that passes elsewhere only lowers `d`, so no test depends on the speed of the machine.
"""

from __future__ import annotations

import re
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from saltport.deadline import Deadline
from saltport.decisions import Event, InvalidationEnded, Outcome
from saltport.router.background_requests import Invalidation, ReplicationWrite
from saltport.router.host import RouterHost
from saltport.upstream.connection import Exchange
from tests.crossings.host_scenario import DelayedDials, ask, run_scenario, until
from tests.sockets import MISS, TIMEOUT_S, Peer, get, hit, http_answer, put, reset, run_router

TOTAL_MS = 10_000
HELD_S = 0.25
NS_PER_MS = 1_000_000


class DelayingPeer:
    """A peer that delays its first request, then answers `first`, or resets the connection if it is None."""

    def __init__(self, first: bytes | None, later: bytes, is_http: bool = False) -> None:
        self._first, self._later = first, later
        self.held_ns = 0
        self.peer = Peer(self._answer, is_http)

    def _answer(self, connection: socket.socket, _: list[bytes]) -> bytes:
        if self.held_ns:
            return self._later
        came = time.monotonic_ns()
        time.sleep(HELD_S)
        self.held_ns = time.monotonic_ns() - came
        return reset(connection) if self._first is None else self._first


def remaining_ms(info: bytes) -> int:
    """Return the remaining time that a request's info states."""
    (value,) = re.findall(rb"[, ]d=(\d+)(?:,|\r|$)", info)
    return int(value)


def is_at_most_left(remaining: int, passed_ns: int) -> bool:
    return 0 < remaining * NS_PER_MS <= TOTAL_MS * NS_PER_MS - passed_ns


def test_fetch_after_a_miss_states_the_remaining_time_to_the_origin(tmp_path: Path) -> None:
    cache, origin = (
        DelayingPeer(MISS, MISS),
        Peer(lambda _, words: http_answer(200, b"fetched"), is_http=True),
    )
    with run_router(tmp_path, {"s1": cache.peer}, origin) as router:
        assert router.client().ask(get("r1", d=TOTAL_MS)) == b"fetched"
    assert remaining_ms(b"," + cache.peer.seen[0][3]) <= TOTAL_MS
    assert is_at_most_left(remaining_ms(origin.seen[0][2]), cache.held_ns)


def test_info_is_otherwise_forwarded_unchanged_to_the_origin(tmp_path: Path) -> None:
    cache, origin = Peer(lambda _, words: MISS), Peer(lambda _, words: http_answer(200, b"v"), is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        assert router.client().ask(get("r1", d=TOTAL_MS, more=",r=1,h=250,ad=7")) == b"v"
        assert router.client().ask(put("w1", d=TOTAL_MS)) == b"v"
    infos = [re.findall(rb"Request-Info: (.*)\r\n", message[2])[0] for message in origin.seen]
    assert [re.sub(rb",d=\d+", b"", info) for info in infos] == [
        b"c=get,t=acme,r=1,h=250,ad=7",
        b"c=put,t=acme,k=5c",
    ]


def test_retry_of_a_write_states_the_remaining_time_to_the_origin(tmp_path: Path) -> None:
    delaying_peer = DelayingPeer(None, http_answer(200, b"receipt"), is_http=True)
    with run_router(tmp_path, {"s1": Peer(lambda _, words: MISS)}, delaying_peer.peer) as router:
        assert router.client().ask(put("w1", d=TOTAL_MS)) == b"receipt"
    first, second = delaying_peer.peer.seen
    assert is_at_most_left(remaining_ms(first[2]), 0)
    assert is_at_most_left(remaining_ms(second[2]), delaying_peer.held_ns)


def test_retry_states_the_remaining_time_to_the_next_cache_server(tmp_path: Path) -> None:
    delaying_peer = DelayingPeer(None, hit(b"v"))
    with run_router(tmp_path, {"s1": delaying_peer.peer}) as router:
        assert router.client().ask(get("r1", d=TOTAL_MS)) == b"v"
    first, second = delaying_peer.peer.seen
    assert is_at_most_left(remaining_ms(b"," + first[3]), 0)
    assert is_at_most_left(remaining_ms(b"," + second[3]), delaying_peer.held_ns)


def test_request_that_waited_for_a_connection_states_the_remaining_time_at_sending() -> None:
    cache = Peer(lambda _, words: hit(words[2]))

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        reply = ask(host, b"r1", "get", TOTAL_MS)
        sent_at = time.monotonic_ns()
        await until(lambda: dials.established)
        time.sleep(HELD_S)
        held_ns = time.monotonic_ns() - sent_at
        dials.let_go.set()
        assert await reply.answer == "r1"
        assert is_at_most_left(remaining_ms(b"," + cache.seen[0][3]), held_ns)

    run_scenario({"s1": cache}, scenario)


@pytest.mark.parametrize("ask_for", [get, put], ids=["read", "write"])
def test_request_without_remaining_time_is_refused_and_not_sent(tmp_path: Path, ask_for: Any) -> None:
    """Part of a one-millisecond limit passes at once, and less than a millisecond cannot be stated."""
    cache, origin = Peer(lambda _, words: MISS), Peer(lambda _, words: http_answer(200, b"v"), is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        assert client.ask(ask_for("r0", d=0)).startswith(b"-BUSY")
        assert client.ask(ask_for("r1", d=1)).startswith(b"-BUSY")
        assert client.ask(ask_for("r2", d=TOTAL_MS)) == b"v"
    assert b"Request-Id: r2\r\n" in origin.seen[0][2]
    assert len(origin.seen) == 1
    assert len(cache.seen) == (ask_for is get)


def test_info_with_two_time_limits_is_rejected(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": cache}) as router:
        answer = router.client().ask(get("r1", d=TOTAL_MS, more=",d=99999"))
    assert answer.startswith(b"-ERR")
    assert b"twice" in answer
    assert not cache.seen


class DelayedExchange:
    """A plain exchange that waits for a delayed connection, and its outcomes."""

    def __init__(self, make: Callable[[RouterHost, Callable[[Outcome], Event]], Exchange]) -> None:
        self.outcomes: list[Outcome] = []
        self.cache = Peer(lambda _, words: b"+OK\r\n")
        self._make = make

    def _record(self, outcome: Outcome) -> Event:
        self.outcomes.append(outcome)
        return InvalidationEnded("k", "s1", outcome, 0)

    def run(self) -> None:
        async def scenario(host: RouterHost, dials: DelayedDials) -> None:
            host._pool.submit("s1", self._make(host, self._record))
            await until(lambda: dials.established)
            time.sleep(HELD_S)
            dials.let_go.set()
            await until(lambda: self.outcomes)

        run_scenario({"s1": self.cache}, scenario)


def to_ns(seconds: float) -> int:
    return int(seconds * 1000) * NS_PER_MS


def test_copy_that_waited_for_a_connection_expires_with_its_lease() -> None:
    def copy(host: RouterHost, ended: Callable[[Outcome], Event]) -> ReplicationWrite:
        lease = Deadline(time.monotonic_ns() + TOTAL_MS * NS_PER_MS)
        return ReplicationWrite(host, b"k", b"v", lease, to_ns(TIMEOUT_S), ended)

    exchange = DelayedExchange(copy)
    exchange.run()
    assert exchange.outcomes == [Outcome.OK]
    (words,) = exchange.cache.seen
    assert words[:4] == [b"SET", b"k", b"v", b"PX"]
    assert is_at_most_left(int(words[4]), to_ns(HELD_S))


@pytest.mark.parametrize("is_copy", [False, True], ids=["void", "copy"])
def test_plain_command_is_not_sent_after_its_time(is_copy: bool) -> None:
    def command(host: RouterHost, ended: Callable[[Outcome], Event]) -> Exchange:
        span = to_ns(HELD_S / 2)
        if is_copy:  # its lease has expired, but its time limit has not
            lease = Deadline(time.monotonic_ns() + span)
            return ReplicationWrite(host, b"k", b"v", lease, to_ns(TIMEOUT_S), ended)
        return Invalidation(host, b"k", span, ended)

    exchange = DelayedExchange(command)
    exchange.run()
    assert exchange.outcomes[0].never_ran
    assert not exchange.cache.seen
