"""Membership at fleet size: `python -m benchmarks.scale.membership WHAT [options]`.

alone    CPU of one hollow router in a process of its own; the others share another process
sync     how long the reply to one full synchronization request blocks the event loop
joins    all members start together, in virtual time: time until all know all, and until gossip of it ends
calm     bytes, datagrams, CPU and memory of an idle member at each size, in virtual time, with fits
sockets  the same for hollow routers on loopback, at smaller sizes, with a join and a death
deaths   time until 50%, 99% and all members know of a death, at 0%, 5% and 30% loss
faults   half of the members stopped for 3 s, a partitioned region, restarts, a site started at once
"""

from __future__ import annotations

import gc
import math
import multiprocessing
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

import click
import msgspec
import uvloop

from benchmarks.peers_world import World
from benchmarks.scale import fit
from benchmarks.scale.hollow import SETTINGS, HollowFleet, SealingAgent, free_addresses, slow_time
from saltport.address import Address
from saltport.lifecycle.process import GC_THRESHOLD
from saltport.peers.agent import Agent
from saltport.peers.members import DIGEST_PARTS
from saltport.peers.messages import Alive, Packet, encode
from saltport.peers.messages import Sync as SyncBody
from saltport.peers.settings import NS_PER_S

SCENARIOS = ("alone", "sync", "joins", "calm", "sockets", "deaths", "faults", "all")
SETTLE_S, IDLE_S = 4, 8
REGIONS, SITES = 11, 81
MAX_FAULT_MEMBERS = 400
"""Largest fleet for which all faults are measured: faults cost far more CPU time than an idle fleet."""
SOCKET_SIZES = ((25, 1.0), (50, 1.0), (100, 2.0), (200, 4.0), (400, 8.0))  # members, clock slowdown factor
_alive_decoder: msgspec.msgpack.Decoder[Alive] = msgspec.msgpack.Decoder(Alive)


@dataclass(frozen=True, slots=True)
class IdleCost:
    """Cost of a member of an idle fleet; bytes on the wire, sent only."""

    members: int
    bytes_sent_per_s: float
    datagrams_sent_per_s: float
    busiest_bytes_per_s: float
    cpu_percent: float
    memory_kb: float


@dataclass(frozen=True, slots=True)
class DeathDetection:
    """Seconds until members know of a death, as means over several deaths, and bytes beyond the idle rate."""

    members: int
    loss: float
    deaths: int
    half: float
    most: float
    """Until 99% of the members know."""
    all: float
    longest: float
    false_deaths: int
    extra_bytes_each: float


@dataclass(frozen=True, slots=True)
class Joined:
    """Cost and times of hollow routers on sockets that start together and then lose one member."""

    members: int
    slowed_by: float
    join_s: float
    join_kb_each: float
    told_s: float
    """From the end of the join until no member has gossip of it left to send."""
    told_bytes_per_s: float
    """Bytes per second that each member sends during that time."""
    bytes_sent_per_s: float
    datagrams_sent_per_s: float
    cpu_percent: float
    memory_kb: float
    death_half: float
    death_most: float
    death_all: float


@dataclass(frozen=True, slots=True)
class FaultCost:
    """Cost of a fault for a member over `seconds`; a death counts once for each member that believes it."""

    what: str
    members: int
    seconds: float
    agreed_s: float
    bytes_per_s: float
    busiest_bytes_per_s: float
    cpu_percent: float
    deaths_believed: int


@dataclass(frozen=True, slots=True)
class SingleProcessCost:
    """Cost of one hollow router that has a process of its own."""

    members: int
    cpu_percent: float
    memory_kb: float
    """Growth of the process since before the router was created."""
    shared_cpu_percent: float
    """CPU of each of the other routers, which share a process."""


@dataclass(frozen=True, slots=True)
class SyncCost:
    """Cost of the reply to a full synchronization request of a router without any records."""

    members: int
    hold_ms: float


@dataclass(frozen=True, slots=True)
class FleetStart:
    """Times and sent bytes per member when all start together and know only each other's addresses."""

    members: int
    agreed_s: float
    agreed_kb: float
    told_s: float
    """From the agreement until no member has gossip left to send."""
    told_bytes_per_s: float


