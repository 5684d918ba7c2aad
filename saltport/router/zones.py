"""`[topology]` of a file of features into the module's terms."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from saltport.decisions.topology import Topology


def read_topology(
    zones: Sequence[str], here: str, regions: Mapping[str, str], costs: Mapping[str, Any],
    origins: Mapping[str, str], capacity: Mapping[str, Any],
) -> Topology:  # fmt: skip
    """Raises ValueError with one plain line."""
    places = {zone: place for place, zone in enumerate(zones)}
    for name, told in (("regions", regions), ("capacity", capacity)):
        for zone in told:
            if zone not in places:
                raise ValueError(f"topology.{name}: {zone!r} is none of {', '.join(zones)}")
    between: dict[tuple[int, int], float] = {}
    for path, cost in costs.items():
        one, slash, two = path.partition("/")
        if not slash or one not in places or two not in places:
            raise ValueError(f"topology.costs: expected ZONE/ZONE, got {path!r}")
        between[places[one], places[two]] = _number(f"topology.costs.{path}", cost)
    return Topology(
        tuple(zones),
        here,
        tuple(regions.get(zone, zone if regions else "") for zone in zones),
        between,
        tuple(origins.items()),
        tuple(_number(f"topology.capacity.{zone}", capacity.get(zone, 0)) for zone in zones),
    )


def _number(where: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e9:
        raise ValueError(f"{where}: expected a number from 0, got {value!r}")
    return float(value)
