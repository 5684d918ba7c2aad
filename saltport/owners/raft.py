"""Raft consensus without I/O, after Ongaro's thesis (section numbers stand beside the rules).

The caller passes in messages, proposals and the time. `take_ready` returns the resulting output: the caller
must first store the vote, snapshot and entries, then send the messages, and apply the committed entries last.
Times are nanoseconds on a monotonic clock whose rate may differ from another member's by
`RaftSettings.clock_drift`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

from msgspec import Struct

from saltport.owners.log import (
    Configuration,
    Entry,
    EntryKind,
    Log,
    Snapshot,
    Vote,
    decode_configuration,
    encode_configuration,
)

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS


class Role(StrEnum):
    """The Raft state of a member."""

    FOLLOWER = "follower"
    RECOVERING = "recovering"
    """Restarted without its stored state: it neither votes nor acknowledges entries."""
    PRECANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Raft timing and message sizes, equal at every voter; times are nanoseconds."""

    election_timeout: int = 1_500 * NS_PER_MS
    """Minimum time since the last leader contact before a voter grants a vote to another candidate.

    An election starts after a random time between once and twice this."""
    heartbeat_interval: int = 250 * NS_PER_MS
    clock_drift: float = 0.02
    """Largest relative error of a clock's rate."""
    max_append_bytes: int = 150
    """Size limit of the entries in a message, each with its overhead; the first entry is always sent."""
    snapshot_chunk_bytes: int = 160
    """Largest part of a snapshot in a message."""
    pre_vote: bool = True
    """Whether elections begin with a pre-vote; off only in tests that show its effect."""
    lease_from_reply: bool = False
    """Test-only defect: the lease counts from the arrival of replies instead of the sending of requests."""

    @property
    def lease(self) -> int:
        """Duration of the leader lease, counted from when a quorum's requests were sent."""
        return int(self.election_timeout * (1 - self.clock_drift) / (1 + self.clock_drift))


class RequestVote(Struct, frozen=True, array_like=True, tag=0):
    """RequestVote call of a candidate.

    `pre_vote`: only asks whether the vote would be granted; `leadership_transfer`: the current leader asked
    the candidate to start this election.
    """

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    leadership_transfer: bool = False


class RequestVoteReply(Struct, frozen=True, array_like=True, tag=1):
    """Reply to RequestVote; `term` is the requested term if the vote is granted, else the voter's own."""

    term: int
    vote_granted: bool
    pre_vote: bool


class AppendEntries(Struct, frozen=True, array_like=True, tag=2):
    """AppendEntries call: the entries that follow `prev_log_index`; without entries a heartbeat.

    `sent_at` is by the leader's clock and is echoed in the reply.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    leader_commit: int
    sent_at: int
    entries: tuple[Entry, ...] = ()


class AppendEntriesReply(Struct, frozen=True, array_like=True, tag=3):
    """Reply to AppendEntries; `match_index` is the last index at which the logs agree.

    `match_index` is -1 if they differ at `prev_log_index`: the leader then tries from `next_index_hint`.
    """

    term: int
    match_index: int
    next_index_hint: int
    sent_at: int


class InstallSnapshot(Struct, frozen=True, array_like=True, tag=4):
    """InstallSnapshot call: the part of a snapshot that starts at `offset`."""

    term: int
    last_included_index: int
    last_included_term: int
    configuration: Configuration
    offset: int
    data: bytes
    has_more: bool
    sent_at: int


class InstallSnapshotReply(Struct, frozen=True, array_like=True, tag=5):
    """Reply to InstallSnapshot: how many bytes of the snapshot the follower has."""

    term: int
    last_included_index: int
    received_bytes: int
    sent_at: int


class TimeoutNow(Struct, frozen=True, array_like=True, tag=6):
    """Request from the leader to start an election at once, for a leadership transfer (3.10)."""

    term: int


class TermQuery(Struct, frozen=True, array_like=True, tag=7):
    """Query of a restarted voter for the other voters' terms; it needs them to rejoin if it lost its state.

    `nonce` is random and identifies the querying process; `boot_count` is the number of its start as counted
    on its disk, 0 if starts are not counted.
    """

    nonce: int
    boot_count: int = 0


class TermReply(Struct, frozen=True, array_like=True, tag=8):
    """Reply to TermQuery: the sender's term, and the nonce of the query.

    `boot_count` is the highest boot count that the sender knew of the querying voter before this query. If it
    is not below the querying voter's own, the voter's disk was replaced by an older copy.
    """

    term: int
    nonce: int
    boot_count: int = 0


Message = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
    | TermQuery
    | TermReply
)


@dataclass(slots=True)
class Ready:
    """Output of a Raft member; the fields must be processed in their order."""

    vote: Vote | None = None
    snapshot: Snapshot | None = None
    """Snapshot to store; it replaces the log up to its index."""
    entries: list[Entry] = field(default_factory=list)
    """Entries to store; they replace all stored entries from the first one's index on."""
    messages: list[tuple[str, Message]] = field(default_factory=list)
    restore: Snapshot | None = None
    """Snapshot that replaces the complete state of the state machine."""
    committed: list[Entry] = field(default_factory=list)


