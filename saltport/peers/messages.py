"""The messages between routers; each is encoded as a MessagePack array without field names, to save bytes."""

from __future__ import annotations

import contextlib
from enum import IntEnum

import msgspec
from msgspec import Struct

Place = int | bytes
"""The address of a router: its index in the configured list of peers, or four bytes of IPv4 address and two
of port.
"""

MAX_NAME_BYTES = 32  # of a router's or zone's name, so that an update fits a datagram with its headers


class State(IntEnum):
    """The state of a member record.

    At the same incarnation the greater value takes precedence (SWIM, section 4.2).
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Alive(Struct, frozen=True, array_like=True, tag=0):
    """A router's announcement that it is alive, with its address; other routers forward it."""

    name: str
    start: int
    incarnation: int
    place: Place
    zone: str


class Suspect(Struct, frozen=True, array_like=True, tag=1):
    """An accuser's suspicion of a router that did not answer its probe, with the time since it was last
    heard.
    """

    name: str
    start: int
    incarnation: int
    accuser: str
    silent_ms: int


class Dead(Struct, frozen=True, array_like=True, tag=2):
    """The declaration, by the named router, that a router is dead."""

    name: str
    start: int
    incarnation: int
    declared_by: str


class Left(Struct, frozen=True, array_like=True, tag=3):
    """A router's announcement that it is leaving; final for this start number."""

    name: str
    start: int


class Witness(Struct, frozen=True, array_like=True, tag=4):
    """The sender's statement to an accuser that it heard the subject `ago_ms` milliseconds ago."""

    name: str
    start: int
    incarnation: int
    ago_ms: int


class ZoneCut(Struct, frozen=True, array_like=True, tag=5):
    """The zones in which a router hears no member directly; sent when the list changes."""

    name: str
    start: int
    version: int
    zones: tuple[str, ...]


Update = Alive | Suspect | Dead | Left | Witness | ZoneCut


class Ping(Struct, frozen=True, array_like=True, tag=0):
    """A probe; with `bare` neither the probe nor its answer carries gossip, for paths that lose long
    datagrams.
    """

    seq: int
    bare: bool = False


class Ack(Struct, frozen=True, array_like=True, tag=1):
    """The answer to a probe."""

    seq: int


class IndirectPing(Struct, frozen=True, array_like=True, tag=2):
    """The request to probe another router on behalf of the sender (ping-req in SWIM)."""

    seq: int
    name: str


class IndirectResult(Struct, frozen=True, array_like=True, tag=3):
    """A helper's reply to IndirectPing: whether the target answered the helper in time."""

    seq: int
    name: str
    answered: bool


class Sync(Struct, frozen=True, array_like=True, tag=4):
    """A request for records, with the digests of the sender's live members, one per part; parts that differ
    are sent.
    """

    digests: tuple[int, ...]


class Gossip(Struct, frozen=True, array_like=True, tag=5):
    """The empty body of a packet that is sent for its membership updates only."""


class Payload(Struct, frozen=True, array_like=True, tag=6):
    """Data of another component that uses membership as its transport; opaque here."""

    data: bytes


Body = Ping | Ack | IndirectPing | IndirectResult | Sync | Gossip | Payload


class Packet(Struct, frozen=True, array_like=True):
    """The content of one datagram."""

    sender: str
    start: int
    counter: int
    """Incremented with each datagram of this start, so that replays can be detected."""
    view: int
    digest: int
    """The digest of the sender's live members."""
    body: Body
    updates: tuple[Update, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Packet)
_update_decoder: msgspec.msgpack.Decoder[Update] = msgspec.msgpack.Decoder(Update)
_body_decoder: msgspec.msgpack.Decoder[Body] = msgspec.msgpack.Decoder(Body)


class _FuturePacket(Struct, frozen=True, array_like=True):
    """A packet of a later protocol version; updates and bodies of unknown types are skipped."""

    sender: str
    start: int
    counter: int
    view: int
    digest: int
    body: msgspec.Raw
    updates: tuple[msgspec.Raw, ...] = ()

    def packet(self) -> Packet:
        """Return the packet with the parts that this version can decode."""
        updates = []
        for raw in self.updates:
            with contextlib.suppress(msgspec.ValidationError):
                updates.append(_update_decoder.decode(raw))
        body: Body = Gossip()
        with contextlib.suppress(msgspec.ValidationError):
            body = _body_decoder.decode(self.body)
        return Packet(self.sender, self.start, self.counter, self.view, self.digest, body, tuple(updates))


_future_decoder = msgspec.msgpack.Decoder(_FuturePacket)


def encode(value: Packet | Update) -> bytes:
    """Return the MessagePack encoding of a packet or an update, without the envelope."""
    return _encoder.encode(value)


def decode(data: bytes) -> Packet:
    """Return the decoded packet; raises ValueError where it is malformed or out of bounds."""
    try:
        packet = _decoder.decode(data)
    except msgspec.ValidationError:
        packet = _future_decoder.decode(data).packet()
    names = [packet.sender, *(update.name for update in packet.updates)]
    numbers = [packet.start, packet.counter, packet.view, packet.digest]
    numbers += [update.start for update in packet.updates]
    in_range = min(numbers) >= 0 and max(numbers) < 1 << 63
    if not in_range or not all(0 < len(name) <= MAX_NAME_BYTES for name in names):
        raise ValueError("name length or number out of bounds")
    for update in packet.updates:
        if isinstance(update, Alive | Suspect | Dead | Witness) and not 0 <= update.incarnation < 1 << 62:
            raise ValueError("incarnation out of bounds")
        if isinstance(update, Alive) and isinstance(update.place, bytes) and len(update.place) != 6:
            raise ValueError("invalid place: expected 6 bytes")
    return packet
