"""When servers started, on the process's monotonic clock, from stamps in Unix time that only compare.

No wall clock is asked: it may be wrong by any span, and be stepped. What is known without it:

- a server did not start after its stamp first came (a start that came as a change counts from then on);
- of the stamps in one whole list, which all come from the same source, an older one is older by their
  difference: whatever started long before the newest start of a list is not taken for new.

So a server may seem to be younger than it is, by as much as the list was late, and never older.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any

NS_PER_MS = 1_000_000


class StartTimes:
    """Remembers for each listed server its stamp, and what that is on the monotonic clock."""

    def __init__(self, now: Callable[[], int] = time.monotonic_ns) -> None:
        self._now = now
        self._known: dict[str, tuple[int, int]] = {}
        self._newest_ms: int | None = None
        """Of the whole list that is being read; None: it is one of changes."""
        self._kept: set[str] = set()
        """Servers known from a list of unknown age: the next whole list may tell that they are older."""
        self._settled: set[str] = set()
        """Of them, those that the list being read may tell more of."""

    def begin_list(self, entries: Iterable[Any], whole: bool, is_old: bool = False) -> None:
        """A list in discovery's form is read next; `is_old`: it is one that was kept for a time unknown.

        Raises KeyError, TypeError, AttributeError or ValueError on anything amiss.
        """
        if not whole:
            self._newest_ms, self._settled = None, set()
            return
        stamps = {entry["instanceId"]: int(entry.get("startedAtMs") or 0) for entry in entries}
        self._newest_ms = max(stamps.values(), default=0)
        for server_id in self._known.keys() - stamps.keys():
            del self._known[server_id]
        self._kept, self._settled = set(stamps) if is_old else set(), self._kept

    def started(self, server_id: str, stamp_ms: int) -> int:
        """The start of a server on the monotonic clock, in nanoseconds; 0 stays 0, for long ago."""
        if not stamp_ms:
            self.forget(server_id)
            return 0
        older_ms = max(self._newest_ms - stamp_ms, 0) if self._newest_ms is not None else 0
        started = self._now() - older_ms * NS_PER_MS
        known = self._known.get(server_id)
        if known is not None and known[0] == stamp_ms:
            started = min(known[1], started) if server_id in self._settled else known[1]
        self._known[server_id] = stamp_ms, started
        return started

    def forget(self, server_id: str) -> None:
        """A server is gone."""
        self._known.pop(server_id, None)
