"""Hundreds of slow or stopped clients leave the router within its memory limit."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.faults.crowd import HostileClient, many_reads, play, running
from tests.faults.hostile_clients import (
    SIZES,
    heads_of_many_fields,
    slow_long_reads,
    slow_short_reads,
    slow_write,
    stopped_write,
    whole_writes,
)
from tests.memory import MemoryWatch

SECONDS = 4.0
SCALES = [(800, 192), (200, 32), (800, 32)]


@pytest.mark.parametrize(("clients", "memory_mb"), SCALES)
@pytest.mark.parametrize(
    "hostile",
    [
        whole_writes, slow_write, stopped_write, many_reads, slow_short_reads, slow_long_reads,
        heads_of_many_fields,
    ],
)  # fmt: skip
def test_memory_limit_holds_whatever_hundreds_of_clients_do(
    tmp_path: Path, hostile: HostileClient, clients: int, memory_mb: int
) -> None:
    """Guards against a router killed for memory, with what hundreds of connections each make it keep."""
    with running(tmp_path, memory_mb, SIZES) as router, MemoryWatch(router) as watch:
        usual = asyncio.run(play(router, hostile, clients, SECONDS))
        print(f"{watch.most_mb:.0f} MB; usual: {dict(usual.outcomes)}, median {usual.median_s:.3f} s")
        assert router.process.poll() is None
    assert watch.most_mb < memory_mb
    assert usual.outcomes["lost"] == 0, usual.lost
