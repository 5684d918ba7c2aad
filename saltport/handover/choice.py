"""Which connections go to the next process, and when. No I/O; bytes and seconds are passed in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

SOON_S = 0.2  # a value that ends so soon is not worth a move
SPARE_S = 0.2  # before the process's end by which it must have ended, by its own rate


class Choice(Enum):
    """What becomes of a connection for now."""

    MOVE = "move"
    WAIT = "wait"
    """It is looked at again when an answer has ended, or a moment later."""


@dataclass(frozen=True, slots=True)
class Progress:
    """How a value under way gets on."""

    left: int
    """Bytes that its client has not been given."""
    given: int
    since: float
    """For how long it has been under way."""

    @property
    def to_go(self) -> float:
        """Seconds until its end at the rate so far; infinite where nothing has moved."""
        return self.left * self.since / self.given if self.given else float("inf")


def choose(unanswered: int, under_way: Iterable[Progress], left_s: float) -> Choice:
    """Choose for a connection that is owed this; `left_s`: the time that this process has left.

    What is not answered yet stays: its deadline bounds it, and an attempt that is out is never known to two
    processes. A value that has begun has no bound but its client's pace.
    """
    if unanswered:
        return Choice.WAIT
    longest = max((progress.to_go for progress in under_way), default=0.0)
    if 0.0 < longest <= min(SOON_S, left_s - SPARE_S):
        return Choice.WAIT
    return Choice.MOVE
