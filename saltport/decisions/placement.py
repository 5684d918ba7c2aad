"""Placement: which cache server a request goes to next, or the reason why it goes to none.

Candidates come best first and pass rules in this order: not tried before, and allowed by rule 2; not ejected;
the time left suffices; has room, else the next few are asked; keeps this slot's reads. Times: nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from saltport.decisions.effects import may_repeat, may_send
from saltport.decisions.health import ANSWERED, Node
from saltport.decisions.interface import Outcome, Reason
from saltport.decisions.outliers import EjectionState, OutlierDetector
from saltport.decisions.replication import Replication
from saltport.decisions.request import Request
from saltport.decisions.suppression import IN_USE
from saltport.decisions.timeliness import Timeliness
from saltport.decisions.weight_adjustment import keeps

LOST_SAMPLES = 32  # attempts over which the share that is lost is smoothed
OVERFLOW = 2  # servers after the key's own that are asked for room
CROWDED = 0.125  # share of reads that find their server full, past which it is the load and no server
YIELDS = 0.5  # busy part of a server from which marked retries keep away while reads find no room


@dataclass(frozen=True, slots=True)
class Suspected:
    """A server that looks bad and is asked all the same, to find out or because nobody is believed bad."""

    node: Node


class Placement:
    """Answers for one request at a time; it keeps how crowded and how timely all cache servers are."""

    def __init__(self, replication: Replication, outliers: OutlierDetector) -> None:
        self._replication, self._outliers = replication, outliers
        self.crowded = 0.0
        """Smoothed share of reads that found their server full."""
        self.overflowed = self.moved = 0
        self._timeliness, self._lost = Timeliness(), 0.0  # of all servers; the smoothed share of time-outs

    def learn(self, took: int, outcome: Outcome, now: int) -> None:
        """Take the end of a read's attempt at any cache server."""
        # How busy servers are can't be told from an answer in some seconds; what is lost there can.
        self._lost += ((outcome is Outcome.TIMEOUT) - self._lost) / LOST_SAMPLES
        self._timeliness.learn(took, outcome in ANSWERED, self._lost, now)

    def place(self, request: Request, now: int) -> Node | Suspected | Reason:
        """The server that a request goes to now; NO_SERVER: none that would have its key is in use."""
        full = moved = 0
        spare: Node | None = None  # the first that has room and keeps this slot from itself
        for node in self._replication.candidates(request, now):
            if node in request.failed or not may_send(request, node, now):
                continue
            state = self._outliers.state(node.entry.id, now, first=not request.sends)
            if state is not EjectionState.HEALTHY:
                if self._may_find_out(request, node, state):
                    return Suspected(node)
                continue
            if not (request.write or self._in_time(request, node, now)):
                return Reason.TOO_LATE
            if not self._has_room(request, node, full, now):
                full += 1
                if self._is_crowded(request, full, now):
                    break
            elif not full and moved < OVERFLOW and self._gives_away(request, node, now):
                spare, moved = spare or node, moved + 1
            else:
                self.moved += bool(moved)
                if full or self.crowded:
                    self._count(request, bool(full))
                    self.overflowed += bool(full)
                return node
        if spare is not None:
            return spare
        if not full:
            return Reason.NO_SERVER
        self._count(request, True)
        return Reason.SERVERS_FULL

    def _may_find_out(self, request: Request, node: Node, state: EjectionState) -> bool:
        """Whether this request may be sent to a server that is ejected or suspected."""
        if state is EjectionState.EJECTED or not may_repeat(request):
            return False
        if state is EjectionState.TRIAL:
            self._outliers.try_out(node.entry.id, request.id)
        return True

    def _in_time(self, request: Request, node: Node, now: int) -> bool:
        left = request.deadline - now
        if not node.timeliness.worth(left, now):
            return False
        # Many routers each hear too little of one server: what all servers tell counts until it is known.
        return node.timeliness.sure or self._timeliness.worth(left, now)

    def _has_room(self, request: Request, node: Node, full: int, now: int) -> bool:
        # A client's retry can't be in time any more: what is in time goes first.
        if request.retry and self.crowded > CROWDED and node.limit.busy >= YIELDS:
            return False
        # A server that is none of the key's lacks it, which costs a fetch: only where there is much room.
        return node.limit.room(2 * node.load if full or request.retry else node.load, now)

    def _gives_away(self, request: Request, node: Node, now: int) -> bool:
        # No sign of crowding, as others have more room; but where fetches are in use it may cost one.
        return not keeps(node, request.slot) and request.rate_limiter.in_use(now) < IN_USE

    def _is_crowded(self, request: Request, full: int, now: int) -> bool:
        """Whether to look for room no further: it is the load and no server, or a fetch costs too much."""
        return full > OVERFLOW or self.crowded > CROWDED or request.rate_limiter.in_use(now) >= IN_USE

    def _count(self, request: Request, full: bool) -> None:
        if not request.retry:  # the same demand once more is no more of it
            # Down to nothing in the end, as nothing costs a hit nothing.
            self.crowded = max(self.crowded + (full - self.crowded) / 64 - 1e-6, 0.0)
