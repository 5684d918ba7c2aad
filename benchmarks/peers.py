"""Compares membership protocols in virtual time: `python -m benchmarks.peers deaths|storm|cuts [options]`.

deaths  seconds until all members know of a death, and bytes per member and second
storm   false deaths under loss, 2 s pauses of a twentieth of the members each minute, and one-way cuts
cuts    partitions, an alternating cut, mass deaths and pauses: views meanwhile, and time until all agree

Protocols (`--form`): ours; swim (random targets, one suspicion time, no refutation, no handling of pauses and
mass suspicions); heartbeats and phi (from each member to all others, with a fixed time-out or phi accrual
with threshold 8), by a simple model without gossip.
"""

from __future__ import annotations

import math
import random
import statistics
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import permutations

import click

from benchmarks.peers_world import Cut, World
from saltport.peers.agent import Agent
from saltport.peers.settings import NS_PER_S, PeerSettings

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_BYTES = 60  # header and envelope
PHI_THRESHOLD = 8.0
LOSS = 0.3
PAUSE_S = 2.0
FORMS = ["ours", "swim", "heartbeats", "phi"]


class Swim(Agent):
    """SWIM as in its paper, with the same rate of probes."""

    def _probe_subjects(self, now: int) -> None:
        self.local_health.score = self.local_health.lag_ns = 0
        if now >= self._next_probe_at:
            self._next_probe_at = now + self.settings.probe_period_ns // self.settings.rings
            for name in self.members.sample(1, self._rng, (self.name,)):
                self.probes.start(name, now)


Pause = tuple[float, int]
PLAIN_SETTINGS = replace(
    PeerSettings(), refutation=False, pause_threshold_ns=1 << 62, mass_suspicion_share=2.0
)


def _create_world(form: str, members: int, seed: int) -> World:
    world = World(members, seed, PLAIN_SETTINGS, Swim) if form == "swim" else World(members, seed)
    world.start_all()
    world.until_agreed(60)
    world.run(12)
    return world


