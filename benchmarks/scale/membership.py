"""Membership at fleet size: `python -m benchmarks.scale.membership WHAT [options]`.

alone    CPU of one hollow router with a process to itself, as a real one has, the others in another process
sync     how long one question for all that differs holds the loop
joins    all start together, in virtual time: until all know all, and until nobody passes on any of it
calm     bytes, datagrams, CPU and memory of a member at each size, in virtual time, with fits
sockets  the same for hollow routers on loopback, at smaller sizes; joining and a death with it
deaths   time until 50%, 99% and all know of a death, at no loss, 5% and 30%
faults   half stopped for 3 s, a region apart for two minutes, restarts, a site started at once
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
from benchmarks.scale.hollow import SETTINGS, Hollows, WireAgent, free_ports, slowed
from saltport.address import Address
from saltport.peers.agent import Agent
from saltport.peers.members import DIGEST_PARTS
from saltport.peers.messages import Alive, Packet, encode
from saltport.peers.messages import Sync as SyncBody
from saltport.peers.settings import NS_PER_S
from saltport.router.__main__ import GC_THRESHOLD

WHAT = ("alone", "sync", "joins", "calm", "sockets", "deaths", "faults", "all")
SETTLE_S, CALM_S = 4, 8
REGIONS, SITES = 11, 81
MOST_FAULTY = 400
"""Members up to which all faults are played: half of them stopped cost far more than calm."""
SOCKET_SIZES = ((25, 1.0), (50, 1.0), (100, 2.0), (200, 4.0), (400, 8.0))  # with the clock's factor
_alive: msgspec.msgpack.Decoder[Alive] = msgspec.msgpack.Decoder(Alive)


@dataclass(frozen=True, slots=True)
class Calm:
    """What a member costs while nothing happens; bytes as on the wire, one way."""

    members: int
    bytes_sent_per_s: float
    datagrams_sent_per_s: float
    busiest_bytes_per_s: float
    cpu_percent: float
    memory_kb: float


@dataclass(frozen=True, slots=True)
class Known:
    """How long until a death is known; seconds, the mean of some deaths; and what it cost beyond calm."""

    members: int
    loss: float
    deaths: int
    half: float
    most: float
    """99%."""
    all: float
    longest: float
    false_deaths: int
    extra_bytes_each: float


@dataclass(frozen=True, slots=True)
class Joined:
    """Hollow routers on sockets, started together, and the death of one."""

    members: int
    slowed_by: float
    join_s: float
    join_kb_each: float
    told_s: float
    """From then until nobody has anything of it to pass on."""
    told_bytes_per_s: float
    """Of each member, meanwhile."""
    bytes_sent_per_s: float
    datagrams_sent_per_s: float
    cpu_percent: float
    memory_kb: float
    death_half: float
    death_most: float
    death_all: float


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault's price for a member, over so many seconds; a death is counted by each who believes it."""

    what: str
    members: int
    seconds: float
    agreed_s: float
    bytes_per_s: float
    busiest_bytes_per_s: float
    cpu_percent: float
    deaths_believed: int


@dataclass(frozen=True, slots=True)
class Alone:
    """One hollow router in its own process."""

    members: int
    cpu_percent: float
    memory_kb: float
    """Of the process, from before the router was made."""
    shared_cpu_percent: float
    """Of each of the others, which share a process."""


@dataclass(frozen=True, slots=True)
class Sync:
    """An answer to a router that knows nothing."""

    members: int
    hold_ms: float


@dataclass(frozen=True, slots=True)
class Start:
    """All members started together, knowing only where the others are; bytes are what a member sent."""

    members: int
    agreed_s: float
    agreed_kb: float
    told_s: float
    """From then until nobody passes on any of it."""
    told_bytes_per_s: float