class Fleet(World):
    """Members in virtual time that know each other from the start."""

    def __init__(self, count: int, seed: int = 1) -> None:
        super().__init__(count, seed, SETTINGS, SealingAgent)
        self._ended_bytes: Counter[int] = Counter()
        """Bytes sent by earlier processes, by place."""
        for place in self.places:
            self.start(place)
        records = [encode(agent.me.alive()) for agent in self.agents.values()]
        for agent in self.agents.values():
            for record in records:
                agent.members.merge(_alive_decoder.decode(record), self.now)

    def kill(self, place: int) -> None:
        """End a process without notice; the bytes that it sent stay counted."""
        self._ended_bytes[place] += _sent_bytes(self.agents[place])
        super().kill(place)

    def leave(self, place: int) -> None:
        """Let a process announce that it leaves, and end it."""
        agent = self.agents[place]
        super().leave(place)
        self._ended_bytes[place] += _sent_bytes(agent)

    def sent_bytes(self) -> dict[int, int]:
        """Return the bytes that each place has sent, with IP and UDP headers."""
        return {
            place: self._ended_bytes[place] + (_sent_bytes(self.agents[place]) if place in self.agents else 0)
            for place in self.places
        }

    def members_agree(self) -> bool:
        """Whether all running members have the same records, by digests and counts."""
        views = {(agent.members.digest, len(agent.members)) for agent in self.agents.values()}
        return len(views) == 1 and views.pop()[1] == len(self.agents)

    def run_until(self, condition: Callable[[], bool], seconds: float) -> float:
        """Run until a condition holds; return the seconds that it took, infinite if it does not in time."""
        started_at = self.now
        while not condition():
            if self.now - started_at >= seconds * NS_PER_S:
                return math.inf
            self.run(0.05)
        return (self.now - started_at) / NS_PER_S


def _sent_bytes(agent: Agent) -> int:
    return fit.udp_bytes(agent.send_queue.bytes, agent.send_queue.sent)


