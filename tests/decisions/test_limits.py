"""The adaptive limit of a server: cut slowly on late answers, raised quickly, and never zero."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltport.decisions import Outcome, RequestClass, Send, StreamStarted
from saltport.decisions.limits import MAX_PAUSE_NS, MIN_LIMIT, MIN_PAUSE_NS, STALE_AFTER_NS, Limit
from tests.decisions.helpers import MS, S, ended, fleet, only_send, request, sends, settings, started

AIM = 300 * MS


def fed(limit: Limit, took: int, answers: int, out: int = 8, now: int = 0, gap: int = 50 * MS) -> int:
    """Feed `answers` consecutive answers to the limit; return the time after the last."""
    for _ in range(answers):
        limit.learn(took, out, now, now + gap, AIM)
        now += gap
    return now


def test_one_late_answer_is_a_sample_and_no_verdict() -> None:
    limit = Limit()
    now = fed(limit, 50 * MS, 20)
    before = limit.limit
    limit.learn(5 * AIM // 4, 8, now, now + 10, AIM)
    assert limit.limit >= before * 0.9


def test_heavy_tail_leaves_the_limit_up() -> None:
    """One late answer in fifty, as a heavy tail gives by chance, must not cut the limit to the minimum."""
    limit, rng, now = Limit(), random.Random(1), 0
    low = limit.limit
    for _ in range(2_000):
        now = fed(limit, 400 * MS if rng.random() < 0.02 else 50 * MS, 1, now=now)
        low = min(low, limit.limit)
    assert low >= 4  # of the eight in flight


def test_steady_lateness_cuts_the_limit_to_its_minimum() -> None:
    limit = Limit()
    now = fed(limit, 400 * MS, 40)
    assert limit.limit == MIN_LIMIT
    assert limit.has_room(0, now)
    assert not limit.has_room(1, now)
    fed(limit, 50 * MS, 40, out=1, now=now)
    assert limit.limit > 3


def test_prompt_answers_raise_it_only_while_it_is_used() -> None:
    limit = Limit()
    limit.cut(0, 100, 10)
    before = limit.limit
    fed(limit, 50 * MS, 200, out=0, now=100)
    assert limit.limit == before
    fed(limit, 50 * MS, 2_000, out=1000, now=100)
    assert limit.limit > 60


def test_burst_at_a_server_that_was_never_late_is_no_overload() -> None:
    limit = Limit()
    fed(limit, 50 * MS, 100)
    assert limit.has_room(10_000, 0)


def test_attempts_in_flight_at_a_cut_cut_only_once() -> None:
    limit = Limit()
    for _ in range(10):
        limit.cut(0, 100, 10)
    assert limit.limit == 11 / 2
    limit.cut(101, 200, 10)
    assert limit.limit == 11 / 4


def test_server_that_turns_all_away_at_once_is_asked_ever_more_rarely() -> None:
    limit, now, asked = Limit(), 0, []
    for now in range(0, 10_000 * MS, MS):
        if limit.has_room(0, now):
            asked.append(now)
            limit.refused(now, now, 0)
    gaps = [after - before for before, after in pairwise(asked)]
    assert gaps == sorted(gaps)
    assert (gaps[0], gaps[-1]) == (MIN_PAUSE_NS, MAX_PAUSE_NS)
    limit.learn(50 * MS, 0, now, now, AIM)
    limit.refused(now + MAX_PAUSE_NS, now + MAX_PAUSE_NS, 0)
    assert limit.has_room(0, now + MAX_PAUSE_NS + 50 * MS), "one answer, and the pauses begin anew"


def test_cut_is_by_how_late_answers_are() -> None:
    little, much = Limit(), Limit()
    for limit, took in ((little, 200 * MS), (much, 290 * MS)):
        limit.learn(took, 20, 0, 1, AIM)
    assert 21 > little.limit > much.limit >= 21 / 2


def test_service_time_is_separated_from_queueing() -> None:
    limit = Limit()
    now = fed(limit, 50 * MS, 20)
    fed(limit, 250 * MS, 10, now=now)
    assert limit.base_response_time < 90 * MS
    assert limit.response_time > 200 * MS


def test_old_times_are_discarded() -> None:
    limit = Limit()
    now = fed(limit, 400 * MS, 10)
    limit.learn(50 * MS, 1, now + 20_000 * MS, now + 20_050 * MS, AIM)
    assert limit.response_time == limit.base_response_time == 50 * MS


@given(st.lists(st.tuples(st.integers(1, 2_000), st.integers(0, 300), st.booleans()), max_size=200))
def test_limit_stays_within_its_bounds_whatever_comes(answers: list[tuple[int, int, bool]]) -> None:
    limit, now = Limit(), 0
    for took, out, turned_away in answers:
        now += took * MS
        if turned_away:
            limit.refused(now - took * MS, now, out)
        else:
            limit.learn(took * MS, out, now - took * MS, now, AIM)
        assert limit.limit >= MIN_LIMIT
        assert limit.has_room(0, now + MAX_PAUSE_NS)
        assert limit.base_response_time <= limit.response_time + 1


@pytest.mark.parametrize(("load", "least"), [(0.5, 0.97), (0.8, 0.85)])
def test_steady_load_below_capacity_is_served_in_time(load: float, least: float) -> None:
    from benchmarks.overrun import run_simulation

    assert run_simulation(load, 8)["in_time"] >= least


def test_first_tries_go_before_marked_retries_beyond_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    from benchmarks.overrun import run_simulation
    from saltport.decisions import placement

    yielding = run_simulation(1.3, 6)["in_time"]
    monkeypatch.setattr(placement, "RETRY_MAX_BUSY_SHARE", 2.0)
    assert yielding >= 1.2 * run_simulation(1.3, 6)["in_time"]


def test_storm_is_over_soon_after_its_cause() -> None:
    from benchmarks.overrun import run_simulation

    row = run_simulation(0.5, 8, pause=True)
    assert row["in_time"] >= 0.9
    assert row["refused"] <= 0.1


def test_long_value_that_a_client_takes_slowly_leaves_its_server_s_room_to_others() -> None:
    """A server's work is done at the first byte; counted to the last, slow clients block idle servers."""
    router = started(settings(), fleet(1), origin=False)
    router.caches.nodes[fleet(1)[0].id].limit.limit = 2.0
    for i in range(2):
        assert sends(router.handle(request(f"slow{i}", S), S))
    assert not sends(router.handle(request("full", S), S))
    for i in range(2):
        router.handle(StreamStarted(f"slow{i}", 0), S)
        router.handle(StreamStarted(f"slow{i}", 0), S)  # a repeated event frees one place only
    again = [only_send(router.handle(request(f"quick{i}", S), S)) for i in range(2)]
    assert not sends(router.handle(request("full again", S), S))
    for i in range(2):
        router.handle(ended(Send(f"slow{i}", again[0].server), Outcome.OK), 2 * S)
    node = router.caches.nodes[fleet(1)[0].id]
    assert node.load == 2
    for send in again:
        router.handle(ended(send, Outcome.OK), 2 * S)
    assert node.load == 0
    assert not router.requests


