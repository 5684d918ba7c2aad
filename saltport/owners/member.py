"""One router's part in ownership: a voter or not, an owner always. No I/O.

Whoever drives it stores what `take` says, sends then, and calls `tick` by `due` at the latest.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from saltport.owners.fence import Fence
from saltport.owners.log import Entry, Log, Snapshot, Vote
from saltport.owners.messages import Elsewhere, Message, Renew, Renewed, Resign, Rows
from saltport.owners.raft import Raft
from saltport.owners.record import Record, pack
from saltport.owners.settings import OwnerSettings
from saltport.owners.steward import Steward
from saltport.owners.tenure import Tenure

TICK = 100_000_000  # between two looks at what is due


@dataclass(slots=True)
class Work:
    """What is to be done, in this order."""

    vote: Vote | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)


class Member:
    """One process."""

    def __init__(
        self,
        name: str,
        start: int,
        voters: tuple[str, ...],
        settings: OwnerSettings,
        rng: random.Random,
        now: int,
        kept: tuple[Log, Vote, bool] | None = None,
        boot_count: int = 0,
    ) -> None:
        """`kept`: what a voter's storage has, and whether it lost_state what it promised; None: no voter."""
        self.name, self.settings, self._rng = name, settings, rng
        self.voters = voters
        self.record = Record.empty()
        self.fence = Fence()
        self.tenure = Tenure(name, start, settings, now)
        self.raft: Raft | None = None
        self._steward: Steward | None = None
        self._messages: list[tuple[str, Message]] = []
        self._target = ""
        self._asked = self._answered_at = now
        self.wake_at = now
        if kept is not None:
            self.begin_voting(kept, boot_count, now)

    def begin_voting(self, kept: tuple[Log, Vote, bool], boot_count: int, now: int) -> None:
        """Vote from what a storage has, at the start or after it failed; see `__init__`."""
        log, vote, lost_state = kept
        self.record = Record.load(log.snapshot.data)
        self.raft = Raft(self.name, log, vote, self.settings.raft, self._rng, now, lost_state, boot_count)

    def stop_voting(self) -> None:
        """Promise nothing more: what was promised last could not be kept."""
        self.raft = self._steward = None

    @property
    def steward(self) -> Steward | None:
        """Of this voter while it leads."""
        return self._steward

    def without_owner(self, now: int) -> bool:
        """Whether no steward has answered for longer than a lease: each router is then on its own."""
        return now - self._answered_at > self.settings.lease

    def tick(self, now: int) -> None:
        """Time has passed."""
        raft = self.raft
        if raft is not None:
            raft.tick(now)
            if self._steer(raft, now) and self._steward is not None:
                self._decide(raft, self._steward, now)
        renew = self.tenure.tick(now)
        if renew is not None:
            self._ask(renew, now)
        self.wake_at = min(now + TICK, raft.wake_at if raft is not None else now + TICK)

    def _steer(self, raft: Raft, now: int) -> bool:
        """Be the steward for as long as the lead is certain; whether it is."""
        if not raft.leads(now):
            self._steward = None
        elif self._steward is None:
            self._steward = Steward(self.record, self.settings, now)
        return self._steward is not None

    @staticmethod
    def _decide(raft: Raft, steward: Steward, now: int) -> None:
        for command in steward.decide(now):
            if raft.propose(pack(command), now) is None:
                steward.failed([piece for piece, _ in command.rows])

    def _ask(self, renew: Renew, now: int) -> None:
        if now - self._asked > 2 * self.settings.renew or not self._target:
            # No answer from there: whoever leads is another one.
            self._target = self._rng.choice(self.voters)
            self._asked = now
        self._send(self._target, renew)

    def _send(self, to: str, message: Message) -> None:
        self._messages.append((to, message))

    def resign(self, now: int) -> None:
        """Give back what is held and hand leadership over: the process is about to end."""
        session = self.tenure.resign()
        for voter in self.voters:
            self._send(voter, Resign(session))
        raft = self.raft
        if raft is not None and raft.leads(now):
            if self._steward is not None:
                self._steward.resign(Resign(session))
                self._decide(raft, self._steward, now)
            heirs = [name for name in raft.configuration.voters if name != self.name]
            if heirs:
                raft.transfer_leadership(max(heirs, key=lambda name: raft.progress[name].match_index), now)

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Take a message."""
        match message:
            case Renew():
                self._renew(sender, message, now)
            case Renewed():
                if message.session == self.tenure.session:
                    self._target, self._asked, self._answered_at = sender, now, now
                    self.tenure.renewed(message, now)
            case Rows():
                self.tenure.given(message)
            case Resign():
                if self._steward is not None and sender == message.session.name:
                    self._steward.resign(message)
            case Elsewhere():
                if sender == self._target and message.leader in self.voters and message.leader != sender:
                    self._target, self._asked = message.leader, now
            case _:
                if self.raft is not None:
                    self.raft.receive(sender, message, now)
                    self._steer(self.raft, now)

    def _renew(self, sender: str, asked: Renew, now: int) -> None:
        raft = self.raft
        if raft is None or sender != asked.session.name:
            return
        self._steer(raft, now)
        if self._steward is None:
            self._send(sender, Elsewhere(raft.leader if raft.leader != self.name else ""))
            return
        for answer in self._steward.renew(asked, now):
            self._send(sender, answer)

    def take(self) -> Work:
        """What is to be stored and sent now; what was committed is applied to the record."""
        work = Work()
        if self.raft is not None:
            ready = self.raft.take_ready()
            work.vote, work.snapshot, work.entries = ready.vote, ready.snapshot, ready.entries
            work.messages += ready.messages
            if ready.restore is not None:
                self.record = Record.load(ready.restore.data)
                self._steward = None
                self.fence.learn(self.record)
            for entry in ready.committed:
                changed = self.record.apply(entry)
                for piece, held in changed:
                    if held is not None:
                        self.fence.admit(piece, held.epoch)
                if self._steward is not None:
                    self._steward.applied([piece for piece, _ in changed])
            if len(self.raft.log.entries) > self.settings.keep and ready.snapshot is None:
                self.raft.compact(self.record.save())
                more = self.raft.take_ready()
                work.snapshot, work.entries = more.snapshot, more.entries
        work.messages += self._messages
        self._messages = []
        return work
