"""The memcached binary dialect for clients. docs/design/memcached.md lists the supported subset and why.

GET, GETQ, GETK and GETKQ read; SET and SETQ write; DELETE and DELETEQ invalidate. Replies are sent in the
order of the commands, as in every dialect, so a NOOP is answered after all commands before it. Features that
the router can't honour (flags, expiry, CAS, ADD, REPLACE, counters and so on) are answered `Not supported`,
also for quiet commands.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from saltport import __version__
from saltport.decisions.tenancy import Prefixes
from saltport.downstream.keys import check_key
from saltport.downstream.reader_dialect import ReaderDialect
from saltport.messages import Answers, ClientDialect, Discarded, Malformed, Message, Ping, Request
from saltport.wire.memcached import (
    REQUEST_MAGIC,
    RESPONSE_MAGIC,
    Opcode,
    Packet,
    PacketReader,
    Status,
    encode,
)

NO_FLAGS = bytes(4)
_READS = frozenset({Opcode.GET, Opcode.GETQ, Opcode.GETK, Opcode.GETKQ})
_WITH_KEY = frozenset({Opcode.GETK, Opcode.GETKQ})
_WRITES = frozenset({Opcode.SET, Opcode.SETQ})
_DELETES = frozenset({Opcode.DELETE, Opcode.DELETEQ})
_QUITS = frozenset({Opcode.QUIT, Opcode.QUITQ})
_SASL = frozenset(
    {Opcode.SASL_LIST, Opcode.SASL_AUTH, Opcode.SASL_STEP}
)  # answered as by a server without SASL
_STATUS_TEXTS = {
    Status.KEY_NOT_FOUND: b"Not found",
    Status.INVALID_ARGUMENTS: b"Invalid arguments",
    Status.UNKNOWN_COMMAND: b"Unknown command",
    Status.NOT_SUPPORTED: b"Not supported",
    Status.BUSY: b"Busy",
    Status.TEMPORARY_FAILURE: b"Temporary failure",
}


@dataclass(frozen=True, slots=True)
class MemcachedRules:
    """The request properties that the protocol does not carry: class, tenant and deadline."""

    read_class: str
    write_class: str
    delete_class: str
    tenants: Prefixes
    deadline_ms: int


class MemcachedAnswers:
    """Encodes the reply to one command, with the command's opcode and opaque value."""

    def __init__(
        self, command: Packet, status: Status = Status.INVALID_ARGUMENTS, ends_batch: bool = False
    ) -> None:
        self._command, self._rejection, self._ends_batch = command, status, ends_batch

    def _packet(self, status: int = 0, extras: bytes = b"", key: bytes = b"", value: bytes = b"") -> bytes:
        command = self._command
        return encode(Packet(command.opcode, key, extras, value, status, command.opaque), RESPONSE_MAGIC)

    def _error(self, status: Status, detail: bytes = b"") -> bytes:
        return self._packet(status, value=_STATUS_TEXTS[status] + detail)

    def served(self, value: bytes) -> bytes:
        """Return a hit or the success of a write; empty for a quiet write."""
        if self._command.opcode in _READS:
            return self.head(len(value)) + value
        return b"" if self._command.quiet else self._packet()

    def head(self, length: int) -> bytes:
        """Return a hit packet up to its value of this length."""
        key = self._command.key if self._command.opcode in _WITH_KEY else b""
        packet = self._packet(0, NO_FLAGS, key, b"")
        body_size = len(NO_FLAGS) + len(key) + length
        return packet[:8] + body_size.to_bytes(4, "big") + packet[12:]

    def tail(self) -> bytes:
        """Return no bytes: a value has no end mark in this protocol."""
        return b""

    def refused(self, retry_after_ms: int) -> bytes:
        """Return `Busy`, also for quiet commands, where no reply would mean that the key does not exist."""
        return self._error(
            Status.BUSY, b"; again after %d ms" % retry_after_ms if retry_after_ms > 0 else b""
        )

    def failed(self) -> bytes:
        """Return `Temporary failure`; a write may have taken effect."""
        return self._error(Status.TEMPORARY_FAILURE)

    def rejected(self, reason: str) -> bytes:
        """Return the error status given for the command, with the reason if there is one."""
        return self._error(self._rejection, b"; " + reason.encode() if reason else b"")

    def pong(self, ready: bool) -> bytes:
        """Return the reply to a command that the router answers itself: NOOP, VERSION or STAT."""
        opcode = self._command.opcode
        if opcode == Opcode.VERSION:
            return self._packet(value=__version__.encode())
        if opcode == Opcode.STAT:
            stats = {"pid": str(os.getpid()), "version": __version__, "ready": "yes" if ready else "no"}
            pairs = [self._packet(key=name.encode(), value=value.encode()) for name, value in stats.items()]
            return b"".join([*pairs, self._packet()])
        if not ready and not self._ends_batch:
            # A NOOP on its own is a health check; after quiet commands it only marks the end of the batch.
            return self._error(Status.BUSY, b"; no clients are taken now")
        return self._packet()


