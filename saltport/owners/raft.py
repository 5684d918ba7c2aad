"""The agreed record: Raft, as Ongaro's thesis has it (sections are named beside the rules). No I/O.

It takes messages, proposals and the time, and gives what to store, what to send and what to apply: `take`
returns them, and whoever drives it stores first, sends then, applies last. Times are nanoseconds on a clock
that never goes back, and that may run faster or slower than another's by `drift`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

from msgspec import Struct

from saltport.owners.log import Entry, Kind, Log, Snapshot, Vote, Voting, pack, unpack

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS


class Role(StrEnum):
    """What a member does."""

    FOLLOWER = "follower"
    RECOVERING = "recovering"
    """Without a disk and just started: it neither votes nor answers for entries."""
    PRECANDIDATE = "precandidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Times are nanoseconds; the same at every voter."""

    election: int = 1_500 * NS_PER_MS
    """So long after a leader was heard no other gets a vote; elections begin then, and up to twice it."""
    heartbeat: int = 250 * NS_PER_MS
    drift: float = 0.02
    """By so much of it a clock may run faster or slower."""
    batch: int = 150
    """Bytes of entries in a message, with twelve for each; one goes however long it is."""
    chunk: int = 160
    """Bytes of a snapshot in a message."""
    prevote: bool = True
    """Off only to show in tests what it is for."""
    lease_from_answer: bool = False
    """On only as a planted defect: the lease would count from when answers come."""

    @property
    def lease(self) -> int:
        """How long a leader may count on no other, from when its question left."""
        return int(self.election * (1 - self.drift) / (1 + self.drift))


class AskVote(Struct, frozen=True, array_like=True, tag=0):
    """A candidate's question; `pre`: whether it would get the vote; `handed`: the leader told it to."""

    term: int
    last: int
    last_term: int
    pre: bool
    handed: bool = False


class GiveVote(Struct, frozen=True, array_like=True, tag=1):
    """The answer; `term` is the one asked for if it is granted, else the voter's own."""

    term: int
    granted: bool
    pre: bool


class Append(Struct, frozen=True, array_like=True, tag=2):
    """Entries behind a known one, or none: a heartbeat. `sent`: by the leader's clock, to be given back."""

    term: int
    before: int
    before_term: int
    commit: int
    sent: int
    entries: tuple[Entry, ...] = ()


class Appended(Struct, frozen=True, array_like=True, tag=3):
    """How far the log agrees; `match` -1: not at `before`, and `hint` is where to try."""

    term: int
    match: int
    hint: int
    sent: int


class Part(Struct, frozen=True, array_like=True, tag=4):
    """A part of a snapshot, from `offset` on."""

    term: int
    index: int
    index_term: int
    voting: Voting
    offset: int
    data: bytes
    more: bool
    sent: int


class GotPart(Struct, frozen=True, array_like=True, tag=5):
    """So many bytes of the snapshot of this index are here."""

    term: int
    index: int
    size: int
    sent: int


class Campaign(Struct, frozen=True, array_like=True, tag=6):
    """The leader hands its work over: begin an election at once (3.10)."""

    term: int


class AskTerm(Struct, frozen=True, array_like=True, tag=7):
    """A voter that started asks what the others know; `nonce` and `boots` are of this start."""

    nonce: int
    boots: int = 0


class TellTerm(Struct, frozen=True, array_like=True, tag=8):
    """The answer of a voter that remembers; `boots`: the latest start of the asker that it knew of before."""

    term: int
    nonce: int
    boots: int = 0


Message = AskVote | GiveVote | Append | Appended | Part | GotPart | Campaign | AskTerm | TellTerm


@dataclass(slots=True)
class Ready:
    """What is to be done, in this order."""

    vote: Vote | None = None
    snapshot: Snapshot | None = None
    """To be stored in place of the log before it."""
    entries: list[Entry] = field(default_factory=list)
    """To be stored; what was kept from the first one's index on is void."""
    messages: list[tuple[str, Message]] = field(default_factory=list)
    restore: Snapshot | None = None
    """To be applied in place of everything."""
    committed: list[Entry] = field(default_factory=list)


