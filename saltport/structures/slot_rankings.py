"""The best nodes of each slot by weighted rendezvous hashing, updated incrementally as nodes change.

A row stores a slot's best nodes in order. A change of the nodes is only logged; a row applies the logged
changes when its slot is next requested, with one hash for each added node, so that no single change takes
long. A row that is too many changes behind, or has lost too many nodes, is ranked again in full.
docs/design/table.md compares the alternatives, `benchmarks.lists` measures them.
"""

from __future__ import annotations

from bisect import insort
from typing import Any, Generic, TypeVar

from saltport.structures.rendezvous import RendezvousHash, WeightedNode, rendezvous_score

MAX_CHANGES_APPLIED = 48  # to one row at once: for more it is cheaper to rank the row again
MAX_CHANGES_LOGGED = 8 * MAX_CHANGES_APPLIED  # latest additions and removals of nodes
MAX_ROWS = 16_384  # rankings stored at the same time

NodeT = TypeVar("NodeT", bound=WeightedNode)


def _descending_score(scored: tuple[float, Any]) -> float:
    return -scored[0]


class Row(Generic[NodeT]):
    """A slot's best nodes with their scores, best first, as of a version of the set of nodes."""

    __slots__ = ("best", "complete", "ranked", "version")

    def __init__(self, ranked: list[tuple[float, NodeT]], version: int, complete: bool) -> None:
        self.ranked, self.version = ranked, version
        self.best: list[NodeT] = []
        """The first nodes without scores, as `SlotRankings.best` returns them; empty: not yet computed."""
        self.complete = complete
        """Whether the row contains all nodes."""


class SlotRankings(Generic[NodeT]):
    """Rankings of nodes by slot: returns the best `result_size` of a slot, and stores `row_size` or more.

    The additional nodes of a row replace nodes that are removed, without a new ranking.
    """

    def __init__(self, result_size: int, row_size: int, numpy: Any = None) -> None:
        """`numpy`: the module, to rank large numbers of nodes with it, or None."""
        self._result_size, self._row_size, self._numpy = result_size, row_size, numpy
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
        """Return a slot's best `result_size` nodes, best first; the list is cached: do not modify it."""
        row = self._rows.get(slot)
        if row is not None and row.version == self.version and row.best:
            return row.best
        row = self._row(slot, self._result_size)
        row.best = [node for _, node in row.ranked[: self._result_size]]
        return row.best

    def scored(self, slot: int, count: int) -> list[tuple[float, NodeT]]:
        """Return a slot's best `count` nodes with their scores, best first."""
        return self._row(slot, count).ranked[:count]

    def _row(self, slot: int, count: int) -> Row[NodeT]:
        """Return the slot's current row, with at least `count` nodes if there are as many."""
        row = self._rows.get(slot)
        if row is not None and row.version != self.version and not self._apply_changes(slot, row):
            row = None
        if row is None or (len(row.ranked) < count and not row.complete):
            row = self._new_row(slot, count + self._row_size - self._result_size)
        return row

    def _new_row(self, slot: int, size: int) -> Row[NodeT]:
        """Rank all nodes for a slot, and store the best `size` as its row."""
        best = self._hash.best(slot, size, self._numpy)
        ranked = sorted([(rendezvous_score(slot, node), node) for node in best], key=_descending_score)[:size]
        row = Row(ranked, self.version, len(ranked) == len(self._hash.nodes))
        self._rows.pop(slot, None)
        if len(self._rows) >= MAX_ROWS:
            del self._rows[next(iter(self._rows))]  # the row that was ranked longest ago
        self._rows[slot] = row
        return row

    def _apply_changes(self, slot: int, row: Row[NodeT]) -> bool:
        """Apply the changes since a row's version to it; return False if there are too many."""
        behind = self.version - row.version
        if behind > min(MAX_CHANGES_APPLIED, len(self._changes)):
            return False
        ranked, row.best = row.ranked, []
        for node, added in self._changes[-behind:]:
            if not added:
                row.ranked = ranked = [pair for pair in ranked if pair[1] is not node]
                continue
            score = rendezvous_score(slot, node)
            # A node below the row's last one is only added to a complete row: between the two there may be
            # nodes that an incomplete row does not contain.
            if row.complete or (ranked and score > ranked[-1][0]):
                insort(ranked, (score, node), key=_descending_score)
        if len(ranked) > 2 * self._row_size:
            del ranked[self._row_size :]
            row.complete = False
        row.version = self.version
        return True
