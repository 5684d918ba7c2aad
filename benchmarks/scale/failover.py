"""Failover's plans at fleet size: `python -m benchmarks.scale.failover [options]`.

All routers' real agents in virtual time, without a data path: each reports the reads that a router of the
fleet would see, one owns the plans. In calm, and as one zone falls silent; and how long a plan and a report
are at more zones than a datagram holds. Steps of 10 ms, in which each message arrives.
"""

from __future__ import annotations

import gc
import random
import time
from dataclasses import dataclass, fields
from typing import Any

import click

from benchmarks.scale import fit
from benchmarks.scale.hollow import CARRIED
from saltport.decisions.interface import NS_PER_S
from saltport.decisions.topology import MAX_ZONES, Evidence, Topology, ZoneCount
from saltport.failover.agent import Agent
from saltport.failover.messages import Message, Plan, Report, ZoneReport, encode
from saltport.failover.settings import FailoverSettings
from saltport.peers.link import MAX_PAYLOAD_BYTES

STEP, TURN = NS_PER_S // 100, 10  # of a world, and a turn of an agent in steps
READS = 297  # of a router in the time of a report: 594 a second
ABROAD = 20  # and of them in another zone
SETTLE_S, CALM_S, SILENT_S = 6, 4, 12
SILENT_ZONE = 1


@dataclass(frozen=True, slots=True)
class Plans:
    """What the owner of the plans and a follower cost a second, bytes both ways; times of a plan, seconds."""

    routers: int
    owner_bytes_per_s: float
    owner_datagrams_per_s: float
    owner_cpu_percent: float
    follower_bytes_per_s: float
    follower_cpu_percent: float
    decided: float
    """From a zone's silence to the first plan that avoids it."""
    half: float
    """From that plan until so many follow it, or a later one."""
    most: float
    all: float


@dataclass(frozen=True, slots=True)
class Sizes:
    """Of one message, bytes, against what a carried datagram holds."""

    zones: int
    plan: int
    report: int
    most: int = MAX_PAYLOAD_BYTES


