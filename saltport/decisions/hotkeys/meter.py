"""Read rates of keys: a frequent-items sketch for each tenant, and exact counts for the keys that may be hot.

The sketch estimates a key's share of all reads over some seconds, within an error bound. A key near the
threshold is also watched: its reads are counted exactly in short counting intervals, which show the
start and the end of a sudden load long before the sketch does. The estimate is limited to the confidence
bounds of the last counting interval, so that random variation neither replicates a key nor keeps it
replicated.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from saltport.decisions.interface import NS_PER_S
from saltport.structures.frequent_items import FrequentItems

DECAY_TIME_NS = 10 * NS_PER_S  # in which an old read's part of a decayed count falls to 1 / e
MIN_EVIDENCE_READS = 8.0  # of a key before it can be watched: with fewer, its share is mostly noise
WATCH_DIVISOR = 8  # keys are watched from the threshold / this on
MIN_INTERVAL_NS, MAX_INTERVAL_NS = NS_PER_S // 5, 2 * NS_PER_S  # length of a counting interval
MIN_INTERVAL_READS = 32  # of a key, before its counting interval may end earlier than the maximum
BOUND_DEVIATIONS = 2.5  # standard deviations of a count between it and its bounds
MIN_PORTION = 0.05  # of the sketches' capacity, for a tenant that states no portion or less than this
UPDATE_INTERVAL_NS = NS_PER_S // 20  # between two updates of the total and of the count for watching
UNREAD_EXPIRY_NS = 2 * DECAY_TIME_NS  # without reads, after which a key is no longer watched


@dataclass(slots=True)
class WatchedKey:
    """The record of a key whose reads are counted exactly."""

    key: str
    slot: int
    tenant: str
    """The tenant whose read made the key watched; the key counts towards this tenant's limits."""
    interval_start: int
    reads_before_interval: int
    """Reads of all keys up to the start of the current counting interval."""
    interval_reads: int = 0
    """Reads of this key in the current counting interval."""
    last_read_at: int = 0
    min_share: float = 0.0
    max_share: float = 1.0
    """Bounds of the key's share of all reads, from the previous counting interval."""
    size: int = 0
    """Bytes of the value in the last reply; 0: unknown."""
    mean_latency: float = 0.0
    """Smoothed response time of nodes for the key, nanoseconds."""
    fetch_failures: int = 0
    """Consecutive fetches without a value from the origin."""
    fetch_after: int = 0
    """Until then no read of the key is fetched from the origin."""
    review_at: int = 0
    """When the key's share is next compared with the threshold."""
    replicated: object | None = None
    """The `ReplicatedKey`, if the key is replicated."""

    def end_interval(self, now: int, reads: int) -> None:
        """End the counting interval, if it is long enough, and begin the next.

        The end updates the bounds of the key's share, which is its count of reads in the interval relative
        to that of all keys. `reads` is the number of reads of all keys since the start of the router.
        """
        age = now - self.interval_start
        if age < MIN_INTERVAL_NS or (self.interval_reads < MIN_INTERVAL_READS and age < MAX_INTERVAL_NS):
            return
        if reads == self.reads_before_interval:
            self.min_share = self.max_share = 0.0  # no reads at all
            self.interval_start = now
            return
        all_reads, margin = (
            reads - self.reads_before_interval,
            BOUND_DEVIATIONS * math.sqrt(self.interval_reads),
        )
        self.min_share = max(self.interval_reads - margin, 0.0) / all_reads
        self.max_share = min((self.interval_reads + margin + BOUND_DEVIATIONS) / all_reads, 1.0)
        self.interval_start, self.reads_before_interval, self.interval_reads = now, reads, 0