def test_class_that_streams_its_answers_holds_its_place_to_the_end() -> None:
    streams = RequestClass("read", aim=300 * MS, deadline=S, streamed=True)
    router = started(settings(classes=(streams,)), fleet(1), origin=False)
    assert sends(router.handle(request("r", S), S))
    router.handle(StreamStarted("r", 0), S)
    assert router.caches.nodes[fleet(1)[0].id].load == 1


@pytest.mark.parametrize(
    ("without_answer", "pause"), [(10 * MS, 10 * MS), (4 * S, 4 * S), (60 * S, STALE_AFTER_NS)]
)
def test_pause_after_a_timeout_equals_the_time_without_answers(without_answer: int, pause: int) -> None:
    """Of hundreds of routers each rarely sends to one server: with none in flight no limit has an effect."""
    router = started(settings(), fleet(1), origin=False)
    first = only_send(router.handle(request("heard", 100 * S), 100 * S))
    router.handle(ended(first, Outcome.OK, latency=10 * MS), 100 * S)
    silent = only_send(router.handle(request("silent", 100 * S + without_answer), 100 * S + without_answer))
    over = 100 * S + without_answer + S
    router.handle(ended(silent, Outcome.TIMEOUT, closed=True, latency=S), over)
    assert not sends(router.handle(request("meanwhile", over + pause - MS), over + pause - MS))
    assert sends(router.handle(request("then", over + pause), over + pause))


def test_pause_of_a_server_that_never_answered_equals_the_time_it_is_known() -> None:
    """A router that has just started can't know from its first time-outs how rarely it sends to a server."""
    router = started(settings(), fleet(1), origin=False, now=100 * S)
    first = only_send(router.handle(request("first", 102 * S), 102 * S))
    router.handle(ended(first, Outcome.TIMEOUT, closed=True, latency=S), 103 * S)
    assert not sends(router.handle(request("meanwhile", 105 * S - MS), 105 * S - MS))
    assert sends(router.handle(request("then", 105 * S), 105 * S))
