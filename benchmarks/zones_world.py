"""Simulates zones and regions in virtual time, with real decision modules and failover agents.

It extends hot_world.py (nodes with one core, an origin, routers without sockets) by zones that fail and
clients that move. Ownership of the plans is simulated: one router owns them, and another takes over some
seconds after its failure.
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
LEASE_NS, TAKEOVER_NS = 3 * S, 4 * S
VOTERS = 3  # routers with the lowest places
FAILURE_NOTICE_NS = S  # time after which clients of a dead router use another one
SETTINGS = FailoverSettings()
COLD_SHARE, COLD_TIME = 0.5, 5 * S


class ZonesWorld(World):
    """Simulation of three zones; nodes and routers are assigned to zones in turn, nodes also by `spread`.

    `form` is plan (shared plans), alone (each router for itself), envoy (Envoy's rule) or today (no
    topology).
    """

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
        settings = replace(
            self.routers[0].settings, cold_share=COLD_SHARE, cold_time=COLD_TIME,
            tenants=(Tenant("a", 0.7, 0.7 * allowance), Tenant("b", 0.3, 0.3 * allowance)),
        )  # fmt: skip
        self.topologies = [
            Topology(ZONES, zone, REGIONS, COSTS, capacity=(100.0,) * 3 if capacity else ()) for zone in ZONES
        ]
        self.routers = []
        for place, zone in enumerate(self.zone_of):
            topology = None if form == "today" else self.topologies[zone]
            self.routers.append(Router(replace(settings, topology=topology), seed + place))
        self.publish_servers()
        self.round_trip = lambda router, server: (
            MS + int(self._cost(self.zone_of[router], self.zone_of_node[server]))
        )
        self.choose_router = self._choose_router
        self.dead: dict[int, int] = {}
        self.cut_paths: set[tuple[int, int]] = set()
        """Pairs of zones; requests from routers of the first to nodes of the second are lost."""
        self.disconnected_router = -1
        """A router with a faulty network, which reaches no node; -1 for none."""
        self.is_partitioned = lambda router, server: (
            router == self.disconnected_router
            or (self.zone_of[router], self.zone_of_node[server]) in self.cut_paths
        )
        self.loss = 0.0
        self.message_cut: Callable[[int, int], bool] = lambda source, target: False
        self.paused: dict[int, int] = {}
        self.owner, self.epoch, self.owner_until = 0, 1, 1 << 62
        self.fences = [Fence() for _ in range(routers)]
        self.agents: list[Agent] = []
        self.latest = (0, 0)
        self.plans_made: list[tuple[float, str]] = []
        """Time and reason of each plan."""
        self.followed_plans: list[ZonePlan | None] = [None] * routers
        self.bytes = 0
        self.seconds: dict[int, Counter[str]] = {}
        self.node_work: dict[int, Counter[str]] = {}
        self._links = random.Random(seed ^ 0x11)
        if form == "plan":
            for place in range(routers):
                self.agents.append(self._agent(place))
                self.schedule(self._links.randrange(250 * MS), lambda place=place: self._tick_agent(place))  # type: ignore[misc]
        elif form == "envoy":
            for place in range(routers):
                self.schedule(
                    self._links.randrange(250 * MS),
                    lambda place=place: self._apply_envoy_rule(place),  # type: ignore[misc]
                )

    def _agent(self, place: int) -> Agent:
        rng = random.Random(self._links.getrandbits(32))
        topology = self.topologies[self.zone_of[place]]
        return Agent(
            f"r{place}", topology, SETTINGS, rng, self.now, lambda _: self.epoch_of(place), COLD_TIME,
            lambda epoch: self.fences[place].admit(TASK_NAME, epoch),
        )  # fmt: skip

    def epoch_of(self, place: int) -> int | None:
        """Return the epoch under which a router may make plans now, or None."""
        return self.epoch if place == self.owner and self.now < self.owner_until else None

    def _cost(self, source: int, target: int) -> float:
        return self.topologies[0].round_trip_ms(source, target) * MS

    # Agents

    def _tick_agent(self, place: int) -> None:
        agent = self.agents[place]
        resumes_at = self.paused.get(place, 0)
        if place in self.dead or resumes_at > self.now:
            self.schedule(max(resumes_at - self.now, 250 * MS), lambda: self._tick_agent(place))
            return
        agent.tick([f"r{other}" for other in range(len(self.routers)) if other not in self.dead], self.now)
        replication = self.routers[place].replication
        if agent.report_due(self.now) and isinstance(replication, ZonedReplication):
            agent.report(replication.take_evidence(), self.now)
        self._send_messages(place)
        self.schedule(100 * MS, lambda: self._tick_agent(place))

    def _send_messages(self, place: int) -> None:
        agent = self.agents[place]
        for to, message in agent.take_messages():
            if isinstance(message, Plan) and message.version > self.latest:
                self.latest = message.version
                self.plans_made.append((self.now / S, message.reason))
            data = encode(message)
            assert len(data) <= MAX_PAYLOAD_BYTES, (len(data), message)
            self.bytes += len(data) + 50
            target = int(to[1:])
            if self._links.random() >= self.loss and not self.message_cut(place, target):
                cost = int(self._cost(self.zone_of[place], self.zone_of[target]))
                delay = cost + self._links.randrange(MS, 6 * MS)
                self.schedule(
                    delay,
                    lambda target=target, data=data: self._receive_message(place, target, decode(data)),  # type: ignore[misc]
                )
        zone_plan = agent.zone_plan(self.now)
        if zone_plan is not None:
            self._follow_plan(place, zone_plan)

    def _follow_plan(self, place: int, zone_plan: ZonePlan) -> None:
        if zone_plan != self.followed_plans[place]:
            self.followed_plans[place] = zone_plan
            self.deliver(place, zone_plan)

    def _receive_message(self, sender: int, place: int, message: Message) -> None:
        resumes_at = self.paused.get(place, 0)
        if resumes_at > self.now:
            self.schedule(resumes_at - self.now, lambda: self._receive_message(sender, place, message))
        elif place not in self.dead:
            self.agents[place].receive(f"r{sender}", message, self.now)
            self._send_messages(place)

    def _apply_envoy_rule(self, place: int) -> None:
        """Set a router's shares of reads for each zone by the rule of the proxy Envoy; repeat every 250 ms.

        From the nearest zone on, each zone gets up to 1.4 times the healthy part of its servers, until all
        reads are distributed. If fewer than half of all servers are healthy (Envoy's panic), all reads stay
        in the router's own zone.
        """
        router, own_zone = self.routers[place], self.zone_of[place]
        healthy = [0, 0, 0]
        listed = [0, 0, 0]
        for name, zone in self.zone_of_node.items():
            listed[zone] += name in router.caches.nodes
            healthy[zone] += name in router.caches.nodes and name not in router.outliers.ejected
        remaining, shares = 1.0, [0.0, 0.0, 0.0]
        for zone in self.topologies[own_zone].zones_by_distance(own_zone):
            part = min(1.4 * healthy[zone] / max(listed[zone], 1), 1.0)
            shares[zone] = min(remaining, part)
            remaining -= shares[zone]
        if sum(healthy) * 2 < sum(listed):
            shares = [float(zone == own_zone) for zone in range(3)]
        self._follow_plan(place, ZonePlan(tuple(shares)))
        self.schedule(250 * MS, lambda: self._apply_envoy_rule(place))

    # Clients

    def _choose_router(self) -> int:
        zone = self.rng.choices(range(3), self.weights)[0]
        known = [
            place
            for place in range(len(self.routers))
            if self.dead.get(place, 1 << 62) > self.now - FAILURE_NOTICE_NS
        ]
        near = [place for place in known if self.zone_of[place] == zone]
        return self.rng.choice(near or known)

    def ask(
        self, key: str, write: bool = False, tenant: str | None = None, retry_of: Read | None = None,
        timeout: int = S,
    ) -> str:  # fmt: skip
        """Send a request; one to a dead router is lost and only counted."""
        self.current_counts()["asked"] += retry_of is None
        router = self._choose_router()
        if router in self.dead:
            self.current_counts()["at a dead router"] += 1
            return ""
        self.choose_router = lambda: router
        return super().ask(key, write, tenant, retry_of, timeout)

    def current_counts(self) -> Counter[str]:
        """Return the counts of the current second."""
        return self.seconds.setdefault(self.now // S, Counter())

    def _served(self, read: Read, version: int) -> None:
        super()._served(read, version)
        self.current_counts()["in time"] += self.now - read.first_asked_at <= 300 * MS

    def _record_outcome(self, read: Read, name: str) -> None:
        super()._record_outcome(read, name)
        self.current_counts()[name] += 1

    def deliver(self, router: int, event: object) -> None:
        """Pass an event to a router unless it is dead."""
        if router not in getattr(self, "dead", {}):
            super().deliver(router, event)  # type: ignore[arg-type]

    def _send(self, router: int, send: object) -> None:
        counts = self.current_counts()
        server = send.server  # type: ignore[attr-defined]
        if server == ORIGIN:
            counts["origin"] += 1
        else:
            counts["sent"] += 1
            counts["near"] += self.zone_of_node[server] == self.zone_of[router]
            self.node_work.setdefault(self.now // S, Counter())[server] += 1
        super()._send(router, send)  # type: ignore[arg-type]

    # Faults

    def disconnect_router(self, zone: int) -> None:
        """Disconnect one router of a zone from all nodes; it still sends reports."""
        self.disconnected_router = next(
            p for p, z in enumerate(self.zone_of) if z == zone and p != self.owner
        )

    def server_entry(self, name: str, state: object = None, started: int = 0) -> Server:
        """Return a node's entry in the server list, with the zone of this simulation."""
        zone = ZONES[self.zone_of_node[name]] if hasattr(self, "zone_of_node") else ""
        return Server(name, kind="std", zone=zone, started=started)

    def lose_zone(self, zone: int, routers: bool = True) -> None:
        """Cut off the nodes of a zone and, with `routers`, end its routers."""
        for name, node in self.nodes.items():
            if self.zone_of_node[name] == zone:
                node.cut = True
        for place in range(len(self.routers)):
            if routers and self.zone_of[place] == zone:
                self.dead[place] = self.now
        if self.owner in self.dead:
            self.lose_owner()

    def lose_owner(self) -> None:
        """Let the owner's lease end; a live router takes over afterwards."""
        self.owner_until = min(self.owner_until, self.now + LEASE_NS)
        self.schedule(TAKEOVER_NS, self._next_owner)

    def _next_owner(self) -> None:
        if not self.agents:
            return
        alive = [
            place for place in range(len(self.routers)) if place not in self.dead and place != self.owner
        ]
        self.hand_over(self._links.choice(alive))

    def hand_over(self, to: int) -> None:
        """Make a router the owner of the plans; voters learn its epoch now, the others from its plans."""
        self.owner, self.epoch, self.owner_until = to, self.epoch + 1, 1 << 62
        for voter in range(VOTERS):
            self.fences[voter].admit(TASK_NAME, self.epoch)

    def restore_zone(self, zone: int) -> None:
        """Restore a zone: its nodes are cold and empty, and its routers restart without state."""
        for name, node in self.nodes.items():
            if self.zone_of_node[name] == zone:
                node.cut, node.slow, node.free_at = False, 1 / COLD_SHARE, self.now
                node.stored.clear()
                self.publish_change(self.server_entry(name, started=self.now))
        for step in range(1, 11):
            self.schedule(COLD_TIME * step // 10, lambda step=step: self._set_warmth(zone, step / 10))  # type: ignore[misc]
        for place in [place for place in self.dead if self.zone_of[place] == zone]:
            del self.dead[place]
            if self.form == "plan":
                self.agents[place] = self._agent(place)
            self.followed_plans[place] = None
            self.routers[place] = Router(self.routers[place].settings, place)
        entries = (*(self.server_entry(name) for name in self.nodes), Server(ORIGIN, kind=ORIGIN))
        for place in range(len(self.routers)):
            if self.zone_of[place] == zone:
                self.deliver(place, ServersChanged(ListKind.FULL, entries))

    def _set_warmth(self, zone: int, part: float) -> None:
        for name, node in self.nodes.items():
            if self.zone_of_node[name] == zone:
                node.slow = 1 / (COLD_SHARE + (1 - COLD_SHARE) * part)

    def busiest_share(self, second: int) -> float:
        """Return the load of the busiest node in a second, as a share of its capacity of 100 requests."""
        return max(self.node_work.get(second, Counter({"": 0})).values()) / 100
