"""Ownership at fleet size: `python -m benchmarks.scale.owners WHAT [options]`.

calm      what the leading voter, another voter and an owner cost at each size of the fleet, in virtual time
sockets   the same over loopback, through the peers' datagrams, as far as one process carries it
failures  how long until each piece has an owner again: an owner dies, the leader dies, at no loss, 5% and 30%
"""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, fields

import click
import uvloop

from benchmarks.scale import fit
from benchmarks.scale.hollow import CARRIED, Hollows, slowed
from saltport.owners.link import OwnersLink, OwnersPlan
from saltport.owners.member import Member, Output
from saltport.owners.messages import Message, encode
from saltport.owners.settings import OwnerSettings
from tests.owners.fleet import Fleet, S

VOTERS = 5
SETTLE_S, CALM_S = 6, 4
MOST_CHECKED = 100
"""Routers up to which each message is followed by a look for two owners of a piece: it looks at all."""
SOCKET_SIZES = ((25, 1.0), (50, 1.0), (100, 2.0), (200, 4.0))


@dataclass(frozen=True, slots=True)
class Costs:
    """What each role costs a second; bytes as on the wire, sent and received together."""

    routers: int
    leader_cpu_percent: float
    leader_bytes_per_s: float
    leader_datagrams_per_s: float
    voter_cpu_percent: float
    voter_bytes_per_s: float
    owner_cpu_percent: float
    owner_bytes_per_s: float


@dataclass(frozen=True, slots=True)
class Ownerless:
    """How long pieces were nobody's after a death; seconds."""

    routers: int
    what: str
    loss: float
    seconds: float
    pieces: int


class CountedMember(Member):
    """Adds up its own processor time."""

    spent = 0

    def tick(self, now: int) -> None:
        """Time has passed."""
        begun = time.thread_time_ns()
        super().tick(now)
        self.spent += time.thread_time_ns() - begun

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Take a message."""
        begun = time.thread_time_ns()
        super().receive(sender, message, now)
        self.spent += time.thread_time_ns() - begun

    def take_output(self) -> Output:
        """What is to be stored and sent now."""
        begun = time.thread_time_ns()
        work = super().take_output()
        self.spent += time.thread_time_ns() - begun
        return work


class CountedFleet(Fleet):
    """Counts what each sends and gets."""

    def __init__(self, count: int, pieces: int, checked: bool) -> None:
        self.bytes: Counter[str] = Counter()
        self.datagrams: Counter[str] = Counter()
        self._checked = checked
        super().__init__(count, VOTERS, tasks=pieces, member=CountedMember)

    def _send(self, sender: str, to: str, message: Message) -> None:
        size = fit.udp_bytes(len(encode(message)) + CARRIED, 1)
        for name in (sender, to) if sender != to else ():
            self.bytes[name] += size
            self.datagrams[name] += 1
        super()._send(sender, to, message)

    def check(self) -> None:
        """Only where it is asked for: it looks at each member after each message."""
        if self._checked:
            super().check()

    def spent(self) -> dict[str, int]:
        """Processor time of each, so far."""
        return {
            name: member.spent for name, member in self.members.items() if isinstance(member, CountedMember)
        }


def calm(routers: int) -> Costs:
    """One size, one piece of work."""
    fleet = CountedFleet(routers, 1, checked=False)
    fleet.run(SETTLE_S)
    leader = fleet.leader()
    spent, size, count = fleet.spent(), Counter(fleet.bytes), Counter(fleet.datagrams)
    fleet.run(CALM_S)
    if not leader or fleet.leader() != leader:
        raise RuntimeError("no voter led for the whole time")
    after = fleet.spent()
    cpu = {name: (after[name] - spent[name]) / 1e9 / CALM_S * 100 for name in after}
    rate = {name: (fleet.bytes[name] - size[name]) / CALM_S for name in fleet.names}
    datagrams = (fleet.datagrams[leader] - count[leader]) / CALM_S
    return _costs(routers, leader, fleet.voters, cpu, rate, datagrams)


def _costs(
    routers: int, leader: str, voters: tuple[str, ...], cpu: dict[str, float], rate: dict[str, float],
    datagrams: float,
) -> Costs:  # fmt: skip
    others = [name for name in voters if name != leader]
    owners = [name for name in cpu if name not in voters]

    def mean(figures: dict[str, float], names: list[str]) -> float:
        return sum(figures[name] for name in names) / len(names)

    return Costs(
        routers, cpu[leader], rate[leader], datagrams, mean(cpu, others), mean(rate, others),
        mean(cpu, owners), mean(rate, owners),
    )  # fmt: skip


def ownerless(routers: int, what: str, loss: float) -> Ownerless:
    """Kill the owner of the most pieces, or the leader; both lose what they own."""
    fleet = CountedFleet(routers, 8, checked=routers <= MOST_CHECKED)
    fleet.until_owned()
    fleet.run(2)
    fleet.loss = loss
    fleet.run(2)
    held = Counter(
        owner for piece in fleet.tasks for owner in fleet.owners(piece) if owner not in fleet.voters
    )
    victim = fleet.leader() if what == "the leader" else held.most_common(1)[0][0]
    pieces = sum(fleet.owners(piece) == [victim] for piece in fleet.tasks)
    begun = fleet.now
    fleet.crash(victim)
    while not (fleet.all_owned() and fleet.leader()) and fleet.now - begun < 120 * S:
        fleet.run(0.05)
    owned = fleet.all_owned() and fleet.leader()
    return Ownerless(routers, what, loss, (fleet.now - begun) / S if owned else math.inf, pieces)


class HollowOwners(OwnersLink):
    """Counts its processor time; what comes counts at the peers' socket."""

    spent = 0

    def _tick(self) -> None:
        begun = time.thread_time_ns()
        super()._tick()
        self.spent += time.thread_time_ns() - begun


