"""Measures dissemination at fleet size in virtual time, and compares it with two simpler protocols.

    python -m benchmarks.scale.dissemination purges --loss 0.05 --seconds 600
    python -m benchmarks.scale.dissemination changes --loss 0.05 --seconds 3600
    python -m benchmarks.scale.dissemination calm
    python -m benchmarks.scale.dissemination takeover --routers 400
    python -m benchmarks.scale.dissemination compare --seconds 30

Bytes are those on the wire, sent plus received: message, envelope, UDP and IP headers.
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

from benchmarks.scale.dissemination_plain import BaselineWorld, gossip, star
from benchmarks.scale.dissemination_world import Fleet, World
from saltport.dissemination.messages import Topic
from saltport.dissemination.settings import NS_PER_S, DisseminationSettings
from saltport.dissemination.states import pack_change

PURGES_PER_S = 13
CHANGES_PER_S = 7_400 / 3_600
KILL_INTERVAL_S = 10.0
RESTART_DELAY_S = 5.0
KEY_COUNT = 200
SETTLE_S = 5.0
DELAY_LIMIT_S = 2.6
DRAIN_S = 15.0


@dataclass(frozen=True, slots=True)
class Report:
    """Result of a run; times in seconds, bytes and messages per second."""

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
    """Arrivals of records later than 2.6 s at routers that were running."""
    back_half: float
    back_all: float
    """From a router's return until it had applied the records that it missed."""
    bytes_median: float
    bytes_busiest: float
    sent_busiest: float
    second_busiest: int
    """Bytes of the busiest router in its busiest second."""
    messages_median: float
    messages_busiest: float
    coordinator: float
    cpu_us: float
    """CPU time of the whole simulation per router and simulated second."""
    megabytes: float
    """Resident memory of the whole simulation."""
    acknowledged: int
    stale: float
    """Share of sampled verdicts that did not allow serving, over the whole run."""


class TrafficMeter:
    """Counts the bytes and messages of routers since its creation."""

    def __init__(self, world: World) -> None:
        self._world = world
        count = world.fleet.routers
        self._started_at = world.now
        self._sent, self._received = list(world.sent), list(world.received)
        self._messages, self._last_totals = list(world.messages), [0] * count
        self._cpu = time.process_time()
        self.peak = 0
        self._last_totals = [a + b for a, b in zip(world.sent, world.received, strict=True)][:count]

    def record_second(self) -> None:
        """Update the peak; called every second of virtual time."""
        world, last_totals = self._world, self._last_totals
        for node in range(world.fleet.routers):
            total = world.sent[node] + world.received[node]
            self.peak = max(self.peak, total - last_totals[node])
            last_totals[node] = total

    def report(self, changes: int) -> Report:
        """Return the result at the end of the measured time."""
        world = self._world
        count, seconds = world.fleet.routers, (world.now - self._started_at) / NS_PER_S
        cpu_s = time.process_time() - self._cpu
        sent = [(world.sent[n] - self._sent[n]) / seconds for n in range(len(world.sent))]
        traffic = [sent[n] + (world.received[n] - self._received[n]) / seconds for n in range(count)]
        messages = [(world.messages[n] - self._messages[n]) / seconds for n in range(count)]
        coordinator = max(sent[count:], default=0.0)
        acknowledged = world.acknowledged()
        world.run(DRAIN_S)
        faults = world.finish()
        history = world.history
        return Report(
            count, world.loss, seconds, changes, len(faults), faults[0] if faults else "",
            history.delays.percentile(0.5), history.delays.percentile(0.99), history.longest_delay_s(),
            history.delays.above(DELAY_LIMIT_S),
            history.catch_up_delays.percentile(0.5), history.catch_up_delays.percentile(1),
            median(traffic), max(traffic), max(sent[:count]), self.peak, median(messages), max(messages),
            coordinator, cpu_s / count / seconds * 1e6,
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, acknowledged,
            1 - world.fresh_verdicts / max(world.sampled_verdicts, 1),
        )  # fmt: skip


