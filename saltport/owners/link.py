"""Ownership on the loop: messages by the peers' socket, a voter's disk, the clock that counts sleep too."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from saltport.owners import trials
from saltport.owners.log import Configuration, Log, Snapshot, Vote
from saltport.owners.member import Member
from saltport.owners.messages import Message, decode, encode
from saltport.owners.raft import NS_PER_S
from saltport.owners.settings import OwnerSettings
from saltport.owners.storage import Storage, StorageBusyError, StorageError
from saltport.owners.trials import Trials
from saltport.peers.agent import MemberState
from saltport.peers.link import PeerLink

TRIALS_NS = 250_000_000  # between two looks at ejected servers
BEGIN_EVERY = 200_000_000  # between two looks whether the process before this one has ended
EVIDENCE_MARK = 64  # the tag of evidence, as its first element
LEAVE_S = 0.05

log = logging.getLogger("saltport")


@dataclass(frozen=True, slots=True)
class OwnersPlan:
    """`[owners]`, checked."""

    voters: tuple[str, ...]
    folder: Path | None
    """Of a voter's state; None: it has no lasting disk."""
    begin: bool
    """Whether a voter without a state begins with an empty one: at the first start of a fleet only."""
    pieces: tuple[str, ...]
    """Work that operators have done under this ownership."""
    trials: bool
    settings: OwnerSettings


class Servers(Protocol):
    """What trials need of the decisions."""

    def trials_due(self) -> Mapping[str, int]:
        """The ejected servers, and when each may be tried; monotonic nanoseconds."""

    def hold_trial(self, server: str, until: int) -> None:
        """Try it no sooner."""

    def begin_trial(self, server: str) -> None:
        """Try it with the next request."""


