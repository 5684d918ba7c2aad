"""Cache servers that answer at once or after a pause, a paced load, and one router between them.

A key says how long its value is: `737000-12` has 737,000 bytes. Used by the measurements of the data path.
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
from saltport.harness import environment, free_port
from saltport.load.driver import wait_ready
from saltport.standins.ledger import Ledger
from saltport.standins.profile import Profile
from saltport.standins.registry import Registry, instance_entry
from saltport.standins.spoil import resp_answer
from saltport.wire.resp import command

START_S = 60.0
TICK_S = 0.001
BACKLOG = 64
KEY_WORD = 4  # of a command split at its line ends


@lru_cache(maxsize=16)
def _answer(size: int) -> bytes:
    return resp_answer(b"x" * size, b"hit", b"latency_ms=1.000,queue=0")


class CacheServer(asyncio.Protocol):
    """One connection to a cache server; commands come whole, as they fit one segment."""

    def __init__(self, servers: CacheServers, number: int) -> None:
        self._servers, self._number = servers, number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the handshake."""
        self._transport = cast(asyncio.Transport, transport)
        self._servers.accepted[self._number] += 1
        self._servers.open[self._number] += 1

    def data_received(self, data: bytes) -> None:
        """Answer now or after a pause."""
        size = int(data.split(b"\r\n")[KEY_WORD].partition(b"-")[0])
        pause = self._servers.pause_s()
        if pause:
            asyncio.get_running_loop().call_later(pause, self._transport.write, _answer(size))
        else:
            self._transport.write(_answer(size))

    def connection_lost(self, exc: Exception | None) -> None:
        """Count it out."""
        self._servers.open[self._number] -= 1


