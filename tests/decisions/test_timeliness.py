"""The least worthwhile time as a quantile that follows the server's busy share, and its effects."""

from __future__ import annotations

import random
from functools import partial
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.hot_world import MS, KeySource, Read, S, World
from saltport.decisions import LoopReport, Outcome, Refuse, views
from saltport.decisions.timeliness import TRIAL_AFTER_FACTOR, Timeliness
from tests.decisions.helpers import ended, fleet, given_up, only_send, request, sends, settings, started


def learnt(busy: float, seed: int = 1, count: int = 4_000) -> float:
    """Return the mean learnt time in ms after answers uniformly distributed from 0 to 100 ms."""
    timeliness, rng = Timeliness(), random.Random(seed)
    tail = []
    for n in range(count):
        timeliness.learn(int(rng.uniform(0, 100) * MS), True, busy, n * MS)
        if n > count / 2:
            tail.append(timeliness.min_time / MS)
    return sum(tail) / len(tail)


@pytest.mark.parametrize("busy", [0.2, 0.5, 0.8])
def test_min_time_is_the_quantile_at_the_busy_share(busy: float) -> None:
    assert learnt(busy) == pytest.approx(100 * busy, abs=6)


def test_attempts_given_up_before_min_time_are_ignored() -> None:
    timeliness = Timeliness()
    timeliness.learn(50 * MS, True, 1.0, 0)
    before = timeliness.min_time
    timeliness.learn(20 * MS, False, 1.0, MS)
    assert timeliness.min_time == before
    timeliness.learn(80 * MS, False, 1.0, MS)
    assert timeliness.min_time > before


def test_one_request_is_sent_after_long_without_answers() -> None:
    timeliness = Timeliness()
    timeliness.learn(50 * MS, True, 1.0, S)
    assert not timeliness.worth_sending(24 * MS, S + MS)
    later = S + int(TRIAL_AFTER_FACTOR * timeliness.min_time) + 1
    assert timeliness.worth_sending(24 * MS, later)
    assert not timeliness.worth_sending(24 * MS, later + MS), (
        "one request, then none until an answer or the same time again"
    )


@given(st.lists(st.tuples(st.integers(1, 10_000), st.booleans(), st.floats(0, 1)), max_size=200))
def test_min_time_stays_within_bounds(answers: list[tuple[int, bool, float]]) -> None:
    timeliness, now = Timeliness(), 0
    for took, answered, busy in answers:
        now += took * MS
        timeliness.learn(took * MS, answered, busy, now)
        assert 0 <= timeliness.min_time <= 11_000 * MS
        assert timeliness.worth_sending(11_000 * MS, now)


def test_request_with_too_little_time_is_refused_at_once_and_costs_nobody_work() -> None:
    router = started(settings(retry_after=True), fleet(1))
    now = 0
    for n in range(40):  # answers with queueing: 40 to 200 ms
        now += S // 4
        send = only_send(router.handle(request(f"a{n}", now), now))
        took = 40 * MS if n % 4 == 0 else 200 * MS
        router.handle(ended(send, Outcome.OK, latency=took), now + took)
    now += S // 4
    actions = router.handle(request("late", now, deadline=now + 24 * MS), now)
    assert sends(actions) == []
    assert [type(action) for action in actions] == [Refuse]
    assert given_up(views.summary(router, now)) == {"too little time left": 1}
    assert sends(router.handle(request("early", now), now))
    write = router.handle(request("write", now, "edit", deadline=now + 24 * MS), now)
    assert sends(write), "writes are never refused for that"


def test_router_whose_own_lag_was_longer_than_the_answer_took_goes_on_sending() -> None:
    """A negative response time would make a server look busier than possible."""
    router = started(settings(), fleet(1))
    for n in range(300):
        now = n * 20 * MS
        if n in (20, 40):
            router.handle(LoopReport(1.0, 200 * MS) if n == 20 else LoopReport(0.1, 0), now)
        send = only_send(router.handle(request(f"a{n}", now), now))
        router.handle(ended(send, Outcome.OK, latency=(5 + n % 3) * MS), now + 5 * MS)
    assert sends(router.handle(request("b", 6 * S, deadline=6 * S + 100 * MS), 6 * S))


def test_miss_with_too_little_time_for_the_origin_costs_it_no_fetch() -> None:
    router = started(settings(), fleet(1))
    now = 0
    for n in range(200):
        now += 20 * MS
        send = only_send(router.handle(request(f"a{n}", now, key=f"k{n}"), now))
        fetch = only_send(router.handle(ended(send, Outcome.MISS, latency=2 * MS), now + 2 * MS))
        assert fetch.server == "origin:1"
        router.handle(ended(fetch, Outcome.OK, 1, latency=150 * MS), now + 152 * MS)
    now += 200 * MS
    send = only_send(router.handle(request("late", now, key="x", deadline=now + 30 * MS), now))
    actions = router.handle(ended(send, Outcome.MISS, latency=2 * MS), now + 2 * MS)
    assert sends(actions) == []
    assert isinstance(actions[0], Refuse)


def hammered(nodes: int = 12, routers: int = 2, seconds: int = 10) -> tuple[float, float]:
    """Let one tenant retry after 2 ms, seven times with 60 ms left; return the tenants' shares in time."""
    world = World(nodes, None, 1, routers, work=50 * MS, spread_work=0.3, stored_prefix="k")

    def again(read: Read) -> None:
        if read.tenant == "b" and read.attempt_number < 8:
            within = 60 * MS if read.attempt_number < 7 else S
            world.schedule(2 * MS, partial(world.ask, read.key, False, "b", read, within))

    world.on_refusal = again

    def keys(within: int) -> KeySource:
        def draw() -> tuple[Any, ...]:
            tenant = "a" if world.rng.random() < 0.6 else "b"
            return f"k{world.rng.randrange(600)}", False, tenant, None, within if tenant == "b" else S

        return draw

    rate = 0.7 * nodes / 0.05
    world.run_load(rate, keys(S), 3)
    world.run(world.now + S)
    world.counts.clear()
    world.run_load(rate, keys(60 * MS), seconds)
    world.run(world.now + S)
    quiet, hammering = (world.counts[tenant]["served"] / world.counts[tenant]["asked"] for tenant in "ab")
    return quiet, hammering


def test_clients_that_retry_fast_with_too_little_time_harm_no_other_tenant(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    quiet, hammering = hammered()
    monkeypatch.setattr(Timeliness, "worth_sending", lambda *_: True)
    quiet_before, hammering_before = hammered()
    assert quiet > 0.95 > 0.8 > quiet_before
    assert hammering > 0.9 > 0.5 > hammering_before


@pytest.mark.parametrize(
    ("nodes", "routers", "least"), [(12, 1, 0.95), (12, 4, 0.95), (12, 40, 0.8), (48, 200, 0.6)]
)
def test_routers_with_few_answers_per_node_withstand_fast_retries(
    nodes: int, routers: int, least: float
) -> None:
    """With each node's own answers only, the quiet tenant gets 0.20 at 40 routers and 0.35 at 200."""
    quiet, hammering = hammered(nodes, routers)
    assert quiet > least
    assert hammering > least - 0.1


def test_estimate_is_reliable_only_with_frequent_answers() -> None:
    timeliness = Timeliness()
    for n in range(16):
        assert not timeliness.reliable
        timeliness.learn(50 * MS, True, 0.5, S + n * 100 * MS)
    assert timeliness.reliable
    timeliness.learn(50 * MS, True, 0.5, 10 * S)
    assert not timeliness.reliable
