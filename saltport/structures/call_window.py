"""A sliding window of calls: their times in order, and whether each was declined."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from itertools import takewhile


class CallWindow:
    """The calls since a time that the caller advances; stores one entry for each call."""

    def __init__(self) -> None:
        self._calls: deque[tuple[int, bool]] = deque()
        self.declined = 0
        """How many calls in the window were declined."""

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[tuple[int, bool]]:
        """Iterate over the calls, oldest first, as (time, whether it was declined)."""
        return iter(self._calls)

    def add(self, time: int, declined: bool) -> None:
        """Append a call; times must not decrease."""
        self._calls.append((time, declined))
        self.declined += declined

    def accepted_since(self, time: float) -> int:
        """Drop the calls up to and including a time; return how many of the others were not declined."""
        calls = self._calls
        while calls and calls[0][0] <= time:
            self.declined -= calls.popleft()[1]
        return len(calls) - self.declined

    def count_after(self, time: int) -> int:
        """Return the number of calls after a time."""
        return sum(1 for _ in takewhile(lambda call: call[0] > time, reversed(self._calls)))
