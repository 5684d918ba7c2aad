"""Tests that an evacuation ordered by an operator takes effect whatever the evidence says.

The evidence may say that all zones are bad or that others lack capacity, or the plan may be inherited.
"""

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
from tests.failover.test_world import ZonesScenario

SETTINGS = FailoverSettings()
READS_PER_WINDOW = 20  # at each of the three routers of each zone
EVACUATE_A = Order(1, "evacuate", 0, 1_000, False)
Answers = Callable[[int, int], bool]
"""Whether the routers of the source zone get answers from the target zone."""


class OwnerScenario:
    """One Decider that gets simulated reports of nine routers in three zones."""

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
            rows = tuple(self._row(round(READS_PER_WINDOW * row[to]), answers(zone, to)) for to in range(3))
            span_ms = SETTINGS.report_interval_ns // 1_000_000
            report = Report(
                self.topology.digest,
                zone,
                2,
                1,
                span_ms,
                READS_PER_WINDOW,
                0,
                rows,
                ((READS_PER_WINDOW, 0), (READS_PER_WINDOW, 0)),
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


def test_an_evacuation_ordered_while_all_zones_look_bad_takes_effect() -> None:
    scenario = OwnerScenario()
    scenario.windows(10, all_answer)
    scenario.windows(SETTINGS.bad_windows, none_answers)
    assert scenario.decider.doubted == (0, 1, 2)
    assert scenario.order(EVACUATE_A) == ""
    # Reads of zone a go to the nearest available zone; the other zones keep theirs.
    assert scenario.final_matrix() == ((0, 1, 0), (0, 1, 0), (0, 0, 1))
    for _ in range(120):
        scenario.windows(1, all_answer)
        assert scenario.final_matrix()[0][0] == 0
    assert not scenario.decider.doubted
    assert scenario.final_matrix() == ((0, 1, 0), (0, 1, 0), (0, 0, 1))


def test_only_the_evacuated_share_of_an_otherwise_unchanged_row_moves() -> None:
    split = encode_shares([(0.6, 0.1, 0.3), (0, 1, 0), (0, 0, 1)])
    scenario = OwnerScenario(plan(1, 5, begin=split, end=split))
    scenario.windows(1, all_answer)
    scenario.windows(SETTINGS.bad_windows, none_answers)
    assert 0 in scenario.decider.doubted
    assert scenario.order(EVACUATE_A) == ""
    assert scenario.final_matrix()[0] == pytest.approx((0, 0.25, 0.75), abs=0.01)


def test_a_forced_evacuation_takes_effect_without_capacity_elsewhere() -> None:
    scenario = OwnerScenario(capacity=(1_000.0, 0.001, 0.001))
    scenario.windows(10, all_answer)
    assert "no room" in scenario.order(EVACUATE_A)
    assert scenario.order(Order(2, "evacuate", 0, 1_000, True)) == ""
    assert scenario.final_matrix()[0] == (0, 1, 0)  # the reads that are not refused
    current = scenario.follower.plan
    assert current is not None
    assert current.refused[0] > 0.9 * 250


def test_a_plan_of_an_earlier_release_that_routes_to_an_evacuated_zone_is_replaced() -> None:
    nearest_shares = encode_shares([(1, 0, 0), (0, 1, 0), (0, 0, 1)])
    scenario = OwnerScenario(plan(1, 5, begin=nearest_shares, end=nearest_shares, evacuated=0b001))
    scenario.windows(1, all_answer)
    assert (
        decode_shares(nearest_shares, 3) == scenario.final_matrix()
    )  # the new owner first adopts the plan unchanged
    scenario.windows(8, all_answer)
    assert scenario.final_matrix()[0][0] == 0
    plan_count = scenario.decider.plan_count
    scenario.windows(40, all_answer)
    assert scenario.decider.plan_count == plan_count  # no further plans follow


@pytest.mark.parametrize("after_s", [0.13, 0.39])
def test_in_a_fleet_an_evacuation_ordered_while_nobody_answers_takes_effect(after_s: float) -> None:
    scenario = ZonesScenario()
    world = scenario.world
    scenario.run(after_s)
    world.cut_paths |= {(source, target) for source in range(3) for target in range(3)}
    decider = world.agents[0].decider
    assert decider is not None
    scenario.until(lambda: 0 in decider.doubted, 10)
    number = world.agents[0].order("evacuate", 0, 1_000, False, world.now)
    world._send_messages(0)
    assert world.agents[0].order_results[number].text == ""
    world.cut_paths.clear()
    scenario.run(1)
    for _ in range(8):
        scenario.run(1)
        assert [scenario.rows(place)[0][0] for place in range(9)] == [0] * 9
