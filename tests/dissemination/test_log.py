"""Entries are taken once and in order of their numbers; gaps are listed; divergence is detected."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltport.dissemination.log import OfferResult, TopicLog
from saltport.dissemination.messages import Entry, Fetch, Level, Repair, SnapshotPart, Topic
from saltport.dissemination.settings import DisseminationSettings
from saltport.dissemination.states import Configuration, pack_change
from saltport.dissemination.topic_store import TopicStore


def entry(number: int, epoch: int = 1, previous_epoch: int | None = None) -> Entry:
    before = (epoch if number > 1 else 0) if previous_epoch is None else previous_epoch
    return Entry(Topic.PURGES, epoch, number, before, (b"key%d" % number,))


def test_entries_are_taken_in_order_and_once() -> None:
    log = TopicLog(8, 8)
    assert log.offer(entry(1)) is OfferResult.APPENDED
    assert log.offer(entry(1)) is OfferResult.DUPLICATE
    assert log.offer(entry(3)) is OfferResult.PENDING
    assert log.offer(entry(3)) is OfferResult.DUPLICATE
    assert log.missing(9) == (2,)
    assert log.offer(entry(2)) is OfferResult.APPENDED
    assert [taken.number for taken in log.take_ready()] == [1, 2, 3]
    assert log.take_ready() == []
    assert log.missing(9) == ()


@given(st.lists(st.integers(1, 30), max_size=120), st.integers(0, 2**32))
def test_any_arrival_order(arrivals: list[int], seed: int) -> None:
    """Entries that arrive in any order and repeatedly are applied in order, and without gaps."""
    log = TopicLog(64, 12)
    applied: list[int] = []
    for number in arrivals:
        log.offer(entry(number))
        applied += [taken.number for taken in log.take_ready()]
    assert applied == list(range(1, len(applied) + 1))
    rng = random.Random(seed)
    log.learn_head(30)
    while missing := list(log.missing(5)):
        rng.shuffle(missing)
        for number in missing:
            log.offer(entry(number))
        applied += [taken.number for taken in log.take_ready()]
    assert applied == list(range(1, 31))


def test_an_entry_far_beyond_a_gap_is_dropped_and_listed_as_missing() -> None:
    log = TopicLog(64, 4)
    assert log.offer(entry(6)) is OfferResult.DROPPED
    assert log.head == 6
    assert log.missing(99) == (1, 2, 3, 4)


def test_an_entry_after_another_predecessor_isnt_taken() -> None:
    log = TopicLog(8, 8)
    log.offer(entry(1, epoch=1))
    assert log.offer(entry(2, epoch=3, previous_epoch=2)) is OfferResult.DIVERGED
    assert log.diverged
    assert log.last == 1
    log.reset(2, 3)
    assert not log.diverged
    assert log.offer(entry(3, epoch=3)) is OfferResult.APPENDED


def test_an_older_epoch_isnt_taken_after_a_newer_one() -> None:
    log = TopicLog(8, 8)
    log.offer(entry(1, epoch=5))
    assert log.offer(entry(2, epoch=4, previous_epoch=5)) is OfferResult.DIVERGED


def test_a_snapshot_keeps_what_was_pending_beyond_it() -> None:
    log = TopicLog(8, 8)
    log.offer(entry(6))
    log.reset(5, 1)
    assert [taken.number for taken in log.take_ready()] == [6]
    assert log.last == 6


def test_truncated_entries_are_answered_with_a_snapshot() -> None:
    settings = DisseminationSettings(retained_entries=4)
    topic_store = TopicStore(settings, lambda _: Configuration(lambda *_: ""))
    for number in range(1, 11):
        record = pack_change(f"k{number % 3}", b"%d" % number)
        offer, applied = topic_store.offer(Entry(2, 1, number, 1 if number > 1 else 0, (record,)))
        assert offer is OfferResult.APPENDED
        assert [change.reason for change in applied] == [""]
    answer = topic_store.answer(Fetch(2, Level.SITE, (9, 11)))
    assert [type(message) for message in answer.messages] == [Repair]
    assert answer.missing_numbers == (11,)
    (part,) = topic_store.answer(Fetch(2, Level.SITE, (3,))).messages
    assert isinstance(part, SnapshotPart)
    other = TopicStore(settings, lambda _: Configuration(lambda *_: ""))
    other.load(2, part.number, part.epoch, part.data)
    assert other.states[2].save() == topic_store.states[2].save()
    assert other.logs[2].last == 10


def test_topics_are_bounded() -> None:
    topic_store = TopicStore(DisseminationSettings(max_topics=3), lambda _: None)
    offers = [topic_store.offer(Entry(topic, 1, 1, 0, (b"x",)))[0] for topic in range(1, 6)]
    assert offers == [OfferResult.APPENDED] * 3 + [OfferResult.DROPPED] * 2


def test_an_unknown_topic_is_logged_and_its_records_are_refused() -> None:
    topic_store = TopicStore(DisseminationSettings(), lambda _: None)
    _, applied = topic_store.offer(Entry(99, 1, 1, 0, (b"x",)))
    assert [change.reason for change in applied] == ["unknown topic"]
    assert topic_store.answer(Fetch(99, Level.SITE, (1,))).messages
    assert not topic_store.answer(Fetch(99, Level.SITE, ())).messages


def test_a_corrupt_snapshot_changes_nothing() -> None:
    topic_store = TopicStore(DisseminationSettings(), lambda _: Configuration(lambda *_: ""))
    topic_store.offer(Entry(2, 1, 1, 0, (pack_change("a", b"1"),)))
    with pytest.raises(ValueError, match=r"malformed|truncated|Expected"):
        topic_store.load(2, 9, 1, b"\xc1")
    assert topic_store.logs[2].last == 1
    state = topic_store.states[2]
    assert isinstance(state, Configuration)
    assert state.values == {"a": b"1"}
