"""Discovery and its watches at fleet size: `python -m benchmarks.scale.discovery [options]`.

So many routers' own clients (`membership/`) watch one stand-in registry over loopback TCP, each on a
connection of its own; the registry has a process of its own. First they rest, then servers restart, each
in three changes: draining, removed, up again. Bytes are the kernel's own count, with 40 for each segment.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import math
import multiprocessing
import random
import socket
import struct
import time
from collections import defaultdict
from dataclasses import dataclass
from multiprocessing.connection import Connection
from typing import Any

import click
import orjson
import uvloop

from benchmarks.scale import fit
from saltport.membership.listing import Listing
from saltport.membership.registry import Discovery
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import ListSteps
from saltport.router.__main__ import GC_THRESHOLD
from saltport.standins.ledger import Ledger
from saltport.standins.registry import Registry

SERVERS = 680
REST_S, RESTARTS, GAP_S = 6.0, 30, 0.02
LIST_SIZES = (85, 170, 340, 680, 1_360)
_TCP_INFO = struct.Struct("120xQQII")  # tcpi_bytes_acked, _bytes_received, _segs_out, _segs_in


@dataclass(frozen=True, slots=True)
class Watches:
    """Of one router, while the list rests and for each change of it; times until routers know, seconds."""

    routers: int
    rest_bytes_per_s: float
    rest_calls_per_s: float
    rest_cpu_percent: float
    memory_kb: float
    change_bytes: float
    change_cpu_us: float
    half: float
    most: float
    all: float
    registry_cpu_us_a_change_and_router: float


@dataclass(frozen=True, slots=True)
class Lists:
    """The whole list, as it is read at a start and after discovery was lost."""

    servers: int
    wire_bytes: float
    read_ms: float
    memory_kb: float


class _NoLedger(Ledger):
    def write(self, kind: str, t: int | None = None, **fields: Any) -> None:
        pass


def entry(number: int, state: str = "up", started: int = 1_700_000_000_000) -> dict[str, Any]:
    """Of one server, in discovery's form."""
    return {
        "instanceId": f"cache-{number:04}", "hostPort": f"10.0.{number >> 8}.{number & 255}:7000",
        "zone": f"zone-{number % 36:02}", "machineType": "std", "cell": 0, "lifecycle": state,
        "weight": 1.0, "startedAtMs": started,
    }  # fmt: skip


async def _registry(orders: Connection) -> None:
    registry = Registry(_NoLedger("registry"))
    for number in range(SERVERS):
        registry.published[f"cache-{number:04}"] = entry(number)
    orders.send(registry.listen("all"))
    while (order := await asyncio.to_thread(orders.recv)) is not None:
        if order == "cpu":
            orders.send(time.process_time())
        else:
            # The time first: what is told before the change is out would look instant.
            orders.send((time.monotonic(), registry.version + 1))
            registry.change(order)


def _serve(orders: Connection) -> None:
    uvloop.run(_registry(orders))


class _Arrivals:
    """When each version was heard, by all."""

    def __init__(self, routers: int) -> None:
        self.times: dict[int, list[float]] = defaultdict(list)
        self._routers, self._full = routers, asyncio.Event()

    def add(self, version: int) -> None:
        """One router has it."""
        self.times[version].append(time.monotonic())
        if len(self.times[version]) == self._routers:
            self._full.set()

    async def all(self, version: int, seconds: float) -> None:
        """Wait until all have it, at most so long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while len(self.times[version]) < self._routers:
                    self._full.clear()
                    await self._full.wait()


class _Router:
    """One router's watch."""

    def __init__(self, address: tuple[str, int], number: int, arrivals: _Arrivals) -> None:
        self._arrivals, self._version = arrivals, 0
        self.calls = 0
        self.discovery = Discovery(
            address, False, StartTimes(), self._take, lambda: None, 10.0, random.Random(number)
        )

    def _take(self, listing: Listing) -> None:
        self.calls += not listing.has_more
        if listing.generation != self._version and not listing.has_more:
            self._version = listing.generation
            self._arrivals.add(listing.generation)

    def wire(self) -> int:
        """Bytes both ways, so far."""
        call = self.discovery._call
        assert call is not None
        assert call.transport is not None
        told = call.transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 192)
        sent, came, segments_out, segments_in = _TCP_INFO.unpack_from(told)
        return int(sent + came + fit.IP_TCP_HEAD * (segments_out + segments_in))


