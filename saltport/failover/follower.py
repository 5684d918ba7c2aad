"""Each router's side of a plan: which one holds, and what is done when the owner is silent. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import structs

from saltport.decisions.interface import ZonePlan
from saltport.decisions.topology import Topology
from saltport.failover.messages import Plan
from saltport.failover.plans import MS, Matrix, between, for_zone, nearest_open, shares_of, standing
from saltport.failover.settings import FailoverSettings

LONGEST_MS = 86_400_000


class Follower:
    """Holds the latest plan. `admit`: whether an epoch may be applied, by the fence of this process."""

    def __init__(
        self,
        topology: Topology,
        settings: FailoverSettings,
        admit: Callable[[int], bool] = lambda epoch: True,
    ) -> None:
        self.topology, self._settings, self._admit = topology, settings, admit
        self.plan: Plan | None = None
        self.made_at = 0
        self._word = 0
        self.refused = 0
        """Plans of older owners, or by another topology, or that could not be read."""

    def hear(self, plan: Plan, now: int) -> bool:
        """Take a plan, from its owner or passed on; whether it is a new one."""
        return self._take(plan, now, fenced=True)

    def inherit(self, plan: Plan, now: int) -> bool:
        """As the next owner, before its first plan, take the latest one of its predecessors.

        Danger: the fence isn't asked. At a voter it knows the new owner's own epoch from the record, and
        would refuse all plans before it: what operators ordered would be lost, though it was answered.
        Nothing later was applied here, as this router alone makes plans of the new epoch.
        """
        return self._take(plan, now, fenced=False)

    def _take(self, plan: Plan, now: int, fenced: bool) -> bool:
        held = self.plan
        if not self._readable(plan):
            self.refused += 1
            return False
        if held is not None and plan.age < held.age:
            self.refused += plan.epoch < held.epoch
            return False
        if held is not None and plan.age == held.age:
            # Danger: a word of a dead owner that was long under way must not make its plan young again.
            self.made_at = min(self.made_at, now - plan.ago_ms * MS)
            self._word = max(self._word, plan.word_ms * MS)
            return False
        if fenced and not self._admit(plan.epoch):
            self.refused += 1
            return False
        self.plan = plan
        self.made_at, self._word = now - plan.ago_ms * MS, plan.word_ms * MS
        return True

    def _readable(self, plan: Plan) -> bool:
        zones = len(self.topology.zones)
        rows = {len(plan.refused), len(plan.bad), len(plan.trial)}
        known = plan.topology == self.topology.digest and rows == {zones}
        timed = 0 <= plan.word_ms <= plan.ago_ms <= LONGEST_MS and 0 <= plan.way_ms <= LONGEST_MS
        sane = len(plan.begin) == len(plan.end) == zones * zones
        areas = len(self.topology.distinct_regions)
        served = len(plan.origins) == areas and all(area < areas for area in plan.origins)
        return known and sane and served and timed

    def silent_for(self, now: int) -> int:
        """Nanoseconds since the owner's last word, as far as it is known here."""
        return max(now - self.made_at - self._word, 0)

    def holds(self, now: int) -> bool:
        """Whether the plan binds this router."""
        return self.plan is not None and self.silent_for(now) <= self._settings.valid

    def matrix(self, now: int) -> Matrix:
        """Where reads go by all that is known here."""
        plan, topology = self.plan, self.topology
        if plan is None:
            return nearest_open(topology, 0)
        matrix = standing(plan, now - self.made_at, topology)
        over = self.silent_for(now) - self._settings.valid
        if over <= 0:
            return matrix
        return between(matrix, nearest_open(topology, plan.out), min(over / self._settings.settle, 1.0))

    def told(self, now: int) -> ZonePlan | None:
        """What holds for this router; None: nothing was ever decided."""
        if self.plan is None:
            return None
        return for_zone(self.plan, self.matrix(now), self.topology.own_zone, self.topology, self.holds(now))

    def aged(self, now: int) -> Plan | None:
        """The plan as it is to be passed on: its maker's word gets no younger by that."""
        if self.plan is None:
            return None
        ago = max(now - self.made_at, 0) // MS
        return structs.replace(self.plan, ago_ms=ago, word_ms=self._word // MS)

    def keep(self, now: int) -> None:
        """Its maker says that the plan still holds."""
        self._word = max(now - self.made_at, 0)

    def end(self) -> Matrix:
        """Where the plan leads."""
        if self.plan is None:
            return nearest_open(self.topology, 0)
        return shares_of(self.plan.end, len(self.topology.zones))
