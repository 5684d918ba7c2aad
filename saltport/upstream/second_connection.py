"""Whether a server that is reached over one connection is worth a second one. No I/O; times are seconds.

A connection costs the server a handshake and a place, and is closed once it has stood idle for a while. Where
requests seldom meet, one that finds the only connection busy does better to wait for it, for about as long as
an answer takes: a second connection would be closed before it had carried more.
"""

from __future__ import annotations

from collections import deque

MEETINGS = 8  # within the time for which a connection may stand idle: a second one then carries as many
SHARE_OF_NEWS = 0.125  # of the latest answer's time in the mean
PATIENCE = 2.0  # times the usual answer
LONGEST_WAIT_S = 0.1


class SecondConnection:
    """Of one server: how often requests meet there, and how long its answers take."""

    def __init__(self, idle_s: float) -> None:
        """`idle_s`: after so long without a request a connection is closed."""
        self._idle_s = idle_s
        self._meetings: deque[float] = deque(maxlen=MEETINGS)
        self._answer_s: float | None = None

    def answered(self, took_s: float) -> None:
        """An answer took so long."""
        known = self._answer_s
        self._answer_s = took_s if known is None else known + SHARE_OF_NEWS * (took_s - known)

    def wait_s(self, now: float) -> float:
        """A request finds the only connection busy: how long it waits before a second one is made."""
        self._meetings.append(now)
        often = len(self._meetings) == MEETINGS and now - self._meetings[0] <= self._idle_s
        if often:
            return 0.0
        return LONGEST_WAIT_S if self._answer_s is None else min(PATIENCE * self._answer_s, LONGEST_WAIT_S)
