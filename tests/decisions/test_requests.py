"""The life of a request, with a regression test for each fault found."""

from __future__ import annotations

from dataclasses import replace

import pytest

from saltport.decisions import (
    ClientGone,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    RequestClass,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    Settings,
    Subscribe,
    Tenant,
    TimerFired,
    timer_tokens,
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


def test_read_hits_and_nothing_more_is_sent() -> None:
    router = started(settings(), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    assert send.server in {server.id for server in fleet(5)}
    assert router.handle(ended(send, Outcome.OK), 20 * MS) == []


def test_miss_is_fetched_from_the_origin_with_the_whole_remaining_time() -> None:
    router = started(settings(), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    fetch = only_send(router.handle(ended(send, Outcome.MISS), 5 * MS))
    assert (fetch.server, fetch.timeout) == (ORIGIN.id, 0)


def test_write_goes_straight_to_the_origin_even_when_reads_are_denied() -> None:
    router = started(settings(tenants=(Tenant("a", 1.0, 0.1),)), fleet(5))
    denied = 0
    for i in range(50):
        send = only_send(router.handle(request(f"r{i}", key=f"k{i}"), 0))
        denied += bool(finals(router.handle(ended(send, Outcome.MISS), 0)))
    assert denied > 40
    assert only_send(router.handle(request("w", cls="edit"), 0)).server == ORIGIN.id


def test_refusal_carries_a_wait_only_where_clients_get_one() -> None:
    for sends_wait in (True, False):
        router = started(settings(retry_after=sends_wait, max_retry_after=400 * MS), (), origin=False)
        (refusal,) = router.handle(request("r"), 0)
        assert isinstance(refusal, Refuse)
        assert (200 * MS <= refusal.retry_after <= 400 * MS) if sends_wait else refusal.retry_after == 0


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.ERROR])
def test_failed_holder_is_followed_by_the_next_ranked_server(outcome: Outcome) -> None:
    router = started(settings(), fleet(5))
    first = only_send(router.handle(request("r"), 0))
    second = only_send(router.handle(ended(first, outcome), 5 * MS))
    assert second.server not in (first.server, ORIGIN.id)


def test_attempt_limit_ends_in_a_refusal_of_a_safe_read() -> None:
    router = started(settings(max_attempts=2), fleet(5))
    first = only_send(router.handle(request("r"), 0))
    second = only_send(router.handle(ended(first, Outcome.FULL), 0))
    assert router.handle(ended(second, Outcome.FULL, 1), 0) == [Refuse("r")]


def test_misses_of_a_key_share_one_fetch_and_ask_the_cache_again() -> None:
    router = started(settings(), fleet(5))
    one, two = (only_send(router.handle(request(name), 0)) for name in ("one", "two"))
    fetch = only_send(router.handle(ended(one, Outcome.MISS), 5 * MS))
    waiting = router.handle(ended(two, Outcome.MISS), 6 * MS)
    assert [type(action) for action in waiting] == [SetTimer]
    again = only_send(router.handle(ended(fetch, Outcome.OK, 1), 50 * MS))
    assert (again.request, again.server) == ("two", two.server)


@pytest.mark.parametrize("end", [Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.NOT_SENT])
def test_fetch_whose_client_left_goes_on_for_the_waiter(end: Outcome) -> None:
    router = started(settings(), fleet(5))
    one, two = (only_send(router.handle(request(name), 0)) for name in ("one", "two"))
    fetch = only_send(router.handle(ended(one, Outcome.MISS), 5 * MS))
    router.handle(ended(two, Outcome.MISS), 5 * MS)
    assert router.handle(ClientGone("one"), 10 * MS) == [], "no second fetch beside the one that is out"
    # After a successful fetch the waiter reads the cache; otherwise it fetches the value itself.
    then = only_send(router.handle(ended(fetch, end, closed=True), 20 * MS))
    assert then.request == "two"
    assert (then.server == ORIGIN.id) == (end is not Outcome.OK)
    assert "one" not in router.requests


def test_waiter_is_answered_at_its_deadline() -> None:
    router = started(settings(), fleet(5))
    one, two = (only_send(router.handle(request(name), 0)) for name in ("one", "two"))
    router.handle(ended(one, Outcome.MISS), 5 * MS)
    (timer,) = router.handle(ended(two, Outcome.MISS), 6 * MS)
    assert isinstance(timer, SetTimer)
    assert timer.delay == S - 6 * MS
    assert router.handle(TimerFired(timer.token), S) == [Refuse("two")]


def test_client_leaving_in_the_same_batch_as_the_outcome() -> None:
    router = started(settings(), fleet(5))
    send = only_send(router.handle(request("r"), 0))
    assert router.handle(ClientGone("r"), 5 * MS) == []
    assert router.handle(ended(send, Outcome.MISS, closed=True), 5 * MS) == []
    other = only_send(router.handle(request("s"), 0))
    only_send(router.handle(ended(other, Outcome.MISS), 5 * MS))
    assert router.handle(ClientGone("unknown"), 5 * MS) == []


def test_request_past_its_deadline_is_answered_at_once() -> None:
    router = started(settings(), fleet(5))
    assert router.handle(request("r", deadline=5), 10) == [Refuse("r")]
    assert router.handle(request("w", cls="order", deadline=5), 10) == [Refuse("w")]


def test_empty_list_leaves_reads_to_the_origin() -> None:
    router = started(settings(), ())
    assert only_send(router.handle(request("r"), 0)).server == ORIGIN.id


def test_unsafe_write_that_may_have_run_fails_and_one_that_did_not_is_sent_again() -> None:
    router = started(settings(), fleet(3))
    send = only_send(router.handle(request("w", cls="order"), 0))
    (timer,) = router.handle(ended(send, Outcome.ERROR), 5 * MS)
    assert isinstance(timer, SetTimer)
    (final,) = router.handle(TimerFired(timer.token), 300 * MS)
    assert final == Fail("w")
    send = only_send(router.handle(request("x", cls="order"), 0))
    (timer,) = router.handle(ended(send, Outcome.FULL), 5 * MS)
    assert isinstance(timer, SetTimer)
    assert only_send(router.handle(TimerFired(timer.token), 300 * MS)).server == ORIGIN.id


@pytest.mark.parametrize("request_id", ["subscribe", "subscription", "hot keys", "hot key sweep", ""])
def test_write_continues_whatever_the_id_that_its_client_has_chosen(request_id: str) -> None:
    """Guards against a write without an answer: its timer was taken for the router's own of that name."""
    router = started(settings(), fleet(3))
    send = only_send(router.handle(request(request_id, cls="order"), 0))
    (timer,) = router.handle(ended(send, Outcome.FULL), 5 * MS)
    assert isinstance(timer, SetTimer)
    assert only_send(router.handle(TimerFired(timer.token), 300 * MS)).request == request_id


def test_keyed_write_is_not_sent_again_after_its_window() -> None:
    short = RequestClass("edit", aim=S, deadline=9 * S, effect=settings().classes[1].effect, dedup_window=10)
    router = started(settings(classes=(short,)), fleet(3))
    send = only_send(router.handle(request("w", cls="edit", deadline=9 * S), 0))
    (timer,) = router.handle(ended(send, Outcome.ERROR), 5 * MS)
    assert isinstance(timer, SetTimer)
    assert router.handle(TimerFired(timer.token), 500 * MS) == [Refuse("w")]


def test_keyed_group_of_a_zone_is_kept_when_caches_take_the_writes() -> None:
    zones = tuple(Server(f"s{i}", zone=f"z{i % 2}") for i in range(6))
    router = started(settings(origin_kind=None), zones, origin=False)
    send = only_send(router.handle(request("w", cls="zonal"), 0))
    again = only_send(router.handle(ended(send, Outcome.ERROR), 5 * MS))
    zone_of = {server.id: server.zone for server in zones}
    assert again.server != send.server
    assert zone_of[again.server] == zone_of[send.server]
    third = only_send(router.handle(ended(again, Outcome.ERROR, 1), 6 * MS))
    assert router.handle(ended(third, Outcome.ERROR, 2), 7 * MS) == [Fail("w")]


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_nothing_is_sent_to_a_server_that_drains_or_is_gone(state: ServerState) -> None:
    router = started(settings(), fleet(5))
    leaver = only_send(router.handle(request("r0"), 0)).server
    router.handle(ServersChanged(ListKind.DELTA, (Server(leaver, kind="std", state=state),)), 0)
    for i in range(1, 300):
        send = only_send(router.handle(request(f"r{i}", key=f"k{i}"), 0))
        assert send.server != leaver
        router.handle(ended(send, Outcome.OK), 0)


def test_server_absent_from_a_full_list_is_gone() -> None:
    router = started(settings(), fleet(5))
    router.handle(ServersChanged(ListKind.FULL, (fleet(5)[2], ORIGIN)), 0)
    targets = {only_send(router.handle(request(f"r{i}", key=f"k{i}"), 0)).server for i in range(50)}
    assert targets == {fleet(5)[2].id}


def test_draining_origin_gets_nothing() -> None:
    router = started(settings(), fleet(2))
    router.handle(ServersChanged(ListKind.DELTA, (replace(ORIGIN, state=ServerState.DRAINING),)), 0)
    assert router.handle(request("w", cls="edit"), 0) == [Refuse("w")]


def test_overrun_server_gets_what_its_limit_allows_and_the_rest_is_refused() -> None:
    router = started(settings(), fleet(1), origin=False)
    only_send(router.handle(request("r"), 0))
    router.handle(ended(Send("r", fleet(1)[0].id), Outcome.FULL), 0)
    assert finals(router.handle(request("at once"), 0))
    actions = [router.handle(request(f"s{i}", 50 * MS), 50 * MS) for i in range(400)]
    assert sum(len(sends(came)) for came in actions) == 1  # one attempt tests the server
    assert all(len(sends(came)) + len(finals(came)) == 1 for came in actions)


def overrun(router: Router, key: str, now: int = 0) -> str:
    """Let the server of the key's slot refuse a read as full; return the server."""
    holder = only_send(router.handle(request("first", now, key=key), now)).server
    router.handle(ended(Send("first", holder), Outcome.FULL, closed=True), now)
    return holder


def test_read_of_an_overrun_server_goes_to_the_next_one_always_the_same() -> None:
    router = started(settings(), fleet(8))
    for i in range(600):  # with a single key its slot would be replicated
        router.handle(ended(only_send(router.handle(request(f"w{i}", key=f"w{i}"), 0)), Outcome.OK), 0)
    holder = overrun(router, "k")
    others = {only_send(router.handle(request(f"r{i}"), 0)).server for i in range(3)}
    assert len(others) == 1
    assert holder not in others


def test_no_overflow_once_the_fleet_is_crowded() -> None:
    """In an overloaded fleet, misses at other servers would only add load."""
    router = started(settings(max_retry_after=S, retry_after=True), fleet(8))
    overrun(router, "k")
    ends = [router.handle(request(f"r{i}"), 0) for i in range(60)]
    assert sends(ends[0])
    assert finals(ends[-1])
    assert all(len(sends(came)) + len(finals(came)) == 1 for came in ends)


def test_no_overflow_once_the_tenants_fetches_are_half_used() -> None:
    router = started(settings(), fleet(8))
    for i in range(400):
        send = only_send(router.handle(request(f"m{i}", key=f"m{i}"), 0))
        for fetch in sends(router.handle(ended(send, Outcome.MISS), 0)):
            router.handle(ended(fetch, Outcome.OK, 1), 0)
    overrun(router, "k")
    assert finals(router.handle(request("r"), 0))
    assert sends(router.handle(request("other tenant's", tenant="b"), 0))


def test_clients_retry_goes_only_where_there_is_much_room() -> None:
    router = started(settings(), fleet(1), origin=False)
    node = router.caches.nodes[fleet(1)[0].id]
    node.limit.cut(0, 1, 19)  # the limit becomes ten
    for i in range(5):
        only_send(router.handle(request(f"r{i}"), 0))
    assert finals(router.handle(request("again", retry=True), 0))
    only_send(router.handle(request("first try"), 0))


def test_hot_slot_is_shared_by_few_stable_owners_and_others_keep_theirs() -> None:
    # Guards against one popular key that overloads the server of its slot.
    router = started(settings(), fleet(20))
    owners: dict[str, set[str]] = {}
    for i in range(2000):
        key = "hot" if i % 10 == 0 else f"cold{i % 500}"
        send = only_send(router.handle(request(f"r{i}", key=key), i))
        owners.setdefault(key, set()).add(send.server)
        router.handle(ended(send, Outcome.OK), i)
    assert 4 <= len(owners.pop("hot")) <= 8
    assert sum(len(servers) == 1 for servers in owners.values()) > 0.95 * len(owners)


def test_lone_bad_fetch_cuts_nobody_and_repeated_ones_cut_every_tenant() -> None:
    # Guards against a cut of all tenants' fetches by single late fetches (one in forty, by chance).
    router = started(settings(), fleet(5))
    limiters = list(router.fetches.rate_limiters.values())
    caps = [limiter.limit for limiter in limiters]

    def fetch(i: int, outcome: Outcome) -> None:
        now = (i + 1) * S
        send = only_send(router.handle(request(f"r{i}", now, key=f"k{i}"), now))
        out = only_send(router.handle(ended(send, Outcome.MISS), now))
        router.handle(ended(out, outcome, 1, closed=True, latency=600 * MS), now)

    fetch(0, Outcome.TIMEOUT)
    assert [limiter.limit for limiter in limiters] == caps
    fetch(1, Outcome.TIMEOUT)
    assert all(limiter.limit < cap for limiter, cap in zip(limiters, caps, strict=True))


def test_cuts_come_once_an_origin_round_trip() -> None:
    router = started(settings(), fleet(5))
    fetches = []
    for i in range(12):
        send = only_send(router.handle(request(f"r{i}", S, key=f"k{i}"), S))
        fetches += sends(router.handle(ended(send, Outcome.MISS), S))
    limiter = router.fetches.rate_limiters["b"]
    for fetch in fetches:
        router.handle(ended(fetch, Outcome.RESET, 1), S + 200 * MS)
    once = limiter.limit
    assert once < limiter.cap
    again = ended(fetches[0], Outcome.RESET)
    router.fetches.ended(router.origins.nodes[ORIGIN.id], again, False, S + 200 * MS)
    assert limiter.limit == once


def test_writes_are_held_while_the_origin_is_over_its_width_and_the_newest_goes_first() -> None:
    # Guards against a standing queue at the origin of writes whose clients have given up.
    router = started(settings(), fleet(2))
    writes = [only_send(router.handle(request(f"w{i}", S, cls="edit"), S)) for i in range(8)]
    for write in writes[:6]:
        router.handle(ended(write, Outcome.TIMEOUT, latency=900 * MS), 2 * S)
    more = [router.handle(request(f"x{i}", 2 * S, cls="edit"), 2 * S) for i in range(6)]
    went = [actions for actions in more if sends(actions)]
    assert 0 < len(went) < 5
    assert all(isinstance(action, SetTimer) for actions in more[len(went) :] for action in actions)
    freed = []
    for write in writes[6:]:
        freed += sends(router.handle(ended(write, Outcome.OK), 2 * S + 10 * MS))
    assert [send.request for send in freed] == ["x5", "x4", "x3"]
    late = router.handle(request("y", 2 * S, cls="edit"), 2 * S)
    assert sends(late) == []
    (timer,) = [action for action in late if isinstance(action, SetTimer)]
    assert router.handle(TimerFired(timer.token), 3 * S) == [Refuse("y")]


def test_subscription_is_asked_for_at_the_start_and_after_failures_with_growing_waits() -> None:
    router = started(settings(must_subscribe=True, ask_within=8 * S), fleet(2), seed=3)
    fresh = started(settings(must_subscribe=True), ())
    (timer,) = fresh.handle(ServersChanged(ListKind.FAILED), 0) or [SetTimer(0, timer_tokens.SUBSCRIPTION)]
    assert isinstance(timer, SetTimer)
    delays = []
    for _ in range(6):
        assert router.handle(TimerFired(timer_tokens.SUBSCRIPTION), 0) == [Subscribe()]
        (timer,) = router.handle(ServersChanged(ListKind.FAILED), 0)
        assert isinstance(timer, SetTimer)
        delays.append(timer.delay)
        assert router.handle(ServersChanged(ListKind.FAILED), 0) == []  # one pending subscription at a time
    assert max(delays) <= 4 * S
    assert delays[0] <= S
    assert router.handle(TimerFired(timer_tokens.SUBSCRIPTION), 0) == [Subscribe()]
    assert router.handle(ServersChanged(ListKind.DELTA), 0) == []


def test_pushed_lists_are_not_asked_for() -> None:
    router = started(settings(), fleet(2))
    assert router.handle(ServersChanged(ListKind.FULL, fleet(2)), 0) == []


def test_request_without_a_key_is_spread_and_never_waits_for_another() -> None:
    router = started(settings(), fleet(10))
    targets = set()
    for i in range(60):
        send = only_send(router.handle(request(f"r{i}", key=None), i))
        targets.add(send.server)
        assert only_send(router.handle(ended(send, Outcome.MISS), i)).server == ORIGIN.id
    assert len(targets) > 5


def test_no_tenants_and_no_quota_leave_fetches_free_at_first() -> None:
    router = started(settings(tenants=()), fleet(3))
    for i in range(30):
        send = only_send(router.handle(request(f"r{i}", tenant=None, key=f"k{i}"), i))
        assert only_send(router.handle(ended(send, Outcome.MISS), i)).server == ORIGIN.id


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"routers": 0}, "routers"),
        ({"classes": ()}, "classes"),
        ({"cold_share": 0.0}, "cold_share"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"ask_within": 0}, "ask_within"),
    ],
)
def test_invalid_settings_name_the_key(change: dict[str, object], key: str) -> None:
    with pytest.raises(ValueError, match=key):
        settings(**change)


