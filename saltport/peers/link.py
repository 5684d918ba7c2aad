"""The socket between routers: datagrams in and out, places and addresses, the agent's time."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, cast

from saltport.address import Address
from saltport.peers.agent import Agent, MembershipEvent
from saltport.peers.envelope import Envelope
from saltport.peers.messages import Carried, Place
from saltport.peers.report import report
from saltport.peers.send_queue import Identity
from saltport.peers.settings import NS_PER_S, PeerSettings

BIND_EVERY_S = 0.1
LEAVE_GAP_S = 0.05  # between the two times that a router says it goes
STARTS_FROM = 1_700_000_000  # Unix time: start numbers have four bytes until 2032, and more from then on
# Danger: of a process that starts again within one step, all datagrams would count as replays.
STARTS_A_SECOND = 16
LEAST_TURN_NS = 10_000_000
MOST_CARRIED = 200  # bytes, where names have at most 14 characters
LAG_DECAY = 0.9  # a turn

log = logging.getLogger("saltport")


@dataclass(frozen=True, slots=True)
class PeerPlan:
    """Where this router is among its peers."""

    listen: Address
    peers: tuple[Address, ...]
    """By number, as this router sees them; its own is among them, or it is known by its address alone."""
    zone: str
    keys: tuple[bytes, ...]

    @property
    def place(self) -> Place:
        """This router's own."""
        return self.peers.index(self.listen) if self.listen in self.peers else packed(self.listen)


def packed(address: Address) -> bytes:
    """Four bytes of address and two of port; raises OSError for what is no IPv4 address."""
    return socket.inet_aton(address[0]) + address[1].to_bytes(2, "big")


class PeerLink(asyncio.DatagramProtocol):
    """One router's part in membership, driven by the loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        plan: PeerPlan,
        seed: int,
        lag: Callable[[], int],
        told: Callable[[MembershipEvent], None],
        settings: PeerSettings | None = None,
    ) -> None:
        self._loop, self._plan, self._lag, self._tell = loop, plan, lag, told
        self._envelope = Envelope(plan.keys)
        self.carried: Callable[[str, bytes], None] | None = None
        """Takes what other parts of live routers send, by the sender's name."""
        self.marked: dict[int, Callable[[str, bytes], None]] = {}
        """Takes what begins with this byte in its place, without it."""
        self._numbers = {address: number for number, address in enumerate(plan.peers)}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._name, self._seed, self._settings = name, seed, settings or PeerSettings()
        self.agent = self._begin()

    def _begin(self) -> Agent:
        # The clock only gives the first guess: whoever knows a later start of this name says so.
        start = max(int((time.time() - STARTS_FROM) * STARTS_A_SECOND), 1)
        me = Identity(self._name, start, self._plan.place, self._plan.zone)
        seeds: Sequence[Place] = range(len(self._plan.peers))
        now = time.monotonic_ns()
        return Agent(me, seeds, self._settings, random.Random(self._seed ^ now), now)

    async def open(self) -> None:
        """Bind, and begin; while a process before this one holds the address, wait for its end."""
        waited = False
        while not self._closed:
            try:
                await self._loop.create_datagram_endpoint(lambda: self, local_addr=self._plan.listen)
            except OSError as error:
                if not waited:
                    log.info("peers: %s:%d can't be had yet: %s", *self._plan.listen, error.strerror or error)
                waited = True
                await asyncio.sleep(BIND_EVERY_S)
            else:
                # Danger: begun before the earlier process has ended, both might have one start number.
                self.agent = self._begin()
                self._turn()
                return

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is bound."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take a datagram, if its envelope is good."""
        packet = self._envelope.open(data)
        if packet is None:
            return
        number = self._numbers.get(addr)
        self.agent.receive(packet, packed(addr) if number is None else number, time.monotonic_ns())
        self._carry()
        if isinstance(packet.body, Carried) and packet.body.data:
            record = self.agent.members.records.get(packet.sender)
            if record is not None and record.live and record.start == packet.start:
                self._hand_on(packet.sender, packet.body.data)

    def _hand_on(self, sender: str, data: bytes) -> None:
        if data[0] in self.marked:
            self.marked[data[0]](sender, data[1:])
        elif self.carried is not None:
            self.carried(sender, data)

    def send_to(self, name: str, data: bytes) -> None:
        """Send something of another part to a router, if it is known; at most `MOST_CARRIED` bytes."""
        self.agent.send_queue.send_to(name, Carried(data), time.monotonic_ns())
        self._carry()

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there just now: the probes tell as much."""

    def use_keys(self, keys: tuple[bytes, ...]) -> None:
        """Go on with these keys."""
        self._envelope.use(keys)

    def view(self) -> dict[str, Any]:
        """What this router believes, for people."""
        told = report(self.agent, time.monotonic_ns())
        return {**told, "bound": self._transport is not None, "dropped": dict(self._envelope.dropped)}

    def settle(self) -> None:
        """Take the present view as the yardstick of majorities."""
        self.agent.views.settle(time.monotonic_ns())

    def _turn(self) -> None:
        now = time.monotonic_ns()
        health = self.agent.local_health
        late = max(now - self.agent.due, 0) if self._timer is not None else 0
        most = self.agent.settings.gap // 2  # longer is a pause, which the agent notices by itself
        health.lag = min(max(late, self._lag(), int(health.lag * LAG_DECAY)), most)
        try:
            self.agent.turn(now)
            self._carry()
        finally:
            # Danger: a fault in one turn must not be the last one.
            wait = max(self.agent.due - time.monotonic_ns(), LEAST_TURN_NS) / NS_PER_S
            self._timer = self._loop.call_later(wait, self._turn)

    def _carry(self) -> None:
        transport, peers = self._transport, self._plan.peers
        for place, packet in self.agent.take():
            if isinstance(place, bytes):
                address = (socket.inet_ntoa(place[:4]), int.from_bytes(place[4:], "big"))
            elif 0 <= place < len(peers):
                address = peers[place]
            else:
                continue  # a later list has more peers than this router's
            if transport is not None and address[1]:
                transport.sendto(self._envelope.seal(packet), address)
        for event in self.agent.take_events():
            self._tell(event)

    async def close(self, replaced: bool) -> None:
        """End; `replaced`: another process goes on under this name, and nobody needs to hear of it."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is None:
            return
        if not replaced:
            for _ in range(2):
                self.agent.leave(time.monotonic_ns())
                self._carry()
                await asyncio.sleep(LEAVE_GAP_S)
        self._transport.close()
        self._transport = None