class Fleet(World):
    """Members that know each other from the beginning, in virtual time."""

    def __init__(self, count: int, seed: int = 1) -> None:
        super().__init__(count, seed, SETTINGS, WireAgent)
        self._ended: Counter[int] = Counter()
        """Bytes that earlier processes of a place have sent."""
        for place in self.places:
            self.start(place)
        records = [encode(agent.me.alive()) for agent in self.agents.values()]
        for agent in self.agents.values():
            for record in records:
                agent.members.merge(_alive.decode(record), self.now)

    def kill(self, place: int) -> None:
        """A process ends without a word; what it sent stays counted."""
        self._ended[place] += _sent(self.agents[place])
        super().kill(place)

    def leave(self, place: int) -> None:
        """A process says that it goes, and ends."""
        agent = self.agents[place]
        super().leave(place)
        self._ended[place] += _sent(agent)

    def wire(self) -> dict[int, int]:
        """Bytes that each place has sent, with their heads."""
        return {
            place: self._ended[place] + (_sent(self.agents[place]) if place in self.agents else 0)
            for place in self.places
        }

    def agrees(self) -> bool:
        """Whether all that run hold the same members, by digests and counts."""
        held = {(agent.members.digest, len(agent.members)) for agent in self.agents.values()}
        return len(held) == 1 and held.pop()[1] == len(self.agents)

    def until(self, holds: Callable[[], bool], seconds: float) -> float:
        """Seconds until something holds; infinite if it doesn't in time."""
        begun = self.now
        while not holds():
            if self.now - begun >= seconds * NS_PER_S:
                return math.inf
            self.run(0.05)
        return (self.now - begun) / NS_PER_S


def _sent(agent: Agent) -> int:
    return fit.udp_bytes(agent.send_queue.bytes, agent.send_queue.sent)


