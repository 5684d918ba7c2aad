"""Deadlines, and the uncertainty of the moment from which a client's time-out runs.

All times are whole nanoseconds on the process's monotonic clock (`time.monotonic_ns`). A client's time-out
starts when the last byte of its request arrives, but the process notices that only when it reads. The bytes
wait in the kernel in between, for a bounded time: docs/design/crossings.md, "Time".
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

NS_PER_MS = 1_000_000


@dataclass(slots=True)  # not frozen: creating a frozen one takes twice as long, and each request has two
class Deadline:
    """A point in time by which an operation must be finished."""

    at_ns: int

    def remaining_ms(self, now_ns: int) -> int:
        """Return the remaining time in whole milliseconds, or 0 if less than one is left.

        Rounded down, so that a receiver never works beyond the deadline.
        """
        left = (self.at_ns - now_ns) // NS_PER_MS
        return left if left > 0 else 0

    def expired(self, now_ns: int) -> bool:
        """Whether the deadline has passed."""
        return now_ns >= self.at_ns

    def no_later_than(self, other: Deadline) -> Deadline:
        """Return the earlier of the two deadlines."""
        return self if self.at_ns <= other.at_ns else other


NEVER = Deadline(sys.maxsize)


@dataclass(slots=True)  # not frozen, like `Deadline`
class Received:
    """When a message's last byte arrived: not before `earliest_ns` and not after `latest_ns`."""

    earliest_ns: int
    latest_ns: int

    def moved_back(self, span_ns: int) -> Received:
        """Return the interval for a message that could have been read `span_ns` earlier."""
        latest_ns = self.latest_ns - span_ns
        return Received(min(self.earliest_ns, latest_ns), latest_ns)

    @property
    def uncertainty_ns(self) -> int:
        """The width of the arrival interval, which is subtracted from the remaining time sent to servers."""
        return self.latest_ns - self.earliest_ns

    def deadline(self, span_ms: int) -> Deadline:
        """Return the deadline for a time-out of `span_ms` that starts at the latest possible arrival.

        The router itself works until then: with the earliest arrival, its own lag would end requests that
        are still in time.
        """
        return Deadline(self.latest_ns + span_ms * NS_PER_MS)
