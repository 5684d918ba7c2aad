"""Membership in virtual time, beside plain forms: `python -m benchmarks.peers deaths|storm|cuts [options]`.

deaths  seconds until all know of a death, and bytes a member a second
storm   false deaths under loss, pauses of 2 s of a twentieth of the members each minute, and one-sided cuts
cuts    partitions, a swinging cut, mass deaths and pauses: what is believed, and how long healing takes

Forms: ours; swim (random targets, one suspicion time, no witnesses, no patience); heartbeats and phi (each to
all, a fixed time of silence or phi accrual at 8), by a model of their own without any gossip.
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

BEAT_S = 0.5
BEAT_BYTES = 60  # a head and an envelope
PHI = 8.0
LOSS = 0.3
PAUSE_S = 2.0
FORMS = ["ours", "swim", "heartbeats", "phi"]


class Swim(Agent):
    """SWIM as its paper has it, at the same number of questions."""

    def _probe_subjects(self, now: int) -> None:
        self.local_health.score = self.local_health.lag_ns = 0
        if now >= self._next_probe_at:
            self._next_probe_at = now + self.settings.probe_period_ns // self.settings.rings
            for name in self.members.sample(1, self._rng, (self.name,)):
                self.probes.start(name, now)


Pause = tuple[float, int]
PLAIN = replace(PeerSettings(), refutation=False, pause_threshold_ns=1 << 62, mass_suspicion_share=2.0)


def _world(form: str, members: int, seed: int) -> World:
    world = World(members, seed, PLAIN, Swim) if form == "swim" else World(members, seed)
    world.start_all()
    world.until_agreed(60)
    world.run(12)
    return world


def strain(members: int, seed: int, minutes: int) -> Iterator[tuple[set[tuple[int, int]], list[Pause]]]:
    """The cuts of each minute, and the pauses: when in it, and who. The same for each form."""
    rng, owed = random.Random(seed + 99), 0.0
    for _ in range(minutes):
        cut = {(a, b) for a, b in (rng.sample(range(members), 2) for _ in range(max(members // 6, 1)))}
        owed += members / 20
        yield cut, sorted((rng.uniform(0, 60), rng.randrange(members)) for _ in range(int(owed)))
        owed -= int(owed)


def storm(form: str, members: int, minutes: int, seed: int) -> str:
    """False deaths, each observer's belief counted once, and the bytes of a member a second."""
    told = "{} min: {} false deaths believed, {:.0f} bytes/s".format
    if form in ("heartbeats", "phi"):
        return told(minutes, _beats(form, members, minutes, seed), (members - 1) * BEAT_BYTES / BEAT_S)
    world = _world(form, members, seed)
    since, before, world.loss = world.now, world.sent, LOSS
    cut: set[tuple[int, int]] = set()
    world.cuts.append(lambda here, there, _: (here, there) in cut)
    for number, (now_cut, pauses) in enumerate(strain(members, seed, minutes)):
        cut.clear()
        cut |= now_cut
        begun = since + number * 60 * NS_PER_S
        for at, who in pauses:
            world.run(until=max(begun + int(at * NS_PER_S), world.now))
            world.pause(who, int(PAUSE_S * NS_PER_S))
        world.run(until=begun + 60 * NS_PER_S)
    return told(
        minutes, len(world.events_of_kind("died", since)), (world.sent - before) / members / minutes / 60
    )


