"""Two simpler protocols for purges, which dissemination in levels is compared with in the same simulation.

Star: the router that submits a purge sends it to each router, and repeats it until all have acknowledged.
Gossip: a router that receives a new purge forwards it several times to a few random others. Neither orders
the records, so only their arrival is compared.
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

OVERHEAD_BYTES = ENVELOPE_BYTES + UDP_IP_HEADER_BYTES
MESSAGE_HEADER_BYTES = 4  # without the records
RECORD_HEADER_BYTES = 2 + 6  # length; origin and sequence number, to recognize duplicates
STAR_RETRY_NS = 400 * NS_PER_MS
GOSSIP_INTERVAL_NS = 200 * NS_PER_MS
GOSSIP_FANOUT = 3
GOSSIP_REPEATS = 4  # times log10 of the number of routers (SWIM, section 4.1)


class RecordsMessage(NamedTuple):
    """A message with records, or with the acknowledgement of them."""

    records: tuple[bytes, ...]
    acknowledged: bool = False


class BaselineRouter:
    """Base of the routers of both protocols: it records the first arrival of each record."""

    def __init__(self, node: int, routers: int, rng: random.Random) -> None:
        self.node, self.routers, self.rng = node, routers, rng
        self.arrived: list[bytes] = []
        self.due: int | None = None
        self._seen: set[bytes] = set()
        self._out: list[Outgoing] = []

    def take_datagrams(self) -> list[Outgoing]:
        """Return the datagrams to send."""
        datagrams, self._out = self._out, []
        return datagrams

    def _send(self, target: int, message: RecordsMessage) -> None:
        size = (
            OVERHEAD_BYTES
            + MESSAGE_HEADER_BYTES
            + sum(len(r) + RECORD_HEADER_BYTES for r in message.records if not message.acknowledged)
        )
        self._out.append(Outgoing(target, message, size + 6 * message.acknowledged))  # type: ignore[arg-type]

    def _record_arrival(self, record: bytes) -> bool:
        if record in self._seen:
            return False
        self._seen.add(record)
        self.arrived.append(record)
        return True

    def submit(self, record: bytes, now: int) -> None:
        """Submit a purge at this router."""
        raise NotImplementedError

    def receive(self, source: int, message: RecordsMessage, now: int) -> None:
        """Handle a datagram."""
        raise NotImplementedError

    def tick(self, now: int) -> None:
        """Run the work that is due."""
        raise NotImplementedError


class StarRouter(BaselineRouter):
    """A router that sends its own purges to all others until they acknowledge."""

    def __init__(self, node: int, routers: int, rng: random.Random) -> None:
        super().__init__(node, routers, rng)
        self._unacknowledged: dict[bytes, set[int]] = {}

    def submit(self, record: bytes, now: int) -> None:
        """Send a purge to all routers."""
        self._record_arrival(record)
        self._unacknowledged[record] = set(range(self.routers)) - {self.node}
        self.tick(now)

    def receive(self, source: int, message: RecordsMessage, now: int) -> None:
        """Apply and acknowledge a purge, or note that `source` acknowledged a purge of this router."""
        (record,) = message.records
        if message.acknowledged:
            self._unacknowledged.get(record, set()).discard(source)
            return
        self._record_arrival(record)
        self._send(source, RecordsMessage(message.records, acknowledged=True))

    def tick(self, now: int) -> None:
        """Send each purge to all routers that have not acknowledged it."""
        self._unacknowledged = {
            record: remaining for record, remaining in self._unacknowledged.items() if remaining
        }
        for record, remaining in self._unacknowledged.items():
            for node in remaining:
                self._send(node, RecordsMessage((record,)))
        self.due = now + STAR_RETRY_NS if self._unacknowledged else None


class GossipRouter(BaselineRouter):
    """A router that forwards new purges to random others."""

    def __init__(self, node: int, routers: int, rng: random.Random) -> None:
        super().__init__(node, routers, rng)
        self._send_counts: dict[bytes, int] = {}
        self._repeats = GOSSIP_REPEATS * math.ceil(math.log10(routers))

    def submit(self, record: bytes, now: int) -> None:
        """Start to forward a purge."""
        self._accept((record,), now)

    def receive(self, source: int, message: RecordsMessage, now: int) -> None:
        """Accept the purges of a message."""
        self._accept(message.records, now)

    def _accept(self, records: tuple[bytes, ...], now: int) -> None:
        for record in records:
            if self._record_arrival(record):
                self._send_counts[record] = 0
        if self._send_counts and self.due is None:
            self.due = now + self.rng.randrange(GOSSIP_INTERVAL_NS)

    def tick(self, now: int) -> None:
        """Send the least often sent purges to random routers, as many as fit in a message."""
        for _ in range(GOSSIP_FANOUT):
            chosen, remaining_bytes = [], MAX_MESSAGE_BYTES - MESSAGE_HEADER_BYTES
            for record in sorted(self._send_counts, key=self._send_counts.__getitem__):
                if len(record) + RECORD_HEADER_BYTES <= remaining_bytes:
                    remaining_bytes -= len(record) + RECORD_HEADER_BYTES
                    chosen.append(record)
                    self._send_counts[record] += 1
            if chosen:
                self._send(self.rng.randrange(self.routers), RecordsMessage(tuple(chosen)))
        self._send_counts = {
            record: count for record, count in self._send_counts.items() if count < self._repeats
        }
        self.due = now + GOSSIP_INTERVAL_NS if self._send_counts else None


RouterFactory = Callable[[int, int, random.Random], BaselineRouter]
star: RouterFactory = StarRouter
gossip: RouterFactory = GossipRouter


class BaselineWorld(World):
    """The same simulation with routers of a simpler protocol and without voters."""

    def __init__(
        self,
        create_router: RouterFactory,
        fleet: Fleet,
        seed: int,
        settings: DisseminationSettings,
        loss: float,
    ) -> None:
        super().__init__(fleet, seed, settings, loss)
        self._create_router = create_router
        self._routers: dict[int, BaselineRouter] = {}

    def start_all(self) -> None:
        """Start all routers."""
        for node in range(self.fleet.routers):
            self._routers[node] = self._create_router(
                node, self.fleet.routers, random.Random(self.rng.getrandbits(32))
            )
            router: Node = self._routers[node]
            self.nodes[node] = router

    def submit(self, node: int, topic: int, body: bytes) -> None:
        """Submit a purge at a router."""
        self.history.submitted(topic, body, self.now)
        self._routers[node].submit(body, self.now)
        self._process_output(node)

    def _process_output(self, node: int) -> None:
        router = self._routers[node]
        for record in router.arrived:
            self.history.arrived(1, record, self.now)
        router.arrived.clear()
        super()._process_output(node)

    def acknowledged(self) -> int:
        """Return 0: these protocols do not count acknowledgements at a coordinator."""
        return 0

    def finish(self) -> list[str]:
        """Return a fault for each record that some router never received."""
        return self.history.finish_unordered(self.fleet.routers)
