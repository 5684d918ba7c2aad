"""Clients' connections on their way in: accepted at listeners, or taken over from another process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial

from saltport.address import Address
from saltport.transport.acceptor import Acceptor
from saltport.transport.listening import listening_socket
from saltport.transport.stream import StreamProtocol, TcpStream

BACKLOG = 1024


class Arrivals:
    """The listeners, and the connections that have come and are not read yet."""

    def __init__(self, loop: asyncio.AbstractEventLoop, until_room: Callable[[], float]) -> None:
        """`until_room`: see Acceptor; asked once it is known that somebody waits."""
        self._loop, self._until_room = loop, until_room
        self._acceptors: list[Acceptor] = []
        self._under_way = 0
        self._listener_is_shared = False

    def __len__(self) -> int:
        return self._under_way

    @property
    def accepting(self) -> bool:
        """Whether there is a listener."""
        return bool(self._acceptors)

    def listen(self, address: Address, made: Callable[[], StreamProtocol]) -> int:
        """Accept here, with a protocol made for each connection; returns the port. Raises OSError."""
        listener = listening_socket(address, BACKLOG)
        port = address[1] or int(listener.getsockname()[1])
        self._accept_at(listener, made)
        return port

    def listen_at(self, listener: socket.socket, made: Callable[[], StreamProtocol]) -> None:
        """Accept at a socket that somebody else holds too, and that outlives this process."""
        listener.listen(BACKLOG)
        self._listener_is_shared = True
        self._accept_at(listener, made)

    def take_over(self, end: socket.socket, made: StreamProtocol, ended: Callable[[], None]) -> None:
        """Go on with a connection of another process, in a turn of its own; `ended` is called behind it."""

        def take() -> None:
            self._under_way -= 1
            try:
                TcpStream(self._loop, end, made)
            finally:
                ended()

        self._under_way += 1
        self._loop.call_soon(take)

    def stop(self) -> None:
        """Take who has connected by now, and nobody after; called again where that could not be done yet.

        Danger: with its listener closed, the kernel resets what waits there, and the requests in it are lost.
        """
        for acceptor in list(self._acceptors):
            if self._listener_is_shared or acceptor.accept_pending():
                acceptor.close()
                self._acceptors.remove(acceptor)

    def close(self) -> None:
        """Accept nobody more, whoever waits."""
        while self._acceptors:
            self._acceptors.pop().close()

    def _accept_at(self, listener: socket.socket, made: Callable[[], StreamProtocol]) -> None:
        accepted = partial(self._accepted, made)
        self._acceptors.append(Acceptor(self._loop, listener, accepted, self._until_room))

    def _accepted(self, made: Callable[[], StreamProtocol], end: socket.socket) -> None:
        TcpStream(self._loop, end, made())
