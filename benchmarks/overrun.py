"""Overrun nodes, decisions alone in virtual time: `python -m benchmarks.overrun`.

Four routers before twelve nodes of one core each, reads of 35 to 65 ms, aim 300 ms, clients that retry twice.
Load as a part of what the nodes can do; an oracle serves all of that in time. How often a node's limit
moves by more than a third within a second tells whether the estimate swings. With `--real` a storm on
loopback: routers before stand-ins that do less the more they hold, 8 s beyond what these can do.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
import uvloop

from benchmarks.hot_world import MS, S, World
from saltport.audit import Limits
from saltport.harness import Harness, run_load
from saltport.load.plan import LoadPlan, Step
from saltport.load.report import OUTCOMES
from saltport.standins.profile import Profile

NODES, ROUTERS, KEYS = 12, 4, 600
WORK = 50 * MS


def _estimates(world: World) -> dict[tuple[int, str], float]:
    return {
        (number, name): node.limit.limit
        for number, router in enumerate(world.routers)
        for name, node in router.caches.nodes.items()
    }


def play(
    load: float, seconds: int, slow_node: float = 1.0, pause: bool = False, seed: int = 1
) -> dict[str, float]:
    """Steady load on a warm fleet; returns goodput, the oracle's, and how the estimates moved."""
    world = World(NODES, None, seed, ROUTERS, work=WORK, spread_work=0.3, retries=2, kept="k")
    rate = load * NODES / (WORK / S)
    if slow_node > 1:
        next(iter(world.nodes.values())).slow = slow_node

    def keys() -> tuple[str, bool]:
        return f"k{world.rng.randrange(KEYS)}", False

    world.play(rate, keys, 3)
    if pause:
        for node in world.nodes.values():
            node.free_at = world.now + 2 * S
        world.play(rate, keys, 4)
    world.in_time = world.first_tries = 0
    world.ends.clear()
    world.clear()
    moves = samples = 0
    before = _estimates(world)
    world.load(rate, keys, seconds)
    for _ in range(seconds):
        world.run(world.now + S)
        now = _estimates(world)
        samples += len(now)
        moves += sum(abs(now[at] - before[at]) > before[at] / 3 for at in now)
        before = now
    capacity = NODES - (1 - 1 / slow_node)
    return {
        "load": load, "in_time": world.in_time / world.first_tries,
        "oracle": min(capacity / NODES / load, 1.0),
        "refused": world.ends["refused"] / world.first_tries,
        "sent": world.sent.total() / world.first_tries, "moves": moves / samples,
    }  # fmt: skip


CALM_S, STORM_S, AFTER_S = 8, 8, 12


async def _storm(harness: Harness, plan: LoadPlan) -> Any:
    async with harness:
        return await run_load(harness, plan)


def storm(load: float, peak: float, crowding: float, say: Any) -> dict[str, Any]:
    """Load, then a storm, then the load as before; how long refusals outlast the storm."""
    nodes, capacity = 8, 8 / 0.05  # reads a second, of 35 to 64 ms
    profile = replace(Profile(), crowding=crowding, classes=Profile().classes[:1])
    steps = (
        Step(0, load * capacity),
        Step(CALM_S, peak * capacity),
        Step(CALM_S + STORM_S, load * capacity),
    )
    plan = LoadPlan(steps, CALM_S + STORM_S + AFTER_S, keys=400, zipf=0.3, seed=1)
    folder = Path(tempfile.mkdtemp(prefix="saltport-storm-"))
    harness = Harness(folder, profile, nodes, 2, 1)
    summary, ledger = uvloop.run(_storm(harness, plan))
    verdict = harness.audit([ledger], Limits(1_000, 1_000, 1_000, 1_000))
    over = CALM_S + STORM_S

    def ends(begin: int, end: int) -> dict[str, int]:
        return {name: sum(row[name] for row in summary["timeline"][begin:end]) for name in OUTCOMES}

    def calm(second: int) -> bool:
        told = ends(second, second + 1)
        return told["refused"] <= 0.05 * sum(told.values())

    last = max((second for second in range(over, over + AFTER_S) if not calm(second)), default=over - 1)
    row = {
        "load": load, "peak": peak, "crowding": crowding, "recovered_after_s": last + 1 - over,
        "before": ends(2, CALM_S), "storm": ends(CALM_S, over), "after": ends(over + 2, over + AFTER_S),
        "broken": sorted({violation.rule for violation in verdict.violations}),
    }  # fmt: skip
    say(
        f"storm of {peak} between {load}, work {1 + crowding:.1f} times as long with a full queue: requests "
        f"before {row['before']}, in it {row['storm']}, from 2 s after it {row['after']}; "
        f"the last second with over 5% refused ended {row['recovered_after_s']} s after it; "
        f"broken rules {row['broken']}"
    )
    return row


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--real", action="store_true", help="a storm on routers and stand-ins")
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    rows: list[dict[str, object]] = []

    def say(line: str) -> None:
        print(line, file=sys.stderr if told.json else sys.stdout, flush=True)

    if told.real:
        rows += [storm(0.5, 2.0, crowding, say) for crowding in (0.0, 1.0)]
    scenes: tuple[tuple[str, tuple[float, ...], dict[str, Any]], ...] = (
        ("steady", (0.5, 0.8, 1.0, 1.3), {}),
        ("one node at a tenth of its speed", (0.5, 0.8), {"slow_node": 10.0}),
        ("2 s after all had stood still for 2 s", (0.5, 0.8), {"pause": True}),
    )
    for what, loads, more in () if told.real else scenes:
        for load in loads:
            row = play(load, told.seconds, **more)
            rows.append({"what": what, **row})
            say(
                f"{what:38} load {load:.1f}: {row['in_time']:6.1%} in time (oracle {row['oracle']:.1%}), "
                f"{row['refused']:.2f} refusals and {row['sent']:.2f} sends a first try, "
                f"{row['moves']:.1%} of estimates moved by a third in a second"
            )
    if told.json:
        print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
