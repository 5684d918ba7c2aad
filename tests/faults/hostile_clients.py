"""What hostile clients do on one connection: write, stop, send slowly, ask for much, read slowly."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import suppress

from tests.faults.crowd import connect_slow_reader, connected
from tests.faults.usual_clients import DEADLINE_MS
from tests.sockets import RunningRouter, bulk, get, put

LONG = 4 << 20
SIZES = {"h": 64 << 10, "l": LONG}
"""Lengths of the values that the cache servers have, by the first letter of the key."""

WRITTEN = b"v" * 60_000


async def whole_writes(router: RunningRouter, number: int) -> None:
    """Send six writes of 60 KB at once, and again once all are answered."""
    async with connected(router) as (reader, writer):
        for turn in itertools.count():
            for i in range(6):
                writer.write(put(f"w{number}-{turn}-{i}", WRITTEN, d=DEADLINE_MS))
            for _ in range(6):
                if not await reader.readline():
                    return


# The parts of a long write that are sent, built once: the event loop of the clients must not be held up.
LONG_WRITE = memoryview(put("w########", b"v" * LONG, d=DEADLINE_MS))
HEAD_BYTES = 200
PART_BYTES = 64 << 10  # written at once, so that the crowd does not copy whole values


def long_write_head(number: int) -> bytes:
    return bytes(LONG_WRITE[:HEAD_BYTES]).replace(b"########", b"%08d" % number)


async def slow_write(router: RunningRouter, number: int) -> None:
    """Send 200 KB of a long write, and then 16 KB each half second."""
    async with connected(router) as (_, writer):
        at = 200_000
        writer.write(long_write_head(number))
        writer.write(LONG_WRITE[HEAD_BYTES:at])
        while at < len(LONG_WRITE):
            await asyncio.sleep(0.5)
            writer.write(LONG_WRITE[at : at + 16_000])
            at += 16_000


async def stopped_write(router: RunningRouter, number: int) -> None:
    """Send 300 KB of a long write and no more, and again on a new connection once that is closed."""
    while True:
        async with connected(router) as (reader, writer):
            writer.write(long_write_head(number))
            writer.write(LONG_WRITE[HEAD_BYTES:300_000])
            await reader.read()


async def slow_reads(router: RunningRouter, number: int, key: str, reads: int) -> None:
    """Send reads at once, and read their answers at 16 KB a second."""
    sock, loop = await connect_slow_reader(router)
    try:
        await loop.sock_sendall(
            sock, b"".join(get(f"r{number}-{i}", f"{key}{number}/{i}", DEADLINE_MS) for i in range(reads))
        )
        while await loop.sock_recv(sock, 4096):
            await asyncio.sleep(0.25)
    finally:
        sock.close()


async def slow_short_reads(router: RunningRouter, number: int) -> None:
    await slow_reads(router, number, "h", 40)


async def slow_long_reads(router: RunningRouter, number: int) -> None:
    await slow_reads(router, number, "l", 3)


MANY_FIELDS = ",".join(f"f{i}=1" for i in range(1800))
LIST_OF_MANY_FIELDS = f"c=get,t=acme,d={DEADLINE_MS},{MANY_FIELDS}".encode()
HEAD_OF_MANY_FIELDS = bulk(b"KV.GET", b"u1", b"i########", LIST_OF_MANY_FIELDS)


async def heads_of_many_fields(router: RunningRouter, number: int) -> None:
    """Send a request whose list has thousands of fields, over and over, the last time without its end."""
    request = HEAD_OF_MANY_FIELDS.replace(b"########", b"%08d" % number)
    async with connected(router) as (reader, writer):
        writer.write(request * 20 + request[:-10])
        while await reader.read(1 << 16):
            pass


# Visits: each ends after a few seconds at the latest, and its client may come back.

WRITE_OF_60_KB = put("p########", WRITTEN, d=DEADLINE_MS)
WRITE_OF_4_KB = put("q########", b"v" * 4000, d=DEADLINE_MS)
LEAVE_AFTER_S = 1.0
PATIENCE_S = 5.0
BYTE_PAUSE_S = 0.05


async def long_write(router: RunningRouter, number: int) -> None:
    """Send a write of 4 MiB, and read its answer."""
    async with connected(router) as (reader, writer):
        writer.write(long_write_head(number))
        for at in range(HEAD_BYTES, len(LONG_WRITE), PART_BYTES):
            writer.write(LONG_WRITE[at : at + PART_BYTES])
            await writer.drain()
        await reader.readline()


async def stopped_long_write(router: RunningRouter, number: int) -> None:
    """Send 300 KB of a write of 4 MiB, and wait for the end of the connection."""
    async with connected(router) as (reader, writer):
        writer.write(long_write_head(number))
        writer.write(LONG_WRITE[HEAD_BYTES:300_000])
        await reader.read()


async def write_without_its_end(router: RunningRouter, number: int) -> None:
    """Send a write of 60 KB without its last bytes, and wait for the end of the connection."""
    async with connected(router) as (reader, writer):
        writer.write(WRITE_OF_60_KB.replace(b"########", b"%08d" % number)[:-10])
        await reader.read()


async def abandoned_write(router: RunningRouter, number: int) -> None:
    """Send half of a write of 4 KB, and leave."""
    async with connected(router) as (_, writer):
        writer.write(WRITE_OF_4_KB.replace(b"########", b"%08d" % number)[:2000])
        await asyncio.sleep(LEAVE_AFTER_S)


async def read_byte_by_byte(router: RunningRouter, number: int) -> None:
    """Send a short read slowly, until the router closes the connection or has answered."""
    async with connected(router) as (reader, writer):
        answer = asyncio.ensure_future(reader.readline())
        for byte in get(f"b{number}", f"u{number % 50}", DEADLINE_MS):
            writer.write(bytes([byte]))
            await asyncio.wait([answer], timeout=BYTE_PAUSE_S)
            if answer.done():
                break
        await answer


async def short_answers_left_unread(router: RunningRouter, number: int) -> None:
    """Read answers of 64 KB slowly, and leave."""
    with suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE_S):
            await slow_short_reads(router, number)


async def long_answers_left_unread(router: RunningRouter, number: int) -> None:
    """Read answers of 4 MiB slowly, and leave."""
    with suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE_S):
            await slow_long_reads(router, number)


async def fields_left_unread(router: RunningRouter, number: int) -> None:
    """Send requests with thousands of fields, the last one without its end, and leave."""
    with suppress(TimeoutError):
        async with asyncio.timeout(PATIENCE_S):
            await heads_of_many_fields(router, number)


VISITS = (
    long_write, stopped_long_write, write_without_its_end, abandoned_write, read_byte_by_byte,
    short_answers_left_unread, long_answers_left_unread, fields_left_unread,
)  # fmt: skip


async def any_of_them(router: RunningRouter, number: int) -> None:
    """Be another kind of client at each visit."""
    await VISITS[number % len(VISITS)](router, number)
