"""Measures failover plans at fleet size: `python -m benchmarks.scale.failover [options]`.

The real agents of all routers run in virtual time without a data path. Each reports the reads that a router
of the fleet would see, and one owns the plans. Measured are an idle fleet, the silence of one zone, and the
sizes of a plan and a report up to more zones than fit in a datagram. Virtual time advances in steps of 10 ms;
each message arrives in the next step.
"""

from __future__ import annotations

import gc
import random
import time
from dataclasses import dataclass, fields
from typing import Any

import click

from benchmarks.scale import fit
from benchmarks.scale.hollow import MESSAGE_OVERHEAD_BYTES
from saltport.decisions.interface import NS_PER_S
from saltport.decisions.topology import MAX_ZONES, Evidence, Topology, ZoneCount
from saltport.failover.agent import Agent
from saltport.failover.messages import Message, Plan, Report, ZoneReport, encode
from saltport.failover.settings import FailoverSettings
from saltport.peers.link import MAX_PAYLOAD_BYTES

STEP_NS, STEPS_PER_TICK = NS_PER_S // 100, 10  # step of virtual time, and steps between two ticks of an agent
READS_PER_REPORT = 297  # reads of a router in one report interval, at 594 a second
READS_PER_OTHER_ZONE = 20  # of these, reads in each other zone
SETTLE_S, IDLE_S, SILENT_S = 6, 4, 12
SILENT_ZONE = 1


@dataclass(frozen=True, slots=True)
class PlanCosts:
    """Costs per second of the plans' owner and of a follower, bytes in both directions; times in seconds."""

    routers: int
    owner_bytes_per_s: float
    owner_datagrams_per_s: float
    owner_cpu_percent: float
    follower_bytes_per_s: float
    follower_cpu_percent: float
    decided: float
    """From the silence of a zone to the first plan that avoids it."""
    half: float
    """From that plan until half of the routers follow it or a later one."""
    most: float
    """The same for 99% of the routers."""
    all: float


@dataclass(frozen=True, slots=True)
class MessageSizes:
    """Sizes of a plan and a report in bytes, and the largest size that fits in a datagram."""

    zones: int
    plan: int
    report: int
    most: int = MAX_PAYLOAD_BYTES