class FaultInjector:
    """Injects faults during a run; every fifth router is spared, as these submit the changes."""

    def __init__(self, world: World, topic: int, until: int, isolated_region: int, seed: int) -> None:
        self._topic = topic
        self._world, self._until, self._rng = world, until, random.Random(seed)
        self._isolated_region = isolated_region

    def origin(self) -> int:
        """Return a spared router outside the isolated region; outcomes in that region would be unknown."""
        world = self._world
        while True:
            node = self._rng.randrange(0, world.fleet.routers, 5)
            if world.region_of[node] != self._isolated_region:
                return node

    def kill_relay(self) -> None:
        """Kill a relay of the next entry in a random region or site, and restart it later."""
        world = self._world
        if world.now >= self._until:
            return
        log = world.voter().topic_store.log(self._topic)
        rotation = world.placement.rotation(self._topic, log.last + 1 if log else 1)
        region = self._rng.choice(list(world.placement.regions))
        site = self._rng.choice(world.placement.regions[region])
        relays = [
            *world.placement.region_relays(region, rotation),
            *world.placement.site_relays(site, rotation),
        ]
        victims = [node for node in relays if node % 5 and node in world.nodes]
        for node in victims[:1]:
            world.kill(node)
            world.later(RESTART_DELAY_S, partial(self._restart, node))
        world.later(KILL_INTERVAL_S, self.kill_relay)

    def _restart(self, node: int) -> None:
        self._world.start(node)

    def pause_half(self, site: int) -> None:
        """Pause half of a site for 3 s."""
        members = [n for n in range(self._world.fleet.routers) if self._world.site_of[n] == site and n % 5]
        for node in members[: self._world.fleet.routers // self._world.fleet.sites // 2]:
            self._world.pause(node, 3 * NS_PER_S)

    def isolate(self, seconds: float) -> None:
        """Isolate the chosen region from all others."""
        self._world.isolate_region(self._isolated_region, int(seconds * NS_PER_S))


def purge_record(number: int, rng: random.Random) -> bytes:
    """Return a purge record: a key of 16 to 40 bytes."""
    return b"%08x" % number + b"/" * rng.randrange(8, 33)


def configuration_record(number: int, _: random.Random) -> bytes:
    """Return a configuration record of about 30 bytes; the one with number 5,000 is invalid."""
    value = b"bad" if number == 5_000 else b"value %d" % number
    return pack_change(f"tenants.t{number % KEY_COUNT}.limit" if number != 5_000 else "bad", value)


def run_scenario(
    world: World, topic: int, rate: float, seconds: float, make_record: Callable[[int, random.Random], bytes],
    with_faults: bool, seed: int = 5,
) -> Report:  # fmt: skip
    """Submit changes at a steady rate, optionally with faults; return the result.

    A region is isolated for a fifth of the run, at most 120 s.
    """
    world.run(SETTLE_S)
    rng, until = random.Random(seed), world.now + int(seconds * NS_PER_S)
    injector = FaultInjector(world, topic, until, min(9, world.fleet.regions - 1), seed)
    meter = TrafficMeter(world)
    started_at, submitted = world.now, 0
    if with_faults:
        world.later(KILL_INTERVAL_S, injector.kill_relay)
        world.later(seconds * 0.1, lambda: injector.pause_half(7 % world.fleet.sites))
        world.later(seconds * 0.3, lambda: injector.isolate(min(120.0, seconds / 5)))
    for second in range(int(seconds)):
        while submitted < rate * (second + 1):
            world.run(max((started_at + submitted / rate * NS_PER_S - world.now) / NS_PER_S, 0))
            world.submit(injector.origin(), topic, make_record(submitted, rng))
            submitted += 1
        world.run((started_at + (second + 1) * NS_PER_S - world.now) / NS_PER_S)
        meter.record_second()
    return meter.report(submitted)


def fleet_of(routers: int) -> Fleet:
    """Return a fleet with sites of about 20 routers and up to 11 regions."""
    return Fleet(routers, max(round(routers / 19.75), 1), max(min(11, routers // 60), 1))


def main() -> None:
    """Run one scenario and print its result as a line of JSON."""
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
            ("star", BaselineWorld(star, fleet, options.seed, settings, options.loss)),
            ("gossip", BaselineWorld(gossip, fleet, options.seed, settings, options.loss)),
        ]
    else:
        worlds = [(options.scenario, World(fleet, options.seed, settings, options.loss))]
    for name, world in worlds:
        world.start_all()
        if options.scenario == "changes":
            report = run_scenario(
                world,
                Topic.CONFIGURATION,
                CHANGES_PER_S,
                options.seconds,
                configuration_record,
                not options.no_storm,
            )
        else:
            rate = 0.0 if options.scenario == "calm" else PURGES_PER_S
            with_faults = options.scenario == "purges" and not options.no_storm
            if options.scenario == "takeover":
                world.later(SETTLE_S + options.seconds / 2, partial(world.pause, world.leader, 10 * NS_PER_S))
            report = run_scenario(world, Topic.PURGES, rate, options.seconds, purge_record, with_faults)
        print(json.dumps({"scenario": name} | asdict(report)), flush=True)


if __name__ == "__main__":
    main()
