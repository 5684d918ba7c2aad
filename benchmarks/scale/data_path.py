"""What a read costs the router's processor, by the length of its value, and what follows for a fleet.

    python -m benchmarks.scale.data_path --rounds 5
    python -m benchmarks.scale.data_path --paced        at constant rates: 594 a second is a router's peak
    python -m benchmarks.scale.data_path --skew         the busiest router, by how clients pick theirs

CPU is that of the router's process alone, user and system, from /proc; medians of the rounds, which go
through all lengths in turn, as a shared machine is slower now and faster then. The load average is stated.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
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

from benchmarks.relay import cpu_s
from benchmarks.scale.stand_ins import Load, machine_load, memory_kb, router, servers_apart

MIB = 1 << 20
SHORT = (1_024, 4_096, 16_384, 65_536)  # gathered, and passed on whole
LONG = (131_072, 262_144, 737_000, 2_097_152, 4_194_304)  # passed on as they come
SERVERS, CONNECTIONS, KEYS = 8, 16, 512
CPU_AIM_BYTES, MOST_REQUESTS, LEAST_REQUESTS = 2_000 * MIB, 12_000, 400

ROUTERS, SITES, RATE_PER_S = 1_600, 81, 594.0
REQUESTS_PER_S, BYTES_PER_S = 950_000, 5.6e12 / 8
OBJECTS = 320_000_000
SINGLED_OUT = 1_000_000
"""Of the objects the most asked for are dealt to routers one by one, the rest evenly."""


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points, and the largest distance of a point from it."""

    base: float
    slope: float
    residual: float
    """Of the largest relative distance."""


def fit(points: dict[int, float]) -> Line:
    """The least-squares line, each point weighted by its inverse, so that short values count as well."""
    sizes, values = numpy.array(list(points)), numpy.array(list(points.values()))
    slope, base = numpy.polyfit(sizes, values, 1, w=1 / values)
    residual = numpy.max(numpy.abs(base + slope * sizes - values) / values)
    return Line(float(base), float(slope), float(residual))


def _keys(size: int) -> Iterator[bytes]:
    return itertools.cycle([b"%d-%d" % (size, number) for number in range(KEYS)])


