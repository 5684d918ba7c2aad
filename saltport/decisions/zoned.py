"""Replication across zones: sends a slot's reads to zones by a plan or by distance, and counts the results.

This implements replication.py where a topology is configured. Within a zone, a slot's servers are ranked by
the usual rendezvous hash. The zone is chosen by a hash of the slot alone, so that all routers of a zone send
a slot to the same zone, and a growing share keeps the slots it has.
"""

from __future__ import annotations

import math
import random

from saltport.decisions import interface as api
from saltport.decisions.health import ANSWERED, NO_EVIDENCE, Node
from saltport.decisions.interface import Outcome
from saltport.decisions.outliers import NO_ANSWER, OutlierDetector
from saltport.decisions.request import Request
from saltport.decisions.slot_replication import LOAD_SHARE, SlotReplication
from saltport.decisions.table import RANKING_DEPTH, SlotTable
from saltport.decisions.topology import Evidence, Topology, ZoneCount
from saltport.structures.rendezvous import RendezvousHash, rendezvous_score, slot_hash
from saltport.structures.slot_rankings import MAX_ROWS

ZONE_HASH_SEED = 0x5A17  # of the hash that assigns slots to zones
ORIGIN_TRIAL_SHARE = 0.1  # of the fetches for reads test an origin that is considered unresponsive
MAX_COUNTED_REQUESTS = 512  # after which the counts by rank and tenant are halved, to weigh old reads less
# Ranks of reads, the first to be refused first: retries, reads of tenants above their portion, and others.
RETRY, OVER_PORTION, FIRST = 0, 1, 2


def slot_position(slot: int) -> float:
    """Return a slot's position from 0 to 1, which is compared with the cumulated shares of the zones."""
    return slot_hash(slot, ZONE_HASH_SEED) / 2**64


def _usual_maximum_time(node: Node) -> float:
    """Return the time in nanoseconds within which a server almost always answers."""
    return node.response_time.mean + 4 * node.response_time.deviation


class _ZoneServers:
    """The servers of one zone, ranked slot by slot."""

    def __init__(self) -> None:
        self.hash = RendezvousHash[Node]()
        self._rows: dict[tuple[int, int], list[Node]] = {}

    def update(self, nodes: set[Node]) -> None:
        """Replace the set of servers."""
        present = set(self.hash.nodes)
        for node in present - nodes:
            self.hash.remove(node)
        for node in sorted(nodes - present, key=lambda node: node.entry.id):
            self.hash.add(node)
        if present != nodes:
            self._rows.clear()

    def rank(self, slot: int, depth: int, table: SlotTable, now: int) -> list[Node]:
        """Return a slot's best servers in this zone, best first, with reduced weights in slow start."""
        row = self._rows.get((slot, depth))
        if row is None:
            if len(self._rows) >= MAX_ROWS:
                self._rows.clear()
            best = self.hash.best(slot, depth, None)
            row = self._rows[slot, depth] = sorted(best, key=lambda node: -rendezvous_score(slot, node))[
                :depth
            ]
        if any(now < node.slow_start_ends_at for node in row):
            return sorted(
                row, key=lambda node: -rendezvous_score(slot, node) * table.slow_start_factor(node, now)
            )
        return row


