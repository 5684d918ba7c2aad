"""Relays: each router is told by those who share a view, in turn; who lacks something asks the right ones."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from saltport.dissemination.acknowledgements import ROUNDS_HELD, Collector
from saltport.dissemination.budget import Work
from saltport.dissemination.log import TopicLog
from saltport.dissemination.messages import (
    Acknowledgement,
    Decision,
    Entry,
    Fetch,
    Head,
    Level,
    Message,
    Poll,
    Push,
    Refusal,
    Rejection,
    Repair,
    Row,
    Submit,
)
from saltport.dissemination.placement import Placement, Site
from saltport.dissemination.relay import Forwarded, forwards
from saltport.dissemination.repair import GapRepair
from saltport.dissemination.router import Router
from saltport.dissemination.settings import NS_PER_MS, NS_PER_S, DisseminationSettings
from saltport.dissemination.silence import Silence
from saltport.dissemination.states import TopicState
from saltport.dissemination.submissions import MOST_BODY, Outcome, SubmissionError, Submissions

SETTINGS = DisseminationSettings()
VOTERS = (900, 901, 902)
SITES = [Site(f"s{n}", f"g{n % 2}", tuple(range(n * 20, n * 20 + 20))) for n in range(6)]
PLACEMENT = Placement(SITES, VOTERS, SETTINGS)


def nothing(topic: int) -> TopicState | None:
    return None


def push(number: int, level: Level = Level.VOTERS, epoch: int = 1) -> Push:
    entry = Entry(1, epoch, number, epoch if number > 1 else 0, (b"k%d" % number,))
    return Push(epoch, VOTERS[0], number, level, (Head(1, number),), entry)


def router(node: int, placement: Placement = PLACEMENT) -> Router:
    return Router(node, placement, SETTINGS, nothing, random.Random(node), 77, 0)


@pytest.mark.parametrize("number", range(1, 25))
def test_all_routers_are_told_and_only_relays_twice(number: int) -> None:
    """Whichever of the region's relays got it: a router that relays nothing is told exactly once."""
    turn = PLACEMENT.turn(1, number)
    told: Counter[int] = Counter()
    forwarded = {node: Forwarded() for node in range(120)}
    waiting = [(PLACEMENT.region_relays(region, turn)[number % 4], push(number)) for region in ("g0", "g1")]
    while waiting:
        node, message = waiting.pop(0)
        told[node] += 1
        site = PLACEMENT.site(node)
        assert site is not None
        for forward in forwards(node, site, message, PLACEMENT, forwarded[node].levels(message)):
            waiting += [(target, push(number, forward.level)) for target in forward.targets]
    relays = {node for site in SITES for node in PLACEMENT.site_relays(site, turn)}
    relays |= {node for region in PLACEMENT.regions for node in PLACEMENT.region_relays(region, turn)}
    assert set(told) == set(range(120))
    assert [node for node, count in told.items() if count > 1 and node not in relays] == []
    assert max(told.values()) <= 1 + SETTINGS.site_relays


def test_relaying_is_shared_evenly() -> None:
    site = SITES[0]
    relays = Counter(node for number in range(1, 1_001) for node in PLACEMENT.site_relays(site, number))
    assert len(relays) == 20
    assert max(relays.values()) - min(relays.values()) <= 1
    relays = Counter(node for number in range(1, 6_001) for node in PLACEMENT.region_relays("g0", number))
    assert max(relays.values()) - min(relays.values()) <= 1


def test_the_same_view_gives_the_same_relays_in_any_order_of_sites() -> None:
    other = Placement(reversed(SITES), VOTERS, SETTINGS)
    for number in range(50):
        assert other.region_relays("g0", number) == PLACEMENT.region_relays("g0", number)
        assert other.site_relays(SITES[3], number) == PLACEMENT.site_relays(SITES[3], number)


def test_a_relay_that_its_own_view_doesnt_choose_tells_everybody() -> None:
    other = next(n for n in range(20) if n not in PLACEMENT.site_relays(SITES[0], PLACEMENT.turn(1, 1)))
    told = list(forwards(other, SITES[0], push(1, Level.REGION), PLACEMENT, set()))
    assert {target for forward in told for target in forward.targets} | {other} >= set(range(20))


def test_a_push_is_passed_on_once() -> None:
    relay = router(PLACEMENT.site_relays(SITES[0], PLACEMENT.turn(1, 1))[0])
    relay.receive(3, push(1, Level.REGION), 0)
    assert len(relay.take()) == 1 + 9
    relay.receive(4, push(1, Level.REGION), 0)
    assert relay.take() == []
    assert len(relay.applied) == 1


