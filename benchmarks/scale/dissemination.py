"""Dissemination at fleet size in virtual time, beside two plain forms.

    python -m benchmarks.scale.dissemination purges --loss 0.05 --seconds 600
    python -m benchmarks.scale.dissemination changes --loss 0.05 --seconds 3600
    python -m benchmarks.scale.dissemination calm
    python -m benchmarks.scale.dissemination takeover --routers 400
    python -m benchmarks.scale.dissemination compare --seconds 30

Bytes are those on the wire: message, envelope, UDP and IP heads; sent and received are added up.
"""

from __future__ import annotations

import argparse
import gc
import json
import random
import resource
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from functools import partial
from statistics import median

from benchmarks.scale.dissemination_plain import PlainWorld, gossip, star
from benchmarks.scale.dissemination_world import Fleet, World
from saltport.dissemination.messages import Topic
from saltport.dissemination.settings import NS_PER_S, DisseminationSettings
from saltport.dissemination.states import pack_change

PURGES_PER_S = 13
CHANGES_PER_S = 7_400 / 3_600
KILL_EVERY = 10.0
RESTART_AFTER = 5.0
KEYS = 200
SETTLE = 5.0
LIMIT = 2.6
DRAIN = 15.0


@dataclass(frozen=True, slots=True)
class Report:
    """What a run showed; times in seconds, bytes a second."""

    routers: int
    loss: float
    seconds: float
    changes: int
    faults: int
    first_fault: str
    half: float
    most: float
    all: float
    over_limit: int
    """Arrivals of records later than 2.6 s, at routers that were there."""
    back_half: float
    back_all: float
    """From a router's return until it had what it missed."""
    bytes_median: float
    bytes_busiest: float
    sent_busiest: float
    second_busiest: int
    """Bytes of the busiest router in its busiest second."""
    messages_median: float
    messages_busiest: float
    coordinator: float
    cpu_us: float
    """Processor time of the whole simulation for a router and second."""
    megabytes: float
    """Resident, of the whole simulation."""
    acknowledged: int
    stale: float
    """The share of sampled verdicts that refused, over the whole run."""


class Meter:
    """Bytes and messages of routers from now on."""

    def __init__(self, world: World) -> None:
        self._world = world
        count = world.fleet.routers
        self._begun = world.now
        self._sent, self._received = list(world.sent), list(world.received)
        self._messages, self._last = list(world.messages), [0] * count
        self._cpu = time.process_time()
        self.peak = 0
        self._last = [a + b for a, b in zip(world.sent, world.received, strict=True)][:count]

    def second(self) -> None:
        """Called every second of virtual time."""
        world, last = self._world, self._last
        for node in range(world.fleet.routers):
            total = world.sent[node] + world.received[node]
            self.peak = max(self.peak, total - last[node])
            last[node] = total

    def report(self, changes: int) -> Report:
        """At the end of the measured time."""
        world = self._world
        count, seconds = world.fleet.routers, (world.now - self._begun) / NS_PER_S
        cpu = time.process_time() - self._cpu
        sent = [(world.sent[n] - self._sent[n]) / seconds for n in range(len(world.sent))]
        both = [sent[n] + (world.received[n] - self._received[n]) / seconds for n in range(count)]
        messages = [(world.messages[n] - self._messages[n]) / seconds for n in range(count)]
        coordinator = max(sent[count:], default=0.0)
        acknowledged = world.acknowledged()
        world.run(DRAIN)
        faults = world.finish()
        history = world.history
        return Report(
            count, world.loss, seconds, changes, len(faults), faults[0] if faults else "",
            history.delays.percentile(0.5), history.delays.percentile(0.99), history.slowest(),
            history.delays.above(LIMIT),
            history.late.percentile(0.5), history.late.percentile(1),
            median(both), max(both), max(sent[:count]), self.peak, median(messages), max(messages),
            coordinator, cpu / count / seconds * 1e6,
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, acknowledged,
            1 - world.fresh / max(world.asked, 1),
        )  # fmt: skip


