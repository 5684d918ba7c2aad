"""An evacuation by hand holds whatever the evidence says: while all looks bad, without room, inherited."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from saltport.decisions.topology import Topology
from saltport.failover.decider import Decider
from saltport.failover.follower import Follower
from saltport.failover.messages import Order, Plan, Report, ZoneReport
from saltport.failover.plans import Matrix, decode_shares, encode_shares
from saltport.failover.settings import FailoverSettings
from tests.failover.test_rules import plan
from tests.failover.test_world import Play

SETTINGS = FailoverSettings()
READS = 20  # a window, of each of three routers in each zone
EVACUATE_A = Order(1, "evacuate", 0, 1_000, False)
Answers = Callable[[int, int], bool]
"""Whether a zone's routers get answers from a zone."""


class Reign:
    """One owner of the plans, fed with the reports of nine routers in three zones."""

    def __init__(self, inherited: Plan | None = None, capacity: tuple[float, ...] = ()) -> None:
        costs = {(0, 1): 1.0, (0, 2): 5.0, (1, 2): 4.0}
        self.topology = Topology(("a", "b", "c"), "a", ("w", "w", "e"), costs, capacity=capacity)
        self.follower = Follower(self.topology, SETTINGS)
        self.now = 0
        if inherited is not None:
            assert self.follower.receive(inherited, self.now)
        self.decider = Decider("r0", self.topology, SETTINGS, self.follower, 2, self.now, 0)

    def windows(self, count: int, answers: Answers) -> None:
        for _ in range(count):
            self.now += SETTINGS.report_interval_ns
            self._report(answers)
            new_plan = self.decider.tick(self.now)
            if new_plan is not None:
                self.follower.receive(new_plan, self.now)
            self.follower.confirm(self.now)

    def _report(self, answers: Answers) -> None:
        for zone in range(3):
            row = self.follower.matrix(self.now)[zone]
            rows = tuple(self._row(round(READS * row[to]), answers(zone, to)) for to in range(3))
            span_ms = SETTINGS.report_interval_ns // 1_000_000
            report = Report(
                self.topology.digest, zone, 2, 1, span_ms, READS, 0, rows, ((READS, 0), (READS, 0))
            )
            for number in range(3):
                self.decider.reports.receive(f"r{zone}{number}", report, self.now)

    @staticmethod
    def _row(asked: int, answered: bool) -> ZoneReport:
        return ZoneReport(10, 10, asked if answered else 0, 0 if answered else asked, 0, 0, 0)

    def order(self, order: Order) -> str:
        answer, new_plan = self.decider.order("r1", order, self.now)
        if new_plan is not None:
            self.follower.receive(new_plan, self.now)
        return answer.text

    def final_matrix(self) -> Matrix:
        return self.follower.final_matrix()


def all_answer(source: int, target: int) -> bool:
    return True


def none_answers(source: int, target: int) -> bool:
    return False


def test_a_zone_is_left_by_an_order_that_is_given_while_all_zones_look_bad() -> None:
    reign = Reign()
    reign.windows(10, all_answer)
    reign.windows(SETTINGS.bad_windows, none_answers)
    assert reign.decider.doubted == (0, 1, 2)
    assert reign.order(EVACUATE_A) == ""
    assert reign.final_matrix() == (
        (0, 1, 0),
        (0, 1, 0),
        (0, 0, 1),
    )  # the nearest zone that is open; others stay
    for _ in range(120):
        reign.windows(1, all_answer)
        assert reign.final_matrix()[0][0] == 0
    assert not reign.decider.doubted
    assert reign.final_matrix() == ((0, 1, 0), (0, 1, 0), (0, 0, 1))


def test_of_a_row_that_is_kept_only_the_evacuated_part_moves() -> None:
    split = encode_shares([(0.6, 0.1, 0.3), (0, 1, 0), (0, 0, 1)])
    reign = Reign(plan(1, 5, begin=split, end=split))
    reign.windows(1, all_answer)
    reign.windows(SETTINGS.bad_windows, none_answers)
    assert 0 in reign.decider.doubted
    assert reign.order(EVACUATE_A) == ""
    assert reign.final_matrix()[0] == pytest.approx((0, 0.25, 0.75), abs=0.01)


def test_a_forced_order_without_room_elsewhere_leaves_the_zone_all_the_same() -> None:
    reign = Reign(capacity=(1_000.0, 0.001, 0.001))
    reign.windows(10, all_answer)
    assert "no room" in reign.order(EVACUATE_A)
    assert reign.order(Order(2, "evacuate", 0, 1_000, True)) == ""
    assert reign.final_matrix()[0] == (0, 1, 0)  # what is not refused
    held = reign.follower.plan
    assert held is not None
    assert held.refused[0] > 0.9 * 250


def test_a_plan_of_an_earlier_release_that_still_leads_there_is_put_right() -> None:
    near = encode_shares([(1, 0, 0), (0, 1, 0), (0, 0, 1)])
    reign = Reign(plan(1, 5, begin=near, end=near, evacuated=0b001))
    reign.windows(1, all_answer)
    assert decode_shares(near, 3) == reign.final_matrix()  # adopted as it is
    reign.windows(8, all_answer)
    assert reign.final_matrix()[0][0] == 0
    new_plan = reign.decider.plan_count
    reign.windows(40, all_answer)
    assert reign.decider.plan_count == new_plan  # and nothing chases it


@pytest.mark.parametrize("after_s", [0.13, 0.39])
def test_in_a_fleet_a_zone_is_left_by_an_order_given_in_a_moment_when_nobody_answers(after_s: float) -> None:
    play = Play()
    world = play.world
    play.run(after_s)
    world.paths |= {(source, target) for source in range(3) for target in range(3)}
    decider = world.agents[0].decider
    assert decider is not None
    play.until(lambda: 0 in decider.doubted, 10)
    number = world.agents[0].order("evacuate", 0, 1_000, False, world.now)
    world._carry(0)
    assert world.agents[0].order_results[number].text == ""
    world.paths.clear()
    play.run(1)
    for _ in range(8):
        play.run(1)
        assert [play.rows(place)[0][0] for place in range(9)] == [0] * 9
