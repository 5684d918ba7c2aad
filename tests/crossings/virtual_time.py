"""An event loop over real sockets whose clock advances to the next timer when no socket is ready.

Peers run in the same loop, and loopback delivers bytes at once. So results do not depend on the speed of the
machine, and periods of seconds are checked to the millisecond without waiting.

The end of a connection may come later than its bytes: while the kernel's memory for TCP is short, a FIN
behind data that is not acknowledged yet is sent only with a retransmission, 0.2 s later. The clock waits.
"""

from __future__ import annotations

import asyncio
import os
import selectors
import socket
import time
from collections.abc import Coroutine
from typing import Any, NamedTuple

MAX_DELIVERY_S = 5.0  # real time for the end of a connection to arrive; a retransmission takes 0.2 s
Address = tuple[str, int]


class _Connection(NamedTuple):
    """A connected socket: its addresses, and its inode, which no later socket with its descriptor has."""

    inode: int
    own: Address
    peer: Address

    def is_open(self, descriptor: int) -> bool:
        try:
            return os.fstat(descriptor).st_ino == self.inode
        except OSError:
            return False


def _connection(descriptor: int) -> _Connection | None:
    """Return the connected TCP socket with this descriptor; None for any other descriptor."""
    try:
        with socket.socket(fileno=os.dup(descriptor)) as sock:
            if sock.type != socket.SOCK_STREAM or sock.family != socket.AF_INET:
                return None
            return _Connection(os.fstat(descriptor).st_ino, sock.getsockname(), sock.getpeername())
    except OSError:
        return None


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self._connections: dict[int, _Connection] = {}
        """The connections of this loop by descriptor, some of which may have closed since."""
        self._closed: set[tuple[Address, Address]] = set()
        """The addresses of those that have closed, their own and the other end's."""

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        key = super().register(fileobj, events, data)
        known = self._connections.get(key.fd)
        if known is None or not known.is_open(key.fd):
            self._forget_closed()
            if (connection := _connection(key.fd)) is not None:
                self._connections[key.fd] = connection
                self._closed.discard((connection.own, connection.peer))
        return key

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout is None:
            raise AssertionError("no socket is ready and no timer is set")
        if not ready and timeout and self._end_is_on_its_way():
            ready = self._await_ready()
        if not ready and timeout:
            self.now += timeout
        return ready

    def _forget_closed(self) -> None:
        for descriptor, connection in list(self._connections.items()):
            if not connection.is_open(descriptor):
                del self._connections[descriptor]
                self._closed.add((connection.own, connection.peer))

    def _end_is_on_its_way(self) -> bool:
        """Whether the other end of a socket that is being read has closed."""
        self._forget_closed()
        if not self._closed:
            return False
        keys = self.get_map()
        return any(
            (connection.peer, connection.own) in self._closed
            and descriptor in keys
            and bool(keys[descriptor].events & selectors.EVENT_READ)
            for descriptor, connection in self._connections.items()
        )

    def _await_ready(self) -> Any:
        """Wait in real time until a socket is ready."""
        end = time.monotonic() + MAX_DELIVERY_S
        while time.monotonic() < end:
            if ready := super().select(0.05):
                return ready
        raise AssertionError("the end of a connection does not arrive")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while no socket is ready."""

    def __init__(self) -> None:
        self._clock = _VirtualTimeSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now


def advance_time(seconds: float) -> None:
    """Advance the clock while the loop is blocked, as on a busy machine."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop._clock.now += seconds


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario in an event loop with virtual time."""
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scenario)
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
    finally:
        asyncio.set_event_loop(None)
        loop.close()
