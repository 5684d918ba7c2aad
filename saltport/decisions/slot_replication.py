"""Replication of slots by estimated load (interface: replication.py): several servers share a hot slot."""

from __future__ import annotations

import math
import random

from saltport.decisions.health import Node
from saltport.decisions.replication import Replication
from saltport.decisions.request import Request
from saltport.decisions.table import RANKING_DEPTH, SlotTable

LOAD_SHARE = 0.25  # a slot above this share of a server's fair load is replicated
LOAD_MEMORY = 1024  # requests after which counts are halved: enough for many servers, seconds under load


class SlotReplication(Replication):
    """Counts recent requests by slot, and gives each slot a number of owners according to its share."""

    def __init__(self, caches: SlotTable, rng: random.Random, routes_writes: bool) -> None:
        self._caches, self._rng = caches, rng
        self._routes_writes = routes_writes  # without an origin
        self._counts: dict[int, float] = {}
        self._total = 0.0
        self._now = 0

    def arrived(self, request: Request, tenant: str, now: int) -> None:
        """Count a request and store its slot's share of the earlier requests in it."""
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
        """Return the slot's ranking, with its owners ordered by their load."""
        owners = math.ceil(request.slot_share * len(self._caches.nodes) / LOAD_SHARE)
        ranking = self._caches.rank(request.slot, now, max(owners, RANKING_DEPTH))
        self._now = now
        return sorted(ranking[:owners], key=self._draw) + ranking[owners:] if owners > 1 else ranking

    def _draw(self, node: Node) -> tuple[float, float]:
        """Return the sort key of a slot's owner: its load relative to its weight, then a random number."""
        weight = node.weight * self._caches.slow_start_factor(node, self._now) * node.weight_factor
        return node.load / weight, self._rng.expovariate(1.0) / weight
