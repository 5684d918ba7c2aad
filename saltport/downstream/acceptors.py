"""Accepts new client connections at the listeners, and adopts connections from another process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import partial

from saltport.address import Address
from saltport.transport.acceptor import Acceptor
from saltport.transport.listening import listening_socket
from saltport.transport.stream import StreamProtocol, TcpStream

BACKLOG = 1024  # connections that the kernel queues for each listener


class ClientAcceptors:
    """The listeners for clients, and the adopted connections whose transport is not created yet."""

    def __init__(self, loop: asyncio.AbstractEventLoop, wait_for_room_s: Callable[[], float]) -> None:
        """`wait_for_room_s` returns the delay before accepting; called only while a client waits."""
        self._loop, self._wait_for_room_s = loop, wait_for_room_s
        self._acceptors: list[Acceptor] = []
        self._adopted_unstarted = 0
        self._listener_is_shared = False

    def __len__(self) -> int:
        return self._adopted_unstarted

    @property
    def accepting(self) -> bool:
        """Whether at least one listener is open."""
        return bool(self._acceptors)

    def listen(self, address: Address, make_protocol: Callable[[], StreamProtocol]) -> int:
        """Accept at this address, creating a protocol for each connection; return the port.

        Raise OSError if the address can't be bound.
        """
        listener = listening_socket(address, BACKLOG)
        port = address[1] or int(listener.getsockname()[1])
        self._accept_at(listener, make_protocol)
        return port

    def listen_at(self, listener: socket.socket, make_protocol: Callable[[], StreamProtocol]) -> None:
        """Accept at a listening socket that is shared with other processes and outlives this one."""
        listener.listen(BACKLOG)
        self._listener_is_shared = True
        self._accept_at(listener, make_protocol)

    def adopt(self, sock: socket.socket, protocol: StreamProtocol, on_started: Callable[[], None]) -> None:
        """Adopt a connected socket of another process in a separate iteration of the event loop.

        `on_started` is called after its transport was created, or after that failed.
        """

        def start() -> None:
            self._adopted_unstarted -= 1
            try:
                TcpStream(self._loop, sock, protocol)
            finally:
                on_started()

        self._adopted_unstarted += 1
        self._loop.call_soon(start)

    def stop(self) -> None:
        """Accept the clients already in the backlog, then close the listeners.

        Has to be called again while `accepting` remains true, as accepting can fail temporarily.
        Danger: when a listener is closed, the kernel resets the connections in its backlog, and the requests
        sent on them are lost.
        """
        for acceptor in list(self._acceptors):
            if self._listener_is_shared or acceptor.accept_pending():
                acceptor.close()
                self._acceptors.remove(acceptor)

    def close(self) -> None:
        """Close the listeners without accepting the clients in their backlogs."""
        while self._acceptors:
            self._acceptors.pop().close()

    def _accept_at(self, listener: socket.socket, make_protocol: Callable[[], StreamProtocol]) -> None:
        accepted = partial(self._accepted, make_protocol)
        self._acceptors.append(Acceptor(self._loop, listener, accepted, self._wait_for_room_s))

    def _accepted(self, make_protocol: Callable[[], StreamProtocol], sock: socket.socket) -> None:
        TcpStream(self._loop, sock, make_protocol())
