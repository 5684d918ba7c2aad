"""The queue of outgoing datagrams, filled up with gossip within a byte budget. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.peers.gossip_queue import GossipQueue
from saltport.peers.members import Members, Record
from saltport.peers.messages import Alive, Body, Packet, Ping, Place, State, Suspect, Update, encode
from saltport.peers.settings import MAX_DATAGRAM_BYTES, NS_PER_S, PeerSettings
from saltport.peers.suspicion import Suspicion
from saltport.peers.views import Views

ENVELOPE_BYTES = 18  # size of the version, key id and MAC around a packet
# Limit of an encoded packet; the array of updates needs two more bytes if it has more than 15.
MAX_PACKET_BYTES = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES - 2


@dataclass(slots=True)
class Identity:
    """The name, start number, address, zone and incarnation of this router."""

    name: str
    start: int
    place: Place
    zone: str
    incarnation: int = 0

    def alive(self) -> Alive:
        """Return this router's own announcement."""
        return Alive(self.name, self.start, self.incarnation, self.place, self.zone)


class SendQueue:
    """The outgoing datagrams that wait for the caller to send them."""

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
        """Return a new sequence number for a probe."""
        self._seq += 1
        return self._seq

    def send_to(
        self, name: str, body: Body, now: int, first: Sequence[Update] = (), optional: bool = False
    ) -> None:
        """Queue a datagram to a known router, with any suspicion of it (Lifeguard's buddy system).

        The other arguments are those of `send`.
        """
        record = self._members.records.get(name)
        if record is None or record.place is None or name == self._me.name:
            return
        updates = list(first)
        if record.state is State.SUSPECT:
            updates.append(self._suspicion_of(record, now))
        elif record.state is State.DEAD:
            updates.append(record.update(self._me.name))
        self.send(record.place, body, now, updates, optional)

    def _suspicion_of(self, record: Record, now: int) -> Suspect:
        """Return the suspicion that a suspected router must refute with a greater incarnation.

        Danger: all its accusers may have heard it since, and only the router itself can end the suspicion;
        if it is not informed, it stays suspected forever.
        """
        me, suspicion = self._me.name, self._suspicions.get(record.name)
        if suspicion is None:
            return Suspect(record.name, record.start, record.incarnation, me, 0)
        return suspicion.to_update(record.name, next(iter(suspicion.accusers), me), now)

    def send(
        self,
        place: Place,
        body: Body,
        now: int,
        first: list[Update] | None = None,
        optional: bool = False,
        bare: bool = False,
    ) -> None:
        """Queue a datagram filled up with gossip.

        The updates in `first` go before the gossip; those that fit are removed from the list. `optional`:
        only if the byte budget allows; `bare`: without gossip.
        """
        if optional and not self._has_budget(MAX_DATAGRAM_BYTES, now):
            self.over_budget += 1
            return
        bare = bare or (isinstance(body, Ping) and body.bare)
        self._counter += 1
        me, number, digest = self._me, self._views.view.number, self._members.digest
        room_bytes = MAX_PACKET_BYTES - len(
            encode(Packet(me.name, me.start, self._counter, number, digest, body))
        )
        updates: list[Update] = []
        while first and (size := len(encode(first[0]))) <= room_bytes:
            room_bytes -= size
            updates.append(first.pop(0))
        if not bare:
            updates += self.gossip.pick(room_bytes, len(self._members), now)
        packet = Packet(me.name, me.start, self._counter, number, digest, body, tuple(updates))
        size = len(encode(packet)) + ENVELOPE_BYTES
        self.sent += 1
        self.bytes += size
        self._tokens -= size
        self.waiting.append((place, packet))

    def _has_budget(self, size_bytes: int, now: int) -> bool:
        """Refill the token bucket of the byte budget; returns whether it holds that many bytes."""
        bytes_per_s = self._settings.bytes_per_s
        self._tokens = min(
            self._tokens + (now - self._tokens_at) * bytes_per_s / NS_PER_S, float(bytes_per_s)
        )
        self._tokens_at = now
        return self._tokens >= size_bytes
