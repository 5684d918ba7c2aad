"""A small run with sixteen times the cache servers: connections made stay within the documented bound."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from benchmarks.scale.connections import Row
from benchmarks.scale.sixteen import BOUNDS, measure_both

SERVERS, REQUESTS_PER_S = 4, 90.0


def test_connections_made_stay_within_the_documented_bound() -> None:
    usual, large = asyncio.run(
        measure_both(SERVERS, REQUESTS_PER_S, sockets=1_024, warm_s=1.5, measured_s=2.5)
    )
    assert large.servers == 16 * SERVERS
    verdicts = {bound.name: bound.holds(usual, large) for bound in BOUNDS}
    assert verdicts["connections made"], (usual, large)
    assert verdicts["share served"], (usual, large)


def test_each_bound_is_reported_broken_just_beyond_it() -> None:
    usual, large = asyncio.run(measure_both(1, 20.0, sockets=256, warm_s=0.2, measured_s=0.3))
    rows_beyond_bound: dict[str, Row] = {
        "CPU seconds, with the start": replace(large, cpu_s=2 * usual.cpu_s + 1),
        "peak memory, KB": replace(large, peak_memory_kb=2 * usual.peak_memory_kb + (9 << 10)),
        "descriptors": replace(large, descriptors=2 * usual.descriptors + 41),
        "connections made": replace(large, first_handshakes=10_000),
        "share served": replace(large, others=large.served),
    }
    assert {bound.name for bound in BOUNDS if not bound.holds(usual, rows_beyond_bound[bound.name])} == set(
        rows_beyond_bound
    )
    assert all(bound.holds(usual, replace(usual, servers=16)) for bound in BOUNDS)
