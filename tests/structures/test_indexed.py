"""IndexedSet agrees with a plain set, and its samples are uniform."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from saltport.structures.indexed import IndexedSet


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 12))))
def test_it_holds_what_a_set_holds(steps: list[tuple[bool, int]]) -> None:
    indexed, plain = IndexedSet[int](), set[int]()
    for adds, member in steps:
        (indexed.add if adds else indexed.discard)(member)
        (plain.add if adds else plain.discard)(member)
        assert set(indexed) == plain
        assert len(indexed) == len(plain)
        assert all((number in indexed) == (number in plain) for number in range(13))


def test_samples_are_uniform_and_two_are_distinct() -> None:
    rng, members = random.Random(1), IndexedSet(range(8))
    members.discard(3)
    seen = Counter(members.sample(rng) for _ in range(7_000))
    assert set(seen) == set(range(8)) - {3}
    assert min(seen.values()) > 800
    pairs = [members.sample_two(rng) for _ in range(2_000)]
    assert all(first != second for first, second in pairs)
    assert {member for pair in pairs for member in pair} == set(seen)
    assert IndexedSet([5]).sample_two(rng) == (5, 5)