def test_invalid_class_and_tenant_name_the_key() -> None:
    with pytest.raises(ValueError, match=r"classes\.aim"):
        RequestClass("x", aim=0, deadline=1)
    with pytest.raises(ValueError, match=r"tenants\.portion"):
        Tenant("x", 1.5)
    assert Settings((RequestClass("x", aim=1, deadline=1),)).routers == 1


def warmed(router: Router, answers: int = 60) -> int:
    """Let all caches answer until the router has learned their response time; return the time after that."""
    for i in range(answers):
        send = only_send(router.handle(request(f"w{i}", i * MS, key=f"k{i}"), i * MS))
        router.handle(ended(send, Outcome.OK), (i + 20) * MS)
    return answers * MS


def test_lost_attempt_is_cut_short_and_asked_once_more_at_the_same_server() -> None:
    router = started(settings(), fleet(3))
    now = warmed(router)
    first = only_send(router.handle(request("r", now, key="k1"), now))
    assert 20 * MS < first.timeout < 300 * MS
    now += first.timeout
    again = only_send(router.handle(ended(first, Outcome.TIMEOUT, latency=first.timeout), now))
    assert (again.server, again.timeout) == (first.server, 0)
    router.handle(ended(again, Outcome.OK, 1), now + 20 * MS)
    # a single unanswered attempt has no effect: no read is refused
    assert all(sends(router.handle(request(f"s{i}", now, key=f"k{i}"), now)) for i in range(20))


