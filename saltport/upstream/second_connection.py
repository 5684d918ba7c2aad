"""Decides whether a server gets one more connection. No I/O; times are in seconds.

A connection costs the server a handshake and a connection slot, and is closed after some idle time. Where
requests seldom overlap, a request that finds the only connection busy waits for it, for up to about the time
of an answer, and one that finds connections settling waits until the first has settled: one more connection
would be closed for idleness before it had carried more requests.
"""

from __future__ import annotations

from collections import deque

FREQUENT_OVERLAPS = 8  # within the idle time; one more connection would then carry as many requests
ANSWER_TIME_WEIGHT = 0.125  # weight of the latest answer time in the moving average
WAIT_FACTOR = 2.0  # longest wait, in multiples of the average answer time
MAX_WAIT_S = 0.1  # longest wait for a free connection before another one is dialed


class SecondConnectionPolicy:
    """Tracks how often requests overlap at one server, and how long its answers take."""

    def __init__(self, idle_s: float) -> None:
        """`idle_s`: idle time after which a connection is closed."""
        self._idle_s = idle_s
        self._overlaps: deque[float] = deque(maxlen=FREQUENT_OVERLAPS)
        self._answer_s: float | None = None

    def record_answer(self, answer_s: float) -> None:
        """Record how long an answer took."""
        average_s = self._answer_s
        self._answer_s = (
            answer_s if average_s is None else average_s + ANSWER_TIME_WEIGHT * (answer_s - average_s)
        )

    def record_overlap(self, now: float) -> bool:
        """Record that a request found no connection to use; return whether that happens often."""
        self._overlaps.append(now)
        return len(self._overlaps) == FREQUENT_OVERLAPS and now - self._overlaps[0] <= self._idle_s

    def dial_delay_s(self, now: float) -> float:
        """Record that a request found the only connection busy; return how long to delay a second dial."""
        if self.record_overlap(now):
            return 0.0
        return MAX_WAIT_S if self._answer_s is None else min(WAIT_FACTOR * self._answer_s, MAX_WAIT_S)
