"""The logs of all topics with their states: applies what is in order, answers fetches, makes snapshots."""

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

PART_BYTES = 160  # bytes of a snapshot in one message
MAX_PARTS = 4_096
SNAPSHOT_REUSE_ENTRIES = (
    64  # entries after which one of several parts is made anew: its parts belong together
)

States = Callable[[int], TopicState | None]
"""Makes a topic's state; None: this release doesn't know the topic."""


@dataclass(frozen=True, slots=True)
class Applied:
    """A record that was given to its topic's state, in order."""

    topic: int
    epoch: int
    number: int
    index: int
    record: bytes
    reason: str
    """Why it was refused; empty: it is in force."""


@dataclass(frozen=True, slots=True)
class Answer:
    """To a fetch."""

    messages: tuple[Message, ...]
    lacking: tuple[int, ...]
    """Not here either."""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    number: int
    epoch: int
    data: bytes

    @property
    def parts(self) -> int:
        return max(-(-len(self.data) // PART_BYTES), 1)

    def part(self, topic: int, part: int) -> SnapshotPart:
        data = self.data[part * PART_BYTES : (part + 1) * PART_BYTES]
        return SnapshotPart(topic, self.epoch, self.number, part, self.parts, data)


class TopicStore:
    """Logs and states by topic, at most `most_topics` of them."""

    def __init__(self, settings: DisseminationSettings, states: States) -> None:
        self._settings, self._make_state = settings, states
        self.logs: dict[int, TopicLog] = {}
        self.states: dict[int, TopicState] = {}
        self._snapshots: dict[int, _Snapshot] = {}

    def log(self, topic: int) -> TopicLog | None:
        """A topic's log, begun if it isn't known yet; None: there are too many."""
        log = self.logs.get(topic)
        if log is None and len(self.logs) < self._settings.max_topics:
            log = self.logs[topic] = TopicLog(self._settings.retained_entries, self._settings.pending_entries)
            self.states[topic] = self._make_state(topic) or UnknownTopic()
        return log

    def heads(self) -> tuple[Head, ...]:
        """The last entry in order of each topic."""
        return tuple(Head(topic, log.last) for topic, log in self.logs.items() if log.last)

    def offer(self, entry: Entry) -> tuple[OfferResult, list[Applied]]:
        """Take an entry, and apply what is in order now."""
        log = self.log(entry.topic)
        if log is None:
            return OfferResult.DROPPED, []
        offer = log.offer(entry)
        return offer, self._apply(log) if offer is OfferResult.APPENDED else []

    def _apply(self, log: TopicLog) -> list[Applied]:
        return [
            Applied(entry.topic, entry.epoch, entry.number, index, record,
                    self.states[entry.topic].apply(entry.number, record))
            for entry in log.take_ready()
            for index, record in enumerate(entry.records)
        ]  # fmt: skip

    def answer(self, fetch: Fetch) -> Answer:
        """Entries that are here; the snapshot's first part where they are truncated or it is asked for."""
        log = self.logs.get(fetch.topic)
        numbers = fetch.numbers[: self._settings.fetch_entries]
        if log is None or (not numbers and not log.last):
            return Answer((), numbers)
        if not numbers or any(map(log.truncated, numbers)):
            part = self._first_part(fetch.topic, log)
            return Answer((part,) if part else (), ())
        found = [(number, log.get(number)) for number in numbers]
        return Answer(
            tuple(Repair(entry) for _, entry in found if entry is not None),
            tuple(number for number, entry in found if entry is None),
        )

    def _first_part(self, topic: int, log: TopicLog) -> SnapshotPart | None:
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
        """Parts of the snapshot that is kept; none, if it is another by now: the asker begins anew."""
        snapshot = self._snapshots.get(fetch.topic)
        if snapshot is None or snapshot.number != fetch.number:
            return []
        asked = fetch.parts[: self._settings.fetch_entries]
        return [snapshot.part(fetch.topic, part) for part in asked if 0 <= part < snapshot.parts]

    def load(self, topic: int, number: int, epoch: int, data: bytes) -> list[Applied]:
        """Start a topic from a snapshot, and apply what was pending beyond it; raises ValueError."""
        log = self.log(topic)
        if log is None:
            return []
        self.states[topic].load(number, data)
        self._snapshots.pop(topic, None)
        log.reset(number, epoch)
        return self._apply(log)
