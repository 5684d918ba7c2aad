"""Measures overloaded nodes with decision modules in virtual time: `python -m benchmarks.overrun`.

Four routers send to twelve nodes with one core each; reads take 35 to 65 ms, the aim is 300 ms, and clients
retry twice. The load is a share of the nodes' capacity; an ideal router (oracle) serves all of the capacity
in time. The share of node limits that change by more than a third within a second shows whether the estimates
oscillate. With `--real`, routers and stand-ins on loopback are overloaded for 8 s; the stand-ins slow down as
their queues grow.
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

NODE_COUNT, ROUTER_COUNT, KEY_COUNT = 12, 4, 600
WORK_NS = 50 * MS


def _limit_estimates(world: World) -> dict[tuple[int, str], float]:
    return {
        (number, name): node.limit.limit
        for number, router in enumerate(world.routers)
        for name, node in router.caches.nodes.items()
    }


def run_simulation(
    load: float, seconds: int, slow_node: float = 1.0, pause: bool = False, seed: int = 1
) -> dict[str, float]:
    """Run a steady load on a warm fleet; return the goodput, the oracle's, and changes of the estimates."""
    world = World(
        NODE_COUNT, None, seed, ROUTER_COUNT, work=WORK_NS, spread_work=0.3, retries=2, stored_prefix="k"
    )
    rate = load * NODE_COUNT / (WORK_NS / S)
    if slow_node > 1:
        next(iter(world.nodes.values())).slow = slow_node

    def keys() -> tuple[str, bool]:
        return f"k{world.rng.randrange(KEY_COUNT)}", False

    world.run_load(rate, keys, 3)
    if pause:
        for node in world.nodes.values():
            node.free_at = world.now + 2 * S
        world.run_load(rate, keys, 4)
    world.in_time = world.first_attempts = 0
    world.outcomes.clear()
    world.clear()
    large_changes = samples = 0
    previous = _limit_estimates(world)
    world.start_load(rate, keys, seconds)
    for _ in range(seconds):
        world.run(world.now + S)
        estimates = _limit_estimates(world)
        samples += len(estimates)
        large_changes += sum(abs(estimates[key] - previous[key]) > previous[key] / 3 for key in estimates)
        previous = estimates
    capacity = NODE_COUNT - (1 - 1 / slow_node)
    return {
        "load": load, "in_time": world.in_time / world.first_attempts,
        "oracle": min(capacity / NODE_COUNT / load, 1.0),
        "refused": world.outcomes["refused"] / world.first_attempts,
        "sent": world.sent.total() / world.first_attempts, "moves": large_changes / samples,
    }  # fmt: skip


BASE_S, STORM_S, RECOVERY_S = 8, 8, 12


async def _run_storm(harness: Harness, plan: LoadPlan) -> Any:
    async with harness:
        return await run_load(harness, plan)


def measure_storm(load: float, peak: float, crowding: float, report_line: Any) -> dict[str, Any]:
    """Run a base load, an overload and the base load again; return how long refusals outlast the overload.

    `load`, `peak`: the base load and the overload as multiples of the servers' capacity. `crowding`: the
    share by which a full queue lengthens the work of a server.
    """
    nodes, capacity = 8, 8 / 0.05  # reads a second, of 35 to 64 ms
    profile = replace(Profile(), crowding=crowding, classes=Profile().classes[:1])
    steps = (
        Step(0, load * capacity),
        Step(BASE_S, peak * capacity),
        Step(BASE_S + STORM_S, load * capacity),
    )
    plan = LoadPlan(steps, BASE_S + STORM_S + RECOVERY_S, keys=400, zipf=0.3, seed=1)
    folder = Path(tempfile.mkdtemp(prefix="saltport-storm-"))
    harness = Harness(folder, profile, nodes, 2, 1)
    summary, ledger = uvloop.run(_run_storm(harness, plan))
    verdict = harness.audit([ledger], Limits(1_000, 1_000, 1_000, 1_000))
    storm_end = BASE_S + STORM_S

    def outcome_counts(begin: int, end: int) -> dict[str, int]:
        return {name: sum(row[name] for row in summary["timeline"][begin:end]) for name in OUTCOMES}

    def is_recovered(second: int) -> bool:
        counts = outcome_counts(second, second + 1)
        return counts["refused"] <= 0.05 * sum(counts.values())

    last_overloaded = max(
        (second for second in range(storm_end, storm_end + RECOVERY_S) if not is_recovered(second)),
        default=storm_end - 1,
    )
    row = {
        "load": load,
        "peak": peak,
        "crowding": crowding,
        "recovered_after_s": last_overloaded + 1 - storm_end,
        "before": outcome_counts(2, BASE_S),
        "storm": outcome_counts(BASE_S, storm_end),
        "after": outcome_counts(storm_end + 2, storm_end + RECOVERY_S),
        "broken": sorted({violation.rule for violation in verdict.violations}),
    }
    report_line(
        f"storm of {peak} between {load}, work {1 + crowding:.1f} times as long with a full queue: requests "
        f"before {row['before']}, in it {row['storm']}, from 2 s after it {row['after']}; "
        f"the last second with over 5% refused ended {row['recovered_after_s']} s after it; "
        f"broken rules {row['broken']}"
    )
    return row


def main() -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--real", action="store_true", help="overload real routers and stand-ins")
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    rows: list[dict[str, object]] = []

    def report_line(line: str) -> None:
        print(line, file=sys.stderr if arguments.json else sys.stdout, flush=True)

    if arguments.real:
        rows += [measure_storm(0.5, 2.0, crowding, report_line) for crowding in (0.0, 1.0)]
    scenarios: tuple[tuple[str, tuple[float, ...], dict[str, Any]], ...] = (
        ("steady", (0.5, 0.8, 1.0, 1.3), {}),
        ("one node at a tenth of its speed", (0.5, 0.8), {"slow_node": 10.0}),
        ("2 s after all had stood still for 2 s", (0.5, 0.8), {"pause": True}),
    )
    for name, loads, options in () if arguments.real else scenarios:
        for load in loads:
            row = run_simulation(load, arguments.seconds, **options)
            rows.append({"what": name, **row})
            report_line(
                f"{name:38} load {load:.1f}: {row['in_time']:6.1%} in time (oracle {row['oracle']:.1%}), "
                f"{row['refused']:.2f} refusals and {row['sent']:.2f} sends a first try, "
                f"{row['moves']:.1%} of estimates moved by a third in a second"
            )
    if arguments.json:
        print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
