"""A replicated log: entries after a snapshot. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec
from msgspec import Struct

ENTRY_HEAD = 12  # bytes of an entry beside its data


class Kind(IntEnum):
    """Of an entry."""

    EMPTY = 0
    """A new leader's first: what is before it is committed with it."""
    COMMAND = 1
    CONFIG = 2


class Entry(Struct, frozen=True, array_like=True):
    """One entry."""

    index: int
    term: int
    kind: int
    data: bytes = b""


class Voting(Struct, frozen=True, array_like=True):
    """Who votes, and who only learns."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """So many voters are a majority."""
        return len(self.voters) // 2 + 1

    @property
    def everyone(self) -> tuple[str, ...]:
        """Voters and learners."""
        return (*self.voters, *self.learners)


class Snapshot(Struct, frozen=True, array_like=True):
    """All that the entries up to an index made."""

    index: int
    term: int
    voting: Voting
    data: bytes = b""


class Vote(Struct, frozen=True, array_like=True):
    """What a voter must never forget beside its log."""

    term: int
    voted_for: str = ""


def pack(value: Voting) -> bytes:
    """For the data of an entry."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes) -> Voting:
    """The voting of an entry; raises ValueError."""
    return msgspec.msgpack.decode(data, type=Voting)


@dataclass(slots=True)
class Log:
    """The entries that are kept, and the snapshot before them."""

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None: it is not kept, or not there."""
        if index == self.snapshot.index:
            return self.snapshot.term
        place = index - self.snapshot.index - 1
        return self.entries[place].term if 0 <= place < len(self.entries) else None

    def after(self, index: int, most: int) -> list[Entry]:
        """Entries behind an index that is kept, up to so many bytes, but at least one if there is one."""
        found: list[Entry] = []
        for entry in self.entries[index - self.snapshot.index :]:
            most -= len(entry.data) + ENTRY_HEAD
            if found and most < 0:
                break
            found.append(entry)
        return found

    def first_of_term(self, index: int) -> int:
        """The first kept index of the term that the entry at this index has."""
        term = self.term_at(index)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: Sequence[Entry]) -> list[Entry]:
        """Take a leader's entries; what contradicts them goes. Returns those that are new."""
        for number, entry in enumerate(entries):
            held = self.term_at(entry.index)
            if entry.index <= self.snapshot.index or held == entry.term:
                continue
            if held is not None:
                del self.entries[entry.index - self.snapshot.index - 1 :]
            self.entries.extend(entries[number:])
            return list(entries[number:])
        return []

    def voting(self) -> tuple[int, Voting]:
        """The latest voting, committed or not, and the index of its entry (thesis, 4.1)."""
        for entry in reversed(self.entries):
            if entry.kind == Kind.CONFIG:
                return entry.index, unpack(entry.data)
        return self.snapshot.index, self.snapshot.voting

    def cut(self, snapshot: Snapshot) -> None:
        """Put a snapshot in the place of what it covers."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.snapshot.index :]
        else:
            self.entries = []
        self.snapshot = snapshot
