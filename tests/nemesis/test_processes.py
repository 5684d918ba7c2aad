"""Six router processes on faulty links. Faults begin at sampled states, and all samples are checked."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from saltport.nemesis.history import Sample
from saltport.nemesis.runner import Nemesis, NemesisError
from saltport.standins.links import Fault

SCENE_TIMEOUT_S = 120.0


def play(folder: Path, routers: int, scene: Callable[[Nemesis], Awaitable[None]]) -> Nemesis:
    async def run() -> Nemesis:
        nemesis = Nemesis(folder, routers, seed=4)
        async with asyncio.timeout(SCENE_TIMEOUT_S), nemesis:
            await nemesis.wait_until_agreed(60)
            nemesis.restart_clock()
            await scene(nemesis)
            nemesis.history.ended = nemesis.now()
        return nemesis

    return uvloop.run(run())


def reported(name: str, state: str, by: list[str]) -> Callable[[dict[str, Sample]], bool]:
    return lambda last: all(other in last and last[other].members[name].state == state for other in by)


def all_in(quorum_state: str, names: list[str]) -> Callable[[dict[str, Sample]], bool]:
    return lambda last: all(name in last and last[name].quorum_state == quorum_state for name in names)


def test_a_kill_a_stop_a_one_sided_cut_and_a_partition_that_heals(tmp_path: Path) -> None:
    async def scene(nemesis: Nemesis) -> None:
        with nemesis.cut(["r1"], ["r2"]):
            # Longer than the detection of a death takes; other routers still connect the two.
            await asyncio.sleep(4.0)
        assert not any(
            sample.members[name].state == "dead"
            for sample in nemesis.history.samples
            for name in ("r1", "r2")
        )
        stopped = asyncio.get_running_loop().create_task(nemesis.stop_for("r3", SCENE_TIMEOUT_S))
        await nemesis.wait_until("r3 is reported dead", reported("r3", "dead", nemesis.others(["r3"])))
        stopped.cancel()  # r3 resumes once its death was reported, however long that took
        with contextlib.suppress(asyncio.CancelledError):
            await stopped
        await nemesis.wait_until_agreed()
        await nemesis.kill("r4")
        await nemesis.wait_until("r4 is reported dead", reported("r4", "dead", nemesis.others(["r4"])))
        await nemesis.start("r4")
        await nemesis.wait_until_agreed()
        small, large = ["r5", "r6"], nemesis.others(["r5", "r6"])
        with nemesis.cut(small, large, both=True):
            await nemesis.wait_until("the two report a minority", all_in("minority", small))
            await nemesis.wait_until("the four report a majority", all_in("majority", large))
        await nemesis.wait_until_agreed()
        await nemesis.wait_until("all are in a majority", all_in("majority", nemesis.others([])))

    nemesis = play(tmp_path, 6, scene)
    assert nemesis.history.check() == []
    disabled = ("one_owner", "plans_only_rise")  # neither owners nor zones are on here
    checked = {rule: count for rule, count in nemesis.history.checked().items() if rule not in disabled}
    assert min(checked.values()) > 0, checked
    samples = nemesis.history.samples
    starts = [
        sample.members["r4"].start for sample in samples if sample.router == "r1" and "r4" in sample.members
    ]
    assert starts[-1] > starts[0]  # a restart has a new start time; a router that resumes keeps its own
    returned = [sample.members["r3"] for sample in samples if sample.router == "r1"]
    assert returned[-1].start == returned[0].start
    assert returned[-1].incarnation > returned[0].incarnation
    log = (tmp_path / "r3" / "log").read_text()
    assert "peers: paused: " in log
    assert "died r4" in log


def test_a_router_with_another_key_is_no_member_and_the_run_reports_it(tmp_path: Path) -> None:
    async def scene(nemesis: Nemesis) -> None:
        nemesis.links.add_fault(["r1"], ["r2"], Fault(loss=0.1, duplicates=0.5, delay_s=(0.0, 0.05)))
        (tmp_path / "peers.keys").write_text("ab" * 32)
        await nemesis.end("r3")
        await nemesis.start("r3")
        with pytest.raises(NemesisError, match="all agree"):
            await nemesis.wait_until_agreed(4.0)
        await nemesis.sample()

    nemesis = play(tmp_path, 3, scene)
    assert {violation.rule for violation in nemesis.history.check()} == {"agreed_at_last"}
    assert nemesis.history.last_samples()["r3"].live_members == {"r3"}
    assert nemesis.history.last_samples()["r1"].live_members == {"r1", "r2"}


def test_a_failed_sampling_is_raised_and_leaves_no_process_running(tmp_path: Path) -> None:
    class FailingSampler(Nemesis):
        async def sample(self) -> None:
            raise KeyError("standing")

    nemesis = FailingSampler(tmp_path, 2, seed=4)

    async def run() -> None:
        async with nemesis:
            await asyncio.sleep(0)

    with pytest.raises(KeyError, match="standing"):
        uvloop.run(run())
    assert not any(router.alive for router in nemesis.harness.router_processes)
