"""Ownership at fleet size: `python -m benchmarks.scale.owners WHAT [options]`.

calm      cost of the leading voter, another voter and an owner at each fleet size, in virtual time
sockets   the same over loopback with the peers' datagrams, up to the size that one process can run
failures  time until each piece has an owner again after the death of an owner or of the leader, at 0%, 5%
          and 30% loss
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
from benchmarks.scale.hollow import MESSAGE_OVERHEAD_BYTES, HollowFleet, slow_time
from saltport.owners.link import OwnersLink, OwnersPlan
from saltport.owners.member import Member, Output
from saltport.owners.messages import Message, encode
from saltport.owners.settings import OwnerSettings
from tests.owners.fleet import Fleet, S

VOTER_COUNT = 5
SETTLE_S, IDLE_S = 6, 4
MAX_CHECKED_ROUTERS = 100
"""Largest fleet that is checked for two owners of a piece after each message.

Larger fleets are not checked, because each check visits all members.
"""
SOCKET_SIZES = ((25, 1.0), (50, 1.0), (100, 2.0), (200, 4.0))


@dataclass(frozen=True, slots=True)
class Costs:
    """Cost of each role per second; bytes on the wire, sent plus received."""

    routers: int
    leader_cpu_percent: float
    leader_bytes_per_s: float
    leader_datagrams_per_s: float
    voter_cpu_percent: float
    voter_bytes_per_s: float
    owner_cpu_percent: float
    owner_bytes_per_s: float


@dataclass(frozen=True, slots=True)
class OwnershipGap:
    """Seconds for which pieces of work had no owner after a death."""

    routers: int
    what: str
    loss: float
    seconds: float
    pieces: int


class MeteredMember(Member):
    """A member that adds up its own CPU time."""

    cpu_ns = 0

    def tick(self, now: int) -> None:
        """Run the periodic work."""
        started_at = time.thread_time_ns()
        super().tick(now)
        self.cpu_ns += time.thread_time_ns() - started_at

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Handle a message."""
        started_at = time.thread_time_ns()
        super().receive(sender, message, now)
        self.cpu_ns += time.thread_time_ns() - started_at

    def take_output(self) -> Output:
        """Return the work to store and send now."""
        started_at = time.thread_time_ns()
        work = super().take_output()
        self.cpu_ns += time.thread_time_ns() - started_at
        return work


class MeteredFleet(Fleet):
    """A fleet that counts the bytes and datagrams of each member, sent plus received."""

    def __init__(self, count: int, pieces: int, is_checked: bool) -> None:
        self.bytes: Counter[str] = Counter()
        self.datagrams: Counter[str] = Counter()
        self._is_checked = is_checked
        super().__init__(count, VOTER_COUNT, tasks=pieces, member=MeteredMember)

    def _send(self, sender: str, to: str, message: Message) -> None:
        size = fit.udp_bytes(len(encode(message)) + MESSAGE_OVERHEAD_BYTES, 1)
        for name in (sender, to) if sender != to else ():
            self.bytes[name] += size
            self.datagrams[name] += 1
        super()._send(sender, to, message)

    def check(self) -> None:
        """Check for two owners of a piece, if enabled: it visits each member after each message."""
        if self._is_checked:
            super().check()

    def cpu_ns_by_member(self) -> dict[str, int]:
        """Return the CPU time of each member so far."""
        return {
            name: member.cpu_ns for name, member in self.members.items() if isinstance(member, MeteredMember)
        }


def measure_idle(routers: int) -> Costs:
    """Measure an idle fleet of this size with one piece of work."""
    fleet = MeteredFleet(routers, 1, is_checked=False)
    fleet.run(SETTLE_S)
    leader = fleet.leader()
    cpu_before_ns, bytes_before, datagrams_before = (
        fleet.cpu_ns_by_member(),
        Counter(fleet.bytes),
        Counter(fleet.datagrams),
    )
    fleet.run(IDLE_S)
    if not leader or fleet.leader() != leader:
        raise RuntimeError("no voter led for the whole time")
    cpu_after_ns = fleet.cpu_ns_by_member()
    cpu_percent = {
        name: (cpu_after_ns[name] - cpu_before_ns[name]) / 1e9 / IDLE_S * 100 for name in cpu_after_ns
    }
    bytes_per_s = {name: (fleet.bytes[name] - bytes_before[name]) / IDLE_S for name in fleet.names}
    datagrams_per_s = (fleet.datagrams[leader] - datagrams_before[leader]) / IDLE_S
    return _costs_by_role(routers, leader, fleet.voters, cpu_percent, bytes_per_s, datagrams_per_s)


def _costs_by_role(
    routers: int,
    leader: str,
    voters: tuple[str, ...],
    cpu_percent: dict[str, float],
    bytes_per_s: dict[str, float],
    leader_datagrams_per_s: float,
) -> Costs:
    others = [name for name in voters if name != leader]
    owners = [name for name in cpu_percent if name not in voters]

    def mean(figures: dict[str, float], names: list[str]) -> float:
        return sum(figures[name] for name in names) / len(names)

    return Costs(
        routers,
        cpu_percent[leader],
        bytes_per_s[leader],
        leader_datagrams_per_s,
        mean(cpu_percent, others),
        mean(bytes_per_s, others),
        mean(cpu_percent, owners),
        mean(bytes_per_s, owners),
    )


