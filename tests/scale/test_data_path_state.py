"""Data-path state at fleet size: lists applied in steps, bytes of a watch, and shares of a tenant's limit."""

from __future__ import annotations

import asyncio
import math
import random

import pytest

from benchmarks.lists import server_entry
from benchmarks.scale.allowance import Scenario, empty_window_admissions_per_s, simulate
from benchmarks.scale.slot_table import (
    ListReceiver,
    fit_figure,
    fleet_watch_bytes,
    list_body,
    measure_rows,
    wire_bytes,
)
from saltport.decisions import Tenant
from saltport.decisions.interface import NS_PER_S
from saltport.decisions.suppression import Suppressor
from saltport.membership.steps import MAX_UNSPLIT_ENTRIES, STEP_ENTRIES


@pytest.mark.parametrize("servers", [25, 400, 680, 1_600])
def test_a_long_list_is_applied_in_steps_and_a_restart_in_one(servers: int) -> None:
    async def apply_lists() -> None:
        receiver = ListReceiver(asyncio.get_running_loop())
        update = receiver.apply(list_body([server_entry(number) for number in range(servers)], is_full=True))
        if servers > MAX_UNSPLIT_ENTRIES:
            assert update.steps >= 2 * (servers // STEP_ENTRIES)
        else:
            assert update.steps == 1
        assert (
            receiver.apply(list_body([{**server_entry(0), "lifecycle": "draining"}], is_full=False)).steps
            == 1
        )

    asyncio.run(apply_lists())


def test_memory_of_rankings_does_not_grow_with_the_fleet() -> None:
    few, many = (measure_rows(servers, slots=64, vectors=False) for servers in (100, 400))
    assert many.rows_bytes <= 1.5 * few.rows_bytes
    assert many.table_bytes > 2 * few.table_bytes


def test_bytes_of_a_change_are_constant_and_those_of_a_full_list_grow() -> None:
    change = wire_bytes(list_body([server_entry(0)], is_full=False))
    full_lists = [
        wire_bytes(list_body([server_entry(number) for number in range(servers)], is_full=True))
        for servers in (25, 680)
    ]
    assert change < 1_000
    assert full_lists[1] > 15 * full_lists[0]
    bytes_by_figure = fleet_watch_bytes(680)
    assert bytes_by_figure["whole_lists_b_per_s_router"] > 100 * bytes_by_figure["changes_b_per_s_router"]


def test_the_fit_finds_a_line() -> None:
    line = fit_figure([{"servers": size, "bytes": 7 + 3 * size} for size in (25, 100, 400, 1_600)], "bytes")
    assert line == pytest.approx({"base": 7, "slope": 3, "residual": 0}, abs=1e-6)


def test_one_suppressor_enforces_the_full_limit() -> None:
    result = simulate(Scenario(limit_per_s=80.0, demand=2.0, sharers=1), warm_s=10, measured_s=10)
    assert result.admitted_of_limit <= 1.1
    assert result.refused_share > 0.3


def test_rarely_used_routers_admit_fetches_into_empty_windows_whatever_the_limit() -> None:
    sharers, demand = 400, 20.0
    result = simulate(Scenario(limit_per_s=1.0, demand=demand, sharers=sharers), warm_s=40, measured_s=40)
    expected_minimum = empty_window_admissions_per_s(demand, 1.0, sharers)
    assert expected_minimum == pytest.approx(demand / math.e)  # one fetch per window and router, on average
    assert result.admitted_per_s >= 0.85 * expected_minimum
    assert result.admitted_of_limit > 5  # a known limitation, see docs/CAPACITY-data-path.md


def test_demand_at_a_few_routers_gets_only_their_share() -> None:
    result = simulate(
        Scenario(limit_per_s=800.0, demand=1.0, sharers=40, spread="tenth"), warm_s=10, measured_s=10
    )
    assert result.admitted_of_limit <= 0.15


def test_often_used_routers_stay_under_the_limit() -> None:
    result = simulate(Scenario(limit_per_s=4.0, demand=100.0, sharers=400), warm_s=40, measured_s=40)
    assert 0 < result.admitted_of_limit <= 1.1


def test_a_fetch_into_an_empty_window_is_admitted_and_the_next_is_limited_to_the_share() -> None:
    suppressor = Suppressor(Tenant("t", 1.0, 8.0), 1_600, random.Random(1))
    assert suppressor.admit(0)
    assert not any(suppressor.admit(second * NS_PER_S) for second in range(1, 20))
    assert suppressor.admit(60 * NS_PER_S)


def test_the_same_seed_gives_the_same_result() -> None:
    scenario = Scenario(limit_per_s=40.0, demand=1.0, sharers=10, spread="zipf")
    assert simulate(scenario, 3, 5, 5) == simulate(scenario, 3, 5, 5)
