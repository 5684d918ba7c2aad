"""One tenant's rate limit on calls to the origin: Trypema's three regimes, and AIMD. Times: nanoseconds."""

from __future__ import annotations

import math
import random

from saltport.decisions.interface import NS_PER_S, Tenant
from saltport.structures.call_window import CallWindow

HARD_LIMIT_FACTOR = 1.5
CHANCE_CACHED = NS_PER_S // 10
WINDOW_CALLS = 8  # calls that a window should be able to hold at the generous limit
WINDOW_MIN_S, WINDOW_MAX_S = 5.0, 20.0
UNSTATED_LIMIT = 1000.0  # generous start for all routers together where no quota is stated
CUT, RISE_S, IN_USE = 0.7, 15.0, 0.5  # IN_USE: the part of the allowance that counts as its use


class Suppressor:
    """One tenant's rate limiter at the origin: sliding-window counts, three regimes, AIMD rate limit."""

    def __init__(self, tenant: Tenant, routers: int, rng: random.Random) -> None:
        self.limit = math.inf
        self.retune(tenant, routers)
        self.calls = CallWindow()
        self._rng = rng
        self._chance, self._chance_until = 1.0, 0
        self._last_rise = 0

    def retune(self, tenant: Tenant, routers: int) -> None:
        """Take the tenant's portion and quota; what was counted and learnt before stays."""
        self.name, self.portion = tenant.name or "(none)", tenant.portion
        self.cap = (tenant.quota_per_s or UNSTATED_LIMIT) / routers
        self.limit = min(self.limit, self.cap)
        self.window_s = min(max(WINDOW_CALLS / self.cap, WINDOW_MIN_S), WINDOW_MAX_S)
        self.floor = min(1 / self.window_s, self.cap)  # one call a window: with none counted a fetch goes

    def count(self, now: int, declined: bool = False) -> None:
        """Count one call to the origin."""
        self.calls.add(now, declined)

    def accepted(self, now: int) -> int:
        """Calls of the window that went to the origin."""
        return self.calls.accepted_since(now - self.window_s * NS_PER_S)

    def admit(self, now: int) -> bool:
        """Decide on one fetch, and count it."""
        accepted, soft = self.accepted(now), self.window_s * self.limit
        over = len(self.calls) >= soft * HARD_LIMIT_FACTOR
        allowed = not (over and accepted >= soft)
        if allowed and self.calls and (over or accepted >= soft):
            # Departure: refusals alone that hold total at the hard limit would pin a tenant there, as
            # every retry counts anew; while accepted is under the soft limit the chance holds instead.
            allowed = self._rng.random() < self.chance(now)
        self.count(now, declined=not allowed)
        return allowed

    def chance(self, now: int) -> float:
        """The chance of a fetch between the limits: rate limit / perceived rate, cached, at most 1."""
        if now >= self._chance_until:
            self._chance_until = now + CHANCE_CACHED
            last = self.calls.count_after(now - NS_PER_S)
            self._chance = min(1.0, self.limit / max(len(self.calls) / self.window_s, last))
        return self._chance

    def rise(self, now: int) -> None:
        """Additive rise after a good fetch, up to the cap, and only while the limit is in use."""
        if self.in_use(now) >= IN_USE:
            idle = min((now - self._last_rise) / NS_PER_S, self.window_s)
            self.limit = min(self.cap, self.limit + self.cap / RISE_S * idle)
        self._last_rise = now

    def in_use(self, now: int) -> float:
        """The part of what is allowed that is used, at most 1."""
        return min(self.accepted(now) / (self.limit * self.window_s), 1.0)

    def used(self, now: int) -> float:
        """Calls a second that went to the origin."""
        return self.accepted(now) / self.window_s

    def cut(self, now: int, all_used: float) -> None:
        """Multiplicative cut from what was really used, harder for a tenant over its portion."""
        self._last_rise = now
        used = self.used(now)
        factor = CUT * CUT if used > self.portion * all_used else CUT
        # Danger: straight to the floor, one spell of errors would end the fetches of every tenant.
        self.limit = max(self.floor, min(self.limit, used) * factor)
