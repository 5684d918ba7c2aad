"""UDP and TCP relays on loopback that simulate loss, delay, reordering, duplicates, cuts and throttling.

Each ordered pair of processes has its own relay address, so a fault can apply to one direction only. The same
seed gives the same decisions for the same sequence of datagrams.
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

CHUNK_BYTES = 16 << 10  # most data that is read from a stream at once


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault on one direction of a link; several active faults combine.

    `loss` and `duplicates` are shares of the datagrams, `delay_s` is the range of a random delay in seconds,
    `rate` is in bytes per second; 0 stands for no limit.
    """

    cut: bool = False
    loss: float = 0.0
    """Share of datagrams that are dropped; streams lose no data."""
    duplicates: float = 0.0
    """Share of datagrams that are delivered twice."""
    delay_s: tuple[float, float] = (0.0, 0.0)
    """Range of a random delay per datagram, which may reorder them; a stream is delayed at its start only."""
    max_datagram_bytes: int = 0
    """Longer datagrams are dropped; 0: no limit."""
    rate: float = 0.0
    """Bytes per second beyond which datagrams are dropped and streams are delayed; 0: no limit."""


class Links:
    """The active faults between named endpoints; decides at random which datagrams to drop, delay or copy."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self._faults: dict[int, tuple[frozenset[str], frozenset[str], Fault]] = {}
        self._last_number = 0
        self._budgets: dict[tuple[str, str], float] = {}

    def add_fault(self, source: Iterable[str], target: Iterable[str], fault: Fault) -> int:
        """Start a fault on traffic from `source` to `target` names; return its number for `remove_fault`."""
        self._last_number += 1
        self._faults[self._last_number] = (frozenset(source), frozenset(target), fault)
        return self._last_number

    def remove_fault(self, number: int) -> None:
        """End the fault with this number; an unknown number is ignored."""
        self._faults.pop(number, None)

    def active_faults(self, source: str, target: str) -> list[Fault]:
        """Return the active faults on the direction from `source` to `target`."""
        return [fault for here, there, fault in self._faults.values() if source in here and target in there]

    def delays(self, source: str, target: str, size: int, now: float) -> list[float]:
        """Return the delivery delay of each copy of a datagram, in seconds; empty: it is dropped."""
        delay, copies = 0.0, 1
        for fault in self.active_faults(source, target):
            too_long = fault.max_datagram_bytes and size > fault.max_datagram_bytes
            if fault.cut or too_long or self.rng.random() < fault.loss:
                return []
            if fault.rate and self.throttle_delay(source, target, size, fault.rate, now) > 1.0:
                return []
            delay += self.rng.uniform(*fault.delay_s)
            copies += self.rng.random() < fault.duplicates
        return [delay + 0.001 * copy for copy in range(copies)]

    def throttle_delay(self, source: str, target: str, size: int, rate: float, now: float) -> float:
        """Return the seconds until `size` more bytes pass at `rate`; over 1 s they are not counted."""
        done = max(self._budgets.get((source, target), now), now) + size / rate
        if done - now <= 1.0:
            self._budgets[source, target] = done
        return done - now


class _RelaySocket(asyncio.DatagramProtocol):
    """The relay socket through which one endpoint reaches another."""

    def __init__(self, on_datagram: Callable[[bytes, Any], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass on a datagram with its sender's address."""
        self._on_datagram(data, addr)


class DatagramRelay:
    """Relays datagrams between all pairs of endpoints, which are given with their real addresses."""

    def __init__(self, links: Links, endpoints: Mapping[str, Address]) -> None:
        self.links, self.endpoints = links, dict(endpoints)
        self._transports: dict[tuple[str, str], asyncio.DatagramTransport] = {}

    async def open(self) -> None:
        """Bind a relay socket for each ordered pair of endpoints."""
        loop = asyncio.get_running_loop()
        for end, seen_by in permutations(self.endpoints, 2):
            protocol = partial(_RelaySocket, partial(self._forward, seen_by, end))
            transport, _ = await loop.create_datagram_endpoint(protocol, local_addr=("127.0.0.1", 0))
            self._transports[end, seen_by] = transport

    def address_of(self, end: str, seen_by: str) -> Address:
        """Return the address under which `seen_by` reaches `end`."""
        address: Address = (
            self.endpoints[end]
            if end == seen_by
            else self._transports[end, seen_by].get_extra_info("sockname")
        )
        return address

    def _forward(self, source: str, target: str, data: bytes, sender: Address) -> None:
        """Deliver the copies of a datagram that the active faults leave, after their delays."""
        # Danger: a datagram from any other sender would be delivered as if `source` had sent it.
        if sender != self.endpoints[source]:
            return
        loop = asyncio.get_running_loop()
        for delay in self.links.delays(source, target, len(data), loop.time()):
            if delay > 0:
                loop.call_later(delay, self._deliver, source, target, data)
            else:
                self._deliver(source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        """Send a datagram to the target, from the address under which it knows the source."""
        transport = self._transports[source, target]
        if not transport.is_closing():
            transport.sendto(data, self.endpoints[target])

    def close(self) -> None:
        """Close all relay sockets."""
        for transport in self._transports.values():
            transport.close()


class StreamRelay:
    """A TCP proxy in front of the address `to`: the endpoint `source` reaches `target` through it."""

    def __init__(self, links: Links, source: str, target: str, to: Address) -> None:
        self._links, self._source, self._target, self._to = links, source, target, to
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def open(self) -> Address:
        """Start listening and return the bound address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address: Address = self._server.sockets[0].getsockname()
        return address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect an accepted stream to the target, and copy data in both directions."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.ExitStack() as endpoints:
            endpoints.callback(writer.transport.abort)
            try:
                back, there = await asyncio.open_connection(*self._to)
                endpoints.callback(there.transport.abort)
                async with asyncio.TaskGroup() as both:
                    both.create_task(self._pump(reader, there, self._source, self._target))
                    both.create_task(self._pump(back, writer, self._target, self._source))
            except* (OSError, asyncio.CancelledError):
                pass

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, source: str, target: str
    ) -> None:
        """Copy one direction of a stream, delayed by the active faults, until it ends."""
        loop, first = asyncio.get_running_loop(), True
        while data := await reader.read(CHUNK_BYTES):
            while any(fault.cut for fault in self._links.active_faults(source, target)):
                await asyncio.sleep(0.01)  # data sent during a cut waits until the link is restored
            for fault in self._links.active_faults(source, target):
                if first:
                    await asyncio.sleep(self._links.rng.uniform(*fault.delay_s))
                if fault.rate:
                    await asyncio.sleep(
                        self._links.throttle_delay(source, target, len(data), fault.rate, loop.time())
                    )
            first = False
            writer.write(data)
            await writer.drain()
        writer.write_eof()

    def close(self) -> None:
        """Stop listening and abort the open connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
