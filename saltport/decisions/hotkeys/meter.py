"""Which keys are read how much: a sketch for each tenant, and exact counts for the few that may be hot.

The sketch tells a key's share over some seconds, within its error. A key near the threshold is watched: it is
counted exactly in short panes, which tell of a flash, and of its end, long before the sketch does. Both ends
of what a pane can mean bound the estimate, so that chance neither replicates a key nor keeps it replicated.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from saltport.decisions.interface import NS_PER_S
from saltport.structures.frequent_items import FrequentItems

MEMORY = 10 * NS_PER_S
EVIDENCE = 8.0  # reads of a key before it is looked at: by fewer its share can't be told from chance
WATCHED_AT = 8  # part of the threshold, as 1 / this, from which a key is counted exactly
PANE, LONGEST_PANE = NS_PER_S // 5, 2 * NS_PER_S
PANE_READS = 32  # of a key, that a pane waits for as long as it may
DEVIATIONS = 2.5  # of a count, for a pane's bounds
LEAST_PORTION = 0.05  # of the sketch, for a tenant that states none
LOOK = NS_PER_S // 20
FORGOTTEN = 2 * MEMORY  # unread, after which a key is watched no more


@dataclass(slots=True)
class Watched:
    """A key that is counted exactly."""

    key: str
    slot: int
    tenant: str
    """Whose reads brought it here; the budget is charged to it."""
    since: int
    seen: int
    """All reads that there had been when the pane began."""
    count: int = 0
    read_at: int = 0
    low: float = 0.0
    high: float = 1.0
    """Bounds of its share by the pane before this one."""
    size: int = 0
    """Bytes of its value, as last seen; 0: not known."""
    took: float = 0.0
    """Smoothed time that nodes took for it, nanoseconds."""
    failures: int = 0
    """Fetches in a row that the origin did not answer with a value."""
    fetch_after: int = 0
    look_at: int = 0
    replicated: object | None = None

    def close_pane(self, now: int, seen: int) -> None:
        """End the pane if it is long enough, and begin the next."""
        age = now - self.since
        if age < PANE or (self.count < PANE_READS and age < LONGEST_PANE):
            return
        if seen == self.seen:
            self.low = self.high = 0.0  # of nothing a key has no share
            self.since = now
            return
        reads, chance = seen - self.seen, DEVIATIONS * math.sqrt(self.count)
        self.low = max(self.count - chance, 0.0) / reads
        self.high = min((self.count + chance + DEVIATIONS) / reads, 1.0)
        self.since, self.seen, self.count = now, seen, 0


class KeyMeter:
    """Counts reads by tenant and key."""

    def __init__(self, portions: Mapping[str, float], capacity: int, most_watched: int) -> None:
        floors = {name: max(portion, LEAST_PORTION) for name, portion in portions.items()}
        whole = sum(floors.values())
        self._items = {
            name: FrequentItems(max(int(capacity * floor / whole), 8), MEMORY)
            for name, floor in floors.items()
        }
        self._portions = {name: floor / whole for name, floor in floors.items()}
        self._most = most_watched
        self._watching = dict.fromkeys(self._items, 0)
        self.watched: dict[str, Watched] = {}
        self.seen = 0
        self.threshold = 1.0
        """The share from which a key needs a second node; whoever knows the fleet sets it."""
        self._least = EVIDENCE
        self._next_look = 0
        self.total = 0.0
        """All reads lately, by the sketches' decay."""

    def add(self, tenant: str, key: str, slot: int, now: int) -> Watched | None:
        """Count a read; returns the key's record if it is watched."""
        items = self._items.get(tenant)
        if items is None:
            tenant = ""
            items = self._items[""]
        count = items.add(key, now)
        self.seen += 1
        if now >= self._next_look:
            self._look(now)
        watched = self.watched.get(key)
        if watched is not None:
            watched.count += 1
            watched.read_at = now
            if now - watched.since >= PANE:
                watched.close_pane(now, self.seen)
            return watched
        if count < self._least or self._watching[tenant] >= self._most * self._portions[tenant]:
            return None
        self._watching[tenant] += 1
        watched = self.watched[key] = Watched(key, slot, tenant, now, self.seen - 1, 1, now)
        return watched

    def _look(self, now: int) -> None:
        self._next_look = now + LOOK
        self._advance(now)
        self._least = max(EVIDENCE, self.total * self.threshold / WATCHED_AT)

    def sweep(self, now: int) -> None:
        """Close panes of keys that nobody asks for any more, and watch no more what has long been cool."""
        self._advance(now)
        low = self.threshold / WATCHED_AT / 2
        for watched in list(self.watched.values()):
            watched.close_pane(now, self.seen)
            cool = now - watched.read_at > FORGOTTEN or self.counted(watched.key) < self.total * low
            if watched.replicated is None and cool and now >= watched.fetch_after:
                del self.watched[watched.key]
                self._watching[watched.tenant] -= 1

    def _advance(self, now: int) -> None:
        self.total = 0.0
        for items in self._items.values():
            items.advance(now)
            self.total += items.total

    def counted(self, key: str) -> float:
        """The least that a key was read lately, by all tenants."""
        return sum(items.count(key) for items in self._items.values())

    def share(self, watched: Watched) -> float:
        """A key's share of all reads, by the sketch within the bounds of its last pane."""
        count = self.counted(watched.key)
        # The total is as old as the last look, and never less than what is counted of one key.
        total = max(self.total, count)
        if total <= 0:
            return 0.0
        surely = max(count - math.sqrt(count), 0.0) / total
        return min(max(surely, watched.low), watched.high)

    def rate(self, count: float, now: int) -> float:
        """A count as reads a second."""
        return count / max(items.effective_seconds(now) for items in self._items.values())

    def top(self, count: int) -> list[tuple[str, str, float, float]]:
        """Tenant that reads it most, key, least count and error of the keys read most, most first."""
        by_key: dict[str, list[tuple[float, str, float]]] = {}
        for tenant, items in self._items.items():
            for key, seen in items.top(count):
                by_key.setdefault(key, []).append((seen, tenant, items.error))
        held = [
            (max(parts)[1], key, sum(part[0] for part in parts), sum(part[2] for part in parts))
            for key, parts in by_key.items()
        ]
        return sorted(held, key=lambda entry: -entry[2])[:count]

    def held(self) -> dict[str, int]:
        """How many keys are counted, by tenant."""
        return {tenant: len(items) for tenant, items in self._items.items()}
