"""Load shedding when the router itself is overloaded: its event loop is busy and received data lies unread.

Traffic above a tenant's portion is shed first; within a tenant, reads that can't be in time, then marked
retries, then first tries. Writes are counted but never shed. Times are in nanoseconds; see
docs/design/overload.md.
"""

from __future__ import annotations

import random
from collections import Counter

from saltport.decisions.interface import NS_PER_S, LoopReport, Settings
from saltport.structures.shares import fair_shares

BUSY_SHARE = 0.95  # share of time without waiting for I/O, from which the event loop is saturated
MIN_OVERLOADED_REPORTS = 3  # in a row, since a single stall is no overload
ADJUSTMENT_STEP = 0.3  # share of the difference to the target share that each report closes
RISE_S = 4.0  # for a rise of the admitted share from 0 to 1
MIN_ADMITTED_SHARE = 0.05  # of the arriving reads, however overloaded the router is
SMOOTHING = 0.3  # weight of the latest report in the smoothed numbers of arrivals
MIN_WEIGHT = 0.01  # of tenants without a portion
TOO_LATE, RETRY, FIRST = 0, 1, 2  # ranks of reads, the first to be shed first


class OverloadControl:
    """Decides from reports of the event loop's load which arriving requests are admitted."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        self.apply_settings(settings)
        self._overloaded_reports = 0
        self.admitted = 1.0
        """The share of the arriving reads that the router has capacity for."""
        self._arrivals: Counter[tuple[str, int]] = Counter()  # since the last report, by tenant and rank
        self._usual_arrivals: dict[tuple[str, int], float] = {}  # the same, smoothed
        self._chances: dict[tuple[str, int], float] = {}
        self.shed: Counter[str] = Counter()
        self.last_report = LoopReport(0.0, 0)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; counts are preserved."""
        self.target = settings.overload_target
        self._weights = {tenant.name: max(tenant.portion, MIN_WEIGHT) for tenant in settings.tenants}
        self._weights[""] = MIN_WEIGHT

    @property
    def lag(self) -> int:
        """The delay that this router adds to each answer while its event loop is saturated."""
        return self.last_report.delay if self.last_report.busy >= BUSY_SHARE else 0

    def report(self, report: LoopReport) -> str | None:
        """Process a report of the loop's load; return a log line when shedding begins or ends."""
        self.last_report = report
        if not self.target:
            return None
        overloaded = report.busy >= BUSY_SHARE and report.delay > self.target
        self._overloaded_reports = self._overloaded_reports + 1 if overloaded else 0
        previous = self.admitted
        if self._overloaded_reports >= MIN_OVERLOADED_REPORTS:
            # Danger: refusals cost CPU too; cutting while the loop is saturated would end in refusing all.
            capacity_share = max(self.target / report.delay, MIN_ADMITTED_SHARE)
            self.admitted += (min(capacity_share, 1.0) - self.admitted) * ADJUSTMENT_STEP
        elif not overloaded:
            self.admitted = min(self.admitted + report.span / (RISE_S * NS_PER_S), 1.0)
        for tenant_and_rank in self._usual_arrivals.keys() | self._arrivals.keys():
            usual = self._usual_arrivals.get(tenant_and_rank, 0.0)
            self._usual_arrivals[tenant_and_rank] = (
                usual + (self._arrivals[tenant_and_rank] - usual) * SMOOTHING
            )
        self._arrivals.clear()
        self._chances = self._admission_chances() if self.admitted < 1.0 else {}
        if (previous < 1.0) == (self.admitted < 1.0):
            return None
        if self.admitted < 1.0:
            return f"overloaded: what comes lies unread for {report.delay / 1e6:.0f} ms; shedding begins"
        return f"no longer overloaded; {self.shed.total()} reads were shed since the start"

    def _admission_chances(self) -> dict[tuple[str, int], float]:
        """Return the admission probability by tenant and rank; better ranks use a tenant's share first."""
        demand: Counter[str] = Counter()
        for (tenant, _), count in self._usual_arrivals.items():
            demand[tenant] += count  # type: ignore[assignment]
        shares = fair_shares(self.admitted * demand.total(), demand, self._weights)
        chances = {}
        for tenant, remaining in shares.items():
            for rank in (FIRST, RETRY, TOO_LATE):
                arrivals = self._usual_arrivals.get((tenant, rank), 0.0)
                chances[tenant, rank] = min(remaining / arrivals, 1.0) if arrivals > 0 else 1.0
                remaining = max(remaining - arrivals, 0.0)
        return chances

    def admit(self, tenant: str, write: bool, rank: int) -> bool:
        """Whether to admit a request; counts it either way."""
        if not self.target:
            return True
        if tenant not in self._weights:
            tenant = ""
        self._arrivals[tenant, FIRST if write else rank] += 1
        if write or not self._chances:
            return True
        chance = self._chances.get((tenant, rank), 1.0)
        if chance >= 1.0 or self._rng.random() < chance:
            return True
        self.shed[tenant] += 1
        return False
