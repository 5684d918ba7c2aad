"""Tests each rule of failover alone: distribution, path health, capacity and the plan at one router."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import structs

from saltport.decisions.topology import Topology
from saltport.failover.follower import Follower
from saltport.failover.health import PathHealth, PathSample, weighted_median_share
from saltport.failover.messages import SHARE_SCALE, Plan, PlanReply, Report, ZoneReport, encode
from saltport.failover.plans import NS_PER_MS, encode_shares, matrix_at, nearest_available
from saltport.failover.settings import FailoverSettings
from saltport.failover.waterfall import UNLIMITED, distribute
from saltport.failover.zone_capacity import ZoneCapacity
from saltport.peers.link import MAX_PAYLOAD_BYTES

SETTINGS = FailoverSettings()
S = 1_000 * NS_PER_MS
THREE = Topology(("a", "b", "c"), "a", ("w", "w", "e"), {(0, 1): 1, (0, 2): 5, (1, 2): 4})
FILL_LIMITS = (0.8, 0.75)


def plan(epoch: int = 1, number: int = 1, **more: Any) -> Plan:
    neutral = encode_shares(nearest_available(THREE, 0))
    new_plan = Plan(
        THREE.digest, epoch, number, "r1", 0, 0, 0, neutral, neutral, bytes(3), bytes(3), bytes(3), 0, False,
        bytes([0, 1]), 0,
    )  # fmt: skip
    return structs.replace(new_plan, **more)


# Distribution of demand


@given(
    demand=st.lists(st.floats(0, 1e4), min_size=3, max_size=3),
    capacity=st.lists(st.one_of(st.floats(0, 1e4), st.just(UNLIMITED)), min_size=3, max_size=3),
    cut_paths=st.sets(st.tuples(st.integers(0, 2), st.integers(0, 2))),
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_all_demand_is_placed_within_capacity_or_refused(
    demand: list[float], capacity: list[float], cut_paths: set[tuple[int, int]]
) -> None:
    distribution = distribute(
        demand, capacity, capacity, lambda s, t: (s, t) not in cut_paths, THREE.zones_by_distance, FILL_LIMITS
    )
    for source in range(3):
        assert sum(distribution.shares[source]) + distribution.refused[source] == pytest.approx(1)
        assert all(
            not share or (source, target) not in cut_paths
            for target, share in enumerate(distribution.shares[source])
        )
    for target in range(3):
        assert distribution.load[target] <= capacity[target] * (1 + 1e-9) + 1e-5
    open_capacity = [capacity[t] for t in range(3) if all((s, t) not in cut_paths for s in range(3))]
    if sum(open_capacity) >= sum(demand) + 1:
        assert max(distribution.refused) < 1e-6  # reads are refused only for lack of capacity


def test_overflow_goes_to_the_nearest_zone_with_capacity() -> None:
    def shares(demand: list[float], capacity: list[float], **more: object) -> tuple[tuple[float, ...], ...]:
        return distribute(
            demand,
            capacity,
            capacity,
            lambda s, t: t not in more.values(),
            THREE.zones_by_distance,
            FILL_LIMITS,
        ).shares

    assert shares([500, 500, 500], [1000] * 3) == ((1, 0, 0), (0, 1, 0), (0, 0, 1))
    lost = shares([500, 500, 500], [1000] * 3, lost=1)
    assert lost[1] == pytest.approx(
        (0.5, 0, 0.5), abs=0.01
    )  # the nearer zone is filled up to three quarters of its capacity
    assert lost[0] == (1, 0, 0)
    overloaded = shares([100, 900, 100], [1000] * 3)
    assert overloaded[1][1] == pytest.approx(800 / 900)
    assert overloaded[1][0] > 0
    assert overloaded[1][2] == 0


def test_overflow_prefers_zones_with_a_proven_rate() -> None:
    distribution = distribute(
        [0, 600, 0],
        [UNLIMITED] * 3,
        [100, 600, 900],
        lambda s, t: t != 1,
        THREE.zones_by_distance,
        FILL_LIMITS,
    )
    assert distribution.load == pytest.approx((100, 0, 500), abs=0.1)
    assert distribution.refused == (0, 0, 0)


# Path health


def test_samples_with_less_than_half_of_the_weight_do_not_move_the_median() -> None:
    assert weighted_median_share([PathSample(100, 100), PathSample(100, 0), PathSample(100, 1)]) <= 0.01
    assert (
        weighted_median_share(
            [
                PathSample(10_000, 10_000),
                PathSample(100, 0),
                PathSample(100, 0),
                PathSample(90, 0),
                PathSample(80, 0),
            ]
        )
        == 0
    )
    assert (
        weighted_median_share([PathSample(10, 10), PathSample(10, 0)]) == 0
    )  # exactly half of the weight is not enough
    assert weighted_median_share([PathSample(10, 9), PathSample(10, 8), PathSample(10, 0)]) == pytest.approx(
        0.8
    )


def windows(health: PathHealth, claims: list[list[PathSample]], now: int = 0) -> list[bool]:
    found = []
    for number, window in enumerate(claims):
        health.add_window(window, now + number * SETTINGS.report_interval_ns)
        found.append(health.bad)
    return found


def test_a_path_turns_by_evidence_and_takes_twice_as_much_after_a_relapse() -> None:
    health = PathHealth(SETTINGS)
    lost, good, too_few = [PathSample(10, 10)], [PathSample(10, 0)], [PathSample(3, 3)]
    assert windows(health, [lost, good, lost, too_few, lost]) == [False, False, False, False, True]
    assert windows(health, [[], [], [], good, good, good, good]) == [True] * 6 + [False]
    assert windows(health, [lost, lost], 5 * S) == [False, True]
    assert windows(health, [good] * 9, 8 * S) == [True] * 7 + [False] * 2
    assert windows(health, [lost, lost], 9 * S) == [False, True]
    assert windows(health, [good] * 15, 12 * S) == [True] * 15
    assert windows(health, [good, lost, good], 20 * S)[:2] == [False, False]


def test_capacity_is_cut_when_answers_are_late_and_retried_after_a_time_that_doubles() -> None:
    capacity, now = ZoneCapacity(SETTINGS, 100.0), 0
    for _ in range(20):
        now += S // 2
        capacity.add_window(500, 0.0, now)
    assert (capacity.limit(10), capacity.limit(5), capacity.limit(0)) == (1000, 500, 0)
    waits = []
    for _ in range(3):
        for settled in (False, False, True, True):
            assert capacity.limit(10) == 1000
            now += S // 2
            capacity.add_window(120, 0.6, now, settled)
        cut = now
        assert capacity.limit(10) < 500
        while capacity.limit(10) < 1000:
            now += S // 2
            capacity.add_window(120, 0.0, now)
        waits.append((now - cut) / SETTINGS.capacity_retry_ns)
    assert waits == pytest.approx([1, 2, 4], abs=0.05)


def test_a_learned_capacity_is_proven_only_up_to_the_observed_rate() -> None:
    capacity = ZoneCapacity(SETTINGS, 0.0)
    assert capacity.limit(3) == UNLIMITED
    for step in range(20):
        capacity.add_window(200, 0.0, (step + 1) * S // 2)
    assert 200 < capacity.proven(3) <= 250


# Plans at one router


def test_an_older_owner_s_plan_is_refused_and_the_later_one_stays() -> None:
    follower = Follower(THREE, SETTINGS)
    assert follower.receive(plan(5, 1), 0)
    assert follower.receive(plan(7, 1), 1)
    assert not follower.receive(plan(5, 9), 2)
    assert not follower.receive(plan(7, 1), 3)
    assert (follower.plan, follower.rejected_plans) == (plan(7, 1), 1)
    fenced = Follower(THREE, SETTINGS, lambda epoch: epoch >= 8)
    assert not fenced.receive(plan(7, 1), 0)
    assert fenced.plan is None


def test_without_an_owner_the_plan_expires_and_reads_move_to_the_nearest_zone() -> None:
    follower = Follower(THREE, SETTINGS)
    moved = encode_shares([(0.5, 0.5, 0), (0, 0, 1), (0, 0, 1)])
    follower.receive(plan(end=moved, begin=moved, refused=bytes([0, 25, 0]), evacuated=0b010), 0)
    follower.receive(plan(end=moved, begin=moved, age_ms=2_000, confirmed_after_ms=2_000), 2 * S)
    # A delayed copy of the same message must not count as a new confirmation.
    follower.receive(plan(end=moved, begin=moved, age_ms=2_000, confirmed_after_ms=2_000), 9 * S)
    assert follower.is_binding(12 * S)
    assert not follower.is_binding(12 * S + 1)
    zone_plans = [follower.zone_plan(at) for at in (11 * S, 17 * S, 30 * S)]
    assert all(zone_plan is not None for zone_plan in zone_plans)
    assert [zone_plan.shares for zone_plan in zone_plans if zone_plan] == [
        (0.5, 0.5, 0),
        (0.75, 0.25, 0),
        (1, 0, 0),
    ]
    assert [zone_plan.binding for zone_plan in zone_plans if zone_plan] == [True, False, False]
    assert {zone_plan.closed for zone_plan in zone_plans if zone_plan} == {
        (1,)
    }  # evacuated zones get no reads after the plan expires either
    assert nearest_available(THREE, 0b001)[0] == (0, 1, 0)


def test_a_transition_follows_the_age_of_the_plan() -> None:
    begin, end = encode_shares([(1, 0, 0)] * 3), encode_shares([(0, 1, 0)] * 3)
    new_plan = plan(begin=begin, end=end, transition_ms=10_000)
    assert matrix_at(new_plan, 2_500 * NS_PER_MS, THREE)[0] == pytest.approx((0.75, 0.25, 0))
    assert matrix_at(new_plan, 60 * S, THREE)[0] == (0, 1, 0)
    late = Follower(THREE, SETTINGS)
    late.receive(with_age(new_plan, 9_000), 100 * S)
    assert late.matrix(100 * S)[0] == pytest.approx((0.1, 0.9, 0))


def with_age(plan_without_age: Plan, age_ms: int) -> Plan:
    return structs.replace(plan_without_age, age_ms=age_ms, confirmed_after_ms=age_ms)


@pytest.mark.parametrize(
    "wrong",
    [
        {"topology": 1}, {"begin": b""}, {"end": bytes(4)}, {"refused": bytes(2)}, {"origins": bytes([0, 9])},
        {"transition_ms": -1}, {"age_ms": 1 << 60}, {"confirmed_after_ms": 5}, {"bad": bytes(7)},
    ],
)  # fmt: skip
def test_an_invalid_plan_is_rejected(wrong: dict[str, Any]) -> None:
    follower = Follower(THREE, SETTINGS)
    assert not follower.receive(plan(**wrong), 0)
    assert (follower.plan, follower.rejected_plans) == (None, 1)


def test_the_longest_messages_fit_a_datagram() -> None:
    rng = random.Random(1)
    max_u32, zone_bytes = 0xFFFFFFFF, bytes(rng.randrange(SHARE_SCALE) for _ in range(36))
    largest = Plan(
        max_u32, max_u32, 0xFFFF, "r" * 14, 86_400_000, 86_400_000, 3_600_000, zone_bytes, zone_bytes,
        zone_bytes[:6], zone_bytes[:6], zone_bytes[:6], 63, True, zone_bytes[:6], 63, 63, "w" * 16,
    )  # fmt: skip
    rows = (ZoneReport(60, 60, 900, 900, 900, 900, 900),) * 6
    report = Report(max_u32, 5, max_u32, 0xFFFF, 2_000, 60_000, 60_000, rows, ((9_999, 9_999),) * 6)
    for message in (PlanReply(max_u32, largest), report):
        assert len(encode(message)) < MAX_PAYLOAD_BYTES


def test_a_topology_is_checked() -> None:
    assert THREE.zones_by_distance(2) == (2, 1, 0)
    assert THREE.regions_by_distance(1) == (1, 0)
    for wrong in ({"here": "x"}, {"zones": ("a", "a", "c")}, {"zones": ()}, {"origins": (("x", "o"),)}):
        with pytest.raises(ValueError, match="topology"):
            replace(THREE, **wrong)
