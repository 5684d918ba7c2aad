"""Relays rotate and reach every router; a router that lacks an entry asks the right nodes."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from saltport.dissemination.acknowledgements import CHILD_EXPIRY_ROUNDS, Collector
from saltport.dissemination.budget import WorkKind
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
    Submit,
    TopicProgress,
)
from saltport.dissemination.placement import Placement, Site
from saltport.dissemination.relay import ForwardHistory, plan_forwards
from saltport.dissemination.repair import GapRepair
from saltport.dissemination.router import Router
from saltport.dissemination.settings import NS_PER_MS, NS_PER_S, DisseminationSettings
from saltport.dissemination.silence import SilenceDetector
from saltport.dissemination.states import TopicState
from saltport.dissemination.submissions import MAX_RECORD_BYTES, Outcome, SubmissionError, Submissions

SETTINGS = DisseminationSettings()
VOTERS = (900, 901, 902)
SITES = [Site(f"s{n}", f"g{n % 2}", tuple(range(n * 20, n * 20 + 20))) for n in range(6)]
PLACEMENT = Placement(SITES, VOTERS, SETTINGS)


def no_state(topic: int) -> TopicState | None:
    return None


def push(number: int, level: Level = Level.VOTERS, epoch: int = 1) -> Push:
    entry = Entry(1, epoch, number, epoch if number > 1 else 0, (b"k%d" % number,))
    return Push(epoch, VOTERS[0], number, level, (Head(1, number),), entry)


def router(node: int, placement: Placement = PLACEMENT) -> Router:
    return Router(node, placement, SETTINGS, no_state, random.Random(node), 77, 0)


@pytest.mark.parametrize("number", range(1, 25))
def test_all_routers_get_a_push_and_only_relays_get_it_twice(number: int) -> None:
    """Whichever relay of the region got the push, a router that is not a relay receives it exactly once."""
    rotation = PLACEMENT.rotation(1, number)
    deliveries: Counter[int] = Counter()
    forwarded = {node: ForwardHistory() for node in range(120)}
    waiting = [
        (PLACEMENT.region_relays(region, rotation)[number % 4], push(number)) for region in ("g0", "g1")
    ]
    while waiting:
        node, message = waiting.pop(0)
        deliveries[node] += 1
        site = PLACEMENT.site(node)
        assert site is not None
        for forward in plan_forwards(node, site, message, PLACEMENT, forwarded[node].levels(message)):
            waiting += [(target, push(number, forward.level)) for target in forward.targets]
    relays = {node for site in SITES for node in PLACEMENT.site_relays(site, rotation)}
    relays |= {node for region in PLACEMENT.regions for node in PLACEMENT.region_relays(region, rotation)}
    assert set(deliveries) == set(range(120))
    assert [node for node, count in deliveries.items() if count > 1 and node not in relays] == []
    assert max(deliveries.values()) <= 1 + SETTINGS.site_relays


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


def test_a_relay_that_its_own_view_doesnt_choose_forwards_to_all() -> None:
    other = next(n for n in range(20) if n not in PLACEMENT.site_relays(SITES[0], PLACEMENT.rotation(1, 1)))
    planned = list(plan_forwards(other, SITES[0], push(1, Level.REGION), PLACEMENT, set()))
    assert {target for forward in planned for target in forward.targets} | {other} >= set(range(20))


def test_a_push_is_forwarded_once() -> None:
    relay = router(PLACEMENT.site_relays(SITES[0], PLACEMENT.rotation(1, 1))[0])
    relay.receive(3, push(1, Level.REGION), 0)
    assert len(relay.take_datagrams()) == 1 + 9
    relay.receive(4, push(1, Level.REGION), 0)
    assert relay.take_datagrams() == []
    assert len(relay.applied) == 1


def test_a_region_relay_forwards_what_it_got_as_a_site_relay() -> None:
    """The redundancy of region relays must not depend on which copy of a push arrives first."""
    rotation = PLACEMENT.rotation(1, 1)
    relay = router(PLACEMENT.region_relays("g0", rotation)[1])
    relay.receive(3, push(1, Level.REGION), 0)
    within = {out.target for out in relay.take_datagrams()}
    relay.receive(VOTERS[0], push(1, Level.VOTERS), 0)
    later = [out for out in relay.take_datagrams() if isinstance(out.message, Push)]
    chosen = {PLACEMENT.site_relays(site, rotation)[1] for site in SITES[::2]}
    assert {out.target for out in later} == chosen - {relay.node}
    assert {out.message.level for out in later if isinstance(out.message, Push)} == {Level.REGION}
    assert within


def test_an_old_coordinator_is_refused() -> None:
    node = router(0)
    node.receive(3, push(1, Level.SITE, epoch=5), 0)
    late = Push(4, VOTERS[1], 99, Level.REGION, (Head(1, 50),), Entry(1, 4, 2, 4, (b"x",)))
    node.receive(3, late, 0)
    assert [record.epoch for record in node.applied] == [5]
    assert node.fence.refused == 1
    assert node.take_datagrams() == []


def sent(node: Router, kind: type[Message]) -> list[tuple[int, Message]]:
    return [(out.target, out.message) for out in node.take_datagrams() if isinstance(out.message, kind)]


def test_a_gap_is_asked_for_at_relays_and_answered_in_order() -> None:
    node = router(0)
    number = next(
        n for n in range(2, 40) if 0 not in PLACEMENT.site_relays(SITES[0], PLACEMENT.rotation(1, n))
    )
    for earlier in range(1, number):
        node.receive(3, push(earlier, Level.SITE), 0)
    node.receive(3, push(number + 1, Level.SITE), 0)
    node.take_datagrams()
    assert node.due is not None
    node.tick(SETTINGS.gap_grace)
    asked = [(target, fetch) for target, fetch in sent(node, Fetch)]
    assert asked[0][1] == Fetch(1, Level.SITE, (number,))
    assert asked[0][0] in PLACEMENT.site_relays(SITES[0], PLACEMENT.rotation(1, number))
    entry = push(number).entry
    assert entry is not None
    node.receive(asked[0][0], Repair(entry), NS_PER_MS * 20)
    assert [record.number for record in node.applied] == list(range(1, number + 2))


def test_a_node_asked_for_an_entry_it_lacks_asks_one_level_higher() -> None:
    rotation = PLACEMENT.rotation(1, 1)
    relay = router(PLACEMENT.site_relays(SITES[0], rotation)[0])
    relay.receive(7, Fetch(1, Level.SITE, (1,)), 0)
    relay.tick(0)
    targets = [target for target, _ in sent(relay, Fetch)]
    assert targets
    assert all(PLACEMENT.site(target) is None or target // 20 % 2 == 0 for target in targets)
    region_relay = router(PLACEMENT.region_relays("g0", rotation)[0])
    region_relay.receive(7, Fetch(1, Level.REGION, (1,)), 0)
    region_relay.tick(0)
    assert any(target in VOTERS for target, _ in sent(region_relay, Fetch))


def test_fetches_reach_the_voters_at_last_and_slow_down() -> None:
    log = TopicLog(64, 64)
    log.learn_head(3)
    repair = GapRepair(log, SETTINGS)
    repair.check_for_gap(0)
    levels: list[Level] = []
    asked = 0
    while repair.due is not None and repair.due < 10 * NS_PER_S:
        fetches = repair.plan_fetches(repair.due, lambda _: Level.SITE)
        asked += len(fetches)
        levels += [planned.level for planned in fetches]
    assert levels[0] is Level.SITE
    assert Level.VOTERS in levels
    assert levels.count(Level.VOTERS) <= 60
    assert asked <= 10 * 30


def test_a_forged_number_far_ahead_isnt_believed_from_a_fetch() -> None:
    node = router(0)
    node.receive(3, Fetch(1, Level.SITE, (10**6,)), 0)
    assert node.topic_store.logs[1].head == 0


def test_a_storm_of_fetches_gives_way_to_pushes() -> None:
    """Answers to fetches are dropped first and bounded; pushes are still forwarded."""
    relay = router(PLACEMENT.site_relays(SITES[0], PLACEMENT.rotation(1, 30))[0])
    for number in range(1, 30):
        relay.receive(3, push(number, Level.SITE), 0)
    relay.take_datagrams()
    for _ in range(SETTINGS.burst_messages):
        relay.receive(7, Fetch(1, Level.SITE, tuple(range(1, 17))), 0)
    answered = sum(out.size for out in relay.take_datagrams())
    assert answered <= SETTINGS.burst_bytes * 2 / 3
    assert relay.dropped[WorkKind.REPAIR]
    assert relay.incoming_budget.dropped[WorkKind.REPAIR]
    relay.receive(3, push(30, Level.REGION), 0)
    assert len(sent(relay, Push)) == 1 + 9
    assert not relay.dropped.get(WorkKind.PUSH)


def test_a_router_outside_the_view_doesnt_relay() -> None:
    """A router that is missing from the view applies pushes, and fetches from the voters."""
    node = router(555)
    node.receive(3, push(3, Level.REGION), 0)
    assert node.take_datagrams() == []
    node.tick(SETTINGS.gap_grace)
    assert {target for target, _ in sent(node, Fetch)} <= set(VOTERS)


def test_silence_is_polled_more_and_more_slowly() -> None:
    detector = SilenceDetector(SETTINGS, 0)
    detector.on_push(1, 1, 0)
    polls: list[tuple[int, Level]] = []
    while detector.due < 60 * NS_PER_S:
        now = detector.due
        polls.append((now, detector.next_poll(now)))
    assert polls[0] == (SETTINGS.silence_timeout, Level.SITE)
    assert len(polls) < 80
    assert {level for _, level in polls} == set(Level)
    assert not detector.on_push(1, 1, 60 * NS_PER_S)
    assert detector.on_push(2, 0, 60 * NS_PER_S)


def test_a_poll_is_answered_with_the_latest_heartbeat() -> None:
    node = router(0)
    node.receive(5, Poll(), 0)
    assert node.take_datagrams() == []
    node.receive(3, push(1, Level.SITE), 0)
    node.receive(5, Poll(), 0)
    assert sent(node, Push) == [(5, Push(1, VOTERS[0], 1, Level.SITE, (Head(1, 1),)))]


# Acknowledgements


def acknowledgement(child: int, number: int, lowest_number: int, count: int = 1) -> Acknowledgement:
    return Acknowledgement(number, Level.SITE, count, (TopicProgress(1, lowest_number, child),))


def test_children_are_counted_once_and_lost_acknowledgements_bridged() -> None:
    collector = Collector(NS_PER_S // 2, NS_PER_S)
    for number in range(1, 10):
        for child in range(20):
            if (child + number) % 3:
                collector.add(
                    str(child), acknowledgement(child, number, 100 * number + child), number * NS_PER_S * 2
                )
        (summed,) = collector.take_due(number * NS_PER_S * 2 + NS_PER_S)
    assert summed.router_count == 20
    assert summed.progress == (TopicProgress(1, 802, 2),) or summed.progress[0].lowest_number < 900
    assert summed.level is Level.REGION


def test_a_child_that_falls_silent_isnt_counted_any_more() -> None:
    collector = Collector(0, 0)
    collector.add("a", acknowledgement(1, 1, 5), 0)
    for number in range(1, 2 + CHILD_EXPIRY_ROUNDS):
        collector.add("b", acknowledgement(2, number, 9), 0)
    summed = collector.combine(Level.SITE)
    assert (summed.router_count, summed.progress) == (1, (TopicProgress(1, 9, 2),))


def test_rejections_are_added_up_and_the_latest_go_first() -> None:
    collector = Collector(0, 0)
    for child in range(30):
        reasons = tuple(Rejection(2, number, 0, "no number") for number in range(1, 8))
        collector.add(str(child), Acknowledgement(1, Level.SITE, 1, (), reasons), 0)
    summed = collector.combine(Level.SITE)
    assert [rejection.number for rejection in summed.rejections] == [7, 6, 5, 4]
    assert {rejection.count for rejection in summed.rejections} == {30}


# Submissions

START = 1_000


def submissions() -> Submissions:
    queue = Submissions(START, VOTERS, SETTINGS)
    queue.coordinator = VOTERS[0]
    return queue


def test_undecided_submissions_are_sent_again_in_order() -> None:
    queue = submissions()
    first, second = queue.submit(1, b"a", 0), queue.submit(1, b"b", 0)
    for now in (0, SETTINGS.submit_retry):
        for target, submit in queue.tick(now):
            assert target == VOTERS[0]
            assert [submission.sequence for submission in submit.submissions] == [first, second]
    queue.on_decision(Decision(START, (first,)))
    ((_, submit), _) = queue.tick(2 * SETTINGS.submit_retry)
    assert [submission.sequence for submission in submit.submissions] == [second]
    assert [(submission.sequence, submission.outcome) for submission in queue.outcomes] == [
        (first, Outcome.COMMITTED)
    ]


def test_a_refusal_is_final_only_if_no_other_voter_got_it() -> None:
    queue = submissions()
    sequence = queue.submit(1, b"a", 0)
    queue.tick(0)
    queue.on_decision(Decision(START, (), (Refusal(sequence, "no majority"),)))
    assert [submission.outcome for submission in queue.outcomes] == [Outcome.REFUSED]
    queue = submissions()
    sequence = queue.submit(1, b"a", 0)
    for retry in range(8):
        queue.tick(retry * SETTINGS.submit_retry)
    queue.on_decision(Decision(START, (), (Refusal(sequence, "no majority"),)))
    assert queue.outcomes == []
    queue.tick(SETTINGS.submit_timeout)
    assert [submission.outcome for submission in queue.outcomes] == [Outcome.UNKNOWN]


def test_submissions_are_bounded() -> None:
    queue = submissions()
    with pytest.raises(SubmissionError, match="bytes"):
        queue.submit(1, b"x" * (MAX_RECORD_BYTES + 1), 0)
    for _ in range(SETTINGS.max_submissions):
        queue.submit(1, b"x", 0)
    with pytest.raises(SubmissionError, match="too many"):
        queue.submit(1, b"x", 0)
    assert all(isinstance(submit, Submit) for _, submit in queue.tick(0))
