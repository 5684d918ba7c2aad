"""Many long values asked for on one connection, and an upgrade while they are under way."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

READS = 120
LENGTH = 1 << 20
RATE = 4_000_000  # bytes a second that the client reads
LONGEST_DEADLINE_S = 1.2


async def handle(words: list[bytes]) -> bytes | None:
    """Answer each read with a value for its request."""
    return rig2.answer_of(words[2] + b"." * (LENGTH - len(words[2])))


async def read_all(record: rig2.Record, address: tuple[str, int]) -> list[str]:
    """Send all reads at once, and read their answers at a steady pace; return what was wrong."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 18)
    for number in range(READS):
        writer.write(rig2.get_command(f"key{number}", f"read{number:012d}", "c=fetch,t=public,d=1200"))
    answers: Counter[str] = Counter()
    for number in range(READS):
        try:
            async with asyncio.timeout(10):
                answer, text = await rig2.read_answer(reader)
        except (OSError, EOFError, TimeoutError) as error:
            record.write("no whole answer", id=f"read{number:012d}", error=repr(error)[:120])
            break
        if answer == "served" and not text.startswith(b"read%012d" % number):
            answer = "foreign"
        answers[answer] += 1
        if answer == "served":
            await asyncio.sleep(LENGTH / RATE)
    writer.close()
    record.write("answers", **answers)
    left = READS - answers.total()
    broken = [f"{left} of {READS} reads got no whole answer"] if left else []
    return broken + ([f"{answers['foreign']} foreign values"] if answers["foreign"] else [])


async def case(record: rig2.Record) -> Sequence[str]:
    """Play the case."""
    registry = rig2.Registry(record)
    await registry.open()
    for number in range(12):
        server = rig2.CacheServer(f"s-{number}", record, handle)
        await server.open()
        registry.put(server.name, server.address)
    platform = rig2.Platform(record)
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    address = listener.getsockname()
    temporary = platform.folder / "tmp"
    temporary.mkdir(mode=0o700)
    config = {
        "name": "n0", "listen": f"127.0.0.1:{address[1]}", "discovery": registry.address,
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": rig2.example_settings(),
    }  # fmt: skip
    path = platform.folder / "config.json"
    path.write_text(json.dumps(config))
    admins = [f"127.0.0.1:{rig2.free_port()}" for _ in range(2)]
    try:
        old = await platform.start(path, temporary, listener, LB_ADMIN_ADDR=admins[0])
        await rig2.until_yes(admins[0])
        reading = asyncio.create_task(read_all(record, address))
        await asyncio.sleep(0.5)
        if rig2.TROUBLE:
            await platform.start(path, temporary, listener, LB_ADMIN_ADDR=admins[1])
            await rig2.until_yes(admins[1], 6)
            platform.signal(old, signal.SIGTERM)
            try:
                async with asyncio.timeout(LONGEST_DEADLINE_S + 0.7):
                    await old.wait()
                record.write("old process ended", status=old.returncode)
            except TimeoutError:
                platform.signal(old, signal.SIGKILL)
        return await reading
    finally:
        listener.close()
        await platform.close()


if __name__ == "__main__":
    os.umask(0o077)
    rig2.play(case, Path(__file__).resolve().parent)
