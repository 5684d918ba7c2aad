"""A simulated cache node that speaks the platform's RESP dialect."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Iterator
from typing import Any, Protocol

import hiredis

from saltport.standins.ledger import Ledger
from saltport.standins.model import (
    NS_PER_MS,
    ColdStartBudget,
    Cores,
    LoadReport,
    LruStore,
    StoredObject,
    WarmUp,
)
from saltport.standins.peer import Peer, PeerConnection
from saltport.standins.profile import ClassProfile, Profile
from saltport.standins.spoil import corrupt_resp_reply, resp_answer
from saltport.wire.resp import parse_info

IDLE_SWEEP_INTERVAL_S = 0.5  # time between two checks for idle connections
THROTTLE_INTERVAL_S = 0.05  # time between two parts of a throttled reply
MAX_LOGGED_WORDS = 5  # words of a malformed command that are written to the ledger


class MissRecorder(Protocol):
    """The part of the fleet that a node reports cache misses to."""

    def record_miss(self, request_id: str, node: Node) -> None:
        """Record that a read missed at this node, so that the origin's reply is stored there."""


def make_value(request_id: str, key: str, stored: StoredObject) -> bytes:
    """Return a value of the object's size that names request, key and version, to detect mix-ups."""
    head = f"{request_id} {key} v{stored.version} ".encode()
    return head + b"." * max(stored.size - len(head), 0)


class NodeConnection(PeerConnection):
    """A connection from a router: commands run concurrently and are answered in order."""

    def __init__(self, node: Node) -> None:
        super().__init__(node.peer)
        self.node = node
        self._reader = hiredis.Reader()
        self._first_byte_at = 0
        self._reply_slots: deque[list[Any]] = deque()
        self._throttled = bytearray()
        self._throttle_timer: asyncio.TimerHandle | None = None
        self.over_limit = False
        self.used_at = time.monotonic_ns()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Account for the handshake; over the connection limit the first command is rejected."""
        super().connection_made(transport)
        self.over_limit = len(self.peer.connections) > self.node.profile.max_connections
        self.node.charge_handshake()

    def data_received(self, data: bytes) -> None:
        """Handle the commands received so far; an unparsable stream is reset."""
        now = self.used_at = time.monotonic_ns()
        self._first_byte_at = self._first_byte_at or self.peer.earliest_arrival(now)
        try:
            self._reader.feed(data)
            while (words := self._reader.gets()) is not False:
                self.node.handle_command(self, words, self._first_byte_at, now)
                self._first_byte_at = now
        except hiredis.ProtocolError:
            self.node.ledger.write("unreadable", node=self.node.id)
            self.reset()
            return
        if not self._reader.has_data():
            self._first_byte_at = 0

    def add_reply_slot(self) -> list[Any]:
        """Append and return the slot for the next command's reply."""
        reply_slot: list[Any] = [None]
        self._reply_slots.append(reply_slot)
        return reply_slot

    def answer(self, reply_slot: list[Any], data: bytes | Iterator[bytes]) -> None:
        """Fill a command's reply slot; the reply is sent after those of earlier commands."""
        reply_slot[0] = data
        self.flush()

    def flush(self) -> None:
        """Send the completed replies at the head of the queue."""
        while self._reply_slots and self._reply_slots[0][0] is not None and not self.peer.suspended:
            data = self._reply_slots.popleft()[0]
            if not isinstance(data, bytes):
                for part in data:
                    self.write(part)
            elif self.node.throttle_rate:
                self._throttled += data
                self._send_throttled()
            else:
                self.write(data)

    def on_resumed(self) -> None:
        """Send the replies that completed during the suspension."""
        self.flush()

    def _send_throttled(self) -> None:
        """Send the next part of the throttled replies, and schedule the one after it."""
        if self._throttle_timer is None and self._throttled and not self.lost:
            part = (
                max(int(self.node.throttle_rate * THROTTLE_INTERVAL_S), 1)
                if self.node.throttle_rate
                else len(self._throttled)
            )
            if not self.peer.suspended:
                self.write(bytes(self._throttled[:part]))
                del self._throttled[:part]
            self._throttle_timer = asyncio.get_running_loop().call_later(
                THROTTLE_INTERVAL_S, self._on_throttle_timer
            )

    def _on_throttle_timer(self) -> None:
        """Continue to send throttled replies when the interval is over."""
        self._throttle_timer = None
        self._send_throttled()

    def close_if_idle(self, before: int) -> None:
        """Close the connection if nothing was received since `before` and no reply is pending."""
        if self.used_at < before and not self._reply_slots and self.transport is not None:
            self.transport.close()


