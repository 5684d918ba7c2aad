"""Long lists in steps: bounded, all or nothing, leaving servers first, in the end the same as whole ones."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given, strategies
from hypothesis import settings as profile

from saltport.decisions import ListKind, ServerState
from saltport.membership.listing import Listing
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import LONG, STEP, ListSteps


def an_entry(number: int, lifecycle: str = "up", port: int = 1000, weight: float = 1.0) -> dict[str, Any]:
    return {
        "instanceId": f"n{number}", "hostPort": f"127.0.0.1:{port + number}", "zone": "a", "cell": 0,
        "machineType": "std", "lifecycle": lifecycle, "weight": weight, "startedAtMs": 5,
    }  # fmt: skip


def a_list(*entries: dict[str, Any], generation: int = 1, whole: bool = True) -> dict[str, Any]:
    return {"generation": generation, "reset": whole, "instances": list(entries)}


def told(changes: Iterator[Listing | None]) -> list[Listing]:
    return [step for step in changes if step is not None]


def started(count: int = 1000) -> ListSteps:
    steps = ListSteps(StartTimes())
    told(steps.changes(a_list(*map(an_entry, range(count)))))
    return steps


def test_short_list_is_taken_whole() -> None:
    (step,) = told(ListSteps(StartTimes()).changes(a_list(*map(an_entry, range(LONG)))))
    assert (step.change.kind, step.more, len(step.addresses)) == (ListKind.FULL, False, LONG)


def test_long_list_comes_in_bounded_steps_of_which_the_last_says_so() -> None:
    steps = told(ListSteps(StartTimes()).changes(a_list(*map(an_entry, range(5000)), generation=7)))
    assert {step.change.kind for step in steps} == {ListKind.DELTA}
    assert max(len(step.change.servers) for step in steps) <= STEP
    assert sum(len(step.change.servers) for step in steps) == 5000
    assert [step.more for step in steps] == [True] * (len(steps) - 1) + [False]
    assert {step.generation for step in steps} == {7}


def test_reading_pauses_too() -> None:
    pauses = [
        step for step in ListSteps(StartTimes()).changes(a_list(*map(an_entry, range(5000)))) if step is None
    ]
    assert len(pauses) >= 5000 // STEP


def test_the_same_servers_in_another_order_tell_nothing() -> None:
    (step,) = told(started().changes(a_list(*map(an_entry, reversed(range(1000))), generation=2)))
    assert (step.change.servers, step.more, step.generation) == ((), False, 2)


def test_what_leaves_or_drains_is_told_first() -> None:
    stay = [an_entry(number) for number in range(600)]
    drain = [an_entry(number, "draining") for number in range(600, 700)]
    new = [an_entry(number) for number in range(2000, 2300)]
    steps = told(started().changes(a_list(*new, *stay, *drain)))
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
    (step,) = told(steps.changes(a_list(*map(an_entry, range(1000)))))
    assert step.change.servers == ()


@pytest.mark.parametrize("body", [None, 3, {}, {"instances": 3, "generation": 1, "reset": True}, []])
def test_what_is_no_list_is_told(body: Any) -> None:
    with pytest.raises(ValueError, match="not a list of servers"):
        told(ListSteps(StartTimes()).changes(body))


def test_steps_that_were_never_taken_are_told_again() -> None:
    steps = started()
    changes = steps.changes(a_list(*map(an_entry, range(2000, 3000))))
    first = next(step for step in changes if step is not None)
    del changes
    again = told(steps.changes(a_list(*map(an_entry, range(2000, 3000)))))
    names = {server.id for step in again for server in step.change.servers}
    assert {server.id for server in first.change.servers} <= names
    assert len(names) == 2000


LIVES = ["up", "draining", "removed"]
SOME = strategies.dictionaries(
    strategies.integers(0, 400),
    strategies.tuples(
        strategies.sampled_from(["up", "draining", "removed"]), strategies.sampled_from([1.0, 2.0])
    ),
    max_size=40,
)


@given(lists=strategies.lists(strategies.tuples(SOME, strategies.booleans()), min_size=1, max_size=4))
@profile(derandomize=True, max_examples=60, deadline=None)
def test_the_end_is_that_of_the_lists_taken_whole(
    lists: list[tuple[dict[int, tuple[str, float]], bool]],
) -> None:
    steps = ListSteps(StartTimes())
    wanted: dict[str, tuple[str, float]] = {}
    held: dict[str, tuple[str, float]] = {}
    lists = [(dict.fromkeys(range(400), ("up", 1.0)), True), *lists]
    for told_now, whole in lists:
        if whole:
            wanted = {}
            told_now = {**dict.fromkeys(range(100, 400), ("up", 1.0)), **told_now}
        for number, (lifecycle, weight) in told_now.items():
            wanted[f"n{number}"] = (lifecycle, weight)
            if lifecycle == "removed":
                del wanted[f"n{number}"]
        entries = [an_entry(number, life, weight=weight) for number, (life, weight) in told_now.items()]
        for step in told(steps.changes(a_list(*entries, whole=whole))):
            if step.change.kind is ListKind.FULL:
                held = {}
            for server in step.change.servers:
                held.pop(server.id, None)
                if server.state is not ServerState.GONE:
                    life = "up" if server.state is ServerState.READY else "draining"
                    held[server.id] = (life, server.weight)
    assert held == wanted
