"""The latest failover plan at one router, and the fallback when its owner falls silent. No I/O."""

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

MAX_DURATION_MS = 86_400_000  # plans with a longer age or transition are rejected as invalid


class Follower:
    """Stores the latest plan that this router has received.

    `admit` returns whether plans of an epoch may be applied, as the fence of this process decides.
    """

    def __init__(
        self,
        topology: Topology,
        settings: FailoverSettings,
        admit: Callable[[int], bool] = lambda epoch: True,
    ) -> None:
        self.topology, self._settings, self._admit = topology, settings, admit
        self.plan: Plan | None = None
        self.created_at = 0
        """When the plan was created, on the clock of this router."""
        self._confirmed_after_ns = 0
        """Time from the creation of the plan to the owner's last known confirmation."""
        self.rejected_plans = 0
        """Number of plans rejected: from a previous owner, for another topology, or invalid."""

    def receive(self, plan: Plan, now: int) -> bool:
        """Apply a plan, sent by its owner or forwarded; return whether it is a new one."""
        return self._apply(plan, now, fenced=True)

    def inherit(self, plan: Plan, now: int) -> bool:
        """As a new owner, apply a plan of an earlier owner; return whether it is newer than the current one.

        Danger: this must not ask the fence. At a voter, the fence has already seen the epoch of the new owner
        and would reject all earlier plans; operators' orders that were already answered would be lost.
        Applying the plan is safe, as only this router makes plans of the new epoch and it has made none.
        """
        return self._apply(plan, now, fenced=False)

    def _apply(self, plan: Plan, now: int, fenced: bool) -> bool:
        """Apply a valid, newer plan; for the current plan, update its age and last confirmation."""
        current = self.plan
        if not self._is_valid(plan):
            self.rejected_plans += 1
            return False
        if current is not None and plan.version < current.version:
            self.rejected_plans += plan.epoch < current.epoch
            return False
        if current is not None and plan.version == current.version:
            # Danger: a delayed message of a dead owner must not make its plan look more recently confirmed.
            # So the earliest creation time counts, and confirmations are measured from there.
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
        """Whether the plan is for this topology and all its values are in range."""
        zones = len(self.topology.zones)
        lengths = {len(plan.refused), len(plan.bad), len(plan.trial_permille)}
        same_topology = plan.topology == self.topology.digest and lengths == {zones}
        valid_times = (
            0 <= plan.confirmed_after_ms <= plan.age_ms <= MAX_DURATION_MS
            and 0 <= plan.transition_ms <= MAX_DURATION_MS
        )
        valid_shares = len(plan.begin) == len(plan.end) == zones * zones
        regions = len(self.topology.distinct_regions)
        valid_origins = len(plan.origins) == regions and all(region < regions for region in plan.origins)
        return same_topology and valid_shares and valid_origins and valid_times

    def owner_silence_ns(self, now: int) -> int:
        """Return the nanoseconds since the owner's last confirmation known here."""
        return max(now - self.created_at - self._confirmed_after_ns, 0)

    def is_binding(self, now: int) -> bool:
        """Whether there is a plan, and its owner confirmed it within the validity time of plans."""
        return self.plan is not None and self.owner_silence_ns(now) <= self._settings.plan_validity_ns

    def matrix(self, now: int) -> Matrix:
        """Return the shares by source and target zone that apply now.

        Once the plan is no longer valid, they move gradually to the nearest zones.
        """
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
        """Return what the plan means for this router's zone; None if no plan was ever received."""
        if self.plan is None:
            return None
        return zone_plan_of(
            self.plan, self.matrix(now), self.topology.own_zone, self.topology, self.is_binding(now)
        )

    def plan_to_forward(self, now: int) -> Plan | None:
        """Return the latest received plan with its current age, to send to other routers.

        Return None if no plan was ever received; an expired plan is returned too. Forwarding does not count
        as a confirmation by the owner, so it does not extend the validity of the plan.
        """
        if self.plan is None:
            return None
        age_ms = max(now - self.created_at, 0) // NS_PER_MS
        return structs.replace(
            self.plan, age_ms=age_ms, confirmed_after_ms=self._confirmed_after_ns // NS_PER_MS
        )

    def confirm(self, now: int) -> None:
        """Record that this router, as the owner, confirms the plan now."""
        self._confirmed_after_ns = max(now - self.created_at, 0)

    def final_matrix(self) -> Matrix:
        """Return the shares at the end of the plan's transition."""
        if self.plan is None:
            return nearest_available(self.topology, 0)
        return decode_shares(self.plan.end, len(self.topology.zones))
