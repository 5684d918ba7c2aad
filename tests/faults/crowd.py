"""Hostile clients in numbers, the usual clients beside them, and the memory of their router."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from pathlib import Path
from typing import Any

from tests.faults.servers import server_process
from tests.faults.usual_clients import DEADLINE_MS, UsualClients, usual_clients
from tests.sockets import MISS, Peer, RunningRouter, get, hit, run_router

SETTLE_S = 0.2  # for which the usual clients are alone at first
CACHES = 20
RECEIVE_BUFFER_BYTES = 16 << 10  # of a client that reads slowly, so that the kernel takes little for it
FACTS: dict[str, Any] = {
    "classes": [
        {"name": "get", "aimNs": 3 * 10**8, "giveUpNs": DEADLINE_MS * 10**6, "semantics": "retryable"},
        {"name": "put", "aimNs": 5 * 10**8, "giveUpNs": DEADLINE_MS * 10**6, "semantics": "dedup",
         "dedupWindowNs": 25 * 10**8},
        {"name": "once", "aimNs": 5 * 10**8, "giveUpNs": DEADLINE_MS * 10**6, "semantics": "fragile"},
    ],
}  # fmt: skip


def cache_of(sizes: dict[bytes, int]) -> Peer:
    """Return a cache server that has keys with these first letters, with values of these sizes."""

    def serve(_: socket.socket, words: list[bytes]) -> bytes:
        size = sizes.get(words[1][:1])
        return MISS if size is None else hit(words[2].ljust(size, b"."))

    return Peer(serve)


@contextmanager
def running(
    folder: Path, memory_mb: int, sizes: dict[str, int] | None = None, record: Path | None = None
) -> Iterator[RunningRouter]:
    """Run a router with cache servers and an origin; the usual clients' keys begin with `u`."""
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    with server_process(CACHES, {"u": 100, **(sizes or {})}, record) as (caches, origin):  # noqa: SIM117
        with run_router(folder, caches, origin, limits=limits, facts=FACTS) as router:
            yield router


@asynccontextmanager
async def connected(
    router: RunningRouter,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Connect to the router, and close the connection at once at the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


HostileClient = Callable[[RunningRouter, int], Awaitable[None]]


async def play(router: RunningRouter, hostile: HostileClient, clients: int, seconds: float) -> UsualClients:
    """Run so many hostile clients for some seconds beside the usual ones; return what the latter saw."""

    async def guarded(number: int) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await hostile(router, number)

    async with usual_clients(router.port, seconds) as usual:
        await asyncio.sleep(SETTLE_S)
        tasks = [asyncio.create_task(guarded(number)) for number in range(clients)]
        outcome = await usual.outcome()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return outcome


async def connect_slow_reader(router: RunningRouter) -> tuple[socket.socket, asyncio.AbstractEventLoop]:
    """Connect a socket with a small receive buffer, for a client that reads slowly or not at all."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await loop.sock_connect(sock, ("127.0.0.1", router.port))
    return sock, loop


MANY_READS = b"".join(get(f"m####-{i}", f"m####/{i}", DEADLINE_MS) for i in range(2000))


async def many_reads(router: RunningRouter, number: int) -> None:
    """Send 2,000 reads of keys that no cache has at once."""
    async with connected(router) as (reader, writer):
        writer.write(MANY_READS.replace(b"####", b"%04d" % number))
        while await reader.read(1 << 16):
            pass
