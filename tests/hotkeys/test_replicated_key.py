"""Growing at once, shrinking one at a time: flickers hold a key, and cooling lets it go in a minute."""

from __future__ import annotations

from itertools import pairwise

import pytest

from saltport.decisions import Server
from saltport.decisions.health import Node
from saltport.decisions.hotkeys.replicated_key import COOL, FOR_GOOD, RELEASE, ReplicatedKey

S = 1_000_000_000
STEP = S // 4


def played(needs: list[int], copies: int = 1) -> list[int]:
    """The copies after each quarter of a second with this need."""
    replicated, seen = ReplicatedKey("k", 1, "a", 0), []
    replicated.copies = copies
    for number, need in enumerate(needs):
        replicated.follow(need, (number + 1) * STEP)
        seen.append(replicated.copies)
    return seen


@pytest.mark.parametrize("copies", [2, 14, 61, 4667])
def test_cooled_key_goes_one_by_one_within_a_minute(copies: int) -> None:
    seen = played([copies] * 4 + [1] * 4 * 60)
    assert seen[3] == copies
    assert seen[4 + COOL // STEP - 2] == copies
    assert seen[-1] == 1
    assert max(before - after for before, after in pairwise(seen)) <= max(1, -(-copies * STEP // RELEASE) + 1)


def test_flicker_of_two_seconds_changes_nothing() -> None:
    seen = played(([14] * 8 + [1] * 8) * 30)
    assert set(seen) == {14}


def test_need_that_comes_back_in_the_middle_is_met_at_once() -> None:
    seen = played([14] * 4 + [1] * 4 * 30 + [20] + [1] * 4 * 11)
    assert 1 < min(seen[4:124]) < 14
    assert seen[124] == 20
    assert set(seen[125:]) == {20}


def test_smaller_need_lets_go_only_down_to_it() -> None:
    assert played([14] * 4 + [6] * 4 * 120)[-1] == 6


def test_members_that_hold_it_are_told_from_those_that_lack_it() -> None:
    nodes = [Node(Server(f"s{i}"), False) for i in range(5)]
    replicated = ReplicatedKey("k", 1, "a", 0)
    replicated.held["s2"] = 100
    replicated.place(nodes[:4], 50)
    assert set(replicated.ready) == {nodes[0], nodes[2]}  # the slot's own counts always
    assert set(replicated.absent) == {nodes[1], nodes[3]}
    replicated.holds(nodes[1], FOR_GOOD)
    replicated.lacks(nodes[2])
    replicated.lacks(nodes[0])
    assert set(replicated.ready) == {nodes[0], nodes[1]}
    replicated.place(nodes[:4], 200)
    assert set(replicated.ready) == {nodes[0], nodes[1]}
    replicated.holds(nodes[4], FOR_GOOD)  # no member: noted, and not asked
    assert nodes[4] not in replicated.ready
