"""The keys seen most, in bounded memory, older ones counting less: frequent items under forward decay.

Counters and purge: Misra and Gries 1982 with the batched purge of Anderson, Bevin, Lang, Liberty, Rhodes and
Thaler, "A High-Performance Algorithm for Identifying Frequent Items in Data Streams" (2017), as in Apache
DataSketches. Decay: Cormode, Shkapenyuk, Srivastava and Xu, "Forward Decay" (2009): what is new gets a
greater weight, so that nothing held has to be touched as time goes by. docs/design/hot-keys.md measures it.
"""

from __future__ import annotations

import math
from heapq import nlargest

NS_PER_S = 1_000_000_000
TICKS = 256  # steps of the weight in one memory: an error of 0.4% at most, and no exp() for each item
RESCALED = 1e12  # weight past which all is divided by it, far from where floats lose units


class FrequentItems:
    """Counts of items, each worth exp(-age / memory); between `capacity` and twice as many are held.

    An item's true count lies between `count` and `count + error`, and `error` is at most total / capacity.
    `memory` and times are nanoseconds, counts are in items as of the latest update.
    """

    __slots__ = ("_began", "_counts", "_landmark", "_lost", "_next", "_sum", "_tick", "_weight", "capacity",
                 "memory", "purges")  # fmt: skip

    def __init__(self, capacity: int, memory: int) -> None:
        if capacity < 1 or memory < TICKS:
            raise ValueError("capacity must be at least 1, and memory some microseconds")
        self.capacity, self.memory = capacity, memory
        self.purges = 0
        self._counts: dict[str, float] = {}
        self._sum = self._lost = 0.0
        self._weight = 1.0
        self._tick = memory // TICKS
        self._landmark = self._next = self._began = -1

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, item: str, now: int) -> float:
        """Count an item; returns its least count."""
        if now >= self._next:
            self.advance(now)
        weight, counts = self._weight, self._counts
        counts[item] = count = counts.get(item, 0.0) + weight
        self._sum += weight
        if len(counts) > 2 * self.capacity:
            self._purge()
        return count / weight

    def advance(self, now: int) -> None:
        """Let time go by without an item."""
        if self._landmark < 0:
            self._landmark = self._began = now
        age = now - self._landmark
        if age < 0:
            return
        steps = age // self._tick
        self._next = self._landmark + (steps + 1) * self._tick
        self._weight = math.exp(min(steps / TICKS, 700.0))
        if self._weight > RESCALED:
            part, self._landmark = 1 / self._weight, now
            self._counts = {item: count * part for item, count in self._counts.items() if count * part > 1e-9}
            self._sum, self._lost, self._weight = self._sum * part, self._lost * part, 1.0
            self._next = now + self._tick

    def _purge(self) -> None:
        counts = self._counts
        # Each of the `capacity` greatest and as many others lose this much: so the error stays in bounds.
        cut = nlargest(self.capacity + 1, counts.values())[-1]
        self._counts = {item: count - cut for item, count in counts.items() if count > cut}
        self._lost += cut
        self.purges += 1

    @property
    def total(self) -> float:
        """The count of all items."""
        return self._sum / self._weight

    @property
    def error(self) -> float:
        """How far a count may lie below the true one; the most that an item not held can have."""
        return self._lost / self._weight

    def count(self, item: str) -> float:
        """The least that the item has been counted."""
        return self._counts.get(item, 0.0) / self._weight

    def span(self, now: int) -> float:
        """Seconds that a count stands for: divide by it for a rate a second."""
        age = max(now - self._began, self._tick) if self._began >= 0 else self._tick
        return self.memory / NS_PER_S * -math.expm1(-age / self.memory)

    def top(self, count: int) -> list[tuple[str, float]]:
        """The items counted most, with their least counts, most first."""
        held = nlargest(count, self._counts.items(), key=lambda pair: pair[1])
        return [(item, value / self._weight) for item, value in held]
