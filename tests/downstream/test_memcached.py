"""Unit tests of the memcached dialect: the request made from each opcode and the reply for each outcome."""

from __future__ import annotations

import random

import pytest

from saltport.decisions.tenancy import Prefixes
from saltport.downstream.memcached import DetectingDialect, MemcachedDialect, MemcachedRules
from saltport.downstream.resp import RespDialect
from saltport.messages import Answers, Malformed, Message, Ping, Request
from saltport.wire.memcached import (
    REQUEST_MAGIC,
    RESPONSE_MAGIC,
    Opcode,
    Packet,
    PacketReader,
    Status,
    encode,
)

RULES = MemcachedRules(
    "get", "put", "drop", Prefixes({"a": "acme", "ab": "other", "abc/": "acme"}, "acme"), 800
)
NO_FLAGS_OR_EXPIRY = bytes(8)
READS = [Opcode.GET, Opcode.GETQ, Opcode.GETK, Opcode.GETKQ]
UNSUPPORTED = [
    Packet(Opcode.ADD, b"k", NO_FLAGS_OR_EXPIRY, b"v"),
    Packet(Opcode.REPLACEQ, b"k", NO_FLAGS_OR_EXPIRY, b"v"),
    Packet(Opcode.APPEND, b"k", value=b"v"),
    Packet(Opcode.INCREMENT, b"k", bytes(20)),
    Packet(Opcode.TOUCH, b"k", bytes(4)),
    Packet(Opcode.GATKQ, b"k", bytes(4)),
    Packet(Opcode.FLUSH),
    Packet(Opcode.VERBOSITY, extras=bytes(4)),
    Packet(Opcode.STAT, b"items"),
    Packet(Opcode.SET, b"k", b"\0\0\0\1" + bytes(4), b"v"),
    Packet(Opcode.SET, b"k", bytes(7) + b"\1", b"v"),
    Packet(Opcode.SET, b"k", NO_FLAGS_OR_EXPIRY, b"v", cas=5),
    Packet(Opcode.DELETEQ, b"k", cas=5),
]


def parse_command(packet: Packet) -> tuple[Message, Answers]:
    ((message, answers),) = MemcachedDialect(RULES).feed(encode(packet, REQUEST_MAGIC))
    return message, answers


def parse_replies(data: bytes) -> list[Packet]:
    return PacketReader(RESPONSE_MAGIC).feed(data)


@pytest.mark.parametrize("opcode", READS)
def test_reads(opcode: Opcode) -> None:
    message, answers = parse_command(Packet(opcode, b"pkg/a", opaque=77))
    assert isinstance(message, Request)
    assert (message.key, message.request_class, message.tenant) == (b"pkg/a", "get", "acme")
    assert (message.timeout_ms, message.value, message.info) == (800, None, b"c=get,t=acme,d=800")
    key = b"pkg/a" if opcode in (Opcode.GETK, Opcode.GETKQ) else b""
    hit = Packet(opcode, key, bytes(4), b"value", opaque=77)
    assert parse_replies(answers.served(b"value")) == [hit]
    assert parse_replies(answers.head(5) + b"value" + answers.tail()) == [hit]


@pytest.mark.parametrize(
    ("packet", "cls"),
    [
        (Packet(Opcode.SET, b"k", NO_FLAGS_OR_EXPIRY, b"v", opaque=3), "put"),
        (Packet(Opcode.SETQ, b"k", NO_FLAGS_OR_EXPIRY, b"v", opaque=3), "put"),
        (Packet(Opcode.DELETE, b"k", opaque=3), "drop"),
        (Packet(Opcode.DELETEQ, b"k", opaque=3), "drop"),
    ],
)
def test_writes_have_a_key_of_their_own_and_quiet_ones_are_silent_once_done(packet: Packet, cls: str) -> None:
    message, answers = parse_command(packet)
    assert isinstance(message, Request)
    assert message.request_class == cls
    assert message.value == packet.value
    assert message.info == f"c={cls},t=acme,d=800,k={message.id.decode()}".encode()
    expected = [] if packet.quiet else [Packet(packet.opcode, opaque=3)]
    assert parse_replies(answers.served(b"receipt")) == expected


@pytest.mark.parametrize("opcode", [*READS, Opcode.SET, Opcode.SETQ, Opcode.DELETE, Opcode.DELETEQ])
def test_refusals_and_failures_are_never_silent_and_differ(opcode: Opcode) -> None:
    extras = NO_FLAGS_OR_EXPIRY if opcode in (Opcode.SET, Opcode.SETQ) else b""
    _, answers = parse_command(Packet(opcode, b"k", extras, opaque=9))
    (busy,), (failed,) = parse_replies(answers.refused(250)), parse_replies(answers.failed())
    assert (busy.status, busy.opaque, busy.value) == (Status.BUSY, 9, b"Busy; again after 250 ms")
    assert (failed.status, failed.opaque, failed.opcode) == (Status.TEMPORARY_FAILURE, 9, opcode)


@pytest.mark.parametrize("packet", UNSUPPORTED, ids=lambda packet: Opcode(packet.opcode).name)
def test_unsupported_commands_are_rejected(packet: Packet) -> None:
    message, answers = parse_command(packet)
    assert isinstance(message, Malformed)
    (answer,) = parse_replies(answers.rejected(message.reason))
    assert (answer.status, answer.opcode) == (Status.NOT_SUPPORTED, packet.opcode)
    assert answer.value.startswith(b"Not supported; ")


