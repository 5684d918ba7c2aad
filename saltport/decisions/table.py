"""The slot table: weighted rendezvous hashing of slots over the ready servers, with slow start.

structures/slot_rankings.py maintains the rankings; docs/design/table.md compares the alternatives.
"""

from __future__ import annotations

import importlib

from saltport.decisions import interface as api
from saltport.decisions.health import Node
from saltport.structures.slot_rankings import SlotRankings

RANKING_DEPTH = 8  # servers in a slot's ranking, at least, if so many are ready
# A ranking always has this length, so that it is equal at routers with different histories.
RANKING_LENGTH = 2 * RANKING_DEPTH
STORED_RANKING_LENGTH = 3 * RANKING_DEPTH  # with a reserve for servers that leave


class SlotTable:
    """The ready servers, and for each slot their ranking by weighted rendezvous hashing, which is cached."""

    def __init__(self, settings: api.Settings) -> None:
        self.nodes: dict[str, Node] = {}
        self._settings = settings
        numpy = importlib.import_module("numpy") if settings.vectors else None
        self._rankings = SlotRankings[Node](
            RANKING_LENGTH, STORED_RANKING_LENGTH, numpy, settings.stored_rankings
        )
        self._cold_until = 0

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; they affect only servers that are added later."""
        self._settings = settings

    def update(self, ready: list[api.Server], left: list[str], now: int = 0) -> None:
        """Add or update servers that are ready, and remove those with the ids in `left`."""
        for server_id in left:
            self._remove(server_id)
        for entry in ready:
            known = self.nodes.get(entry.id)
            if known is None or known.entry != entry:
                self._remove(entry.id)
                node = Node(entry, self._settings.weighted, self._settings.cold_time, now)
                self.nodes[entry.id] = node
                self._rankings.add(node)
                self._cold_until = max(self._cold_until, node.slow_start_ends_at)

    def _remove(self, server_id: str) -> None:
        """Remove a server from the table and from the rankings, if it is there."""
        node = self.nodes.pop(server_id, None)
        if node is not None:
            self._rankings.remove(node)

    @property
    def version(self) -> int:
        """A number that increases with each change of the servers."""
        return self._rankings.version

    def slow_start_factor(self, node: Node, now: int) -> float:
        """Return the share of its weight that a server has during slow start, 1 afterwards."""
        if now >= node.slow_start_ends_at:
            return 1.0
        age = max(now - node.entry.started, 0)  # clocks differ, so that a start may lie in the future
        cold = self._settings.cold_share
        return cold + (1 - cold) * age / self._settings.cold_time

    def rank(self, slot: int, now: int, depth: int = RANKING_DEPTH) -> list[Node]:
        """Return the slot's best servers, at least `depth` where there are as many, best first.

        Servers in slow start have a reduced weight.
        """
        shown = RANKING_LENGTH if depth <= RANKING_LENGTH else 2 * depth
        cold = now < self._cold_until
        if shown == RANKING_LENGTH and not cold:
            return self._rankings.best(slot)
        known = self._rankings.scored(slot, shown)
        if cold:
            known = [(score * self.slow_start_factor(node, now), node) for score, node in known]
            known.sort(key=lambda pair: -pair[0])
        return [node for _, node in known]
