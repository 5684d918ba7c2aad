"""Demand into room: each zone's own first, the rest to the next zones by cost, the remainder refused. No I/O.

Pouring by rounds of nearness is the order of localities of Envoy and HAProxy; what each target has proven,
and its room less a reserve for its own, stand in the place of their fixed factors.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

UNLIMITED = float("inf")


@dataclass(frozen=True, slots=True)
class Poured:
    """Shares by source zone; each row and what it has refused make one together."""

    shares: tuple[tuple[float, ...], ...]
    refused: tuple[float, ...]
    load: tuple[float, ...]
    """Requests a second that each zone then gets."""


def pour(
    demand: Sequence[float],
    room: Sequence[float],
    proven: Sequence[float],
    usable: Callable[[int, int], bool],
    near: Callable[[int], Sequence[int]],
    parts: tuple[float, float],
) -> Poured:
    """Place each zone's demand; all in requests a second. `usable`: whether a path from a zone to another is.

    `parts`: of a zone's room, what its own demand and what others' may fill. What finds no place within them,
    and within what is proven, goes near first wherever there is any room. A zone without demand goes where
    its first requests should go.
    """
    zones = range(len(demand))
    total = [max(held, 1e-6) for held in demand]
    left, load = list(total), [0.0] * len(demand)
    placed = [[0.0] * len(demand) for _ in zones]
    own = [most * parts[0] for most in room]
    others = [min(most * parts[1], sure) for most, sure in zip(room, proven, strict=True)]
    for limits in ((own, others), (room, room)):
        for rank in zones:
            wishes: dict[int, list[int]] = {}
            for source in zones:
                target = near(source)[rank]
                if left[source] > 0 and usable(source, target):
                    wishes.setdefault(target, []).append(source)
            for target, sources in wishes.items():
                most = limits[rank > 0][target]
                part = min(max(most - load[target], 0.0) / sum(left[source] for source in sources), 1.0)
                for source in sources:
                    given = left[source] * part
                    placed[source][target] += given
                    left[source] = left[source] - given if part < 1 else 0.0
                    load[target] += given
    shares = tuple(tuple(held / total[source] for held in placed[source]) for source in zones)
    return Poured(shares, tuple(left[source] / total[source] for source in zones), tuple(load))
