"""Each router's side of a plan: which one holds, and what is done when the owner is silent. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import structs

from saltport.decisions.interface import ZonePlan
from saltport.decisions.topology import Topology
from saltport.failover.messages import Plan
from saltport.failover.plans import (
    NS_PER_MS,
    Matrix,
    decode_shares,
    interpolate,
    matrix_at,
    nearest_available,
    zone_plan_of,
)
from saltport.failover.settings import FailoverSettings

MAX_DURATION_MS = 86_400_000


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
        self.created_at = 0
        self._confirmed_after_ns = 0
        self.rejected_plans = 0
        """Plans of older owners, or by another topology, or that could not be read."""

    def receive(self, plan: Plan, now: int) -> bool:
        """Take a plan, from its owner or passed on; whether it is a new one."""
        return self._apply(plan, now, fenced=True)

    def inherit(self, plan: Plan, now: int) -> bool:
        """As the next owner, before its first plan, take the latest one of its predecessors.

        Danger: the fence isn't asked. At a voter it knows the new owner's own epoch from the record, and
        would refuse all plans before it: what operators ordered would be lost, though it was answered.
        Nothing later was applied here, as this router alone makes plans of the new epoch.
        """
        return self._apply(plan, now, fenced=False)

    def _apply(self, plan: Plan, now: int, fenced: bool) -> bool:
        current = self.plan
        if not self._is_valid(plan):
            self.rejected_plans += 1
            return False
        if current is not None and plan.version < current.version:
            self.rejected_plans += plan.epoch < current.epoch
            return False
        if current is not None and plan.version == current.version:
            # Danger: a word of a dead owner that was long under way must not make its plan young again.
            self.created_at = min(self.created_at, now - plan.age_ms * NS_PER_MS)
            self._confirmed_after_ns = max(self._confirmed_after_ns, plan.confirmed_after_ms * NS_PER_MS)
            return False
        if fenced and not self._admit(plan.epoch):
            self.rejected_plans += 1
            return False
        self.plan = plan
        self.created_at, self._confirmed_after_ns = (
            now - plan.age_ms * NS_PER_MS,
            plan.confirmed_after_ms * NS_PER_MS,
        )
        return True

    def _is_valid(self, plan: Plan) -> bool:
        zones = len(self.topology.zones)
        lengths = {len(plan.refused), len(plan.bad), len(plan.trial_permille)}
        same_topology = plan.topology == self.topology.digest and lengths == {zones}
        valid_times = (
            0 <= plan.confirmed_after_ms <= plan.age_ms <= MAX_DURATION_MS
            and 0 <= plan.transition_ms <= MAX_DURATION_MS
        )
        valid_shares = len(plan.begin) == len(plan.end) == zones * zones
        areas = len(self.topology.areas)
        valid_origins = len(plan.origins) == areas and all(area < areas for area in plan.origins)
        return same_topology and valid_shares and valid_origins and valid_times

    def owner_silence_ns(self, now: int) -> int:
        """Nanoseconds since the owner's last word, as far as it is known here."""
        return max(now - self.created_at - self._confirmed_after_ns, 0)

    def is_binding(self, now: int) -> bool:
        """Whether the plan binds this router."""
        return self.plan is not None and self.owner_silence_ns(now) <= self._settings.plan_validity_ns

    def matrix(self, now: int) -> Matrix:
        """Where reads go by all that is known here."""
        plan, topology = self.plan, self.topology
        if plan is None:
            return nearest_available(topology, 0)
        matrix = matrix_at(plan, now - self.created_at, topology)
        overdue_ns = self.owner_silence_ns(now) - self._settings.plan_validity_ns
        if overdue_ns <= 0:
            return matrix
        return interpolate(
            matrix,
            nearest_available(topology, plan.evacuated),
            min(overdue_ns / self._settings.fallback_transition_ns, 1.0),
        )

    def zone_plan(self, now: int) -> ZonePlan | None:
        """What holds for this router; None: nothing was ever decided."""
        if self.plan is None:
            return None
        return zone_plan_of(
            self.plan, self.matrix(now), self.topology.mine, self.topology, self.is_binding(now)
        )

    def plan_to_forward(self, now: int) -> Plan | None:
        """The plan as it is to be passed on: its maker's word gets no younger by that."""
        if self.plan is None:
            return None
        age_ms = max(now - self.created_at, 0) // NS_PER_MS
        return structs.replace(
            self.plan, age_ms=age_ms, confirmed_after_ms=self._confirmed_after_ns // NS_PER_MS
        )

    def confirm(self, now: int) -> None:
        """Its maker says that the plan still holds."""
        self._confirmed_after_ns = max(now - self.created_at, 0)

    def final_matrix(self) -> Matrix:
        """Where the plan leads."""
        if self.plan is None:
            return nearest_available(self.topology, 0)
        return decode_shares(self.plan.end, len(self.topology.zones))
