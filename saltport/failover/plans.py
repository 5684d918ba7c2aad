"""Functions on plans: encoding of shares, shares during a transition, the view of one zone. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from saltport.decisions.interface import ZonePlan
from saltport.decisions.topology import Topology
from saltport.failover.messages import SHARE_SCALE, Plan

Matrix = tuple[tuple[float, ...], ...]
"""Shares by source zone, and within it by target zone."""
NS_PER_MS = 1_000_000


def encode_shares(rows: Sequence[Sequence[float]]) -> bytes:
    """Return shares as bytes, row after row, in units of 1 / SHARE_SCALE."""
    return bytes(min(max(round(share * SHARE_SCALE), 0), SHARE_SCALE) for row in rows for share in row)


def decode_shares(encoded: bytes, zones: int) -> Matrix:
    """Return encoded shares as a matrix; raise ValueError if the length does not fit the number of zones."""
    if len(encoded) != zones * zones:
        raise ValueError("the encoded shares do not match the number of zones")
    shares = [fraction / SHARE_SCALE for fraction in encoded]
    return tuple(tuple(shares[zone * zones : (zone + 1) * zones]) for zone in range(zones))


def bit_positions(mask: int, width: int) -> tuple[int, ...]:
    """Return the positions of the bits that are set among the lowest `width` bits of a mask."""
    return tuple(position for position in range(width) if mask >> position & 1)


def bitmask(positions: Sequence[int]) -> int:
    """Return a mask with the bits at these positions set."""
    return sum(1 << position for position in set(positions))


def interpolate(begin: Matrix, end: Matrix, fraction: float) -> Matrix:
    """Return the matrix at a fraction (0 to 1) of the way from `begin` to `end`."""
    return tuple(
        tuple(a + (b - a) * fraction for a, b in zip(row_a, row_b, strict=True))
        for row_a, row_b in zip(begin, end, strict=True)
    )


def nearest_available(topology: Topology, evacuated: int) -> Matrix:
    """Return the matrix that sends each zone's reads to itself, or to the nearest zone not evacuated."""
    zones = range(len(topology.zones))
    rows = []
    for source in zones:
        target = next(
            (zone for zone in topology.zones_by_distance(source) if not evacuated >> zone & 1), source
        )
        rows.append(tuple(float(zone == target) for zone in zones))
    return tuple(rows)


def matrix_at(plan: Plan, elapsed_ns: int, topology: Topology) -> Matrix:
    """Return the shares of a plan `elapsed_ns` nanoseconds after it was made."""
    zones = len(topology.zones)
    end = decode_shares(plan.end, zones)
    if elapsed_ns >= plan.transition_ms * NS_PER_MS:
        return end
    return interpolate(decode_shares(plan.begin, zones), end, elapsed_ns / (plan.transition_ms * NS_PER_MS))


def zone_plan_of(plan: Plan, matrix: Matrix, zone: int, topology: Topology, binding: bool) -> ZonePlan:
    """Return the part of a plan that concerns one zone's routers.

    If it is not binding, it refuses no reads and tries no bad zones.
    """
    zones, region = len(topology.zones), topology.region_index(zone)
    served = plan.origins[region] if region < len(plan.origins) else region
    order = (served, *(other for other in topology.regions_by_distance(region) if other != served))
    trials = (
        ()
        if not binding
        else tuple(t for t in bit_positions(plan.bad[zone], zones) if not plan.evacuated >> t & 1)
    )
    refused = plan.refused[zone] / SHARE_SCALE if binding else 0.0
    row = tuple(round(share, 3) for share in matrix[zone])
    lost = bool(plan.lost_origins >> region & 1)
    trial = plan.trial_permille[zone] / 1_000
    return ZonePlan(row, refused, trials, trial, bit_positions(plan.evacuated, zones), order, lost, binding)
