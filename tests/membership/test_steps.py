"""Long lists in steps: bounded, all or nothing, leaving servers first, the same result as unsplit lists."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given, strategies
from hypothesis import settings as profile

from saltport.decisions import ListKind, ServerState
from saltport.membership.listing import Listing
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import MAX_UNSPLIT_ENTRIES, STEP_ENTRIES, ListSteps


def an_entry(number: int, lifecycle: str = "up", port: int = 1000, weight: float = 1.0) -> dict[str, Any]:
    return {
        "instanceId": f"n{number}", "hostPort": f"127.0.0.1:{port + number}", "zone": "a", "cell": 0,
        "machineType": "std", "lifecycle": lifecycle, "weight": weight, "startedAtMs": 5,
    }  # fmt: skip


def a_list(*entries: dict[str, Any], generation: int = 1, full: bool = True) -> dict[str, Any]:
    return {"generation": generation, "reset": full, "instances": list(entries)}


def listings(changes: Iterator[Listing | None]) -> list[Listing]:
    return [step for step in changes if step is not None]


def started(count: int = 1000) -> ListSteps:
    steps = ListSteps(StartTimes())
    listings(steps.changes(a_list(*map(an_entry, range(count)))))
    return steps


def test_short_list_is_not_split() -> None:
    (step,) = listings(ListSteps(StartTimes()).changes(a_list(*map(an_entry, range(MAX_UNSPLIT_ENTRIES)))))
    assert (step.change.kind, step.has_more, len(step.addresses)) == (
        ListKind.FULL,
        False,
        MAX_UNSPLIT_ENTRIES,
    )


def test_long_list_comes_in_bounded_steps_of_which_the_last_says_so() -> None:
    steps = listings(ListSteps(StartTimes()).changes(a_list(*map(an_entry, range(5000)), generation=7)))
    assert {step.change.kind for step in steps} == {ListKind.DELTA}
    assert max(len(step.change.servers) for step in steps) <= STEP_ENTRIES
    assert sum(len(step.change.servers) for step in steps) == 5000
    assert [step.has_more for step in steps] == [True] * (len(steps) - 1) + [False]
    assert {step.generation for step in steps} == {7}


def test_reading_pauses_too() -> None:
    pauses = [
        step for step in ListSteps(StartTimes()).changes(a_list(*map(an_entry, range(5000)))) if step is None
    ]
    assert len(pauses) >= 5000 // STEP_ENTRIES


def test_the_same_servers_in_another_order_tell_nothing() -> None:
    (step,) = listings(started().changes(a_list(*map(an_entry, reversed(range(1000))), generation=2)))
    assert (step.change.servers, step.has_more, step.generation) == ((), False, 2)


def test_leaving_and_draining_servers_come_first() -> None:
    stay = [an_entry(number) for number in range(600)]
    drain = [an_entry(number, "draining") for number in range(600, 700)]
    new = [an_entry(number) for number in range(2000, 2300)]
    steps = listings(started().changes(a_list(*new, *stay, *drain)))
    states = [server.state for step in steps for server in step.change.servers]
    assert states.count(ServerState.GONE) == 300
    assert states.count(ServerState.DRAINING) == 100
    assert states.index(ServerState.READY) == 400


@pytest.mark.parametrize(
    "junk",
    [
        {"instanceId": 3},
        {"instanceId": "x"},
        None,
        {**an_entry(1), "hostPort": "?"},
        {**an_entry(2), "lifecycle": 1},
    ],
    ids=["id", "short", "none", "address", "lifecycle"],
)
def test_one_bad_entry_spoils_the_whole_list_and_nothing_of_it_counts(junk: Any) -> None:
    steps = started()
    taken: list[Listing | None] = []
    with pytest.raises(ValueError, match=r"list of servers|hostPort"):
        taken.extend(steps.changes(a_list(*map(an_entry, range(2000, 3000)), junk)))
    assert set(taken) <= {None}
    (step,) = listings(steps.changes(a_list(*map(an_entry, range(1000)))))
    assert step.change.servers == ()


@pytest.mark.parametrize("body", [None, 3, {}, {"instances": 3, "generation": 1, "reset": True}, []])
def test_body_that_is_no_list_is_an_error(body: Any) -> None:
    with pytest.raises(ValueError, match="not a list of servers"):
        listings(ListSteps(StartTimes()).changes(body))


def test_steps_that_were_not_applied_are_yielded_again() -> None:
    steps = started()
    changes = steps.changes(a_list(*map(an_entry, range(2000, 3000))))
    first = next(step for step in changes if step is not None)
    del changes
    again = listings(steps.changes(a_list(*map(an_entry, range(2000, 3000)))))
    names = {server.id for step in again for server in step.change.servers}
    assert {server.id for server in first.change.servers} <= names
    assert len(names) == 2000


LIFECYCLES = ["up", "draining", "removed"]
SERVERS = strategies.dictionaries(
    strategies.integers(0, 400),
    strategies.tuples(
        strategies.sampled_from(["up", "draining", "removed"]), strategies.sampled_from([1.0, 2.0])
    ),
    max_size=40,
)


@given(lists=strategies.lists(strategies.tuples(SERVERS, strategies.booleans()), min_size=1, max_size=4))
@profile(derandomize=True, max_examples=60, deadline=None)
def test_result_is_that_of_unsplit_lists(
    lists: list[tuple[dict[int, tuple[str, float]], bool]],
) -> None:
    steps = ListSteps(StartTimes())
    expected: dict[str, tuple[str, float]] = {}
    actual: dict[str, tuple[str, float]] = {}
    lists = [(dict.fromkeys(range(400), ("up", 1.0)), True), *lists]
    for entries_now, full in lists:
        if full:
            expected = {}
            entries_now = {**dict.fromkeys(range(100, 400), ("up", 1.0)), **entries_now}
        for number, (lifecycle, weight) in entries_now.items():
            expected[f"n{number}"] = (lifecycle, weight)
            if lifecycle == "removed":
                del expected[f"n{number}"]
        entries = [an_entry(number, life, weight=weight) for number, (life, weight) in entries_now.items()]
        for step in listings(steps.changes(a_list(*entries, full=full))):
            if step.change.kind is ListKind.FULL:
                actual = {}
            for server in step.change.servers:
                actual.pop(server.id, None)
                if server.state is not ServerState.GONE:
                    life = "up" if server.state is ServerState.READY else "draining"
                    actual[server.id] = (life, server.weight)
    assert actual == expected
