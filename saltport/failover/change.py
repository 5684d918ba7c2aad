"""Whether what holds is still good enough: a new plan is worth it only where that is not so. No I/O.

Danger: another vector that is as good is no reason. Demand swings by chance; each change empties some caches.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.failover.plans import Matrix
from saltport.failover.settings import FailoverSettings

OVERLOAD_THRESHOLD = 0.95  # of a zone's room, past which its load is a reason
MIN_RELIEF = 0.05  # of its room: by so much a new plan must relieve it
MIN_REFUSED_CHANGE = 0.05  # of a zone's reads: so many more or fewer refused are a reason


@dataclass(frozen=True, slots=True)
class Allocation:
    """Where all go, and which part of each zone's reads is refused."""

    rows: Matrix
    refused: tuple[float, ...]

    def load(self, demand: Sequence[float]) -> list[float]:
        """Requests a second that each zone gets."""
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
    """Whether a zone is overloaded that need not be, reads go far that may stay near, or refusals are off."""
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
