"""Measures the replication of hot keys and plots it over time: `python -m benchmarks.hot_keys [--real]`.

By default decision modules run in virtual time. Half of all reads move to one key at once (a flash), stay
there and move away again. Then a key becomes hot and cold in turn, and the replicated key is written (yanked)
while nodes die, are cut off and lose invalidations. With `--real`, a router and stand-ins run on loopback
with the same flash and with writes while nodes are killed; the results come from the ledgers.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib
import math
import random
import sys
import tempfile
import time
from bisect import bisect
from collections import Counter, defaultdict
from dataclasses import replace
from itertools import accumulate
from pathlib import Path
from typing import Any
from zlib import crc32

import orjson
import uvloop

from benchmarks.hot_world import HOT, S, World, mixed_keys
from saltport.admin.client import ask
from saltport.audit import Limits
from saltport.decisions import Fill, HotKeySettings, RequestArrived, RequestClass, Server, Settings, Tenant
from saltport.decisions.hotkeys import HotKeys
from saltport.decisions.replication import Replication
from saltport.decisions.request import Request
from saltport.decisions.slot_replication import SlotReplication
from saltport.decisions.suppression import Suppressor
from saltport.decisions.table import SlotTable
from saltport.harness import Harness, run_load
from saltport.load.plan import HOT_KEY, LoadPlan, Step
from saltport.standins.profile import ClassProfile, Profile, with_faster_work

OTHER_KEY_COUNT = 20_000
CALM_S, HOT_S, COOL_DOWN_S = 2, 15, 60
FEATURES_TOML = """[hot_keys]
fill = "writes"
max_copies = %d
"""


def min_copies(nodes: int, share: float) -> int:
    """Return the least number of nodes for a key so that no node gets over twice its fair share."""
    return math.ceil(share * nodes / (1 + share) - 1e-9)


def draw_plot(title: str, seconds: list[float], lines: dict[str, list[float]]) -> str:
    """Return a plot of lines over time for a terminal."""
    plt: Any = importlib.import_module("plotext")
    plt.clear_figure()
    plt.plotsize(100, 18)
    plt.theme("clear")
    plt.title(title)
    for name, values in lines.items():
        plt.plot(seconds, values, label=name)
    return str(plt.build())


def measure_flash(
    nodes: int, rate: float, hot_keys: HotKeySettings | None, report_line: Any, cool: bool = True
) -> dict[str, Any]:
    """Measure a flash: half of all reads move to one key; return the figures."""
    world = World(
        nodes,
        hot_keys,
        vectors=nodes >= 1_000,
        work=min(int(0.3 * S * nodes / rate), S // 50),
        stored_prefix="k",
    )
    seconds, busiest, copies = [], [], []

    def run_second(share: float, count: float) -> None:
        world.run_load(rate, mixed_keys(world.rng, share, max(OTHER_KEY_COUNT, 100 * nodes)), count)
        seconds.append(world.now / S - 1 - CALM_S)
        busiest.append(world.busiest())
        copies.append(float(world.copies() if hot_keys else len(world.sent_by_key[HOT])))

    for _ in range(CALM_S):
        run_second(0.0, 1)
        world.clear()
    started_at, fetches = time.perf_counter(), 0
    run_second(0.5, 1)
    fetches += world.fetches[HOT]
    world.clear()
    sent_after_first: Counter[str] = Counter()
    for _ in range(HOT_S - 1):
        run_second(0.5, 1)
        fetches += world.fetches[HOT]
        sent_after_first += world.sent
        world.clear()
    final_copies = copies[-1]
    released = None
    if cool:
        for number in range(COOL_DOWN_S):
            run_second(0.0, 1)
            world.clear()
            if released is None and world.copies() == 1:
                released = number + 1
    fair_share = sent_after_first.total() / nodes
    row = {
        "nodes": nodes,
        "rate": rate,
        "copies": final_copies,
        "least": min_copies(nodes, 0.5),
        "busiest_over_14_s": max(sent_after_first.values()) / fair_share,
        "fetches": fetches,
        "released_after_s": released,
        "busiest_second": max(busiest[CALM_S + 1 : CALM_S + HOT_S]),
        "wall_s": time.perf_counter() - started_at,
        "log": world.logs,
    }
    kind = hot_keys.fill.value if hot_keys else "slots' load"
    report_line(
        f"{kind:12} {nodes:6} nodes {rate:7.0f}/s: {final_copies:.0f} nodes hold it (least {row['least']}), "
        f"busiest {row['busiest_over_14_s']:.2f} fair shares over the 14 s after the first "
        f"({row['busiest_second']:.2f} in its worst second), {fetches} fetches, released after {released} s"
    )
    if cool:
        report_line(
            draw_plot(f"{kind}, {nodes} nodes", seconds, {"busiest, fair shares": busiest, "nodes": copies})
        )
    return row


def measure_flicker(report_line: Any) -> dict[str, Any]:
    """Measure a key that is hot for two seconds and cold for two seconds, for a minute."""
    world = World(30, HotKeySettings(Fill.WRITES))
    for number in range(30):
        world.run_load(1_000, mixed_keys(world.rng, 0.5 if number % 2 == 0 else 0.0, OTHER_KEY_COUNT), 2)
    counts = world.hot_keys_view()["counts"]
    report_line(
        f"flicker of 2 s for a minute: {counts['spread']} spread, {counts.get('released', 0)} released"
    )
    return {"counts": dict(counts)}


def measure_yanks(count: int, report_line: Any, invalidations: bool = True) -> dict[str, Any]:
    """Measure writes of a replicated key: a third with a killed node, a third with a node that is cut off.

    A tenth of the invalidations is lost.
    """
    world = World(30, HotKeySettings(Fill.WRITES), origin_drops=False)
    world.run_load(1_000, mixed_keys(world.rng, 0.5, OTHER_KEY_COUNT), 2)
    members = list(world.sent_by_key[HOT])
    world.invalidation_arrives = lambda key, server: invalidations and world.rng.random() > 0.1
    for number in range(count):
        for node in world.nodes.values():
            node.down = node.down and world.rng.random() > 0.3
            node.cut = node.cut and world.rng.random() > 0.3
        victim = world.nodes[world.rng.choice(members)]
        if number % 3 == 0:
            victim.down = True
            victim.stored.clear()
        elif number % 3 == 1:
            victim.cut = True
        world.ask(HOT, write=True)
        world.run_load(1_000, mixed_keys(world.rng, 0.5, OTHER_KEY_COUNT), 0.3)
    report_line(
        f"{count} yanks: {world.outcomes['written']} answered, {world.stale_reads} stale reads "
        f"of {world.outcomes['served']}, {world.copies_made} copies made again, "
        f"{world.hot_keys_view()['invalidations']}"
    )
    return {
        "yanks": count,
        "stale": world.stale_reads,
        "served": world.outcomes["served"],
        "copied": world.copies_made,
    }


def measure_counting_cost(report_line: Any) -> dict[str, float]:
    """Return the microseconds to count a read, by the load of slots and by hot keys."""
    caches = SlotTable(Settings(classes=(RequestClass("read", 1, 1),)))
    caches.update([Server(f"s{number}") for number in range(130)], [])
    rng, weights = random.Random(1), list(accumulate(1 / (rank + 1) for rank in range(OTHER_KEY_COUNT)))
    keys = [f"pkg-{bisect(weights, rng.random() * weights[-1]):06d}/1.0" for _ in range(200_000)]
    slots = [crc32(key.encode()) % 8192 for key in keys]
    classes = (RequestClass("read", S, S),)
    settings = Settings(classes=classes, tenants=(Tenant("a", 0.7), Tenant("b", 0.3)))
    kinds: dict[str, Replication] = {
        "slots' load": SlotReplication(caches, rng, False),
        "hot keys": HotKeys(settings, HotKeySettings(), caches, lambda server, now: True, rng),
    }
    cost_us = {}
    for name, kind in kinds.items():
        arrival = RequestArrived("r", "read", 0)
        request = Request(arrival, classes[0], Suppressor(Tenant("a", 0.7), 1, rng), 1)
        now, started_at = S, time.perf_counter()
        for key, slot in zip(keys, slots, strict=True):
            now += S // 1000
            request.key, request.slot = key, slot
            kind.arrived(request, "a", now)
        cost_us[name] = (time.perf_counter() - started_at) / len(keys) * 1e6
    report_line(", ".join(f"{name}: {us:.2f} us a read counted" for name, us in cost_us.items()))
    return cost_us


async def _run_harness(harness: Harness, plan: LoadPlan, kill_interval_s: float) -> tuple[Any, Any]:
    async with harness:
        if kill_interval_s:
            await harness.control.call(
                "play", seed=plan.seed, seconds=plan.seconds, kinds=["kill"], every_s=kill_interval_s
            )
        _, ledger = await run_load(harness, plan)
        states = [await asyncio.to_thread(ask, r.admin, "/state") for r in harness.router_processes]
    return ledger, states


def measure_real(
    nodes: int,
    rate: float,
    routers: int,
    seconds: float,
    yank_share: float,
    kill_interval_s: float,
    report_line: Any,
) -> Any:
    """Measure router processes with stand-ins of cache servers on loopback; one key is hot from second 3 on.

    `yank_share`: the share of requests that are writes which invalidate a key. `kill_interval_s`: the mean
    time between two kills of cache servers; 0: none. Return one row of results: the copies of the hot key,
    the load of the busiest server, origin fetches and what the audit of the ledgers found.
    """
    base = with_faster_work(Profile(), 20)
    classes = (
        ClassProfile("fetch", 1 - yank_share, (1.7, 3.2), 300, 1200),
        ClassProfile("yank", yank_share, (2.0, 4.0), 500, 1000, "dedup", 5000),
    )
    profile = replace(base, plain_writes=1, origin_drops=0, classes=classes if yank_share else classes[:1])
    folder = Path(tempfile.mkdtemp(prefix="saltport-hot-"))
    features = FEATURES_TOML % max(16, nodes // 2) + "[table]\nslots = 65536\n"
    harness = Harness(folder, profile, nodes, routers, 1, features)
    plan = LoadPlan((Step(0, rate),), seconds, keys=2_000, zipf=0.0, seed=1, hot=0.5, hot_from=3)
    ledger, states = uvloop.run(_run_harness(harness, plan, kill_interval_s))
    verdict = harness.audit([ledger], Limits(1_000, 1_000, 1_000, 1_000))
    fleet = harness.fleet_records()
    started_at_ns = next(record["t"] for record in ledger.records if record["kind"] == "load")
    by_second: defaultdict[int, Counter[str]] = defaultdict(Counter)
    fetches = 0
    for record in fleet:
        if record["kind"] != "attempt" or record["cls"] != "fetch":
            continue
        at = (record["t"] - started_at_ns) / 1e9 - 3
        if record["node"].startswith("origin"):
            fetches += record["key"] == HOT_KEY and at >= 0
        else:
            by_second[math.floor(at)][record["node"]] += 1
    sent_in_total: Counter[str] = Counter()
    for second, sent in by_second.items():
        if second >= 1:
            sent_in_total += sent
    answers = verdict.answers
    plain_writes = sum(record["kind"] == "copied" and record["key"] == HOT_KEY for record in fleet)
    copies = [
        next((entry["copies"] for entry in state["hot_keys"]["top"] if entry["key"] == HOT_KEY), 1)
        for state in states
    ]
    row = {
        "nodes": nodes,
        "rate": rate,
        "routers": routers,
        "copies": copies,
        "least": min_copies(nodes, 0.5),
        "busiest": max(sent_in_total.values()) * nodes / sent_in_total.total(),
        "fetches": fetches,
        "copied": plain_writes,
        "answers": answers,
        "violations": len(verdict.violations),
        "stale_checked": verdict.checked["stale"],
        "rules": sorted({violation.rule for violation in verdict.violations}),
    }
    report_line(
        f"real router, {nodes} nodes, {rate:.0f}/s, {routers} router(s), {seconds:.0f} s, "
        f"yanks {yank_share:.0%}, kills every {kill_interval_s or math.inf:.0f} s:\n"
        f"  copies {copies} (least {row['least']}), busiest "
        f"{row['busiest']:.2f} fair shares from one second after the flash on, {fetches} origin fetches, "
        f"{plain_writes} plain writes, answers {answers}, {row['violations']} broken rules {row['rules']}, "
        f"{row['stale_checked']} reads checked against answered yanks; ledgers in {folder}"
    )
    return row


def main() -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--nodes", type=int, action="append", help="number of nodes in virtual time; may be repeated"
    )
    parser.add_argument("--yanks", type=int, default=1_000)
    parser.add_argument("--real", action="store_true", help="a router and stand-ins on loopback")
    parser.add_argument("--real-nodes", type=int, default=30)
    parser.add_argument("--rate", type=float, default=600.0)
    parser.add_argument("--routers", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--yank-share", type=float, default=0.0)
    parser.add_argument("--kill-every", type=float, default=0.0)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()

    def report_line(line: str) -> None:
        print(line, file=sys.stderr if arguments.json else sys.stdout, flush=True)

    rows: list[Any] = []
    if arguments.real:
        rows.append(
            measure_real(
                arguments.real_nodes,
                arguments.rate,
                arguments.routers,
                arguments.seconds,
                arguments.yank_share,
                arguments.kill_every,
                report_line,
            )
        )
    else:
        for nodes in arguments.nodes or (30, 130):
            rate = nodes * 33.0 if nodes <= 1_000 else 20_000.0
            writes = HotKeySettings(Fill.WRITES, max_copies=max(16, nodes // 2))
            if nodes <= 1_000:
                rows.append(measure_flash(nodes, rate, None, report_line, cool=False))
                rows.append(
                    measure_flash(nodes, rate, replace(writes, fill=Fill.READS), report_line, cool=False)
                )
            rows.append(measure_flash(nodes, rate, writes, report_line, cool=nodes <= 1_000))
        rows.append(measure_counting_cost(report_line))
        if arguments.yanks:
            rows += [measure_flicker(report_line), measure_yanks(arguments.yanks, report_line)]
            rows.append(
                measure_yanks(
                    20,
                    lambda line: report_line(f"without invalidations arriving: {line}"),
                    invalidations=False,
                )
            )
    if arguments.json:
        print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
