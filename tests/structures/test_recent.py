"""RecentCounts agrees with a count over a list of all events."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltport.structures.recent import RecentCounts

S = 1_000_000_000


@given(st.lists(st.tuples(st.integers(0, 5 * S), st.sampled_from("abc")), max_size=100), st.integers(1, 12))
def test_agrees_with_counting_anew(events: list[tuple[int, str]], seconds: int) -> None:
    counts, now, seen = RecentCounts(S, 10), 0, []
    for gap, name in events:
        now += gap
        counts.add((name,), now)
        seen.append((now // S, name))
    oldest = now // S - min(seconds, 10)
    assert counts.last(seconds * S, now) == Counter((name,) for second, name in seen if second > oldest)
    assert counts.total == Counter((name,) for _, name in seen)


def test_keeps_no_more_panes_than_stated() -> None:
    counts = RecentCounts(S, 10)
    for second in range(1_000):
        counts.add(("a",), second * S)
    assert len(counts._panes) == 10
    assert counts.last(60 * S, 999 * S) == {("a",): 10}
    assert counts.last(10 * S, 2_000 * S) == {}


def test_time_that_goes_back_is_taken_for_the_latest() -> None:
    counts = RecentCounts(S, 10)
    counts.add(("a",), 20 * S)
    counts.add(("a",), 3 * S)
    assert counts.last(2 * S, 20 * S) == {("a",): 2}


def test_invalid_pane_length_is_rejected() -> None:
    with pytest.raises(ValueError, match="at least 1"):
        RecentCounts(0)
