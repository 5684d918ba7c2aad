"""A platform that holds the clients' listening socket, and starts one process of a router after another."""

from __future__ import annotations

import asyncio
import hashlib
import os
import socket
import threading
import time
import zlib
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from weakref import WeakSet

from saltport.admin.client import call
from tests.sockets import (
    TIMEOUT_S,
    Client,
    DiscoveryPeer,
    Peer,
    RouterHandle,
    configuration,
    entry,
    eventually,
    free_port,
    get,
    hit,
    start_router,
)


class Process(RouterHandle):
    """One process of the router."""

    def healthy(self) -> bool:
        """Whether it takes clients."""
        try:
            return call(self.admin, "GET", "/healthcheck")[0] == 200
        except (OSError, ValueError):
            return False

    def ready(self) -> Process:
        """Wait until it does."""
        eventually(lambda: self.healthy() or self.process.poll() is not None, "it takes clients")
        assert self.process.poll() is None, self.end()
        return self

    def end(self) -> str:
        """Wait until it has ended; returns its log."""
        _, log = self.process.communicate(timeout=TIMEOUT_S)
        assert "Traceback" not in log, log
        return log

    @property
    def gone(self) -> bool:
        """Whether it has ended."""
        return self.process.poll() is not None


class Platform:
    """Holds the socket, the shared folder, discovery, and every process it started."""

    def __init__(
        self,
        folder: Path,
        caches: dict[str, Peer],
        facts: dict[str, Any] | None = None,
        sockets: int = 384,
        more: Sequence[str] = (),
        environ: Mapping[str, str] | None = None,
    ) -> None:
        """`more`: further words for each process's command line; `environ`: what each finds besides."""
        self._more, self._environ = more, environ or {}
        self.folder = folder
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self.listener.getsockname()[1])
        self.discovery = DiscoveryPeer([entry(peer, name) for name, peer in caches.items()])
        self.processes: list[Process] = []
        self.clients: WeakSet[Client] = WeakSet()
        self.told = configuration(self.port, self.discovery, sockets=sockets, facts=facts)

    def start(self, **environ: str) -> Process:
        """Start one more process, beside those that run."""
        admin = ("127.0.0.1", free_port())
        descriptor = self.listener.fileno()
        process = start_router(
            self.folder,
            self.told,
            self._more,
            environ={
                "LB_SOCKET_FD": str(descriptor),
                "LB_ADMIN_ADDR": "{}:{}".format(*admin),
                **self._environ,
                **environ,
            },
            inherits=[descriptor],
        )
        self.processes.append(Process(process, admin))
        return self.processes[-1]

    def upgrade(self, old: Process) -> Process:
        """Start the next process, and end the old one when it says yes."""
        new = self.start().ready()
        old.terminate()
        return new

    def client(self) -> Client:
        """A new connection."""
        client = Client(self.port)
        self.clients.add(client)
        return client


@contextmanager
def platform(folder: Path, caches: dict[str, Peer], **more: Any) -> Iterator[Platform]:
    """Every process is ended, and its log looked at; whoever wants another end ends it first."""
    held = Platform(folder, caches, **more)
    try:
        yield held
    finally:
        for process in held.processes:
            if process.process.poll() is None:
                process.terminate()
        for client in list(held.clients):
            client.leave()  # a drain lingers on each that stays
        for process in held.processes:
            if not process.process.stderr or not process.process.stderr.closed:
                process.end()
        held.listener.close()
        for peer in [*caches.values(), held.discovery.peer]:
            peer.close()


