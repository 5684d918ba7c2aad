"""The access log: accepted requests, their final answers, and connections closed with unfinished work.

Entries are JSON objects, one per line, encoded from the structs of this module; the field `event` gives the
type. Times are nanoseconds of the system's monotonic clock. The entries of one iteration of the event loop
are written together at its end with one system call, so a process that is killed loses the entries of at most
one iteration. Entries that could not be written are written together with the next ones.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import TypeAlias

import msgspec

from saltport.downstream.outcomes import CloseReason, FinalAnswer

DEFAULT_MAX_BYTES = 256 << 20
"""Size at which the log file is renamed with the suffix `.1`, replacing the previous file of that name."""

MAX_UNWRITTEN_BYTES = 4 << 20
"""Limit of buffered entries while the file can't be written; later entries are lost."""

log = logging.getLogger("saltport")


class RequestAccepted(msgspec.Struct, frozen=True, tag_field="event", tag="accepted"):
    """A request was read completely and must get one final answer."""

    at_ns: int
    connection: int
    """Number of the connection, unique within this process."""
    id: str
    request_class: str
    timeout_ms: int


class RequestAnswered(msgspec.Struct, frozen=True, tag_field="event", tag="answered"):
    """The last byte of a request's final answer was written to its connection."""

    at_ns: int
    connection: int
    id: str
    answer: FinalAnswer


class ConnectionClosed(msgspec.Struct, frozen=True, tag_field="event", tag="closed"):
    """A connection closed with unanswered requests, unsent bytes or a partial command."""

    at_ns: int
    connection: int
    reason: CloseReason
    unanswered: list[str]
    """Ids of the requests without a final answer, in the order of arrival."""
    unsent_bytes: int
    """Bytes of answers not yet passed to the kernel."""
    partial_command: bool
    """Whether a command had been partially received."""


class LogStopped(msgspec.Struct, frozen=True, tag_field="event", tag="stopped"):
    """The process exited in an orderly way, so the log is complete."""

    at_ns: int


Entry: TypeAlias = RequestAccepted | RequestAnswered | ConnectionClosed | LogStopped


class AccessLog:
    """Writes the access log of one process; a write error can lose entries but does not affect requests."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: Path, max_bytes: int = DEFAULT_MAX_BYTES
    ) -> None:
        """Open the log for appending, renaming it at `max_bytes`; raise OSError if it can't be opened."""
        self._loop, self._path, self._max_bytes = loop, path, max_bytes
        self._descriptor = _open(path)
        self._size = os.fstat(self._descriptor).st_size
        self._pending: list[bytes] = []
        self._unwritten = bytearray()
        self._ends_with_complete_entry = True
        """Whether the file ends with a complete entry, so that rotation does not split an entry."""
        self._encode = msgspec.json.Encoder().encode
        self.failures = 0
        """Number of failed writes."""

    def accepted(self, connection: int, request_id: str, request_class: str, timeout_ms: int) -> None:
        """Log a request that was read completely."""
        now = time.monotonic_ns()
        self._add(RequestAccepted(now, connection, request_id, request_class, timeout_ms))

    def answered(self, connection: int, request_id: str, answer: FinalAnswer) -> None:
        """Log the final answer to a request."""
        self._add(RequestAnswered(time.monotonic_ns(), connection, request_id, answer))

    def closed(
        self,
        connection: int,
        reason: CloseReason,
        unanswered: Iterable[str],
        unsent_bytes: int,
        partial_command: bool,
    ) -> None:
        """Log the end of a connection unless it had no unanswered request, unsent byte or partial command."""
        ids = list(unanswered)
        if ids or unsent_bytes or partial_command:
            now = time.monotonic_ns()
            self._add(ConnectionClosed(now, connection, reason, ids, unsent_bytes, partial_command))

    def close(self) -> None:
        """Write the remaining entries and the final `stopped` entry, and close the file."""
        self._add(LogStopped(time.monotonic_ns()))
        self._flush()
        os.close(self._descriptor)

    def _add(self, entry: Entry) -> None:
        """Queue an entry, to be written at the end of the current event loop iteration."""
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.append(self._encode(entry))

    def _flush(self) -> None:
        """Write the queued entries to the file; a failure is counted, and the first one is logged."""
        if self._pending and len(self._unwritten) <= MAX_UNWRITTEN_BYTES:
            self._unwritten += b"\n".join(self._pending) + b"\n"
        self._pending.clear()
        try:
            if self._ends_with_complete_entry and self._size + len(self._unwritten) > self._max_bytes:
                self._rotate()
            while self._unwritten:
                self._write()
        except OSError as error:
            self.failures += 1
            if self.failures == 1:
                log.warning("writing the access log %s failed: %s", self._path, error.strerror or error)

    def _write(self) -> None:
        """Write as many buffered bytes as one system call accepts; the rest stays buffered."""
        written = os.write(self._descriptor, self._unwritten)
        self._size += written
        self._ends_with_complete_entry = self._unwritten[:written].endswith(b"\n")
        del self._unwritten[:written]

    def _rotate(self) -> None:
        """Rename the full file by adding ".1" to its name, and begin a new file."""
        self._path.replace(self._path.with_name(self._path.name + ".1"))
        new_descriptor = _open(self._path)
        os.close(self._descriptor)
        self._descriptor, self._size = new_descriptor, 0


def _open(path: Path) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o640)
