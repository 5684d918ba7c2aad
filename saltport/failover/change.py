"""Whether what holds is still good enough: a new plan is worth it only where that is not so. No I/O.

Danger: another vector that is as good is no reason. Demand swings by chance; each change empties some caches.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.failover.plans import Matrix
from saltport.failover.settings import FailoverSettings

OVER = 0.95  # of a zone's room, past which its load is a reason
LESS = 0.05  # of its room: by so much a new plan must relieve it
REFUSED = 0.05  # of a zone's reads: so many more or fewer refused are a reason


@dataclass(frozen=True, slots=True)
class Vector:
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


def worth_changing(
    held: Vector, aim: Vector, demand: Sequence[float], room: Sequence[float], settings: FailoverSettings
) -> bool:
    """Whether a zone is overloaded that need not be, reads go far that may stay near, or refusals are off."""
    least = settings.idle * sum(demand)
    busy = [source for source, asked in enumerate(demand) if asked > least]
    now, then = held.load(demand), aim.load(demand)
    relieved = any(
        now[zone] > OVER * most and now[zone] - then[zone] > LESS * most for zone, most in enumerate(room)
    )
    nearer = any(aim.rows[source][source] - held.rows[source][source] >= settings.step for source in busy)
    refusals = any(abs(aim.refused[source] - held.refused[source]) >= REFUSED for source in busy)
    return relieved or nearer or refusals