class _NoServers:
    """No server was taken out."""

    def trials_due(self) -> Mapping[str, int]:
        """None is to be tried."""
        return {}

    def hold_trial(self, server: str, until: int) -> None:
        """None is held."""

    def begin_trial(self, server: str) -> None:
        """None begins."""


async def _on_sockets(routers: int, factor: float) -> Costs:
    with slowed(factor) as clock:
        fleet = Hollows(routers, clock)
        await fleet.open()
        if not await fleet.until(fleet.agree, 60):
            raise RuntimeError("the members do not agree")
        names = list(fleet.links)
        plan = OwnersPlan(tuple(names[:VOTERS]), None, True, ("work",), False, OwnerSettings())
        held = {
            name: HollowOwners(fleet.loop, plan, link, _NoServers(), place)
            for place, (name, link) in enumerate(fleet.links.items())
        }

        def spent() -> dict[str, int]:
            return {name: fleet.links[name].spent + link.spent for name, link in held.items()}

        await fleet.run(SETTLE_S)
        if not await fleet.until(fleet.quiet, 120):
            raise RuntimeError("the members have not told all of their join")
        leader = next(n for n, link in held.items() if link.member is not None and link.member.coordinator)
        before, worked, begun = (
            {name: fleet.links[name].wire() for name in names},
            spent(),
            clock.monotonic_ns(),
        )
        await fleet.run(CALM_S)
        span = (clock.monotonic_ns() - begun) / S
        cpu = {name: (done - worked[name]) / 1e9 / span * 100 for name, done in spent().items()}
        after = {name: fleet.links[name].wire() for name in names}
        for link in held.values():
            await link.close()
        await fleet.close()
    rate = {name: (after[name].bytes - before[name].bytes) / span for name in names}
    datagrams = (after[leader].datagrams - before[leader].datagrams) / span
    return _costs(routers, leader, tuple(names[:VOTERS]), cpu, rate, datagrams)


def on_sockets(routers: int, factor: float = 1.0) -> Costs:
    """Hollow routers with membership and ownership; both are in the figures."""
    return uvloop.run(_on_sockets(routers, factor))


@click.command()
@click.argument("what", type=click.Choice(["calm", "sockets", "failures", "all"]), default="all")
@click.option("--size", "sizes", type=int, multiple=True, default=fit.SIZES, show_default=True)
def main(what: str, sizes: tuple[int, ...]) -> None:
    """Measure."""
    names = [field.name for field in fields(Costs)[1:]]
    if what in ("calm", "all"):
        rows = [fit.apart(calm, size) for size in sizes]
        click.echo(
            f"calm, virtual time, ownership alone\n{fit.table(rows)}\n{fit.fits(rows, 'routers', names)}"
        )
    if what in ("sockets", "all"):
        rows = [fit.apart(on_sockets, *size) for size in SOCKET_SIZES if size[0] <= max(sizes)]
        click.echo(
            f"loopback sockets, with membership\n{fit.table(rows)}\n{fit.fits(rows, 'routers', names)}"
        )
    if what in ("failures", "all"):
        told = [
            fit.apart(ownerless, size, what, loss)
            for what in ("an owner", "the leader")
            for loss in (0.0, 0.05, 0.3)
            for size in sizes
            if size <= 400
        ]
        click.echo(f"failures, virtual time\n{fit.table(told)}")


if __name__ == "__main__":
    main()
