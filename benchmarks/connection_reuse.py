"""Compares what waiting before a connection is used again costs: `python -m benchmarks.connection_reuse`.

One pool sends reads at random times to one cache server, on the router's own connections but in virtual time,
so the figures do not depend on the machine. The server answers after an exponentially distributed time, and
the first read on a connection takes HANDSHAKE_S longer. Each row is one rate and one rule of reuse.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import sys
from dataclasses import asdict, dataclass
from enum import Enum
from typing import cast

import orjson

from saltport.decisions import CacheStatus, Outcome
from saltport.messages import Request
from saltport.standins.spoil import resp_answer
from saltport.upstream.connection import Exchange
from saltport.upstream.idle_connections import IdleConnections
from saltport.upstream.pool import Pool
from saltport.upstream.resp import CacheConnection
from tests.crossings.virtual_time import VirtualTimeLoop

RATES_PER_S = (0.9, 8.0, 30.0, 100.0, 600.0)
"""Of one router at one server: at the fleet's size, and at sites with few servers."""
KEY_COUNT, MISS_SHARE = 1_000, 0.1
ANSWER_S = 0.01
HANDSHAKE_S = 0.012
IDLE_CLOSE_S, DIAL_TIMEOUT_S, DEADLINE_MS = 10.0, 0.25, 5_000
VALUE_BYTES = 512
REPORT = b"latency_ms=1.000,queue=0"
KEY_LINE_COUNT = 4  # lines of a KV.GET command up to its key


class Reuse(Enum):
    """A rule for the use of a connection that has had an answer."""

    AT_ONCE = "at once"
    SETTLED = "once it has settled"
    RECOGNIZING = "at once where a second copy is recognized, else once it has settled"
    NEVER = "never"


class _ServerConnection(asyncio.Protocol):
    """A cache server's side of a connection, which answers each read after a random time."""

    def __init__(self, server: _CacheServer) -> None:
        self._server = server
        self._delay_s = HANDSHAKE_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.handshakes += 1
        self._server.open += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.open -= 1

    def data_received(self, data: bytes) -> None:
        """Answer the read; the first one on a connection waits for the handshake."""
        delay_s = self._delay_s + self._server.rng.expovariate(1 / ANSWER_S)
        self._delay_s = 0.0
        is_miss = self._server.rng.random() < MISS_SHARE
        key = data.split(b"\r\n")[KEY_LINE_COUNT]
        value = None if is_miss else key.ljust(VALUE_BYTES, b"x")
        reply = resp_answer(value, b"miss" if is_miss else b"hit", REPORT)
        asyncio.get_running_loop().call_later(delay_s, self._transport.write, reply)


class _CacheServer:
    """A cache server, and counts of its connections."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.handshakes = self.open = 0

    async def listen(self) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(lambda: _ServerConnection(self), "127.0.0.1", 0)
        return "127.0.0.1", listener.sockets[0].getsockname()[1]


class _Read(Exchange):
    """A read that records how long it waited until it was written, and until it was answered."""

    def __init__(self, key: bytes, waits_s: list[float], latencies_s: list[float]) -> None:
        self.request = Request(b"r", key, "get", "acme", DEADLINE_MS, None, False, b"c=get,t=acme,d=5000")
        self._loop = asyncio.get_running_loop()
        self._submitted_at = self._loop.time()
        self._waits_s, self._latencies_s = waits_s, latencies_s

    def remaining_ms(self) -> int:
        """Return a constant: deadlines play no part here."""
        return DEADLINE_MS

    def request_written(self) -> None:
        """Record the wait."""
        self._waits_s.append(self._loop.time() - self._submitted_at)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Record the latency."""
        if outcome not in (Outcome.OK, Outcome.MISS):
            raise RuntimeError(f"a read ended with {outcome}")
        self._latencies_s.append(self._loop.time() - self._submitted_at)


class _SingleUseConnection(CacheConnection):
    """A connection that carries one request."""

    def finish(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """End the exchange; the connection then closes."""
        self.retired = True
        super().finish(outcome, value, note)


@dataclass(frozen=True, slots=True)
class Row:
    """Figures for one rate and one rule of reuse; times are in milliseconds."""

    reuse: str
    rate_per_s: float
    open: float
    handshakes_per_1000: float
    wait_ms: float
    wait_p99_ms: float
    latency_ms: float
    latency_p99_ms: float


def _percentile_99(values: list[float]) -> float:
    return statistics.quantiles(values, n=100)[98]


async def _measure(reuse: Reuse, rate_per_s: float, requests: int, seed: int) -> Row:
    """Send `requests` reads of random keys at random times."""
    loop = asyncio.get_running_loop()
    server = _CacheServer(random.Random(seed))
    arrivals = random.Random(seed + 1)
    pool = Pool(loop, 64, DIAL_TIMEOUT_S, IDLE_CLOSE_S)
    connect = _SingleUseConnection if reuse is Reuse.NEVER else CacheConnection
    pool.list_server("s1", await server.listen(), connect)
    state = pool._servers["s1"]
    if reuse in (Reuse.AT_ONCE, Reuse.NEVER):
        state.idle = IdleConnections(settling_time_s=0.0)
    if reuse is Reuse.SETTLED:
        pool.read_values._different_values = -requests
    waits_s: list[float] = []
    latencies_s: list[float] = []
    open_connections: list[int] = []
    for _ in range(requests):
        await asyncio.sleep(arrivals.expovariate(rate_per_s))
        open_connections.append(server.open)
        pool.submit("s1", _Read(b"key-%d" % arrivals.randrange(KEY_COUNT), waits_s, latencies_s))
    while len(latencies_s) < requests:
        await asyncio.sleep(0.1)
    pool.close()
    return Row(
        reuse.value, rate_per_s, round(statistics.fmean(open_connections), 2),
        round(1000 * server.handshakes / requests, 2),
        round(1000 * statistics.fmean(waits_s), 2), round(1000 * _percentile_99(waits_s), 1),
        round(1000 * statistics.fmean(latencies_s), 2), round(1000 * _percentile_99(latencies_s), 1),
    )  # fmt: skip


def _run(reuse: Reuse, rate_per_s: float, requests: int, seed: int) -> Row:
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_measure(reuse, rate_per_s, requests, seed))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def main() -> int:
    """Run the comparison from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=5_000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for rate_per_s in RATES_PER_S:
        for reuse in Reuse:
            row = _run(reuse, rate_per_s, arguments.requests, arguments.seed)
            print(orjson.dumps(asdict(row)).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
