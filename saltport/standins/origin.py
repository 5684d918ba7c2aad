"""A simulated origin server over HTTP/1.1: applies writes, serves reads and fills the caches that missed."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Iterator
from typing import Any, Protocol
from urllib.parse import unquote

import httptools

from saltport.standins.ledger import Ledger
from saltport.standins.model import NS_PER_MS, Cores, DuplicateFilter, StoredObject
from saltport.standins.node import make_value
from saltport.standins.peer import Peer, PeerConnection
from saltport.standins.profile import ClassProfile, Profile
from saltport.standins.spoil import corrupt_http_response, http_answer
from saltport.wire.resp import parse_info

MAX_REMEMBERED = 100_000
# Header of a 503 reply: the origin states that it has not begun the request, so even a write can be retried.
NOT_STARTED = b"Not-Started: 1"


class FleetCaches(Protocol):
    """The caches of the fleet, as the origin updates them."""

    def fill(self, request_id: str, key: str, stored: StoredObject) -> None:
        """Store a value at the nodes that missed on this request."""

    def invalidate(self, key: str) -> None:
        """Drop all cached copies of a key."""


class HttpPeerConnection(PeerConnection):
    """An HTTP server connection: parses requests and sends the replies in their order."""

    def __init__(self, peer: Peer) -> None:
        super().__init__(peer)
        self._parser = httptools.HttpRequestParser(self)
        self._reply_slots: deque[list[Any]] = deque()
        self._first_byte_at = 0
        self._start_request()

    def _start_request(self) -> None:
        """Clear the parsed parts of the previous request."""
        self._target, self._body = b"", bytearray()
        self._headers: dict[bytes, bytes] = {}

    def data_received(self, data: bytes) -> None:
        """Parse received requests; a malformed one resets the connection."""
        self._first_byte_at = self._first_byte_at or self.peer.earliest_arrival(time.monotonic_ns())
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_url(self, url: bytes) -> None:
        """Parser callback of httptools."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback of httptools."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Parser callback of httptools."""
        self._body += body

    def on_message_complete(self) -> None:
        """Parser callback of httptools."""
        reply_slot: list[Any] = [None]
        self._reply_slots.append(reply_slot)
        method, target = self._parser.get_method(), self._target.decode("ascii", "replace")
        headers, body, first_byte_at = self._headers, bytes(self._body), self._first_byte_at
        self._start_request()
        self._first_byte_at = 0
        self.handle_request(reply_slot, method, target, headers, body, first_byte_at)

    def handle_request(
        self,
        reply_slot: list[Any],
        method: bytes,
        target: str,
        headers: dict[bytes, bytes],
        body: bytes,
        first_byte_at: int,
    ) -> None:
        """Handle one request and answer it in `reply_slot`; `first_byte_at` is a time in nanoseconds."""
        raise NotImplementedError

    def answer(self, reply_slot: list[Any], data: bytes | Iterator[bytes]) -> None:
        """Fill a request's reply slot; the reply is sent after those of earlier requests."""
        reply_slot[0] = data
        self.on_resumed()

    def on_resumed(self) -> None:
        """Send the completed replies at the head of the queue."""
        while self._reply_slots and self._reply_slots[0][0] is not None and not self.peer.suspended:
            data = self._reply_slots.popleft()[0]
            for part in (data,) if isinstance(data, bytes) else data:
                self.write(part)


class OriginConnection(HttpPeerConnection):
    """A connection from a router to the origin."""

    def __init__(self, origin: Origin) -> None:
        super().__init__(origin.peer)
        self._origin = origin

    def handle_request(
        self,
        reply_slot: list[Any],
        method: bytes,
        target: str,
        headers: dict[bytes, bytes],
        body: bytes,
        first_byte_at: int,
    ) -> None:
        """Pass a read, write or probe to the origin."""
        self._origin.handle_request(self, reply_slot, method, target, headers, body, first_byte_at)


