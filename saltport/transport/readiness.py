"""Checks whether a socket is ready at this moment, outside the event loop."""

from __future__ import annotations

import errno
import select
import socket
from typing import Protocol

POLL_ATTEMPTS = 3


class PollableSocket(Protocol):
    """The part of a socket that `Readiness` uses."""

    def fileno(self) -> int:
        """Return the descriptor."""

    def recv(self, size: int, flags: int) -> bytes:
        """Return received data, up to `size` bytes."""


class Readiness:
    """Checks one socket for events, any number of times."""

    __slots__ = ("_events", "_sock")

    def __init__(self, sock: PollableSocket, events: int) -> None:
        """`events`: the poll(2) events to check for, POLLIN or POLLRDHUP or both."""
        self._sock, self._events = sock, events

    def is_ready(self) -> bool:
        """Whether one of the events has occurred, or the connection has ended."""
        poll = select.poll()
        poll.register(self._sock.fileno(), self._events)
        found = poll_now(poll)
        return self._peek() if found is None else bool(found)

    def _peek(self) -> bool:
        """Whether a read returns data or an error; misses the end of a connection behind unread data."""
        try:
            data = self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not data or bool(self._events & select.POLLIN)


def poll_now(poll: select.poll) -> list[tuple[int, int]] | None:
    """Return the events that have occurred; None if poll(2) lacked memory POLL_ATTEMPTS times in a row."""
    for _ in range(POLL_ATTEMPTS):
        try:
            return poll.poll(0)
        except OSError as error:
            if error.errno != errno.ENOMEM:
                raise
    return None