def boot_clock() -> int:
    """Nanoseconds, those in which the machine slept too: a lease must end while nobody runs."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class OwnersLink:
    """One process's part in ownership."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, plan: OwnersPlan, peers: PeerLink, servers: Servers, seed: int
    ) -> None:
        self._loop, self._plan, self._peers, self._servers = loop, plan, peers, servers
        self._rng = random.Random(seed ^ 0x0B0E)
        self.name = peers.agent.name
        self.member: Member | None = None
        self.trouble = ""
        self.wanted: list[str] = []
        """Pieces of work that other parts of this process want done."""
        self._storage: Storage | None = None
        self._storage_failed = False
        """Whether it failed while this voter voted: it is opened anew as soon as it works."""
        self._begin_at = 0
        self._timer: asyncio.TimerHandle | None = None
        self._turned = 0
        self._trials: Trials | None = None
        self._trials_at = 0
        self._was_without = True
        peers.carried = self._arrived
        self._turn()

    def _open(self) -> bool:
        """Open a voter's storage, once the process before this one has closed it; False: not yet."""
        plan = self._plan
        if self.name not in plan.voters or plan.folder is None:
            return True
        trouble, self.trouble = self.trouble, ""
        try:
            self._storage = Storage(plan.folder / f"{self.name}.voter", self.name, plan.voters)
        except StorageError as error:
            self.trouble = str(error)
            if self.trouble != trouble:
                log.error("owners: this router can't vote: %s", error)
            return not isinstance(error, StorageBusyError)
        return True

    def _kept(self, storage: Storage) -> tuple[Log, Vote, bool]:
        return storage.log, storage.vote, storage.is_new and not self._plan.begin

    def _begin(self, now: int) -> Member:
        """Once this process is a member among its peers: its start number is settled then."""
        kept, boot_count = None, 0
        if self.name in self._plan.voters and not self.trouble:
            if self._storage is not None:
                kept, boot_count = self._kept(self._storage), self._storage.boot_count
            else:
                kept = (Log(Snapshot(0, 0, Configuration(self._plan.voters))), Vote(0), not self._plan.begin)
        start = self._peers.agent.me.start
        member = Member(
            self.name, start, self._plan.voters, self._plan.settings, self._rng, now, kept, boot_count
        )
        member.tenure.want([*self._plan.pieces, *self.wanted])
        self._trials = Trials(member.tenure, member.fence, self._rng) if self._plan.trials else None
        return member

    def _turn(self) -> None:
        try:
            now = boot_clock()
            member = self.member
            if member is None and self._peers.agent.state is MemberState.MEMBER and now >= self._begin_at:
                self._begin_at = now + BEGIN_EVERY
                if self._open():
                    member = self.member = self._begin(now)
            if member is not None and self._storage_failed and now >= self._begin_at:
                self._begin_at = now + BEGIN_EVERY
                self._vote_again(member, now)
            if member is not None:
                if now - self._turned > self._plan.settings.lease // 2:
                    member.tenure.lapse(now)  # a gap in its own time: nobody can say what it missed
                member.tick(now)
                if self._trials is not None and now >= self._trials_at:
                    self._trials_at = now + TRIALS_NS
                    self._try(member, self._trials, now)
                self._carry(member)
                self._say(member, now)
            self._turned = now
        finally:
            due = self.member.wake_at if self.member is not None else 0
            wait = min(max(due - boot_clock(), 5_000_000), 100_000_000) / NS_PER_S
            self._timer = self._loop.call_later(wait, self._turn)

    def _vote_again(self, member: Member, now: int) -> None:
        """Go on from what the disk has, as after a crash, once it takes what is written."""
        self._open()
        if self._storage is not None:
            self._storage_failed = False
            member.begin_voting(self._kept(self._storage), self._storage.boot_count, now)
            log.info("owners: this voter votes again")

    def _say(self, member: Member, now: int) -> None:
        without = member.without_owner(now)
        if without != self._was_without:
            self._was_without = without
            if without:
                log.warning("owners: no steward in sight: this router is on its own")
            else:
                log.info("owners: a steward is in sight")

    def _try(self, member: Member, held: Trials, now: int) -> None:
        ejected = self._servers.trials_due()
        member.tenure.want([*self._plan.pieces, *self.wanted, *held.wanted(ejected)])
        shift = time.monotonic_ns() - now  # decisions go by the monotonic clock
        due = {server: at - shift for server, at in ejected.items()}
        plan = held.turn(due, not member.without_owner(now), now)
        for server, until in plan.holds.items():
            self._servers.hold_trial(server, until + shift)
        for server in plan.starts:
            self._servers.begin_trial(server)
        for told in plan.tell:
            data = trials.encode(told)
            for record in list(self._peers.agent.members.live()):
                self._peers.send_to(record.name, data)

    def _arrived(self, sender: str, data: bytes) -> None:
        """A message came from a live router of the name that it says."""
        member = self.member
        if member is None:
            return
        now = boot_clock()
        try:
            if len(data) > 1 and data[1] == EVIDENCE_MARK:
                told = trials.decode(data)
                if self._trials is not None:
                    self._trials.heard(told, self._servers.trials_due(), now)
                return
            message = decode(data)
        except ValueError:
            return
        self._receive(member, sender, message, now)

    def _receive(self, member: Member, sender: str, message: Message, now: int) -> None:
        member.receive(sender, message, now)
        self._carry(member)

    def _carry(self, member: Member) -> None:
        work = member.take()
        if self._storage is not None:
            try:
                self._storage.keep(work.vote, work.snapshot, work.entries)
            except StorageError as error:
                # Danger: what could not be kept must not be said, and nothing must be promised on top of it.
                self.trouble = str(error)
                log.error("owners: this voter stops for now: %s", error)
                member.stop_voting()
                self._storage, self._storage_failed = None, True
                return
        for to, message in work.messages:
            if to == self.name:
                self._loop.call_soon(self._receive, member, to, message, boot_clock())
            else:
                self._peers.send_to(to, encode(message))

    # What operators ask

    def view(self) -> dict[str, Any]:
        """What this router holds, and what the record says where it is a voter."""
        now, member = boot_clock(), self.member
        if member is None:
            return {"state": "waiting for its peers"}
        raft, tenure = member.raft, member.tenure
        told: dict[str, Any] = {
            "state": "without an owner in sight" if member.without_owner(now) else "well",
            "now_ns": now,
            "session": [tenure.session.name, tenure.session.start, tenure.session.lapse],
            "lease_left_ms": max(tenure.lease_until - now, 0) // 1_000_000,
            "lapses": tenure.lapses,
            "holds": {piece: epoch for piece in sorted(tenure.pieces) if (epoch := tenure.may(piece, now))},
            "refused_by_fence": member.fence.refused,
            "trouble": self.trouble,
        }
        if self._trials is not None:
            told["trials"] = {"started_by_owners": self._trials.taken, "stale": self._trials.stale}
        if raft is not None:
            steward = member.steward
            told["voter"] = {
                "role": str(raft.role),
                "term": raft.term,
                "leader": raft.leader,
                "commit": raft.commit_index,
                "last": raft.log.last_index,
                "voters": list(raft.configuration.voters),
                "learners": list(raft.configuration.learners),
                "lease_left_ms": max(min(raft.lease_until(), now + 10**12) - now, 0) // 1_000_000,
                "writes": self._storage.writes if self._storage is not None else None,
            }
            told["pieces"] = {
                piece: {
                    "owner": held.owner.name,
                    "epoch": held.epoch,
                    "given": steward.takeovers[piece][0] if steward and piece in steward.takeovers else "",
                }
                for piece, held in sorted(member.record.pieces.items())
            }
        return told

    def step_down(self, to: str) -> str:
        """Hand leadership to a voter, or to the one that is most up to date; returns why not, or nothing."""
        member, now = self.member, boot_clock()
        raft = member.raft if member is not None else None
        if member is None or raft is None or not raft.leads(now):
            return "this router does not lead"
        heirs = [name for name in raft.configuration.voters if name != self.name]
        heir = to or max(heirs, key=lambda name: raft.progress[name].match_index, default="")
        if not raft.transfer_leadership(heir, now):
            return f"{heir!r} is no other voter"
        self._carry(member)
        return ""

    async def close(self) -> None:
        """Give back what is held, before the process ends."""
        if self._timer is not None:
            self._timer.cancel()
        if self.member is not None:
            self.member.resign(boot_clock())
            self._carry(self.member)
            await asyncio.sleep(LEAVE_S)
            if self.member.raft is not None:
                self.member.raft.tick(boot_clock())
            self._carry(self.member)
        if self._storage is not None:
            self._storage.close()
