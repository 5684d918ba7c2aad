"""The router's own overload: when its loop has no rest and what comes lies unread for long, it sheds early.

Shed first is traffic beyond a tenant's portion, within a tenant what can't be in time, then marked retries,
then first tries; writes are counted, not shed. Times are nanoseconds. docs/design/overload.md has more.
"""

from __future__ import annotations

import random
from collections import Counter

from saltport.decisions.interface import NS_PER_S, LoopReport, Settings
from saltport.structures.shares import fair_shares

BUSY = 0.95  # of the time without a wait for the kernel: there is no rest left
PATIENT = 3  # reports in a row before it counts: a lone stall is no overload
STEP = 0.3  # of the way to the share that there is room for, with each report
RISE_S = 4.0  # in which the share admitted would rise from nothing to all
LEAST = 0.05
SMOOTH = 0.3
LEAST_WEIGHT = 0.01  # of tenants that state no portion
HOPELESS, RETRY, FIRST = 0, 1, 2  # ranks of reads, the least worth first


class OverloadControl:
    """Learns from the host's reports, and admits arrivals by them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        self.apply_settings(settings)
        self._over = 0
        self.admitted = 1.0
        """The share of what arrives that there is room for."""
        self._came: Counter[tuple[str, int]] = Counter()  # since the last report, by tenant and rank
        self._usual: dict[tuple[str, int], float] = {}  # the same, smoothed
        self._chances: dict[tuple[str, int], float] = {}
        self.shed: Counter[str] = Counter()
        self.last_report = LoopReport(0.0, 0)

    def apply_settings(self, settings: Settings) -> None:
        """Take new settings; what was shed stays counted."""
        self.target = settings.overload_target
        self._weights = {tenant.name: max(tenant.portion, LEAST_WEIGHT) for tenant in settings.tenants}
        self._weights[""] = LEAST_WEIGHT

    @property
    def lag(self) -> int:
        """For how long what comes lies unread while the loop has no rest: this router's part of any wait."""
        return self.last_report.delay if self.last_report.busy >= BUSY else 0

    def report(self, report: LoopReport) -> str | None:
        """Take a report of the loop; returns a line for the operator when the state changes."""
        self.last_report = report
        if not self.target:
            return None
        over = report.busy >= BUSY and report.delay > self.target
        self._over = self._over + 1 if over else 0
        before = self.admitted
        if self._over >= PATIENT:
            # Danger: refusals cost CPU too; cut for as long as the loop has no rest, all would be refused.
            room = max(self.target / report.delay, LEAST)
            self.admitted += (min(room, 1.0) - self.admitted) * STEP
        elif not over:
            self.admitted = min(self.admitted + report.span / (RISE_S * NS_PER_S), 1.0)
        for kind in self._usual.keys() | self._came.keys():
            usual = self._usual.get(kind, 0.0)
            self._usual[kind] = usual + (self._came[kind] - usual) * SMOOTH
        self._came.clear()
        self._chances = self._ranked() if self.admitted < 1.0 else {}
        if (before < 1.0) == (self.admitted < 1.0):
            return None
        if self.admitted < 1.0:
            return f"overloaded: what comes lies unread for {report.delay / 1e6:.0f} ms; shedding begins"
        return f"no longer overloaded; {self.shed.total()} reads were shed since the start"

    def _ranked(self) -> dict[tuple[str, int], float]:
        """The chance of each kind of read: a tenant's fair share goes to its best ranks first."""
        asked: Counter[str] = Counter()
        for (tenant, _), count in self._usual.items():
            asked[tenant] += count  # type: ignore[assignment]
        shares = fair_shares(self.admitted * asked.total(), asked, self._weights)
        chances = {}
        for tenant, left in shares.items():
            for rank in (FIRST, RETRY, HOPELESS):
                came = self._usual.get((tenant, rank), 0.0)
                chances[tenant, rank] = min(left / came, 1.0) if came > 0 else 1.0
                left = max(left - came, 0.0)
        return chances

    def admit(self, tenant: str, write: bool, rank: int) -> bool:
        """Whether to take a request on; counts it."""
        if not self.target:
            return True
        if tenant not in self._weights:
            tenant = ""
        self._came[tenant, FIRST if write else rank] += 1
        if write or not self._chances:
            return True
        chance = self._chances.get((tenant, rank), 1.0)
        if chance >= 1.0 or self._rng.random() < chance:
            return True
        self.shed[tenant] += 1
        return False
