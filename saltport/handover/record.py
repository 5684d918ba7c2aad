"""The serialized state of a client connection, from which another process can continue it. No I/O.

A record is a header (JSON in one line), followed by the payload whose lengths the header states. Records are
versioned. An invalid record is rejected entirely: its descriptors (the client's first, then one for each
value in progress) cannot be used without it.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from enum import Enum

import orjson

RECORD_VERSION = 1
MAX_COMMAND_BYTES = 6 << 20  # a command with the longest value, and commands that were read behind it
MAX_REPLY_BYTES = 32 << 20  # total of the pipelined replies of one connection
MAX_SEGMENTS = 512  # parts into which values in progress divide the pipelined replies of a connection
MAX_VALUES_IN_PROGRESS = MAX_SEGMENTS
MAX_VALUES_IN_ONE_MESSAGE = 64  # the most that processes of earlier versions accept
MAX_HEADER_BYTES = 4 << 20
MAX_VALUE_BYTES = 4 << 20
MAX_COMMAND_AGE_MS = 60_000  # time since the last progress of a partially received command
MAX_REST_BYTES = 128 << 10  # of the end of an answer; the codec of its server sets stricter bounds
MAX_TEXT_LENGTH = 1024  # of a text field such as a server id, in characters, and of `tail`, in bytes
MAX_ATTEMPTS = 1_000_000
MAX_CHECKSUM = (1 << 32) - 1
END_MARK_BYTES = 2  # after the value of a cache server's answer
ANSWER_FORMS = {"cache": frozenset("123456789"), "origin": frozenset([""])}


class RecordError(ValueError):
    """A record is invalid, or its connection cannot be continued here; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class ReadPosition:
    """How far a value has been read from a connection to a cache server or the origin."""

    kind: str
    """`cache` or `origin`: selects the codec that reads the connection."""
    server: str
    address: tuple[str, int]
    length: int
    """Total length of the value in bytes."""
    left: int
    """Bytes still to be read, including the value's end mark if the protocol has one."""
    form: str
    """The structure of the answer: the number of elements of a RESP array; empty for HTTP."""
    rest: bytes = b""
    """Bytes of an incomplete answer that were read after the value."""
    closes: bool = False
    """Whether the connection cannot be reused after this answer."""


@dataclass(frozen=True, slots=True)
class MovedRequest:
    """The read that a partial value answers, for a further attempt if the value breaks off."""

    id: str
    key: str
    info: str
    """The list of names and values that servers get."""
    tenant: str
    """Empty: none."""
    attempts_left: int
    relayed_bytes: int
    """How much of the value has been passed on to the client."""
    checksum: int
    """CRC-32 of these bytes."""

    @property
    def fits(self) -> bool:
        """Whether a record can carry it."""
        texts = (self.id, self.key, self.info, self.tenant)
        return all(len(text) <= MAX_TEXT_LENGTH for text in texts) and self.attempts_left <= MAX_ATTEMPTS


@dataclass(frozen=True, slots=True)
class PartialValue:
    """A value that has been passed on in part, and the request that it answers."""

    position: ReadPosition
    request_class: str
    tail: bytes
    """Bytes that the client receives after the value."""
    request: MovedRequest | None = None
    """None: nobody can go on with the value if it breaks off."""


@dataclass(frozen=True, slots=True)
class Segment:
    """A part of the output that the client has not received: bytes, then optionally a partial value."""

    data: bytes
    value: PartialValue | None = None


class Closing(Enum):
    """Whether a connection closes once all its replies are sent."""

    NOT = ""
    WHEN_ANSWERED = "answered"
    """Further commands are answered until then."""
    STREAM_ENDED = "ended"
    """Nothing that follows is a command: the client has quit, or broke the protocol."""


@dataclass(frozen=True, slots=True)
class DiscardedCommand:
    """A command whose long part is discarded as it comes, so that it can be refused."""

    head: bytes
    """The command without its long part."""
    left: int
    """Bytes of the long part that are still to come."""


