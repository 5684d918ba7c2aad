"""Token buckets that limit what a router sends and processes, and the order in which work is dropped.

As the bucket empties, acknowledgements are dropped first (below half of the burst), then answers to fetches
(below a third), then a router's own fetches (below a sixth), and pushes only when it is empty. All are
recovered later: by the next round, by the requester's retry, by the router's own retry, or by the receiver's
gap repair.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from saltport.dissemination.settings import NS_PER_S


class WorkKind(Enum):
    """Kinds of work; the value is the share of the burst reserved for the kinds that follow."""

    ACKNOWLEDGE = 1 / 2
    REPAIR = 1 / 3
    FETCH = 1 / 6
    PUSH = 0.0


class TokenBucket:
    """Token bucket with a rate per second and a burst size."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self._rate, self._burst = rate / NS_PER_S, float(burst)
        self._tokens, self._updated_at = float(burst), now

    def spend(self, cost: float, now: int, reserve: float = 0.0) -> bool:
        """Take `cost` tokens if at least the share `reserve` of the burst remains; return whether taken."""
        tokens = self._tokens + (now - self._updated_at) * self._rate
        if tokens > self._burst:
            tokens = self._burst
        self._tokens, self._updated_at = tokens, now
        if tokens - cost < reserve * self._burst:
            return False
        self._tokens = tokens - cost
        return True


class Budget:
    """A token bucket shared by all kinds of work, with counts of dropped work by kind."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self._bucket = TokenBucket(rate, burst, now)
        self.dropped: Counter[WorkKind] = Counter()

    def admit(self, work: WorkKind, cost: float, now: int) -> bool:
        """Spend `cost` on a piece of work and return True; count it as dropped if there is no room."""
        if self._bucket.spend(cost, now, work.value):
            return True
        self.dropped[work] += 1
        return False