class Origin:
    """The authoritative store behind the cache nodes, with little capacity."""

    def __init__(
        self, origin_id: str, profile: Profile, fleet: FleetCaches, ledger: Ledger, seed: int
    ) -> None:
        self.id, self.profile, self.ledger = origin_id, profile, ledger
        self._fleet, self._rng = fleet, random.Random(seed)
        self.peer = Peer(lambda: OriginConnection(self))
        self.cores = Cores(profile.origin_width, profile.origin_queue)
        self.duplicates = DuplicateFilter()
        self.versions: dict[str, int] = {}
        self.incarnation = 0
        self.full = False
        self.corruption: tuple[str, float] | None = None

    def size(self, key: str) -> int:
        """Return the size of a key's value in bytes, derived from the key so that it never changes."""
        number, profile = hash_of(key), self.profile
        is_large = number % 1000 < profile.large_share * 1000
        low, high = profile.large_bytes if is_large else profile.small_bytes
        return low + number // 1000 % (high - low + 1)

    def handle_request(
        self, connection: OriginConnection, reply_slot: list[Any], method: bytes, target: str,
        headers: dict[bytes, bytes], body: bytes, first_byte_at: int,
    ) -> None:  # fmt: skip
        """Handle one complete request; `first_byte_at` is its arrival time in nanoseconds."""
        now = time.monotonic_ns()
        if target in ("/health/live", "/stats"):
            self.ledger.write("probe", now, node=self.id)
            connection.answer(reply_slot, http_answer(200, b"latency_ms=1,queue=0"))
            return
        try:
            request_id, info = headers[b"request-id"].decode(), headers[b"request-info"]
            fields = parse_info(info)
            request_class = self.profile.request_class(fields["c"])
            key = unquote(target[1:])
        except (KeyError, ValueError):
            self.ledger.write("syntax", node=self.id, words=[repr(method), target[:80]])
            connection.answer(reply_slot, http_answer(400, b""))
            return
        attempt = {
            "node": self.id, "address": self.peer.host_port, "id": request_id,
            "cls": request_class.name, "key": key, "k": fields.get("k"),
            "info": info.decode(), "first": first_byte_at,
        }  # fmt: skip
        work = self._rng.uniform(*self.profile.origin_work_ms)
        done_at = None if self.full else self.cores.schedule(now, work, 1.0)
        if done_at is None:
            self.ledger.write("attempt", now, **attempt, outcome="busy")
            connection.answer(reply_slot, http_answer(503, b"", NOT_STARTED))
            return
        self.ledger.write("attempt", now, **attempt, outcome="begun")
        incarnation, is_write = self.incarnation, method == b"PUT"
        asyncio.get_running_loop().call_later(
            max(done_at - time.monotonic_ns(), 0) / 1e9,
            lambda: self._finish(
                connection, reply_slot, request_class, request_id, key, fields.get("k"), is_write, incarnation
            ),
        )

    def _finish(
        self, connection: OriginConnection, reply_slot: list[Any], request_class: ClassProfile,
        request_id: str, key: str, idempotency_key: str | None, is_write: bool, incarnation: int,
    ) -> None:  # fmt: skip
        """Apply a write or read a value, and send the reply, unless the origin has crashed since."""
        if incarnation != self.incarnation:
            return
        now = time.monotonic_ns()
        if is_write:
            window = request_class.window_ms * NS_PER_MS
            is_repeat_write = (
                bool(idempotency_key)
                and request_class.semantics == "dedup"
                and self.duplicates.is_duplicate(str(idempotency_key), window, now)
            )
            if not is_repeat_write:
                self.versions[key] = self.versions.get(key, 1) + 1
                self._fleet.invalidate(key)
            self.ledger.write(
                "effect",
                now,
                node=self.id,
                id=request_id,
                key=key,
                k=idempotency_key,
                repeat=is_repeat_write,
                cls=request_class.name,
                version=self.versions.get(key, 1),
            )
            value = f"{request_id} {key} receipt ".encode()
        else:
            stored = StoredObject(self.versions.get(key, 1), self.size(key))
            value = make_value(request_id, key, stored)
            self.ledger.write("done", now, node=self.id, id=request_id, outcome="fetched")
        if self.corruption is not None and self._rng.random() < self.corruption[1]:
            corruption_kind = self.corruption[0]
            self.ledger.write("spoilt", now, node=self.id, id=request_id, how=corruption_kind)
            corrupted = corrupt_http_response(corruption_kind, value, self._rng)
            if corrupted is None:
                good = http_answer(200, value)
                connection.write(good[: len(good) // 2])
                asyncio.get_running_loop().call_later(0.005, connection.reset)
                return
            connection.answer(reply_slot, corrupted)
            return
        if not is_write:
            self._fleet.fill(request_id, key, stored)
        connection.answer(reply_slot, http_answer(200, value))

    def crash(self) -> None:
        """Simulate a crash: connections are reset and requests in work have no effect."""
        self.incarnation += 1
        self.peer.crash()

    def restart(self) -> None:
        """Restart at the same address; object versions and idempotency keys survive."""
        self.cores = Cores(self.profile.origin_width, self.profile.origin_queue)
        self.peer.open()


def hash_of(key: str) -> int:
    """Return the 32-bit FNV-1a hash of a key, the same in every process."""
    number = 2166136261
    for byte in key.encode():
        number = (number ^ byte) * 16777619 & 0xFFFFFFFF
    return number