class Storm:
    """Faults over a run; routers of place 0 modulo 5 are spared, and make the changes."""

    def __init__(self, world: World, topic: int, until: int, apart: int, seed: int) -> None:
        self._topic = topic
        self._world, self._until, self._rng = world, until, random.Random(seed)
        self._apart = apart

    def origin(self) -> int:
        """A spared router of a region that is never apart: its submission's outcome would be unknown."""
        world = self._world
        while True:
            node = self._rng.randrange(0, world.fleet.routers, 5)
            if world.region_of[node] != self._apart:
                return node

    def kill_relay(self) -> None:
        """A relay of the next entry in some region or site dies, and is back after a while."""
        world = self._world
        if world.now >= self._until:
            return
        log = world.voter().topic_store.log(self._topic)
        turn = world.placement.rotation(self._topic, log.last + 1 if log else 1)
        region = self._rng.choice(list(world.placement.regions))
        site = self._rng.choice(world.placement.regions[region])
        relays = [*world.placement.region_relays(region, turn), *world.placement.site_relays(site, turn)]
        victims = [node for node in relays if node % 5 and node in world.nodes]
        for node in victims[:1]:
            world.kill(node)
            world.later(RESTART_AFTER, partial(self._restart, node))
        world.later(KILL_EVERY, self.kill_relay)

    def _restart(self, node: int) -> None:
        self._world.start(node)

    def stop_half(self, site: int) -> None:
        """Half of a site stands still for 3 s."""
        members = [n for n in range(self._world.fleet.routers) if self._world.site_of[n] == site and n % 5]
        for node in members[: self._world.fleet.routers // self._world.fleet.sites // 2]:
            self._world.stop(node, 3 * NS_PER_S)

    def part(self, seconds: float) -> None:
        """The region is apart from all others."""
        self._world.part(self._apart, int(seconds * NS_PER_S))


def purge(number: int, rng: random.Random) -> bytes:
    """A key of 16 to 40 bytes."""
    return b"%08x" % number + b"/" * rng.randrange(8, 33)


def change(number: int, _: random.Random) -> bytes:
    """A configuration record of about 30 bytes; the 5,001st one is bad."""
    value = b"bad" if number == 5_000 else b"value %d" % number
    return pack_change(f"tenants.t{number % KEYS}.limit" if number != 5_000 else "bad", value)


def run(
    world: World, topic: int, rate: float, seconds: float, make: Callable[[int, random.Random], bytes],
    storm: bool, seed: int = 5,
) -> Report:  # fmt: skip
    """Changes at a steady rate, with faults if wanted; a region is apart for a fifth of it, at most 120 s."""
    world.run(SETTLE)
    rng, until = random.Random(seed), world.now + int(seconds * NS_PER_S)
    faults = Storm(world, topic, until, min(9, world.fleet.regions - 1), seed)
    meter = Meter(world)
    begun, made = world.now, 0
    if storm:
        world.later(KILL_EVERY, faults.kill_relay)
        world.later(seconds * 0.1, lambda: faults.stop_half(7 % world.fleet.sites))
        world.later(seconds * 0.3, lambda: faults.part(min(120.0, seconds / 5)))
    for second in range(int(seconds)):
        while made < rate * (second + 1):
            world.run(max((begun + made / rate * NS_PER_S - world.now) / NS_PER_S, 0))
            world.submit(faults.origin(), topic, make(made, rng))
            made += 1
        world.run((begun + (second + 1) * NS_PER_S - world.now) / NS_PER_S)
        meter.second()
    return meter.report(made)


def fleet_of(routers: int) -> Fleet:
    """Sites of about 20 routers, up to 11 regions."""
    return Fleet(routers, max(round(routers / 19.75), 1), max(min(11, routers // 60), 1))


def main() -> None:
    """One scenario, as a line of JSON."""
    parser = argparse.ArgumentParser(description="Dissemination in virtual time.")
    parser.add_argument("scenario", choices=["purges", "changes", "calm", "takeover", "compare"])
    parser.add_argument("--routers", type=int, default=1_600)
    parser.add_argument("--loss", type=float, default=0.05)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-storm", action="store_true")
    options = parser.parse_args()
    gc.disable()
    settings = replace(DisseminationSettings(), retained_entries=1_024)
    fleet = fleet_of(options.routers)
    if options.scenario == "compare":
        worlds: list[tuple[str, World]] = [
            ("levels", World(fleet, options.seed, settings, options.loss)),
            ("star", PlainWorld(star, fleet, options.seed, settings, options.loss)),
            ("gossip", PlainWorld(gossip, fleet, options.seed, settings, options.loss)),
        ]
    else:
        worlds = [(options.scenario, World(fleet, options.seed, settings, options.loss))]
    for name, world in worlds:
        world.start_all()
        if options.scenario == "changes":
            report = run(
                world, Topic.CONFIGURATION, CHANGES_PER_S, options.seconds, change, not options.no_storm
            )
        else:
            rate = 0.0 if options.scenario == "calm" else PURGES_PER_S
            storm = options.scenario == "purges" and not options.no_storm
            if options.scenario == "takeover":
                world.later(SETTLE + options.seconds / 2, partial(world.stop, world.leader, 10 * NS_PER_S))
            report = run(world, Topic.PURGES, rate, options.seconds, purge, storm)
        print(json.dumps({"scenario": name} | asdict(report)), flush=True)


if __name__ == "__main__":
    main()