class MemcachedDialect(ReaderDialect[PacketReader]):
    """The memcached reader of one client connection, see ClientDialect."""

    name = "memcached"
    _numbers = count(1)
    _prefix = os.urandom(4).hex()

    def __init__(self, rules: MemcachedRules) -> None:
        super().__init__(PacketReader(REQUEST_MAGIC))
        self._rules = rules
        self._quit: Packet | None = None
        self._in_batch = False
        """Whether the previous command was quiet."""

    @property
    def needed_bytes(self) -> int:
        """Bytes that the partial packet needs at least, counted from its start; 0 between packets."""
        return 0 if self._quit else self._reader.needed_bytes

    @property
    def partial_timeout_ms(self) -> int:
        """How long a client waits for an answer, as the protocol does not state it."""
        return self._rules.deadline_ms

    @property
    def end_reason(self) -> str:
        """Why no further packets can be parsed: a framing error, or `quit`; empty while they can."""
        return "quit" if self._quit else self._reader.framing_error

    def feed(self, data: bytes) -> list[tuple[Message, Answers]]:
        """Parse received bytes; return the complete commands, each with its reply encoder."""
        messages: list[tuple[Message, Answers]] = []
        for packet in self._reader.feed(data):
            if self._reader.first_is_discarded:
                self._reader.first_is_discarded = False
                messages.append((Discarded(None), MemcachedAnswers(packet)))
                continue
            if packet.opcode in _QUITS and not packet.fault:
                self._quit = packet
                break
            messages.append(self._message(packet))
        return messages

    def closing_reply(self) -> bytes:
        """Return the last packet before the close: the reply to QUIT, or an error for an invalid stream."""
        if self._quit is not None:
            return b"" if self._quit.quiet else MemcachedAnswers(self._quit).pong(ready=True)
        reason = self._reader.framing_error or "packet not finished in time"
        return MemcachedAnswers(Packet(Opcode.NOOP)).rejected(reason)

    def _message(self, packet: Packet) -> tuple[Message, Answers]:
        """Return a packet's command in the form that all dialects share, and the encoder of its reply."""
        opcode = packet.opcode
        ends_batch, self._in_batch = self._in_batch and not packet.quiet, packet.quiet
        if packet.fault:
            return Malformed(packet.fault), MemcachedAnswers(packet)
        if opcode == Opcode.NOOP:
            return Ping(), MemcachedAnswers(packet, ends_batch=ends_batch)
        if opcode == Opcode.VERSION or (opcode == Opcode.STAT and not packet.key):
            return Ping(), MemcachedAnswers(packet)
        if opcode not in Opcode.__members__.values() or opcode in _SASL:
            return Malformed(""), MemcachedAnswers(packet, Status.UNKNOWN_COMMAND)
        if reason := _unsupported_reason(packet):
            return Malformed(reason), MemcachedAnswers(packet, Status.NOT_SUPPORTED)
        try:
            check_key(packet.key)
        except ValueError as error:
            return Malformed(str(error)), MemcachedAnswers(packet)
        return self._request(packet), MemcachedAnswers(packet)

    def _request(self, packet: Packet) -> Request:
        """Return the read, write or delete command of a packet as a request."""
        rules, opcode = self._rules, packet.opcode
        request_id = f"{self._prefix}{next(self._numbers):08x}"
        request_class = rules.read_class
        value = None
        info = f"d={rules.deadline_ms}"
        if opcode not in _READS:
            request_class = rules.write_class if opcode in _WRITES else rules.delete_class
            value = packet.value
            # The protocol has no idempotency key: this one covers the router's retries, not the client's.
            info += f",k={request_id}"
        tenant = rules.tenants.tenant(packet.key)
        info = f"c={request_class}," + (f"t={tenant}," if tenant else "") + info
        return Request(
            request_id.encode(),
            packet.key,
            request_class,
            tenant,
            rules.deadline_ms,
            value,
            False,
            info.encode(),
        )


