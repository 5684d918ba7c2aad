"""Placement in isolation: a request and a time give a server or a reason."""

from __future__ import annotations

from dataclasses import replace

import pytest

from saltport.decisions import Fail, Outcome, Refuse, RequestArrived, Router, Send, views
from saltport.decisions.health import Node
from saltport.decisions.interface import Reason
from saltport.decisions.placement import CROWDED_SHARE, MAX_OVERFLOW_SERVERS, Suspected
from saltport.decisions.request import Request
from tests.decisions.helpers import MS, S, ended, fleet, given_up, only_send, request, settings, started


def asked(router: Router, name: str = "r", cls: str = "read", deadline: int = S) -> Request:
    """Return a request that has not been sent yet."""
    event = request(name, cls=cls, deadline=deadline)
    limiter = router.fetches.rate_limiters["a"]
    rules = router.rules_for(event.request_class, "a", 0)
    assert rules is not None
    made = Request(event, rules.request_class, limiter, 4)
    made.slot = 5
    return made


def ranking(router: Router) -> list[Node]:
    return router.caches.rank(5, 0)


def fill(node: Node) -> None:
    node.limit.limit, node.load = 1.0, 1


def test_the_slots_own_server_comes_first() -> None:
    router = started(settings(), fleet(6))
    assert router.placement.place(asked(router), 0) is ranking(router)[0]


def test_no_server_at_all_is_a_miss() -> None:
    router = started(settings(), ())
    assert router.placement.place(asked(router), 0) is Reason.NO_SERVER


def test_a_server_that_failed_this_request_is_passed_over() -> None:
    router = started(settings(), fleet(6))
    wanted = asked(router)
    wanted.failed = ranking(router)[:2]
    assert router.placement.place(wanted, 0) is ranking(router)[2]
    wanted.failed = ranking(router)
    assert router.placement.place(wanted, 0) is Reason.NO_SERVER


def test_what_may_have_run_goes_only_where_its_repeat_is_dropped() -> None:
    servers = tuple(replace(server, zone="ab"[i % 2]) for i, server in enumerate(fleet(6)))
    router = started(settings(origin_kind=None), servers, origin=False)
    wanted = asked(router, cls="zonal")
    first = ranking(router)[0]
    wanted.possible_effect_node, wanted.failed, wanted.not_after = first, (first,), S
    chosen = router.placement.place(wanted, 0)
    assert isinstance(chosen, Node)
    assert chosen.entry.zone == first.entry.zone
    assert router.placement.place(wanted, S) is Reason.NO_SERVER


@pytest.mark.parametrize("write", [False, True])
def test_a_read_with_less_time_than_answers_take_is_turned_away_and_a_write_is_not(write: bool) -> None:
    router = started(settings(origin_kind=None), fleet(3), origin=False)
    for node in router.caches.nodes.values():
        for _ in range(16):
            node.timeliness.learn(200 * MS, True, 0.5, S)
    wanted = asked(router, cls="edit" if write else "read", deadline=S + 50 * MS)
    chosen = router.placement.place(wanted, S)
    assert isinstance(chosen, Node) if write else chosen is Reason.TOO_LATE


def eject(router: Router, server: str) -> None:
    node = router.caches.nodes[server]
    for n in range(3):
        router.outliers.record_outcome(node, f"x{n}", Outcome.CONNECT_FAILED, n * MS, n * MS)
    assert server in router.outliers.ejected


def test_an_ejected_server_is_passed_over_until_one_request_finds_out() -> None:
    router = started(settings(), fleet(6))
    first, second = ranking(router)[:2]
    eject(router, first.entry.id)
    shown = views.outliers(router.outliers, S // 2)["servers"][first.entry.id]  # type: ignore[index]
    assert shown["state"] == shown["standing"] == "ejected"  # `standing` is the old name
    assert router.placement.place(asked(router), S // 2) is second
    later = 10 * S
    assert router.placement.place(asked(router, "one"), later) == Suspected(first)
    assert router.placement.place(asked(router, "two"), later) is second


def test_request_that_must_not_be_repeated_is_not_used_for_trials() -> None:
    router = started(settings(origin_kind=None), fleet(6), origin=False)
    first, second = ranking(router)[:2]
    eject(router, first.entry.id)
    assert router.placement.place(asked(router, cls="order"), 10 * S) is second


def test_full_servers_are_passed_over_a_few_times_and_the_reads_counted() -> None:
    router = started(settings(), fleet(8))
    nodes = ranking(router)
    fill(nodes[0])
    assert router.placement.place(asked(router), 0) is nodes[1]
    assert (router.placement.overflowed, router.placement.crowded_share > 0) == (1, True)
    for node in nodes[1 : MAX_OVERFLOW_SERVERS + 1]:
        fill(node)
    assert router.placement.place(asked(router), 0) is Reason.SERVERS_FULL


def test_no_further_server_is_asked_for_room_when_all_are_crowded() -> None:
    router = started(settings(), fleet(8))
    fill(ranking(router)[0])
    router.placement.crowded_share = 2 * CROWDED_SHARE
    assert router.placement.place(asked(router), 0) is Reason.SERVERS_FULL


def test_a_server_that_gives_its_reads_away_is_still_better_than_none() -> None:
    router = started(settings(), fleet(2))
    first, second = ranking(router)
    first.weight_factor = 1e-9
    assert router.placement.place(asked(router), 0) is second
    assert router.placement.moved == 1
    second.weight_factor = 1e-9
    assert router.placement.place(asked(router), 0) is first


def test_metrics_refusals_and_failures_have_the_same_reason() -> None:
    router = started(settings(), ())
    router.handle(RequestArrived("late", "read", 0, "a", "k"), S)
    (refused,) = router.handle(request("r", S, cls="edit", deadline=S), S)
    assert isinstance(refused, Refuse)
    assert refused.reason is Reason.TRIES_SPENT
    single = started(settings(origin_kind=None, max_attempts=1), fleet(1), origin=False)
    send: Send = only_send(single.handle(request("w", cls="order"), 0))
    (failed,) = single.handle(ended(send, Outcome.ERROR), 0)
    assert isinstance(failed, Fail)
    assert failed.reason is Reason.TRIES_SPENT
    assert given_up(views.summary(single, 0)) == {Reason.TRIES_SPENT.value: 1}
