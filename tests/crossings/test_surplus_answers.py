"""A second answer that comes late must not be taken for the answer to the next request on its connection.

The servers stand in another data centre: each byte arrives ONE_WAY_S after it was sent. A server sends an
answer again some milliseconds after the first, unless another request has reached it on the connection by
then. Its kernel may hold the second answer back until the first is acknowledged. The clock is virtual
(virtual_time.py).
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from typing import cast

import pytest

from saltport.decisions import CacheStatus, Outcome
from saltport.membership.registry import Discovery
from saltport.membership.start_times import StartTimes
from saltport.messages import Request
from saltport.transport.settling import SETTLING_TIME_S
from saltport.upstream.connection import Connection, Exchange
from saltport.upstream.http import OriginConnection
from saltport.upstream.pool import MAX_CONNECTIONS_PER_SERVER, Pool
from saltport.upstream.read_values import MIN_DIFFERENT_VALUES
from saltport.upstream.resp import CacheConnection
from tests.crossings.virtual_time import run_scenario
from tests.sockets import MISS, hit, http_answer

ONE_WAY_S = 0.004
WORK_S = 0.01
ANSWER_S = WORK_S + 2 * ONE_WAY_S
SECOND_ANSWERS = [(0.001, 0.0), (0.005, 0.0), (0.015, 0.0), (0.005, 0.04), (0.005, 0.05)]
"""Delay of a second answer, and time after which a first one is acknowledged at the latest, in seconds."""
GAPS_S = [gap / 1000 for gap in range(71)]
"""From an answer to the next request: no time at all, to longer than any surplus answer is on its way."""


class DistantConnection(asyncio.Protocol):
    """A server's side of a connection from another data centre, which may send its answers twice."""

    def __init__(self, server: DistantServer) -> None:
        self._server = server
        self.surplus_answers = 0
        self._second: asyncio.TimerHandle | None = None
        self._unacknowledged_until = 0.0
        self._held_back: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        asyncio.get_running_loop().call_later(ONE_WAY_S, self._request_arrived, data)

    def _request_arrived(self, data: bytes) -> None:
        self._server.requests += 1
        self._server.running += 1
        self._server.most_running = max(self._server.most_running, self._server.running)
        self._server.requests_after_surplus_answers += bool(self.surplus_answers)
        if self._second is not None:
            self._second.cancel()
        self._acknowledged()  # the request's segment acknowledges the last answer too
        asyncio.get_running_loop().call_later(WORK_S, self._answer, self._server.answer(data))

    def _answer(self, answer: bytes) -> None:
        self._server.running -= 1
        self._send(answer)
        if self._server.second_after_s is not None:
            loop = asyncio.get_running_loop()
            self._second = loop.call_later(self._server.second_after_s, self._answer_again, answer)
            loop.call_later(self._server.acknowledged_after_s, self._acknowledged)
            self._unacknowledged_until = loop.time() + self._server.acknowledged_after_s

    def _answer_again(self, answer: bytes) -> None:
        self.surplus_answers += 1
        self._held_back.append(answer)
        if asyncio.get_running_loop().time() >= self._unacknowledged_until:
            self._acknowledged()

    def _acknowledged(self) -> None:
        """Send what the kernel has held back."""
        for answer in self._held_back:
            self._send(answer)
        self._held_back.clear()

    def _send(self, answer: bytes) -> None:
        asyncio.get_running_loop().call_later(ONE_WAY_S, self._transport.write, answer)


class DistantServer:
    """A server in another data centre.

    `second_after_s`: delay of each second answer, None for none; `acknowledged_after_s`: time after which a
    first answer is acknowledged, unless the next request arrives before.
    """

    def __init__(
        self,
        answer: Callable[[bytes], bytes],
        second_after_s: float | None,
        acknowledged_after_s: float = 0.0,
    ) -> None:
        self.answer, self.second_after_s = answer, second_after_s
        self.acknowledged_after_s = acknowledged_after_s
        self.requests = self.connections = self.requests_after_surplus_answers = 0
        self.running = self.most_running = 0

    def _accept(self) -> DistantConnection:
        self.connections += 1
        return DistantConnection(self)

    async def listen(self) -> tuple[str, int]:
        listener = await asyncio.get_running_loop().create_server(self._accept, "127.0.0.1", 0)
        return "127.0.0.1", listener.sockets[0].getsockname()[1]


