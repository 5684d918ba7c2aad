"""Hollow routers: control-plane code on real loopback sockets, without a data path, many in one process.

Where one process is too slow for all of them, their clock runs slower by `factor`. Durations are then
reported in the routers' time; the kernel's work for each datagram is not scaled.
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

MESSAGE_OVERHEAD_BYTES = ENVELOPE_BYTES + len(
    encode(Packet("r1599", 1 << 30, 1 << 20, 1_000, 1 << 31, Payload(b"")))
)
"""Bytes of a message besides its payload: the envelope, and a packet header with large numbers."""


class SealingAgent(Agent):
    """An agent without a socket. It seals and opens each received packet, as a socket would."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._envelope = Envelope((KEY,))

    def receive(self, packet: Packet, source: Place, now: int) -> None:
        """Seal and open a packet, then handle it."""
        opened = self._envelope.open(self._envelope.seal(packet))
        if opened is not None:
            super().receive(opened, source, now)


class SlowClock:
    """Replacement for the module `time` in the link modules: monotonic time runs slower by `factor`."""

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME

    def __init__(self, factor: float) -> None:
        self.factor, self._started_at = factor, time.monotonic_ns()

    def monotonic_ns(self) -> int:
        """Return the routers' monotonic time in nanoseconds."""
        return self._started_at + int((time.monotonic_ns() - self._started_at) / self.factor)

    def clock_gettime_ns(self, _: int) -> int:
        """Return the same as `monotonic_ns`; suspension of the machine is not simulated."""
        return self.monotonic_ns()

    def time(self) -> float:
        """Return the Unix time, which is not slowed."""
        return time.time()


class SlowLoop:
    """An event loop whose timers take `factor` times as long."""

    def __init__(self, loop: asyncio.AbstractEventLoop, factor: float) -> None:
        self._loop, self._factor = loop, factor

    def call_later(
        self, delay: float, callback: Callable[..., object], *arguments: Any
    ) -> asyncio.TimerHandle:
        """Schedule a callback after a delay in the routers' time."""
        return self._loop.call_later(delay * self._factor, callback, *arguments)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)


@dataclass(frozen=True, slots=True)
class Traffic:
    """Datagrams that a router's socket sent and received, and their bytes with IP and UDP headers."""

    datagrams: int
    bytes: int


class HollowLink(PeerLink):
    """A link to the peers that counts received datagrams and its own CPU time."""

    received_datagrams = received_bytes = cpu_ns = 0

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Count and handle a datagram."""
        started_at = time.thread_time_ns()
        self.received_datagrams += 1
        self.received_bytes += len(data)
        super().datagram_received(data, addr)
        self.cpu_ns += time.thread_time_ns() - started_at

    def _tick(self) -> None:
        started_at = time.thread_time_ns()
        super()._tick()
        self.cpu_ns += time.thread_time_ns() - started_at

    def traffic(self) -> Traffic:
        """Return the traffic so far."""
        queue = self.agent.send_queue
        datagrams = queue.sent + self.received_datagrams
        return Traffic(datagrams, fit.udp_bytes(queue.bytes + self.received_bytes, datagrams))


class HollowFleet:
    """A fleet of hollow routers, or some places of one, in this process; create it within `slow_time`."""

    def __init__(
        self,
        count: int,
        clock: SlowClock,
        settings: PeerSettings = SETTINGS,
        addresses: tuple[Address, ...] = (),
        places: Sequence[int] = (),
    ) -> None:
        """Create the links. `addresses` lists the whole fleet where some places run in another process."""
        self.clock, self.count = clock, count
        self.loop: Any = SlowLoop(asyncio.get_running_loop(), clock.factor)
        self.addresses = addresses or free_addresses(count)
        self.events: list[tuple[int, str, MembershipEvent]] = []
        """Time, name of the router that reported it, and membership event."""
        self.links = {f"r{place}": self._link(place, settings) for place in places or range(count)}

    def _link(self, place: int, settings: PeerSettings) -> HollowLink:
        name = f"r{place}"
        plan = PeerPlan(self.addresses[place], self.addresses, f"z{place % 36}", (KEY,))

        def record_event(event: MembershipEvent) -> None:
            self.events.append((self.clock.monotonic_ns(), name, event))

        return HollowLink(self.loop, name, plan, place, lambda: 0, record_event, settings)

    async def open(self) -> None:
        """Open all sockets; the routers then join one another."""
        for link in self.links.values():
            await link.open()

    async def run(self, seconds: float) -> None:
        """Wait for this many seconds of the routers' time."""
        await asyncio.sleep(seconds * self.clock.factor)

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Wait until a condition holds, at most this long; return whether it does."""
        end = self.clock.monotonic_ns() + int(seconds * 1e9)
        while not condition():
            if self.clock.monotonic_ns() > end:
                return False
            await self.run(0.05)
        return True

    def agents(self) -> list[Agent]:
        """Return the agents of all routers in this process."""
        return [link.agent for link in self.links.values()]

    def is_gossip_sent(self) -> bool:
        """Whether no agent has gossip left to send."""
        return not any(len(agent.send_queue.gossip) for agent in self.agents())

    def members_agree(self) -> bool:
        """Whether all agents have the same member records, with all members among them."""
        agents = self.agents()
        return len({a.members.digest for a in agents}) == 1 and len(agents[0].members) == self.count

    async def kill(self, name: str) -> None:
        """Stop a router without notice to its peers."""
        await self.links.pop(name).close(replaced=True)
        self.count -= 1

    async def close(self) -> None:
        """Stop all routers."""
        for name in list(self.links):
            await self.kill(name)

    def sent_totals(self) -> tuple[int, int]:
        """Return the numbers of datagrams and payload bytes that all routers have sent."""
        queues = [link.agent.send_queue for link in self.links.values()]
        return sum(queue.sent for queue in queues), sum(queue.bytes for queue in queues)


@contextmanager
def slow_time(factor: float) -> Iterator[SlowClock]:
    """Make links that are created and run within this context read a clock slowed by `factor`."""
    clock = SlowClock(factor)
    with patch.object(peers_link, "time", clock), patch.object(owners_link, "time", clock):
        yield clock


def free_addresses(count: int) -> tuple[Address, ...]:
    """Return `count` loopback addresses whose UDP ports are free at the moment."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = tuple(("127.0.0.1", int(sock.getsockname()[1])) for sock in sockets)
    for sock in sockets:
        sock.close()
    return addresses
