"""The protocol that transfers connections over a link between two processes of a router. No I/O.

The first byte of a message from the sender is its type: `l` a part of the learned state, `L` its last or only
part, `C` an idle connection (for a receiver that announces no record version), `P` a part of a connection
record, `M` its last part. The descriptors go with the last part; those that are too many for one message go
with the parts before it, in their order.
Both send `I` with digests of request ids that are used, and `F` with those that are free again, as each takes
clients while the other runs. Receivers of earlier versions ignore these two.
The receiver sends `E` if it accepts descriptors in several messages and the states of a connection that
receivers of earlier versions do not know, `H` with the record version that it
accepts, `A` when it has taken over a connection, and `N` with the reason when it rejects one. Senders of
earlier versions ignore `E`.

From the moment its last part is sent, a record belongs to the receiver: if both processes could continue the
connection, requests would be executed twice. The sender keeps the descriptors until the receiver answers, as
it resumes a rejected connection itself.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from saltport.handover.record import (
    MAX_COMMAND_BYTES,
    MAX_REPLY_BYTES,
    MAX_VALUES_IN_ONE_MESSAGE,
    MAX_VALUES_IN_PROGRESS,
    ConnectionRecord,
    RecordError,
    decode,
)

RECORD_PART_BYTES = 64 << 10  # size of the messages into which a longer connection record is split
MAX_DESCRIPTORS_PER_MESSAGE = 1 + MAX_VALUES_IN_ONE_MESSAGE  # the kernel passes at most 253
# Frozen, queued or sent connections at a time: bounds memory, descriptors and the pause of each connection.
MAX_IN_FLIGHT = 32
MAX_RECORD_BYTES = MAX_REPLY_BYTES + MAX_COMMAND_BYTES
LEARNED_PART_BYTES = 95 << 10  # receivers of earlier versions read one message of 96 KiB, and know no parts
MAX_LEARNED_BYTES = 8 << 20  # some 60,000 servers
LEARNED_PART, LEARNED_LAST, IDLE_CONNECTION, RECORD_PART, RECORD_LAST = b"l", b"L", b"C", b"P", b"M"
EXTENDED, HELLO, ACCEPTED, REJECTED = b"E", b"H", b"A", b"N"
USED_IDS, FREE_IDS = b"I", b"F"
NO_DESCRIPTORS = "the receiver had no descriptors"
"""The reason of a rejection after which the connection may be offered again."""
MAX_IDS_PER_MESSAGE = 4096


@dataclass(slots=True)
class ConnectionTransfer:
    """A frozen connection that is to be transferred: its encoded record and its descriptors."""

    record: bytes
    descriptors: Sequence[int]
    resume: Callable[[], None]
    """Resumes the connection in this process, and takes ownership of the descriptors."""
    sent_bytes: int = field(default=0)
    """Bytes of the record that have been sent."""
    sent_descriptors: int = field(default=0)
    may_be_offered_again: bool = field(default=False)
    """Whether the connection, once resumed in this process, may be handed over later."""

    def next_message(self) -> Message:
        """Return the message that is to be sent next."""
        part = self.record[self.sent_bytes : self.sent_bytes + RECORD_PART_BYTES]
        unsent = self.descriptors[self.sent_descriptors :]
        has_more_descriptors = len(unsent) > MAX_DESCRIPTORS_PER_MESSAGE
        if self.sent_bytes + len(part) < len(self.record) or has_more_descriptors:
            return Message(
                RECORD_PART + part, unsent[:MAX_DESCRIPTORS_PER_MESSAGE] if has_more_descriptors else ()
            )
        return Message(RECORD_LAST + part, unsent)

    @property
    def is_begun(self) -> bool:
        """Whether a part of the record has been sent."""
        return self.sent_bytes > 0 or self.sent_descriptors > 0

    def restart(self) -> None:
        """Begin again with the first message."""
        self.sent_bytes = self.sent_descriptors = 0


@dataclass(frozen=True, slots=True)
class Message:
    """One message for the link, with the descriptors that go with it."""

    data: bytes
    descriptors: Sequence[int] = ()


class TransferSender:
    """The protocol state of the process that exits."""

    def __init__(self, close_descriptors: Callable[[Sequence[int]], None]) -> None:
        """`close_descriptors` closes the descriptors of connections that this process no longer needs."""
        self._close_descriptors = close_descriptors
        self._learned: deque[bytes] = deque()
        """Unsent messages with learned state; they are sent before all connections."""
        self._queue: deque[ConnectionTransfer] = deque()
        self._unacknowledged: deque[ConnectionTransfer] = deque()
        self.receiver_version = 0
        """The record version that the receiver announced; 0 if it announced none."""
        self._receiver_is_extended = False
        self.accepted = self.rejected = 0
        """Numbers of connections that the receiver accepted and rejected."""

    @property
    def free_capacity(self) -> int:
        """The number of connections that may still be frozen."""
        return MAX_IN_FLIGHT - len(self._queue) - len(self._unacknowledged)

    @property
    def takes_extended_records(self) -> bool:
        """Whether the receiver accepts records of connections that close, or discard a command."""
        return self._receiver_is_extended

    @property
    def max_values(self) -> int:
        """The most values in progress that the receiver accepts with one connection."""
        return MAX_VALUES_IN_PROGRESS if self._receiver_is_extended else MAX_VALUES_IN_ONE_MESSAGE

    @property
    def busy(self) -> bool:
        """Whether a connection is queued, or sent and not yet answered."""
        return bool(self._queue or self._unacknowledged)

    def send_learned(self, learned: bytes) -> None:
        """Queue learned state for sending; beyond `MAX_LEARNED_BYTES` the receiver starts without it."""
        if len(learned) > MAX_LEARNED_BYTES:
            return
        parts = [
            learned[at : at + LEARNED_PART_BYTES] for at in range(0, len(learned), LEARNED_PART_BYTES)
        ] or [b""]
        self._learned.extend(LEARNED_PART + part for part in parts[:-1])
        self._learned.append(LEARNED_LAST + parts[-1])

    def send_used_ids(self, digests: Sequence[bytes]) -> None:
        """Queue the ids that are used so far, to be sent ahead of the learned state that follows."""
        for at in range(0, len(digests), MAX_IDS_PER_MESSAGE):
            self._learned.append(USED_IDS + b"".join(digests[at : at + MAX_IDS_PER_MESSAGE]))

    def enqueue(self, transfer: ConnectionTransfer) -> None:
        """Queue a frozen connection, to be sent when the link has capacity.

        It goes ahead of those with longer records: a read must not wait until long writes have moved.
        """
        first = 1 if self._queue and self._queue[0].is_begun else 0
        size = len(transfer.record)
        place = bisect_right(self._queue, size, lo=first, key=lambda queued: len(queued.record))
        self._queue.insert(place, transfer)

    def next_message(self) -> Message | None:
        """Return the message to send next, or None. Call `message_sent` before calling this again."""
        if self._learned:
            return Message(self._learned[0])
        if not self._queue:
            return None
        return self._queue[0].next_message()

    def message_sent(self) -> None:
        """Record that the link has taken the message that `next_message` returned last."""
        if self._learned:
            self._learned.popleft()
            return
        transfer = self._queue[0]
        message = transfer.next_message()
        transfer.sent_bytes += len(message.data) - len(RECORD_PART)
        transfer.sent_descriptors += len(message.descriptors)
        if message.data[:1] == RECORD_LAST:
            self._unacknowledged.append(self._queue.popleft())

    def receive(self, data: bytes) -> str:
        """Process a message of the receiver; return the reason of a rejection, otherwise an empty text."""
        if data[:1] == EXTENDED:
            self._receiver_is_extended = True
        elif data[:1] == HELLO:
            self.receiver_version = int(data[1:]) if data[1:].isdigit() and len(data) < 6 else 0
        elif data[:1] in (ACCEPTED, REJECTED) and self._unacknowledged:
            transfer = self._unacknowledged.popleft()
            if data[:1] == ACCEPTED:
                self.accepted += 1
                self._close_descriptors(transfer.descriptors)
            else:
                self.rejected += 1
                reason = data[1:101].decode(errors="replace")
                transfer.may_be_offered_again = reason == NO_DESCRIPTORS
                transfer.resume()
                return reason
        return ""

    def link_closed(self) -> None:
        """Give up the connections that were sent completely, and resume the others in this process."""
        self._learned.clear()
        unacknowledged, self._unacknowledged = self._unacknowledged, deque()
        queue, self._queue = self._queue, deque()
        self.receiver_version, self._receiver_is_extended = 0, False
        for transfer in unacknowledged:
            self._close_descriptors(transfer.descriptors)
        for transfer in queue:
            transfer.restart()
            transfer.may_be_offered_again = True
            transfer.resume()


class TransferReceiver:
    """The protocol state of the process that starts: assembles learned state and connection records."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0
        self._learned: list[bytes] = []
        self._learned_size = 0

    @property
    def learning(self) -> bool:
        """Whether a part of the learned state has arrived and its last part has not."""
        return self._learned_size > 0

    def receive_learned(self, data: bytes) -> bytes:
        """Add a part of the learned state; return all of it with the last part, otherwise empty bytes.

        Learned state beyond `MAX_LEARNED_BYTES` is dropped, and empty bytes are returned for it.
        """
        self._learned_size += len(data) - 1
        if self._learned_size <= MAX_LEARNED_BYTES:
            self._learned.append(data[1:])
        else:
            self._learned.clear()
        if data[:1] != LEARNED_LAST:
            return b""
        parts, self._learned, self._learned_size = self._learned, [], 0
        return b"".join(parts)

    def receive_record(self, data: bytes, descriptors: int) -> ConnectionRecord | None:
        """Add a part of a record; return the record with its last part.

        `descriptors`: how many came with all parts so far.

        Raises RecordError with the last part of an invalid record. The caller keeps the descriptors until
        then, closes those of an invalid record, and answers each last part.
        """
        self._size += len(data) - 1
        if self._size <= MAX_RECORD_BYTES:
            self._parts.append(data[1:])
        else:
            self._parts.clear()
        if data[:1] != RECORD_LAST:
            return None
        parts, self._parts = self._parts, []
        size, self._size = self._size, 0
        if size > MAX_RECORD_BYTES:
            raise RecordError("record too long")
        return decode(b"".join(parts), descriptors)