class Named(Exchange):
    """A read or a write whose answer must name it."""

    def __init__(self, number: int, value: bytes | None = None, key: bytes | None = None) -> None:
        info = b"c=get,t=acme,d=60000"
        self.name = b"r%d" % number
        self.request = Request(self.name, key or b"k%d" % number, "get", "acme", 60_000, value, False, info)
        self.result: asyncio.Future[tuple[Outcome, bytes | None]] = asyncio.get_running_loop().create_future()
        self.written_at = 0.0

    def remaining_ms(self) -> int:
        return 60_000

    def request_written(self) -> None:
        self.written_at = asyncio.get_running_loop().time()

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        self.result.set_result((outcome, value))


def cache_answer(request: bytes) -> bytes:
    """Answer a read with the request's id."""
    return hit(request.split(b"\r\n")[6])


def miss_or_hit(request: bytes) -> bytes:
    """Answer a read with an odd number by a miss."""
    name = request.split(b"\r\n")[6]
    return MISS if int(name[1:]) % 2 else hit(name)


def origin_answer(request: bytes) -> bytes:
    """Answer a read or a write with the request's id."""
    return http_answer(200, request.split(b"Request-Id: ")[1].split(b"\r\n")[0])


KINDS: dict[str, tuple[Callable[[bytes], bytes], type[Connection], bytes | None]] = {
    "reads of a cache server": (cache_answer, CacheConnection, None),
    "reads of the origin": (origin_answer, OriginConnection, None),
    "writes at the origin": (origin_answer, OriginConnection, b"value"),
}


async def open_pool(server: DistantServer, connect: type[Connection]) -> Pool:
    pool = Pool(asyncio.get_running_loop(), 64, 1.0, 60.0)
    pool.list_server("s1", await server.listen(), connect)
    return pool


@pytest.mark.parametrize(("second_after_s", "acknowledged_after_s"), SECOND_ANSWERS)
@pytest.mark.parametrize("kind", KINDS)
def test_late_second_answer_is_not_served_to_the_next_request(
    kind: str, second_after_s: float, acknowledged_after_s: float
) -> None:
    """Guards against review case 1: 15 to 43 of 1,200 reads were served the value of another request."""
    answer, connect, value = KINDS[kind]

    async def scene() -> None:
        server = DistantServer(answer, second_after_s, acknowledged_after_s)
        pool = await open_pool(server, connect)
        for number, gap_s in enumerate(GAPS_S):
            exchange = Named(number, value)
            pool.submit("s1", exchange)
            outcome, served = await exchange.result
            if value is None and outcome is Outcome.ERROR:
                continue  # the copy was recognized; a read may be repeated
            assert (outcome, served) == (Outcome.OK, exchange.name), f"{gap_s} s after an answer"
            await asyncio.sleep(gap_s)
        assert server.requests == len(GAPS_S), "a request is sent once"
        if value is not None:
            assert not server.requests_after_surplus_answers, "no write crosses a second answer"
        pool.close()

    run_scenario(scene())


@pytest.mark.parametrize("same_key", [False, True])
@pytest.mark.parametrize(("second_after_s", "acknowledged_after_s"), SECOND_ANSWERS)
def test_late_second_answer_is_not_served_to_a_queued_request(
    second_after_s: float, acknowledged_after_s: float, same_key: bool
) -> None:
    """Guards against review case 1 where requests overlap and wait for the same connections."""

    async def scene() -> None:
        server = DistantServer(cache_answer, second_after_s, acknowledged_after_s)
        pool = await open_pool(server, CacheConnection)
        exchanges = [Named(number, key=b"k" if same_key else None) for number in range(200)]
        for exchange in exchanges:
            pool.submit("s1", exchange)
            await asyncio.sleep(0.003)
        results = [await exchange.result for exchange in exchanges]
        for exchange, result in zip(exchanges, results, strict=True):
            assert result == (Outcome.OK, exchange.name) or (result[0] is Outcome.ERROR and not same_key)
        assert results.count((Outcome.ERROR, None)) <= len(exchanges) / 2
        if same_key:
            assert not server.requests_after_surplus_answers
        pool.close()

    run_scenario(scene())


