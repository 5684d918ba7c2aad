"""Nine real routers, thirty servers, three zones: one plan through a lost zone, a stop, a cut and a death."""

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
from saltport.nemesis.history import Course, History
from saltport.nemesis.runner import Nemesis, NemesisError
from tests.nemesis.test_owner_processes import until

PATIENCE_S = 200.0
RATE = 90.0
KEYS = 3_000  # many: misses are what tells that an origin is back


def play(folder: Path, scene: Callable[[Nemesis], Awaitable[None]]) -> tuple[Nemesis, Verdict]:
    async def run() -> tuple[Nemesis, Verdict]:
        nemesis = Nemesis(folder, 9, seed=7, nodes=30, voters=3, failover=True)
        async with asyncio.timeout(PATIENCE_S):
            async with nemesis:
                await nemesis.until_agreed(60)
                nemesis.restart_clock()
                await until(
                    "all follow one plan", lambda: len(plans(nemesis)) == 1 and following(nemesis) == 9
                )
                stop = asyncio.Event()
                plan = LoadPlan((Step(0.0, RATE),), 3_600, seed=7, keys=KEYS)
                load = asyncio.get_running_loop().create_task(run_load(nemesis.harness, plan, stop=stop))
                try:
                    await scene(nemesis)
                    await nemesis.until_agreed()
                    await until("all follow one plan", lambda: len(plans(nemesis)) == 1)
                except (NemesisError, AssertionError) as error:
                    error.add_note(story(nemesis))
                    raise
                finally:
                    stop.set()
                    _, ledger = await load
                nemesis.history.ended = nemesis.now()
            slack = Limits(1_000, 1_000, 1_000, 1_000)
            return nemesis, nemesis.harness.audit([ledger], slack)

    return uvloop.run(run())


def plans(nemesis: Nemesis) -> set[tuple[int, int]]:
    """The plans that routers said last that they follow."""
    last = {course.by: (course.epoch, course.number) for course in nemesis.history.courses}
    return set(last.values())


def story(nemesis: Nemesis) -> str:
    """Who followed which plan from when on, who held the plans, and what all say now."""
    lines, followed = [], dict[str, tuple[int, int]]()
    for course in nemesis.history.courses:
        age = (course.epoch, course.number)
        if followed.get(course.by) != age:
            lines.append(
                f"{course.at:6.1f} s {course.by} follows {age} of {course.maker}, which leads to {course.end}"
            )
            followed[course.by] = age
    holders = dict.fromkeys(
        (hold.epoch, hold.by) for hold in nemesis.history.holds if hold.piece == TASK_NAME
    )
    lines.append(f"epochs and their owners: {list(holders)}")
    for name, told in sorted(nemesis.zones.items()):
        lines.append(f"{name}: {told['state']}, shares {told['shares']}, deciding {told['deciding']}")
    return "\n".join(lines)


def following(nemesis: Nemesis) -> int:
    return sum(told["state"] == "by plan" for told in nemesis.zones.values())


def owner(nemesis: Nemesis) -> str:
    """Who made the latest plan."""
    latest = max(nemesis.history.courses, key=lambda course: (course.epoch, course.number))
    return latest.maker


def share(nemesis: Nemesis, source: str, target: str) -> set[float]:
    """Of a zone's reads, as all routers hold it."""
    return {told["shares"][source][target] for told in nemesis.zones.values()}


def origins(nemesis: Nemesis) -> set[tuple[str, str]]:
    """Whose origins serve west and east, as all routers hold it."""
    served = (told["plan"]["origins"] for told in nemesis.zones.values())
    return {(held["west"], held["east"]) for held in served}


async def ordered(nemesis: Nemesis, at: str, *words: str) -> tuple[int, str]:
    """Run a command of `saltport` at a router."""
    router = "{}:{}".format(*nemesis.router(at).admin)
    what, *more = words
    result = await asyncio.to_thread(CliRunner().invoke, cli, [what, router, *more])
    return result.exit_code, result.output


