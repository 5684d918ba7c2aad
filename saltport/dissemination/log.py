"""One topic's log at a router or voter: entries in the order of their numbers, each taken once. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto

from saltport.dissemination.messages import Entry


class OfferResult(Enum):
    """What became of an entry that came."""

    APPENDED = auto()
    PENDING = auto()
    """It is held until the gap before it is filled."""
    DUPLICATE = auto()
    DROPPED = auto()
    """Too far beyond the gap: dropped, to be fetched later."""
    DIVERGED = auto()
    """Its predecessor isn't the one that is here: only a snapshot mends that."""


class TopicLog:
    """Applied entries up to `last`, the latest of them retained, and pending ones beyond a gap."""

    def __init__(self, retained: int, pending: int) -> None:
        self.last = 0
        """Number of the last entry in order."""
        self.last_epoch = 0
        self.head = 0
        """The highest number that is known to exist."""
        self.diverged = False
        self._retained: dict[int, Entry] = {}
        self._pending: dict[int, Entry] = {}
        self._max_retained, self._max_pending = retained, pending
        self._ready: list[Entry] = []

    def offer(self, entry: Entry) -> OfferResult:
        """Take an entry; those that are in order now wait for `take`."""
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
        if entry.previous_epoch != self.last_epoch or entry.epoch < self.last_epoch:
            self.diverged = True
            return False
        self.last, self.last_epoch = entry.number, entry.epoch
        self._retained[entry.number] = entry
        self._retained.pop(entry.number - self._max_retained, None)
        self._ready.append(entry)
        return True

    def take_ready(self) -> list[Entry]:
        """Entries to be applied, in order, each given out once."""
        ready, self._ready = self._ready, []
        return ready

    def get(self, number: int) -> Entry | None:
        """An entry that is here, in order or pending."""
        return self._retained.get(number) or self._pending.get(number)

    def truncated(self, number: int) -> bool:
        """Whether this entry was here in order and is retained no more."""
        return number <= self.last and number not in self._retained

    def missing(self, limit: int) -> tuple[int, ...]:
        """The first numbers that are known to exist and aren't here."""
        found: list[int] = []
        number, end = self.last + 1, min(self.head, self.last + self._max_pending)
        while number <= end and len(found) < limit:
            if number not in self._pending:
                found.append(number)
            number += 1
        return tuple(found)

    def learn_head(self, number: int) -> bool:
        """An entry of this number exists; returns whether something is missing."""
        if number > self.head:
            self.head = number
        return self.head > self.last

    def reset(self, number: int, epoch: int) -> None:
        """Start from a snapshot taken after this entry; pending entries that follow it are kept."""
        remaining = [entry for entry in self._pending.values() if entry.number > number]
        self.last, self.last_epoch, self.diverged = number, epoch, False
        self.head = max(self.head, number)
        self._retained.clear()
        self._pending.clear()
        self._ready.clear()
        self._offer_all(sorted(remaining, key=lambda entry: entry.number))

    def _offer_all(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            self.offer(entry)
