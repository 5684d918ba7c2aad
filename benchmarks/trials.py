"""Measures the cost of trials of faulty servers: `python -m benchmarks.trials [--owners]`.

Twelve routers run with stand-ins; some nodes spoil every answer for a while and then recover. The nodes'
ledgers give the attempts at faulty nodes between the detection and the end of the fault, and the seconds from
then until these nodes get half of an even share. `--kill` kills the owner of one node's trials during the
fault.
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

ROUTERS, NODES, BAD_NODES = 12, 8, 2
RATE_PER_S, FAULT_S = 240.0, 40.0
DETECTION_S = 5.0  # time after which routers have detected the fault
RECOVERY_S = 30.0
INTERVAL_S = 0.5


async def measure(nemesis: Nemesis, kill_owner: bool) -> dict[str, float]:
    """Run the measurement and return the counts."""
    clock, stop = time.monotonic, asyncio.Event()
    async with nemesis:
        await nemesis.wait_until_agreed(60)
        await asyncio.sleep(12)
        plan = LoadPlan((Step(0.0, RATE_PER_S),), 3_600.0, seed=nemesis.seed, keys=400, zipf=0.6)
        load = asyncio.get_running_loop().create_task(run_load(nemesis.harness, plan, stop=stop))
        await asyncio.sleep(8)
        nodes = sorted(nemesis.harness.addresses["nodes"])[:BAD_NODES]
        call, fault_began = nemesis.harness.control.call, clock()
        for node in nodes:
            await call("strike", kind="spoil", target=node, figures={"share": 1.0})
        await asyncio.sleep(FAULT_S / 2)
        holders = {
            piece: name for name, state in nemesis.owner_reports.items() for piece in state.get("holds", {})
        }
        if kill_owner and (owner := holders.get(f"probe/{nodes[0]}")):
            await nemesis.kill(owner)
            await nemesis.start(owner)
        await asyncio.sleep(max(fault_began + FAULT_S - clock(), 0))
        for node in nodes:
            await call("mend", target=node)
        fault_ended = clock()
        await asyncio.sleep(RECOVERY_S)
        stop.set()
        await load
    records = [record for record in nemesis.harness.fleet_records() if record["kind"] == "attempt"]
    attempts_at_bad = [record["t"] / 1e9 for record in records if record["node"] in nodes]
    attempts_after = [
        at for record in records if fault_ended <= (at := record["t"] / 1e9) < fault_ended + RECOVERY_S
    ]
    half_share = len(attempts_after) / RECOVERY_S / NODES * INTERVAL_S * BAD_NODES / 2
    attempts_by_interval = Counter(
        int((at - fault_ended) // INTERVAL_S) for at in attempts_at_bad if at >= fault_ended
    )
    recovered_after = (
        interval + 1
        for interval in range(int(RECOVERY_S / INTERVAL_S))
        if attempts_by_interval[interval] >= half_share
    )
    return {
        "attempts_at_bad": sum(fault_began + DETECTION_S <= at < fault_ended for at in attempts_at_bad),
        "seconds_ill": FAULT_S - DETECTION_S,
        "back_after_s": next(recovered_after, RECOVERY_S / INTERVAL_S) * INTERVAL_S,
    }


@click.command()
@click.option("--owners", is_flag=True, help="Let one owner run the trials of each server.")
@click.option("--kill", is_flag=True, help="Kill an owner during the fault.")
@click.option("--seed", default=1, show_default=True)
def main(owners: bool, kill: bool, seed: int) -> None:
    """Run the benchmark from the command line."""
    with tempfile.TemporaryDirectory(prefix="saltport-trials-") as folder:
        nemesis = Nemesis(Path(folder), ROUTERS, seed, NODES, voters=3 if owners else 0, pieces=())
        results = uvloop.run(measure(nemesis, kill))
    click.echo(f"{'owners' if owners else 'each for itself'}, seed {seed}: {results}")


if __name__ == "__main__":
    main()
