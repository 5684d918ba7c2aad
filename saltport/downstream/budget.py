"""The memory budget of a router: the one place that decides who may keep how many bytes in it.

All that arrives counts: received bytes of commands, open requests, answers that wait, and what the kernel has
not taken. A client and a single read get a part of what is free (Choudhury and Hahne, "Dynamic queue length
thresholds for shared-memory packet switches", 1998), so however many there are, all together stay within the
total, and a client that comes later finds some of it free.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from saltport.transport.stream import READ_SIZE_BYTES
from saltport.wire.resp import MAX_COMMAND_OVERHEAD_BYTES, MAX_VALUE_BYTES

FREE_SHARE = 0.5
"""Part of the free memory that one client may keep before it has to wait or its answers are refused."""
ANSWER_READS, COMMAND_READS = 64, 512
"""The free memory divided by these may be read at once from a server and from a client."""
MIN_READ_BYTES = 1 << 10  # that may be read at once, however little is free
NOT_READ_AHEAD_SHARE = 0.75  # part of the total that commands which wait for their turn leave to all else
UNRESERVED_SHARE = 0.1  # part of the total that long commands leave to all else
MIN_TOTAL_BYTES = int((MAX_VALUE_BYTES + MAX_COMMAND_OVERHEAD_BYTES) / (1 - UNRESERVED_SHARE)) + 1
"""Total with which the longest command can be received."""
RESERVE_BYTES = 512 << 10  # beyond the total, for clients that keep little (sparse flows first, RFC 8290)
REQUEST_BYTES = 3 << 10  # memory of an open request, its reply and attempts, beside its text and value
BUFFERED_PART_BYTES = 512  # memory of a part of a reply that waits, beside its bytes


class Waiter(Protocol):
    """A connection that waits for memory."""

    @property
    def closed(self) -> bool:
        """Whether the connection has ended, so that it needs no memory any more."""

    def reserve(self) -> None:
        """Request the memory again; called when some has been released."""


@dataclass(eq=False, slots=True)
class MemoryRequest:
    """A wait for the memory of a long command."""

    size: int
    on_reserved: Callable[[], None]
    """Called once, when the memory is reserved."""
    is_cancelled: bool = False


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

    A long command reserves its bytes before it is read, first come first served, so that each started command
    can complete. Values of unknown length are read in parts. The memory of one whole value is kept back for
    the value with a turn that has been read for the longest time, so that one can always complete. A value
    that has to wait for earlier answers grows while what is buffered for its client is less than a share of
    the free memory.
    """

    def __init__(self, total: int) -> None:
        self.total = self._bound = self._free = total
        self._waiting: deque[Waiter] = deque()
        self._requests: deque[MemoryRequest] = deque()
        self._growing: dict[GrowingValue, None] = {}
        """Connections that read a value of unknown length, the one that began first in front."""

    @property
    def held(self) -> int:
        """Number of bytes that are reserved or counted."""
        return self._bound - self._free

    def set_bound(self, size: int) -> None:
        """Bound the total by what the process has left; less than what is held refuses all that is new."""
        growth, self._bound = min(size, self.total) - self._bound, min(size, self.total)
        self._free += growth
        if growth > 0:
            self._serve_waiters()

    @property
    def exhausted(self) -> bool:
        """Whether the total is reached: nothing that can be refused or left unread is taken on."""
        return self._free <= 0

    def has_room(self, size: int) -> bool:
        """Whether `size` more bytes are within the total."""
        return size <= self._free

    def has_reserve(self, size: int) -> bool:
        """Whether `size` more bytes are within the reserve for clients that keep little."""
        return size <= self._free + RESERVE_BYTES

    def read_size(self, reads: int, most: int) -> int:
        """Return how many bytes may be read at once: what is free divided by `reads`, at most `most`."""
        return min(max(self._free // reads, MIN_READ_BYTES), most)

    def may_keep(self, used: int) -> bool:
        """Whether a client that keeps `used` bytes may keep more."""
        return used <= self._free * FREE_SHARE

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes for a long command; return False if it has to wait."""
        if self._requests or not self._may_reserve(size):
            return False
        self._free -= size
        return True

    def request(self, request: MemoryRequest) -> None:
        """Reserve memory as soon as there is some, behind earlier requests."""
        self._requests.append(request)

    def may_read_ahead(self, used: int) -> bool:
        """Whether bytes that only wait for their turn may be read for a client that keeps `used` bytes."""
        return used <= (self._free - self.total * NOT_READ_AHEAD_SHARE) * FREE_SHARE

    def can_ever_reserve(self, size: int) -> bool:
        """Whether `size` bytes could be reserved if nothing else were kept."""
        return size <= self.total * (1 - UNRESERVED_SHARE)

    def _may_reserve(self, size: int) -> bool:
        return size <= self._free - self.total * UNRESERVED_SHARE

    def count(self, size: int) -> None:
        """Count `size` bytes that have arrived and are kept."""
        self._free -= size

    def release_memory(self, size: int) -> None:
        """Release reserved or counted bytes, and let each waiter that is still open request memory again."""
        self._free += size
        self._serve_waiters()

    def _serve_waiters(self) -> None:
        """Let those that wait for memory request it again."""
        if self._requests:
            self._serve_requests()
        if self._waiting:
            self._retry()

    def may_grow(self, value: GrowingValue) -> bool:
        """Return whether a value of unknown length may grow by what a stream reads at once.

        The oldest one with a turn always may, as it has to complete before the others: what others have
        taken meanwhile may then exceed the total, by one value at the most.
        """
        self._growing.setdefault(value)
        kept_back = self._kept_back_from(value)
        return not kept_back or READ_SIZE_BYTES + kept_back <= self._free

    def growth_size(self, value: GrowingValue) -> int:
        """Return how many bytes of a value of unknown length may be read at once.

        Danger: several values may have found the same room, which the first read of one of them takes.
        """
        kept_back = self._kept_back_from(value)
        room = self._free - kept_back if kept_back else READ_SIZE_BYTES
        return min(max(room, MIN_READ_BYTES), READ_SIZE_BYTES)

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

    def _serve_requests(self) -> None:
        """Reserve memory for the requests that wait, in their order, as far as it suffices."""
        while self._requests:
            request = self._requests[0]
            if not request.is_cancelled:
                if not self._may_reserve(request.size):
                    return
                self._free -= request.size
            self._requests.popleft()
            if not request.is_cancelled:
                request.on_reserved()

    def _retry(self) -> None:
        waiting, self._waiting = self._waiting, deque()
        while waiting:
            waiter = waiting.popleft()
            if not waiter.closed:
                waiter.reserve()
