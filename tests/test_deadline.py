"""Deadlines: the remaining time in whole milliseconds, rounded down, and comparison of deadlines."""

from __future__ import annotations

import pytest

from saltport.deadline import NEVER, NS_PER_MS, Deadline

AT = 1_000 * NS_PER_MS


@pytest.mark.parametrize(
    ("now", "left"),
    [
        (AT - 5 * NS_PER_MS, 5),
        (AT - 5 * NS_PER_MS + 1, 4),
        (AT - 5 * NS_PER_MS - 1, 5),
        (AT - 1, 0),
        (AT, 0),
        (AT + 1, 0),
        (AT + 9 * NS_PER_MS, 0),
    ],
)
def test_remaining_time_is_rounded_down_and_never_negative(now: int, left: int) -> None:
    assert Deadline(AT).remaining_ms(now) == left


def test_deadline_is_expired_from_its_time_on() -> None:
    assert [Deadline(AT).expired(AT + step) for step in (-1, 0, 1)] == [False, True, True]


def test_no_later_than_returns_the_earlier_deadline() -> None:
    early, late = Deadline(AT), Deadline(AT + 1)
    assert early.no_later_than(late) == late.no_later_than(early) == early.no_later_than(NEVER) == early
