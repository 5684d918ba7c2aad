"""Fair turns: how much of the event loop's time the clients with a backlog of received commands get.

Each connection handles a small number of bytes as soon as they are read. What it has sent beyond that waits
for its turn behind the other connections with a backlog (round robin, as in "Efficient fair queuing using
deficit round-robin" by Shreedhar and Varghese). Between two runs the loop polls the kernel, so a client that
sends one command at a time is served ahead of every backlog (sparse flows first, RFC 8290).
"""

from __future__ import annotations

import asyncio
from typing import Protocol

TURN_BYTES = 512
"""Bytes of short commands that a connection handles in one turn."""
MAX_RUN_S = 0.004
"""Time after which the turns are interrupted, so that the loop polls the kernel."""


class BackloggedConnection(Protocol):
    """A connection that has received more than it has handled."""

    def take_turn(self) -> None:
        """Handle the next bytes, and ask for another turn if more are left."""


class TurnScheduler:
    """Gives turns to the connections with a backlog, one after another."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: dict[BackloggedConnection, None] = {}
        self._is_scheduled = False

    def add(self, connection: BackloggedConnection) -> None:
        """Give the connection a turn behind those that wait already; without effect if it waits."""
        self._waiting.setdefault(connection)
        self._schedule()

    def discard(self, connection: BackloggedConnection) -> None:
        """Give the connection no turn."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        """Give turns until none is wanted or the time of a run is over."""
        self._is_scheduled = False
        ends_at = self._loop.time() + MAX_RUN_S
        while self._waiting and self._loop.time() < ends_at:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            connection.take_turn()
        if self._waiting:
            self._schedule()
