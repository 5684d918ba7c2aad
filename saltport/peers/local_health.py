"""Local health (Lifeguard, section 3.1): health score, event-loop lag and pauses.

No I/O; times are nanoseconds.
"""

from __future__ import annotations

MAX_SCORE = 4  # worst health score; 0 is the best
LAG_FACTOR = 2  # a probe and its answer may each wait for the lag of the event loop


class LocalHealth:
    """Extends probe timeouts while this router itself is slow or badly connected (Lifeguard, section 3.1)."""

    def __init__(self, pause_threshold_ns: int) -> None:
        self._pause_threshold_ns = pause_threshold_ns
        self._last_tick_at: int | None = None
        self.score = 0
        self.lag_ns = 0
        """The longest recent delay of the event loop, measured by the caller."""
        self.awake_since = 0
        """When this router started or resumed after its last pause."""
        self.pauses = 0
        self.longest_pause_ns = 0

    def tick(self, now: int) -> int:
        """Record a tick of the event loop; returns the length of the pause that it ends, or 0."""
        previous, self._last_tick_at = self._last_tick_at, now
        if previous is None:
            self.awake_since = now
        elif now - previous > self._pause_threshold_ns:
            self.pauses += 1
            self.longest_pause_ns = max(self.longest_pause_ns, now - previous)
            self.awake_since = now
            return now - previous
        return 0

    def record_success(self) -> None:
        """Improve the score after an answered probe."""
        self.score = max(self.score - 1, 0)

    def record_failure(self) -> None:
        """Worsen the score after a sign of local trouble: no helper replied, or a refutation was needed."""
        self.score = min(self.score + 1, MAX_SCORE)

    def scale_timeout(self, timeout_ns: int) -> int:
        """Return a timeout extended according to the score and the lag."""
        return timeout_ns * (1 + self.score) + LAG_FACTOR * self.lag_ns
