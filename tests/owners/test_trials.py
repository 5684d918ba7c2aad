"""One owner tries a server for all: holds, evidence, fences, and each router on its own without an owner."""

from __future__ import annotations

import random

from saltport.owners.fence import Fence
from saltport.owners.messages import Renewed, Rows
from saltport.owners.settings import OwnerSettings
from saltport.owners.tenure import Tenure
from saltport.owners.trials import (
    ALONE_SPREAD,
    HOLD,
    LONGEST,
    SPREAD,
    TELL_FOR,
    WINDOW,
    Evidence,
    Trials,
    decode,
    encode,
)

S = 1_000_000_000
SETTINGS = OwnerSettings(lease=60 * S)


def router(name: str, epoch: int = 0) -> Trials:
    """With an epoch: the owner of the trials of server s."""
    tenure = Tenure(name, 1, SETTINGS, 0)
    tenure.tick(1)
    tenure.renewed(Renewed(tenure.session, 1), 2)
    if epoch:
        tenure.given(Rows(tenure.session, (("probe/s", epoch),)))
    return Trials(tenure, Fence(), random.Random(1))


def test_others_leave_a_server_to_its_owner_and_start_when_it_says_so() -> None:
    owner, other = router("a", epoch=5), router("b")
    assert owner.wanted({"s": S}) == ["probe/s"]
    assert owner.turn({"s": S}, True, S).holds == {}  # it tries when its own time has come
    assert other.turn({"s": S}, True, S).holds == {"s": S + HOLD}
    plan = owner.turn({}, True, 2 * S)  # its own decisions took the server back
    assert plan.tell == [Evidence("s", 5, 0)]
    told = decode(encode(plan.tell[0]))
    assert other.heard(told, {"s": 9 * S}, 2 * S)
    assert not other.heard(told, {"s": 9 * S}, 2 * S)  # it comes twice
    assert other.turn({"s": 9 * S}, True, 2 * S + SPREAD).starts == ["s"]
    assert other.turn({"s": 9 * S}, True, 2 * S + SPREAD).starts == []
    assert other.taken == 1


def test_an_owner_says_so_again_for_a_while_as_messages_are_lost() -> None:
    owner = router("a", epoch=5)
    told = [evidence for tenth in range(200) for evidence in owner.turn({}, True, S + tenth * S // 10).tell]
    assert 7 <= len(told) <= TELL_FOR // S + 1
    assert [evidence.ago_ms for evidence in told] == sorted(evidence.ago_ms for evidence in told)


def test_evidence_of_an_older_epoch_or_of_long_ago_starts_nothing() -> None:
    other = router("b")
    assert other.heard(Evidence("s", 7, 0), {"s": S}, S)
    fresh = router("c")
    fresh.heard(Evidence("s", 7, 0), {}, S)  # it is not out here: nothing to start, but the epoch is known
    assert not fresh.heard(Evidence("s", 6, 0), {"s": S}, S)
    assert fresh.stale == 1
    assert not fresh.heard(Evidence("s", 8, 11_000), {"s": S}, S)
    assert fresh.turn({"s": S}, True, 9 * S).starts == []


def test_an_owner_that_never_tries_does_not_keep_a_server_out_for_good() -> None:
    other = router("b")
    seconds = [second for second in range(200) if not other.turn({"s": S}, True, second * S).holds]
    assert LONGEST // S <= seconds[0] <= 2 * LONGEST // S + 1
    # A window at each time, longer than what was held back last, and then patience again.
    assert seconds[HOLD // S : WINDOW // S] == list(range(seconds[0] + HOLD // S, seconds[0] + WINDOW // S))
    assert len(seconds) <= 200 // (LONGEST // S) * (WINDOW // S + 1)


def test_an_owner_whose_lease_has_ended_says_nothing() -> None:
    owner = router("a", epoch=5)
    late = SETTINGS.own_lease + 2
    assert owner.turn({}, True, late).tell == []


def test_without_an_owner_each_tries_for_itself_spread_over_a_while() -> None:
    begins = []
    for seed in range(40):
        trials = Trials(Tenure(f"r{seed}", 1, SETTINGS, 0), Fence(), random.Random(seed))
        (begin,) = trials.turn({"s": S}, False, S).holds.values()
        assert trials.turn({"s": begin}, False, 2 * S).holds == {}  # once: it is not put off for ever
        begins.append(begin)
    assert max(begins) - min(begins) > ALONE_SPREAD // 2
    assert max(begins) <= S + ALONE_SPREAD


def test_a_server_that_is_taken_back_is_forgotten_here() -> None:
    other = router("b")
    other.heard(Evidence("s", 7, 0), {"s": S}, S)
    other.turn({}, True, 2 * S)
    assert other.turn({"s": 9 * S}, True, 9 * S).starts == []
