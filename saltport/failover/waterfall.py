"""Demand into room: each zone's own first, the rest to the next zones by cost, the remainder refused. No I/O.

Pouring by rounds of nearness is the order of localities of Envoy and HAProxy; what each target has proven,
and its room less a reserve for its own, stand in the place of their fixed factors.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

UNLIMITED = float("inf")


@dataclass(frozen=True, slots=True)
class Distribution:
    """Shares by source zone; each row and what it has refused make one together."""

    shares: tuple[tuple[float, ...], ...]
    refused: tuple[float, ...]
    load: tuple[float, ...]
    """Requests a second that each zone then gets."""


def distribute(
    demand: Sequence[float],
    capacity: Sequence[float],
    proven: Sequence[float],
    usable: Callable[[int, int], bool],
    near: Callable[[int], Sequence[int]],
    fill_limits: tuple[float, float],
) -> Distribution:
    """Place each zone's demand; all in requests a second. `usable`: whether a path from a zone to another is.

    `parts`: of a zone's room, what its own demand and what others' may fill. What finds no place within them,
    and within what is proven, goes near first wherever there is any room. A zone without demand goes where
    its first requests should go.
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
