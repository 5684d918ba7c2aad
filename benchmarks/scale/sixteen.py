"""What a router needs of sixteen times the cache servers: the standing page's table, a verdict on each row.

    python -m benchmarks.scale.sixteen [--servers 12] [--per-s 260] [--sockets 1024]

Bytes of lists are not measured here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import click
import uvloop

from benchmarks.scale.connections import Row, measure

TIMES = 16
WARM_S, MEASURED_S = 8.0, 20.0
KB_PER_MB = 1_024


@dataclass(frozen=True, slots=True)
class Bound:
    """One row of the page's table: how a figure may grow."""

    what: str
    figure: Callable[[Row], float]
    times: float
    plus: float = 0.0
    plus_per_thousand: float = 0.0
    """For each thousand cache servers."""
    is_least: bool = False
    """Whether the figure must not be under the bound, in place of over it."""

    def allowed(self, usual: Row, large: Row) -> float:
        """The bound at the larger size."""
        return self.times * self.figure(usual) + self.plus + self.plus_per_thousand * large.servers / 1_000

    def holds(self, usual: Row, large: Row) -> bool:
        """Whether the larger size is within it."""
        found, allowed = self.figure(large), self.allowed(usual, large)
        return found >= allowed if self.is_least else found <= allowed


def made(row: Row) -> float:
    """Connections made to cache servers, the start among them."""
    return row.first_handshakes + row.handshakes_per_s * row.seconds


BOUNDS = (
    Bound("CPU seconds, with the start", lambda row: row.cpu_s, 1.4, 0.02, 0.12),
    Bound("peak memory, KB", lambda row: row.peak_memory_kb, 1.5, 8 * KB_PER_MB, 4 * KB_PER_MB),
    Bound("descriptors", lambda row: row.descriptors, 2.0, 40),
    Bound("connections made", made, 2.5, 40),
    Bound("share served", lambda row: row.served / (row.served + row.others), 0.85, is_least=True),
)


async def both(servers: int, per_s: float, sockets: int, warm_s: float, measured_s: float) -> tuple[Row, Row]:
    """The same day at the usual size and at the large one."""
    usual = await measure(servers, measured_s, per_s, warm_s, sockets)
    return usual, await measure(TIMES * servers, measured_s, per_s, warm_s, sockets)


@click.command()
@click.option("--servers", default=12)
@click.option("--per-s", default=260.0)
@click.option("--sockets", default=1_024)
def main(servers: int, per_s: float, sockets: int) -> None:
    """Print the table; the status is 1 if a bound does not hold."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        usual, large = runner.run(both(servers, per_s, sockets, WARM_S, MEASURED_S))
    click.echo(f"{per_s:g} reads a second, {servers} -> {TIMES * servers} cache servers")
    for bound in BOUNDS:
        row = f"{bound.what}: {bound.figure(usual):.2f} -> {bound.figure(large):.2f}"
        verdict = "holds" if bound.holds(usual, large) else "BROKEN"
        click.echo(f"{row}, bound {bound.allowed(usual, large):.2f}: {verdict}")
    if not all(bound.holds(usual, large) for bound in BOUNDS):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