@pytest.mark.parametrize("opcode", [0x77, 0xFF, Opcode.SASL_LIST])
def test_unknown_opcodes(opcode: int) -> None:
    message, answers = parse_command(Packet(opcode))
    assert isinstance(message, Malformed)
    (answer,) = parse_replies(answers.rejected(message.reason))
    assert (answer.status, answer.value) == (Status.UNKNOWN_COMMAND, b"Unknown command")


@pytest.mark.parametrize("key", [b"a b", b"a\r\nX: y", b"\xff\xfe", b"k" * 251])
def test_keys_that_cannot_be_passed_on(key: bytes) -> None:
    message, answers = parse_command(Packet(Opcode.GETQ, key))
    assert isinstance(message, Malformed)
    assert parse_replies(answers.rejected(message.reason))[0].status == Status.INVALID_ARGUMENTS


@pytest.mark.parametrize(
    ("key", "tenant"),
    [
        (b"k", "acme"),
        (b"a", "acme"),
        (b"ab", "other"),
        (b"abc", "other"),
        (b"abc/x", "acme"),
        (b"b/abc", "acme"),
    ],
)
def test_a_key_is_the_tenant_s_with_the_longest_prefix(key: bytes, tenant: str) -> None:
    message, _ = parse_command(Packet(Opcode.GET, key))
    assert isinstance(message, Request)
    assert (message.tenant, b"t=%b," % tenant.encode() in message.info) == (tenant, True)


@pytest.mark.parametrize("prefix", ["", "a b", "x" * 251])
def test_prefixes_that_no_key_has_are_refused(prefix: str) -> None:
    with pytest.raises(ValueError, match="not a valid key prefix"):
        Prefixes({prefix: "acme"}, None)


def test_ten_thousand_keys_agree_with_a_check_of_every_prefix() -> None:
    rng = random.Random(5)
    tenants = {"".join(rng.choices("ab/", k=rng.randrange(1, 7))): f"t{n}" for n in range(300)}
    prefixes = Prefixes(tenants, None)
    for _ in range(10_000):
        key = "".join(rng.choices("ab/", k=rng.randrange(9)))
        matching = [prefix for prefix in tenants if key.startswith(prefix)]
        assert prefixes.tenant(key.encode()) == (tenants[max(matching, key=len)] if matching else None)


def test_noop_version_and_stat() -> None:
    message, answers = parse_command(Packet(Opcode.NOOP, opaque=4))
    assert isinstance(message, Ping)
    assert parse_replies(answers.pong(ready=True)) == [Packet(Opcode.NOOP, opaque=4)]
    _, answers = parse_command(Packet(Opcode.VERSION))
    assert parse_replies(answers.pong(ready=True))[0].value
    _, answers = parse_command(Packet(Opcode.STAT))
    *stats, last = parse_replies(answers.pong(ready=True))
    assert {stat.key for stat in stats} == {b"pid", b"version", b"ready"}
    assert (last.key, last.value) == (b"", b"")


@pytest.mark.parametrize(
    ("previous", "status"),
    [
        ([], Status.BUSY),
        ([Packet(Opcode.GETQ, b"k")], 0),
        ([Packet(Opcode.GETKQ, b"k"), Packet(Opcode.SETQ, b"k", bytes(8), b"v")], 0),
        ([Packet(Opcode.GETQ, b"k"), Packet(Opcode.GET, b"k")], Status.BUSY),
        ([Packet(Opcode.GETQ, b"k"), Packet(Opcode.NOOP)], Status.BUSY),
    ],
)
def test_noop_on_a_drained_router_still_ends_a_batch(previous: list[Packet], status: int) -> None:
    dialect = MemcachedDialect(RULES)
    stream = [*previous, Packet(Opcode.NOOP, opaque=9)]
    message, answers = dialect.feed(b"".join(encode(packet, REQUEST_MAGIC) for packet in stream))[-1]
    assert isinstance(message, Ping)
    (reply_while_drained,) = parse_replies(answers.pong(ready=False))
    assert (reply_while_drained.opaque, reply_while_drained.status) == (9, status)
    assert parse_replies(answers.pong(ready=True))[0].status == 0


def test_quit_ends_the_stream_behind_what_came_before_it() -> None:
    for opcode, expected in ((Opcode.QUIT, [Packet(Opcode.QUIT)]), (Opcode.QUITQ, [])):
        dialect = MemcachedDialect(RULES)
        stream = [Packet(Opcode.GET, b"k"), Packet(opcode), Packet(Opcode.GET, b"never")]
        messages = dialect.feed(b"".join(encode(packet, REQUEST_MAGIC) for packet in stream))
        assert len(messages) == 1
        assert dialect.end_reason
        assert parse_replies(dialect.closing_reply()) == expected


def test_broken_streams_get_an_error_with_the_reason() -> None:
    dialect = MemcachedDialect(RULES)
    assert dialect.feed(b"\x80" + b"\xff" * 23) == []
    assert dialect.end_reason
    (answer,) = parse_replies(dialect.closing_reply())
    assert answer.status == Status.INVALID_ARGUMENTS
    assert b"data type" in answer.value


def test_the_first_byte_selects_the_dialect() -> None:
    def detecting() -> DetectingDialect:
        return DetectingDialect(lambda: MemcachedDialect(RULES), RespDialect)

    binary, plain = detecting(), detecting()
    assert (binary.needed_bytes, binary.end_reason, binary.closing_reply()) == (0, "", b"")
    assert isinstance(binary.feed(encode(Packet(Opcode.NOOP), REQUEST_MAGIC))[0][0], Ping)
    assert isinstance(plain.feed(b"*1\r\n$4\r\nPING\r\n")[0][0], Ping)
    assert binary.feed(b"*1\r\n$4\r\nPING\r\n") == []
    assert "magic 0x2a" in binary.end_reason
