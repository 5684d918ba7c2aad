"""The window of calls against plain lists."""

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
    window, held, now = CallWindow(), list[tuple[int, bool]](), 0
    for step, declined in calls:
        now += step
        window.add(now, declined)
        held.append((now, declined))
    assert window.newer_than(newer) == sum(time > newer for time, _ in held)
    for age in since:
        held = [call for call in held if call[0] > now - age]
        assert window.accepted_since(now - age) == sum(not declined for _, declined in held)
        assert (list(window), len(window)) == (held, len(held))
        assert window.declined == sum(declined for _, declined in held)