def test_late_second_miss_is_not_taken_for_the_next_read_s() -> None:
    """A miss names no value, so that its copy can't be recognized."""

    async def scene() -> None:
        server = DistantServer(miss_or_hit, 0.005, 0.04)
        pool = await open_pool(server, CacheConnection)
        for number in range(60):
            exchange = Named(number)
            pool.submit("s1", exchange)
            outcome, served = await exchange.result
            if outcome is not Outcome.ERROR:
                expected = (Outcome.MISS, None) if number % 2 else (Outcome.OK, exchange.name)
                assert (outcome, served) == expected
        pool.close()

    run_scenario(scene())


def test_read_of_another_key_uses_a_connection_at_once_where_values_differ() -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        server = DistantServer(cache_answer, None)
        pool = await open_pool(server, CacheConnection)
        for number in range(50):
            exchange = Named(number)
            submitted_at = loop.time()
            pool.submit("s1", exchange)
            assert await exchange.result == (Outcome.OK, exchange.name)
            if number > MIN_DIFFERENT_VALUES:
                assert exchange.written_at == submitted_at
            else:
                await asyncio.sleep(SETTLING_TIME_S)
        assert server.connections == 1
        pool.close()

    run_scenario(scene())


def test_no_read_fails_at_a_server_whose_values_are_the_same_for_all_keys() -> None:
    async def scene() -> None:
        server = DistantServer(lambda _: hit(b"the same for each key"), None)
        pool = await open_pool(server, CacheConnection)
        for number in range(100):
            exchange = Named(number)
            pool.submit("s1", exchange)
            assert await exchange.result == (Outcome.OK, b"the same for each key")
        pool.close()

    run_scenario(scene())


@pytest.mark.parametrize("kind", KINDS)
def test_request_waits_for_its_connection_to_settle_and_needs_no_other(kind: str) -> None:
    answer, connect, value = KINDS[kind]
    gaps_s = [0.0, 0.01, 0.05, SETTLING_TIME_S - 0.001, SETTLING_TIME_S, 2 * SETTLING_TIME_S]

    async def scene() -> None:
        loop = asyncio.get_running_loop()
        server = DistantServer(answer, None)
        pool = await open_pool(server, connect)
        first = Named(0, value, b"k")
        pool.submit("s1", first)
        await first.result
        for number, gap_s in enumerate(gaps_s, 1):
            await asyncio.sleep(gap_s)
            exchange = Named(number, value, b"k")
            submitted_at = loop.time()
            pool.submit("s1", exchange)
            assert await exchange.result == (Outcome.OK, exchange.name)
            settles_for_s = max(SETTLING_TIME_S - gap_s, 0.0)
            assert exchange.written_at - submitted_at == pytest.approx(settles_for_s, abs=1e-6)
        assert server.connections == 1
        pool.close()

    run_scenario(scene())


def test_requests_that_follow_one_another_have_more_connections_up_to_the_limit() -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        server = DistantServer(cache_answer, None)
        pool = await open_pool(server, CacheConnection)
        for number in range(100):
            if number == 50:
                begun_at = loop.time()
            exchange = Named(number, key=b"k")
            pool.submit("s1", exchange)
            assert await exchange.result == (Outcome.OK, exchange.name)
        assert loop.time() - begun_at == pytest.approx(50 * ANSWER_S, abs=1e-6), "none waits any more"
        assert server.connections == math.ceil((ANSWER_S + SETTLING_TIME_S) / ANSWER_S)
        pool.close()

    run_scenario(scene())


