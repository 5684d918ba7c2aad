"""Replies to the commands of a connection, written in command order, each at once or in parts."""

from __future__ import annotations

from typing import Protocol

from saltport.downstream.client_memory import ClientMemory
from saltport.downstream.outcomes import CloseReason, FinalAnswer
from saltport.handover.choice import ValueProgress
from saltport.handover.record import PartialValue, Segment
from saltport.messages import Answers, ValueSource

RESTORED_PART_BYTES = 64 << 10  # in which the bytes from another process are written


class PendingRequest(Protocol):
    """The host's object for a request that has no final answer yet."""

    def client_gone(self) -> None:
        """Handle that the client of this request has disconnected."""


class StreamedValue(ValueSource, Protocol):
    """A value that is streamed from a server connection to the client as it arrives."""

    @property
    def progress(self) -> ValueProgress:
        """How much of the value has been passed on and how fast."""

    @property
    def movable(self) -> bool:
        """Whether the stream could be handed over to another process now."""

    def copy_descriptor(self) -> int:
        """Return a duplicate descriptor of the server connection; the caller owns it. Raises OSError."""

    def suspend(self) -> PartialValue:
        """Stop permanently; return the state from which another process continues the stream."""

    def client_left(self) -> None:
        """Handle that the client reading the value has disconnected."""


class ReplyChannel(Protocol):
    """The client connection to which replies are written."""

    replies: list[Reply]
    """The outstanding replies, in the order of their commands."""
    writing_paused: bool
    """Whether the write buffer for the client is full."""
    closed: bool

    def write(self, data: bytes) -> None:
        """Write bytes to the client."""

    def remove_completed_replies(self) -> None:
        """Remove completed replies from the queue; the next reply then writes what it has buffered."""

    def abort(self, reason: CloseReason) -> None:
        """Close the connection immediately."""

    def client_has_left(self) -> bool:
        """Whether the kernel reports that the client ended or reset the connection, even if unread."""

    @property
    def may_have_left(self) -> bool:
        """Whether the client may have left without a sign of it, so that nothing may be sent on for it."""

    memory: ClientMemory
    """What is kept for this client."""

    def may_begin_value(self) -> bool:
        """Whether a value may begin beside those in progress."""

    def keeps_up(self) -> bool:
        """Whether the client has acknowledged all that was written to it, so that the kernel takes more."""


