"""A smoothed time and its smoothed deviation, by Jacobson's rule."""

from __future__ import annotations


class Pace:
    """How long answers take: their smoothed time, and its smoothed deviation."""

    def __init__(self, usual: float = 0.0) -> None:
        self.usual = self.spread = usual

    def learn(self, latency: int) -> None:
        """Take one answer's time."""
        off = latency - self.usual
        self.usual += off / 16
        self.spread += (abs(off) - self.spread) / 16
