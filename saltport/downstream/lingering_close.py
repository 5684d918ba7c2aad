"""Lingering close: all bytes written to a client reach it, even if it keeps sending.

Closing a socket with unread received data resets the connection, which can discard bytes that the client has
not read yet. So only the sending side is shut down first. Data that still arrives is read and discarded, and
no request in it is handled: the client sees the end of the stream and repeats its requests elsewhere. The
connection is closed when the client closes its side, or at a limit of time or bytes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from saltport.transport.stream import StreamProtocol, TcpStream
from saltport.transport.unacknowledged import unacknowledged_bytes

STALL_TIMEOUT_S = 10.0  # within which a client must acknowledge some of the bytes that wait for it
LINGER_TIMEOUT_S = 1.0  # for a client that has acknowledged all bytes and does not close its side
MAX_LINGER_BYTES = 256 << 10  # discarded before the connection is aborted


class LingeringClose(StreamProtocol):
    """The protocol of one connection whose sending side is shut down."""

    def __init__(
        self, lingering: LingeringConnections, transport: TcpStream, on_end: Callable[[], None], now: float
    ) -> None:
        self._lingering, self._transport, self._progress_at = lingering, transport, now
        self.on_end = on_end
        self._unacknowledged = self._discarded = 0

    def data_received(self, data: bytes) -> None:
        """Discard received data; abort the connection if it is too much."""
        self._discarded += len(data)
        if self._discarded > MAX_LINGER_BYTES:
            self._transport.abort()

    def eof_received(self) -> bool:
        """Let the transport close, as the client has closed its side too."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the closed connection."""
        self._lingering.remove(self)

    @property
    def has_unsent(self) -> bool:
        """Whether the kernel has not taken all bytes."""
        return self._transport.get_write_buffer_size() > 0

    def check(self, now: float) -> None:
        """Close the connection if the client neither acknowledges data nor closes its side in time."""
        unacknowledged = unacknowledged_bytes(self._transport)
        if unacknowledged != self._unacknowledged:
            self._unacknowledged, self._progress_at = unacknowledged, now
        if now - self._progress_at >= (STALL_TIMEOUT_S if unacknowledged else LINGER_TIMEOUT_S):
            self._transport.abort()

    def abort(self) -> None:
        """Close the connection immediately."""
        self._lingering.remove(self)
        self._transport.abort()


class LingeringConnections:
    """All connections in a lingering close, oldest first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._connections: dict[LingeringClose, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def has_unsent(self) -> bool:
        """Whether the kernel has not taken all bytes of a connection."""
        return any(closing.has_unsent for closing in self._connections)

    def add(self, transport: TcpStream, on_end: Callable[[], None]) -> None:
        """Shut down the sending side after the buffered bytes, and read until the client closes its side.

        `on_end` is called once, when the connection has closed.
        """
        closing = LingeringClose(self, transport, on_end, self._loop.time())
        self._connections[closing] = None
        transport.set_protocol(closing)
        transport.resume_reading()
        transport.write_eof()

    def remove(self, closing: LingeringClose) -> None:
        """Unregister a closed connection."""
        if closing in self._connections:
            del self._connections[closing]
            closing.on_end()

    def make_room(self) -> bool:
        """Close the oldest connection immediately; return False if there is none."""
        if not self._connections:
            return False
        next(iter(self._connections)).abort()
        return True

    def check(self, now: float) -> None:
        """Close the connections that have exceeded their time limit."""
        for closing in list(self._connections):
            closing.check(now)

    def close(self) -> None:
        """Close all connections immediately."""
        while self.make_room():
            pass
