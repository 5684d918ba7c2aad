"""The memcached binary protocol: reads and encodes requests and responses within size limits. No I/O.

Opcodes and statuses have the names of memcached's `protocol_binary` page and header file. A packet is a
header of 24 bytes, then extras, key and value. The header is checked before the body arrives:

- an invalid header (wrong magic, inconsistent lengths, a value over the limit) is a framing error that ends
  the stream, as the start of the next packet is unknown;
- a packet with a valid header that breaks the rules of its opcode (extras, key or value missing or not
  allowed) is returned with a `fault`, and reading continues after it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from saltport.messages import Data
from saltport.wire.partial_message import MessageReader, take_part

HEADER = struct.Struct(">BBHBBHIIQ")
REQUEST_MAGIC, RESPONSE_MAGIC = 0x80, 0x81
MAX_KEY_BYTES = 250
MAX_VALUE_BYTES = 4 << 20
MAX_EXTRAS_BYTES = 20  # of the extras field, which holds the parameters of an opcode


class Opcode(IntEnum):
    """The command of a packet. Names that end in Q are quiet: only an unusual outcome is answered."""

    GET = 0x00
    SET = 0x01
    ADD = 0x02
    REPLACE = 0x03
    DELETE = 0x04
    INCREMENT = 0x05
    DECREMENT = 0x06
    QUIT = 0x07
    FLUSH = 0x08
    GETQ = 0x09
    NOOP = 0x0A
    VERSION = 0x0B
    GETK = 0x0C
    GETKQ = 0x0D
    APPEND = 0x0E
    PREPEND = 0x0F
    STAT = 0x10
    SETQ = 0x11
    ADDQ = 0x12
    REPLACEQ = 0x13
    DELETEQ = 0x14
    INCREMENTQ = 0x15
    DECREMENTQ = 0x16
    QUITQ = 0x17
    FLUSHQ = 0x18
    APPENDQ = 0x19
    PREPENDQ = 0x1A
    VERBOSITY = 0x1B
    TOUCH = 0x1C
    GAT = 0x1D
    GATQ = 0x1E
    SASL_LIST = 0x20
    SASL_AUTH = 0x21
    SASL_STEP = 0x22
    GATK = 0x23
    GATKQ = 0x24


class Status(IntEnum):
    """The outcome of a request."""

    OK = 0x00
    KEY_NOT_FOUND = 0x01
    KEY_EXISTS = 0x02
    VALUE_TOO_LARGE = 0x03
    INVALID_ARGUMENTS = 0x04
    ITEM_NOT_STORED = 0x05
    NON_NUMERIC = 0x06
    AUTH_ERROR = 0x20
    AUTH_CONTINUE = 0x21
    UNKNOWN_COMMAND = 0x81
    OUT_OF_MEMORY = 0x82
    NOT_SUPPORTED = 0x83
    INTERNAL_ERROR = 0x84
    BUSY = 0x85
    TEMPORARY_FAILURE = 0x86


QUIET_OPCODES = frozenset(code for code in Opcode if code.name.endswith("Q"))
"""Opcodes whose usual outcome is not answered."""

_REQUIRED, _FORBIDDEN, _OPTIONAL = "needs", "must not have", "may have"


@dataclass(frozen=True, slots=True)
class _Rule:
    """The valid extras lengths of an opcode, and whether it has a key and a value."""

    extras: tuple[int, ...]
    key: str
    value: str

    def fault(self, extras: int, key: int, value: int) -> str:
        """Return why a packet with parts of these lengths is invalid, or an empty text."""
        if extras not in self.extras:
            return f"extras of {extras} bytes"
        for name, rule, size in (("key", self.key, key), ("value", self.value, value)):
            if rule == _REQUIRED and not size:
                return f"no {name}"
            if rule == _FORBIDDEN and size:
                return f"a {name}"
        return ""


_RULES: dict[int, _Rule] = {}
for _names, _rule in (
    ("GET GETQ GETK GETKQ DELETE DELETEQ", _Rule((0,), _REQUIRED, _FORBIDDEN)),
    ("SET SETQ ADD ADDQ REPLACE REPLACEQ", _Rule((8,), _REQUIRED, _OPTIONAL)),
    ("INCREMENT INCREMENTQ DECREMENT DECREMENTQ", _Rule((20,), _REQUIRED, _FORBIDDEN)),
    ("APPEND APPENDQ PREPEND PREPENDQ", _Rule((0,), _REQUIRED, _OPTIONAL)),
    ("TOUCH GAT GATQ GATK GATKQ", _Rule((4,), _REQUIRED, _FORBIDDEN)),
    ("QUIT QUITQ NOOP VERSION SASL_LIST", _Rule((0,), _FORBIDDEN, _FORBIDDEN)),
    ("FLUSH FLUSHQ", _Rule((0, 4), _FORBIDDEN, _FORBIDDEN)),
    ("VERBOSITY", _Rule((4,), _FORBIDDEN, _FORBIDDEN)),
    ("STAT", _Rule((0,), _OPTIONAL, _FORBIDDEN)),
    ("SASL_AUTH SASL_STEP", _Rule((0,), _REQUIRED, _OPTIONAL)),
):
    for _name in _names.split():
        _RULES[Opcode[_name]] = _rule


@dataclass(slots=True)
class Packet:
    """A request or a response."""

    opcode: int
    """May be a value that is not in `Opcode`; such a request is answered as an unknown command."""
    key: bytes = b""
    extras: bytes = b""
    value: Data = b""
    status: int = 0
    """The status of a response; in a request the vbucket, which is not used."""
    opaque: int = 0
    cas: int = 0
    fault: str = ""
    """Why a request breaks the rules of its opcode; empty if it is valid."""

    @property
    def quiet(self) -> bool:
        """Whether the usual outcome of the request is not answered."""
        return self.opcode in QUIET_OPCODES


def encode(packet: Packet, magic: int) -> bytes:
    """Return the encoded packet; raises ValueError if a number does not fit its field."""
    body = len(packet.extras) + len(packet.key) + len(packet.value)
    try:
        head = HEADER.pack(
            magic, packet.opcode, len(packet.key), len(packet.extras), 0, packet.status, body,
            packet.opaque, packet.cas,
        )  # fmt: skip
    except struct.error as error:
        raise ValueError(f"memcached: {error}") from None
    return b"".join((head, packet.extras, packet.key, packet.value))


class PacketReader(MessageReader):
    """Splits a byte stream into packets; buffers at most one incomplete packet."""

    def __init__(self, magic: int, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        super().__init__()
        self._magic, self._max_value_bytes = magic, max_value_bytes

    def discard(self) -> bool:
        """Discard the rest of the incomplete packet; `feed` then returns it without a body.

        Return False if its header is incomplete.
        """
        if len(self._buffer) < HEADER.size:
            return False
        magic, opcode, _, _, kind, status, _, opaque, cas = HEADER.unpack_from(self._buffer)
        head = HEADER.pack(magic, opcode, 0, 0, kind, status, 0, opaque, cas)
        self._discard_rest(head, self.needed_bytes - len(self._buffer))
        return True

    def feed(self, data: bytes) -> list[Packet]:
        """Return the packets completed by `data`; a framing error sets `framing_error` and ends the list."""
        if self.framing_error:
            return []
        parseable = self._parseable(data)
        if parseable is None:
            return []
        return self._packets(parseable)

    def _packets(self, data: Data) -> list[Packet]:
        """Return the packets in `data`, and keep the incomplete one at its end."""
        packets: list[Packet] = []
        at = 0
        while at < len(data):
            if data[at] != self._magic:
                self.framing_error = f"magic 0x{data[at]:02x} for 0x{self._magic:02x}"
                break
            if len(data) - at < HEADER.size:
                self.needed_bytes = HEADER.size
                break
            _, opcode, key, extras, kind, status, body, opaque, cas = HEADER.unpack_from(data, at)
            self.framing_error = self._header_error(opcode, key, extras, kind, body)
            if self.framing_error:
                break
            end = at + HEADER.size + body
            if end > len(data):
                self.needed_bytes = end - at
                break
            start = at + HEADER.size
            key_start, value_start = start + extras, start + extras + key
            packet = Packet(
                opcode,
                bytes(data[key_start:value_start]),
                bytes(data[start:key_start]),
                take_part(data, value_start, end, end),
                status,
                opaque,
                cas,
            )
            if self._magic == REQUEST_MAGIC:
                packet.fault = self._packet_fault(packet)
            packets.append(packet)
            at = end
        if self.needed_bytes:
            self._buffer += data[at:]
        return packets

    def _header_error(self, opcode: int, key: int, extras: int, kind: int, body: int) -> str:
        """Return the framing error of a header, or an empty text."""
        if kind:
            return f"data type 0x{kind:02x}"
        if extras + key > body:
            return f"extras and key of {extras + key} bytes in a body of {body}"
        if body - extras - key > self._max_value_bytes:
            return f"a value of {body - extras - key} bytes; {self._max_value_bytes} at most"
        return ""

    @staticmethod
    def _packet_fault(packet: Packet) -> str:
        """Return why a request breaks the rules of its opcode, or an empty text."""
        if len(packet.key) > MAX_KEY_BYTES:
            return f"a key of {len(packet.key)} bytes; {MAX_KEY_BYTES} at most"
        rule = _RULES.get(packet.opcode)
        return "" if rule is None else rule.fault(len(packet.extras), len(packet.key), len(packet.value))
