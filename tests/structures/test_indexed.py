"""The set that can be drawn from, against a plain set."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from saltport.structures.indexed import IndexedSet


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 12))))
def test_it_holds_what_a_set_holds(steps: list[tuple[bool, int]]) -> None:
    mine, plain = IndexedSet[int](), set[int]()
    for adds, member in steps:
        (mine.add if adds else mine.discard)(member)
        (plain.add if adds else plain.discard)(member)
        assert set(mine) == plain
        assert len(mine) == len(plain)
        assert all((number in mine) == (number in plain) for number in range(13))


def test_draws_are_even_and_two_are_two() -> None:
    rng, members = random.Random(1), IndexedSet(range(8))
    members.discard(3)
    seen = Counter(members.draw(rng) for _ in range(7_000))
    assert set(seen) == set(range(8)) - {3}
    assert min(seen.values()) > 800
    pairs = [members.two(rng) for _ in range(2_000)]
    assert all(first != second for first, second in pairs)
    assert {member for pair in pairs for member in pair} == set(seen)
    assert IndexedSet([5]).two(rng) == (5, 5)
