"""The replicated Raft log: a snapshot and the entries after it. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec
from msgspec import Struct

ENTRY_OVERHEAD_BYTES = 12  # encoded size of an entry without its data


class EntryKind(IntEnum):
    """Kind of a log entry."""

    NO_OP = 0
    """First entry of a new leader; committing it commits the entries before it."""
    COMMAND = 1
    CONFIGURATION = 2


class Entry(Struct, frozen=True, array_like=True):
    """An entry of the replicated log, identified by its index; `term` is the term of its leader."""

    index: int
    term: int
    kind: int
    data: bytes = b""


class Configuration(Struct, frozen=True, array_like=True):
    """Cluster configuration: the voters, and the learners, which replicate without voting."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[str, ...]:
        """All voters and learners."""
        return (*self.voters, *self.learners)


class Snapshot(Struct, frozen=True, array_like=True):
    """State of the state machine after the entries up to `index`."""

    index: int
    term: int
    configuration: Configuration
    data: bytes = b""


class Vote(Struct, frozen=True, array_like=True):
    """Raft's persistent state beside the log: the current term and the vote in it."""

    term: int
    voted_for: str = ""


def encode_configuration(value: Configuration) -> bytes:
    """Return the data of a configuration entry."""
    return msgspec.msgpack.encode(value)


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration in the data of an entry; raises ValueError."""
    return msgspec.msgpack.decode(data, type=Configuration)


@dataclass(slots=True)
class Log:
    """A snapshot and the entries after it."""

    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if the log does not contain it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def entries_after(self, index: int, max_bytes: int) -> list[Entry]:
        """Return the entries after `index`, up to `max_bytes` but at least one if there is any."""
        selected: list[Entry] = []
        for entry in self.entries[index - self.snapshot.index :]:
            max_bytes -= len(entry.data) + ENTRY_OVERHEAD_BYTES
            if selected and max_bytes < 0:
                break
            selected.append(entry)
        return selected

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in the log with the same term as the entry at `index`."""
        term = self.term_at(index)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: Sequence[Entry]) -> list[Entry]:
        """Store a leader's entries and drop conflicting ones; return the entries that are new."""
        for position, entry in enumerate(entries):
            known_term = self.term_at(entry.index)
            if entry.index <= self.snapshot.index or known_term == entry.term:
                continue
            if known_term is not None:
                del self.entries[entry.index - self.snapshot.index - 1 :]
            self.entries.extend(entries[position:])
            return list(entries[position:])
        return []

    def configuration(self) -> tuple[int, Configuration]:
        """Return the latest configuration, committed or not (thesis, 4.1), as (index, configuration).

        The index is that of the entry that set it, or of the snapshot if no entry after the snapshot did.
        """
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.CONFIGURATION:
                return entry.index, decode_configuration(entry.data)
        return self.snapshot.index, self.snapshot.configuration

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the entries that a snapshot covers by the snapshot."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.snapshot.index :]
        else:
            self.entries = []
        self.snapshot = snapshot
