"""Placement: balance, minimal moves, the cold ramp, weights."""

from __future__ import annotations

import itertools
from dataclasses import replace

from saltport.decisions.interface import Server
from saltport.decisions.logic import DEPTH, SLOTS, SlotTable
from tests.decisions.helpers import S, fleet, settings

COLD = {"cold_share": 0.25, "cold_time": 10 * S}


def table_of(servers: tuple[Server, ...], **changes: object) -> SlotTable:
    table = SlotTable(settings(**changes))
    table.update(list(servers), [])
    return table


def holders(table: SlotTable, now: int = 0, slots: int = 2000) -> list[str]:
    return [table.rank(slot, now)[0].entry.id for slot in range(slots)]


def test_balance_within_a_fifth_of_the_mean() -> None:
    held = holders(table_of(fleet(10)), slots=SLOTS)
    counts = [held.count(server.id) for server in fleet(10)]
    assert sum(counts) == SLOTS
    assert max(counts) < 1.2 * SLOTS / 10
    assert min(counts) > 0.8 * SLOTS / 10


def test_every_table_is_the_same_whatever_the_order_of_arrival() -> None:
    other = table_of(tuple(reversed(fleet(10))))
    assert holders(table_of(fleet(10))) == holders(other)


def test_join_and_leave_move_only_slots_of_the_server_concerned() -> None:
    table = table_of(fleet(10))
    before = holders(table)
    newcomer = Server("10.9.9.9:80")
    table.update([newcomer], [])
    joined = holders(table)
    moved = [slot for slot, pair in enumerate(zip(before, joined, strict=True)) if pair[0] != pair[1]]
    assert moved
    assert all(joined[slot] == newcomer.id for slot in moved)
    table.update([], [newcomer.id])
    assert holders(table) == before


def test_mass_change_gives_the_same_ranking_as_a_fresh_table() -> None:
    table = table_of(fleet(30))
    holders(table)
    table.update([], [server.id for server in fleet(30)[10:]])
    assert holders(table) == holders(table_of(fleet(10)))


def test_remembered_ranking_equals_a_fresh_one_after_small_changes() -> None:
    table = table_of(fleet(12))
    holders(table)
    table.update([Server("10.9.9.9:80")], [fleet(12)[3].id])
    fresh = table_of((*fleet(12)[:3], *fleet(12)[4:], Server("10.9.9.9:80")))
    for slot in range(300):
        remembered = [node.entry.id for node in table.rank(slot, 0)]
        assert remembered == [node.entry.id for node in fresh.rank(slot, 0)]
        assert len(remembered) >= DEPTH


def test_cold_ramp_starts_at_the_cold_share_and_rises_monotonically() -> None:
    cold = Server("10.9.9.9:80", started=100 * S)
    table = table_of((*fleet(9), cold), **COLD)
    owned = [
        {slot for slot, holder in enumerate(holders(table, now)) if holder == cold.id}
        for now in (100 * S, 103 * S, 106 * S, 110 * S)
    ]
    assert all(early < late for early, late in itertools.pairwise(owned))
    assert 0.015 < len(owned[0]) / 2000 < 0.04  # about a quarter of the full share of a tenth
    assert 0.08 < len(owned[-1]) / 2000 < 0.12
    warm = holders(table_of(fleet(9)))
    at_start = holders(table, 100 * S)
    assert all(h == w for h, w in zip(at_start, warm, strict=True) if h != cold.id)


def test_whole_fleet_cold_keeps_its_placement() -> None:
    restarted = tuple(replace(server, started=50 * S) for server in fleet(12))
    assert holders(table_of(restarted, **COLD), 52 * S) == holders(table_of(fleet(12)))


def test_list_weights_count_only_where_they_state_sizes() -> None:
    servers = tuple(Server(f"s{i}", weight=3.0 if i == 0 else 1.0) for i in range(10))
    sized = holders(table_of(servers, weighted=True), slots=SLOTS).count("s0")
    equal = holders(table_of(servers), slots=SLOTS).count("s0")
    assert 0.2 < sized / SLOTS < 0.3  # 3 of 12
    assert 0.08 < equal / SLOTS < 0.12


def test_start_that_lies_ahead_of_the_clock_counts_as_now() -> None:
    table = SlotTable(settings(cold_share=0.5))
    table.update([Server("s1", started=5)], [])
    assert table.warmth(table.nodes["s1"], 4) == 1.0
