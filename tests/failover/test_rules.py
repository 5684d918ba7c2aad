"""Each rule by itself: placement of demand, claims, health, room, what a router holds of a plan."""

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
from saltport.failover.health import Claim, PathHealth, agreed_share
from saltport.failover.messages import PARTS, Known, Plan, Report, Row, encode
from saltport.failover.plans import MS, nearest_open, parts_of, standing
from saltport.failover.room import Room
from saltport.failover.settings import FailoverSettings
from saltport.failover.waterfall import UNLIMITED, pour
from saltport.peers.link import MAX_PAYLOAD_BYTES

SETTINGS = FailoverSettings()
S = 1_000 * MS
THREE = Topology(("a", "b", "c"), "a", ("w", "w", "e"), {(0, 1): 1, (0, 2): 5, (1, 2): 4})
PARTS_OF_ROOM = (0.8, 0.75)


def plan(epoch: int = 1, number: int = 1, **more: Any) -> Plan:
    neutral = parts_of(nearest_open(THREE, 0))
    made = Plan(
        THREE.digest, epoch, number, "r1", 0, 0, 0, neutral, neutral, bytes(3), bytes(3), bytes(3), 0, False,
        bytes([0, 1]), 0,
    )  # fmt: skip
    return structs.replace(made, **more)


# Placement


