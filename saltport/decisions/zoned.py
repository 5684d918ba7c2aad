"""Reads by zones: which zone a slot's reads go to, by a plan or near first, and what was found there.

It implements replication.py where a topology is configured. Within a zone a slot's servers are ranked by the
same rendezvous hash as everywhere; between zones a hash of the slot alone decides, so that all routers of a
zone send a slot to the same place, and a share that grows keeps the slots that it had.
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
from saltport.decisions.table import DEPTH, SlotTable
from saltport.decisions.topology import Evidence, Topology, ZoneCount
from saltport.structures.rendezvous import RendezvousHash, mixed, score_of
from saltport.structures.slot_rankings import MAX_ROWS

SEED = 0x5A17  # of the hash that places slots among zones
FETCH_TRIALS = 0.1  # of the reads' fetches go to an origin that is held silent, to find out
COUNTED = 512  # requests after which what ranks they had is halved
RETRY, OVER, FIRST = 0, 1, 2


def point(slot: int) -> float:
    """Where a slot stands in every vector, from 0 to 1."""
    return mixed(slot, SEED) / 2**64


def _usual_most(node: Node) -> float:
    """The time within which a server usually answers, nanoseconds."""
    return node.response_time.mean + 4 * node.response_time.deviation


class _Zone:
    """The servers of one zone, ranked slot by slot."""

    def __init__(self) -> None:
        self.hash = RendezvousHash[Node]()
        self._rows: dict[tuple[int, int], list[Node]] = {}

    def follow(self, nodes: set[Node]) -> None:
        """Hold just these servers."""
        held = set(self.hash.nodes)
        for node in held - nodes:
            self.hash.remove(node)
        for node in sorted(nodes - held, key=lambda node: node.entry.id):
            self.hash.add(node)
        if held != nodes:
            self._rows.clear()

    def rank(self, slot: int, depth: int, table: SlotTable, now: int) -> list[Node]:
        """A slot's best servers here, best first, cold ones at their ramped weight."""
        row = self._rows.get((slot, depth))
        if row is None:
            if len(self._rows) >= MAX_ROWS:
                self._rows.clear()
            best = self.hash.best(slot, depth, None)
            row = self._rows[slot, depth] = sorted(best, key=lambda node: -score_of(slot, node))[:depth]
        if any(now < node.warm_at for node in row):
            return sorted(row, key=lambda node: -score_of(slot, node) * table.warmth(node, now))
        return row


