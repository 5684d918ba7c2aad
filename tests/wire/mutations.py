"""Generates mutated answers, and checks how a connection reads them, without sockets."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, cast

from hypothesis import strategies as st

from saltport.decisions import CacheStatus, Outcome
from saltport.downstream.budget import MemoryBudget
from saltport.messages import Request, ValueSource
from saltport.upstream import http as upstream_http
from saltport.upstream.connection import Connection, Exchange, Server
from saltport.upstream.http import OriginConnection
from saltport.upstream.read_values import ReadValues
from saltport.upstream.resp import CacheConnection
from saltport.wire import resp_answers
from tests.wire.reference import Read, cache_answer, origin_answer

NOTES = {b"hit": CacheStatus.HIT, b"miss": CacheStatus.MISS, b"pending": CacheStatus.FETCH_PENDING}
OUTCOMES = {"value": Outcome.OK, "miss": Outcome.MISS, "busy": Outcome.FULL, "error": Outcome.ERROR}
TRICKY_BYTES = [
    b"\r",
    b"\n",
    b"\r\n",
    b"0",
    b"1",
    b"9",
    b"-",
    b"+",
    b"$",
    b"*",
    b":",
    b" ",
    b";",
    b",",
    b"\t",
    b"\0",
    b"a",
]


class _Pool:
    """The part of a pool that a connection uses."""

    def __init__(self) -> None:
        self.read_values = ReadValues()
        self.memory = MemoryBudget(1 << 30)

    def on_event(self) -> None: ...

    def release(self, _: Connection) -> None: ...

    def remove(self, _: Connection) -> None: ...


class _Server:
    id, address = "s1", ("127.0.0.1", 7000)

    def __init__(self) -> None:
        self.pool = _Pool()
        self.late_connections: dict[Connection, None] = {}


class Received(Exchange):
    """A read that records the parts of its answer and its outcome."""

    request = Request(b"r", b"k", "get", "acme", 5000, None, False, b"c=get,t=acme,d=5000")

    def __init__(self) -> None:
        self.outcome: Outcome | None = None
        self.value: bytes | None = None
        self.note: CacheStatus | None = None
        self.length: int | None = None
        self.parts = b""

    def remaining_ms(self) -> int:
        return 5000

    def value_started(self, length: int, source: ValueSource) -> None:
        assert self.length is None
        self.length = length

    def value_received(self, data: bytes) -> None:
        self.parts += data

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        self.outcome, self.value, self.note = outcome, value, note
        if self.length is not None and outcome is Outcome.OK:
            assert value is None
            assert len(self.parts) == self.length
            self.value = self.parts


@dataclass(frozen=True)
class Wire:
    """A protocol: its connection class, its reference reader, and the module with its streaming threshold."""

    connect: Callable[[Server], Connection]
    reference: Callable[[bytes], Read | None]
    module: Any


CACHE = Wire(CacheConnection, cache_answer, resp_answers)
ORIGIN = Wire(OriginConnection, origin_answer, upstream_http)


@dataclass(frozen=True)
class Case:
    """The bytes that a server sends before it closes the connection, and how they arrive."""

    data: bytes
    cuts: tuple[int, ...] | None
    """Positions at which the bytes are split; (): not at all; None: after every byte."""
    streaming_threshold: int
    """Length in bytes above which a value is passed on in parts."""
    transfers: bool
    """Whether a new connection object continues at every point where a transfer is possible."""

    def pieces(self) -> Iterator[bytes]:
        cuts = range(len(self.data)) if self.cuts is None else self.cuts
        ends = sorted({min(cut, len(self.data)) for cut in cuts} | {len(self.data)})
        for begin, end in zip([0, *ends], ends, strict=False):
            if begin < end:
                yield self.data[begin:end]


@contextmanager
def logging_disabled() -> Iterator[None]:
    """Disable logging, as the tests read thousands of invalid answers."""
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)


def receive(wire: Wire, case: Case) -> Received:
    """Return what a connection reads from the case up to a clean end."""
    server, received = cast(Server, _Server()), Received()
    connection = wire.connect(server)
    connection.exchange = received
    original, wire.module.STREAMING_THRESHOLD_BYTES = (
        wire.module.STREAMING_THRESHOLD_BYTES,
        case.streaming_threshold,
    )
    try:
        for piece in case.pieces():
            connection.data_received(piece)
            if case.transfers and not connection.retired and (flow := connection.flow()) is not None:
                connection = wire.connect(server)
                connection.resume_value(flow)
                connection.exchange = received
        connection.eof_received()
        connection.connection_lost(None)
    finally:
        wire.module.STREAMING_THRESHOLD_BYTES = original
    return received


def check(wire: Wire, case: Case) -> Outcome:
    """Assert that a connection returns what the reference reader returns, or an error; return the outcome."""
    received = receive(wire, case)
    outcome, read = received.outcome, wire.reference(case.data)
    assert outcome is not None
    if read is None or (read.unusual and outcome in (Outcome.ERROR, Outcome.RESET)):
        assert outcome in (Outcome.ERROR, Outcome.RESET), (outcome, received.value)
        return outcome
    assert outcome is OUTCOMES[read.kind], (outcome, read)
    assert received.value == read.value
    if wire is CACHE and read.kind in ("value", "miss"):
        assert received.note == (NOTES.get(read.note) if read.note is not None else None)
        assert received.report == read.report
    return outcome


VALUES = st.one_of(
    st.binary(max_size=24),
    st.lists(st.sampled_from(TRICKY_BYTES), max_size=12).map(b"".join),
    st.integers(100, 300).map(lambda size: b"v" * size),
)


@st.composite
def cache_answers(draw: st.DrawFn) -> bytes:
    """Generate valid answers of a cache server."""
    if draw(st.integers(0, 9)) == 0:
        return draw(
            st.sampled_from([b"-BUSY\r\n", b"-ERR failed\r\n", b"-ERR failed latency_ms=1,queue=2\r\n"])
        )
    elements = (
        draw(st.none() | VALUES),
        draw(st.none() | st.sampled_from([*NOTES, b""])),
        draw(st.none() | st.just(b"latency_ms=1.5,queue=2")),
    )
    words = [b"$-1\r\n" if word is None else b"$%d\r\n%b\r\n" % (len(word), word) for word in elements]
    return b"*3\r\n" + b"".join(words)


@st.composite
def origin_answers(draw: st.DrawFn) -> bytes:
    """Generate valid answers of the origin: with a length, in chunks, or ended by the connection."""
    status = draw(st.sampled_from([b"200 OK", b"200", b"500 X", b"503 X", b"504 X"]))
    version = draw(st.sampled_from([b"1.1", b"1.1", b"1.0"]))
    lines = draw(
        st.lists(
            st.sampled_from([b"Not-Started: 1", b"Server-Load: queue=2", b"Connection: close"]), max_size=3
        )
    )
    body = draw(VALUES)
    form = draw(st.sampled_from(["length", "chunks", "end"]))
    if form == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif form == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        version, body = b"1.1", _chunked(body, draw(st.integers(1, 40)))
    interim = draw(st.sampled_from([b"", b"", b"HTTP/1.1 100 Continue\r\n\r\n"]))
    head = b"".join(line + b"\r\n" for line in lines)
    return b"%bHTTP/%b %b\r\n%b\r\n%b" % (interim, version, status, head, body)


def _chunked(body: bytes, size: int) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


@st.composite
def mutated(draw: st.DrawFn, answers: st.SearchStrategy[bytes]) -> bytes:
    """Generate an answer with up to three faults: a part cut out, doubled, reversed, inserted or replaced."""
    data = draw(answers)
    for _ in range(draw(st.integers(0, 3))):
        begin = draw(st.integers(0, len(data)))
        end = min(begin + draw(st.sampled_from([1, 1, 1, 2, 5, 40])), len(data))
        part, more = data[begin:end], draw(st.sampled_from(TRICKY_BYTES) | st.binary(min_size=1, max_size=2))
        made = {
            "cut out": b"",
            "cut off": None,
            "doubled": part + part,
            "swapped": part[::-1],
            "inserted": more + part,
            "replaced": more + part[1:],
        }[draw(st.sampled_from(["cut out", "cut off", "doubled", "swapped", "inserted", "replaced"]))]
        data = data[:begin] if made is None else data[:begin] + made + data[end:]
    return data


def cases(wire: Wire) -> st.SearchStrategy[Case]:
    """Generate mutated answers with any split, streaming threshold, and with or without transfers."""
    answers = cache_answers() if wire is CACHE else origin_answers()
    return st.builds(
        Case,
        mutated(answers),
        st.none() | st.lists(st.integers(0, 400), max_size=6).map(tuple),
        st.sampled_from([8, 64, 64 << 10]),
        st.booleans(),
    )