def test_short_pause_of_a_server_has_no_lasting_effect() -> None:
    router = started(settings(), fleet(1), origin=False)
    now = warmed(router)
    delayed = [only_send(router.handle(request(f"r{i}", now, key=f"k{i}"), now)) for i in range(40)]
    for send in delayed:
        end = now + send.timeout
        again = only_send(router.handle(ended(send, Outcome.TIMEOUT, latency=send.timeout), end))
        router.handle(ended(again, Outcome.OK, 1), end + 20 * MS)
    assert all(sends(router.handle(request(f"s{i}", now, key=f"k{i}"), now)) for i in range(40))


def test_server_that_stays_silent_is_left() -> None:
    router = started(settings(), fleet(3))
    now = warmed(router)
    first = only_send(router.handle(request("r", now, key="k1"), now))
    again = only_send(router.handle(ended(first, Outcome.TIMEOUT, latency=first.timeout), now))
    other = only_send(router.handle(ended(again, Outcome.TIMEOUT, 1, latency=250 * MS), now + 250 * MS))
    assert other.server != first.server


def test_slow_answers_and_repeats_that_would_do_harm_get_all_the_time() -> None:
    router = started(settings(origin_kind=None), fleet(3), origin=False)
    now = warmed(router)
    for cls in ("order", "zonal"):
        assert only_send(router.handle(request(cls, now, cls), now)).timeout == 0
    for i in range(60):
        send = only_send(router.handle(request(f"s{i}", now, key=f"k{i}"), now))
        router.handle(ended(send, Outcome.OK, latency=(280 if i % 2 else 100) * MS), now)
    assert only_send(router.handle(request("r", now, key="k1"), now)).timeout == 0


