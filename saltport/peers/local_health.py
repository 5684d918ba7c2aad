"""How far a router may trust its own ears: Lifeguard's local health, its measured lag, and its own pauses.

No I/O; times are nanoseconds.
"""

from __future__ import annotations

MOST_SCORE = 4
LAG_FACTOR = 2  # of the loop's longest turn: a probe and its answer may each wait for one


class LocalHealth:
    """Lengthens this router's probes while it does badly itself (Lifeguard, section 3.1)."""

    def __init__(self, gap: int) -> None:
        self._gap = gap
        self._turned: int | None = None
        self.score = 0
        self.lag = 0
        """The longest turn of the loop lately; the host measures it."""
        self.awake_since = 0
        """When this router came, or came back from its last pause."""
        self.pauses = 0
        self.longest_pause = 0

    def turn(self, now: int) -> int:
        """A turn of the loop; returns how long a pause it ends, 0: none."""
        before, self._turned = self._turned, now
        if before is None:
            self.awake_since = now
        elif now - before > self._gap:
            self.pauses += 1
            self.longest_pause = max(self.longest_pause, now - before)
            self.awake_since = now
            return now - before
        return 0

    def went_well(self) -> None:
        """A probe was answered."""
        self.score = max(self.score - 1, 0)

    def went_badly(self) -> None:
        """Something that tells of this router's own trouble: no helper said anything, or it had to refute."""
        self.score = min(self.score + 1, MOST_SCORE)

    def stretch(self, time: int) -> int:
        """This much time, for a router in this state."""
        return time * (1 + self.score) + LAG_FACTOR * self.lag
