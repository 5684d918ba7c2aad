"""Measures the cost of operators' calls for control state: `python -m benchmarks.scale.operators`.

The call is a router's JSON report of its members (`saltport peers`). `saltport owners`, the report of the
pieces of work at a voter, has one row for each piece as well.
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
class CallCost:
    """Cost of one call at one router; it blocks the event loop for its whole duration."""

    members: int
    cpu_ms: float
    wire_bytes: float


def measure_peers_report(members: int) -> CallCost:
    """Measure the report of a router that knows this many members."""
    me = Identity("r0", 1_000, 0, "z0")
    agent = Agent(me, range(members), SETTINGS, random.Random(1), NS_PER_S)
    for place in range(1, members):
        agent.members.merge(Alive(f"r{place}", 1_000, 0, place, f"z{place % 36}"), NS_PER_S)
    started_at = time.process_time()
    for _ in range(CALLS):
        body = orjson.dumps(report(agent, 2 * NS_PER_S))
    return CallCost(members, (time.process_time() - started_at) / CALLS * 1e3, fit.tcp_bytes(len(body)))


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, default=fit.FLEET_SIZES, show_default=True)
def main(sizes: tuple[int, ...]) -> None:
    """Run the measurement from the command line."""
    rows = [fit.run_isolated(measure_peers_report, size) for size in sizes]
    click.echo(
        f"peers\n{fit.format_table(rows)}\n{fit.format_fits(rows, 'members', ('cpu_ms', 'wire_bytes'))}"
    )


if __name__ == "__main__":
    main()
