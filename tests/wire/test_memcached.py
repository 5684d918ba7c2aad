"""The memcached binary codec: published examples, arbitrary splits, invalid bytes, the rules of opcodes."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies
from hypothesis import settings as profile

from saltport.wire.memcached import (
    HEADER,
    MAX_KEY_BYTES,
    QUIET_OPCODES,
    REQUEST_MAGIC,
    RESPONSE_MAGIC,
    Opcode,
    Packet,
    PacketReader,
    Status,
    encode,
)

# The examples of the published protocol, as hexadecimal words.
GET_HELLO = "80000005 00000000 00000005 00000000 00000000 00000000 48656c6c 6f"
WORLD = "81000000 04000000 00000009 00000000 00000000 00000001 deadbeef 576f726c 64"
ADD_HELLO = "80020005 08000000 00000012 00000000 00000000 00000000 deadbeef 00001c20 48656c6c 6f576f72 6c64"
NOT_FOUND = "81000000 00000001 00000009 00000000 00000000 00000000 4e6f7420 666f756e 64"


@pytest.mark.parametrize(
    ("words", "magic", "packet"),
    [
        (GET_HELLO, REQUEST_MAGIC, Packet(Opcode.GET, b"Hello")),
        (WORLD, RESPONSE_MAGIC, Packet(Opcode.GET, extras=b"\xde\xad\xbe\xef", value=b"World", cas=1)),
        (
            ADD_HELLO,
            REQUEST_MAGIC,
            Packet(Opcode.ADD, b"Hello", b"\xde\xad\xbe\xef\x00\x00\x1c\x20", b"World"),
        ),
        (NOT_FOUND, RESPONSE_MAGIC, Packet(Opcode.GET, value=b"Not found", status=Status.KEY_NOT_FOUND)),
    ],
    ids=["get", "value", "add", "not-found"],
)
def test_published_examples_are_decoded_and_encoded_exactly(words: str, magic: int, packet: Packet) -> None:
    data = bytes.fromhex(words)
    assert PacketReader(magic).feed(data) == [packet]
    assert encode(packet, magic) == data


PACKETS = strategies.builds(
    Packet,
    opcode=strategies.integers(0, 255),
    key=strategies.binary(max_size=60),
    extras=strategies.binary(max_size=24),
    value=strategies.binary(max_size=80),
    status=strategies.integers(0, 0xFFFF),
    opaque=strategies.integers(0, 2**32 - 1),
    cas=strategies.integers(0, 2**64 - 1),
)


@given(
    packets=strategies.lists(PACKETS, max_size=5),
    cuts=strategies.lists(strategies.integers(0, 900), max_size=8),
    magic=strategies.sampled_from([REQUEST_MAGIC, RESPONSE_MAGIC]),
)
@profile(derandomize=True, max_examples=400, deadline=None)
def test_any_packets_survive_any_split(packets: list[Packet], cuts: list[int], magic: int) -> None:
    stream = b"".join(encode(packet, magic) for packet in packets)
    reader, read, at = PacketReader(magic), [], 0
    for cut in sorted({min(cut, len(stream)) for cut in cuts} | {len(stream)}):
        read += reader.feed(stream[at:cut])
        at = cut
    for packet in read:
        packet.fault = ""
    assert read == packets
    assert (reader.needed_bytes, reader.framing_error) == (0, "")


@given(pieces=strategies.lists(strategies.binary(max_size=120), max_size=6))
@profile(derandomize=True, max_examples=400, deadline=None)
def test_random_bytes_end_in_one_lasting_error_or_wait_for_at_most_a_packet(pieces: list[bytes]) -> None:
    reader = PacketReader(REQUEST_MAGIC, max_value_bytes=1000)
    for data in pieces:
        reader.feed(data)
        assert reader.needed_bytes <= HEADER.size + 255 + 0xFFFF + 1000
        if reader.framing_error:
            error = reader.framing_error
            assert reader.feed(b"\x80" * 50) == []
            assert reader.framing_error == error


@given(packet=PACKETS, place=strategies.integers(0, 23), byte=strategies.integers(0, 255))
@profile(derandomize=True, max_examples=400, deadline=None)
def test_corrupt_header_never_raises(packet: Packet, place: int, byte: int) -> None:
    data = bytearray(encode(packet, REQUEST_MAGIC))
    data[place] = byte
    reader = PacketReader(REQUEST_MAGIC, max_value_bytes=1000)
    reader.feed(bytes(data) + encode(Packet(Opcode.NOOP), REQUEST_MAGIC))


def header(key: int = 0, extras: int = 0, body: int = 0, magic: int = 0x80, kind: int = 0) -> bytes:
    return HEADER.pack(magic, Opcode.GET, key, extras, kind, 0, body, 7, 0)


@pytest.mark.parametrize(
    ("head", "words"),
    [
        (header(body=0xFFFFFFFF), "a value of 4294967295 bytes"),
        (header(key=5, extras=4, body=8), "extras and key of 9 bytes in a body of 8"),
        (header(magic=0x81), "magic 0x81 for 0x80"),
        (header(kind=3), "data type 0x03"),
        (b"GET / HTTP/1.1\r\n", "magic 0x47 for 0x80"),
    ],
    ids=["4 GB", "lengths", "response", "data-type", "http"],
)
def test_framing_error_is_detected_from_the_header_alone(head: bytes, words: str) -> None:
    reader = PacketReader(REQUEST_MAGIC)
    good = encode(Packet(Opcode.GET, b"k"), REQUEST_MAGIC)
    assert [packet.key for packet in reader.feed(good + head)] == [b"k"]
    assert words in reader.framing_error


@pytest.mark.parametrize(
    ("packet", "words"),
    [
        (Packet(Opcode.GET), "no key"),
        (Packet(Opcode.GET, b"k", value=b"v"), "a value"),
        (Packet(Opcode.GETKQ, b"k", extras=b"1234"), "extras of 4 bytes"),
        (Packet(Opcode.SET, b"k", value=b"v"), "extras of 0 bytes"),
        (Packet(Opcode.INCREMENT, b"k", extras=b"12345678"), "extras of 8 bytes"),
        (Packet(Opcode.NOOP, b"k"), "a key"),
        (Packet(Opcode.FLUSH, extras=b"12"), "extras of 2 bytes"),
        (Packet(Opcode.TOUCH, b"k"), "extras of 0 bytes"),
        (Packet(Opcode.GET, b"k" * (MAX_KEY_BYTES + 1)), "a key of 251 bytes"),
    ],
    ids=lambda value: value if isinstance(value, str) else f"0x{value.opcode:02x}",
)
def test_packet_that_breaks_its_opcodes_rules_has_a_fault_and_reading_continues(
    packet: Packet, words: str
) -> None:
    reader = PacketReader(REQUEST_MAGIC)
    noop = Packet(Opcode.NOOP, opaque=9)
    bad, after = reader.feed(encode(packet, REQUEST_MAGIC) + encode(noop, REQUEST_MAGIC))
    assert words in bad.fault
    assert after == noop
    assert reader.framing_error == ""


def test_every_opcode_has_a_rule_and_unknown_opcodes_are_accepted() -> None:
    for code in Opcode:
        bare = PacketReader(REQUEST_MAGIC).feed(encode(Packet(code, extras=b"1" * 19), REQUEST_MAGIC))[0]
        assert bare.fault, code
    (unknown,) = PacketReader(REQUEST_MAGIC).feed(encode(Packet(0x77, b"k", b"e", b"v"), REQUEST_MAGIC))
    assert (unknown.opcode, unknown.fault) == (0x77, "")


def test_quiet_opcodes() -> None:
    assert Packet(Opcode.GETKQ).quiet
    assert Packet(Opcode.QUITQ).quiet
    assert not Packet(Opcode.QUIT).quiet
    assert not Packet(0x77).quiet
    assert len(QUIET_OPCODES) == 14


def test_encoding_rejects_numbers_that_do_not_fit_their_fields() -> None:
    with pytest.raises(ValueError, match="memcached"):
        encode(Packet(Opcode.GET, b"k" * 70_000), REQUEST_MAGIC)
    with pytest.raises(ValueError, match="memcached"):
        encode(Packet(Opcode.GET, b"k", opaque=2**32), REQUEST_MAGIC)


def test_discarded_packet_is_returned_without_its_body_and_the_next_one_whole() -> None:
    write = encode(Packet(Opcode.SET, b"k", b"e" * 8, b"v" * 90_000, opaque=7), REQUEST_MAGIC)
    noop = Packet(Opcode.NOOP, opaque=8)
    stream = write + encode(noop, REQUEST_MAGIC)
    reader = PacketReader(REQUEST_MAGIC)
    assert reader.feed(stream[:20]) == []
    assert not reader.discard()
    assert reader.feed(stream[20:5000]) == []
    assert reader.discard()
    assert reader.feed(stream[5000:50_000]) == []
    discarded, after = reader.feed(stream[50_000:])
    assert (discarded.opcode, discarded.opaque, discarded.value) == (Opcode.SET, 7, b"")
    assert after == noop
