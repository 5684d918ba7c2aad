"""The memcached binary dialect towards clients. docs/design/memcached.md says what is kept of it and why.

GET, GETQ, GETK and GETKQ read; SET and SETQ write; DELETE and DELETEQ void. Replies come in the order of the
commands, as on every wire here, so that a NOOP is answered behind all that came before it. What can't be
kept honestly (flags, expiry, CAS, ADD, REPLACE, counters and so on) is answered `Not supported`, never with
silence.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from saltport import __version__
from saltport.decisions.tenancy import Prefixes
from saltport.downstream.words import check_key
from saltport.messages import Answers, ClientDialect, Malformed, Message, Ping, Request
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
_STRANGE = frozenset({Opcode.SASL_LIST, Opcode.SASL_AUTH, Opcode.SASL_STEP})  # as of a server without SASL
_WORDS = {
    Status.KEY_NOT_FOUND: b"Not found",
    Status.INVALID_ARGUMENTS: b"Invalid arguments",
    Status.UNKNOWN_COMMAND: b"Unknown command",
    Status.NOT_SUPPORTED: b"Not supported",
    Status.BUSY: b"Busy",
    Status.TEMPORARY_FAILURE: b"Temporary failure",
}


@dataclass(frozen=True, slots=True)
class MemcachedRules:
    """What the wire does not say of a request: its class, tenant and time."""

    read_class: str
    write_class: str
    delete_class: str
    tenants: Prefixes
    deadline_ms: int


class MemcachedAnswers:
    """Words one command's reply: its opcode and opaque go back as they came."""

    def __init__(
        self, asked: Packet, status: Status = Status.INVALID_ARGUMENTS, ends_batch: bool = False
    ) -> None:
        self._asked, self._rejection, self._ends_batch = asked, status, ends_batch

    def _packet(self, status: int = 0, extras: bytes = b"", key: bytes = b"", value: bytes = b"") -> bytes:
        asked = self._asked
        return encode(Packet(asked.opcode, key, extras, value, status, asked.opaque), RESPONSE_MAGIC)

    def _error(self, status: Status, more: bytes = b"") -> bytes:
        return self._packet(status, value=_WORDS[status] + more)

    def served(self, value: bytes) -> bytes:
        """A hit; or that a write is done, which a quiet one does not tell."""
        if self._asked.opcode in _READS:
            return self.head(len(value)) + value
        return b"" if self._asked.quiet else self._packet()

    def head(self, length: int) -> bytes:
        """A hit up to its value."""
        key = self._asked.key if self._asked.opcode in _WITH_KEY else b""
        whole = self._packet(0, NO_FLAGS, key, b"")
        body = len(NO_FLAGS) + len(key) + length
        return whole[:8] + body.to_bytes(4, "big") + whole[12:]

    def tail(self) -> bytes:
        """A value has no end mark."""
        return b""

    def refused(self, retry_after_ms: int) -> bytes:
        """`Busy`, also for quiet commands: silence would say that there is no such key."""
        return self._error(
            Status.BUSY, b"; again after %d ms" % retry_after_ms if retry_after_ms > 0 else b""
        )

    def failed(self) -> bytes:
        """`Temporary failure`: a write may have been done."""
        return self._error(Status.TEMPORARY_FAILURE)

    def rejected(self, reason: str) -> bytes:
        """The status that goes with what the command lacks, and the reason."""
        return self._error(self._rejection, b"; " + reason.encode() if reason else b"")

    def pong(self, ready: bool) -> bytes:
        """A command that asks for nothing of the routes: NOOP, VERSION, STAT."""
        opcode = self._asked.opcode
        if opcode == Opcode.VERSION:
            return self._packet(value=__version__.encode())
        if opcode == Opcode.STAT:
            told = {"pid": str(os.getpid()), "version": __version__, "ready": "yes" if ready else "no"}
            pairs = [self._packet(key=name.encode(), value=value.encode()) for name, value in told.items()]
            return b"".join([*pairs, self._packet()])
        if not ready and not self._ends_batch:
            # Alone it asks whether the server is well; behind quiet commands it only marks their end.
            return self._error(Status.BUSY, b"; no clients are taken now")
        return self._packet()


