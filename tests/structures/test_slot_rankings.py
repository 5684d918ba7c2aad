"""Rankings that catch up with changes are those of a plain sort over all holders, whatever came before."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from saltport.structures.rendezvous import score_of
from saltport.structures.slot_rankings import SlotRankings

SHOWN, KEPT = 4, 6


@dataclass(unsafe_hash=True)
class Holder:
    seed: int
    weight: float = 1.0


def plain(slot: int, holders: list[Holder], count: int) -> list[Holder]:
    return sorted(holders, key=lambda holder: -score_of(slot, holder))[:count]


@settings(max_examples=60, deadline=None)
@given(
    steps=st.lists(st.tuples(st.booleans(), st.integers(0, 40), st.integers(0, 5)), max_size=120),
    weights=st.lists(st.sampled_from([0.5, 1.0, 3.0]), min_size=41, max_size=41),
)
def test_best_and_scored_are_those_of_a_plain_sort(
    steps: list[tuple[bool, int, int]], weights: list[float]
) -> None:
    rankings = SlotRankings[Holder](SHOWN, KEPT)
    held: dict[int, Holder] = {}
    for come, number, slot in steps:
        if come and number not in held:
            held[number] = Holder(number * 0x9E3779B97F4A7C15 % 2**64, weights[number])
            rankings.add(held[number])
        elif not come and number in held:
            rankings.remove(held.pop(number))
        everyone = list(held.values())
        assert rankings.best(slot) == plain(slot, everyone, SHOWN)
        scored = rankings.scored(slot, 2 * SHOWN)
        assert [holder for _, holder in scored] == plain(slot, everyone, 2 * SHOWN)
        assert [score for score, _ in scored] == [score_of(slot, holder) for _, holder in scored]


def test_a_row_that_fell_far_behind_is_ranked_anew() -> None:
    rankings = SlotRankings[Holder](SHOWN, KEPT)
    holders = [Holder(number * 0x9E3779B97F4A7C15 % 2**64) for number in range(1_000)]
    for holder in holders[:10]:
        rankings.add(holder)
    assert rankings.best(7) == plain(7, holders[:10], SHOWN)
    for holder in holders[10:]:
        rankings.add(holder)
    assert rankings.best(7) == plain(7, holders, SHOWN)
    assert rankings.version == len(holders)
