"""A memory budget shared by the long commands of all clients."""

from __future__ import annotations

from collections import deque
from typing import Protocol


class Waiter(Protocol):
    """A connection that waits for memory."""

    closed: bool

    def reserve(self) -> None:
        """Request the memory again; called when some has been released."""


class MemoryBudget:
    """A pool of bytes, reserved before a long command is read so that each started command can complete."""

    def __init__(self, total: int) -> None:
        self._free = total
        self._waiting: deque[Waiter] = deque()

    def reserve_or_wait(self, waiter: Waiter, size: int) -> bool:
        """Reserve `size` bytes and return True, or queue the waiter and return False."""
        if size > self._free:
            self._waiting.append(waiter)
            return False
        self._free -= size
        return True

    def release_memory(self, size: int) -> None:
        """Release reserved bytes, and let each waiter that is still open request its memory again."""
        self._free += size
        waiting, self._waiting = self._waiting, deque()
        while waiting:
            waiter = waiting.popleft()
            if not waiter.closed:
                waiter.reserve()