def _configure_gc() -> None:
    """Freeze the heap: all members share it, so a full collection is not the cost of one router."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 1_000, 1_000)


def measure_idle(members: int, seed: int = 1, seconds: float = IDLE_S) -> IdleCost:
    """Measure the traffic, CPU time and memory per member of a fleet of this size without any changes."""
    before = fit.resident_bytes()
    fleet = Fleet(members, seed)
    _configure_gc()
    fleet.run(SETTLE_S)
    sent_before, datagrams = fleet.sent_bytes(), sum(agent.send_queue.sent for agent in fleet.agents.values())
    cpu = time.process_time()
    fleet.run(seconds)
    cpu = time.process_time() - cpu
    bytes_per_s = [
        (sent_after - sent_before[place]) / seconds for place, sent_after in fleet.sent_bytes().items()
    ]
    datagrams = sum(agent.send_queue.sent for agent in fleet.agents.values()) - datagrams
    memory = (fit.resident_bytes() - before) / members / 1024
    return IdleCost(
        members, sum(bytes_per_s) / members, datagrams / members / seconds, max(bytes_per_s),
        cpu / members / seconds * 100, memory,
    )  # fmt: skip


def measure_deaths(members: int, loss: float, count: int, seed: int = 1) -> DeathDetection:
    """Kill `count` members one after another and measure when the others know."""
    fleet = Fleet(members, seed)
    _configure_gc()
    fleet.run(SETTLE_S)
    fleet.loss = loss
    fleet.run(SETTLE_S)
    sent = sum(fleet.sent_bytes().values())
    fleet.run(IDLE_S)
    idle_bytes_per_s = (sum(fleet.sent_bytes().values()) - sent) / members / IDLE_S
    detection_times: list[list[float]] = []
    victims: set[str] = set()
    extra_bytes = 0.0
    since = fleet.now
    for place in fleet.rng.sample(fleet.places, count):
        victim, started_at = fleet.agents[place].name, fleet.now
        fleet.kill(place)
        victims.add(victim)
        sent = sum(fleet.sent_bytes().values())
        fleet.run_until(lambda: all(not a.members.is_live(victim) for a in fleet.agents.values()), 60)  # noqa: B023
        elapsed_s = (fleet.now - started_at) / NS_PER_S
        extra_bytes += (sum(fleet.sent_bytes().values()) - sent) / len(
            fleet.agents
        ) - idle_bytes_per_s * elapsed_s
        detection_times.append(
            [
                (seen.at - started_at) / NS_PER_S
                for seen in fleet.events_of_kind("died", started_at)
                if seen.event.name == victim
            ]
        )
    false_deaths = sum(seen.event.name not in victims for seen in fleet.events_of_kind("died", since))

    def mean(share: float) -> float:
        return sum(fit.quantile(times, share) for times in detection_times) / count

    longest = max(max(times, default=math.inf) for times in detection_times)
    return DeathDetection(
        members, loss, count, mean(0.5), mean(0.99), mean(1.0), longest, false_deaths, extra_bytes / count
    )


def _measure_fault(
    name: str, members: int, begin: Callable[[Fleet], object], seconds: float, end: Callable[[Fleet], object]
) -> FaultCost:
    """Begin a fault, end it after `seconds`, and wait until all members agree."""
    fleet = Fleet(members)
    _configure_gc()
    fleet.run(SETTLE_S + 12)
    since, sent_before, cpu = fleet.now, fleet.sent_bytes(), time.process_time()
    begin(fleet)
    fleet.run(until=since + int(seconds * NS_PER_S))
    end(fleet)
    agreed_s = fleet.run_until(fleet.members_agree, 120)
    elapsed_s = (fleet.now - since) / NS_PER_S
    cpu = time.process_time() - cpu
    bytes_per_s = [
        (sent_after - sent_before[place]) / elapsed_s for place, sent_after in fleet.sent_bytes().items()
    ]
    deaths_believed = len(fleet.events_of_kind("died", since))
    return FaultCost(
        name,
        members,
        elapsed_s,
        agreed_s,
        sum(bytes_per_s) / members,
        max(bytes_per_s),
        cpu / members / elapsed_s * 100,
        deaths_believed,
    )


def measure_half_stopped(members: int) -> FaultCost:
    """Measure a pause of 3 s of every other member."""

    def stop(fleet: Fleet) -> None:
        for place in fleet.places[::2]:
            fleet.pause(place, 3 * NS_PER_S)

    return _measure_fault("half stopped for 3 s", members, stop, 10, lambda fleet: None)


def measure_region_apart(members: int, seconds: float = 120) -> FaultCost:
    """Measure a partition of one region of eleven, which heals after `seconds`.

    Each side believes the other dead meanwhile. Return the time until all members agree again, and the
    traffic and CPU time per member.
    """

    def cut(source: int, target: int, _: int) -> bool:
        return (source % REGIONS == 0) != (target % REGIONS == 0)

    return _measure_fault(
        f"a region partitioned for {seconds:.0f} s", members,
        lambda fleet: fleet.cuts.append(cut), seconds, lambda fleet: fleet.cuts.clear(),
    )  # fmt: skip


def measure_restarts(members: int, seconds: float = 60) -> FaultCost:
    """Measure orderly restarts at 680 an hour, each with 2 s between leaving and starting."""
    interval_s = 3_600 / 680

    def restart_members(fleet: Fleet) -> None:
        started_at, count = fleet.now, 0
        while count * interval_s + 2 < seconds:
            fleet.run(until=started_at + int(count * interval_s * NS_PER_S))
            fleet.leave(count % members)
            fleet.run(2)
            fleet.start(count % members, 2_000 + count)
            count += 1

    return _measure_fault("680 restarts an hour", members, restart_members, seconds, lambda fleet: None)


def measure_site_started(members: int) -> FaultCost:
    """Measure the end of all routers of one site at once, and their start 10 s later."""
    site = max(members // SITES, 2)

    def kill_site(fleet: Fleet) -> None:
        for place in range(site):
            fleet.kill(place)

    def restart_site(fleet: Fleet) -> None:
        for place in range(site):
            fleet.start(place, 3_000)

    return _measure_fault(f"a site of {site} dead for 10 s", members, kill_site, 10, restart_site)


def measure_zone_lost(members: int) -> FaultCost:
    """Measure the death of one zone of 36 during a rolling restart."""
    zone = max(members // 36, 1)

    def kill_zone(fleet: Fleet) -> None:
        fleet.leave(members - 1)
        for place in range(zone):
            fleet.kill(place)
        fleet.run(2)
        fleet.start(members - 1, 2_000)

    return _measure_fault(
        f"a zone of {zone} lost in a rolling restart", members, kill_zone, 2, lambda fleet: None
    )


FAULTS = {
    "half": measure_half_stopped,
    "site": measure_site_started,
    "zone": measure_zone_lost,
    "restarts": measure_restarts,
    "region": measure_region_apart,
}
"""The functions that measure a fault on a fleet of a given size, by name on the command line."""


async def _measure_on_sockets(members: int, factor: float, seconds: float) -> Joined:
    with slow_time(factor) as clock:
        before = fit.resident_bytes()
        fleet = HollowFleet(members, clock)
        started_at = clock.monotonic_ns()
        await fleet.open()
        joined = await fleet.wait_until(fleet.members_agree, 60)
        join_s = (clock.monotonic_ns() - started_at) / NS_PER_S if joined else math.inf
        datagrams, payload = fleet.sent_totals()
        join_kb = fit.udp_bytes(payload, datagrams) / members / 1024
        started_at = clock.monotonic_ns()
        outcome = await fleet.wait_until(fleet.is_gossip_sent, 300)
        gossip_s = (clock.monotonic_ns() - started_at) / NS_PER_S
        sent_after = fit.udp_bytes(*reversed(fleet.sent_totals()))
        gossip_bytes_per_s = (sent_after / members - join_kb * 1024) / gossip_s
        await fleet.run(SETTLE_S)
        _configure_gc()
        datagrams, payload = fleet.sent_totals()
        started_at, cpu = clock.monotonic_ns(), time.process_time()
        await fleet.run(seconds)
        elapsed_s, cpu = (clock.monotonic_ns() - started_at) / NS_PER_S, time.process_time() - cpu
        after_datagrams, after_payload = fleet.sent_totals()
        datagrams, payload = after_datagrams - datagrams, after_payload - payload
        memory = (fit.resident_bytes() - before) / members / 1024
        started_at = clock.monotonic_ns()
        await fleet.kill("r0")
        await fleet.wait_until(lambda: all(not agent.members.is_live("r0") for agent in fleet.agents()), 60)
        times = [
            (at - started_at) / NS_PER_S
            for at, _, outcome in fleet.events
            if outcome.kind == "died" and outcome.name == "r0"
        ]
        await fleet.close()
    member_seconds, half, most, longest = (
        members * elapsed_s,
        *(fit.quantile(times, share) for share in (0.5, 0.99, 1.0)),
    )
    return Joined(
        members,
        factor,
        join_s,
        join_kb,
        gossip_s if outcome else math.inf,
        gossip_bytes_per_s,
        fit.udp_bytes(payload, datagrams) / member_seconds,
        datagrams / member_seconds,
        cpu / member_seconds * 100,
        memory,
        half,
        most,
        longest,
    )


def measure_on_sockets(members: int, factor: float = 1.0, seconds: float = IDLE_S) -> Joined:
    """Measure hollow routers on sockets while they join, are idle and lose a member."""
    return uvloop.run(_measure_on_sockets(members, factor, seconds))


async def _measure_places(
    members: int, addresses: tuple[Address, ...], places: range, seconds: float
) -> SingleProcessCost:
    with slow_time(1.0) as clock:
        memory = fit.resident_bytes()
        fleet = HollowFleet(members, clock, SETTINGS, addresses, places)
        await fleet.open()
        if not await fleet.wait_until(fleet.members_agree, 60):
            raise RuntimeError("the members do not agree")
        await fleet.run(SETTLE_S + 6)
        _configure_gc()
        cpu = time.process_time()
        await fleet.run(seconds)
        cpu = time.process_time() - cpu
        memory = fit.resident_bytes() - memory
        await fleet.run(2)  # the other process may still be measuring
        await fleet.close()
    cpu_percent = cpu / len(places) / seconds * 100
    return SingleProcessCost(members, cpu_percent, memory / len(places) / 1024, cpu_percent)


def measure_places(
    members: int, addresses: tuple[Address, ...], places: range, seconds: float
) -> SingleProcessCost:
    """Measure these places of a fleet in this process."""
    return uvloop.run(_measure_places(members, addresses, places, seconds))


def measure_alone(members: int, seconds: float = 15) -> SingleProcessCost:
    """Measure the first place in one process, with all others in another."""
    addresses = free_addresses(members)
    with ProcessPoolExecutor(2, multiprocessing.get_context("spawn")) as pool:
        first, others = (
            pool.submit(measure_places, members, addresses, places, seconds)
            for places in (range(1), range(1, members))
        )
        return replace(first.result(), shared_cpu_percent=others.result().cpu_percent)


def measure_joins(members: int, seed: int = 1) -> FleetStart:
    """Measure the start of all members within one second."""
    world = World(members, seed, SETTINGS, SealingAgent)
    _configure_gc()
    started_at = world.now
    world.start_all(NS_PER_S)

    def sent_bytes() -> float:
        return sum(map(_sent_bytes, world.agents.values())) / members

    def run_until(condition: Callable[[], bool]) -> float:
        while not condition() and world.now - started_at < 300 * NS_PER_S:
            world.run(0.1)
        return (world.now - started_at) / NS_PER_S if condition() else math.inf

    def all_known() -> bool:
        return all(len(agent.members) == members for agent in world.agents.values())

    def all_gossip_sent() -> bool:
        return not any(len(agent.send_queue.gossip) for agent in world.agents.values())

    agreed_s, sent_before = run_until(all_known), sent_bytes()
    gossip_s = run_until(all_gossip_sent) - agreed_s
    return FleetStart(
        members, agreed_s, sent_before / 1024, gossip_s, (sent_bytes() - sent_before) / max(gossip_s, 0.1)
    )


def measure_sync(members: int, repetitions: int = 5) -> SyncCost:
    """Measure the reply of one member to the request of a router that has no records."""
    fleet = Fleet(members)
    agent = fleet.agents[0]
    packet_counter = 0

    def blocked_ms() -> float:
        nonlocal packet_counter
        packet_counter += 1
        fleet.now += 2 * NS_PER_S  # replies are limited per second
        request = Packet("new", 1_000, packet_counter, 0, 0, SyncBody((1,) * DIGEST_PARTS))
        sent_before, started_at = agent.send_queue.sent, time.process_time()
        agent.receive(request, 0, fleet.now)
        elapsed_ms = (time.process_time() - started_at) * 1e3
        if agent.send_queue.sent == sent_before:
            raise RuntimeError("the synchronization request was not answered")
        return elapsed_ms

    return SyncCost(members, sum(blocked_ms() for _ in range(repetitions)) / repetitions)


@click.command()
@click.argument(
    "what",
    type=click.Choice(["alone", "sync", "joins", "calm", "sockets", "deaths", "faults", "all"]),
    default="all",
)
@click.option("--size", "sizes", type=int, multiple=True, default=fit.FLEET_SIZES, show_default=True)
@click.option("--count", default=3, show_default=True, help="Number of deaths at each size.")
@click.option(
    "--fault",
    "only",
    type=click.Choice(list(FAULTS)),
    multiple=True,
    help="Measure only this fault; may be repeated.",
)
def main(what: str, sizes: tuple[int, ...], count: int, only: tuple[str, ...]) -> None:
    """Run the measurement from the command line."""
    if what in ("calm", "all"):
        idle_rows = [fit.run_isolated(measure_idle, size) for size in sizes]
        names = ("bytes_sent_per_s", "datagrams_sent_per_s", "cpu_percent", "memory_kb")
        click.echo(
            f"calm, virtual time\n{fit.format_table(idle_rows)}\n"
            f"{fit.format_fits(idle_rows, 'members', names)}"
        )
    if what in ("alone", "all"):
        click.echo(f"one router per process\n{fit.format_table([measure_alone(size) for size in (25, 50)])}")
    if what in ("sync", "all"):
        sync_rows = [fit.run_isolated(measure_sync, size) for size in sizes]
        fits_text = fit.format_fits(sync_rows, "members", ("hold_ms",))
        click.echo(f"reply to a full synchronization request\n{fit.format_table(sync_rows)}\n{fits_text}")
    if what in ("joins", "all"):
        join_rows = [fit.run_isolated(measure_joins, size) for size in sizes if size <= MAX_FAULT_MEMBERS]
        lines = fit.format_fits(join_rows, "members", ("agreed_kb", "told_s"))
        click.echo(f"started together, virtual time\n{fit.format_table(join_rows)}\n{lines}")
    if what in ("sockets", "all"):
        socket_rows = []
        for size, factor in SOCKET_SIZES:
            if size <= max(sizes):
                socket_rows.append(fit.run_isolated(measure_on_sockets, size, factor))
                click.echo(socket_rows[-1])  # progress: the larger sizes take minutes
        lines = fit.format_fits(
            socket_rows, "members", ("bytes_sent_per_s", "cpu_percent", "memory_kb", "join_kb_each", "told_s")
        )
        click.echo(f"loopback sockets\n{fit.format_table(socket_rows)}\n{lines}")
    if what in ("deaths", "all"):
        death_rows = [
            fit.run_isolated(measure_deaths, size, loss, count) for loss in (0.0, 0.05, 0.3) for size in sizes
        ]
        click.echo(f"deaths, virtual time\n{fit.format_table(death_rows)}")
    if what in ("faults", "all"):
        for name in only or tuple(FAULTS):
            fault_rows = [
                fit.run_isolated(FAULTS[name], size) for size in sizes if only or size <= MAX_FAULT_MEMBERS
            ]
            lines = fit.format_fits(
                fault_rows, "members", ("bytes_per_s", "busiest_bytes_per_s", "cpu_percent")
            )
            click.echo(f"{name}, virtual time\n{fit.format_table(fault_rows)}\n{lines}")


if __name__ == "__main__":
    main()
