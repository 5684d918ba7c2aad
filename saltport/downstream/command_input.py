"""The received bytes of one client connection on their way to commands, parsed in turns. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from saltport.deadline import Received
from saltport.downstream.turns import TURN_BYTES
from saltport.messages import Answers, ClientDialect, Message


class Turn(NamedTuple):
    """What one turn has parsed."""

    size: int
    """Number of bytes."""
    received: Received | None
    """When these bytes arrived, if that was recorded."""
    commands: list[tuple[Message, Answers]]
    """The commands that are now complete."""


class CommandInput:
    """Received bytes that are not parsed yet, in front of the parser of the connection's dialect."""

    __slots__ = ("_reads", "_unparsed", "dialect", "is_between_commands")

    def __init__(self, dialect: ClientDialect) -> None:
        self.dialect = dialect
        self._unparsed: bytes | bytearray = b""
        """The bytes of one read, or a buffer for those of several reads."""
        self.is_between_commands = True
        """Whether no byte waits and no command is partial."""
        self._reads: list[tuple[int, Received | None]] = []
        """How many bytes of each read wait, and when they arrived."""

    @property
    def backlog_bytes(self) -> int:
        """Number of bytes that wait to be parsed, in which whole commands may be."""
        return len(self._unparsed)

    @property
    def held_bytes(self) -> int:
        """Number of received bytes of commands that were not returned yet."""
        return self.backlog_bytes + self.dialect.received_bytes

    @property
    def is_partial(self) -> bool:
        """Whether the bytes so far end within a command."""
        return bool(self.dialect.needed_bytes)

    @property
    def missing_bytes(self) -> int:
        """Bytes that the partial command needs at least beyond those that were parsed; 0 between commands."""
        return self.dialect.missing_bytes

    @property
    def is_small(self) -> bool:
        """Whether the bytes that wait may be parsed at once, out of turn: few, or a part of a command.

        Danger: what is only discarded is read however little memory is free, so none of it may wait.
        """
        is_discarded = self.dialect.is_discarding and self.backlog_bytes <= self.missing_bytes
        return is_discarded or self.backlog_bytes < self.missing_bytes or self.held_bytes <= TURN_BYTES

    @property
    def unhandled(self) -> bytes:
        """All received bytes of commands that were not returned yet, for another parser to continue."""
        return self.dialect.partial_command + self._unparsed

    def resume_discarding(self, head: bytes, left: int) -> None:
        """Go on to discard the command of another parser."""
        self.dialect.resume_discarding(head, left)
        self.is_between_commands = False

    def add(self, data: bytes, received: Received | None) -> None:
        """Add the bytes of a read behind those that wait; `received`: when they arrived, if that is known."""
        self.is_between_commands = False
        if not self._unparsed:
            self._unparsed = data
        else:
            self._unparsed = (
                bytearray(self._unparsed) if isinstance(self._unparsed, bytes) else self._unparsed
            )
            self._unparsed += data
        self._reads.append((len(data), received))

    def set_received(self, received: Received) -> None:
        """Set when the bytes of the latest read arrived."""
        self._reads[-1] = self._reads[-1][0], received

    def parse_read(self, data: bytes) -> Turn:
        """Parse the few bytes of one read at once; nothing may wait before them."""
        commands = self.dialect.feed(data)
        self.is_between_commands = not self.dialect.needed_bytes
        return Turn(len(data), None, commands)

    def parse_turn(self) -> Turn:
        """Parse the bytes of one turn.

        The rest of a partial command is parsed at once: it is one command, whatever its length.
        """
        received = self._reads[0][1] if self._reads else None
        part = bytes(self._unparsed[: max(TURN_BYTES, self.missing_bytes)])
        if len(part) == len(self._unparsed):
            self.drop_backlog()
        else:
            self._drop_parsed(len(part))
        commands = self.dialect.feed(part)
        if self.dialect.end_reason:
            self.drop_backlog()
        self.is_between_commands = not (self._unparsed or self.dialect.needed_bytes)
        return Turn(len(part), received, commands)

    def _drop_parsed(self, size: int) -> None:
        """Remove parsed bytes from the front."""
        if isinstance(self._unparsed, bytes):
            self._unparsed = bytearray(self._unparsed)
        del self._unparsed[:size]
        while size:
            left, received = self._reads[0]
            if left > size:
                self._reads[0] = left - size, received
                return
            del self._reads[0]
            size -= left

    def close(self) -> None:
        """Drop all bytes, as the connection has ended.

        Danger: objects of a closed connection refer to each other, and such cycles are collected rarely.
        """
        self.drop_backlog()
        self.dialect.drop_partial()

    def drop_backlog(self) -> None:
        """Drop the bytes that wait, as the stream has ended."""
        self._unparsed = b""
        self._reads.clear()
