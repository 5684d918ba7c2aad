"""What the router counts: requests by class and end, attempts, and configurations. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable


class Figures:
    """Counts from the start of the process on; whoever owns a fact counts it here."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.answered: Counter[str] = Counter()
        self.deferred: Counter[str] = Counter()
        self.errored: Counter[str] = Counter()
        self.current = 0
        """Requests taken and not ended; a value that is still passed on counts as one."""
        self.conf_loaded = self.conf_invalid = 0
        self.classes(classes)

    def classes(self, names: Iterable[str]) -> None:
        """Show these classes too, though nothing came of them yet; others keep their counts."""
        for name in names:
            for counts in (self.answered, self.deferred, self.errored):
                counts.setdefault(name, 0)

    def ended(self, request_class: str, ends: Counter[str] | None) -> None:
        """A request has ended; None: it is no end of this process's."""
        self.current -= 1
        if ends is not None:
            ends[request_class] += 1

    def view(self, sends: int, cluster: tuple[int, int]) -> dict[str, object]:
        """As operators read them; `cluster`: the cache servers listed, and those of them that are avoided."""
        return {
            "answered": self.answered,
            "deferred": self.deferred,
            "errored": self.errored,
            "sends": sends,
            "current": self.current,
            "cluster_size": cluster[0],
            "cluster_unhealthy": cluster[1],
            "conf_loaded": self.conf_loaded,
            "conf_invalid": self.conf_invalid,
        }
