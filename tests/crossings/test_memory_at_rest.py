"""What a connection keeps while it is idle: hundreds of them share the least memory with all requests."""

from __future__ import annotations

import asyncio
import gc
import socket
import tracemalloc

from saltport.downstream.clients import ClientServer
from saltport.downstream.resp import RespDialect
from saltport.transport.loop import run_on_router_loop
from tests.crossings.test_closing import RecordingHost

LEAST_MEMORY_BYTES, MOST_DESCRIPTORS = 32 << 20, 1024  # DAYS: limits of the smallest deployment
CONNECTIONS_SHARE = 1 / 8  # of the memory, for all connections that ask nothing
CLIENTS = 200


async def connect(server: ClientServer, port: int, number: int) -> list[socket.socket]:
    """Connect so many clients, and wait until all are accepted."""
    wanted, clients = server.connected + number, []
    for _ in range(number):
        clients.append(socket.create_connection(("127.0.0.1", port)))
        await asyncio.sleep(0)
    while server.connected < wanted:
        await asyncio.sleep(0.001)
    return clients


def test_idle_connections_leave_the_memory_to_requests() -> None:
    """Guards against a router that sheds its clients since a thousand idle ones fill the least memory."""

    async def measure() -> float:
        server = ClientServer(asyncio.get_running_loop(), RecordingHost(), RespDialect, 2 * CLIENTS, 1 << 20)
        port = server.listen(("127.0.0.1", 0))
        clients = await connect(server, port, CLIENTS // 4)
        gc.collect()
        tracemalloc.start()
        clients += await connect(server, port, CLIENTS)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        for client in clients:
            client.close()
        server.close()
        await asyncio.sleep(0)
        return size / CLIENTS

    assert run_on_router_loop(measure()) <= LEAST_MEMORY_BYTES * CONNECTIONS_SHARE / MOST_DESCRIPTORS
