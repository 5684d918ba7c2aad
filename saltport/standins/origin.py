"""The origin: HTTP/1.1, slow and of small capacity; it carries out writes and fills the nodes that missed."""

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
from saltport.standins.model import MS, Cores, Kept, Repeats
from saltport.standins.node import make_value
from saltport.standins.peer import Peer, PeerConnection
from saltport.standins.profile import ClassProfile, Profile
from saltport.standins.spoil import http_answer, spoil_http
from saltport.wire.resp import parse_info

MAX_REMEMBERED = 100_000
NOT_STARTED = b"Not-Started: 1"


class Shared(Protocol):
    """What the origin reaches of the fleet."""

    def fill(self, request_id: str, key: str, kept: Kept) -> None:
        """Store a value at the nodes that missed for this request."""

    def void(self, key: str) -> None:
        """Drop every kept copy of a key."""


class HttpPeerConnection(PeerConnection):
    """Reads HTTP requests and answers them in order."""

    def __init__(self, peer: Peer) -> None:
        super().__init__(peer)
        self._parser = httptools.HttpRequestParser(self)
        self._slots: deque[list[Any]] = deque()
        self._first_at = 0
        self._begin()

    def _begin(self) -> None:
        self._target, self._body = b"", bytearray()
        self._headers: dict[bytes, bytes] = {}

    def data_received(self, data: bytes) -> None:
        """Read requests; what is none ends the connection."""
        self._first_at = self._first_at or self.peer.came_since(time.monotonic_ns())
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()

    def on_url(self, url: bytes) -> None:
        """Called by httptools."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        self._headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Called by httptools."""
        self._body += body

    def on_message_complete(self) -> None:
        """Called by httptools."""
        place: list[Any] = [None]
        self._slots.append(place)
        method, target = self._parser.get_method(), self._target.decode("ascii", "replace")
        headers, body, first = self._headers, bytes(self._body), self._first_at
        self._begin()
        self._first_at = 0
        self.request_came(place, method, target, headers, body, first)

    def request_came(
        self,
        place: list[Any],
        method: bytes,
        target: str,
        headers: dict[bytes, bytes],
        body: bytes,
        first: int,
    ) -> None:
        """Take one request."""
        raise NotImplementedError

    def answer(self, place: list[Any], data: bytes | Iterator[bytes]) -> None:
        """Give a request's answer; it leaves once those ahead have."""
        place[0] = data
        self.spoken()

    def spoken(self) -> None:
        """Send what can go."""
        while self._slots and self._slots[0][0] is not None and not self.peer.silent:
            data = self._slots.popleft()[0]
            for part in (data,) if isinstance(data, bytes) else data:
                self.write(part)


class OriginConnection(HttpPeerConnection):
    """One connection of a router to the origin."""

    def __init__(self, origin: Origin) -> None:
        super().__init__(origin.peer)
        self._origin = origin

    def request_came(
        self,
        place: list[Any],
        method: bytes,
        target: str,
        headers: dict[bytes, bytes],
        body: bytes,
        first: int,
    ) -> None:
        """Take a read, a write or a probe."""
        self._origin.take(self, place, method, target, headers, body, first)


