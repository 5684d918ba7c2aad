"""A cache node that speaks the platform's RESP dialect: it stores, answers hits, and tells of misses."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Iterator
from typing import Any, Protocol

import hiredis

from saltport.standins.ledger import Ledger
from saltport.standins.model import MS, ColdBudget, Cores, Kept, LoadReport, LruStore, Warmth
from saltport.standins.peer import Peer, PeerConnection
from saltport.standins.profile import ClassProfile, Profile
from saltport.standins.spoil import resp_answer, spoil_resp
from saltport.wire.resp import parse_info

SWEEP_S = 0.5
TRICKLE_S = 0.05
MAX_WORDS = 5


class Shared(Protocol):
    """What the nodes of a fleet share."""

    def missed(self, request_id: str, node: Node) -> None:
        """A read missed at this node: it is one of those that the origin's answer will fill."""


def make_value(request_id: str, key: str, kept: Kept) -> bytes:
    """The value as made for one request: it names it, so that a mix-up shows, and has the object's size."""
    head = f"{request_id} {key} v{kept.version} ".encode()
    return head + b"." * max(kept.size - len(head), 0)


class NodeConnection(PeerConnection):
    """One connection of a router: commands begin at once and are answered in their order."""

    def __init__(self, node: Node) -> None:
        super().__init__(node.peer)
        self.node = node
        self._reader = hiredis.Reader()
        self._first_at = 0
        self._slots: deque[list[Any]] = deque()
        self._late = bytearray()
        self._pump: asyncio.TimerHandle | None = None
        self.crowded = False
        self.used_at = time.monotonic_ns()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pay for the handshake; over the most connections the first command is turned away."""
        super().connection_made(transport)
        self.crowded = len(self.peer.connections) > self.node.profile.max_connections
        self.node.handshake()

    def data_received(self, data: bytes) -> None:
        """Take what commands have come; a stream that can't be read is closed."""
        now = self.used_at = time.monotonic_ns()
        self._first_at = self._first_at or self.peer.came_since(now)
        try:
            self._reader.feed(data)
            while (words := self._reader.gets()) is not False:
                self.node.take(self, words, self._first_at, now)
                self._first_at = now
        except hiredis.ProtocolError:
            self.node.ledger.write("unreadable", node=self.node.id)
            self.reset()
            return
        if not self._reader.has_data():
            self._first_at = 0

    def slot(self) -> list[Any]:
        """The place of the next command's answer."""
        place: list[Any] = [None]
        self._slots.append(place)
        return place

    def answer(self, place: list[Any], data: bytes | Iterator[bytes]) -> None:
        """Give a command's answer; it leaves once those ahead have."""
        place[0] = data
        self.flush()

    def flush(self) -> None:
        """Send what can go."""
        while self._slots and self._slots[0][0] is not None and not self.peer.silent:
            data = self._slots.popleft()[0]
            if not isinstance(data, bytes):
                for part in data:
                    self.write(part)
            elif self.node.trickle:
                self._late += data
                self._drip()
            else:
                self.write(data)

    def spoken(self) -> None:
        """The process goes on."""
        self.flush()

    def _drip(self) -> None:
        if self._pump is None and self._late and not self.lost:
            part = max(int(self.node.trickle * TRICKLE_S), 1) if self.node.trickle else len(self._late)
            if not self.peer.silent:
                self.write(bytes(self._late[:part]))
                del self._late[:part]
            self._pump = asyncio.get_running_loop().call_later(TRICKLE_S, self._next_drip)

    def _next_drip(self) -> None:
        self._pump = None
        self._drip()

    def close_if_idle(self, before: int) -> None:
        """Close a connection that nothing has come on since this time."""
        if self.used_at < before and not self._slots and self.transport is not None:
            self.transport.close()


