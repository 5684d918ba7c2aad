"""The least time left with which a request is sent; one with less is refused at once.

Servers complete work for which nobody waits any more. An attempt is worthwhile while the probability of an
answer in time is at least the busy share of the server, whose work is taken from other requests. So
`min_time` is the quantile of the response time at the busy share, estimated by stochastic approximation
(Robbins and Monro 1951). Times are in nanoseconds.
"""

from __future__ import annotations

from saltport.decisions.interface import NS_PER_S

LEARNING_STEP = 1 / 16  # share of `min_time` by which one answer changes it
RECENT_NS = NS_PER_S  # after a longer gap between two answers the earlier ones are outdated
TRIAL_AFTER_FACTOR = 10  # times `min_time` without an answer, after which one request is sent anyway


class Timeliness:
    """The least worthwhile time of one server."""

    __slots__ = ("_answers", "_last_answer_at", "min_time")

    def __init__(self) -> None:
        self.min_time = 0.0
        """0 while unknown, so that every request is sent."""
        self._last_answer_at = self._answers = 0

    @property
    def reliable(self) -> bool:
        """Whether there are enough recent answers, at least as many as the step size averages over."""
        return self._answers * LEARNING_STEP >= 1

    def learn(self, took: int, answered: bool, busy: float, now: int) -> None:
        """Update the estimate with a response time, or with the time after which an attempt was given up.

        `busy` is the server's busy share, from 0 to 1.
        """
        if not answered and took < self.min_time:
            return  # the response time would have been longer by an unknown amount
        self._answers = 1 if now - self._last_answer_at > RECENT_NS else self._answers + 1
        self._last_answer_at = now
        if not self.min_time:
            self.min_time = float(took)
        self.min_time += self.min_time * LEARNING_STEP * (busy if took > self.min_time else busy - 1)

    def worth_sending(self, left: int, now: int) -> bool:
        """Whether a request with `left` nanoseconds to its deadline is sent."""
        if left >= self.min_time:
            return True
        if now - self._last_answer_at <= TRIAL_AFTER_FACTOR * self.min_time:
            return False
        self._last_answer_at = now
        return True
