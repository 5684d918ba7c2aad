"""Accepting connections at a listening socket, through the failures that accept(2) documents.

A connection that can't be accepted yet stays in the kernel's queue with whatever was sent on it, and is
accepted as soon as the system allows. libuv's own listeners accept and close all that waits where descriptors
run out, so none of them is used.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections.abc import Callable

from saltport.transport.readiness import ready_now

RETRY_S = 0.01  # until the next try, where the system is short of descriptors or memory

_THIS_CONNECTION = frozenset({
    errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN,
    errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
})  # fmt: skip
"""What accept(2) passes on of the connection that came: the next one may be accepted at once."""

log = logging.getLogger("saltport")


def _no_wait() -> float:
    return 0.0


class Acceptor:
    """Accepts connections for as long as it is open."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        accepted: Callable[[socket.socket], None],
        until_room: Callable[[], float] = _no_wait,
    ) -> None:
        """Begin; the listening socket is owned from here on.

        `accepted` takes over each connection. `until_room`, asked only while somebody waits, makes room for
        one more and returns the seconds until there is some, 0 for now.
        """
        self._loop, self._listener = loop, listener
        self._accepted, self._until_room = accepted, until_room
        self._retry: asyncio.TimerHandle | None = None
        self._is_failing = False
        listener.setblocking(False)
        self._resume()

    def accept_rest(self) -> bool:
        """Accept what still waits in the kernel; whether nothing is left there."""
        arrivals = select.poll()
        arrivals.register(self._listener.fileno(), select.POLLIN)
        while found := ready_now(arrivals):
            if self._accept_one() > 0:
                return False
        return found is not None

    def close(self) -> None:
        """Accept nothing more."""
        if self._retry is None:
            self._loop.remove_reader(self._listener.fileno())
        else:
            self._retry.cancel()
        self._listener.close()

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        """Accept one connection; the loop calls again as long as others wait."""
        if (wait := self._accept_one()) > 0:
            self._loop.remove_reader(self._listener.fileno())
            self._retry = self._loop.call_later(wait, self._resume)

    def _accept_one(self) -> float:
        """Accept a connection, for which somebody waits; returns the seconds until the next try."""
        if (wait := self._until_room()) > 0:
            return wait
        try:
            connection, _ = self._listener.accept()
        except BlockingIOError:
            return 0.0  # nobody waits: another process with the same listener was faster
        except OSError as error:
            if error.errno in _THIS_CONNECTION:
                return 0.0
            # Danger: the socket stays readable, so a try at once would be made again without end.
            self._note_failure(error)
            return RETRY_S
        self._is_failing = False
        connection.setblocking(False)
        self._accepted(connection)
        return 0.0

    def _note_failure(self, error: OSError) -> None:
        if not self._is_failing:
            self._is_failing = True
            log.warning("connections can't be accepted for now: %s", error.strerror or error)
