"""What owners and the steward say to one another, beside the log's own messages."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from saltport.owners import raft
from saltport.owners.record import Session


class Renew(Struct, frozen=True, array_like=True, tag=16):
    """A session's question for its lease. `sent`: by its own clock, to be given back."""

    session: Session
    sent: int
    digest: int
    """Of what it holds."""
    back: tuple[str, ...] = ()
    """What it has stopped working on."""
    wants: tuple[str, ...] = ()


class Renewed(Struct, frozen=True, array_like=True, tag=17):
    """The lease goes on."""

    session: Session
    sent: int
    back: tuple[str, ...] = ()
    """What it should give back."""
    done: tuple[str, ...] = ()
    """What it gave back is noted."""


class Rows(Struct, frozen=True, array_like=True, tag=18):
    """Pieces that are this session's, with their epochs."""

    session: Session
    rows: tuple[tuple[str, int], ...]


class Resign(Struct, frozen=True, array_like=True, tag=19):
    """A session has ended by itself: all that it held may be given on at once."""

    session: Session


class Elsewhere(Struct, frozen=True, array_like=True, tag=20):
    """Ask this voter instead; empty: nobody leads."""

    leader: str


Message = raft.Message | Renew | Renewed | Rows | Resign | Elsewhere
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The bytes on the wire, within whatever carries them."""
    return msgspec.msgpack.encode(message)


def decode(told: bytes) -> Message:
    """Read a message; raises ValueError for anything else."""
    return _decoder.decode(told)
