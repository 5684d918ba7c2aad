"""CallWindow agrees with a plain list of calls."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from saltport.structures.call_window import CallWindow


@given(
    calls=st.lists(st.tuples(st.integers(0, 20), st.booleans()), max_size=60),
    since=st.lists(st.integers(0, 30), max_size=10),
    newer=st.integers(0, 60),
)
def test_counts_are_those_of_a_plain_list(
    calls: list[tuple[int, bool]], since: list[int], newer: int
) -> None:
    window, expected, now = CallWindow(), list[tuple[int, bool]](), 0
    for step, declined in calls:
        now += step
        window.add(now, declined)
        expected.append((now, declined))
    assert window.count_after(newer) == sum(time > newer for time, _ in expected)
    for age in since:
        expected = [call for call in expected if call[0] > now - age]
        assert window.accepted_since(now - age) == sum(not declined for _, declined in expected)
        assert (list(window), len(window)) == (expected, len(expected))
        assert window.declined == sum(declined for _, declined in expected)
