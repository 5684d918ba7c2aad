"""The slot table: weighted rendezvous hashing of slots over the ready servers, cold ones at less weight.

The rankings are kept up to date in structures/slot_rankings.py; docs/design/table.md weighs the options.
"""

from __future__ import annotations

import importlib

from saltport.decisions import interface as api
from saltport.decisions.health import Node
from saltport.structures.slot_rankings import SlotRankings

DEPTH = 8
SHOWN = 2 * DEPTH  # what a slot tells; always so many, so that routers with other histories tell the same
KEPT = 3 * DEPTH  # what it keeps


class SlotTable:
    """Weighted rendezvous hashing of slots over the ready servers, remembered slot by slot."""

    def __init__(self, settings: api.Settings) -> None:
        self.nodes: dict[str, Node] = {}
        self._settings = settings
        numpy = importlib.import_module("numpy") if settings.vectors else None
        self._rankings = SlotRankings[Node](SHOWN, KEPT, numpy)
        self._cold_until = 0

    def apply_settings(self, settings: api.Settings) -> None:
        """Take new settings; servers that are held keep theirs."""
        self._settings = settings

    def update(self, ready: list[api.Server], left: list[str], now: int = 0) -> None:
        """Take servers that are ready, and ids of those that left."""
        for server_id in left:
            self._take_out(server_id)
        for entry in ready:
            held = self.nodes.get(entry.id)
            if held is None or held.entry != entry:
                self._take_out(entry.id)
                node = Node(entry, self._settings.weighted, self._settings.cold_time, now)
                self.nodes[entry.id] = node
                self._rankings.add(node)
                self._cold_until = max(self._cold_until, node.warm_at)

    def _take_out(self, server_id: str) -> None:
        node = self.nodes.pop(server_id, None)
        if node is not None:
            self._rankings.remove(node)

    @property
    def version(self) -> int:
        """It rises with each change of the list."""
        return self._rankings.version

    def warmth(self, node: Node, now: int) -> float:
        """The part of its capacity that a server has surely reached."""
        if now >= node.warm_at:
            return 1.0
        age = max(now - node.entry.started, 0)  # clocks differ: a start may lie ahead
        cold = self._settings.cold_share
        return cold + (1 - cold) * age / self._settings.cold_time

    def rank(self, slot: int, now: int, depth: int = DEPTH) -> list[Node]:
        """The slot's best servers, at least `depth`, best first, with cold ones at their ramped weight."""
        shown = SHOWN if depth <= SHOWN else 2 * depth
        cold = now < self._cold_until
        if shown == SHOWN and not cold:
            return self._rankings.best(slot)
        held = self._rankings.scored(slot, shown)
        if cold:
            held = [(score * self.warmth(node, now), node) for score, node in held]
            held.sort(key=lambda pair: -pair[0])
        return [node for _, node in held]
