"""Simulation of Raft voters in virtual time; checks the invariants after each step."""

from __future__ import annotations

import pickle
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from saltport.owners.log import Configuration, Entry, Log, Snapshot, Vote
from saltport.owners.raft import Message, Raft, RaftSettings, Role

SETTINGS = RaftSettings()
START = 10 * SETTINGS.election_timeout
_WORD = (1 << 64) - 1


@dataclass
class Disk:
    """Stored state, which survives a crash."""

    vote: Vote
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)

    def persist(self, vote: Vote | None, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        if vote is not None:
            self.vote = vote
        if snapshot is not None:
            self.snapshot, self.entries = snapshot, list(entries)
        elif entries:
            first = entries[0].index
            self.entries = [entry for entry in self.entries if entry.index < first] + list(entries)


class CompactRandom(random.Random):
    """Random numbers with a state of one integer (splitmix64), because worlds are copied thousands of times.

    Copying the 625 numbers of a `random.Random` took two thirds of a search's time.
    """

    def __init__(self, state: int) -> None:
        super().__init__(0)
        self._state = state

    def __reduce__(self) -> tuple[object, ...]:
        return CompactRandom, (self._state,)

    def getrandbits(self, count: int, /) -> int:
        drawn, had = 0, 0
        while had < count:
            drawn, had = drawn << 64 | self._next(), had + 64
        return drawn >> had - count

    def random(self) -> float:
        return (self._next() >> 11) / (1 << 53)

    def _next(self) -> int:
        self._state = (self._state + 0x9E3779B97F4A7C15) & _WORD
        mixed = self._state
        mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _WORD
        mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _WORD
        return mixed ^ mixed >> 31


class InvariantError(AssertionError):
    """An invariant is violated."""


class Cluster:
    """Voters, learners and the messages in flight; `rates`: the speed of each member's clock."""

    def __init__(
        self,
        voters: tuple[str, ...] = ("a", "b", "c"),
        seed: int = 1,
        settings: RaftSettings = SETTINGS,
        spare: tuple[str, ...] = (),
        rates: dict[str, float] | None = None,
        forgets: bool = False,
        stores_votes: bool = True,
    ) -> None:
        self.settings, self.now = settings, START
        self.rng = random.Random(seed)
        self.forgets, self.stores_votes = forgets, stores_votes
        self.rates = rates or {}
        first = Snapshot(0, 0, Configuration(voters))
        self.disks = {name: Disk(Vote(0), first) for name in (*voters, *spare)}
        self.nodes: dict[str, Raft] = {}
        self.in_flight: list[tuple[str, str, Message]] = []
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.leaders: dict[int, str] = {}
        self.applied: dict[str, list[bytes]] = {}
        for name in self.disks:
            self.boot(name, fresh=True)

    def clock(self, name: str) -> int:
        return int(self.now * self.rates.get(name, 1.0))

    def boot(self, name: str, fresh: bool = False) -> None:
        disk = self.disks[name]
        lost_state = self.forgets and not fresh
        if lost_state:
            disk = self.disks[name] = Disk(Vote(0), configured_snapshot(disk))
        log = Log(disk.snapshot, list(disk.entries))
        rng = type(self.rng)(self.rng.getrandbits(32))
        self.nodes[name] = Raft(name, log, disk.vote, self.settings, rng, self.clock(name), lost_state)
        self.applied[name] = [disk.snapshot.data]
        if fresh:
            self.nodes[
                name
            ]._leader_contact_at -= self.settings.election_timeout  # no earlier promise binds it

    def crash(self, name: str) -> None:
        self.nodes.pop(name, None)

    def perform_output(self, name: str) -> None:
        """Store, send and apply a member's output; then check the invariants."""
        node = self.nodes[name]
        ready = node.take_ready()
        vote = self.disks[name].vote
        self.disks[name].persist(ready.vote, ready.snapshot, ready.entries)
        if not self.stores_votes:
            self.disks[name].vote = vote
        self.in_flight += [(name, to, message) for to, message in ready.messages if to in self.disks]
        if ready.restore is not None:
            self.applied[name] = [ready.restore.data]
        for entry in ready.committed:
            command = (entry.term, entry.data)
            if self.committed.setdefault(entry.index, command) != command:
                raise InvariantError(f"{name} commits another entry at {entry.index}")
            self.applied[name].append(entry.data)
        if node.role is Role.LEADER and self.leaders.setdefault(node.term, name) != name:
            raise InvariantError(f"two leaders of term {node.term}")
        self.check_leases()

    def check_leases(self) -> None:
        holders = [name for name, node in self.nodes.items() if node.leads(self.clock(name))]
        if len(holders) > 1:
            raise InvariantError(f"{' and '.join(holders)} both lead by a lease that holds")
        for name in holders:
            node = self.nodes[name]
            last = max(self.committed, default=0)
            if node.log.last_index < last or node.commit_index < min(last, node._term_start_index - 1):
                raise InvariantError(f"{name} leads and lacks what is committed")

    # Actions

    def deliver(self, place: int, keep: bool = False) -> None:
        sender, to, message = self.in_flight[place]
        if not keep:
            del self.in_flight[place]
        if to in self.nodes:
            self.nodes[to].receive(sender, message, self.clock(to))
            self.perform_output(to)

    def wake(self, name: str) -> None:
        self.nodes[name].tick(self.clock(name))
        self.perform_output(name)

    def run(self, seconds: float, lose: float = 0.0, cut: set[tuple[str, str]] | None = None) -> None:
        """Let time pass; messages arrive at once, except lost ones and those on a cut link."""
        end = self.now + int(seconds * 1e9)
        while True:
            self.in_flight = [
                entry for entry in self.in_flight
                if (entry[0], entry[1]) not in (cut or ()) and self.rng.random() >= lose
            ]  # fmt: skip
            if self.in_flight:
                self.now += 1_000_000
                self.deliver(0)
                continue
            due = {
                name: int(node.wake_at / self.rates.get(name, 1.0)) + 1 for name, node in self.nodes.items()
            }
            name = min(due, key=lambda entry: due[entry], default="")
            if not name or max(due[name], self.now) > end:
                break
            self.now = max(due[name], self.now)
            self.wake(name)
        self.now = max(end, self.now)

    def leader(self) -> str:
        """The member that leads by a valid lease; empty if there is none."""
        return next((name for name, node in self.nodes.items() if node.leads(self.clock(name))), "")

    def propose(self, data: bytes) -> bool:
        name = self.leader()
        if not name or self.nodes[name].propose(data, self.clock(name)) is None:
            return False
        self.perform_output(name)
        return True

    def copy(self) -> Cluster:
        duplicate: Cluster = pickle.loads(pickle.dumps(self))
        return duplicate

    def _node_state(self, name: str, since: Callable[[int, str], int]) -> tuple[object, ...]:
        node = self.nodes[name]
        log = (node.commit_index, node.log.snapshot.index, tuple(node.log.entries))
        times = (since(node._leader_contact_at, name), since(node._wake_at, name))
        others = tuple(
            (to, progress.next_index, progress.match_index, since(progress.acknowledged_sent_at, name))
            for to, progress in sorted(node.progress.items())
        )
        votes = (node.vote, tuple(sorted(node._votes_granted)), node._transfer_target)
        recovery = (node._recovery_term, tuple(sorted(node._reported_terms.items())))
        return (name, node.role, node.leader, log, times, others, votes, recovery)

    def state(self) -> tuple[object, ...]:
        """State for comparison; times are relative to now, in tenths of the election timeout."""
        grain = self.settings.election_timeout // 10

        def since(at: int, name: str) -> int:
            return max(min((self.clock(name) - at) // grain, 30), -30)

        nodes = tuple(self._node_state(name, since) for name in sorted(self.nodes))
        return (nodes, tuple(sorted(map(repr, self.in_flight))))


def configured_snapshot(disk: Disk) -> Snapshot:
    """The initial snapshot of a voter without stored state: only its configured voters."""
    return Snapshot(0, 0, disk.snapshot.configuration)


def with_settings(**more: object) -> RaftSettings:
    return replace(SETTINGS, **more)  # type: ignore[arg-type]
