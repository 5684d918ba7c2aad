"""Measures discovery watches at fleet size: `python -m benchmarks.scale.discovery [options]`.

The discovery clients of many routers (`saltport/membership/`) watch one stand-in registry over loopback TCP,
each on its own connection; the registry runs in its own process. After an idle phase, servers restart, each
with three changes: draining, removed, up. Bytes are the kernel's count plus 40 bytes of headers for each
segment.
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
from saltport.lifecycle.process import GC_THRESHOLD
from saltport.membership.listing import Listing
from saltport.membership.registry import Discovery
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import ListSteps
from saltport.standins.ledger import Ledger
from saltport.standins.registry import Registry

SERVER_COUNT = 680
IDLE_S, RESTART_COUNT, GAP_S = 6.0, 30, 0.02
LIST_SIZES = (85, 170, 340, 680, 1_360)
_TCP_INFO = struct.Struct("120xQQII")  # tcpi_bytes_acked, _bytes_received, _segs_out, _segs_in


@dataclass(frozen=True, slots=True)
class Watches:
    """Cost of a watch for one router, idle and for each change; seconds until routers know of a change."""

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
    """Cost of a full list, as read at the start and after the connection to discovery was lost."""

    servers: int
    wire_bytes: float
    read_ms: float
    memory_kb: float


class _NoLedger(Ledger):
    """A ledger that discards its records."""

    def write(self, kind: str, t: int | None = None, **fields: Any) -> None:
        pass


def server_entry(number: int, state: str = "up", started_at_ms: int = 1_700_000_000_000) -> dict[str, Any]:
    """Return the entry of one server in the format of discovery."""
    return {
        "instanceId": f"cache-{number:04}", "hostPort": f"10.0.{number >> 8}.{number & 255}:7000",
        "zone": f"zone-{number % 36:02}", "machineType": "std", "cell": 0, "lifecycle": state,
        "weight": 1.0, "startedAtMs": started_at_ms,
    }  # fmt: skip


async def _run_registry(commands: Connection) -> None:
    registry = Registry(_NoLedger("registry"))
    for number in range(SERVER_COUNT):
        registry.published[f"cache-{number:04}"] = server_entry(number)
    commands.send(registry.listen("all"))
    while (command := await asyncio.to_thread(commands.recv)) is not None:
        if command == "cpu":
            commands.send(time.process_time())
        else:
            # Take the time first: otherwise a router could receive the change before the time was taken.
            commands.send((time.monotonic(), registry.version + 1))
            registry.change(command)


def _serve_registry(commands: Connection) -> None:
    uvloop.run(_run_registry(commands))


class _ArrivalTimes:
    """Times at which routers received each version of the list."""

    def __init__(self, routers: int) -> None:
        self.times: dict[int, list[float]] = defaultdict(list)
        self._routers, self._all_arrived = routers, asyncio.Event()

    def add(self, version: int) -> None:
        """Record that one router has received a version."""
        self.times[version].append(time.monotonic())
        if len(self.times[version]) == self._routers:
            self._all_arrived.set()

    async def wait_for_all(self, version: int, seconds: float) -> None:
        """Wait until all routers have received a version, at most this long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while len(self.times[version]) < self._routers:
                    self._all_arrived.clear()
                    await self._all_arrived.wait()


class _WatchingRouter:
    """The discovery client of one router, with counts of its replies."""

    def __init__(self, address: tuple[str, int], number: int, arrivals: _ArrivalTimes) -> None:
        self._arrivals, self._version = arrivals, 0
        self.calls = 0
        self.discovery = Discovery(
            address, False, StartTimes(), self._on_list, lambda: None, 10.0, random.Random(number)
        )

    def _on_list(self, listing: Listing) -> None:
        self.calls += not listing.has_more
        if listing.generation != self._version and not listing.has_more:
            self._version = listing.generation
            self._arrivals.add(listing.generation)

    def wire_bytes(self) -> int:
        """Return the bytes on the wire in both directions so far."""
        call = self.discovery._call
        assert call is not None
        assert call.transport is not None
        tcp_info = call.transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, 192
        )
        sent, received, segments_out, segments_in = _TCP_INFO.unpack_from(tcp_info)
        return int(sent + received + fit.IP_TCP_HEADER_BYTES * (segments_out + segments_in))


@dataclass(frozen=True, slots=True)
class _Totals:
    """Totals of all routers so far, and the registry's CPU seconds."""

    wire: int
    calls: int
    cpu: float
    registry_cpu: float


