"""ReplicatedKey gets more nodes at once; it releases them one at a time, within a minute after cooling.

Short lulls release none.
"""

from __future__ import annotations

from itertools import pairwise

import pytest

from saltport.decisions import Server
from saltport.decisions.health import Node
from saltport.decisions.hotkeys.replicated_key import (
    NO_EXPIRY_NS,
    RELEASE_DELAY_NS,
    RELEASE_DURATION_NS,
    ReplicatedKey,
)

S = 1_000_000_000
STEP = S // 4


def copies_after(needs: list[int], copies: int = 1) -> list[int]:
    """Return the number of copies after each quarter of a second with this need."""
    replicated, seen = ReplicatedKey("k", 1, "a", 0), []
    replicated.copies = copies
    for number, need in enumerate(needs):
        replicated.update_copies(need, (number + 1) * STEP)
        seen.append(replicated.copies)
    return seen


@pytest.mark.parametrize("copies", [2, 14, 61, 4667])
def test_cooled_key_goes_one_by_one_within_a_minute(copies: int) -> None:
    seen = copies_after([copies] * 4 + [1] * 4 * 60)
    assert seen[3] == copies
    assert seen[4 + RELEASE_DELAY_NS // STEP - 2] == copies
    assert seen[-1] == 1
    assert max(before - after for before, after in pairwise(seen)) <= max(
        1, -(-copies * STEP // RELEASE_DURATION_NS) + 1
    )


def test_flicker_of_two_seconds_changes_nothing() -> None:
    seen = copies_after(([14] * 8 + [1] * 8) * 30)
    assert set(seen) == {14}


def test_need_that_rises_during_the_release_is_met_at_once() -> None:
    seen = copies_after([14] * 4 + [1] * 4 * 30 + [20] + [1] * 4 * 11)
    assert 1 < min(seen[4:124]) < 14
    assert seen[124] == 20
    assert set(seen[125:]) == {20}


def test_release_stops_at_the_remaining_need() -> None:
    assert copies_after([14] * 4 + [6] * 4 * 120)[-1] == 6


def test_members_with_a_copy_are_distinguished_from_those_without() -> None:
    nodes = [Node(Server(f"s{i}"), False) for i in range(5)]
    replicated = ReplicatedKey("k", 1, "a", 0)
    replicated.copy_expiry["s2"] = 100
    replicated.assign(nodes[:4], 50)
    assert set(replicated.ready) == {nodes[0], nodes[2]}  # the slot's own node always counts as ready
    assert set(replicated.absent) == {nodes[1], nodes[3]}
    replicated.add_copy(nodes[1], NO_EXPIRY_NS)
    replicated.remove_copy(nodes[2])
    replicated.remove_copy(nodes[0])
    assert set(replicated.ready) == {nodes[0], nodes[1]}
    replicated.assign(nodes[:4], 200)
    assert set(replicated.ready) == {nodes[0], nodes[1]}
    replicated.add_copy(nodes[4], NO_EXPIRY_NS)  # not a member: recorded, but not ready
    assert nodes[4] not in replicated.ready
