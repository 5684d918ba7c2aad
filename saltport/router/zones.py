"""Conversion of the section `[topology]` of a feature file into the decision module's topology."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from saltport.decisions.topology import Topology


def read_topology(
    zones: Sequence[str], here: str, regions: Mapping[str, str], costs: Mapping[str, Any],
    origins: Mapping[str, str], capacity: Mapping[str, Any],
) -> Topology:  # fmt: skip
    """Return the topology of `zones` as seen from the zone `here`; raises ValueError (one line of text)."""
    indexes = {zone: index for index, zone in enumerate(zones)}
    for name, table in (("regions", regions), ("capacity", capacity)):
        for zone in table:
            if zone not in indexes:
                raise ValueError(f"topology.{name}: {zone!r} is none of {', '.join(zones)}")
    cost_by_pair: dict[tuple[int, int], float] = {}
    for path, cost in costs.items():
        source, slash, target = path.partition("/")
        if not slash or source not in indexes or target not in indexes:
            raise ValueError(f"topology.costs: expected ZONE/ZONE, got {path!r}")
        cost_by_pair[indexes[source], indexes[target]] = _number(f"topology.costs.{path}", cost)
    return Topology(
        tuple(zones),
        here,
        tuple(regions.get(zone, zone if regions else "") for zone in zones),
        cost_by_pair,
        tuple(origins.items()),
        tuple(_number(f"topology.capacity.{zone}", capacity.get(zone, 0)) for zone in zones),
    )


def _number(where: str, value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e9:
        raise ValueError(f"{where}: expected a number from 0, got {value!r}")
    return float(value)
