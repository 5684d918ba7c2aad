"""How many nodes a hot key needs, and in which order they are taken."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from saltport.decisions import Server
from saltport.decisions.health import Node
from saltport.decisions.hotkeys.need import (
    copies_needed,
    interleave_zones,
    replication_threshold,
    spare_share,
)


def min_nodes(share: float, count: int) -> int:
    """Return the least number of equal nodes of which none exceeds twice its fair share."""
    for copies in range(1, count + 1):
        if (1 - share) / count + share / copies <= 2 / count * (1 + 1e-9):
            return copies
    return count


def nodes_alone(share: float, weights: list[float]) -> int:
    """Return the number of nodes for the only hot key."""
    return copies_needed(share, [spare_share(weight / sum(weights), share, 0.0) for weight in weights])


@given(st.floats(0.01, 1.0), st.integers(10, 500))
def test_limit_holds_with_at_most_half_as_many_nodes_again(share: float, count: int) -> None:
    needed = nodes_alone(share, [1.0] * count)
    assert min_nodes(share, count) <= needed
    # Rounding up may add one node.
    assert needed <= 1.5 * min_nodes(share, count) + 1


def test_half_of_all_traffic() -> None:
    assert [nodes_alone(0.5, [1.0] * n) for n in (30, 130, 10_000)] == [14, 61, 4667]
    assert [min_nodes(0.5, n) for n in (30, 130, 10_000)] == [10, 44, 3334]


@given(st.floats(0.0001, 1.0), st.integers(2, 300))
def test_threshold_is_where_a_second_node_is_needed(share: float, count: int) -> None:
    limit = replication_threshold(1 / count)
    if abs(share - limit) > 1e-6:
        assert (nodes_alone(share, [1.0] * count) > 1) == (share > limit)


def test_cold_and_small_nodes_count_by_their_weight() -> None:
    assert nodes_alone(0.5, [0.25] * 4 + [1.0] * 30) == 18
    assert nodes_alone(0.5, [4.0] * 30) == 14
    assert nodes_alone(1.0, [1.0] * 3) == 3


def test_other_hot_keys_reduce_the_spare_share() -> None:
    fair, hot = 1 / 30, 0.8
    without = copies_needed(0.2, [spare_share(fair, hot, 0.0)] * 30)
    assert copies_needed(0.2, [spare_share(fair, hot, 0.6 * fair)] * 30) > without
    assert spare_share(fair, hot, 5 * fair) == 0.0
    assert copies_needed(0.2, [spare_share(fair, hot, 5 * fair)] * 10) == 10, (
        "no spare share at any node: all nodes are needed"
    )


def test_key_without_reads_needs_only_its_own_node() -> None:
    assert nodes_alone(0.0, [1.0] * 5) == 1


def test_single_node() -> None:
    assert replication_threshold(1.0) == 1.0
    assert nodes_alone(0.9, [1.0]) == 1


def nodes(zones: str) -> list[Node]:
    return [Node(Server(f"s{place}", zone=zone), False) for place, zone in enumerate(zones)]


def test_zones_are_taken_in_turn_after_the_slots_own_node() -> None:
    assert "".join(node.entry.zone for node in interleave_zones(nodes("aaabacb"))) == "abcabaa"
    assert [node.entry.id for node in interleave_zones(nodes("aaabacb"))][:2] == ["s0", "s3"]


def test_one_zone_leaves_the_ranking_as_it_is() -> None:
    ranking = nodes("aaaa")
    assert interleave_zones(ranking) == ranking


@given(st.text("abc", min_size=1, max_size=40))
def test_order_keeps_all_nodes_and_no_zone_runs_ahead(zones: str) -> None:
    order = interleave_zones(nodes(zones))
    assert sorted(node.entry.id for node in order) == sorted(f"s{i}" for i in range(len(zones)))
    assert order[0].entry.id == "s0"
    zone_sizes = Counter(zones)
    for length in range(1, len(order) + 1):
        taken = Counter(node.entry.zone for node in order[:length])
        unfinished = [taken[zone] for zone in zone_sizes if taken[zone] < zone_sizes[zone]]
        if len(unfinished) > 1:
            assert max(unfinished) - min(unfinished) <= 1
