"""Counts of events by name, since the start and over the last seconds, in a ring of panes.

A pane is one step of time with its counts. Memory is names x panes at most; adding is one dict update, and
panes without an event are not stored.
"""

from __future__ import annotations

from collections import Counter, deque

NS_PER_S = 1_000_000_000
VIEW_SPANS_S = (10, 60)

Name = tuple[str, ...]


class RecentCounts:
    """Counts by name; `pane` is the length of a pane in nanoseconds, `panes` the number of stored panes."""

    def __init__(self, pane: int = NS_PER_S, panes: int = 60) -> None:
        if pane < 1 or panes < 1:
            raise ValueError("pane and panes must be at least 1")
        self._pane, self._max_panes = pane, panes
        self.total: Counter[Name] = Counter()
        """Counts since the start."""
        self._panes: deque[tuple[int, Counter[Name]]] = deque()

    def add(self, name: Name, now: int) -> None:
        """Count an event; a time before the latest pane counts in the latest pane."""
        number = now // self._pane
        if not self._panes or number > self._panes[-1][0]:
            self._panes.append((number, Counter()))
            while self._panes[0][0] <= number - self._max_panes:
                self._panes.popleft()
        self._panes[-1][1][name] += 1
        self.total[name] += 1

    def last(self, span: int, now: int) -> Counter[Name]:
        """Return the counts of the last `span` nanoseconds in whole panes, the current one included."""
        first = now // self._pane - span // self._pane
        found: Counter[Name] = Counter()
        for number, counts in reversed(self._panes):
            if number <= first:
                break
            found += counts
        return found

    def view(self, now: int) -> list[dict[str, object]]:
        """Return all names with their counts of the last seconds and since the start, for `/stats`."""
        recent = {f"last_{seconds}_s": self.last(seconds * NS_PER_S, now) for seconds in VIEW_SPANS_S}
        rows: list[dict[str, object]] = [
            {"name": list(name), **{span: counts[name] for span, counts in recent.items()}, "total": total}
            for name, total in self.total.most_common()
        ]
        return rows
