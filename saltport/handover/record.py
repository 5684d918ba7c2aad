"""What a client's connection is at one moment, for another process to go on from. No I/O.

A record is a head of JSON in one line and the bytes that it counts out. It is versioned, and read whole or
not at all: its descriptors (the client's first, then one for each value under way) mean nothing without it.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

import orjson

VERSION = 1
MAX_COMMAND = (4 << 20) + (64 << 10)  # a value and far more words than a command has
MAX_ANSWERS = 32 << 20  # bytes of answers that wait behind each other
MAX_SEGMENTS = 512
MAX_STREAMS = 64  # the kernel passes 253 descriptors with one message
MAX_HEAD = 256 << 10
MAX_VALUE = 4 << 20
MAX_AGE_MS = 60_000
MAX_REST = 128 << 10  # of an answer's end, which its node's codec bounds further
MAX_NAME = 1024
END_MARK = 2
FORMS = {"cache": frozenset("123456789"), "origin": frozenset([""])}


class RecordError(ValueError):
    """This is no record that can be gone on from; the text says why."""


@dataclass(frozen=True, slots=True)
class Flow:
    """Where a server's connection stands within a value."""

    kind: str
    """`cache` or `origin`: which codec reads it."""
    server: str
    address: tuple[str, int]
    length: int
    """Bytes of the whole value."""
    left: int
    """Bytes that have not been read until the value's end mark, where its wire has one, is passed."""
    form: str
    """What the codec has to know of the answer's head: the places of a RESP array, of HTTP nothing."""
    rest: bytes = b""
    """What came behind the value, if the answer is not whole yet."""
    closes: bool = False
    """Whether the connection is of no use behind this answer."""


@dataclass(frozen=True, slots=True)
class Value:
    """A value under way, and the request that it answers."""

    flow: Flow
    request_class: str
    tail: bytes
    """What the client is told behind the value."""


@dataclass(frozen=True, slots=True)
class Segment:
    """A part of what the client is owed: bytes, and then perhaps a value that is still coming."""

    data: bytes
    value: Value | None = None


@dataclass(frozen=True, slots=True)
class ConnectionRecord:
    """One client's connection."""

    dialect: str
    carried: bool
    """Whether a request ever came on it."""
    command: bytes
    """What was read of a command under way."""
    segments: tuple[Segment, ...] = ()
    command_age_ms: int = 0
    """For how long that command has been under way, or since it last came on."""

    @property
    def values(self) -> tuple[Value, ...]:
        """The values under way, in the order of their descriptors."""
        return tuple(segment.value for segment in self.segments if segment.value is not None)

    @property
    def descriptors(self) -> int:
        """How many descriptors go with it."""
        return 1 + len(self.values)


def encode(record: ConnectionRecord) -> bytes:
    """Word a record."""
    payload = [record.command]
    segments = []
    for segment in record.segments:
        payload.append(segment.data)
        value = segment.value
        told = None
        if value is not None:
            flow = value.flow
            payload += (flow.rest, value.tail)
            told = {
                "class": value.request_class,
                "tail": len(value.tail),
                **{field.name: getattr(flow, field.name) for field in fields(Flow)},
                "rest": len(flow.rest),
            }
        segments.append([len(segment.data), told])
    head = orjson.dumps(
        {
            "version": VERSION,
            "dialect": record.dialect,
            "carried": record.carried,
            "command": len(record.command),
            "command_age_ms": record.command_age_ms,
            "segments": segments,
        }
    )
    return b"".join([head, b"\n", *payload])


def decode(message: bytes, descriptors: int) -> ConnectionRecord:
    """Read a record that came with so many descriptors; raises RecordError."""
    end = message.find(b"\n", 0, MAX_HEAD)
    if end < 0:
        raise RecordError("no head")
    try:
        head = orjson.loads(message[:end])
    except orjson.JSONDecodeError as error:
        raise RecordError(f"broken head: {error}") from None
    if not isinstance(head, dict) or head.get("version") != VERSION:
        raise RecordError("another version")
    rest = _Rest(memoryview(message)[end + 1 :])
    told = _Told(head)
    command = rest.take(told.count("command", MAX_COMMAND))
    items = head.get("segments")
    if not isinstance(items, list) or len(items) > MAX_SEGMENTS:
        raise RecordError("segments are no list, or too many")
    record = ConnectionRecord(
        told.name("dialect"),
        told.truth("carried"),
        command,
        tuple(_segment(item, rest) for item in items),
        # Processes of earlier versions don't tell it.
        told.count("command_age_ms", MAX_AGE_MS) if "command_age_ms" in head else 0,
    )
    if rest.left:
        raise RecordError(f"{rest.left} bytes too many")
    if len(record.values) > MAX_STREAMS or record.descriptors != descriptors:
        raise RecordError(f"{record.descriptors} descriptors wanted, {descriptors} came")
    if sum(len(segment.data) for segment in record.segments) > MAX_ANSWERS:
        raise RecordError("answers too long")
    return record


def _segment(item: object, rest: _Rest) -> Segment:
    if not isinstance(item, list) or len(item) != 2:
        raise RecordError("a segment of an unknown form")
    size, value = item
    data = rest.take(_count("segment", size, MAX_ANSWERS))
    if value is None:
        return Segment(data)
    if not isinstance(value, dict):
        raise RecordError("a value of an unknown form")
    told = _Told(value)
    length = told.count("length", MAX_VALUE)
    flow = Flow(
        told.name("kind"),
        told.name("server"),
        told.address("address"),
        length,
        told.count("left", length + END_MARK),
        told.name("form"),
        rest.take(told.count("rest", MAX_REST)),
        told.truth("closes"),
    )
    if flow.kind not in FORMS or flow.form not in FORMS[flow.kind]:
        raise RecordError(f"no such server: {flow.kind}, {flow.form}")
    if flow.kind == "origin" and not flow.left:
        raise RecordError("a body that has ended")
    return Segment(data, Value(flow, told.name("class"), rest.take(told.count("tail", MAX_NAME))))


class _Rest:
    """The bytes behind the head, taken from the front."""

    def __init__(self, data: memoryview) -> None:
        self._data, self._at = data, 0

    @property
    def left(self) -> int:
        return len(self._data) - self._at

    def take(self, size: int) -> bytes:
        if size > self.left:
            raise RecordError(f"{size - self.left} bytes are missing")
        self._at += size
        return bytes(self._data[self._at - size : self._at])


def _count(what: str, value: object, most: int) -> int:
    if type(value) is not int or not 0 <= value <= most:
        raise RecordError(f"{what}: no number from 0 to {most}")
    return value


class _Told:
    """Named facts, each checked as it is read."""

    def __init__(self, facts: dict[str, object]) -> None:
        self._facts = facts

    def count(self, name: str, most: int) -> int:
        return _count(name, self._facts.get(name), most)

    def name(self, name: str) -> str:
        value = self._facts.get(name)
        if not isinstance(value, str) or len(value) > MAX_NAME:
            raise RecordError(f"{name}: no name")
        return value

    def truth(self, name: str) -> bool:
        value = self._facts.get(name)
        if not isinstance(value, bool):
            raise RecordError(f"{name}: neither true nor false")
        return value

    def address(self, name: str) -> tuple[str, int]:
        match self._facts.get(name):
            case [str(host), int(port)] if 0 < port < 1 << 16 and len(host) < MAX_NAME:
                return host, port
        raise RecordError(f"{name}: no address")
