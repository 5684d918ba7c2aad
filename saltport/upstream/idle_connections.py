"""The idle connections of one server, and when each may carry its next exchange. No I/O; times in seconds."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from contextlib import suppress
from operator import attrgetter
from typing import Generic, Protocol, TypeVar

from saltport.messages import Request
from saltport.transport.settling import SETTLING_TIME_S


class Reusable(Protocol):
    """The part of a connection that `IdleConnections` uses."""

    used_before: bool
    """Whether the connection has carried an exchange."""
    idle_since: float
    settled_at: float
    """Time from which the connection may carry any exchange."""

    def recognizes_copy(self, request: Request) -> bool:
        """Whether a second copy of the latest answer could be told from the answer to `request`."""


ConnectionT = TypeVar("ConnectionT", bound=Reusable)


class IdleConnections(Generic[ConnectionT]):
    """The open connections of one server that carry no exchange, the longest idle first."""

    def __init__(self, settling_time_s: float = SETTLING_TIME_S) -> None:
        """`settling_time_s`: time after an answer in which its connection carries no other exchange."""
        self._settling_time_s = settling_time_s
        self._connections: list[ConnectionT] = []

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[ConnectionT]:
        return iter(self._connections)

    @property
    def longest_idle(self) -> ConnectionT | None:
        """The connection that has been idle for the longest time; None if there is none."""
        return self._connections[0] if self._connections else None

    @property
    def next_settled_at(self) -> float:
        """Time at which the next connection has settled, or did so; infinite if there is none."""
        return min((connection.settled_at for connection in self._connections), default=float("inf"))

    def add(self, connection: ConnectionT, now: float) -> None:
        """Add a connection that is idle from `now` on; one that has carried an exchange settles first."""
        connection.idle_since = now
        connection.settled_at = now + self._settling_time_s if connection.used_before else now
        self._connections.append(connection)

    def put_back(self, connection: ConnectionT) -> None:
        """Add a connection that was taken and not used; it keeps its times."""
        insort(self._connections, connection, key=attrgetter("idle_since"))

    def take_settled(self, now: float) -> ConnectionT | None:
        """Remove and return the settled connection that was used last; None if none has settled.

        Connections that are not needed so stay idle, until they are closed.
        """
        for position in range(len(self._connections) - 1, -1, -1):
            if self._connections[position].settled_at <= now:
                return self._connections.pop(position)
        return None

    def take_recognizing(self, request: Request) -> ConnectionT | None:
        """Remove and return a connection that recognizes a second copy; None if there is none.

        Of several, the one that was used last is taken.
        """
        for position in range(len(self._connections) - 1, -1, -1):
            if self._connections[position].recognizes_copy(request):
                return self._connections.pop(position)
        return None

    def remove(self, connection: ConnectionT) -> None:
        """Remove a connection if it is idle."""
        with suppress(ValueError):
            self._connections.remove(connection)

    def remove_all(self) -> list[ConnectionT]:
        """Remove and return all connections."""
        removed, self._connections = self._connections, []
        return removed
