"""Reads the memory of this router often, and bounds what its clients make it keep by that."""

from __future__ import annotations

import asyncio
import gc
import logging
import math
from collections.abc import Callable
from pathlib import Path

from saltport.downstream.clients import ClientServer
from saltport.downstream.memory_pressure import MemoryReading, Pressure
from saltport.lifecycle.allocator import release_freed_memory
from saltport.lifecycle.memory import folder_bytes, resident_memory_bytes

READ_INTERVAL_S = 0.02
PRESSED_READ_INTERVAL_S = 0.01
RECLAIM_INTERVAL_S = 0.5
COLLECT_INTERVAL_S = 5.0  # between two runs of Python's collector of reference cycles
FILES_INTERVAL_S = 1.0  # between two readings of the size of files
UNLOGGED_TENTHS = 7  # of the limit; a log has room for few lines in each second
LOG_INTERVAL_S = 1.0  # between two lines on short memory
SHED_CONNECTIONS = 8  # closed after one reading; the next one shows what that freed

log = logging.getLogger("saltport")


class MemoryMonitor:
    """Compares the memory of all processes of a router with its limit, and acts on what is left."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit_bytes: int,
        clients: ClientServer,
        folder: Path | None,
        other_process: Callable[[], int | None],
        successor_bytes: int = 0,
    ) -> None:
        """`folder` is kept in memory; `other_process` returns the id of the router's other process, if any.

        An id of 0 stands for a process that this one can't see; it counts as much as this one.
        `successor_bytes` stay free for another process while there is none.
        """
        self._successor_bytes = successor_bytes
        self._loop, self._limit_bytes, self._clients = loop, limit_bytes, clients
        self._folder, self._other_process = folder, other_process
        self._own_bytes = self._other_bytes = self._files_bytes = 0
        self._files_read_at = self._reclaimed_at = self._collected_at = -FILES_INTERVAL_S - COLLECT_INTERVAL_S
        self._timer: asyncio.TimerHandle | None = None
        self._change_logged_at = -LOG_INTERVAL_S
        self._logged_tenths = UNLOGGED_TENTHS
        self.reading = MemoryReading(limit_bytes, 0)
        """The latest reading."""

    def start(self) -> None:
        """Read the memory now and then regularly."""
        self._clients.check_memory = self._check
        self._check()

    def close(self) -> None:
        """Stop reading."""
        if self._timer is not None:
            self._timer.cancel()
        self._clients.memory_check_at = math.inf

    def _check(self) -> None:
        """Read the memory, and act on it; called by a timer, and by clients' events if that is late."""
        before = self.reading.pressure
        self.reading = self._read()
        if self.reading.pressure >= Pressure.RECLAIM and self._reclaim():
            self.reading = self._read()
        pressure, budget = self.reading.pressure, self._clients.budget
        budget.set_bound(self.reading.budget_bytes(budget.held))
        self._clients.is_short_of_memory = pressure is Pressure.SHED
        if pressure is Pressure.SHED:
            # Danger: the connection whose event led here may be among those that are closed.
            self._loop.call_soon(self._clients.shed, SHED_CONNECTIONS)
        if (pressure is Pressure.SHED) != (before is Pressure.SHED) and self._may_log_change():
            self._log("is short" if pressure is Pressure.SHED else "suffices again", logging.WARNING)
        elif (tenths := self.reading.used_bytes * 10 // self._limit_bytes) > self._logged_tenths:
            self._logged_tenths = tenths
            self._log("has grown", logging.INFO)
        interval_s = READ_INTERVAL_S if pressure is Pressure.NONE else PRESSED_READ_INTERVAL_S
        self._schedule(interval_s)

    def _schedule(self, interval_s: float) -> None:
        """Check again after so many seconds, however long one iteration of the event loop takes."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(interval_s, self._check)
        self._clients.memory_check_at = self._loop.time() + interval_s

    def _read(self) -> MemoryReading:
        """Return the present reading; what can't be read stands as it was last."""
        self._own_bytes = resident_memory_bytes() or self._own_bytes
        other = self._other_process()
        if other is None:
            self._other_bytes = 0
        else:
            seen_bytes = resident_memory_bytes(other) if other else None
            self._other_bytes = seen_bytes or self._other_bytes or self._own_bytes
        if self._folder is not None and self._loop.time() - self._files_read_at >= FILES_INTERVAL_S:
            self._files_read_at = self._loop.time()
            self._files_bytes = folder_bytes(self._folder)
        used_bytes = self._own_bytes + self._other_bytes + self._files_bytes
        if other is None:
            return MemoryReading(self._limit_bytes, used_bytes, reserved_bytes=self._successor_bytes)
        return MemoryReading(self._limit_bytes, used_bytes, processes=2)

    def _reclaim(self) -> bool:
        """Give freed memory back to the kernel; return False if that was done a short while ago."""
        now = self._loop.time()
        if now - self._reclaimed_at < RECLAIM_INTERVAL_S:
            return False
        self._reclaimed_at = now
        if now - self._collected_at >= COLLECT_INTERVAL_S:
            self._collected_at = now
            gc.collect()
        release_freed_memory()
        return True

    def _may_log_change(self) -> bool:
        """Whether a change between short and sufficient memory is logged: it may come many times a second."""
        now = self._loop.time()
        if now - self._change_logged_at < LOG_INTERVAL_S:
            return False
        self._change_logged_at = now
        return True

    def _log(self, change: str, level: int) -> None:
        """Log a change of the memory in use: short, sufficient again, or a further tenth of the limit."""
        reading, budget = self.reading, self._clients.budget
        log.log(
            level,
            "memory %s: %.1f of %.1f MiB in use by %d processes, %.1f MiB held for %d clients",
            change,
            reading.used_bytes / (1 << 20),
            reading.limit_bytes / (1 << 20),
            reading.processes,
            budget.held / (1 << 20),
            self._clients.connected,
        )
