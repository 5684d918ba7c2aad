"""Whether a client has left: nothing may be sent on for it 0.1 s after that (STANDING, "The whole fleet").

While much is unread, the client's kernel holds back the end of its connection, and no call shows it.
A client that has closed its socket answers the next bytes that it is sent with a reset.
"""

from __future__ import annotations

import select
import time
from collections.abc import Callable

from saltport.transport.readiness import Readiness
from saltport.transport.stream import TcpStream
from saltport.transport.unread import unread_bytes

HIDDEN_END_BYTES = 32 << 10
"""Unread bytes behind which the end may be hidden; a receive window has twice as much at the least."""
SEEN_TIMEOUT_S = 0.05


class ClientPresence:
    """What is known of the presence of one connection's client."""

    __slots__ = ("_hangup_poll", "_now", "_seen_at", "_transport")

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._seen_at = now()
        self._transport: TcpStream | None = None
        self._hangup_poll: Readiness | None = None

    def connected(self, transport: TcpStream) -> None:
        """Begin to watch the connection."""
        self._transport = transport
        self._hangup_poll = Readiness(transport.get_extra_info("socket"), select.POLLRDHUP)

    def seen(self, at: float) -> None:
        """Record that the client has not left: nothing is unread, or it was sent something just now."""
        self._seen_at = at

    @property
    def has_left(self) -> bool:
        """Whether the kernel reports that the client ended or reset the connection."""
        return self._hangup_poll is not None and self._hangup_poll.is_ready()

    @property
    def end_may_be_hidden(self) -> bool:
        """Whether so much is unread that the end of the connection may be behind it."""
        if self._transport is None or self._transport.is_closing():
            return False
        return unread_bytes(self._transport.get_extra_info("socket").fileno()) >= HIDDEN_END_BYTES

    @property
    def is_doubtful(self) -> bool:
        """Whether the client may have left some time ago without a sign of it."""
        return self._now() - self._seen_at >= SEEN_TIMEOUT_S and self.end_may_be_hidden