class Origin:
    """The one slow store behind all nodes."""

    def __init__(self, origin_id: str, profile: Profile, shared: Shared, ledger: Ledger, seed: int) -> None:
        self.id, self.profile, self.ledger = origin_id, profile, ledger
        self._shared, self._rng = shared, random.Random(seed)
        self.peer = Peer(lambda: OriginConnection(self))
        self.cores = Cores(profile.origin_width, profile.origin_queue)
        self.repeats = Repeats()
        self.versions: dict[str, int] = {}
        self.life = 0
        self.full = False
        self.spoil: tuple[str, float] | None = None

    def size(self, key: str) -> int:
        """The size of a key's value: drawn from the key, so that it is always the same."""
        number, profile = hash_of(key), self.profile
        is_large = number % 1000 < profile.large_share * 1000
        low, high = profile.large_bytes if is_large else profile.small_bytes
        return low + number // 1000 % (high - low + 1)

    def take(
        self, connection: OriginConnection, place: list[Any], method: bytes, target: str,
        headers: dict[bytes, bytes], body: bytes, first: int,
    ) -> None:  # fmt: skip
        """Take one request: its last byte has come."""
        now = time.monotonic_ns()
        if target in ("/health/live", "/stats"):
            self.ledger.write("probe", now, node=self.id)
            connection.answer(place, http_answer(200, b"latency_ms=1,queue=0"))
            return
        try:
            request_id, info = headers[b"request-id"].decode(), headers[b"request-info"]
            fields = parse_info(info)
            known = self.profile.request_class(fields["c"])
            key = unquote(target[1:])
        except (KeyError, ValueError):
            self.ledger.write("syntax", node=self.id, words=[repr(method), target[:80]])
            connection.answer(place, http_answer(400, b""))
            return
        attempt = {
            "node": self.id, "address": self.peer.name, "id": request_id,
            "cls": known.name, "key": key, "k": fields.get("k"),
            "info": info.decode(), "first": first,
        }  # fmt: skip
        work = self._rng.uniform(*self.profile.origin_work_ms)
        done = None if self.full else self.cores.take(now, work, 1.0)
        if done is None:
            self.ledger.write("attempt", now, **attempt, outcome="busy")
            connection.answer(place, http_answer(503, b"", NOT_STARTED))
            return
        self.ledger.write("attempt", now, **attempt, outcome="begun")
        life, is_write = self.life, method == b"PUT"
        asyncio.get_running_loop().call_later(
            max(done - time.monotonic_ns(), 0) / 1e9,
            lambda: self._done(connection, place, known, request_id, key, fields.get("k"), is_write, life),
        )

    def _done(
        self, connection: OriginConnection, place: list[Any], known: ClassProfile, request_id: str, key: str,
        k: str | None, is_write: bool, life: int,
    ) -> None:  # fmt: skip
        if life != self.life:
            return
        now = time.monotonic_ns()
        if is_write:
            window = known.window_ms * MS
            repeat = bool(k) and known.semantics == "dedup" and self.repeats.is_repeat(str(k), window, now)
            if not repeat:
                self.versions[key] = self.versions.get(key, 1) + 1
                self._shared.void(key)
            self.ledger.write(
                "effect",
                now,
                node=self.id,
                id=request_id,
                key=key,
                k=k,
                repeat=repeat,
                cls=known.name,
                version=self.versions.get(key, 1),
            )
            value = f"{request_id} {key} receipt ".encode()
        else:
            kept = Kept(self.versions.get(key, 1), self.size(key))
            value = make_value(request_id, key, kept)
            self.ledger.write("done", now, node=self.id, id=request_id, outcome="fetched")
        if self.spoil is not None and self._rng.random() < self.spoil[1]:
            how = self.spoil[0]
            self.ledger.write("spoilt", now, node=self.id, id=request_id, how=how)
            spoilt = spoil_http(how, value, self._rng)
            if spoilt is None:
                good = http_answer(200, value)
                connection.write(good[: len(good) // 2])
                asyncio.get_running_loop().call_later(0.005, connection.reset)
                return
            connection.answer(place, spoilt)
            return
        if not is_write:
            self._shared.fill(request_id, key, kept)
        connection.answer(place, http_answer(200, value))

    def die(self) -> None:
        """The process dies: what it had in work has no effect."""
        self.life += 1
        self.peer.die()

    def restart(self) -> None:
        """A new process at the old address; what was carried out stays carried out, as do its keys."""
        self.cores = Cores(self.profile.origin_width, self.profile.origin_queue)
        self.peer.open()


def hash_of(key: str) -> int:
    """A number drawn from a key, the same in every process."""
    number = 2166136261
    for byte in key.encode():
        number = (number ^ byte) * 16777619 & 0xFFFFFFFF
    return number