class MemcachedDialect:
    """Reads one client's packets."""

    name = "memcached"
    _numbers = count(1)
    _prefix = os.urandom(4).hex()

    def __init__(self, rules: MemcachedRules) -> None:
        self._rules = rules
        self._reader = PacketReader(REQUEST_MAGIC)
        self._quit: Packet | None = None
        self._in_batch = False
        """Whether quiet commands came since the last one that was not."""

    @property
    def need(self) -> int:
        """See ClientDialect."""
        return 0 if self._quit else self._reader.needed_bytes

    @property
    def held(self) -> bytes:
        """See ClientDialect; a reply needs nothing but its own packet, so the one under way is all."""
        return self._reader.pending

    @property
    def broken(self) -> str:
        """See ClientDialect; a QUIT ends the stream, too."""
        return "quit" if self._quit else self._reader.broken

    def feed(self, data: bytes) -> list[tuple[Message, Answers]]:
        """See ClientDialect."""
        messages: list[tuple[Message, Answers]] = []
        for packet in self._reader.feed(data):
            if packet.opcode in _QUITS and not packet.fault:
                self._quit = packet
                break
            messages.append(self._message(packet))
        return messages

    def breaking(self) -> bytes:
        """The last packet: the answer to QUIT, or why the stream can't be followed."""
        if self._quit is not None:
            return b"" if self._quit.quiet else MemcachedAnswers(self._quit).pong(ready=True)
        reason = self._reader.broken or "packet not finished in time"
        return MemcachedAnswers(Packet(Opcode.NOOP)).rejected(reason)

    def _message(self, packet: Packet) -> tuple[Message, Answers]:
        opcode = packet.opcode
        ends_batch, self._in_batch = self._in_batch and not packet.quiet, packet.quiet
        if packet.fault:
            return Malformed(packet.fault), MemcachedAnswers(packet)
        if opcode == Opcode.NOOP:
            return Ping(), MemcachedAnswers(packet, ends_batch=ends_batch)
        if opcode == Opcode.VERSION or (opcode == Opcode.STAT and not packet.key):
            return Ping(), MemcachedAnswers(packet)
        if opcode not in Opcode.__members__.values() or opcode in _STRANGE:
            return Malformed(""), MemcachedAnswers(packet, Status.UNKNOWN_COMMAND)
        if reason := _not_kept(packet):
            return Malformed(reason), MemcachedAnswers(packet, Status.NOT_SUPPORTED)
        try:
            check_key(packet.key)
        except ValueError as error:
            return Malformed(str(error)), MemcachedAnswers(packet)
        return self._request(packet), MemcachedAnswers(packet)

    def _request(self, packet: Packet) -> Request:
        rules, opcode = self._rules, packet.opcode
        name = f"{self._prefix}{next(self._numbers):08x}"
        request_class = rules.read_class
        value = None
        info = f"d={rules.deadline_ms}"
        if opcode not in _READS:
            request_class = rules.write_class if opcode in _WRITES else rules.delete_class
            value = packet.value
            # The wire has no idempotency key: this one covers the router's own repeats, not the client's.
            info += f",k={name}"
        tenant = rules.tenants.tenant(packet.key)
        info = f"c={request_class}," + (f"t={tenant}," if tenant else "") + info
        return Request(
            name.encode(),
            packet.key,
            request_class,
            tenant,
            rules.deadline_ms,
            value,
            False,
            info.encode(),
        )


def _not_kept(packet: Packet) -> str:
    """What of a known command can't be kept honestly; empty: nothing."""
    if packet.opcode not in _READS | _WRITES | _DELETES:
        return "no such thing is kept here"
    if packet.cas:
        return "CAS is not kept"
    if packet.opcode in _WRITES and packet.extras[:4] != NO_FLAGS:
        return "flags are not kept"
    if packet.opcode in _WRITES and any(packet.extras[4:]):
        return "expiry is not kept"
    return ""


class EitherDialect:
    """Tells by a connection's first byte which dialect its client speaks."""

    def __init__(self, memcached: Callable[[], ClientDialect], other: Callable[[], ClientDialect]) -> None:
        self._memcached, self._other = memcached, other
        self._spoken: ClientDialect | None = None

    @property
    def need(self) -> int:
        """See ClientDialect."""
        return self._spoken.need if self._spoken is not None else 0

    @property
    def name(self) -> str:
        """See ClientDialect; before the first byte nobody knows."""
        return self._spoken.name if self._spoken is not None else ""

    @property
    def held(self) -> bytes:
        """See ClientDialect."""
        return self._spoken.held if self._spoken is not None else b""

    @property
    def broken(self) -> str:
        """See ClientDialect."""
        return self._spoken.broken if self._spoken is not None else ""

    def feed(self, data: bytes) -> list[tuple[Message, Answers]]:
        """See ClientDialect."""
        if self._spoken is None:
            self._spoken = (self._memcached if data[:1] == b"\x80" else self._other)()
        return self._spoken.feed(data)

    def breaking(self) -> bytes:
        """See ClientDialect."""
        return self._spoken.breaking() if self._spoken is not None else b""