class Node:
    """One cache node: its store, its model of cores and queue, and the faults it suffers."""

    def __init__(
        self, node_id: str, profile: Profile, shared: Shared, ledger: Ledger, seed: int, cold: bool = False
    ) -> None:
        self.id, self.profile, self.ledger = node_id, profile, ledger
        self._shared, self._rng = shared, random.Random(seed)
        self.peer = Peer(lambda: NodeConnection(self))
        self.life = 0
        self.fallen = False
        self.trickle = 0.0
        self.turning_away = False
        self.spoil: tuple[str, float] | None = None
        self.reset_state(time.monotonic_ns() if cold else None)
        self._sweeper: asyncio.TimerHandle | None = None

    def reset_state(self, started: int | None) -> None:
        """Begin with an empty store; `started` None: warm for long."""
        profile = self.profile
        self.started = started
        self.store = LruStore(profile.store_bytes)
        self.cores = Cores(profile.cores, profile.queue, profile.crowding)
        self.warmth = Warmth(started, profile.cold_from, profile.cold_ms * MS)
        self.budget = ColdBudget(profile.cores, profile.fall_multiple, profile.fall_ms * MS)
        self.report = LoadReport(profile.report_ms * MS)
        if started is not None:
            self.ledger.write(
                "cold", started, node=self.id, cores=profile.cores, cold_from=profile.cold_from,
                cold_ms=profile.cold_ms, multiple=profile.fall_multiple, fall_ms=profile.fall_ms,
            )  # fmt: skip

    def open(self) -> None:
        """Listen."""
        self.peer.open()
        self._sweep()

    def die(self) -> None:
        """The process dies: what it had in work never ends."""
        self.life += 1
        self.peer.die()

    def restart(self) -> None:
        """A new process at the old address: empty, and cold."""
        if not self.fallen:
            self.reset_state(time.monotonic_ns())
            self.peer.open()

    def close(self) -> None:
        """End for good."""
        self.life += 1
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.peer.close()

    def _sweep(self) -> None:
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)
        before = time.monotonic_ns() - self.profile.idle_close_ms * MS
        for connection in list(self.peer.connections):
            if isinstance(connection, NodeConnection):
                connection.close_if_idle(before)

    def handshake(self) -> None:
        """A new connection costs work."""
        now = time.monotonic_ns()
        self.cores.take(now, self.profile.handshake_work_ms, self.warmth.at(now))

    def take(self, connection: NodeConnection, words: Any, first: int, last: int) -> None:
        """Take one command: its last byte has come."""
        place = connection.slot()
        if not isinstance(words, list) or not words or not all(isinstance(word, bytes) for word in words):
            connection.answer(place, b"-ERR Protocol error\r\n")
            return
        name = words[0].upper()
        if name in (b"KV.GET", b"KV.SET"):
            self._request(connection, place, words, first, last)
        elif name == b"PING" or (name == b"INFO" and words[1:] == [b"load"]):
            self._probe(connection, place, is_load=name == b"INFO")
        elif name in (b"SET", b"DEL") and self.profile.plain_writes:
            self._plain(connection, place, words)
        elif name in (b"CLIENT", b"SELECT"):
            connection.answer(place, b"+OK\r\n")
        else:
            connection.answer(place, b"-ERR unknown command\r\n")

    def _probe(self, connection: NodeConnection, place: list[Any], is_load: bool) -> None:
        now = time.monotonic_ns()
        self.ledger.write("probe", now, node=self.id)
        self.cores.take(now, self.profile.probe_work_ms, self.warmth.at(now))
        text = self.report.text(now, self.cores.waiting(now))
        connection.answer(place, b"$%d\r\n%b\r\n" % (len(text), text) if is_load else b"+PONG\r\n")

    def _plain(self, connection: NodeConnection, place: list[Any], words: list[bytes]) -> None:
        """Keep or drop an object as told; which one a value is, it says itself."""
        try:
            name, key = words[0].upper(), words[1].decode()
            if name == b"DEL" and len(words) == 2:
                self.store.void(key)
                self.ledger.write("voided", node=self.id, key=key)
                connection.answer(place, b":1\r\n")
                return
            _, of_key, version, *_ = words[2].split(b" ", 3)
            if of_key.decode() != key or words[3].upper() != b"PX" or len(words) != 5:
                raise ValueError("wrong form")
            until = time.monotonic_ns() + int(words[4]) * MS
            kept = Kept(int(version[1:]), len(words[2]), until)
        except (ValueError, IndexError):
            self.ledger.write("syntax", node=self.id, words=[repr(word[:80]) for word in words[:MAX_WORDS]])
            connection.answer(place, b"-ERR syntax\r\n")
            return
        self.store.put(key, kept)
        self.ledger.write("copied", node=self.id, key=key, version=kept.version)
        connection.answer(place, b"+OK\r\n")

    def _request(
        self, connection: NodeConnection, place: list[Any], words: list[bytes], first: int, last: int
    ) -> None:
        try:
            _, key, request_id, info = (word.decode() for word in words[:4])
            fields = parse_info(words[3])
            known = self.profile.request_class(fields["c"])
            if len(words) != (5 if words[0].upper() == b"KV.SET" else 4) or not fields["d"].isdecimal():
                raise ValueError("wrong form")
        except (ValueError, KeyError):
            self.ledger.write("syntax", node=self.id, words=[repr(word[:80]) for word in words[:MAX_WORDS]])
            connection.answer(place, b"-SYNTAX\r\n")
            return
        work = self._rng.uniform(*known.work_ms)
        attempt = {
            "node": self.id, "address": self.peer.name, "id": request_id,
            "cls": known.name, "key": key, "k": fields.get("k"),
            "info": info, "first": first, "work": round(work, 3),
        }  # fmt: skip
        now = last
        warmth = self.warmth.at(now)
        if self.started is not None and warmth < 1 and self.budget.over(now, work, warmth):
            self.ledger.write("attempt", last, **attempt, outcome="fell")
            self.fallen = True
            self.ledger.write("fell", now, node=self.id)
            self.die()
            return
        done = None
        if not self.turning_away and not connection.crowded:
            done = self.cores.take(now, work, warmth)
        if done is None:
            self.ledger.write("attempt", last, **attempt, outcome="busy")
            connection.answer(place, b"-BUSY\r\n")
            if connection.crowded and connection.transport is not None:
                connection.transport.close()
            return
        self.ledger.write("attempt", last, **attempt, outcome="begun")
        life = self.life
        asyncio.get_running_loop().call_later(
            max(done - time.monotonic_ns(), 0) / 1e9,
            lambda: self._done(connection, place, known, request_id, key, life, now),
        )

    def _done(
        self, connection: NodeConnection, place: list[Any], known: ClassProfile, request_id: str, key: str,
        life: int, begun: int,
    ) -> None:  # fmt: skip
        if life != self.life:
            return
        now = time.monotonic_ns()
        self.report.served((now - begun) / MS)
        kept = None if known.write else self.store.get(key, now)
        self.ledger.write("done", now, node=self.id, id=request_id, outcome="hit" if kept else "miss")
        report = self.report.text(now, self.cores.waiting(now))
        if kept is None:
            self._shared.missed(request_id, self)
            connection.answer(place, resp_answer(None, b"miss", report))
            return
        value = make_value(request_id, key, kept)
        if self.spoil is not None and self._rng.random() < self.spoil[1]:
            how = self.spoil[0]
            self.ledger.write("spoilt", now, node=self.id, id=request_id, how=how)
            spoilt = spoil_resp(how, value, self._rng)
            if spoilt is None:
                good = resp_answer(value, b"hit", report)
                connection.write(good[: len(good) // 2])
                asyncio.get_running_loop().call_later(0.005, connection.reset)
                return
            connection.answer(place, spoilt)
            return
        connection.answer(place, resp_answer(value, b"hit", report))
