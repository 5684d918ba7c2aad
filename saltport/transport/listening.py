"""Creation of listening sockets."""

from __future__ import annotations

import socket

from saltport.address import Address


def listening_socket(address: Address, backlog: int) -> socket.socket:
    """Return a socket that listens at an address, even if old connections are in TIME_WAIT. Raises OSError.

    Danger: without SO_REUSEADDR a restart at the same address fails for a minute. An option that can't be set
    is therefore an error that the caller can retry; `socket.create_server` ignores it.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            listener.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener
