"""The state of a ready server as seen by this router: response times, attempts in flight and their limit.

Servers that fail are detected in outliers.py.
"""

from __future__ import annotations

from hashlib import blake2b

from saltport.decisions.interface import Outcome, Server
from saltport.decisions.limits import Limit
from saltport.decisions.timeliness import Timeliness
from saltport.structures.response_time import ResponseTimeEstimate

# Outcomes of attempts that the server answered normally, and of those that it did not answer.
ANSWERED, UNANSWERED = (Outcome.OK, Outcome.MISS), (Outcome.TIMEOUT, Outcome.RESET)
NO_EVIDENCE = (Outcome.CANCELLED, Outcome.NOT_SENT)  # outcomes that say nothing about a server


class Node:
    """One ready server; `load` counts this router's attempts in flight there."""

    def __init__(self, entry: Server, weighted: bool, cold_time: int = 0, known_at: int = 0) -> None:
        self.entry, self.load = entry, 0
        self.weight = entry.weight if weighted else 1.0
        self.seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        """Seed of the hashes that select servers for slots, equal at every router."""
        self.slow_start_ends_at = entry.started + cold_time if entry.started and cold_time else 0
        """Until then the server has a reduced weight, as it has just started; 0: no slow start."""
        self.unanswered_in_a_row = 0
        """Consecutive attempts without an answer; those in flight at the same time count as one."""
        self.response_time = ResponseTimeEstimate()
        self.limit = Limit(known_at)
        self.timeliness = Timeliness()
        self.weight_factor, self.weight_factor_at = 1.0, 0
        """The share of its slots' reads that the server gets, and when its last change took full effect.

        Load reports of attempts that were sent before that time are ignored.
        """
        self._last_unanswered_at = 0

    def record_outcome(self, outcome: Outcome, took: int, aim: int, sent_at: int, now: int) -> None:
        """Update the limit and the unanswered count from an attempt's outcome; errors change neither."""
        if outcome in NO_EVIDENCE:
            return
        silent = outcome in UNANSWERED
        # Danger: counted one by one, the attempts in flight during one short pause look like an overload.
        repeated = silent and bool(self.unanswered_in_a_row) and sent_at >= self._last_unanswered_at
        if not silent:
            self.unanswered_in_a_row = 0
        elif repeated or not self.unanswered_in_a_row:
            self.unanswered_in_a_row, self._last_unanswered_at = self.unanswered_in_a_row + 1, now
        if took >= aim and outcome is Outcome.TIMEOUT:
            self.limit.timed_out(sent_at, now)
        if outcome in ANSWERED:
            self.limit.learn(took, self.load, sent_at, now, aim)
        elif outcome is Outcome.FULL:
            self.limit.refused(sent_at, now, self.load)
        elif repeated and outcome is Outcome.TIMEOUT:
            self.limit.cut(sent_at, now, self.load)
