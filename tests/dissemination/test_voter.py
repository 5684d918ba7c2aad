"""The coordinator: order by router and topic, nothing pushed before it is committed, lasting refusals."""

from __future__ import annotations

from saltport.dissemination.ledger import MOST_OUTCOMES, MOST_STREAMS, Ledger
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
    Row,
    Submission,
    Submit,
)
from saltport.dissemination.placement import Placement, Site
from saltport.dissemination.settings import NS_PER_S, DisseminationSettings
from saltport.dissemination.states import TopicState
from saltport.dissemination.submissions import MOST_BODY
from saltport.dissemination.term import NO_MAJORITY, OVERLOADED, TOO_LARGE
from saltport.dissemination.voter import Voter

SETTINGS = DisseminationSettings()
BATCH = SETTINGS.batch
START = 1_000
SITES = [Site("s0", "g0", tuple(range(10))), Site("s1", "g1", tuple(range(10, 20)))]
PLACEMENT = Placement(SITES, (90, 91, 92), SETTINGS)


def nothing(topic: int) -> TopicState | None:
    return None


def voter(node: int = 90) -> Voter:
    return Voter(node, PLACEMENT, SETTINGS, nothing, 0)


def leader(epoch: int = 1) -> Voter:
    held = voter()
    held.lead(epoch, 0)
    return held


def submit(*sequences: int, topic: int = 1, body: bytes = b"") -> Submit:
    return Submit(START, tuple(Submission(one, topic, body or b"r%d" % one) for one in sequences))


def sent(held: Voter, kind: type[Message]) -> list[Message]:
    return [out.message for out in held.take() if isinstance(out.message, kind)]


def committed(held: Voter, now: int) -> list[bytes]:
    held.turn(now)
    proposals = held.take_proposals()
    for proposal in proposals:
        held.committed(proposal, now)
    return [record for proposal in proposals for record in proposal.entry.records]


def test_each_once_and_in_order_whatever_is_repeated() -> None:
    held = leader()
    for told in (submit(5), submit(5, 6), submit(5), submit(5, 6, 7)):
        held.receive(3, told, 0)
    assert committed(held, BATCH) == [b"r5", b"r6", b"r7"]
    held.receive(3, submit(6, 7), BATCH)
    assert sent(held, Decision)[-1] == Decision(START, (6, 7))
    assert committed(held, 2 * BATCH) == []


def test_nothing_is_pushed_before_it_is_committed() -> None:
    held = leader()
    held.turn(0)
    held.take()
    held.receive(3, submit(5), 0)
    held.turn(BATCH)
    pushes = sent(held, Push)
    assert all(isinstance(told, Push) and told.entry is None and not told.heads for told in pushes)
    (proposal,) = held.take_proposals()
    held.committed(proposal, BATCH)
    assert [told.entry for told in sent(held, Push) if isinstance(told, Push)] == [proposal.entry] * 8


def test_a_new_coordinator_goes_on_where_the_log_ends() -> None:
    held, other = leader(), voter(91)
    held.receive(3, submit(5), 0)
    held.turn(BATCH)
    (proposal,) = held.take_proposals()
    held.committed(proposal, BATCH)
    other.committed(proposal, BATCH)
    held.receive(3, submit(6), BATCH)
    held.turn(2 * BATCH)
    assert len(held.take_proposals()) == 1
    other.lead(2, 3 * BATCH)
    other.receive(3, submit(5, 6), 3 * BATCH)
    other.turn(4 * BATCH)
    (after,) = other.take_proposals()
    assert (after.entry.number, after.entry.epoch, after.entry.prior) == (2, 2, 1)
    assert after.entry.records == (b"r6",)


def test_who_steps_down_proposes_and_answers_nothing() -> None:
    held = leader()
    held.receive(3, submit(5), 0)
    held.turn(BATCH)
    held.take()
    held.step_down()
    assert held.take_proposals() == []
    held.receive(3, submit(6), BATCH)
    held.receive(3, Poll(), BATCH)
    held.turn(9 * BATCH)
    assert held.take() == []
    assert held.epoch is None


def test_without_a_majority_it_refuses_and_vouches_for_nothing() -> None:
    held = leader()
    late = SETTINGS.lease + BATCH
    held.receive(3, submit(5), late)
    assert sent(held, Decision) == [Decision(START, (), (Refusal(5, NO_MAJORITY),))]
    held.receive(3, Poll(), late)
    held.turn(late)
    assert held.take() == []
    held.confirmed(late)
    held.receive(3, submit(5, 6), late)
    assert sent(held, Decision) == [Decision(START, (), (Refusal(5, NO_MAJORITY),))]
    assert committed(held, late + BATCH) == [b"r6"]


