"""Weighted max-min fairness: division of a capacity among competing demands."""

from __future__ import annotations

from collections.abc import Mapping


def fair_shares(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair allocation of a capacity, by name.

    A demand below its weighted share is met in full, and the rest of that share is divided among the others.
    """
    allocated: dict[str, float] = {}
    remaining = dict(demands)
    while remaining:
        total = sum(weights[name] for name in remaining)
        satisfied = [name for name in remaining if remaining[name] <= capacity * weights[name] / total]
        if not satisfied:
            return allocated | {name: capacity * weights[name] / total for name in remaining}
        for name in satisfied:
            allocated[name] = remaining.pop(name)
        capacity = max(capacity - sum(allocated[name] for name in satisfied), 0.0)
    return allocated
