"""What a zone's loss costs, beside each router alone and Envoy's rule, in virtual time.

    python -m benchmarks.zones FORM FAULT [--routers 12] [--seed 1] [--rate 1500] [--plot]

FORM: plan, alone, envoy, today. FAULT: calm, lost, gone, cut, half, slow, flap, liar, crowd, two.
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
KEYS = 3_000


def strike(world: ZonesWorld, fault: str) -> None:
    """Begin a fault; the zone is the second, which has no origin of its own and no region to itself."""
    mine = [name for name, zone in world.zone_of_node.items() if zone == 1]
    match fault:
        case "lost" | "gone":
            world.lose_zone(1, routers=fault == "gone")
        case "two":
            world.lose_zone(1, routers=False)
            world.lose_zone(2, routers=False)
        case "cut":
            world.paths |= {(0, 1), (1, 0)}
        case "half":
            for name in mine[::2]:
                world.nodes[name].cut = True
        case "slow":
            for name in mine:
                world.nodes[name].slow = 4.0
        case "liar":
            world.parted_router(1)
        case "crowd":
            world.weights = (0.05, 0.9, 0.05)
        case "flap":
            for step in range(0, FAULT_S, 6):
                world.at(step * S, lambda: world.lose_zone(1, routers=False))
                world.at((step + 3) * S, lambda: world.bring_back(1))


def mend(world: ZonesWorld, fault: str) -> None:
    """End it."""
    world.paths.clear()
    if fault in ("lost", "gone", "two", "flap"):
        for zone in (1, 2) if fault == "two" else (1,):
            world.bring_back(zone)
    for node in world.nodes.values():
        node.cut = False
        node.slow = 1.0 if fault == "slow" else node.slow
    world.liar = -1
    world.weights = (1, 1, 1)


def play(
    form: str, fault: str, routers: int, nodes: int, seed: int, rate: float, told: bool = True
) -> ZonesWorld:
    """One fault, from calm to calm; `told`: whether the configuration names capacities."""
    world = ZonesWorld(form, routers, nodes, seed, told)
    rng, weights = random.Random(seed), list(accumulate(1 / (rank + 1) for rank in range(KEYS)))

    def keys() -> tuple[str]:
        return (f"k{bisect(weights, rng.random() * weights[-1])}",)

    world.play(rate, keys, BEFORE_S)
    if fault != "calm":
        strike(world, fault)
    world.play(rate, keys, FAULT_S)
    mend(world, fault)
    world.play(rate, keys, AFTER_S)
    return world


def figures(world: ZonesWorld) -> dict[str, float]:
    """Shares of the reads asked that were served in time, and what was borne for it."""
    begun = 1 + BEFORE_S
    ended = begun + FAULT_S

    def share(since: int, until: int) -> float:
        held = [world.seconds[second] for second in range(since, until) if second in world.seconds]
        return sum(c["in time"] for c in held) / max(sum(c["asked"] for c in held), 1)

    def worst(since: int, until: int) -> float:
        return min(share(second, second + 1) for second in range(since, until))

    faulty = range(begun, ended)
    sent = [world.seconds[second] for second in range(begun - 10, begun)]
    over = [world.busiest_share(second) > 1.1 for second in range(begun + 1, ended + AFTER_S - 1)]
    return {
        "before": share(begun - 10, begun),
        "first 3 s": share(begun, begun + 3),
        "then": share(begun + 3, ended),
        "worst second then": worst(begun + 3, ended),
        "back": share(ended, ended + 10),
        "worst second back": worst(ended, ended + AFTER_S - 1),
        "near before": sum(c["near"] for c in sent) / max(sum(c["sent"] for c in sent), 1),
        "busiest node": max(world.busiest_share(second) for second in faulty),
        "seconds over capacity": sum(over),
        "origin, most": max(world.seconds[second]["origin"] for second in range(begun, ended + AFTER_S - 1)),
        "refused": sum(world.seconds[second]["refused"] for second in range(begun, ended + AFTER_S - 1)),
        "plans that moved anything": sum(
            at >= begun and why not in REASONS_WITHOUT_MOVES for at, why in world.made
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
@click.option("--plot", is_flag=True, help="Draw reads served in time, second by second.")
def main(
    form: str, fault: str, routers: int, nodes: int, seed: int, rate: float, untold: bool, plot: bool
) -> None:
    """Measure."""
    world = play(form, fault, routers, nodes, seed, rate, not untold)
    told = figures(world)
    click.echo(
        f"{form} {fault} {routers} routers seed {seed}: " + ", ".join(f"{k} {v:.3g}" for k, v in told.items())
    )
    click.echo(", ".join(f"{why} at {at - 1 - BEFORE_S:.1f} s" for at, why in world.made if at > BEFORE_S))
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
