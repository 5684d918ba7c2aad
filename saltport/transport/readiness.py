"""Whether the kernel has something for a socket at this moment, asked outside the event loop."""

from __future__ import annotations

import errno
import select
import socket
from typing import Protocol

TRIES = 3


class Asked(Protocol):
    """What is asked of a socket."""

    def fileno(self) -> int:
        """Its descriptor."""

    def recv(self, size: int, flags: int) -> bytes:
        """What has come."""


class Readiness:
    """Asks about one socket, any number of times."""

    __slots__ = ("_end", "_events", "_poll")

    def __init__(self, end: Asked, events: int) -> None:
        """`events`: of poll(2), POLLIN or POLLRDHUP or both."""
        self._end, self._events = end, events
        self._poll = select.poll()
        self._poll.register(end.fileno(), events)

    def now(self) -> bool:
        """Whether one of the events has come, or the connection is over."""
        found = ready_now(self._poll)
        return self._peek() if found is None else bool(found)

    def _peek(self) -> bool:
        """The same, as far as a read can tell: not of an end behind unread bytes."""
        try:
            data = self._end.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not data or bool(self._events & select.POLLIN)


def ready_now(asked: select.poll) -> list[tuple[int, int]] | None:
    """The events that have come; None: poll(2) had no memory to tell, several times in a row."""
    for _ in range(TRIES):
        try:
            return asked.poll(0)
        except OSError as error:
            if error.errno != errno.ENOMEM:
                raise
    return None
