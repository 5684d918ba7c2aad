"""A long value breaks off after its client's time; what was read behind it gets no answer."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

LENGTH = 4 << 20
RATE = 1_000_000  # bytes a second that the cache servers send, in pieces
CLIENTS = 4
BEHIND_S, RESET_S = 1.8, 2.4  # after the read of the long value was sent


async def case(record: rig2.Record) -> Sequence[str]:
    """Play the case."""
    runs: list[str] = []

    async def handle(words: list[bytes]) -> bytes | None:
        name = words[2]
        return rig2.answer_of(name + b"." * (LENGTH - len(name)) if words[1].startswith(b"long") else name)

    async def apply(method: str, key: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes] | None:
        runs.append(headers["request-id"])
        record.write("run", id=headers["request-id"], method=method)
        return 200, f"{headers['request-id']} receipt".encode()

    registry = rig2.Registry(record)
    await registry.open()
    servers = []
    for number in range(4):
        server = rig2.CacheServer(f"s-{number}", record, handle, RATE)
        await server.open()
        registry.put(server.name, server.address)
        servers.append(server)
    origin = rig2.Origin(record, apply)
    await origin.open()
    registry.put("origin", origin.address, "origin")
    platform = rig2.Platform(record)
    temporary = platform.folder / "tmp"
    temporary.mkdir(mode=0o700)
    port, admin = rig2.free_port(), f"127.0.0.1:{rig2.free_port()}"
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": registry.address,
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": rig2.example_settings(),
    }  # fmt: skip
    path = platform.folder / "config.json"
    path.write_text(json.dumps(config))

    async def client(number: int) -> list[str]:
        """Read a long value; send a write and a short read behind it while it comes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 18)
        names = [f"{what}{number:012d}" for what in ("long", "yank", "read")]
        writer.write(rig2.get_command(f"long{number}", names[0], "c=fetch,t=public,d=1200"))
        answering = asyncio.create_task(answers(reader, names))
        await asyncio.sleep(BEHIND_S)
        writer.write(rig2.set_command(f"key{number}", names[1], f"c=yank,t=public,d=1000,k=k{number}", b""))
        writer.write(rig2.get_command(f"short{number}", names[2], "c=fetch,t=public,d=1200"))
        record.write("sent behind", ids=names[1:])
        got = await answering
        writer.close()
        lost = [name for name in names[1:] if name not in got]
        return [f"{name}: no answer" + ("; it ran" if name in runs else "") for name in lost]

    async def answers(reader: asyncio.StreamReader, names: list[str]) -> set[str]:
        """Return which requests got a whole answer."""
        got = set()
        for name in names:
            try:
                async with asyncio.timeout(8):
                    answer, text = await rig2.read_answer(reader)
            except (OSError, EOFError, TimeoutError) as error:
                record.write("no whole answer", id=name, error=repr(error)[:100])
                continue
            record.write("answer", id=name, answer=answer, bytes=len(text))
            got.add(name)
        return got

    try:
        await platform.start(path, temporary, LB_ADMIN_ADDR=admin)
        await rig2.until_yes(admin)
        clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(RESET_S)
        if rig2.TROUBLE:
            for server in servers:
                server.reset()
        return [text for texts in await asyncio.gather(*clients) for text in texts]
    finally:
        await platform.close()


if __name__ == "__main__":
    os.umask(0o077)
    rig2.play(case, Path(__file__).resolve().parent)
