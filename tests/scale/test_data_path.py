"""Small runs of the data-path measurements: every read is answered in full, and their formulas are exact."""

from __future__ import annotations

import asyncio
import math
import socket
from pathlib import Path

import numpy
import pytest

from benchmarks.scale.connections import expected_connections, fleet, overflow_share
from benchmarks.scale.connections import measure as measure_connections
from benchmarks.scale.data_path import busiest_share, fit_line, measure, share_longer_than, skew, zipf_shares
from benchmarks.scale.stand_ins import CacheServers
from benchmarks.scale.stand_ins import run_router as run_measured_router
from saltport.upstream.pool import MAX_CONNECTIONS_PER_SERVER
from saltport.wire.resp import MAX_VALUE_BYTES
from tests.sockets import MISS, Peer, bulk, get, hit, http_answer, run_router

TOO_LONG = b"v" * (MAX_VALUE_BYTES + 1)


def test_reads_of_short_and_long_values_are_answered_in_full() -> None:
    costs = asyncio.run(measure(1, [4_096, 737_000], max_requests=100))  # raises on any other reply
    assert [len(rounds) for rounds in costs.values()] == [1, 1]


def test_nothing_of_a_value_over_the_limit_is_forwarded(tmp_path: Path) -> None:
    def serve(_: socket.socket, words: list[bytes]) -> bytes:
        return MISS if words[1] == b"missing" else hit(TOO_LONG)

    cache = Peer(serve)
    origin = Peer(lambda _, message: http_answer(200, TOO_LONG), is_http=True)
    with run_router(tmp_path, {"s1": cache}, origin=origin) as router:
        client = router.client()
        for key in ("long", "missing"):  # too long at the cache server and at the origin
            answer = client.ask(get(f"id-{key}", key))
            assert answer.startswith((b"-BUSY", b"-ERR")), answer
            assert client.ask(bulk(b"PING")) == b"+PONG"  # no byte of the value was sent to the client
        assert b"/missing" in [message[1] for message in origin.seen]


def test_connections_stay_within_the_pool_s_limits() -> None:
    row = asyncio.run(measure_connections(servers=10, seconds=0.5, rate_per_s=100.0, warm_s=0.5))
    assert row.others == 0
    assert row.served > 0
    assert 1 <= row.most_at_a_server <= MAX_CONNECTIONS_PER_SERVER
    assert row.first_handshakes >= row.most_at_a_server


def test_overflow_is_erlang_s_loss_formula() -> None:
    assert [overflow_share(stage, 1.0) for stage in (0, 1, 2)] == pytest.approx([1.0, 1 / 2, 1 / 5])
    assert overflow_share(3, 2.0) == pytest.approx((8 / 6) / (1 + 2 + 2 + 8 / 6))


def test_a_busy_server_keeps_its_connections_and_an_idle_one_has_a_handshake_each_time() -> None:
    busy = expected_connections(servers=1, rate_per_s=1000.0, answer_s=0.001, idle_s=6.0)
    assert 1.0 <= busy.open <= MAX_CONNECTIONS_PER_SERVER
    idle = expected_connections(servers=1000, rate_per_s=1.0, answer_s=0.001, idle_s=6.0)
    assert idle.handshakes_per_s == pytest.approx(1.0, rel=0.01)
    assert idle.open == pytest.approx(6.0, rel=0.01)


def test_the_fleet_s_connections_add_up() -> None:
    figures = fleet(routers=1_600, servers=680, requests_per_s=950_000, answer_s=0.05, reached=680)
    assert figures["open_at_a_router"] * 1_600 == pytest.approx(figures["open_at_a_server"] * 680, rel=0.001)


def test_a_fit_finds_a_line_and_reports_deviations() -> None:
    straight = fit_line({size: 100 + 0.5 * size for size in (10, 100, 1_000, 10_000)})
    assert (straight.base, straight.slope) == pytest.approx((100, 0.5))
    assert straight.residual < 1e-9
    assert fit_line({10: 100.0, 100: 100.0, 1_000: 100.0, 10_000: 10_000.0}).residual > 0.1


@pytest.mark.parametrize("exponent", [0.8, 1.0, 1.2])
def test_zipf_shares_match_an_exact_sum(exponent: float) -> None:
    objects = 20_000
    weights = [rank**-exponent for rank in range(1, objects + 1)]
    exact = [weight / math.fsum(weights) for weight in weights[:100]]
    assert zipf_shares(exponent, objects, 100) == pytest.approx(exact, rel=1e-4)


def test_the_share_of_long_values_is_that_of_a_sample() -> None:
    sigma, mean = 1.0, 737_000.0
    sample = numpy.random.default_rng(1).lognormal(math.log(mean) - sigma**2 / 2, sigma, 200_000)
    assert share_longer_than(MAX_VALUE_BYTES, mean, sigma) == pytest.approx(
        (sample > MAX_VALUE_BYTES).mean(), rel=0.05
    )


def test_the_busiest_router_has_at_least_the_hottest_object_and_an_even_share() -> None:
    rng = numpy.random.default_rng(1)
    shares = zipf_shares(1.0, 100_000, 1_000)
    assert busiest_share(shares, 50, rng) >= max(shares[0], 1 / 50)
    assert busiest_share(shares, 1, rng) == pytest.approx(1.0)
    estimates = [skew(exponent, objects=100_000, trials=3) for exponent in (0.8, 1.0, 1.2)]
    assert sorted(estimates, key=lambda estimate: estimate.by_key_fleet) == estimates


def test_port_of_a_measured_router_stays_reserved_while_its_process_is_down(tmp_path: Path) -> None:
    """Guards against a port that is only looked up: others may take it before the router listens."""

    async def run() -> None:
        registry = await CacheServers().listen(1)
        async with run_measured_router(tmp_path, registry) as (process, address):
            process.kill()
            await process.wait()
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind(address)  # as the kernel does to assign a port to a socket

    asyncio.run(run())
