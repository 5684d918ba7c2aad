"""FrequentItems keeps its error bounds for skewed, scan and adversarial streams; reference: exact counts."""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Iterable
from itertools import accumulate

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltport.structures.frequent_items import MAX_WEIGHT, FrequentItems

S = 1_000_000_000


class Exact:
    """Exact decayed counts of all items, as a reference."""

    def __init__(self, time_constant: int) -> None:
        self.time_constant, self.decayed = time_constant, dict[str, tuple[float, int]]()

    def add(self, item: str, now: int) -> None:
        count, at = self.decayed.get(item, (0.0, now))
        self.decayed[item] = count * math.exp((at - now) / self.time_constant) + 1, now

    def counts(self, now: int) -> dict[str, float]:
        return {item: c * math.exp((at - now) / self.time_constant) for item, (c, at) in self.decayed.items()}


def zipf(exponent: float, keys: int, count: int, seed: int = 3) -> list[str]:
    rng = random.Random(seed)
    weights = list(accumulate(1 / (rank + 1) ** exponent for rank in range(keys)))
    return [f"k{bisect(weights, rng.random() * weights[-1])}" for _ in range(count)]


def counted(
    items: Iterable[str], capacity: int, time_constant: int = 10 * S
) -> tuple[FrequentItems, Exact, int]:
    sketch, exact, now = FrequentItems(capacity, time_constant), Exact(time_constant), S
    for item in items:
        now += S // 1000
        sketch.add(item, now)
        exact.add(item, now)
    sketch.advance(now)
    return sketch, exact, now


def assert_within_bounds(sketch: FrequentItems, exact: Exact, now: int) -> None:
    true = exact.counts(now)
    slack = 1 + 2 / 256  # the weight changes in steps
    assert sketch.total == pytest.approx(sum(true.values()), rel=0.01)
    assert sketch.error <= sketch.total / sketch.capacity * slack
    for item, count in true.items():
        assert sketch.count(item) <= count * slack + 1e-6
        assert count <= (sketch.count(item) + sketch.error) * slack + 1e-6


@pytest.mark.parametrize("exponent", [0.8, 1.0, 1.2, 1.4])
def test_counts_of_skewed_keys_stay_within_the_bounds(exponent: float) -> None:
    assert_within_bounds(*counted(zipf(exponent, 20_000, 40_000), capacity=256))


def test_once_only_scan_at_five_times_the_load_evicts_nothing_hot() -> None:
    rng, number, items = random.Random(5), 0, []
    for step in range(60_000):
        if rng.random() < 5 / 6:
            number += 1
            items.append(f"once{number}")
        else:
            items.append(f"hot{step % 20}")
    sketch, exact, now = counted(items, capacity=512)
    assert_within_bounds(sketch, exact, now)
    assert {item for item, _ in sketch.top(20)} == {f"hot{i}" for i in range(20)}
    assert len(sketch) <= 1024


def test_hostile_order_can_not_push_a_frequent_key_out() -> None:
    """New keys force frequent purges, each of which reduces the count of the frequent key."""
    capacity, items = 64, []
    for step in range(30_000):
        items.append("frequent" if step % 16 == 0 else f"x{step}")
    sketch, exact, now = counted(items, capacity)
    assert_within_bounds(sketch, exact, now)
    assert sketch.top(1)[0][0] == "frequent"


def test_counts_give_rates_and_decay() -> None:
    sketch, now = FrequentItems(64, 10 * S), S
    for _ in range(10_000):
        now += S // 100
        sketch.add("old", now)
    assert sketch.count("old") / sketch.effective_seconds(now) == pytest.approx(100, rel=0.02)
    sketch.advance(now + 60 * S)
    assert sketch.count("old") < 1000 * math.exp(-6) * 1.02


def test_early_counts_give_the_right_rate() -> None:
    sketch, now = FrequentItems(64, 10 * S), S
    for _ in range(50):
        now += S // 100
        sketch.add("new", now)
    assert sketch.count("new") / sketch.effective_seconds(now) == pytest.approx(100, rel=0.1)


def test_weights_are_rescaled_without_a_trace() -> None:
    sketch, exact = FrequentItems(64, S), Exact(S)
    now = S
    for step in range(2_000):
        now += S // 20  # a hundred time constants in total, far past MAX_WEIGHT
        sketch.add(f"k{step % 7}", now)
        exact.add(f"k{step % 7}", now)
    assert math.exp(100) > MAX_WEIGHT
    assert_within_bounds(sketch, exact, now)


def test_long_silence_forgets_all_and_breaks_nothing() -> None:
    sketch = FrequentItems(64, S)
    sketch.add("a", S)
    sketch.add("b", S + 100_000 * S)
    assert sketch.count("a") == 0
    assert sketch.count("b") == pytest.approx(1)


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, S)), max_size=300), st.integers(1, 8))
def test_bounds_hold_for_any_stream(stream: list[tuple[int, int]], capacity: int) -> None:
    sketch, exact, now = FrequentItems(capacity, 2 * S), Exact(2 * S), S
    for item, gap in stream:
        now += gap
        sketch.add(str(item), now)
        exact.add(str(item), now)
    if stream:
        assert_within_bounds(sketch, exact, now)
    assert len(sketch) <= 2 * capacity
