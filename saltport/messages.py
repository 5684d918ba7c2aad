"""Protocol-independent requests, which client dialects parse and server dialects encode."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeAlias

Data: TypeAlias = bytes | bytearray
"""Received bytes; a buffer among them is not changed any more."""


@dataclass(slots=True)  # not frozen: creating a frozen one takes four times as long
class Request:
    """A client's request, independent of the protocol that it arrived on."""

    id: bytes
    """Request id in ASCII, unique for each request."""
    key: bytes
    """Cache key: UTF-8 text without spaces."""
    request_class: str
    tenant: str | None
    timeout_ms: int
    """How long the client waits for the answer, counted from the arrival of the request's last byte."""
    value: Data | None
    """The value to write, which is not changed any more; None for a read."""
    retry: bool
    """Whether the client marked the request as a retry."""
    info: bytes
    """The list of names and values (`c`, `t`, `d`, `k`, ...) forwarded to cache servers and origin."""


@dataclass(frozen=True, slots=True)
class Ping:
    """A client's query whether the router is ready."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """An invalid command after which the stream can still be parsed; `reason` is sent to the client."""

    reason: str


@dataclass(frozen=True, slots=True)
class Discarded:
    """A command whose bytes were discarded as they came, for lack of memory; it must be refused."""

    request: Request | None
    """The request without its value; None if it can't be told."""


Message = Request | Ping | Malformed | Discarded


class ValueSource(Protocol):
    """A source of the parts of a long value, with flow control."""

    def pause(self) -> None:
        """Stop delivering parts until `resume`."""

    def resume(self) -> None:
        """Continue to deliver parts."""


class Answers(Protocol):
    """Encodes the reply to one command in the client's protocol; a dialect returns one with each message."""

    def served(self, value: bytes) -> bytes:
        """Return the complete reply with a value or a write's receipt."""

    def head(self, length: int) -> bytes:
        """Return the beginning of a reply whose value of `length` bytes is sent in parts."""

    def tail(self) -> bytes:
        """Return the end of a reply whose value was sent in parts."""

    def refused(self, retry_after_ms: int) -> bytes:
        """Return the reply for a request that was not executed and may safely be retried.

        `retry_after_ms`: how long the client should wait before a retry; 0: not stated.
        """

    def failed(self) -> bytes:
        """Return the reply for a failed request, which may or may not have been executed."""

    def rejected(self, reason: str) -> bytes:
        """Return the reply for an invalid request, of which nothing was executed."""

    def pong(self, ready: bool) -> bytes:
        """Return the reply to a `Ping`, which states whether the router is ready."""


class ClientDialect(Protocol):
    """Parses the bytes of one client connection into messages, within size limits."""

    @property
    def needed_bytes(self) -> int:
        """Bytes that the incomplete command needs at least, counted from its start; 0 between commands."""

    @property
    def received_bytes(self) -> int:
        """Number of bytes kept of the incomplete command."""

    @property
    def missing_bytes(self) -> int:
        """Bytes that the incomplete command needs at least beyond those received; 0 between commands."""

    @property
    def partial_timeout_ms(self) -> int:
        """How long the client waits for the answer to the incomplete command; 0 if that is not known yet."""

    @property
    def is_discarding(self) -> bool:
        """Whether the rest of the incomplete command is discarded."""

    def discard(self) -> bool:
        """Discard what comes of the incomplete command, which `feed` then returns as `Discarded`.

        Return False, without effect, if the command's length is not known yet; that is for a few bytes.
        """

    @property
    def discarded_command(self) -> tuple[bytes, int]:
        """The command that is discarded, without its long part, and how many bytes of that are to come."""

    def resume_discarding(self, head: bytes, left: int) -> None:
        """Go on to discard the command of another parser, which had this `discarded_command`."""

    @property
    def end_reason(self) -> str:
        """Why no further commands can be parsed: an invalid stream, or QUIT; empty while they can."""

    @property
    def name(self) -> str:
        """The dialect's name, by which another process that takes over the connection chooses its parser."""

    @property
    def partial_command(self) -> bytes:
        """The received bytes of the incomplete command, with which another parser can continue."""

    def feed(self, data: bytes) -> list[tuple[Message, Answers]]:
        """Return the commands that are now complete, the invalid one last if it sets `end_reason`."""

    def drop_partial(self) -> None:
        """Drop the bytes of the incomplete command, as the connection has ended."""

    def closing_reply(self) -> bytes:
        """Return the last reply before the connection is closed: an error, or the reply to QUIT."""
