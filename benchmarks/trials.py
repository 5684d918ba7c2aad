"""What trials of bad servers cost a whole fleet: `python -m benchmarks.trials [--owners]`.

Twelve routers and stand-ins; some nodes spoil every answer for a while and are well again. Counted at the
nodes: attempts at bad nodes once they were found out, until they were well; and seconds from then until they
got half of an even share again. `--kill` ends the owner of one node's trials in the midst of it.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from pathlib import Path

import click
import uvloop

from saltport.harness import run_load
from saltport.load.plan import LoadPlan, Step
from saltport.nemesis.runner import Nemesis

ROUTERS, NODES, BAD = 12, 8, 2
RATE, ILL_S = 240.0, 40.0
FOUND_S = 5.0  # after which routers have found out
AFTER_S = 30.0
STEP_S = 0.5


async def measure(nemesis: Nemesis, kill: bool) -> dict[str, float]:
    """Play it; returns the counts."""
    clock, stop = time.monotonic, asyncio.Event()
    async with nemesis:
        await nemesis.wait_until_agreed(60)
        await asyncio.sleep(12)
        plan = LoadPlan((Step(0.0, RATE),), 3_600.0, seed=nemesis.seed, keys=400, zipf=0.6)
        load = asyncio.get_running_loop().create_task(run_load(nemesis.harness, plan, stop=stop))
        await asyncio.sleep(8)
        nodes = sorted(nemesis.harness.addresses["nodes"])[:BAD]
        call, struck = nemesis.harness.control.call, clock()
        for node in nodes:
            await call("strike", kind="spoil", target=node, figures={"share": 1.0})
        await asyncio.sleep(ILL_S / 2)
        held = {
            piece: name for name, told in nemesis.owner_reports.items() for piece in told.get("holds", {})
        }
        if kill and (owner := held.get(f"probe/{nodes[0]}")):
            await nemesis.kill(owner)
            await nemesis.start(owner)
        await asyncio.sleep(max(struck + ILL_S - clock(), 0))
        for node in nodes:
            await call("mend", target=node)
        mended = clock()
        await asyncio.sleep(AFTER_S)
        stop.set()
        await load
    records = [record for record in nemesis.harness.fleet_records() if record["kind"] == "attempt"]
    at_bad = [record["t"] / 1e9 for record in records if record["node"] in nodes]
    after = [at for record in records if mended <= (at := record["t"] / 1e9) < mended + AFTER_S]
    wanted = len(after) / AFTER_S / NODES * STEP_S * BAD / 2
    steps = Counter(int((at - mended) // STEP_S) for at in at_bad if at >= mended)
    back = (step + 1 for step in range(int(AFTER_S / STEP_S)) if steps[step] >= wanted)
    return {
        "attempts_at_bad": sum(struck + FOUND_S <= at < mended for at in at_bad),
        "seconds_ill": ILL_S - FOUND_S,
        "back_after_s": next(back, AFTER_S / STEP_S) * STEP_S,
    }


@click.command()
@click.option("--owners", is_flag=True, help="Trials by one owner each.")
@click.option("--kill", is_flag=True, help="End an owner in the midst of it.")
@click.option("--seed", default=1, show_default=True)
def main(owners: bool, kill: bool, seed: int) -> None:
    """Measure."""
    with tempfile.TemporaryDirectory(prefix="saltport-trials-") as folder:
        nemesis = Nemesis(Path(folder), ROUTERS, seed, NODES, voters=3 if owners else 0, pieces=())
        told = uvloop.run(measure(nemesis, kill))
    click.echo(f"{'owners' if owners else 'each for itself'}, seed {seed}: {told}")


if __name__ == "__main__":
    main()
