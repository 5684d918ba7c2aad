"""Transfer of a snapshot in parts. No I/O."""

from __future__ import annotations

from saltport.dissemination.messages import FetchSnapshotParts, SnapshotPart
from saltport.dissemination.settings import DisseminationSettings
from saltport.dissemination.topic_store import MAX_PARTS

MAX_TRIES = 12  # unanswered fetches in a row, after which the transfer restarts from another node


class SnapshotTransfer:
    """Transfer of one topic's snapshot from one node, of at most `MAX_PARTS` parts."""

    def __init__(self, first: SnapshotPart, source: int, settings: DisseminationSettings, now: int) -> None:
        self.topic, self.number, self.epoch = first.topic, first.number, first.epoch
        self.source = source
        self.due = now
        self._settings = settings
        self._parts: dict[int, bytes] = {}
        self._total = first.parts
        self._tries = 0
        self.add(first, now)

    @staticmethod
    def acceptable(part: SnapshotPart) -> bool:
        """Whether a transfer may start with this part."""
        return 0 < part.parts <= MAX_PARTS and 0 <= part.part < part.parts

    @property
    def complete(self) -> bool:
        """Whether all parts have arrived."""
        return len(self._parts) == self._total

    @property
    def failed(self) -> bool:
        """Whether the source stopped answering, as when it has replaced the snapshot."""
        return self._tries >= MAX_TRIES

    @property
    def data(self) -> bytes:
        """The snapshot's bytes; call only when `complete`."""
        return b"".join(self._parts[part] for part in range(self._total))

    def add(self, part: SnapshotPart, now: int) -> None:
        """Store a part; ignore parts of another snapshot."""
        if (part.number, part.epoch, part.parts) != (self.number, self.epoch, self._total):
            return
        if 0 <= part.part < self._total and part.part not in self._parts:
            self._parts[part.part] = part.data
            self._tries = 0
            if not len(self._parts) % self._settings.fetch_entries:
                self.due = now

    def next_fetch(self, now: int) -> FetchSnapshotParts:
        """Return a request for the next missing parts, and schedule the next one."""
        missing = (part for part in range(self._total) if part not in self._parts)
        requested = tuple(part for part, _ in zip(missing, range(self._settings.fetch_entries), strict=False))
        self._tries += 1
        self.due = now + self._settings.region_retry * min(self._tries, 6)
        return FetchSnapshotParts(self.topic, self.number, requested)