def test_held_writes_do_not_loop_when_the_origin_entry_changes() -> None:
    router = started(settings(), ())
    router.fetches._concurrency_limit = 3.0
    out = [only_send(router.handle(request(f"w{i}", cls="edit"), 0)) for i in range(3)]
    router.handle(ServersChanged(ListKind.DELTA, (replace(ORIGIN, started=1),)), 0)
    later = [sends(router.handle(request(f"h{i}", cls="edit"), 0)) for i in range(6)]
    assert [len(sent) for sent in later] == [1, 1, 1, 0, 0, 0]
    router.handle(ended(out[0], Outcome.OK), 0)  # at the node of the old entry


def test_lost_fetch_is_made_once_more_and_keeps_its_waiters() -> None:
    router = started(settings(), fleet(3))
    for i in range(60):
        send = only_send(router.handle(request(f"f{i}", key=f"f{i}"), 0))
        fetch = only_send(router.handle(ended(send, Outcome.MISS), 0))
        router.handle(ended(fetch, Outcome.OK, 1), 0)
    first, second = (only_send(router.handle(request(name, key="k1"), 0)) for name in ("r1", "r2"))
    fetch = only_send(router.handle(ended(first, Outcome.MISS), 0))
    assert 0 < fetch.timeout < 300 * MS
    assert not sends(router.handle(ended(second, Outcome.MISS), 0))
    now = fetch.timeout
    again = only_send(router.handle(ended(fetch, Outcome.TIMEOUT, 1, latency=now), now))
    assert (again.server, again.timeout) == (ORIGIN.id, 0)
    (waiter,) = sends(router.handle(ended(again, Outcome.OK, 2), now + 20 * MS))
    assert waiter.request == "r2"


