"""Measures the router's CPU time per read by the length of the value, and derives figures for a fleet.

    python -m benchmarks.scale.data_path --rounds 5
    python -m benchmarks.scale.data_path --paced        at constant rates: 594 a second is a router's peak
    python -m benchmarks.scale.data_path --skew         load of the busiest router, by the way clients choose

CPU is the user and system time of the router's process, from /proc. Figures are medians over rounds; each
round covers all lengths, as the speed of a shared machine varies. The load average is reported with them.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import math
import pstats
import re
import statistics
import sys
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy
import orjson
import uvloop

from benchmarks.relay import CLOCK_TICKS_PER_S, cpu_s
from benchmarks.scale.stand_ins import Load, load_average, memory_kb, run_cache_servers, run_router
from saltport.wire.resp import MAX_VALUE_BYTES

MIB = 1 << 20
MAX_PROFILE_ROWS = 24
SHORT_VALUES_BYTES = (1_024, 4_096, 16_384, 65_536)  # buffered, and forwarded in one piece
LONG_VALUES_BYTES = (131_072, 262_144, 737_000, 2_097_152, 4_194_304)  # forwarded while they arrive
SERVER_COUNT, CONNECTION_COUNT, KEY_COUNT = 8, 16, 512
TARGET_BYTES, MAX_REQUESTS, MIN_REQUESTS = 2_000 * MIB, 12_000, 400

FLEET_ROUTERS, FLEET_SITES, ROUTER_PEAK_PER_S = 1_600, 81, 594.0
FLEET_REQUESTS_PER_S, FLEET_BYTES_PER_S = 950_000, 5.6e12 / 8
OBJECT_COUNT = 320_000_000
TOP_OBJECTS = 1_000_000
"""The most popular objects, each assigned to a router of its own; the rest are spread evenly."""


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line fitted to measured points; `residual` is its largest relative error."""

    base: float
    slope: float
    residual: float
    """Largest relative distance of a point from the line, as a share of the point's value."""


def fit_line(points: dict[int, float]) -> Line:
    """Return the least-squares line, weighted by inverse values so that small values count as well."""
    sizes, values = numpy.array(list(points)), numpy.array(list(points.values()))
    slope, base = numpy.polyfit(sizes, values, 1, w=1 / values)
    residual = numpy.max(numpy.abs(base + slope * sizes - values) / values)
    return Line(float(base), float(slope), float(residual))


def _keys(size: int, count: int = KEY_COUNT) -> Iterator[bytes]:
    """Return an endless cycle of `count` keys whose values have `size` bytes each."""
    return itertools.cycle([b"%d-%d" % (size, number) for number in range(count)])


def _distinct_keys() -> Iterator[bytes]:
    """Return an endless sequence of different keys whose values have 4,096 bytes each."""
    return (b"4096-%d" % number for number in itertools.count())


