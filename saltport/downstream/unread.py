"""Clients' connections that are not read just now: whether their clients have left all the same."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

from saltport.transport.readiness import poll_now

# A client that left has nothing sent for it from 0.1 s on: one look, and as much again for a late loop.
LOOK_S = 0.04

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Unread(Protocol):
    """A connection whose reading has stopped."""

    @property
    def descriptor(self) -> int:
        """Its socket's; -1 once it is closed."""

    def client_left(self) -> None:
        """Its client has left."""


class UnreadConnections:
    """Looks for the ends that nobody reads.

    Danger: a transport that does not read is not told that its client has left, and all that it asked for
    before goes on being sent for nobody.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._held: dict[Unread, None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, connection: Unread) -> None:
        """Nothing is read on it from now on."""
        self._held[connection] = None
        if self._timer is None:
            self._timer = self._loop.call_later(LOOK_S, self._look)

    def discard(self, connection: Unread) -> None:
        """It is read again, or gone."""
        self._held.pop(connection, None)

    def _look(self) -> None:
        self._timer = None
        looking = select.poll()
        by_descriptor = {}
        for connection in self._held:
            descriptor = connection.descriptor
            if descriptor >= 0:
                by_descriptor[descriptor] = connection
                looking.register(descriptor, select.POLLRDHUP)
        for descriptor, events in poll_now(looking) or ():
            if events & _LEFT:
                by_descriptor[descriptor].client_left()
        if self._held and self._timer is None:
            self._timer = self._loop.call_later(LOOK_S, self._look)
