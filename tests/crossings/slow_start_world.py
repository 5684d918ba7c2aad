"""Many routers, their servers and an origin in virtual time: what cold servers get of all routers together.

Each router is the decision module as it runs; a server works through what it is sent in turn, a cold one at
the part of its speed that the settings allow to be counted on.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from itertools import accumulate

from saltport.decisions import (
    AttemptEnded,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    Router,
    Send,
    Server,
    ServersChanged,
    SetTimer,
    Settings,
    TimerFired,
)
from tests.decisions.helpers import MS, ORIGIN, S

WORK = 50 * MS
QUEUE = 24
KEYS = 2000


class Node:
    """A server of one core."""

    def __init__(self, started: int, now: int, bad: str) -> None:
        self.started, self.bad = started, bad
        self.free_at = now
        self.keys: set[str] = set()
        self.got: list[int] = []
        """When reads came."""


class World:
    """Plays clients, servers and the origin, and counts."""

    def __init__(self, settings: Settings, routers: int, servers: int, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.now = 100 * S
        self.nodes = {f"s{i}": Node(0, self.now, "") for i in range(servers)}
        self.listed = {name: Server(name, zone=f"z{i % 3}") for i, name in enumerate(self.nodes)}
        self.routers = [self._router(seed + i) for i in range(routers)]
        self.weights = list(accumulate((8 + i) ** -1.0 for i in range(KEYS)))
        self.queue: list[tuple[int, int, int, Event]] = []
        self.count = 0
        for node in self.nodes.values():
            node.keys.update(f"k{i}" for i in range(KEYS))

    def _router(self, seed: int) -> Router:
        router = Router(self.settings, seed)
        router.handle(ServersChanged(ListKind.CACHED, (*self.listed.values(), ORIGIN)), self.now)
        return router

    def restart_routers(self) -> None:
        """Each begins anew, with nothing learnt and nothing open."""
        self.routers = [self._router(self.rng.randrange(1 << 30)) for _ in self.routers]
        self.queue.clear()

    def restart(self, names: list[str]) -> None:
        """These servers start anew, empty and cold, and all routers are told at once."""
        for name in names:
            self.nodes[name] = Node(self.now, self.now, "")
            zone = self.listed[name].zone
            self.listed[name] = Server(name, zone=zone, started=self.now)
        news = ServersChanged(ListKind.DELTA, tuple(self.listed[name] for name in names))
        for place in range(len(self.routers)):
            self._tell(place, news)

    def warmth(self, node: Node, at: int) -> float:
        if not node.started or at >= node.started + self.settings.cold_time:
            return 1.0
        cold = self.settings.cold_share
        return cold + (1 - cold) * (at - node.started) / self.settings.cold_time

    def play(self, load: float, seconds: float) -> None:
        """Offer this part of what all servers can do when warm."""
        end = self.now + int(seconds * S)
        rate = load * len(self.nodes) * S / WORK
        arrival = self.now
        while True:
            arrival += int(self.rng.expovariate(rate) * S)
            while self.queue and self.queue[0][0] <= min(arrival, end):
                self.now, _, place, event = heapq.heappop(self.queue)
                self._tell(place, event)
            if arrival >= end:
                self.now = end
                return
            self.now = arrival
            key = f"k{bisect_left(self.weights, self.rng.random() * self.weights[-1])}"
            self.count += 1
            asked = RequestArrived(f"r{self.count}", "read", arrival + S, "a", key)
            self._tell(self.rng.randrange(len(self.routers)), asked)

    def _tell(self, place: int, event: Event) -> None:
        for action in self.routers[place].handle(event, self.now):
            if isinstance(action, Send):
                self._send(place, action)
            elif isinstance(action, SetTimer):
                self._later(self.now + max(action.delay, 1), place, TimerFired(action.token))

    def _later(self, at: int, place: int, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, place, event))

    def _send(self, place: int, send: Send) -> None:
        request = self.routers[place].requests[send.request]
        took, outcome = self._serve(send.server, request.key or "")
        patience = min(send.timeout or S, request.deadline - self.now)
        if took >= patience:
            took, outcome = patience, Outcome.TIMEOUT
        closed = outcome is Outcome.OK or self.now + took >= request.deadline
        ended = AttemptEnded(
            send.request, request.sends - 1, send.server, outcome, closed, took,
        )  # fmt: skip
        self._later(self.now + took, place, ended)

    def _serve(self, name: str, key: str) -> tuple[int, Outcome]:
        if name == ORIGIN.id:
            return int(self.rng.uniform(0.5, 1.5) * 80 * MS), Outcome.OK
        node = self.nodes[name]
        node.got.append(self.now)
        if node.bad == "hangs":
            return 10 * S, Outcome.OK
        work = int(WORK * self.rng.uniform(0.5, 1.5) / self.warmth(node, self.now))
        if node.bad == "full" or node.free_at - self.now > QUEUE * work:
            return MS, Outcome.FULL
        node.free_at = max(node.free_at, self.now) + work
        known = key in node.keys
        node.keys.add(key)  # what the origin answers is stored where it was missed
        return node.free_at - self.now, Outcome.OK if known else Outcome.MISS

    def worst(self, name: str, multiple: float, window: int) -> float:
        """What the fullest window of a cold server held, as a part of what it may hold there."""
        node, worst = self.nodes[name], 0.0
        first = 0
        for last, at in enumerate(node.got):
            while node.got[first] <= at - window:
                first += 1
            if node.got[first] >= node.started + self.settings.cold_time:
                break
            may = multiple * self.warmth(node, node.got[first]) * window / WORK
            worst = max(worst, (last - first + 1) / (may + 2 * math.sqrt(may) + 2))
        return worst
