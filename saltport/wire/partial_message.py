"""The incomplete message at the end of a byte stream: what a reader keeps of it, or discards. No I/O."""

from __future__ import annotations

from abc import abstractmethod

from saltport.messages import Data

LONG_PART_BYTES = 64 << 10
"""Longer parts of a message are never copied once they are received."""


def take_part(data: Data, start: int, end: int, message_end: int) -> Data:
    """Return a part of the message that ends at `message_end`.

    A long part of the last message in a buffer is not copied: the buffer itself becomes that part, and must
    not be read any more.
    """
    if isinstance(data, bytes):
        return data[start:end]
    if message_end != len(data) or end - start <= LONG_PART_BYTES:
        return bytes(data[start:end])
    del data[end:]
    del data[:start]
    return data


class MessageReader:
    """Base of the readers that split the bytes of a client into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.needed_bytes = 0
        """Bytes that the incomplete message needs at least, counted from its start; 0 between messages."""
        self.framing_error = ""
        """The framing error that ended the stream; empty if there is none."""
        self._left_to_discard = 0
        self._discarded_head = b""  # of the message that is being discarded, whole without its long part
        self.first_is_discarded = False
        """Whether the first message that `feed` returns next has lost its long part."""

    @property
    def received_bytes(self) -> int:
        """Number of bytes kept of the incomplete message."""
        return len(self._buffer)

    @property
    def missing_bytes(self) -> int:
        """Bytes that the incomplete message needs at least beyond those received; 0 between messages."""
        return self._left_to_discard or max(self.needed_bytes - len(self._buffer), 0)

    @property
    def is_discarding(self) -> bool:
        """Whether the rest of the long part is discarded."""
        return bool(self._left_to_discard)

    @property
    def pending(self) -> bytes:
        """The bytes received of the incomplete message."""
        return bytes(self._buffer)

    @property
    def discarded_message(self) -> tuple[bytes, int]:
        """The message that is discarded, whole without its long part, and the bytes of that to come."""
        return self._discarded_head, self._left_to_discard

    def resume_discarding(self, head: bytes, left: int) -> None:
        """Go on to discard the message of another reader, which had this `discarded_message`."""
        self._discard_rest(head, left)
        self.needed_bytes = left

    @abstractmethod
    def discard(self) -> bool:
        """Discard the rest of the long part; `feed` then returns the message without it.

        Return False, without effect, if the length of that part is not known yet.
        """

    def drop_partial(self) -> None:
        """Drop the incomplete message, after which the reader must not be used again."""
        self._buffer.clear()

    def _discard_rest(self, head: bytes, size: int) -> None:
        """Discard the next `size` bytes, and then parse `head` in place of what was received before."""
        self._discarded_head, self._left_to_discard = head, size
        self._buffer.clear()

    def _parseable(self, data: bytes) -> Data | None:
        """Return received bytes with the incomplete message before them; None if that needs more.

        A long message is returned in the buffer that it was received in, which the caller then owns.
        """
        if self._left_to_discard:
            dropped = min(len(data), self._left_to_discard)
            self._left_to_discard -= dropped
            if self._left_to_discard:
                return None
            data = self._discarded_head + data[dropped:]
            self._discarded_head, self.needed_bytes, self.first_is_discarded = b"", 0, True
        elif self.needed_bytes:
            self._buffer += data
            if len(self._buffer) < self.needed_bytes:
                return None
            return self._take_buffer()
        return data

    def _take_buffer(self) -> Data:
        """Return the received bytes, and begin with an empty buffer."""
        buffer, self._buffer = self._buffer, bytearray()
        self.needed_bytes = 0
        return buffer if len(buffer) > LONG_PART_BYTES else bytes(buffer)