async def _measure_watches(count: int, commands: Connection, idle_s: float, restarts: int) -> Watches:
    loop = asyncio.get_running_loop()

    async def send_command(command: Any) -> Any:
        commands.send(command)
        return await loop.run_in_executor(None, commands.recv)

    async def read_totals() -> _Totals:
        wire, calls = sum(router.wire_bytes() for router in routers), sum(router.calls for router in routers)
        return _Totals(wire, calls, time.process_time(), await send_command("cpu"))

    address = await loop.run_in_executor(None, commands.recv)
    memory = fit.resident_bytes()
    arrivals = _ArrivalTimes(count)
    routers = [_WatchingRouter(address, number, arrivals) for number in range(count)]
    for router in routers:
        router.discovery.start()
        await asyncio.sleep(min(2.5, idle_s) / count)  # spread over the length of a watch call, as in a fleet
    await arrivals.wait_for_all(1, 60)
    memory = fit.resident_bytes() - memory
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 1_000, 1_000)
    started_at, before_idle = time.monotonic(), await read_totals()
    await asyncio.sleep(idle_s)
    idle_elapsed_s, after_idle = time.monotonic() - started_at, await read_totals()
    arrival_times: list[list[float]] = []
    started_at = time.monotonic()
    for number in range(restarts):
        for state, start_number in (("draining", 1), ("removed", 1), ("up", 2)):
            at, version = await send_command(server_entry(number, state, 1_700_000_000_000 + start_number))
            await arrivals.wait_for_all(version, 10)
            missing = [math.inf] * (count - len(arrivals.times[version]))
            arrival_times.append([arrived_at - at for arrived_at in arrivals.times[version]] + missing)
            await asyncio.sleep(GAP_S)
    changes_s, after_changes = time.monotonic() - started_at, await read_totals()
    for router in routers:
        router.discovery.close()
    commands.send(None)
    change_count = len(arrival_times)

    def per_change(name: str) -> float:
        idle_rate = (getattr(after_idle, name) - getattr(before_idle, name)) / idle_elapsed_s
        return float(
            (getattr(after_changes, name) - getattr(after_idle, name) - idle_rate * changes_s)
            / change_count
            / count
        )

    def mean(share: float) -> float:
        return sum(fit.quantile(change_times, share) for change_times in arrival_times) / change_count

    return Watches(
        count,
        (after_idle.wire - before_idle.wire) / count / idle_elapsed_s,
        (after_idle.calls - before_idle.calls) / count / idle_elapsed_s,
        (after_idle.cpu - before_idle.cpu) / count / idle_elapsed_s * 100,
        memory / count / 1024,
        per_change("wire"),
        per_change("cpu") * 1e6,
        mean(0.5),
        mean(0.99),
        mean(1.0),
        per_change("registry_cpu") * 1e6,
    )


def measure_watches(routers: int, idle_s: float = IDLE_S, restarts: int = RESTART_COUNT) -> Watches:
    """Measure the watches of this many routers, with a registry process of their own."""
    context = multiprocessing.get_context("spawn")
    own_end, registry_end = context.Pipe()
    server = context.Process(target=_serve_registry, args=(registry_end,))
    server.start()
    try:
        return uvloop.run(_measure_watches(routers, own_end, idle_s, restarts))
    finally:
        server.join(10)
        if server.is_alive():
            server.kill()


def measure_lists(servers: int, copies: int = 20) -> Lists:
    """Measure reading a full list of this many servers, once for each of `copies` routers."""
    entries = [server_entry(number) for number in range(servers)]
    data = orjson.dumps({"generation": 1, "reset": True, "instances": entries})
    memory, cpu_s, retained = fit.resident_bytes(), 0.0, []
    for _ in range(copies):
        steps = ListSteps(StartTimes())
        started_at = time.process_time()
        listings = [listing for listing in steps.changes(orjson.loads(data)) if listing is not None]
        cpu_s += time.process_time() - started_at
        retained.append((steps, listings))
    memory = fit.resident_bytes() - memory
    return Lists(servers, fit.tcp_bytes(len(data)), cpu_s / copies * 1e3, memory / copies / 1024)


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, default=fit.FLEET_SIZES, show_default=True)
def main(sizes: tuple[int, ...]) -> None:
    """Run the measurement from the command line."""
    list_rows = [fit.run_isolated(measure_lists, size) for size in LIST_SIZES]
    fits_text = fit.format_fits(list_rows, "servers", ("wire_bytes", "read_ms", "memory_kb"), SERVER_COUNT)
    click.echo(f"whole lists\n{fit.format_table(list_rows)}\n{fits_text}")
    watch_rows = [measure_watches(size) for size in sizes]
    names = ("rest_bytes_per_s", "rest_cpu_percent", "change_bytes", "change_cpu_us", "all")
    click.echo(
        f"watches of {SERVER_COUNT} servers\n{fit.format_table(watch_rows)}\n"
        f"{fit.format_fits(watch_rows, 'routers', names)}"
    )


if __name__ == "__main__":
    main()
