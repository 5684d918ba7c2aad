"""Load plans: reproducible by seed, with the configured rates and shares; invalid parameters are rejected."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from saltport.load.plan import (
    LoadPlan,
    PlanError,
    Step,
    arrivals,
    most_popular_keys,
    parse_steps,
    rate_at,
    retry_delay_ms,
)
from saltport.standins.profile import Profile

PROFILE = Profile()


def plan(**changes: object) -> LoadPlan:
    fields: dict[str, object] = {"steps": (Step(0, 500),), "seconds": 20.0}
    return LoadPlan(**{**fields, **changes})  # type: ignore[arg-type]


def test_same_seed_plans_the_same() -> None:
    assert list(arrivals(plan(), PROFILE)) == list(arrivals(plan(), PROFILE))
    assert list(arrivals(plan(), PROFILE)) != list(arrivals(plan(seed=2), PROFILE))


def test_shares_and_rate_match_the_plan() -> None:
    drawn = list(arrivals(plan(), PROFILE))
    assert 9_500 < len(drawn) < 10_500
    assert all(0 <= arrival.at < 20 * 10**9 for arrival in drawn)
    assert [arrival.at for arrival in drawn] == sorted(arrival.at for arrival in drawn)
    classes = Counter(arrival.request_class for arrival in drawn)
    assert 0.96 < classes["fetch"] / len(drawn) < 0.98
    assert 0.60 < Counter(arrival.tenant for arrival in drawn)["public"] / len(drawn) < 0.66
    assert len({arrival.token for arrival in drawn}) == len(drawn)


def test_popular_keys_are_asked_for_most() -> None:
    keys = Counter(arrival.key for arrival in arrivals(plan(keys=1000, zipf=1.0), PROFILE))
    first, second = most_popular_keys(plan(keys=1000), 2)
    assert keys.most_common(1)[0][0] == first
    assert 1.5 < keys[first] / keys[second] < 2.6


def test_scan_asks_for_keys_once() -> None:
    drawn = list(arrivals(plan(scan=0.5), PROFILE))
    once = [arrival for arrival in drawn if arrival.key.startswith("once-")]
    assert 0.45 < len(once) / len(drawn) < 0.52
    assert len({arrival.key for arrival in once}) == len(once)
    assert {arrival.request_class for arrival in once} == {"fetch"}


def test_rate_steps() -> None:
    steps = parse_steps("100,5:400,10:50.5")
    assert steps == (Step(0, 100), Step(5, 400), Step(10, 50.5))
    assert [rate_at(steps, second) for second in (0, 4.9, 5, 12)] == [100, 100, 400, 50.5]
    drawn = [arrival.at for arrival in arrivals(plan(steps=steps, seconds=10), PROFILE)]
    early = sum(at < 5 * 10**9 for at in drawn)
    assert 2.5 < (len(drawn) - early) / early < 6


@pytest.mark.parametrize(
    "text", ["", "x", "0", "-5", "100,200", "100,5:", "5:100", "100,9:5,3:7", "100,-1:5"]
)
def test_bad_steps_are_turned_down(text: str) -> None:
    with pytest.raises(PlanError):
        parse_steps(text)


@pytest.mark.parametrize(
    "figures", [{"seconds": 0}, {"keys": 0}, {"scan": 1.5}, {"retries": -1}, {"try_share": 0}, {"steps": ()}]
)
def test_bad_figures_are_turned_down(figures: dict[str, object]) -> None:
    with pytest.raises(PlanError):
        plan(**figures)


def test_clients_wait_longer_each_time_and_honour_a_refusal() -> None:
    rng = random.Random(1)
    first, second = (retry_delay_ms(plan(), tried, 0, rng) for tried in (1, 2))
    assert first is not None
    assert second is not None
    assert 28 <= first <= 52
    assert 56 <= second <= 104
    assert (retry_delay_ms(plan(), 1, 800, rng) or 0) >= 560
    assert retry_delay_ms(plan(), 3, 0, rng) is None