class Node:
    """A cache node: its store, its model of cores and queue, and its active faults."""

    def __init__(
        self,
        node_id: str,
        profile: Profile,
        fleet: MissRecorder,
        ledger: Ledger,
        seed: int,
        cold: bool = False,
    ) -> None:
        self.id, self.profile, self.ledger = node_id, profile, ledger
        self._fleet, self._rng = fleet, random.Random(seed)
        self.peer = Peer(lambda: NodeConnection(self))
        self.incarnation = 0
        self.crashed_by_overload = False
        self.throttle_rate = 0.0
        self.rejecting = False
        self.corruption: tuple[str, float] | None = None
        self.reset_state(time.monotonic_ns() if cold else None)
        self._idle_sweep_timer: asyncio.TimerHandle | None = None

    def reset_state(self, started: int | None) -> None:
        """Start with an empty store; `started` is the start time of a cold node, None for a warm one."""
        profile = self.profile
        self.started = started
        self.store = LruStore(profile.store_bytes)
        self.cores = Cores(profile.cores, profile.queue, profile.crowding)
        self.warm_up = WarmUp(started, profile.cold_from, profile.cold_ms * NS_PER_MS)
        self.budget = ColdStartBudget(profile.cores, profile.fall_multiple, profile.fall_ms * NS_PER_MS)
        self.report = LoadReport(profile.report_ms * NS_PER_MS)
        if started is not None:
            self.ledger.write(
                "cold", started, node=self.id, cores=profile.cores, cold_from=profile.cold_from,
                cold_ms=profile.cold_ms, multiple=profile.fall_multiple, fall_ms=profile.fall_ms,
            )  # fmt: skip

    def open(self) -> None:
        """Start listening and closing idle connections."""
        self.peer.open()
        self._close_idle_connections()

    def crash(self) -> None:
        """Simulate a crash: connections are reset and requests in work never complete."""
        self.incarnation += 1
        self.peer.crash()

    def restart(self) -> None:
        """Restart at the same address, empty and cold; not after a crash by overload."""
        if not self.crashed_by_overload:
            self.reset_state(time.monotonic_ns())
            self.peer.open()

    def close(self) -> None:
        """Stop for good and reset all connections."""
        self.incarnation += 1
        if self._idle_sweep_timer is not None:
            self._idle_sweep_timer.cancel()
        self.peer.close()

    def _close_idle_connections(self) -> None:
        """Close the connections that are idle for too long, and schedule the next check."""
        self._idle_sweep_timer = asyncio.get_running_loop().call_later(
            IDLE_SWEEP_INTERVAL_S, self._close_idle_connections
        )
        before = time.monotonic_ns() - self.profile.idle_close_ms * NS_PER_MS
        for connection in list(self.peer.connections):
            if isinstance(connection, NodeConnection):
                connection.close_if_idle(before)

    def charge_handshake(self) -> None:
        """Charge the work of a new connection's handshake."""
        now = time.monotonic_ns()
        self.cores.schedule(now, self.profile.handshake_work_ms, self.warm_up.capacity_share(now))

    def handle_command(
        self, connection: NodeConnection, words: Any, first_byte_at: int, last_byte_at: int
    ) -> None:
        """Handle one complete command, whose bytes arrived between these times in nanoseconds."""
        reply_slot = connection.add_reply_slot()
        if not isinstance(words, list) or not words or not all(isinstance(word, bytes) for word in words):
            connection.answer(reply_slot, b"-ERR Protocol error\r\n")
            return
        command_name = words[0].upper()
        if command_name in (b"KV.GET", b"KV.SET"):
            self._handle_request(connection, reply_slot, words, first_byte_at, last_byte_at)
        elif command_name == b"PING" or (command_name == b"INFO" and words[1:] == [b"load"]):
            self._handle_probe(connection, reply_slot, is_load=command_name == b"INFO")
        elif command_name in (b"SET", b"DEL") and self.profile.plain_writes:
            self._handle_plain_write(connection, reply_slot, words)
        elif command_name in (b"CLIENT", b"SELECT"):
            connection.answer(reply_slot, b"+OK\r\n")
        else:
            connection.answer(reply_slot, b"-ERR unknown command\r\n")

    def _handle_probe(self, connection: NodeConnection, reply_slot: list[Any], is_load: bool) -> None:
        """Answer a health probe: PING, or INFO with the load report."""
        now = time.monotonic_ns()
        self.ledger.write("probe", now, node=self.id)
        self.cores.schedule(now, self.profile.probe_work_ms, self.warm_up.capacity_share(now))
        text = self.report.text(now, self.cores.queue_length(now))
        connection.answer(reply_slot, b"$%d\r\n%b\r\n" % (len(text), text) if is_load else b"+PONG\r\n")

    def _handle_plain_write(
        self, connection: NodeConnection, reply_slot: list[Any], words: list[bytes]
    ) -> None:
        """Handle a plain SET or DEL; a SET value must begin with request id, key and version."""
        try:
            command_name, key = words[0].upper(), words[1].decode()
            if command_name == b"DEL" and len(words) == 2:
                self.store.remove(key)
                self.ledger.write("voided", node=self.id, key=key)
                connection.answer(reply_slot, b":1\r\n")
                return
            _, of_key, version, *_ = words[2].split(b" ", 3)
            if of_key.decode() != key or words[3].upper() != b"PX" or len(words) != 5:
                raise ValueError("malformed command")
            expires_at = time.monotonic_ns() + int(words[4]) * NS_PER_MS
            stored = StoredObject(int(version[1:]), len(words[2]), expires_at)
        except (ValueError, IndexError):
            self.ledger.write(
                "syntax", node=self.id, words=[repr(word[:80]) for word in words[:MAX_LOGGED_WORDS]]
            )
            connection.answer(reply_slot, b"-ERR syntax\r\n")
            return
        self.store.put(key, stored)
        self.ledger.write("copied", node=self.id, key=key, version=stored.version)
        connection.answer(reply_slot, b"+OK\r\n")

    def _handle_request(
        self,
        connection: NodeConnection,
        reply_slot: list[Any],
        words: list[bytes],
        first_byte_at: int,
        last_byte_at: int,
    ) -> None:
        """Handle a KV.GET or KV.SET: queue its work, or reject it with -BUSY if the queue is full.

        A cold node that gets too much work crashes instead.
        """
        try:
            _, key, request_id, info = (word.decode() for word in words[:4])
            fields = parse_info(words[3])
            request_class = self.profile.request_class(fields["c"])
            if len(words) != (5 if words[0].upper() == b"KV.SET" else 4) or not fields["d"].isdecimal():
                raise ValueError("malformed command")
        except (ValueError, KeyError):
            self.ledger.write(
                "syntax", node=self.id, words=[repr(word[:80]) for word in words[:MAX_LOGGED_WORDS]]
            )
            connection.answer(reply_slot, b"-SYNTAX\r\n")
            return
        work = self._rng.uniform(*request_class.work_ms)
        attempt = {
            "node": self.id, "address": self.peer.host_port, "id": request_id,
            "cls": request_class.name, "key": key, "k": fields.get("k"),
            "info": info, "first": first_byte_at, "work": round(work, 3),
        }  # fmt: skip
        now = last_byte_at
        capacity_share = self.warm_up.capacity_share(now)
        if (
            self.started is not None
            and capacity_share < 1
            and self.budget.record_and_check(now, work, capacity_share)
        ):
            self.ledger.write("attempt", last_byte_at, **attempt, outcome="fell")
            self.crashed_by_overload = True
            self.ledger.write("fell", now, node=self.id)
            self.crash()
            return
        done_at = None
        if not self.rejecting and not connection.over_limit:
            done_at = self.cores.schedule(now, work, capacity_share)
        if done_at is None:
            self.ledger.write("attempt", last_byte_at, **attempt, outcome="busy")
            connection.answer(reply_slot, b"-BUSY\r\n")
            if connection.over_limit and connection.transport is not None:
                connection.transport.close()
            return
        self.ledger.write("attempt", last_byte_at, **attempt, outcome="begun")
        incarnation = self.incarnation
        asyncio.get_running_loop().call_later(
            max(done_at - time.monotonic_ns(), 0) / 1e9,
            lambda: self._finish(connection, reply_slot, request_class, request_id, key, incarnation, now),
        )

    def _finish(
        self, connection: NodeConnection, reply_slot: list[Any], request_class: ClassProfile,
        request_id: str, key: str, incarnation: int, started_at: int,
    ) -> None:  # fmt: skip
        """Send the reply to a request whose work is done, unless the node has crashed since."""
        if incarnation != self.incarnation:
            return
        now = time.monotonic_ns()
        self.report.record_latency((now - started_at) / NS_PER_MS)
        stored = None if request_class.write else self.store.get(key, now)
        self.ledger.write("done", now, node=self.id, id=request_id, outcome="hit" if stored else "miss")
        report = self.report.text(now, self.cores.queue_length(now))
        if stored is None:
            self._fleet.record_miss(request_id, self)
            connection.answer(reply_slot, resp_answer(None, b"miss", report))
            return
        value = make_value(request_id, key, stored)
        if self.corruption is not None and self._rng.random() < self.corruption[1]:
            corruption_kind = self.corruption[0]
            self.ledger.write("spoilt", now, node=self.id, id=request_id, how=corruption_kind)
            corrupted = corrupt_resp_reply(corruption_kind, value, self._rng)
            if corrupted is None:
                good = resp_answer(value, b"hit", report)
                connection.write(good[: len(good) // 2])
                asyncio.get_running_loop().call_later(0.005, connection.reset)
                return
            connection.answer(reply_slot, corrupted)
            return
        connection.answer(reply_slot, resp_answer(value, b"hit", report))