def test_a_region_relay_passes_on_what_it_had_as_a_sites_relay() -> None:
    """Redundancy of the region's relays must not hang on which copy came first."""
    turn = PLACEMENT.turn(1, 1)
    relay = router(PLACEMENT.region_relays("g0", turn)[1])
    relay.receive(3, push(1, Level.REGION), 0)
    within = {out.target for out in relay.take()}
    relay.receive(VOTERS[0], push(1, Level.VOTERS), 0)
    later = [out for out in relay.take() if isinstance(out.message, Push)]
    chosen = {PLACEMENT.site_relays(site, turn)[1] for site in SITES[::2]}
    assert {out.target for out in later} == chosen - {relay.node}
    assert {out.message.level for out in later if isinstance(out.message, Push)} == {Level.REGION}
    assert within


def test_an_old_coordinator_is_refused() -> None:
    node = router(0)
    node.receive(3, push(1, Level.SITE, epoch=5), 0)
    late = Push(4, VOTERS[1], 99, Level.REGION, (Head(1, 50),), Entry(1, 4, 2, 4, (b"x",)))
    node.receive(3, late, 0)
    assert [one.epoch for one in node.applied] == [5]
    assert node.fence.refused == 1
    assert node.take() == []


def sent(node: Router, kind: type[Message]) -> list[tuple[int, Message]]:
    return [(out.target, out.message) for out in node.take() if isinstance(out.message, kind)]


def test_a_gap_is_asked_for_at_relays_and_answered_in_order() -> None:
    node = router(0)
    number = next(n for n in range(2, 40) if 0 not in PLACEMENT.site_relays(SITES[0], PLACEMENT.turn(1, n)))
    for earlier in range(1, number):
        node.receive(3, push(earlier, Level.SITE), 0)
    node.receive(3, push(number + 1, Level.SITE), 0)
    node.take()
    assert node.due is not None
    node.turn(SETTINGS.gap_grace)
    asked = [(target, fetch) for target, fetch in sent(node, Fetch)]
    assert asked[0][1] == Fetch(1, Level.SITE, (number,))
    assert asked[0][0] in PLACEMENT.site_relays(SITES[0], PLACEMENT.turn(1, number))
    entry = push(number).entry
    assert entry is not None
    node.receive(asked[0][0], Repair(entry), NS_PER_MS * 20)
    assert [one.number for one in node.applied] == list(range(1, number + 2))


