"""Distributes demand over zones: each zone's own demand first, then overflow by distance. No I/O.

Filling the zones in order of distance follows the locality priorities of Envoy and HAProxy. In the place of
their fixed overprovisioning factors, each zone has a proven rate and a reserve for its own demand.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

UNLIMITED = float("inf")


@dataclass(frozen=True, slots=True)
class Distribution:
    """Shares by source and target zone; each row and its refused share add up to 1."""

    shares: tuple[tuple[float, ...], ...]
    refused: tuple[float, ...]
    load: tuple[float, ...]
    """Requests per second that each zone gets."""


def distribute(
    demand: Sequence[float],
    capacity: Sequence[float],
    proven: Sequence[float],
    usable: Callable[[int, int], bool],
    near: Callable[[int], Sequence[int]],
    fill_limits: tuple[float, float],
) -> Distribution:
    """Return how to distribute each zone's demand; all rates are in requests per second.

    `usable` returns whether the path from a source to a target zone may be used; `near` returns all zones
    ordered by distance from a zone. `fill_limits` are the shares of a zone's capacity that its own demand and
    the demand of other zones may fill; other zones' demand is also limited by the proven rate. Demand that
    does not fit these limits goes to the nearest zones with any capacity left; the rest is refused. A zone
    without demand gets the shares that its first requests should follow.
    """
    zones = range(len(demand))
    total = [max(rate, 1e-6) for rate in demand]
    remaining, load = list(total), [0.0] * len(demand)
    placed = [[0.0] * len(demand) for _ in zones]
    own = [limit * fill_limits[0] for limit in capacity]
    others = [
        min(limit * fill_limits[1], proven_rate) for limit, proven_rate in zip(capacity, proven, strict=True)
    ]
    for limits in ((own, others), (capacity, capacity)):
        for rank in zones:
            sources_by_target: dict[int, list[int]] = {}
            for source in zones:
                target = near(source)[rank]
                if remaining[source] > 0 and usable(source, target):
                    sources_by_target.setdefault(target, []).append(source)
            for target, sources in sources_by_target.items():
                limit = limits[rank > 0][target]
                fraction = min(
                    max(limit - load[target], 0.0) / sum(remaining[source] for source in sources), 1.0
                )
                for source in sources:
                    amount = remaining[source] * fraction
                    placed[source][target] += amount
                    remaining[source] = remaining[source] - amount if fraction < 1 else 0.0
                    load[target] += amount
    shares = tuple(tuple(rate / total[source] for rate in placed[source]) for source in zones)
    return Distribution(shares, tuple(remaining[source] / total[source] for source in zones), tuple(load))
