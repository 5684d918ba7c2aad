"""The UDP socket between routers, which maps peer numbers to addresses and drives the agent."""

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
from saltport.peers.messages import Payload, Place
from saltport.peers.report import report
from saltport.peers.send_queue import Identity
from saltport.peers.settings import NS_PER_S, PeerSettings

BIND_RETRY_S = 0.1  # time between attempts to bind the address
LEAVE_INTERVAL_S = 0.05  # time between the two announcements of a departure
START_NUMBER_EPOCH_S = 1_700_000_000  # Unix time; start numbers fit four bytes until 2032
# Danger: if a process restarted before the start number has grown, all its datagrams would count as replays.
START_NUMBERS_PER_S = 16
MIN_TICK_NS = 10_000_000  # minimum time between two ticks of the agent
MAX_PAYLOAD_BYTES = 200  # limit of a payload if router names have at most 14 characters
LAG_DECAY = 0.9  # factor by which the recorded lag of the event loop decays at each tick

log = logging.getLogger("saltport")


@dataclass(frozen=True, slots=True)
class PeerPlan:
    """The peer configuration of this router: its address, the other routers, its zone and the keys."""

    listen: Address
    peers: tuple[Address, ...]
    """The configured addresses by peer number.

    Where this router's own is missing, it is known by its address only.
    """
    zone: str
    keys: tuple[bytes, ...]

    @property
    def place(self) -> Place:
        """The place of this router: its peer number, or its packed address."""
        return self.peers.index(self.listen) if self.listen in self.peers else packed(self.listen)


def packed(address: Address) -> bytes:
    """Return four bytes of address and two of port; raises OSError where it is not an IPv4 address."""
    return socket.inet_aton(address[0]) + address[1].to_bytes(2, "big")


class PeerLink(asyncio.DatagramProtocol):
    """Runs the membership agent of one router on the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        plan: PeerPlan,
        seed: int,
        lag: Callable[[], int],
        on_event: Callable[[MembershipEvent], None],
        settings: PeerSettings | None = None,
    ) -> None:
        self._loop, self._plan, self._lag, self._on_event = loop, plan, lag, on_event
        self._envelope = Envelope(plan.keys)
        self.on_payload: Callable[[str, bytes], None] | None = None
        """Handles payloads without a registered prefix; called with the sender's name and the data."""
        self.prefix_handlers: dict[int, Callable[[str, bytes], None]] = {}
        """Handlers of payloads by their first byte, called without this byte."""
        self._numbers = {address: number for number, address in enumerate(plan.peers)}
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._name, self._seed, self._settings = name, seed, settings or PeerSettings()
        self.agent = self._create_agent()

    def _create_agent(self) -> Agent:
        """Return a new agent with a start number from the clock.

        The number is only a first guess: other routers report a later start of this name that they know of.
        """
        start = max(int((time.time() - START_NUMBER_EPOCH_S) * START_NUMBERS_PER_S), 1)
        me = Identity(self._name, start, self._plan.place, self._plan.zone)
        seeds: Sequence[Place] = range(len(self._plan.peers))
        now = time.monotonic_ns()
        return Agent(me, seeds, self._settings, random.Random(self._seed ^ now), now)

    async def open(self) -> None:
        """Bind the UDP socket and start the membership agent.

        Retries for as long as the address cannot be bound, for example because the previous process of this
        router still uses it. Returns without binding if the link is closed meanwhile.
        """
        waited = False
        while not self._closed:
            try:
                await self._loop.create_datagram_endpoint(lambda: self, local_addr=self._plan.listen)
            except OSError as error:
                if not waited:
                    log.info(
                        "peers: %s:%d cannot be bound yet: %s", *self._plan.listen, error.strerror or error
                    )
                waited = True
                await asyncio.sleep(BIND_RETRY_S)
            else:
                # Danger: if the agent was created before the previous process ended, both could have the same
                # start number.
                self.agent = self._create_agent()
                self._tick()
                return

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport once the socket is bound."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Process a datagram whose envelope is valid, and pass on its payload."""
        packet = self._envelope.open(data)
        if packet is None:
            return
        number = self._numbers.get(addr)
        self.agent.receive(packet, packed(addr) if number is None else number, time.monotonic_ns())
        self._flush()
        if isinstance(packet.body, Payload) and packet.body.data:
            record = self.agent.members.records.get(packet.sender)
            if record is not None and record.live and record.start == packet.start:
                self._dispatch(packet.sender, packet.body.data)

    def _dispatch(self, sender: str, data: bytes) -> None:
        """Pass a payload to the handler of its prefix, or to `on_payload`."""
        if data[0] in self.prefix_handlers:
            self.prefix_handlers[data[0]](sender, data[1:])
        elif self.on_payload is not None:
            self.on_payload(sender, data)

    def send_to(self, name: str, data: bytes) -> None:
        """Send a payload of at most `MAX_PAYLOAD_BYTES` bytes to a router, if its address is known."""
        self.agent.send_queue.send_to(name, Payload(data), time.monotonic_ns())
        self._flush()

    def error_received(self, exc: Exception) -> None:
        """Ignore socket errors: probes detect unreachable routers."""

    def use_keys(self, keys: tuple[bytes, ...]) -> None:
        """Replace the keys."""
        self._envelope.use_keys(keys)

    def view(self) -> dict[str, Any]:
        """Return the membership report, with the state of the socket and the dropped datagrams."""
        membership = report(self.agent, time.monotonic_ns())
        return {**membership, "bound": self._transport is not None, "dropped": dict(self._envelope.dropped)}

    def settle(self) -> None:
        """Make the present view the reference for majorities."""
        self.agent.views.settle(time.monotonic_ns())

    def _tick(self) -> None:
        """Measure the event-loop lag, run the agent's tick and schedule the next one."""
        now = time.monotonic_ns()
        health = self.agent.local_health
        delay_ns = max(now - self.agent.due, 0) if self._timer is not None else 0
        # A longer delay is a pause, which the agent detects itself.
        max_lag_ns = self.agent.settings.pause_threshold_ns // 2
        health.lag_ns = min(max(delay_ns, self._lag(), int(health.lag_ns * LAG_DECAY)), max_lag_ns)
        try:
            self.agent.tick(now)
            self._flush()
        finally:
            # Danger: without this, an exception in one tick would stop all further ones.
            wait_s = max(self.agent.due - time.monotonic_ns(), MIN_TICK_NS) / NS_PER_S
            self._timer = self._loop.call_later(wait_s, self._tick)

    def _flush(self) -> None:
        """Send the agent's packets and pass on its events."""
        transport, peers = self._transport, self._plan.peers
        for place, packet in self.agent.take_packets():
            if isinstance(place, bytes):
                address = (socket.inet_ntoa(place[:4]), int.from_bytes(place[4:], "big"))
            elif 0 <= place < len(peers):
                address = peers[place]
            else:
                continue  # a newer list of peers is longer than this router's
            if transport is not None and address[1]:
                transport.sendto(self._envelope.seal(packet), address)
        for event in self.agent.take_events():
            self._on_event(event)

    async def close(self, replaced: bool) -> None:
        """Stop and close the socket; unless `replaced` by another process, announce the departure first."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is None:
            return
        if not replaced:
            for _ in range(2):
                self.agent.leave(time.monotonic_ns())
                self._flush()
                await asyncio.sleep(LEAVE_INTERVAL_S)
        self._transport.close()
        self._transport = None
