"""Measures the effect of zone faults in virtual time, for shared plans and for other strategies.

    python -m benchmarks.zones FORM FAULT [--routers 12] [--seed 1] [--rate 1500] [--plot]

FORM is the strategy: plan (shared plans), alone (each router for itself), envoy (Envoy's rule) or today (no
topology).

FAULT affects the second zone: calm (no fault), lost (its nodes are cut off), gone (and its routers end), cut
(no path to the first zone), half (every other node is cut off), slow (its nodes take four times as long),
flap (it is lost and restored in turn, every 3 s), liar (one of its routers reaches no node), crowd (nine
tenths of the clients are in it) or two (the third zone is lost as well).
"""

from __future__ import annotations

import random
from bisect import bisect
from itertools import accumulate

import click

from benchmarks.hot_world import S
from benchmarks.zones_world import ZonesWorld
from saltport.failover.decider import REASONS_WITHOUT_MOVES

FORMS = ("plan", "alone", "envoy", "today")
FAULTS = ("calm", "lost", "gone", "cut", "half", "slow", "flap", "liar", "crowd", "two")
BEFORE_S, FAULT_S, AFTER_S = 25, 25, 40
KEY_COUNT = 3_000


def begin_fault(world: ZonesWorld, fault: str) -> None:
    """Begin a fault in the second zone, which has no origin and shares its region with another zone."""
    zone_nodes = [name for name, zone in world.zone_of_node.items() if zone == 1]
    match fault:
        case "lost" | "gone":
            world.lose_zone(1, routers=fault == "gone")
        case "two":
            world.lose_zone(1, routers=False)
            world.lose_zone(2, routers=False)
        case "cut":
            world.cut_paths |= {(0, 1), (1, 0)}
        case "half":
            for name in zone_nodes[::2]:
                world.nodes[name].cut = True
        case "slow":
            for name in zone_nodes:
                world.nodes[name].slow = 4.0
        case "liar":
            world.disconnect_router(1)
        case "crowd":
            world.weights = (0.05, 0.9, 0.05)
        case "flap":
            for step in range(0, FAULT_S, 6):
                world.schedule(step * S, lambda: world.lose_zone(1, routers=False))
                world.schedule((step + 3) * S, lambda: world.restore_zone(1))


def end_fault(world: ZonesWorld, fault: str) -> None:
    """End a fault."""
    world.cut_paths.clear()
    if fault in ("lost", "gone", "two", "flap"):
        for zone in (1, 2) if fault == "two" else (1,):
            world.restore_zone(zone)
    for node in world.nodes.values():
        node.cut = False
        node.slow = 1.0 if fault == "slow" else node.slow
    world.disconnected_router = -1
    world.weights = (1, 1, 1)


def run_scenario(
    form: str, fault: str, routers: int, nodes: int, seed: int, rate: float, with_capacities: bool = True
) -> ZonesWorld:
    """Run one fault with idle phases before and after it, and return the simulation.

    `with_capacities`: whether the configuration names the capacities of zones.
    """
    world = ZonesWorld(form, routers, nodes, seed, with_capacities)
    rng, weights = random.Random(seed), list(accumulate(1 / (rank + 1) for rank in range(KEY_COUNT)))

    def keys() -> tuple[str]:
        return (f"k{bisect(weights, rng.random() * weights[-1])}",)

    world.run_load(rate, keys, BEFORE_S)
    if fault != "calm":
        begin_fault(world, fault)
    world.run_load(rate, keys, FAULT_S)
    end_fault(world, fault)
    world.run_load(rate, keys, AFTER_S)
    return world


def figures(world: ZonesWorld) -> dict[str, float]:
    """Return the shares of reads served in time in each phase, and the costs of the fault."""
    fault_begins = 1 + BEFORE_S
    fault_ends = fault_begins + FAULT_S

    def share(since: int, until: int) -> float:
        rows = [world.seconds[second] for second in range(since, until) if second in world.seconds]
        return sum(c["in time"] for c in rows) / max(sum(c["asked"] for c in rows), 1)

    def worst(since: int, until: int) -> float:
        return min(share(second, second + 1) for second in range(since, until))

    fault_seconds = range(fault_begins, fault_ends)
    rows_before = [world.seconds[second] for second in range(fault_begins - 10, fault_begins)]
    overloaded = [
        world.busiest_share(second) > 1.1 for second in range(fault_begins + 1, fault_ends + AFTER_S - 1)
    ]
    return {
        "before": share(fault_begins - 10, fault_begins),
        "first 3 s": share(fault_begins, fault_begins + 3),
        "then": share(fault_begins + 3, fault_ends),
        "worst second then": worst(fault_begins + 3, fault_ends),
        "back": share(fault_ends, fault_ends + 10),
        "worst second back": worst(fault_ends, fault_ends + AFTER_S - 1),
        "near before": sum(c["near"] for c in rows_before) / max(sum(c["sent"] for c in rows_before), 1),
        "busiest node": max(world.busiest_share(second) for second in fault_seconds),
        "seconds over capacity": sum(overloaded),
        "origin, most": max(
            world.seconds[second]["origin"] for second in range(fault_begins, fault_ends + AFTER_S - 1)
        ),
        "refused": sum(
            world.seconds[second]["refused"] for second in range(fault_begins, fault_ends + AFTER_S - 1)
        ),
        "plans that moved anything": sum(
            at >= fault_begins and reason not in REASONS_WITHOUT_MOVES for at, reason in world.plans_made
        ),
        "bytes a router a second": world.bytes / len(world.routers) / (world.now / S),
    }


@click.command()
@click.argument("form", type=click.Choice(FORMS))
@click.argument("fault", type=click.Choice(FAULTS))
@click.option("--routers", default=12, show_default=True)
@click.option("--nodes", default=30, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--rate", default=1_500.0, show_default=True, help="Reads a second; each node can do 100.")
@click.option("--untold", is_flag=True, help="The configuration names no capacities.")
@click.option("--plot", is_flag=True, help="Plot the reads served in time for each second.")
def main(
    form: str, fault: str, routers: int, nodes: int, seed: int, rate: float, untold: bool, plot: bool
) -> None:
    """Run the benchmark from the command line."""
    world = run_scenario(form, fault, routers, nodes, seed, rate, not untold)
    results = figures(world)
    click.echo(
        f"{form} {fault} {routers} routers seed {seed}: "
        + ", ".join(f"{name} {value:.3g}" for name, value in results.items())
    )
    click.echo(
        ", ".join(
            f"{reason} at {at - 1 - BEFORE_S:.1f} s" for at, reason in world.plans_made if at > BEFORE_S
        )
    )
    if plot:
        import plotext

        seconds = sorted(world.seconds)[1:-1]
        plotext.plot(seconds, [world.seconds[second]["in time"] for second in seconds])
        plotext.vline(1 + BEFORE_S)
        plotext.vline(1 + BEFORE_S + FAULT_S)
        plotext.title("reads served in time; the fault begins and ends at the lines")
        plotext.plotsize(100, 20)
        click.echo(plotext.build())


if __name__ == "__main__":
    main()
