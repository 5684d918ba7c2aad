"""A sliding window of calls: their times in order, and how many of them were declined."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from itertools import takewhile


class CallWindow:
    """Memory is one entry a call; whoever uses it drops what its window has passed."""

    def __init__(self) -> None:
        self._calls: deque[tuple[int, bool]] = deque()
        self.declined = 0

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[tuple[int, bool]]:
        """Time and whether it was declined, oldest first."""
        return iter(self._calls)

    def add(self, time: int, declined: bool) -> None:
        """Count one call."""
        self._calls.append((time, declined))
        self.declined += declined

    def accepted_since(self, time: float) -> int:
        """Drop the calls up to a time; returns how many of the others were not declined."""
        calls = self._calls
        while calls and calls[0][0] <= time:
            self.declined -= calls.popleft()[1]
        return len(calls) - self.declined

    def newer_than(self, time: int) -> int:
        """How many calls came after a time."""
        return sum(1 for _ in takewhile(lambda call: call[0] > time, reversed(self._calls)))
