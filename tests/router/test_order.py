"""Commands of one connection for one key take effect in their order, on both wires."""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from saltport.wire.memcached import (
    REQUEST_MAGIC,
    RESPONSE_MAGIC,
    Opcode,
    Packet,
    PacketReader,
    Status,
    encode,
)
from tests.sockets import MISS, PATIENCE_S, Client, Peer, Routed, bulk, eventually, get, http_answer, routed

WITH = """
[memcached]
shared = true
read_class = "get"
write_class = "put"
delete_class = "put"
tenant = "acme"
deadline_ms = 5000
"""


class Origin:
    """Keeps what it is written; each write and read may be held up by key."""

    def __init__(self) -> None:
        self.kept: dict[bytes, bytes] = {}
        self.writes: list[tuple[bytes, bytes]] = []
        self.let_go = threading.Event()
        self.let_go.set()
        self.fails: Callable[[bytes], bool] = lambda _: False
        self.pause: Callable[[], float] = lambda: 0.0
        self.peer = Peer(self._serve, is_http=True)
        self._lock = threading.Lock()

    def _serve(self, _: socket.socket, message: list[bytes]) -> bytes | None:
        method, key, _head, body = message
        assert self.let_go.wait(PATIENCE_S)
        if pause := self.pause():
            threading.Event().wait(pause)
        if method == b"PUT" and self.fails(body):
            raise OSError  # closed without an answer: it may have run
        with self._lock:
            if method == b"PUT":
                self.kept[key] = body
                self.writes.append((key, body))
                return http_answer(200, b"stored")
            return http_answer(200, self.kept.get(key, b"nothing"))


class Wire:
    """One way of saying the same, and of reading what was said."""

    def __init__(self, router: Routed, binary: bool) -> None:
        self.client, self._binary, self._count = router.client(), binary, 0
        self._prefix = random.Random(router.port).randbytes(4).hex()

    def read(self, key: str) -> bytes:
        self._count += 1
        if self._binary:
            return encode(Packet(Opcode.GET, key.encode()), REQUEST_MAGIC)
        return get(f"{self._prefix}{self._count}", key)

    def write(self, key: str, value: bytes) -> bytes:
        self._count += 1
        if self._binary:
            return encode(Packet(Opcode.SET, key.encode(), bytes(8), value), REQUEST_MAGIC)
        name = f"{self._prefix}{self._count}"
        info = f"c=put,t=acme,d=5000,k={name}".encode()
        return bulk(b"KV.SET", key.encode(), name.encode(), info, value)

    def answers(self, count: int) -> list[bytes]:
        """Values, `stored`, `busy` or `failed`, whatever the wire calls them."""
        if self._binary:
            return [self._packet() for _ in range(count)]
        return [self._line(self.client.answer()) for _ in range(count)]

    @staticmethod
    def _line(line: bytes) -> bytes:
        return b"busy" if line.startswith(b"-BUSY") else b"failed" if line.startswith(b"-ERR") else line

    def _packet(self) -> bytes:
        reader = PacketReader(RESPONSE_MAGIC)
        packets: list[Packet] = []
        while not packets:
            wanted = reader.need - len(reader.held) if reader.need else 24
            data = self.client.stream.read(wanted)
            assert data, "the router closed"
            packets = reader.feed(data)
        (packet,) = packets
        told = {Status.BUSY: b"busy", Status.TEMPORARY_FAILURE: b"failed"}
        return told.get(Status(packet.status), packet.value) if packet.status else packet.value or b"stored"


@pytest.fixture(params=["resp", "memcached"])
def played(request: pytest.FixtureRequest, tmp_path: Path) -> object:
    origin = Origin()
    file = tmp_path / "memcached.toml"
    file.write_text(WITH)
    cache = Peer(lambda _, words: MISS)
    with routed(tmp_path, {"s1": cache}, origin.peer, more=["--with", str(file)]) as router:
        yield origin, Wire(router, request.param == "memcached"), router
        origin.let_go.set()


Played = tuple[Origin, Wire, Routed]


def test_writes_of_a_batch_reach_the_origin_in_order_and_reads_see_them(played: Played) -> None:
    origin, wire, _ = played
    rng = random.Random(3)
    origin.pause = lambda: rng.random() * 0.004
    batch, expected = b"", []
    for n in range(60):
        value = b"v%d" % n
        batch += wire.write("k", value) + wire.read("k")
        expected += [b"stored", value]
    wire.client.send(batch)
    assert wire.answers(120) == expected
    assert [body for _, body in origin.writes] == [b"v%d" % n for n in range(60)]


def test_a_batch_of_256_writes_whose_first_is_stuck_holds_no_other_key_back(played: Played) -> None:
    origin, wire, router = played
    origin.let_go.clear()
    wire.client.send(b"".join(wire.write("k", b"%d" % n) for n in range(200)))
    eventually(lambda: len(origin.peer.seen) == 1, "the first is at the origin")
    wire.client.send(wire.write("other", b"x"))
    eventually(lambda: len(origin.peer.seen) == 2, "another key's is too, and no second one of the first key")
    assert router.shows("current") == 201
    origin.let_go.set()
    assert wire.answers(201) == [b"stored"] * 201
    assert [body for key, body in origin.writes if key == b"/k"] == [b"%d" % n for n in range(200)]


def test_writes_behind_one_that_may_have_run_are_not_done(played: Played) -> None:
    origin, wire, _ = played
    origin.fails = lambda body: body == b"doubtful"
    batch = wire.write("k", b"first") + wire.write("k", b"doubtful") + wire.write("k", b"last")
    wire.client.send(batch + wire.read("k") + wire.write("other", b"x"))
    stored, unknown, last, read, other = wire.answers(5)
    assert (stored, last, read, other) == (b"stored", b"busy", b"first", b"stored")
    assert unknown in (b"failed", b"busy"), "a keyed write may be tried again, so that busy is no lie"
    assert [body for key, body in origin.writes if key == b"/k"] == [b"first"]
    wire.client.send(wire.write("k", b"again") + wire.read("k"))
    assert wire.answers(2) == [b"stored", b"again"], "a command that came later is a new one"


def test_client_that_leaves_takes_its_waiting_writes_with_it(played: Played) -> None:
    origin, wire, router = played
    origin.let_go.clear()
    wire.client.send(b"".join(wire.write("k", b"%d" % n) for n in range(5)))
    eventually(lambda: len(origin.peer.seen) == 1, "the first is at the origin")
    wire.client.close()
    router.until("current", 0)
    origin.let_go.set()
    other = Client(router.port)
    assert other.ask(get("z1", "z")) == b"nothing"
    assert len([message for message in origin.peer.seen if message[0] == b"PUT"]) == 1
