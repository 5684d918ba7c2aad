"""What trials of bad servers cost a whole fleet: `python -m benchmarks.trials [--owners]`.

Twelve routers and stand-ins; some nodes spoil every answer for a while and are well again. Counted at the
nodes: attempts at bad nodes once they were found out, until they were well; and seconds from then until they
got half of an even share again. `--kill` ends the owner of one node's trials in the midst of it.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path
from typing import Any

import click
import uvloop

from saltport.harness import run_load
from saltport.load.plan import LoadPlan, Step
from saltport.nemesis.runner import Nemesis
from saltport.standins.ledger import read_ledger

FOUND_S = 5.0  # after which routers have found out
AFTER_S = 30.0
STEP_S = 0.5


async def measure(nemesis: Nemesis, bad: int, ill_s: float, rate: float, kill: bool) -> dict[str, Any]:
    """Play it; returns the counts."""
    marks: dict[str, float] = {}
    async with nemesis:
        await nemesis.until_agreed(60)
        await asyncio.sleep(12)
        clock = asyncio.get_running_loop().time
        stop = asyncio.Event()
        plan = LoadPlan((Step(0.0, rate),), 3_600.0, seed=nemesis.seed, keys=400, zipf=0.6)
        load = asyncio.get_running_loop().create_task(run_load(nemesis.harness, plan, stop=stop))
        await asyncio.sleep(8)
        nodes = sorted(nemesis.harness.addresses["nodes"])[:bad]
        marks["struck"] = clock()
        for node in nodes:
            await nemesis.harness.control.call("strike", kind="spoil", target=node, figures={"share": 1.0})
        await asyncio.sleep(ill_s / 2)
        if kill:
            owner = next(
                (name for name, told in nemesis.told.items() if f"probe/{nodes[0]}" in told.get("holds", {})),
                "",
            )
            if owner:
                await nemesis.kill(owner)
                await nemesis.start(owner)
        await asyncio.sleep(max(marks["struck"] + ill_s - clock(), 0))
        for node in nodes:
            await nemesis.harness.control.call("mend", target=node)
        marks["mended"] = clock()
        await asyncio.sleep(AFTER_S)
        stop.set()
        await load
    attempts = [
        (record["t"] / 1e9, record["node"])
        for record in read_ledger(nemesis.folder / "fleet.jsonl")
        if record["kind"] == "attempt"
    ]
    found, mended = marks["struck"] + FOUND_S, marks["mended"]
    at_bad = sum(node in nodes and found <= at < mended for at, node in attempts)
    recent = [(at, node) for at, node in attempts if mended <= at < mended + AFTER_S]
    share = len(recent) / AFTER_S / nemesis.nodes * STEP_S
    back = AFTER_S
    for step in range(int(AFTER_S / STEP_S)):
        begun = mended + step * STEP_S
        seen = sum(node in nodes and begun <= at < begun + STEP_S for at, node in recent)
        if seen >= share * bad / 2:
            back = (step + 1) * STEP_S
            break
    return {"attempts_at_bad": at_bad, "seconds_ill": ill_s - FOUND_S, "back_after_s": back}


@click.command()
@click.option("--owners", is_flag=True, help="Trials by one owner each.")
@click.option("--kill", is_flag=True, help="End an owner in the midst of it.")
@click.option("--routers", default=12, show_default=True)
@click.option("--nodes", default=8, show_default=True)
@click.option("--bad", default=2, show_default=True)
@click.option("--ill", default=40.0, show_default=True)
@click.option("--rate", default=240.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(
    owners: bool, kill: bool, routers: int, nodes: int, bad: int, ill: float, rate: float, seed: int
) -> None:
    """Measure."""
    with tempfile.TemporaryDirectory(prefix="saltport-trials-") as folder:
        nemesis = Nemesis(Path(folder), routers, seed, nodes, voters=3 if owners else 0, pieces=())
        told = uvloop.run(measure(nemesis, bad, ill, rate, kill))
    click.echo(f"{'owners' if owners else 'each for itself'}, seed {seed}: {told}")


if __name__ == "__main__":
    main()
