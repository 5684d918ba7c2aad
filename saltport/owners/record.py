"""Which piece of work is whose, and since which epoch: what the log's commands make. No I/O.

An epoch is the index of the entry that gave the piece: it rises over all leaders, restarts and pieces.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

import msgspec
from msgspec import Struct

from saltport.owners.log import Entry, EntryKind

MOST_NAME = 64  # bytes of a piece's name: a row must fit an entry, and an entry a datagram
MOST_PIECES = 4_096


class Session(Struct, frozen=True, array_like=True, order=True):
    """An owner: a router, its process's start, and how often this process let its lease lapse."""

    name: str
    start: int
    lapse: int = 0


class Give(Struct, frozen=True, array_like=True, tag=0):
    """These pieces are this session's from now on; `was`: the epochs that the giver knew."""

    to: Session
    rows: tuple[tuple[str, int], ...]


class Drop(Struct, frozen=True, array_like=True, tag=1):
    """Nobody needs these pieces any more, if they still have these epochs."""

    rows: tuple[tuple[str, int], ...]


Command = Give | Drop
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def pack(command: Command) -> bytes:
    """For an entry."""
    return msgspec.msgpack.encode(command)


class Holding(Struct, frozen=True, array_like=True):
    """Of one piece."""

    owner: Session
    epoch: int


def mark(piece: str, epoch: int) -> int:
    """32 bits; the digest of what a session holds is all of them, exclusive-or."""
    return int.from_bytes(blake2b(f"{piece}/{epoch}".encode(), digest_size=4).digest())


@dataclass(slots=True)
class Record:
    """All holdings."""

    pieces: dict[str, Holding]
    digests: dict[Session, int]

    @classmethod
    def empty(cls) -> Record:
        """Nothing is given yet."""
        return cls({}, {})

    def apply(self, entry: Entry) -> list[tuple[str, Holding | None]]:
        """Take a committed entry; returns what changed, None: dropped.

        A row that names another epoch than the piece has was proposed on old knowledge, and changes nothing.
        """
        if entry.kind != EntryKind.COMMAND:
            return []
        command = _decoder.decode(entry.data)
        changed: list[tuple[str, Holding | None]] = []
        for piece, was in command.rows:
            held = self.pieces.get(piece)
            if (held.epoch if held else 0) != was or (held is None and len(self.pieces) >= MOST_PIECES):
                continue
            if held is not None:
                self.digests[held.owner] ^= mark(piece, held.epoch)
            if isinstance(command, Drop):
                self.pieces.pop(piece, None)
                changed.append((piece, None))
                continue
            given = Holding(command.to, entry.index)
            self.pieces[piece] = given
            self.digests[command.to] = self.digests.get(command.to, 0) ^ mark(piece, entry.index)
            changed.append((piece, given))
        self.digests = {session: digest for session, digest in self.digests.items() if digest}
        return changed

    def of(self, session: Session) -> dict[str, int]:
        """What a session holds, with epochs."""
        return {piece: held.epoch for piece, held in self.pieces.items() if held.owner == session}

    def save(self) -> bytes:
        """For a snapshot."""
        return msgspec.msgpack.encode(self.pieces)

    @classmethod
    def load(cls, data: bytes) -> Record:
        """From a snapshot; raises ValueError."""
        if not data:
            return cls.empty()
        pieces = msgspec.msgpack.decode(data, type=dict[str, Holding])
        digests: dict[Session, int] = {}
        for piece, held in pieces.items():
            digests[held.owner] = digests.get(held.owner, 0) ^ mark(piece, held.epoch)
        return cls(pieces, digests)
