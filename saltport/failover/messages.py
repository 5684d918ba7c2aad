"""What routers say to one another about zones; each fits a carried datagram."""

from __future__ import annotations

import msgspec
from msgspec import Struct

TAG_RANGE = range(80, 90)
SHARE_SCALE = 250  # shares are told in so many parts


class ZoneReport(Struct, frozen=True, array_like=True):
    """What one router found in one zone within a span."""

    listed: int
    usable: int
    answered: int
    unanswered: int
    rejected: int
    late: int
    misses: int


class Report(Struct, frozen=True, array_like=True, tag=80):
    """Evidence, and which plan its teller follows."""

    topology: int
    zone: int
    epoch: int
    number: int
    span_ms: int
    demand: int
    refused: int
    zone_reports: tuple[ZoneReport, ...]
    origins: tuple[tuple[int, int], ...]


class Plan(Struct, frozen=True, array_like=True, tag=81):
    """Where each zone's reads go, from one vector to another within a time."""

    topology: int
    epoch: int
    number: int
    owner: str
    age_ms: int
    """Since it was made."""
    confirmed_after_ms: int
    """From then until its maker was last heard, by who passes it on."""
    transition_ms: int
    """From `begin` to `end`."""
    begin: bytes
    """Parts by source zone, and in it by target zone."""
    end: bytes
    refused: bytes
    """Parts by source zone, of those reads that find no room."""
    bad: bytes
    """By source zone: a bit for each zone whose path is held bad."""
    trial_permille: bytes
    """By source zone, in thousandths: first tries of reads that ask in zones held bad."""
    evacuated: int
    """A bit for each zone that was evacuated by hand."""
    frozen: bool
    origins: bytes
    """By region: the region whose origin serves it."""
    lost_origins: int
    """A bit for each region whose own origin is held silent."""
    router_zones: int = 0
    """A bit for each zone that has routers of its own."""
    reason: str = ""

    @property
    def version(self) -> tuple[int, int]:
        """The later of two plans has the greater one."""
        return self.epoch, self.number


class PlanQuery(Struct, frozen=True, array_like=True, tag=82):
    """A new owner asks for the latest plan that is known."""

    epoch: int


class PlanReply(Struct, frozen=True, array_like=True, tag=83):
    """The latest plan that a router knows, if any; `epoch`: the asker's."""

    epoch: int
    plan: Plan | None


class Order(Struct, frozen=True, array_like=True, tag=84):
    """An operator's wish, for the owner."""

    id: int
    action: str
    """`evacuate`, `return`, `freeze` or `thaw`."""
    zone: int
    transition_ms: int
    force: bool


class OrderResult(Struct, frozen=True, array_like=True, tag=85):
    """What became of it; `text` empty: it is done."""

    id: int
    text: str


Message = Report | Plan | PlanQuery | PlanReply | Order | OrderResult
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The bytes on the wire."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Read a message; raises ValueError for anything else."""
    return _decoder.decode(data)
