"""The memcached binary protocol off and on the wire, without I/O: both sides' packets, checked and bounded.

Source: memcached's `protocol_binary` page and header, whose names the opcodes and statuses have. A packet is
24 bytes of header, then extras, key and value. A header is checked before its body is waited for:

- what can't be followed (a wrong magic, lengths that don't fit one another, a body over the limit) breaks the
  stream, as nobody can tell where the next packet begins;
- what can be followed and breaks its opcode's rules (extras, key or value that it must not have, or lacks) is
  a packet with a `fault`, and the stream goes on behind it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

HEADER = struct.Struct(">BBHBBHIIQ")
REQUEST_MAGIC, RESPONSE_MAGIC = 0x80, 0x81
MAX_KEY = 250
MAX_VALUE = 4 << 20
MAX_EXTRAS = 20


class Opcode(IntEnum):
    """What a packet asks for; the ones that end in Q are quiet: only what is remarkable is answered."""

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
    """How a request went."""

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


QUIET = frozenset(code for code in Opcode if code.name.endswith("Q"))
"""Opcodes whose ordinary outcome is not answered."""

_NEEDED, _NONE, _EITHER = "needs", "must not have", "may have"


@dataclass(frozen=True, slots=True)
class _Rule:
    extras: tuple[int, ...]
    key: str
    value: str

    def fault(self, extras: int, key: int, value: int) -> str:
        if extras not in self.extras:
            return f"extras of {extras} bytes"
        for name, rule, size in (("key", self.key, key), ("value", self.value, value)):
            if rule == _NEEDED and not size:
                return f"no {name}"
            if rule == _NONE and size:
                return f"a {name}"
        return ""


_RULES: dict[int, _Rule] = {}
for _names, _rule in (
    ("GET GETQ GETK GETKQ DELETE DELETEQ", _Rule((0,), _NEEDED, _NONE)),
    ("SET SETQ ADD ADDQ REPLACE REPLACEQ", _Rule((8,), _NEEDED, _EITHER)),
    ("INCREMENT INCREMENTQ DECREMENT DECREMENTQ", _Rule((20,), _NEEDED, _NONE)),
    ("APPEND APPENDQ PREPEND PREPENDQ", _Rule((0,), _NEEDED, _EITHER)),
    ("TOUCH GAT GATQ GATK GATKQ", _Rule((4,), _NEEDED, _NONE)),
    ("QUIT QUITQ NOOP VERSION SASL_LIST", _Rule((0,), _NONE, _NONE)),
    ("FLUSH FLUSHQ", _Rule((0, 4), _NONE, _NONE)),
    ("VERBOSITY", _Rule((4,), _NONE, _NONE)),
    ("STAT", _Rule((0,), _EITHER, _NONE)),
    ("SASL_AUTH SASL_STEP", _Rule((0,), _NEEDED, _EITHER)),
):
    for _name in _names.split():
        _RULES[Opcode[_name]] = _rule


@dataclass(slots=True)
class Packet:
    """One packet of either side."""

    opcode: int
    """Also one that is not in `Opcode`: such a packet can be followed and is answered as unknown."""
    key: bytes = b""
    extras: bytes = b""
    value: bytes = b""
    status: int = 0
    """Of a response; of a request its vbucket, which nobody here uses."""
    opaque: int = 0
    cas: int = 0
    fault: str = ""
    """Why a request breaks its opcode's rules; empty: it doesn't."""

    @property
    def quiet(self) -> bool:
        """Whether its ordinary outcome is not answered."""
        return self.opcode in QUIET


def encode(packet: Packet, magic: int) -> bytes:
    """Write a packet down; raises ValueError where a length does not fit its field."""
    body = len(packet.extras) + len(packet.key) + len(packet.value)
    try:
        head = HEADER.pack(
            magic, packet.opcode, len(packet.key), len(packet.extras), 0, packet.status, body,
            packet.opaque, packet.cas,
        )  # fmt: skip
    except struct.error as error:
        raise ValueError(f"memcached: {error}") from None
    return b"".join((head, packet.extras, packet.key, packet.value))


class PacketReader:
    """Cuts one side's bytes into packets; holds no more than one packet and what came with it."""

    def __init__(self, magic: int, max_value: int = MAX_VALUE) -> None:
        self._magic, self._max_value = magic, max_value
        self._held = bytearray()
        self.need = 0
        """Bytes that the packet under way is known to need; 0 between packets."""
        self.broken = ""
        """Why the stream can't be followed any further, once that is so."""

    @property
    def held(self) -> bytes:
        """What has come of the packet under way."""
        return bytes(self._held)

    def feed(self, data: bytes) -> list[Packet]:
        """The packets that are now whole, up to a broken one if `broken` is set by it."""
        if self.broken:
            return []
        if self.need:
            self._held += data
            if len(self._held) < self.need:
                return []
            data = bytes(self._held)
            self._held.clear()
            self.need = 0
        packets: list[Packet] = []
        at = 0
        while at < len(data):
            if data[at] != self._magic:
                self.broken = f"magic 0x{data[at]:02x} for 0x{self._magic:02x}"
                break
            if len(data) - at < HEADER.size:
                self.need = HEADER.size
                break
            _, opcode, key, extras, kind, status, body, opaque, cas = HEADER.unpack_from(data, at)
            self.broken = self._broken(opcode, key, extras, kind, body)
            if self.broken:
                break
            end = at + HEADER.size + body
            if end > len(data):
                self.need = end - at
                break
            start = at + HEADER.size
            middle, last = start + extras, start + extras + key
            packet = Packet(
                opcode, data[middle:last], data[start:middle], data[last:end], status, opaque, cas
            )
            if self._magic == REQUEST_MAGIC:
                packet.fault = self._fault(packet)
            packets.append(packet)
            at = end
        if self.need:
            self._held += data[at:]
        return packets

    def _broken(self, opcode: int, key: int, extras: int, kind: int, body: int) -> str:
        if kind:
            return f"data type 0x{kind:02x}"
        if extras + key > body:
            return f"extras and key of {extras + key} bytes in a body of {body}"
        if body - extras - key > self._max_value:
            return f"a value of {body - extras - key} bytes; {self._max_value} at most"
        return ""

    @staticmethod
    def _fault(packet: Packet) -> str:
        if len(packet.key) > MAX_KEY:
            return f"a key of {len(packet.key)} bytes; {MAX_KEY} at most"
        rule = _RULES.get(packet.opcode)
        return "" if rule is None else rule.fault(len(packet.extras), len(packet.key), len(packet.value))
