"""Simulation of routers and voters in virtual time, with delayed effects; checks for one owner per task."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from saltport.owners.fence import Fence
from saltport.owners.log import Configuration, Log, Snapshot, Vote
from saltport.owners.member import Member
from saltport.owners.messages import Message, decode, encode
from saltport.owners.settings import OwnerSettings
from saltport.peers.link import MAX_PAYLOAD_BYTES
from tests.owners.world import Disk

S = 1_000_000_000


class TwoOwnersError(AssertionError):
    """Two processes might both work on one task at the same moment."""


class Fleet:
    """Members in virtual time, each with a clock of its own speed."""

    def __init__(
        self,
        count: int,
        voters: int = 3,
        seed: int = 1,
        settings: OwnerSettings | None = None,
        tasks: int = 2,
        fenced: bool = True,
        member: type[Member] = Member,
    ) -> None:
        self.settings, self.rng, self.now = settings or OwnerSettings(), random.Random(seed), 100 * S
        self._member = member
        self.names = [f"r{number}" for number in range(count)]
        self.voters = tuple(self.names[:voters])
        self.tasks = [f"p{number}" for number in range(tasks)]
        self.rates = {name: self.rng.uniform(0.98, 1.02) for name in self.names}
        first = Snapshot(0, 0, Configuration(self.voters))
        self.disks = {name: Disk(Vote(0), first) for name in self.voters}
        self.members: dict[str, Member] = {}
        self.paused_predecessors: list[tuple[str, Member]] = []
        """Paused processes that run beside a later process of the same name."""
        self.stopped: dict[str, int] = {}
        self.starts = dict.fromkeys(self.names, 0)
        self.cut: Callable[[str, str], bool] = lambda here, there: False
        self.loss = 0.0
        self.extra_delay: Callable[[str, str], int] = lambda here, there: 0
        self.delay = (1_000_000, 8_000_000)
        self._events: list[tuple[int, int, str, str, bytes | None]] = []
        self._count = 0
        self.fenced = fenced
        self.fence = Fence()
        self.effects: list[tuple[int, str, int]] = []
        """Applied effects in order: time, task, epoch."""
        self.refused = 0
        self._late_effects: list[tuple[int, int, str, int]] = []
        self.owned_since: dict[str, int] = {}
        self.unowned_durations: list[int] = []
        """Durations for which tasks had no owner."""
        self.checked = 0
        self.written = 0
        for name in self.names:
            self.boot(name, fresh=True)

    def clock(self, name: str) -> int:
        return int(self.now * self.rates[name])

    def boot(self, name: str, fresh: bool = False) -> None:
        self.starts[name] += 1
        stored = None
        if name in self.voters:
            disk = self.disks[name]
            stored = (Log(disk.snapshot, list(disk.entries)), disk.vote, False)
        rng = random.Random(self.rng.getrandbits(32))
        now = self.clock(name)
        member = self._member(name, self.starts[name], self.voters, self.settings, rng, now, stored)
        if fresh and member.raft is not None:
            member.raft._leader_contact_at -= self.settings.raft.election_timeout
        member.owner_lease.set_wanted(self.tasks)
        self.members[name] = member
        self.stopped.pop(name, None)
        self._push(self.now, name, "", None)

    def crash(self, name: str) -> None:
        self.members.pop(name, None)

    def stop(self, name: str, seconds: float) -> None:
        self.stopped[name] = self.now + int(seconds * S)

    def _push(self, at: int, to: str, sender: str, data: bytes | None) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, to, sender, data))

    def perform_output(self, name: str) -> None:
        member = self.members[name]
        output = member.take_output()
        if name in self.disks:
            self.written += output.vote is not None or bool(output.entries) or output.snapshot is not None
            self.disks[name].persist(output.vote, output.snapshot, output.entries)
        for to, message in output.messages:
            self._send(name, to, message)

    def _send(self, sender: str, to: str, message: Message) -> None:
        data = encode(message)
        assert len(data) <= MAX_PAYLOAD_BYTES, (len(data), message)
        if to == sender:
            self._push(self.now, to, sender, data)
        elif self.rng.random() >= self.loss and not self.cut(sender, to):
            self._push(
                self.now + self.extra_delay(sender, to) + self.rng.randint(*self.delay), to, sender, data
            )
            if self.rng.random() < 0.02:
                self._push(self.now + self.rng.randint(*self.delay) * 50, to, sender, data)

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * S)
        while self._events and self._events[0][0] <= end:
            at, _, to, sender, data = heapq.heappop(self._events)
            self.now = max(at, self.now)
            self._apply_late_effects()
            member = self.members.get(to)
            if member is None:
                continue
            wakes = self.stopped.get(to, 0)
            if wakes > self.now:
                self._push(wakes, to, sender, data)
                continue
            if data is None:
                member.tick(self.clock(to))
                wait = max(member.wake_at - self.clock(to), 1_000_000)
                self._push(self.now + int(wait / self.rates[to]) + 1, to, "", None)
                self._send_effects(to)
            else:
                member.receive(sender, decode(data), self.clock(to))
            self.perform_output(to)
            self.check()
        self.now = max(end, self.now)

    # Effects

    def _send_effects(self, name: str) -> None:
        """Check the lease, and send effects that may be delayed for long."""
        member = self.members[name]
        for task in self.tasks[:4]:
            epoch = member.owner_lease.effect_epoch(task, self.clock(name))
            if epoch is not None and self.rng.random() < 0.3:
                delay = self.rng.choice([1, 5, 20, 5_000, 9_000]) * 1_000_000
                self._count += 1
                heapq.heappush(self._late_effects, (self.now + delay, self._count, task, epoch))

    def _apply_late_effects(self) -> None:
        while self._late_effects and self._late_effects[0][0] <= self.now:
            at, _, task, epoch = heapq.heappop(self._late_effects)
            if not self.fenced or self.fence.admit(task, epoch):
                self.effects.append((at, task, epoch))
            else:
                self.refused += 1

    def applied_from_older(self) -> int:
        """Number of effects that were applied after one of a later epoch of the same task."""
        highest: dict[str, int] = {}
        count = 0
        for _, task, epoch in self.effects:
            count += epoch < highest.get(task, 0)
            highest[task] = max(epoch, highest.get(task, 0))
        return count

    # Invariants

    def owners(self, task: str) -> list[str]:
        """Members that may begin an effect now, with paused ones, which may resume within their lease."""
        return [
            name
            for name, member in [*self.members.items(), *self.paused_predecessors]
            if member.owner_lease.effect_epoch(task, self.clock(name)) is not None
        ]

    def check(self) -> None:
        for task in self.tasks[:8]:
            self.checked += 1
            owners = self.owners(task)
            if len(owners) > 1:
                raise TwoOwnersError(f"{task} is {' and '.join(owners)}'s")
            if owners:
                since = self.owned_since.pop(task, None)
                if since is not None:
                    self.unowned_durations.append(self.now - since)
            else:
                self.owned_since.setdefault(task, self.now)

    def leader(self) -> str:
        return next((name for name, member in self.members.items() if member.coordinator is not None), "")

    def all_owned(self) -> bool:
        return all(len(self.owners(task)) == 1 for task in self.tasks)

    def until_owned(self, seconds: float = 60.0) -> float:
        begun = self.now
        while not self.all_owned():
            assert self.now - begun < seconds * S, f"not all owned within {seconds} s"
            self.run(0.05)
        return (self.now - begun) / S
