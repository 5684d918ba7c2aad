"""Logs and states of all topics: applies entries in order, answers fetches, and makes snapshots."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from saltport.dissemination.log import OfferResult, TopicLog
from saltport.dissemination.messages import (
    Entry,
    Fetch,
    FetchSnapshotParts,
    Head,
    Message,
    Repair,
    SnapshotPart,
)
from saltport.dissemination.settings import DisseminationSettings
from saltport.dissemination.states import TopicState, UnknownTopic

PART_BYTES = 160  # size of a snapshot's part, so that it fits a message
MAX_PARTS = 4_096  # limit of the parts of a snapshot
# A snapshot of several parts is replaced only after so many further entries: its parts must belong together.
SNAPSHOT_REUSE_ENTRIES = 64

StateFactory = Callable[[int], TopicState | None]
"""Create a topic's state, or return None if this release does not know the topic."""


@dataclass(frozen=True, slots=True)
class AppliedRecord:
    """A record that was passed to its topic's state."""

    topic: int
    epoch: int
    number: int
    index: int
    record: bytes
    reason: str
    """Why the state refused the record; empty if it took effect."""


@dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Answer to a fetch."""

    messages: tuple[Message, ...]
    missing_numbers: tuple[int, ...]
    """Requested entry numbers that are missing here too."""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """An encoded topic state after entry `number`, split into parts."""

    number: int
    epoch: int
    data: bytes

    @property
    def parts(self) -> int:
        """Number of parts of the snapshot, at least 1."""
        return max(-(-len(self.data) // PART_BYTES), 1)

    def part(self, topic: int, part: int) -> SnapshotPart:
        """Return the message with the part of this number, counted from 0."""
        data = self.data[part * PART_BYTES : (part + 1) * PART_BYTES]
        return SnapshotPart(topic, self.epoch, self.number, part, self.parts, data)


class TopicStore:
    """Logs and states by topic, for at most `max_topics` topics."""

    def __init__(self, settings: DisseminationSettings, states: StateFactory) -> None:
        self._settings, self._make_state = settings, states
        self.logs: dict[int, TopicLog] = {}
        self.states: dict[int, TopicState] = {}
        self._snapshots: dict[int, _Snapshot] = {}

    def log(self, topic: int) -> TopicLog | None:
        """Return a topic's log, created if new, or None if there are too many topics."""
        log = self.logs.get(topic)
        if log is None and len(self.logs) < self._settings.max_topics:
            log = self.logs[topic] = TopicLog(self._settings.retained_entries, self._settings.pending_entries)
            self.states[topic] = self._make_state(topic) or UnknownTopic()
        return log

    def heads(self) -> tuple[Head, ...]:
        """Return the number of the last entry in order of each topic that has entries."""
        return tuple(Head(topic, log.last) for topic, log in self.logs.items() if log.last)

    def offer(self, entry: Entry) -> tuple[OfferResult, list[AppliedRecord]]:
        """Add an entry to its log, and apply the entries that are now in order.

        Return the result of the offer, and the records that were passed to the topic's state.
        """
        log = self.log(entry.topic)
        if log is None:
            return OfferResult.DROPPED, []
        offer = log.offer(entry)
        return offer, self._apply(log) if offer is OfferResult.APPENDED else []

    def _apply(self, log: TopicLog) -> list[AppliedRecord]:
        """Apply the entries of a log that are now in order to the topic's state."""
        return [
            AppliedRecord(entry.topic, entry.epoch, entry.number, index, record,
                    self.states[entry.topic].apply(entry.number, record))
            for entry in log.take_ready()
            for index, record in enumerate(entry.records)
        ]  # fmt: skip

    def answer(self, fetch: Fetch) -> FetchAnswer:
        """Return the answer to a fetch: the requested entries that are in the log.

        If a snapshot is requested, or a requested entry was already removed from the start of the log, it is
        the first part of a snapshot instead.
        """
        log = self.logs.get(fetch.topic)
        numbers = fetch.numbers[: self._settings.fetch_entries]
        if log is None or (not numbers and not log.last):
            return FetchAnswer((), numbers)
        if not numbers or any(map(log.truncated, numbers)):
            part = self._first_part(fetch.topic, log)
            return FetchAnswer((part,) if part else (), ())
        found = [(number, log.get(number)) for number in numbers]
        return FetchAnswer(
            tuple(Repair(entry) for _, entry in found if entry is not None),
            tuple(number for number, entry in found if entry is None),
        )

    def _first_part(self, topic: int, log: TopicLog) -> SnapshotPart | None:
        """Return part 0 of a recent snapshot, made anew if needed; None if the topic has no snapshots."""
        snapshot = self._snapshots.get(topic)
        age = SNAPSHOT_REUSE_ENTRIES if snapshot is not None and snapshot.parts > 1 else 0
        if snapshot is None or snapshot.number + age < log.last:
            try:
                snapshot = _Snapshot(log.last, log.last_epoch, self.states[topic].save())
            except NotImplementedError:
                return None
            if snapshot.parts > MAX_PARTS:
                return None
            self._snapshots[topic] = snapshot
        return snapshot.part(topic, 0)

    def parts(self, fetch: FetchSnapshotParts) -> list[SnapshotPart]:
        """Return parts of the stored snapshot; none if it was replaced, so that the requester starts over."""
        snapshot = self._snapshots.get(fetch.topic)
        if snapshot is None or snapshot.number != fetch.number:
            return []
        requested = fetch.parts[: self._settings.fetch_entries]
        return [snapshot.part(fetch.topic, part) for part in requested if 0 <= part < snapshot.parts]

    def load(self, topic: int, number: int, epoch: int, data: bytes) -> list[AppliedRecord]:
        """Load a topic's snapshot, and apply pending entries after it; raise ValueError if unreadable."""
        log = self.log(topic)
        if log is None:
            return []
        self.states[topic].load(number, data)
        self._snapshots.pop(topic, None)
        log.reset(number, epoch)
        return self._apply(log)
