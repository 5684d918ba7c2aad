"""Stand-in cache servers, a load generator and one router between them, for data-path measurements.

The cache servers reply immediately or after a pause. A key names the length of its value: that of `737000-12`
has 737,000 bytes.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import sys
import time
from collections import Counter, deque
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path
from typing import Any, cast

import orjson
import uvloop

from saltport.address import Address
from saltport.harness import environment, reserve_port
from saltport.load.driver import wait_ready
from saltport.standins.ledger import Ledger
from saltport.standins.profile import Profile
from saltport.standins.registry import Registry, instance_entry
from saltport.standins.spoil import resp_answer
from saltport.wire.resp import command

START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.001
LISTEN_BACKLOG = 64
KEY_LINE_INDEX = 4  # index of the key in a KV.GET command split into lines


@lru_cache(maxsize=16)
def _hit_reply(size: int) -> bytes:
    return resp_answer(b"x" * size, b"hit", b"latency_ms=1.000,queue=0")


class CacheServerConnection(asyncio.Protocol):
    """Server side of a connection to a cache server; each command fits in one TCP segment."""

    def __init__(self, servers: CacheServers, number: int) -> None:
        self._servers, self._number = servers, number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._servers.accepted[self._number] += 1
        self._servers.open[self._number] += 1

    def data_received(self, data: bytes) -> None:
        """Reply with a value of the requested length, now or after a pause."""
        size = int(data.split(b"\r\n")[KEY_LINE_INDEX].partition(b"-")[0])
        draw_pause_s = self._servers.draw_pause_s()
        if draw_pause_s:
            asyncio.get_running_loop().call_later(draw_pause_s, self._transport.write, _hit_reply(size))
        else:
            self._transport.write(_hit_reply(size))

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the connection as closed."""
        self._servers.open[self._number] -= 1


