"""The weight factor of a server by its load reports, with one router and with many."""

from __future__ import annotations

import pytest

from benchmarks.hot_world import World
from saltport.decisions import views
from saltport.decisions.health import Node
from saltport.decisions.limits import PROMPT_AIM_SHARE
from saltport.decisions.weight_adjustment import (
    MIN_WEIGHT_FACTOR,
    SETTLING_TIME_NS,
    WeightAdjustment,
    keeps_slot,
)
from tests.decisions.helpers import MS, S, fleet, settings

AIM = 300 * MS
FIELDS = ("latency_ms", "queue")
SLOTS = 8192


def nodes(number: int) -> list[Node]:
    return [Node(entry, False) for entry in fleet(number)]


def report_times(
    adjustment: WeightAdjustment, fleet_nodes: list[Node], times: list[float], seconds: int, begin: int = 0
) -> int:
    """Let each node report its time in ms about once a second, after the last change has settled."""
    now = begin
    for _ in range(seconds):
        now += SETTLING_TIME_NS + MS
        for node, time in zip(fleet_nodes, times, strict=True):
            adjustment.learn(node, (time, 0.0), AIM, now, now)
    return now


def test_server_that_reports_more_time_than_the_others_keeps_less_and_gets_it_back() -> None:
    adjustment, fleet_nodes = WeightAdjustment(settings(load_fields=FIELDS)), nodes(10)
    now = report_times(adjustment, fleet_nodes, [600.0, *[60.0] * 9], 8)
    assert fleet_nodes[0].weight_factor < 0.6
    assert [node.weight_factor for node in fleet_nodes[1:]] == [1.0] * 9
    report_times(adjustment, fleet_nodes, [60.0] * 10, 10, now)
    assert fleet_nodes[0].weight_factor == 1.0


def test_all_slow_at_once_is_load_and_no_servers_own() -> None:
    adjustment, fleet_nodes = WeightAdjustment(settings(load_fields=FIELDS)), nodes(10)
    report_times(adjustment, fleet_nodes, [900.0] * 10, 60)
    assert min(node.weight_factor for node in fleet_nodes) > 0.99


def test_prompt_server_keeps_its_reads_however_fast_the_others_are() -> None:
    adjustment, fleet_nodes = WeightAdjustment(settings(load_fields=FIELDS)), nodes(10)
    report_times(adjustment, fleet_nodes, [PROMPT_AIM_SHARE * AIM / MS - 1, *[2.0] * 9], 60)
    assert fleet_nodes[0].weight_factor == 1.0


def test_slow_server_keeps_the_least_share_of_reads() -> None:
    adjustment, fleet_nodes = WeightAdjustment(settings(load_fields=FIELDS)), nodes(10)
    report_times(adjustment, fleet_nodes, [60_000.0, *[60.0] * 9], 200)
    assert fleet_nodes[0].weight_factor == MIN_WEIGHT_FACTOR
    kept_slots = sum(keeps_slot(fleet_nodes[0], slot) for slot in range(SLOTS))
    assert MIN_WEIGHT_FACTOR * SLOTS * 0.7 < kept_slots < MIN_WEIGHT_FACTOR * SLOTS * 1.4


def test_attempts_in_flight_at_an_adjustment_are_ignored() -> None:
    adjustment, fleet_nodes = WeightAdjustment(settings(load_fields=FIELDS)), nodes(2)
    report_times(adjustment, fleet_nodes, [60.0, 60.0], 40)
    adjustment.learn(fleet_nodes[0], (600.0, 0.0), AIM, 50 * S, 50 * S)
    first = fleet_nodes[0].weight_factor
    for late in range(50):
        adjustment.learn(fleet_nodes[0], (600.0, 0.0), AIM, 50 * S, 50 * S + late * MS)
    assert fleet_nodes[0].weight_factor == first < 1.0


@pytest.mark.parametrize("fields", [(), ("queue",), ("inflight", "util")])
def test_reports_without_a_time_change_nothing(fields: tuple[str, ...]) -> None:
    adjustment, fleet_nodes = WeightAdjustment(settings(load_fields=fields)), nodes(2)
    report_times(adjustment, fleet_nodes, [9_000.0, 1.0], 20)
    assert fleet_nodes[0].weight_factor == 1.0


def test_routers_leave_out_the_same_reads_whatever_else_the_server_holds() -> None:
    one, other = nodes(1)[0], nodes(1)[0]
    one.weight_factor, other.weight_factor = 0.6, 0.5
    slots_of_one = {slot for slot in range(SLOTS) if keeps_slot(one, slot)}
    slots_of_other = {slot for slot in range(SLOTS) if keeps_slot(other, slot)}
    assert slots_of_other < slots_of_one
    assert 0.55 * SLOTS < len(slots_of_one) < 0.65 * SLOTS


@pytest.mark.parametrize("routers", [1, 4, 40])
def test_routers_together_send_a_slow_server_no_more_than_it_can_do(routers: int) -> None:
    """Ten servers at half of their capacity; an even share would be 1.5 times what the slow one can serve."""
    work = 50 * MS
    world = World(
        10, None, 11, routers, work=work, spread_work=0.3, stored_prefix="k", reports=True, queue_length=5
    )
    slow, node = next(iter(world.nodes.items()))
    node.slow = 3.0

    def keys() -> tuple[str, bool]:
        return f"k{world.rng.randrange(5_000)}", False

    rate = 0.5 * 10 * S / work
    world.run_load(rate, keys, 45)
    world.sent.clear()
    world.run_load(rate, keys, 45)
    assert world.sent[slow] / 45 <= S / (work * node.slow)
    assert world.in_time > 0.85 * world.first_attempts


def test_weight_factor_is_shown_under_its_old_name_too() -> None:
    node = nodes(1)[0]
    node.weight_factor = 0.5
    shown = views.limit(node)
    assert shown["weight_factor"] == shown["portion"] == 0.5