class CacheServers:
    """Any number of cache servers in this process, listed by a registry of their own."""

    def __init__(self, pause_ms: tuple[float, float] = (0.0, 0.0), seed: int = 1) -> None:
        self.accepted: Counter[int] = Counter()
        """Connections taken so far, by server."""
        self.open: Counter[int] = Counter()
        self._low, self._high = pause_ms
        self._rng = random.Random(seed)
        self._registry = Registry(Ledger("nodes"))

    def pause_s(self) -> float:
        """How long the next answer takes, in seconds."""
        return self._rng.uniform(self._low, self._high) / 1000 if self._high else 0.0

    async def listen(self, count: int) -> str:
        """Start so many servers; returns the registry's address."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            server = await loop.create_server(
                lambda number=number: CacheServer(self, number),  # type: ignore[misc]
                "127.0.0.1", 0, backlog=BACKLOG,
            )  # fmt: skip
            address = server.sockets[0].getsockname()
            self._registry.change(instance_entry(f"n{number}", address, "std-1c", "up", "a", 0, 0))
        return "{}:{}".format(*self._registry.listen("r1"))


class Client(asyncio.Protocol):
    """One connection of the load, with at most one request on it."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._left = 0  # bytes of the value under way, with its line end
        self._head = b""
        self._size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def ask(self, key: bytes, request: bytes) -> None:
        """Send one read."""
        self._size, self._asked_at = int(key.partition(b"-")[0]), time.perf_counter()
        self._transport.write(command(b"KV.GET", key, request, b"c=fetch,t=public,d=5000"))

    def data_received(self, data: bytes) -> None:
        """Count the answer's bytes; what is not the value that was asked for counts by its first word."""
        if self._left:
            self._left -= len(data)
        else:
            self._head += data
            line, end, rest = self._head.partition(b"\r\n")
            if not end:
                return
            self._head = b""
            if line != b"$%d" % self._size:
                self._load.others[line.split()[0].decode("ascii", "replace")] += 1
                self._load.free(self)
                return
            self._left = self._size + 2 - len(rest)
        if self._left < 0:
            self._load.others["too long"] += 1
        if self._left <= 0:
            self._left = 0
            self._load.served += 1
            self._load.bytes += self._size
            self._load.took.append(time.perf_counter() - self._asked_at)
            self._load.free(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """A connection that ends under way is counted."""
        self._load.gone(self, bool(self._left or self._head))


@dataclass
class Load:
    """Reads at a rate, or as fast as they are answered; clients open a connection when all are busy."""

    address: Address
    keys: Iterator[bytes]
    most_connections: int = 512
    served: int = 0
    bytes: int = 0
    others: Counter[str] = field(default_factory=Counter)
    took: list[float] = field(default_factory=list)
    late: int = 0
    """Requests that were due while all connections were busy."""
    _idle: deque[Client] = field(default_factory=deque)
    _held: int = 0
    _asked: int = 0

    def free(self, client: Client) -> None:
        """A connection can carry another request."""
        self._idle.append(client)

    def gone(self, client: Client, under_way: bool) -> None:
        """A connection has ended."""
        self._held -= 1
        self.others["cut"] += under_way
        if client in self._idle:
            self._idle.remove(client)

    async def connect(self, count: int) -> None:
        """Open so many connections."""
        loop = asyncio.get_running_loop()
        for _ in range(min(count, self.most_connections - self._held)):
            self._held += 1
            _, client = await loop.create_connection(lambda: Client(self), *self.address)
            self._idle.append(client)

    def _ask(self) -> None:
        self._asked += 1
        self._idle.popleft().ask(next(self.keys), b"%016x" % (os.getpid() << 32 | self._asked))

    async def closed_loop(self, requests: int, connections: int) -> None:
        """So many requests, the next on each connection when the one before is answered."""
        await self.connect(connections - self._held)
        left, end = requests, self.served + sum(self.others.values()) + requests
        while self.served + sum(self.others.values()) < end:
            while left and self._idle:
                left -= 1
                self._ask()
            await asyncio.sleep(0 if self._idle else TICK_S)

    async def paced(self, per_s: float, seconds: float) -> None:
        """Requests at a constant rate, whatever becomes of those before."""
        loop = asyncio.get_running_loop()
        begun, asked = loop.time(), 0
        while (passed := loop.time() - begun) < seconds:
            due = int(passed * per_s) - asked
            if due > len(self._idle):
                await self.connect(due - len(self._idle))
            for _ in range(min(due, len(self._idle))):
                asked += 1
                self._ask()
            self.late += max(int((loop.time() - begun) * per_s) - asked > due, 0)
            await asyncio.sleep(TICK_S)

    def forget(self) -> None:
        """Count anew."""
        self.served = self.bytes = self.late = 0
        self.others.clear()
        self.took.clear()


@asynccontextmanager
async def router(
    folder: Path,
    registry: str,
    sockets: int = 8192,
    profile: Path | None = None,
    log: Path | None = None,
    environ: Mapping[str, str] | None = None,
) -> AsyncIterator[tuple[Any, Address]]:
    """A router as the platform starts it; yields its process and its address.

    `profile`: it runs under cProfile, and leaves the figures there when it ends. `log`: what it logs.
    `environ`: variables that only it gets.
    """
    listen = ("127.0.0.1", free_port())
    told = Profile().config("r1", "{}:{}".format(*listen), registry, 1)
    told["limits"]["sockets"] = sockets
    config = folder / "config.json"
    config.write_bytes(orjson.dumps(told))
    words = ["-m", "cProfile", "-o", str(profile)] if profile else []
    with open(log or os.devnull, "wb") as kept:
        process = await asyncio.create_subprocess_exec(
            sys.executable, *words, "-m", "saltport.router",
            env={**environment(), **(environ or {}), "LB_CONFIG": str(config)},
            stderr=kept if log else None,
        )  # fmt: skip
    try:
        if not await wait_ready(listen, START_S):
            raise RuntimeError("the router did not start")
        yield process, listen
    finally:
        if process.returncode is None:
            process.terminate()
            await process.wait()


@asynccontextmanager
async def servers_apart(count: int) -> AsyncIterator[str]:
    """Cache servers in a process of their own, which answer at once; yields the registry's address."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.scale.stand_ins", "--servers", str(count),
        env=environment(), stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        assert process.stdout is not None
        yield (await asyncio.wait_for(process.stdout.readline(), START_S)).decode().strip()
    finally:
        process.terminate()
        await process.wait()


def memory_kb(pid: int) -> int:
    """Resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])


def peak_memory_kb(pid: int) -> int:
    """The most resident memory that a process has had."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0])


def descriptors(pid: int) -> int:
    """Open descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def machine_load() -> float:
    """The machine's load average of the last minute, to be stated beside a figure."""
    return round(os.getloadavg()[0], 1)


async def _serve(count: int) -> None:
    print(await CacheServers().listen(count), flush=True)
    await asyncio.Event().wait()


def main() -> int:
    """Play cache servers until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, default=8)
    uvloop.run(_serve(parser.parse_args().servers))
    return 0


if __name__ == "__main__":
    sys.exit(main())
