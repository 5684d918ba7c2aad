"""Computes failover plans from the routers' reports and carries out operators' orders. No I/O.

Only the owner of the failover task runs a Decider.
Danger: the caller must check before each call that this router still owns the task under the epoch of this
Decider. A process that was stopped for a while could otherwise issue plans after it lost the task.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.decisions.topology import Topology
from saltport.failover.change import Allocation, is_worth_changing
from saltport.failover.follower import Follower
from saltport.failover.health import PathHealth, PathSample
from saltport.failover.messages import SHARE_SCALE, Order, OrderResult, Plan
from saltport.failover.plans import (
    NS_PER_MS,
    Matrix,
    bit_positions,
    bitmask,
    encode_shares,
    nearest_available,
)
from saltport.failover.report_aggregator import ReportAggregator, Window
from saltport.failover.settings import FailoverSettings
from saltport.failover.waterfall import UNLIMITED, Distribution, distribute
from saltport.failover.zone_capacity import ZoneCapacity

REASONS_WITHOUT_MOVES = ("new owner", "trials end")  # reasons of plans that change no share
MAX_REFUSED_SHARE = 0.95  # some reads are always sent, to find out when a zone has recovered
DEMAND_TRANSITION_MS = 1_000  # duration of the transition to a plan that only follows a change of demand
ORDER_TRANSITION_MS = 10_000  # default duration of the transition after an operator's order
# A zone whose routers have been silent for longer is taken as a zone that has no routers of its own.
ROUTERLESS_ZONE_EXPIRY_NS = 600_000 * NS_PER_MS
# Reads that try zones marked bad: wanted per second, and the bounds as a share of a source zone's reads.
TRIALS_PER_S, MIN_TRIAL_SHARE, MAX_TRIAL_SHARE = 5.0, 0.01, 0.1
SETTLE_NS = 2_000 * NS_PER_MS  # late answers within this time after reads moved do not reduce a capacity
NEGLIGIBLE_SHARE = 0.005  # shares of reads up to this value are no reason for a new plan
# For this long after a recovery, all listed servers of the zone count as in use.
RECENT_RECOVERY_NS = 20_000 * NS_PER_MS
MAX_TRANSITION_MS = 3_600_000  # limit of the duration of a transition
MAX_REASON_CHARS = 16  # limit of a plan's reason, so that the plan fits one datagram
MAX_STORED_RESULTS = 64  # order results that are remembered to answer repeated orders


@dataclass(frozen=True, slots=True)
class _DesiredPlan:
    """The state that the next plan should reach, computed from the evidence so far."""

    distribution: Distribution
    refused: tuple[float, ...]
    bad: tuple[int, ...]
    """For each source zone, a bit mask of the zones whose path is bad, by evidence or for lack of servers."""
    doubted: tuple[int, ...]
    """Source zones that see every zone as bad: their evidence is not believed."""
    evacuated: int
    demand: tuple[float, ...]
    capacity: tuple[float, ...]

    def closed_mask(self, source: int) -> int:
        """Return a bit mask of the zones that get no reads from the source zone."""
        return self.bad[source] | self.evacuated


class Decider:
    """Computes failover plans for the fleet while this router owns the failover task under one epoch."""

    def __init__(
        self, name: str, topology: Topology, settings: FailoverSettings, follower: Follower, epoch: int,
        now: int, warm_up_ns: int,
    ) -> None:  # fmt: skip
        """Start from the plan of `follower`, if any; a cold server warms up within `warm_up_ns`."""
        self.name, self.topology, self._settings, self.epoch = name, topology, settings, epoch
        self._follower, self._now = follower, now
        self.reports = ReportAggregator(topology, settings, now)
        self._recovery_ms = (
            max(settings.min_recovery_ns, int(settings.warm_up_factor * warm_up_ns)) // NS_PER_MS
        )
        zones, regions = range(len(topology.zones)), range(len(topology.distinct_regions))
        plan = follower.plan
        bad = plan.bad if plan else bytes(len(zones))
        self.paths = {
            (a, b): PathHealth(settings, bool(bad[a] >> b & 1)) for a in zones for b in zones
        }  # fmt: skip
        lost_origins = plan.lost_origins if plan else 0
        self.origin_paths = {
            (a, b): PathHealth(settings, a == b and bool(lost_origins >> a & 1))
            for a in regions for b in regions
        }  # fmt: skip
        self.capacities = [ZoneCapacity(settings, topology.server_capacity(zone)) for zone in zones]
        self.evacuated = plan.evacuated if plan else 0
        self.frozen = plan.frozen if plan else False
        self.doubted: tuple[int, ...] = ()
        self.plan_count = 0
        self._plan_number = 0
        self._started_at = self._window_closed_at = self._plan_created_at = now
        self._reads_moved_at = now - SETTLE_NS
        self._recovered_at: dict[int, int] = {}
        """For each recovered zone, when it was last found reachable again."""
        self._routers_seen_at = dict.fromkeys(
            bit_positions(plan.router_zones, len(zones)) if plan else (), now
        )
        """For each zone with routers of its own, when one of them last reported."""
        self._routerless: set[int] = set()
        """Zones that had routers of their own, all of which have stopped reporting."""
        self._order_results: dict[tuple[str, int], OrderResult] = {}

    # Evidence

    def tick(self, now: int) -> Plan | None:
        """Close and evaluate a window of reports once per report interval.

        Return a new plan if the evidence calls for one, else None.
        """
        self._now = now
        if now - self._window_closed_at < self._settings.report_interval_ns:
            return None
        self._window_closed_at = now
        self._process_window(self.reports.close_window(now), now)
        return self._decide(now)

    def _process_window(self, window: Window, now: int) -> None:
        """Update the health of all paths and the capacity of all zones from one window of reports."""
        self._update_routerless(now)
        for zone in range(len(self.topology.zones)):
            if self.reports.has_live_routers(zone, now) and not self.reports.servers(zone, now):
                # The zone has no server in use, so its routers send no attempts that could show the failure:
                # record failed attempts in their place.
                min_attempts = self._settings.min_attempts
                window.samples.setdefault((zone, zone), []).append(PathSample(min_attempts, min_attempts))
        for path, samples in window.samples.items():
            if self.paths[path].add_window(samples, now) and not self.paths[path].bad:
                self._on_path_recovered(path[1], now)
        for path, samples in window.origins.items():
            self.origin_paths[path].add_window(samples, now)
        for zone, capacity in enumerate(self.capacities):
            capacity.add_window(
                window.in_time_rates[zone],
                window.strained_shares[zone],
                now,
                now - self._reads_moved_at > SETTLE_NS,
            )

    def _update_routerless(self, now: int) -> None:
        """Update the set of zones whose routers have all stopped reporting."""
        for zone in range(len(self.topology.zones)):
            if self.reports.has_live_routers(zone, now):
                self._routers_seen_at[zone] = now
                if zone in self._routerless:
                    self._routerless.discard(zone)
                    self._recovered_at[zone] = now
            elif (
                zone in self._routers_seen_at
                and now - self._started_at > self._settings.report_max_age_ns * 2
            ):
                if now - self._routers_seen_at[zone] <= ROUTERLESS_ZONE_EXPIRY_NS:
                    self._routerless.add(zone)
                else:
                    self._routerless.discard(zone)
                    del self._routers_seen_at[zone]

    def _on_path_recovered(self, zone: int, now: int) -> None:
        """Mark a recovered zone as good also for other zones whose last window on their path was good."""
        self._recovered_at[zone] = now
        for (_, target), path in self.paths.items():
            if target == zone and path.bad and path.last_window_good:
                path.mark_good(now)

    def _is_bad(self, source: int, target: int) -> bool:
        """Whether the path is bad by the source's own evidence, or else by that of the target's routers."""
        path, now = self.paths[source, target], self._now
        if path.bad or (source != target and path.has_recent_good_evidence(now)):
            return path.bad
        # After a zone recovers, its caches are cold: its own routers raise their share step by step as well.
        return target in self._routerless or self.paths[target, target].bad

    def _server_count(self, zone: int) -> float:
        """Return the number of servers in use in a zone.

        For a zone that has recently recovered, return the number of listed servers, as routers take the
        servers back into use one after another.
        """
        if zone in self._recently_recovered():
            return self.reports.listed(zone, self._now)
        return self.reports.servers(zone, self._now)

    # Plans

    def _desired_plan(self, evacuated: int) -> _DesiredPlan:
        """Compute where reads should go if the zones in the bit mask `evacuated` get none."""
        topology, reports = self.topology, self.reports
        zones = range(len(topology.zones))
        servers = [self._server_count(zone) for zone in zones]
        bad = [bitmask([t for t in zones if self._is_bad(s, t)]) for s in zones]
        doubted = tuple(s for s in zones if all((bad[s] | evacuated) >> t & 1 for t in zones))

        def usable(source: int, target: int) -> bool:
            """Whether reads may go from the source zone to the target zone."""
            return source not in doubted and not (bad[source] | evacuated) >> target & 1

        demand = [max(pair) for pair in zip(reports.fast_demand, reports.slow_demand, strict=True)]
        placed = [0.0 if zone in doubted else value for zone, value in enumerate(demand)]
        capacity = [value.limit(servers[zone]) for zone, value in enumerate(self.capacities)]
        proven = [value.proven(servers[zone]) for zone, value in enumerate(self.capacities)]
        distribution = distribute(
            placed,
            capacity,
            proven,
            usable,
            topology.zones_by_distance,
            (self._settings.own_demand_limit, self._settings.spillover_limit),
        )
        # Danger: if all reads were refused, no attempt would ever show that a zone has recovered.
        refused = tuple(
            0.0 if s in doubted else min(distribution.refused[s], MAX_REFUSED_SHARE) for s in zones
        )
        return _DesiredPlan(
            distribution, refused, tuple(bad), doubted, evacuated, tuple(demand), tuple(capacity)
        )

    def _decide(self, now: int) -> Plan | None:
        """Return a new plan if the evidence calls for one now, else None."""
        plan = self._follower.plan
        if plan is None or plan.epoch != self.epoch:
            return self._continue_plan(plan, now)
        if self.frozen or now - self._started_at < self._settings.report_max_age_ns:
            return None  # routers report to this owner only after they have received its first plan
        desired = self._desired_plan(self.evacuated)
        self.doubted = desired.doubted
        end = self._target_rows(desired)
        old_bad = plan.bad
        matrix = self._follower.matrix(now)
        has_new_bad = any(
            max(matrix[s][t], self._follower.final_matrix()[s][t]) > NEGLIGIBLE_SHARE
            for s in range(len(old_bad))
            if s not in desired.doubted
            for t in bit_positions(desired.bad[s] & ~old_bad[s], len(old_bad))
        )
        has_recovered = any(
            old_bad[s] & ~desired.bad[s] for s in range(len(old_bad)) if s not in desired.doubted
        )
        if self._serving_regions() != plan.origins or self._lost_origins() != plan.lost_origins:
            return self._create_plan(desired, end, self._remaining_transition_ms(plan, now), "origin")
        current = Allocation(
            self._follower.final_matrix(), tuple(share / SHARE_SCALE for share in plan.refused)
        )
        changes_shares = is_worth_changing(
            current, Allocation(end, desired.refused), desired.demand, desired.capacity, self._settings
        )
        recovering = any(
            end[s][t] - matrix[s][t] > NEGLIGIBLE_SHARE
            for t in self._recently_recovered()
            for s in range(len(old_bad))
        )
        if self._routes_to_evacuated(desired.evacuated):
            return self._create_plan(desired, end, ORDER_TRANSITION_MS, "evacuate")
        if has_new_bad or (recovering and changes_shares):
            return self._create_plan(
                desired, end, self._recovery_ms if recovering else 0, "better" if recovering else "worse"
            )
        capacity_was_cut = any(capacity.cut_at >= self._plan_created_at for capacity in self.capacities)
        min_interval_ns = (
            self._settings.min_plan_interval_after_cut_ns
            if capacity_was_cut
            else max(plan.transition_ms * NS_PER_MS, self._settings.min_plan_interval_ns)
        )
        if now - self._plan_created_at < min_interval_ns or not (changes_shares or has_recovered):
            return None
        transition_ms = (
            self._recovery_ms
            if any(capacity.probing for capacity in self.capacities)
            else DEMAND_TRANSITION_MS
        )
        return self._create_plan(
            desired, end, transition_ms if changes_shares else 0, "demand" if changes_shares else "trials end"
        )

    def _routes_to_evacuated(self, evacuated: int) -> bool:
        """Whether the current plan sends reads to an evacuated zone; one of an earlier release may do so."""
        zones = bit_positions(evacuated, len(self.topology.zones))
        return any(row[zone] > NEGLIGIBLE_SHARE for row in self._follower.final_matrix() for zone in zones)

    def _recently_recovered(self) -> list[int]:
        """Return the zones that recovered within RECENT_RECOVERY_NS."""
        return [zone for zone, at in self._recovered_at.items() if self._now - at < RECENT_RECOVERY_NS]

    def _continue_plan(self, plan: Plan | None, now: int) -> Plan:
        """Return a plan of this epoch that continues the previous owner's plan.

        Without a previous plan, each zone's reads go to the nearest zone.
        """
        no_zones = bytes(len(self.topology.zones))
        refused, bad, transition_ms = (
            (plan.refused, plan.bad, self._remaining_transition_ms(plan, now))
            if plan
            else (no_zones, no_zones, 0)
        )
        begin, end = self._follower.matrix(now), self._follower.final_matrix()
        return self._new_plan(begin, end, refused, bad, transition_ms, "new owner")

    def _remaining_transition_ms(self, plan: Plan, now: int) -> int:
        """Return the milliseconds until the transition of the plan is complete."""
        return max(plan.transition_ms - (now - self._follower.created_at) // NS_PER_MS, 0)

    def _target_rows(self, desired: _DesiredPlan) -> Matrix:
        """Return the wanted shares by source zone; each row adds up to 1.

        A source zone whose evidence is not believed, or that has next to no demand, keeps its current row.
        """
        current = self._follower.final_matrix()
        rows = []
        for source, shares in enumerate(desired.distribution.shares):
            total = sum(shares)
            closed = any(
                share and desired.closed_mask(source) >> target & 1
                for target, share in enumerate(current[source])
            )
            is_idle = self.reports.fast_demand[source] < self._settings.idle_demand_share * sum(
                self.reports.fast_demand
            )
            keeps_row = source in desired.doubted or not total or (is_idle and not closed)
            fallback = self._without_evacuated(source, current[source], desired)
            rows.append(fallback if keeps_row else tuple(share / total for share in shares))
        return tuple(rows)

    def _without_evacuated(
        self, source: int, row: tuple[float, ...], desired: _DesiredPlan
    ) -> tuple[float, ...]:
        """Return a source zone's current shares by target zone, without those of evacuated zones.

        This is for a source zone that keeps its current row, because its evidence is not believed or it has
        next to no demand. The shares of the other zones are scaled up to a sum of 1. If none remain, all
        reads go to the nearest zone that `desired` marks neither as evacuated nor, if the evidence is
        believed, as bad.
        Danger: an evacuation must not depend on evidence. If the row were returned unchanged, a zone that is
        evacuated while all zones look bad would keep its reads for good: once all zones have recovered,
        nothing triggers another plan.
        """
        remaining = [0.0 if desired.evacuated >> target & 1 else share for target, share in enumerate(row)]
        total = sum(remaining)
        if total > NEGLIGIBLE_SHARE:
            return tuple(share / total for share in remaining)
        near = self.topology.zones_by_distance(source)
        closed = desired.evacuated if source in desired.doubted else desired.closed_mask(source)
        target = next((zone for zone in near if not closed >> zone & 1), None)
        if target is None:
            return nearest_available(self.topology, desired.evacuated)[source]
        return tuple(float(zone == target) for zone in range(len(row)))

    def _create_plan(self, desired: _DesiredPlan, end: Matrix, transition_ms: int, reason: str) -> Plan:
        """Return a plan that leads from the current shares to `end` within `transition_ms`."""
        now, zones = self._now, range(len(self.topology.zones))
        begin = [list(row) for row in self._follower.matrix(now)]
        for source in zones:
            # Danger: reads must leave a zone that is bad at once, also when the same plan gives a recovered
            # zone its share back slowly. So the shares of bad zones move at the start of the transition.
            closed = [t for t in zones if desired.bad[source] >> t & 1 and source not in desired.doubted]
            freed = sum(begin[source][target] for target in closed)
            for target in zones:
                begin[source][target] = 0.0 if target in closed else begin[source][target]
                begin[source][target] += freed * end[source][target]
        refused = bytes(round(share * SHARE_SCALE) for share in desired.refused)
        return self._new_plan(begin, end, refused, self._bad_masks(desired), transition_ms, reason)

    def _new_plan(
        self,
        begin: Sequence[Sequence[float]],
        end: Matrix,
        refused: bytes,
        bad: bytes,
        transition_ms: int,
        reason: str,
    ) -> Plan:
        """Return the plan as a message with the next number, and record when it was created."""
        if reason not in REASONS_WITHOUT_MOVES:
            self._reads_moved_at = self._now
        self._plan_number += 1
        self.plan_count += 1
        self._plan_created_at = self._now
        return Plan(
            self.topology.digest, self.epoch, self._plan_number, self.name, 0, 0,
            min(transition_ms, MAX_TRANSITION_MS), encode_shares(begin), encode_shares(end), refused, bad,
            self._trial_shares(), self.evacuated, self.frozen, self._serving_regions(), self._lost_origins(),
            bitmask(list(self._routers_seen_at)), reason[:MAX_REASON_CHARS],
        )  # fmt: skip

    def _trial_shares(self) -> bytes:
        """Return, by source zone, how many of 1,000 reads first try a zone marked bad, to detect recovery."""
        shares = (TRIALS_PER_S / max(demand, 1.0) for demand in self.reports.slow_demand)
        return bytes(round(1_000 * min(max(share, MIN_TRIAL_SHARE), MAX_TRIAL_SHARE)) for share in shares)

    def _bad_masks(self, desired: _DesiredPlan) -> bytes:
        """Return the masks of bad zones by source; those of doubted sources stay as in the current plan."""
        plan = self._follower.plan
        return bytes(
            (plan.bad[s] if plan and s in desired.doubted else mask) for s, mask in enumerate(desired.bad)
        )

    def _serving_regions(self) -> bytes:
        """Return for each region the index of the nearest region whose origin answers it, as one byte.

        If no origin answers a region, this is its own index.
        """
        regions = range(len(self.topology.distinct_regions))
        return bytes(
            next(
                (
                    o
                    for o in self.topology.regions_by_distance(region)
                    if not self.origin_paths[region, o].bad
                ),
                region,
            )
            for region in regions
        )

    def _lost_origins(self) -> int:
        """Return a bit mask of the regions that get no answers from the origin in the same region.

        Bit `i` stands for the region with index `i` in `topology.distinct_regions`.
        """
        return bitmask(
            [
                region
                for region in range(len(self.topology.distinct_regions))
                if self.origin_paths[region, region].bad
            ]
        )

    # Orders

    def forecast(self, evacuated: int) -> tuple[float, Distribution]:
        """Return the share of all reads that would be refused, and the distribution of the demand.

        Both are as they would be if exactly the zones in the bit mask `evacuated` were evacuated.
        """
        desired = self._desired_plan(evacuated)
        demand = self.reports.slow_demand
        total = sum(demand) or 1.0
        return sum(r * d for r, d in zip(desired.refused, demand, strict=True)) / total, desired.distribution

    def order(self, sender: str, order: Order, now: int) -> tuple[OrderResult, Plan | None]:
        """Execute an operator's order; return its result and the new plan, if any.

        A repeated order is not executed again: it gets the stored result.
        """
        self._now = now
        stored = self._order_results.get((sender, order.id))
        if stored is not None:
            return stored, None
        text, plan = self._execute(order)
        answer = self._order_results[sender, order.id] = OrderResult(order.id, text)
        if len(self._order_results) > MAX_STORED_RESULTS:
            del self._order_results[next(iter(self._order_results))]
        return answer, plan

    def _execute(self, order: Order) -> tuple[str, Plan | None]:
        """Execute an order; return an empty text and the new plan, or the reason for a rejection and None."""
        zones, evacuated = range(len(self.topology.zones)), self.evacuated
        if order.action in ("evacuate", "return") and order.zone not in zones:
            return "no such zone", None
        transition_ms = order.transition_ms or ORDER_TRANSITION_MS
        if order.action == "evacuate":
            if evacuated >> order.zone & 1:
                return "it is evacuated already", None
            evacuated_after = evacuated | 1 << order.zone
            if evacuated_after == bitmask(zones):
                return "no zone would be left", None
            refused, _ = self.forecast(evacuated_after)
            if refused > self._settings.max_refused_share and not order.force:
                return (
                    f"no room: {refused:.0%} of all reads would be refused; --force does it all the same",
                    None,
                )
            self.evacuated = evacuated_after
        elif order.action == "return":
            if not evacuated >> order.zone & 1:
                return "it is not evacuated", None
            self.evacuated, transition_ms = (
                evacuated & ~(1 << order.zone),
                max(transition_ms, self._recovery_ms),
            )
        elif order.action in ("freeze", "thaw"):
            self.frozen, transition_ms = order.action == "freeze", 0
        else:
            return "no such order", None
        desired = self._desired_plan(self.evacuated)
        plan = self._follower.plan
        if order.action in ("freeze", "thaw") and plan is not None:
            return "", self._create_plan(
                desired,
                self._follower.final_matrix(),
                self._remaining_transition_ms(plan, self._now),
                order.action,
            )
        return "", self._create_plan(desired, self._target_rows(desired), transition_ms, order.action)

    def view(self, now: int) -> dict[str, object]:
        """Return the state of this owner as a JSON object for operators."""
        zones = self.topology.zones
        forecasts = {}
        for index, zone in enumerate(zones):
            refused, distribution = self.forecast(self.evacuated | 1 << index)
            forecasts[zone] = {
                "refused": round(refused, 3),
                "load": {name: round(load, 1) for name, load in zip(zones, distribution.load, strict=True)},
            }
        return {
            "epoch": self.epoch,
            "plans": self.plan_count,
            "reporting": len(self.reports.recent_reports(now)),
            "following": self.reports.follower_count(self.epoch, self._plan_number, now),
            "doubted": [zones[index] for index in self.doubted],
            "zones": {
                zone: {
                    "demand": round(self.reports.slow_demand[index], 1),
                    "in_time": round(self.capacities[index].rate, 1),
                    "room": _finite_rate(self.capacities[index].limit(self.reports.servers(index, now))),
                    "proven": _finite_rate(self.capacities[index].proven(self.reports.servers(index, now))),
                    "servers": self.reports.servers(index, now),
                    "missed": round(self.reports.miss_share(index, now), 3),
                }
                for index, zone in enumerate(zones)
            },
            "without": forecasts,
        }


def _finite_rate(rate: float) -> float | None:
    """Return the rate rounded for display, or None if it is unlimited."""
    return None if rate == UNLIMITED else round(rate, 1)


def bad_paths(plan: Plan, topology: Topology) -> list[tuple[str, str]]:
    """Return the (source, target) zone names of all paths that a plan marks as bad."""
    zones = topology.zones
    return [(zones[s], zones[t]) for s in range(len(zones)) for t in bit_positions(plan.bad[s], len(zones))]
