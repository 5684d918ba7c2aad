"""Hundreds of clients that flood or leave: the rules hold for the usual ones, and nothing is sent in vain."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from tests.faults.crowd import connected, play, running
from tests.faults.servers import read_record
from tests.faults.usual_clients import DEADLINE_MS
from tests.memory import MemoryWatch
from tests.sockets import RunningRouter, bulk, get

SECONDS = 4.0
SCALES = [(800, 192), (200, 32), (800, 32)]
MAX_ATTEMPT_AFTER_CLOSE_S = 0.1  # TERMS
LEAVE_AFTER_S = 0.05
READS = 100
PINGS = bulk(b"PING") * 200
UNKNOWN = bulk(b"x") * 200
NEW_NAMES = b"".join(
    bulk(b"KV.GET", b"u1", b"t####-%d" % i, b"c=get,t=x####-%d,d=900" % i) for i in range(READS)
)
MISSES = b"".join(get(f"m####-{i}", f"m####/{i}", DEADLINE_MS) for i in range(READS))


def numbered(template: bytes, number: int) -> bytes:
    return template.replace(b"####", b"%04d" % number)


async def send_and_drain(router: RunningRouter, data: bytes, pause_s: float) -> None:
    """Send the data again and again, and read what comes back."""
    async with connected(router) as (reader, writer):

        async def drain() -> None:
            while await reader.read(1 << 16):
                pass

        draining = asyncio.create_task(drain())
        try:
            while not draining.done():
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(pause_s)
        finally:
            draining.cancel()


@pytest.mark.parametrize(("clients", "memory_mb"), SCALES)
@pytest.mark.parametrize("template", [PINGS, UNKNOWN, NEW_NAMES], ids=["pings", "unknown", "new names"])
def test_no_usual_read_is_lost_beside_a_crowd_that_floods(
    tmp_path: Path, template: bytes, clients: int, memory_mb: int
) -> None:
    """Guards against floods that each are small and together keep the loop from everybody else."""

    async def hostile(router: RunningRouter, number: int) -> None:
        await send_and_drain(router, numbered(template, number), pause_s=0.2)

    with running(tmp_path, memory_mb) as router, MemoryWatch(router) as watch:
        usual = asyncio.run(play(router, hostile, clients, SECONDS))
        print(f"{watch.most_mb:.0f} MB; usual: {dict(usual.outcomes)}, median {usual.median_s:.3f} s")
    assert usual.outcomes["lost"] == 0, usual.lost
    assert watch.most_mb < memory_mb


@pytest.mark.parametrize(("clients", "memory_mb"), [(1, 192), (100, 192), (100, 32)])
@pytest.mark.parametrize("reset", [True, False], ids=["reset", "end"])
def test_no_attempt_begins_long_after_its_client_has_left_a_crowd(
    tmp_path: Path, clients: int, memory_mb: int, reset: bool
) -> None:
    """Guards against requests that are sent on for clients that have closed with much unread."""
    closed_at: dict[str, float] = {}

    async def hostile(router: RunningRouter, number: int) -> None:
        for turn in range(100):
            _, writer = await asyncio.open_connection("127.0.0.1", router.port)
            name = number * 100 + turn
            writer.write(numbered(MISSES, name) * (30 if clients == 1 else 1))
            await asyncio.sleep(LEAVE_AFTER_S)
            if reset:
                writer.transport.abort()
            else:
                writer.close()
            closed_at[f"m{name:04d}"] = time.monotonic()
            await asyncio.sleep(0.15)

    record = tmp_path / "record"
    with running(tmp_path, memory_mb, record=record) as router, MemoryWatch(router) as watch:
        usual = asyncio.run(play(router, hostile, clients, SECONDS))
        time.sleep(0.5)
    late = [
        round(at - closed_at[name.split("-")[0]], 3)
        for name, at in read_record(record)
        if at > closed_at.get(name.split("-")[0], at) + MAX_ATTEMPT_AFTER_CLOSE_S
    ]
    print(f"{watch.most_mb:.0f} MB; usual: {dict(usual.outcomes)}, late attempts: {sorted(late)[-5:]}")
    assert late == []
    assert usual.outcomes["lost"] == 0, usual.lost
    assert watch.most_mb < memory_mb
