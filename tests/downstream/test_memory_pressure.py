"""What the kernel counts for a router bounds what its clients may make it keep."""

from __future__ import annotations

import pytest

from saltport.downstream.budget import MIN_TOTAL_BYTES, MemoryBudget, MemoryRequest
from saltport.downstream.memory_pressure import (
    MIN_BUDGET_BYTES,
    MemoryReading,
    Pressure,
    margin_bytes,
    successor_bytes,
    total_budget_bytes,
)
from saltport.wire.resp import MAX_COMMAND_OVERHEAD_BYTES, MAX_VALUE_BYTES

MIB = 1 << 20
LIMIT = 64 * MIB
TOTAL = 8 * MIB


@pytest.mark.parametrize(
    ("used_mib", "pressure"),
    [
        (20, Pressure.NONE),
        (51, Pressure.NONE),
        (53, Pressure.RECLAIM),
        (59, Pressure.RECLAIM),
        (60, Pressure.SHED),
    ],
)
def test_pressure_rises_before_the_limit_is_reached(used_mib: int, pressure: Pressure) -> None:
    assert MemoryReading(LIMIT, used_mib * MIB).pressure is pressure


@pytest.mark.parametrize("limit_mib", [16, 32, 64, 192, 2048])
def test_what_may_be_kept_and_what_is_used_stay_within_the_limit(limit_mib: int) -> None:
    limit = limit_mib * MIB
    for used in range(0, limit, MIB):
        for held in (0, MIB, 5 * MIB):
            reading = MemoryReading(limit, used)
            growth = reading.budget_bytes(held) - held
            assert used + growth <= limit - margin_bytes(limit) or growth <= MIN_BUDGET_BYTES


@pytest.mark.parametrize("limit_mib", [16, 32, 48, 192])
def test_budget_has_room_for_the_longest_command_and_a_fifth_of_the_limit_at_most(limit_mib: int) -> None:
    total = total_budget_bytes(limit_mib * MIB, 23 * MIB)
    assert MemoryBudget(total).can_ever_reserve(MAX_VALUE_BYTES + MAX_COMMAND_OVERHEAD_BYTES)
    assert total <= max(limit_mib * MIB / 5, MIN_TOTAL_BYTES)


def test_two_processes_share_what_is_left() -> None:
    alone, shared = MemoryReading(LIMIT, 40 * MIB), MemoryReading(LIMIT, 40 * MIB, processes=2)
    margin = margin_bytes(LIMIT)
    assert shared.headroom_bytes + margin == (alone.headroom_bytes + margin) // 2


@pytest.mark.parametrize(
    ("limit_mib", "kept_mib"), [(32, 0), (48, 0), (49, 20), (56, 27), (64, 30), (192, 30)]
)
def test_room_is_kept_for_the_next_process_where_two_fit(limit_mib: int, kept_mib: int) -> None:
    """Guards against a process that uses the whole limit when an upgrade starts another one."""
    kept = successor_bytes(limit_mib * MIB, 20 * MIB)
    assert kept // MIB == kept_mib
    alone, before = MemoryReading(LIMIT, 30 * MIB), MemoryReading(LIMIT, 30 * MIB, reserved_bytes=kept)
    assert before.headroom_bytes == alone.headroom_bytes - kept


def test_budget_beyond_its_bound_takes_nothing_new() -> None:
    budget = MemoryBudget(TOTAL)
    budget.count(2 * MIB)
    budget.set_bound(MIB)
    assert (budget.held, budget.exhausted, budget.has_room(1)) == (2 * MIB, True, False)
    assert not budget.reserve(1)
    budget.release_memory(2 * MIB)
    assert budget.has_room(MIB)
    assert not budget.has_room(MIB + 1)


def test_rise_of_the_bound_serves_those_that_wait() -> None:
    """Guards against commands that wait for memory which is there again."""
    budget, served = MemoryBudget(TOTAL), []
    budget.set_bound(MIB)
    budget.request(MemoryRequest(2 * MIB, lambda: served.append(1)))
    budget.set_bound(100 * TOTAL)
    assert served == [1]
    assert budget.held == 2 * MIB
    assert not budget.has_room(TOTAL)
