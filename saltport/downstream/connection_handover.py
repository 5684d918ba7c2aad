"""Hand-over of client connections between processes of one router: the sending and the receiving side."""

from __future__ import annotations

import os
from collections.abc import Iterable, Sequence
from typing import Protocol

from saltport.deadline import NS_PER_MS
from saltport.downstream.command_input import CommandInput
from saltport.downstream.replies import Reply
from saltport.handover.choice import TransferDecision, decide_transfer
from saltport.handover.exchange import ConnectionTransfer
from saltport.handover.record import (
    MAX_COMMAND_AGE_MS,
    Closing,
    ConnectionRecord,
    DiscardedCommand,
    Segment,
    encode,
)
from saltport.transport.stream import TcpStream


class Successor(Protocol):
    """The process that replaces this one and takes over its connections."""

    @property
    def takes_records(self) -> bool:
        """Whether it accepts `ConnectionRecord`s, and so connections with outstanding replies."""

    @property
    def takes_extended_records(self) -> bool:
        """Whether it accepts connections that close, or discard a command."""

    @property
    def max_values(self) -> int:
        """The most values in progress that it accepts with one connection."""

    @property
    def free_capacity(self) -> int:
        """The number of connections that may be frozen for it now, besides those already queued or sent."""

    def send_idle_connection(self, descriptor: int, partial_command: bytes) -> bool:
        """Send an idle connection and its partial command; return False if that is not possible now.

        The caller closes its own copy of the descriptor.
        """

    def offer(self, transfer: ConnectionTransfer) -> None:
        """Queue the record of a connection that this process no longer reads or writes, for sending.

        It is sent as soon as the link to the successor has capacity.
        """


def can_hand_over(replies: Iterable[Reply], remaining_s: float, max_values: int) -> bool:
    """Whether a connection with these outstanding replies can be handed over now.

    `remaining_s`: time until this process exits. `max_values`: the most values in progress that the successor
    accepts.
    """
    unanswered = [reply for reply in replies if not reply.done]
    sources = [reply.source for reply in unanswered if reply.source is not None]
    progress = [source.progress for source in sources]
    if decide_transfer(len(unanswered) - len(sources), progress, remaining_s) is not TransferDecision.MOVE:
        return False
    return len(sources) <= max_values and all(source.movable for source in sources)


class FrozenConnection:
    """A client connection that is frozen for a hand-over.

    No more data is read from it, or from the servers that stream its values.

    The bytes that its transport has not written are final when the transport reports the connection as lost:
    the descriptor is open until then, and nothing is written afterwards.
    """

    def __init__(self, transport: TcpStream, replies: Sequence[Reply]) -> None:
        """Freeze the connection, for which `can_hand_over` must be true.

        Raise OSError if no descriptors are available; the connection is unchanged then.
        """
        sources = {reply: reply.source for reply in replies if reply.source is not None}
        self.descriptors: list[int] = []
        try:
            self.descriptors.append(os.dup(transport.get_extra_info("socket").fileno()))
            # Danger: a suspended value can't be resumed, so all descriptors are duplicated first.
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
        commands: CommandInput,
        has_carried_request: bool,
        unsent: bytes,
        replies: Iterable[Reply],
        command_age_s: float,
        closing: Closing,
        waited_ns: int,
    ) -> bytes:
        """Return the encoded record from which the other process restores the connection.

        `commands`: the received bytes that are not handled yet; `command_age_s`: how long ago the partial
        command began or last made progress; `closing`: whether the connection closes once all is answered;
        `waited_ns`: for how long the partial command has waited for memory.
        """
        segments: list[Segment] = []
        buffered = [unsent]
        for reply in replies:
            buffered.append(reply.buffered)
            if (value := self._values.get(reply)) is not None:
                segments.append(Segment(b"".join(buffered), value))
                buffered = []
        if rest := b"".join(buffered):
            segments.append(Segment(rest))
        age_ms = min(int(command_age_s * 1000), MAX_COMMAND_AGE_MS)
        dialect = commands.dialect
        discarded = DiscardedCommand(*dialect.discarded_command) if dialect.is_discarding else None
        unhandled = b"" if closing is Closing.STREAM_ENDED else commands.unhandled
        return encode(
            ConnectionRecord(
                dialect.name,
                has_carried_request,
                unhandled,
                tuple(segments),
                age_ms,
                closing,
                discarded,
                min(waited_ns // NS_PER_MS, MAX_COMMAND_AGE_MS),
            )
        )


class ReceivedConnection:
    """A connection received from another process: its record, and the descriptors of its streamed values."""

    def __init__(self, record: ConnectionRecord, descriptors: Sequence[int], pinned: bool) -> None:
        self.record, self.pinned = record, pinned
        self._descriptors = list(descriptors)

    def take(self) -> int:
        """Remove and return the descriptor of the next value; the caller owns it."""
        return self._descriptors.pop(0)

    def drop(self) -> None:
        """Close the descriptors that were not taken."""
        while self._descriptors:
            os.close(self._descriptors.pop())
