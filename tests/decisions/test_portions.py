"""What a server keeps of its reads, by what it reports: alone, and with many routers that each see little."""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from typing import Any

import pytest

from saltport.decisions import AttemptEnded, Outcome, RequestClass, Router, Send
from saltport.decisions.health import Node
from saltport.decisions.limits import PROMPT
from saltport.decisions.portions import LEAST, SETTLES, Portions, keeps
from tests.decisions.helpers import MS, S, fleet, request, settings, started

AIM = 300 * MS
FIELDS = ("latency_ms", "queue")
SLOTS = 8192


def nodes(number: int) -> list[Node]:
    return [Node(entry, False) for entry in fleet(number)]


def tell(portions: Portions, held: list[Node], times: list[float], seconds: int, begin: int = 0) -> int:
    """Each node reports its time in milliseconds once a second, in an answer sent after the last change."""
    now = begin
    for _ in range(seconds):
        now += SETTLES + MS
        for node, time in zip(held, times, strict=True):
            portions.learn(node, (time, 0.0), AIM, now, now)
    return now


def test_server_that_reports_more_time_than_the_others_keeps_less_and_gets_it_back() -> None:
    portions, held = Portions(settings(load_fields=FIELDS)), nodes(10)
    now = tell(portions, held, [600.0, *[60.0] * 9], 8)
    assert held[0].portion < 0.6
    assert [node.portion for node in held[1:]] == [1.0] * 9
    tell(portions, held, [60.0] * 10, 10, now)
    assert held[0].portion == 1.0


def test_all_slow_at_once_is_load_and_no_servers_own() -> None:
    portions, held = Portions(settings(load_fields=FIELDS)), nodes(10)
    tell(portions, held, [900.0] * 10, 60)
    assert min(node.portion for node in held) > 0.99


def test_what_is_prompt_costs_nothing_however_much_quicker_the_others_are() -> None:
    portions, held = Portions(settings(load_fields=FIELDS)), nodes(10)
    tell(portions, held, [PROMPT * AIM / MS - 1, *[2.0] * 9], 60)
    assert held[0].portion == 1.0


def test_some_reads_go_on_finding_out_how_it_is() -> None:
    portions, held = Portions(settings(load_fields=FIELDS)), nodes(10)
    tell(portions, held, [60_000.0, *[60.0] * 9], 200)
    assert held[0].portion == LEAST
    kept = sum(keeps(held[0], slot) for slot in range(SLOTS))
    assert LEAST * SLOTS * 0.7 < kept < LEAST * SLOTS * 1.4


def test_answers_that_were_out_at_a_change_are_one_sign_with_it() -> None:
    portions, held = Portions(settings(load_fields=FIELDS)), nodes(2)
    tell(portions, held, [60.0, 60.0], 40)
    portions.learn(held[0], (600.0, 0.0), AIM, 50 * S, 50 * S)
    first = held[0].portion
    for late in range(50):
        portions.learn(held[0], (600.0, 0.0), AIM, 50 * S, 50 * S + late * MS)
    assert held[0].portion == first < 1.0


@pytest.mark.parametrize("fields", [(), ("queue",), ("inflight", "util")])
def test_reports_that_tell_no_time_decide_nothing(fields: tuple[str, ...]) -> None:
    portions, held = Portions(settings(load_fields=fields)), nodes(2)
    tell(portions, held, [9_000.0, 1.0], 20)
    assert held[0].portion == 1.0


def test_routers_leave_out_the_same_reads_whatever_else_the_server_holds() -> None:
    one, other = nodes(1)[0], nodes(1)[0]
    one.portion, other.portion = 0.6, 0.5
    kept_by_one = {slot for slot in range(SLOTS) if keeps(one, slot)}
    kept_by_other = {slot for slot in range(SLOTS) if keeps(other, slot)}
    assert kept_by_other < kept_by_one
    assert 0.55 * SLOTS < len(kept_by_one) < 0.65 * SLOTS


class World:
    """Servers of one core with a bounded queue, the first three times as slow; every read is a hit."""

    WORK, SLOW, QUEUE = 50 * MS, 150 * MS, 10

    def __init__(self, routers: int, servers: int) -> None:
        self.rng = random.Random(11)
        held = fleet(servers)
        config = settings(
            classes=(RequestClass("read", aim=AIM, deadline=4 * S),), routers=routers, load_fields=FIELDS
        )
        self.routers = [started(config, held, seed=seed) for seed in range(routers)]
        self.free = {entry.id: 0 for entry in held}
        self.waiting: dict[str, deque[int]] = {entry.id: deque() for entry in held}
        self.told = {entry.id: float(self.WORK) for entry in held}
        self.slow = held[0].id
        self.sent: list[tuple[int, str]] = []
        self.in_time = Counter[bool]()
        self._heap: list[tuple[int, int, Router, Any]] = []
        self._order = count()

    def _act(self, router: Router, actions: list[Any], now: int) -> None:
        for action in actions:
            if not isinstance(action, Send):
                continue
            server = action.server
            self.sent.append((now, server))
            queue = self.waiting[server]
            while queue and queue[0] <= now:
                queue.popleft()
            event = AttemptEnded(action.request, 0, server, Outcome.FULL, False, MS)
            if len(queue) < self.QUEUE:
                work = self.rng.uniform(0.7, 1.3) * (self.SLOW if server == self.slow else self.WORK)
                self.free[server] = end = int(max(self.free[server], now) + work)
                queue.append(end)
                self.told[server] += (end - now - self.told[server]) / 8
                load = (self.told[server] / MS, float(len(queue)))
                event = replace(event, outcome=Outcome.OK, closed=True, latency=end - now, load=load)
            heappush(self._heap, (now + event.latency, next(self._order), router, event))

    def run(self, seconds: int, rate: float, keys: int = 5_000) -> None:
        """So many reads a second, each at any router and of any key."""
        now = 0
        while now < seconds * S:
            now += int(self.rng.expovariate(rate) * S)
            while self._heap and self._heap[0][0] <= now:
                at, _, router, event = heappop(self._heap)
                self._act(router, router.handle(event, at), at)
                self.in_time[event.outcome is Outcome.OK and event.latency <= AIM] += 1
            router = self.rng.choice(self.routers)
            event = request(
                f"r{next(self._order)}", now, deadline=now + 4 * S, key=f"k{self.rng.randrange(keys)}"
            )
            self._act(router, router.handle(event, now), now)


@pytest.mark.parametrize("routers", [1, 4, 40])
def test_routers_together_send_a_slow_server_no_more_than_it_can_do(routers: int) -> None:
    """Ten servers at half of their capacity; the slow one's even part is half as much again as it can do."""
    world = World(routers, 10)
    world.run(90, rate=0.5 * 10 * S / World.WORK)
    later = [server for at, server in world.sent if at >= 45 * S]
    assert later.count(world.slow) / 45 <= S / World.SLOW
    assert world.in_time[True] > 0.85 * sum(world.in_time.values())
