"""Attempts and failures over the last one to two intervals, in constant memory."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class WindowedCounter:
    """Attempts and failures of the interval under way and of the one before it."""

    interval: int
    """Nanoseconds."""
    since: int = 0
    attempts: int = 0
    failures: int = 0
    _old: tuple[int, int] = (0, 0)

    def count(self, failed: bool, now: int) -> None:
        """Count one attempt."""
        if now - self.since >= self.interval:
            recent = now - self.since < 2 * self.interval
            self._old = (self.attempts, self.failures) if recent else (0, 0)
            self.since, self.attempts, self.failures = now, 0, 0
        self.attempts += 1
        self.failures += failed

    def totals(self) -> tuple[int, int]:
        """Attempts and failures of both intervals."""
        return self.attempts + self._old[0], self.failures + self._old[1]
