"""Admission of calls to the origin, coalescing of fetches, and the origin's concurrency limit.

Each tenant has a rate limit (suppression.py). A concurrency limit with additive increase and multiplicative
decrease delays writes until another call has ended. Reads of one key share their leader's fetch. Times are in
nanoseconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from saltport.decisions.health import Node
from saltport.decisions.interface import AttemptEnded, Outcome, Reason, Settings, Tenant
from saltport.decisions.request import Request
from saltport.decisions.suppression import CUT_FACTOR, Suppressor
from saltport.structures.response_time import ResponseTimeEstimate

# Calls over which the share of failed calls is smoothed, and the share from which limits are cut.
FAILURE_SAMPLES, MAX_FAILURE_SHARE = 8, 0.2
MAX_DROPPED_TENANTS = 1024  # whose rate limiters are kept
# Outcomes that are no failure of the origin unless late: an early time-out had too little time left.
NOT_ORIGIN_FAILURES = (Outcome.NOT_SENT, Outcome.CANCELLED, Outcome.TIMEOUT)


class OriginFetches:
    """Admits calls to the origin and adapts its limits to their results."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        self.rate_limiters: dict[str, Suppressor] = {}
        self._dropped: dict[str, Suppressor] = {}
        """The rate limiters of tenants that are in the settings no longer, the latest last."""
        self.apply_settings(settings)
        aim = min(cls.aim for cls in settings.classes)
        self.response_time = ResponseTimeEstimate(aim / 2)  # of successful fetches
        self._concurrency_limit, self._last_cut = math.inf, 0
        self._failure_share = 0.0  # smoothed share of failed fetches
        self._waiting_writes: list[Request] = []  # waiting for a call to end; the newest goes first
        self._coalesced: dict[str, list[Request]] = {}
        """By key, the reads that wait for the fetch that is in flight, without the read that leads it."""

    def apply_settings(self, settings: Settings) -> None:
        """Apply the tenants of new settings; the rate limiters of remaining tenants keep their state.

        So do those of tenants that come back.
        """
        previous, self.rate_limiters = {**self._dropped, **self.rate_limiters}, {}
        for tenant in (*settings.tenants, Tenant("", 1.0)):
            if limiter := previous.get(tenant.name):
                limiter.retune(tenant, settings.routers)
            self.rate_limiters[tenant.name] = limiter or Suppressor(tenant, settings.routers, self._rng)
        dropped = [name for name in previous if name not in self.rate_limiters]
        self._dropped = {name: previous[name] for name in dropped[-MAX_DROPPED_TENANTS:]}

    def knows(self, tenant: str, even_dropped: bool) -> bool:
        """Whether the tenant has a rate limiter of its own.

        `even_dropped`: for a request that may have arrived when its tenant was in the settings.
        """
        return tenant in self.rate_limiters or (even_dropped and tenant in self._dropped)

    def limiter(self, tenant: str) -> Suppressor:
        """Return the rate limiter of a tenant, also of one that was dropped; the empty name has one too."""
        return self.rate_limiters.get(tenant) or self._dropped.get(tenant) or self.rate_limiters[""]

    def admit(self, request: Request, origin: Node, now: int) -> Reason | None:
        """Return why a request may not be sent to the origin now, or None.

        A write that gets ORIGIN_BUSY is queued, and `releasable_writes` yields it later.
        """
        if request.write:
            if origin.load >= self._concurrency_limit:
                self._waiting_writes.append(request)
                return Reason.ORIGIN_BUSY
            request.rate_limiter.count(now)
            return None
        if not origin.timeliness.worth_sending(request.deadline - now, now):
            return Reason.TOO_LATE
        if not request.rate_limiter.admit(now):
            return Reason.FETCH_SUPPRESSED
        if request.key is not None:
            self._coalesced.setdefault(request.key, [])
            request.leader = True
        return None

    def join(self, request: Request) -> bool:
        """Make a read wait for the fetch of its key; return False if no such fetch is in flight."""
        followers = None if request.key is None else self._coalesced.get(request.key)
        if followers is None or request.write:
            return False
        followers.append(request)
        return True

    def end_coalesced(self, request: Request) -> list[Request]:
        """End the coalesced fetch that `request` leads; return the other reads that waited for its result."""
        request.leader = False
        return self._coalesced.pop(request.key or "", [])

    def ended(self, node: Node, event: AttemptEnded, late: bool, now: int) -> None:
        """Raise the limits after a successful call; cut them on repeated failures.

        The limits are the concurrency limit and the tenants' rate limits. Tenants that use more than their
        portion of the calls are cut harder.
        """
        if event.outcome is Outcome.TIMEOUT:
            self.response_time.add_sample(event.latency)
        if event.outcome is Outcome.OK and not late:
            self._failure_share -= self._failure_share / FAILURE_SAMPLES
            self.response_time.add_sample(event.latency)
            self._concurrency_limit += 1 / self._concurrency_limit
            for limiter in self.rate_limiters.values():
                limiter.rise(now)
        elif (late or event.outcome not in NOT_ORIGIN_FAILURES) and not (
            event.connection_reused and event.outcome is Outcome.RESET
        ):
            self._failure_share += (1 - self._failure_share) / FAILURE_SAMPLES
            # A single failed fetch may be chance, and all failures within one round trip count as one.
            if self._failure_share >= MAX_FAILURE_SHARE and now - self._last_cut >= self.response_time.mean:
                self._cut(node, now)

    def _cut(self, node: Node, now: int) -> None:
        """Cut the concurrency limit and the rate limit of each tenant."""
        self._last_cut = now
        self._concurrency_limit = max(1.0, min(self._concurrency_limit, node.load + 1) * CUT_FACTOR)
        total_rate = sum(limiter.call_rate(now) for limiter in self.rate_limiters.values())
        for limiter in self.rate_limiters.values():  # all tenants share the origin
            limiter.cut(now, total_rate)

    def releasable_writes(self, node: Node) -> Iterator[Request]:
        """Yield the waiting writes that may be sent now; the caller sends each before it takes the next."""
        while self._waiting_writes and node.load < self._concurrency_limit:
            waiter = self._waiting_writes.pop()
            if waiter.waiting:
                yield waiter
            if self._waiting_writes and self._waiting_writes[-1] is waiter:
                # Danger: after a change of the origin's entry, `node` is the old one and stays below the
                # limit while the new one is full; without this check the loop never ends.
                break
