"""Simulates a tenant's limit that is divided evenly among routers, and measures the fetches they admit.

    python -m benchmarks.scale.allowance

Each of N routers gets limit / N and knows nothing of the others. Their suppressors (decisions/suppression.py)
run in virtual time with Poisson arrivals, as does one suppressor with the full limit. Every fetch succeeds,
so that the origin's failures do not reduce the rate, unless `--outage` is given. No sockets and no clock are
used.
"""

from __future__ import annotations

import argparse
import math
import random
import sys
from dataclasses import dataclass
from itertools import accumulate

import orjson

from benchmarks.scale.fit import fit_line
from saltport.decisions import Tenant
from saltport.decisions.interface import NS_PER_S
from saltport.decisions.suppression import Suppressor

WARM_UP_S, MEASURED_S = 40.0, 120.0
SHARERS = (1, 40, 400, 1_600)
FIT_SHARERS = (25, 100, 400, 1_600)
OUTAGE_S = 5.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One tenant, its demand, and the distribution of the demand over the routers."""

    limit_per_s: float
    demand: float
    """Requested rate as a multiple of the limit."""
    sharers: int
    spread: str = "even"
    """even: all routers alike; tenth: a tenth of the routers only; zipf: by the inverse rank of a router."""
    outage: bool = False
    """Whether the origin fails for 5 s after the warm-up."""


@dataclass(frozen=True, slots=True)
class SimulationResult:
    """Result of a simulation over the measured time; rates are per second."""

    limit_per_s: float
    part_per_s: float
    """One router's share of the limit."""
    demand_per_s: float
    admitted_per_s: float
    admitted_of_limit: float
    refused_share: float


def demand_weights(spread: str, sharers: int) -> list[float]:
    """Return the relative demand at each router."""
    if spread == "tenth":
        return [float(number < max(sharers // 10, 1)) for number in range(sharers)]
    if spread == "zipf":
        return [1 / (number + 1) for number in range(sharers)]
    return [1.0] * sharers


def simulate(
    scenario: Scenario, seed: int = 1, warm_s: float = WARM_UP_S, measured_s: float = MEASURED_S
) -> SimulationResult:
    """Simulate one scenario; the same seed gives the same arrivals at the same routers."""
    rng = random.Random(seed)
    tenant = Tenant("t", 1.0, scenario.limit_per_s)
    guards = [Suppressor(tenant, scenario.sharers, rng) for _ in range(scenario.sharers)]
    cumulative_weights = list(accumulate(demand_weights(scenario.spread, scenario.sharers)))
    router_numbers, rate = range(scenario.sharers), scenario.limit_per_s * scenario.demand
    now_s, request_count, admitted = 0.0, 0, 0
    while (now_s := now_s + rng.expovariate(rate)) < warm_s + measured_s:
        guard = guards[rng.choices(router_numbers, cum_weights=cumulative_weights)[0]]
        now = int(now_s * NS_PER_S)
        allowed = guard.admit(now)
        if allowed and scenario.outage and warm_s <= now_s < warm_s + OUTAGE_S:
            guard.cut(now, guard.call_rate(now))
        elif allowed:
            guard.rise(now)
        if now_s >= warm_s:
            request_count += 1
            admitted += allowed
    per_s = admitted / measured_s
    return SimulationResult(
        scenario.limit_per_s,
        scenario.limit_per_s / scenario.sharers,
        round(request_count / measured_s, 2),
        round(per_s, 2),
        round(per_s / scenario.limit_per_s, 3),
        round(1 - admitted / request_count, 3),
    )


def empty_window_admissions_per_s(demand_per_s: float, limit_per_s: float, sharers: int) -> float:
    """Return the rate of fetches that arrive while the router's window has no other fetch of the tenant.

    These are admitted whatever the limit. The arrivals are Poisson and spread evenly.
    """
    window_s = Suppressor(Tenant("t", 1.0, limit_per_s), sharers, random.Random(0)).window_s
    return demand_per_s * math.exp(-demand_per_s / sharers * window_s)


def _print_table(limits: list[float], demands: list[float], spreads: list[str], outage: bool) -> None:
    for limit in limits:
        for spread in spreads:
            for demand in demands:
                rows = [simulate(Scenario(limit, demand, sharers, spread, outage)) for sharers in SHARERS]
                summary = {"limit": limit, "spread": spread, "demand": demand, "outage": outage}
                summary["admitted_of_limit"] = {
                    str(sharers): row.admitted_of_limit for sharers, row in zip(SHARERS, rows, strict=True)
                }
                summary["refused_share"] = {
                    str(sharers): row.refused_share for sharers, row in zip(SHARERS, rows, strict=True)
                }
                print(orjson.dumps(summary).decode(), flush=True)


def _print_fit(limit: float, demand_per_router: float) -> None:
    """Print a fit of the admitted rate by the number of routers, with the same demand at each router."""
    rows = [simulate(Scenario(limit, demand_per_router * size / limit, size)) for size in FIT_SHARERS]
    points = [(float(size), row.admitted_per_s) for size, row in zip(FIT_SHARERS, rows, strict=True)]
    line = fit_line(points)
    summary = {
        "limit": limit, "demand_per_router": demand_per_router, "sharers": FIT_SHARERS,
        "admitted_per_s": [row.admitted_per_s for row in rows],
        "into_empty_windows_per_s": [
            round(empty_window_admissions_per_s(row.demand_per_s, limit, size), 2)
            for row, size in zip(rows, FIT_SHARERS, strict=True)
        ],
        "slope_per_s": line.slope, "base_per_s": line.baseline,
        "residual_per_s": line.largest_distance(points),
    }  # fmt: skip
    print(orjson.dumps(summary).decode(), flush=True)


def main() -> int:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limit", type=float, action="append", help="fetches a second over all routers")
    parser.add_argument("--demand", type=float, action="append", help="as a multiple of the limit")
    parser.add_argument("--spread", action="append", choices=["even", "tenth", "zipf"])
    parser.add_argument("--outage", action="store_true", help="the origin fails for 5 s")
    parser.add_argument(
        "--fit",
        action="store_true",
        help="fit by the number of routers, each with a demand of `--demand` a second",
    )
    arguments = parser.parse_args()
    if arguments.fit:
        for per_router in arguments.demand or [0.01, 0.05, 0.2, 1.0]:
            _print_fit((arguments.limit or [8.0])[0], per_router)
    else:
        _print_table(
            arguments.limit or [8.0, 80.0, 800.0],
            arguments.demand or [0.5, 1.0, 2.0],
            arguments.spread or ["even", "tenth", "zipf"],
            arguments.outage,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
