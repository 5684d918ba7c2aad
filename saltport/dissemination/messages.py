"""What voters, relays and routers send one another; each fits one datagram.

Fields are added at the end and with a default only: an older decoder skips them, a newer one fills them in.
A message with an unknown tag is refused by `decode`. A topic or a record that a router doesn't know is
relayed and logged all the same, and only its application is refused.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec
from msgspec import Struct

VERSION = 1
"""Of the records that this release can apply; told upward with acknowledgements."""
TAGS = range(100, 110)
MAX_HEADS = 4
"""Topics told of in one push, in turn if there are more; with fewer, all that have entries are there."""


class Topic(IntEnum):
    """The logs that this release knows; each has its own numbers."""

    PURGES = 1
    CONFIGURATION = 2
    PLANS = 3
    MEMBERSHIP = 4


class Level(IntEnum):
    """Who is asked for a missing entry, and who forwards a pushed one."""

    SITE = 0
    REGION = 1
    VOTERS = 2


class Entry(Struct, frozen=True, array_like=True):
    """One committed batch of a topic's log. `(epoch, number)` names it; numbers have no gaps."""

    topic: int
    epoch: int
    """Of the coordinator that proposed it."""
    number: int
    previous_epoch: int
    """Epoch of entry `number - 1` (the log matching property of Raft, section 5.3)."""
    records: tuple[bytes, ...]


class Head(Struct, frozen=True, array_like=True):
    """The last committed entry of a topic."""

    topic: int
    number: int


class Push(Struct, frozen=True, array_like=True, tag=100):
    """From the coordinator downward: an entry, or none in a heartbeat."""

    epoch: int
    """Of the coordinator: the fence."""
    coordinator: int
    """The coordinator's node number."""
    sent_ms: int
    """Milliseconds from when this coordinator began until it sent this, for freshness."""
    level: Level
    """`VOTERS`: to a region's relay; `REGION`: to a site's relay; `SITE`: to the other routers."""
    heads: tuple[Head, ...]
    entry: Entry | None = None
    poll_number: int = 0
    """The number of the poll that the coordinator itself answers with this."""


class Fetch(Struct, frozen=True, array_like=True, tag=101):
    """Asks for missing entries; who lacks them too asks one level further up."""

    topic: int
    level: Level
    numbers: tuple[int, ...]
    """Empty: the latest snapshot, by its first part."""


class Poll(Struct, frozen=True, array_like=True, tag=108):
    """Asks for the latest heartbeat; answered by a push without entry."""

    number: int = 0
    """Asks the coordinator itself: its answer dates its clock."""


class Repair(Struct, frozen=True, array_like=True, tag=102):
    """Answers a fetch with one entry."""

    entry: Entry


class FetchSnapshotParts(Struct, frozen=True, array_like=True, tag=103):
    """Asks for parts of a snapshot."""

    topic: int
    number: int
    parts: tuple[int, ...]


class SnapshotPart(Struct, frozen=True, array_like=True, tag=104):
    """One part of a topic's state after entry `number`."""

    topic: int
    epoch: int
    """Of entry `number`."""
    number: int
    part: int
    parts: int
    data: bytes


class TopicProgress(Struct, frozen=True, array_like=True):
    """How far the counted routers are with a topic."""

    topic: int
    lowest_number: int
    router: int
    """One of those that are at `lowest`."""


class Rejection(Struct, frozen=True, array_like=True):
    """So many routers refused to apply a record; what was in force before stays in force."""

    topic: int
    number: int
    index: int
    reason: str
    count: int = 1


class Acknowledgement(Struct, frozen=True, array_like=True, tag=105):
    """Sums of a round, upward: from a router, a site or a region."""

    round: int
    level: Level
    """Who collects it."""
    router_count: int
    progress: tuple[TopicProgress, ...]
    rejections: tuple[Rejection, ...] = ()
    version: int = VERSION
    """The lowest one of those counted."""


class Submission(Struct, frozen=True, array_like=True):
    """A change that a router wants; its process numbers them from one."""

    sequence: int
    topic: int
    body: bytes


class Submit(Struct, frozen=True, array_like=True, tag=106):
    """Undecided submissions of a router in their order, from the first one on."""

    process_start: int
    """Of the router's process: each process has another one."""
    submissions: tuple[Submission, ...]


class Refusal(Struct, frozen=True, array_like=True):
    """This submission won't be committed, or is refused by routers."""

    sequence: int
    reason: str


class Decision(Struct, frozen=True, array_like=True, tag=107):
    """What became of submissions, each named; the others are undecided."""

    process_start: int
    committed: tuple[int, ...]
    refusals: tuple[Refusal, ...] = ()
    rejections: tuple[Refusal, ...] = ()
    """Committed, and then refused by routers that should apply them."""


class Origin(Struct, frozen=True, array_like=True):
    """Which submission a record came from; kept by the voters alone."""

    router: int
    process_start: int
    sequence: int


class Proposal(Struct, frozen=True, array_like=True):
    """What the voters commit: an entry and its origins. Not a datagram: an entry of their own log."""

    entry: Entry
    origins: tuple[Origin, ...]


Message = (
    Push | Poll | Fetch | Repair | FetchSnapshotParts | SnapshotPart | Acknowledgement | Submit | Decision
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message | Proposal | Entry | Submission | Rejection) -> bytes:
    """The bytes on the wire."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Read a message; raises ValueError for anything else."""
    return _decoder.decode(data)
