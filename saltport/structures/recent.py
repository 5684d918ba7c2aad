"""Counts of events by name: since the start, and over the last seconds, in a ring of panes.

Memory is names x panes at most; adding is one dict update, and time without an event costs nothing.
"""

from __future__ import annotations

from collections import Counter, deque

NS_PER_S = 1_000_000_000
SHOWN = (10, 60)  # seconds

Name = tuple[str, ...]


class RecentCounts:
    """Counts by name; `pane` is the step of time in nanoseconds, `panes` how many are kept."""

    def __init__(self, pane: int = NS_PER_S, panes: int = 60) -> None:
        if pane < 1 or panes < 1:
            raise ValueError("pane and panes must be at least 1")
        self._pane, self._kept = pane, panes
        self.total: Counter[Name] = Counter()
        """Since the start."""
        self._panes: deque[tuple[int, Counter[Name]]] = deque()

    def add(self, name: Name, now: int) -> None:
        """Count one; a time before the latest is taken for the latest."""
        number = now // self._pane
        if not self._panes or number > self._panes[-1][0]:
            self._panes.append((number, Counter()))
            while self._panes[0][0] <= number - self._kept:
                self._panes.popleft()
        self._panes[-1][1][name] += 1
        self.total[name] += 1

    def last(self, span: int, now: int) -> Counter[Name]:
        """Counts of the last `span` nanoseconds, to the pane: of the one under way as much as there is."""
        first = now // self._pane - span // self._pane
        found: Counter[Name] = Counter()
        for number, counts in reversed(self._panes):
            if number <= first:
                break
            found += counts
        return found

    def view(self, now: int) -> list[dict[str, object]]:
        """All names with their counts of the last seconds and since the start, for people."""
        lately = {f"last_{seconds}_s": self.last(seconds * NS_PER_S, now) for seconds in SHOWN}
        rows: list[dict[str, object]] = [
            {"name": list(name), **{span: counts[name] for span, counts in lately.items()}, "total": total}
            for name, total in self.total.most_common()
        ]
        return rows
