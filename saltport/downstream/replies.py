"""Answers in the order of their commands, whole or in parts."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from saltport.downstream.endings import CloseReason, FinalAnswer
from saltport.handover.choice import ValueProgress
from saltport.handover.record import PartialValue, Segment
from saltport.messages import Answers, ValueSource


class Owed(Protocol):
    """What the host knows of a request that is owed an answer."""

    def client_gone(self) -> None:
        """Its client has left."""


class LongAnswer(ValueSource, Protocol):
    """A value that is passed on as it comes."""

    @property
    def progress(self) -> ValueProgress:
        """How it gets on."""

    @property
    def movable(self) -> bool:
        """Whether another process could go on with it now."""

    def copy_descriptor(self) -> int:
        """A descriptor of the connection that it comes on, which is the caller's. Raises OSError."""

    def suspend(self) -> PartialValue:
        """Stop here for good; what another process goes on from, with a copy of the descriptor."""

    def client_left(self) -> None:
        """Nobody reads it any more."""


class Channel(Protocol):
    """What a reply needs of the connection that it is written to."""

    replies: deque[Reply]
    """The replies that are owed on it, in the order of their commands."""
    blocked: bool
    """Whether the client can't take more now."""
    closed: bool

    def write(self, data: bytes) -> None:
        """Write to the client."""

    def flush(self) -> None:
        """Write the replies whose turn has come."""

    def abort(self, reason: CloseReason) -> None:
        """Close at once."""

    def client_has_left(self) -> bool:
        """Whether the kernel knows that its client has ended or reset it, read or not."""

    def give_back(self, reserved: int) -> None:
        """Free so many bytes that a long command had reserved of the memory."""


class Reply:
    """The place of one answer among those of its connection."""

    _held: list[bytes] | None = None
    done = False
    source: LongAnswer | None = None
    request: Owed | None = None
    """The host's."""
    reserved = 0
    tail = b""
    """What ends an answer that comes in parts, once it has begun."""
    answer: FinalAnswer | None = None
    """How it was answered, once that is decided."""
    logged_id: str | None = None
    """The request's id in the access log; None: it is not logged."""
    _kept_back = b""
    """The last byte that has come of a value, on a wire whose values have no end mark.

    Danger: a client that has every byte of such a value takes it for whole, and the server's answer may yet
    turn out to be broken. (A hand-over passes the byte on; the next process keeps back only what comes then.)
    """

    def __init__(self, connection: Channel, answers: Answers | None = None) -> None:
        self._connection = connection
        self._answers = answers

    @property
    def answers(self) -> Answers:
        """How this command's answer is worded."""
        assert self._answers is not None
        return self._answers

    def served(self, value: bytes) -> None:
        """Answer with a value or a receipt."""
        self.answer = FinalAnswer.SERVED
        self.send(self.answers.served(value))

    def refused(self, retry_after_ms: int = 0) -> None:
        """Answer that nothing was done, and that trying again is harmless."""
        self.answer = FinalAnswer.REFUSED
        self.send(self.answers.refused(retry_after_ms))

    def failed(self) -> None:
        """Answer that it failed."""
        self.answer = FinalAnswer.FAILED
        self.send(self.answers.failed())

    def rejected(self, reason: str) -> None:
        """Answer that this is no request to be taken."""
        self.answer = FinalAnswer.REJECTED
        self.send(self.answers.rejected(reason))

    def send(self, data: bytes) -> None:
        """Give the whole answer, or its last part, as it goes on the wire."""
        self._write(data)
        self.done, self.source = True, None
        self._connection.flush()

    def start(self, length: int, source: LongAnswer) -> None:
        """Begin an answer that comes in parts; the source is paused while the client can't take more."""
        self.source, self.tail = source, self.answers.tail()
        if not self._write(self.answers.head(length)) or self._connection.blocked:
            source.pause()

    def part(self, data: bytes) -> None:
        """Pass a part of the value on."""
        if not self.tail:
            data = self._kept_back + data
            self._kept_back, data = data[-1:], data[:-1]
        if data:
            self._write(data)

    def finish(self) -> None:
        """The value is whole."""
        self.answer = FinalAnswer.SERVED
        self.send(self._kept_back + self.tail)

    @property
    def held(self) -> bytes:
        """What waits here for the answers ahead, or for the end of the value."""
        return b"".join([*(self._held or ()), self._kept_back])

    def go_on(self, segment: Segment) -> None:
        """Begin with what another process held here; a value behind it gets its source from the host."""
        self._held = [segment.data] if segment.data else None
        self.done = segment.value is None
        self.tail = segment.value.tail if segment.value is not None else b""

    def _write(self, data: bytes) -> bool:
        """Pass a part on, or keep it until the answers ahead are written; False: kept."""
        connection = self._connection
        if connection.closed:
            return True
        if connection.replies[0] is not self:
            if self._held is None:
                self._held = []
            self._held.append(data)
            return False
        connection.write(data)
        return True

    def cut_off(self) -> None:
        """End a begun answer so that the client sees that it is not whole."""
        self._connection.abort(CloseReason.VALUE_CUT)

    def client_has_left(self) -> bool:
        """Whether its client has left, be it that nobody was told yet."""
        return self._connection.closed or self._connection.client_has_left()

    def forgotten(self) -> None:
        """The host needs the command no longer."""
        if self.reserved:
            self._connection.give_back(self.reserved)
            self.reserved = 0

    def its_turn(self) -> None:
        """The answers ahead have been written."""
        for data in self._held or ():
            self._connection.write(data)
        self._held = None
        if self.source is not None and not self._connection.blocked:
            self.source.resume()
