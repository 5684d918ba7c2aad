"""Dissemination in virtual time: routers, voters and the links between them; runs are reproducible by seed.

Assumptions: one-way delays of 0.5 to 1.5 ms within a site, 12 to 18 ms within a region, and 60 to 150 ms
between regions (by pair of regions) with 5 ms of jitter; datagrams are lost independently; membership reports
a death or a return after 3 s; a voter's log is replicated to the fastest majority in one round trip, retried
every 150 ms; a leader without a majority is replaced after 1.5 s. Voters run on machines of their own, one in
each of five regions.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, Protocol

from benchmarks.scale.dissemination_history import History
from saltport.dissemination.freshness import Verdict
from saltport.dissemination.messages import Proposal, Topic
from saltport.dissemination.outbox import Outgoing
from saltport.dissemination.placement import Placement, Site
from saltport.dissemination.router import Router
from saltport.dissemination.settings import NS_PER_MS, NS_PER_S, DisseminationSettings
from saltport.dissemination.states import Configuration, Purges, TopicState
from saltport.dissemination.topic_store import StateFactory
from saltport.dissemination.voter import Voter

DETECTION_NS = 3 * NS_PER_S
TAKEOVER_NS = 1_500 * NS_PER_MS
CONFIRMATION_AGE_NS = 300 * NS_PER_MS  # age of the last confirmation by a majority
REPLICATION_RETRY_NS = 150 * NS_PER_MS
VOTER_COUNT = 5
REMEMBERED_PURGES = 256

Cut = Callable[[int, int], bool]
"""Whether the link from one node to another is cut."""


class Node(Protocol):
    """A router or voter without clock and socket, driven by the simulation."""

    @property
    def due(self) -> int | None:
        """Time of the next `tick`, if any."""

    def receive(self, source: int, message: Any, now: int) -> None:
        """Handle a datagram from the node `source`, received at the time `now`, in nanoseconds."""

    def tick(self, now: int) -> None:
        """Run the work that is due at the time `now`, in nanoseconds."""

    def take_datagrams(self) -> list[Outgoing]:
        """Remove and return the queued datagrams, which the simulation then sends."""


class Fleet(NamedTuple):
    """Numbers of routers, sites and regions."""

    routers: int = 1_600
    sites: int = 81
    regions: int = 11


class World:
    """All nodes and the links between them, in virtual time."""

    def __init__(
        self, fleet: Fleet, seed: int, settings: DisseminationSettings | None = None, loss: float = 0.0
    ) -> None:
        self.fleet, self.loss = fleet, loss
        self.settings = settings or DisseminationSettings()
        self.rng, self.now = random.Random(seed), NS_PER_S
        self.voters = tuple(range(fleet.routers, fleet.routers + VOTER_COUNT))
        sites = [place % fleet.sites for place in range(fleet.routers)]
        self.site_of = sites + [-1 - voter for voter in range(VOTER_COUNT)]
        self.region_of = [site % fleet.regions for site in sites] + [
            v % fleet.regions for v in range(VOTER_COUNT)
        ]
        delay_rng = random.Random(7)
        self._region_delays = [
            [delay_rng.randint(60, 145) * NS_PER_MS for _ in range(fleet.regions)]
            for _ in range(fleet.regions)
        ]
        self.nodes: dict[int, Node] = {}
        self.paused_until: dict[int, int] = {}
        self.slow: dict[int, int] = {}
        """Additional delay of a node's datagrams, in nanoseconds."""
        self.cuts: list[Cut] = []
        self.history = History()
        self.fresh_verdicts = self.sampled_verdicts = 0
        """Sampled verdicts of routers: those that allow serving, and all."""
        self.sent = [0] * len(self.site_of)
        self.received = [0] * len(self.site_of)
        self.messages = [0] * len(self.site_of)
        self._events: list[tuple[int, int, int, int, Any]] = []
        self._event_number = 0
        self._wake_times: dict[int, int] = {}
        self._view: set[int] = set(range(fleet.routers))
        self.placement = self._create_placement()
        self.epoch, self.leader = 0, self.voters[0]
        self._majority_lost_at = 0
        self._last_numbers: dict[int, int] = {}
        self._log: list[Proposal] = []
        self._delivered_entries: dict[int, int] = dict.fromkeys(self.voters, 0)
        self.check: Callable[[str, bytes], str] = lambda _, value: "bad value" if value == b"bad" else ""

    # Creation of the fleet

    def _create_placement(self) -> Placement:
        members: dict[int, list[int]] = {site: [] for site in range(self.fleet.sites)}
        for node in sorted(self._view):
            members[self.site_of[node]].append(node)
        sites = [
            Site(f"s{site}", f"g{site % self.fleet.regions}", tuple(nodes)) for site, nodes in members.items()
        ]
        return Placement(sites, self.voters, self.settings)

    def states(self, topic: int) -> TopicState | None:
        """Return the state of a topic for a router or voter, or None for an unknown topic."""
        if topic == Topic.PURGES:
            return Purges(REMEMBERED_PURGES, lambda _: None, lambda: None)
        if topic == Topic.CONFIGURATION:
            return Configuration(lambda key, value: self.check(key, value))
        return None

    def start_all(self) -> None:
        """Start all voters, with the first as leader, and all routers."""
        for node in self.voters:
            self.nodes[node] = Voter(node, self.placement, self.settings, self.states, self.now)
        self._make_leader(self.voters[0])
        for node in range(self.fleet.routers):
            self.start(node)
        self.watch_leader()
        self.sample_verdicts()

    def start(self, node: int, states: StateFactory | None = None) -> Router:
        """Start a router's process without state and return it; `states` may be those of another release."""
        rng = random.Random(self.rng.getrandbits(32))
        router = Router(node, self.placement, self.settings, states or self.states, rng, self.now, self.now)
        self.nodes[node] = router
        self.paused_until.pop(node, None)
        self.history.start(node, self.now)
        self._wake_times.pop(node, None)
        if node not in self._view:
            self._schedule(self.now + DETECTION_NS, partial(self._update_view, node))
        self._process_output(node)
        return router

    def kill(self, node: int) -> None:
        """End a router's process without notice."""
        self.nodes.pop(node, None)
        self._wake_times.pop(node, None)
        self.history.end(node)
        self._schedule(self.now + DETECTION_NS, partial(self._update_view, node))

    def pause(self, node: int, duration: int) -> None:
        """Pause a process; messages that arrive meanwhile are delivered afterwards."""
        self.paused_until[node] = self.now + duration
        self._schedule(self.now + duration, lambda: self.history.exclude_until(node, self.now))

    def _update_view(self, node: int) -> None:
        """Apply a death or a return to the membership view and the placement of all nodes."""
        alive = node in self.nodes
        if alive == (node in self._view):
            return
        self._view.add(node) if alive else self._view.discard(node)
        self.placement = self._create_placement()
        for running_node in self.nodes.values():
            if isinstance(running_node, Router | Voter):
                running_node.placement = self.placement

    def router(self, node: int) -> Router:
        """Return a running router."""
        running_node = self.nodes[node]
        assert isinstance(running_node, Router)
        return running_node

    def voter(self, node: int | None = None) -> Voter:
        """Return a voter, by default the leader."""
        running_node = self.nodes[self.leader if node is None else node]
        assert isinstance(running_node, Voter)
        return running_node

    def acknowledged(self) -> int:
        """Return the number of routers that the coordinator has counted in the last rounds."""
        return self.voter().acknowledgement_summary.router_count

    def finish(self) -> list[str]:
        """Return the faults in the history, at the end of a simulation."""
        return self.history.finish()

    # Changes

    def submit(self, node: int, topic: int, body: bytes) -> None:
        """Submit a change at a router."""
        self.history.submitted(topic, body, self.now)
        self.router(node).submit(topic, body, self.now)
        self._process_output(node)

    def _replicate(self, leader: int) -> None:
        """Schedule the commitment of the leader's proposals for when the fastest majority has stored them."""
        for proposal in self.voter(leader).take_proposals():
            delays = sorted(
                self._replication_delay(leader, voter) for voter in self.voters if voter != leader
            )
            delay = delays[VOTER_COUNT // 2 - 1]
            if delay < NS_PER_S * 10:
                term = self.voter(leader).epoch
                self._schedule(self.now + delay, partial(self._commit, leader, term, proposal))

    def _replication_delay(self, leader: int, voter: int) -> int:
        if self._is_cut(leader, voter) or self._is_cut(voter, leader):
            return NS_PER_S * 1_000
        delay = self.delay(leader, voter) + self.delay(voter, leader)
        while self.rng.random() < 1 - (1 - self.loss) ** 2:
            delay += REPLICATION_RETRY_NS
        return delay

    def _commit(self, leader: int, term: int | None, proposal: Proposal) -> None:
        """Commit a proposal if its leader still leads; wait for the entry before it."""
        if self.leader != leader or self.voter(leader).epoch != term:
            return
        entry = proposal.entry
        if entry.number != self._last_numbers.get(entry.topic, 0) + 1:
            self._schedule(self.now + NS_PER_MS, partial(self._commit, leader, term, proposal))
            return
        self._last_numbers[entry.topic] = entry.number
        self._log.append(proposal)
        self.history.committed(entry.topic, entry.number, entry.records, self.now)
        for node in self.voters:
            if node == leader or not self._is_cut(leader, node):
                self._catch_up(node)

    def _catch_up(self, node: int) -> None:
        """Deliver committed entries to a voter in order."""
        voter = self.voter(node)
        for proposal in self._log[self._delivered_entries[node] :]:
            voter.on_committed(proposal, self.now)
        self._delivered_entries[node] = len(self._log)
        self._process_output(node)

    def _make_leader(self, node: int) -> None:
        self.epoch += 1
        self.leader = node
        self._last_numbers = {}
        for proposal in self._log:
            self._last_numbers[proposal.entry.topic] = proposal.entry.number
        self._catch_up(node)
        self.voter(node).become_coordinator(self.epoch, self.now)
        self._process_output(node)

    def watch_leader(self) -> None:
        """Replace a leader that has been without a majority for `TAKEOVER_NS`; called every 100 ms."""
        is_running = self.paused_until.get(self.leader, 0) <= self.now
        reached = [node for node in self.voters if is_running and not self._is_cut(self.leader, node)]
        if len(reached) > VOTER_COUNT // 2:
            self._majority_lost_at = 0
            self.voter().on_majority_confirmed(self.now - CONFIRMATION_AGE_NS)
            for node in reached:
                if node != self.leader:
                    self.voter(node).step_down()
                self._catch_up(node)
        elif not self._majority_lost_at:
            self._majority_lost_at = self.now
        elif self.now - self._majority_lost_at >= TAKEOVER_NS:
            others = [node for node in self.voters if node not in reached and node != self.leader]
            self._majority_lost_at = 0
            self._make_leader(others[0])
        self._schedule(self.now + 100 * NS_PER_MS, self.watch_leader)

    def sample_verdicts(self) -> None:
        """Check that no router that may serve lacks an old purge; called every 500 ms."""
        for node, running_node in self.nodes.items():
            if isinstance(running_node, Router) and self.paused_until.get(node, 0) <= self.now:
                if running_node.verdict(Topic.PURGES, self.now) is Verdict.FRESH:
                    self.history.check_freshness(node, Topic.PURGES, self.now, self.settings.fresh_for)
                    self.fresh_verdicts += 1
                self.sampled_verdicts += 1
        self._schedule(self.now + 500 * NS_PER_MS, self.sample_verdicts)

    # Links

    def delay(self, source: int, target: int) -> int:
        """Return a random one-way delay between two nodes."""
        if self.site_of[source] == self.site_of[target]:
            return int((0.5 + self.rng.random()) * NS_PER_MS)
        source_region, target_region = self.region_of[source], self.region_of[target]
        if source_region == target_region:
            return int((12 + 6 * self.rng.random()) * NS_PER_MS)
        return self._region_delays[min(source_region, target_region)][
            max(source_region, target_region)
        ] + int(5 * NS_PER_MS * self.rng.random())

    def _is_cut(self, source: int, target: int) -> bool:
        return any(cut(source, target) for cut in self.cuts)

    def isolate_region(self, region: int, duration: int) -> None:
        """Isolate a region from all others for `duration` nanoseconds."""

        def cut(source: int, target: int) -> bool:
            return (self.region_of[source] == region) != (self.region_of[target] == region)

        def heal() -> None:
            self.cuts.remove(cut)
            for node in range(self.fleet.routers):
                if self.region_of[node] == region:
                    self.history.exclude_until(node, self.now)

        self.cuts.append(cut)
        for node in range(self.fleet.routers):
            if self.region_of[node] == region:
                self.history.exclude_until(node, self.now + duration)
        self._schedule(self.now + duration, heal)

    # Time

    def _schedule(self, at: int, action: Callable[[], None]) -> None:
        self._event_number += 1
        heapq.heappush(self._events, (at, self._event_number, -1, -1, action))

    def later(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after this many seconds."""
        self._schedule(self.now + int(seconds * NS_PER_S), action)

    def _process_output(self, node: int) -> None:
        """Send a node's datagrams, record the entries that it applied, and schedule its next tick."""
        running_node = self.nodes[node]
        now, rng, loss, events = self.now, self.rng, self.loss, self._events
        if isinstance(running_node, Router):
            for topic, number in running_node.loaded:
                self.history.snapshot_loaded(node, topic, number)
            running_node.loaded.clear()
            if running_node.applied:
                self.history.applied(node, running_node.applied, now)
                running_node.applied = []
        elif isinstance(running_node, Voter):
            self._replicate(node)
        extra_delay = self.slow.get(node, 0)
        for target, message, size in running_node.take_datagrams():
            self.sent[node] += size
            self.messages[node] += 1
            if rng.random() < loss or (self.cuts and self._is_cut(node, target)):
                continue
            self._event_number += 1
            arrival = now + extra_delay + self.delay(node, target)
            heapq.heappush(events, (arrival, self._event_number, target, node, (message, size)))
        due = running_node.due
        if due is not None:
            wake_at = self._wake_times.get(node)
            if wake_at is None or due < wake_at:
                self._wake_times[node] = due
                self._event_number += 1
                heapq.heappush(events, (max(due, now), self._event_number, node, -1, None))

    def run(self, seconds: float) -> None:
        """Run for this many seconds of virtual time."""
        end = self.now + int(seconds * NS_PER_S)
        events = self._events
        while events and events[0][0] <= end:
            at, _, target, source, payload = heapq.heappop(events)
            if at > self.now:
                self.now = at
            if target < 0:
                payload()
                continue
            node = self.nodes.get(target)
            if node is None:
                continue
            resumes_at = self.paused_until.get(target, 0)
            if resumes_at > self.now:
                self._event_number += 1
                heapq.heappush(events, (resumes_at, self._event_number, target, source, payload))
                continue
            if payload is None:
                if self._wake_times.get(target, at + 1) > at:
                    continue
                del self._wake_times[target]
                node.tick(self.now)
            else:
                message, size = payload
                self.received[target] += size
                self.messages[target] += 1
                node.receive(source, message, self.now)
            self._process_output(target)
        self.now = end
