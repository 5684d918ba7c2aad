"""Writes that are turned away for want of memory while they are received, and an upgrade in that moment."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Sequence
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

WRITERS = 16
SIZE = 1536 << 10
SECONDS = 3.0  # that a client takes to send its value, in small pieces
PIECE_S = 0.02
DEADLINE_S = 1.2  # also the longest of the deployment


async def handle(words: list[bytes]) -> bytes | None:
    """Answer each read with a value for its request."""
    return rig2.answer_of(b"value for " + words[2])


async def apply(method: str, key: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes] | None:
    """Carry a write out, or return a value."""
    await asyncio.sleep(0.02)
    return 200, f"{headers['request-id']} {method}".encode()


async def write(record: rig2.Record, address: tuple[str, int], number: int) -> str:
    """Send one write slowly, and return what was wrong with its answer, or nothing."""
    name = f"write{number:011d}"
    reader, writer = await asyncio.open_connection(*address)
    command = rig2.set_command(f"key{number}", name, f"c=publish,t=public,d=1200,k=k{number}", bytes(SIZE))
    answering = asyncio.create_task(rig2.read_answer(reader))
    pieces = int(SECONDS / PIECE_S)
    size = -(-len(command) // pieces)
    started = time.monotonic()
    with contextlib.suppress(OSError):
        for at in range(0, len(command), size):
            writer.write(command[at : at + size])
            await writer.drain()
            if answering.done():
                break
            await asyncio.sleep(max(started + at / size * PIECE_S - time.monotonic(), 0))
    whole = at + size >= len(command) and not writer.transport.get_write_buffer_size()
    sent = time.monotonic()
    try:
        async with asyncio.timeout(DEADLINE_S + 1):
            answer, text = await answering
    except (OSError, EOFError, TimeoutError) as error:
        answer, text = "none", repr(error).encode()
    waited = time.monotonic() - sent
    record.write("write", id=name, sent_whole=whole, sent_s=round(sent - started, 3), answer=answer,
                 text=str(text[:60]), waited_s=round(waited, 3))  # fmt: skip
    writer.close()
    if answer == "none" and whole:
        return f"{name}: its last byte was written after {sent - started:.2f} s, no answer: {text.decode()}"
    return ""


async def case(record: rig2.Record) -> Sequence[str]:
    """Play the case."""
    registry = rig2.Registry(record)
    await registry.open()
    for number in range(4):
        server = rig2.CacheServer(f"s-{number}", record, handle)
        await server.open()
        registry.put(server.name, server.address)
    origin = rig2.Origin(record, apply)
    await origin.open()
    registry.put("origin", origin.address, "origin")
    platform = rig2.Platform(record)
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    address = listener.getsockname()
    temporary = platform.folder / "tmp"
    temporary.mkdir(mode=0o700)
    config = {
        "name": "n0", "listen": f"127.0.0.1:{address[1]}", "discovery": registry.address,
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 1024},
        "settings": rig2.example_settings(),
    }  # fmt: skip
    path = platform.folder / "config.json"
    path.write_text(json.dumps(config))
    admins = [f"127.0.0.1:{rig2.free_port()}" for _ in range(2)]
    try:
        old = await platform.start(path, temporary, listener, LB_ADMIN_ADDR=admins[0])
        await rig2.until_yes(admins[0])
        writers = [asyncio.create_task(write(record, address, number)) for number in range(WRITERS)]
        await asyncio.sleep(1.7)
        if rig2.TROUBLE:
            await platform.start(path, temporary, listener, LB_ADMIN_ADDR=admins[1])
            await rig2.until_yes(admins[1], 6)
            platform.signal(old, signal.SIGTERM)
            try:
                async with asyncio.timeout(DEADLINE_S + 0.7):
                    await old.wait()
                record.write("old process ended", status=old.returncode)
            except TimeoutError:
                platform.signal(old, signal.SIGKILL)
        return [text for text in await asyncio.gather(*writers) if text]
    finally:
        listener.close()
        await platform.close()


if __name__ == "__main__":
    os.umask(0o077)
    rig2.play(case, Path(__file__).resolve().parent)