@dataclass(frozen=True, slots=True)
class _Sum:
    """Of all routers, so far."""

    wire: int
    calls: int
    cpu: float
    registry_cpu: float


async def _watch(count: int, orders: Connection, rest_s: float, restarts: int) -> Watches:
    loop = asyncio.get_running_loop()

    async def ask(order: Any) -> Any:
        orders.send(order)
        return await loop.run_in_executor(None, orders.recv)

    async def total() -> _Sum:
        wire, calls = sum(r.wire() for r in routers), sum(r.calls for r in routers)
        return _Sum(wire, calls, time.process_time(), await ask("cpu"))

    address = await loop.run_in_executor(None, orders.recv)
    memory = fit.resident_bytes()
    arrivals = _Arrivals(count)
    routers = [_Router(address, number, arrivals) for number in range(count)]
    for router in routers:
        router.discovery.start()
        await asyncio.sleep(min(2.5, rest_s) / count)  # spread over a wait, as a fleet's are
    await arrivals.all(1, 60)
    memory = fit.resident_bytes() - memory
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 1_000, 1_000)
    begun, before = time.monotonic(), await total()
    await asyncio.sleep(rest_s)
    span, rest = time.monotonic() - begun, await total()
    times: list[list[float]] = []
    begun = time.monotonic()
    for number in range(restarts):
        for state, started in (("draining", 1), ("removed", 1), ("up", 2)):
            at, version = await ask(entry(number, state, 1_700_000_000_000 + started))
            await arrivals.all(version, 10)
            late = [math.inf] * (count - len(arrivals.times[version]))
            times.append([heard - at for heard in arrivals.times[version]] + late)
            await asyncio.sleep(GAP_S)
    changing, after = time.monotonic() - begun, await total()
    for router in routers:
        router.discovery.close()
    orders.send(None)
    changes = len(times)

    def a_change(name: str) -> float:
        calm = (getattr(rest, name) - getattr(before, name)) / span
        return float((getattr(after, name) - getattr(rest, name) - calm * changing) / changes / count)

    def mean(share: float) -> float:
        return sum(fit.share_of(told, share) for told in times) / changes

    return Watches(
        count, (rest.wire - before.wire) / count / span, (rest.calls - before.calls) / count / span,
        (rest.cpu - before.cpu) / count / span * 100, memory / count / 1024, a_change("wire"),
        a_change("cpu") * 1e6, mean(0.5), mean(0.99), mean(1.0), a_change("registry_cpu") * 1e6,
    )  # fmt: skip


def watches(routers: int, rest_s: float = REST_S, restarts: int = RESTARTS) -> Watches:
    """One size, with a registry of its own."""
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe()
    server = context.Process(target=_serve, args=(there,))
    server.start()
    try:
        return uvloop.run(_watch(routers, here, rest_s, restarts))
    finally:
        server.join(10)
        if server.is_alive():
            server.kill()


def lists(servers: int, copies: int = 20) -> Lists:
    """Read a whole list so many times, as as many routers."""
    entries = [entry(number) for number in range(servers)]
    data = orjson.dumps({"generation": 1, "reset": True, "instances": entries})
    memory, spent, held = fit.resident_bytes(), 0.0, []
    for _ in range(copies):
        steps = ListSteps(StartTimes())
        begun = time.process_time()
        told = [listing for listing in steps.changes(orjson.loads(data)) if listing is not None]
        spent += time.process_time() - begun
        held.append((steps, told))
    memory = fit.resident_bytes() - memory
    return Lists(servers, fit.tcp_bytes(len(data)), spent / copies * 1e3, memory / copies / 1024)


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, default=fit.SIZES, show_default=True)
def main(sizes: tuple[int, ...]) -> None:
    """Measure."""
    rows = [fit.apart(lists, size) for size in LIST_SIZES]
    told = fit.fits(rows, "servers", ("wire_bytes", "read_ms", "memory_kb"), SERVERS)
    click.echo(f"whole lists\n{fit.table(rows)}\n{told}")
    found = [watches(size) for size in sizes]
    names = ("rest_bytes_per_s", "rest_cpu_percent", "change_bytes", "change_cpu_us", "all")
    click.echo(f"watches of {SERVERS} servers\n{fit.table(found)}\n{fit.fits(found, 'routers', names)}")


if __name__ == "__main__":
    main()
