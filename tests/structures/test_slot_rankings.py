"""SlotRankings returns the same as a sort over all nodes after any sequence of changes."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from saltport.structures.rendezvous import rendezvous_score
from saltport.structures.slot_rankings import SlotRankings

RESULT_SIZE, ROW_SIZE = 4, 6


@dataclass(unsafe_hash=True)
class RankedNode:
    seed: int
    weight: float = 1.0


def sorted_nodes(slot: int, nodes: list[RankedNode], count: int) -> list[RankedNode]:
    return sorted(nodes, key=lambda node: -rendezvous_score(slot, node))[:count]


@settings(max_examples=60, deadline=None)
@given(
    steps=st.lists(st.tuples(st.booleans(), st.integers(0, 40), st.integers(0, 5)), max_size=120),
    weights=st.lists(st.sampled_from([0.5, 1.0, 3.0]), min_size=41, max_size=41),
)
def test_best_and_scored_are_those_of_a_plain_sort(
    steps: list[tuple[bool, int, int]], weights: list[float]
) -> None:
    rankings = SlotRankings[RankedNode](RESULT_SIZE, ROW_SIZE)
    present: dict[int, RankedNode] = {}
    for add, number, slot in steps:
        if add and number not in present:
            present[number] = RankedNode(number * 0x9E3779B97F4A7C15 % 2**64, weights[number])
            rankings.add(present[number])
        elif not add and number in present:
            rankings.remove(present.pop(number))
        nodes = list(present.values())
        assert rankings.best(slot) == sorted_nodes(slot, nodes, RESULT_SIZE)
        scored = rankings.scored(slot, 2 * RESULT_SIZE)
        assert [node for _, node in scored] == sorted_nodes(slot, nodes, 2 * RESULT_SIZE)
        assert [score for score, _ in scored] == [rendezvous_score(slot, node) for _, node in scored]


def test_a_row_that_fell_far_behind_is_ranked_anew() -> None:
    rankings = SlotRankings[RankedNode](RESULT_SIZE, ROW_SIZE)
    nodes = [RankedNode(number * 0x9E3779B97F4A7C15 % 2**64) for number in range(1_000)]
    for node in nodes[:10]:
        rankings.add(node)
    assert rankings.best(7) == sorted_nodes(7, nodes[:10], RESULT_SIZE)
    for node in nodes[10:]:
        rankings.add(node)
    assert rankings.best(7) == sorted_nodes(7, nodes, RESULT_SIZE)
    assert rankings.version == len(nodes)
