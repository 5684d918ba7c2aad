"""A ready server as this router sees it: pace, own attempts out, and how overrun it is, as a chance.

Whether it answers at all is judged in outliers.py.
"""

from __future__ import annotations

from hashlib import blake2b

from saltport.decisions import interface as api
from saltport.decisions.interface import NS_PER_S, Outcome

NO_EVIDENCE = (Outcome.CANCELLED, Outcome.MOOT)  # ends that tell nothing of a server
PASS_CUT, PASS_RISE, PASS_FLOOR = 0.25, 0.2, 0.05  # a chance: cut by a late answer, raised by a good one
REGAIN = 60 * NS_PER_S


class Pace:
    """How long answers take: their smoothed time, and its smoothed deviation."""

    def __init__(self, usual: float = 0.0) -> None:
        self.usual = self.spread = usual

    def learn(self, latency: int) -> None:
        """Take one answer's time."""
        off = latency - self.usual
        self.usual += off / 16
        self.spread += (abs(off) - self.spread) / 16


class Node:
    """One ready server."""

    def __init__(self, entry: api.Server, weighted: bool, cold_time: int = 0) -> None:
        self.entry, self.load = entry, 0
        self.weight = entry.weight if weighted else 1.0
        self.seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        self.warm_at = entry.started + cold_time if entry.started and cold_time else 0
        self.unheard = 0
        self.pace = Pace()
        self._chance, self._judged = 1.0, 0
        self._unheard_at = 0

    def chance(self, now: int) -> float:
        """The chance to be sent to; it comes back by itself."""
        # Danger: counted from anything but its last attempt's end, a server that fails is back at once.
        return min(1.0, self._chance + (now - self._judged) / REGAIN) if self._chance < 1.0 else 1.0

    def judge(self, outcome: Outcome, late: bool, sent_at: int, now: int) -> None:
        """Learn from an attempt's end; quick errors count neither way, the next-ranked server is asked."""
        if outcome in NO_EVIDENCE:
            return
        chance = self.chance(now)
        silent = outcome in (Outcome.TIMEOUT, Outcome.RESET)
        # Danger: counted each, what was out in one short pause of a server would pass for its being overrun.
        again = silent and bool(self.unheard) and sent_at >= self._unheard_at
        if not silent:
            self.unheard = 0
        elif again or not self.unheard:
            self.unheard, self._unheard_at = self.unheard + 1, now
        if late or outcome is Outcome.FULL or (again and outcome is Outcome.TIMEOUT):
            chance = max(chance * PASS_CUT, PASS_FLOOR)
        elif outcome in (Outcome.OK, Outcome.MISS):
            chance = min(1.0, chance + PASS_RISE)
        self._chance, self._judged = chance, now

    def forgive(self) -> None:
        """It answers again after it had been silent: that was no sign of its being overrun."""
        self._chance = 1.0