def _beats(form: str, members: int, minutes: int, seed: int) -> int:
    """Heartbeats from each to all: pairs are independent but for the pauses."""
    rng, beliefs, plan = random.Random(seed), 0, list(strain(members, seed, minutes))
    stops = [(minute * 60 + at, who) for minute, (_, pauses) in enumerate(plan) for at, who in pauses]
    for sender, hearer in permutations(range(members), 2):
        mine = [at for at, who in stops if who == sender]
        heard, gaps, at = 0.0, deque([BEAT_S], maxlen=100), 0.0
        while (at := at + BEAT_S) < minutes * 60:
            still = any(stop <= at < stop + PAUSE_S for stop in mine)
            if still or (sender, hearer) in plan[int(at // 60)][0] or rng.random() < LOSS:
                continue
            silent, heard = at - heard, at
            beliefs += silent > (_phi_limit(gaps) if form == "phi" else 2.6)
            gaps.append(silent)
    return beliefs


def _phi_limit(gaps: deque[float]) -> float:
    """The silence at which phi reaches its bound, by the mean and the deviation of the last gaps."""
    mean = sum(gaps) / len(gaps)
    deviation = max(math.sqrt(sum((gap - mean) ** 2 for gap in gaps) / len(gaps)), 0.1)
    return mean + statistics.NormalDist().inv_cdf(1 - 10**-PHI) * deviation


def deaths(form: str, members: int, count: int, seed: int) -> str:
    """How long it takes until all know of each of so many deaths, and the bytes of a member in calm."""
    world, times = _world(form, members, seed), []
    calm = world.bytes_per_s(10)
    for number in range(count):
        place = world.rng.choice(sorted(world.agents))
        world.run(world.rng.random())
        world.kill(place)
        times.append(world.until_agreed(60))
        world.run(1)
        world.start(place, 2_000 + number)
        world.until_agreed(60)
        world.run(3)
    times.sort()
    p50, p99 = times[count // 2], times[min(count * 99 // 100, count - 1)]
    return f"{count} deaths: p50 {p50:.2f} s, p99 {p99:.2f} s, {calm:.0f} bytes/s"


def cuts(members: int, seed: int) -> Iterator[str]:
    """Lines on partitions and mass troubles: what is believed at their end, and how long until all agree."""
    world = _world("ours", members, seed)

    def cut(far: Cut) -> Callable[[], object]:
        return lambda: world.cuts.append(far)

    def every(step: int, act: Callable[[int], object]) -> Callable[[], object]:
        return lambda: [act(place) for place in range(0, members, step)]

    scenes = [
        ("cut in halves", cut(lambda a, b, _: a % 2 != b % 2), 20),
        ("cut in thirds", cut(lambda a, b, _: a % 3 != b % 3), 20),
        ("a cut that swings", cut(lambda a, b, now: a % 2 != b % 2 and now // (2 * NS_PER_S) % 2 == 0), 40),
        ("half stopped for 3 s", every(2, lambda place: world.pause(place, 3 * NS_PER_S)), 10),
        ("a third killed at once", every(3, world.kill), 0),
        ("and started again", every(3, lambda place: world.start(place, 3_000)), 0),
    ]
    for what, begin, seconds in scenes:
        since = world.now
        begin()
        world.run(seconds)
        stand = dict(Counter(str(agent.views.quorum) for agent in world.agents.values()))
        died, sent = len(world.events_of_kind("died", since)), world.sent
        world.cuts.clear()
        agreed = world.until_agreed(60)
        each, views = (
            (world.sent - sent) // members,
            len(world.events_of_kind("view", since)) / len(world.agents),
        )
        yield f"{what}: {stand}, {died} deaths, {views:.1f} views each; agreed {agreed:.2f} s, {each} bytes"
        world.run(15)
    fresh = World(members, seed)
    fresh.start_all(NS_PER_S)
    took, agreed = fresh.now / NS_PER_S - 1, fresh.until_agreed(60)
    yield f"all started within a second: agreed {took + agreed:.2f} s after the first"


@click.command()
@click.argument("what", type=click.Choice(["deaths", "storm", "cuts"]))
@click.option("--form", type=click.Choice(FORMS), default="ours", show_default=True)
@click.option("--members", default=30, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--minutes", default=60, show_default=True, help="Of a storm.")
@click.option("--count", default=20, show_default=True, help="Of deaths.")
def main(what: str, form: str, members: int, seed: int, minutes: int, count: int) -> None:
    """Measure."""
    click.echo(f"{form} {members} seed {seed}")
    if what == "storm":
        click.echo(storm(form, members, minutes, seed))
    elif what == "deaths":
        click.echo(deaths(form, members, count, seed))
    else:
        click.echo("\n".join(cuts(members, seed)))


if __name__ == "__main__":
    main()
