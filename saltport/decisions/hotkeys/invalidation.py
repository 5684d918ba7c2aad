"""Invalidation of copies by writes, where the router sets copies itself. No I/O.

A write of any key invalidates it at the nodes that any router may have given it by rule, and at those that
this one knows of. Its answer waits until each has confirmed, or has failed to: that one is in doubt, and this
router does not ask it for the key before it has confirmed after all.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from saltport.decisions import interface as api
from saltport.decisions.interface import NS_PER_S, Outcome

RETRY, LONGEST_RETRY = NS_PER_S // 4, 4 * NS_PER_S
REMEMBERED = 600 * NS_PER_S  # for which a node that says nothing stays in doubt
MAX_DOUBTS = (
    4096  # keys with a node in doubt; past that the oldest are forgotten, and only the lease bounds them
)


@dataclass(slots=True)
class Job:
    """The invalidations of one key under way."""

    turn: int
    waiting: set[str]
    """Servers that have not confirmed yet."""
    servers: set[str] = field(default_factory=set)
    """All of them, those that have said so as well."""
    answers: list[str] = field(default_factory=list)
    """Writes whose answers wait for it."""
    behind: set[str] = field(default_factory=set)
    """Servers to which a copy is under way: the invalidation goes once that has ended."""


@dataclass(slots=True)
class Doubt:
    """A node that may hold an old value of a key."""

    turn: int
    until: int
    retry_at: int
    pause: int = RETRY
    asked: bool = False
    """Whether an invalidation is under way."""
    sticky_until: int = 0
    """Until then an old copy may still arrive there, so that no invalidation settles it."""


class Invalidations:
    """Open writes, invalidations under way, doubts, and the time before which values may not be copied."""

    def __init__(self, lease: int, longest: int) -> None:
        """`longest`: the time that a read and the copy of its answer can take at any router."""
        self._lease, self.longest = lease, longest
        self._again: dict[str, tuple[int, set[str]]] = {}
        self._turn = 0
        self._open: dict[str, int] = {}
        self._fences: dict[str, int] = {}
        self._jobs: dict[str, Job] = {}
        self._doubts: dict[str, dict[str, Doubt]] = {}
        self.forgotten = 0
        self.invalidated = 0
        self.unsettled = 0
        """Answers that were given with a node in doubt."""

    @property
    def idle(self) -> bool:
        """Whether nothing is under way, in doubt or remembered."""
        return not (self._open or self._jobs or self._doubts or self._fences or self._again)

    def write_begins(self, key: str) -> None:
        """From now on no value of the key is copied."""
        self._open[key] = self._open.get(key, 0) + 1

    def write_ends(self, key: str, now: int) -> None:
        """Values that were asked for before now are not copied any more."""
        left = self._open.get(key, 0) - 1
        if left > 0:
            self._open[key] = left
        else:
            self._open.pop(key, None)
        self._fences[key] = now

    def may_copy(self, key: str, asked_at: int) -> bool:
        """Whether a value that was asked for at this time is surely none from before a write."""
        return key not in self._open and key not in self._jobs and asked_at > self._fences.get(key, -1)

    def begin(
        self, key: str, servers: Iterable[str], filling: Iterable[str], answer: str | None, now: int
    ) -> list[api.Action]:
        """Invalidate a key everywhere; returns what to send now. `answer`: the write that waits for it."""
        behind = set(filling)
        self._turn += 1
        job = self._jobs.setdefault(key, Job(self._turn, set()))
        # Danger: an invalidation that is out may have run before this write; its answer settles nothing.
        job.turn = self._turn
        job.waiting |= set(servers) | behind
        job.servers |= job.waiting
        job.behind |= behind
        if answer is not None:
            job.answers.append(answer)
        self._fences[key] = now
        if not job.waiting:
            return self._settle(key, now)
        return [api.Invalidate(key, server, job.turn) for server in sorted(job.waiting - job.behind)]

    def copy_ended(self, key: str, server: str, outcome: Outcome, now: int) -> list[api.Action]:
        """A copy has ended; an invalidation that waited behind it may go."""
        job = self._jobs.get(key)
        if job is None or server not in job.behind:
            return []
        job.behind.discard(server)
        if outcome in (Outcome.TIMEOUT, Outcome.RESET):
            # Danger: it may be carried out after the invalidation all the same.
            self._doubt(key, server, now).sticky_until = now + self._lease
        return [api.Invalidate(key, server, job.turn)]

    def invalidation_ended(self, event: api.InvalidationEnded, now: int) -> list[api.Action]:
        """A node has answered an invalidation, or not."""
        key, server, settled = event.key, event.server, event.outcome is Outcome.OK
        self.invalidated += settled
        job = self._jobs.get(key)
        waited = job is not None and server in job.waiting and server not in job.behind
        if waited and job is not None and event.sequence < job.turn:
            return []  # the answer to the later one counts
        doubt = self._doubts.get(key, {}).get(server)
        if doubt is not None:
            doubt.asked = False
        if not settled:
            doubt = self._doubt(key, server, now, event.sequence)
            doubt.retry_at, doubt.pause = now + doubt.pause, min(2 * doubt.pause, LONGEST_RETRY)
        elif doubt is not None and now < doubt.sticky_until:
            doubt.retry_at = now + doubt.pause
        elif doubt is not None and event.sequence >= doubt.turn:
            self._clear(key, server)
        if job is None or not waited:
            return []
        job.waiting.discard(server)
        return [] if job.waiting else self._settle(key, now)

    def _doubt(self, key: str, server: str, now: int, turn: int = 0) -> Doubt:
        doubts = self._doubts.setdefault(key, {})
        if len(self._doubts) > MAX_DOUBTS:
            del self._doubts[next(iter(self._doubts))]
            self.forgotten += 1
        doubt = doubts.get(server)
        if doubt is None:
            doubt = doubts[server] = Doubt(turn, 0, now + RETRY)
        doubt.turn, doubt.until = max(doubt.turn, turn), now + REMEMBERED
        return doubt

    def _clear(self, key: str, server: str) -> None:
        doubts = self._doubts[key]
        del doubts[server]
        if not doubts:
            del self._doubts[key]

    def _settle(self, key: str, now: int) -> list[api.Action]:
        job = self._jobs.pop(key)
        self._fences[key] = now
        # Danger: another router may copy after the invalidation what it had been answered before the write.
        self._again.pop(key, None)
        self._again[key] = now + self.longest, job.servers
        if len(self._again) > MAX_DOUBTS:
            del self._again[next(iter(self._again))]
        if key in self._doubts:
            self.unsettled += len(job.answers)
        return [api.Answer(request) for request in job.answers]

    def late(self, key: str, answer: str, now: int) -> list[api.Action]:
        """A write's time is nearly over: it is answered, and who has not confirmed is in doubt."""
        job = self._jobs.get(key)
        if job is None or answer not in job.answers:
            return []
        for server in job.waiting:
            self._doubt(key, server, now, job.turn)
        job.answers.remove(answer)
        self.unsettled += 1
        actions: list[api.Action] = [api.Answer(answer)]
        return actions if job.answers else actions + self._settle(key, now)

    def leave(self, key: str, answer: str) -> None:
        """A write needs no answer any more: its id may come again."""
        job = self._jobs.get(key)
        if job is not None and answer in job.answers:
            job.answers.remove(answer)

    def gone(self, listed: Iterable[str], now: int) -> list[api.Action]:
        """Servers that are listed no more: nothing is sent there, and nobody waits for them."""
        known = set(listed)
        actions: list[api.Action] = []
        for key, job in list(self._jobs.items()):
            job.waiting &= known
            job.behind &= known
            if not job.waiting:
                actions += self._settle(key, now)
        return actions

    def in_doubt(self, key: str) -> frozenset[str]:
        """The servers that are not to be asked for this key."""
        return frozenset(self._doubts[key]) if key in self._doubts else frozenset()

    def sweep(self, listed: Iterable[str], now: int) -> list[api.Action]:
        """Ask again where an invalidation has not been answered, and forget what has run out."""
        known = set(listed)
        actions: list[api.Action] = []
        for key, doubts in list(self._doubts.items()):
            for server, doubt in list(doubts.items()):
                if now >= doubt.until:
                    self._clear(key, server)
                elif server in known and not doubt.asked and now >= doubt.retry_at:
                    doubt.asked = True
                    actions.append(api.Invalidate(key, server, doubt.turn))
        for key, (at, servers) in list(self._again.items()):
            if now < at:
                break  # in order
            del self._again[key]
            self._turn += 1
            servers = (servers & known) - self._doubts.get(key, {}).keys()
            actions += [api.Invalidate(key, server, self._turn) for server in sorted(servers)]
        for key, at in list(self._fences.items()):
            if now - at > self.longest and key not in self._jobs:
                del self._fences[key]
        return actions

    def view(self) -> dict[str, object]:
        """Its state, for people."""
        return {
            "under_way": len(self._jobs),
            "in_doubt": sum(len(doubts) for doubts in self._doubts.values()),
            "invalidated": self.invalidated,
            "voided": self.invalidated,  # the name until the next version
            "answered_in_doubt": self.unsettled,
            "forgotten": self.forgotten,
        }
