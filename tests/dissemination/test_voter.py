"""The coordinator orders submissions by router and topic, and pushes committed entries only."""

from __future__ import annotations

from saltport.dissemination.ledger import MAX_OUTCOMES, MAX_STREAMS, OutcomeLedger
from saltport.dissemination.messages import (
    Acknowledgement,
    Decision,
    Entry,
    Fetch,
    Level,
    Message,
    Origin,
    Poll,
    Proposal,
    Push,
    Refusal,
    Rejection,
    Repair,
    Submission,
    Submit,
    TopicProgress,
)
from saltport.dissemination.placement import Placement, Site
from saltport.dissemination.settings import NS_PER_S, DisseminationSettings
from saltport.dissemination.states import TopicState
from saltport.dissemination.submissions import MAX_RECORD_BYTES
from saltport.dissemination.term import NO_MAJORITY, OVERLOADED, TOO_LARGE
from saltport.dissemination.voter import Voter

SETTINGS = DisseminationSettings()
BATCH = SETTINGS.batch_interval
START = 1_000
SITES = [Site("s0", "g0", tuple(range(10))), Site("s1", "g1", tuple(range(10, 20)))]
PLACEMENT = Placement(SITES, (90, 91, 92), SETTINGS)


def no_state(topic: int) -> TopicState | None:
    return None


def voter(node: int = 90) -> Voter:
    return Voter(node, PLACEMENT, SETTINGS, no_state, 0)


def leader(epoch: int = 1) -> Voter:
    coordinator = voter()
    coordinator.become_coordinator(epoch, 0)
    return coordinator


def submit(*sequences: int, topic: int = 1, body: bytes = b"") -> Submit:
    return Submit(
        START, tuple(Submission(sequence, topic, body or b"r%d" % sequence) for sequence in sequences)
    )


def sent(coordinator: Voter, kind: type[Message]) -> list[Message]:
    return [out.message for out in coordinator.take_datagrams() if isinstance(out.message, kind)]


def committed(coordinator: Voter, now: int) -> list[bytes]:
    coordinator.tick(now)
    proposals = coordinator.take_proposals()
    for proposal in proposals:
        coordinator.on_committed(proposal, now)
    return [record for proposal in proposals for record in proposal.entry.records]


def test_repeated_submissions_are_committed_once_and_in_order() -> None:
    coordinator = leader()
    for message in (submit(5), submit(5, 6), submit(5), submit(5, 6, 7)):
        coordinator.receive(3, message, 0)
    assert committed(coordinator, BATCH) == [b"r5", b"r6", b"r7"]
    coordinator.receive(3, submit(6, 7), BATCH)
    assert sent(coordinator, Decision)[-1] == Decision(START, (6, 7))
    assert committed(coordinator, 2 * BATCH) == []


def test_nothing_is_pushed_before_it_is_committed() -> None:
    coordinator = leader()
    coordinator.tick(0)
    coordinator.take_datagrams()
    coordinator.receive(3, submit(5), 0)
    coordinator.tick(BATCH)
    pushes = sent(coordinator, Push)
    assert all(
        isinstance(message, Push) and message.entry is None and not message.heads for message in pushes
    )
    (proposal,) = coordinator.take_proposals()
    coordinator.on_committed(proposal, BATCH)
    assert [message.entry for message in sent(coordinator, Push) if isinstance(message, Push)] == [
        proposal.entry
    ] * 8


def test_a_new_coordinator_continues_where_the_log_ends() -> None:
    coordinator, other = leader(), voter(91)
    coordinator.receive(3, submit(5), 0)
    coordinator.tick(BATCH)
    (proposal,) = coordinator.take_proposals()
    coordinator.on_committed(proposal, BATCH)
    other.on_committed(proposal, BATCH)
    coordinator.receive(3, submit(6), BATCH)
    coordinator.tick(2 * BATCH)
    assert len(coordinator.take_proposals()) == 1
    other.become_coordinator(2, 3 * BATCH)
    other.receive(3, submit(5, 6), 3 * BATCH)
    other.tick(4 * BATCH)
    (after,) = other.take_proposals()
    assert (after.entry.number, after.entry.epoch, after.entry.previous_epoch) == (2, 2, 1)
    assert after.entry.records == (b"r6",)


def test_a_coordinator_that_stepped_down_proposes_and_answers_nothing() -> None:
    coordinator = leader()
    coordinator.receive(3, submit(5), 0)
    coordinator.tick(BATCH)
    coordinator.take_datagrams()
    coordinator.step_down()
    assert coordinator.take_proposals() == []
    coordinator.receive(3, submit(6), BATCH)
    coordinator.receive(3, Poll(), BATCH)
    coordinator.tick(9 * BATCH)
    assert coordinator.take_datagrams() == []
    assert coordinator.epoch is None


def test_a_coordinator_without_a_majority_refuses_and_sends_no_heartbeat() -> None:
    coordinator = leader()
    late = SETTINGS.lease + BATCH
    coordinator.receive(3, submit(5), late)
    assert sent(coordinator, Decision) == [Decision(START, (), (Refusal(5, NO_MAJORITY),))]
    coordinator.receive(3, Poll(), late)
    coordinator.tick(late)
    assert coordinator.take_datagrams() == []
    coordinator.on_majority_confirmed(late)
    coordinator.receive(3, submit(5, 6), late)
    assert sent(coordinator, Decision) == [Decision(START, (), (Refusal(5, NO_MAJORITY),))]
    assert committed(coordinator, late + BATCH) == [b"r6"]


