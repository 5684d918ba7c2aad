"""What one client connection keeps in the memory budget, and how its long command gets memory."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from saltport.decisions.interface import NS_PER_S
from saltport.downstream.budget import BUFFERED_PART_BYTES, REQUEST_BYTES, MemoryBudget, MemoryRequest
from saltport.downstream.command_input import CommandInput
from saltport.messages import Request

LONG_COMMAND_BYTES = 4 << 10  # longer commands reserve memory before they are read
SPARSE_CLIENT_BYTES = 8 << 10  # that a client may keep, a request among them, to use the reserve
MEMORY_WAIT_SHARE = 0.5  # of a client's time-out, for which its long command may wait for memory
UNKNOWN_TIMEOUT_MS = 200  # assumed for a long command that does not state its time-out first


def _ignore_change() -> None:
    """Do nothing: the connection has ended."""


class ClientMemory:
    """Counts what is kept for one client: received commands, open requests, replies, and unsent bytes.

    A long command reserves its bytes. If there is no memory it waits, and reading with it; after half of the
    client's time what comes of it is discarded, and the command is refused.
    """

    def __init__(
        self,
        budget: MemoryBudget,
        loop: asyncio.AbstractEventLoop,
        commands: CommandInput,
        on_change: Callable[[], None],
    ) -> None:
        """`on_change` is called when a wait of the long command begins or ends."""
        self._budget, self._loop, self._commands, self._on_change = budget, loop, commands, on_change
        self.used = 0
        """Number of bytes that count in the budget for this client."""
        self.reserved = 0
        """Number of bytes that are reserved for the command being received."""
        self.buffered_bytes = 0
        """Number of bytes that replies have buffered, and that the kernel had not taken at the last pause."""
        self.granted_at = 0.0
        """Loop time since when the latest long command can be received, or is discarded."""
        self.waited_ns = 0
        """For how long the command being received has waited."""
        self._request: MemoryRequest | None = None
        self.input_count = 0
        """Number of bytes that count for received commands, with what is reserved."""
        self._wait_began_ns = 0
        self._timer: asyncio.TimerHandle | None = None
        self._closed = False

    @property
    def awaits_memory(self) -> bool:
        """Whether the long command that is being received waits for memory."""
        return self._request is not None

    @property
    def waited_so_far_ns(self) -> int:
        """For how long the command being received has waited, with the wait that goes on."""
        return self.waited_ns + (time.monotonic_ns() - self._wait_began_ns if self.awaits_memory else 0)

    # What is kept

    def count(self, size: int) -> None:
        """Count so many more bytes."""
        self.used += size
        self._budget.count(size)

    def release(self, size: int) -> None:
        """Count so many bytes less."""
        self.used -= size
        self._budget.release_memory(size)

    def add_buffered(self, size: int) -> None:
        """Count a part of a reply of so many bytes as buffered for the client."""
        if size:
            self.buffered_bytes += size
            self.count(size + BUFFERED_PART_BYTES)

    def remove_buffered(self, size: int) -> None:
        """Count a part of a reply of so many bytes as no longer buffered for the client."""
        if size:
            self.buffered_bytes -= size
            self.release(size + BUFFERED_PART_BYTES)

    def may_buffer(self, size: int) -> bool:
        """Whether there is room for an answer of `size` bytes that has to wait."""
        return self._budget.has_room(size) and self._budget.may_keep(self.buffered_bytes)

    @property
    def has_share(self) -> bool:
        """Whether the client may make the router keep more, beside what it keeps."""
        return self._budget.may_keep(self.used)

    @property
    def may_read_ahead(self) -> bool:
        """Whether commands that only wait for their turn may be read."""
        return self._budget.may_read_ahead(self.used)

    def admit(self, request: Request) -> int:
        """Count an open request and return its bytes; 0 if there is no room, so that it must be refused."""
        size = REQUEST_BYTES + len(request.key) + len(request.info) + len(request.value or b"")
        if not (self.reserved or self._budget.has_room(size) or self._may_use_reserve(size)):
            return 0
        self.count(size)
        return size

    def _may_use_reserve(self, size: int) -> bool:
        """Whether the client keeps so little that it may use the memory that is reserved for such clients."""
        return self.used + size <= SPARSE_CLIENT_BYTES and self._budget.has_reserve(size)

    # The command being received

    def count_input(self) -> None:
        """Count the received bytes of commands that are not handled yet, and reserve for a long one."""
        if self._closed:
            return
        self._set_input_count(max(self.reserved, self._commands.held_bytes))
        needed = self._commands.dialect.needed_bytes
        is_long = needed > max(LONG_COMMAND_BYTES, self.reserved)
        if is_long and not self.awaits_memory and not self._commands.dialect.is_discarding:
            self._reserve(needed - self.input_count)

    def _set_input_count(self, size: int) -> None:
        growth, self.input_count = size - self.input_count, size
        if growth > 0:
            self.count(growth)
        elif growth:
            self.release(-growth)

    def _reserve(self, size: int) -> None:
        """Reserve memory for the rest of the long command; it waits until there is some."""
        if not self._budget.can_ever_reserve(size):
            self._discard()
        elif self._budget.reserve(size):
            self._reserved()
        else:
            self._request = MemoryRequest(size, self._reserved)
            self._budget.request(self._request)
            self._wait_began_ns = time.monotonic_ns()
            timeout_ms = self._commands.dialect.partial_timeout_ms or UNKNOWN_TIMEOUT_MS
            # Danger: each process of an upgrade would let the command wait for half of its client's time.
            wait_s = timeout_ms / 1000 * MEMORY_WAIT_SHARE - self.waited_ns / NS_PER_S
            self._timer = self._loop.call_later(max(wait_s, 0.0), self._discard)
            self._on_change()

    def _reserved(self) -> None:
        """Receive the rest of the long command, as its memory is reserved."""
        needed = self._commands.dialect.needed_bytes
        self.used += needed - self.input_count
        self.reserved = self.input_count = needed
        self.granted_at = self._loop.time()
        if self.awaits_memory:
            self.waited_ns += time.monotonic_ns() - self._wait_began_ns
            self._end_wait()
            self._on_change()

    def _discard(self) -> None:
        """Refuse the long command that finds no memory: what comes of it is discarded."""
        if not self._commands.dialect.discard():
            self._budget.count(self._commands.dialect.needed_bytes - self.input_count)
            self._reserved()
            return
        self.waited_ns = 0
        self.granted_at = self._loop.time()
        self._end_wait()
        self._set_input_count(self._commands.held_bytes)
        self._on_change()

    def _end_wait(self) -> None:
        """End the wait for memory, if there is one."""
        if self._request is not None:
            self._request.is_cancelled = True
            self._request = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Release what counts for received commands, as the connection has ended."""
        self._closed = True
        self._end_wait()
        self._on_change = _ignore_change
        self._commands.close()
        self._set_input_count(0)
