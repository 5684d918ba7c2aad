"""Measures open connections and handshakes of one router with many cache servers.

    python -m benchmarks.scale.connections --servers 10 --servers 40 --servers 160 --servers 640

The cache servers run in this process, each on its own port, and reply after a pause; the router is a separate
process. TLS is not used. A model is reported with the figures: the pool hands out the most recently used
connection, so the n-th connection to a server carries the requests that find all earlier ones busy (Erlang's
loss formula), and closes after the idle time-out.
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
    load_average,
    memory_kb,
    peak_memory_kb,
    run_router,
)
from saltport.standins.profile import Profile
from saltport.upstream.pool import IDLE_SHARE, MAX_CONNECTIONS_PER_SERVER

RATE_PER_S = 594.0
PAUSE_MS = (35.0, 64.0)
VALUE_BYTES, KEY_COUNT = 4_096, 200_000
DEFAULT_SOCKET_LIMIT = 8_192
IDLE_TIMEOUT_S = Profile().idle_close_ms / 1000 * IDLE_SHARE


@dataclass(frozen=True, slots=True)
class ExpectedConnections:
    """Connections of one router to all servers, as the model predicts them."""

    open: float
    handshakes_per_s: float


def overflow_share(connections: int, offered_load: float) -> float:
    """Return the share of requests that find the first `connections` busy (Erlang's loss formula)."""
    blocked = 1.0
    for count in range(1, connections + 1):
        blocked = offered_load * blocked / (count + offered_load * blocked)
    return blocked


def expected_connections(
    servers: int, rate_per_s: float, answer_s: float, idle_s: float = IDLE_TIMEOUT_S
) -> ExpectedConnections:
    """Return the model's open connections and handshakes, with requests spread evenly over the servers."""
    server_rate = rate_per_s / servers
    offered_load, open_connections, handshakes = server_rate * answer_s, 0.0, 0.0
    for connections in range(MAX_CONNECTIONS_PER_SERVER):
        overflow_rate = server_rate * overflow_share(connections, offered_load)
        idle_probability = math.exp(-overflow_rate * idle_s)  # no request during the idle time-out
        handshakes += overflow_rate * idle_probability
        open_connections += 1 - idle_probability
    return ExpectedConnections(servers * open_connections, servers * handshakes)


@dataclass(frozen=True, slots=True)
class Row:
    """Figures for one number of servers; connections, descriptors and memory are the router's."""

    servers: int
    sockets: int
    """Limit of the router's sockets, with those of clients (`limits.sockets`)."""
    per_s: float
    served: int
    others: int
    open: float
    most_at_a_server: int
    handshakes_per_s: float
    first_handshakes: int
    """Handshakes before the measured time began."""
    expected_open: float
    expected_handshakes_per_s: float
    descriptors: int
    memory_kb: int
    cpu_us: float
    load_average: float
    seconds: float
    """Measured time, without the warm-up."""
    cpu_s: float
    """CPU seconds of the process, with its start."""
    peak_memory_kb: int


def _keys(seed: int, size: int) -> Iterator[bytes]:
    rng = random.Random(seed)
    while True:
        yield b"%d-%d" % (size, rng.randrange(KEY_COUNT))


async def measure(
    servers: int,
    seconds: float,
    rate_per_s: float = RATE_PER_S,
    warm_s: float = 8.0,
    sockets: int = DEFAULT_SOCKET_LIMIT,
    size: int = VALUE_BYTES,
) -> Row:
    """Measure one number of servers; the warm-up of `warm_s` should exceed the idle time-out."""
    cache_servers = CacheServers(PAUSE_MS)
    with tempfile.TemporaryDirectory(prefix="saltport-connections-") as folder:
        registry = await cache_servers.listen(servers)
        async with run_router(Path(folder), registry, sockets) as (process, address):
            load = Load(address, _keys(servers, size))
            await load.run_at_rate(rate_per_s, warm_s)
            handshakes_before, cpu_before_s = cache_servers.accepted.total(), cpu_s(process.pid)
            load.reset()
            open_samples: list[int] = []
            sampler = asyncio.get_running_loop().create_task(
                _sample_open_connections(cache_servers, open_samples)
            )
            await load.run_at_rate(rate_per_s, seconds)
            sampler.cancel()
            answer_s = statistics.fmean(load.latencies_s)
            model = expected_connections(servers, rate_per_s, answer_s)
            return Row(
                servers, sockets, rate_per_s, load.served, sum(load.others.values()),
                round(statistics.fmean(open_samples), 1), max(cache_servers.open.values()),
                round((cache_servers.accepted.total() - handshakes_before) / seconds, 2), handshakes_before,
                round(model.open, 1), round(model.handshakes_per_s, 2),
                descriptors(process.pid), memory_kb(process.pid),
                round((cpu_s(process.pid) - cpu_before_s) * 1e6 / load.served, 1), load_average(),
                seconds, cpu_s(process.pid), peak_memory_kb(process.pid),
            )  # fmt: skip


async def _sample_open_connections(cache_servers: CacheServers, samples: list[int]) -> None:
    while True:
        samples.append(cache_servers.open.total())
        await asyncio.sleep(0.1)


def fleet(
    routers: int, servers: int, requests_per_s: float, answer_s: float, reached: int
) -> dict[str, float]:
    """Return the model's figures for a fleet whose routers each use `reached` of the servers."""
    router_model = expected_connections(reached, requests_per_s / routers, answer_s)
    routers_per_server = routers * reached / servers
    return {
        "reached": reached,
        "routers_at_a_server": round(routers_per_server, 1),
        "open_at_a_router": round(router_model.open, 1),
        "open_at_a_server": round(router_model.open * routers / servers, 1),
        "handshakes_per_s_router": round(router_model.handshakes_per_s, 2),
        "handshakes_per_s_server": round(router_model.handshakes_per_s * routers / servers, 2),
        "handshakes_per_s_fleet": round(router_model.handshakes_per_s * routers, 1),
    }


async def _all(server_counts: Sequence[int], seconds: float, sockets: int, size: int) -> None:
    for servers in server_counts:
        row = await measure(servers, seconds, sockets=sockets, size=size)
        print(orjson.dumps(asdict(row)).decode(), flush=True)


def main() -> int:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, action="append")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument(
        "--sockets", type=int, default=DEFAULT_SOCKET_LIMIT, help="the router's limits.sockets"
    )
    parser.add_argument("--size", type=int, default=VALUE_BYTES, help="length of a value in bytes")
    parser.add_argument("--fleet", action="store_true", help="only the model, at the fleet's size")
    arguments = parser.parse_args()
    if arguments.fleet:
        for answer_s in (0.005, 0.05):
            for reached in (680, 62, 19, 9):  # all servers, those of a region, of a zone, of a site
                row = fleet(1_600, 680, 950_000, answer_s, reached)
                print(orjson.dumps({"answer_s": answer_s, **row}).decode())
    else:
        uvloop.run(
            _all(
                arguments.servers or [10, 40, 160, 640], arguments.seconds, arguments.sockets, arguments.size
            )
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