class ZonedReplication(SlotReplication):
    """Sends reads to zones by a plan, and to other zones after failures or where no plan is binding."""

    def __init__(
        self,
        settings: api.Settings,
        topology: Topology,
        caches: SlotTable,
        outliers: OutlierDetector,
        rng: random.Random,
    ) -> None:
        super().__init__(caches, rng, settings.origin_kind is None)
        self.topology, self._outliers = topology, outliers
        self.apply_settings(settings)
        self._zones = [_ZoneServers() for _ in topology.zones]
        self._unknown_zone = _ZoneServers()
        """Servers whose zone is not in the topology, which are used last."""
        self._version = -1
        near = tuple(float(index == topology.own_zone) for index in range(len(topology.zones)))
        self._plan = api.ZonePlan(near, binding=False)
        self._evidence = self._new_evidence()
        self._reads_by_rank = [0.0, 0.0, 0.0]
        self._tenant_reads: dict[str, float] = {}
        self._total_reads = 0.0

    # The plan

    def on_event(self, event: api.CopyEnded | api.InvalidationEnded | api.ZonePlan, now: int) -> None:
        """Adopt a new zone plan; other events are ignored."""
        if isinstance(event, api.ZonePlan):
            self._plan = event

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply the tenants' portions of new settings."""
        self._portions = {tenant.name: tenant.portion for tenant in settings.tenants}

    def _target_zone(self, request: Request) -> int:
        """Return the zone whose servers a request tries first."""
        plan = self._plan
        first = not request.write and not request.retry and not request.sends
        if plan.trials and first and self._rng.random() < plan.trial:
            return self._rng.choice(plan.trials)
        total, at = sum(plan.shares), slot_position(request.slot)
        for zone in self.topology.zones_by_distance(self.topology.own_zone):
            at -= plan.shares[zone] / total if total else 0.0
            if at < 0:
                return zone
        return self.topology.own_zone

    # Arriving requests

    def arrived(self, request: Request, tenant: str, now: int) -> None:
        """Count a read, and mark it for refusal if the plan has no capacity for it."""
        super().arrived(request, tenant, now)
        if request.write:
            return
        self._evidence.demand += not request.retry
        rank = RETRY if request.retry else OVER_PORTION if self._exceeds_portion(tenant) else FIRST
        self._reads_by_rank[rank] += 1
        if sum(self._reads_by_rank) > MAX_COUNTED_REQUESTS:
            self._reads_by_rank = [count / 2 for count in self._reads_by_rank]
            self._tenant_reads = {name: count / 2 for name, count in self._tenant_reads.items() if count > 1}
            self._total_reads = sum(self._tenant_reads.values())
        if self._plan.refused and self._rng.random() < self._refusal_probability(rank):
            self._evidence.refused += 1
            request.replication_state = self

    def _exceeds_portion(self, tenant: str) -> bool:
        """Count a tenant's read; return whether its share of the reads exceeds its portion."""
        reads = self._tenant_reads[tenant] = self._tenant_reads.get(tenant, 0.0) + 1
        self._total_reads += 1
        portion = self._portions.get(tenant)
        return portion is not None and reads > 1.1 * portion * self._total_reads

    def _refusal_probability(self, rank: int) -> float:
        """Return the probability that a read of this rank is refused; lower ranks are refused first."""
        total = sum(self._reads_by_rank)
        before = sum(self._reads_by_rank[:rank]) / total
        return min(max(self._plan.refused - before, 0.0) / (self._reads_by_rank[rank] / total), 1.0)

    def refusal_reason(self, request: Request, now: int) -> api.Reason | None:
        """Return OUTSIDE_PLAN for a read that the plan refuses, which gets no fetch either."""
        return api.Reason.OUTSIDE_PLAN if request.replication_state is self else None

    def candidates(self, request: Request, now: int) -> list[Node]:
        """Return the servers of the slot's zone; after a failure, or if all are ejected, also other zones'.

        Danger: under a binding plan, routers must not overflow a full zone's reads to other zones on their
        own, as only the plan accounts for the capacity there.
        """
        if request.replication_state is self:
            return []
        self._update_zones()
        plan, target = self._plan, self._target_zone(request)
        found = self._rank_zone(self._zones[target], request, now)
        ejected = self._outliers.ejected
        if plan.binding and not request.sends and any(node.entry.id not in ejected for node in found):
            return found
        near = self.topology.zones_by_distance(self.topology.own_zone)
        others = [zone for zone in near if zone != target and zone not in plan.closed]
        for zone in sorted(others, key=lambda zone: plan.shares[zone] == 0):
            found = found + self._rank_zone(self._zones[zone], request, now)
        return found + self._rank_zone(self._unknown_zone, request, now)

    def _rank_zone(self, zone: _ZoneServers, request: Request, now: int) -> list[Node]:
        """Return a zone's servers for a request; reads of a slot with much load are spread over several."""
        owners = math.ceil(request.slot_share * len(zone.hash.nodes) / LOAD_SHARE)
        ranking = zone.rank(request.slot, max(owners, RANKING_DEPTH), self._caches, now)
        self._now = now
        return sorted(ranking[:owners], key=self._draw) + ranking[owners:] if owners > 1 else ranking

    def _update_zones(self) -> None:
        """Update the zones' servers if the server list has changed."""
        if self._version == self._caches.version:
            return
        self._version = self._caches.version
        zones: dict[int | None, set[Node]] = {}
        for node in self._caches.nodes.values():
            zones.setdefault(self.topology.zone_index.get(node.entry.zone), set()).add(node)
        for index, zone in enumerate(self._zones):
            zone.update(zones.get(index, set()))
        self._unknown_zone.update(zones.get(None, set()))

    def origins(self, ranked: list[Node], request: Request) -> list[Node]:
        """Return the origins in the plan's order; some reads test an origin considered unresponsive."""
        plan, topology = self._plan, self.topology
        if not topology.origins or len(ranked) < 2:
            return ranked
        own_region = topology.region_index(topology.own_zone)
        ids = [
            topology.region_origin(region)
            for region in plan.origins or topology.regions_by_distance(own_region)
        ]
        may_test = not request.write and not request.retry
        if plan.lost and may_test and self._rng.random() < ORIGIN_TRIAL_SHARE:
            ids.insert(0, topology.region_origin(own_region))
        known = {node.entry.id: node for node in ranked}
        first = [known[server] for server in dict.fromkeys(ids) if server in known]
        return first + [node for node in ranked if node not in first]

    # Evidence

    def _new_evidence(self) -> Evidence:
        """Return empty counts for all zones and regions."""
        topology = self.topology
        return Evidence([ZoneCount() for _ in topology.zones], [[0, 0] for _ in topology.distinct_regions])

    def ended(self, request: Request, node: Node, event: api.AttemptEnded, fetched: bool, now: int) -> None:
        """Count an attempt's outcome for its server's zone, or for the origin."""
        outcome = event.outcome
        if outcome in NO_EVIDENCE:
            return
        silent = outcome in NO_ANSWER and not (event.connection_reused and outcome is Outcome.RESET)
        if outcome is Outcome.TIMEOUT and event.latency < _usual_maximum_time(node):
            return  # the client had less time left than answers take
        if fetched:
            for region in range(len(self.topology.distinct_regions)):
                if self.topology.region_origin(region) == node.entry.id:
                    self._evidence.origins[region][silent] += 1
            return
        zone = self.topology.zone_index.get(node.entry.zone)
        if zone is None:
            return
        count = self._evidence.zones[zone]
        if silent:
            count.silent += 1
        elif outcome is Outcome.FULL:
            count.full += 1
        elif outcome in ANSWERED:
            count.answered += 1
            count.missed += outcome is Outcome.MISS
            count.late += event.latency - event.lag > request.cls.aim

    def take_evidence(self) -> Evidence:
        """Return the counts since the last call, and start new ones."""
        self._update_zones()
        found, self._evidence = self._evidence, self._new_evidence()
        ejected = self._outliers.ejected
        for count, zone in zip(found.zones, self._zones, strict=True):
            count.listed = len(zone.hash.nodes)
            count.usable = sum(node.entry.id not in ejected for node in zone.hash.nodes)
        return found
