"""Lingering close: what was written to a client reaches it, whatever it sends meanwhile.

A close over bytes that nobody has read resets the connection, and what was written last may go with it. So
the sending side ends first. What still comes is read and dropped, nothing of it is taken: the client, who
sees the end, sends it again elsewhere. The connection is closed at the client's own end, or at a bound.
"""

from __future__ import annotations

import asyncio

from saltport.downstream.taking import STALL_S, waiting_for
from saltport.transport.stream import StreamProtocol, TcpStream

LINGER_S = 1.0  # for a client that has all that was written
LINGER_BYTES = 256 << 10  # read and dropped, at the most


class LingeringClose(StreamProtocol):
    """One connection that has ended its sending side."""

    def __init__(self, lingering: Lingering, transport: TcpStream, now: float) -> None:
        self._lingering, self._transport, self._since = lingering, transport, now
        self._waiting = self._dropped = 0

    def data_received(self, data: bytes) -> None:
        """Drop it."""
        self._dropped += len(data)
        if self._dropped > LINGER_BYTES:
            self._transport.abort()

    def eof_received(self) -> bool:
        """Both sides have ended."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """It is closed."""
        self._lingering.over(self)

    def check(self, now: float) -> None:
        """Close it if its client neither takes what waits for it nor ends."""
        waiting = waiting_for(self._transport)
        if waiting != self._waiting:
            self._waiting, self._since = waiting, now
        if now - self._since >= (STALL_S if waiting else LINGER_S):
            self._transport.abort()

    def abort(self) -> None:
        """Close it now."""
        self._lingering.over(self)
        self._transport.abort()


class Lingering:
    """All connections that have ended their sending side, the oldest first."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._held: dict[LingeringClose, None] = {}

    def __len__(self) -> int:
        return len(self._held)

    def begin(self, transport: TcpStream) -> None:
        """End the sending side behind what is written, and read on to the end."""
        closing = LingeringClose(self, transport, self._loop.time())
        self._held[closing] = None
        transport.set_protocol(closing)
        transport.resume_reading()
        transport.write_eof()

    def over(self, closing: LingeringClose) -> None:
        """One is closed."""
        self._held.pop(closing, None)

    def make_room(self) -> bool:
        """Close the oldest at once; False: there is none."""
        if not self._held:
            return False
        next(iter(self._held)).abort()
        return True

    def check(self, now: float) -> None:
        """Close those that have lingered for long enough."""
        for closing in list(self._held):
            closing.check(now)

    def close(self) -> None:
        """Close all."""
        while self.make_room():
            pass
