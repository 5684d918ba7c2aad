"""Cache servers and an origin in a process of their own, so that many clients do not hold them up.

`python -m tests.faults.servers NUMBER SIZES RECORD` prints the ports of so many cache servers and of one
origin, and ends with its standard input. SIZES: JSON, by the first letter of the keys that each cache has.
RECORD: a file for the id and the time (monotonic, in seconds) of each request that a server has begun.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import TextIO

import uvloop

from tests.sockets import MISS, ROOT, Peer, hit, http_answer

ORIGIN_S = 0.03


class RemotePeer(Peer):
    """A server in the other process."""

    def __init__(self, port: int) -> None:
        self.port = port

    def close(self) -> None:
        """Do nothing: all servers end with their process."""


@contextmanager
def server_process(
    caches: int, sizes: dict[str, int], record: Path | None = None
) -> Iterator[tuple[dict[str, Peer], Peer]]:
    """Start the process; yield the cache servers by name, and the origin. It writes `record` as it ends."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "tests.faults.servers",
            str(caches),
            json.dumps(sizes),
            str(record or os.devnull),
        ],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        *ports, origin = map(int, process.stdout.readline().split())
        yield {f"s{number}": RemotePeer(port) for number, port in enumerate(ports)}, RemotePeer(origin)
    finally:
        process.stdin.close()
        process.wait()
        process.stdout.close()


def read_record(record: Path) -> list[tuple[str, float]]:
    """Return the ids and times of the requests that the servers have begun."""
    lines = (line.split() for line in record.read_text().splitlines())
    return [(name, float(at)) for name, at in lines]


async def serve_cache(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sizes: dict[str, int], record: TextIO
) -> None:
    """Answer reads of keys with known first letters with their id, padded to their size; others miss."""
    with suppress(OSError, RuntimeError, asyncio.IncompleteReadError):
        while head := await reader.readline():
            words = []
            for _ in range(int(head[1:])):
                size = int((await reader.readline())[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            record.write(f"{words[2].decode()} {time.monotonic()}\n")
            length = sizes.get(words[1][:1].decode())
            writer.write(MISS if length is None else hit(words[2].ljust(length, b".")))
            await writer.drain()
    writer.close()


async def serve_origin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, record: TextIO) -> None:
    """Answer each request after ORIGIN_S with a short value."""
    with suppress(OSError, RuntimeError, asyncio.IncompleteReadError):  # uvloop's for a closed connection
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(line.split(b": ", 1) for line in head.splitlines()[1:] if line)
            await reader.readexactly(int(fields.get(b"Content-Length", b"0")))
            record.write(f"{fields[b'Request-Id'].decode()} {time.monotonic()}\n")
            await asyncio.sleep(ORIGIN_S)
            writer.write(http_answer(200, b"value"))
    writer.close()


async def main(caches: int, sizes: dict[str, int], record: TextIO) -> None:
    """Serve until standard input ends."""

    async def cache(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_cache(reader, writer, sizes, record)

    async def origin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_origin(reader, writer, record)

    servers = [await asyncio.start_server(cache, "127.0.0.1", limit=1 << 20) for _ in range(caches)]
    servers.append(await asyncio.start_server(origin, "127.0.0.1", limit=8 << 20))
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    with open(sys.argv[3], "w") as record_file:
        uvloop.run(main(int(sys.argv[1]), json.loads(sys.argv[2]), record_file))
