"""A class is dropped and comes back with another effect; a request of the old one waits for its turn."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

SLOW_S = 1.5  # that the origin takes for the first write


def settings_with(effect: str | None) -> dict[str, Any]:
    """Return the settings with a class `promote` of this effect, or without it."""
    settings = rig2.example_settings()
    if effect is not None:
        promote = {"name": "promote", "aimNs": 1000 * rig2.MS, "giveUpNs": 3 * rig2.S, "semantics": effect}
        settings["classes"].append(promote)
    return settings


async def case(record: rig2.Record) -> Sequence[str]:
    """Play the case."""
    runs: Counter[str] = Counter()

    async def handle(words: list[bytes]) -> bytes | None:
        return rig2.answer_of(b"value for " + words[2])

    async def apply(method: str, key: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes] | None:
        name = headers["request-id"]
        if name.startswith("first"):
            await asyncio.sleep(SLOW_S)
        runs[name] += 1
        record.write("run", id=name, method=method, times=runs[name])
        # The second write runs, and then the origin fails: an answer that says that it may have run.
        if name.startswith("second") and runs[name] == 1:
            return 500, b"failed"
        return 200, f"{name} receipt".encode()

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
    temporary = platform.folder / "tmp"
    temporary.mkdir(mode=0o700)
    port = rig2.free_port()
    config = {
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": registry.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    }  # fmt: skip
    path, admin = platform.folder / "config.json", f"127.0.0.1:{rig2.free_port()}"

    def replace_config(effect: str | None) -> None:
        new = path.with_suffix(".new")
        new.write_text(json.dumps({**config, "settings": settings_with(effect)}))
        new.replace(path)
        record.write("configuration", promote=effect or "dropped")

    replace_config("fragile")
    try:
        router = await platform.start(path, temporary, LB_ADMIN_ADDR=admin)
        await rig2.until_yes(admin)
        await asyncio.sleep(1.5)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for name in ("first00000000001", "second0000000001"):
            writer.write(rig2.set_command("package", name, "c=promote,t=public,d=3000", name.encode()))
            record.write("sent", id=name)
        if rig2.TROUBLE:
            for effect in (None, "retryable"):
                await asyncio.sleep(0.4)
                replace_config(effect)
                platform.signal(router, signal.SIGHUP)
        async with asyncio.timeout(6):
            for name in ("first00000000001", "second0000000001"):
                answer, text = await rig2.read_answer(reader)
                record.write("answer", id=name, answer=answer, text=str(text[:60]))
        record.write("figures", text=str((await rig2.call(admin, "GET", "/stats"))[1][:600]))
        return [f"{name}: not safe to repeat, run {times} times" for name, times in runs.items() if times > 1]
    finally:
        await platform.close()


if __name__ == "__main__":
    os.umask(0o077)
    rig2.play(case, Path(__file__).resolve().parent)
