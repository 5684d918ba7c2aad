"""A scripted memcached client, and an origin that stores written values, for tests with the real router."""

from __future__ import annotations

import re
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from saltport.wire.memcached import REQUEST_MAGIC, RESPONSE_MAGIC, Packet, PacketReader, encode
from tests.sockets import MISS, TIMEOUT_S, Peer, RunningRouter, free_port, hit, http_answer, run_router

MEMCACHED_FEATURE = """
[memcached]
shared = true
listen = "127.0.0.1:{port}"
read_class = "get"
write_class = "put"
delete_class = "put"
tenant = "acme"
deadline_ms = 5000
"""


IDEMPOTENCY_KEY = re.compile(rb"^Request-Info:.*[ ,]k=([^,\r\n]+)", re.MULTILINE)


class OriginStore:
    """An origin that stores written values, and a cache server that hits on exactly these values.

    A repeated write is dropped by its idempotency key and answered with the receipt, as by the real origin.
    Idempotency keys never expire here: crossings/test_moment_of_sending.py checks that the router sends no
    repeat after the deduplication window.
    """

    def __init__(self) -> None:
        self.values: dict[bytes, bytes] = {}
        self.writes: list[tuple[bytes, bytes, bytes]] = []
        """The writes that took effect, in order: key, value and head."""
        self.repeats = 0
        """Number of writes dropped as repeats."""
        self._applied_keys: set[bytes] = set()
        self._lock = threading.Lock()
        self.cache = Peer(self._cached)
        self.origin = Peer(self._origin, is_http=True)

    def _cached(self, _: socket.socket, words: list[bytes]) -> bytes:
        return MISS if words[1].startswith(b"cold") else self._hit(words[1])

    def _hit(self, key: bytes) -> bytes:
        return hit(self.values[key]) if key in self.values else MISS

    def _origin(self, _: socket.socket, message: list[bytes]) -> bytes:
        method, target, head, body = message
        key = target[1:]
        if method == b"PUT":
            self._write(key, body, head)
            return http_answer(200, b"receipt")
        if key == b"broken":
            return http_answer(500)
        return http_answer(200, self.values.get(key, b"fresh " + key))

    def _write(self, key: bytes, body: bytes, head: bytes) -> None:
        """Apply a write once per idempotency key, even if repeats arrive on several connections."""
        found = IDEMPOTENCY_KEY.search(head)
        with self._lock:
            if found is not None and found[1] in self._applied_keys:
                self.repeats += 1
                return
            if found is not None:
                self._applied_keys.add(found[1])
            self.writes.append((key, body, head))
            self.values[key] = body


@contextmanager
def run_memcached_router(folder: Path, store: OriginStore) -> Iterator[tuple[RunningRouter, int]]:
    """Start a router with the memcached feature in front of the store; yield it and its memcached port."""
    port = free_port()
    features = folder / "memcached.toml"
    features.write_text(MEMCACHED_FEATURE.format(port=port))
    with run_router(folder, {"s1": store.cache}, store.origin, more=["--with", str(features)]) as router:
        yield router, port


class MemcachedClient:
    """A scripted memcached client."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=TIMEOUT_S)
        self._reader, self._read = PacketReader(RESPONSE_MAGIC), list[Packet]()

    def send(self, *packets: Packet) -> None:
        self.socket.sendall(b"".join(encode(packet, REQUEST_MAGIC) for packet in packets))

    def answers(self, count: int) -> list[Packet]:
        """Read and return this number of reply packets."""
        while len(self._read) < count:
            data = self.socket.recv(65536)
            assert data, "closed"
            self._read += self._reader.feed(data)
        answers, self._read = self._read[:count], self._read[count:]
        return answers

    def at_end(self) -> bool:
        """Whether the router closes the connection without sending any more bytes."""
        try:
            return self.socket.recv(1) == b""
        except ConnectionResetError:
            return True