def _unsupported_reason(packet: Packet) -> str:
    """Return why a known command can't be supported; empty if it can."""
    if packet.opcode not in _READS | _WRITES | _DELETES:
        return "no such thing is kept here"
    if packet.cas:
        return "CAS is not kept"
    if packet.opcode in _WRITES and packet.extras[:4] != NO_FLAGS:
        return "flags are not kept"
    if packet.opcode in _WRITES and any(packet.extras[4:]):
        return "expiry is not kept"
    return ""


class DetectingDialect:
    """Detects the dialect of a connection by its first byte, and delegates to that dialect."""

    def __init__(self, memcached: Callable[[], ClientDialect], other: Callable[[], ClientDialect]) -> None:
        self._memcached, self._other = memcached, other
        self._detected: ClientDialect | None = None

    @property
    def needed_bytes(self) -> int:
        """Bytes that the partial command needs at least, counted from its start; 0 between commands."""
        return self._detected.needed_bytes if self._detected is not None else 0

    @property
    def name(self) -> str:
        """The name of the detected dialect; empty before the first byte."""
        return self._detected.name if self._detected is not None else ""

    @property
    def received_bytes(self) -> int:
        """Number of bytes kept of the partial command."""
        return self._detected.received_bytes if self._detected is not None else 0

    @property
    def missing_bytes(self) -> int:
        """Bytes that the partial command needs at least beyond those received; 0 between commands."""
        return self._detected.missing_bytes if self._detected is not None else 0

    @property
    def partial_timeout_ms(self) -> int:
        """How long the client waits for the answer to the partial command; 0 if that is not known yet."""
        return self._detected.partial_timeout_ms if self._detected is not None else 0

    @property
    def is_discarding(self) -> bool:
        """Whether the rest of the partial command is discarded."""
        return self._detected is not None and self._detected.is_discarding

    def discard(self) -> bool:
        """Discard what comes of the partial command, and return whether that is possible."""
        return self._detected is not None and self._detected.discard()

    @property
    def discarded_command(self) -> tuple[bytes, int]:
        """The command that is discarded, without its long part, and how many bytes of that are to come."""
        return self._detected.discarded_command if self._detected is not None else (b"", 0)

    def resume_discarding(self, head: bytes, left: int) -> None:
        """Go on to discard the command of another parser, which had this `discarded_command`."""
        self._detected = (self._memcached if head[:1] == b"\x80" else self._other)()
        self._detected.resume_discarding(head, left)

    @property
    def partial_command(self) -> bytes:
        """The received bytes of the partial command."""
        return self._detected.partial_command if self._detected is not None else b""

    @property
    def end_reason(self) -> str:
        """Why no further commands can be parsed; empty while they can."""
        return self._detected.end_reason if self._detected is not None else ""

    def feed(self, data: bytes) -> list[tuple[Message, Answers]]:
        """Detect the dialect if necessary and parse received bytes; return the complete commands."""
        if self._detected is None:
            self._detected = (self._memcached if data[:1] == b"\x80" else self._other)()
        return self._detected.feed(data)

    def drop_partial(self) -> None:
        """Drop the partial command, as the connection has ended."""
        if self._detected is not None:
            self._detected.drop_partial()

    def closing_reply(self) -> bytes:
        """Return the last reply before the close; empty if no dialect was detected."""
        return self._detected.closing_reply() if self._detected is not None else b""
