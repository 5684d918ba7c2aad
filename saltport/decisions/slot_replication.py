"""Replication of slots by estimated load (interface: replication.py): several owners share a popular slot."""

from __future__ import annotations

import math
import random

from saltport.decisions.health import Node
from saltport.decisions.replication import Replication
from saltport.decisions.request import Request
from saltport.decisions.table import DEPTH, SlotTable

LOAD_SHARE = 0.25  # part of a server's fair load that one slot may bring before it is replicated
LOAD_MEMORY = 1024  # requests after which counts are halved: many servers' worth, yet seconds when busy


class SlotReplication(Replication):
    """Each slot's share of the requests seen lately, by counts halved now and then, and owners by it."""

    def __init__(self, caches: SlotTable, rng: random.Random, routes_writes: bool) -> None:
        self._caches, self._rng = caches, rng
        self._routes_writes = routes_writes  # where there is no origin that they go to
        self._counts: dict[int, float] = {}
        self._total = 0.0
        self._now = 0

    def arrived(self, request: Request, tenant: str, now: int) -> None:
        """Count a read; it is told its slot's share before it."""
        if request.write and not self._routes_writes:
            return
        count = self._counts.get(request.slot, 0.0)
        request.slot_share = count / max(self._total, 1.0)
        self._counts[request.slot] = count + 1
        self._total += 1
        if self._total >= LOAD_MEMORY:
            self._counts = {slot: count / 2 for slot, count in self._counts.items() if count > 1}
            self._total = sum(self._counts.values())

    def candidates(self, request: Request, now: int) -> list[Node]:
        """The slot's ranking, its owners in the order of their load."""
        owners = math.ceil(request.slot_share * len(self._caches.nodes) / LOAD_SHARE)
        ranking = self._caches.rank(request.slot, now, max(owners, DEPTH))
        self._now = now
        return sorted(ranking[:owners], key=self._draw) + ranking[owners:] if owners > 1 else ranking

    def _draw(self, node: Node) -> tuple[float, float]:
        weight = node.weight * self._caches.warmth(node, self._now) * node.weight_factor
        return node.load / weight, self._rng.expovariate(1.0) / weight
