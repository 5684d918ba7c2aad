"""Hostile clients in numbers, the usual clients beside them, and the memory of their router."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.faults.servers import server_process
from tests.sockets import MISS, Peer, RunningRouter, get, hit, run_router

DEADLINE_MS = 1200
LATE_S = 0.55
"""After a deadline, from which an answer is lost: half a second (STANDING) and 50 ms of slack."""
USUAL_PAUSE_S = 0.05
USUAL_CLIENTS = 4
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


@dataclass
class UsualClients:
    """What the reads of usual clients ended in, and how long the answered ones took."""

    outcomes: Counter[str] = field(default_factory=Counter)
    took_s: list[float] = field(default_factory=list)

    def record(self, answer: bytes, took_s: float) -> None:
        """Count one read by its answer; empty: its connection has ended."""
        late = took_s > DEADLINE_MS / 1000 + LATE_S
        kind = {b"$": "served", b"-": "refused" if answer.startswith(b"-BUSY") else "failed"}.get(answer[:1])
        self.outcomes["lost" if late or kind is None else kind] += 1
        self.took_s.append(took_s)

    @property
    def median_s(self) -> float:
        return sorted(self.took_s)[len(self.took_s) // 2]


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


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


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return the first line of an answer, and read all of it; empty at the end of the connection."""
    line = await reader.readline()
    if line.startswith(b"$") and not line.startswith(b"$-"):
        await reader.readexactly(int(line[1:]) + 2)
    return line


class UsualClient:
    """A client that keeps a connection, and opens another one if that is closed between two requests."""

    def __init__(self, router: RunningRouter, name: str, usual: UsualClients) -> None:
        self._port, self._name, self._usual = router.port, name, usual
        self._streams: Streams | None = None

    async def run(self, seconds: float) -> None:
        """Read one key after another for some seconds."""
        end, number = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            number += 1
            request = get(f"{self._name}-{number}", f"u{self._name}{number % 50}", DEADLINE_MS)
            began = time.monotonic()
            is_kept = self._streams is not None and not self._streams[0].at_eof()
            answer = await self._ask(request)
            if not answer and is_kept:
                # The close has crossed a request that was not read (PROTOCOL, "Clients to routers").
                answer = await self._ask(request)
            self._usual.record(answer, time.monotonic() - began)
            await asyncio.sleep(USUAL_PAUSE_S)
        self._close()

    async def _ask(self, request: bytes) -> bytes:
        """Send a request; return the first line of its answer, empty if the connection ends or none comes."""
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(DEADLINE_MS / 1000 + LATE_S + 1):
                if self._streams is None or self._streams[0].at_eof():
                    self._close()
                    self._streams = await asyncio.open_connection("127.0.0.1", self._port)
                self._streams[1].write(request)
                if answer := await read_answer(self._streams[0]):
                    return answer
        self._close()
        return b""

    def _close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


HostileClient = Callable[[RunningRouter, int], Awaitable[None]]


async def play(router: RunningRouter, hostile: HostileClient, clients: int, seconds: float) -> UsualClients:
    """Run so many hostile clients for some seconds beside the usual ones; return what the latter saw."""

    async def guarded(number: int) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await hostile(router, number)

    usual = UsualClients()
    clients_beside = [UsualClient(router, f"n{number}", usual) for number in range(USUAL_CLIENTS)]
    usual_tasks = [asyncio.create_task(client.run(seconds)) for client in clients_beside]
    await asyncio.sleep(SETTLE_S)
    tasks = [asyncio.create_task(guarded(number)) for number in range(clients)]
    await asyncio.gather(*usual_tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return usual


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