class MeteredAgent(Agent):
    """An agent that counts its messages, their bytes on the wire and its CPU time."""

    bytes = datagrams = cpu_ns = 0

    def count_message(self, message: Message) -> None:
        """Count a message that was sent or received."""
        self.datagrams += 1
        self.bytes += fit.udp_bytes(len(encode(message)) + 1 + MESSAGE_OVERHEAD_BYTES, 1)

    def tick(self, live_routers: Any, now: int) -> None:
        """Run the periodic work."""
        started_at = time.thread_time_ns()
        super().tick(live_routers, now)
        self.cpu_ns += time.thread_time_ns() - started_at

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Count and handle a message."""
        self.count_message(message)
        started_at = time.thread_time_ns()
        super().receive(sender, message, now)
        self.cpu_ns += time.thread_time_ns() - started_at


class Fleet:
    """All agents in virtual time; the first one owns the plans."""

    def __init__(self, routers: int, loss: float = 0.0, zones: int = MAX_ZONES) -> None:
        self.rng, self.loss, self.now = random.Random(1), loss, NS_PER_S
        names = tuple(f"z{zone}" for zone in range(zones))
        settings = FailoverSettings()
        self.names = [f"r{place}" for place in range(routers)]
        self.agents = [
            MeteredAgent(
                name, Topology(names, names[place % zones], names), settings, random.Random(place), self.now,
                (lambda _: 1) if place == 0 else (lambda _: None),
            )
            for place, name in enumerate(self.names)
        ]  # fmt: skip
        self.places = {name: place for place, name in enumerate(self.names)}
        self.is_zone_silent = False
        self._in_transit: list[tuple[str, int, Message]] = []
        self._step = 0

    def _evidence(self, zone: int, zones: int) -> Evidence:
        counts = [ZoneCount(20, 20, READS_PER_OTHER_ZONE) for _ in range(zones)]
        counts[zone].answered = READS_PER_REPORT - READS_PER_OTHER_ZONE * (zones - 1)
        if self.is_zone_silent:
            silent_count = counts[SILENT_ZONE]
            silent_count.answered, silent_count.silent = 0, silent_count.answered
        return Evidence(counts, [[0, 0] for _ in range(zones)], READS_PER_REPORT)

    def run(self, seconds: float) -> None:
        """Run for this many seconds of virtual time."""
        for _ in range(int(seconds * NS_PER_S / STEP_NS)):
            self.now += STEP_NS
            self._step += 1
            arrived, self._in_transit = self._in_transit, []
            for sender, to, message in arrived:
                self.agents[to].receive(sender, message, self.now)
                self._send_messages(to)
            for place in range(self._step % STEPS_PER_TICK, len(self.agents), STEPS_PER_TICK):
                agent = self.agents[place]
                agent.tick(self.names, self.now)
                if agent.report_due(self.now):
                    started_at = time.thread_time_ns()
                    agent.report(self._evidence(agent.topology.own_zone, len(agent.topology.zones)), self.now)
                    agent.cpu_ns += time.thread_time_ns() - started_at
                self._send_messages(place)

    def _send_messages(self, place: int) -> None:
        agent = self.agents[place]
        for to, message in agent.take_messages():
            agent.count_message(message)
            if not self.loss or self.rng.random() >= self.loss:
                self._in_transit.append((agent.name, self.places[to], message))

    def count_followers(self, version: tuple[int, int]) -> int:
        """Return the number of agents that have this version of the plan or a later one."""
        return sum(a.follower.plan is not None and a.follower.plan.version >= version for a in self.agents)


def measure_plans(routers: int, loss: float = 0.0) -> PlanCosts:
    """Measure a fleet of this size."""
    fleet = Fleet(routers, loss)
    gc.freeze()
    fleet.run(SETTLE_S)
    counts_by_agent = [(agent.bytes, agent.datagrams, agent.cpu_ns) for agent in fleet.agents]
    fleet.run(IDLE_S)
    rates = [
        [
            (after - earlier) / IDLE_S
            for after, earlier in zip(
                (current.bytes, current.datagrams, current.cpu_ns), counts_before, strict=True
            )
        ]
        for current, counts_before in zip(fleet.agents, counts_by_agent, strict=True)
    ]
    owner, others = rates[0], rates[1:]
    initial_plan = fleet.agents[0].follower.plan
    assert initial_plan is not None
    started_at, fleet.is_zone_silent = fleet.now, True
    decided_at, follow_delays = 0, list[float]()
    while fleet.now - started_at < SILENT_S * NS_PER_S and len(follow_delays) < routers:
        fleet.run(0.01)
        plan = fleet.agents[0].follower.plan
        assert plan is not None
        if not decided_at and plan.version > initial_plan.version and plan.bad != initial_plan.bad:
            decided_at, version = fleet.now, plan.version
        if decided_at:
            follow_delays += [(fleet.now - decided_at) / NS_PER_S] * (
                fleet.count_followers(version) - len(follow_delays)
            )
    missing = [float("inf")] * (routers - len(follow_delays))
    half, most, longest = (fit.quantile(follow_delays + missing, share) for share in (0.5, 0.99, 1.0))
    return PlanCosts(
        routers,
        owner[0],
        owner[1],
        owner[2] / 1e7,
        sum(other[0] for other in others) / len(others),
        sum(other[2] for other in others) / len(others) / 1e7,
        (decided_at - started_at) / NS_PER_S,
        half,
        most,
        longest,
    )


def message_sizes(zones: int) -> MessageSizes:
    """Return the sizes of a plan and a report for this many zones in a long-running fleet."""
    table = bytes(250 if place % (zones + 1) == 0 else 0 for place in range(zones * zones))
    plan = Plan(
        1 << 31, 200_000, 400, "r1599", 5_000, 5_000, 10_000, table, table, bytes(zones), bytes(zones),
        bytes(zones), 0, False, bytes(min(zones, 11)), 0, (1 << zones) - 1, "worse",
    )  # fmt: skip
    row = ZoneReport(20, 20, READS_PER_REPORT, 0, 0, 3, 40)
    report = Report(
        1 << 31, 1, 200_000, 400, 500, READS_PER_REPORT, 0, (row,) * zones, ((40, 0),) * min(zones, 11)
    )
    return MessageSizes(zones, len(encode(plan)) + 1, len(encode(report)) + 1)


@click.command()
@click.option("--size", "routers", type=int, multiple=True, default=fit.FLEET_SIZES, show_default=True)
def main(routers: tuple[int, ...]) -> None:
    """Run the measurement from the command line."""
    click.echo(f"lengths\n{fit.format_table([message_sizes(zones) for zones in (1, 3, 6, 12, 24, 36)])}")
    for loss in (0.0, 0.05, 0.3):
        rows = [fit.run_isolated(measure_plans, size, loss) for size in routers]
        names = [field.name for field in fields(PlanCosts)[1:6]]
        click.echo(
            f"plans, {loss:.0%} loss\n{fit.format_table(rows)}\n{fit.format_fits(rows, 'routers', names)}"
        )


if __name__ == "__main__":
    main()