def _quiet() -> None:
    """One heap holds all members here: a full collection of it is no cost of any router."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 1_000, 1_000)


def calm(members: int, seed: int = 1, seconds: float = CALM_S) -> Calm:
    """Measure one size."""
    before = fit.resident_bytes()
    fleet = Fleet(members, seed)
    _quiet()
    fleet.run(SETTLE_S)
    sent, datagrams = fleet.wire(), sum(agent.send_queue.sent for agent in fleet.agents.values())
    cpu = time.process_time()
    fleet.run(seconds)
    cpu = time.process_time() - cpu
    each = [(after - sent[place]) / seconds for place, after in fleet.wire().items()]
    datagrams = sum(agent.send_queue.sent for agent in fleet.agents.values()) - datagrams
    memory = (fit.resident_bytes() - before) / members / 1024
    return Calm(
        members, sum(each) / members, datagrams / members / seconds, max(each),
        cpu / members / seconds * 100, memory,
    )  # fmt: skip


def deaths(members: int, loss: float, count: int, seed: int = 1) -> Known:
    """Kill some, one after the other."""
    fleet = Fleet(members, seed)
    _quiet()
    fleet.run(SETTLE_S)
    fleet.loss = loss
    fleet.run(SETTLE_S)
    sent = sum(fleet.wire().values())
    fleet.run(CALM_S)
    calm_each = (sum(fleet.wire().values()) - sent) / members / CALM_S
    known: list[list[float]] = []
    victims: set[str] = set()
    extra = 0.0
    since = fleet.now
    for place in fleet.rng.sample(fleet.places, count):
        victim, begun = fleet.agents[place].name, fleet.now
        fleet.kill(place)
        victims.add(victim)
        sent = sum(fleet.wire().values())
        fleet.until(lambda: all(not a.members.is_live(victim) for a in fleet.agents.values()), 60)  # noqa: B023
        spent = (fleet.now - begun) / NS_PER_S
        extra += (sum(fleet.wire().values()) - sent) / len(fleet.agents) - calm_each * spent
        known.append([(seen.at - begun) / NS_PER_S for seen in fleet.told("died", begun)
                      if seen.told.name == victim])  # fmt: skip
    false = sum(seen.told.name not in victims for seen in fleet.told("died", since))

    def mean(share: float) -> float:
        return sum(fit.share_of(times, share) for times in known) / count

    longest = max(max(times, default=math.inf) for times in known)
    return Known(members, loss, count, mean(0.5), mean(0.99), mean(1.0), longest, false, extra / count)


def _fault(
    what: str, members: int, begin: Callable[[Fleet], object], seconds: float, end: Callable[[Fleet], object]
) -> Fault:
    """Begin it, let it last, end it, and wait until all agree."""
    fleet = Fleet(members)
    _quiet()
    fleet.run(SETTLE_S + 12)
    since, sent, cpu = fleet.now, fleet.wire(), time.process_time()
    begin(fleet)
    fleet.run(until=since + int(seconds * NS_PER_S))
    end(fleet)
    agreed = fleet.until(fleet.agrees, 120)
    spent = (fleet.now - since) / NS_PER_S
    cpu = time.process_time() - cpu
    each = [(after - sent[place]) / spent for place, after in fleet.wire().items()]
    died = len(fleet.told("died", since))
    return Fault(
        what, members, spent, agreed, sum(each) / members, max(each), cpu / members / spent * 100, died
    )


def half_stopped(members: int) -> Fault:
    """Every other member stands still for 3 s."""

    def stop(fleet: Fleet) -> None:
        for place in fleet.places[::2]:
            fleet.pause(place, 3 * NS_PER_S)

    return _fault("half stopped for 3 s", members, stop, 10, lambda fleet: None)


def region_apart(members: int, seconds: float = 120) -> Fault:
    """One region of eleven hears none of the others, and comes back: each side believes the other dead."""

    def cut(here: int, there: int, _: int) -> bool:
        return (here % REGIONS == 0) != (there % REGIONS == 0)

    return _fault(
        f"a region apart for {seconds:.0f} s", members,
        lambda fleet: fleet.cuts.append(cut), seconds, lambda fleet: fleet.cuts.clear(),
    )  # fmt: skip


def restarts(members: int, seconds: float = 60) -> Fault:
    """Members go in good order and come back 2 s later, at 680 an hour."""
    every = 3_600 / 680

    def roll(fleet: Fleet) -> None:
        begun, turn = fleet.now, 0
        while turn * every + 2 < seconds:
            fleet.run(until=begun + int(turn * every * NS_PER_S))
            fleet.leave(turn % members)
            fleet.run(2)
            fleet.start(turn % members, 2_000 + turn)
            turn += 1

    return _fault("680 restarts an hour", members, roll, seconds, lambda fleet: None)


def site_started(members: int) -> Fault:
    """All routers of one site end at once, and start again together 10 s later."""
    site = max(members // SITES, 2)

    def strike(fleet: Fleet) -> None:
        for place in range(site):
            fleet.kill(place)

    def back(fleet: Fleet) -> None:
        for place in range(site):
            fleet.start(place, 3_000)

    return _fault(f"a site of {site} dead for 10 s", members, strike, 10, back)


def zone_lost(members: int) -> Fault:
    """A zone of 36 dies while restarts go on."""
    zone = max(members // 36, 1)

    def strike(fleet: Fleet) -> None:
        fleet.leave(members - 1)
        for place in range(zone):
            fleet.kill(place)
        fleet.run(2)
        fleet.start(members - 1, 2_000)

    return _fault(f"a zone of {zone} lost in a rolling restart", members, strike, 2, lambda fleet: None)


FAULTS = {
    "half": half_stopped,
    "site": site_started,
    "zone": zone_lost,
    "restarts": restarts,
    "region": region_apart,
}


async def _on_sockets(members: int, factor: float, seconds: float) -> Joined:
    with slowed(factor) as clock:
        before = fit.resident_bytes()
        fleet = Hollows(members, clock)
        begun = clock.monotonic_ns()
        await fleet.open()
        joined = await fleet.until(fleet.agree, 60)
        join_s = (clock.monotonic_ns() - begun) / NS_PER_S if joined else math.inf
        datagrams, payload = fleet.sent()
        join_kb = fit.udp_bytes(payload, datagrams) / members / 1024
        begun = clock.monotonic_ns()
        told = await fleet.until(fleet.quiet, 300)
        told_s = (clock.monotonic_ns() - begun) / NS_PER_S
        after = fit.udp_bytes(*reversed(fleet.sent()))
        told_bytes = (after / members - join_kb * 1024) / told_s
        await fleet.run(SETTLE_S)
        _quiet()
        datagrams, payload = fleet.sent()
        begun, cpu = clock.monotonic_ns(), time.process_time()
        await fleet.run(seconds)
        spent, cpu = (clock.monotonic_ns() - begun) / NS_PER_S, time.process_time() - cpu
        after_datagrams, after_payload = fleet.sent()
        datagrams, payload = after_datagrams - datagrams, after_payload - payload
        memory = (fit.resident_bytes() - before) / members / 1024
        begun = clock.monotonic_ns()
        await fleet.kill("r0")
        await fleet.until(lambda: all(not agent.members.is_live("r0") for agent in fleet.agents()), 60)
        times = [
            (at - begun) / NS_PER_S for at, _, told in fleet.told if told.kind == "died" and told.name == "r0"
        ]
        await fleet.close()
    each, half, most, longest = members * spent, *(fit.share_of(times, share) for share in (0.5, 0.99, 1.0))
    return Joined(
        members, factor, join_s, join_kb, told_s if told else math.inf, told_bytes,
        fit.udp_bytes(payload, datagrams) / each, datagrams / each, cpu / each * 100, memory,
        half, most, longest,
    )  # fmt: skip


def on_sockets(members: int, factor: float = 1.0, seconds: float = CALM_S) -> Joined:
    """Hollow routers join, rest, and lose one."""
    return uvloop.run(_on_sockets(members, factor, seconds))


async def _some(members: int, addresses: tuple[Address, ...], places: range, seconds: float) -> Alone:
    with slowed(1.0) as clock:
        memory = fit.resident_bytes()
        fleet = Hollows(members, clock, SETTINGS, addresses, places)
        await fleet.open()
        if not await fleet.until(fleet.agree, 60):
            raise RuntimeError("the members do not agree")
        await fleet.run(SETTLE_S + 6)
        _quiet()
        cpu = time.process_time()
        await fleet.run(seconds)
        cpu = time.process_time() - cpu
        memory = fit.resident_bytes() - memory
        await fleet.run(2)  # the others measure too
        await fleet.close()
    each = cpu / len(places) / seconds * 100
    return Alone(members, each, memory / len(places) / 1024, each)


def some(members: int, addresses: tuple[Address, ...], places: range, seconds: float) -> Alone:
    """These places of a fleet, in this process."""
    return uvloop.run(_some(members, addresses, places, seconds))


def alone(members: int, seconds: float = 15) -> Alone:
    """The first place in one process, all others in another."""
    addresses = free_ports(members)
    with ProcessPoolExecutor(2, multiprocessing.get_context("spawn")) as pool:
        one, rest = (
            pool.submit(some, members, addresses, places, seconds) for places in (range(1), range(1, members))
        )
        return replace(one.result(), shared_cpu_percent=rest.result().cpu_percent)


def joins(members: int, seed: int = 1) -> Start:
    """Start all together."""
    world = World(members, seed, SETTINGS, WireAgent)
    _quiet()
    begun = world.now
    world.start_all(NS_PER_S)

    def wire() -> float:
        return sum(map(_sent, world.agents.values())) / members

    def until(holds: Callable[[], bool]) -> float:
        while not holds() and world.now - begun < 300 * NS_PER_S:
            world.run(0.1)
        return (world.now - begun) / NS_PER_S if holds() else math.inf

    def all_known() -> bool:
        return all(len(agent.members) == members for agent in world.agents.values())

    def all_told() -> bool:
        return not any(len(agent.send_queue.gossip) for agent in world.agents.values())

    agreed, sent = until(all_known), wire()
    told = until(all_told) - agreed
    return Start(members, agreed, sent / 1024, told, (wire() - sent) / max(told, 0.1))


def sync(members: int, times: int = 5) -> Sync:
    """Ask one member of so many, as a router does that knows nobody."""
    fleet = Fleet(members)
    agent = fleet.agents[0]
    counter = 0

    def held() -> float:
        nonlocal counter
        counter += 1
        fleet.now += 2 * NS_PER_S  # answers are bounded by the second
        question = Packet("new", 1_000, counter, 0, 0, SyncBody((1,) * DIGEST_PARTS))
        sent, begun = agent.send_queue.sent, time.process_time()
        agent.receive(question, 0, fleet.now)
        spent = (time.process_time() - begun) * 1e3
        if agent.send_queue.sent == sent:
            raise RuntimeError("the question was not answered")
        return spent

    return Sync(members, sum(held() for _ in range(times)) / times)


@click.command()
@click.argument(
    "what",
    type=click.Choice(["alone", "sync", "joins", "calm", "sockets", "deaths", "faults", "all"]),
    default="all",
)
@click.option("--size", "sizes", type=int, multiple=True, default=fit.SIZES, show_default=True)
@click.option("--count", default=3, show_default=True, help="Of deaths at each size.")
@click.option("--fault", "only", type=click.Choice(list(FAULTS)), multiple=True, help="None of the others.")
def main(what: str, sizes: tuple[int, ...], count: int, only: tuple[str, ...]) -> None:
    """Measure."""
    if what in ("calm", "all"):
        rows = [fit.apart(calm, size) for size in sizes]
        names = ("bytes_sent_per_s", "datagrams_sent_per_s", "cpu_percent", "memory_kb")
        click.echo(f"calm, virtual time\n{fit.table(rows)}\n{fit.fits(rows, 'members', names)}")
    if what in ("alone", "all"):
        click.echo(f"a process to itself\n{fit.table([alone(size) for size in (25, 50)])}")
    if what in ("sync", "all"):
        asked = [fit.apart(sync, size) for size in sizes]
        told = fit.fits(asked, "members", ("hold_ms",))
        click.echo(f"a question for all\n{fit.table(asked)}\n{told}")
    if what in ("joins", "all"):
        begun = [fit.apart(joins, size) for size in sizes if size <= MOST_FAULTY]
        lines = fit.fits(begun, "members", ("agreed_kb", "told_s"))
        click.echo(f"started together, virtual time\n{fit.table(begun)}\n{lines}")
    if what in ("sockets", "all"):
        joined = []
        for size, factor in SOCKET_SIZES:
            if size <= max(sizes):
                joined.append(fit.apart(on_sockets, size, factor))
                click.echo(joined[-1])  # the larger ones take minutes
        lines = fit.fits(
            joined, "members", ("bytes_sent_per_s", "cpu_percent", "memory_kb", "join_kb_each", "told_s")
        )
        click.echo(f"loopback sockets\n{fit.table(joined)}\n{lines}")
    if what in ("deaths", "all"):
        found = [fit.apart(deaths, size, loss, count) for loss in (0.0, 0.05, 0.3) for size in sizes]
        click.echo(f"deaths, virtual time\n{fit.table(found)}")
    if what in ("faults", "all"):
        for name in only or tuple(FAULTS):
            felt = [fit.apart(FAULTS[name], size) for size in sizes if only or size <= MOST_FAULTY]
            lines = fit.fits(felt, "members", ("bytes_per_s", "busiest_bytes_per_s", "cpu_percent"))
            click.echo(f"{name}, virtual time\n{fit.table(felt)}\n{lines}")


if __name__ == "__main__":
    main()
