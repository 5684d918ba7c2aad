"""The listener of a simulated server."""

from __future__ import annotations

import asyncio
import socket

import pytest

from saltport.standins.peer import Peer


def test_port_of_a_peer_that_refuses_connections_goes_to_nobody_else() -> None:
    """Guards against routers that reach another program's server at the address of one that is down."""

    async def main() -> None:
        peer = Peer(lambda: pytest.fail("no connection is accepted"))
        peer.open()
        address = peer.address
        peer.refuse_connections()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(address)
        peer.open()
        assert peer.address == address
        peer.close()
        with socket.socket() as other:
            other.bind(address)

    asyncio.run(main())