def test_requests_beyond_the_settling_connections_have_new_ones() -> None:
    async def scene() -> None:
        server = DistantServer(cache_answer, None)
        pool = await open_pool(server, CacheConnection)
        first = Named(0, key=b"k")
        pool.submit("s1", first)
        await first.result
        others = [Named(number, key=b"k") for number in (1, 2, 3)]
        for exchange in others:
            pool.submit("s1", exchange)
        results = [await exchange.result for exchange in others]
        assert results == [(Outcome.OK, exchange.name) for exchange in others]
        assert server.connections == 3
        pool.close()

    run_scenario(scene())


def test_settling_connections_let_no_more_requests_run_at_a_server() -> None:
    async def scene() -> None:
        server = DistantServer(cache_answer, None)
        pool = await open_pool(server, CacheConnection)
        exchanges = [Named(number, key=b"k") for number in range(400)]
        for exchange in exchanges[:200]:  # 1,000 a second: more connections settle than carry a request
            pool.submit("s1", exchange)
            await asyncio.sleep(0.001)
        for exchange in exchanges[:200]:
            assert await exchange.result == (Outcome.OK, exchange.name)
        assert server.connections > MAX_CONNECTIONS_PER_SERVER
        await asyncio.sleep(SETTLING_TIME_S)
        server.most_running = 0
        for exchange in exchanges[200:]:
            pool.submit("s1", exchange)
        for exchange in exchanges[200:]:
            assert await exchange.result == (Outcome.OK, exchange.name)
        assert server.most_running == MAX_CONNECTIONS_PER_SERVER
        pool.close()

    run_scenario(scene())


def test_queued_request_whose_settling_connection_closes_has_a_new_one_at_once() -> None:
    async def scene() -> None:
        loop = asyncio.get_running_loop()
        server = DistantServer(cache_answer, 0.001)
        pool = await open_pool(server, CacheConnection)
        first, second = Named(0, key=b"k"), Named(1, key=b"k")
        pool.submit("s1", first)
        await first.result
        answered_at = loop.time()
        pool.submit("s1", second)
        assert await second.result == (Outcome.OK, b"r1")
        assert second.written_at - answered_at == pytest.approx(0.001, abs=1e-6)
        assert server.connections == 2
        pool.close()

    run_scenario(scene())


def test_connection_that_settles_for_its_queue_is_not_closed_for_another_server() -> None:
    async def scene() -> None:
        near, far = DistantServer(cache_answer, None), DistantServer(cache_answer, None)
        pool = await open_pool(near, CacheConnection)
        pool.list_server("s2", await far.listen(), CacheConnection)
        pool.limit = 1
        exchanges = [Named(number, key=b"k") for number in range(20)]
        for number, exchange in enumerate(exchanges):
            pool.submit(("s1", "s2")[number % 2], exchange)
        results = [await exchange.result for exchange in exchanges]
        assert results == [(Outcome.OK, exchange.name) for exchange in exchanges]
        assert (near.connections, far.connections) == (1, 1)
        pool.close()

    run_scenario(scene())


@pytest.mark.parametrize(("second_after_s", "acknowledged_after_s"), SECOND_ANSWERS)
def test_late_second_list_is_not_taken_for_the_answer_to_the_next_call(
    second_after_s: float, acknowledged_after_s: float
) -> None:
    """Guards against the cause of review case 1 at discovery: each list would answer an earlier call."""
    body = b'{"generation":%d,"reset":true,"instances":[]}'
    generation = 0

    def answer(_: bytes) -> bytes:
        nonlocal generation
        generation += 1
        return http_answer(200, body % generation)

    async def scene() -> None:
        server = DistantServer(answer, second_after_s, acknowledged_after_s)
        generations: list[int] = []
        discovery = Discovery(
            await server.listen(),
            False,
            StartTimes(),
            lambda listing: generations.append(listing.generation),
            lambda: None,
            10.0,
            random.Random(1),
        )
        discovery.start()
        await asyncio.sleep(2.0)
        discovery.close()
        assert len(generations) > 20
        assert generations == list(range(1, len(generations) + 1)), "each list is applied once, in its order"
        assert not server.requests_after_surplus_answers

    run_scenario(scene())
