"""The clock of the virtual-time loop does not pass the end of a connection that is on its way."""

from __future__ import annotations

import asyncio
import socket
import threading
import time

from tests.crossings.virtual_time import run_scenario

DELAY_S = 0.1


def test_time_waits_for_the_end_of_a_connection_that_the_kernel_sends_late() -> None:
    # Guards against: with little memory for TCP the kernel sent a FIN 0.2 s late, and hours passed meanwhile.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        accepted: asyncio.Future[asyncio.StreamWriter] = loop.create_future()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            accepted.set_result(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        reader, client = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer = await accepted
        # The end is sent when the last descriptor closes: once this thread has slept in real time.
        copy: socket.socket = writer.get_extra_info("socket").dup()

        def close_late() -> None:
            time.sleep(DELAY_S)
            copy.close()

        threading.Thread(target=close_late).start()
        writer.close()
        began = loop.time()
        async with asyncio.timeout(3600):
            assert await reader.read() == b""
        assert loop.time() - began < 1.0
        client.close()
        server.close()
        await asyncio.sleep(1)

    run_scenario(scenario())


def test_time_passes_while_connections_are_open_or_both_ends_are_closed() -> None:
    async def scenario() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        _, first = await asyncio.open_connection(*server.sockets[0].getsockname())
        _, second = await asyncio.open_connection(*server.sockets[0].getsockname())
        began = time.monotonic()
        await asyncio.sleep(3600)
        first.close()
        await asyncio.sleep(3600)
        assert time.monotonic() - began < 30
        second.close()
        server.close()
        await asyncio.sleep(1)

    run_scenario(scenario())
