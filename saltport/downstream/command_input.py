"""The received bytes of one client connection on their way to commands, parsed in turns. No I/O."""

from __future__ import annotations

from saltport.downstream.turns import TURN_BYTES
from saltport.messages import Answers, ClientDialect, Message


class CommandInput:
    """Received bytes that are not parsed yet, in front of the parser of the connection's dialect."""

    def __init__(self, dialect: ClientDialect) -> None:
        self.dialect = dialect
        self._unparsed = b""
        self._position = 0  # in `_unparsed`, of the next byte to parse

    @property
    def backlog_bytes(self) -> int:
        """Number of bytes that wait to be parsed, in which whole commands may be."""
        return len(self._unparsed) - self._position

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
        """Whether the bytes that wait may be parsed at once, out of turn: a few, or a part of a command."""
        return self.backlog_bytes < self.missing_bytes or self.held_bytes <= TURN_BYTES

    @property
    def unhandled(self) -> bytes:
        """All received bytes of commands that were not returned yet, for another parser to continue."""
        return self.dialect.partial_command + self._unparsed[self._position :]

    def add(self, data: bytes) -> None:
        """Add received bytes behind those that wait."""
        self._unparsed = self._unparsed[self._position :] + data if self.backlog_bytes else data
        self._position = 0

    def parse_turn(self) -> tuple[int, list[tuple[Message, Answers]]]:
        """Parse the bytes of one turn; return their number and the commands that are now complete.

        The rest of a partial command is parsed at once: it is one command, whatever its length.
        """
        begin = self._position
        end = min(begin + max(TURN_BYTES, self.missing_bytes), len(self._unparsed))
        is_all = begin == 0 and end == len(self._unparsed)
        part = self._unparsed if is_all else self._unparsed[begin:end]
        self._position = end
        if end == len(self._unparsed):
            self.drop_backlog()
        commands = self.dialect.feed(part)
        if self.dialect.end_reason:
            self.drop_backlog()
        return len(part), commands

    def close(self) -> None:
        """Drop all bytes, as the connection has ended.

        Danger: objects of a closed connection refer to each other, and such cycles are collected rarely.
        """
        self.drop_backlog()
        self.dialect.drop_partial()

    def drop_backlog(self) -> None:
        """Drop the bytes that wait, as the stream has ended."""
        self._unparsed, self._position = b"", 0
