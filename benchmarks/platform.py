"""A test platform that owns the clients' listening socket and starts the processes of a router in turn."""

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

    def is_healthy(self) -> bool:
        """Whether the process accepts clients."""
        try:
            return call(self.admin, "GET", "/healthcheck")[0] == 200
        except (OSError, ValueError):
            return False

    def wait_until_healthy(self) -> Process:
        """Wait until the process accepts clients, and return it."""
        eventually(
            lambda: self.is_healthy() or self.process.poll() is not None, "the process accepts clients"
        )
        assert self.process.poll() is None, self.wait_for_exit()
        return self

    def wait_for_exit(self) -> str:
        """Wait until the process has exited; return its log."""
        _, log = self.process.communicate(timeout=TIMEOUT_S)
        assert "Traceback" not in log, log
        return log

    @property
    def has_exited(self) -> bool:
        """Whether the process has exited."""
        return self.process.poll() is not None


class Platform:
    """Owns the listening socket, the shared folder, discovery, and all processes that it has started."""

    def __init__(
        self,
        folder: Path,
        caches: dict[str, Peer],
        facts: dict[str, Any] | None = None,
        sockets: int = 384,
        arguments: Sequence[str] = (),
        environ: Mapping[str, str] | None = None,
    ) -> None:
        """Create the platform; `arguments` and `environ` are added to those of each process."""
        self._arguments, self._environ = arguments, environ or {}
        self.folder = folder
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self.listener.getsockname()[1])
        self.discovery = DiscoveryPeer([entry(peer, name) for name, peer in caches.items()])
        self.processes: list[Process] = []
        self.clients: WeakSet[Client] = WeakSet()
        self.configuration = configuration(self.port, self.discovery, sockets=sockets, facts=facts)

    def start(self, **environ: str) -> Process:
        """Start another process beside the running ones."""
        admin = ("127.0.0.1", free_port())
        descriptor = self.listener.fileno()
        process = start_router(
            self.folder,
            self.configuration,
            self._arguments,
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
        """Start the next process, and terminate the old one when the new one is healthy."""
        new = self.start().wait_until_healthy()
        old.terminate()
        return new

    def client(self) -> Client:
        """Return a new client connection."""
        client = Client(self.port)
        self.clients.add(client)
        return client


@contextmanager
def platform(folder: Path, caches: dict[str, Peer], **options: Any) -> Iterator[Platform]:
    """Run a platform; at the end, terminate all processes and check their logs.

    A test that expects another end of a process waits for its exit itself.
    """
    running_platform = Platform(folder, caches, **options)
    try:
        yield running_platform
    finally:
        for process in running_platform.processes:
            if process.process.poll() is None:
                process.terminate()
        for client in list(running_platform.clients):
            client.leave()  # a drain waits for each open connection
        for process in running_platform.processes:
            if not process.process.stderr or not process.process.stderr.closed:
                process.wait_for_exit()
        running_platform.listener.close()
        for peer in [*caches.values(), running_platform.discovery.peer]:
            peer.close()


class Load:
    """Clients that send requests without a pause, each on its own connection.

    `unanswered` counts connections that closed without an answer.
    """

    def __init__(self, platform: Platform, count: int, keys: int = 40) -> None:
        self.answered = self.refused = self.unanswered = 0
        self.wrong: list[bytes] = []
        self._platform, self._keys = platform, keys
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._clients = [threading.Thread(target=self._run, args=(n,)) for n in range(count)]
        for client in self._clients:
            client.start()

    def _run(self, number: int) -> None:
        prefix = f"{os.urandom(4).hex()}{number}"
        client, count = self._platform.client(), 0
        while not self._stopping.is_set():
            request_id = f"{prefix}x{count}"
            count += 1
            try:
                answer = client.ask(get(request_id, f"k{count % self._keys}", d=15_000))
            except OSError:
                answer = b""
            with self._lock:
                if answer == request_id.encode():
                    self.answered += 1
                elif answer.startswith(b"-BUSY"):
                    self.refused += 1
                elif not answer:
                    self.unanswered += 1
                    client.close()
                    client = self._platform.client()
                else:
                    self.wrong.append(answer)
        client.close()

    def wait_for_answers(self, count: int) -> None:
        """Wait until this many more requests are answered."""
        done = self.answered
        eventually(lambda: self.answered >= done + count, f"{count} more answers")

    def stop(self) -> None:
        """Stop sending requests."""
        self._stopping.set()
        for client in self._clients:
            client.join()


class LongReaders:
    """Clients that read long values at different speeds without a pause, and compare them by digest.

    All run in one event loop in a separate thread. `complete` counts correct values, `truncated` those that
    ended early, `wrong` those that differ, and `unanswered` connections that closed between two values.
    """

    CHUNK_BYTES = 64 << 10

    def __init__(self, platform: Platform, byte_rates: Sequence[float], values: dict[bytes, bytes]) -> None:
        """`byte_rates`: bytes a second of each client; `values`: by key, as the nodes serve them."""
        self.complete = self.truncated = self.wrong = self.unanswered = self.bytes = 0
        self._port, self._byte_rates = platform.port, byte_rates
        self._digests = {key: (len(value), hashlib.sha256(value).digest()) for key, value in values.items()}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()))
        self._thread.start()

    async def _run(self) -> None:
        await asyncio.gather(
            *(self._client(n, bytes_per_s) for n, bytes_per_s in enumerate(self._byte_rates))
        )

    async def _client(self, number: int, bytes_per_s: float) -> None:
        keys, count = sorted(self._digests), 0
        id_prefix = f"{os.urandom(4).hex()}{number}x"
        while not self._stopping.is_set():
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=self.CHUNK_BYTES)
            try:
                # Check before each request whether the connection was closed as idle.
                while not self._stopping.is_set() and not reader.at_eof():
                    key = keys[(number + count) % len(keys)]
                    count += 1
                    writer.write(get(f"{id_prefix}{count}", key.decode(), d=60_000))
                    await self._value(reader, key, bytes_per_s)
            except (OSError, asyncio.IncompleteReadError):
                self.unanswered += 1
            finally:
                writer.close()

    async def _value(self, reader: asyncio.StreamReader, key: bytes, bytes_per_s: float) -> None:
        length, digest = self._digests[key]
        header = await reader.readuntil(b"\n")
        if header != b"$%d\r\n" % length:
            # A refusal because of the node's limit is expected, as for any read.
            self.wrong += not header.startswith(b"-BUSY")
            await asyncio.sleep(0.05)
            return
        remaining, hasher = length, hashlib.sha256()
        while remaining:
            chunk = await reader.read(min(self.CHUNK_BYTES, remaining))
            if not chunk:
                self.truncated += 1
                raise OSError
            remaining -= len(chunk)
            self.bytes += len(chunk)
            hasher.update(chunk)
            await asyncio.sleep(len(chunk) / bytes_per_s)
        if await reader.readexactly(2) != b"\r\n" or hasher.digest() != digest:
            self.wrong += 1
        else:
            self.complete += 1

    def stop(self) -> None:
        """Request no more values, and finish reading the current ones."""
        self._stopping.set()
        self._thread.join()


def create_long_value_nodes(
    count: int, values: dict[bytes, bytes], byte_rates: Sequence[float]
) -> dict[str, Peer]:
    """Return cache servers that serve these values at one of these rates, and other reads with their ids.

    The node limits the rate: a value that it sent at once would be buffered in the kernel, not in the router.
    """

    def serve(connection: socket.socket, words: list[bytes]) -> bytes | None:
        value = values.get(words[1])
        if value is None:
            return hit(words[2])
        bytes_per_s, chunk_bytes = byte_rates[zlib.crc32(words[2]) % len(byte_rates)], 64 << 10
        answer = hit(value)
        for offset in range(0, len(answer), chunk_bytes):
            connection.sendall(answer[offset : offset + chunk_bytes])
            time.sleep(chunk_bytes / bytes_per_s)
        return None

    return {f"s{i}": Peer(serve) for i in range(count)}