class Load:
    """Clients that ask without a pause, each on a connection that it keeps; endings at the door count."""

    def __init__(self, platform: Platform, count: int, keys: int = 40) -> None:
        self.answered = self.refused = self.doors = 0
        self.wrong: list[bytes] = []
        self._platform, self._keys = platform, keys
        self._over = threading.Event()
        self._lock = threading.Lock()
        self._clients = [threading.Thread(target=self._run, args=(n,)) for n in range(count)]
        for client in self._clients:
            client.start()

    def _run(self, number: int) -> None:
        prefix = f"{os.urandom(4).hex()}{number}"
        client, count = self._platform.client(), 0
        while not self._over.is_set():
            name = f"{prefix}x{count}"
            count += 1
            try:
                answer = client.ask(get(name, f"k{count % self._keys}", d=15_000))
            except OSError:
                answer = b""
            with self._lock:
                if answer == name.encode():
                    self.answered += 1
                elif answer.startswith(b"-BUSY"):
                    self.refused += 1
                elif not answer:
                    self.doors += 1
                    client.close()
                    client = self._platform.client()
                else:
                    self.wrong.append(answer)
        client.close()

    def more(self, count: int) -> None:
        """Wait until so many more are answered."""
        done = self.answered
        eventually(lambda: self.answered >= done + count, f"{count} more answers")

    def stop(self) -> None:
        """Ask no more."""
        self._over.set()
        for client in self._clients:
            client.join()


class LongReaders:
    """Clients that read long values at mixed speeds without a pause, and compare what came by digest.

    All run in one loop of a thread of their own. A value that is not whole is cut, one that differs is wrong,
    and a connection that ends between values ends at the door.
    """

    STEP = 64 << 10

    def __init__(self, platform: Platform, paces: Sequence[float], values: dict[bytes, bytes]) -> None:
        """`paces`: bytes a second of each client; `values`: by key, as the nodes serve them."""
        self.whole = self.cut = self.wrong = self.doors = self.bytes = 0
        self._port, self._paces = platform.port, paces
        self._digests = {key: (len(value), hashlib.sha256(value).digest()) for key, value in values.items()}
        self._over = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self._thread.start()

    async def _run(self) -> None:
        await asyncio.gather(*(self._client(n, pace) for n, pace in enumerate(self._paces)))

    async def _client(self, number: int, pace: float) -> None:
        keys, count = sorted(self._digests), 0
        name = f"{os.urandom(4).hex()}{number}x"
        while not self._over.is_set():
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=self.STEP)
            try:
                # One that was closed as idle, while its client was still reading, is seen before it is used.
                while not self._over.is_set() and not reader.at_eof():
                    key = keys[(number + count) % len(keys)]
                    count += 1
                    writer.write(get(f"{name}{count}", key.decode(), d=60_000))
                    await self._value(reader, key, pace)
            except (OSError, asyncio.IncompleteReadError):
                self.doors += 1
            finally:
                writer.close()

    async def _value(self, reader: asyncio.StreamReader, key: bytes, pace: float) -> None:
        length, digest = self._digests[key]
        head = await reader.readuntil(b"\n")
        if head != b"$%d\r\n" % length:
            self.wrong += not head.startswith(b"-BUSY")  # refused: the node's limit, as for any read
            await asyncio.sleep(0.05)
            return
        left, seen = length, hashlib.sha256()
        while left:
            part = await reader.read(min(self.STEP, left))
            if not part:
                self.cut += 1
                raise OSError
            left -= len(part)
            self.bytes += len(part)
            seen.update(part)
            await asyncio.sleep(len(part) / pace)
        if await reader.readexactly(2) != b"\r\n" or seen.digest() != digest:
            self.wrong += 1
        else:
            self.whole += 1

    def stop(self) -> None:
        """Begin no more values, and read those that have begun to their end."""
        self._over.set()
        self._thread.join()


def long_nodes(count: int, values: dict[bytes, bytes], paces: Sequence[float]) -> dict[str, Peer]:
    """Caches that serve these values, each at one of these paces, and answer other reads with their ids.

    Paced in the node: a value that is sent at once lies in the kernel, and none is under way in the router.
    """

    def serve(connection: socket.socket, words: list[bytes]) -> bytes | None:
        value = values.get(words[1])
        if value is None:
            return hit(words[2])
        pace, step = paces[zlib.crc32(words[2]) % len(paces)], 64 << 10
        answer = hit(value)
        for at in range(0, len(answer), step):
            connection.sendall(answer[at : at + step])
            time.sleep(step / pace)
        return None

    return {f"s{i}": Peer(serve) for i in range(count)}
