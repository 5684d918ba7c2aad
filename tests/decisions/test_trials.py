"""Trials whose times are changed from outside: the detector decides as usual."""

from __future__ import annotations

from saltport.decisions import Outcome, trials
from saltport.decisions.outliers import EjectionState
from tests.decisions.helpers import S
from tests.decisions.test_outliers import DetectorRig


def test_postponed_trial_waits_and_permitted_one_is_the_next_request() -> None:
    rig = DetectorRig()
    rig.record(1, *[Outcome.CONNECT_FAILED] * 3)
    server = rig.node(1).entry.id
    detector = rig.detector
    assert list(trials.due(detector)) == [server]
    due = trials.due(detector)[server]
    trials.postpone(detector, server, due + 9 * S)
    assert detector.state(server, due + S) is EjectionState.EJECTED
    trials.postpone(detector, server, due)  # postponing never makes a trial earlier
    assert trials.due(detector)[server] == due + 9 * S
    trials.allow(detector, server, due + S)
    assert detector.state(server, due + S) is EjectionState.TRIAL
    assert list(trials.due(detector)) == [server]
    rig.now = due + S
    detector.start_trial(server, "trial")
    rig.record(1, Outcome.OK, request="trial")
    assert trials.due(detector) == {}


def test_server_that_is_not_ejected_is_unaffected() -> None:
    rig = DetectorRig()
    server = rig.node(2).entry.id
    trials.postpone(rig.detector, server, 9 * S)
    trials.allow(rig.detector, server, S)
    assert rig.state(2) is EjectionState.HEALTHY
