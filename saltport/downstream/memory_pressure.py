"""How near a router is to its memory limit, and what follows for its clients. No I/O.

The memory budget counts what the router knows that it keeps. The platform kills for what the kernel counts:
all processes of a router, with mapped files, freed memory that the allocator has kept, and files in memory.
So the kernel's figure bounds the budget (a feedback loop like Envoy's overload manager).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from saltport.downstream.budget import MIN_TOTAL_BYTES

MARGIN_SHARE = 1 / 32
"""Part of the limit that stays free for each process, for what grows between two readings."""
MIN_MARGIN_BYTES = 4 << 20
BUDGET_SHARE = 0.2  # part of the limit for commands, requests and answers
BUDGET_FREE_SHARE = 0.5  # the same, of what an idle process leaves: its objects need some too
RECLAIM_SHARE = 1 / 8
"""With less headroom than this part of the limit, freed memory goes back to the kernel."""
SUCCESSOR_SHARE = 1.5
"""Memory of a process that has taken over all clients, as a multiple of that of an idle one."""
MIN_BUDGET_BYTES = 512 << 10
"""For clients in any case, so that a router which is near its limit for other reasons still answers."""


class Pressure(IntEnum):
    """What a router does about its memory, the mildest first."""

    NONE = 0
    RECLAIM = 1
    """Give freed memory back to the kernel."""
    SHED = 2
    """Also close connections that are owed nothing, and accept none without closing another."""


def margin_bytes(limit_bytes: int) -> int:
    """Return how much of a memory limit has to stay free for each process."""
    return max(int(limit_bytes * MARGIN_SHARE), MIN_MARGIN_BYTES)


def total_budget_bytes(limit_bytes: int, idle_bytes: int) -> int:
    """Return the memory budget of clients, for a process that has `idle_bytes` without them.

    It has room for the longest command at any limit; the process's own memory lowers it where that is too
    much.
    """
    free_bytes = limit_bytes - margin_bytes(limit_bytes) - idle_bytes
    share = min(limit_bytes * BUDGET_SHARE, free_bytes * BUDGET_FREE_SHARE)
    return max(int(share), MIN_TOTAL_BYTES)


def successor_bytes(limit_bytes: int, idle_bytes: int) -> int:
    """Return the memory to keep free for the process that will replace this one, in an upgrade.

    `idle_bytes` is what this process had without clients. Nothing is kept free if the limit is too low for
    both of them and the longest command.
    """
    left_bytes = limit_bytes - margin_bytes(limit_bytes) - idle_bytes - MIN_TOTAL_BYTES
    return min(int(idle_bytes * SUCCESSOR_SHARE), left_bytes) if left_bytes >= idle_bytes else 0


@dataclass(frozen=True, slots=True)
class MemoryReading:
    """The memory of a router at one moment, as the kernel counts it."""

    limit_bytes: int
    used_bytes: int
    """Memory of all processes of this router, and of its files."""
    processes: int = 1
    """Number of processes of this router, which share what is left."""
    reserved_bytes: int = 0
    """Memory that a process needs which is not running yet."""

    @property
    def headroom_bytes(self) -> int:
        """Bytes by which this process may grow; negative beyond the limit less a margin for each process."""
        left_bytes = self.limit_bytes - self.reserved_bytes - self.used_bytes
        return left_bytes // self.processes - margin_bytes(self.limit_bytes)

    @property
    def pressure(self) -> Pressure:
        """What is to be done."""
        if self.headroom_bytes <= 0:
            return Pressure.SHED
        is_low = self.headroom_bytes < self.limit_bytes * RECLAIM_SHARE
        return Pressure.RECLAIM if is_low else Pressure.NONE

    def budget_bytes(self, held_bytes: int) -> int:
        """Return how much clients may make this process keep in all; it keeps `held_bytes` now."""
        return max(held_bytes + self.headroom_bytes, MIN_BUDGET_BYTES)
