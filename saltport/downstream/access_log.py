"""The access log: each request that was accepted, its final answer, and who closed a connection before it.

Entries are JSON, one a line, each a struct of this module told apart by its field `event`. Times are
nanoseconds on the machine's monotonic clock. What one turn of the event loop logs is written at its end with
one system call, so that a process which is killed loses the entries of a single turn at most. What could not
be written is written with what comes next.
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
"""Size at which a log file is set aside under the suffix `.1`, in the place of the one set aside before."""

MAX_UNWRITTEN_BYTES = 4 << 20
"""Bytes that are kept while the file can't be written; entries beyond are lost."""

log = logging.getLogger("saltport")


class RequestAccepted(msgspec.Struct, frozen=True, tag_field="event", tag="accepted"):
    """A request was read whole; it is owed one final answer."""

    at_ns: int
    connection: int
    """Number of the connection in this process."""
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
    """A connection ended while something was owed on it or under way."""

    at_ns: int
    connection: int
    reason: CloseReason
    unanswered: list[str]
    """Ids of the requests that got no final answer, in their order."""
    unsent_bytes: int
    """Bytes of answers that the kernel had not taken."""
    partial_command: bool
    """Whether a command had been read in part."""


class LogStopped(msgspec.Struct, frozen=True, tag_field="event", tag="stopped"):
    """The process ended by itself: nothing was lost with it unlogged."""

    at_ns: int


Entry: TypeAlias = RequestAccepted | RequestAnswered | ConnectionClosed | LogStopped


class AccessLog:
    """Writes the access log of one process. A fault in writing costs entries and never a request."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: Path, max_bytes: int = DEFAULT_MAX_BYTES
    ) -> None:
        """Open the log for appending; raises OSError."""
        self._loop, self._path, self._max_bytes = loop, path, max_bytes
        self._descriptor = _open(path)
        self._size = os.fstat(self._descriptor).st_size
        self._pending: list[bytes] = []
        self._unwritten = bytearray()
        self._ends_whole = True
        """Whether the file ends with a whole entry: a new file must not begin with the rest of one."""
        self._encode = msgspec.json.Encoder().encode
        self.failures = 0
        """How many writes have failed."""

    def accepted(self, connection: int, request_id: str, request_class: str, timeout_ms: int) -> None:
        """Log a request that was read whole."""
        now = time.monotonic_ns()
        self._add(RequestAccepted(now, connection, request_id, request_class, timeout_ms))

    def answered(self, connection: int, request_id: str, answer: FinalAnswer) -> None:
        """Log a request's final answer."""
        self._add(RequestAnswered(time.monotonic_ns(), connection, request_id, answer))

    def closed(
        self,
        connection: int,
        reason: CloseReason,
        unanswered: Iterable[str],
        unsent_bytes: int,
        partial_command: bool,
    ) -> None:
        """Log the end of a connection, if anything was owed on it or under way."""
        ids = list(unanswered)
        if ids or unsent_bytes or partial_command:
            now = time.monotonic_ns()
            self._add(ConnectionClosed(now, connection, reason, ids, unsent_bytes, partial_command))

    def close(self) -> None:
        """Write what is left, and that the process ended by itself."""
        self._add(LogStopped(time.monotonic_ns()))
        self._flush()
        os.close(self._descriptor)

    def _add(self, entry: Entry) -> None:
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.append(self._encode(entry))

    def _flush(self) -> None:
        if self._pending and len(self._unwritten) <= MAX_UNWRITTEN_BYTES:
            self._unwritten += b"\n".join(self._pending) + b"\n"
        self._pending.clear()
        try:
            if self._ends_whole and self._size + len(self._unwritten) > self._max_bytes:
                self._rotate()
            while self._unwritten:
                self._write()
        except OSError as error:
            self.failures += 1
            if self.failures == 1:
                log.warning("access log: %s: %s", self._path, error.strerror or error)

    def _write(self) -> None:
        """Write as much as the system takes at once; what it does not take stays for the next time."""
        written = os.write(self._descriptor, self._unwritten)
        self._size += written
        self._ends_whole = self._unwritten[:written].endswith(b"\n")
        del self._unwritten[:written]

    def _rotate(self) -> None:
        self._path.replace(self._path.with_name(self._path.name + ".1"))
        fresh = _open(self._path)
        os.close(self._descriptor)
        self._descriptor, self._size = fresh, 0


def _open(path: Path) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o640)
