"""Overload of a simulated fleet near its capacity: the effects must stay limited to their cause."""

from __future__ import annotations

import pytest

from benchmarks.hot_world import MS, S, World

NODES, WORK, KEYS = 12, 50 * MS, 600
CAPACITY = NODES * S / WORK


def world(routers: int, warm: bool = True) -> World:
    return World(NODES, None, 1, routers, work=WORK, spread_work=0.3, stored_prefix="k" if warm else "")


def play(over: World, load: float, seconds: float) -> float:
    """Apply a steady load; return the share of first tries answered in time."""
    over.in_time = over.first_attempts = 0
    over.run_load(load * CAPACITY, lambda: (f"k{over.rng.randrange(KEYS)}", False), seconds)
    return over.in_time / over.first_attempts


def test_two_answers_a_second_of_each_node_are_enough() -> None:
    """24 routers at half of the fleet's capacity: each sends five reads per second to a node."""
    over = world(routers=24)
    play(over, 0.5, 3)
    assert play(over, 0.5, 8) >= 0.97


def test_limit_learnt_when_idle_does_not_refuse_a_burst() -> None:
    over = world(routers=2)
    play(over, 0.05, 5)
    over.outcomes.clear()
    play(over, 1.0, 0.3)
    over.run(over.now + S)
    assert over.outcomes["refused"] == 0


def test_flush_of_a_third_of_all_copies_is_made_good() -> None:
    over = world(routers=2, warm=False)
    for number in range(KEYS):
        for node in over.nodes.values():
            node.stored[f"k{number}"] = 0, 0
    play(over, 0.5, 3)
    for node in over.nodes.values():
        for key in [key for key in node.stored if over.rng.random() < 1 / 3]:
            del node.stored[key]
    play(over, 0.5, 6)
    assert play(over, 0.5, 4) >= 0.95
    assert over.fetches.total() <= 2 * KEYS


@pytest.mark.parametrize("unequal", [False, True])
def test_router_with_little_of_the_traffic_gets_its_part(unequal: bool) -> None:
    """One router of four has four fifths of the load; the clients of the others must not suffer."""
    over = world(routers=4)
    draw = over.rng.randrange
    if unequal:
        over.choose_router = lambda: 0 if over.rng.random() < 0.8 else 1 + draw(3)
    play(over, 0.75, 3)
    over.counts.clear()
    play(over, 0.75, 10)
    over.run(over.now + S)
    parts = [over.counts[n]["served"] / over.counts[n]["asked"] for n in range(4)]
    assert min(parts) >= 0.85, parts


def test_hot_caller_at_one_router_is_turned_away_there() -> None:
    """One router of four gets the load of the whole fleet's capacity, the others together a third of that."""
    over = world(routers=4)
    play(over, 0.3, 3)
    over.choose_router = lambda: 0 if over.rng.random() < 0.75 else 1 + over.rng.randrange(3)
    play(over, 1.3, 2)
    over.counts.clear()
    play(over, 1.3, 8)
    refused = [over.counts[n]["refused"] / over.counts[n]["asked"] for n in range(4)]
    assert refused[0] > max(refused[1:]), refused
