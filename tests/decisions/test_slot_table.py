"""The slot table: balance, minimal moves, slow start and weights."""

from __future__ import annotations

import itertools
import math
import random
from dataclasses import replace
from hashlib import blake2b

import pytest
from hypothesis import given, strategies
from hypothesis import settings as profile

from saltport.decisions.health import Node
from saltport.decisions.interface import Server
from saltport.decisions.table import RANKING_DEPTH, RANKING_LENGTH, STORED_RANKING_LENGTH, SlotTable
from saltport.structures.rendezvous import rendezvous_score
from saltport.structures.slot_rankings import MAX_CHANGES_LOGGED, MAX_ROWS
from tests.decisions.helpers import S, fleet, settings

SLOTS = settings().slots
COLD = {"cold_share": 0.25, "cold_time": 10 * S}


def table_of(servers: tuple[Server, ...], **changes: object) -> SlotTable:
    table = SlotTable(settings(**changes))
    table.update(list(servers), [])
    return table


def holders(table: SlotTable, now: int = 0, slots: int = 2000) -> list[str]:
    return [table.rank(slot, now)[0].entry.id for slot in range(slots)]


def test_balance_within_a_fifth_of_the_mean() -> None:
    present = holders(table_of(fleet(10)), slots=SLOTS)
    counts = [present.count(server.id) for server in fleet(10)]
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
        assert len(remembered) >= RANKING_DEPTH


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
    assert table.slow_start_factor(table.nodes["s1"], 4) == 1.0


def by_the_rule(servers: dict[str, Server], weighted: bool, slot: int) -> list[str]:
    """The reference ranking without caches or vectors: every server's weighted hash, highest first."""

    def score(entry: Server) -> float:
        seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        word = (1 << 64) - 1
        mixed = (seed ^ (slot + 1) * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 & word
        mixed = (mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93 & word
        weight = entry.weight if weighted else 1.0
        return -weight / math.log(((mixed ^ mixed >> 32) + 1) / (word + 2))

    return [entry.id for entry in sorted(servers.values(), key=score, reverse=True)]


@pytest.mark.parametrize("vectors", [False, True])
@pytest.mark.parametrize("weighted", [False, True])
@given(seed=strategies.integers(0, 2**32), size=strategies.sampled_from([0, 1, 7, 20, 40, 130, 300, 700]))
@profile(max_examples=30, deadline=None)
def test_placement_is_that_of_the_rule_over_random_lists(
    vectors: bool, weighted: bool, seed: int, size: int
) -> None:
    rng = random.Random(seed)

    def drawn(number: int) -> Server:
        return Server(f"s{number}", weight=rng.choice([1.0, 1.0, 0.5, 3.0, 0.01]))

    table = SlotTable(settings(weighted=weighted, vectors=vectors))
    present: dict[str, Server] = {}
    slots = [rng.randrange(SLOTS) for _ in range(8)]
    made = 0
    for _ in range(6):
        came = [drawn(made + number) for number in range(rng.choice([0, 1, 3, 60]) if made else size)]
        made += len(came)
        changed = [drawn(int(name[1:])) for name in rng.sample(sorted(present), min(len(present), 2))]
        left = rng.sample(sorted(present), rng.choice([0, 1, min(len(present), 30)]) if present else 0)
        changed = [entry for entry in changed if entry.id not in left]
        ready = [*came, *changed]
        rng.shuffle(ready)
        table.update(ready, left)
        for name in left:
            del present[name]
        present.update({entry.id: entry for entry in ready})
        for slot in rng.sample(slots, 5):  # the others are updated later, over several changes
            ranking = [node.entry.id for node in table.rank(slot, 0)]
            assert ranking == by_the_rule(present, weighted, slot)[: len(ranking)]
            assert len(ranking) == min(RANKING_LENGTH, len(present))
    deep = [node.entry.id for node in table.rank(slots[0], 0, depth=50)]
    assert deep == by_the_rule(present, weighted, slots[0])[: len(deep)]
    assert len(deep) >= min(50, len(present))


def test_cold_weights_ramp_alike_whatever_the_history() -> None:
    servers = tuple(Server(f"s{n}", started=(90 + n % 20) * S if n % 3 == 0 else 0) for n in range(60))
    grown, fresh = table_of(servers[:30], **COLD), table_of(servers, **COLD)
    holders(grown)
    for server in servers[30:]:
        grown.update([server], [])
        grown.rank(7, 0)
    for now in range(90 * S, 130 * S, 4 * S):
        for slot in range(200):
            ranks = [[node.entry.id for node in table.rank(slot, now)] for table in (grown, fresh)]
            assert ranks[0] == ranks[1]


def test_a_change_costs_no_hash_and_a_known_slot_one(monkeypatch: pytest.MonkeyPatch) -> None:
    hashed = []

    def counting(slot: int, node: Node) -> float:
        hashed.append(node.entry.id)
        return rendezvous_score(slot, node)

    monkeypatch.setattr("saltport.structures.slot_rankings.rendezvous_score", counting)
    for size in (130, 2000):
        table = table_of(fleet(size) if size <= 250 else tuple(Server(f"s{n}") for n in range(size)))
        for slot in range(100):
            table.rank(slot, 0)
        hashed.clear()
        table.update([Server("new")], [])
        table.update([], [next(iter(table.nodes))])
        assert hashed == []
        table.rank(5, 0)
        assert hashed == ["new"]
        table.rank(5, 0)
        assert hashed == ["new"]


def test_rows_are_bounded_in_number_and_length() -> None:
    table = SlotTable(settings(slots=1 << 20))
    table.update([Server(f"s{n}") for n in range(4)], [])
    for slot in range(MAX_ROWS + 500):
        table.rank(slot, 0)
    assert len(table._rankings._rows) == MAX_ROWS
    for number in range(4, 500):
        table.update([Server(f"s{number}")], [])
        table.rank(MAX_ROWS, 0)
    assert len(table._rankings._rows[MAX_ROWS].ranked) <= 2 * STORED_RANKING_LENGTH
    assert len(table._rankings._changes) <= MAX_CHANGES_LOGGED


def test_the_same_list_in_another_order_changes_nothing() -> None:
    servers = tuple(Server(f"s{n}") for n in range(500))
    table = table_of(servers)
    before, version = holders(table, slots=50), table.version
    table.update(list(reversed(servers)), [])
    assert (holders(table, slots=50), table.version) == (before, version)


def test_a_server_that_leaves_and_comes_back_at_once_is_where_it_was() -> None:
    servers = fleet(30)
    table = table_of(servers)
    before = holders(table, slots=300)
    for _ in range(40):
        table.update([], [servers[3].id])
        table.update([servers[3]], [])
    assert holders(table, slots=300) == before
