"""The memory budget of a router: the bytes that wait in it for a client, a server or memory."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from saltport.transport.stream import READ_SIZE_BYTES
from saltport.wire.resp import MAX_VALUE_BYTES

FREE_SHARE = 0.5
"""Part of the free memory that may be buffered for one client before its later answers are refused."""


class Waiter(Protocol):
    """A connection that waits for memory."""

    @property
    def closed(self) -> bool:
        """Whether the connection has ended, so that it needs no memory any more."""

    def reserve(self) -> None:
        """Request the memory again; called when some has been released."""


class GrowingValue(Waiter, Protocol):
    """A connection that reads a value of unknown length, which it has to keep until the value is whole."""

    @property
    def has_turn(self) -> bool:
        """Whether the value can be passed on as soon as it is whole, with no earlier answer due."""

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered for the client that the value goes to."""


class MemoryBudget:
    """A number of bytes that commands and answers share; what has arrived counts, even beyond the total.

    A long command reserves its bytes before it is read, so that each started command can complete. Values of
    unknown length are read in parts. The memory of one whole value is kept back for the value with a turn
    that has been read for the longest time, so that one can always complete. A value that has to wait for
    earlier answers grows while what is buffered for its client is less than a share of the free memory, so
    that slow clients leave room for others (Choudhury and Hahne, "Dynamic queue length thresholds for
    shared-memory packet switches", 1998).
    """

    def __init__(self, total: int) -> None:
        self.total = self._free = total
        self._waiting: deque[Waiter] = deque()
        self._growing: dict[GrowingValue, None] = {}
        """Connections that read a value of unknown length, the one that began first in front."""

    @property
    def held(self) -> int:
        """Number of bytes that are reserved or counted."""
        return self.total - self._free

    @property
    def exhausted(self) -> bool:
        """Whether the total is reached: nothing that can be refused or left unread is taken on."""
        return self._free <= 0

    def has_room(self, size: int) -> bool:
        """Whether `size` more bytes are within the total."""
        return size <= self._free

    def reserve_or_wait(self, waiter: Waiter, size: int) -> bool:
        """Reserve `size` bytes and return True, or queue the waiter and return False."""
        if size > self._free:
            self._waiting.append(waiter)
            return False
        self._free -= size
        return True

    def count(self, size: int) -> None:
        """Count `size` bytes that have arrived and are kept."""
        self._free -= size

    def release_memory(self, size: int) -> None:
        """Release reserved or counted bytes, and let each waiter that is still open request memory again."""
        self._free += size
        if self._waiting:
            self._retry()

    def may_grow(self, value: GrowingValue) -> bool:
        """Return whether a value of unknown length may grow by what a stream reads at once."""
        self._growing.setdefault(value)
        return READ_SIZE_BYTES + self._kept_back_from(value) <= self._free

    def wait(self, waiter: Waiter) -> None:
        """Queue a waiter until memory is released."""
        self._waiting.append(waiter)

    def _kept_back_from(self, value: GrowingValue) -> int:
        """Return how many free bytes a value of unknown length must leave for others."""
        oldest = next((other for other in self._growing if other.has_turn), None)
        if value is oldest:
            return 0
        return MAX_VALUE_BYTES if value.has_turn else MAX_VALUE_BYTES + int(value.buffered_bytes / FREE_SHARE)

    def end_growth(self, value: GrowingValue) -> None:
        """Note that a value of unknown length is complete or given up."""
        if value in self._growing:
            del self._growing[value]
            self._retry()

    def _retry(self) -> None:
        waiting, self._waiting = self._waiting, deque()
        while waiting:
            waiter = waiting.popleft()
            if not waiter.closed:
                waiter.reserve()
