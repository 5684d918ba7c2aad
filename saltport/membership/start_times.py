"""Start times of servers on the process's monotonic clock, derived from Unix timestamps in the list.

The wall clock of this machine is not used, as it may be wrong by any amount and may be stepped. Two facts do
not need it:

- A server started no later than its timestamp was first received; a start that comes as a change counts from
  its arrival.
- The timestamps in one full list come from one source, so their differences are valid: a server that started
  long before the newest one in the list does not count as new.

So a server may appear younger than it is, by the delay of the list, but never older.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any

NS_PER_MS = 1_000_000


class StartTimes:
    """Maps each listed server's start timestamp to the monotonic clock."""

    def __init__(self, now: Callable[[], int] = time.monotonic_ns) -> None:
        self._now = now
        self._known: dict[str, tuple[int, int]] = {}
        self._newest_ms: int | None = None
        """Newest timestamp of the full list that is being read; None for a list of changes."""
        self._unverified: set[str] = set()
        """Servers known from a cached list of unknown age; the next full list may correct them."""
        self._correctable: set[str] = set()
        """Servers whose start the list that is being read may move to an earlier time."""

    def begin_list(self, entries: Iterable[Any], full: bool, is_cached: bool = False) -> None:
        """Prepare for a list in discovery's form; `is_cached` marks a cached list of unknown age.

        Raises KeyError, TypeError, AttributeError or ValueError if an entry is invalid.
        """
        if not full:
            self._newest_ms, self._correctable = None, set()
            return
        timestamps = {entry["instanceId"]: int(entry.get("startedAtMs") or 0) for entry in entries}
        self._newest_ms = max(timestamps.values(), default=0)
        for server_id in self._known.keys() - timestamps.keys():
            del self._known[server_id]
        self._unverified, self._correctable = set(timestamps) if is_cached else set(), self._unverified

    def started(self, server_id: str, timestamp_ms: int) -> int:
        """Return a server's start on the monotonic clock in nanoseconds; 0, for long ago, stays 0."""
        if not timestamp_ms:
            self.forget(server_id)
            return 0
        older_ms = max(self._newest_ms - timestamp_ms, 0) if self._newest_ms is not None else 0
        started = self._now() - older_ms * NS_PER_MS
        known = self._known.get(server_id)
        if known is not None and known[0] == timestamp_ms:
            started = min(known[1], started) if server_id in self._correctable else known[1]
        self._known[server_id] = timestamp_ms, started
        return started

    def forget(self, server_id: str) -> None:
        """Drop the start time of a removed server."""
        self._known.pop(server_id, None)
