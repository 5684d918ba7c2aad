"""Trials by one owner: postponement, evidence, fencing, and uncoordinated trials without a coordinator."""

from __future__ import annotations

import random

from saltport.owners.fence import Fence
from saltport.owners.messages import AssignedTasks, RenewReply
from saltport.owners.owner_lease import OwnerLease
from saltport.owners.settings import OwnerSettings
from saltport.owners.trials import (
    OWNER_TIMEOUT_NS,
    POSTPONE_NS,
    REPORT_PERIOD_NS,
    TRIAL_SPREAD_NS,
    TRIAL_WINDOW_NS,
    UNCOORDINATED_SPREAD_NS,
    Evidence,
    Trials,
    decode,
    encode,
)

S = 1_000_000_000
SETTINGS = OwnerSettings(lease=60 * S)


def router(name: str, epoch: int = 0) -> Trials:
    """A router's trials; with an epoch it owns the trials of server s."""
    owner_lease = OwnerLease(name, 1, SETTINGS, 0)
    owner_lease.tick(1)
    owner_lease.on_renew_reply(RenewReply(owner_lease.session, 1), 2)
    if epoch:
        owner_lease.add_assigned(AssignedTasks(owner_lease.session, (("probe/s", epoch),)))
    return Trials(owner_lease, Fence(), random.Random(1))


def test_others_leave_a_server_to_its_owner_and_start_when_it_says_so() -> None:
    owner, other = router("a", epoch=5), router("b")
    assert owner.wanted({"s": S}) == ["probe/s"]
    assert owner.next_plan({"s": S}, True, S).postponed == {}  # it makes its trial when that is due
    assert other.next_plan({"s": S}, True, S).postponed == {"s": S + POSTPONE_NS}
    plan = owner.next_plan({}, True, 2 * S)  # its own decision module readmitted the server
    assert plan.evidence == [Evidence("s", 5, 0)]
    evidence = decode(encode(plan.evidence[0]))
    assert other.on_evidence(evidence, {"s": 9 * S}, 2 * S)
    assert not other.on_evidence(evidence, {"s": 9 * S}, 2 * S)  # a duplicate
    assert other.next_plan({"s": 9 * S}, True, 2 * S + TRIAL_SPREAD_NS).starts == ["s"]
    assert other.next_plan({"s": 9 * S}, True, 2 * S + TRIAL_SPREAD_NS).starts == []
    assert other.started == 1


def test_an_owner_says_so_again_for_a_while_as_messages_are_lost() -> None:
    owner = router("a", epoch=5)
    reports = [
        evidence
        for tenth in range(200)
        for evidence in owner.next_plan({}, True, S + tenth * S // 10).evidence
    ]
    assert 7 <= len(reports) <= REPORT_PERIOD_NS // S + 1
    assert [evidence.ago_ms for evidence in reports] == sorted(evidence.ago_ms for evidence in reports)


def test_evidence_of_an_older_epoch_or_of_long_ago_starts_nothing() -> None:
    other = router("b")
    assert other.on_evidence(Evidence("s", 7, 0), {"s": S}, S)
    fresh = router("c")
    fresh.on_evidence(Evidence("s", 7, 0), {}, S)  # not ejected here: no trial, but the epoch is recorded
    assert not fresh.on_evidence(Evidence("s", 6, 0), {"s": S}, S)
    assert fresh.stale == 1
    assert not fresh.on_evidence(Evidence("s", 8, 11_000), {"s": S}, S)
    assert fresh.next_plan({"s": S}, True, 9 * S).starts == []


def test_an_owner_that_never_tries_does_not_keep_a_server_out_for_good() -> None:
    other = router("b")
    seconds = [second for second in range(200) if not other.next_plan({"s": S}, True, second * S).postponed]
    assert OWNER_TIMEOUT_NS // S <= seconds[0] <= 2 * OWNER_TIMEOUT_NS // S + 1
    # Each owner timeout is followed by a trial window that is longer than one postponement.
    assert seconds[POSTPONE_NS // S : TRIAL_WINDOW_NS // S] == list(
        range(seconds[0] + POSTPONE_NS // S, seconds[0] + TRIAL_WINDOW_NS // S)
    )
    assert len(seconds) <= 200 // (OWNER_TIMEOUT_NS // S) * (TRIAL_WINDOW_NS // S + 1)


def test_an_owner_whose_lease_has_ended_says_nothing() -> None:
    owner = router("a", epoch=5)
    late = SETTINGS.owner_lease_duration + 2
    assert owner.next_plan({}, True, late).evidence == []


def test_without_an_owner_each_tries_for_itself_spread_over_a_while() -> None:
    begins = []
    for seed in range(40):
        trials = Trials(OwnerLease(f"r{seed}", 1, SETTINGS, 0), Fence(), random.Random(seed))
        (begin,) = trials.next_plan({"s": S}, False, S).postponed.values()
        assert trials.next_plan({"s": begin}, False, 2 * S).postponed == {}  # not postponed again
        begins.append(begin)
    assert max(begins) - min(begins) > UNCOORDINATED_SPREAD_NS // 2
    assert max(begins) <= S + UNCOORDINATED_SPREAD_NS


def test_a_server_that_is_taken_back_is_forgotten_here() -> None:
    other = router("b")
    other.on_evidence(Evidence("s", 7, 0), {"s": S}, S)
    other.next_plan({}, True, 2 * S)
    assert other.next_plan({"s": 9 * S}, True, 9 * S).starts == []
