"""Budgets give way in the stated order; freshness errs towards refusal; states refuse what is bad."""

from __future__ import annotations

import pytest

from saltport.dissemination.budget import Budget, TokenBucket, Work
from saltport.dissemination.freshness import MOST_WAITING, Freshness, Verdict
from saltport.dissemination.messages import Head, Topic
from saltport.dissemination.settings import NS_PER_MS, NS_PER_S, DisseminationSettings
from saltport.dissemination.states import Configuration, Purges, pack_change

SETTINGS = DisseminationSettings()
BATCH = SETTINGS.batch


def test_a_bucket_never_gives_more_than_its_rate_and_burst() -> None:
    bucket = TokenBucket(100, 50, 0)
    given = sum(bucket.spend(1, now, 0.0) for now in range(0, 10 * NS_PER_S, NS_PER_MS))
    assert 1_000 <= given <= 1_050


def test_work_gives_way_in_the_stated_order() -> None:
    budget = Budget(0.001, 1_000, 0)
    order: list[Work] = []
    for _ in range(200):
        for work in Work:
            if not budget.admit(work, 10, 0) and work not in order:
                order.append(work)
    assert order == [Work.ACKNOWLEDGE, Work.REPAIR, Work.FETCH, Work.PUSH]
    assert all(budget.refused[work] for work in Work)


def fresh_after(beats: int, delay: int = 0) -> tuple[Freshness, int]:
    freshness = Freshness(BATCH, SETTINGS.fresh_for, SETTINGS.settle_beats)
    now = 0
    for beat in range(1, beats + 1):
        now = beat * BATCH + delay
        freshness.heard(1, beat, (Head(Topic.PURGES, 3),), now)
        freshness.applied(Topic.PURGES, 3)
    return freshness, now


def test_silence_makes_stale() -> None:
    freshness, now = fresh_after(10)
    assert freshness.verdict(Topic.PURGES, now) is Verdict.FRESH
    assert freshness.verdict(Topic.PURGES, now + SETTINGS.fresh_for) is Verdict.FRESH
    assert freshness.verdict(Topic.PURGES, now + SETTINGS.fresh_for + 1) is Verdict.STALE


def test_nothing_heard_is_stale() -> None:
    freshness = Freshness(BATCH, SETTINGS.fresh_for, SETTINGS.settle_beats)
    assert freshness.verdict(Topic.PURGES, 0) is Verdict.STALE
    assert freshness.age(Topic.PURGES, 0) is None


def test_a_known_gap_makes_stale_until_it_is_filled() -> None:
    freshness, now = fresh_after(10)
    for beat in range(11, 31):
        now = beat * BATCH
        freshness.heard(1, beat, (Head(Topic.PURGES, 4),), now)
        freshness.applied(Topic.PURGES, 3)
    assert freshness.verdict(Topic.PURGES, now) is Verdict.STALE
    freshness.applied(Topic.PURGES, 4)
    assert freshness.verdict(Topic.PURGES, now) is Verdict.FRESH


def test_a_held_up_beat_counts_from_when_it_should_have_come() -> None:
    """A slow relay that tells old heads late doesn't make its site fresh."""
    freshness, now = fresh_after(10)
    late = now + 10 * NS_PER_S
    freshness.heard(1, 11, (Head(Topic.PURGES, 3),), late)
    freshness.applied(Topic.PURGES, 3)
    assert freshness.verdict(Topic.PURGES, late) is Verdict.STALE


def test_waiting_beats_are_bounded_and_leave_it_stale() -> None:
    freshness, now = fresh_after(10)
    for beat in range(11, 11 + 3 * MOST_WAITING):
        now = beat * BATCH
        freshness.heard(1, beat, (Head(Topic.PURGES, beat),), now)
    freshness.applied(Topic.PURGES, 10 + MOST_WAITING)
    assert freshness.verdict(Topic.PURGES, now) is Verdict.STALE


def test_a_new_coordinator_starts_another_count() -> None:
    freshness, now = fresh_after(10)
    for beat in range(1, SETTINGS.settle_beats + 1):
        now += BATCH
        freshness.heard(2, beat, (Head(Topic.PURGES, 3),), now)
        freshness.applied(Topic.PURGES, 3)
    assert freshness.age(Topic.PURGES, now) == 0


@pytest.mark.parametrize("fast", [1.0003, 0.9997])
def test_a_clock_that_drifts_stays_fresh(fast: float) -> None:
    freshness = Freshness(BATCH, SETTINGS.fresh_for, SETTINGS.settle_beats)
    for beat in range(1, 4 * 20_000):
        now = int(beat * BATCH * fast)
        freshness.heard(1, beat, (Head(Topic.PURGES, 3),), now)
        freshness.applied(Topic.PURGES, 3)
    assert freshness.verdict(Topic.PURGES, now) is Verdict.FRESH


class Cache:
    """What a router stored."""

    def __init__(self) -> None:
        self.dropped: list[bytes] = []
        self.voided = 0

    def void(self) -> None:
        self.voided += 1


def test_a_purge_overtakes_a_fetch() -> None:
    cache = Cache()
    purges = Purges(2, cache.dropped.append, cache.void)
    before = purges.begin_fetch()
    purges.apply(1, b"a")
    after = purges.begin_fetch()
    assert purges.overtaken(b"a", before)
    assert not purges.overtaken(b"b", before)
    assert not purges.overtaken(b"a", after)
    assert cache.dropped == [b"a"]


def test_a_purge_that_is_forgotten_voids_all_older_fetches() -> None:
    purges = Purges(2, lambda _: None, lambda: None)
    before = purges.begin_fetch()
    for number, key in enumerate([b"a", b"b", b"c"], 1):
        purges.apply(number, key)
    assert purges.overtaken(b"never purged", before)
    assert not purges.overtaken(b"never purged", purges.begin_fetch())


def test_a_snapshot_of_purges_voids_what_was_stored_and_fetched_before() -> None:
    cache = Cache()
    purges = Purges(8, cache.dropped.append, cache.void)
    before = purges.begin_fetch()
    purges.load(500, b"")
    assert cache.voided == 1
    assert purges.overtaken(b"x", before)
    assert not purges.overtaken(b"x", purges.begin_fetch())


def test_a_second_purge_of_a_key_overtakes_a_fetch_after_the_first() -> None:
    purges = Purges(8, lambda _: None, lambda: None)
    purges.apply(1, b"a")
    token = purges.begin_fetch()
    purges.apply(2, b"a")
    assert purges.overtaken(b"a", token)


@pytest.mark.parametrize(
    ("record", "reason"),
    [
        (b"\xc1", "unreadable change"),
        (pack_change("limit", b"bad"), "not a number"),
        (pack_change("third", b"1"), "too many keys"),
    ],
)
def test_a_bad_change_is_refused_and_the_old_one_stays(record: bytes, reason: str) -> None:
    check = {b"bad": "not a number"}
    state = Configuration(lambda _, value: check.get(value, ""), most_keys=2)
    assert state.apply(1, pack_change("limit", b"5")) == ""
    assert state.apply(2, pack_change("other", b"6")) == ""
    assert state.apply(3, record) == reason
    assert state.values == {"limit": b"5", "other": b"6"}
    assert state.apply(4, pack_change("other", b"")) == ""
    assert state.values == {"limit": b"5"}