async def _cost_us(process: int, load: Load, size: int, most: int) -> float:
    """CPU of the router for one read, in microseconds."""
    requests = min(max(CPU_AIM_BYTES // size, LEAST_REQUESTS), most)
    load.keys = _keys(size)
    await load.closed_loop(requests // 10, CONNECTIONS)
    load.forget()
    before = cpu_s(process)
    await load.closed_loop(requests, CONNECTIONS)
    if load.others:
        raise RuntimeError(f"values of {size} bytes: {dict(load.others)}")
    return (cpu_s(process) - before) * 1e6 / load.served


async def measure(rounds: int, sizes: Sequence[int], most: int = MOST_REQUESTS) -> dict[int, list[float]]:
    """CPU in microseconds for a read, a figure for each round of at most so many, by the value's length."""
    costs: dict[int, list[float]] = {size: [] for size in sizes}
    with tempfile.TemporaryDirectory(prefix="saltport-data-path-") as folder:
        async with servers_apart(SERVERS) as registry, router(Path(folder), registry) as (process, address):
            load = Load(address, _keys(sizes[0]))
            for _ in range(rounds):
                for size in sizes:
                    costs[size].append(await _cost_us(process.pid, load, size, most))
    return costs


async def paced(size: int, per_s: float, seconds: float) -> dict[str, Any]:
    """A constant rate of reads: the part of a core that they take."""
    with tempfile.TemporaryDirectory(prefix="saltport-data-path-") as folder:
        async with servers_apart(SERVERS) as registry, router(Path(folder), registry) as (process, address):
            load = Load(address, _keys(size))
            rest = memory_kb(process.pid)
            await load.paced(per_s, 1.0)
            load.forget()
            before, begun = cpu_s(process.pid), asyncio.get_running_loop().time()
            await load.paced(per_s, seconds)
            took = asyncio.get_running_loop().time() - begun
            used = cpu_s(process.pid) - before
            times = statistics.quantiles(load.took, n=100)
            return {
                "size": size, "asked_per_s": per_s, "served_per_s": round(load.served / took, 1),
                "others": dict(load.others), "mib_per_s": round(load.bytes / took / MIB, 1),
                "cores": round(used / took, 3), "cpu_us": round(used * 1e6 / load.served),
                "cpu_ms_per_mib": round(used * 1000 * MIB / load.bytes, 3),
                "p50_ms": round(times[49] * 1000, 2), "p99_ms": round(times[98] * 1000, 2),
                "rest_kb": rest, "after_kb": memory_kb(process.pid), "load_average": machine_load(),
            }  # fmt: skip


@dataclass(frozen=True, slots=True)
class Skew:
    """Requests a second at the busiest of the routers, where each key has a router of its own."""

    exponent: float
    hottest_share: float
    """Of all requests, those for the one object that is asked for most."""
    by_key_fleet: float
    by_key_site: float
    random_pick: float
    """Where each request goes to any of the routers, whatever its key: the mean and four deviations."""


def zipf_shares(exponent: float, objects: int, first: int) -> numpy.ndarray:
    """The shares of the `first` objects among `objects`; the rest of the sum is taken as an integral."""
    ranks = numpy.arange(1, min(first, objects) + 1, dtype=numpy.float64)
    weights = ranks**-exponent
    low, high = len(ranks) + 0.5, objects + 0.5
    if exponent == 1.0:
        rest = numpy.log(high / low)
    else:
        rest = (high ** (1 - exponent) - low ** (1 - exponent)) / (1 - exponent)
    return numpy.asarray(weights / (weights.sum() + rest))


def busiest(shares: numpy.ndarray, routers: int, rng: numpy.random.Generator) -> float:
    """The largest share of a router, each object at one of them and what is not listed dealt evenly."""
    loads = numpy.bincount(rng.integers(0, routers, len(shares)), weights=shares, minlength=routers)
    return float(loads.max() + (1 - shares.sum()) / routers)


def skew(exponent: float, objects: int = OBJECTS, trials: int = 20, seed: int = 1) -> Skew:
    """The busiest router of the fleet and of one site, the median of the trials."""
    rng = numpy.random.default_rng(seed)
    shares = zipf_shares(exponent, objects, SINGLED_OUT)
    site = round(ROUTERS / SITES)
    fleet_share = statistics.median(busiest(shares, ROUTERS, rng) for _ in range(trials))
    site_share = statistics.median(busiest(shares, site, rng) for _ in range(trials))
    mean = REQUESTS_PER_S / ROUTERS
    return Skew(
        exponent,
        float(shares[0]),
        fleet_share * REQUESTS_PER_S,
        site_share * REQUESTS_PER_S / SITES,
        mean + 4 * mean**0.5,
    )


def report(costs: dict[int, list[float]]) -> dict[str, object]:
    """Medians, their spread, and the lines through short and long values."""
    medians = {size: statistics.median(rounds) for size, rounds in costs.items()}
    lines = {}
    for name, sizes in (("short", SHORT), ("long", LONG)):
        if all(size in medians for size in sizes):
            lines[name] = asdict(fit({size: medians[size] for size in sizes}))
    return {
        "cpu_us": {str(size): round(value, 1) for size, value in medians.items()},
        "cpu_ms_per_mib": {str(size): round(v * MIB / size / 1000, 3) for size, v in medians.items()},
        "rounds": {str(size): [round(value) for value in rounds] for size, rounds in costs.items()},
        "lines_us": lines,
        "load_average": machine_load(),
    }


def paced_rates(rates: Sequence[float], size: int, seconds: float, rounds: int) -> None:
    """Print a row for each rate and round, and the line through the medians of the cores in use."""
    cores: dict[float, list[float]] = {rate: [] for rate in rates}
    for _ in range(rounds):
        for rate in rates:
            row = uvloop.run(paced(size, rate, seconds))
            print(orjson.dumps(row).decode(), flush=True)
            cores[rate].append(row["cores"])
    medians = {round(rate): statistics.median(rounds) for rate, rounds in cores.items()}
    told: dict[str, Any] = {"size": size, "cores": {str(rate): part for rate, part in medians.items()}}
    if len(medians) > 2:
        told["line"] = asdict(fit(medians))
    print(orjson.dumps(told).decode())


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--paced", action="store_true")
    parser.add_argument("--skew", action="store_true")
    parser.add_argument("--size", type=int, default=737_000)
    parser.add_argument("--per-s", type=float, action="append")
    parser.add_argument("--seconds", type=float, default=8.0)
    told = parser.parse_args()
    if told.skew:
        for exponent in (0.8, 1.0, 1.2):
            print(orjson.dumps(asdict(skew(exponent))).decode())
    elif told.paced:
        paced_rates(told.per_s or [RATE_PER_S], told.size, told.seconds, told.rounds)
    else:
        costs = uvloop.run(measure(told.rounds, SHORT + LONG))
        print(orjson.dumps(report(costs), option=orjson.OPT_INDENT_2).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