class KeyMeter:
    """Counts reads by tenant and key, and watches the keys that may be hot."""

    def __init__(self, portions: Mapping[str, float], capacity: int, max_watched: int) -> None:
        """`portions`: each tenant's part of the capacity; `capacity`: of all sketches, in keys."""
        weights = {name: max(portion, MIN_PORTION) for name, portion in portions.items()}
        total_weight = sum(weights.values())
        self._sketches = {
            name: FrequentItems(max(int(capacity * weight / total_weight), 8), DECAY_TIME_NS)
            for name, weight in weights.items()
        }
        self._portions = {name: weight / total_weight for name, weight in weights.items()}
        self._max_watched = max_watched
        self._watched_by_tenant = dict.fromkeys(self._sketches, 0)
        self.watched: dict[str, WatchedKey] = {}
        self.reads = 0
        """Reads of all keys since the start."""
        self.threshold = 1.0
        """The share of all reads from which a key needs a second node; set by the caller."""
        self._min_watched_count = MIN_EVIDENCE_READS
        self._next_update_at = 0
        self.total = 0.0
        """Recent reads of all keys: the sum of the sketches' decayed counts."""

    def add(self, tenant: str, key: str, slot: int, now: int) -> WatchedKey | None:
        """Count a read; return the key's record if the key is watched."""
        sketch = self._sketches.get(tenant)
        if sketch is None:
            tenant = ""
            sketch = self._sketches[""]
        count = sketch.add(key, now)
        self.reads += 1
        if now >= self._next_update_at:
            self._update(now)
        watched = self.watched.get(key)
        if watched is not None:
            watched.interval_reads += 1
            watched.last_read_at = now
            if now - watched.interval_start >= MIN_INTERVAL_NS:
                watched.end_interval(now, self.reads)
            return watched
        if (
            count < self._min_watched_count
            or self._watched_by_tenant[tenant] >= self._max_watched * self._portions[tenant]
        ):
            return None
        self._watched_by_tenant[tenant] += 1
        watched = self.watched[key] = WatchedKey(key, slot, tenant, now, self.reads - 1, 1, now)
        return watched

    def _update(self, now: int) -> None:
        """Update the total and the count from which a key is watched."""
        self._next_update_at = now + UPDATE_INTERVAL_NS
        self._update_total(now)
        self._min_watched_count = max(MIN_EVIDENCE_READS, self.total * self.threshold / WATCH_DIVISOR)

    def sweep(self, now: int) -> None:
        """End the counting intervals that are due, and stop watching keys far below the threshold."""
        self._update_total(now)
        low_share = self.threshold / WATCH_DIVISOR / 2
        for watched in list(self.watched.values()):
            watched.end_interval(now, self.reads)
            cool = (
                now - watched.last_read_at > UNREAD_EXPIRY_NS
                or self.min_count(watched.key) < self.total * low_share
            )
            if watched.replicated is None and cool and now >= watched.fetch_after:
                del self.watched[watched.key]
                self._watched_by_tenant[watched.tenant] -= 1

    def _update_total(self, now: int) -> None:
        """Update the sum of the decayed counts of all sketches."""
        self.total = 0.0
        for sketch in self._sketches.values():
            sketch.advance(now)
            self.total += sketch.total

    def min_count(self, key: str) -> float:
        """Return a lower bound of the recent reads of a key by all tenants, as a decayed count."""
        return sum(sketch.count(key) for sketch in self._sketches.values())

    def share(self, watched: WatchedKey) -> float:
        """Estimate a key's share of all reads: the sketch's value, limited to the last interval's bounds."""
        count = self.min_count(watched.key)
        # The total dates from the last update, so the count of a single key can exceed it.
        total = max(self.total, count)
        if total <= 0:
            return 0.0
        estimate = max(count - math.sqrt(count), 0.0) / total
        return min(max(estimate, watched.min_share), watched.max_share)

    def rate(self, count: float, now: int) -> float:
        """Convert a decayed count to reads a second."""
        return count / max(sketch.effective_seconds(now) for sketch in self._sketches.values())

    def top(self, count: int) -> list[tuple[str, str, float, float]]:
        """Return the keys read most: tenant that reads it most, key, lower bound and error of the count."""
        by_key: dict[str, list[tuple[float, str, float]]] = {}
        for tenant, sketch in self._sketches.items():
            for key, reads in sketch.top(count):
                by_key.setdefault(key, []).append((reads, tenant, sketch.error))
        entries = [
            (max(parts)[1], key, sum(part[0] for part in parts), sum(part[2] for part in parts))
            for key, parts in by_key.items()
        ]
        return sorted(entries, key=lambda entry: -entry[2])[:count]

    def key_counts(self) -> dict[str, int]:
        """Return the number of keys in each tenant's sketch."""
        return {tenant: len(sketch) for tenant, sketch in self._sketches.items()}