class CacheServers:
    """Cache servers in this process, listed by a registry of their own."""

    def __init__(self, pause_ms: tuple[float, float] = (0.0, 0.0), seed: int = 1) -> None:
        self.accepted: Counter[int] = Counter()
        """Connections accepted so far, by server."""
        self.open: Counter[int] = Counter()
        """Open connections, by server."""
        self._min_pause_ms, self._max_pause_ms = pause_ms
        self._rng = random.Random(seed)
        self._registry = Registry(Ledger("nodes"))

    def draw_pause_s(self) -> float:
        """Return a random pause in seconds before a reply."""
        return self._rng.uniform(self._min_pause_ms, self._max_pause_ms) / 1000 if self._max_pause_ms else 0.0

    async def listen(self, count: int) -> str:
        """Start this many servers; return the registry's address."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            server = await loop.create_server(
                lambda number=number: CacheServerConnection(self, number),  # type: ignore[misc]
                "127.0.0.1", 0, backlog=LISTEN_BACKLOG,
            )  # fmt: skip
            address = server.sockets[0].getsockname()
            self._registry.change(instance_entry(f"n{number}", address, "std-1c", "up", "a", 0, 0))
        return "{}:{}".format(*self._registry.listen("r1"))


class ClientConnection(asyncio.Protocol):
    """A connection of the load generator, with at most one request under way."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._remaining_bytes = 0  # bytes of the value that are still to come, with its line end
        self._header = b""
        self._value_size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def send_read(self, key: bytes, request_id: bytes) -> None:
        """Send one read request."""
        self._value_size, self._sent_at = int(key.partition(b"-")[0]), time.perf_counter()
        self._transport.write(command(b"KV.GET", key, request_id, b"c=fetch,t=public,d=5000"))

    def data_received(self, data: bytes) -> None:
        """Receive and count a reply; one other than the requested value is counted by its first word."""
        if self._remaining_bytes:
            self._remaining_bytes -= len(data)
        else:
            self._header += data
            line, end, body = self._header.partition(b"\r\n")
            if not end:
                return
            self._header = b""
            if line != b"$%d" % self._value_size:
                self._load.others[line.split()[0].decode("ascii", "replace")] += 1
                self._load.release(self)
                return
            self._remaining_bytes = self._value_size + 2 - len(body)
        if self._remaining_bytes < 0:
            self._load.others["too long"] += 1
        if self._remaining_bytes <= 0:
            self._remaining_bytes = 0
            self._load.served += 1
            self._load.bytes += self._value_size
            self._load.latencies_s.append(time.perf_counter() - self._sent_at)
            self._load.release(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection, and whether a reply was incomplete."""
        self._load.connection_ended(self, bool(self._remaining_bytes or self._header))


@dataclass
class Load:
    """Load generator that reads at a rate, or in a closed loop; it opens connections when all are busy."""

    address: Address
    keys: Iterator[bytes]
    max_connections: int = 512
    served: int = 0
    bytes: int = 0
    others: Counter[str] = field(default_factory=Counter)
    """Replies other than the requested value by first word, and connections that ended early (`cut`)."""
    latencies_s: list[float] = field(default_factory=list)
    delayed: int = 0
    """Requests that were due while all connections were busy."""
    _idle: deque[ClientConnection] = field(default_factory=deque)
    _connection_count: int = 0
    _sent_count: int = 0

    def release(self, client: ClientConnection) -> None:
        """Mark a connection as idle."""
        self._idle.append(client)

    def connection_ended(self, client: ClientConnection, is_busy: bool) -> None:
        """Remove a connection that has ended."""
        self._connection_count -= 1
        self.others["cut"] += is_busy
        if client in self._idle:
            self._idle.remove(client)

    async def connect(self, count: int) -> None:
        """Open this many more connections, up to the limit."""
        loop = asyncio.get_running_loop()
        for _ in range(min(count, self.max_connections - self._connection_count)):
            self._connection_count += 1
            _, client = await loop.create_connection(lambda: ClientConnection(self), *self.address)
            self._idle.append(client)

    def _send_read(self) -> None:
        self._sent_count += 1
        self._idle.popleft().send_read(next(self.keys), b"%016x" % (os.getpid() << 32 | self._sent_count))

    async def run_closed_loop(self, requests: int, connections: int) -> None:
        """Send this many requests; each connection sends the next when the last one is answered."""
        await self.connect(connections - self._connection_count)
        remaining, target_count = requests, self.served + sum(self.others.values()) + requests
        while self.served + sum(self.others.values()) < target_count:
            while remaining and self._idle:
                remaining -= 1
                self._send_read()
            await asyncio.sleep(0 if self._idle else POLL_INTERVAL_S)

    async def run_at_rate(self, per_s: float, seconds: float) -> None:
        """Send requests at a constant rate, whether or not earlier ones have been answered."""
        loop = asyncio.get_running_loop()
        started_at, sent = loop.time(), 0
        while (elapsed_s := loop.time() - started_at) < seconds:
            due = int(elapsed_s * per_s) - sent
            if due > len(self._idle):
                await self.connect(due - len(self._idle))
            for _ in range(min(due, len(self._idle))):
                sent += 1
                self._send_read()
            self.delayed += max(int((loop.time() - started_at) * per_s) - sent > due, 0)
            await asyncio.sleep(POLL_INTERVAL_S)

    def reset(self) -> None:
        """Reset all counts."""
        self.served = self.bytes = self.delayed = 0
        self.others.clear()
        self.latencies_s.clear()


@asynccontextmanager
async def run_router(
    folder: Path,
    registry: str,
    sockets: int = 8192,
    profile: Path | None = None,
    log: Path | None = None,
    environ: Mapping[str, str] | None = None,
) -> AsyncIterator[tuple[Any, Address]]:
    """Run a router process; yield the process and its address.

    With `profile` it runs under cProfile and writes the profile to this file when it ends. `log` is the file
    for its log. `environ` are additional environment variables.
    """
    reserved = reserve_port()
    listen: Address = reserved.getsockname()
    settings = Profile().config("r1", "{}:{}".format(*listen), registry, 1)
    settings["limits"]["sockets"] = sockets
    config = folder / "config.json"
    config.write_bytes(orjson.dumps(settings))
    profiler_arguments = ["-m", "cProfile", "-o", str(profile)] if profile else []
    with open(log or os.devnull, "wb") as log_file:
        process = await asyncio.create_subprocess_exec(
            sys.executable, *profiler_arguments, "-m", "saltport.router",
            env={**environment(), **(environ or {}), "LB_CONFIG": str(config)},
            stderr=log_file if log else None,
        )  # fmt: skip
    try:
        if not await wait_ready(listen, START_TIMEOUT_S, lambda: process.returncode is None):
            raise RuntimeError("the router did not start")
        yield process, listen
    finally:
        if process.returncode is None:
            process.terminate()
            await process.wait()
        reserved.close()


@asynccontextmanager
async def run_cache_servers(count: int) -> AsyncIterator[str]:
    """Run cache servers that reply immediately in a separate process; yield the registry's address."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.scale.stand_ins", "--servers", str(count),
        env=environment(), stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        assert process.stdout is not None
        yield (await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)).decode().strip()
    finally:
        process.terminate()
        await process.wait()


def memory_kb(pid: int) -> int:
    """Return the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])


def peak_memory_kb(pid: int) -> int:
    """Return the peak resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0])


def descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def load_average() -> float:
    """Return the machine's load average over one minute, to be reported with each figure."""
    return round(os.getloadavg()[0], 1)


async def _run_servers(count: int) -> None:
    print(await CacheServers().listen(count), flush=True)
    await asyncio.Event().wait()


def main() -> int:
    """Run the cache servers until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, default=8)
    uvloop.run(_run_servers(parser.parse_args().servers))
    return 0


if __name__ == "__main__":
    sys.exit(main())
