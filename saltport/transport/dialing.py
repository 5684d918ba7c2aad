"""Connections that this router makes."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Callable

from saltport.address import Address
from saltport.transport.stream import StreamProtocol, TcpStream

_UNDER_WAY = frozenset({errno.EINPROGRESS, errno.EALREADY})
"""connect(2): the connection comes up, and the socket will tell."""
_UP = frozenset({0, errno.EISCONN})
TRIES = 3
"""Of a connect(2) that is interrupted: the next one says whether the connection comes up."""


async def dial(
    loop: asyncio.AbstractEventLoop, made: Callable[[], StreamProtocol], address: Address
) -> TcpStream:
    """Connect, with a protocol made once the connection is up. Raises OSError."""
    family, place = await _resolve(loop, address)
    end = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        await _connect(loop, end, place)
        return TcpStream(loop, end, made())
    except BaseException:
        end.close()
        raise


async def _resolve(loop: asyncio.AbstractEventLoop, address: Address) -> tuple[int, Address]:
    """Family and numeric address; only a name asks the resolver, in a thread of its own."""
    host, port = address
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except OSError:
            continue
        return family, address
    found = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    family, _, _, _, place = found[0]
    return family, (str(place[0]), int(place[1]))


async def _connect(loop: asyncio.AbstractEventLoop, end: socket.socket, place: Address) -> None:
    for _ in range(TRIES):
        number = end.connect_ex(place)
        if number != errno.EINTR:
            break
    if number in _UP:
        return
    if number not in _UNDER_WAY:
        raise OSError(number, os.strerror(number))
    up = loop.create_future()
    loop.add_writer(end.fileno(), _settle, up)
    try:
        await up
    finally:
        loop.remove_writer(end.fileno())
    number = end.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if number:
        raise OSError(number, os.strerror(number))


def _settle(up: asyncio.Future[None]) -> None:
    if not up.done():
        up.set_result(None)
