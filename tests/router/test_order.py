"""Commands of one connection for the same key take effect in their order, in both client protocols."""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from saltport.wire.memcached import REQUEST_MAGIC, Opcode, Packet, Status, encode
from tests.binary import MemcachedClient, OriginStore, run_memcached_router
from tests.sockets import TIMEOUT_S, Client, RunningRouter, bulk, eventually, get


class Origin(OriginStore):
    """An origin whose writes can be delayed or fail."""

    def __init__(self) -> None:
        super().__init__()
        self.release = threading.Event()
        self.release.set()
        self.fails: Callable[[bytes], bool] = lambda _: False
        self.omits_answer: Callable[[bytes], bool] = lambda _: False
        """Whether an executed write gets no answer the first time."""
        self._answers_omitted: set[bytes] = set()
        self.pause: Callable[[], float] = lambda: 0.0

    def _origin(self, connection: socket.socket, message: list[bytes]) -> bytes:
        assert self.release.wait(TIMEOUT_S)
        if pause := self.pause():
            threading.Event().wait(pause)
        if message[0] == b"PUT" and self.fails(message[3]):
            raise OSError  # the connection is closed without an answer, so the write may have run
        answer = super()._origin(connection, message)
        if message[3] not in self._answers_omitted and self.omits_answer(message[3]):
            self._answers_omitted.add(message[3])
            raise OSError
        return answer

    def attempted_values(self, key: bytes) -> set[bytes]:
        """Return the values of all attempts to write a key."""
        return {message[3] for message in self.origin.seen if message[:2] == [b"PUT", b"/" + key]}

    def written_values(self, key: bytes) -> list[bytes]:
        """Return the values written to a key, in their order."""
        return [body for of, body, _ in self.writes if of == key]


class Wire:
    """A client connection that encodes commands and reads answers in one of the two protocols."""

    def __init__(self, router: RunningRouter, binary: bool) -> None:
        self.packets = MemcachedClient(router.port) if binary else None
        self.client = router.client()
        self._count = 0
        self._prefix = random.Random(router.port).randbytes(4).hex()

    @property
    def socket(self) -> socket.socket:
        return self.packets.socket if self.packets else self.client.socket

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def read(self, key: str) -> bytes:
        self._count += 1
        if self.packets:
            return encode(Packet(Opcode.GET, key.encode()), REQUEST_MAGIC)
        return get(f"{self._prefix}{self._count}", key)

    def write(self, key: str, value: bytes) -> bytes:
        self._count += 1
        if self.packets:
            return encode(Packet(Opcode.SET, key.encode(), bytes(8), value), REQUEST_MAGIC)
        name = f"{self._prefix}{self._count}"
        info = f"c=put,t=acme,d=5000,k={name}".encode()
        return bulk(b"KV.SET", key.encode(), name.encode(), info, value)

    def answers(self, count: int) -> list[bytes]:
        """Return `count` answers: values, `stored`, `busy` or `failed`, independent of the protocol."""
        if self.packets:
            return [self._packet_answer(packet) for packet in self.packets.answers(count)]
        return [self._line_answer(self.client.answer()) for _ in range(count)]

    @staticmethod
    def _line_answer(line: bytes) -> bytes:
        answers = {b"-BUSY": b"busy", b"-ERR ": b"failed", b"receipt": b"stored"}
        return next((answer for prefix, answer in answers.items() if line.startswith(prefix)), line)

    @staticmethod
    def _packet_answer(packet: Packet) -> bytes:
        answers = {Status.BUSY: b"busy", Status.TEMPORARY_FAILURE: b"failed"}
        return answers[Status(packet.status)] if packet.status else bytes(packet.value) or b"stored"


Setup = tuple[Origin, Wire, RunningRouter]


@pytest.fixture(params=["resp", "memcached"])
def setup(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Setup]:
    origin = Origin()
    with run_memcached_router(tmp_path, origin) as (router, _):
        yield origin, Wire(router, request.param == "memcached"), router
        origin.release.set()


def test_writes_of_a_batch_reach_the_origin_in_order_and_reads_see_them(setup: Setup) -> None:
    origin, wire, _ = setup
    rng = random.Random(3)
    origin.pause = lambda: rng.random() * 0.004
    batch, expected = b"", []
    for n in range(60):
        value = b"v%d" % n
        batch += wire.write("k", value) + wire.read("k")
        expected += [b"stored", value]
    wire.send(batch)
    assert wire.answers(120) == expected
    assert origin.written_values(b"k") == [b"v%d" % n for n in range(60)]


def test_a_batch_of_256_writes_whose_first_is_stuck_holds_no_other_key_back(setup: Setup) -> None:
    origin, wire, router = setup
    origin.release.clear()
    wire.send(b"".join(wire.write("k", b"%d" % n) for n in range(200)))
    eventually(lambda: origin.attempted_values(b"k"), "the first is at the origin")
    wire.send(wire.write("other", b"x"))
    eventually(lambda: origin.attempted_values(b"other"), "the write of another key is there too")
    assert origin.attempted_values(b"k") == {b"0"}, "and no second write of k"
    assert router.status_value("current") == 201
    origin.release.set()
    assert wire.answers(201) == [b"stored"] * 201
    # On a busy machine a keyed write whose answer is late is sent again, but executed only once.
    assert origin.written_values(b"k") == [b"%d" % n for n in range(200)]


def test_writes_of_a_batch_that_are_repeated_take_effect_once_and_in_their_order(setup: Setup) -> None:
    origin, wire, _ = setup
    origin.omits_answer = lambda body: int(body) % 10 == 3
    wire.send(b"".join(wire.write("k", b"%d" % n) for n in range(200)))
    assert wire.answers(200) == [b"stored"] * 200
    assert origin.written_values(b"k") == [b"%d" % n for n in range(200)]
    assert origin.repeats >= 20, "each write without an answer was repeated"


def test_writes_behind_one_that_may_have_run_are_not_done(setup: Setup) -> None:
    origin, wire, _ = setup
    origin.fails = lambda body: body == b"doubtful"
    batch = wire.write("k", b"first") + wire.write("k", b"doubtful") + wire.write("k", b"last")
    wire.send(batch + wire.read("k") + wire.write("other", b"x"))
    stored, unknown, last, read, other = wire.answers(5)
    assert (stored, last, read, other) == (b"stored", b"busy", b"first", b"stored")
    assert unknown in (b"failed", b"busy"), "a keyed write may safely be repeated, so busy is correct too"
    assert origin.written_values(b"k") == [b"first"]
    wire.send(wire.write("k", b"again") + wire.read("k"))
    assert wire.answers(2) == [b"stored", b"again"], "a later command is executed"


def test_client_that_leaves_takes_its_waiting_writes_with_it(setup: Setup) -> None:
    origin, wire, router = setup
    origin.release.clear()
    wire.send(b"".join(wire.write("k", b"%d" % n) for n in range(5)))
    eventually(lambda: len(origin.origin.seen) == 1, "the first is at the origin")
    wire.socket.close()
    router.until("current", 0)
    origin.release.set()
    other = Client(router.port)
    assert other.ask(get("z1", "z")) == b"fresh z"
    assert len([message for message in origin.origin.seen if message[0] == b"PUT"]) == 1
