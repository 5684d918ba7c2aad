"""The model of a simulated server, without I/O: cache store, cores and queue, cold start, duplicate writes.

All times are nanoseconds on the caller's monotonic clock; work is in milliseconds of one core at full speed.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict, deque
from dataclasses import dataclass

NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class StoredObject:
    """A cached value: only its version and size, as its bytes are generated for each request."""

    version: int
    size: int
    expires_at: int = 0
    """Expiry time in nanoseconds; 0: never."""


class LruStore:
    """The objects of one node, up to `capacity` bytes, with least-recently-used eviction."""

    def __init__(self, capacity: int) -> None:
        self.capacity, self.used = capacity, 0
        self._objects: OrderedDict[str, StoredObject] = OrderedDict()

    def __len__(self) -> int:
        return len(self._objects)

    def get(self, key: str, now: int = 0) -> StoredObject | None:
        """Return the object and mark it as recently used; None if missing or expired."""
        stored = self._objects.get(key)
        if stored is not None and 0 < stored.expires_at <= now:
            self.remove(key)
            return None
        if stored is not None:
            self._objects.move_to_end(key)
        return stored

    def put(self, key: str, stored: StoredObject) -> None:
        """Store an object, evicting others to make room; one larger than the capacity is not stored."""
        self.remove(key)
        if stored.size > self.capacity:
            return
        self._objects[key] = stored
        self.used += stored.size
        while self.used > self.capacity:
            _, dropped = self._objects.popitem(last=False)
            self.used -= dropped.size

    def remove(self, key: str) -> None:
        """Remove one object, if present."""
        stored = self._objects.pop(key, None)
        if stored is not None:
            self.used -= stored.size

    def flush(self, share: float, rng: random.Random) -> int:
        """Remove a random share of the objects and return how many were removed."""
        keys = [key for key in self._objects if rng.random() < share]
        for key in keys:
            self.remove(key)
        return len(keys)


class WarmUp:
    """The capacity of a restarted node: grows linearly from the share `cold_from` to 1 within `cold_ns`."""

    def __init__(self, started: int | None, cold_from: float, cold_ns: int) -> None:
        self.started, self.cold_from, self.cold_ns = started, cold_from, cold_ns

    def capacity_share(self, now: int) -> float:
        """Return the share of full capacity at this time; 1 if there is no start time."""
        if self.started is None or now - self.started >= self.cold_ns:
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(now - self.started, 0) / self.cold_ns


class Cores:
    """A first-in, first-out queue served by several cores, each with one request at a time."""

    def __init__(self, cores: int, queue: int, crowding: float = 0.0) -> None:
        """`crowding`: share by which a full queue lengthens work, in proportion with a shorter queue."""
        self._free_at = [0] * cores
        self._queue, self._crowding = queue, crowding
        self._queued_starts: deque[int] = deque()
        self.slowdown = 1.0
        """Factor by which a fault lengthens all work."""

    def queue_length(self, now: int) -> int:
        """Return the number of requests that wait for a core."""
        while self._queued_starts and self._queued_starts[0] <= now:
            self._queued_starts.popleft()
        return len(self._queued_starts)

    def schedule(self, now: int, work_ms: float, capacity_share: float) -> int | None:
        """Enqueue a request and return its completion time, or None if the queue is full."""
        queue_length = self.queue_length(now)
        if queue_length >= self._queue:
            return None
        work_ms *= 1 + self._crowding * queue_length / self._queue
        start = max(heapq.heappop(self._free_at), now)
        done = start + int(work_ms * NS_PER_MS * self.slowdown / capacity_share)
        heapq.heappush(self._free_at, done)
        if start > now:
            self._queued_starts.append(start)
        return done


class ColdStartBudget:
    """Detects when a cold node gets more work than it can survive.

    The limit on the work sent within a window of time is the work that the node's cores can do in the window
    at their present capacity, times `multiple`.
    """

    def __init__(self, cores: int, multiple: float, window_ns: int) -> None:
        self._cores, self._multiple, self._window_ns = cores, multiple, window_ns
        self._sent: deque[tuple[int, float]] = deque()
        self._total_work_ms = 0.0

    def record_and_check(self, now: int, work_ms: float, capacity_share: float) -> bool:
        """Record work sent to the node; return whether the work within the last window exceeds the limit.

        `work_ms` is in milliseconds of one core at full speed, `capacity_share` the share of its full
        capacity that the node has at present.
        """
        self._sent.append((now, work_ms))
        self._total_work_ms += work_ms
        while self._sent[0][0] <= now - self._window_ns:
            self._total_work_ms -= self._sent.popleft()[1]
        return (
            self._total_work_ms > self._multiple * capacity_share * self._cores * self._window_ns / NS_PER_MS
        )


class DuplicateFilter:
    """The idempotency keys of recent writes, to detect duplicates within a time window."""

    def __init__(self) -> None:
        self._expires_at: dict[str, int] = {}
        self._order: deque[tuple[int, str]] = deque()

    def is_duplicate(self, key: str, window_ns: int, now: int) -> bool:
        """Whether a write with this key is within its window; if not, a window starts now."""
        while self._order and self._order[0][0] <= now:
            expires_at, expired = self._order.popleft()
            if self._expires_at.get(expired) == expires_at:
                del self._expires_at[expired]
        if key in self._expires_at:
            return True
        self._expires_at[key] = now + window_ns
        self._order.append((now + window_ns, key))
        return False


class LoadReport:
    """The load report of a node: smoothed latency and queue length, refreshed once per period."""

    def __init__(self, period_ns: int) -> None:
        self._period_ns = period_ns
        self._smoothed_latency_ms = 0.0
        self._next_refresh = 0
        self._text = b"latency_ms=0.000,queue=0"

    def record_latency(self, latency_ms: float) -> None:
        """Update the smoothed latency with one request's latency."""
        self._smoothed_latency_ms += (latency_ms - self._smoothed_latency_ms) / 8

    def text(self, now: int, queue_length: int) -> bytes:
        """Return the report in wire format, refreshed if its period has passed."""
        if now >= self._next_refresh:
            self._next_refresh = now + self._period_ns
            self._text = b"latency_ms=%.3f,queue=%d" % (self._smoothed_latency_ms, queue_length)
        return self._text
