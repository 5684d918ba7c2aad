"""Seven router processes, five of them voters: one owner at a time through pauses, deaths and partitions."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop

from saltport.nemesis.runner import Nemesis, NemesisError
from saltport.owners.fence import Fence

SCENE_TIMEOUT_S = 150.0
LEASE_S = 3.0


class Worker:
    """An external program that acts in the epochs that routers report; its effects may arrive later."""

    def __init__(self, nemesis: Nemesis) -> None:
        self._nemesis, self._rng = nemesis, random.Random(3)
        self.fence = Fence()
        self.arrived: list[tuple[str, int]] = []
        """All effects, in the order in which they arrived."""
        self.applied: list[tuple[str, int]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        while True:
            for report in list(self._nemesis.owner_reports.values()):
                for piece, epoch in report.get("holds", {}).items():
                    delay = self._rng.choice([0.0, 0.1, LEASE_S, 2 * LEASE_S])
                    task = asyncio.get_running_loop().create_task(self._effect(piece, epoch, delay))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(0.3)

    async def _effect(self, piece: str, epoch: int, delay: float) -> None:
        await asyncio.sleep(delay)
        self.arrived.append((piece, epoch))
        if self.fence.admit(piece, epoch):
            self.applied.append((piece, epoch))


def count_stale(effects: list[tuple[str, int]]) -> int:
    """Count the effects that arrived after an effect of a later epoch."""
    highest: dict[str, int] = {}
    stale = 0
    for piece, epoch in effects:
        stale += epoch < highest.get(piece, 0)
        highest[piece] = max(epoch, highest.get(piece, 0))
    return stale


def owners(nemesis: Nemesis) -> dict[str, tuple[str, int]]:
    """Return the router that last reported each piece under its highest epoch, with that epoch."""
    found: dict[str, tuple[str, int]] = {}
    for claim in nemesis.history.ownership:
        if claim.epoch >= found.get(claim.piece, ("", 0))[1]:
            found[claim.piece] = (claim.router, claim.epoch)
    return found


async def wait_until(description: str, reached: Callable[[], bool], seconds: float = 60.0) -> None:
    try:
        async with asyncio.timeout(seconds):
            while not reached():
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise NemesisError(f"{description}: not within {seconds:g} s") from None


def play(folder: Path, scene: Callable[[Nemesis, Worker], Awaitable[None]]) -> tuple[Nemesis, Worker]:
    async def run() -> tuple[Nemesis, Worker]:
        nemesis = Nemesis(folder, 7, seed=4, voters=5)
        async with asyncio.timeout(SCENE_TIMEOUT_S), nemesis:
            await nemesis.wait_until_agreed(60)
            nemesis.restart_clock()
            await wait_until("all pieces are owned", lambda: len(owners(nemesis)) == 2)
            worker = Worker(nemesis)
            task = asyncio.get_running_loop().create_task(worker.run())
            try:
                await scene(nemesis, worker)
                await nemesis.wait_until_agreed()
            finally:
                task.cancel()
            nemesis.history.ended = nemesis.now()
        return nemesis, worker

    return uvloop.run(run())


def leader(nemesis: Nemesis) -> str:
    """Return the router of the highest term that last reported a leader lease, or an empty string."""
    leaders = [
        (report["voter"]["term"], name)
        for name, report in nemesis.owner_reports.items()
        if report.get("voter", {}).get("lease_left_ms")
    ]
    return max(leaders, default=(0, ""))[1]


def test_one_owner_through_a_stop_a_death_and_a_partition(tmp_path: Path) -> None:
    async def scene(nemesis: Nemesis, worker: Worker) -> None:
        # An owner is stopped for longer than its lease and must find, once resumed, that it owns nothing.
        name, epoch = owners(nemesis)["rollout"]
        stopped = asyncio.get_running_loop().create_task(nemesis.stop_for(name, 3 * LEASE_S))
        await wait_until("another router has taken over", lambda: owners(nemesis)["rollout"][1] > epoch)
        await stopped
        await nemesis.wait_until_agreed()
        # The leader is killed.
        await wait_until("a leader is elected", lambda: leader(nemesis) != "")
        first = leader(nemesis)
        await nemesis.kill(first)
        nemesis.owner_reports.pop(first, None)
        await wait_until("another router leads", lambda: leader(nemesis) not in ("", first))
        await nemesis.start(first)
        await nemesis.wait_until_agreed()
        # The leader and one other are cut off: the five go on working, and the two own nothing beyond
        # their leases.
        old = leader(nemesis)
        small = [old, next(name for name in nemesis.others([old]))]
        before = {piece: earlier for piece, (_, earlier) in owners(nemesis).items()}
        with nemesis.cut(small, nemesis.others(small), both=True):
            await wait_until(
                "the majority owns all pieces",
                lambda: all(owner not in small for owner, _ in owners(nemesis).values()),
            )
        assert all(epoch >= before[piece] for piece, (_, epoch) in owners(nemesis).items())

    nemesis, worker = play(tmp_path, scene)
    assert nemesis.history.check() == []
    assert nemesis.history.checked()["one_owner"] > 50
    assert count_stale(worker.applied) == 0
    # Effects of older epochs did arrive, so the check above could have failed without the fence.
    assert count_stale(worker.arrived) > 0
    assert worker.fence.refused > 0
