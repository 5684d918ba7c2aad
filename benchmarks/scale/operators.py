"""What operators' calls on the control state cost a router: `python -m benchmarks.scale.operators`.

One router's report of its members (`saltport peers`), and of the pieces of work at a voter (`saltport owners`
holds a row for each), as JSON.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

import click
import orjson

from benchmarks.scale import fit
from benchmarks.scale.hollow import SETTINGS
from saltport.peers.agent import Agent
from saltport.peers.messages import Alive
from saltport.peers.report import report
from saltport.peers.send_queue import Identity
from saltport.peers.settings import NS_PER_S

CALLS = 10


@dataclass(frozen=True, slots=True)
class Call:
    """One call on one router; the loop is held for all of its time."""

    members: int
    cpu_ms: float
    wire_bytes: float


def peers(members: int) -> Call:
    """Of a router that knows so many."""
    me = Identity("r0", 1_000, 0, "z0")
    agent = Agent(me, range(members), SETTINGS, random.Random(1), NS_PER_S)
    for place in range(1, members):
        agent.members.merge(Alive(f"r{place}", 1_000, 0, place, f"z{place % 36}"), NS_PER_S)
    begun = time.process_time()
    for _ in range(CALLS):
        told = orjson.dumps(report(agent, 2 * NS_PER_S))
    return Call(members, (time.process_time() - begun) / CALLS * 1e3, fit.tcp_bytes(len(told)))


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, default=fit.SIZES, show_default=True)
def main(sizes: tuple[int, ...]) -> None:
    """Measure."""
    rows = [fit.apart(peers, size) for size in sizes]
    click.echo(f"peers\n{fit.table(rows)}\n{fit.fits(rows, 'members', ('cpu_ms', 'wire_bytes'))}")


if __name__ == "__main__":
    main()
