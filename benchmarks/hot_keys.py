"""Hot keys on several nodes, measured: `python -m benchmarks.hot_keys [--real]`, with a picture over time.

By itself the decisions alone in virtual time: half of all reads turn to one key at once, stay there and cool;
then a key that flickers, and yanks of the replicated key while nodes die, are cut off and lose invalidations.
With `--real` a router and stand-ins on loopback: the same flash, and yanks with nodes killed, by the ledgers.
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

from benchmarks.hot_world import HOT, S, World, mixed
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

OTHERS = 20_000
CALM_S, HOT_S, COOL_S = 2, 15, 60
FEATURES = """[hot_keys]
fill = "writes"
max_copies = %d
"""


def least_copies(nodes: int, share: float) -> int:
    """The least number of equal nodes on which none gets over twice its fair share."""
    return math.ceil(share * nodes / (1 + share) - 1e-9)


def picture(title: str, seconds: list[float], lines: dict[str, list[float]]) -> str:
    """Lines over time, drawn for a terminal."""
    plt: Any = importlib.import_module("plotext")
    plt.clear_figure()
    plt.plotsize(100, 18)
    plt.theme("clear")
    plt.title(title)
    for name, values in lines.items():
        plt.plot(seconds, values, label=name)
    return str(plt.build())


def flash(
    nodes: int, rate: float, told: HotKeySettings | None, say: Any, cool: bool = True
) -> dict[str, Any]:
    """Half of all reads turn to one key; returns what came of it."""
    world = World(
        nodes, told, vectors=nodes >= 1_000, work=min(int(0.3 * S * nodes / rate), S // 50), kept="k"
    )
    seconds, busiest, copies = [], [], []

    def second(share: float, count: float) -> None:
        world.play(rate, mixed(world.rng, share, max(OTHERS, 100 * nodes)), count)
        seconds.append(world.now / S - 1 - CALM_S)
        busiest.append(world.busiest())
        copies.append(float(world.copies() if told else len(world.sent_of[HOT])))

    for _ in range(CALM_S):
        second(0.0, 1)
        world.clear()
    begun, fetches = time.perf_counter(), 0
    second(0.5, 1)
    fetches += world.fetches[HOT]
    world.clear()
    after: Counter[str] = Counter()
    for _ in range(HOT_S - 1):
        second(0.5, 1)
        fetches += world.fetches[HOT]
        after += world.sent
        world.clear()
    held = copies[-1]
    released = None
    if cool:
        for number in range(COOL_S):
            second(0.0, 1)
            world.clear()
            if released is None and world.copies() == 1:
                released = number + 1
    fair = after.total() / nodes
    row = {
        "nodes": nodes, "rate": rate, "copies": held, "least": least_copies(nodes, 0.5),
        "busiest_over_14_s": max(after.values()) / fair, "fetches": fetches, "released_after_s": released,
        "busiest_second": max(busiest[CALM_S + 1 : CALM_S + HOT_S]), "wall_s": time.perf_counter() - begun,
        "log": world.logs,
    }  # fmt: skip
    kind = told.fill.value if told else "slots' load"
    say(
        f"{kind:12} {nodes:6} nodes {rate:7.0f}/s: {held:.0f} nodes hold it (least {row['least']}), "
        f"busiest {row['busiest_over_14_s']:.2f} fair shares over the 14 s after the first "
        f"({row['busiest_second']:.2f} in its worst second), {fetches} fetches, released after {released} s"
    )
    if cool:
        say(picture(f"{kind}, {nodes} nodes", seconds, {"busiest, fair shares": busiest, "nodes": copies}))
    return row


def flicker(say: Any) -> dict[str, Any]:
    """Two seconds hot, two not, for a minute."""
    world = World(30, HotKeySettings(Fill.WRITES))
    for turn in range(30):
        world.play(1_000, mixed(world.rng, 0.5 if turn % 2 == 0 else 0.0, OTHERS), 2)
    counts = world.hot_view()["counts"]
    say(f"flicker of 2 s for a minute: {counts['spread']} spread, {counts.get('released', 0)} released")
    return {"counts": dict(counts)}


def yanks(count: int, say: Any, invalidations: bool = True) -> dict[str, Any]:
    """Yanks of a replicated key: a third beside a kill, a third beside a cut, a tenth of messages lost."""
    world = World(30, HotKeySettings(Fill.WRITES), origin_drops=False)
    world.play(1_000, mixed(world.rng, 0.5, OTHERS), 2)
    members = list(world.sent_of[HOT])
    world.on_invalidate = lambda key, server: invalidations and world.rng.random() > 0.1
    for turn in range(count):
        for node in world.nodes.values():
            node.down = node.down and world.rng.random() > 0.3
            node.cut = node.cut and world.rng.random() > 0.3
        victim = world.nodes[world.rng.choice(members)]
        if turn % 3 == 0:
            victim.down = True
            victim.kept.clear()
        elif turn % 3 == 1:
            victim.cut = True
        world.ask(HOT, write=True)
        world.play(1_000, mixed(world.rng, 0.5, OTHERS), 0.3)
    say(
        f"{count} yanks: {world.ends['written']} answered, {world.stale} stale reads "
        f"of {world.ends['served']}, {world.copied} copies made again, {world.hot_view()['invalidations']}"
    )
    return {"yanks": count, "stale": world.stale, "served": world.ends["served"], "copied": world.copied}


def cost(say: Any) -> dict[str, float]:
    """Microseconds that a read costs where it is counted, by slots' load and by keys."""
    caches = SlotTable(Settings(classes=(RequestClass("read", 1, 1),)))
    caches.update([Server(f"s{number}") for number in range(130)], [])
    rng, weights = random.Random(1), list(accumulate(1 / (rank + 1) for rank in range(OTHERS)))
    keys = [f"pkg-{bisect(weights, rng.random() * weights[-1]):06d}/1.0" for _ in range(200_000)]
    slots = [crc32(key.encode()) % 8192 for key in keys]
    classes = (RequestClass("read", S, S),)
    settings = Settings(classes=classes, tenants=(Tenant("a", 0.7), Tenant("b", 0.3)))
    kinds: dict[str, Replication] = {
        "slots' load": SlotReplication(caches, rng, False),
        "hot keys": HotKeys(settings, HotKeySettings(), caches, lambda server, now: True, rng),
    }
    took = {}
    for name, kind in kinds.items():
        arrival = RequestArrived("r", "read", 0)
        asked = Request(arrival, classes[0], Suppressor(Tenant("a", 0.7), 1, rng), 1)
        now, begun = S, time.perf_counter()
        for key, slot in zip(keys, slots, strict=True):
            now += S // 1000
            asked.key, asked.slot = key, slot
            kind.arrived(asked, "a", now)
        took[name] = (time.perf_counter() - begun) / len(keys) * 1e6
    say(", ".join(f"{name}: {us:.2f} us a read counted" for name, us in took.items()))
    return took


