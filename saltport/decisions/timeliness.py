"""The least time that is worth sending: a request with less is refused at once, before it costs anybody work.

Servers finish work that nobody waits for any more. It is worth its cost while the chance of an answer in time
is at least the busy share of the server, as work there is taken from others. So `least` is the time within
which that share of the answers comes: a moving quantile (Robbins and Monro 1951). Times are nanoseconds.
"""

from __future__ import annotations

from saltport.decisions.interface import NS_PER_S

STEP = 1 / 16  # of `least`, for an answer
RECENT = NS_PER_S  # between two answers, past which what came before tells nothing of now
UNHEARD = 10  # times `least` without an answer, after which one request finds out


class Timeliness:
    """How soon one server's answers come."""

    __slots__ = ("_answers", "_heard_at", "least")

    def __init__(self) -> None:
        self.least = 0.0
        """0: nothing is known, everything is worth sending."""
        self._heard_at = self._answers = 0

    @property
    def sure(self) -> bool:
        """Whether enough has come lately to tell this server from others: as much as a step averages over."""
        return self._answers * STEP >= 1

    def learn(self, took: int, answered: bool, busy: float, now: int) -> None:
        """Take an answer's time, or the time after which one was given up; `busy`: from 0 to 1."""
        if not answered and took < self.least:
            return  # it would have taken longer than that, by how much nobody knows
        self._answers = 1 if now - self._heard_at > RECENT else self._answers + 1
        self._heard_at = now
        if not self.least:
            self.least = float(took)
        self.least += self.least * STEP * (busy if took > self.least else busy - 1)

    def worth(self, left: int, now: int) -> bool:
        """Whether a request with so much time left is to be sent."""
        if left >= self.least:
            return True
        if now - self._heard_at <= UNHEARD * self.least:
            return False
        self._heard_at = now
        return True
