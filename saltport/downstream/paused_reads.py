"""Detects disconnects of clients on connections whose reading is paused."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

from saltport.transport.readiness import poll_now

# Nothing may be sent for a client 0.1 s after it disconnected: one interval, and as much again for loop lag.
POLL_INTERVAL_S = 0.04

_HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class PausedConnection(Protocol):
    """A connection on which reading is paused."""

    @property
    def descriptor(self) -> int:
        """The descriptor of the socket; -1 once the connection is closed."""

    def client_left(self) -> None:
        """Handle that the client has ended or reset the connection."""

    def look_behind_unread(self) -> None:
        """Read on if so much is unread that the end of the connection may be hidden behind it."""


class PausedReads:
    """The connections with paused reading, polled periodically for a disconnect.

    Danger: a transport with paused reading does not notice that its client has disconnected, and the attempts
    for its outstanding requests would continue although nobody reads the answers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._connections: dict[PausedConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, connection: PausedConnection) -> None:
        """Start to watch a connection whose reading was paused."""
        self._connections[connection] = None
        if self._timer is None:
            self._timer = self._loop.call_later(POLL_INTERVAL_S, self._poll)

    def discard(self, connection: PausedConnection) -> None:
        """Stop watching a connection whose reading was resumed or that has closed."""
        self._connections.pop(connection, None)

    def _poll(self) -> None:
        """Find the connections whose clients have disconnected; repeat while there are connections."""
        self._timer = None
        poller = select.poll()
        by_descriptor = {}
        for connection in self._connections:
            descriptor = connection.descriptor
            if descriptor >= 0:
                by_descriptor[descriptor] = connection
                poller.register(descriptor, select.POLLRDHUP)
        for descriptor, events in poll_now(poller) or ():
            if events & _HANGUP_EVENTS:
                by_descriptor.pop(descriptor).client_left()
        for connection in by_descriptor.values():
            connection.look_behind_unread()
        if self._connections and self._timer is None:
            self._timer = self._loop.call_later(POLL_INTERVAL_S, self._poll)