def test_lost_write_is_repeated_only_where_its_repeat_is_dropped() -> None:
    for cls, repeated in (("edit", True), ("order", False)):
        router = started(settings(), fleet(3))
        for i in range(60):
            router.handle(ended(only_send(router.handle(request(f"w{i}", cls=cls), 0)), Outcome.OK), 0)
        send = only_send(router.handle(request("w", cls=cls), 0))
        assert bool(send.timeout) is repeated
        actions = router.handle(ended(send, Outcome.TIMEOUT, latency=send.timeout), send.timeout)
        assert bool(sends(actions)) is repeated


def test_lone_reset_is_tried_again_there_and_a_second_one_ejects() -> None:
    router = started(settings(), fleet(5))
    first = only_send(router.handle(request("r"), 0))
    again = only_send(router.handle(ended(first, Outcome.RESET), 5 * MS))
    assert again.server == first.server
    other = only_send(router.handle(ended(again, Outcome.RESET, 1), 10 * MS))
    assert other.server not in (first.server, ORIGIN.id)


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.ERROR])
def test_last_attempt_of_a_read_goes_to_the_origin(outcome: Outcome) -> None:
    """A fourth server lacks the key, so that the last attempt would be spent on a miss."""
    router = started(settings(max_attempts=4), fleet(12))
    actions = router.handle(request("r1"), 0)
    asked = []
    for attempt in range(3):
        send = only_send(actions)
        asked.append(send.server)
        actions = router.handle(ended(send, outcome, attempt, latency=MS), (attempt + 1) * MS)
    assert len(set(asked)) == 3
    assert ORIGIN.id not in asked
    assert only_send(actions).server == ORIGIN.id


