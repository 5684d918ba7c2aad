"""Accepts connections at a listening socket, and retries after the failures that accept(2) documents.

A connection that can't be accepted yet stays in the kernel's queue, with the data sent on it, and is accepted
as soon as the system allows. libuv's listeners are not used: they accept and close all pending connections
when descriptors run out.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import select
import socket
from collections.abc import Callable

from saltport.transport.readiness import poll_now

RETRY_DELAY_S = 0.01  # until the next attempt when the system lacks descriptors or memory

_CONNECTION_ERRORS = frozenset({
    errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN,
    errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
})  # fmt: skip
"""Errors of the incoming connection that accept(2) reports; the next one may be accepted at once."""

log = logging.getLogger("saltport")


def _no_wait() -> float:
    return 0.0


class Acceptor:
    """Accepts connections at a listening socket until it is closed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        accepted: Callable[[socket.socket], None],
        seconds_until_room: Callable[[], float] = _no_wait,
    ) -> None:
        """Start accepting, and take ownership of the listening socket.

        `accepted` receives each connection and owns it. `seconds_until_room` is called only while a
        connection is pending; it tries to make room for one more, and returns the seconds until there is
        room, 0 for now.
        """
        self._loop, self._listener = loop, listener
        self._accepted, self._seconds_until_room = accepted, seconds_until_room
        self._retry: asyncio.TimerHandle | None = None
        self._is_failing = False
        listener.setblocking(False)
        self._resume()

    def accept_pending(self) -> bool:
        """Accept all pending connections; return whether none is left in the kernel's queue."""
        poll = select.poll()
        poll.register(self._listener.fileno(), select.POLLIN)
        while events := poll_now(poll):
            if self._accept_one() > 0:
                return False
        return events is not None

    def close(self) -> None:
        """Stop accepting and close the listening socket."""
        if self._retry is None:
            self._loop.remove_reader(self._listener.fileno())
        else:
            self._retry.cancel()
        self._listener.close()

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        """Accept one connection; the loop calls again while others are pending."""
        if (wait := self._accept_one()) > 0:
            self._loop.remove_reader(self._listener.fileno())
            self._retry = self._loop.call_later(wait, self._resume)

    def _accept_one(self) -> float:
        """Accept one pending connection; return the seconds to wait before the next attempt."""
        if (wait := self._seconds_until_room()) > 0:
            return wait
        try:
            connection, _ = self._listener.accept()
        except BlockingIOError:
            return 0.0  # another process with the same listener accepted it first
        except OSError as error:
            if error.errno in _CONNECTION_ERRORS:
                return 0.0
            # Danger: the socket stays readable, so an immediate retry would be a busy loop.
            self._log_failure(error)
            return RETRY_DELAY_S
        self._is_failing = False
        connection.setblocking(False)
        self._accepted(connection)
        return 0.0

    def _log_failure(self, error: OSError) -> None:
        """Log a failure to accept; repeated failures in a row are logged once."""
        if not self._is_failing:
            self._is_failing = True
            log.warning("can't accept connections, retrying: %s", error.strerror or error)