def test_a_deposed_coordinator_pushes_nothing_of_its_successors() -> None:
    coordinator = leader()
    coordinator.receive(3, submit(5), 0)
    coordinator.tick(BATCH)
    coordinator.take_datagrams()
    (mine,) = coordinator.take_proposals()
    late = SETTINGS.lease + 1
    coordinator.on_committed(mine, late)
    assert coordinator.take_datagrams() == []
    coordinator.on_committed(Proposal(Entry(1, 2, 2, 1, (b"theirs",)), (Origin(4, START, 1),)), late)
    assert coordinator.take_datagrams() == []
    assert coordinator.epoch is None
    assert coordinator.topic_store.logs[1].last == 2


def test_exceeded_bounds_are_refused_with_a_reason() -> None:
    coordinator = leader()
    coordinator.receive(3, submit(5, body=b"x" * (MAX_RECORD_BYTES + 1)), 0)
    assert sent(coordinator, Decision) == [Decision(START, (), (Refusal(5, TOO_LARGE),))]
    refused = 0
    for router in range(3 * SETTINGS.submissions_per_s):
        coordinator.receive(router, submit(9), 0)
    for message in sent(coordinator, Decision):
        assert isinstance(message, Decision)
        refused += sum(refusal.reason == OVERLOADED for refusal in message.refusals)
    assert refused == SETTINGS.submissions_per_s
    assert len(committed(coordinator, BATCH)) == 2 * SETTINGS.submissions_per_s


def test_large_batches_are_split_into_entries() -> None:
    coordinator = leader()
    for router in range(40):
        coordinator.receive(router, submit(9, body=b"%02d" % router * 15), 0)
    coordinator.tick(BATCH)
    entries = [proposal.entry for proposal in coordinator.take_proposals()]
    assert [entry.number for entry in entries] == list(range(1, len(entries) + 1))
    assert [entry.previous_epoch for entry in entries] == [0] + [1] * (len(entries) - 1)
    assert [record for entry in entries for record in entry.records] == [b"%02d" % n * 15 for n in range(40)]


def test_each_voter_answers_fetches() -> None:
    replica = voter(92)
    entry = Entry(1, 1, 1, 0, (b"x",))
    replica.on_committed(Proposal(entry, ()), 0)
    replica.receive(3, Fetch(1, Level.VOTERS, (1, 2)), 0)
    assert sent(replica, Repair) == [Repair(entry)]


def test_reasons_of_rejections_reach_the_submitting_router() -> None:
    coordinator = leader()
    coordinator.receive(3, submit(5, 6, topic=2), 0)
    coordinator.tick(BATCH)
    (proposal,) = coordinator.take_proposals()
    coordinator.on_committed(proposal, BATCH)
    coordinator.take_datagrams()
    for node, number, count in ((1, 1, 9), (2, 2, 10), (12, 2, 10)):
        message = Acknowledgement(
            number,
            Level.VOTERS,
            10,
            (TopicProgress(2, 1, node),),
            (Rejection(2, 1, 1, "not a number", count),),
        )
        coordinator.receive(node, message, NS_PER_S)
    assert sent(coordinator, Decision) == [Decision(START, (), (), (Refusal(6, "not a number"),))]
    assert coordinator.rejections == {(2, 1, 1, "not a number"): 20}
    assert coordinator.acknowledgement_summary.router_count == 20


def test_a_new_process_begins_anew_even_with_a_lower_start() -> None:
    """After the clock was set back, a new process's first change must not count as one of the old process."""
    coordinator = leader()
    coordinator.receive(3, submit(1, 2), 0)
    assert committed(coordinator, BATCH) == [b"r1", b"r2"]
    coordinator.take_datagrams()
    coordinator.receive(3, Submit(START - 9, (Submission(1, 1, b"new"),)), BATCH)
    assert committed(coordinator, 2 * BATCH) == [b"new"]
    assert sent(coordinator, Decision) == [Decision(START - 9, (1,))]


def test_remembered_outcomes_are_bounded_and_older_ones_unknown() -> None:
    outcomes = OutcomeLedger()
    for router in range(MAX_OUTCOMES + 10):
        outcomes.record_committed(Origin(router, START, 1), 1)
    assert outcomes.outcome(Origin(3, START, 1)) is None
    assert outcomes.outcome(Origin(MAX_OUTCOMES, START, 1)) == ""
    assert len(outcomes.last_committed()) == MAX_STREAMS


def test_a_refused_submission_before_a_committed_one_stays_refused() -> None:
    coordinator = leader()
    late = SETTINGS.lease + BATCH
    coordinator.receive(3, submit(5), late)
    coordinator.on_majority_confirmed(late)
    coordinator.receive(3, submit(6), late)
    assert committed(coordinator, late + BATCH) == [b"r6"]
    coordinator.take_datagrams()
    coordinator.receive(3, submit(5, 6), late + BATCH)
    assert sent(coordinator, Decision) == [Decision(START, (6,), (Refusal(5, NO_MAJORITY),))]