def test_only_attempt_is_at_the_keys_server() -> None:
    router = started(settings(max_attempts=1), fleet(12))
    assert only_send(router.handle(request("r1"), 0)).server != ORIGIN.id


@pytest.mark.parametrize("routers", [1, 4, 40])
def test_unannounced_loss_of_half_of_the_servers_costs_almost_no_read(routers: int) -> None:
    """Half of the servers refuse connections, as after a restart of routers with an outdated list."""
    entries = fleet(60)
    gone = {entry.id for entry in entries[::2]}
    fleet_of_routers = [started(settings(routers=routers), entries, seed=seed) for seed in range(routers)]
    given_up = served = 0
    for number in range(1200):
        now = number * 20 * MS
        router = fleet_of_routers[number % routers]
        actions = router.handle(request(f"r{number}", now, key=f"k{number}"), now)
        attempt = 0
        while sends(actions):
            send = only_send(actions)
            outcome = Outcome.CONNECT_FAILED if send.server in gone else Outcome.MISS
            if send.server == ORIGIN.id:
                outcome = Outcome.OK
            actions = router.handle(ended(send, outcome, attempt, latency=MS), now + (attempt + 1) * MS)
            attempt += 1
            served += outcome is Outcome.OK
        given_up += len(finals(actions))
    assert served + given_up == 1200
    assert given_up <= 12
