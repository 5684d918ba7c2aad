"""The slot table: rendezvous hashing of slots over the ready servers, made to bear large fleets.

A row keeps a slot's best servers in order. A change of the list is only noted; each row catches up when its
slot is next asked for, one hash for each server that came, so that no change holds the loop. Rows that fell
too far behind, or lost too many servers, are ranked anew. docs/design/table.md has the options weighed.
"""

from __future__ import annotations

import importlib
from bisect import insort

from saltport.decisions import interface as api
from saltport.decisions.health import Node
from saltport.structures.lanes import Lanes, score_of

DEPTH = 8
SHOWN = 2 * DEPTH  # what a row tells; always so many, so that routers with other histories tell the same
KEPT = 3 * DEPTH  # what a row keeps, so that it outlives some leaves
CATCH_UP = 48  # changes that a row catches up with; past that it is cheaper to rank it anew
NOTED = 8 * CATCH_UP
MAX_ROWS = 16_384

Ranked = tuple[float, Node]


class _Row:
    """A slot's best servers, in order, as of a version of the list."""

    __slots__ = ("ranked", "shown", "version", "whole")

    def __init__(self, ranked: list[Ranked], version: int, whole: bool) -> None:
        self.ranked, self.version = ranked, version
        self.shown: list[Node] = []
        """The first SHOWN, as they are told again and again; empty: to be listed anew."""
        self.whole = whole
        """Whether it holds all servers there are."""


def _by_score(ranked: Ranked) -> float:
    return -ranked[0]


class SlotTable:
    """Weighted rendezvous hashing of slots over the ready servers, remembered slot by slot."""

    def __init__(self, settings: api.Settings) -> None:
        self.nodes: dict[str, Node] = {}
        self._settings = settings
        self._numpy = importlib.import_module("numpy") if settings.vectors else None
        self._lanes = Lanes[Node]()
        self._rows: dict[int, _Row] = {}
        self._noted: list[tuple[Node, bool]] = []  # the latest changes: a server, and whether it came
        self.version = 0
        """It rises with each change of the list."""
        self._cold_until = 0

    def follow_settings(self, settings: api.Settings) -> None:
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
                self._lanes.add(node)
                self._note(node, came=True)
                self._cold_until = max(self._cold_until, node.warm_at)
        if len(self._noted) > NOTED:
            del self._noted[: -NOTED // 2]

    def _take_out(self, server_id: str) -> None:
        node = self.nodes.pop(server_id, None)
        if node is not None:
            self._lanes.remove(node)
            self._note(node, came=False)

    def _note(self, node: Node, came: bool) -> None:
        self._noted.append((node, came))
        self.version += 1

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
        row = self._rows.get(slot)
        if row is not None and row.version != self.version and not self._caught_up(slot, row):
            row = None
        if row is None or (len(row.ranked) < shown and not row.whole):
            row = self._ranked(slot, shown)
        if shown == SHOWN and now >= self._cold_until:
            if not row.shown:
                row.shown = [node for _, node in row.ranked[:SHOWN]]
            return row.shown
        held = row.ranked[:shown]
        if now < self._cold_until:
            held = [(score * self.warmth(node, now), node) for score, node in held]
            held.sort(key=_by_score)
        return [node for _, node in held]

    def _ranked(self, slot: int, shown: int) -> _Row:
        kept = shown + KEPT - SHOWN
        best = self._lanes.best(slot, kept, self._numpy)
        ranked = sorted([(score_of(slot, node), node) for node in best], key=_by_score)[:kept]
        row = _Row(ranked, self.version, len(ranked) == len(self.nodes))
        self._rows.pop(slot, None)
        if len(self._rows) >= MAX_ROWS:
            del self._rows[next(iter(self._rows))]  # the one that was ranked longest ago
        self._rows[slot] = row
        return row

    def _caught_up(self, slot: int, row: _Row) -> bool:
        """Bring a row up to date with the changes since; False: it is too far behind."""
        behind = self.version - row.version
        if behind > min(CATCH_UP, len(self._noted)):
            return False
        ranked, row.shown = row.ranked, []
        for node, came in self._noted[-behind:]:
            if not came:
                row.ranked = ranked = [pair for pair in ranked if pair[1] is not node]
                continue
            score = score_of(slot, node)
            # Below its last place a row does not know who else is there.
            if row.whole or (ranked and score > ranked[-1][0]):
                insort(ranked, (score, node), key=_by_score)
        if len(ranked) > 2 * KEPT:
            del ranked[KEPT:]
            row.whole = False
        row.version = self.version
        return True