async def _play(harness: Harness, plan: LoadPlan, kill_every: float) -> tuple[Any, Any]:
    async with harness:
        if kill_every:
            await harness.control.call(
                "play", seed=plan.seed, seconds=plan.seconds, kinds=["kill"], every_s=kill_every
            )
        _, ledger = await run_load(harness, plan)
        told = [await asyncio.to_thread(ask, r.admin, "/state") for r in harness.router_processes]
    return ledger, told


def real(
    nodes: int, rate: float, routers: int, seconds: float, yank: float, kill_every: float, say: Any
) -> Any:
    """A router and stand-ins; the key is hot from second 3 on."""
    base = with_faster_work(Profile(), 20)
    classes = (
        ClassProfile("fetch", 1 - yank, (1.7, 3.2), 300, 1200),
        ClassProfile("yank", yank, (2.0, 4.0), 500, 1000, "dedup", 5000),
    )
    profile = replace(base, plain_writes=1, origin_drops=0, classes=classes if yank else classes[:1])
    folder = Path(tempfile.mkdtemp(prefix="saltport-hot-"))
    features = FEATURES % max(16, nodes // 2) + "[table]\nslots = 65536\n"
    harness = Harness(folder, profile, nodes, routers, 1, features)
    plan = LoadPlan((Step(0, rate),), seconds, keys=2_000, zipf=0.0, seed=1, hot=0.5, hot_from=3)
    ledger, told = uvloop.run(_play(harness, plan, kill_every))
    verdict = harness.audit([ledger], Limits(1_000, 1_000, 1_000, 1_000))
    fleet = harness.fleet_records()
    begun = next(record["t"] for record in ledger.records if record["kind"] == "load")
    by_second: defaultdict[int, Counter[str]] = defaultdict(Counter)
    fetches = 0
    for record in fleet:
        if record["kind"] != "attempt" or record["cls"] != "fetch":
            continue
        at = (record["t"] - begun) / 1e9 - 3
        if record["node"].startswith("origin"):
            fetches += record["key"] == HOT_KEY and at >= 0
        else:
            by_second[math.floor(at)][record["node"]] += 1
    whole: Counter[str] = Counter()
    for second, sent in by_second.items():
        if second >= 1:
            whole += sent
    answers = verdict.answers
    copied = sum(record["kind"] == "copied" and record["key"] == HOT_KEY for record in fleet)
    held = [
        next((entry["copies"] for entry in state["hot_keys"]["top"] if entry["key"] == HOT_KEY), 1)
        for state in told
    ]
    row = {
        "nodes": nodes, "rate": rate, "routers": routers, "copies": held, "least": least_copies(nodes, 0.5),
        "busiest": max(whole.values()) * nodes / whole.total(), "fetches": fetches, "copied": copied,
        "answers": answers, "violations": len(verdict.violations), "stale_checked": verdict.checked["stale"],
        "rules": sorted({violation.rule for violation in verdict.violations}),
    }  # fmt: skip
    say(
        f"real router, {nodes} nodes, {rate:.0f}/s, {routers} router(s), {seconds:.0f} s, yanks {yank:.0%}, "
        f"kills every {kill_every or math.inf:.0f} s:\n  copies {held} (least {row['least']}), busiest "
        f"{row['busiest']:.2f} fair shares from one second after the flash on, {fetches} origin fetches, "
        f"{copied} plain writes, answers {answers}, {row['violations']} broken rules {row['rules']}, "
        f"{row['stale_checked']} reads checked against answered yanks; ledgers in {folder}"
    )
    return row


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--nodes", type=int, action="append", help="of the decisions alone; may be given again"
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
    told = parser.parse_args()

    def say(line: str) -> None:
        print(line, file=sys.stderr if told.json else sys.stdout, flush=True)

    rows: list[Any] = []
    if told.real:
        rows.append(
            real(
                told.real_nodes,
                told.rate,
                told.routers,
                told.seconds,
                told.yank_share,
                told.kill_every,
                say,
            )
        )
    else:
        for nodes in told.nodes or (30, 130):
            rate = nodes * 33.0 if nodes <= 1_000 else 20_000.0
            writes = HotKeySettings(Fill.WRITES, max_copies=max(16, nodes // 2))
            if nodes <= 1_000:
                rows.append(flash(nodes, rate, None, say, cool=False))
                rows.append(flash(nodes, rate, replace(writes, fill=Fill.READS), say, cool=False))
            rows.append(flash(nodes, rate, writes, say, cool=nodes <= 1_000))
        rows.append(cost(say))
        if told.yanks:
            rows += [flicker(say), yanks(told.yanks, say)]
            rows.append(
                yanks(20, lambda line: say(f"without invalidations arriving: {line}"), invalidations=False)
            )
    if told.json:
        print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
