"""Servers excluded by an operator: they get nothing, and start slowly after their readmission."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from saltport.decisions import (
    AttemptEnded,
    ListKind,
    Outcome,
    Refuse,
    Router,
    Send,
    Server,
    ServerExcluded,
    ServerReadmitted,
    ServersChanged,
    ServerState,
    views,
)
from saltport.decisions.server_registry import MAX_REMOVED_IDS, ServerRegistry
from tests.decisions.helpers import MS, ORIGIN, S, ended, finals, fleet, request, sends, settings, started

COLD = settings(cold_share=0.25, cold_time=8 * S)


def asked(router: Router, count: int, now: int, name: str = "r") -> list[str]:
    """Return the servers of reads of many keys, each of which is answered at once."""
    went = []
    for i in range(count):
        for send in sends(router.handle(request(f"{name}{i}", now, key=f"k{i}"), now)):
            went.append(send.server)
            router.handle(ended(send, Outcome.OK), now)
    return went


def changed(kind: ListKind, *entries: Server) -> ServersChanged:
    return ServersChanged(kind, (*entries, ORIGIN))


@pytest.mark.parametrize(
    "change",
    [
        lambda servers: changed(ListKind.FULL, *servers),
        lambda servers: changed(ListKind.CACHED, *servers),
        lambda servers: changed(ListKind.DELTA, replace(servers[0], weight=2.0)),
        lambda servers: changed(ListKind.DELTA, replace(servers[0], started=9 * S)),
        lambda servers: changed(ListKind.DELTA, replace(servers[0], state=ServerState.DRAINING)),
    ],
)
def test_excluded_server_gets_nothing_whatever_the_list_says(change: object) -> None:
    servers = fleet(4)
    router = started(settings(), servers)
    assert servers[0].id in asked(router, 60, S)
    router.handle(ServerExcluded(servers[0].id), S)
    assert servers[0].id not in asked(router, 60, 2 * S, "a")
    assert callable(change)
    router.handle(change(servers), 3 * S)
    assert servers[0].id not in asked(router, 60, 4 * S, "b")
    # The server leaves the list and returns.
    router.handle(changed(ListKind.DELTA, replace(servers[0], state=ServerState.GONE)), 5 * S)
    router.handle(changed(ListKind.DELTA, servers[0]), 6 * S)
    assert servers[0].id not in asked(router, 60, 7 * S, "c")
    assert views.cluster(router) == (4, 1)
    router.handle(ServerReadmitted(servers[0].id), 8 * S)
    assert servers[0].id in asked(router, 60, 9 * S, "d")
    assert views.cluster(router) == (4, 0)


def test_server_excluded_before_it_is_listed_stays_excluded() -> None:
    router = Router(settings(), 1)
    servers = fleet(3)
    router.handle(ServerExcluded(servers[1].id), 0)
    router.handle(changed(ListKind.CACHED, *servers), 0)
    assert servers[1].id not in asked(router, 60, S)


def test_repeated_exclusions_end_with_one_readmission() -> None:
    servers = fleet(3)
    router = started(settings(), servers)
    for _ in range(3):
        router.handle(ServerExcluded(servers[0].id), S)
    router.handle(ServerReadmitted(servers[0].id), 2 * S)
    assert servers[0].id in asked(router, 60, 3 * S)
    node = router.caches.nodes[servers[0].id]
    router.handle(ServerReadmitted(servers[0].id), 4 * S)
    assert router.caches.nodes[servers[0].id] is node, "one that is not out is left as it is"


def test_all_servers_excluded_is_handled_like_an_empty_list() -> None:
    servers = fleet(3)
    router, empty = started(settings(), servers, origin=False), started(settings(), (), origin=False)
    for server in servers:
        router.handle(ServerExcluded(server.id), S)
    excluded, as_empty = router.handle(request("r", S), S), empty.handle(request("r", S), S)
    assert sends(excluded) == []
    assert (
        [type(action) for action in finals(excluded)]
        == [type(action) for action in finals(as_empty)]
        == [Refuse]
    )


def test_panic_sends_nothing_to_an_excluded_server() -> None:
    servers = fleet(4)
    router = started(settings(), servers)
    router.handle(ServerExcluded(servers[0].id), S)
    now = S
    for round_ in range(40):
        now += 100 * MS
        for send in sends(router.handle(request(f"p{round_}", now, key=f"k{round_}"), now)):
            while send is not None:
                assert send.server != servers[0].id
                actions = router.handle(ended(send, Outcome.CONNECT_FAILED, latency=MS), now)
                send = next(iter(sends(actions)), None)  # type: ignore[assignment]
    assert router.outliers.panicking
    assert views.cluster(router) == (4, 1), "in panic nobody is avoided but by hand"


def test_readmitted_server_has_slow_start_and_a_clean_record() -> None:
    servers = fleet(4)
    router = started(COLD, servers)
    node = router.caches.nodes[servers[0].id]
    for i in range(3):
        sent = S + i * MS
        router.outliers.record_outcome(node, f"x{i}", Outcome.CONNECT_FAILED, sent, sent + 1)
    assert servers[0].id in router.outliers.ejected
    router.handle(ServerExcluded(servers[0].id), 2 * S)
    router.handle(ServerReadmitted(servers[0].id), 3 * S)
    assert servers[0].id not in router.outliers.ejected
    node = router.caches.nodes[servers[0].id]
    assert router.caches.slow_start_factor(node, 3 * S) == pytest.approx(0.25)
    assert router.caches.slow_start_factor(node, 7 * S) == pytest.approx(0.625)
    router.handle(changed(ListKind.FULL, *servers), 4 * S)  # the list has no start time
    assert router.caches.nodes[servers[0].id] is node
    later = replace(servers[0], started=5 * S)
    router.handle(changed(ListKind.DELTA, later), 6 * S)
    assert router.caches.nodes[servers[0].id].entry == later


def test_several_readmitted_at_once_get_only_their_slow_start_shares() -> None:
    servers = fleet(8)
    router = started(COLD, servers)
    for server in servers[:4]:
        router.handle(ServerExcluded(server.id), S)
    for server in servers[:4]:
        router.handle(ServerReadmitted(server.id), 2 * S)
    went = asked(router, 4000, 2 * S)
    cold = sum(went.count(server.id) for server in servers[:4]) / 4
    warm = sum(went.count(server.id) for server in servers[4:]) / 4
    assert 0 < cold < 0.5 * warm


def test_attempt_in_flight_at_an_exclusion_is_retried_elsewhere() -> None:
    servers = fleet(3)
    router = started(settings(), servers)
    send = sends(router.handle(request("r", S), S))[0]
    router.handle(ServerExcluded(send.server), S)
    again = sends(router.handle(ended(send, Outcome.CONNECT_FAILED), S + MS))
    assert [entry.server != send.server for entry in again] == [True]


def test_only_listed_ids_are_known_and_removed_ones_are_bounded() -> None:
    registry = ServerRegistry()
    assert not registry.knows("a")
    registry.apply(ServersChanged(ListKind.FULL, (Server("a"), Server("b", state=ServerState.DRAINING))))
    assert registry.knows("a")
    assert registry.knows("b")
    registry.apply(ServersChanged(ListKind.FULL, ()))
    assert registry.knows("a")
    for i in range(MAX_REMOVED_IDS + 10):
        registry.apply(ServersChanged(ListKind.DELTA, (Server(f"n{i}"),)))
        registry.apply(ServersChanged(ListKind.DELTA, (Server(f"n{i}", state=ServerState.GONE),)))
    assert not registry.knows("a")
    assert registry.knows(f"n{MAX_REMOVED_IDS}")
    assert len(registry._gone) == MAX_REMOVED_IDS


def test_registry_and_tables_agree_over_any_changes() -> None:
    """Compares with a model: the usable servers are the ready ones that are not excluded."""
    rng = random.Random(11)
    router = started(settings(), (), origin=False)
    listed: dict[str, ServerState] = {}
    out: set[str] = set()
    for step in range(2000):
        now = step * MS
        name = f"s{rng.randrange(8)}"
        match rng.randrange(4):
            case 0:
                state = rng.choice(list(ServerState))
                router.handle(ServersChanged(ListKind.DELTA, (Server(name, state=state),)), now)
                listed[name] = state
            case 1:
                entries = tuple(
                    Server(f"s{i}", state=rng.choice((ServerState.READY, ServerState.DRAINING)))
                    for i in range(8)
                    if rng.random() < 0.7
                )
                router.handle(ServersChanged(ListKind.FULL, entries), now)
                listed = {entry.id: entry.state for entry in entries}
            case 2:
                router.handle(ServerExcluded(name), now)
                out.add(name)
            case _:
                router.handle(ServerReadmitted(name), now)
                out.discard(name)
        usable = {server for server, state in listed.items() if state is ServerState.READY} - out
        assert set(router.caches.nodes) == usable


def test_nothing_is_sent_after_an_exclusion_over_many_runs() -> None:
    """Attempts are in any state at the exclusion; no later attempt may go to an excluded server."""
    for seed in range(20):
        rng = random.Random(seed)
        servers = fleet(5)
        router = started(settings(), servers, seed=seed)
        open_sends: list[Send] = []
        banned: set[str] = set()
        for step in range(400):
            now = S + step * 5 * MS
            if step == 200:
                banned = {servers[0].id, servers[3].id}
                for server in banned:
                    router.handle(ServerExcluded(server), now)
            if open_sends and rng.random() < 0.6:
                send = open_sends.pop(rng.randrange(len(open_sends)))
                outcome = rng.choice((Outcome.OK, Outcome.MISS, Outcome.TIMEOUT, Outcome.RESET, Outcome.FULL))
                event = AttemptEnded(send.request, 0, send.server, outcome, outcome is Outcome.OK, 20 * MS)
                new = sends(router.handle(event, now))
            else:
                new = sends(router.handle(request(f"q{step}", now, key=f"k{rng.randrange(50)}"), now))
            assert not banned & {send.server for send in new}
            open_sends += new
