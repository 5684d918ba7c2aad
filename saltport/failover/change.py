"""Decides whether a better distribution of reads justifies a new plan. No I/O.

Danger: a different distribution that is only as good is no reason for a plan. Demand fluctuates at random,
and each change of shares makes some cached data useless.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.failover.plans import Matrix
from saltport.failover.settings import FailoverSettings

OVERLOAD_THRESHOLD = 0.95  # share of a zone's capacity; a zone with a higher load is overloaded
MIN_RELIEF = 0.05  # share of an overloaded zone's capacity by which a new plan must reduce its load
MIN_REFUSED_CHANGE = 0.05  # smallest change of a zone's refused share of reads that justifies a new plan


@dataclass(frozen=True, slots=True)
class Allocation:
    """The shares by source and target zone, and the refused share of each source zone's reads."""

    rows: Matrix
    refused: tuple[float, ...]

    def load(self, demand: Sequence[float]) -> list[float]:
        """Return the requests per second that each zone gets for a demand by source zone."""
        zones = range(len(self.rows))
        return [
            sum(demand[source] * (1 - self.refused[source]) * self.rows[source][target] for source in zones)
            for target in zones
        ]


def is_worth_changing(
    current: Allocation,
    proposed: Allocation,
    demand: Sequence[float],
    capacity: Sequence[float],
    settings: FailoverSettings,
) -> bool:
    """Whether the proposed allocation improves on the current one enough for a new plan.

    It does if it relieves an overloaded zone, keeps noticeably more reads in their own zone, or changes the
    refused share of a zone noticeably.
    """
    idle_limit = settings.idle_demand_share * sum(demand)
    busy = [source for source, rate in enumerate(demand) if rate > idle_limit]
    load_now, load_then = current.load(demand), proposed.load(demand)
    relieved = any(
        load_now[zone] > OVERLOAD_THRESHOLD * limit and load_now[zone] - load_then[zone] > MIN_RELIEF * limit
        for zone, limit in enumerate(capacity)
    )
    nearer = any(
        proposed.rows[source][source] - current.rows[source][source] >= settings.min_share_change
        for source in busy
    )
    refusals = any(
        abs(proposed.refused[source] - current.refused[source]) >= MIN_REFUSED_CHANGE for source in busy
    )
    return relieved or nearer or refusals
