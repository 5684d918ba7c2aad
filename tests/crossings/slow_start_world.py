"""Simulates many routers, their servers and an origin in virtual time, to measure the load of cold servers.

Each router runs the real decision module. A server processes requests one after another; a cold server works
at the share of its speed that the settings state.
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
    """A server with one core."""

    def __init__(self, started: int, now: int, fault: str) -> None:
        self.started, self.fault = started, fault
        self.free_at = now
        self.keys: set[str] = set()
        self.arrivals: list[int] = []
        """Arrival times of reads."""


class World:
    """Simulates clients, servers and the origin."""

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
        """Restart all routers, without learned state and open requests."""
        self.routers = [self._router(self.rng.randrange(1 << 30)) for _ in self.routers]
        self.queue.clear()

    def restart(self, names: list[str]) -> None:
        """Restart these servers empty and cold; all routers receive the change at once."""
        for name in names:
            self.nodes[name] = Node(self.now, self.now, "")
            zone = self.listed[name].zone
            self.listed[name] = Server(name, zone=zone, started=self.now)
        change = ServersChanged(ListKind.DELTA, tuple(self.listed[name] for name in names))
        for index in range(len(self.routers)):
            self._deliver(index, change)

    def warmth(self, node: Node, at: int) -> float:
        """Return the share of its full speed at which a server works at this time."""
        if not node.started or at >= node.started + self.settings.cold_time:
            return 1.0
        cold = self.settings.cold_share
        return cold + (1 - cold) * (at - node.started) / self.settings.cold_time

    def run(self, load: float, seconds: float) -> None:
        """Offer this share of the capacity of all warm servers for some seconds."""
        end = self.now + int(seconds * S)
        rate = load * len(self.nodes) * S / WORK
        arrival = self.now
        while True:
            arrival += int(self.rng.expovariate(rate) * S)
            while self.queue and self.queue[0][0] <= min(arrival, end):
                self.now, _, index, event = heapq.heappop(self.queue)
                self._deliver(index, event)
            if arrival >= end:
                self.now = end
                return
            self.now = arrival
            key = f"k{bisect_left(self.weights, self.rng.random() * self.weights[-1])}"
            self.count += 1
            arrived = RequestArrived(f"r{self.count}", "read", arrival + S, "a", key)
            self._deliver(self.rng.randrange(len(self.routers)), arrived)

    def _deliver(self, index: int, event: Event) -> None:
        for action in self.routers[index].handle(event, self.now):
            if isinstance(action, Send):
                self._send(index, action)
            elif isinstance(action, SetTimer):
                self._schedule(self.now + max(action.delay, 1), index, TimerFired(action.token))

    def _schedule(self, at: int, index: int, event: Event) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, index, event))

    def _send(self, index: int, send: Send) -> None:
        request = self.routers[index].requests[send.request]
        duration, outcome = self._serve(send.server, request.key or "")
        timeout = min(send.timeout or S, request.deadline - self.now)
        if duration >= timeout:
            duration, outcome = timeout, Outcome.TIMEOUT
        closed = outcome is Outcome.OK or self.now + duration >= request.deadline
        ended = AttemptEnded(
            send.request, request.sends - 1, send.server, outcome, closed, duration,
        )  # fmt: skip
        self._schedule(self.now + duration, index, ended)

    def _serve(self, name: str, key: str) -> tuple[int, Outcome]:
        if name == ORIGIN.id:
            return int(self.rng.uniform(0.5, 1.5) * 80 * MS), Outcome.OK
        node = self.nodes[name]
        node.arrivals.append(self.now)
        if node.fault == "hangs":
            return 10 * S, Outcome.OK
        work = int(WORK * self.rng.uniform(0.5, 1.5) / self.warmth(node, self.now))
        if node.fault == "full" or node.free_at - self.now > QUEUE * work:
            return MS, Outcome.FULL
        node.free_at = max(node.free_at, self.now) + work
        is_hit = key in node.keys
        node.keys.add(key)  # after a miss, the origin's answer is stored in the cache
        return node.free_at - self.now, Outcome.OK if is_hit else Outcome.MISS

    def worst(self, name: str, multiple: float, window: int) -> float:
        """Return the highest number of requests in a window of a cold server, as a share of its allowance."""
        node, worst = self.nodes[name], 0.0
        first = 0
        for last, at in enumerate(node.arrivals):
            while node.arrivals[first] <= at - window:
                first += 1
            if node.arrivals[first] >= node.started + self.settings.cold_time:
                break
            allowed = multiple * self.warmth(node, node.arrivals[first]) * window / WORK
            worst = max(worst, (last - first + 1) / (allowed + 2 * math.sqrt(allowed) + 2))
        return worst
