"""The end of what was written to a transport, as much of it as may be pending there. No I/O."""

from __future__ import annotations

from collections import deque


class Unsent:
    """Keeps the last bytes written: what is pending are always the last ones, so no count can drift."""

    def __init__(self) -> None:
        self._parts: deque[bytes] = deque()
        self._size = 0

    def __bool__(self) -> bool:
        return bool(self._parts)

    def wrote(self, data: bytes, pending: int) -> None:
        """So many bytes are pending after this write."""
        self._parts.append(data)
        self._size += len(data)
        self.trim(pending)

    def trim(self, pending: int) -> None:
        """So many are pending now: what lies before them has gone."""
        if not pending:
            self._parts.clear()
            self._size = 0
        while self._parts and self._size - len(self._parts[0]) >= pending:
            self._size -= len(self._parts.popleft())

    def last(self, pending: int) -> bytes:
        """The pending bytes."""
        assert pending <= self._size
        return b"".join(self._parts)[self._size - pending :]
