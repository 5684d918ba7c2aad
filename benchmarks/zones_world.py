"""Zones and regions in virtual time: real decisions and failover agents, clients that move, zones that go.

It stands on hot_world.py: nodes of one core, an origin, routers without sockets. Ownership is given: who owns
the plans is one router at a time, and the next one some seconds after it went; owners/ has its own worlds.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from benchmarks.hot_world import MS, ORIGIN, Read, S, World
from saltport.decisions import Router, Server, ServersChanged, ZonePlan
from saltport.decisions.interface import ListKind, Tenant
from saltport.decisions.topology import Topology
from saltport.decisions.zoned import ZonedReplication
from saltport.failover.agent import Agent
from saltport.failover.messages import Message, Plan, decode, encode
from saltport.failover.settings import TASK_NAME, FailoverSettings
from saltport.owners.fence import Fence
from saltport.peers.link import MAX_PAYLOAD_BYTES

ZONES, REGIONS = ("a", "b", "c"), ("west", "west", "east")
COSTS = {(0, 1): 2.0, (0, 2): 12.0, (1, 2): 12.0}
LEASE, TAKEOVER = 3 * S, 4 * S
VOTERS = 3  # the first routers
NOTICED = S  # after which clients of a dead router go elsewhere
SETTINGS = FailoverSettings()
COLD_SHARE, COLD_TIME = 0.5, 5 * S


class ZonesWorld(World):
    """`form`: plan, alone, envoy or today; nodes and routers go round the zones, unless `sizes` tells."""

    def __init__(
        self, form: str = "plan", routers: int = 12, nodes: int = 30, seed: int = 1, capacity: bool = True,
        shares: tuple[float, ...] = (1, 1, 1), allowance: float = 400.0, spread: tuple[int, ...] = (),
    ) -> None:  # fmt: skip
        super().__init__(nodes, None, seed, routers, spread_work=0.3, retries=1)
        self.form, self.weights = form, shares
        self.zone_of_node = {
            name: spread[place] if spread else place % 3 for place, name in enumerate(self.nodes)
        }
        self.zone_of = [place % 3 for place in range(routers)]
        told = replace(
            self.routers[0].settings, cold_share=COLD_SHARE, cold_time=COLD_TIME,
            tenants=(Tenant("a", 0.7, 0.7 * allowance), Tenant("b", 0.3, 0.3 * allowance)),
        )  # fmt: skip
        self.topologies = [
            Topology(ZONES, zone, REGIONS, COSTS, capacity=(100.0,) * 3 if capacity else ()) for zone in ZONES
        ]
        self.routers = []
        for place, zone in enumerate(self.zone_of):
            mine = None if form == "today" else self.topologies[zone]
            self.routers.append(Router(replace(told, topology=mine), seed + place))
        self.list_all()
        self.trip = lambda router, server: (
            MS + int(self._cost(self.zone_of[router], self.zone_of_node[server]))
        )
        self.choose_router = self._choose
        self.dead: dict[int, int] = {}
        self.paths: set[tuple[int, int]] = set()
        """Cut between zones, one way: routers of the first reach nothing in the second."""
        self.liar = -1
        """A router whose own network is bad: it reaches nothing."""
        self.parted = lambda router, server: (
            router == self.liar or (self.zone_of[router], self.zone_of_node[server]) in self.paths
        )
        self.loss = 0.0
        self.message_cut: Callable[[int, int], bool] = lambda here, there: False
        self.paused: dict[int, int] = {}
        self.owner, self.epoch, self.owner_until = 0, 1, 1 << 62
        self.fences = [Fence() for _ in range(routers)]
        self.agents: list[Agent] = []
        self.latest = (0, 0)
        self.made: list[tuple[float, str]] = []
        """Plans: when, and why."""
        self.told: list[ZonePlan | None] = [None] * routers
        self.bytes = 0
        self.seconds: dict[int, Counter[str]] = {}
        self.node_work: dict[int, Counter[str]] = {}
        self._links = random.Random(seed ^ 0x11)
        if form == "plan":
            for place in range(routers):
                self.agents.append(self._agent(place))
                self.at(self._links.randrange(250 * MS), lambda place=place: self._turn(place))  # type: ignore[misc]
        elif form == "envoy":
            for place in range(routers):
                self.at(self._links.randrange(250 * MS), lambda place=place: self._envoy(place))  # type: ignore[misc]

    def _agent(self, place: int) -> Agent:
        rng = random.Random(self._links.getrandbits(32))
        topology = self.topologies[self.zone_of[place]]
        return Agent(
            f"r{place}", topology, SETTINGS, rng, self.now, lambda _: self.epoch_of(place), COLD_TIME,
            lambda epoch: self.fences[place].admit(TASK_NAME, epoch),
        )  # fmt: skip

    def epoch_of(self, place: int) -> int | None:
        """The epoch under which a router may decide now."""
        return self.epoch if place == self.owner and self.now < self.owner_until else None

    def _cost(self, here: int, there: int) -> float:
        return self.topologies[0].round_trip_ms(here, there) * MS

    # Agents

    def _turn(self, place: int) -> None:
        agent = self.agents[place]
        wakes = self.paused.get(place, 0)
        if place in self.dead or wakes > self.now:
            self.at(max(wakes - self.now, 250 * MS), lambda: self._turn(place))
            return
        agent.tick([f"r{other}" for other in range(len(self.routers)) if other not in self.dead], self.now)
        replication = self.routers[place].replication
        if agent.report_due(self.now) and isinstance(replication, ZonedReplication):
            agent.report(replication.take_evidence(), self.now)
        self._carry(place)
        self.at(100 * MS, lambda: self._turn(place))

    def _carry(self, place: int) -> None:
        agent = self.agents[place]
        for to, message in agent.take_messages():
            if isinstance(message, Plan) and message.version > self.latest:
                self.latest = message.version
                self.made.append((self.now / S, message.reason))
            data = encode(message)
            assert len(data) <= MAX_PAYLOAD_BYTES, (len(data), message)
            self.bytes += len(data) + 50
            other = int(to[1:])
            if self._links.random() >= self.loss and not self.message_cut(place, other):
                cost = int(self._cost(self.zone_of[place], self.zone_of[other]))
                delay = cost + self._links.randrange(MS, 6 * MS)
                self.at(delay, lambda other=other, data=data: self._arrive(place, other, decode(data)))  # type: ignore[misc]
        told = agent.zone_plan(self.now)
        if told is not None:
            self._follow(place, told)

    def _follow(self, place: int, told: ZonePlan) -> None:
        if told != self.told[place]:
            self.told[place] = told
            self.tell(place, told)

    def _arrive(self, sender: int, place: int, message: Message) -> None:
        wakes = self.paused.get(place, 0)
        if wakes > self.now:
            self.at(wakes - self.now, lambda: self._arrive(sender, place, message))
        elif place not in self.dead:
            self.agents[place].receive(f"r{sender}", message, self.now)
            self._carry(place)

    def _envoy(self, place: int) -> None:
        """Localities by Envoy's rule, each router for itself: 1.4 times its healthy part, panic at a half."""
        router, mine = self.routers[place], self.zone_of[place]
        healthy = [0, 0, 0]
        listed = [0, 0, 0]
        for name, zone in self.zone_of_node.items():
            listed[zone] += name in router.caches.nodes
            healthy[zone] += name in router.caches.nodes and name not in router.outliers.ejected
        left, shares = 1.0, [0.0, 0.0, 0.0]
        for zone in self.topologies[mine].zones_by_distance(mine):
            part = min(1.4 * healthy[zone] / max(listed[zone], 1), 1.0)
            shares[zone] = min(left, part)
            left -= shares[zone]
        if sum(healthy) * 2 < sum(listed):
            shares = [float(zone == mine) for zone in range(3)]
        self._follow(place, ZonePlan(tuple(shares)))
        self.at(250 * MS, lambda: self._envoy(place))

    # Clients

    def _choose(self) -> int:
        zone = self.rng.choices(range(3), self.weights)[0]
        known = [
            place for place in range(len(self.routers)) if self.dead.get(place, 1 << 62) > self.now - NOTICED
        ]
        near = [place for place in known if self.zone_of[place] == zone]
        return self.rng.choice(near or known)

    def ask(
        self, key: str, write: bool = False, tenant: str | None = None, again: Read | None = None,
        within: int = S,
    ) -> str:  # fmt: skip
        """One request; one at a dead router is nobody's."""
        self.second()["asked"] += again is None
        router = self._choose()
        if router in self.dead:
            self.second()["at a dead router"] += 1
            return ""
        self.choose_router = lambda: router
        return super().ask(key, write, tenant, again, within)

    def second(self) -> Counter[str]:
        """The figures of this second."""
        return self.seconds.setdefault(self.now // S, Counter())

    def _served(self, read: Read, version: int) -> None:
        super()._served(read, version)
        self.second()["in time"] += self.now - read.begun_at <= 300 * MS

    def _end(self, read: Read, what: str) -> None:
        super()._end(read, what)
        self.second()[what] += 1

    def tell(self, router: int, event: object) -> None:
        """As ever; a dead router hears and does nothing."""
        if router not in getattr(self, "dead", {}):
            super().tell(router, event)  # type: ignore[arg-type]

    def _send(self, router: int, send: object) -> None:
        second = self.second()
        server = send.server  # type: ignore[attr-defined]
        if server == ORIGIN:
            second["origin"] += 1
        else:
            second["sent"] += 1
            second["near"] += self.zone_of_node[server] == self.zone_of[router]
            self.node_work.setdefault(self.now // S, Counter())[server] += 1
        super()._send(router, send)  # type: ignore[arg-type]

    # Acts

    def parted_router(self, zone: int) -> None:
        """One router of a zone reaches nothing any more, and says so."""
        self.liar = next(p for p, z in enumerate(self.zone_of) if z == zone and p != self.owner)

    def entry(self, name: str, state: object = None, started: int = 0) -> Server:
        """With this world's zones."""
        zone = ZONES[self.zone_of_node[name]] if hasattr(self, "zone_of_node") else ""
        return Server(name, kind="std", zone=zone, started=started)

    def lose_zone(self, zone: int, routers: bool = True) -> None:
        """Its nodes say nothing any more, and its routers are gone."""
        for name, node in self.nodes.items():
            if self.zone_of_node[name] == zone:
                node.cut = True
        for place in range(len(self.routers)):
            if routers and self.zone_of[place] == zone:
                self.dead[place] = self.now
        if self.owner in self.dead:
            self.lose_owner()

    def lose_owner(self) -> None:
        """Its lease ends; some router that lives follows it."""
        self.owner_until = min(self.owner_until, self.now + LEASE)
        self.at(TAKEOVER, self._next_owner)

    def _next_owner(self) -> None:
        if not self.agents:
            return
        alive = [
            place for place in range(len(self.routers)) if place not in self.dead and place != self.owner
        ]
        self.hand_over(self._links.choice(alive))

    def hand_over(self, to: int) -> None:
        """A router owns the plans from now on: voters know it from the record, the others from its plans."""
        self.owner, self.epoch, self.owner_until = to, self.epoch + 1, 1 << 62
        for voter in range(VOTERS):
            self.fences[voter].admit(TASK_NAME, self.epoch)

    def bring_back(self, zone: int) -> None:
        """Cold and empty; routers start anew and know nothing."""
        for name, node in self.nodes.items():
            if self.zone_of_node[name] == zone:
                node.cut, node.slow, node.free_at = False, 1 / COLD_SHARE, self.now
                node.kept.clear()
                self.change(self.entry(name, started=self.now))
        for step in range(1, 11):
            self.at(COLD_TIME * step // 10, lambda step=step: self._warm(zone, step / 10))  # type: ignore[misc]
        for place in [place for place in self.dead if self.zone_of[place] == zone]:
            del self.dead[place]
            if self.form == "plan":
                self.agents[place] = self._agent(place)
            self.told[place] = None
            self.routers[place] = Router(self.routers[place].settings, place)
        entries = (*(self.entry(name) for name in self.nodes), Server(ORIGIN, kind=ORIGIN))
        for place in range(len(self.routers)):
            if self.zone_of[place] == zone:
                self.tell(place, ServersChanged(ListKind.FULL, entries))

    def _warm(self, zone: int, part: float) -> None:
        for name, node in self.nodes.items():
            if self.zone_of_node[name] == zone:
                node.slow = 1 / (COLD_SHARE + (1 - COLD_SHARE) * part)

    def busiest_share(self, second: int) -> float:
        """Of the work that came to one node in a second, against the 100 requests that it can do."""
        return max(self.node_work.get(second, Counter({"": 0})).values()) / 100