def test_a_deposed_coordinator_pushes_nothing_of_its_successors() -> None:
    held = leader()
    held.receive(3, submit(5), 0)
    held.turn(BATCH)
    held.take()
    (mine,) = held.take_proposals()
    late = SETTINGS.lease + 1
    held.committed(mine, late)
    assert held.take() == []
    held.committed(Proposal(Entry(1, 2, 2, 1, (b"theirs",)), (Origin(4, START, 1),)), late)
    assert held.take() == []
    assert held.epoch is None
    assert held.archive.logs[1].last == 2


def test_bounds_are_told() -> None:
    held = leader()
    held.receive(3, submit(5, body=b"x" * (MOST_BODY + 1)), 0)
    assert sent(held, Decision) == [Decision(START, (), (Refusal(5, TOO_LARGE),))]
    refused = 0
    for router in range(3 * SETTINGS.submissions_per_s):
        held.receive(router, submit(9), 0)
    for told in sent(held, Decision):
        assert isinstance(told, Decision)
        refused += sum(refusal.reason == OVERLOADED for refusal in told.refusals)
    assert refused == SETTINGS.submissions_per_s
    assert len(committed(held, BATCH)) == 2 * SETTINGS.submissions_per_s


def test_large_batches_are_split_into_entries() -> None:
    held = leader()
    for router in range(40):
        held.receive(router, submit(9, body=b"%02d" % router * 15), 0)
    held.turn(BATCH)
    entries = [proposal.entry for proposal in held.take_proposals()]
    assert [entry.number for entry in entries] == list(range(1, len(entries) + 1))
    assert [entry.prior for entry in entries] == [0] + [1] * (len(entries) - 1)
    assert [record for entry in entries for record in entry.records] == [b"%02d" % n * 15 for n in range(40)]


def test_each_voter_answers_fetches() -> None:
    held = voter(92)
    entry = Entry(1, 1, 1, 0, (b"x",))
    held.committed(Proposal(entry, ()), 0)
    held.receive(3, Fetch(1, Level.VOTERS, (1, 2)), 0)
    assert sent(held, Repair) == [Repair(entry)]


def test_reasons_come_back_to_whoever_made_the_change() -> None:
    held = leader()
    held.receive(3, submit(5, 6, topic=2), 0)
    held.turn(BATCH)
    (proposal,) = held.take_proposals()
    held.committed(proposal, BATCH)
    held.take()
    for node, number, count in ((1, 1, 9), (2, 2, 10), (12, 2, 10)):
        told = Acknowledgement(
            number, Level.VOTERS, 10, (Row(2, 1, node),), (Rejection(2, 1, 1, "not a number", count),)
        )
        held.receive(node, told, NS_PER_S)
    assert sent(held, Decision) == [Decision(START, (), (), (Refusal(6, "not a number"),))]
    assert held.rejections == {(2, 1, 1, "not a number"): 20}
    assert held.progress.counted == 20


def test_a_new_process_begins_anew_even_with_a_lower_start() -> None:
    """Clocks are set back: its first change isn't taken for an old one of the process before it."""
    held = leader()
    held.receive(3, submit(1, 2), 0)
    assert committed(held, BATCH) == [b"r1", b"r2"]
    held.take()
    held.receive(3, Submit(START - 9, (Submission(1, 1, b"new"),)), BATCH)
    assert committed(held, 2 * BATCH) == [b"new"]
    assert sent(held, Decision) == [Decision(START - 9, (1,))]


def test_what_is_remembered_is_bounded_and_nothing_is_said_of_the_rest() -> None:
    ledger = Ledger()
    for router in range(MOST_OUTCOMES + 10):
        ledger.commit(Origin(router, START, 1), 1)
    assert ledger.outcome(Origin(3, START, 1)) is None
    assert ledger.outcome(Origin(MOST_OUTCOMES, START, 1)) == ""
    assert len(ledger.last()) == MOST_STREAMS


def test_a_refused_one_before_a_committed_one_stays_refused() -> None:
    held = leader()
    late = SETTINGS.lease + BATCH
    held.receive(3, submit(5), late)
    held.confirmed(late)
    held.receive(3, submit(6), late)
    assert committed(held, late + BATCH) == [b"r6"]
    held.take()
    held.receive(3, submit(5, 6), late + BATCH)
    assert sent(held, Decision) == [Decision(START, (6,), (Refusal(5, NO_MAJORITY),))]
