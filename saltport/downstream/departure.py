"""A client's connection on its way to another process of this router, and the same on its way in."""

from __future__ import annotations

import os
from collections.abc import Iterable, Sequence
from typing import Protocol

from saltport.downstream.replies import Reply
from saltport.handover.choice import TransferDecision, decide_transfer
from saltport.handover.exchange import ConnectionTransfer
from saltport.handover.record import (
    MAX_COMMAND_AGE_MS,
    MAX_VALUES_IN_PROGRESS,
    ConnectionRecord,
    Segment,
    encode,
)
from saltport.messages import ClientDialect
from saltport.transport.stream import TcpStream


class Successor(Protocol):
    """The process that takes this one's place."""

    @property
    def takes_records(self) -> bool:
        """Whether it goes on with what is under way, and not only with connections that owe nothing."""

    @property
    def room(self) -> int:
        """How many more connections may be frozen now."""

    def give(self, descriptor: int, pending: bytes) -> bool:
        """Give a connection that owes nothing; False: not now. The caller closes its own copy."""

    def offer(self, parcel: ConnectionTransfer) -> None:
        """Give a frozen connection, as soon as there is room."""


def may_go(replies: Iterable[Reply], left_s: float) -> bool:
    """Whether a connection that owes these answers goes now; `left_s`: the time this process has left."""
    owed = [reply for reply in replies if not reply.done]
    sources = [reply.source for reply in owed if reply.source is not None]
    under_way = [source.progress for source in sources]
    if decide_transfer(len(owed) - len(sources), under_way, left_s) is not TransferDecision.MOVE:
        return False
    return len(sources) <= MAX_VALUES_IN_PROGRESS and all(source.movable for source in sources)


class Departure:
    """A connection that is frozen: nothing is read on it or on the connections its values come on.

    What its transport has not written is known when that says that the connection is lost, as its descriptor
    is open until then, and nothing is written any more after that.
    """

    def __init__(self, transport: TcpStream, replies: Sequence[Reply]) -> None:
        """Freeze; `may_go` has to hold. Raises OSError where descriptors are short, and nothing was done."""
        sources = {reply: reply.source for reply in replies if reply.source is not None}
        self.descriptors: list[int] = []
        try:
            self.descriptors.append(os.dup(transport.get_extra_info("socket").fileno()))
            # Danger: a value that is suspended can't be taken up again, so all copies are there first.
            for source in sources.values():
                self.descriptors.append(source.copy_descriptor())
        except OSError:
            for descriptor in self.descriptors:
                os.close(descriptor)
            raise
        self._values = {reply: source.suspend() for reply, source in sources.items()}
        transport.abort()

    def record(
        self,
        dialect: ClientDialect,
        carried: bool,
        unsent: bytes,
        replies: Iterable[Reply],
        command_age_s: float,
    ) -> bytes:
        """All that the other process has to know, in words; `command_age_s`: of the command half read."""
        segments: list[Segment] = []
        owed = [unsent]
        for reply in replies:
            owed.append(reply.held)
            if (value := self._values.get(reply)) is not None:
                segments.append(Segment(b"".join(owed), value))
                owed = []
        if rest := b"".join(owed):
            segments.append(Segment(rest))
        age_ms = min(int(command_age_s * 1000), MAX_COMMAND_AGE_MS)
        return encode(ConnectionRecord(dialect.name, carried, dialect.held, tuple(segments), age_ms))


class Arrival:
    """A connection on its way in: its record, and the descriptors of the values that are under way on it."""

    def __init__(self, record: ConnectionRecord, descriptors: Sequence[int], stays: bool) -> None:
        self.record, self.stays = record, stays
        self._descriptors = list(descriptors)

    def take(self) -> int:
        """The next value's descriptor, which is the caller's then."""
        return self._descriptors.pop(0)

    def drop(self) -> None:
        """Close what nobody took."""
        while self._descriptors:
            os.close(self._descriptors.pop())
