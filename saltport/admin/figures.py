"""Counters of a router process: requests by class and outcome, and configuration loads. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable


class Figures:
    """Counters since the start of the process; each component counts its own events here."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.answered: Counter[str] = Counter()
        self.deferred: Counter[str] = Counter()
        self.errored: Counter[str] = Counter()
        self.closed_unanswered: Counter[str] = Counter()
        """Requests without a whole answer on connections that the router closed, by the reason."""
        self.current = 0
        """Number of requests received and not finished; a value that is still being sent is not finished."""
        self.conf_loaded = self.conf_invalid = 0
        self.add_classes(classes)

    def add_classes(self, names: Iterable[str]) -> None:
        """Show these request classes with a count of zero; classes already present keep their counts."""
        for name in names:
            for counts in (self.answered, self.deferred, self.errored):
                counts.setdefault(name, 0)

    def count_end(self, request_class: str, counter: Counter[str] | None) -> None:
        """Count the end of a request in `counter`; None if its client left or another process counts it."""
        self.current -= 1
        if counter is not None:
            counter[request_class] += 1

    def view(self, sends: int, cluster: tuple[int, int]) -> dict[str, object]:
        """Return the counters as the `/stats` call shows them.

        `sends`: attempts sent; `cluster`: the numbers of listed cache servers and of those that are avoided.
        """
        return {
            "answered": self.answered,
            "deferred": self.deferred,
            "errored": self.errored,
            "closed_unanswered": self.closed_unanswered,
            "sends": sends,
            "current": self.current,
            "cluster_size": cluster[0],
            "cluster_unhealthy": cluster[1],
            "conf_loaded": self.conf_loaded,
            "conf_invalid": self.conf_invalid,
        }
