"""Memory that clients' long commands share."""

from __future__ import annotations

from collections import deque
from typing import Protocol


class Waiter(Protocol):
    """What asks for bytes."""

    closed: bool

    def reserve(self) -> None:
        """Ask again."""


class Budget:
    """Bytes for long commands: they are set aside before the command is read, so that all can be finished."""

    def __init__(self, total: int) -> None:
        self._free = total
        self._waiting: deque[Waiter] = deque()

    def take(self, waiter: Waiter, size: int) -> bool:
        """Set bytes aside, or queue the connection for them."""
        if size > self._free:
            self._waiting.append(waiter)
            return False
        self._free -= size
        return True

    def give_back(self, size: int) -> None:
        """Free bytes, and let those that wait go on."""
        self._free += size
        waiting, self._waiting = self._waiting, deque()
        while waiting:
            waiter = waiting.popleft()
            if not waiter.closed:
                waiter.reserve()
