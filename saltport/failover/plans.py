"""Plans as numbers: vectors in parts, where a plan stands on its way, what it means for one zone. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from saltport.decisions.interface import ZonePlan
from saltport.decisions.topology import Topology
from saltport.failover.messages import PARTS, Plan

Matrix = tuple[tuple[float, ...], ...]
"""By source zone, and in it by target zone."""
MS = 1_000_000


def parts_of(rows: Sequence[Sequence[float]]) -> bytes:
    """Shares in parts."""
    return bytes(min(max(round(share * PARTS), 0), PARTS) for row in rows for share in row)


def shares_of(parts: bytes, zones: int) -> Matrix:
    """Parts as shares; raises ValueError for what is no matrix of so many zones."""
    if len(parts) != zones * zones:
        raise ValueError("a vector for other zones")
    shares = [part / PARTS for part in parts]
    return tuple(tuple(shares[zone * zones : (zone + 1) * zones]) for zone in range(zones))


def bits(mask: int, most: int) -> tuple[int, ...]:
    """The places of the bits that are set."""
    return tuple(place for place in range(most) if mask >> place & 1)


def mask_of(places: Sequence[int]) -> int:
    """Bits by their places."""
    return sum(1 << place for place in set(places))


def between(begin: Matrix, end: Matrix, part: float) -> Matrix:
    """Some way from one matrix to another."""
    return tuple(
        tuple(a + (b - a) * part for a, b in zip(one, two, strict=True))
        for one, two in zip(begin, end, strict=True)
    )


def nearest_open(topology: Topology, out: int) -> Matrix:
    """What holds where nobody decides: each zone to itself, or to the nearest that was not evacuated."""
    zones = range(len(topology.zones))
    rows = []
    for source in zones:
        target = next((zone for zone in topology.zones_by_distance(source) if not out >> zone & 1), source)
        rows.append(tuple(float(zone == target) for zone in zones))
    return tuple(rows)


def standing(plan: Plan, since: int, topology: Topology) -> Matrix:
    """Where a plan stands, so many nanoseconds after it was made."""
    zones = len(topology.zones)
    end = shares_of(plan.end, zones)
    if since >= plan.way_ms * MS:
        return end
    return between(shares_of(plan.begin, zones), end, since / (plan.way_ms * MS))


def for_zone(plan: Plan, matrix: Matrix, zone: int, topology: Topology, binding: bool) -> ZonePlan:
    """What a plan means for one zone's routers."""
    zones, area = len(topology.zones), topology.region_index(zone)
    served = plan.origins[area] if area < len(plan.origins) else area
    order = (served, *(other for other in topology.regions_by_distance(area) if other != served))
    trials = () if not binding else tuple(t for t in bits(plan.bad[zone], zones) if not plan.out >> t & 1)
    refused = plan.refused[zone] / PARTS if binding else 0.0
    row = tuple(round(share, 3) for share in matrix[zone])
    lost = bool(plan.lost >> area & 1)
    trial = plan.trial[zone] / 1_000
    return ZonePlan(row, refused, trials, trial, bits(plan.out, zones), order, lost, binding)
