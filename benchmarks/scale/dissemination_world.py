"""Dissemination in virtual time: routers, voters and the links between them, by seed.

Assumptions: one-way delays of 0.5 to 1.5 ms within a site, 12 to 18 ms within a region, 60 to 150 ms across
(by pair of regions) with 5 ms of jitter; datagrams are lost one by one; membership tells of a death or a
return 3 s later; a voter's log is replicated by one round trip, repeated every 150 ms, to the quickest
majority; a leader without a majority is replaced after 1.5 s. Voters stand on machines of their own, one in
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

DETECTION = 3 * NS_PER_S
TAKEOVER = 1_500 * NS_PER_MS
CONFIRMATION = 300 * NS_PER_MS  # the age of what a majority confirmed last
REPLICATION_RETRY = 150 * NS_PER_MS
VOTERS = 5
REMEMBERED_PURGES = 256

Cut = Callable[[int, int], bool]
"""Whether nothing gets from one node to another."""


class Node(Protocol):
    """What the world drives; it has no clock and no socket."""

    @property
    def due(self) -> int | None:
        """When `tick` has something to do."""

    def receive(self, source: int, message: Any, now: int) -> None:
        """Take a datagram."""

    def tick(self, now: int) -> None:
        """Do what is due."""

    def take_datagrams(self) -> list[Outgoing]:
        """Datagrams to be sent."""


class Fleet(NamedTuple):
    """How many of each."""

    routers: int = 1_600
    sites: int = 81
    regions: int = 11


class World:
    """All nodes and links; `make` gives a router's process."""

    def __init__(
        self, fleet: Fleet, seed: int, settings: DisseminationSettings | None = None, loss: float = 0.0
    ) -> None:
        self.fleet, self.loss = fleet, loss
        self.settings = settings or DisseminationSettings()
        self.rng, self.now = random.Random(seed), NS_PER_S
        self.voters = tuple(range(fleet.routers, fleet.routers + VOTERS))
        sites = [place % fleet.sites for place in range(fleet.routers)]
        self.site_of = sites + [-1 - voter for voter in range(VOTERS)]
        self.region_of = [site % fleet.regions for site in sites] + [v % fleet.regions for v in range(VOTERS)]
        draw = random.Random(7)
        self._across = [
            [draw.randint(60, 145) * NS_PER_MS for _ in range(fleet.regions)] for _ in range(fleet.regions)
        ]
        self.nodes: dict[int, Node] = {}
        self.stopped: dict[int, int] = {}
        self.slow: dict[int, int] = {}
        """Nanoseconds that a node's datagrams are held up."""
        self.cuts: list[Cut] = []
        self.history = History()
        self.fresh = self.asked = 0
        """Verdicts that were sampled."""
        self.sent = [0] * len(self.site_of)
        self.received = [0] * len(self.site_of)
        self.messages = [0] * len(self.site_of)
        self._events: list[tuple[int, int, int, int, Any]] = []
        self._count = 0
        self._wakes: dict[int, int] = {}
        self._view: set[int] = set(range(fleet.routers))
        self.placement = self._placed()
        self.epoch, self.leader = 0, self.voters[0]
        self._majority_lost = 0
        self._last: dict[int, int] = {}
        self._log: list[Proposal] = []
        self._given: dict[int, int] = dict.fromkeys(self.voters, 0)
        self.check: Callable[[str, bytes], str] = lambda _, value: "bad value" if value == b"bad" else ""

    # Making the fleet

    def _placed(self) -> Placement:
        members: dict[int, list[int]] = {site: [] for site in range(self.fleet.sites)}
        for node in sorted(self._view):
            members[self.site_of[node]].append(node)
        sites = [
            Site(f"s{site}", f"g{site % self.fleet.regions}", tuple(nodes)) for site, nodes in members.items()
        ]
        return Placement(sites, self.voters, self.settings)

    def states(self, topic: int) -> TopicState | None:
        """Of a router or voter."""
        if topic == Topic.PURGES:
            return Purges(REMEMBERED_PURGES, lambda _: None, lambda: None)
        if topic == Topic.CONFIGURATION:
            return Configuration(lambda key, value: self.check(key, value))
        return None

    def start_all(self) -> None:
        """Voters, the first of them leading, and all routers."""
        for node in self.voters:
            self.nodes[node] = Voter(node, self.placement, self.settings, self.states, self.now)
        self._lead(self.voters[0])
        for node in range(self.fleet.routers):
            self.start(node)
        self.watch_leader()
        self.sample_verdicts()

    def start(self, node: int, states: StateFactory | None = None) -> Router:
        """A router's process comes up, knowing nothing; `states`: of another release."""
        rng = random.Random(self.rng.getrandbits(32))
        router = Router(node, self.placement, self.settings, states or self.states, rng, self.now, self.now)
        self.nodes[node] = router
        self.stopped.pop(node, None)
        self.history.start(node, self.now)
        self._wakes.pop(node, None)
        if node not in self._view:
            self._at(self.now + DETECTION, partial(self._see, node))
        self._after(node)
        return router

    def kill(self, node: int) -> None:
        """A router's process ends without a word."""
        self.nodes.pop(node, None)
        self._wakes.pop(node, None)
        self.history.end(node)
        self._at(self.now + DETECTION, partial(self._see, node))

    def stop(self, node: int, length: int) -> None:
        """A process stands still; what comes meanwhile waits for it."""
        self.stopped[node] = self.now + length
        self._at(self.now + length, lambda: self.history.excuse(node, self.now))

    def _see(self, node: int) -> None:
        """Membership tells all of a death or a return."""
        alive = node in self.nodes
        if alive == (node in self._view):
            return
        self._view.add(node) if alive else self._view.discard(node)
        self.placement = self._placed()
        for held in self.nodes.values():
            if isinstance(held, Router | Voter):
                held.placement = self.placement

    def router(self, node: int) -> Router:
        """A running router."""
        held = self.nodes[node]
        assert isinstance(held, Router)
        return held

    def voter(self, node: int | None = None) -> Voter:
        """A voter; the leader, if none is named."""
        held = self.nodes[self.leader if node is None else node]
        assert isinstance(held, Voter)
        return held

    def acknowledged(self) -> int:
        """Routers that the coordinator counted in the last rounds."""
        return self.voter().acknowledgement_summary.router_count

    def finish(self) -> list[str]:
        """Faults in the history, once all has settled."""
        return self.history.finish()

    # Changes

    def submit(self, node: int, topic: int, body: bytes) -> None:
        """A router asks for a change."""
        self.history.made(topic, body, self.now)
        self.router(node).submit(topic, body, self.now)
        self._after(node)

    def _replicate(self, leader: int) -> None:
        """Commit what a leader proposed, once the quickest majority holds it."""
        for proposal in self.voter(leader).take_proposals():
            delays = sorted(self._replicated(leader, voter) for voter in self.voters if voter != leader)
            delay = delays[VOTERS // 2 - 1]
            if delay < NS_PER_S * 10:
                term = self.voter(leader).epoch
                self._at(self.now + delay, partial(self._commit, leader, term, proposal))

    def _replicated(self, leader: int, voter: int) -> int:
        if self._is_cut(leader, voter) or self._is_cut(voter, leader):
            return NS_PER_S * 1_000
        delay = self.delay(leader, voter) + self.delay(voter, leader)
        while self.rng.random() < 1 - (1 - self.loss) ** 2:
            delay += REPLICATION_RETRY
        return delay

    def _commit(self, leader: int, term: int | None, proposal: Proposal) -> None:
        """The log commits in order: after the entry before it."""
        if self.leader != leader or self.voter(leader).epoch != term:
            return
        entry = proposal.entry
        if entry.number != self._last.get(entry.topic, 0) + 1:
            self._at(self.now + NS_PER_MS, partial(self._commit, leader, term, proposal))
            return
        self._last[entry.topic] = entry.number
        self._log.append(proposal)
        self.history.committed(entry.topic, entry.number, entry.records, self.now)
        for node in self.voters:
            if node == leader or not self._is_cut(leader, node):
                self._catch_up(node)

    def _catch_up(self, node: int) -> None:
        """A voter takes what is committed, in order."""
        voter = self.voter(node)
        for proposal in self._log[self._given[node] :]:
            voter.on_committed(proposal, self.now)
        self._given[node] = len(self._log)
        self._after(node)

    def _lead(self, node: int) -> None:
        self.epoch += 1
        self.leader = node
        self._last = {}
        for proposal in self._log:
            self._last[proposal.entry.topic] = proposal.entry.number
        self._catch_up(node)
        self.voter(node).become_coordinator(self.epoch, self.now)
        self._after(node)

    def watch_leader(self) -> None:
        """Called every 100 ms: a leader that is cut from a majority is replaced after a while."""
        awake = self.stopped.get(self.leader, 0) <= self.now
        reached = [node for node in self.voters if awake and not self._is_cut(self.leader, node)]
        if len(reached) > VOTERS // 2:
            self._majority_lost = 0
            self.voter().on_majority_confirmed(self.now - CONFIRMATION)
            for node in reached:
                if node != self.leader:
                    self.voter(node).step_down()
                self._catch_up(node)
        elif not self._majority_lost:
            self._majority_lost = self.now
        elif self.now - self._majority_lost >= TAKEOVER:
            others = [node for node in self.voters if node not in reached and node != self.leader]
            self._majority_lost = 0
            self._lead(others[0])
        self._at(self.now + 100 * NS_PER_MS, self.watch_leader)

    def sample_verdicts(self) -> None:
        """Called every 500 ms: whoever says that it may serve purges must not lack an old one."""
        for node, held in self.nodes.items():
            if isinstance(held, Router) and self.stopped.get(node, 0) <= self.now:
                if held.verdict(Topic.PURGES, self.now) is Verdict.FRESH:
                    self.history.serves(node, Topic.PURGES, self.now, self.settings.fresh_for)
                    self.fresh += 1
                self.asked += 1
        self._at(self.now + 500 * NS_PER_MS, self.sample_verdicts)

    # Links

    def delay(self, source: int, target: int) -> int:
        """One way."""
        if self.site_of[source] == self.site_of[target]:
            return int((0.5 + self.rng.random()) * NS_PER_MS)
        here, there = self.region_of[source], self.region_of[target]
        if here == there:
            return int((12 + 6 * self.rng.random()) * NS_PER_MS)
        return self._across[min(here, there)][max(here, there)] + int(5 * NS_PER_MS * self.rng.random())

    def _is_cut(self, source: int, target: int) -> bool:
        return any(cut(source, target) for cut in self.cuts)

    def part(self, region: int, length: int) -> None:
        """A region is apart from all others for so long."""

        def cut(source: int, target: int) -> bool:
            return (self.region_of[source] == region) != (self.region_of[target] == region)

        def heal() -> None:
            self.cuts.remove(cut)
            for node in range(self.fleet.routers):
                if self.region_of[node] == region:
                    self.history.excuse(node, self.now)

        self.cuts.append(cut)
        for node in range(self.fleet.routers):
            if self.region_of[node] == region:
                self.history.excuse(node, self.now + length)
        self._at(self.now + length, heal)

    # Time

    def _at(self, at: int, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, -1, -1, act))

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something in so long."""
        self._at(self.now + int(seconds * NS_PER_S), act)

    def _after(self, node: int) -> None:
        """Send what a node wants sent, see what it applied, and wake it when it is due."""
        held = self.nodes[node]
        now, rng, loss, events = self.now, self.rng, self.loss, self._events
        if isinstance(held, Router):
            for topic, number in held.loaded:
                self.history.loaded(node, topic, number)
            held.loaded.clear()
            if held.applied:
                self.history.applied(node, held.applied, now)
                held.applied = []
        elif isinstance(held, Voter):
            self._replicate(node)
        extra = self.slow.get(node, 0)
        for target, message, size in held.take_datagrams():
            self.sent[node] += size
            self.messages[node] += 1
            if rng.random() < loss or (self.cuts and self._is_cut(node, target)):
                continue
            self._count += 1
            arrival = now + extra + self.delay(node, target)
            heapq.heappush(events, (arrival, self._count, target, node, (message, size)))
        due = held.due
        if due is not None:
            wake = self._wakes.get(node)
            if wake is None or due < wake:
                self._wakes[node] = due
                self._count += 1
                heapq.heappush(events, (max(due, now), self._count, node, -1, None))

    def run(self, seconds: float) -> None:
        """Let time pass."""
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
            wakes = self.stopped.get(target, 0)
            if wakes > self.now:
                self._count += 1
                heapq.heappush(events, (wakes, self._count, target, source, payload))
                continue
            if payload is None:
                if self._wakes.get(target, at + 1) > at:
                    continue
                del self._wakes[target]
                node.tick(self.now)
            else:
                message, size = payload
                self.received[target] += size
                self.messages[target] += 1
                node.receive(source, message, self.now)
            self._after(target)
        self.now = end