@dataclass(slots=True)
class _Progress:
    """What a leader knows of another one."""

    next: int
    match: int = 0
    answered: int = 0
    """When the last question left that it answered."""
    snapshot_at: int = -1
    """Bytes of the snapshot that it has; -1: it needs none."""
    waiting: bool = False


class Raft:
    """One member."""

    def __init__(
        self,
        name: str,
        log: Log,
        vote: Vote,
        settings: RaftSettings,
        rng: random.Random,
        now: int,
        forgot: bool = False,
        boots: int = 0,
    ) -> None:
        """`forgot`: this voter once promised things that its storage does not have.

        `boots`: the how manyeth start this is by its storage, which must not lie behind what others know; 0:
        nobody counts.
        """
        self.name, self.log, self.vote, self.settings, self._rng = name, log, vote, settings, rng
        self.leader = ""
        self.commit = log.snapshot.index
        self.applied = log.snapshot.index
        self.progress: dict[str, _Progress] = {}
        self._ready = Ready()
        self._told_yes: set[str] = set()
        self._heard_at = now  # Danger: what it promised before it was started again still binds
        self._quorum_at = now
        self._incoming: tuple[int, int, bytes] | None = None
        self._handing_to = ""
        self._handed_until = 0
        self._nonce = rng.getrandbits(48)
        self.stale_disk = False
        """Whether another voter knew of a later start than this one's disk does."""
        self._terms: dict[str, int] = {}
        self._recovered_term = -1
        self._term_start = 0  # index of the leader's first entry
        self.role = Role.RECOVERING if forgot else Role.FOLLOWER
        self._boots = boots
        self.boots_of: dict[str, int] = {}
        """The latest start of each other voter that this one heard of."""
        if boots:
            for voter in self.voting.voters:
                if voter != name:
                    self._send(voter, AskTerm(self._nonce, boots))
        self._beat_at = now
        self._due = now
        self._wait(now)

    # What others may ask

    @property
    def term(self) -> int:
        """The current term."""
        return self.vote.term

    @property
    def voting(self) -> Voting:
        """Who votes, by the latest entry, committed or not."""
        return self.log.voting()[1]

    @property
    def due(self) -> int:
        """When `tick` is wanted at the latest."""
        return self._due

    def lease_until(self) -> int:
        """Until when no other can lead, if this one does; 0: nothing is sure."""
        if self.role is not Role.LEADER or self._handing_to:
            return 0
        return self._quorum_answered() + self.settings.lease

    def leads(self, now: int) -> bool:
        """Whether this one leads, by a lease that holds, and knows all that is committed (6.4)."""
        return now < self.lease_until() and self.commit >= self._term_start

    def take(self) -> Ready:
        """What is to be stored, sent and applied now."""
        ready, self._ready = self._ready, Ready()
        while self.applied < self.commit:
            place = self.applied - self.log.snapshot.index
            entry = self.log.entries[place]
            self.applied = entry.index
            ready.committed.append(entry)
        return ready

    # What drives it

    def tick(self, now: int) -> None:
        """Time has passed."""
        if now < self._due:
            return
        match self.role:
            case Role.LEADER:
                self._lead(now)
            case Role.RECOVERING:
                self._ask_terms(now)
            case _:
                if self.name in self.voting.voters:
                    self._campaign(now, pre=self.settings.prevote)
                else:
                    self._wait(now)

    def propose(self, data: bytes, now: int) -> int | None:
        """Append a command; returns its index. None: this is not the leader, or it is handing over."""
        return self._propose(Kind.COMMAND, data, now)

    def change(self, voting: Voting, now: int) -> int | None:
        """Change who votes, by one voter at the most; returns the entry's index. Raises ValueError."""
        index, held = self.log.voting()
        if not voting.voters:
            raise ValueError("somebody has to vote")
        if len(set(held.voters) ^ set(voting.voters)) > 1:
            raise ValueError("one voter at a time")
        if index > self.commit or self.commit < self._term_start:
            raise ValueError("the change before is not committed yet")
        for name in sorted(set(voting.voters) - set(held.voters)):
            progress = self.progress.get(name)
            if self.role is Role.LEADER and (progress is None or progress.match < self.commit):
                raise ValueError(f"{name} has not caught up")
        return self._propose(Kind.CONFIG, pack(voting), now)

    def hand_over(self, to: str, now: int) -> bool:
        """Give leadership to a voter that is up to date, or bring it up to date first; False: it can't be."""
        if self.role is not Role.LEADER or to not in self.voting.voters or to == self.name:
            return False
        # Danger: from here on another may lead at any moment: the lease is void before the word is sent.
        self._handing_to, self._handed_until = to, now + self.settings.election
        self._send_append(to, now, force=True)
        self._finish_handing(now)
        return True

    def compact(self, data: bytes) -> None:
        """What is applied makes this state: the log up to there is not needed any more."""
        term = self.log.term_at(self.applied)
        assert term is not None
        voting = self.log.snapshot.voting
        for entry in self.log.entries:
            if entry.index <= self.applied and entry.kind == Kind.CONFIG:
                voting = unpack(entry.data)
        snapshot = Snapshot(self.applied, term, voting, data)
        self.log.cut(snapshot)
        self._ready.snapshot = snapshot
        self._ready.entries = list(self.log.entries)

    # Elections

    def _wait(self, now: int) -> None:
        if self.role is Role.RECOVERING:
            self._due = min(self._due, now + self.settings.heartbeat)  # it goes on asking, whoever leads
            return
        base = max(self._heard_at, now) if self.role is not Role.LEADER else now
        self._due = base + self._rng.randint(self.settings.election, 2 * self.settings.election)

    def _become(self, role: Role, term: int, now: int, leader: str = "") -> None:
        if term > self.vote.term:
            self._store_vote(Vote(term))
        if self.role is not Role.RECOVERING:
            self.role = role
        self.leader = leader
        self._handing_to = ""
        self._told_yes.clear()
        self.progress.clear()
        self._wait(now)

    def _store_vote(self, vote: Vote) -> None:
        self.vote = vote
        self._ready.vote = vote

    def _campaign(self, now: int, pre: bool, handed: bool = False) -> None:
        self.role = Role.PRECANDIDATE if pre else Role.CANDIDATE
        self.leader = ""
        self._told_yes = {self.name}
        if not pre:
            self._store_vote(Vote(self.vote.term + 1, self.name))
        self._wait(now)
        term = self.vote.term + pre
        question = AskVote(term, self.log.last, self.log.last_term, pre, handed)
        for name in self.voting.voters:
            if name != self.name:
                self._send(name, question)
        self._count_votes(now)

    def _count_votes(self, now: int) -> None:
        voting = self.voting
        if len(self._told_yes & set(voting.voters)) < voting.quorum:
            return
        if self.role is Role.PRECANDIDATE:
            self._campaign(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _become_leader(self, now: int) -> None:
        self.role, self.leader = Role.LEADER, self.name
        self._handing_to = ""
        self._quorum_at = self._beat_at = now
        self.progress = {
            name: _Progress(self.log.last + 1) for name in self.voting.everyone if name != self.name
        }
        self._term_start = self.log.last + 1
        self._append_own(Kind.EMPTY, b"")
        self._lead(now)

    def _asked_for_vote(self, sender: str, asked: AskVote, now: int) -> None:
        if self.role is Role.RECOVERING:
            return
        quiet = now - self._heard_at >= self.settings.election
        leads = self.role is Role.LEADER
        # 4.2.3: while a leader is heard, nobody else gets a vote, unless that leader said so.
        if not asked.handed and (leads or not quiet):
            if asked.term > self.vote.term or asked.pre:
                self._send(sender, GiveVote(self.vote.term, False, asked.pre))
            return
        fresh = (asked.last_term, asked.last) >= (self.log.last_term, self.log.last)
        if asked.pre:
            granted = fresh and asked.term > self.vote.term
            self._send(sender, GiveVote(asked.term if granted else self.vote.term, granted, True))
            return
        if asked.term > self.vote.term:
            self._become(Role.FOLLOWER, asked.term, now)
        free = asked.term == self.vote.term and self.vote.voted_for in ("", sender)
        granted = fresh and free and self.role is Role.FOLLOWER
        if granted:
            self._store_vote(Vote(self.vote.term, sender))
            self._wait(now)
        self._send(sender, GiveVote(self.vote.term, granted, False))

    def _got_vote(self, sender: str, told: GiveVote, now: int) -> None:
        if not told.granted:
            if told.term > self.vote.term:
                self._become(Role.FOLLOWER, told.term, now)
            return
        wanted = Role.PRECANDIDATE if told.pre else Role.CANDIDATE
        if self.role is wanted and told.term == self.vote.term + told.pre:
            self._told_yes.add(sender)
            self._count_votes(now)

    # Leading

    def _lead(self, now: int) -> None:
        answered = self._quorum_answered()
        if now - max(answered, self._quorum_at) > self.settings.election:
            self._become(Role.FOLLOWER, self.vote.term, now)  # 6.2: without a majority for so long
            return
        if self._handing_to and now >= self._handed_until:
            # Danger: the word may still be on its way, and then another leads: in this term this one must not
            # count on its lease again.
            self._become(Role.FOLLOWER, self.vote.term, now)
            return
        if now >= self._beat_at or now >= self._due:
            self._beat_at = now + self.settings.heartbeat
            for name in self.progress:
                self._send_append(name, now, force=True)
        self._advance(now)
        self._due = self._beat_at

    def _quorum_answered(self) -> int:
        """The latest time at which a question left that a majority, itself included, has answered."""
        voting = self.voting
        times = sorted(
            (held.answered for name, held in self.progress.items() if name in voting.voters), reverse=True
        )
        others = voting.quorum - (self.name in voting.voters)
        if others <= 0:
            return 1 << 62
        return times[others - 1] if len(times) >= others else 0

    def _propose(self, kind: Kind, data: bytes, now: int) -> int | None:
        if self.role is not Role.LEADER or self._handing_to:
            return None
        index = self._append_own(kind, data)
        if kind is Kind.CONFIG:
            for name in self.voting.everyone:
                if name != self.name:
                    self.progress.setdefault(name, _Progress(self.log.last))
        for name in list(self.progress):
            self._send_append(name, now)
        self._advance(now)
        return index

    def _append_own(self, kind: Kind, data: bytes) -> int:
        entry = Entry(self.log.last + 1, self.vote.term, kind, data)
        self.log.entries.append(entry)
        self._ready.entries.append(entry)
        return entry.index

    def _send_append(self, name: str, now: int, force: bool = False) -> None:
        held = self.progress[name]
        if held.waiting and not force:
            return
        held.waiting = True
        before_term = self.log.term_at(held.next - 1)
        if before_term is None:
            self._send_part(name, held, now)
            return
        entries = tuple(self.log.after(held.next - 1, self.settings.batch))
        self._send(name, Append(self.vote.term, held.next - 1, before_term, self.commit, now, entries))

    def _send_part(self, name: str, held: _Progress, now: int) -> None:
        snapshot = self.log.snapshot
        held.snapshot_at = max(held.snapshot_at, 0)
        data = snapshot.data[held.snapshot_at : held.snapshot_at + self.settings.chunk]
        more = held.snapshot_at + len(data) < len(snapshot.data)
        part = Part(
            self.vote.term, snapshot.index, snapshot.term, snapshot.voting, held.snapshot_at, data, more, now
        )  # fmt: skip
        self._send(name, part)

    def _answer_came(self, sender: str, term: int, sent: int, now: int) -> _Progress | None:
        """Of this term and from one that is known: its question's time counts for the lease."""
        if term > self.vote.term:
            self._become(Role.FOLLOWER, term, now)
        held = self.progress.get(sender)
        if self.role is not Role.LEADER or term != self.vote.term or held is None:
            return None
        held.waiting = False
        held.answered = max(held.answered, now if self.settings.lease_from_answer else sent)
        return held

    def _appended(self, sender: str, told: Appended, now: int) -> None:
        held = self._answer_came(sender, told.term, told.sent, now)
        if held is None:
            return
        held.snapshot_at = -1
        if told.match >= 0:
            held.match = max(held.match, told.match)
            held.next = max(held.next, held.match + 1)
        elif told.hint > held.next:
            held.next = min(
                told.hint, self.log.last + 1
            )  # it recovers: it takes entries and answers for none
        else:
            held.next = max(min(told.hint, held.next - 1), 1)
        self._advance(now)
        if self.role is Role.LEADER and held.next <= self.log.last:
            self._send_append(sender, now)
        self._finish_handing(now)

    def _got_part(self, sender: str, told: GotPart, now: int) -> None:
        held = self._answer_came(sender, told.term, told.sent, now)
        if held is None:
            return
        snapshot = self.log.snapshot
        if told.index != snapshot.index:
            held.snapshot_at = 0  # a newer one was made meanwhile: begin again
        elif told.size >= len(snapshot.data):
            held.snapshot_at = -1
            held.match = max(held.match, snapshot.index)
            held.next = max(held.next, snapshot.index + 1)
        else:
            held.snapshot_at = told.size
        self._send_append(sender, now)

    def _advance(self, now: int) -> None:
        """Commit what a majority has, of this term only (3.6.2)."""
        voting = self.voting
        matches = sorted(
            (self.log.last if name == self.name else self.progress[name].match
             for name in voting.voters if name == self.name or name in self.progress),
            reverse=True,
        )  # fmt: skip
        if len(matches) < voting.quorum:
            return
        index = matches[voting.quorum - 1]
        if index > self.commit and self.log.term_at(index) == self.vote.term:
            self.commit = index
            for name in self.progress:
                if self.progress[name].match >= index:
                    self._send_append(name, now)
            held_at, voting = self.log.voting()
            if held_at <= index:
                for name in sorted(set(self.progress) - set(voting.everyone)):
                    del self.progress[name]
                if self.name not in voting.voters:
                    self._become(Role.FOLLOWER, self.vote.term, now)  # 4.2.2: it led its own leaving

    def _finish_handing(self, now: int) -> None:
        held = self.progress.get(self._handing_to)
        if held is not None and held.match == self.log.last:
            self._send(self._handing_to, Campaign(self.vote.term))

    # Following

    def _follow(self, sender: str, term: int, now: int) -> bool:
        """A leader spoke; whether it is a leader of no older term."""
        if term < self.vote.term:
            return False
        if term > self.vote.term or self.role not in (Role.FOLLOWER, Role.RECOVERING):
            self._become(Role.FOLLOWER, term, now, sender)
        self.leader, self._heard_at = sender, now
        self._wait(now)
        return True

    def _append(self, sender: str, told: Append, now: int) -> None:
        if not self._follow(sender, told.term, now):
            self._send(sender, Appended(self.vote.term, -1, self.log.last + 1, told.sent))
            return
        if self.log.term_at(told.before) != told.before_term:
            if told.before < self.log.snapshot.index:
                self._answer(sender, Appended(told.term, self.log.snapshot.index, 0, told.sent))
                return
            hint = min(told.before, self.log.last + 1)
            if hint == told.before:
                hint = self.log.first_of_term(told.before)
            self._answer(sender, Appended(told.term, -1, hint, told.sent))
            return
        new = self.log.append(told.entries)
        if new:
            # Danger: entries that were to be stored and are replaced must not be stored after these.
            kept = [entry for entry in self._ready.entries if entry.index < new[0].index]
            self._ready.entries = [*kept, *new]
        match = told.before + len(told.entries)
        self.commit = max(self.commit, min(told.commit, match))
        self._maybe_recovered(told.term, told.commit, match)
        self._answer(sender, Appended(told.term, match, 0, told.sent))

    def _answer(self, sender: str, told: Appended) -> None:
        """Answer for the log: one that forgot what it promised does not."""
        if self.role is not Role.RECOVERING or (isinstance(told, Appended) and told.match < 0):
            self._send(sender, told)
        elif isinstance(told, Appended):
            # The leader may go on sending, and must not count this copy: the answer names no agreement.
            self._send(sender, Appended(told.term, -1, told.match + 1, 0))

    def _part(self, sender: str, told: Part, now: int) -> None:
        if not self._follow(sender, told.term, now):
            self._send(sender, GotPart(self.vote.term, told.index, 0, told.sent))
            return
        if told.index <= self.commit:
            self._answer(sender, Appended(told.term, self.commit, 0, told.sent))
            return
        index, term, data = self._incoming or (0, 0, b"")
        if (index, term) != (told.index, told.index_term):
            data = b""
        if told.offset == len(data):
            data += told.data
            if not told.more:
                self._incoming = None
                self._take_snapshot(Snapshot(told.index, told.index_term, told.voting, data))
                self._maybe_recovered(told.term, told.index, told.index)
                self._answer(sender, Appended(told.term, told.index, 0, told.sent))
                return
        self._incoming = (told.index, told.index_term, data)
        if self.role is not Role.RECOVERING:
            self._send(sender, GotPart(told.term, told.index, len(data), told.sent))
        else:
            self._send(sender, GotPart(told.term, told.index, len(data), 0))

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        self.log.cut(snapshot)
        self.commit = self.applied = snapshot.index
        self._ready.snapshot = self._ready.restore = snapshot
        self._ready.entries = list(self.log.entries)

    # Having forgotten

    def _ask_terms(self, now: int) -> None:
        self._due = now + self.settings.heartbeat
        for name in self.voting.voters:
            if name != self.name:
                self._send(name, AskTerm(self._nonce, self._boots))

    def _term_told(self, sender: str, told: TellTerm, now: int) -> None:
        if told.nonce != self._nonce or sender not in self.voting.voters:
            return
        if self._boots and told.boots >= self._boots and self.role is not Role.RECOVERING:
            # Danger: an older copy of the disk was put back: what was promised since is not on it.
            self.stale_disk = True
            self._become(Role.FOLLOWER, self.vote.term, now)
            self.role = Role.RECOVERING
            self._due = now
        if self.role is not Role.RECOVERING:
            return
        self._terms[sender] = told.term
        if len(self._terms) >= self.voting.quorum:
            highest = max(self._terms.values())
            self._recovered_term = max(self._recovered_term, highest)
            if highest > self.vote.term:
                # Danger: in that term and before it this voter may have voted: it is no free vote any more.
                self._store_vote(Vote(highest, self.name))

    def _maybe_recovered(self, term: int, commit: int, match: int) -> None:
        known = 0 <= self._recovered_term <= term
        of_this_term = self.log.term_at(commit) == term
        if self.role is Role.RECOVERING and known and of_this_term and match >= commit:
            self.role = Role.FOLLOWER
            if self.vote.term < term or not self.vote.voted_for:
                self._store_vote(Vote(max(term, self.vote.term), self.name))

    # Messages

    def _send(self, to: str, message: Message) -> None:
        self._ready.messages.append((to, message))

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Take a message."""
        match message:
            case AskVote():
                self._asked_for_vote(sender, message, now)
            case GiveVote():
                self._got_vote(sender, message, now)
            case Append():
                self._append(sender, message, now)
            case Appended():
                self._appended(sender, message, now)
            case Part():
                self._part(sender, message, now)
            case GotPart():
                self._got_part(sender, message, now)
            case Campaign(term):
                if term == self.vote.term and self.role is Role.FOLLOWER and sender == self.leader:
                    self._campaign(now, pre=False, handed=True)
            case AskTerm(nonce, boots):
                before = self.boots_of.get(sender, 0)
                self.boots_of[sender] = max(before, boots)
                if self.role is not Role.RECOVERING:
                    self._send(sender, TellTerm(self.vote.term, nonce, before))
            case TellTerm():
                self._term_told(sender, message, now)
