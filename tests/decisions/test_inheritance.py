"""Transfer of the learned state to the next process, and rejection of invalid messages."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest

from saltport.decisions import Outcome, Router, Tenant, inheritance
from tests.decisions.helpers import MS, S, ended, fleet, only_send, request, settings, started


def experienced(now: int) -> Router:
    """Return a router with calls in its window, a reduced limit and an ejected server."""
    router = started(settings(), fleet(4), now=now - 5 * S)
    for i in range(30):
        at = now - S + i * 10 * MS
        send = only_send(router.handle(request(f"r{i}", at, key=f"k{i}"), at))
        router.handle(ended(send, Outcome.MISS, latency=40 * MS), at)
    limiter = router.fetches.rate_limiters["a"]
    limiter.limit = 12.5
    limiter.count(now - 200 * MS, declined=True)
    node = router.caches.nodes[fleet(4)[0].id]
    for i in range(3):
        router.outliers.record_outcome(
            node, f"x{i}", Outcome.CONNECT_FAILED, now - 50 * MS + i * MS, now - 49 * MS + i * MS
        )
    return router


def test_next_process_goes_on_where_the_old_one_stood() -> None:
    old, begun = experienced(100 * S), 7 * S  # the new process has its own clock
    message = json.loads(json.dumps(inheritance.export(old, 100 * S)))
    new = started(settings(), fleet(4), now=begun)
    inheritance.restore(new, message, begun)
    was, limiter = old.fetches.rate_limiters["a"], new.fetches.rate_limiters["a"]
    assert limiter.limit == 12.5
    assert limiter.accepted(begun) == was.accepted(100 * S) > 0
    assert limiter.calls.declined == was.calls.declined == 1
    later = 3 * S + 950 * MS + was.window_s * S - 4 * S
    assert limiter.accepted(int(begun + later)) == pytest.approx(was.accepted(int(100 * S + later)), abs=11)
    assert limiter.accepted(int(begun + was.window_s * S)) == 0
    bad = fleet(4)[0].id
    assert new.outliers.ejected == old.outliers.ejected == {bad}
    left = old.outliers.records[bad].ejected_until - 100 * S
    assert new.outliers.records[bad].ejected_until == begun + left
    for server in fleet(4):
        restored, exported = new.caches.nodes[server.id], old.caches.nodes[server.id]
        assert (restored.limit.limit, restored.limit.response_time) == (
            exported.limit.limit,
            exported.limit.response_time,
        )
        assert (restored.response_time.mean, restored.weight_factor) == (
            exported.response_time.mean,
            exported.weight_factor,
        )


def test_ejection_that_was_inherited_ends_with_a_trial() -> None:
    old, begun = experienced(100 * S), 7 * S
    new = started(settings(), fleet(4), now=begun)
    inheritance.restore(new, inheritance.export(old, 100 * S), begun)
    bad = fleet(4)[0].id
    now = begun + 2 * S
    for i in range(100):
        send = only_send(new.handle(request(f"t{i}", now, key=f"t{i}"), now))
        new.handle(ended(send, Outcome.OK), now)
        if send.server == bad:
            break
    assert bad not in new.outliers.ejected


def test_unknown_entries_are_ignored_and_local_bounds_apply() -> None:
    old, begun = experienced(100 * S), 7 * S
    message = inheritance.export(old, 100 * S)
    message["tenants"]["nobody"] = message["tenants"]["a"]
    message["tenants"]["a"]["limit"] = 10**9
    message["servers"]["gone"] = [-1.0, 1.0, 1.0, 1.0, 1.0, 1.0]
    message["ejected"] = {server.id: [10**14, 3, "x"] for server in fleet(4)}
    new = started(settings(tenants=(Tenant("a", 1.0, 20.0),)), fleet(4), now=begun)
    inheritance.restore(new, message, begun)
    assert new.fetches.rate_limiters["a"].limit == 20.0
    assert set(new.fetches.rate_limiters) == {"a", ""}
    assert len(new.outliers.ejected) == 2, "half of the servers at the most"
    assert all(record.ejected_until <= begun + 60 * S for record in new.outliers.records.values())


GOOD = inheritance.export(experienced(100 * S), 100 * S)


@pytest.mark.parametrize(
    "change",
    [
        {"form": 2},
        {"tenants": []},
        {"tenants": {"a": {"limit": "1", "calls": []}}},
        {"tenants": {"a": {"limit": -1, "calls": []}}},
        {"tenants": {"a": {"limit": 1, "calls": [[0, 10**9, 0]]}}},
        {"tenants": {"a": {"limit": 1, "calls": [[0, 1]]}}},
        {"servers": {"s": [1, 2, 3]}},
        {"servers": {"s": [1, 2, 3, 4, 5, 0]}},
        {"servers": {"s": [1, 2, 3, 4, 5, True]}},
        {"servers": {"s": [1, math.nan, 3, 4, 5, 1]}},
        {"ejected": {"s": [1, 0, "x"]}},
        {"ejected": {"s": [1, 1, 5]}},
        {"ejected": None},
    ],
)
def test_message_that_is_no_good_changes_nothing(change: dict[str, Any]) -> None:
    new = started(settings(), fleet(4), now=S)
    limit = new.fetches.rate_limiters["a"].limit
    with pytest.raises(ValueError):  # noqa: PT011
        inheritance.restore(new, {**GOOD, **change}, S)
    assert new.fetches.rate_limiters["a"].limit == limit
    assert new.fetches.rate_limiters["a"].accepted(S) == 0
    assert not new.outliers.ejected


@pytest.mark.parametrize("message", [None, 3, [], "x", {}])
def test_invalid_message_raises(message: Any) -> None:
    with pytest.raises(ValueError, match=r".+"):
        inheritance.restore(started(settings(), fleet(1)), message, S)
