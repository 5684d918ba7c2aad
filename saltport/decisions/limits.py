"""What one server can take: a limit on what this router has out there, learnt from how long answers take.

Additive rise while the limit is in use and answers are prompt; otherwise a cut by how late they are, at most
one in a round trip (TCP's congestion avoidance, applied to servers as in Netflix's concurrency-limits). What
other routers send shows in the answers' time alone. Times are nanoseconds.
"""

from __future__ import annotations

import math

from saltport.decisions.interface import NS_PER_S

LEAST = 1.0  # one request out finds out how the server is
CUT = 0.5
PROMPT, LATE = 0.4, 0.6  # of the aim: below the one the limit may rise, above the other it is cut
LEAST_PAUSE, MOST_PAUSE = NS_PER_S // 50, NS_PER_S  # after refusals: about an answer's time, then doubled
SMOOTH = 1 / 4
FORGETS = 10 * NS_PER_S  # unheard for so long, what was learnt of waiting is worth nothing


class Limit:
    """The limit of one server."""

    __slots__ = ("_cut_at", "_heard_at", "_pause", "_until", "limit", "took", "work")

    def __init__(self, known_at: int = 0) -> None:
        self.limit = math.inf
        """None before the first sign of lateness: what it can take is unknown, a burst is no overload."""
        self.took = 0.0
        """Smoothed time of an answer."""
        self.work = 0.0
        """The part of it that is work: the least time seen lately."""
        self._cut_at, self._heard_at, self._pause, self._until = 0, known_at, 0, 0

    def heard(self, now: int) -> None:
        """What is held of its answers counts from now on, where it was not learnt here."""
        self._heard_at = now

    def learn(self, took: int, out: int, sent_at: int, now: int, aim: int) -> None:
        """Take one answer's time, with so many out when it came."""
        if not self.took or now - self._heard_at > FORGETS:
            self.took, self.work = float(took), float(took)
        self._heard_at, self._pause = now, 0
        self.took += (took - self.took) * SMOOTH
        # The least falls at once and rises slowly, so that a standing queue is not taken for work for long.
        self.work = min(float(took), self.work + (self.took - self.work) / 64)
        if self.took > LATE * aim:
            self.cut(sent_at, now, out, LATE * aim / self.took)
        elif self.took < PROMPT * aim and out + 1 >= self.limit / 2:
            self.limit = self.limit + 1 / self.limit

    def cut(self, sent_at: int, now: int, out: int, part: float = CUT) -> None:
        """The server is overrun: less from now on, once for all that was out when that began."""
        if sent_at < self._cut_at:
            return
        self._cut_at = now
        self.limit = max(min(self.limit, out + 1.0) * max(part, CUT), LEAST)

    @property
    def busy(self) -> float:
        """The part of the server that is busy: that of an answer's time that is waiting (exact for M/M/1)."""
        return 1.0 - self.work / self.took if self.took else 0.0

    def turned_away(self, sent_at: int, now: int, out: int) -> None:
        """It has no place at all: a cut, and a pause, as quick refusals leave nothing out to count."""
        self.cut(sent_at, now, out)
        if sent_at >= self._until:
            self._pause = min(max(2 * self._pause, int(self.took), LEAST_PAUSE), MOST_PAUSE)
            self._until = now + self._pause

    def overdue(self, sent_at: int, now: int) -> None:
        """It timed out: leave it alone for as long as it was unheard; no limit binds who asks seldom."""
        self._until = max(self._until, now + min(max(sent_at - self._heard_at, 0), FORGETS))

    def room(self, out: int, now: int) -> bool:
        """Whether one more may go."""
        return out < self.limit and now >= self._until
