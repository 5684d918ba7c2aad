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
from benchmarks.scale.stand_ins import Load, machine_load, memory_kb, router, servers_apart
from saltport.wire.resp import MAX_VALUE_BYTES

MIB = 1 << 20
SHOWN = 24
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


def _keys(size: int, count: int = KEYS) -> Iterator[bytes]:
    return itertools.cycle([b"%d-%d" % (size, number) for number in range(count)])


def _spread_keys() -> Iterator[bytes]:
    return (b"4096-%d" % number for number in itertools.count())


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


def kernel_s(pid: int) -> float:
    """CPU seconds of a process within the kernel."""
    return int(Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[12]) / CLOCK_TICKS_PER_S


def minor_faults(pid: int) -> int:
    """Pages that the kernel has given a process without reading them from anywhere."""
    return int(Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[7])


async def profiled(size: int, requests: int) -> list[dict[str, Any]]:
    """Where the router's Python spends its time at one length, the dearest functions first.

    A profile overstates small functions, and what uvloop does before it calls Python is not in it.
    """
    with tempfile.TemporaryDirectory(prefix="saltport-data-path-") as folder:
        out = Path(folder) / "profile"
        async with (
            servers_apart(SERVERS) as registry,
            router(Path(folder), registry, profile=out) as (_, address),
        ):
            load = Load(address, _keys(size))
            await load.closed_loop(requests, CONNECTIONS)
        functions = pstats.Stats(str(out)).stats  # type: ignore[attr-defined]
    rows = [
        {
            "function": f"{Path(where[0]).name}:{where[2]}",
            "calls": round(figures[1] / requests, 2), "own_us": round(figures[2] * 1e6 / requests, 2),
        }
        for where, figures in functions.items()
    ]  # fmt: skip
    return sorted(rows, key=lambda row: -row["own_us"])[:SHOWN]


async def oversize(servers: int, per_s: float, over_per_s: float, seconds: float) -> dict[str, Any]:
    """One object that is longer than the router passes on, asked for beside ordinary reads."""
    with tempfile.TemporaryDirectory(prefix="saltport-data-path-") as folder:
        log = Path(folder) / "log"
        async with (
            servers_apart(servers) as registry,
            router(Path(folder), registry, log=log) as (process, address),
        ):
            ordinary, over = Load(address, _spread_keys()), Load(address, _keys(MAX_VALUE_BYTES + 1, 1))
            await ordinary.paced(per_s, 2.0)
            ordinary.forget()
            before = cpu_s(process.pid)
            await asyncio.gather(ordinary.paced(per_s, seconds), over.paced(over_per_s, seconds))
            await asyncio.sleep(1.0)
            used = cpu_s(process.pid) - before
        ejected = re.findall(r"(n\d+): ejected for", log.read_text())
    return {
        "servers": servers, "ordinary_per_s": per_s, "over_per_s": over_per_s, "seconds": seconds,
        "ordinary_served": ordinary.served, "ordinary_others": dict(ordinary.others),
        "over_served": over.served, "over_others": dict(over.others),
        "ejections": len(ejected), "servers_ejected": len(set(ejected)),
        "cores": round(used / seconds, 3), "load_average": machine_load(),
    }  # fmt: skip


async def paced(
    size: int, per_s: float, seconds: float, environ: dict[str, str] | None = None
) -> dict[str, Any]:
    """A constant rate of reads: the part of a core that they take."""
    with tempfile.TemporaryDirectory(prefix="saltport-data-path-") as folder:
        async with (
            servers_apart(SERVERS) as registry,
            router(Path(folder), registry, environ=environ) as (process, address),
        ):
            load = Load(address, _keys(size))
            rest = memory_kb(process.pid)
            await load.paced(per_s, 1.0)
            load.forget()
            before, begun = cpu_s(process.pid), asyncio.get_running_loop().time()
            kernel, faults = kernel_s(process.pid), minor_faults(process.pid)
            await load.paced(per_s, seconds)
            took = asyncio.get_running_loop().time() - begun
            used, kernel = cpu_s(process.pid) - before, kernel_s(process.pid) - kernel
            times = statistics.quantiles(load.took, n=100)
            return {
                "size": size, "asked_per_s": per_s, "served_per_s": round(load.served / took, 1),
                "others": dict(load.others), "mib_per_s": round(load.bytes / took / MIB, 1),
                "cores": round(used / took, 3), "kernel_share": round(kernel / used, 2),
                "faults": round((minor_faults(process.pid) - faults) / load.served, 1),
                "cpu_us": round(used * 1e6 / load.served),
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


def share_over(limit: float, mean: float, sigma: float) -> float:
    """The share of values longer than a limit, where lengths are log-normal with this mean."""
    return 0.5 * math.erfc((math.log(limit / mean) + sigma**2 / 2) / (sigma * 2**0.5))


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


def paced_rates(
    rates: Sequence[float], size: int, seconds: float, rounds: int, environ: dict[str, str]
) -> None:
    """Print a row for each rate and round, and the line through the medians of the cores in use."""
    cores: dict[float, list[float]] = {rate: [] for rate in rates}
    for _ in range(rounds):
        for rate in rates:
            row = uvloop.run(paced(size, rate, seconds, environ))
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
    parser.add_argument("--oversize", action="store_true", help="an object over 4 MiB beside other reads")
    parser.add_argument("--profile", action="store_true", help="the dearest functions at --size")
    parser.add_argument("--size", type=int, default=737_000)
    parser.add_argument("--per-s", type=float, action="append")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--environ", action="append", default=[], help="NAME=VALUE for the router only")
    told = parser.parse_args()
    environ = dict(pair.split("=", 1) for pair in told.environ)
    if told.skew:
        for exponent in (0.8, 1.0, 1.2):
            print(orjson.dumps(asdict(skew(exponent))).decode())
        for sigma in (0.5, 1.0, 1.5, 2.0):
            share = share_over(MAX_VALUE_BYTES, BYTES_PER_S / REQUESTS_PER_S, sigma)
            print(orjson.dumps({"sigma": sigma, "share_over_4_mib": share}).decode())
    elif told.oversize:
        for over_per_s in (0.0, 1.0, 5.0, 20.0):
            row = uvloop.run(oversize(160, RATE_PER_S, over_per_s, told.seconds))
            print(orjson.dumps(row).decode(), flush=True)
    elif told.profile:
        for row in uvloop.run(profiled(told.size, 2_000)):
            print(orjson.dumps(row).decode())
    elif told.paced:
        paced_rates(told.per_s or [RATE_PER_S], told.size, told.seconds, told.rounds, environ)
    else:
        costs = uvloop.run(measure(told.rounds, SHORT + LONG))
        print(orjson.dumps(report(costs), option=orjson.OPT_INDENT_2).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