class CountedAgent(Agent):
    """Adds up its messages and its processor time."""

    bytes = datagrams = spent = 0

    def count(self, message: Message) -> None:
        """It was sent, or came."""
        self.datagrams += 1
        self.bytes += fit.udp_bytes(len(encode(message)) + 1 + CARRIED, 1)

    def tick(self, live_routers: Any, now: int) -> None:
        """Time has passed."""
        begun = time.thread_time_ns()
        super().tick(live_routers, now)
        self.spent += time.thread_time_ns() - begun

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Take a message."""
        self.count(message)
        begun = time.thread_time_ns()
        super().receive(sender, message, now)
        self.spent += time.thread_time_ns() - begun


class Fleet:
    """All agents; the first one owns the plans."""

    def __init__(self, routers: int, loss: float = 0.0, zones: int = MAX_ZONES) -> None:
        self.rng, self.loss, self.now = random.Random(1), loss, NS_PER_S
        names = tuple(f"z{zone}" for zone in range(zones))
        settings = FailoverSettings()
        self.names = [f"r{place}" for place in range(routers)]
        self.agents = [
            CountedAgent(
                name, Topology(names, names[place % zones], names), settings, random.Random(place), self.now,
                (lambda _: 1) if place == 0 else (lambda _: None),
            )
            for place, name in enumerate(self.names)
        ]  # fmt: skip
        self.places = {name: place for place, name in enumerate(self.names)}
        self.silent = False
        self._arriving: list[tuple[str, int, Message]] = []
        self._step = 0

    def _found(self, zone: int, zones: int) -> Evidence:
        counts = [ZoneCount(20, 20, ABROAD) for _ in range(zones)]
        counts[zone].answered = READS - ABROAD * (zones - 1)
        if self.silent:
            bad = counts[SILENT_ZONE]
            bad.answered, bad.silent = 0, bad.answered
        return Evidence(counts, [[0, 0] for _ in range(zones)], READS)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(int(seconds * NS_PER_S / STEP)):
            self.now += STEP
            self._step += 1
            arrived, self._arriving = self._arriving, []
            for sender, to, message in arrived:
                self.agents[to].receive(sender, message, self.now)
                self._carry(to)
            for place in range(self._step % TURN, len(self.agents), TURN):
                agent = self.agents[place]
                agent.tick(self.names, self.now)
                if agent.report_due(self.now):
                    begun = time.thread_time_ns()
                    agent.report(self._found(agent.topology.own_zone, len(agent.topology.zones)), self.now)
                    agent.spent += time.thread_time_ns() - begun
                self._carry(place)

    def _carry(self, place: int) -> None:
        agent = self.agents[place]
        for to, message in agent.take_messages():
            agent.count(message)
            if not self.loss or self.rng.random() >= self.loss:
                self._arriving.append((agent.name, self.places[to], message))

    def follow(self, age: tuple[int, int]) -> int:
        """How many have this plan, or a later one."""
        return sum(a.follower.plan is not None and a.follower.plan.version >= age for a in self.agents)


def plans(routers: int, loss: float = 0.0) -> Plans:
    """One size."""
    fleet = Fleet(routers, loss)
    gc.freeze()
    fleet.run(SETTLE_S)
    before = [(agent.bytes, agent.datagrams, agent.spent) for agent in fleet.agents]
    fleet.run(CALM_S)
    told = [
        [(now - then) / CALM_S for now, then in zip((a.bytes, a.datagrams, a.spent), held, strict=True)]
        for a, held in zip(fleet.agents, before, strict=True)
    ]
    owner, others = told[0], told[1:]
    calm = fleet.agents[0].follower.plan
    assert calm is not None
    begun, fleet.silent = fleet.now, True
    decided, known = 0, list[float]()
    while fleet.now - begun < SILENT_S * NS_PER_S and len(known) < routers:
        fleet.run(0.01)
        plan = fleet.agents[0].follower.plan
        assert plan is not None
        if not decided and plan.version > calm.version and plan.bad != calm.bad:
            decided, age = fleet.now, plan.version
        if decided:
            known += [(fleet.now - decided) / NS_PER_S] * (fleet.follow(age) - len(known))
    late = [float("inf")] * (routers - len(known))
    half, most, longest = (fit.share_of(known + late, share) for share in (0.5, 0.99, 1.0))
    return Plans(
        routers, owner[0], owner[1], owner[2] / 1e7, sum(o[0] for o in others) / len(others),
        sum(o[2] for o in others) / len(others) / 1e7, (decided - begun) / NS_PER_S, half, most, longest,
    )  # fmt: skip


def sizes(zones: int) -> Sizes:
    """A plan and a report for so many zones, with the numbers of a fleet that has run for a while."""
    table = bytes(250 if place % (zones + 1) == 0 else 0 for place in range(zones * zones))
    plan = Plan(
        1 << 31, 200_000, 400, "r1599", 5_000, 5_000, 10_000, table, table, bytes(zones), bytes(zones),
        bytes(zones), 0, False, bytes(min(zones, 11)), 0, (1 << zones) - 1, "worse",
    )  # fmt: skip
    row = ZoneReport(20, 20, READS, 0, 0, 3, 40)
    report = Report(1 << 31, 1, 200_000, 400, 500, READS, 0, (row,) * zones, ((40, 0),) * min(zones, 11))
    return Sizes(zones, len(encode(plan)) + 1, len(encode(report)) + 1)


@click.command()
@click.option("--size", "routers", type=int, multiple=True, default=fit.SIZES, show_default=True)
def main(routers: tuple[int, ...]) -> None:
    """Measure."""
    click.echo(f"lengths\n{fit.table([sizes(zones) for zones in (1, 3, 6, 12, 24, 36)])}")
    for loss in (0.0, 0.05, 0.3):
        rows = [fit.apart(plans, size, loss) for size in routers]
        names = [field.name for field in fields(Plans)[1:6]]
        click.echo(f"plans, {loss:.0%} loss\n{fit.table(rows)}\n{fit.fits(rows, 'routers', names)}")


if __name__ == "__main__":
    main()
