"""The neutral request: what clients' dialects read into, and what nodes' and origins' dialects write out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True)  # not frozen: four times as dear to make
class Request:
    """A client's request, whatever wire it came on."""

    id: bytes
    """Plain ASCII; new with every request."""
    key: bytes
    """Text in UTF-8 without spaces."""
    request_class: str
    tenant: str | None
    timeout_ms: int
    """How long the client will wait, from when the request's last byte came."""
    value: bytes | None
    """What a write brings; None: a read."""
    retry: bool
    """Whether the client marked it as a retry of its own."""
    info: bytes
    """The list of names and values (`c`, `t`, `d`, `k`, ...) that goes on to nodes and the origin."""


@dataclass(frozen=True, slots=True)
class Ping:
    """A client asks whether the router is ready."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """A command that is no request, though the stream can be followed on; the text is for the client."""

    reason: str


Message = Request | Ping | Malformed


class ValueSource(Protocol):
    """Where the parts of a long value come from, as whoever takes them sees it."""

    def pause(self) -> None:
        """Pass no more on for now."""

    def resume(self) -> None:
        """Go on."""


class Answers(Protocol):
    """How one command's reply is worded on its wire; a dialect gives one with each message."""

    def served(self, value: bytes) -> bytes:
        """The whole reply with a value or a receipt."""

    def head(self, length: int) -> bytes:
        """The beginning of a reply whose value of this length comes in parts."""

    def tail(self) -> bytes:
        """The end of such a reply."""

    def refused(self, retry_after_ms: int) -> bytes:
        """Not done, and trying again is harmless, after so many milliseconds where that is not 0."""

    def failed(self) -> bytes:
        """Failed; it promises nothing."""

    def rejected(self, reason: str) -> bytes:
        """No request that can be taken; nothing of it was done."""

    def pong(self, ready: bool) -> bytes:
        """Whether the router is ready."""


class ClientDialect(Protocol):
    """The reading side of one client's connection: bytes in, messages out, within bounds."""

    @property
    def need(self) -> int:
        """Bytes that the command under way is known to need; 0 between commands."""

    @property
    def broken(self) -> str:
        """Why the stream can't be followed any further, once that is so."""

    @property
    def name(self) -> str:
        """By which another process finds the reader to go on with."""

    @property
    def held(self) -> bytes:
        """The bytes of the command under way, for another reader to go on."""

    def feed(self, data: bytes) -> list[tuple[Message, Answers]]:
        """The commands that are now whole, up to a broken one if `broken` is set by it."""

    def breaking(self) -> bytes:
        """What the client is told before a broken stream is closed."""
