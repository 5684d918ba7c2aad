"""The best nodes of each slot by weighted rendezvous hashing, updated incrementally as nodes change.

A row stores a slot's best nodes in order. A change of the nodes is only logged; a row applies the logged
changes when its slot is next requested, with one hash for each added node, so that no single change takes
long. A row that is too many changes behind, or has lost too many nodes, is ranked again in full.
docs/design/table.md compares the alternatives, `benchmarks.lists` measures them.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from operator import neg
from typing import Any, Generic, TypeVar

from saltport.structures.rendezvous import RendezvousHash, WeightedNode, rendezvous_score

MAX_CHANGES_APPLIED = 48  # to one row at once: for more it is cheaper to rank the row again
MAX_CHANGES_LOGGED = 8 * MAX_CHANGES_APPLIED  # latest additions and removals of nodes
MAX_ROWS = 16_384  # rankings stored at the same time
ROW_BYTES = 700  # memory of one row of 24 nodes

NodeT = TypeVar("NodeT", bound=WeightedNode)


class Row(Generic[NodeT]):
    """A slot's best nodes and their scores, best first, as of a version of the set of nodes."""

    __slots__ = ("complete", "nodes", "scores", "version")

    def __init__(self, ranked: list[tuple[float, NodeT]], version: int, complete: bool) -> None:
        self.scores = array("d", [score for score, _ in ranked])
        self.nodes = [node for _, node in ranked]
        self.version = version
        self.complete = complete
        """Whether the row contains all nodes."""

    @property
    def ranked(self) -> list[tuple[float, NodeT]]:
        """The nodes with their scores, best first."""
        return list(zip(self.scores, self.nodes, strict=True))

    def add(self, score: float, node: NodeT) -> None:
        """Add a node at its place."""
        place = bisect_right(self.scores, -score, key=neg)
        self.scores.insert(place, score)
        self.nodes.insert(place, node)

    def remove(self, node: NodeT) -> None:
        """Remove a node, if the row contains it."""
        for place, other in enumerate(self.nodes):
            if other is node:
                del self.nodes[place]
                del self.scores[place]
                return

    def truncate(self, size: int) -> None:
        """Keep only the best `size` nodes."""
        del self.nodes[size:]
        del self.scores[size:]
        self.complete = False


class SlotRankings(Generic[NodeT]):
    """Rankings of nodes by slot: returns the best `result_size` of a slot, and stores `row_size` or more.

    The additional nodes of a row replace nodes that are removed, without a new ranking.
    """

    def __init__(self, result_size: int, row_size: int, numpy: Any = None, max_rows: int = MAX_ROWS) -> None:
        """`numpy`: the module, to rank large numbers of nodes with it, or None; `max_rows`: rows stored."""
        self._result_size, self._row_size, self._numpy = result_size, row_size, numpy
        self._max_rows = max_rows
        self._hash = RendezvousHash[NodeT]()
        self._rows: dict[int, Row[NodeT]] = {}
        self._changes: list[tuple[NodeT, bool]] = []  # the latest ones: a node, and whether it was added
        self.version = 0
        """Increases with each change of the nodes."""

    def add(self, node: NodeT) -> None:
        """Add a node."""
        self._hash.add(node)
        self._log_change(node, added=True)

    def remove(self, node: NodeT) -> None:
        """Remove a node."""
        self._hash.remove(node)
        self._log_change(node, added=False)

    def _log_change(self, node: NodeT, added: bool) -> None:
        """Record the addition or removal of a node, and drop the oldest changes if there are too many."""
        self._changes.append((node, added))
        self.version += 1
        if len(self._changes) > MAX_CHANGES_LOGGED:
            del self._changes[: MAX_CHANGES_LOGGED // 2]

    def best(self, slot: int) -> list[NodeT]:
        """Return a slot's best `result_size` nodes, best first."""
        return self._row(slot, self._result_size).nodes[: self._result_size]

    def scored(self, slot: int, count: int) -> list[tuple[float, NodeT]]:
        """Return a slot's best `count` nodes with their scores, best first."""
        return self._row(slot, count).ranked[:count]

    def _row(self, slot: int, count: int) -> Row[NodeT]:
        """Return the slot's current row, with at least `count` nodes if there are as many."""
        row = self._rows.get(slot)
        if row is not None and row.version != self.version and not self._apply_changes(slot, row):
            row = None
        if row is None or (len(row.nodes) < count and not row.complete):
            row = self._new_row(slot, count + self._row_size - self._result_size)
        return row

    def _new_row(self, slot: int, size: int) -> Row[NodeT]:
        """Rank all nodes for a slot, and store the best `size` as its row."""
        best = self._hash.best(slot, size, self._numpy)
        scored = [(rendezvous_score(slot, node), node) for node in best]
        ranked = sorted(scored, key=lambda pair: -pair[0])[:size]
        row = Row(ranked, self.version, len(ranked) == len(self._hash.nodes))
        self._rows.pop(slot, None)
        if len(self._rows) >= self._max_rows:
            del self._rows[next(iter(self._rows))]  # the row that was ranked longest ago
        self._rows[slot] = row
        return row

    def _apply_changes(self, slot: int, row: Row[NodeT]) -> bool:
        """Apply the changes since a row's version to it; return False if there are too many."""
        behind = self.version - row.version
        if behind > min(MAX_CHANGES_APPLIED, len(self._changes)):
            return False
        for node, added in self._changes[-behind:]:
            if not added:
                row.remove(node)
                continue
            score = rendezvous_score(slot, node)
            # A node below the row's last one is only added to a complete row: between the two there may be
            # nodes that an incomplete row does not contain.
            if row.complete or (row.nodes and score > row.scores[-1]):
                row.add(score, node)
        if len(row.nodes) > 2 * self._row_size:
            row.truncate(self._row_size)
        row.version = self.version
        return True
