"""Messages between routers about failover; each fits one datagram of the peers' protocol."""

from __future__ import annotations

import msgspec
from msgspec import Struct

TAG_RANGE = range(80, 90)  # message tags of failover
SHARE_SCALE = 250  # a share of 1.0 on the wire; shares are sent as one byte each


class ZoneReport(Struct, frozen=True, array_like=True):
    """The attempts of one router in one zone within the time span of a report."""

    listed: int
    """Servers in the server list."""
    usable: int
    """Listed servers that this router has not ejected."""
    answered: int
    unanswered: int
    rejected: int
    """Attempts that a server turned away because it was full."""
    late: int
    """Answers after the aim of their request class."""
    misses: int
    """Answers that were cache misses."""


class Report(Struct, frozen=True, array_like=True, tag=80):
    """The evidence of one router since its last report, and the plan that it follows."""

    topology: int
    """Digest of the topology; reports of another topology are ignored."""
    zone: int
    """Zone of the reporting router."""
    epoch: int
    number: int
    span_ms: int
    """Time that the report covers."""
    demand: int
    """Reads that arrived, without those that clients marked as retries."""
    refused: int
    """Reads refused because of the plan."""
    zone_reports: tuple[ZoneReport, ...]
    origins: tuple[tuple[int, int], ...]
    """By region: requests that its origin answered, and requests without an answer."""


class Plan(Struct, frozen=True, array_like=True, tag=81):
    """The shares of each zone's reads by target zone, with a transition from one matrix to another."""

    topology: int
    epoch: int
    number: int
    owner: str
    """Name of the router that made the plan."""
    age_ms: int
    """Time since the plan was made."""
    confirmed_after_ms: int
    """Time from then to the owner's last confirmation that the sender of this message knows of."""
    transition_ms: int
    """Duration of the transition from `begin` to `end`."""
    begin: bytes
    """Shares at the start, by source zone and within it by target zone, in units of 1 / SHARE_SCALE."""
    end: bytes
    """Shares at the end of the transition, in the same form."""
    refused: bytes
    """Share of reads to refuse for lack of capacity, by source zone, in units of 1 / SHARE_SCALE."""
    bad: bytes
    """By source zone: a bit for each zone whose path is bad."""
    trial_permille: bytes
    """By source zone: how many of 1,000 reads first try a zone marked bad."""
    evacuated: int
    """A bit for each zone that an operator has evacuated."""
    frozen: bool
    """Whether an operator has frozen the plan."""
    origins: bytes
    """By region: the region whose origin serves it."""
    lost_origins: int
    """A bit for each region whose own origin does not answer."""
    router_zones: int = 0
    """A bit for each zone that has routers of its own."""
    reason: str = ""

    @property
    def version(self) -> tuple[int, int]:
        """Epoch and number; the later of two plans has the greater version."""
        return self.epoch, self.number


class PlanQuery(Struct, frozen=True, array_like=True, tag=82):
    """Request of a new owner for the latest plan that the receiver has."""

    epoch: int


class PlanReply(Struct, frozen=True, array_like=True, tag=83):
    """Answer to a PlanQuery: the latest plan of the sender, if any, and the epoch of the query."""

    epoch: int
    plan: Plan | None


class Order(Struct, frozen=True, array_like=True, tag=84):
    """An operator's order, sent to the owner of the plan."""

    id: int
    action: str
    """`evacuate`, `return`, `freeze` or `thaw`."""
    zone: int
    transition_ms: int
    force: bool


class OrderResult(Struct, frozen=True, array_like=True, tag=85):
    """The result of an order: empty `text` if it was executed, else the reason for the rejection."""

    id: int
    text: str


Message = Report | Plan | PlanQuery | PlanReply | Order | OrderResult
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the message as bytes for the wire."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Return the message in `data`; raise ValueError if it is not a valid message."""
    return _decoder.decode(data)
