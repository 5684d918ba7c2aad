"""A tenant's limit shared out by number: what many routers with a small part each admit of its fetches.

    python -m benchmarks.scale.allowance

Each of N routers gets limit / N and knows nothing of the others. Their guards (decisions/logic.py) are
played in virtual time against Poisson arrivals, beside one guard with the whole limit; every fetch is
answered well, so that no cut by the origin mixes in, unless `--outage` says so. No sockets and no clock.
"""

from __future__ import annotations

import argparse
import math
import random
import sys
from dataclasses import dataclass
from itertools import accumulate

import orjson

from benchmarks.scale.fit import fit
from saltport.decisions import Tenant
from saltport.decisions.interface import NS_PER_S
from saltport.decisions.suppression import Suppressor

WARM_S, MEASURED_S = 40.0, 120.0
SHARERS = (1, 40, 400, 1_600)
FIT_SHARERS = (25, 100, 400, 1_600)
OUTAGE_S = 5.0


@dataclass(frozen=True, slots=True)
class World:
    """One tenant, its demand, and how that falls on the routers."""

    limit_per_s: float
    demand: float
    """Of the limit."""
    sharers: int
    spread: str = "even"
    """even: each router alike; tenth: at every tenth router only; zipf: by the inverse of a router's rank."""
    outage: bool = False
    """Whether the origin fails for some seconds after the warm-up."""


@dataclass(frozen=True, slots=True)
class Played:
    """What came of it, a second, over the measured time."""

    limit_per_s: float
    part_per_s: float
    """One router's part of the limit."""
    demand_per_s: float
    admitted_per_s: float
    admitted_of_limit: float
    refused_share: float


def weights(spread: str, sharers: int) -> list[float]:
    """How the demand falls on the routers."""
    if spread == "tenth":
        return [float(number < max(sharers // 10, 1)) for number in range(sharers)]
    if spread == "zipf":
        return [1 / (number + 1) for number in range(sharers)]
    return [1.0] * sharers


def play(world: World, seed: int = 1, warm_s: float = WARM_S, measured_s: float = MEASURED_S) -> Played:
    """Play one world; the same seed gives the same arrivals at the same routers."""
    rng = random.Random(seed)
    tenant = Tenant("t", 1.0, world.limit_per_s)
    guards = [Suppressor(tenant, world.sharers, rng) for _ in range(world.sharers)]
    reached = list(accumulate(weights(world.spread, world.sharers)))
    numbers, rate = range(world.sharers), world.limit_per_s * world.demand
    now_s, asked, admitted = 0.0, 0, 0
    while (now_s := now_s + rng.expovariate(rate)) < warm_s + measured_s:
        guard = guards[rng.choices(numbers, cum_weights=reached)[0]]
        now = int(now_s * NS_PER_S)
        allowed = guard.admit(now)
        if allowed and world.outage and warm_s <= now_s < warm_s + OUTAGE_S:
            guard.cut(now, guard.call_rate(now))
        elif allowed:
            guard.rise(now)
        if now_s >= warm_s:
            asked += 1
            admitted += allowed
    per_s = admitted / measured_s
    return Played(
        world.limit_per_s,
        world.limit_per_s / world.sharers,
        round(asked / measured_s, 2),
        round(per_s, 2),
        round(per_s / world.limit_per_s, 3),
        round(1 - admitted / asked, 3),
    )


def into_empty_windows_per_s(demand_per_s: float, limit_per_s: float, sharers: int) -> float:
    """Fetches that no limit holds: those that come to a router with no other of the tenant in its window.

    For Poisson arrivals that are spread evenly; the least that is admitted, whatever the limit.
    """
    window_s = Suppressor(Tenant("t", 1.0, limit_per_s), sharers, random.Random(0)).window_s
    return demand_per_s * math.exp(-demand_per_s / sharers * window_s)


def _table(limits: list[float], demands: list[float], spreads: list[str], outage: bool) -> None:
    for limit in limits:
        for spread in spreads:
            for demand in demands:
                rows = [play(World(limit, demand, sharers, spread, outage)) for sharers in SHARERS]
                told = {"limit": limit, "spread": spread, "demand": demand, "outage": outage}
                told["admitted_of_limit"] = {
                    str(sharers): row.admitted_of_limit for sharers, row in zip(SHARERS, rows, strict=True)
                }
                told["refused_share"] = {
                    str(sharers): row.refused_share for sharers, row in zip(SHARERS, rows, strict=True)
                }
                print(orjson.dumps(told).decode(), flush=True)


def _fit(limit: float, demand_per_router: float) -> None:
    """Fetches a second over the number of sharers, each with the same demand, at one limit for all."""
    rows = [play(World(limit, demand_per_router * size / limit, size)) for size in FIT_SHARERS]
    points = [(float(size), row.admitted_per_s) for size, row in zip(FIT_SHARERS, rows, strict=True)]
    line = fit(points)
    told = {
        "limit": limit, "demand_per_router": demand_per_router, "sharers": FIT_SHARERS,
        "admitted_per_s": [row.admitted_per_s for row in rows],
        "into_empty_windows_per_s": [
            round(into_empty_windows_per_s(row.demand_per_s, limit, size), 2)
            for row, size in zip(rows, FIT_SHARERS, strict=True)
        ],
        "slope_per_s": line.slope, "base_per_s": line.baseline,
        "residual_per_s": line.largest_distance(points),
    }  # fmt: skip
    print(orjson.dumps(told).decode(), flush=True)


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limit", type=float, action="append", help="requests a second of all routers")
    parser.add_argument("--demand", type=float, action="append", help="of the limit")
    parser.add_argument("--spread", action="append", choices=["even", "tenth", "zipf"])
    parser.add_argument("--outage", action="store_true", help="the origin fails for 5 s")
    parser.add_argument("--fit", action="store_true", help="over the number of sharers, `--demand` each")
    told = parser.parse_args()
    if told.fit:
        for per_router in told.demand or [0.01, 0.05, 0.2, 1.0]:
            _fit((told.limit or [8.0])[0], per_router)
    else:
        _table(
            told.limit or [8.0, 80.0, 800.0],
            told.demand or [0.5, 1.0, 2.0],
            told.spread or ["even", "tenth", "zipf"],
            told.outage,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
