"""Outlier detection: causes and durations of ejections, readmission, and panic."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from zlib import crc32

import pytest

from saltport.decisions import (
    Action,
    ClientGone,
    ListKind,
    Log,
    Outcome,
    RequestClass,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    views,
)
from saltport.decisions.health import Node
from saltport.decisions.outliers import (
    BASE_EJECTION_NS,
    DEPARTED_MEMORY_NS,
    EJECTION_MEMORY_NS,
    FAILURE_WINDOW_NS,
    MAX_EJECTION_NS,
    EjectionState,
    OutlierDetector,
    StateChange,
)
from tests.decisions.helpers import (
    MS,
    ORIGIN,
    S,
    ended,
    finals,
    fleet,
    only_send,
    request,
    sends,
    settings,
    started,
)

SILENCE = 300 * MS


class DetectorRig:
    """A detector with `count` servers; attempts take 1 ms, or a third of SILENCE for a time-out."""

    def __init__(self, count: int = 10) -> None:
        self.nodes = {entry.id: Node(entry, False) for entry in fleet(count)}
        self.detector = OutlierDetector(
            settings(classes=(RequestClass("read", aim=100 * MS, deadline=SILENCE),)), random.Random(5)
        )
        self.now = S
        self.follow()

    def follow(self, *without: str) -> None:
        listed = {name: node for name, node in self.nodes.items() if name not in without}
        self.detector.update_nodes(listed, self.now)

    def record(self, number: int, *outcomes: Outcome, request: str = "r") -> str | None:
        change: StateChange | None = None
        for outcome in outcomes:
            sent, self.now = self.now, self.now + (SILENCE // 3 if outcome is Outcome.TIMEOUT else MS)
            change = self.detector.record_outcome(self.node(number), request, outcome, sent, self.now)
        return change.message if change else None

    def node(self, number: int) -> Node:
        return self.nodes[f"10.0.0.{number}:80"]

    def state(self, number: int, first: bool = True) -> EjectionState:
        return self.detector.state(self.node(number).entry.id, self.now, first)

    def fail_trial(self, number: int) -> int:
        """Wait for the trial and fail it; return the duration of the following ejection."""
        while self.state(number) is not EjectionState.TRIAL:
            self.now += 100 * MS
        self.detector.start_trial(self.node(number).entry.id, "trial")
        self.record(number, Outcome.CONNECT_FAILED, request="trial")
        begun = self.now
        while self.state(number) is not EjectionState.TRIAL:
            self.now += 10 * MS
        return self.now - begun


FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)


@pytest.mark.parametrize("outcome", FAILURES)
def test_three_failures_in_a_row_eject_and_two_do_not(outcome: Outcome) -> None:
    rig = DetectorRig()
    assert rig.record(1, outcome, outcome) is None
    assert rig.state(1) is EjectionState.HEALTHY
    change = rig.record(1, outcome)
    assert change is not None
    assert "3 " in change
    assert "in a row" in change
    assert rig.state(1) is EjectionState.EJECTED
    assert rig.state(2) is EjectionState.HEALTHY


def test_time_outs_in_a_row_eject_only_once_the_silence_is_long() -> None:
    rig = DetectorRig()
    for at in range(29):
        sent = S + at * 10 * MS
        assert rig.detector.record_outcome(rig.node(1), "r", Outcome.TIMEOUT, sent, sent + 10 * MS) is None
    assert (
        rig.detector.record_outcome(rig.node(1), "r", Outcome.TIMEOUT, S + 290 * MS, S + 300 * MS) is not None
    )


@pytest.mark.parametrize("heard", [Outcome.OK, Outcome.MISS, Outcome.FULL, Outcome.ERROR])
def test_any_answer_resets_the_consecutive_failures(heard: Outcome) -> None:
    rig = DetectorRig()
    rig.record(1, Outcome.TIMEOUT, Outcome.TIMEOUT, heard, Outcome.TIMEOUT, Outcome.TIMEOUT)
    assert rig.state(1) is EjectionState.HEALTHY


@pytest.mark.parametrize("nothing", [Outcome.NOT_SENT, Outcome.CANCELLED])
def test_inconclusive_outcomes_neither_count_nor_reset(nothing: Outcome) -> None:
    rig = DetectorRig()
    rig.record(1, nothing, nothing, nothing)
    assert views.outliers(rig.detector, rig.now)["servers"] == {}
    rig.record(1, Outcome.RESET, Outcome.RESET, nothing, Outcome.RESET)
    assert rig.state(1) is EjectionState.EJECTED


@pytest.mark.parametrize("outcome", FAILURES)
def test_attempts_in_flight_at_one_fault_count_once(outcome: Outcome) -> None:
    rig = DetectorRig()
    sent = rig.now
    for at in range(50):
        rig.detector.record_outcome(rig.node(1), f"r{at}", outcome, sent, sent + 80 * MS + at)
    assert rig.state(1) is EjectionState.HEALTHY
    assert views.outliers(rig.detector, sent + S)["servers"]["10.0.0.1:80"]["failures_in_a_row"] == 50  # type: ignore[index]


@pytest.mark.parametrize("outcome", FAILURES)
def test_failures_far_apart_are_not_consecutive(outcome: Outcome) -> None:
    rig = DetectorRig()
    for _ in range(20):
        rig.record(1, outcome, outcome)
        rig.now += 2 * FAILURE_WINDOW_NS
    assert rig.state(1) is EjectionState.HEALTHY


def test_half_of_the_attempts_failing_ejects_and_less_does_not() -> None:
    rig = DetectorRig()
    rig.record(0, *[Outcome.OK] * 300)
    for _ in range(40):
        rig.record(1, Outcome.RESET, Outcome.OK, Outcome.OK)
        assert rig.state(1) is EjectionState.HEALTHY
    rig = DetectorRig()
    rig.record(0, *[Outcome.OK] * 300)
    for _ in range(5):
        change = rig.record(2, Outcome.OK, Outcome.ERROR)
    # the first answer came before any evidence and is not counted
    assert change is None
    change = rig.record(2, Outcome.ERROR)
    assert change is not None
    assert "6 of 10 attempts failed" in change


def test_failures_that_all_servers_have_alike_eject_nobody() -> None:
    rig = DetectorRig()
    for _ in range(40):
        for number in range(10):
            rig.record(number, Outcome.ERROR, Outcome.OK, Outcome.ERROR)
    assert views.outliers(rig.detector, rig.now)["ejected"] == 0
    # a server that always fails does not exceed their failure rate by the threshold
    rig.record(3, *[Outcome.ERROR] * 20)
    assert rig.state(3) is EjectionState.HEALTHY


def test_time_outs_of_an_overrun_server_that_answers_do_not_eject_it() -> None:
    rig = DetectorRig()
    for _ in range(50):
        rig.record(1, Outcome.TIMEOUT, Outcome.TIMEOUT, Outcome.FULL, Outcome.TIMEOUT, Outcome.OK)
    assert rig.state(1) is EjectionState.HEALTHY


def test_old_failures_are_forgotten() -> None:
    rig = DetectorRig()
    rig.record(0, *[Outcome.OK] * 300)
    rig.record(1, *[Outcome.ERROR] * 9)
    rig.now += 2 * FAILURE_WINDOW_NS
    rig.record(0, *[Outcome.OK] * 300)
    rig.record(1, Outcome.ERROR)
    assert rig.state(1) is EjectionState.HEALTHY
    rig.now += 2 * FAILURE_WINDOW_NS
    rig.record(1, Outcome.OK)
    rig.now += 2 * FAILURE_WINDOW_NS
    rig.record(1, Outcome.OK)
    assert views.outliers(rig.detector, rig.now)["servers"] == {}


def test_trial_is_single_and_its_answer_readmits_the_server() -> None:
    rig = DetectorRig()
    rig.record(1, *[Outcome.RESET] * 3)
    rig.now += BASE_EJECTION_NS * 2
    assert rig.state(1) is EjectionState.TRIAL
    rig.detector.start_trial("10.0.0.1:80", "trial")
    assert rig.state(1) is EjectionState.EJECTED
    # an answer to an attempt from before the ejection is no evidence of recovery
    assert rig.detector.record_outcome(rig.node(1), "old", Outcome.OK, S, rig.now) is None
    assert rig.state(1) is EjectionState.EJECTED
    change = rig.record(1, Outcome.FULL, request="trial")
    assert change is not None
    assert "back" in change
    assert rig.state(1) is EjectionState.HEALTHY


def test_trial_whose_client_leaves_makes_room_for_the_next() -> None:
    rig = DetectorRig()
    rig.record(1, *[Outcome.RESET] * 3)
    rig.now += BASE_EJECTION_NS * 2
    rig.detector.start_trial("10.0.0.1:80", "trial")
    rig.record(1, Outcome.CANCELLED, request="trial")
    assert rig.state(1) is EjectionState.TRIAL


def test_ejections_grow_to_a_ceiling_and_are_forgiven_with_time() -> None:
    rig = DetectorRig()
    rig.record(1, *[Outcome.RESET] * 3)
    times = [rig.fail_trial(1) for _ in range(7)]
    for duration, expected in zip(times, (2, 4, 8, 16, 30, 30, 30), strict=True):
        assert expected * S <= duration <= expected * S * 1.1 + 10 * MS
    assert max(times) <= MAX_EJECTION_NS * 1.1 + 10 * MS
    rig.detector.start_trial("10.0.0.1:80", "trial")
    rig.record(1, Outcome.OK, request="trial")
    rig.record(1, *[Outcome.RESET] * 3)
    assert views.outliers(rig.detector, rig.now)["servers"]["10.0.0.1:80"]["ejected_for_s"] >= 30  # type: ignore[index]
    rig.now += MAX_EJECTION_NS * 2
    rig.detector.start_trial("10.0.0.1:80", "trial")
    rig.record(1, Outcome.OK, request="trial")
    rig.now += 20 * EJECTION_MEMORY_NS
    rig.record(1, *[Outcome.RESET] * 3)
    assert views.outliers(rig.detector, rig.now)["servers"]["10.0.0.1:80"]["ejected_for_s"] <= 1.1  # type: ignore[index]


def test_at_most_half_are_ejected_and_beyond_that_is_panic() -> None:
    rig = DetectorRig()
    for number in range(5):
        rig.record(number, *[Outcome.RESET] * 3)
    assert not rig.detector.panicking
    assert [rig.state(number) for number in range(5)] == [EjectionState.EJECTED] * 5
    change = rig.record(5, *[Outcome.RESET] * 3)
    assert change is not None
    assert "kept in" in change
    assert rig.record(5, Outcome.RESET) is None  # logged once
    assert rig.detector.panicking
    # first attempts go to the slot's server, further ones only to servers without suspicion
    assert {rig.state(number) for number in range(10)} == {EjectionState.HEALTHY, EjectionState.PANIC}
    assert [rig.state(number, first=False) for number in (0, 5, 6)] == [
        EjectionState.EJECTED,
        EjectionState.EJECTED,
        EjectionState.HEALTHY,
    ]
    # one answer readmits a server and ends the panic
    rig.record(0, Outcome.MISS)
    assert not rig.detector.panicking
    assert rig.state(0) is EjectionState.HEALTHY
    assert rig.state(1) is EjectionState.EJECTED
    assert rig.state(5) is EjectionState.HEALTHY
    rig.record(5, Outcome.OK)
    assert views.outliers(rig.detector, rig.now)["ejected"] == 4


def test_server_that_returns_at_once_keeps_its_record() -> None:
    rig = DetectorRig()
    rig.record(1, *[Outcome.CONNECT_FAILED] * 3)
    rig.follow("10.0.0.1:80")
    assert views.outliers(rig.detector, rig.now)["servers"] == {}
    assert rig.state(1) is EjectionState.HEALTHY
    rig.follow()
    assert rig.state(1) is EjectionState.EJECTED


def test_server_that_restarted_or_was_long_absent_has_a_clean_record() -> None:
    rig = DetectorRig()
    rig.record(1, *[Outcome.CONNECT_FAILED] * 3)
    rig.record(2, *[Outcome.CONNECT_FAILED] * 3)
    rig.nodes["10.0.0.1:80"] = Node(replace(rig.node(1).entry, started=rig.now), False)
    rig.follow("10.0.0.2:80")
    assert rig.state(1) is EjectionState.HEALTHY
    rig.now += DEPARTED_MEMORY_NS + S
    rig.follow("10.0.0.2:80")
    rig.follow()
    assert rig.state(2) is EjectionState.HEALTHY
    assert views.outliers(rig.detector, rig.now)["servers"] == {}


# Ejections in the router


HOLDER = "10.0.0.2:80"


class RouterRig:
    """A router with five servers and requests for distinct keys of one of them, ejected at the start."""

    def __init__(self, now: int = 0, origin: bool = True, **changes: object) -> None:
        self.router = started(settings(tenants=(), **changes), fleet(5), origin, now)
        self._keys = self._keys_of_holder()
        for _ in range(3):
            send = self.ask(now)
            assert send.server == HOLDER
            actions = self.end(send, Outcome.CONNECT_FAILED, now)
            self.end(only_send(actions), Outcome.OK, now)
        assert [action for action in actions if isinstance(action, Log)]

    def _keys_of_holder(self) -> Iterator[str]:
        for number in count():
            key = f"k{number}"
            if self.router.caches.rank(crc32(key.encode()) % 8192, 1 << 62)[0].entry.id == HOLDER:
                yield key

    def ask(self, now: int, cls: str = "read") -> Send:
        key = next(self._keys)
        return only_send(self.router.handle(request(key, now, cls, key=key), now))

    def end(self, send: Send, outcome: Outcome, now: int) -> list[Action]:
        return self.router.handle(ended(send, outcome), now)


@pytest.mark.parametrize("day", [0, 86_400 * S])
def test_ejected_server_gets_one_read_when_its_time_is_over_whatever_the_clock_shows(day: int) -> None:
    router_rig = RouterRig(day)
    for _ in range(40):
        send = router_rig.ask(day + 900 * MS)
        assert send.server not in (HOLDER, ORIGIN.id)
        router_rig.end(send, Outcome.OK, day + 910 * MS)
    at = day + 1200 * MS
    tried = [router_rig.ask(at) for _ in range(40)]
    (trial,) = [send for send in tried if send.server == HOLDER]
    router_rig.end(trial, Outcome.OK, at + MS)
    assert {router_rig.ask(at + MS).server for _ in range(40)} == {HOLDER}


def test_trial_that_fails_is_asked_elsewhere_and_the_server_stays_out_longer() -> None:
    router_rig = RouterRig()
    at = 1200 * MS
    trial = router_rig.ask(at)
    assert trial.server == HOLDER
    assert only_send(router_rig.end(trial, Outcome.CONNECT_FAILED, at)).server not in (HOLDER, ORIGIN.id)
    assert router_rig.ask(at + 1900 * MS).server != HOLDER
    assert router_rig.ask(at + 2300 * MS).server == HOLDER


def test_trial_is_never_made_with_a_request_whose_repeat_does_harm() -> None:
    router_rig = RouterRig(origin=False, origin_kind=None)
    at = 1200 * MS
    assert HOLDER not in {router_rig.ask(at, "order").server for _ in range(20)}
    assert router_rig.ask(at).server == HOLDER


def test_trial_whose_client_has_gone_leaves_the_next_one_to_try() -> None:
    router_rig = RouterRig()
    trial = router_rig.ask(1200 * MS)
    router_rig.router.handle(ClientGone(trial.request), 1210 * MS)
    router_rig.router.handle(ended(trial, Outcome.CANCELLED, closed=True), 1210 * MS)
    assert router_rig.ask(1220 * MS).server == HOLDER


def test_every_cache_dead_costs_a_read_one_attempt_before_the_origin() -> None:
    router = started(settings(tenants=(), max_attempts=4), fleet(8))
    now = 0
    for number in range(80):
        now += 20 * MS
        actions = router.handle(request(f"r{number}", now, key=f"k{number}"), now)
        while sends(actions) and only_send(actions).server != ORIGIN.id:
            actions = router.handle(ended(only_send(actions), Outcome.CONNECT_FAILED), now)
        if sends(actions):
            router.handle(ended(only_send(actions), Outcome.OK), now)
    first = only_send(router.handle(request("s", now), now))
    assert first.server != ORIGIN.id
    assert only_send(router.handle(ended(first, Outcome.CONNECT_FAILED), now)).server == ORIGIN.id


def play_silence(router: Router, until: int) -> None:
    """Send a read every 10 ms to a router whose attempts all time out."""
    numbers = count()
    out: list[tuple[int, int, int, Send]] = []  # end, number, begin

    def take(actions: list[Action], now: int) -> None:
        for send in sends(actions):
            deadline = int(send.request.split(".")[1]) * MS + S
            end = min(now + send.timeout, deadline) if send.timeout else deadline
            heappush(out, (end, next(numbers), now, send))

    for at in range(0, until, 10 * MS):
        while out and out[0][0] <= at:
            end, _, begun, send = heappop(out)
            take(router.handle(ended(send, Outcome.TIMEOUT, latency=end - begun), end), end)
        take(router.handle(request(f"r.{at // MS}", at, key=f"k{at}"), at), at)
    while out:
        end, _, begun, send = heappop(out)
        take(router.handle(ended(send, Outcome.TIMEOUT, latency=end - begun), end), end)


def test_outage_of_the_routers_own_network_leaves_no_server_ejected() -> None:
    router = started(settings(tenants=()), fleet(20))
    now = 8 * S  # after the last ejection has ended
    play_silence(router, 6 * S)
    assert router.outliers.panicking
    end, refused = now + 5 * S, 0
    while now < end:
        now += 5 * MS
        key = f"k{now // (5 * MS) % 400}"
        actions = router.handle(request(f"s{now}", now, key=key), now)
        refused += bool(finals(actions))
        for send in sends(actions):
            assert send.server != ORIGIN.id
            router.handle(ended(send, Outcome.OK), now)
    assert views.outliers(router.outliers, now)["ejected"] == 0
    assert refused < 50  # of 1,000


def test_clients_with_little_time_left_make_no_server_look_silent() -> None:
    router = started(settings(), fleet(3))
    for number in range(2000):
        at = number * 10 * MS
        deadline = at + 5 * MS
        actions = router.handle(request(f"r{number}", at, key=f"k{number}", deadline=deadline), at)
        for send in sends(actions):
            router.handle(ended(send, Outcome.TIMEOUT, latency=5 * MS), deadline)
    assert views.outliers(router.outliers, 20 * S)["servers"] == {}


def test_failure_of_a_server_that_has_left_is_not_recorded() -> None:
    router = started(settings(tenants=()), fleet(5))
    holder = only_send(router.handle(request("r0"), 0))
    gone = Server(holder.server, kind="std", state=ServerState.GONE)
    router.handle(ServersChanged(ListKind.DELTA, (gone,)), 0)
    router.handle(ended(holder, Outcome.RESET), MS)
    assert views.outliers(router.outliers, MS)["servers"] == {}