class Zoned(SlotReplication):
    """See the module."""

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
        self._zones = [_Zone() for _ in topology.zones]
        self._strangers = _Zone()
        """Servers of no zone that the topology knows: the last resort."""
        self._version = -1
        near = tuple(float(place == topology.mine) for place in range(len(topology.zones)))
        self._plan = api.ZonePlan(near, binding=False)
        self._found = self._empty()
        self._ranks = [0.0, 0.0, 0.0]
        self._asked: dict[str, float] = {}
        self._asked_in_all = 0.0

    # The plan

    def on_event(self, event: api.CopyEnded | api.InvalidationEnded | api.ZonePlan, now: int) -> None:
        """Follow a plan."""
        if isinstance(event, api.ZonePlan):
            self._plan = event

    def apply_settings(self, settings: api.Settings) -> None:
        """Take new portions."""
        self._portions = {tenant.name: tenant.portion for tenant in settings.tenants}

    def _lead(self, request: Request) -> int:
        """The zone that a read goes to first."""
        plan = self._plan
        first = not request.write and not request.retry and not request.sends
        if plan.trials and first and self._rng.random() < plan.trial:
            return self._rng.choice(plan.trials)
        total, at = sum(plan.shares), point(request.slot)
        for zone in self.topology.near(self.topology.mine):
            at -= plan.shares[zone] / total if total else 0.0
            if at < 0:
                return zone
        return self.topology.mine

    # What is asked

    def arrived(self, request: Request, tenant: str, now: int) -> None:
        """Count a read, and turn it away if the plan has no place for it."""
        super().arrived(request, tenant, now)
        if request.write:
            return
        self._found.demand += not request.retry
        rank = RETRY if request.retry else OVER if self._over(tenant) else FIRST
        self._ranks[rank] += 1
        if sum(self._ranks) > COUNTED:
            self._ranks = [held / 2 for held in self._ranks]
            self._asked = {name: held / 2 for name, held in self._asked.items() if held > 1}
            self._asked_in_all = sum(self._asked.values())
        if self._plan.refused and self._rng.random() < self._chance(rank):
            self._found.refused += 1
            request.replication_state = self

    def _over(self, tenant: str) -> bool:
        """Whether a tenant asks for more than its portion of what comes."""
        asked = self._asked[tenant] = self._asked.get(tenant, 0.0) + 1
        self._asked_in_all += 1
        portion = self._portions.get(tenant)
        return portion is not None and asked > 1.1 * portion * self._asked_in_all

    def _chance(self, rank: int) -> float:
        """With which a read of this rank is refused: lower ranks bear all that they can first."""
        total = sum(self._ranks)
        before = sum(self._ranks[:rank]) / total
        return min(max(self._plan.refused - before, 0.0) / (self._ranks[rank] / total), 1.0)

    def refusal_reason(self, request: Request, now: int) -> api.Reason | None:
        """Why a read gets no fetch either."""
        return api.Reason.OUTSIDE_PLAN if request.replication_state is self else None

    def candidates(self, request: Request, now: int) -> list[Node]:
        """The servers of the slot's zone; those of others after a failure, or where none of them is in use.

        Danger: a full zone's reads must not spill into others by each router's own choice while a plan
        holds: it knows what room they have.
        """
        if request.replication_state is self:
            return []
        self._follow()
        plan, lead = self._plan, self._lead(request)
        found = self._ranked(self._zones[lead], request, now)
        ejected = self._outliers.ejected
        if plan.binding and not request.sends and any(node.entry.id not in ejected for node in found):
            return found
        near = self.topology.near(self.topology.mine)
        others = [zone for zone in near if zone != lead and zone not in plan.closed]
        for zone in sorted(others, key=lambda zone: plan.shares[zone] == 0):
            found = found + self._ranked(self._zones[zone], request, now)
        return found + self._ranked(self._strangers, request, now)

    def _ranked(self, zone: _Zone, request: Request, now: int) -> list[Node]:
        owners = math.ceil(request.slot_share * len(zone.hash.nodes) / LOAD_SHARE)
        ranking = zone.rank(request.slot, max(owners, DEPTH), self._caches, now)
        self._now = now
        return sorted(ranking[:owners], key=self._draw) + ranking[owners:] if owners > 1 else ranking

    def _follow(self) -> None:
        """Take the list's changes."""
        if self._version == self._caches.version:
            return
        self._version = self._caches.version
        zones: dict[int | None, set[Node]] = {}
        for node in self._caches.nodes.values():
            zones.setdefault(self.topology.places.get(node.entry.zone), set()).add(node)
        for place, zone in enumerate(self._zones):
            zone.follow(zones.get(place, set()))
        self._strangers.follow(zones.get(None, set()))

    def origins(self, ranked: list[Node], request: Request) -> list[Node]:
        """The origins in the plan's order; a read may try one that is held silent."""
        plan, topology = self._plan, self.topology
        if not topology.origins or len(ranked) < 2:
            return ranked
        mine = topology.area_of(topology.mine)
        ids = [topology.origin(area) for area in plan.origins or topology.near_areas(mine)]
        tries = not request.write and not request.retry
        if plan.lost and tries and self._rng.random() < FETCH_TRIALS:
            ids.insert(0, topology.origin(mine))
        known = {node.entry.id: node for node in ranked}
        first = [known[server] for server in dict.fromkeys(ids) if server in known]
        return first + [node for node in ranked if node not in first]

    # What was found

    def _empty(self) -> Evidence:
        topology = self.topology
        return Evidence([ZoneCount() for _ in topology.zones], [[0, 0] for _ in topology.areas])

    def ended(self, request: Request, node: Node, event: api.AttemptEnded, fetched: bool, now: int) -> None:
        """Count what an attempt tells of its zone, or of its origin."""
        outcome = event.outcome
        if outcome in NO_EVIDENCE:
            return
        silent = outcome in NO_ANSWER and not (event.connection_reused and outcome is Outcome.RESET)
        if outcome is Outcome.TIMEOUT and event.latency < _usual_most(node):
            return  # its client had less time than answers take
        if fetched:
            for area in range(len(self.topology.areas)):
                if self.topology.origin(area) == node.entry.id:
                    self._found.origins[area][silent] += 1
            return
        zone = self.topology.places.get(node.entry.zone)
        if zone is None:
            return
        count = self._found.zones[zone]
        if silent:
            count.silent += 1
        elif outcome is Outcome.FULL:
            count.full += 1
        elif outcome in ANSWERED:
            count.answered += 1
            count.missed += outcome is Outcome.MISS
            count.late += event.latency - event.lag > request.cls.aim

    def take_evidence(self) -> Evidence:
        """What was found since the last call."""
        self._follow()
        found, self._found = self._found, self._empty()
        ejected = self._outliers.ejected
        for count, zone in zip(found.zones, self._zones, strict=True):
            count.listed = len(zone.hash.nodes)
            count.usable = sum(node.entry.id not in ejected for node in zone.hash.nodes)
        return found
