"""A ready server as this router sees it: response times, own attempts out, and the limit on them.

Whether it answers at all is judged in outliers.py.
"""

from __future__ import annotations

from hashlib import blake2b

from saltport.decisions.interface import Outcome, Server
from saltport.decisions.limits import Limit
from saltport.decisions.timeliness import Timeliness
from saltport.structures.response_time import ResponseTimeEstimate

ANSWERED, UNANSWERED = (Outcome.OK, Outcome.MISS), (Outcome.TIMEOUT, Outcome.RESET)
NO_EVIDENCE = (Outcome.CANCELLED, Outcome.MOOT)  # ends that tell nothing of a server


class Node:
    """One ready server."""

    def __init__(self, entry: Server, weighted: bool, cold_time: int = 0, known_at: int = 0) -> None:
        self.entry, self.load = entry, 0
        self.weight = entry.weight if weighted else 1.0
        self.seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        self.warm_at = entry.started + cold_time if entry.started and cold_time else 0
        self.unheard = 0
        self.response_time = ResponseTimeEstimate()
        self.limit = Limit(known_at)
        self.timeliness = Timeliness()
        self.weight_factor, self.weight_factor_at = (
            1.0,
            0,
        )  # see weight_adjustment.py
        self._unheard_at = 0

    def judge(self, outcome: Outcome, took: int, aim: int, sent_at: int, now: int) -> None:
        """Learn from an attempt's end; quick errors count neither way, the next-ranked server is asked."""
        if outcome in NO_EVIDENCE:
            return
        silent = outcome in UNANSWERED
        # Danger: counted each, what was out in one short pause of a server would pass for its being overrun.
        again = silent and bool(self.unheard) and sent_at >= self._unheard_at
        if not silent:
            self.unheard = 0
        elif again or not self.unheard:
            self.unheard, self._unheard_at = self.unheard + 1, now
        if took >= aim and outcome is Outcome.TIMEOUT:
            self.limit.overdue(sent_at, now)
        if outcome in ANSWERED:
            self.limit.learn(took, self.load, sent_at, now, aim)
        elif outcome is Outcome.FULL:
            self.limit.turned_away(sent_at, now, self.load)
        elif again and outcome is Outcome.TIMEOUT:
            self.limit.cut(sent_at, now, self.load)
