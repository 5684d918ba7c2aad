"""One tenant's rate limit on calls to the origin: the three regimes of Trypema with an AIMD limit.

Below the limit all fetches are admitted, above HARD_LIMIT_FACTOR times the limit none, between them a share.
Times are in nanoseconds.
"""

from __future__ import annotations

import math
import random

from saltport.decisions.interface import NS_PER_S, Tenant
from saltport.structures.call_window import CallWindow

HARD_LIMIT_FACTOR = 1.5  # times the limit, above which no fetch is admitted
CHANCE_CACHED_NS = NS_PER_S // 10  # for which a computed admission probability is used
WINDOW_CALLS = 8  # calls that the sliding window should contain at the cap
WINDOW_MIN_S, WINDOW_MAX_S = 5.0, 20.0  # bounds of the length of the sliding window
DEFAULT_LIMIT_PER_S = 1000.0  # for all routers together where the tenant has no quota
# The factor by which a limit is cut when calls fail, the time in which it rises by its cap, and the share
# of its allowance that a tenant uses, from which the allowance counts as in use.
CUT_FACTOR, RISE_S, IN_USE_SHARE = 0.7, 15.0, 0.5


class Suppressor:
    """One tenant's rate limiter for calls to the origin, with a sliding window and an adaptive limit."""

    def __init__(self, tenant: Tenant, routers: int, rng: random.Random) -> None:
        self.limit = math.inf
        self.retune(tenant, routers)
        self.calls = CallWindow()
        self._rng = rng
        self._chance, self._chance_until = 1.0, 0
        self._last_rise = 0

    def retune(self, tenant: Tenant, routers: int) -> None:
        """Apply the tenant's portion and quota; counts and the learned limit are preserved."""
        self.name, self.portion = tenant.name or "(none)", tenant.portion
        self.cap = (tenant.quota_per_s or DEFAULT_LIMIT_PER_S) / routers
        self.limit = min(self.limit, self.cap)
        self.window_s = min(max(WINDOW_CALLS / self.cap, WINDOW_MIN_S), WINDOW_MAX_S)
        self.floor = min(1 / self.window_s, self.cap)  # one call per window

    def count(self, now: int, declined: bool = False) -> None:
        """Count one call to the origin, or one that was declined."""
        self.calls.add(now, declined)

    def accepted(self, now: int) -> int:
        """Return the number of calls in the window that went to the origin."""
        return self.calls.accepted_since(now - self.window_s * NS_PER_S)

    def admit(self, now: int) -> bool:
        """Whether one fetch is admitted; counts it either way."""
        accepted, soft = self.accepted(now), self.window_s * self.limit
        over = len(self.calls) >= soft * HARD_LIMIT_FACTOR
        allowed = not (over and accepted >= soft)
        if allowed and self.calls and (over or accepted >= soft):
            # Unlike Trypema: as every retry is counted, declined calls alone could keep a tenant above the
            # hard limit for ever. So while accepted calls are below the soft limit, the chance decides.
            allowed = self._rng.random() < self.chance(now)
        self.count(now, declined=not allowed)
        return allowed

    def chance(self, now: int) -> float:
        """Return the admission probability between the limits: rate limit / observed rate, at most 1."""
        if now >= self._chance_until:
            self._chance_until = now + CHANCE_CACHED_NS
            last = self.calls.count_after(now - NS_PER_S)
            self._chance = min(1.0, self.limit / max(len(self.calls) / self.window_s, last))
        return self._chance

    def rise(self, now: int) -> None:
        """Raise the limit additively after a successful fetch, up to the cap, while the limit is in use."""
        if self.in_use(now) >= IN_USE_SHARE:
            idle = min((now - self._last_rise) / NS_PER_S, self.window_s)
            self.limit = min(self.cap, self.limit + self.cap / RISE_S * idle)
        self._last_rise = now

    def in_use(self, now: int) -> float:
        """Return the share of the allowance that is used, at most 1."""
        return min(self.accepted(now) / (self.limit * self.window_s), 1.0)

    def call_rate(self, now: int) -> float:
        """Return the calls per second that went to the origin."""
        return self.accepted(now) / self.window_s

    def cut(self, now: int, total_rate: float) -> None:
        """Cut the limit to a fraction of the actual rate, a smaller one for a tenant above its portion.

        `total_rate` is the rate of all tenants together.
        """
        self._last_rise = now
        rate = self.call_rate(now)
        factor = CUT_FACTOR * CUT_FACTOR if rate > self.portion * total_rate else CUT_FACTOR
        # Danger: if cut straight to the floor, one burst of errors stops the fetches of every tenant.
        self.limit = max(self.floor, min(self.limit, rate) * factor)
