"""One router's part in ownership: always an owner, and a voter if it is configured as one. No I/O.

The caller stores the state in the output of `take_output`, then sends its messages, and calls `tick` by
`wake_at` at the latest.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from saltport.owners.assignments import Assignments, encode_command
from saltport.owners.coordinator import Coordinator
from saltport.owners.fence import Fence
from saltport.owners.log import Entry, Log, Snapshot, Vote
from saltport.owners.messages import AssignedTasks, Message, Redirect, Renew, RenewReply, Resign
from saltport.owners.owner_lease import OwnerLease
from saltport.owners.raft import Raft
from saltport.owners.settings import OwnerSettings

TICK_INTERVAL_NS = 100_000_000  # longest time between two calls of `tick`


@dataclass(slots=True)
class Output:
    """Output of a member: state to store first, then messages to send."""

    vote: Vote | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)


class Member:
    """The ownership state of one router process."""

    def __init__(
        self,
        name: str,
        start: int,
        voters: tuple[str, ...],
        settings: OwnerSettings,
        rng: random.Random,
        now: int,
        stored: tuple[Log, Vote, bool] | None = None,
        boot_count: int = 0,
    ) -> None:
        """`stored`: a voter's stored log and vote, and whether its state was lost; None: not a voter."""
        self.name, self.settings, self._rng = name, settings, rng
        self.voters = voters
        self.assignments = Assignments.empty()
        self.fence = Fence()
        self.owner_lease = OwnerLease(name, start, settings, now)
        self.raft: Raft | None = None
        self._coordinator: Coordinator | None = None
        self._messages: list[tuple[str, Message]] = []
        self._target = ""
        self._target_since = self._last_reply_at = now
        self.wake_at = now
        if stored is not None:
            self.begin_voting(stored, boot_count, now)

    def begin_voting(self, stored: tuple[Log, Vote, bool], boot_count: int, now: int) -> None:
        """Start to vote from stored state, at the start or after the storage failed; see `__init__`."""
        log, vote, lost_state = stored
        self.assignments = Assignments.load(log.snapshot.data)
        self.raft = Raft(self.name, log, vote, self.settings.raft, self._rng, now, lost_state, boot_count)

    def stop_voting(self) -> None:
        """Stop voting, because the storage failed."""
        self.raft = self._coordinator = None

    @property
    def coordinator(self) -> Coordinator | None:
        """The coordinator, which assigns the tasks; None unless this voter leads."""
        return self._coordinator

    def without_coordinator(self, now: int) -> bool:
        """Whether no coordinator has replied to this router for longer than the duration of a lease.

        The router then acts without coordination, for example in its trials of ejected servers.
        """
        return now - self._last_reply_at > self.settings.lease

    def tick(self, now: int) -> None:
        """Run the timers that are due at `now`."""
        raft = self.raft
        if raft is not None:
            raft.tick(now)
            if self._update_coordinator(raft, now) and self._coordinator is not None:
                self._propose_decisions(raft, self._coordinator, now)
        renew = self.owner_lease.tick(now)
        if renew is not None:
            self._send_renewal(renew, now)
        self.wake_at = min(
            now + TICK_INTERVAL_NS, raft.wake_at if raft is not None else now + TICK_INTERVAL_NS
        )

    def _update_coordinator(self, raft: Raft, now: int) -> bool:
        """Create the coordinator if this voter leads, drop it otherwise; return whether there is one."""
        if not raft.leads(now):
            self._coordinator = None
        elif self._coordinator is None:
            self._coordinator = Coordinator(self.assignments, self.settings, now)
        return self._coordinator is not None

    @staticmethod
    def _propose_decisions(raft: Raft, coordinator: Coordinator, now: int) -> None:
        """Propose the coordinator's decisions to Raft as log entries."""
        for command in coordinator.decide(now):
            if raft.propose(encode_command(command), now) is None:
                coordinator.on_proposal_failed([task for task, _ in command.rows])

    def _send_renewal(self, renew: Renew, now: int) -> None:
        """Send a lease renewal to the voter that answered last, or to a random one after a silence."""
        if now - self._target_since > 2 * self.settings.renew_interval or not self._target:
            # No reply from the target: another voter may lead by now.
            self._target = self._rng.choice(self.voters)
            self._target_since = now
        self._send(self._target, renew)

    def _send(self, to: str, message: Message) -> None:
        """Queue a message for a router."""
        self._messages.append((to, message))

    def resign(self, now: int) -> None:
        """Return all tasks and transfer leadership, because the process is about to end."""
        session = self.owner_lease.resign()
        for voter in self.voters:
            self._send(voter, Resign(session))
        raft = self.raft
        if raft is not None and raft.leads(now):
            if self._coordinator is not None:
                self._coordinator.resign(Resign(session))
                self._propose_decisions(raft, self._coordinator, now)
            targets = [name for name in raft.configuration.voters if name != self.name]
            if targets:
                raft.transfer_leadership(max(targets, key=lambda name: raft.progress[name].match_index), now)

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Process a message from another router."""
        match message:
            case Renew():
                self._on_renew(sender, message, now)
            case RenewReply():
                if message.session == self.owner_lease.session:
                    self._target, self._target_since, self._last_reply_at = sender, now, now
                    self.owner_lease.on_renew_reply(message, now)
            case AssignedTasks():
                self.owner_lease.add_assigned(message)
            case Resign():
                if self._coordinator is not None and sender == message.session.name:
                    self._coordinator.resign(message)
            case Redirect():
                if sender == self._target and message.leader in self.voters and message.leader != sender:
                    self._target, self._target_since = message.leader, now
            case _:
                if self.raft is not None:
                    self.raft.receive(sender, message, now)
                    self._update_coordinator(self.raft, now)

    def _on_renew(self, sender: str, request: Renew, now: int) -> None:
        """As a voter, answer a renewal as the coordinator, or redirect the sender to the leader."""
        raft = self.raft
        if raft is None or sender != request.session.name:
            return
        self._update_coordinator(raft, now)
        if self._coordinator is None:
            self._send(sender, Redirect(raft.leader if raft.leader != self.name else ""))
            return
        for reply in self._coordinator.renew(request, now):
            self._send(sender, reply)

    def take_output(self) -> Output:
        """Return the state to store and the messages to send; applies the committed entries."""
        output = Output()
        if self.raft is not None:
            ready = self.raft.take_ready()
            output.vote, output.snapshot, output.entries = ready.vote, ready.snapshot, ready.entries
            output.messages += ready.messages
            if ready.restore is not None:
                self.assignments = Assignments.load(ready.restore.data)
                self._coordinator = None
                self.fence.learn(self.assignments)
            for entry in ready.committed:
                changed = self.assignments.apply(entry)
                for task, assignment in changed:
                    if assignment is not None:
                        self.fence.admit(task, assignment.epoch)
                if self._coordinator is not None:
                    self._coordinator.on_applied([task for task, _ in changed])
            if len(self.raft.log.entries) > self.settings.max_log_entries and ready.snapshot is None:
                self.raft.compact(self.assignments.save())
                compacted = self.raft.take_ready()
                output.snapshot, output.entries = compacted.snapshot, compacted.entries
        output.messages += self._messages
        self._messages = []
        return output
