"""Clients' connections on their way in: accepted at listeners, or taken over from another process."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from saltport.address import Address
from saltport.transport.acceptor import Acceptor

BACKLOG = 1024

log = logging.getLogger("saltport")


class Arrivals:
    """The listeners, and the connections that have come and are not read yet."""

    def __init__(self, loop: asyncio.AbstractEventLoop, until_room: Callable[[], float]) -> None:
        """`until_room`: see Acceptor; asked once it is known that somebody waits."""
        self._loop, self._until_room = loop, until_room
        self._acceptors: list[Acceptor] = []
        self._under_way: set[asyncio.Task[None]] = set()
        self._listener_is_shared = False

    def __len__(self) -> int:
        return len(self._under_way)

    @property
    def accepting(self) -> bool:
        """Whether there is a listener."""
        return bool(self._acceptors)

    def listen(self, address: Address, made: Callable[[], asyncio.Protocol]) -> int:
        """Accept here, with a protocol made for each connection; returns the port. Raises OSError."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        return self._accept_at(socket.create_server(address, family=family, backlog=BACKLOG), made)

    def listen_at(self, listener: socket.socket, made: Callable[[], asyncio.Protocol]) -> None:
        """Accept at a socket that somebody else holds too, and that outlives this process."""
        listener.listen(BACKLOG)
        self._listener_is_shared = True
        self._accept_at(listener, made)

    def take_over(
        self,
        end: socket.socket,
        made: asyncio.Protocol,
        attached: Callable[[], None],
        ended: Callable[[], None],
    ) -> None:
        """Go on with a connection of another process; `attached` is called behind it, and `ended` at last."""

        async def take() -> None:
            try:
                await self._attach(made, end)
                attached()
            finally:
                ended()

        self._begin(take())

    def stop(self) -> None:
        """Take who has connected by now, and nobody after; called again where that could not be done yet.

        Danger: with its listener closed, the kernel resets what waits there, and the requests in it are lost.
        """
        for acceptor in list(self._acceptors):
            if self._listener_is_shared or acceptor.accept_rest():
                acceptor.close()
                self._acceptors.remove(acceptor)

    def close(self) -> None:
        """Accept nobody more, whoever waits."""
        while self._acceptors:
            self._acceptors.pop().close()

    def _accept_at(self, listener: socket.socket, made: Callable[[], asyncio.Protocol]) -> int:
        acceptor = Acceptor(self._loop, listener, partial(self._accepted, made), self._until_room)
        self._acceptors.append(acceptor)
        return acceptor.port

    def _accepted(self, made: Callable[[], asyncio.Protocol], end: socket.socket) -> None:
        self._begin(self._attach(made(), end))

    def _begin(self, arriving: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(arriving)
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)

    async def _attach(self, made: asyncio.Protocol, end: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: made, end)
        except OSError as error:
            end.close()
            log.warning("a connection could not be taken: %s", error)
