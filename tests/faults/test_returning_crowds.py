"""Crowds whose clients come back at once, again and again, leave the router within its memory limit.

SALTPORT_CROWD_SECONDS=60 SALTPORT_CROWDS=whole pytest -n 4 tests/faults/test_returning_crowds.py
plays every kind of client, in each number and at each limit, for a minute.
"""

from __future__ import annotations

import asyncio
import itertools
import os
from contextlib import suppress
from pathlib import Path

import pytest

from tests.faults.crowd import HostileClient, play, running
from tests.faults.hostile_clients import (
    SIZES,
    VISITS,
    abandoned_write,
    any_of_them,
    long_write,
    stopped_long_write,
)
from tests.memory import WholeMemoryWatch
from tests.sockets import RunningRouter

SECONDS = float(os.environ.get("SALTPORT_CROWD_SECONDS", "8"))
WHOLE = os.environ.get("SALTPORT_CROWDS") == "whole"
COME_BACK_S = 0.01  # after an end without an answer, so that the clients do not hold up each other
SHORT_PLAYS = [
    (long_write, 5, 32), (long_write, 5, 192), (long_write, 800, 32), (stopped_long_write, 800, 32), (abandoned_write, 800, 32),
    (any_of_them, 800, 32),
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
    assert usual.outcomes["lost"] == 0
