"""Attempts and failures over the current and the previous interval, in constant memory."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WindowedCounter:
    """Counts of attempts and failures in the current interval and the one before it."""

    interval: int
    """Length in nanoseconds."""
    interval_start: int = 0
    attempts: int = 0
    failures: int = 0
    _previous: tuple[int, int] = (0, 0)

    def count(self, failed: bool, now: int) -> None:
        """Count an attempt; it begins a new interval if the current one is over."""
        if now - self.interval_start >= self.interval:
            recent = now - self.interval_start < 2 * self.interval
            self._previous = (self.attempts, self.failures) if recent else (0, 0)
            self.interval_start, self.attempts, self.failures = now, 0, 0
        self.attempts += 1
        self.failures += failed

    def totals(self) -> tuple[int, int]:
        """Return the attempts and failures of both intervals."""
        return self.attempts + self._previous[0], self.failures + self._previous[1]
