"""Small runs of the other scale measurements: which counts grow with the fleet, and which do not."""

from __future__ import annotations

import math

import pytest

from benchmarks.scale import fit
from benchmarks.scale.__main__ import measurement_names
from benchmarks.scale.configuration import measure_reload
from benchmarks.scale.discovery import measure_lists, measure_watches
from benchmarks.scale.failover import measure_plans, message_sizes
from benchmarks.scale.operators import measure_peers_report
from benchmarks.scale.owners import measure_idle, measure_ownership_gap
from saltport.decisions.topology import MAX_ZONES
from saltport.peers.link import MAX_PAYLOAD_BYTES


def test_each_measurement_is_found_by_the_one_command() -> None:
    assert {"membership", "owners", "discovery", "failover", "configuration", "operators"} <= set(
        measurement_names()
    )
    assert not {"fit", "hollow"} & set(measurement_names())


def test_load_of_the_leading_voter_grows_with_the_fleet_and_that_of_an_owner_does_not() -> None:
    rows = [measure_idle(size) for size in (10, 20, 40)]
    leader = fit.fit_line([(row.routers, row.leader_datagrams_per_s) for row in rows])
    assert 3.9 < leader.slope < 4.2  # two renewals a second, and their replies
    owner = fit.fit_power([(row.routers, row.owner_bytes_per_s) for row in rows])
    assert -0.05 < owner.slope < 0.05


@pytest.mark.parametrize("what", ["an owner", "the leader"])
def test_a_death_leaves_no_piece_without_an_owner(what: str) -> None:
    """The simulated fleet itself raises an error when two routers might own one piece of work."""
    result = measure_ownership_gap(10, what, 0.05)
    assert 0 < result.seconds < 120


def test_each_watch_receives_each_change() -> None:
    result = measure_watches(5, idle_s=0.3, restarts=1)
    assert 0 < result.half <= result.most <= result.all < math.inf
    assert result.change_bytes > 0


def test_bytes_of_a_list_grow_with_its_servers() -> None:
    line = fit.fit_line([(size, measure_lists(size, 1).wire_bytes) for size in (85, 170, 340)])
    assert 150 < line.slope < 200
    assert line.residual < 50


def test_each_router_follows_a_plan_with_a_third_of_the_messages_lost() -> None:
    rows = [measure_plans(size, 0.3) for size in (12, 24)]
    assert all(0 < row.half <= row.most <= row.all < math.inf for row in rows)
    assert rows[1].owner_datagrams_per_s > 1.8 * rows[0].owner_datagrams_per_s


def test_plans_fit_a_datagram_for_as_many_zones_as_may_be_configured() -> None:
    assert message_sizes(MAX_ZONES).plan <= MAX_PAYLOAD_BYTES
    assert message_sizes(MAX_ZONES).report <= MAX_PAYLOAD_BYTES
    assert (
        message_sizes(36).plan > MAX_PAYLOAD_BYTES
    )  # documented as a limit: a change here must be documented as well


def test_valid_changes_are_applied_and_invalid_ones_refused() -> None:
    small, large = (
        measure_reload(5),
        measure_reload(50),
    )  # raises if a change is not noticed or an invalid file is accepted
    assert large.file_bytes > small.file_bytes


def test_a_report_grows_with_the_members() -> None:
    assert (
        fit.fit_power([(size, measure_peers_report(size).wire_bytes) for size in (25, 100, 400)]).slope < 1.1
    )
