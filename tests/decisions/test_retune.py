"""New settings at run time: open requests keep their class, counts are preserved, the rest changes."""

from __future__ import annotations

import pytest

from saltport.decisions import (
    Effect,
    Fail,
    LoopReport,
    Outcome,
    Refuse,
    RequestClass,
    SettingsChanged,
    Tenant,
)
from tests.decisions.helpers import MS, S, ended, finals, fleet, only_send, request, sends, settings, started


def test_open_request_keeps_its_effect_and_a_new_one_has_the_new_one() -> None:
    router = started(settings(), fleet(3))
    old = only_send(router.handle(request("old", S, "edit", write=False), S))
    unsafe = RequestClass("edit", aim=500 * MS, deadline=S, effect=Effect.UNSAFE)
    router.handle(SettingsChanged(settings(classes=(unsafe,))), S)
    new = only_send(router.handle(request("new", S, "edit", write=False), S))
    assert sends(router.handle(ended(old, Outcome.RESET), S + MS)), "a keyed one is sent again"
    actions = router.handle(ended(new, Outcome.RESET), S + MS)
    assert [type(action) for action in finals(actions)] == [Fail], "an unsafe one is not"


@pytest.mark.parametrize(("before", "after", "tries"), [(4, 1, 4), (1, 4, 1)])
def test_open_request_keeps_its_attempts(before: int, after: int, tries: int) -> None:
    router = started(settings(max_attempts=before), fleet(8), origin=False)
    send = only_send(router.handle(request("r", S), S))
    router.handle(SettingsChanged(settings(max_attempts=after)), S)
    made = 1
    while again := sends(router.handle(ended(send, Outcome.FULL, latency=MS), S + made * MS)):
        made, send = made + 1, again[0]
    assert made == tries
    send, made = only_send(router.handle(request("n", 2 * S), 2 * S)), 1
    while again := sends(router.handle(ended(send, Outcome.FULL, latency=MS), 2 * S + made * MS)):
        made, send = made + 1, again[0]
    assert made == after


def test_class_that_is_added_is_served_and_one_that_is_dropped_ends_well() -> None:
    router = started(settings(), fleet(3))
    open_one = only_send(router.handle(request("old", S), S))
    router.handle(SettingsChanged(settings(classes=(RequestClass("fresh", 200 * MS, S),))), S)
    assert sends(router.handle(request("new", S, "fresh", write=False), S))
    again = sends(router.handle(ended(open_one, Outcome.RESET), S + MS))
    assert again
    router.handle(ended(again[0], Outcome.OK), S + 2 * MS)
    assert "old" not in router.requests


def test_rate_limiters_keep_their_counts_and_take_the_new_quota() -> None:
    router = started(settings(), fleet(2))
    for i in range(5):
        send = only_send(router.handle(request(f"r{i}", S, key=f"k{i}"), S))
        router.handle(ended(send, Outcome.MISS), S)
    limiter = router.fetches.rate_limiters["a"]
    assert limiter.accepted(S) == 5
    tenants = (Tenant("a", 0.3, 30.0), Tenant("c", 0.7, 70.0))
    router.handle(SettingsChanged(settings(tenants=tenants)), S)
    assert router.fetches.rate_limiters["a"] is limiter
    assert (limiter.accepted(S), limiter.cap, limiter.portion) == (5, 30.0, 0.3)
    assert limiter.limit <= limiter.cap
    assert set(router.fetches.rate_limiters) == {"a", "c", ""}
    send = only_send(
        router.handle(request("gone", S, tenant="b", key="z"), S)
    )  # counted as an unknown tenant
    router.handle(ended(send, Outcome.MISS), S)
    assert router.fetches.rate_limiters[""].accepted(S) == 1


def test_values_derived_from_the_settings_change() -> None:
    router = started(settings(), fleet(2))
    slow = settings(
        classes=(RequestClass("read", aim=S, deadline=7 * S),),
        tenants=(Tenant("a", 1.0, 60.0),),
        overload_target=20 * MS,
        cold_share=0.5,
        cold_time=4 * S,
        retry_after=True,
        max_retry_after=3 * S,
    )
    router.handle(SettingsChanged(slow), S)
    assert router.outliers._min_silence == 7 * S
    assert router.overload.target == 20 * MS
    for i in range(40):
        router.handle(LoopReport(1.0, 200 * MS), S + i * 100 * MS)
    assert router.overload.admitted < 0.5
    router.overload.admitted, router.overload._chances = 1.0, {}
    no_origin = started(slow, (), origin=False)
    (refusal,) = finals(no_origin.handle(request("r", S), S))
    assert isinstance(refusal, Refuse)
    assert refusal.retry_after >= 1.5 * S