def storm_faults(members: int, seed: int, minutes: int) -> Iterator[tuple[set[tuple[int, int]], list[Pause]]]:
    """Yield the cuts and the pauses (time and place) of each minute; they are the same for each protocol."""
    rng, pending_pauses = random.Random(seed + 99), 0.0
    for _ in range(minutes):
        cut = {
            (source, target)
            for source, target in (rng.sample(range(members), 2) for _ in range(max(members // 6, 1)))
        }
        pending_pauses += members / 20
        yield cut, sorted((rng.uniform(0, 60), rng.randrange(members)) for _ in range(int(pending_pauses)))
        pending_pauses -= int(pending_pauses)


def measure_storm(form: str, members: int, minutes: int, seed: int) -> str:
    """Return the number of false deaths over all observers, and the bytes per member and second, as text."""
    format_result = "{} min: {} false deaths believed, {:.0f} bytes/s".format
    if form in ("heartbeats", "phi"):
        return format_result(
            minutes,
            _count_heartbeat_deaths(form, members, minutes, seed),
            (members - 1) * HEARTBEAT_BYTES / HEARTBEAT_INTERVAL_S,
        )
    world = _create_world(form, members, seed)
    since, sent_before, world.loss = world.now, world.sent, LOSS
    current_cuts: set[tuple[int, int]] = set()
    world.cuts.append(lambda source, target, _: (source, target) in current_cuts)
    for number, (minute_cuts, pauses) in enumerate(storm_faults(members, seed, minutes)):
        current_cuts.clear()
        current_cuts |= minute_cuts
        started_at = since + number * 60 * NS_PER_S
        for offset_s, place in pauses:
            world.run(until=max(started_at + int(offset_s * NS_PER_S), world.now))
            world.pause(place, int(PAUSE_S * NS_PER_S))
        world.run(until=started_at + 60 * NS_PER_S)
    return format_result(
        minutes, len(world.events_of_kind("died", since)), (world.sent - sent_before) / members / minutes / 60
    )


def _count_heartbeat_deaths(form: str, members: int, minutes: int, seed: int) -> int:
    """Count the false deaths with heartbeats from each member to all; only pauses affect several pairs."""
    rng, beliefs, fault_plan = random.Random(seed), 0, list(storm_faults(members, seed, minutes))
    pause_starts = [
        (minute * 60 + at, place) for minute, (_, pauses) in enumerate(fault_plan) for at, place in pauses
    ]
    for sender, receiver in permutations(range(members), 2):
        pauses_of_sender = [at for at, place in pause_starts if place == sender]
        last_heard_at, intervals, at = 0.0, deque([HEARTBEAT_INTERVAL_S], maxlen=100), 0.0
        while (at := at + HEARTBEAT_INTERVAL_S) < minutes * 60:
            is_paused = any(pause_start <= at < pause_start + PAUSE_S for pause_start in pauses_of_sender)
            if is_paused or (sender, receiver) in fault_plan[int(at // 60)][0] or rng.random() < LOSS:
                continue
            silence_s, last_heard_at = at - last_heard_at, at
            beliefs += silence_s > (_phi_limit(intervals) if form == "phi" else 2.6)
            intervals.append(silence_s)
    return beliefs


def _phi_limit(intervals: deque[float]) -> float:
    """Return the silence at which phi reaches its threshold, by mean and deviation of the last intervals."""
    mean = sum(intervals) / len(intervals)
    deviation = max(math.sqrt(sum((interval - mean) ** 2 for interval in intervals) / len(intervals)), 0.1)
    return mean + statistics.NormalDist().inv_cdf(1 - 10**-PHI_THRESHOLD) * deviation


def measure_deaths(form: str, members: int, count: int, seed: int) -> str:
    """Return the time until all members know of a death, and the bytes of an idle member, as text."""
    world, detection_s = _create_world(form, members, seed), []
    idle_bytes_per_s = world.bytes_per_s(10)
    for number in range(count):
        place = world.rng.choice(sorted(world.agents))
        world.run(world.rng.random())
        world.kill(place)
        detection_s.append(world.until_agreed(60))
        world.run(1)
        world.start(place, 2_000 + number)
        world.until_agreed(60)
        world.run(3)
    detection_s.sort()
    p50, p99 = detection_s[count // 2], detection_s[min(count * 99 // 100, count - 1)]
    return f"{count} deaths: p50 {p50:.2f} s, p99 {p99:.2f} s, {idle_bytes_per_s:.0f} bytes/s"


def measure_cuts(members: int, seed: int) -> Iterator[str]:
    """Yield a line for each partition or mass fault: the views at its end, and the time until all agree."""
    world = _create_world("ours", members, seed)

    def add_cut(is_cut: Cut) -> Callable[[], object]:
        return lambda: world.cuts.append(is_cut)

    def for_every(step: int, action: Callable[[int], object]) -> Callable[[], object]:
        return lambda: [action(place) for place in range(0, members, step)]

    scenarios = [
        ("cut in halves", add_cut(lambda a, b, _: a % 2 != b % 2), 20),
        ("cut in thirds", add_cut(lambda a, b, _: a % 3 != b % 3), 20),
        (
            "a cut that swings",
            add_cut(lambda a, b, now: a % 2 != b % 2 and now // (2 * NS_PER_S) % 2 == 0),
            40,
        ),
        ("half stopped for 3 s", for_every(2, lambda place: world.pause(place, 3 * NS_PER_S)), 10),
        ("a third killed at once", for_every(3, world.kill), 0),
        ("and started again", for_every(3, lambda place: world.start(place, 3_000)), 0),
    ]
    for name, begin, seconds in scenarios:
        since = world.now
        begin()
        world.run(seconds)
        quorum_states = dict(Counter(str(agent.views.quorum) for agent in world.agents.values()))
        death_count, sent = len(world.events_of_kind("died", since)), world.sent
        world.cuts.clear()
        agreed_s = world.until_agreed(60)
        bytes_each, views = (
            (world.sent - sent) // members,
            len(world.events_of_kind("view", since)) / len(world.agents),
        )
        yield (
            f"{name}: {quorum_states}, {death_count} deaths, {views:.1f} views each; "
            f"agreed {agreed_s:.2f} s, {bytes_each} bytes"
        )
        world.run(15)
    started_world = World(members, seed)
    started_world.start_all(NS_PER_S)
    start_s, agreed_s = started_world.now / NS_PER_S - 1, started_world.until_agreed(60)
    yield f"all started within a second: agreed {start_s + agreed_s:.2f} s after the first"


@click.command()
@click.argument("what", type=click.Choice(["deaths", "storm", "cuts"]))
@click.option("--form", type=click.Choice(FORMS), default="ours", show_default=True)
@click.option("--members", default=30, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--minutes", default=60, show_default=True, help="Duration of a storm.")
@click.option("--count", default=20, show_default=True, help="Number of deaths.")
def main(what: str, form: str, members: int, seed: int, minutes: int, count: int) -> None:
    """Run the benchmark from the command line."""
    click.echo(f"{form} {members} seed {seed}")
    if what == "storm":
        click.echo(measure_storm(form, members, minutes, seed))
    elif what == "deaths":
        click.echo(measure_deaths(form, members, count, seed))
    else:
        click.echo("\n".join(measure_cuts(members, seed)))


if __name__ == "__main__":
    main()
