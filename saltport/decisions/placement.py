"""Placement: the choice of the cache server for a request's next attempt, or the reason why there is none.

Candidates are checked best first, in this order: not tried before and permitted by effects.py; not ejected;
likely to answer in the time left; below its limit, or else one of the next few; keeps the slot's reads. Times
are in nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from saltport.decisions.effects import may_repeat, may_send
from saltport.decisions.health import ANSWERED, Node
from saltport.decisions.interface import Outcome, Reason
from saltport.decisions.outliers import EjectionState, OutlierDetector
from saltport.decisions.replication import Replication
from saltport.decisions.request import Request
from saltport.decisions.suppression import IN_USE_SHARE
from saltport.decisions.timeliness import Timeliness
from saltport.decisions.weight_adjustment import keeps_slot

TIMEOUT_SAMPLES = 32  # attempts over which the share of time-outs is smoothed
MAX_OVERFLOW_SERVERS = 2  # servers after the key's own that may take a read when it is full
CROWDED_SHARE = 0.125  # above this share of reads that find their server full, the fleet is overloaded
RETRY_MAX_BUSY_SHARE = 0.5  # retries avoid servers above this busy share while the fleet is crowded


@dataclass(frozen=True, slots=True)
class Suspected:
    """A suspected server that is chosen all the same: for a trial, or because the detector is in panic."""

    node: Node


class Placement:
    """Chooses a server for one request at a time; it tracks crowding and response times of the fleet."""

    def __init__(self, replication: Replication, outliers: OutlierDetector) -> None:
        self._replication, self._outliers = replication, outliers
        self.crowded_share = 0.0
        """The smoothed share of reads that found their server full."""
        self.overflowed = self.moved = 0
        """Reads that went to another server: because theirs was full, or because it shed the slot's reads."""
        self._timeliness, self._timeout_share = Timeliness(), 0.0  # both over all servers

    def learn(self, took: int, outcome: Outcome, now: int) -> None:
        """Record the end of a read's attempt at any cache server."""
        # With an answer every few seconds the busy share of servers is unknown, but time-outs can be counted.
        self._timeout_share += ((outcome is Outcome.TIMEOUT) - self._timeout_share) / TIMEOUT_SAMPLES
        self._timeliness.learn(took, outcome in ANSWERED, self._timeout_share, now)

    def place(self, request: Request, now: int) -> Node | Suspected | Reason:
        """Return the server for a request's next attempt, or the reason why there is none."""
        full = moved = 0
        fallback: Node | None = None  # the first that has room but sheds this slot's reads
        for node in self._replication.candidates(request, now):
            if node in request.failed or not may_send(request, node, now):
                continue
            state = self._outliers.state(node.entry.id, now, first=not request.sends)
            if state is not EjectionState.HEALTHY:
                if self._may_try_suspect(request, node, state):
                    return Suspected(node)
                continue
            if not (request.write or self._has_time(request, node, now)):
                return Reason.TOO_LATE
            if not self._has_room(request, node, full, now):
                full += 1
                if self._is_crowded(request, full, now):
                    break
            elif not full and moved < MAX_OVERFLOW_SERVERS and self._sheds_slot(request, node, now):
                fallback, moved = fallback or node, moved + 1
            else:
                self.moved += bool(moved)
                if full or self.crowded_share:
                    self._record_crowding(request, bool(full))
                    self.overflowed += bool(full)
                return node
        if fallback is not None:
            return fallback
        if not full:
            return Reason.NO_SERVER
        self._record_crowding(request, True)
        return Reason.SERVERS_FULL

    def _may_try_suspect(self, request: Request, node: Node, state: EjectionState) -> bool:
        """Whether this request may go to an ejected or suspected server; starts a trial where one is due."""
        if state is EjectionState.EJECTED or not may_repeat(request):
            return False
        if state is EjectionState.TRIAL:
            self._outliers.start_trial(node.entry.id, request.id)
        return True

    def _has_time(self, request: Request, node: Node, now: int) -> bool:
        """Whether a server is likely enough to answer before the request's deadline."""
        left = request.deadline - now
        if not node.timeliness.worth_sending(left, now):
            return False
        # With many routers each has few answers of one server: until they suffice, those of all count.
        return node.timeliness.reliable or self._timeliness.worth_sending(left, now)

    def _has_room(self, request: Request, node: Node, full: int, now: int) -> bool:
        """Whether a server's concurrency limit permits an attempt, after `full` servers without room."""
        # A client's retry can no longer be in time, so that first tries go first.
        if request.retry and self.crowded_share > CROWDED_SHARE and node.limit.busy >= RETRY_MAX_BUSY_SHARE:
            return False
        # A server that does not own the key must fetch it, so that it needs ample room.
        return node.limit.has_room(2 * node.load if full or request.retry else node.load, now)

    def _sheds_slot(self, request: Request, node: Node, now: int) -> bool:
        """Whether the read moves to another server, as this one's load reports have reduced its weight."""
        # Moving the read may cost a fetch, so that it depends on the tenant's fetch allowance.
        return not keeps_slot(node, request.slot) and request.rate_limiter.in_use(now) < IN_USE_SHARE

    def _is_crowded(self, request: Request, full: int, now: int) -> bool:
        """Whether to stop searching for room: the fleet is crowded or the tenant's fetch allowance in use."""
        return (
            full > MAX_OVERFLOW_SERVERS
            or self.crowded_share > CROWDED_SHARE
            or request.rate_limiter.in_use(now) >= IN_USE_SHARE
        )

    def _record_crowding(self, request: Request, full: bool) -> None:
        """Update the share of reads that find their server full; `full`: whether this one did."""
        if not request.retry:  # a retry is no additional demand
            # The constant lets the share decay to exactly 0, where the fast path skips this update.
            self.crowded_share = max(self.crowded_share + (full - self.crowded_share) / 64 - 1e-6, 0.0)