def test_one_plan_through_a_lost_zone_a_stopped_owner_and_a_cut(tmp_path: Path) -> None:
    async def scene(nemesis: Nemesis) -> None:
        # The origin of one region is lost under writes: the other one serves both, and gives them back.
        control = nemesis.harness.control
        await control.call("strike", kind="origin_down", target="", figures={})
        await until("the other origin serves west", lambda: origins(nemesis) == {("east", "east")})
        await control.call("mend", target="origin")
        await until("west has its own again", lambda: origins(nemesis) == {("west", "east")})
        old, epoch = owner(nemesis), max(plans(nemesis))[0]
        async with nemesis.zone_lost(["b"]):
            await until("reads of b go elsewhere", lambda: share(nemesis, "b", "b") == {0.0})
            # The owner stands still for longer than its lease.
            stopped = asyncio.get_running_loop().create_task(nemesis.stop_for(old, PATIENCE_S))
            await until("another decides", lambda: max(plans(nemesis))[0] > epoch)
            stopped.cancel()  # it goes on once its successor has decided, however long that took
            with contextlib.suppress(asyncio.CancelledError):
                await stopped
            await nemesis.until_agreed()
            await until("the old owner follows", lambda: len(plans(nemesis)) == 1)
            assert max(plans(nemesis))[0] > epoch
            assert share(nemesis, "b", "b") == {0.0}  # the new one knows what the old one knew
        await until("reads of b are back", lambda: share(nemesis, "b", "b") == {1.0})
        # The owner can't reach one zone's routers, nor hear them: what it says comes round by others.
        now = owner(nemesis)
        far = [f"r{number}" for number in range(1, 10) if number % 3 == 0 and f"r{number}" != now]
        with nemesis.cut([now], far):
            status, output = await ordered(nemesis, now, "evacuate", "a", "--over", "1")
            assert (status, output) == (0, "done\n")
            await until("all have left a", lambda: share(nemesis, "a", "a") == {0.0})
            assert (await ordered(nemesis, now, "evacuate", "a"))[0] == 1
        # It dies at once after that: the order stands.
        await nemesis.until_agreed()
        before = max(plans(nemesis))
        await nemesis.kill(now)
        nemesis.zones.pop(now)
        await until("another decides", lambda: max(plans(nemesis))[0] > before[0])
        await nemesis.start(now)
        await nemesis.until_agreed()
        await until("all follow one plan", lambda: len(plans(nemesis)) == 1)
        assert share(nemesis, "a", "a") == {0.0}
        status, output = await ordered(nemesis, far[0], "return", "a", "--over", "1")
        assert (status, output) == (0, "done\n")
        await until("reads of a are back", lambda: share(nemesis, "a", "a") == {1.0})
        shown = await ordered(nemesis, far[0], "zones")
        assert "reads from a: a 100%" in shown[1]

    nemesis, verdict = play(tmp_path, scene)
    assert nemesis.history.check() == []
    assert nemesis.history.checked()["plans_only_rise"] > 100
    assert verdict.clean, verdict.as_json()


@pytest.mark.parametrize(
    "wrong",
    [
        [Course(at, "r1", 1, 5, number, "r2", "x") for at, number in enumerate((2, 1, 2))],
        [Course(1, "r1", 1, 5, 2, "r2", "x"), Course(2, "r2", 1, 5, 2, "r3", "x")],
        [Course(1, "r1", 1, 5, 2, "r2", "x"), Course(2, "r2", 1, 5, 2, "r2", "y")],
        [Course(1, "r1", 1, 5, 2, "r2", "x"), Course(2, "r2", 1, 6, 1, "r3", "y")],
    ],
)  # fmt: skip
def test_a_history_with_an_old_plan_two_makers_or_two_ends_is_found(wrong: list[Course]) -> None:
    assert {held.rule for held in History([], courses=wrong).check()} == {"plans_only_rise"}
