"""Fetches from the origin: who may ask it now, who joins a fetch that is under way, and how many it bears.

Each tenant has a rate limit (suppression.py). A concurrency limit with additive rise and multiplicative cut
holds writes back until another call has ended. Reads of one key share their leader's fetch. Times in ns.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from saltport.decisions.health import Node
from saltport.decisions.interface import AttemptEnded, Outcome, Reason, Settings, Tenant
from saltport.decisions.request import Request
from saltport.decisions.suppression import CUT, Suppressor
from saltport.structures.response_time import ResponseTimeEstimate

BAD_SAMPLES, BAD_SHARE = 8, 0.2
# Of the origin, unless they are late: a time-out that is not had too little time left.
NO_FAULT = (Outcome.MOOT, Outcome.CANCELLED, Outcome.TIMEOUT)


class OriginFetches:
    """Admits calls to the origin, and learns from their ends."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        self.rate_limiters: dict[str, Suppressor] = {}
        self.apply_settings(settings)
        aim = min(cls.aim for cls in settings.classes)
        self.response_time = ResponseTimeEstimate(aim / 2)  # of good fetches
        self._width, self._last_cut = math.inf, 0
        self._bad = 0.0  # smoothed share of bad fetches
        self._held: list[Request] = []  # writes waiting for one of them to end; the newest goes first
        self._coalesced: dict[str, list[Request]] = {}

    def apply_settings(self, settings: Settings) -> None:
        """Take the tenants, at the start or anew; what was learnt of those that stay is kept."""
        held, self.rate_limiters = self.rate_limiters, {}
        for tenant in (*settings.tenants, Tenant("", 1.0)):
            if limiter := held.get(tenant.name):
                limiter.retune(tenant, settings.routers)
            self.rate_limiters[tenant.name] = limiter or Suppressor(tenant, settings.routers, self._rng)

    def admit(self, request: Request, origin: Node, now: int) -> Reason | None:
        """Why a request may not be sent to the origin now, or None; ORIGIN_BUSY: it waits in `released`."""
        if request.write:
            if origin.load >= self._width:
                self._held.append(request)
                return Reason.ORIGIN_BUSY
            request.rate_limiter.count(now)
            return None
        if not origin.timeliness.worth(request.deadline - now, now):
            return Reason.TOO_LATE
        if not request.rate_limiter.admit(now):
            return Reason.FETCH_SUPPRESSED
        if request.key is not None:
            self._coalesced.setdefault(request.key, [])
            request.leader = True
        return None

    def join(self, request: Request) -> bool:
        """Let a read wait for the fetch of its key; False: none is under way."""
        followers = None if request.key is None else self._coalesced.get(request.key)
        if followers is None or request.write:
            return False
        followers.append(request)
        return True

    def end_coalesced(self, request: Request) -> list[Request]:
        """End the fetch whose leader a request is; returns those that waited for it."""
        request.leader = False
        return self._coalesced.pop(request.key or "", [])

    def ended(self, node: Node, event: AttemptEnded, late: bool, now: int) -> None:
        """Rise while the origin answers well; on failures cut the tenants over their portion first."""
        if event.outcome is Outcome.TIMEOUT:
            self.response_time.learn(event.latency)
        if event.outcome is Outcome.OK and not late:
            self._bad -= self._bad / BAD_SAMPLES
            self.response_time.learn(event.latency)
            self._width += 1 / self._width
            for limiter in self.rate_limiters.values():
                limiter.rise(now)
        elif (late or event.outcome not in NO_FAULT) and not (
            event.connection_reused and event.outcome is Outcome.RESET
        ):
            self._bad += (1 - self._bad) / BAD_SAMPLES
            # A lone bad fetch is chance (a heavy tail), and one round-trip's bad fetches are one sign.
            if self._bad >= BAD_SHARE and now - self._last_cut >= self.response_time.mean:
                self._cut(node, now)

    def _cut(self, node: Node, now: int) -> None:
        self._last_cut = now
        self._width = max(1.0, min(self._width, node.load + 1) * CUT)
        all_used = sum(limiter.used(now) for limiter in self.rate_limiters.values())
        for limiter in self.rate_limiters.values():  # the origin is shared: it speaks for all
            limiter.cut(now, all_used)

    def released(self, node: Node) -> Iterator[Request]:
        """The writes that waited and may be sent now, each asked for once the one before was sent."""
        while self._held and node.load < self._width:
            waiter = self._held.pop()
            if waiter.waiting:
                yield waiter
            if self._held and self._held[-1] is waiter:
                # Danger: after a change of the origin's entry its new node, not this one, is full for good.
                break
