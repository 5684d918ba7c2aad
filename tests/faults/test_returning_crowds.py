"""Crowds whose clients come back at once, again and again, leave the router within its memory limit.

SALTPORT_CROWD_SECONDS=60 SALTPORT_CROWDS=whole pytest -n 4 tests/faults/test_returning_crowds.py
plays every kind of client, in each number and at each limit, for a minute.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import cast

import pytest

from benchmarks.platform import platform
from tests.faults.crowd import CACHES, FACTS, HostileClient, play, running
from tests.faults.hostile_clients import (
    SIZES,
    VISITS,
    abandoned_write,
    any_of_them,
    long_write,
    stopped_long_write,
)
from tests.faults.servers import server_process
from tests.faults.usual_clients import DEADLINE_MS, UsualClients
from tests.memory import WholeMemoryWatch
from tests.sockets import RunningRouter, entry, eventually, is_ready, start_router

SECONDS = float(os.environ.get("SALTPORT_CROWD_SECONDS", "8"))
WHOLE = os.environ.get("SALTPORT_CROWDS") == "whole"
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7  # PROTOCOL: the earliest SIGKILL after SIGTERM
RESTARTS = max(int(SECONDS / 6), 2)
LOG_END_CHARACTERS = 2_000  # of a process that is replaced, printed if the test fails
COME_BACK_S = 0.01  # after an end without an answer, so that the clients do not hold up each other
SHORT_PLAYS = [
    (long_write, 5, 32), (long_write, 5, 192), (long_write, 800, 32), (stopped_long_write, 800, 32),
    (abandoned_write, 800, 32), (any_of_them, 800, 32),
]  # fmt: skip
WHOLE_PLAYS = [(visit, clients, mb) for visit in VISITS for clients in (5, 800) for mb in (32, 64, 192)]
WHOLE_PLAYS += [(any_of_them, clients, mb) for clients in (5, 800) for mb in (32, 64, 192)]


def returning(visit: HostileClient) -> HostileClient:
    """Return a client that pays one visit after another; each has a number of its own."""
    numbers = itertools.count()

    async def client(router: RunningRouter, _: int) -> None:
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                await visit(router, next(numbers))
            await asyncio.sleep(COME_BACK_S)

    return client


async def play_beside(
    replace_process: Callable[[], Awaitable[None]], router: RunningRouter, clients: int
) -> UsualClients:
    """Play a crowd of all kinds of clients, and replace the router's process again and again meanwhile."""
    is_over = asyncio.Event()

    async def replace_until_over() -> None:
        while True:
            with suppress(TimeoutError):
                await asyncio.wait_for(is_over.wait(), SECONDS / RESTARTS)
                return
            await replace_process()

    replacing = asyncio.create_task(replace_until_over())
    try:
        return await play(router, returning(any_of_them), clients, SECONDS)
    finally:
        # A cancellation could leave the router without a process, between a kill and the next start.
        is_over.set()
        await replacing


@pytest.mark.parametrize(("visit", "clients", "memory_mb"), WHOLE_PLAYS if WHOLE else SHORT_PLAYS)
def test_whole_memory_stays_within_the_limit_while_a_crowd_comes_back(
    tmp_path: Path, visit: HostileClient, clients: int, memory_mb: int
) -> None:
    """Guards against a router killed for memory by what each of many connections leaves behind."""
    with (
        running(tmp_path, memory_mb, SIZES) as router,
        WholeMemoryWatch(tmp_path, lambda: [router.process.pid]) as watch,
    ):
        usual = asyncio.run(play(router, returning(visit), clients, SECONDS))
        print(
            f"{visit.__name__} {clients} {memory_mb}: {watch.most_mb:.1f} MB, {watch.last_mb:.1f} at the end;"
            f" usual: {dict(usual.outcomes)}, median {usual.median_s:.3f} s"
        )
        assert router.process.poll() is None
    assert watch.most_mb < memory_mb
    assert usual.outcomes["lost"] == 0, usual.lost


@pytest.mark.parametrize("memory_mb", [32, 64, 192] if WHOLE else [32])
def test_whole_memory_stays_within_the_limit_while_a_crowd_meets_a_restarted_process(
    tmp_path: Path, memory_mb: int
) -> None:
    """Guards against a process that is killed again right after its start, by all clients at once."""

    async def kill_and_restart() -> None:
        router.process.kill()
        await asyncio.to_thread(router.process.communicate)
        router.process = start_router(tmp_path, router.read_configuration())

    with (
        running(tmp_path, memory_mb, SIZES) as router,
        WholeMemoryWatch(tmp_path, lambda: [router.process.pid]) as watch,
    ):
        usual = asyncio.run(play_beside(kill_and_restart, router, 800))
        print(f"restarted, {memory_mb}: {watch.most_mb:.1f} MB; usual: {dict(usual.outcomes)}")
        eventually(lambda: is_ready(router.port), "the last process is ready")
    assert watch.most_mb < memory_mb


@pytest.mark.parametrize("memory_mb", [64, 192] if WHOLE else [64])
def test_whole_memory_stays_within_the_limit_over_an_upgrade_beside_a_crowd(
    tmp_path: Path, memory_mb: int
) -> None:
    """Guards against two processes that each take what is left of one limit."""

    async def upgrade() -> None:
        old, new = cluster.processes[-1], cluster.start()
        await asyncio.to_thread(new.wait_until_healthy)
        print(f"{time.time():.3f}: {old.process.pid} is terminated, {new.process.pid} follows")
        old.terminate()
        await asyncio.sleep(KILL_AFTER_S)
        old.process.kill()
        _, log = await asyncio.to_thread(old.process.communicate)
        print(f"{time.time():.3f}: {old.process.pid} is killed; end of its log:\n{log[-LOG_END_CHARACTERS:]}")

    with (
        server_process(CACHES, {"u": 100, **SIZES}) as (caches, origin),
        platform(tmp_path, caches, facts=FACTS, sockets=1024) as cluster,
    ):
        cluster.discovery.instances.append(entry(origin, "origin", "origin"))
        cluster.configuration["limits"]["memory_mb"] = memory_mb
        cluster.start().wait_until_healthy()
        with WholeMemoryWatch(
            tmp_path, lambda: [process.process.pid for process in cluster.processes]
        ) as watch:
            usual = asyncio.run(play_beside(upgrade, cast(RunningRouter, cluster), 400))
        print(f"upgraded, {memory_mb}: {watch.most_mb:.1f} MB; usual: {dict(usual.outcomes)}")
        print("of each process, and files, MB:", [round(part, 1) for part in watch.most_parts_mb])
    assert len(cluster.processes) > 1
    assert watch.most_mb < memory_mb
    assert usual.outcomes["lost"] == 0, usual.lost
