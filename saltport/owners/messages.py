"""Messages between owners and the coordinator, and their encoding together with the Raft messages."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from saltport.owners import raft
from saltport.owners.assignments import Session


class Renew(Struct, frozen=True, array_like=True, tag=16):
    """A session's lease renewal; `sent_at` is by its own clock and is echoed in the reply."""

    session: Session
    sent_at: int
    digest: int
    """Digest of the tasks that the session owns."""
    returned: tuple[str, ...] = ()
    """Tasks that the session has stopped working on."""
    wanted: tuple[str, ...] = ()
    """Tasks that this router wants done, by whichever router owns them."""


class RenewReply(Struct, frozen=True, array_like=True, tag=17):
    """Reply to Renew: extends the session's lease, counted from the sending of the renewal.

    `sent_at` is copied from the renewal. The session must stop working on the `recalled` tasks and report
    them as returned; it need not report the `confirmed_returns` again.
    """

    session: Session
    sent_at: int
    recalled: tuple[str, ...] = ()
    """Tasks that the session must return."""
    confirmed_returns: tuple[str, ...] = ()
    """Tasks of the renewal's `returned` whose return the coordinator has recorded."""


class AssignedTasks(Struct, frozen=True, array_like=True, tag=18):
    """Tasks that are assigned to the session, with their epochs."""

    session: Session
    rows: tuple[tuple[str, int], ...]


class Resign(Struct, frozen=True, array_like=True, tag=19):
    """End of a session by itself: its tasks may be reassigned at once."""

    session: Session


class Redirect(Struct, frozen=True, array_like=True, tag=20):
    """Reply that names the voter to send renewals to; empty if no leader is known."""

    leader: str


Message = raft.Message | Renew | RenewReply | AssignedTasks | Resign | Redirect
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the encoded message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message; raises ValueError if it is invalid."""
    return _decoder.decode(data)