@dataclass(frozen=True, slots=True)
class ConnectionRecord:
    """The state of one client connection."""

    dialect: str
    carried: bool
    """Whether the connection has carried a request."""
    command: bytes
    """The bytes that were read of an incomplete command."""
    segments: tuple[Segment, ...] = ()
    command_age_ms: int = 0
    """Milliseconds that the incomplete command has been pending, since its start or its last bytes."""
    closing: Closing = Closing.NOT
    discarded: DiscardedCommand | None = None
    """The command that is being discarded; `command` has the bytes that were read of it and not handled."""
    waited_ms: int = 0
    """Milliseconds that the incomplete command has waited for memory, which count in its client's time."""

    @property
    def is_extended(self) -> bool:
        """Whether receivers of earlier versions would misunderstand the record."""
        return self.closing is not Closing.NOT or self.discarded is not None

    @property
    def values(self) -> tuple[PartialValue, ...]:
        """The partial values, in the order of their descriptors."""
        return tuple(segment.value for segment in self.segments if segment.value is not None)

    @property
    def descriptor_count(self) -> int:
        """The number of descriptors that are sent with the record."""
        return 1 + len(self.values)


def encode(record: ConnectionRecord) -> bytes:
    """Return the encoded record."""
    payload = [record.command, record.discarded.head if record.discarded is not None else b""]
    segments = []
    for segment in record.segments:
        payload.append(segment.data)
        value = segment.value
        if value is not None:
            payload += (value.position.rest, value.tail)
        segments.append([len(segment.data), None if value is None else _value_fields(value)])
    header = orjson.dumps(
        {
            "version": RECORD_VERSION,
            "dialect": record.dialect,
            "carried": record.carried,
            "command": len(record.command),
            "command_age_ms": record.command_age_ms,
            "segments": segments,
            **_extended_fields(record),
        }
    )
    return b"".join([header, b"\n", *payload])


def _value_fields(value: PartialValue) -> dict[str, object]:
    """Return the fields of the header for a partial value."""
    position = value.position
    value_fields: dict[str, object] = {
        "class": value.request_class,
        "tail": len(value.tail),
        **{field.name: getattr(position, field.name) for field in fields(ReadPosition)},
        "rest": len(position.rest),
    }
    # Processes of earlier versions neither send nor read this field.
    if value.request is not None and value.request.fits:
        value_fields["request"] = asdict(value.request)
    return value_fields


def _extended_fields(record: ConnectionRecord) -> dict[str, object]:
    """Return the fields of the header that processes of earlier versions do not send."""
    extended: dict[str, object] = {"waited_ms": record.waited_ms} if record.waited_ms else {}
    if record.closing is not Closing.NOT:
        extended["closing"] = record.closing.value
    if record.discarded is not None:
        extended["discarded"] = {"head": len(record.discarded.head), "left": record.discarded.left}
    return extended


def decode(message: bytes, descriptors: int) -> ConnectionRecord:
    """Return the decoded record of a message that came with so many descriptors; raises RecordError."""
    end = message.find(b"\n", 0, MAX_HEADER_BYTES)
    if end < 0:
        raise RecordError("no head")
    try:
        header = orjson.loads(message[:end])
    except orjson.JSONDecodeError as error:
        raise RecordError(f"broken head: {error}") from None
    if not isinstance(header, dict) or header.get("version") != RECORD_VERSION:
        raise RecordError("another version")
    payload = _Payload(memoryview(message)[end + 1 :])
    header_fields = _Fields(header)
    command = payload.take(header_fields.count("command", MAX_COMMAND_BYTES))
    discarded = _discarded(header["discarded"], payload) if "discarded" in header else None
    items = header.get("segments")
    if not isinstance(items, list) or len(items) > MAX_SEGMENTS:
        raise RecordError("segments are no list, or too many")
    record = ConnectionRecord(
        header_fields.text("dialect"),
        header_fields.boolean("carried"),
        command,
        tuple(_segment(item, payload) for item in items),
        # Processes of earlier versions do not send this field.
        header_fields.count("command_age_ms", MAX_COMMAND_AGE_MS) if "command_age_ms" in header else 0,
        header_fields.closing("closing") if "closing" in header else Closing.NOT,
        discarded,
        header_fields.count("waited_ms", MAX_COMMAND_AGE_MS) if "waited_ms" in header else 0,
    )
    if payload.left:
        raise RecordError(f"{payload.left} bytes too many")
    if len(record.values) > MAX_VALUES_IN_PROGRESS or record.descriptor_count != descriptors:
        raise RecordError(f"{record.descriptor_count} descriptors wanted, {descriptors} came")
    if sum(len(segment.data) for segment in record.segments) > MAX_REPLY_BYTES:
        raise RecordError("answers too long")
    return record