async def _measure_cpu_us(process: int, load: Load, size: int, max_requests: int) -> float:
    """Return the router's CPU time for one read, in microseconds."""
    requests = min(max(TARGET_BYTES // size, MIN_REQUESTS), max_requests)
    load.keys = _keys(size)
    await load.run_closed_loop(requests // 10, CONNECTION_COUNT)
    load.reset()
    cpu_before_s = cpu_s(process)
    await load.run_closed_loop(requests, CONNECTION_COUNT)
    if load.others:
        raise RuntimeError(f"values of {size} bytes: {dict(load.others)}")
    return (cpu_s(process) - cpu_before_s) * 1e6 / load.served


async def measure(
    rounds: int, sizes: Sequence[int], max_requests: int = MAX_REQUESTS
) -> dict[int, list[float]]:
    """Return the CPU microseconds for a read in each round, by the length of the value.

    A round sends at most `max_requests` requests for each length.
    """
    costs: dict[int, list[float]] = {size: [] for size in sizes}
    with tempfile.TemporaryDirectory(prefix="saltport-data-path-") as folder:
        async with (
            run_cache_servers(SERVER_COUNT) as registry,
            run_router(Path(folder), registry) as (process, address),
        ):
            load = Load(address, _keys(sizes[0]))
            for _ in range(rounds):
                for size in sizes:
                    costs[size].append(await _measure_cpu_us(process.pid, load, size, max_requests))
    return costs


def kernel_s(pid: int) -> float:
    """Return the system CPU seconds of a process."""
    return int(Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[12]) / CLOCK_TICKS_PER_S


def minor_faults(pid: int) -> int:
    """Return the number of minor page faults of a process."""
    return int(Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[7])


async def profile_functions(size: int, requests: int) -> list[dict[str, Any]]:
    """Return the router's Python functions by their own time, for values of one length, slowest first.

    A profile overstates small functions, and does not include the time that uvloop spends outside Python.
    """
    with tempfile.TemporaryDirectory(prefix="saltport-data-path-") as folder:
        profile_path = Path(folder) / "profile"
        async with (
            run_cache_servers(SERVER_COUNT) as registry,
            run_router(Path(folder), registry, profile=profile_path) as (_, address),
        ):
            load = Load(address, _keys(size))
            await load.run_closed_loop(requests, CONNECTION_COUNT)
        functions = pstats.Stats(str(profile_path)).stats  # type: ignore[attr-defined]
    rows = [
        {
            "function": f"{Path(location[0]).name}:{location[2]}",
            "calls": round(figures[1] / requests, 2), "own_us": round(figures[2] * 1e6 / requests, 2),
        }
        for location, figures in functions.items()
    ]  # fmt: skip
    return sorted(rows, key=lambda row: -row["own_us"])[:MAX_PROFILE_ROWS]


async def oversize(servers: int, per_s: float, over_per_s: float, seconds: float) -> dict[str, Any]:
    """Measure reads of an object over the router's value limit beside ordinary reads."""
    with tempfile.TemporaryDirectory(prefix="saltport-data-path-") as folder:
        log = Path(folder) / "log"
        async with (
            run_cache_servers(servers) as registry,
            run_router(Path(folder), registry, log=log) as (process, address),
        ):
            ordinary_load, oversize_load = (
                Load(address, _distinct_keys()),
                Load(address, _keys(MAX_VALUE_BYTES + 1, 1)),
            )
            await ordinary_load.run_at_rate(per_s, 2.0)
            ordinary_load.reset()
            cpu_before_s = cpu_s(process.pid)
            await asyncio.gather(
                ordinary_load.run_at_rate(per_s, seconds), oversize_load.run_at_rate(over_per_s, seconds)
            )
            await asyncio.sleep(1.0)
            cpu_used_s = cpu_s(process.pid) - cpu_before_s
        ejected = re.findall(r"(n\d+): ejected for", log.read_text())
    return {
        "servers": servers, "ordinary_per_s": per_s, "over_per_s": over_per_s, "seconds": seconds,
        "ordinary_served": ordinary_load.served, "ordinary_others": dict(ordinary_load.others),
        "over_served": oversize_load.served, "over_others": dict(oversize_load.others),
        "ejections": len(ejected), "servers_ejected": len(set(ejected)),
        "cores": round(cpu_used_s / seconds, 3), "load_average": load_average(),
    }  # fmt: skip


async def paced(
    size: int, per_s: float, seconds: float, environ: dict[str, str] | None = None
) -> dict[str, Any]:
    """Measure the share of a core that reads at a constant rate take."""
    with tempfile.TemporaryDirectory(prefix="saltport-data-path-") as folder:
        async with (
            run_cache_servers(SERVER_COUNT) as registry,
            run_router(Path(folder), registry, environ=environ) as (process, address),
        ):
            load = Load(address, _keys(size))
            idle_memory_kb = memory_kb(process.pid)
            await load.run_at_rate(per_s, 1.0)
            load.reset()
            cpu_before_s, started_at = cpu_s(process.pid), asyncio.get_running_loop().time()
            kernel_cpu_s, faults_before = kernel_s(process.pid), minor_faults(process.pid)
            await load.run_at_rate(per_s, seconds)
            elapsed_s = asyncio.get_running_loop().time() - started_at
            cpu_used_s, kernel_cpu_s = cpu_s(process.pid) - cpu_before_s, kernel_s(process.pid) - kernel_cpu_s
            percentiles = statistics.quantiles(load.latencies_s, n=100)
            return {
                "size": size,
                "asked_per_s": per_s,
                "served_per_s": round(load.served / elapsed_s, 1),
                "others": dict(load.others),
                "mib_per_s": round(load.bytes / elapsed_s / MIB, 1),
                "cores": round(cpu_used_s / elapsed_s, 3),
                "kernel_share": round(kernel_cpu_s / cpu_used_s, 2),
                "faults": round((minor_faults(process.pid) - faults_before) / load.served, 1),
                "cpu_us": round(cpu_used_s * 1e6 / load.served),
                "cpu_ms_per_mib": round(cpu_used_s * 1000 * MIB / load.bytes, 3),
                "p50_ms": round(percentiles[49] * 1000, 2),
                "p99_ms": round(percentiles[98] * 1000, 2),
                "rest_kb": idle_memory_kb,
                "after_kb": memory_kb(process.pid),
                "load_average": load_average(),
            }


@dataclass(frozen=True, slots=True)
class Skew:
    """Requests a second at the busiest router, where each key is assigned to one router."""

    exponent: float
    hottest_share: float
    """Share of all requests that is for the most popular object."""
    by_key_fleet: float
    """Keys are assigned among all routers."""
    by_key_site: float
    """Keys are assigned among the routers of a site."""
    random_pick: float
    """Each request goes to a random router of the fleet: the mean plus four standard deviations."""


def zipf_shares(exponent: float, objects: int, first: int) -> numpy.ndarray:
    """Return the Zipf shares of the `first` of `objects` objects; the rest of the sum is an integral."""
    ranks = numpy.arange(1, min(first, objects) + 1, dtype=numpy.float64)
    weights = ranks**-exponent
    low, high = len(ranks) + 0.5, objects + 0.5
    if exponent == 1.0:
        remainder = numpy.log(high / low)
    else:
        remainder = (high ** (1 - exponent) - low ** (1 - exponent)) / (1 - exponent)
    return numpy.asarray(weights / (weights.sum() + remainder))


def busiest_share(shares: numpy.ndarray, routers: int, rng: numpy.random.Generator) -> float:
    """Return the largest share of a router: each listed object is at a random one, the rest spread evenly."""
    loads = numpy.bincount(rng.integers(0, routers, len(shares)), weights=shares, minlength=routers)
    return float(loads.max() + (1 - shares.sum()) / routers)


def skew(exponent: float, objects: int = OBJECT_COUNT, trials: int = 20, seed: int = 1) -> Skew:
    """Estimate the load of the busiest router of the fleet and of one site, as medians over trials."""
    rng = numpy.random.default_rng(seed)
    shares = zipf_shares(exponent, objects, TOP_OBJECTS)
    site = round(FLEET_ROUTERS / FLEET_SITES)
    fleet_share = statistics.median(busiest_share(shares, FLEET_ROUTERS, rng) for _ in range(trials))
    site_share = statistics.median(busiest_share(shares, site, rng) for _ in range(trials))
    mean = FLEET_REQUESTS_PER_S / FLEET_ROUTERS
    return Skew(
        exponent,
        float(shares[0]),
        fleet_share * FLEET_REQUESTS_PER_S,
        site_share * FLEET_REQUESTS_PER_S / FLEET_SITES,
        mean + 4 * mean**0.5,
    )


def share_longer_than(limit: float, mean: float, sigma: float) -> float:
    """Return the share of values longer than a limit, for log-normal lengths with this mean."""
    return 0.5 * math.erfc((math.log(limit / mean) + sigma**2 / 2) / (sigma * 2**0.5))


def report(costs: dict[int, list[float]]) -> dict[str, object]:
    """Return the medians, the figures of all rounds, and the lines through short and long values."""
    medians = {size: statistics.median(rounds) for size, rounds in costs.items()}
    lines = {}
    for name, sizes in (("short", SHORT_VALUES_BYTES), ("long", LONG_VALUES_BYTES)):
        if all(size in medians for size in sizes):
            lines[name] = asdict(fit_line({size: medians[size] for size in sizes}))
    return {
        "cpu_us": {str(size): round(value, 1) for size, value in medians.items()},
        "cpu_ms_per_mib": {str(size): round(v * MIB / size / 1000, 3) for size, v in medians.items()},
        "rounds": {str(size): [round(value) for value in rounds] for size, rounds in costs.items()},
        "lines_us": lines,
        "load_average": load_average(),
    }


def measure_rates(
    rates: Sequence[float], size: int, seconds: float, rounds: int, environ: dict[str, str]
) -> None:
    """Print a row for each rate and round, and a line fit of the median CPU cores by rate."""
    cores: dict[float, list[float]] = {rate: [] for rate in rates}
    for _ in range(rounds):
        for rate in rates:
            row = uvloop.run(paced(size, rate, seconds, environ))
            print(orjson.dumps(row).decode(), flush=True)
            cores[rate].append(row["cores"])
    medians = {round(rate): statistics.median(rounds) for rate, rounds in cores.items()}
    summary: dict[str, Any] = {"size": size, "cores": {str(rate): share for rate, share in medians.items()}}
    if len(medians) > 2:
        summary["line"] = asdict(fit_line(medians))
    print(orjson.dumps(summary).decode())


def main() -> int:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--paced", action="store_true")
    parser.add_argument("--skew", action="store_true")
    parser.add_argument(
        "--oversize", action="store_true", help="reads of an object over 4 MiB beside other reads"
    )
    parser.add_argument("--profile", action="store_true", help="the slowest functions at --size")
    parser.add_argument("--size", type=int, default=737_000)
    parser.add_argument("--per-s", type=float, action="append")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--environ", action="append", default=[], help="NAME=VALUE for the router only")
    arguments = parser.parse_args()
    environ = dict(pair.split("=", 1) for pair in arguments.environ)
    if arguments.skew:
        for exponent in (0.8, 1.0, 1.2):
            print(orjson.dumps(asdict(skew(exponent))).decode())
        for sigma in (0.5, 1.0, 1.5, 2.0):
            share = share_longer_than(MAX_VALUE_BYTES, FLEET_BYTES_PER_S / FLEET_REQUESTS_PER_S, sigma)
            print(orjson.dumps({"sigma": sigma, "share_over_4_mib": share}).decode())
    elif arguments.oversize:
        for over_per_s in (0.0, 1.0, 5.0, 20.0):
            row = uvloop.run(oversize(160, ROUTER_PEAK_PER_S, over_per_s, arguments.seconds))
            print(orjson.dumps(row).decode(), flush=True)
    elif arguments.profile:
        for row in uvloop.run(profile_functions(arguments.size, 2_000)):
            print(orjson.dumps(row).decode())
    elif arguments.paced:
        measure_rates(
            arguments.per_s or [ROUTER_PEAK_PER_S],
            arguments.size,
            arguments.seconds,
            arguments.rounds,
            environ,
        )
    else:
        costs = uvloop.run(measure(arguments.rounds, SHORT_VALUES_BYTES + LONG_VALUES_BYTES))
        print(orjson.dumps(report(costs), option=orjson.OPT_INDENT_2).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
