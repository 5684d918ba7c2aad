"""A value that broke off after a part of it was passed on, and the further attempt that continues it.

A client can't be told within a value that it has failed, and whatever it sent behind its read would be lost
with the connection. So another answer to the same read continues the value if it has the same length and
begins with the same bytes. No I/O.
"""

from __future__ import annotations

from zlib import crc32


class PrefixDiffersError(Exception):
    """An answer does not begin with the bytes that the client has, so it can't continue the value."""


class RelayedValue:
    """How much of a value the client was sent, with a checksum of it."""

    __slots__ = ("checksum", "length", "size")

    def __init__(self, length: int, size: int = 0, checksum: int = 0) -> None:
        self.length = length
        self.size = size
        """Number of bytes that were passed on."""
        self.checksum = checksum

    def add(self, data: bytes) -> None:
        """Record a part that is passed on."""
        self.size += len(data)
        self.checksum = crc32(data, self.checksum)

    def has_same_bytes(self, other: RelayedValue) -> bool:
        """Whether as many bytes with the same checksum were passed on."""
        return (self.size, self.checksum) == (other.size, other.checksum)


class PrefixCheck:
    """Removes from an answer what the client has already, and compares it."""

    def __init__(self, relayed: RelayedValue) -> None:
        self._relayed = relayed
        self._seen = RelayedValue(relayed.length)

    @property
    def is_complete(self) -> bool:
        """Whether all that the client has was compared."""
        return self._seen.size == self._relayed.size

    def rest(self, data: bytes) -> bytes:
        """Return the part of `data` that the client does not have; raises PrefixDiffersError."""
        known = min(self._relayed.size - self._seen.size, len(data))
        if known:
            self._seen.add(data[:known])
            if self.is_complete and not self._seen.has_same_bytes(self._relayed):
                raise PrefixDiffersError
        return data[known:]
