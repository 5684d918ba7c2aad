"""Membership in virtual time: agents over links with loss and partitions, with pauses, deaths and restarts.

The same seed gives the same run.
"""

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

DELAY_RANGE_NS = (NS_PER_MS, 6 * NS_PER_MS)

Cut = Callable[[int, int, int], bool]
"""Whether the link from the first place to the second is cut at this time."""


class Seen(NamedTuple):
    """A membership event, with its time and the router that reported it."""

    at: int
    by: str
    event: MembershipEvent


class World:
    """All agents and the links between them, driven by virtual time."""

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
        self._event_number = 0

    # Actions

    def start(self, place: int, clock: int = 1_000, name: str | None = None) -> Agent:
        """Start an agent at this place and return it; `clock` is its start number."""
        agent = self._agent(
            Identity(name or f"r{place}", clock, place, ZONES[place % len(ZONES)]), self.places,
            self.settings, random.Random(self.rng.getrandbits(32)), self.now,
        )  # fmt: skip
        self.agents[place] = agent
        self.paused.pop(place, None)
        self._push(self.now + self.rng.randrange(100 * NS_PER_MS), place, agent_to_tick=agent)
        return agent

    def start_all(self, within: int = 300 * NS_PER_MS) -> None:
        """Start the agents of all places in random order, spread over `within` nanoseconds."""
        started_at = self.now
        for place in sorted(self.places, key=lambda _: self.rng.random()):
            self.run(until=started_at + self.rng.randrange(within) // len(self.places))
            self.start(place)

    def kill(self, place: int) -> None:
        """End a process without notice."""
        del self.agents[place]

    def leave(self, place: int) -> None:
        """Let a process announce that it leaves, and end it."""
        agent = self.agents[place]
        for _ in range(2):
            agent.leave(self.now)
            self._send_packets(place)
        del self.agents[place]

    def pause(self, place: int, length: int) -> None:
        """Pause a process for `length` nanoseconds; packets that arrive meanwhile are delivered later."""
        self.paused[place] = self.now + length

    # Time

    def _push(
        self,
        at: int,
        place: int,
        source: int = -1,
        packet: Packet | None = None,
        agent_to_tick: Agent | None = None,
    ) -> None:
        """Schedule the arrival of a packet, or the next tick of an agent if it still runs by then."""
        self._event_number += 1
        heapq.heappush(self._events, (at, self._event_number, place, source, packet, agent_to_tick))

    def _send_packets(self, place: int) -> None:
        agent, rng, now = self.agents[place], self.rng, self.now
        for to, packet in agent.take_packets():
            lost = not isinstance(to, int) or rng.random() < self.loss
            if isinstance(to, int) and not lost and not any(cut(place, to, now) for cut in self.cuts):
                self._push(now + rng.randrange(*DELAY_RANGE_NS), to, place, packet)
        for event in agent.take_events():
            self.seen.append(Seen(now, agent.name, event))

    def run(self, seconds: float = 0.0, until: int | None = None) -> None:
        """Run for this many seconds, or until this time."""
        end = self.now + int(seconds * NS_PER_S) if until is None else until
        events = self._events
        while events and events[0][0] <= end:
            at, _, place, source, packet, agent_to_tick = heapq.heappop(events)
            self.now = max(at, self.now)
            agent = self.agents.get(place)
            if agent is None or (packet is None and agent_to_tick is not agent):
                continue
            resumes_at = self.paused.get(place, 0)
            if resumes_at > self.now:
                self._push(resumes_at, place, source, packet, agent_to_tick)
                continue
            if packet is None:
                agent.tick(self.now)
                self._push(agent.due, place, agent_to_tick=agent)
            else:
                agent.receive(packet, source, self.now)
            self._send_packets(place)
        self.now = max(end, self.now)

    # Observations

    def events_of_kind(self, kind: str, since: int = 0) -> list[Seen]:
        """Return the observed events of this kind since this time."""
        return [seen for seen in self.seen if seen.event.kind == kind and seen.at >= since]

    def views_agree(self) -> bool:
        """Whether the view of each running agent lists exactly the running agents."""
        live = {agent.name for agent in self.agents.values()}
        return all({record.name for record in agent.members.live()} == live for agent in self.agents.values())

    def until_agreed(self, seconds: float) -> float:
        """Run until all views agree; return the seconds that it took, infinite if they do not in time."""
        started_at = self.now
        while not self.views_agree():
            if self.now - started_at >= seconds * NS_PER_S:
                return math.inf
            self.run(0.05)
        return (self.now - started_at) / NS_PER_S

    @property
    def sent(self) -> int:
        """Return the payload bytes that all running agents have sent."""
        return sum(agent.send_queue.bytes for agent in self.agents.values())

    def bytes_per_s(self, seconds: float) -> float:
        """Run for this many seconds; return the bytes per second that an agent sends, as a mean over all."""
        before = self.sent
        self.run(seconds)
        return (self.sent - before) / seconds / max(len(self.agents), 1)
