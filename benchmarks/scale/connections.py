"""Connections to many cache servers at one router's rate: how many are open, and how many are made.

    python -m benchmarks.scale.connections --servers 10 --servers 40 --servers 160 --servers 640

The cache servers stand in this process, each on a port of its own, and answer after a pause; the router is
another. TLS is left out. The model beside the figures takes each further connection to a server as one that
carries what finds all before it busy (Erlang's loss formula), and that closes after the idle limit: the pool
hands out the connection that was used last.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import random
import statistics
import sys
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import orjson
import uvloop

from benchmarks.relay import cpu_s
from benchmarks.scale.stand_ins import (
    CacheServers,
    Load,
    descriptors,
    machine_load,
    memory_kb,
    peak_memory_kb,
    router,
)
from saltport.standins.profile import Profile
from saltport.upstream.pool import IDLE_SHARE, MAX_CONNECTIONS_PER_SERVER

RATE_PER_S = 594.0
PAUSE_MS = (35.0, 64.0)
SIZE, KEYS = 4_096, 200_000
MANY_SOCKETS = 8_192
IDLE_S = Profile().idle_close_ms / 1000 * IDLE_SHARE


@dataclass(frozen=True, slots=True)
class Expected:
    """What the pool's rules give for one router, over all servers."""

    open: float
    handshakes_per_s: float


def overflow(stage: int, work: float) -> float:
    """The share of requests that finds the first `stage` connections busy (Erlang's loss formula)."""
    blocked = 1.0
    for taken in range(1, stage + 1):
        blocked = work * blocked / (taken + work * blocked)
    return blocked


def expected(servers: int, rate_per_s: float, answer_s: float, idle_s: float = IDLE_S) -> Expected:
    """Open connections and handshakes of one router whose requests spread evenly over so many servers."""
    rate = rate_per_s / servers
    work, is_open, handshakes = rate * answer_s, 0.0, 0.0
    for stage in range(MAX_CONNECTIONS_PER_SERVER):
        reaching = rate * overflow(stage, work)
        gap = math.exp(-reaching * idle_s)  # nothing reached it for as long as it may stand idle
        handshakes += reaching * gap
        is_open += 1 - gap
    return Expected(servers * is_open, servers * handshakes)


@dataclass(frozen=True, slots=True)
class Row:
    """One number of servers; connections, descriptors and memory are the router's."""

    servers: int
    sockets: int
    """Descriptors that the router may hold, clients' included (`limits.sockets`)."""
    per_s: float
    served: int
    others: int
    open: float
    most_at_a_server: int
    handshakes_per_s: float
    first_handshakes: int
    """Until the measured time began."""
    expected_open: float
    expected_handshakes_per_s: float
    descriptors: int
    memory_kb: int
    cpu_us: float
    load_average: float
    seconds: float
    """That were measured, behind the warm ones."""
    cpu_s: float
    """Of the process, its start among it."""
    peak_memory_kb: int


def _keys(seed: int, size: int) -> Iterator[bytes]:
    rng = random.Random(seed)
    while True:
        yield b"%d-%d" % (size, rng.randrange(KEYS))


async def measure(
    servers: int,
    seconds: float,
    rate_per_s: float = RATE_PER_S,
    warm_s: float = 8.0,
    sockets: int = MANY_SOCKETS,
    size: int = SIZE,
) -> Row:
    """Play one number of servers; `warm_s` should be longer than the idle limit."""
    caches = CacheServers(PAUSE_MS)
    with tempfile.TemporaryDirectory(prefix="saltport-connections-") as folder:
        registry = await caches.listen(servers)
        async with router(Path(folder), registry, sockets) as (process, address):
            load = Load(address, _keys(servers, size))
            await load.paced(rate_per_s, warm_s)
            first, before = caches.accepted.total(), cpu_s(process.pid)
            load.forget()
            sampled: list[int] = []
            watch = asyncio.get_running_loop().create_task(_sample(caches, sampled))
            await load.paced(rate_per_s, seconds)
            watch.cancel()
            answer_s = statistics.fmean(load.took)
            model = expected(servers, rate_per_s, answer_s)
            return Row(
                servers, sockets, rate_per_s, load.served, sum(load.others.values()),
                round(statistics.fmean(sampled), 1), max(caches.open.values()),
                round((caches.accepted.total() - first) / seconds, 2), first,
                round(model.open, 1), round(model.handshakes_per_s, 2),
                descriptors(process.pid), memory_kb(process.pid),
                round((cpu_s(process.pid) - before) * 1e6 / load.served, 1), machine_load(),
                seconds, cpu_s(process.pid), peak_memory_kb(process.pid),
            )  # fmt: skip


async def _sample(caches: CacheServers, sampled: list[int]) -> None:
    while True:
        sampled.append(caches.open.total())
        await asyncio.sleep(0.1)


def fleet(
    routers: int, servers: int, requests_per_s: float, answer_s: float, reached: int
) -> dict[str, float]:
    """The model at a fleet's size, each router's requests going to `reached` of the servers."""
    one = expected(reached, requests_per_s / routers, answer_s)
    asking = routers * reached / servers
    return {
        "reached": reached, "routers_at_a_server": round(asking, 1),
        "open_at_a_router": round(one.open, 1), "open_at_a_server": round(one.open * routers / servers, 1),
        "handshakes_per_s_router": round(one.handshakes_per_s, 2),
        "handshakes_per_s_server": round(one.handshakes_per_s * routers / servers, 2),
        "handshakes_per_s_fleet": round(one.handshakes_per_s * routers, 1),
    }  # fmt: skip


async def _all(numbers: Sequence[int], seconds: float, sockets: int, size: int) -> None:
    for servers in numbers:
        row = await measure(servers, seconds, sockets=sockets, size=size)
        print(orjson.dumps(asdict(row)).decode(), flush=True)


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, action="append")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--sockets", type=int, default=MANY_SOCKETS, help="the router's limits.sockets")
    parser.add_argument("--size", type=int, default=SIZE, help="bytes of a value")
    parser.add_argument("--fleet", action="store_true", help="only the model, at the fleet's size")
    told = parser.parse_args()
    if told.fleet:
        for answer_s in (0.005, 0.05):
            for reached in (680, 62, 19, 9):  # all, a region's, a zone's, a site's
                row = fleet(1_600, 680, 950_000, answer_s, reached)
                print(orjson.dumps({"answer_s": answer_s, **row}).decode())
    else:
        uvloop.run(_all(told.servers or [10, 40, 160, 640], told.seconds, told.sockets, told.size))
    return 0


if __name__ == "__main__":
    sys.exit(main())
