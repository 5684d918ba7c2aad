"""What a server is told of the client's time is at most what the client has left when the bytes leave.

A stand-in knows some of what has passed: it had the request at one time, so the client had sent it by then,
and let go of it at another. Time that passes elsewhere only lowers `d`: no test rests on the speed.
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
from tests.crossings.test_moment_of_sending import HeldDials, ask, play, until
from tests.sockets import MISS, TIMEOUT_S, Peer, get, hit, http_answer, put, reset, run_router

TOTAL_MS = 10_000
HELD_S = 0.25
NS_PER_MS = 1_000_000


class Holding:
    """A peer that holds its first request, then gives `first`, or breaks the connection if None."""

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


def told_ms(info: bytes) -> int:
    """The time that a list of names and values tells."""
    (told,) = re.findall(rb"[, ]d=(\d+)(?:,|\r|$)", info)
    return int(told)


def at_most_left(told: int, passed_ns: int) -> bool:
    return 0 < told * NS_PER_MS <= TOTAL_MS * NS_PER_MS - passed_ns


def test_fetch_after_a_miss_tells_the_origin_what_is_left(tmp_path: Path) -> None:
    cache, origin = Holding(MISS, MISS), Peer(lambda _, words: http_answer(200, b"fetched"), is_http=True)
    with run_router(tmp_path, {"s1": cache.peer}, origin) as router:
        assert router.client().ask(get("r1", d=TOTAL_MS)) == b"fetched"
    assert told_ms(b"," + cache.peer.seen[0][3]) <= TOTAL_MS
    assert at_most_left(told_ms(origin.seen[0][2]), cache.held_ns)


def test_list_that_goes_on_to_the_origin_is_otherwise_as_it_came(tmp_path: Path) -> None:
    cache, origin = Peer(lambda _, words: MISS), Peer(lambda _, words: http_answer(200, b"v"), is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        assert router.client().ask(get("r1", d=TOTAL_MS, more=",r=1,h=250,ad=7")) == b"v"
        assert router.client().ask(put("w1", d=TOTAL_MS)) == b"v"
    infos = [re.findall(rb"Request-Info: (.*)\r\n", message[2])[0] for message in origin.seen]
    assert [re.sub(rb",d=\d+", b"", info) for info in infos] == [
        b"c=get,t=acme,r=1,h=250,ad=7",
        b"c=put,t=acme,k=5c",
    ]


def test_repeat_of_a_write_tells_the_origin_what_is_left(tmp_path: Path) -> None:
    holding = Holding(None, http_answer(200, b"receipt"), is_http=True)
    with run_router(tmp_path, {"s1": Peer(lambda _, words: MISS)}, holding.peer) as router:
        assert router.client().ask(put("w1", d=TOTAL_MS)) == b"receipt"
    first, second = holding.peer.seen
    assert at_most_left(told_ms(first[2]), 0)
    assert at_most_left(told_ms(second[2]), holding.held_ns)


def test_repeat_tells_the_next_cache_what_is_left(tmp_path: Path) -> None:
    holding = Holding(None, hit(b"v"))
    with run_router(tmp_path, {"s1": holding.peer}) as router:
        assert router.client().ask(get("r1", d=TOTAL_MS)) == b"v"
    first, second = holding.peer.seen
    assert at_most_left(told_ms(b"," + first[3]), 0)
    assert at_most_left(told_ms(b"," + second[3]), holding.held_ns)


def test_request_that_waited_for_a_dial_tells_what_is_left_then() -> None:
    cache = Peer(lambda _, words: hit(words[2]))

    async def scene(host: RouterHost, dials: HeldDials) -> None:
        told = ask(host, b"r1", "get", TOTAL_MS)
        asked = time.monotonic_ns()
        await until(lambda: dials.up)
        time.sleep(HELD_S)
        held = time.monotonic_ns() - asked
        dials.let_go.set()
        assert await told.answer == "r1"
        assert at_most_left(told_ms(b"," + cache.seen[0][3]), held)

    play({"s1": cache}, scene)


@pytest.mark.parametrize("ask_for", [get, put], ids=["read", "write"])
def test_request_with_nothing_left_is_refused_and_not_sent(tmp_path: Path, ask_for: Any) -> None:
    """Of one millisecond some is gone at once, and less than a whole one can't be told."""
    cache, origin = Peer(lambda _, words: MISS), Peer(lambda _, words: http_answer(200, b"v"), is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin) as router:
        client = router.client()
        assert client.ask(ask_for("r0", d=0)).startswith(b"-BUSY")
        assert client.ask(ask_for("r1", d=1)).startswith(b"-BUSY")
        assert client.ask(ask_for("r2", d=TOTAL_MS)) == b"v"
    assert b"Request-Id: r2\r\n" in origin.seen[0][2]
    assert len(origin.seen) == 1
    assert len(cache.seen) == (ask_for is get)


def test_list_that_tells_the_time_twice_is_rejected(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": cache}) as router:
        answer = router.client().ask(get("r1", d=TOTAL_MS, more=",d=99999"))
    assert answer.startswith(b"-ERR")
    assert b"twice" in answer
    assert not cache.seen


class Behind:
    """A plain exchange behind a dial that is held, and its end."""

    def __init__(self, make: Callable[[RouterHost, Callable[[Outcome], Event]], Exchange]) -> None:
        self.outcomes: list[Outcome] = []
        self.cache = Peer(lambda _, words: b"+OK\r\n")
        self._make = make

    def _told(self, outcome: Outcome) -> Event:
        self.outcomes.append(outcome)
        return InvalidationEnded("k", "s1", outcome, 0)

    def play(self) -> None:
        async def scene(host: RouterHost, dials: HeldDials) -> None:
            host._pool.submit("s1", self._make(host, self._told))
            await until(lambda: dials.up)
            time.sleep(HELD_S)
            dials.let_go.set()
            await until(lambda: self.outcomes)

        play({"s1": self.cache}, scene)


def plain_span_ns(seconds: float) -> int:
    return int(seconds * 1000) * NS_PER_MS


def test_copy_behind_a_dial_is_kept_no_longer_than_its_lease() -> None:
    def copy(host: RouterHost, told: Callable[[Outcome], Event]) -> ReplicationWrite:
        lease = Deadline(time.monotonic_ns() + TOTAL_MS * NS_PER_MS)
        return ReplicationWrite(host, b"k", b"v", lease, plain_span_ns(TIMEOUT_S), told)

    behind = Behind(copy)
    behind.play()
    assert behind.outcomes == [Outcome.OK]
    (words,) = behind.cache.seen
    assert words[:4] == [b"SET", b"k", b"v", b"PX"]
    assert at_most_left(int(words[4]), plain_span_ns(HELD_S))


@pytest.mark.parametrize("is_copy", [False, True], ids=["void", "copy"])
def test_plain_command_does_not_leave_after_its_time(is_copy: bool) -> None:
    def command(host: RouterHost, told: Callable[[Outcome], Event]) -> Exchange:
        span = plain_span_ns(HELD_S / 2)
        if is_copy:  # its lease is over, and not the time that it may take
            lease = Deadline(time.monotonic_ns() + span)
            return ReplicationWrite(host, b"k", b"v", lease, plain_span_ns(TIMEOUT_S), told)
        return Invalidation(host, b"k", span, told)

    behind = Behind(command)
    behind.play()
    assert behind.outcomes[0].never_ran
    assert not behind.cache.seen
