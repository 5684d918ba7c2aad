"""Weighted max-min fairness: how a capacity is shared among those who ask."""

from __future__ import annotations

from collections.abc import Mapping


def fair_shares(
    capacity: float, asked: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Weighted max-min: who asks for less than its share gets it all, its rest goes to the others."""
    given: dict[str, float] = {}
    left = dict(asked)
    while left:
        total = sum(weights[name] for name in left)
        content = [name for name in left if left[name] <= capacity * weights[name] / total]
        if not content:
            return given | {name: capacity * weights[name] / total for name in left}
        for name in content:
            given[name] = left.pop(name)
        capacity = max(capacity - sum(given[name] for name in content), 0.0)
    return given
