"""The bytes of a stream that the kernel has not taken yet. No I/O."""

from __future__ import annotations


class SendBuffer:
    """Unsent bytes in their order: collected short writes, and long values that are sent in place.

    A value that is sent in place is not copied. It must not be changed until it is sent or dropped.
    """

    __slots__ = ("_segments", "_size")

    def __init__(self) -> None:
        self._segments: list[bytearray | memoryview] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __bytes__(self) -> bytes:
        return b"".join(self._segments)

    def append(self, data: bytes | bytearray | memoryview) -> None:
        """Add a copy of some bytes."""
        if not self._segments or isinstance(self._segments[-1], memoryview):
            self._segments.append(bytearray())
        last = self._segments[-1]
        assert isinstance(last, bytearray)
        last += data
        self._size += len(data)

    def append_in_place(self, data: memoryview) -> None:
        """Add bytes that stay where they are."""
        if data:
            self._segments.append(data)
            self._size += len(data)

    @property
    def first(self) -> bytes | bytearray | memoryview:
        """The bytes to send next, not always all of them."""
        return self._segments[0] if self._segments else b""

    def remove(self, size: int) -> None:
        """Remove so many of the first bytes, at most as many as `first` has."""
        if not size:
            return
        self._size -= size
        first = self._segments[0]
        if size == len(first):
            self._segments.pop(0)
        elif isinstance(first, bytearray):
            del first[:size]
        else:
            self._segments[0] = first[size:]

    def clear(self) -> None:
        """Drop all bytes."""
        self._segments.clear()
        self._size = 0