def _discarded(value: object, payload: _Payload) -> DiscardedCommand:
    """Return the discarded command that the header describes; raises RecordError."""
    if not isinstance(value, dict):
        raise RecordError("discarded: no object")
    value_fields = _Fields(value)
    head = payload.take(value_fields.count("head", MAX_COMMAND_BYTES))
    left = value_fields.count("left", MAX_COMMAND_BYTES)
    if not (head and left):
        raise RecordError("a discarded command that has ended")
    return DiscardedCommand(head, left)


def _segment(item: object, payload: _Payload) -> Segment:
    """Return the segment that an item of the header describes; raises RecordError."""
    if not isinstance(item, list) or len(item) != 2:
        raise RecordError("a segment of an unknown form")
    size, value = item
    data = payload.take(_checked_count("segment", size, MAX_REPLY_BYTES))
    if value is None:
        return Segment(data)
    if not isinstance(value, dict):
        raise RecordError("a value of an unknown form")
    value_fields = _Fields(value)
    length = value_fields.count("length", MAX_VALUE_BYTES)
    position = ReadPosition(
        value_fields.text("kind"),
        value_fields.text("server"),
        value_fields.address("address"),
        length,
        value_fields.count("left", length + END_MARK_BYTES),
        value_fields.text("form"),
        payload.take(value_fields.count("rest", MAX_REST_BYTES)),
        value_fields.boolean("closes"),
    )
    if position.kind not in ANSWER_FORMS or position.form not in ANSWER_FORMS[position.kind]:
        raise RecordError(f"no such server: {position.kind}, {position.form}")
    if position.kind == "origin" and not position.left:
        raise RecordError("a body that has ended")
    return Segment(
        data,
        PartialValue(
            position,
            value_fields.text("class"),
            payload.take(value_fields.count("tail", MAX_TEXT_LENGTH)),
            _moved_request(value["request"], length) if "request" in value else None,
        ),
    )


def _moved_request(value: object, length: int) -> MovedRequest:
    """Return the read that the header describes; raises RecordError."""
    if not isinstance(value, dict):
        raise RecordError("request: no object")
    request_fields = _Fields(value)
    return MovedRequest(
        request_fields.text("id"),
        request_fields.text("key"),
        request_fields.text("info"),
        request_fields.text("tenant"),
        request_fields.count("attempts_left", MAX_ATTEMPTS),
        request_fields.count("relayed_bytes", length),
        request_fields.count("checksum", MAX_CHECKSUM),
    )


class _Payload:
    """The bytes after the header, consumed from the front."""

    def __init__(self, data: memoryview) -> None:
        self._data, self._offset = data, 0

    @property
    def left(self) -> int:
        """The number of bytes that have not been consumed."""
        return len(self._data) - self._offset

    def take(self, size: int) -> bytes:
        """Return the next `size` bytes; raises RecordError if there are fewer."""
        if size > self.left:
            raise RecordError(f"{size - self.left} bytes are missing")
        self._offset += size
        return bytes(self._data[self._offset - size : self._offset])


def _checked_count(name: str, value: object, maximum: int) -> int:
    """Return `value` if it is an integer from 0 to `maximum`; otherwise raises RecordError."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise RecordError(f"{name}: no number from 0 to {maximum}")
    return value


class _Fields:
    """Named fields of a header; each is checked when it is read. Raises RecordError for an invalid field."""

    def __init__(self, values: dict[str, object]) -> None:
        self._values = values

    def count(self, name: str, maximum: int) -> int:
        """Return an integer field from 0 to `maximum`."""
        return _checked_count(name, self._values.get(name), maximum)

    def text(self, name: str) -> str:
        """Return a text field of at most `MAX_TEXT_LENGTH` characters."""
        value = self._values.get(name)
        if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
            raise RecordError(f"{name}: no name")
        return value

    def boolean(self, name: str) -> bool:
        """Return a boolean field."""
        value = self._values.get(name)
        if not isinstance(value, bool):
            raise RecordError(f"{name}: neither true nor false")
        return value

    def closing(self, name: str) -> Closing:
        """Return a field that says when the connection closes."""
        try:
            return Closing(self.text(name))
        except ValueError:
            raise RecordError(f"{name}: unknown") from None

    def address(self, name: str) -> tuple[str, int]:
        """Return a field with a host and a port."""
        match self._values.get(name):
            case [str(host), int(port)] if 0 < port < 1 << 16 and len(host) < MAX_TEXT_LENGTH:
                return host, port
        raise RecordError(f"{name}: no address")
