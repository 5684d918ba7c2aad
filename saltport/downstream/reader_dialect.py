"""What the dialects of client connections share: the state of the reader of their wire format."""

from __future__ import annotations

from typing import Generic, TypeVar

from saltport.wire.partial_message import MessageReader

ReaderT = TypeVar("ReaderT", bound=MessageReader)


class ReaderDialect(Generic[ReaderT]):
    """Base of the dialects, see ClientDialect."""

    def __init__(self, reader: ReaderT) -> None:
        self._reader = reader

    @property
    def needed_bytes(self) -> int:
        """Bytes that the partial command needs at least, counted from its start; 0 between commands."""
        return self._reader.needed_bytes

    @property
    def received_bytes(self) -> int:
        """Number of bytes kept of the partial command."""
        return self._reader.received_bytes

    @property
    def missing_bytes(self) -> int:
        """Bytes that the partial command needs at least beyond those received; 0 between commands."""
        return self._reader.missing_bytes

    @property
    def is_discarding(self) -> bool:
        """Whether the rest of the partial command is discarded."""
        return self._reader.is_discarding

    @property
    def discarded_command(self) -> tuple[bytes, int]:
        """The command that is discarded, without its long part, and how many bytes of that are to come."""
        return self._reader.discarded_message

    def resume_discarding(self, head: bytes, left: int) -> None:
        """Go on to discard the command of another parser, which had this `discarded_command`."""
        self._reader.resume_discarding(head, left)

    @property
    def partial_command(self) -> bytes:
        """The received bytes of the partial command, with which another parser can continue."""
        return self._reader.pending

    @property
    def end_reason(self) -> str:
        """The framing error that ended the stream; empty if there is none."""
        return self._reader.framing_error

    def discard(self) -> bool:
        """Discard what comes of the partial command, and return whether that is possible."""
        return self._reader.discard()

    def drop_partial(self) -> None:
        """Drop the partial command, as the connection has ended."""
        self._reader.drop_partial()
