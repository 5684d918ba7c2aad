"""Hollow routers: real control code on real loopback sockets, without a data path, many in one process.

Where a process can't carry them at true speed, their clock runs slower: all that they do takes `factor` times
as long, figures are told in their time, and the kernel's work for each datagram stays what it is.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any
from unittest.mock import patch

from benchmarks.scale import fit
from saltport.address import Address
from saltport.owners import link as owners_link
from saltport.peers import link as peers_link
from saltport.peers.agent import Agent, MembershipEvent
from saltport.peers.envelope import Envelope
from saltport.peers.link import PeerLink, PeerPlan
from saltport.peers.messages import Packet, Payload, Place, encode
from saltport.peers.send_queue import ENVELOPE_BYTES
from saltport.peers.settings import PeerSettings

KEY = bytes(range(32))
SETTINGS = replace(PeerSettings(), max_members=4_096)

CARRIED = ENVELOPE_BYTES + len(encode(Packet("r1599", 1 << 30, 1 << 20, 1_000, 1 << 31, Payload(b""))))
"""Bytes around a message: the envelope, and a packet with its sender and numbers."""


class WireAgent(Agent):
    """Without a socket: what comes is sealed and opened on its way, as a socket's datagrams are."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._envelope = Envelope((KEY,))

    def receive(self, packet: Packet, source: Place, now: int) -> None:
        """Take a datagram's content once its envelope was opened."""
        opened = self._envelope.open(self._envelope.seal(packet))
        if opened is not None:
            super().receive(opened, source, now)


class SlowClock:
    """Stands for the module `time` where links read it."""

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    def __init__(self, factor: float) -> None:
        self.factor, self._begun = factor, time.monotonic_ns()

    def monotonic_ns(self) -> int:
        """So many nanoseconds of the routers' time."""
        return self._begun + int((time.monotonic_ns() - self._begun) / self.factor)

    def clock_gettime_ns(self, _: int) -> int:
        """The same: nothing here outlives a sleep of the machine."""
        return self.monotonic_ns()

    def time(self) -> float:
        """Unix time."""
        return time.time()


class SlowLoop:
    """An event loop whose timers take so much longer."""

    def __init__(self, loop: asyncio.AbstractEventLoop, factor: float) -> None:
        self._loop, self._factor = loop, factor

    def call_later(self, delay: float, callback: Callable[..., object], *more: Any) -> asyncio.TimerHandle:
        """As the loop's own, in the routers' time."""
        return self._loop.call_later(delay * self._factor, callback, *more)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


@dataclass(frozen=True, slots=True)
class Wire:
    """What passed a router's socket, both ways: datagrams, and bytes with their heads."""

    datagrams: int
    bytes: int


class HollowLink(PeerLink):
    """A router's peers' socket; it counts what comes, and its own processor time."""

    came = came_bytes = spent = 0

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take a datagram."""
        begun = time.thread_time_ns()
        self.came += 1
        self.came_bytes += len(data)
        super().datagram_received(data, addr)
        self.spent += time.thread_time_ns() - begun

    def _tick(self) -> None:
        begun = time.thread_time_ns()
        super()._tick()
        self.spent += time.thread_time_ns() - begun

    def wire(self) -> Wire:
        """So far."""
        box = self.agent.send_queue
        datagrams = box.sent + self.came
        return Wire(datagrams, fit.udp_bytes(box.bytes + self.came_bytes, datagrams))


class Hollows:
    """A fleet of them, or some of its places, in this process; use within `slowed`."""

    def __init__(
        self,
        count: int,
        clock: SlowClock,
        settings: PeerSettings = SETTINGS,
        addresses: tuple[Address, ...] = (),
        places: Sequence[int] = (),
    ) -> None:
        """`addresses`: of the whole fleet, where some of its places are in another process."""
        self.clock, self.count = clock, count
        self.loop: Any = SlowLoop(asyncio.get_running_loop(), clock.factor)
        self.addresses = addresses or free_ports(count)
        self.told: list[tuple[int, str, MembershipEvent]] = []
        """When, by whom, and what."""
        self.links = {f"r{place}": self._link(place, settings) for place in places or range(count)}

    def _link(self, place: int, settings: PeerSettings) -> HollowLink:
        name = f"r{place}"
        plan = PeerPlan(self.addresses[place], self.addresses, f"z{place % 36}", (KEY,))

        def tell(told: MembershipEvent) -> None:
            self.told.append((self.clock.monotonic_ns(), name, told))

        return HollowLink(self.loop, name, plan, place, lambda: 0, tell, settings)

    async def open(self) -> None:
        """Bind all, which then join one another."""
        for link in self.links.values():
            await link.open()

    async def run(self, seconds: float) -> None:
        """Let so much of the routers' time pass."""
        await asyncio.sleep(seconds * self.clock.factor)

    async def until(self, holds: Callable[[], bool], seconds: float) -> bool:
        """Wait until something holds, at most so long; whether it does."""
        end = self.clock.monotonic_ns() + int(seconds * 1e9)
        while not holds():
            if self.clock.monotonic_ns() > end:
                return False
            await self.run(0.05)
        return True

    def agents(self) -> list[Agent]:
        """Of all that run here."""
        return [link.agent for link in self.links.values()]

    def quiet(self) -> bool:
        """Whether nobody has anything to pass on."""
        return not any(len(agent.send_queue.gossip) for agent in self.agents())

    def agree(self) -> bool:
        """Whether all hold the same, and know all."""
        agents = self.agents()
        return len({a.members.digest for a in agents}) == 1 and len(agents[0].members) == self.count

    async def kill(self, name: str) -> None:
        """End one without a word."""
        await self.links.pop(name).close(replaced=True)
        self.count -= 1

    async def close(self) -> None:
        """End all."""
        for name in list(self.links):
            await self.kill(name)

    def sent(self) -> tuple[int, int]:
        """Datagrams, and bytes in them, that all have sent."""
        boxes = [link.agent.send_queue for link in self.links.values()]
        return sum(box.sent for box in boxes), sum(box.bytes for box in boxes)


@contextmanager
def slowed(factor: float) -> Iterator[SlowClock]:
    """Links that are made and driven within read this clock."""
    clock = SlowClock(factor)
    with patch.object(peers_link, "time", clock), patch.object(owners_link, "time", clock):
        yield clock


def free_ports(count: int) -> tuple[Address, ...]:
    """Addresses on loopback that nobody has just now."""
    held = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for one in held:
        one.bind(("127.0.0.1", 0))
    addresses = tuple(("127.0.0.1", int(one.getsockname()[1])) for one in held)
    for one in held:
        one.close()
    return addresses