def test_who_is_asked_and_lacks_it_asks_further_up() -> None:
    turn = PLACEMENT.turn(1, 1)
    relay = router(PLACEMENT.site_relays(SITES[0], turn)[0])
    relay.receive(7, Fetch(1, Level.SITE, (1,)), 0)
    relay.turn(0)
    targets = [target for target, _ in sent(relay, Fetch)]
    assert targets
    assert all(PLACEMENT.site(target) is None or target // 20 % 2 == 0 for target in targets)
    region_relay = router(PLACEMENT.region_relays("g0", turn)[0])
    region_relay.receive(7, Fetch(1, Level.REGION, (1,)), 0)
    region_relay.turn(0)
    assert any(target in VOTERS for target, _ in sent(region_relay, Fetch))


def test_fetches_reach_the_voters_at_last_and_slow_down() -> None:
    log = TopicLog(64, 64)
    log.learn(3)
    repair = GapRepair(log, SETTINGS)
    repair.notice(0)
    levels: list[Level] = []
    asked = 0
    while repair.due is not None and repair.due < 10 * NS_PER_S:
        questions = repair.ask(repair.due, lambda _: Level.SITE)
        asked += len(questions)
        levels += [question.level for question in questions]
    assert levels[0] is Level.SITE
    assert Level.VOTERS in levels
    assert levels.count(Level.VOTERS) <= 60
    assert asked <= 10 * 30


def test_a_forged_number_far_ahead_isnt_believed_from_a_fetch() -> None:
    node = router(0)
    node.receive(3, Fetch(1, Level.SITE, (10**6,)), 0)
    assert node.archive.logs[1].head == 0


def test_a_storm_of_fetches_gives_way_to_pushes() -> None:
    """Answers are dropped first and bounded; what is pushed on still goes out."""
    relay = router(PLACEMENT.site_relays(SITES[0], PLACEMENT.turn(1, 30))[0])
    for number in range(1, 30):
        relay.receive(3, push(number, Level.SITE), 0)
    relay.take()
    for _ in range(SETTINGS.burst_messages):
        relay.receive(7, Fetch(1, Level.SITE, tuple(range(1, 17))), 0)
    answered = sum(out.size for out in relay.take())
    assert answered <= SETTINGS.burst_bytes * 2 / 3
    assert relay.refused[Work.REPAIR]
    assert relay.incoming.refused[Work.REPAIR]
    relay.receive(3, push(30, Level.REGION), 0)
    assert len(sent(relay, Push)) == 1 + 9
    assert not relay.refused.get(Work.PUSH)


def test_a_stranger_is_no_relay() -> None:
    """A router that the view doesn't have takes what it is told, and asks the voters."""
    node = router(555)
    node.receive(3, push(3, Level.REGION), 0)
    assert node.take() == []
    node.turn(SETTINGS.gap_grace)
    assert {target for target, _ in sent(node, Fetch)} <= set(VOTERS)


def test_silence_is_polled_more_and_more_slowly() -> None:
    silence = Silence(SETTINGS, 0)
    silence.heard(1, 1, 0)
    polls: list[tuple[int, Level]] = []
    while silence.due < 60 * NS_PER_S:
        now = silence.due
        polls.append((now, silence.poll(now)))
    assert polls[0] == (SETTINGS.silence, Level.SITE)
    assert len(polls) < 80
    assert {level for _, level in polls} == set(Level)
    assert not silence.heard(1, 1, 60 * NS_PER_S)
    assert silence.heard(2, 0, 60 * NS_PER_S)


def test_a_poll_is_answered_with_the_beat_that_was_heard() -> None:
    node = router(0)
    node.receive(5, Poll(), 0)
    assert node.take() == []
    node.receive(3, push(1, Level.SITE), 0)
    node.receive(5, Poll(), 0)
    assert sent(node, Push) == [(5, Push(1, VOTERS[0], 1, Level.SITE, (Head(1, 1),)))]


# Acknowledgements


def told(child: int, number: int, lowest: int, count: int = 1) -> Acknowledgement:
    return Acknowledgement(number, Level.SITE, count, (Row(1, lowest, child),))


def test_children_are_counted_once_and_lost_words_bridged() -> None:
    collector = Collector(NS_PER_S // 2, NS_PER_S)
    for number in range(1, 10):
        for child in range(20):
            if (child + number) % 3:
                collector.add(str(child), told(child, number, 100 * number + child), number * NS_PER_S * 2)
        (summed,) = collector.take(number * NS_PER_S * 2 + NS_PER_S)
    assert summed.counted == 20
    assert summed.rows == (Row(1, 802, 2),) or summed.rows[0].lowest < 900
    assert summed.level is Level.REGION


def test_a_child_that_falls_silent_isnt_counted_any_more() -> None:
    collector = Collector(0, 0)
    collector.add("a", told(1, 1, 5), 0)
    for number in range(1, 2 + ROUNDS_HELD):
        collector.add("b", told(2, number, 9), 0)
    summed = collector.sum(Level.SITE)
    assert (summed.counted, summed.rows) == (1, (Row(1, 9, 2),))


def test_reasons_are_added_up_and_the_latest_go_first() -> None:
    collector = Collector(0, 0)
    for child in range(30):
        reasons = tuple(Rejection(2, number, 0, "no number") for number in range(1, 8))
        collector.add(str(child), Acknowledgement(1, Level.SITE, 1, (), reasons), 0)
    summed = collector.sum(Level.SITE)
    assert [told.number for told in summed.rejections] == [7, 6, 5, 4]
    assert {told.count for told in summed.rejections} == {30}


# Submissions

START = 1_000


def submissions() -> Submissions:
    held = Submissions(START, VOTERS, SETTINGS)
    held.coordinator = VOTERS[0]
    return held


def test_undecided_ones_are_sent_again_in_order() -> None:
    held = submissions()
    first, second = held.submit(1, b"a", 0), held.submit(1, b"b", 0)
    for now in (0, SETTINGS.submit_retry):
        for target, submit in held.turn(now):
            assert target == VOTERS[0]
            assert [one.sequence for one in submit.submissions] == [first, second]
    held.decided(Decision(START, (first,)))
    ((_, submit), _) = held.turn(2 * SETTINGS.submit_retry)
    assert [one.sequence for one in submit.submissions] == [second]
    assert [(one.sequence, one.outcome) for one in held.outcomes] == [(first, Outcome.COMMITTED)]


def test_a_refusal_is_final_only_if_no_other_voter_got_it() -> None:
    held = submissions()
    sequence = held.submit(1, b"a", 0)
    held.turn(0)
    held.decided(Decision(START, (), (Refusal(sequence, "no majority"),)))
    assert [one.outcome for one in held.outcomes] == [Outcome.REFUSED]
    held = submissions()
    sequence = held.submit(1, b"a", 0)
    for retry in range(8):
        held.turn(retry * SETTINGS.submit_retry)
    held.decided(Decision(START, (), (Refusal(sequence, "no majority"),)))
    assert held.outcomes == []
    held.turn(SETTINGS.submit_give_up)
    assert [one.outcome for one in held.outcomes] == [Outcome.UNKNOWN]


def test_submissions_are_bounded() -> None:
    held = submissions()
    with pytest.raises(SubmissionError, match="bytes"):
        held.submit(1, b"x" * (MOST_BODY + 1), 0)
    for _ in range(SETTINGS.most_submissions):
        held.submit(1, b"x", 0)
    with pytest.raises(SubmissionError, match="too many"):
        held.submit(1, b"x", 0)
    assert all(isinstance(submit, Submit) for _, submit in held.turn(0))
