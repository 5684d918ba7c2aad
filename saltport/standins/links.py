"""Relays between processes on loopback, UDP and TCP, which drop, delay, reorder, double, cut and throttle.

Each ordered pair of processes has an address of its own, under which one sees the other: cuts may be
one-sided.
The same seed decides alike for the same datagrams in the same order.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from itertools import permutations
from typing import Any

from saltport.address import Address

CHUNK = 16 << 10


@dataclass(frozen=True, slots=True)
class Fault:
    """What happens on one direction of a link; several at a time add up."""

    cut: bool = False
    loss: float = 0.0
    """Share of datagrams; streams lose nothing."""
    doubles: float = 0.0
    delay_s: tuple[float, float] = (0.0, 0.0)
    """Drawn for each datagram, so that a wide range reorders; streams wait for the first."""
    most_size: int = 0
    """Longer datagrams never arrive; 0: all do."""
    rate: float = 0.0
    """Bytes a second, beyond which datagrams are dropped and streams wait; 0: any."""


class Links:
    """All faults between named ends; `fault` and `mend` take sets of names for either side."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self._faults: dict[int, tuple[frozenset[str], frozenset[str], Fault]] = {}
        self._made = 0
        self._budgets: dict[tuple[str, str], float] = {}

    def fault(self, source: Iterable[str], target: Iterable[str], fault: Fault) -> int:
        """Begin a fault on all that goes from these to those; returns its number, for `mend`."""
        self._made += 1
        self._faults[self._made] = (frozenset(source), frozenset(target), fault)
        return self._made

    def mend(self, number: int) -> None:
        """End a fault."""
        self._faults.pop(number, None)

    def on(self, source: str, target: str) -> list[Fault]:
        """The faults in force from one end to another."""
        return [fault for here, there, fault in self._faults.values() if source in here and target in there]

    def delays(self, source: str, target: str, size: int, now: float) -> list[float]:
        """When copies of a datagram arrive, in seconds from now; empty: never."""
        delay, copies = 0.0, 1
        for fault in self.on(source, target):
            too_long = fault.most_size and size > fault.most_size
            if fault.cut or too_long or self.rng.random() < fault.loss:
                return []
            if fault.rate and self.wait(source, target, size, fault.rate, now) > 1.0:
                return []
            delay += self.rng.uniform(*fault.delay_s)
            copies += self.rng.random() < fault.doubles
        return [delay + 0.001 * copy for copy in range(copies)]

    def wait(self, source: str, target: str, size: int, rate: float, now: float) -> float:
        """Seconds until so many bytes have passed at this rate; beyond a second they do not count."""
        done = max(self._budgets.get((source, target), now), now) + size / rate
        if done - now <= 1.0:
            self._budgets[source, target] = done
        return done - now


class _Side(asyncio.DatagramProtocol):
    """An address under which one end sees another."""

    def __init__(self, came: Callable[[bytes, Any], None]) -> None:
        self._came = came

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._came(data, addr)


class DatagramRelay:
    """Between all pairs of ends that are given with their real addresses."""

    def __init__(self, links: Links, ends: Mapping[str, Address]) -> None:
        self.links, self.ends = links, dict(ends)
        self._sides: dict[tuple[str, str], asyncio.DatagramTransport] = {}

    async def open(self) -> None:
        """Bind an address for each pair."""
        loop = asyncio.get_running_loop()
        for me, by in permutations(self.ends, 2):
            side = partial(_Side, partial(self._came, by, me))
            transport, _ = await loop.create_datagram_endpoint(side, local_addr=("127.0.0.1", 0))
            self._sides[me, by] = transport

    def seen(self, me: str, by: str) -> Address:
        """Under which address one sees another."""
        address: Address = self.ends[me] if me == by else self._sides[me, by].get_extra_info("sockname")
        return address

    def _came(self, source: str, target: str, data: bytes, sender: Address) -> None:
        # Danger: from anybody else it would reach its target under a false name.
        if sender != self.ends[source]:
            return
        loop = asyncio.get_running_loop()
        for delay in self.links.delays(source, target, len(data), loop.time()):
            if delay > 0:
                loop.call_later(delay, self._arrive, source, target, data)
            else:
                self._arrive(source, target, data)

    def _arrive(self, source: str, target: str, data: bytes) -> None:
        transport = self._sides[source, target]
        if not transport.is_closing():
            transport.sendto(data, self.ends[target])

    def close(self) -> None:
        """Carry nothing more."""
        for transport in self._sides.values():
            transport.close()


class StreamRelay:
    """One TCP listener in front of another address: `source` reaches `target` through it."""

    def __init__(self, links: Links, source: str, target: str, to: Address) -> None:
        self._links, self._source, self._target, self._to = links, source, target, to
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def open(self) -> Address:
        """Listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address: Address = self._server.sockets[0].getsockname()
        return address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.ExitStack() as ends:
            ends.callback(writer.transport.abort)
            try:
                back, there = await asyncio.open_connection(*self._to)
                ends.callback(there.transport.abort)
                async with asyncio.TaskGroup() as both:
                    both.create_task(self._pump(reader, there, self._source, self._target))
                    both.create_task(self._pump(back, writer, self._target, self._source))
            except* (OSError, asyncio.CancelledError):
                pass

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, target: str
    ) -> None:
        loop, first = asyncio.get_running_loop(), True
        while data := await reader.read(CHUNK):
            while any(fault.cut for fault in self._links.on(source, target)):
                await asyncio.sleep(0.01)  # a cut machine says nothing: what it sends waits for the link
            for fault in self._links.on(source, target):
                if first:
                    await asyncio.sleep(self._links.rng.uniform(*fault.delay_s))
                if fault.rate:
                    await asyncio.sleep(self._links.wait(source, target, len(data), fault.rate, loop.time()))
            first = False
            writer.write(data)
            await writer.drain()
        writer.write_eof()

    def close(self) -> None:
        """Listen no more, and end what is open."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
