"""Budgets drop work in the documented order; freshness errs towards refusal; states refuse bad records."""

from __future__ import annotations

import random

import pytest

from saltport.dissemination.budget import Budget, TokenBucket, WorkKind
from saltport.dissemination.freshness import MAX_PENDING_HEADS, Freshness, Verdict
from saltport.dissemination.messages import MAX_HEADS, Head, Level, Push, Topic
from saltport.dissemination.settings import NS_PER_MS, NS_PER_S, DisseminationSettings
from saltport.dissemination.states import Configuration, Purges, pack_change

SETTINGS = DisseminationSettings()


def test_a_bucket_never_gives_more_than_its_rate_and_burst() -> None:
    bucket = TokenBucket(100, 50, 0)
    given = sum(bucket.spend(1, now, 0.0) for now in range(0, 10 * NS_PER_S, NS_PER_MS))
    assert 1_000 <= given <= 1_050


def test_work_gives_way_in_the_stated_order() -> None:
    budget = Budget(0.001, 1_000, 0)
    order: list[WorkKind] = []
    for _ in range(200):
        for work in WorkKind:
            if not budget.admit(work, 10, 0) and work not in order:
                order.append(work)
    assert order == [WorkKind.ACKNOWLEDGE, WorkKind.REPAIR, WorkKind.FETCH, WorkKind.PUSH]
    assert all(budget.dropped[work] for work in WorkKind)


def heartbeat(milliseconds: int, head: int = 3, poll_number: int = 0, epoch: int = 1) -> Push:
    return Push(epoch, 90, milliseconds, Level.SITE, (Head(Topic.PURGES, head),), None, poll_number)


