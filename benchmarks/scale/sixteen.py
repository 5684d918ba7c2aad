"""Checks that a router's resource use stays within bounds with sixteen times the cache servers.

    python -m benchmarks.scale.sixteen [--servers 12] [--per-s 260] [--sockets 1024]

The bytes of server lists are not measured here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import click
import uvloop

from benchmarks.scale.connections import Row, measure

SCALE_FACTOR = 16
WARM_UP_S, MEASURED_S = 8.0, 20.0
KB_PER_MB = 1_024


@dataclass(frozen=True, slots=True)
class Bound:
    """Bound on the growth of one figure."""

    name: str
    figure: Callable[[Row], float]
    factor: float
    offset: float = 0.0
    offset_per_thousand_servers: float = 0.0
    """Added for each thousand cache servers."""
    is_minimum: bool = False
    """Whether the bound is a minimum instead of a maximum."""

    def allowed(self, usual: Row, large: Row) -> float:
        """Return the bound at the larger size."""
        return (
            self.factor * self.figure(usual)
            + self.offset
            + self.offset_per_thousand_servers * large.servers / 1_000
        )

    def holds(self, usual: Row, large: Row) -> bool:
        """Whether the figure at the larger size is within the bound."""
        measured, allowed = self.figure(large), self.allowed(usual, large)
        return measured >= allowed if self.is_minimum else measured <= allowed


def connections_made(row: Row) -> float:
    """Return the number of connections made to cache servers, with those of the warm-up."""
    return row.first_handshakes + row.handshakes_per_s * row.seconds


BOUNDS = (
    Bound("CPU seconds, with the start", lambda row: row.cpu_s, 1.4, 0.02, 0.12),
    Bound("peak memory, KB", lambda row: row.peak_memory_kb, 1.5, 8 * KB_PER_MB, 4 * KB_PER_MB),
    Bound("descriptors", lambda row: row.descriptors, 2.0, 40),
    Bound("connections made", connections_made, 2.5, 40),
    Bound("share served", lambda row: row.served / (row.served + row.others), 0.85, is_minimum=True),
)


async def measure_both(
    servers: int, per_s: float, sockets: int, warm_s: float, measured_s: float
) -> tuple[Row, Row]:
    """Measure the same load at the usual and at the larger number of cache servers."""
    usual = await measure(servers, measured_s, per_s, warm_s, sockets)
    return usual, await measure(SCALE_FACTOR * servers, measured_s, per_s, warm_s, sockets)


@click.command()
@click.option("--servers", default=12)
@click.option("--per-s", default=260.0)
@click.option("--sockets", default=1_024)
def main(servers: int, per_s: float, sockets: int) -> None:
    """Print the figures and bounds; the exit status is 1 if a bound does not hold."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        usual, large = runner.run(measure_both(servers, per_s, sockets, WARM_UP_S, MEASURED_S))
    click.echo(f"{per_s:g} reads a second, {servers} -> {SCALE_FACTOR * servers} cache servers")
    for bound in BOUNDS:
        row = f"{bound.name}: {bound.figure(usual):.2f} -> {bound.figure(large):.2f}"
        verdict = "holds" if bound.holds(usual, large) else "BROKEN"
        click.echo(f"{row}, bound {bound.allowed(usual, large):.2f}: {verdict}")
    if not all(bound.holds(usual, large) for bound in BOUNDS):
        raise SystemExit(1)


if __name__ == "__main__":
    main()
