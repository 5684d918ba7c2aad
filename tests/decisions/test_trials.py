"""Trials as their owner moves them: the detector decides as ever."""

from __future__ import annotations

from saltport.decisions import Outcome, trials
from saltport.decisions.outliers import EjectionState
from tests.decisions.helpers import S
from tests.decisions.test_outliers import Judged


def test_a_held_trial_waits_a_begun_one_is_the_next_request_and_neither_takes_back() -> None:
    judged = Judged()
    judged.tell(1, *[Outcome.CONNECT_FAILED] * 3)
    server = judged.node(1).entry.id
    detector = judged.detector
    assert list(trials.due(detector)) == [server]
    due = trials.due(detector)[server]
    trials.hold(detector, server, due + 9 * S)
    assert detector.state(server, due + S) is EjectionState.EJECTED
    trials.hold(detector, server, due)  # a hold never brings a trial forward
    assert trials.due(detector)[server] == due + 9 * S
    trials.begin(detector, server, due + S)
    assert detector.state(server, due + S) is EjectionState.TRIAL
    assert list(trials.due(detector)) == [server]
    judged.now = due + S
    detector.try_out(server, "trial")
    judged.tell(1, Outcome.OK, request="trial")
    assert trials.due(detector) == {}


def test_a_server_that_is_not_out_is_left_alone() -> None:
    judged = Judged()
    server = judged.node(2).entry.id
    trials.hold(judged.detector, server, 9 * S)
    trials.begin(judged.detector, server, S)
    assert judged.state(2) is EjectionState.HEALTHY
