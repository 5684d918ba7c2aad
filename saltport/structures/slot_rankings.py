"""The best holders of each slot by weighted rendezvous hashing, kept as holders come and go.

A row keeps a slot's best holders in order. A change is only noted; each row catches up when its slot is next
asked for, one hash for each holder that came, so that no change takes long. Rows that fell too far behind, or
lost too many holders, are ranked anew. docs/design/table.md weighs the options, `benchmarks.lists` measures.
"""

from __future__ import annotations

from bisect import insort
from typing import Any, Generic, TypeVar

from saltport.structures.rendezvous import Hashed, RendezvousHash, score_of

CATCH_UP = 48  # changes that a row catches up with; past that it is cheaper to rank it anew
NOTED = 8 * CATCH_UP
MAX_ROWS = 16_384

Holder = TypeVar("Holder", bound=Hashed)


def _by_score(ranked: tuple[float, Any]) -> float:
    return -ranked[0]


class Row(Generic[Holder]):
    """A slot's best holders with their scores, in order, as of a version of the holders."""

    __slots__ = ("ranked", "shown", "version", "whole")

    def __init__(self, ranked: list[tuple[float, Holder]], version: int, whole: bool) -> None:
        self.ranked, self.version = ranked, version
        self.shown: list[Holder] = []
        """The first few, as they are told again and again; empty: to be listed anew."""
        self.whole = whole
        """Whether it holds all holders there are."""


class SlotRankings(Generic[Holder]):
    """Tells the best `shown` of a slot and keeps `kept`, so that a row outlives some leaves."""

    def __init__(self, shown: int, kept: int, numpy: Any = None) -> None:
        """`numpy`: the module, where large numbers of holders are to be ranked with it."""
        self._shown, self._kept, self._numpy = shown, kept, numpy
        self._hash = RendezvousHash[Holder]()
        self._rows: dict[int, Row[Holder]] = {}
        self._noted: list[tuple[Holder, bool]] = []  # the latest changes: a holder, and whether it came
        self.version = 0
        """It rises with each change of the holders."""

    def add(self, holder: Holder) -> None:
        """Take a holder in."""
        self._hash.add(holder)
        self._note(holder, came=True)

    def remove(self, holder: Holder) -> None:
        """Take a holder out."""
        self._hash.remove(holder)
        self._note(holder, came=False)

    def _note(self, holder: Holder, came: bool) -> None:
        self._noted.append((holder, came))
        self.version += 1
        if len(self._noted) > NOTED:
            del self._noted[: NOTED // 2]

    def best(self, slot: int) -> list[Holder]:
        """A slot's best `shown` holders, best first; the list is told again and again: do not change it."""
        row = self._rows.get(slot)
        if row is not None and row.version == self.version and row.shown:
            return row.shown
        row = self._row(slot, self._shown)
        row.shown = [holder for _, holder in row.ranked[: self._shown]]
        return row.shown

    def scored(self, slot: int, count: int) -> list[tuple[float, Holder]]:
        """A slot's best `count` holders with their scores, best first."""
        return self._row(slot, count).ranked[:count]

    def _row(self, slot: int, count: int) -> Row[Holder]:
        row = self._rows.get(slot)
        if row is not None and row.version != self.version and not self._caught_up(slot, row):
            row = None
        if row is None or (len(row.ranked) < count and not row.whole):
            row = self._ranked(slot, count + self._kept - self._shown)
        return row

    def _ranked(self, slot: int, kept: int) -> Row[Holder]:
        best = self._hash.best(slot, kept, self._numpy)
        ranked = sorted([(score_of(slot, holder), holder) for holder in best], key=_by_score)[:kept]
        row = Row(ranked, self.version, len(ranked) == len(self._hash.nodes))
        self._rows.pop(slot, None)
        if len(self._rows) >= MAX_ROWS:
            del self._rows[next(iter(self._rows))]  # the one that was ranked longest ago
        self._rows[slot] = row
        return row

    def _caught_up(self, slot: int, row: Row[Holder]) -> bool:
        """Bring a row up to date with the changes since; False: it is too far behind."""
        behind = self.version - row.version
        if behind > min(CATCH_UP, len(self._noted)):
            return False
        ranked, row.shown = row.ranked, []
        for holder, came in self._noted[-behind:]:
            if not came:
                row.ranked = ranked = [pair for pair in ranked if pair[1] is not holder]
                continue
            score = score_of(slot, holder)
            # Below its last place a row does not know who else is there.
            if row.whole or (ranked and score > ranked[-1][0]):
                insort(ranked, (score, holder), key=_by_score)
        if len(ranked) > 2 * self._kept:
            del ranked[self._kept :]
            row.whole = False
        row.version = self.version
        return True
