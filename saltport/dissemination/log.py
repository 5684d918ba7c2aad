"""One topic's log at a router or voter: entries ordered by number, each accepted once. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto

from saltport.dissemination.messages import Entry


class OfferResult(Enum):
    """Result of offering an entry to a log."""

    APPENDED = auto()
    PENDING = auto()
    """Stored until the gap before it is filled."""
    DUPLICATE = auto()
    DROPPED = auto()
    """Not stored: too far beyond the gap, so to be fetched later, or of one topic too many."""
    DIVERGED = auto()
    """Its predecessor differs from the entry in this log, which only a snapshot can repair."""


class TopicLog:
    """Entries in order up to `last`, of which the latest are retained, and pending ones beyond a gap."""

    def __init__(self, retained: int, pending: int) -> None:
        self.last = 0
        """Number of the last entry in order."""
        self.last_epoch = 0
        self.head = 0
        """Highest entry number known to exist."""
        self.diverged = False
        """Whether an offered entry contradicted this log; cleared by `reset`."""
        self._retained: dict[int, Entry] = {}
        self._pending: dict[int, Entry] = {}
        self._max_retained, self._max_pending = retained, pending
        self._ready: list[Entry] = []

    def offer(self, entry: Entry) -> OfferResult:
        """Accept an entry; entries that are now in order are returned by `take_ready`."""
        if entry.number > self.head:
            self.head = entry.number
        if entry.number <= self.last or entry.number in self._pending:
            return OfferResult.DUPLICATE
        if entry.number > self.last + 1:
            if entry.number > self.last + self._max_pending:
                return OfferResult.DROPPED
            self._pending[entry.number] = entry
            return OfferResult.PENDING
        if not self._append(entry):
            return OfferResult.DIVERGED
        while (following := self._pending.pop(self.last + 1, None)) is not None:
            if not self._append(following):
                break
        return OfferResult.APPENDED

    def _append(self, entry: Entry) -> bool:
        """Append the next entry; return False, and mark the log diverged, if it contradicts the last."""
        if entry.previous_epoch != self.last_epoch or entry.epoch < self.last_epoch:
            self.diverged = True
            return False
        self.last, self.last_epoch = entry.number, entry.epoch
        self._retained[entry.number] = entry
        self._retained.pop(entry.number - self._max_retained, None)
        self._ready.append(entry)
        return True

    def take_ready(self) -> list[Entry]:
        """Return the entries to apply, in order, and clear them."""
        ready, self._ready = self._ready, []
        return ready

    def get(self, number: int) -> Entry | None:
        """Return a retained or pending entry, or None."""
        return self._retained.get(number) or self._pending.get(number)

    def truncated(self, number: int) -> bool:
        """Whether an entry has been removed from the log, which retains only the latest entries."""
        return number <= self.last and number not in self._retained

    def missing(self, limit: int) -> tuple[int, ...]:
        """Return the lowest numbers, at most `limit`, of the entries that exist but are not in this log."""
        found: list[int] = []
        number, end = self.last + 1, min(self.head, self.last + self._max_pending)
        while number <= end and len(found) < limit:
            if number not in self._pending:
                found.append(number)
            number += 1
        return tuple(found)

    def learn_head(self, number: int) -> bool:
        """Note that an entry of this number exists; return whether entries are missing."""
        if number > self.head:
            self.head = number
        return self.head > self.last

    def reset(self, number: int, epoch: int) -> None:
        """Restart after the last entry of a snapshot; later pending entries stay."""
        remaining = [entry for entry in self._pending.values() if entry.number > number]
        self.last, self.last_epoch, self.diverged = number, epoch, False
        self.head = max(self.head, number)
        self._retained.clear()
        self._pending.clear()
        self._ready.clear()
        self._offer_all(sorted(remaining, key=lambda entry: entry.number))

    def _offer_all(self, entries: Iterable[Entry]) -> None:
        """Offer entries to this log one after the other."""
        for entry in entries:
            self.offer(entry)
