"""The slot table: rendezvous hashing of slots over the ready servers, made to bear large fleets.

A row keeps a slot's best servers in order. A change of the list is only noted; each row catches up when its
slot is next asked for, one hash for each server that came, so that no change holds the loop. Rows that fell
too far behind, or lost too many servers, are ranked anew. docs/design/table.md has the options weighed.
"""

from __future__ import annotations

import importlib
import math
from array import array
from bisect import insort
from collections import Counter
from heapq import nlargest
from operator import itemgetter
from typing import Any

from saltport.decisions import interface as api
from saltport.decisions.health import Node

DEPTH = 8
SHOWN = 2 * DEPTH  # what a row tells; always so many, so that routers with other histories tell the same
KEPT = 3 * DEPTH  # what a row keeps, so that it outlives some leaves
CATCH_UP = 48  # changes that a row catches up with; past that it is cheaper to rank it anew
NOTED = 8 * CATCH_UP
MAX_ROWS = 16_384
VECTORS_FROM = 256  # servers; below that numpy's own cost is more than it saves
WORD = (1 << 64) - 1
MIX_SLOT, MIX = 0x9E3779B97F4A7C15, 0xD6E8FEB86659FD93

Ranked = tuple[float, Node]


def mixed(slot: int, seed: int) -> int:
    """The hash of (slot, server), 64 bits."""
    value = (seed ^ (slot + 1) * MIX_SLOT) * MIX & WORD
    value = (value ^ value >> 32) * MIX & WORD
    return value ^ value >> 32


def score_of(slot: int, node: Node) -> float:
    """The weighted hash by which servers are ranked; the highest holds the slot."""
    return -node.weight / math.log((mixed(slot, node.seed) + 1) / (WORD + 2))


class _Lanes:
    """The servers' seeds and weights side by side, to hash a slot against all of them at once."""

    def __init__(self) -> None:
        self.nodes: list[Node] = []
        self.seeds, self.weights = array("Q"), array("d")
        self._places: dict[Node, int] = {}
        self._weights: Counter[float] = Counter()

    def add(self, node: Node) -> None:
        """Take a server in, at the end."""
        self._places[node] = len(self.nodes)
        self.nodes.append(node)
        self.seeds.append(node.seed)
        self.weights.append(node.weight)
        self._weights[node.weight] += 1

    def remove(self, node: Node) -> None:
        """Take a server out; the last one gets its place."""
        place, last = self._places.pop(node), self.nodes[-1]
        if last is not node:
            self._places[last] = place
            self.nodes[place], self.seeds[place], self.weights[place] = last, last.seed, last.weight
        self.nodes.pop()
        self.seeds.pop()
        self.weights.pop()
        self._weights[node.weight] -= 1
        if not self._weights[node.weight]:
            del self._weights[node.weight]

    def best(self, slot: int, count: int, numpy: Any) -> list[Node]:
        """At least the `count` best servers of a slot, in no order; all of them where there are no more."""
        if count >= len(self.nodes):
            return self.nodes
        if numpy is not None and len(self.nodes) >= VECTORS_FROM:
            return self._best_by_vectors(slot, count, numpy)
        if len(self._weights) > 1:
            held = [(score_of(slot, node), node) for node in self.nodes]
            return [node for _, node in nlargest(count, held, key=itemgetter(0))]
        # Of equal weights the higher hash wins, and its upper half is that of the last product already.
        word, mix = (slot + 1) * MIX_SLOT & WORD, MIX
        products = [((half := (seed ^ word) * mix & WORD) ^ half >> 32) * mix & WORD for seed in self.seeds]
        least = nlargest(count, products)[-1] >> 32 << 32
        return [self.nodes[place] for place, product in enumerate(products) if product >= least]

    def _best_by_vectors(self, slot: int, count: int, numpy: Any) -> list[Node]:
        word, mix, half = numpy.uint64((slot + 1) * MIX_SLOT & WORD), numpy.uint64(MIX), numpy.uint64(32)
        values = (numpy.frombuffer(self.seeds, dtype=numpy.uint64) ^ word) * mix
        values = (values ^ values >> half) * mix
        if len(self._weights) > 1:
            weights = numpy.frombuffer(self.weights, dtype=numpy.float64)
            shares = ((values ^ values >> half).astype(numpy.float64) + 1) / (WORD + 2)
            # Rounded where exact ones are not: what lies near the last place stays in, to be ranked exactly.
            values = -weights / numpy.log(numpy.minimum(shares, 1 - 2**-53))
            least = numpy.partition(values, -count)[-count] * (1 - 1e-9)
        else:
            least = numpy.partition(values, -count)[-count] >> half << half
        return [self.nodes[place] for place in numpy.flatnonzero(values >= least)]


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
        self._lanes = _Lanes()
        self._rows: dict[int, _Row] = {}
        self._noted: list[tuple[Node, bool]] = []  # the latest changes: a server, and whether it came
        self.version = 0
        """It rises with each change of the list."""
        self._cold_until = 0

    def update(self, ready: list[api.Server], left: list[str]) -> None:
        """Take servers that are ready, and ids of those that left."""
        for server_id in left:
            self._take_out(server_id)
        for entry in ready:
            held = self.nodes.get(entry.id)
            if held is None or held.entry != entry:
                self._take_out(entry.id)
                node = Node(entry, self._settings.weighted, self._settings.cold_time)
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