def synced(round_trip: int = 0) -> Freshness:
    """Caught up as of 1 s, with a coordinator whose term started at 0 by this router's clock."""
    freshness = Freshness(SETTINGS, random.Random(1))
    freshness.on_push(heartbeat(900), 900 * NS_PER_MS)
    number = freshness.start_poll(1_000 * NS_PER_MS)
    freshness.on_push(
        heartbeat(1_000 + round_trip // 2, poll_number=number), (1_000 + round_trip) * NS_PER_MS
    )
    freshness.on_applied(Topic.PURGES, 3)
    return freshness


SECOND = NS_PER_S


def test_silence_makes_stale() -> None:
    freshness = synced()
    assert freshness.verdict(Topic.PURGES, SECOND) is Verdict.FRESH
    assert freshness.verdict(Topic.PURGES, SECOND + SETTINGS.fresh_for - 2 * NS_PER_MS) is Verdict.FRESH
    assert freshness.verdict(Topic.PURGES, SECOND + SETTINGS.fresh_for + 1) is Verdict.STALE


def test_nothing_is_fresh_before_the_coordinator_answered() -> None:
    freshness = Freshness(SETTINGS, random.Random(1))
    assert freshness.verdict(Topic.PURGES, 0) is Verdict.STALE
    for number in range(1, 100):
        freshness.on_push(heartbeat(250 * number), 250 * number * NS_PER_MS)
        freshness.on_applied(Topic.PURGES, 3)
    assert freshness.age(Topic.PURGES, 25 * SECOND) is None


def test_the_answer_to_an_earlier_poll_does_not_synchronise_the_clock() -> None:
    freshness = Freshness(SETTINGS, random.Random(1))
    freshness.on_push(heartbeat(900), 900 * NS_PER_MS)
    first = freshness.start_poll(SECOND)
    freshness.start_poll(9 * SECOND)
    freshness.on_push(heartbeat(1_001, poll_number=first), 9 * SECOND)
    freshness.on_applied(Topic.PURGES, 3)
    assert freshness.verdict(Topic.PURGES, 9 * SECOND) is Verdict.STALE


@pytest.mark.parametrize("round_trip", [2, 300, 2_000])
def test_an_age_is_never_too_low(round_trip: int) -> None:
    freshness = synced(round_trip)
    for sent_ms in range(2_000, 60_000, 250):
        now = (sent_ms + round_trip) * NS_PER_MS
        freshness.on_push(heartbeat(sent_ms), now)
        freshness.on_applied(Topic.PURGES, 3)
        age = freshness.age(Topic.PURGES, now)
        assert age is not None
        assert age >= round_trip * NS_PER_MS


def test_a_known_gap_makes_stale_until_it_is_filled() -> None:
    freshness = synced()
    for number in range(5, 20):
        freshness.on_push(heartbeat(250 * number, head=4), 250 * number * NS_PER_MS)
        freshness.on_applied(Topic.PURGES, 3)
    now = 250 * 19 * NS_PER_MS
    assert freshness.verdict(Topic.PURGES, now) is Verdict.STALE
    freshness.on_applied(Topic.PURGES, 4)
    assert freshness.verdict(Topic.PURGES, now) is Verdict.FRESH


def test_a_delayed_or_repeated_push_counts_from_when_it_was_sent() -> None:
    freshness = synced()
    for arrival_s in range(4, 12):
        freshness.on_push(heartbeat(1_100), arrival_s * SECOND)
        freshness.on_applied(Topic.PURGES, 3)
        assert freshness.verdict(Topic.PURGES, arrival_s * SECOND) is Verdict.STALE


def test_waiting_pushes_are_bounded_and_leave_it_stale() -> None:
    freshness = synced()
    for number in range(11, 11 + 3 * MAX_PENDING_HEADS):
        freshness.on_push(heartbeat(250 * number, head=number), 250 * number * NS_PER_MS)
    freshness.on_applied(Topic.PURGES, 10 + MAX_PENDING_HEADS)
    assert freshness.verdict(Topic.PURGES, 250 * (11 + 3 * MAX_PENDING_HEADS) * NS_PER_MS) is Verdict.STALE


def test_a_topic_without_entries_is_fresh_until_its_first_entry_is_missing() -> None:
    freshness = synced()
    assert freshness.verdict(Topic.CONFIGURATION, SECOND) is Verdict.FRESH
    both = (Head(Topic.PURGES, 3), Head(Topic.CONFIGURATION, 1))
    for sent_ms in range(1_250, 4_000, 250):
        freshness.on_push(Push(1, 90, sent_ms, Level.SITE, both), sent_ms * NS_PER_MS)
    assert freshness.age(Topic.CONFIGURATION, 2 * SECOND) == SECOND + NS_PER_MS
    assert freshness.verdict(Topic.CONFIGURATION, 4 * SECOND) is Verdict.STALE
    freshness.on_applied(Topic.CONFIGURATION, 1)
    assert freshness.verdict(Topic.CONFIGURATION, 4 * SECOND) is Verdict.FRESH


def test_a_topic_listed_before_the_clock_was_synchronised_isnt_taken_for_empty() -> None:
    freshness = Freshness(SETTINGS, random.Random(1))
    freshness.on_push(heartbeat(900), 900 * NS_PER_MS)
    number = freshness.start_poll(SECOND)
    freshness.on_push(Push(1, 90, 1_000, Level.SITE, (), None, number), SECOND)
    for sent_ms in range(1_250, 4_000, 250):
        freshness.on_push(heartbeat(sent_ms), sent_ms * NS_PER_MS)
        assert freshness.verdict(Topic.PURGES, sent_ms * NS_PER_MS) is Verdict.STALE
    freshness.on_applied(Topic.PURGES, 3)
    assert freshness.verdict(Topic.PURGES, 4 * SECOND) is Verdict.FRESH


def test_a_possibly_incomplete_list_of_heads_proves_nothing_about_other_topics() -> None:
    freshness = Freshness(SETTINGS, random.Random(1))
    heads = tuple(Head(topic, 3) for topic in range(11, 11 + MAX_HEADS))
    freshness.on_push(Push(1, 90, 900, Level.SITE, heads), 900 * NS_PER_MS)
    number = freshness.start_poll(SECOND)
    freshness.on_push(Push(1, 90, 1_000, Level.SITE, heads, None, number), SECOND)
    assert freshness.verdict(Topic.PURGES, SECOND) is Verdict.STALE


def test_a_new_coordinators_clock_is_synchronised_again() -> None:
    freshness = synced()
    freshness.on_push(heartbeat(5, epoch=2), 2 * SECOND)
    freshness.on_applied(Topic.PURGES, 3)
    assert freshness.age(Topic.PURGES, 2 * SECOND) == SECOND + NS_PER_MS
    assert freshness.due is not None
    assert freshness.due <= 2 * SECOND + SETTINGS.clock_spread
    number = freshness.start_poll(freshness.due)
    freshness.on_push(heartbeat(400, poll_number=number, epoch=2), 3 * SECOND)
    freshness.on_applied(Topic.PURGES, 3)
    assert freshness.verdict(Topic.PURGES, 3 * SECOND) is Verdict.FRESH


@pytest.mark.parametrize("fast", [1.0003, 0.9997])
def test_a_clock_that_drifts_stays_fresh_and_safe(fast: float) -> None:
    freshness = synced()
    for sent_ms in range(1_000, 3 * 3_600_000, 250):
        now = int((SECOND + (sent_ms - 1_000) * NS_PER_MS) * fast)
        poll_number = freshness.start_poll(now) if freshness.due is not None and freshness.due <= now else 0
        freshness.on_push(heartbeat(sent_ms, poll_number=poll_number), now)
        freshness.on_applied(Topic.PURGES, 3)
        assert freshness.verdict(Topic.PURGES, now) is Verdict.FRESH


class Cache:
    """Records which stored objects a router purged or invalidated."""

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


def test_after_a_snapshot_older_than_the_log_no_fetch_is_trusted_until_the_log_is_past_it() -> None:
    """A snapshot is older than the log only after a divergence; fetches under its purges are not trusted."""
    purges = Purges(8, lambda _: None, lambda: None)
    purges.apply(9, b"a")
    token = purges.begin_fetch()
    purges.load(5, b"")
    assert purges.overtaken(b"x", token) is False
    assert purges.overtaken(b"x", purges.begin_fetch())
    for number in range(6, 10):
        purges.apply(number, b"b")
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
    state = Configuration(lambda _, value: check.get(value, ""), max_keys=2)
    assert state.apply(1, pack_change("limit", b"5")) == ""
    assert state.apply(2, pack_change("other", b"6")) == ""
    assert state.apply(3, record) == reason
    assert state.values == {"limit": b"5", "other": b"6"}
    assert state.apply(4, pack_change("other", b"")) == ""
    assert state.values == {"limit": b"5"}
