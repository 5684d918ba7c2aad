"""Membership in virtual time: N agents, links that lose and cut, pauses, deaths and restarts, by seed."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from saltport.peers.agent import Agent, MembershipEvent
from saltport.peers.messages import Packet
from saltport.peers.send_queue import Identity
from saltport.peers.settings import NS_PER_MS, NS_PER_S, PeerSettings
from saltport.standins.fleet import ZONES

DELAY = (NS_PER_MS, 6 * NS_PER_MS)

Cut = Callable[[int, int, int], bool]
"""Whether nothing gets from one place to another at this time."""


class Seen(NamedTuple):
    """What a router believed of another, and when."""

    at: int
    by: str
    told: MembershipEvent


class World:
    """All routers and the links between them."""

    def __init__(
        self, count: int, seed: int, settings: PeerSettings | None = None, agent: type[Agent] = Agent
    ) -> None:
        self.settings, self.rng, self.now = settings or PeerSettings(), random.Random(seed), NS_PER_S
        self._agent = agent
        self.loss = 0.0
        self.cuts: list[Cut] = []
        self.agents: dict[int, Agent] = {}
        self.paused: dict[int, int] = {}
        self.seen: list[Seen] = []
        self.places = list(range(count))
        self._events: list[tuple[int, int, int, int, Packet | None, Agent | None]] = []
        self._count = 0

    # Acts

    def start(self, place: int, clock: int = 1_000, name: str | None = None) -> Agent:
        """A process comes up at this place; `clock` gives its start number."""
        agent = self._agent(
            Identity(name or f"r{place}", clock, place, ZONES[place % len(ZONES)]), self.places,
            self.settings, random.Random(self.rng.getrandbits(32)), self.now,
        )  # fmt: skip
        self.agents[place] = agent
        self.paused.pop(place, None)
        self._push(self.now + self.rng.randrange(100 * NS_PER_MS), place, whose=agent)
        return agent

    def start_all(self, within: int = 300 * NS_PER_MS) -> None:
        """All of them, spread over so long."""
        begun = self.now
        for place in sorted(self.places, key=lambda _: self.rng.random()):
            self.run(until=begun + self.rng.randrange(within) // len(self.places))
            self.start(place)

    def kill(self, place: int) -> None:
        """A process ends without a word."""
        del self.agents[place]

    def leave(self, place: int) -> None:
        """A process says that it goes, and ends."""
        agent = self.agents[place]
        for _ in range(2):
            agent.leave(self.now)
            self._carry(place)
        del self.agents[place]

    def pause(self, place: int, length: int) -> None:
        """A process stands still; what comes meanwhile waits for it."""
        self.paused[place] = self.now + length

    # Time

    def _push(
        self, at: int, place: int, source: int = -1, packet: Packet | None = None, whose: Agent | None = None
    ) -> None:
        """A packet arrives at a place; or it is this agent's turn, if it is there still."""
        self._count += 1
        heapq.heappush(self._events, (at, self._count, place, source, packet, whose))

    def _carry(self, place: int) -> None:
        agent, rng, now = self.agents[place], self.rng, self.now
        for to, packet in agent.take_packets():
            lost = not isinstance(to, int) or rng.random() < self.loss
            if isinstance(to, int) and not lost and not any(cut(place, to, now) for cut in self.cuts):
                self._push(now + rng.randrange(*DELAY), to, place, packet)
        for told in agent.take_events():
            self.seen.append(Seen(now, agent.name, told))

    def run(self, seconds: float = 0.0, until: int | None = None) -> None:
        """Let time pass."""
        end = self.now + int(seconds * NS_PER_S) if until is None else until
        events = self._events
        while events and events[0][0] <= end:
            at, _, place, source, packet, whose = heapq.heappop(events)
            self.now = max(at, self.now)
            agent = self.agents.get(place)
            if agent is None or (packet is None and whose is not agent):
                continue
            wakes = self.paused.get(place, 0)
            if wakes > self.now:
                self._push(wakes, place, source, packet, whose)
                continue
            if packet is None:
                agent.tick(self.now)
                self._push(agent.due, place, whose=agent)
            else:
                agent.receive(packet, source, self.now)
            self._carry(place)
        self.now = max(end, self.now)

    # What was seen

    def told(self, what: str, since: int = 0) -> list[Seen]:
        """All that was told of this kind."""
        return [seen for seen in self.seen if seen.told.kind == what and seen.at >= since]

    def agree(self) -> bool:
        """Whether all that run hold the same view: just those that run."""
        live = {agent.name for agent in self.agents.values()}
        return all({record.name for record in agent.members.live()} == live for agent in self.agents.values())

    def until_agreed(self, seconds: float) -> float:
        """Seconds until all agree; infinite if they don't in time."""
        begun = self.now
        while not self.agree():
            if self.now - begun >= seconds * NS_PER_S:
                return math.inf
            self.run(0.05)
        return (self.now - begun) / NS_PER_S

    @property
    def sent(self) -> int:
        """Bytes that all have sent."""
        return sum(agent.send_queue.bytes for agent in self.agents.values())

    def bytes_per_s(self, seconds: float) -> float:
        """Bytes that a router sends, the mean over all while so long passes."""
        before = self.sent
        self.run(seconds)
        return (self.sent - before) / seconds / max(len(self.agents), 1)