def measure_ownership_gap(routers: int, what: str, loss: float) -> OwnershipGap:
    """Kill the owner of the most pieces, or the leader, and measure until each piece has an owner again."""
    fleet = MeteredFleet(routers, 8, is_checked=routers <= MAX_CHECKED_ROUTERS)
    fleet.until_owned()
    fleet.run(2)
    fleet.loss = loss
    fleet.run(2)
    pieces_by_owner = Counter(
        owner for piece in fleet.tasks for owner in fleet.owners(piece) if owner not in fleet.voters
    )
    victim = fleet.leader() if what == "the leader" else pieces_by_owner.most_common(1)[0][0]
    pieces = sum(fleet.owners(piece) == [victim] for piece in fleet.tasks)
    started_at = fleet.now
    fleet.crash(victim)
    while not (fleet.all_owned() and fleet.leader()) and fleet.now - started_at < 120 * S:
        fleet.run(0.05)
    is_owned = fleet.all_owned() and fleet.leader()
    return OwnershipGap(routers, what, loss, (fleet.now - started_at) / S if is_owned else math.inf, pieces)


class MeteredOwnersLink(OwnersLink):
    """A link that counts its CPU time; the peers' link counts the received datagrams."""

    cpu_ns = 0

    def _tick(self) -> None:
        started_at = time.thread_time_ns()
        super()._tick()
        self.cpu_ns += time.thread_time_ns() - started_at


class _NoServers:
    """Trials of ejected servers, without any ejected server."""

    def trials_due(self) -> Mapping[str, int]:
        """Return no server: none is due for a trial."""
        return {}

    def hold_trial(self, server: str, until: int) -> None:
        """Do nothing."""

    def begin_trial(self, server: str) -> None:
        """Do nothing."""


async def _measure_on_sockets(routers: int, factor: float) -> Costs:
    with slow_time(factor) as clock:
        fleet = HollowFleet(routers, clock)
        await fleet.open()
        if not await fleet.wait_until(fleet.members_agree, 60):
            raise RuntimeError("the members do not agree")
        names = list(fleet.links)
        plan = OwnersPlan(tuple(names[:VOTER_COUNT]), None, True, ("work",), False, OwnerSettings())
        owners_links = {
            name: MeteredOwnersLink(fleet.loop, plan, link, _NoServers(), place)
            for place, (name, link) in enumerate(fleet.links.items())
        }

        def total_cpu_ns() -> dict[str, int]:
            return {name: fleet.links[name].cpu_ns + link.cpu_ns for name, link in owners_links.items()}

        await fleet.run(SETTLE_S)
        if not await fleet.wait_until(fleet.is_gossip_sent, 120):
            raise RuntimeError("the gossip of the join did not end in time")
        leader = next(
            owner
            for owner, link in owners_links.items()
            if link.member is not None and link.member.coordinator
        )
        traffic_before, cpu_before_ns, started_at = (
            {name: fleet.links[name].traffic() for name in names},
            total_cpu_ns(),
            clock.monotonic_ns(),
        )
        await fleet.run(IDLE_S)
        elapsed_s = (clock.monotonic_ns() - started_at) / S
        cpu_percent = {
            name: (cpu_after_ns - cpu_before_ns[name]) / 1e9 / elapsed_s * 100
            for name, cpu_after_ns in total_cpu_ns().items()
        }
        traffic_after = {name: fleet.links[name].traffic() for name in names}
        for link in owners_links.values():
            await link.close()
        await fleet.close()
    bytes_per_s = {
        name: (traffic_after[name].bytes - traffic_before[name].bytes) / elapsed_s for name in names
    }
    datagrams_per_s = (traffic_after[leader].datagrams - traffic_before[leader].datagrams) / elapsed_s
    return _costs_by_role(
        routers, leader, tuple(names[:VOTER_COUNT]), cpu_percent, bytes_per_s, datagrams_per_s
    )


def measure_on_sockets(routers: int, factor: float = 1.0) -> Costs:
    """Measure hollow routers with membership and ownership; the figures include both."""
    return uvloop.run(_measure_on_sockets(routers, factor))


@click.command()
@click.argument("what", type=click.Choice(["calm", "sockets", "failures", "all"]), default="all")
@click.option("--size", "sizes", type=int, multiple=True, default=fit.FLEET_SIZES, show_default=True)
def main(what: str, sizes: tuple[int, ...]) -> None:
    """Run the measurement from the command line."""
    names = [field.name for field in fields(Costs)[1:]]
    if what in ("calm", "all"):
        rows = [fit.run_isolated(measure_idle, size) for size in sizes]
        click.echo(
            f"calm, virtual time, ownership alone\n{fit.format_table(rows)}\n"
            f"{fit.format_fits(rows, 'routers', names)}"
        )
    if what in ("sockets", "all"):
        rows = [fit.run_isolated(measure_on_sockets, *size) for size in SOCKET_SIZES if size[0] <= max(sizes)]
        click.echo(
            f"loopback sockets, with membership\n{fit.format_table(rows)}\n"
            f"{fit.format_fits(rows, 'routers', names)}"
        )
    if what in ("failures", "all"):
        gaps = [
            fit.run_isolated(measure_ownership_gap, size, what, loss)
            for what in ("an owner", "the leader")
            for loss in (0.0, 0.05, 0.3)
            for size in sizes
            if size <= 400
        ]
        click.echo(f"failures, virtual time\n{fit.format_table(gaps)}")


if __name__ == "__main__":
    main()
