"""Nine router processes, 30 servers, three zones: one plan despite a lost zone, a stop, a cut and a death."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop
from click.testing import CliRunner

from saltport.audit import Limits, Verdict
from saltport.cli import cli
from saltport.failover.settings import TASK_NAME
from saltport.harness import run_load
from saltport.load.plan import LoadPlan, Step
from saltport.nemesis.history import History, PlanSample
from saltport.nemesis.runner import Nemesis, NemesisError
from tests.nemesis.test_owner_processes import wait_until

SCENE_TIMEOUT_S = 200.0
RATE = 90.0
KEYS = 3_000  # many keys cause misses, and only misses show that an origin answers again


def play(folder: Path, scene: Callable[[Nemesis], Awaitable[None]]) -> tuple[Nemesis, Verdict]:
    async def run() -> tuple[Nemesis, Verdict]:
        nemesis = Nemesis(folder, 9, seed=7, nodes=30, voters=3, failover=True)
        async with asyncio.timeout(SCENE_TIMEOUT_S):
            async with nemesis:
                await nemesis.wait_until_agreed(60)
                nemesis.restart_clock()
                await wait_until(
                    "all follow one plan", lambda: len(plans(nemesis)) == 1 and following(nemesis) == 9
                )
                stop = asyncio.Event()
                plan = LoadPlan((Step(0.0, RATE),), 3_600, seed=7, keys=KEYS)
                load = asyncio.get_running_loop().create_task(run_load(nemesis.harness, plan, stop=stop))
                try:
                    await scene(nemesis)
                    await nemesis.wait_until_agreed()
                    await wait_until("all follow one plan", lambda: len(plans(nemesis)) == 1)
                except (NemesisError, AssertionError) as error:
                    error.add_note(describe_plans(nemesis))
                    raise
                finally:
                    stop.set()
                    _, ledger = await load
                nemesis.history.ended = nemesis.now()
            slack = Limits(1_000, 1_000, 1_000, 1_000)
            return nemesis, nemesis.harness.audit([ledger], slack)

    return uvloop.run(run())


def plans(nemesis: Nemesis) -> set[tuple[int, int]]:
    """Return the plans that the routers last reported to follow."""
    last = {plan.router: (plan.epoch, plan.number) for plan in nemesis.history.plans}
    return set(last.values())


def describe_plans(nemesis: Nemesis) -> str:
    """Return lines with each change of plan, the owners of the plans, and the last report of each router."""
    lines, followed = [], dict[str, tuple[int, int]]()
    for plan in nemesis.history.plans:
        version = (plan.epoch, plan.number)
        if followed.get(plan.router) != version:
            lines.append(f"{plan.at:6.1f} s {plan.router} follows {version} of {plan.author}: {plan.content}")
            followed[plan.router] = version
    owners = dict.fromkeys(
        (claim.epoch, claim.router) for claim in nemesis.history.ownership if claim.piece == TASK_NAME
    )
    lines.append(f"epochs and their owners: {list(owners)}")
    for name, report in sorted(nemesis.zone_reports.items()):
        lines.append(f"{name}: {report['state']}, shares {report['shares']}, deciding {report['deciding']}")
    return "\n".join(lines)


def following(nemesis: Nemesis) -> int:
    """Return the number of routers that follow a plan."""
    return sum(report["state"] == "by plan" for report in nemesis.zone_reports.values())


def owner(nemesis: Nemesis) -> str:
    """Return the router that made the latest plan."""
    latest = max(nemesis.history.plans, key=lambda plan: (plan.epoch, plan.number))
    return latest.author


def share(nemesis: Nemesis, source: str, target: str) -> set[float]:
    """Return the shares of the reads from source that go to target, one for each distinct router report."""
    return {report["shares"][source][target] for report in nemesis.zone_reports.values()}


def origins(nemesis: Nemesis) -> set[tuple[str, str]]:
    """Return the regions whose origins serve west and east, one pair for each distinct router report."""
    reported = (report["plan"]["origins"] for report in nemesis.zone_reports.values())
    return {(serving["west"], serving["east"]) for serving in reported}


async def run_command(nemesis: Nemesis, at: str, *words: str) -> tuple[int, str]:
    """Run a `saltport` command on a router; return its exit status and output."""
    router = "{}:{}".format(*nemesis.router(at).admin)
    command, *arguments = words
    result = await asyncio.to_thread(CliRunner().invoke, cli, [command, router, *arguments])
    return result.exit_code, result.output


def test_one_plan_through_a_lost_zone_a_stopped_owner_and_a_cut(tmp_path: Path) -> None:
    async def scene(nemesis: Nemesis) -> None:
        # The origin of one region fails: the other one serves both regions until it recovers.
        control = nemesis.harness.control
        await control.call("strike", kind="origin_down", target="", figures={})
        await wait_until("the other origin serves west", lambda: origins(nemesis) == {("east", "east")})
        await control.call("mend", target="origin")
        await wait_until(
            "west is served by its own origin again", lambda: origins(nemesis) == {("west", "east")}
        )
        old, epoch = owner(nemesis), max(plans(nemesis))[0]
        async with nemesis.zone_lost(["b"]):
            await wait_until("reads of b go to other zones", lambda: share(nemesis, "b", "b") == {0.0})
            # The owner is stopped for longer than its lease.
            stopped = asyncio.get_running_loop().create_task(nemesis.stop_for(old, SCENE_TIMEOUT_S))
            await wait_until("another router decides", lambda: max(plans(nemesis))[0] > epoch)
            stopped.cancel()  # it resumes once its successor has decided, however long that took
            with contextlib.suppress(asyncio.CancelledError):
                await stopped
            await nemesis.wait_until_agreed()
            await wait_until("the old owner follows the new plan", lambda: len(plans(nemesis)) == 1)
            assert max(plans(nemesis))[0] > epoch
            # The new owner has taken over the decision of the old one.
            assert share(nemesis, "b", "b") == {0.0}
        await wait_until("reads of b return", lambda: share(nemesis, "b", "b") == {1.0})
        # The owner can't send to the routers of one zone: they receive its plans through other routers.
        current = owner(nemesis)
        far = [f"r{number}" for number in range(1, 10) if number % 3 == 0 and f"r{number}" != current]
        with nemesis.cut([current], far):
            status, output = await run_command(nemesis, current, "evacuate", "a", "--over", "1")
            assert (status, output) == (0, "done\n")
            await wait_until("no reads go to a", lambda: share(nemesis, "a", "a") == {0.0})
            assert (await run_command(nemesis, current, "evacuate", "a"))[0] == 1
        # The owner is killed right after that: the order stays in force.
        await nemesis.wait_until_agreed()
        # Another router may have become the owner when the cut ended; then it is the one to be killed.
        current, before = owner(nemesis), max(plans(nemesis))
        await nemesis.kill(current)
        nemesis.zone_reports.pop(current)
        await wait_until("another router decides", lambda: max(plans(nemesis))[0] > before[0])
        await nemesis.start(current)
        await nemesis.wait_until_agreed()
        await wait_until("all follow one plan", lambda: len(plans(nemesis)) == 1)
        assert share(nemesis, "a", "a") == {0.0}
        status, output = await run_command(nemesis, far[0], "return", "a", "--over", "1")
        assert (status, output) == (0, "done\n")
        await wait_until("reads of a return", lambda: share(nemesis, "a", "a") == {1.0})
        shown = await run_command(nemesis, far[0], "zones")
        assert "reads from a: a 100%" in shown[1]

    nemesis, verdict = play(tmp_path, scene)
    assert nemesis.history.check() == []
    assert nemesis.history.checked()["plans_only_rise"] > 100
    assert verdict.clean, verdict.as_json()


@pytest.mark.parametrize(
    "wrong",
    [
        [PlanSample(at, "r1", 1, 5, number, "r2", "x") for at, number in enumerate((2, 1, 2))],
        [PlanSample(1, "r1", 1, 5, 2, "r2", "x"), PlanSample(2, "r2", 1, 5, 2, "r3", "x")],
        [PlanSample(1, "r1", 1, 5, 2, "r2", "x"), PlanSample(2, "r2", 1, 5, 2, "r2", "y")],
        [PlanSample(1, "r1", 1, 5, 2, "r2", "x"), PlanSample(2, "r2", 1, 6, 1, "r3", "y")],
    ],
)  # fmt: skip
def test_a_return_to_an_old_plan_two_authors_or_two_contents_are_found(wrong: list[PlanSample]) -> None:
    assert {violation.rule for violation in History([], plans=wrong).check()} == {"plans_only_rise"}
