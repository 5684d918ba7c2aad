"""Outgoing TCP connections."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Callable

from saltport.address import Address
from saltport.transport.stream import StreamProtocol, TcpStream

_IN_PROGRESS = frozenset({errno.EINPROGRESS, errno.EALREADY})
"""connect(2): the connection is being established; the socket becomes writable at the end."""
_CONNECTED = frozenset({0, errno.EISCONN})
CONNECT_ATTEMPTS = 3
"""For an interrupted connect(2): the next call returns whether the connection is being established."""


async def dial(
    loop: asyncio.AbstractEventLoop, make_protocol: Callable[[], StreamProtocol], address: Address
) -> TcpStream:
    """Connect, and return a stream; its protocol is created once it is connected. Raises OSError."""
    family, sockaddr = await _resolve(loop, address)
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        await _connect(loop, sock, sockaddr)
        return TcpStream(loop, sock, make_protocol())
    except BaseException:
        sock.close()
        raise


async def _resolve(loop: asyncio.AbstractEventLoop, address: Address) -> tuple[int, Address]:
    """Return the family and the numeric address; only a host name needs the resolver, in a thread."""
    host, port = address
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, host)
        except OSError:
            continue
        return family, address
    results = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    family, _, _, _, sockaddr = results[0]
    return family, (str(sockaddr[0]), int(sockaddr[1]))


async def _connect(loop: asyncio.AbstractEventLoop, sock: socket.socket, sockaddr: Address) -> None:
    """Connect a non-blocking socket; raises OSError."""
    for _ in range(CONNECT_ATTEMPTS):
        error = sock.connect_ex(sockaddr)
        if error != errno.EINTR:
            break
    if error in _CONNECTED:
        return
    if error not in _IN_PROGRESS:
        raise OSError(error, os.strerror(error))
    connected = loop.create_future()
    loop.add_writer(sock.fileno(), _set_connected, connected)
    try:
        await connected
    finally:
        loop.remove_writer(sock.fileno())
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, os.strerror(error))


def _set_connected(connected: asyncio.Future[None]) -> None:
    if not connected.done():
        connected.set_result(None)
