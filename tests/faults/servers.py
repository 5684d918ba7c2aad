"""Cache servers and an origin in a process of their own, so that many clients do not hold them up.

`python -m tests.faults.servers NUMBER SIZES` prints the ports of so many cache servers and of one origin, and
ends with its standard input. SIZES: JSON, by the first letter of the keys that each cache has.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress

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
def server_process(caches: int, sizes: dict[str, int]) -> Iterator[tuple[dict[str, Peer], Peer]]:
    """Start the process; yield the cache servers by name, and the origin."""
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.faults.servers", str(caches), json.dumps(sizes)],
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


async def serve_cache(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sizes: dict[str, int]
) -> None:
    """Answer reads of keys with known first letters with their id, padded to their size; others miss."""
    with suppress(OSError, RuntimeError, asyncio.IncompleteReadError):
        while head := await reader.readline():
            words = []
            for _ in range(int(head[1:])):
                size = int((await reader.readline())[1:])
                words.append((await reader.readexactly(size + 2))[:-2])
            length = sizes.get(words[1][:1].decode())
            writer.write(MISS if length is None else hit(words[2].ljust(length, b".")))
            await writer.drain()
    writer.close()


async def serve_origin(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request after ORIGIN_S with a short value."""
    with suppress(OSError, RuntimeError, asyncio.IncompleteReadError):  # uvloop's for a closed connection
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = [line for line in head.splitlines() if line.startswith(b"Content-Length")]
            await reader.readexactly(int(length[0].split(b":")[1]) if length else 0)
            await asyncio.sleep(ORIGIN_S)
            writer.write(http_answer(200, b"value"))
    writer.close()


async def main(caches: int, sizes: dict[str, int]) -> None:
    """Serve until standard input ends."""

    async def cache(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_cache(reader, writer, sizes)

    servers = [await asyncio.start_server(cache, "127.0.0.1", limit=1 << 20) for _ in range(caches)]
    servers.append(await asyncio.start_server(serve_origin, "127.0.0.1", limit=8 << 20))
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), json.loads(sys.argv[2])))
