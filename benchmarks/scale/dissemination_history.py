"""Records the history of a simulation and checks it, independent of the dissemination protocol.

Each router must apply the committed records of a topic one by one in the order of commitment, from its
starting position.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

NS_PER_MS = 1_000_000
BUCKET_COUNT = 200_000  # of one millisecond each


class AppliedRecord(Protocol):
    """A record that a router reports as applied."""

    @property
    def topic(self) -> int:
        """Topic of the record."""

    @property
    def record(self) -> bytes:
        """Content of the record."""


@dataclass(slots=True)
class Delays:
    """A histogram of delays with buckets of one millisecond."""

    counts: dict[int, int] = field(default_factory=dict)
    total: int = 0

    def add(self, delay: int) -> None:
        """Add a delay in nanoseconds."""
        bucket = -(-delay // NS_PER_MS)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1
        self.total += 1

    def above(self, seconds: float) -> int:
        """Return the number of delays over this many seconds."""
        return sum(count for bucket, count in self.counts.items() if bucket > seconds * 1_000)

    def percentile(self, share: float) -> float:
        """Return the seconds that this share of the delays does not exceed."""
        remaining = share * self.total
        for bucket in sorted(self.counts):
            remaining -= self.counts[bucket]
            if remaining <= 0:
                return bucket / 1_000
        return 0.0


@dataclass(slots=True)
class _Committed:
    """The committed records of a topic, in order."""

    records: list[bytes] = field(default_factory=list)
    submitted_at: list[int] = field(default_factory=list)
    committed_at: list[int] = field(default_factory=list)
    """Times of commitment."""
    indices: dict[bytes, int] = field(default_factory=dict)
    record_counts: dict[int, int] = field(default_factory=dict)
    """Number of records up to and including each entry."""


class History:
    """The events of a simulation, reported in order of time; violations are collected in `faults`."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.delays = Delays()
        """From submission to each application, at routers that were running and caught up."""
        self.catch_up_delays = Delays()
        """From a router's return to the application of records submitted while it was away or catching up."""
        self.last_delays: dict[tuple[int, bytes], int] = {}
        """Longest delay of each record at a router that was running all the time."""
        self._submitted_at: dict[tuple[int, bytes], int] = {}
        self._committed: dict[int, _Committed] = {}
        self._positions: dict[int, dict[int, int]] = {}
        self._returned_at: dict[int, int] = {}
        self._caught_up: dict[int, int] = {}
        """Times at which returned routers applied the last record committed before their return."""
        self._arrivals: dict[tuple[int, bytes], int] = {}

    def _fault(self, text: str) -> None:
        if len(self.faults) < 100:
            self.faults.append(text)

    def submitted(self, topic: int, record: bytes, now: int) -> None:
        """Record the submission of a change; each record must be unique."""
        self._submitted_at[topic, record] = now

    def committed(self, topic: int, number: int, records: Sequence[bytes], now: int) -> None:
        """Record that the voters committed an entry with these records."""
        log = self._committed.setdefault(topic, _Committed())
        for record in records:
            if record in log.indices:
                self._fault(f"committed twice: {record!r}")
            log.indices[record] = len(log.records)
            log.records.append(record)
            log.committed_at.append(now)
            log.submitted_at.append(self._submitted_at.get((topic, record), now))
        log.record_counts[number] = len(log.records)

    def start(self, node: int, now: int) -> None:
        """Record the start of a router's process without state."""
        self._positions[node] = {}
        self._caught_up.pop(node, None)
        self._returned_at[node] = now

    def end(self, node: int) -> None:
        """Record the end of a router's process."""
        self._positions.pop(node, None)

    def exclude_until(self, node: int, returned_at: int) -> None:
        """Treat a router as away until this time."""
        self._returned_at[node] = max(returned_at, self._returned_at.get(node, 0))

    def snapshot_loaded(self, node: int, topic: int, number: int) -> None:
        """Record that a router loaded a snapshot of the state after an entry."""
        record_count = self._committed.get(topic, _Committed()).record_counts.get(number)
        if record_count is None:
            self._fault(f"router {node} loaded a snapshot of what isn't committed: {topic}/{number}")
            return
        positions = self._positions[node]
        if record_count < positions.get(topic, 0):
            self._fault(f"router {node} went back by a snapshot")
        positions[topic] = record_count

    def applied(self, node: int, records: Iterable[AppliedRecord], now: int) -> None:
        """Record and check that a router applied these records in this order."""
        positions, returned_at = self._positions[node], self._returned_at[node]
        for applied in records:
            topic, record = applied.topic, applied.record
            log = self._committed.get(topic)
            index = None if log is None else log.indices.get(record)
            if log is None or index is None:
                self._fault(f"router {node} applied what was never committed: {record!r}")
                continue
            expected = positions.get(topic, 0)
            if index < expected:
                self._fault(f"router {node} applied {record!r} twice or late")
                continue
            if index > expected:
                self._fault(f"router {node} applied {record!r} before {index - expected} others")
            positions[topic] = index + 1
            submitted_at = log.submitted_at[index]
            if log.committed_at[index] <= returned_at <= now:
                self._caught_up[node] = now
            if max(returned_at, self._caught_up.get(node, 0)) > submitted_at:
                if now >= returned_at:
                    self.catch_up_delays.add(now - returned_at)
                continue
            delay = now - submitted_at
            self.delays.add(delay)
            key = (topic, record)
            if delay > self.last_delays.get(key, -1):
                self.last_delays[key] = delay

    def check_freshness(self, node: int, topic: int, now: int, max_age: int) -> None:
        """Check that a router that may serve has applied all records of a topic older than `max_age`."""
        log = self._committed.get(topic)
        if log is None:
            return
        required = bisect_left(log.committed_at, now - max_age)
        position = self._positions[node].get(topic, 0)
        if position < required:
            self._fault(f"router {node} serves topic {topic} without {required - position} old records")

    def arrived(self, topic: int, record: bytes, now: int) -> None:
        """Record the arrival of a record at one more router, for protocols without order."""
        key = (topic, record)
        delay = now - self._submitted_at[key]
        self.delays.add(delay)
        self.last_delays[key] = max(delay, self.last_delays.get(key, 0))
        self._arrivals[key] = self._arrivals.get(key, 0) + 1

    def finish_unordered(self, routers: int) -> list[str]:
        """Check at the end, for protocols without order, that each router received each record."""
        for record in self._submitted_at:
            missing = routers - self._arrivals.get(record, 0)
            if missing:
                self._fault(f"{missing} routers lack {record[1]!r}")
        return self.faults

    def finish(self) -> list[str]:
        """Check at the end of a simulation that no router lacks a record; return all faults.

        Enough time must have passed since the last change.
        """
        for node, positions in self._positions.items():
            for topic, log in self._committed.items():
                missing = len(log.records) - positions.get(topic, 0)
                if missing:
                    self._fault(f"router {node} lacks the last {missing} records of topic {topic}")
        for (topic, record), _ in self._submitted_at.items():
            if record not in self._committed.get(topic, _Committed()).indices:
                self._fault(f"never committed: {record!r}")
        return self.faults

    def longest_delay_s(self, topic: int | None = None) -> float:
        """Return the longest delay in seconds from submission to application of a record.

        Only routers that were running all the time count. `topic`: only records of this numbered stream.
        """
        delays = [
            delay for (record_topic, _), delay in self.last_delays.items() if topic in (None, record_topic)
        ]
        return max(delays, default=0) / (1_000 * NS_PER_MS)
