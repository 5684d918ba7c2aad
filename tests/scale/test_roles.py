"""Small forms of the other scale measurements: what grows with the fleet and what doesn't, by counts."""

from __future__ import annotations

import math

import pytest

from benchmarks.scale import fit
from benchmarks.scale.__main__ import names
from benchmarks.scale.configuration import reload
from benchmarks.scale.discovery import lists, watches
from benchmarks.scale.failover import plans, sizes
from benchmarks.scale.operators import peers
from benchmarks.scale.owners import calm, ownerless
from saltport.decisions.topology import MAX_ZONES
from saltport.peers.link import MAX_PAYLOAD_BYTES


def test_each_measurement_is_found_by_the_one_command() -> None:
    assert {"membership", "owners", "discovery", "failover", "configuration", "operators"} <= set(names())
    assert not {"fit", "hollow"} & set(names())


def test_the_leading_voter_is_asked_by_each_owner_and_an_owner_by_nobody_more() -> None:
    rows = [calm(size) for size in (10, 20, 40)]
    leader = fit.fit([(row.routers, row.leader_datagrams_per_s) for row in rows])
    assert 3.9 < leader.slope < 4.2  # two renewals a second, and their answers
    owner = fit.fit_power([(row.routers, row.owner_bytes_per_s) for row in rows])
    assert -0.05 < owner.slope < 0.05


@pytest.mark.parametrize("what", ["an owner", "the leader"])
def test_a_death_leaves_no_piece_without_an_owner(what: str) -> None:
    """The world itself raises where two might own one piece."""
    found = ownerless(10, what, 0.05)
    assert 0 < found.seconds < 120


def test_each_watch_hears_of_each_change() -> None:
    found = watches(5, rest_s=0.3, restarts=1)
    assert 0 < found.half <= found.most <= found.all < math.inf
    assert found.change_bytes > 0


def test_a_list_costs_by_its_servers() -> None:
    line = fit.fit([(size, lists(size, 1).wire_bytes) for size in (85, 170, 340)])
    assert 150 < line.slope < 200
    assert line.residual < 50


def test_each_router_follows_a_plan_though_a_third_is_lost() -> None:
    rows = [plans(size, 0.3) for size in (12, 24)]
    assert all(0 < row.half <= row.most <= row.all < math.inf for row in rows)
    assert rows[1].owner_datagrams_per_s > 1.8 * rows[0].owner_datagrams_per_s


def test_plans_fit_a_datagram_for_as_many_zones_as_may_be_configured() -> None:
    assert sizes(MAX_ZONES).plan <= MAX_PAYLOAD_BYTES
    assert sizes(MAX_ZONES).report <= MAX_PAYLOAD_BYTES
    assert sizes(36).plan > MAX_PAYLOAD_BYTES  # the page says so: mend it there as well


def test_changes_are_taken_and_bad_ones_are_not() -> None:
    small, large = reload(5), reload(50)  # raises where a change is not seen, or a bad one is taken
    assert large.file_bytes > small.file_bytes


def test_a_report_grows_with_the_members() -> None:
    assert fit.fit_power([(size, peers(size).wire_bytes) for size in (25, 100, 400)]).slope < 1.1
