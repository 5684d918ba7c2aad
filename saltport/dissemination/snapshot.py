"""Collects the parts of a snapshot. No I/O."""

from __future__ import annotations

from saltport.dissemination.messages import FetchSnapshotParts, SnapshotPart
from saltport.dissemination.settings import DisseminationSettings
from saltport.dissemination.topic_store import MAX_PARTS

MAX_TRIES = 12  # fetches of parts in a row without an answer, after which it is begun anew elsewhere


class SnapshotTransfer:
    """Of one topic, from one node; at most `MOST_PARTS` parts are held."""

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
        """Whether a transfer may begin with this part."""
        return 0 < part.parts <= MAX_PARTS and 0 <= part.part < part.parts

    @property
    def complete(self) -> bool:
        """Whether all parts are here."""
        return len(self._parts) == self._total

    @property
    def failed(self) -> bool:
        """Whether its source gave up, or has another snapshot by now."""
        return self._tries >= MAX_TRIES

    @property
    def data(self) -> bytes:
        """All of it."""
        return b"".join(self._parts[part] for part in range(self._total))

    def add(self, part: SnapshotPart, now: int) -> None:
        """Take a part; parts of another snapshot are left."""
        if (part.number, part.epoch, part.parts) != (self.number, self.epoch, self._total):
            return
        if 0 <= part.part < self._total and part.part not in self._parts:
            self._parts[part.part] = part.data
            self._tries = 0
            if not len(self._parts) % self._settings.fetch_entries:
                self.due = now

    def next_fetch(self, now: int) -> FetchSnapshotParts:
        """For the next parts that are missing."""
        missing = (part for part in range(self._total) if part not in self._parts)
        asked = tuple(part for part, _ in zip(missing, range(self._settings.fetch_entries), strict=False))
        self._tries += 1
        self.due = now + self._settings.region_retry * min(self._tries, 6)
        return FetchSnapshotParts(self.topic, self.number, asked)
