"""Bounds on what a router spends: token buckets, and the order in which work gives way under overload.

When the bucket runs low, acknowledgements are dropped first (below half of the burst), then answers to
fetches (below a third), then a router's own fetches (below a sixth); entries that are pushed on go last, at
an empty one. Each is made good later: by the next round, by the asker's retry, by the own retry, by the
receiver's gap.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from saltport.dissemination.settings import NS_PER_S


class Work(Enum):
    """Kinds of work; the value is the share of the burst that must remain for the kinds after it."""

    ACKNOWLEDGE = 1 / 2
    REPAIR = 1 / 3
    FETCH = 1 / 6
    PUSH = 0.0


class TokenBucket:
    """So many tokens a second, and at most a burst of them at once."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self._rate, self._burst = rate / NS_PER_S, float(burst)
        self._tokens, self._updated_at = float(burst), now

    def spend(self, cost: float, now: int, reserve: float = 0.0) -> bool:
        """Take `cost` if that leaves the share `reserve` of the burst."""
        tokens = self._tokens + (now - self._updated_at) * self._rate
        if tokens > self._burst:
            tokens = self._burst
        self._tokens, self._updated_at = tokens, now
        if tokens - cost < reserve * self._burst:
            return False
        self._tokens = tokens - cost
        return True


class Budget:
    """A bucket shared by all kinds of work, and counts of what had to give way."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self._bucket = TokenBucket(rate, burst, now)
        self.dropped: Counter[Work] = Counter()

    def admit(self, work: Work, cost: float, now: int) -> bool:
        """Whether this may be done now."""
        if self._bucket.spend(cost, now, work.value):
            return True
        self.dropped[work] += 1
        return False