@dataclass(slots=True)
class _Progress:
    """What a leader knows of the replication to another member."""

    next_index: int
    match_index: int = 0
    acknowledged_sent_at: int = 0
    """Sending time of the latest request that this member has answered."""
    snapshot_offset: int = -1
    """Bytes of the snapshot that this member has; -1 if it needs no snapshot."""
    awaiting_reply: bool = False


class Raft:
    """A member of a Raft group: a voter or a learner."""

    def __init__(
        self,
        name: str,
        log: Log,
        vote: Vote,
        settings: RaftSettings,
        rng: random.Random,
        now: int,
        lost_state: bool = False,
        boot_count: int = 0,
    ) -> None:
        """Start a member from its stored log and vote.

        `lost_state`: the storage lacks votes or entries that this voter may have acknowledged earlier.
        `boot_count`: number of this start as counted by the storage, to detect a restored older copy; 0 if
        starts are not counted.
        """
        self.name, self.log, self.vote, self.settings, self._rng = name, log, vote, settings, rng
        self.leader = ""
        self.commit_index = log.snapshot.index
        self.last_applied = log.snapshot.index
        self.progress: dict[str, _Progress] = {}
        self._ready = Ready()
        self._votes_granted: set[str] = set()
        self._leader_contact_at = now  # Danger: a lease granted before the restart still binds this voter
        self._leader_since = now
        self._incoming_snapshot: tuple[int, int, bytes] | None = None
        self._transfer_target = ""
        self._transfer_deadline = 0
        self._nonce = rng.getrandbits(48)
        self.stale_disk = False
        """Whether another voter knew a later start of this voter than its own disk does."""
        self._reported_terms: dict[str, int] = {}
        self._recovery_term = -1
        self._term_start_index = 0  # index of the first entry of this leader's term
        self.role = Role.RECOVERING if lost_state else Role.FOLLOWER
        self._boot_count = boot_count
        self.boot_counts: dict[str, int] = {}
        """Latest known start of each other voter."""
        if boot_count:
            for voter in self.configuration.voters:
                if voter != name:
                    self._send(voter, TermQuery(self._nonce, boot_count))
        self._next_heartbeat_at = now
        self._wake_at = now
        self._reset_election_timer(now)

    # State

    @property
    def term(self) -> int:
        """Current term."""
        return self.vote.term

    @property
    def configuration(self) -> Configuration:
        """Latest cluster configuration (voters and learners) in the log, committed or not."""
        return self.log.configuration()[1]

    @property
    def wake_at(self) -> int:
        """Time by which `tick` must be called."""
        return self._wake_at

    def lease_until(self) -> int:
        """Return until when no other member can become leader; 0 without a leader lease."""
        if self.role is not Role.LEADER or self._transfer_target:
            return 0
        return self._quorum_acknowledged_at() + self.settings.lease

    def leads(self, now: int) -> bool:
        """Whether this member is leader with a valid lease and knows all committed entries (6.4)."""
        return now < self.lease_until() and self.commit_index >= self._term_start_index

    def take_ready(self) -> Ready:
        """Return and clear the output to store, send and apply."""
        ready, self._ready = self._ready, Ready()
        while self.last_applied < self.commit_index:
            offset = self.last_applied - self.log.snapshot.index
            entry = self.log.entries[offset]
            self.last_applied = entry.index
            ready.committed.append(entry)
        return ready

    # Inputs

    def tick(self, now: int) -> None:
        """Run the timers that are due at `now`."""
        if now < self._wake_at:
            return
        match self.role:
            case Role.LEADER:
                self._leader_tick(now)
            case Role.RECOVERING:
                self._send_term_queries(now)
            case _:
                if self.name in self.configuration.voters:
                    self._start_election(now, pre_vote=self.settings.pre_vote)
                else:
                    self._reset_election_timer(now)

    def propose(self, data: bytes, now: int) -> int | None:
        """Append a command to the replicated log and return the index of its entry.

        Return None if this member is not the leader, or is transferring its leadership.
        """
        return self._propose(EntryKind.COMMAND, data, now)

    def change_configuration(self, configuration: Configuration, now: int) -> int | None:
        """Propose a configuration that differs by at most one voter (4.1).

        Return the entry's index, None if `propose` would. Raises ValueError if the change is not allowed.
        """
        index, current = self.log.configuration()
        if not configuration.voters:
            raise ValueError("a configuration needs at least one voter")
        if len(set(current.voters) ^ set(configuration.voters)) > 1:
            raise ValueError("a configuration change may add or remove one voter only")
        if index > self.commit_index or self.commit_index < self._term_start_index:
            raise ValueError("the previous configuration change is not committed yet")
        for name in sorted(set(configuration.voters) - set(current.voters)):
            progress = self.progress.get(name)
            if self.role is Role.LEADER and (progress is None or progress.match_index < self.commit_index):
                raise ValueError(f"{name} has not caught up")
        return self._propose(EntryKind.CONFIGURATION, encode_configuration(configuration), now)

    def transfer_leadership(self, to: str, now: int) -> bool:
        """Start a leadership transfer to a voter, which is first brought up to date (3.10).

        Return False if this member does not lead or `to` is no other voter.
        """
        if self.role is not Role.LEADER or to not in self.configuration.voters or to == self.name:
            return False
        # Danger: from here on another voter may become leader at any moment, so the lease must be void before
        # TimeoutNow is sent.
        self._transfer_target, self._transfer_deadline = to, now + self.settings.election_timeout
        self._send_append_entries(to, now, force=True)
        self._finish_transfer(now)
        return True

    def compact(self, data: bytes) -> None:
        """Replace the applied part of the log by a snapshot; `data` is the state machine's state."""
        term = self.log.term_at(self.last_applied)
        assert term is not None
        configuration = self.log.snapshot.configuration
        for entry in self.log.entries:
            if entry.index <= self.last_applied and entry.kind == EntryKind.CONFIGURATION:
                configuration = decode_configuration(entry.data)
        snapshot = Snapshot(self.last_applied, term, configuration, data)
        self.log.install_snapshot(snapshot)
        self._ready.snapshot = snapshot
        self._ready.entries = list(self.log.entries)

    # Elections

    def _reset_election_timer(self, now: int) -> None:
        """Schedule the next election, or while recovering the next term query."""
        if self.role is Role.RECOVERING:
            self._wake_at = min(
                self._wake_at, now + self.settings.heartbeat_interval
            )  # a recovering voter keeps querying
            return
        base = max(self._leader_contact_at, now) if self.role is not Role.LEADER else now
        self._wake_at = base + self._rng.randint(
            self.settings.election_timeout, 2 * self.settings.election_timeout
        )

    def _change_role(self, role: Role, term: int, now: int, leader: str = "") -> None:
        """Take a role in a term, with the leader if known, and drop the state of the previous role.

        A recovering voter stays in its role.
        """
        if term > self.vote.term:
            self._store_vote(Vote(term))
        if self.role is not Role.RECOVERING:
            self.role = role
        self.leader = leader
        self._transfer_target = ""
        self._votes_granted.clear()
        self.progress.clear()
        self._reset_election_timer(now)

    def _store_vote(self, vote: Vote) -> None:
        """Set the current term and vote, and have them stored."""
        self.vote = vote
        self._ready.vote = vote

    def _start_election(self, now: int, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Request the votes of all voters for the next term; with `pre_vote` only ask if they would vote.

        `leadership_transfer`: the leader asked for the election, so voters may still be in contact with it.
        """
        self.role = Role.PRECANDIDATE if pre_vote else Role.CANDIDATE
        self.leader = ""
        self._votes_granted = {self.name}
        if not pre_vote:
            self._store_vote(Vote(self.vote.term + 1, self.name))
        self._reset_election_timer(now)
        term = self.vote.term + pre_vote
        request = RequestVote(term, self.log.last_index, self.log.last_term, pre_vote, leadership_transfer)
        for name in self.configuration.voters:
            if name != self.name:
                self._send(name, request)
        self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        """Start the election after a won pre-vote, or become leader after a won election."""
        configuration = self.configuration
        if len(self._votes_granted & set(configuration.voters)) < configuration.quorum:
            return
        if self.role is Role.PRECANDIDATE:
            self._start_election(now, pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        """Become leader, and append the no-op entry that commits those of earlier terms."""
        self.role, self.leader = Role.LEADER, self.name
        self._transfer_target = ""
        self._leader_since = self._next_heartbeat_at = now
        self.progress = {
            name: _Progress(self.log.last_index + 1)
            for name in self.configuration.members
            if name != self.name
        }
        self._term_start_index = self.log.last_index + 1
        self._append_local(EntryKind.NO_OP, b"")
        self._leader_tick(now)

    def _on_request_vote(self, sender: str, request: RequestVote, now: int) -> None:
        """Grant or refuse a vote (3.4, 3.6.1, and 9.6 for pre-votes)."""
        if self.role is Role.RECOVERING:
            return
        leader_timed_out = now - self._leader_contact_at >= self.settings.election_timeout
        is_leader = self.role is Role.LEADER
        # 4.2.3: no votes while there is contact with a leader, except in a transfer that this leader started.
        if not request.leadership_transfer and (is_leader or not leader_timed_out):
            if request.term > self.vote.term or request.pre_vote:
                self._send(sender, RequestVoteReply(self.vote.term, False, request.pre_vote))
            return
        is_up_to_date = (request.last_log_term, request.last_log_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.pre_vote:
            granted = is_up_to_date and request.term > self.vote.term
            self._send(sender, RequestVoteReply(request.term if granted else self.vote.term, granted, True))
            return
        if request.term > self.vote.term:
            self._change_role(Role.FOLLOWER, request.term, now)
        can_vote = request.term == self.vote.term and self.vote.voted_for in ("", sender)
        granted = is_up_to_date and can_vote and self.role is Role.FOLLOWER
        if granted:
            self._store_vote(Vote(self.vote.term, sender))
            self._reset_election_timer(now)
        self._send(sender, RequestVoteReply(self.vote.term, granted, False))

    def _on_request_vote_reply(self, sender: str, message: RequestVoteReply, now: int) -> None:
        """Count a granted vote; on a refusal of a later term, become its follower."""
        if not message.vote_granted:
            if message.term > self.vote.term:
                self._change_role(Role.FOLLOWER, message.term, now)
            return
        expected = Role.PRECANDIDATE if message.pre_vote else Role.CANDIDATE
        if self.role is expected and message.term == self.vote.term + message.pre_vote:
            self._votes_granted.add(sender)
            self._count_votes(now)

    # Leading

    def _leader_tick(self, now: int) -> None:
        """As leader, send heartbeats when they are due; step down without contact to a quorum."""
        acknowledged_at = self._quorum_acknowledged_at()
        if now - max(acknowledged_at, self._leader_since) > self.settings.election_timeout:
            self._change_role(Role.FOLLOWER, self.vote.term, now)  # 6.2: no quorum for an election timeout
            return
        if self._transfer_target and now >= self._transfer_deadline:
            # Danger: TimeoutNow may still be in flight and make another voter leader, so this member must not
            # use its lease again in this term.
            self._change_role(Role.FOLLOWER, self.vote.term, now)
            return
        if now >= self._next_heartbeat_at or now >= self._wake_at:
            self._next_heartbeat_at = now + self.settings.heartbeat_interval
            for name in self.progress:
                self._send_append_entries(name, now, force=True)
        self._advance_commit_index(now)
        self._wake_at = self._next_heartbeat_at

    def _quorum_acknowledged_at(self) -> int:
        """Return the latest sending time whose requests a quorum, counting itself, has answered."""
        configuration = self.configuration
        times = sorted(
            (
                progress.acknowledged_sent_at
                for name, progress in self.progress.items()
                if name in configuration.voters
            ),
            reverse=True,
        )
        others = configuration.quorum - (self.name in configuration.voters)
        if others <= 0:
            return 1 << 62
        return times[others - 1] if len(times) >= others else 0

    def _propose(self, kind: EntryKind, data: bytes, now: int) -> int | None:
        """Append an entry and send it to all members; return its index, None as `propose` does."""
        if self.role is not Role.LEADER or self._transfer_target:
            return None
        index = self._append_local(kind, data)
        if kind is EntryKind.CONFIGURATION:
            for name in self.configuration.members:
                if name != self.name:
                    self.progress.setdefault(name, _Progress(self.log.last_index))
        for name in list(self.progress):
            self._send_append_entries(name, now)
        self._advance_commit_index(now)
        return index

    def _append_local(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry to this member's log, have it stored, and return its index."""
        entry = Entry(self.log.last_index + 1, self.vote.term, kind, data)
        self.log.entries.append(entry)
        self._ready.entries.append(entry)
        return entry.index

    def _send_append_entries(self, name: str, now: int, force: bool = False) -> None:
        """Send a member the entries it lacks, or a part of the snapshot if they are no longer in the log.

        Without `force`, nothing is sent while the member has not replied to the previous request.
        """
        progress = self.progress[name]
        if progress.awaiting_reply and not force:
            return
        progress.awaiting_reply = True
        prev_log_term = self.log.term_at(progress.next_index - 1)
        if prev_log_term is None:
            self._send_install_snapshot(name, progress, now)
            return
        entries = tuple(self.log.entries_after(progress.next_index - 1, self.settings.max_append_bytes))
        self._send(
            name,
            AppendEntries(
                self.vote.term, progress.next_index - 1, prev_log_term, self.commit_index, now, entries
            ),
        )

    def _send_install_snapshot(self, name: str, progress: _Progress, now: int) -> None:
        """Send a member the next part of the snapshot."""
        snapshot = self.log.snapshot
        progress.snapshot_offset = max(progress.snapshot_offset, 0)
        data = snapshot.data[
            progress.snapshot_offset : progress.snapshot_offset + self.settings.snapshot_chunk_bytes
        ]
        has_more = progress.snapshot_offset + len(data) < len(snapshot.data)
        request = InstallSnapshot(
            self.vote.term, snapshot.index, snapshot.term, snapshot.configuration, progress.snapshot_offset,
            data, has_more, now,
        )  # fmt: skip
        self._send(name, request)

    def _record_reply(self, sender: str, term: int, sent_at: int, now: int) -> _Progress | None:
        """Return the sender's progress if the reply counts in this term, with its lease time updated."""
        if term > self.vote.term:
            self._change_role(Role.FOLLOWER, term, now)
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or term != self.vote.term or progress is None:
            return None
        progress.awaiting_reply = False
        progress.acknowledged_sent_at = max(
            progress.acknowledged_sent_at, now if self.settings.lease_from_reply else sent_at
        )
        return progress

    def _on_append_entries_reply(self, sender: str, message: AppendEntriesReply, now: int) -> None:
        """As leader, record which entries a member has, and send it further ones."""
        progress = self._record_reply(sender, message.term, message.sent_at, now)
        if progress is None:
            return
        progress.snapshot_offset = -1
        if message.match_index >= 0:
            progress.match_index = max(progress.match_index, message.match_index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
        elif message.next_index_hint > progress.next_index:
            progress.next_index = min(
                message.next_index_hint, self.log.last_index + 1
            )  # a recovering follower stores entries without acknowledging them
        else:
            progress.next_index = max(min(message.next_index_hint, progress.next_index - 1), 1)
        self._advance_commit_index(now)
        if self.role is Role.LEADER and progress.next_index <= self.log.last_index:
            self._send_append_entries(sender, now)
        self._finish_transfer(now)

    def _on_install_snapshot_reply(self, sender: str, message: InstallSnapshotReply, now: int) -> None:
        """As leader, record how much of the snapshot a member has, and send the next part or entries."""
        progress = self._record_reply(sender, message.term, message.sent_at, now)
        if progress is None:
            return
        snapshot = self.log.snapshot
        if message.last_included_index != snapshot.index:
            progress.snapshot_offset = 0  # a newer snapshot replaced this one: start over
        elif message.received_bytes >= len(snapshot.data):
            progress.snapshot_offset = -1
            progress.match_index = max(progress.match_index, snapshot.index)
            progress.next_index = max(progress.next_index, snapshot.index + 1)
        else:
            progress.snapshot_offset = message.received_bytes
        self._send_append_entries(sender, now)

    def _advance_commit_index(self, now: int) -> None:
        """As the leader, commit all entries up to the last one of the current term that a quorum stores.

        Entries of earlier terms are never committed by counting the members that store them (3.6.2).
        """
        configuration = self.configuration
        match_indexes = sorted(
            (self.log.last_index if name == self.name else self.progress[name].match_index
             for name in configuration.voters if name == self.name or name in self.progress),
            reverse=True,
        )  # fmt: skip
        if len(match_indexes) < configuration.quorum:
            return
        index = match_indexes[configuration.quorum - 1]
        if index > self.commit_index and self.log.term_at(index) == self.vote.term:
            self.commit_index = index
            for name in self.progress:
                if self.progress[name].match_index >= index:
                    self._send_append_entries(name, now)
            configuration_index, configuration = self.log.configuration()
            if configuration_index <= index:
                for name in sorted(set(self.progress) - set(configuration.members)):
                    del self.progress[name]
                if self.name not in configuration.voters:
                    self._change_role(Role.FOLLOWER, self.vote.term, now)  # 4.2.2: this leader removed itself

    def _finish_transfer(self, now: int) -> None:
        """Ask the target of a leadership transfer to start an election once it has all entries."""
        progress = self.progress.get(self._transfer_target)
        if progress is not None and progress.match_index == self.log.last_index:
            self._send(self._transfer_target, TimeoutNow(self.vote.term))

    # Following

    def _accept_leader(self, sender: str, term: int, now: int) -> bool:
        """Follow the sender as leader; whether its term is not older than the current one."""
        if term < self.vote.term:
            return False
        if term > self.vote.term or self.role not in (Role.FOLLOWER, Role.RECOVERING):
            self._change_role(Role.FOLLOWER, term, now, sender)
        self.leader, self._leader_contact_at = sender, now
        self._reset_election_timer(now)
        return True

    def _on_append_entries(self, sender: str, message: AppendEntries, now: int) -> None:
        """Append a leader's entries if they follow this log, commit what the leader committed, and reply."""
        if not self._accept_leader(sender, message.term, now):
            self._send(
                sender, AppendEntriesReply(self.vote.term, -1, self.log.last_index + 1, message.sent_at)
            )
            return
        if self.log.term_at(message.prev_log_index) != message.prev_log_term:
            if message.prev_log_index < self.log.snapshot.index:
                self._reply(
                    sender, AppendEntriesReply(message.term, self.log.snapshot.index, 0, message.sent_at)
                )
                return
            hint = min(message.prev_log_index, self.log.last_index + 1)
            if hint == message.prev_log_index:
                hint = self.log.first_index_of_term(message.prev_log_index)
            self._reply(sender, AppendEntriesReply(message.term, -1, hint, message.sent_at))
            return
        new = self.log.append(message.entries)
        if new:
            # Danger: pending entries that these replace must not be stored any more.
            earlier = [entry for entry in self._ready.entries if entry.index < new[0].index]
            self._ready.entries = [*earlier, *new]
        match_index = message.prev_log_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.leader_commit, match_index))
        self._try_finish_recovery(message.term, message.leader_commit, match_index)
        self._reply(sender, AppendEntriesReply(message.term, match_index, 0, message.sent_at))

    def _reply(self, sender: str, message: AppendEntriesReply) -> None:
        """Send a reply; a recovering voter acknowledges no entries."""
        if self.role is not Role.RECOVERING or (
            isinstance(message, AppendEntriesReply) and message.match_index < 0
        ):
            self._send(sender, message)
        elif isinstance(message, AppendEntriesReply):
            # The leader continues to send entries and must not count this copy: the reply reports no match.
            self._send(sender, AppendEntriesReply(message.term, -1, message.match_index + 1, 0))

    def _on_install_snapshot(self, sender: str, message: InstallSnapshot, now: int) -> None:
        """Collect the parts of a leader's snapshot, restore the complete one, and reply."""
        if not self._accept_leader(sender, message.term, now):
            self._send(
                sender, InstallSnapshotReply(self.vote.term, message.last_included_index, 0, message.sent_at)
            )
            return
        if message.last_included_index <= self.commit_index:
            self._reply(sender, AppendEntriesReply(message.term, self.commit_index, 0, message.sent_at))
            return
        index, term, data = self._incoming_snapshot or (0, 0, b"")
        if (index, term) != (message.last_included_index, message.last_included_term):
            data = b""
        if message.offset == len(data):
            data += message.data
            if not message.has_more:
                self._incoming_snapshot = None
                self._restore_snapshot(
                    Snapshot(
                        message.last_included_index, message.last_included_term, message.configuration, data
                    )
                )
                self._try_finish_recovery(
                    message.term, message.last_included_index, message.last_included_index
                )
                self._reply(
                    sender, AppendEntriesReply(message.term, message.last_included_index, 0, message.sent_at)
                )
                return
        self._incoming_snapshot = (message.last_included_index, message.last_included_term, data)
        if self.role is not Role.RECOVERING:
            self._send(
                sender,
                InstallSnapshotReply(message.term, message.last_included_index, len(data), message.sent_at),
            )
        else:
            self._send(sender, InstallSnapshotReply(message.term, message.last_included_index, len(data), 0))

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the log up to a snapshot's index, and the state of the state machine, by the snapshot."""
        self.log.install_snapshot(snapshot)
        self.commit_index = self.last_applied = snapshot.index
        self._ready.snapshot = self._ready.restore = snapshot
        self._ready.entries = list(self.log.entries)

    # Recovery of a voter that lost its state

    def _send_term_queries(self, now: int) -> None:
        """While recovering, ask all other voters for their terms."""
        self._wake_at = now + self.settings.heartbeat_interval
        for name in self.configuration.voters:
            if name != self.name:
                self._send(name, TermQuery(self._nonce, self._boot_count))

    def _on_term_reply(self, sender: str, message: TermReply, now: int) -> None:
        """Record a voter's term for the recovery; start a recovery if the reply shows a stale disk."""
        if message.nonce != self._nonce or sender not in self.configuration.voters:
            return
        if self._boot_count and message.boot_count >= self._boot_count and self.role is not Role.RECOVERING:
            # Danger: an older copy of the disk was restored: it lacks votes and entries acknowledged since.
            self.stale_disk = True
            self._change_role(Role.FOLLOWER, self.vote.term, now)
            self.role = Role.RECOVERING
            self._wake_at = now
        if self.role is not Role.RECOVERING:
            return
        self._reported_terms[sender] = message.term
        if len(self._reported_terms) >= self.configuration.quorum:
            highest = max(self._reported_terms.values())
            self._recovery_term = max(self._recovery_term, highest)
            if highest > self.vote.term:
                # Danger: this voter may have voted in that term or earlier, so its vote in it counts as used.
                self._store_vote(Vote(highest, self.name))

    def _try_finish_recovery(self, term: int, commit_index: int, match_index: int) -> None:
        """End the recovery if this log has all entries committed in a term that is late enough.

        `match_index` is the last index at which this log agrees with the leader's. The term must be at least
        the highest one that a quorum of voters reported, so that no acknowledged entry can be missing.
        """
        is_term_known = 0 <= self._recovery_term <= term
        of_this_term = self.log.term_at(commit_index) == term
        if self.role is Role.RECOVERING and is_term_known and of_this_term and match_index >= commit_index:
            self.role = Role.FOLLOWER
            if self.vote.term < term or not self.vote.voted_for:
                self._store_vote(Vote(max(term, self.vote.term), self.name))

    # Messages

    def _send(self, to: str, message: Message) -> None:
        """Queue a message for a member; it is sent after the state has been stored."""
        self._ready.messages.append((to, message))

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Process a message from another member."""
        match message:
            case RequestVote():
                self._on_request_vote(sender, message, now)
            case RequestVoteReply():
                self._on_request_vote_reply(sender, message, now)
            case AppendEntries():
                self._on_append_entries(sender, message, now)
            case AppendEntriesReply():
                self._on_append_entries_reply(sender, message, now)
            case InstallSnapshot():
                self._on_install_snapshot(sender, message, now)
            case InstallSnapshotReply():
                self._on_install_snapshot_reply(sender, message, now)
            case TimeoutNow(term):
                if term == self.vote.term and self.role is Role.FOLLOWER and sender == self.leader:
                    self._start_election(now, pre_vote=False, leadership_transfer=True)
            case TermQuery(nonce, boot_count):
                known_boot_count = self.boot_counts.get(sender, 0)
                self.boot_counts[sender] = max(known_boot_count, boot_count)
                if self.role is not Role.RECOVERING:
                    self._send(sender, TermReply(self.vote.term, nonce, known_boot_count))
            case TermReply():
                self._on_term_reply(sender, message, now)