@given(
    demand=st.lists(st.floats(0, 1e4), min_size=3, max_size=3),
    room=st.lists(st.one_of(st.floats(0, 1e4), st.just(UNLIMITED)), min_size=3, max_size=3),
    shut=st.sets(st.tuples(st.integers(0, 2), st.integers(0, 2))),
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_all_demand_is_placed_within_room_or_said_to_be_refused(
    demand: list[float], room: list[float], shut: set[tuple[int, int]]
) -> None:
    poured = pour(demand, room, room, lambda s, t: (s, t) not in shut, THREE.near, PARTS_OF_ROOM)
    for source in range(3):
        assert sum(poured.shares[source]) + poured.refused[source] == pytest.approx(1)
        assert all(
            not share or (source, target) not in shut for target, share in enumerate(poured.shares[source])
        )
    for target in range(3):
        assert poured.load[target] <= room[target] * (1 + 1e-9) + 1e-5
    open_room = [room[t] for t in range(3) if all((s, t) not in shut for s in range(3))]
    if sum(open_room) >= sum(demand) + 1:
        assert max(poured.refused) < 1e-6  # refused only where there is no room


def test_near_first_and_beyond_that_the_nearest_with_room() -> None:
    def shares(demand: list[float], room: list[float], **more: object) -> tuple[tuple[float, ...], ...]:
        return pour(demand, room, room, lambda s, t: t not in more.values(), THREE.near, PARTS_OF_ROOM).shares

    assert shares([500, 500, 500], [1000] * 3) == ((1, 0, 0), (0, 1, 0), (0, 0, 1))
    lost = shares([500, 500, 500], [1000] * 3, lost=1)
    assert lost[1] == pytest.approx(
        (0.5, 0, 0.5), abs=0.01
    )  # the nearer one up to three quarters of its room
    assert lost[0] == (1, 0, 0)
    crowd = shares([100, 900, 100], [1000] * 3)
    assert crowd[1][1] == pytest.approx(800 / 900)
    assert crowd[1][0] > 0
    assert crowd[1][2] == 0


def test_more_is_not_sent_where_nothing_is_proven_while_it_is_proven_elsewhere() -> None:
    poured = pour(
        [0, 600, 0], [UNLIMITED] * 3, [100, 600, 900], lambda s, t: t != 1, THREE.near, PARTS_OF_ROOM
    )
    assert poured.load == pytest.approx((100, 0, 500), abs=0.1)
    assert poured.refused == (0, 0, 0)


# Claims and health


def test_less_than_half_of_the_weight_moves_no_share() -> None:
    assert agreed_share([Claim(100, 100), Claim(100, 0), Claim(100, 1)]) <= 0.01
    assert (
        agreed_share([Claim(10_000, 10_000), Claim(100, 0), Claim(100, 0), Claim(90, 0), Claim(80, 0)]) == 0
    )
    assert agreed_share([Claim(10, 10), Claim(10, 0)]) == 0  # half is not more than half
    assert agreed_share([Claim(10, 9), Claim(10, 8), Claim(10, 0)]) == pytest.approx(0.8)


def windows(health: PathHealth, claims: list[list[Claim]], now: int = 0) -> list[bool]:
    found = []
    for number, window in enumerate(claims):
        health.learn(window, now + number * SETTINGS.report)
        found.append(health.bad)
    return found


def test_a_path_turns_by_evidence_and_takes_twice_as_much_after_a_relapse() -> None:
    health = PathHealth(SETTINGS)
    lost, good, few = [Claim(10, 10)], [Claim(10, 0)], [Claim(3, 3)]
    assert windows(health, [lost, good, lost, few, lost]) == [False, False, False, False, True]
    assert windows(health, [[], [], [], good, good, good, good]) == [True] * 6 + [False]
    assert windows(health, [lost, lost], 5 * S) == [False, True]
    assert windows(health, [good] * 9, 8 * S) == [True] * 7 + [False] * 2
    assert windows(health, [lost, lost], 9 * S) == [False, True]
    assert windows(health, [good] * 15, 12 * S) == [True] * 15
    assert windows(health, [good, lost, good], 20 * S)[:2] == [False, False]


def test_room_is_cut_where_answers_are_late_and_tried_again_after_a_while_that_doubles() -> None:
    room, now = Room(SETTINGS, 100.0), 0
    for _ in range(20):
        now += S // 2
        room.learn(500, 0.0, now)
    assert (room.most(10), room.most(5), room.most(0)) == (1000, 500, 0)
    waits = []
    for _ in range(3):
        for settled in (False, False, True, True):
            assert room.most(10) == 1000
            now += S // 2
            room.learn(120, 0.6, now, settled)
        cut = now
        assert room.most(10) < 500
        while room.most(10) < 1000:
            now += S // 2
            room.learn(120, 0.0, now)
        waits.append((now - cut) / SETTINGS.retry)
    assert waits == pytest.approx([1, 2, 4], abs=0.05)


def test_what_is_learnt_counts_as_proven_only_as_far_as_it_was_seen() -> None:
    room = Room(SETTINGS, 0.0)
    assert room.most(3) == UNLIMITED
    for step in range(20):
        room.learn(200, 0.0, (step + 1) * S // 2)
    assert 200 < room.proven(3) <= 250


# What a router holds of plans


def test_an_older_owner_s_plan_is_refused_and_the_later_one_stays() -> None:
    follower = Follower(THREE, SETTINGS)
    assert follower.hear(plan(5, 1), 0)
    assert follower.hear(plan(7, 1), 1)
    assert not follower.hear(plan(5, 9), 2)
    assert not follower.hear(plan(7, 1), 3)
    assert (follower.plan, follower.refused) == (plan(7, 1), 1)
    fenced = Follower(THREE, SETTINGS, lambda epoch: epoch >= 8)
    assert not fenced.hear(plan(7, 1), 0)
    assert fenced.plan is None


def test_without_an_owner_the_plan_holds_and_then_near_first_comes_step_by_step() -> None:
    follower = Follower(THREE, SETTINGS)
    moved = parts_of([(0.5, 0.5, 0), (0, 0, 1), (0, 0, 1)])
    follower.hear(plan(end=moved, begin=moved, refused=bytes([0, 25, 0]), out=0b010), 0)
    follower.hear(plan(end=moved, begin=moved, ago_ms=2_000, word_ms=2_000), 2 * S)
    # The same word once more, long under way: it makes nothing young again.
    follower.hear(plan(end=moved, begin=moved, ago_ms=2_000, word_ms=2_000), 9 * S)
    assert follower.holds(12 * S)
    assert not follower.holds(12 * S + 1)
    told = [follower.told(at) for at in (11 * S, 17 * S, 30 * S)]
    assert all(held is not None for held in told)
    assert [held.shares for held in told if held] == [(0.5, 0.5, 0), (0.75, 0.25, 0), (1, 0, 0)]
    assert [held.binding for held in told if held] == [True, False, False]
    assert {held.closed for held in told if held} == {(1,)}  # what was evacuated by hand stays so
    assert nearest_open(THREE, 0b001)[0] == (0, 1, 0)


def test_a_way_is_gone_by_the_time_since_the_plan_was_made() -> None:
    begin, end = parts_of([(1, 0, 0)] * 3), parts_of([(0, 1, 0)] * 3)
    made = plan(begin=begin, end=end, way_ms=10_000)
    assert standing(made, 2_500 * MS, THREE)[0] == pytest.approx((0.75, 0.25, 0))
    assert standing(made, 60 * S, THREE)[0] == (0, 1, 0)
    late = Follower(THREE, SETTINGS)
    late.hear(replace_ago(made, 9_000), 100 * S)
    assert late.matrix(100 * S)[0] == pytest.approx((0.1, 0.9, 0))


def replace_ago(told: Plan, ago_ms: int) -> Plan:
    return structs.replace(told, ago_ms=ago_ms, word_ms=ago_ms)


@pytest.mark.parametrize(
    "wrong",
    [
        {"topology": 1}, {"begin": b""}, {"end": bytes(4)}, {"refused": bytes(2)}, {"origins": bytes([0, 9])},
        {"way_ms": -1}, {"ago_ms": 1 << 60}, {"word_ms": 5}, {"bad": bytes(7)},
    ],
)  # fmt: skip
def test_a_plan_that_makes_no_sense_is_not_followed(wrong: dict[str, Any]) -> None:
    follower = Follower(THREE, SETTINGS)
    assert not follower.hear(plan(**wrong), 0)
    assert (follower.plan, follower.refused) == (None, 1)


def test_the_longest_messages_fit_a_datagram() -> None:
    rng = random.Random(1)
    big, many = 0xFFFFFFFF, bytes(rng.randrange(PARTS) for _ in range(36))
    most = Plan(
        big, big, 0xFFFF, "r" * 14, 86_400_000, 86_400_000, 3_600_000, many, many, many[:6], many[:6],
        many[:6], 63, True, many[:6], 63, 63, "w" * 16,
    )  # fmt: skip
    rows = (Row(60, 60, 900, 900, 900, 900, 900),) * 6
    report = Report(big, 5, big, 0xFFFF, 2_000, 60_000, 60_000, rows, ((9_999, 9_999),) * 6)
    for message in (Known(big, most), report):
        assert len(encode(message)) < MAX_PAYLOAD_BYTES


def test_a_topology_is_checked() -> None:
    assert THREE.near(2) == (2, 1, 0)
    assert THREE.near_areas(1) == (1, 0)
    for wrong in ({"here": "x"}, {"zones": ("a", "a", "c")}, {"zones": ()}, {"origins": (("x", "o"),)}):
        with pytest.raises(ValueError, match="topology"):
            replace(THREE, **wrong)
