"""Long parts of commands are received in place."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable

import pytest

from saltport.messages import Data
from saltport.wire.memcached import REQUEST_MAGIC, Opcode, Packet, PacketReader, encode
from saltport.wire.resp import CommandReader, command

VALUE = bytes(range(256)) * 4096
READ_BYTES = 64 << 10
GROWTH = 1 / 8  # that Python reserves in a buffer which grows


def read_resp(data: memoryview) -> Data:
    reader = CommandReader()
    (words,) = [
        words
        for at in range(0, len(data), READ_BYTES)
        for words in reader.feed(bytes(data[at : at + READ_BYTES]))
    ]
    return words[-1]


def read_memcached(data: memoryview) -> Data:
    reader = PacketReader(REQUEST_MAGIC)
    (packet,) = [
        each
        for at in range(0, len(data), READ_BYTES)
        for each in reader.feed(bytes(data[at : at + READ_BYTES]))
    ]
    return packet.value


RESP = command(b"KV.SET", b"k", b"id", b"c=put,d=9", VALUE)
MEMCACHED = encode(Packet(Opcode.SET, b"k", bytes(8), VALUE), REQUEST_MAGIC)


@pytest.mark.parametrize(
    ("read", "data"), [(read_resp, RESP), (read_memcached, MEMCACHED)], ids=["resp", "memcached"]
)
def test_long_value_stands_in_memory_once(read: Callable[[memoryview], Data], data: bytes) -> None:
    """Guards against a command whose copies take several times the memory that is counted for it."""
    view = memoryview(data)
    tracemalloc.start()
    try:
        value = read(view)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert value == VALUE
    assert peak < len(data) * (1 + GROWTH) + 4 * READ_BYTES
