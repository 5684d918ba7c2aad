"""The two plain forms that dissemination in levels is compared with, in the same world, for purges alone.

Star: the origin of a purge tells each router, and repeats it until each has acknowledged. Gossip: who is
new to a purge tells it to a few others at random, some times over. Neither orders what it carries: only
arrival is compared.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from benchmarks.scale.dissemination_world import Fleet, Node, World
from saltport.dissemination.outbox import Outgoing
from saltport.dissemination.settings import (
    ENVELOPE_BYTES,
    MAX_MESSAGE_BYTES,
    NS_PER_MS,
    UDP_IP_HEADER_BYTES,
    DisseminationSettings,
)

HEADERS = ENVELOPE_BYTES + UDP_IP_HEADER_BYTES
HEAD = 4  # bytes of a message besides its records
RECORD_HEAD = 2 + 6  # length; origin and sequence, by which a repeated one is known
STAR_RETRY = 400 * NS_PER_MS
GOSSIP_INTERVAL = 200 * NS_PER_MS
GOSSIP_FANOUT = 3
GOSSIP_REPEATS = 4  # times log10 of the number of routers (SWIM, section 4.1)


class Told(NamedTuple):
    """Records, or the acknowledgement of them."""

    records: tuple[bytes, ...]
    acknowledged: bool = False


class PlainRouter:
    """What both forms share: arrivals, each counted once."""

    def __init__(self, node: int, routers: int, rng: random.Random) -> None:
        self.node, self.routers, self.rng = node, routers, rng
        self.arrived: list[bytes] = []
        self.due: int | None = None
        self._seen: set[bytes] = set()
        self._out: list[Outgoing] = []

    def take_datagrams(self) -> list[Outgoing]:
        """Datagrams to be sent."""
        out, self._out = self._out, []
        return out

    def _send(self, target: int, told: Told) -> None:
        size = HEADERS + HEAD + sum(len(r) + RECORD_HEAD for r in told.records if not told.acknowledged)
        self._out.append(Outgoing(target, told, size + 6 * told.acknowledged))  # type: ignore[arg-type]

    def _take(self, record: bytes) -> bool:
        if record in self._seen:
            return False
        self._seen.add(record)
        self.arrived.append(record)
        return True

    def submit(self, record: bytes, now: int) -> None:
        """This router makes a purge."""
        raise NotImplementedError

    def receive(self, source: int, message: Told, now: int) -> None:
        """Take a datagram."""
        raise NotImplementedError

    def tick(self, now: int) -> None:
        """Do what is due."""
        raise NotImplementedError


class StarRouter(PlainRouter):
    """Everybody is told by the origin."""

    def __init__(self, node: int, routers: int, rng: random.Random) -> None:
        super().__init__(node, routers, rng)
        self._open: dict[bytes, set[int]] = {}

    def submit(self, record: bytes, now: int) -> None:
        """Tell all."""
        self._take(record)
        self._open[record] = set(range(self.routers)) - {self.node}
        self.tick(now)

    def receive(self, source: int, message: Told, now: int) -> None:
        """A purge or an acknowledgement."""
        (record,) = message.records
        if message.acknowledged:
            self._open.get(record, set()).discard(source)
            return
        self._take(record)
        self._send(source, Told(message.records, acknowledged=True))

    def tick(self, now: int) -> None:
        """Tell all that haven't acknowledged."""
        self._open = {record: left for record, left in self._open.items() if left}
        for record, left in self._open.items():
            for node in left:
                self._send(node, Told((record,)))
        self.due = now + STAR_RETRY if self._open else None


class GossipRouter(PlainRouter):
    """Everybody tells what is new to some others."""

    def __init__(self, node: int, routers: int, rng: random.Random) -> None:
        super().__init__(node, routers, rng)
        self._hot: dict[bytes, int] = {}
        self._repeats = GOSSIP_REPEATS * math.ceil(math.log10(routers))

    def submit(self, record: bytes, now: int) -> None:
        """Begin to tell it."""
        self._learn((record,), now)

    def receive(self, source: int, message: Told, now: int) -> None:
        """Rumours."""
        self._learn(message.records, now)

    def _learn(self, records: tuple[bytes, ...], now: int) -> None:
        for record in records:
            if self._take(record):
                self._hot[record] = 0
        if self._hot and self.due is None:
            self.due = now + self.rng.randrange(GOSSIP_INTERVAL)

    def tick(self, now: int) -> None:
        """Tell those that were told least often, as many as fit."""
        for _ in range(GOSSIP_FANOUT):
            chosen, room = [], MAX_MESSAGE_BYTES - HEAD
            for record in sorted(self._hot, key=self._hot.__getitem__):
                if len(record) + RECORD_HEAD <= room:
                    room -= len(record) + RECORD_HEAD
                    chosen.append(record)
                    self._hot[record] += 1
            if chosen:
                self._send(self.rng.randrange(self.routers), Told(tuple(chosen)))
        self._hot = {record: told for record, told in self._hot.items() if told < self._repeats}
        self.due = now + GOSSIP_INTERVAL if self._hot else None


Maker = Callable[[int, int, random.Random], PlainRouter]
star: Maker = StarRouter
gossip: Maker = GossipRouter


class PlainWorld(World):
    """The same links, with routers of a plain form and without voters."""

    def __init__(
        self, make: Maker, fleet: Fleet, seed: int, settings: DisseminationSettings, loss: float
    ) -> None:
        super().__init__(fleet, seed, settings, loss)
        self._make = make
        self._plain: dict[int, PlainRouter] = {}

    def start_all(self) -> None:
        """All routers."""
        for node in range(self.fleet.routers):
            self._plain[node] = self._make(node, self.fleet.routers, random.Random(self.rng.getrandbits(32)))
            held: Node = self._plain[node]
            self.nodes[node] = held

    def submit(self, node: int, topic: int, body: bytes) -> None:
        """A router makes a purge."""
        self.history.made(topic, body, self.now)
        self._plain[node].submit(body, self.now)
        self._after(node)

    def _after(self, node: int) -> None:
        held = self._plain[node]
        for record in held.arrived:
            self.history.arrived(1, record, self.now)
        held.arrived.clear()
        super()._after(node)

    def acknowledged(self) -> int:
        """Nobody counts."""
        return 0

    def finish(self) -> list[str]:
        """Routers that never got a record."""
        return self.history.finish_unordered(self.fleet.routers)
