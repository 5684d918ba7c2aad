"""A frequent-items sketch: the items seen most, in bounded memory, with exponential decay of older ones.

Counters and purge: Misra and Gries 1982 with the batched purge of Anderson, Bevin, Lang, Liberty, Rhodes and
Thaler, "A High-Performance Algorithm for Identifying Frequent Items in Data Streams" (2017), as in Apache
DataSketches. Decay: Cormode, Shkapenyuk, Srivastava and Xu, "Forward Decay" (2009): newer items get a greater
weight, so that no stored counter has to be updated as time passes. docs/design/hot-keys.md has measurements.
"""

from __future__ import annotations

import math
from heapq import nlargest

NS_PER_S = 1_000_000_000
DECAY_STEPS = 256  # weight steps in one time constant: an error of 0.4% at most, without exp() for each item
MAX_WEIGHT = 1e12  # above it all counters are rescaled, well before floats lose precision


class FrequentItems:
    """Counts of items with exponential decay: each occurrence counts exp(-age / time_constant).

    An item's true count lies between `count` and `count + error`, and `error` is at most total / capacity. At
    most twice `capacity` items are stored; a purge leaves at most `capacity`. `time_constant` and times are
    nanoseconds; counts are decayed to the time of the latest update.
    """

    __slots__ = ("_counts", "_landmark", "_next_step_at", "_purged", "_started_at", "_step", "_sum",
    "_weight",
                 "capacity", "purges", "time_constant")  # fmt: skip

    def __init__(self, capacity: int, time_constant: int) -> None:
        if capacity < 1 or time_constant < DECAY_STEPS:
            raise ValueError("capacity must be at least 1, and time_constant at least 256 ns")
        self.capacity, self.time_constant = capacity, time_constant
        self.purges = 0
        self._counts: dict[str, float] = {}
        self._sum = self._purged = 0.0
        self._weight = 1.0
        self._step = time_constant // DECAY_STEPS
        self._landmark = self._next_step_at = self._started_at = -1

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, item: str, now: int) -> float:
        """Count an occurrence of an item; return the lower bound of its count."""
        if now >= self._next_step_at:
            self.advance(now)
        weight, counts = self._weight, self._counts
        counts[item] = count = counts.get(item, 0.0) + weight
        self._sum += weight
        if len(counts) > 2 * self.capacity:
            self._purge()
        return count / weight

    def advance(self, now: int) -> None:
        """Advance the time to which counts are decayed."""
        if self._landmark < 0:
            self._landmark = self._started_at = now
        age = now - self._landmark
        if age < 0:
            return
        steps = age // self._step
        self._next_step_at = self._landmark + (steps + 1) * self._step
        self._weight = math.exp(min(steps / DECAY_STEPS, 700.0))
        if self._weight > MAX_WEIGHT:
            part, self._landmark = 1 / self._weight, now
            self._counts = {item: count * part for item, count in self._counts.items() if count * part > 1e-9}
            self._sum, self._purged, self._weight = self._sum * part, self._purged * part, 1.0
            self._next_step_at = now + self._step

    def _purge(self) -> None:
        """Subtract the (capacity + 1)-th greatest count from all, and drop what is not positive."""
        counts = self._counts
        # At least `capacity` + 1 counts lose this much, which bounds the error by total / capacity.
        cut = nlargest(self.capacity + 1, counts.values())[-1]
        self._counts = {item: count - cut for item, count in counts.items() if count > cut}
        self._purged += cut
        self.purges += 1

    @property
    def total(self) -> float:
        """The decayed count of all items."""
        return self._sum / self._weight

    @property
    def error(self) -> float:
        """The most by which a count can be below the true one, also for items that are not stored."""
        return self._purged / self._weight

    def count(self, item: str) -> float:
        """Return the lower bound of an item's decayed count."""
        return self._counts.get(item, 0.0) / self._weight

    def effective_seconds(self, now: int) -> float:
        """Return the seconds that a decayed count stands for; a count divided by it is a rate a second."""
        age = max(now - self._started_at, self._step) if self._started_at >= 0 else self._step
        return self.time_constant / NS_PER_S * -math.expm1(-age / self.time_constant)

    def top(self, count: int) -> list[tuple[str, float]]:
        """Return the `count` items with the greatest counts and the lower bounds of these, greatest first."""
        greatest = nlargest(count, self._counts.items(), key=lambda pair: pair[1])
        return [(item, value / self._weight) for item, value in greatest]
