"""What this router sends: datagrams filled up with gossip, within the bytes that it may spend. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.peers.gossip_queue import GossipQueue
from saltport.peers.members import Members, Record
from saltport.peers.messages import Alive, Body, Packet, Ping, Place, State, Suspect, Update, encode
from saltport.peers.settings import DATAGRAM, NS_PER_S, PeerSettings
from saltport.peers.suspicion import Suspicion
from saltport.peers.views import Views

ENVELOPE = 18  # bytes around a packet
ROOM = DATAGRAM - ENVELOPE - 2  # an array of more than 15 updates needs two bytes more


@dataclass(slots=True)
class Identity:
    """Who this router is."""

    name: str
    start: int
    place: Place
    zone: str
    incarnation: int = 0

    def alive(self) -> Alive:
        """What it says of itself."""
        return Alive(self.name, self.start, self.incarnation, self.place, self.zone)


class SendQueue:
    """Datagrams that wait to be taken."""

    def __init__(
        self,
        me: Identity,
        members: Members,
        suspicions: dict[str, Suspicion],
        views: Views,
        settings: PeerSettings,
        now: int,
    ) -> None:
        self._me, self._members, self._suspicions = me, members, suspicions
        self._views, self._settings = views, settings
        self.gossip = GossipQueue()
        self.waiting: list[tuple[Place, Packet]] = []
        self.sent = self.bytes = self.over_budget = 0
        self._counter = self._seq = 0
        self._tokens, self._tokens_at = float(settings.bytes_per_s), now

    def next_seq(self) -> int:
        """A number for a probe."""
        self._seq += 1
        return self._seq

    def send_to(
        self, name: str, body: Body, now: int, first: Sequence[Update] = (), spare: bool = False
    ) -> None:
        """Send to a router that is known; it hears what is held against it (Lifeguard's buddy system)."""
        record = self._members.records.get(name)
        if record is None or record.place is None or name == self._me.name:
            return
        more = list(first)
        if record.state is State.SUSPECT:
            more.append(self._held_against(record, now))
        elif record.state is State.DEAD:
            more.append(record.update(self._me.name))
        self.send(record.place, body, now, more, spare)

    def _held_against(self, record: Record, now: int) -> Suspect:
        """What a suspected router refutes by a later incarnation.

        Danger: its accusers may all have heard it since, and nobody but itself can end the suspicion: untold,
        it would be held suspected for good.
        """
        me, held = self._me.name, self._suspicions.get(record.name)
        if held is None:
            return Suspect(record.name, record.start, record.incarnation, me, 0)
        return held.told(record.name, next(iter(held.accusers), me), now)

    def send(
        self,
        place: Place,
        body: Body,
        now: int,
        first: list[Update] | None = None,
        spare: bool = False,
        bare: bool = False,
    ) -> None:
        """Send a datagram filled up with gossip; takes what fits from `first`, which goes before them.

        `spare`: only if the budget has room for it; `bare`: without gossip.
        """
        if spare and not self._affords(DATAGRAM, now):
            self.over_budget += 1
            return
        bare = bare or (isinstance(body, Ping) and body.bare)
        self._counter += 1
        me, number, digest = self._me, self._views.view.number, self._members.digest
        room = ROOM - len(encode(Packet(me.name, me.start, self._counter, number, digest, body)))
        said: list[Update] = []
        while first and (size := len(encode(first[0]))) <= room:
            room -= size
            said.append(first.pop(0))
        if not bare:
            said += self.gossip.pick(room, len(self._members), now)
        packet = Packet(me.name, me.start, self._counter, number, digest, body, tuple(said))
        size = len(encode(packet)) + ENVELOPE
        self.sent += 1
        self.bytes += size
        self._tokens -= size
        self.waiting.append((place, packet))

    def _affords(self, size: int, now: int) -> bool:
        most = self._settings.bytes_per_s
        self._tokens = min(self._tokens + (now - self._tokens_at) * most / NS_PER_S, float(most))
        self._tokens_at = now
        return self._tokens >= size
