"""When a second copy of a read's value can be recognized."""

from __future__ import annotations

from saltport.upstream.read_values import MIN_DIFFERENT_VALUES, ReadValue, ReadValues


def learn_different(values: ReadValues, count: int) -> None:
    for number in range(count):
        values.learn(ReadValue(b"k%d" % number, number))


def test_values_differ_once_enough_keys_in_a_row_had_different_ones() -> None:
    values = ReadValues()
    learn_different(values, MIN_DIFFERENT_VALUES)
    assert not values.differ, "the first one has none before it"
    learn_different(values, 1)
    assert values.differ
    values.learn(ReadValue(b"k0", 0))
    assert values.differ, "a key has its value again"


def test_values_of_two_keys_that_are_equal_begin_the_count_anew() -> None:
    values = ReadValues()
    learn_different(values, MIN_DIFFERENT_VALUES + 1)
    values.learn(ReadValue(b"other", MIN_DIFFERENT_VALUES))
    assert not values.differ
    learn_different(values, MIN_DIFFERENT_VALUES)
    assert values.differ
    values.copy_received()
    assert not values.differ


def test_one_key_says_nothing_of_others() -> None:
    values = ReadValues()
    for number in range(2 * MIN_DIFFERENT_VALUES):
        values.learn(ReadValue(b"k", number))
    assert not values.differ
