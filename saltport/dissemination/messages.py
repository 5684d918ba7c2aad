"""Messages between voters, relays and routers; each fits one datagram.

New fields are added at the end and with a default: an older decoder skips them, a newer one fills them in.
`decode` rejects a message with an unknown tag. A router relays and logs entries of topics and records that it
does not know, and only refuses to apply them.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from msgspec import Struct

VERSION = 1
"""Version of the records that this release can apply; reported in acknowledgements."""
TAGS = range(100, 110)
"""Message tags of this protocol."""
MAX_HEADS = 4
"""Heads in one push; the coordinator rotates over them if there are more topics.

A push with fewer heads names every topic that has entries.
"""


class Topic(IntEnum):
    """Topics known to this release; each has its own log, with its own entry numbers."""

    PURGES = 1
    CONFIGURATION = 2
    PLANS = 3
    MEMBERSHIP = 4


class Level(IntEnum):
    """Level of the hierarchy: of the nodes that a fetch, push or acknowledgement is addressed to."""

    SITE = 0
    REGION = 1
    VOTERS = 2


class Entry(Struct, frozen=True, array_like=True):
    """A batch of records in a topic's log, identified by `(epoch, number)`; numbers have no gaps."""

    topic: int
    epoch: int
    """Epoch of the coordinator that proposed the entry."""
    number: int
    previous_epoch: int
    """Epoch of entry `number - 1` (the log matching property of Raft, section 5.3)."""
    records: tuple[bytes, ...]


class Head(Struct, frozen=True, array_like=True):
    """The last committed entry of a topic."""

    topic: int
    number: int


class Push(Struct, frozen=True, array_like=True, tag=100):
    """An entry on its way from the coordinator to the routers, or a heartbeat without an entry."""

    epoch: int
    """Epoch of the coordinator; routers refuse pushes of older epochs."""
    coordinator: int
    """The coordinator's node number."""
    sent_ms: int
    """Send time in milliseconds since the coordinator's term began; used to compute freshness."""
    level: Level
    """`VOTERS`: sent to relays of a region; `REGION`: to relays of a site; `SITE`: to other routers."""
    heads: tuple[Head, ...]
    entry: Entry | None = None
    poll_number: int = 0
    """Number of the poll that the coordinator answers with this push; 0 if it answers none."""


class Fetch(Struct, frozen=True, array_like=True, tag=101):
    """Request for missing entries; a receiver that lacks them too asks one level higher."""

    topic: int
    level: Level
    numbers: tuple[int, ...]
    """Entry numbers; empty to request the first part of the latest snapshot."""


class Poll(Struct, frozen=True, array_like=True, tag=108):
    """Request for a heartbeat: a push without an entry, which carries the current heads of the topics.

    The coordinator answers with a new heartbeat, a router with the heads of the latest push that it received.
    """

    number: int = 0
    """Random number that the coordinator copies to its answer, so that the sender can synchronise with its
    clock; 0 in polls to other nodes.
    """


class Repair(Struct, frozen=True, array_like=True, tag=102):
    """One entry in answer to a fetch."""

    entry: Entry


class FetchSnapshotParts(Struct, frozen=True, array_like=True, tag=103):
    """Request for parts of the snapshot taken after entry `number`."""

    topic: int
    number: int
    parts: tuple[int, ...]


class SnapshotPart(Struct, frozen=True, array_like=True, tag=104):
    """One part of a snapshot of a topic's state after entry `number`."""

    topic: int
    epoch: int
    """Epoch of entry `number`."""
    number: int
    part: int
    parts: int
    data: bytes


class TopicProgress(Struct, frozen=True, array_like=True):
    """Progress of the counted routers in a topic: the lowest number among their last applied entries."""

    topic: int
    lowest_number: int
    router: int
    """A router whose last applied entry is `lowest_number`."""


class Rejection(Struct, frozen=True, array_like=True):
    """A record that `count` routers refused to apply; they keep the previous value."""

    topic: int
    number: int
    index: int
    reason: str
    count: int = 1


class Acknowledgement(Struct, frozen=True, array_like=True, tag=105):
    """Which entries the counted routers have applied and which records they rejected, as of a round.

    A router sends its own acknowledgement to its site's collector. The collector of a site or region sends
    the combination of those it received to the level above. `level` is the level of the receiver.
    """

    round: int
    level: Level
    """Level of the collector that receives this message."""
    router_count: int
    progress: tuple[TopicProgress, ...]
    rejections: tuple[Rejection, ...] = ()
    version: int = VERSION
    """Lowest version among the counted routers."""


class Submission(Struct, frozen=True, array_like=True):
    """A change requested by a router; each router process numbers its submissions from 1."""

    sequence: int
    topic: int
    body: bytes


class Submit(Struct, frozen=True, array_like=True, tag=106):
    """A router's undecided submissions in order, starting with the oldest."""

    process_start: int
    """Identifies the router's process: each process has a different value."""
    submissions: tuple[Submission, ...]


class Refusal(Struct, frozen=True, array_like=True):
    """A submission that is refused by the coordinator, or whose record is refused by routers."""

    sequence: int
    reason: str


class Decision(Struct, frozen=True, array_like=True, tag=107):
    """Outcomes of the listed submissions; submissions not listed are undecided."""

    process_start: int
    committed: tuple[int, ...]
    refusals: tuple[Refusal, ...] = ()
    rejections: tuple[Refusal, ...] = ()
    """Submissions that were committed, and whose records routers then refused to apply."""


class Origin(Struct, frozen=True, array_like=True):
    """The submission that a record came from; stored by the voters only."""

    router: int
    process_start: int
    sequence: int


class Proposal(Struct, frozen=True, array_like=True):
    """An entry with the origins of its records, as committed to the voters' own log; not sent to routers."""

    entry: Entry
    origins: tuple[Origin, ...]


Message = (
    Push | Poll | Fetch | Repair | FetchSnapshotParts | SnapshotPart | Acknowledgement | Submit | Decision
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message | Proposal | Entry | Submission | Rejection) -> bytes:
    """Encode a message or record as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message; raise ValueError for bytes that are not a message of this protocol."""
    return _decoder.decode(data)