class Reply:
    """The reply to one command.

    It is buffered until all earlier replies of its connection are complete and the client has taken most of
    what was written.
    """

    _buffered: list[bytes] | None = None
    done = False
    source: StreamedValue | None = None
    request: PendingRequest | None = None
    """The host's object for the request; None: no request, or not accepted."""
    reserved = 0
    """Bytes of memory reserved for the command."""
    tail = b""
    """The end mark of a streamed answer, set when the answer begins."""
    answer: FinalAnswer | None = None
    """The kind of final answer, once it is decided."""
    logged_id: str | None = None
    """The id of the request in the access log; None: it is not logged."""
    _withheld_byte = b""
    """The last received byte of a streamed value, withheld if values have no end mark in this dialect.

    Danger: a client that has received every byte of such a value treats it as complete, although the server's
    answer may still turn out to be broken. (A hand-over passes this byte on; the next process withholds only
    bytes that it receives itself.)
    """

    def __init__(self, connection: ReplyChannel, answers: Answers | None = None) -> None:
        self._connection = connection
        self._answers = answers

    @property
    def answers(self) -> Answers:
        """The encoder of this command's reply in its dialect."""
        assert self._answers is not None
        return self._answers

    def served(self, value: bytes) -> None:
        """Send a complete successful answer: the value that was read, or the origin's answer to a write."""
        self.answer = FinalAnswer.SERVED
        self.send(self.answers.served(value))

    def refused(self, retry_after_ms: int = 0) -> None:
        """Answer that the request was refused without any effect, so that it is safe to retry."""
        self.answer = FinalAnswer.REFUSED
        self.send(self.answers.refused(retry_after_ms))

    def failed(self) -> None:
        """Answer that the request failed; a write may have taken effect."""
        self.answer = FinalAnswer.FAILED
        self.send(self.answers.failed())

    def rejected(self, reason: str) -> None:
        """Answer that the command is not a valid request."""
        self.answer = FinalAnswer.REJECTED
        self.send(self.answers.rejected(reason))

    def send(self, data: bytes) -> None:
        """Write the encoded answer, or its last part, and mark the reply as complete."""
        self._write(data)
        self.done, self.source = True, None
        self._connection.remove_completed_replies()

    def start(self, length: int, source: StreamedValue) -> None:
        """Begin a streamed answer of this length; `source` is paused while the client can't receive more."""
        self.source, self.tail = source, self.answers.tail()
        if not self._write(self.answers.head(length)) or self._connection.writing_paused:
            source.pause()

    def resume(self, source: StreamedValue) -> None:
        """Continue a streamed answer from another source, which is paused while the client takes nothing."""
        self.source = source
        if self._must_wait:
            source.pause()

    def send_part(self, data: bytes) -> None:
        """Write the next part of a streamed value."""
        if not self.tail:
            data = self._withheld_byte + data
            self._withheld_byte, data = data[-1:], data[:-1]
        if data:
            self._write(data)

    def finish(self) -> None:
        """Complete a streamed answer."""
        self.answer = FinalAnswer.SERVED
        self.send(self._withheld_byte + self.tail)

    @property
    def buffered(self) -> bytes:
        """The bytes not yet written because earlier replies are incomplete or the value has not ended."""
        return b"".join([*(self._buffered or ()), self._withheld_byte])

    @property
    def written(self) -> bool:
        """Whether the reply is complete and nothing of it is buffered."""
        return self.done and not self._buffered

    @property
    def has_turn(self) -> bool:
        """Whether no earlier reply of the connection is incomplete."""
        replies = self._connection.replies
        return not replies or replies[0] is self

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered for the client."""
        return self._connection.memory.buffered_bytes

    def may_buffer(self, size: int) -> bool:
        """Whether an answer of `size` bytes can be written now, or the memory budget has room for it."""
        connection = self._connection
        # Danger: a closed connection has no replies any more, not even this one.
        if connection.closed or connection.memory.may_buffer(size):
            return True
        return not self._must_wait and connection.keeps_up()

    def may_begin_value(self) -> bool:
        """Whether the answer may begin as a streamed value; otherwise the request has to be refused."""
        return self._connection.closed or self._connection.may_begin_value()

    def restore(self, segment: Segment) -> None:
        """Restore a reply from another process; the caller sets the source of a streamed value."""
        data = segment.data
        for at in range(0, len(data), RESTORED_PART_BYTES):
            self._buffer(data[at : at + RESTORED_PART_BYTES])
        self.done = segment.value is None
        self.tail = segment.value.tail if segment.value is not None else b""

    def _write(self, data: bytes) -> bool:
        """Write bytes, or buffer them until all earlier replies are complete; return False if buffered."""
        connection = self._connection
        if connection.closed:
            return True
        if self._must_wait:
            self._buffer(data)
            return False
        connection.write(data)
        return True

    @property
    def _must_wait(self) -> bool:
        """Whether an earlier reply is incomplete, or the client has not taken what was written before."""
        connection = self._connection
        return bool(connection.replies[0] is not self or connection.writing_paused or self._buffered)

    def _buffer(self, data: bytes) -> None:
        """Keep bytes until they can be written."""
        if self._buffered is None:
            self._buffered = []
        self._buffered.append(data)
        self._connection.memory.add_buffered(len(data))

    def drop_buffered(self) -> None:
        """Drop the buffered bytes: the connection has ended here."""
        while self._buffered:
            self._connection.memory.remove_buffered(len(self._buffered.pop(0)))

    def abort_value(self) -> None:
        """Close the connection so that the client sees that the streamed value is incomplete."""
        self._connection.abort(CloseReason.VALUE_CUT)

    def client_has_left(self) -> bool:
        """Whether the client has disconnected, or may have, even if the connection has not been notified."""
        connection = self._connection
        return connection.closed or connection.client_has_left() or connection.may_have_left

    def release_memory(self) -> None:
        """Release the memory reserved for the command, which the host no longer needs."""
        if self.reserved:
            self._connection.memory.release(self.reserved)
            self.reserved = 0

    def start_writing(self) -> None:
        """Write buffered bytes as far as the client takes them, then resume the source.

        All earlier replies are complete.
        """
        connection = self._connection
        while self._buffered and not connection.writing_paused:
            data = self._buffered.pop(0)
            connection.write(data)
            connection.memory.remove_buffered(len(data))
        if self.source is not None and not connection.writing_paused:
            self.source.resume()
