"""Runs ownership on the event loop: the peers' socket, a voter's storage and the boot-time clock."""

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

TRIALS_INTERVAL_NS = 250_000_000  # time between two schedulings of the trials of ejected servers
STORAGE_RETRY_NS = 200_000_000  # time between attempts to open the storage while another process has it open
EVIDENCE_TAG = 64  # tag of `trials.Evidence`, the first element of its encoding
RESIGN_WAIT_S = 0.05  # time to wait for the replies of a leadership transfer before the process ends

log = logging.getLogger("saltport")


@dataclass(frozen=True, slots=True)
class OwnersPlan:
    """The validated `[owners]` settings."""

    voters: tuple[str, ...]
    folder: Path | None
    """Directory of a voter's state; None if it has no persistent storage."""
    begin: bool
    """Whether a voter without stored state starts with an empty one; only for the first start of a fleet."""
    tasks: tuple[str, ...]
    """Names of tasks that operators' own programs do, from the setting `pieces`."""
    trials: bool
    settings: OwnerSettings


class Servers(Protocol):
    """The interface to the decision module that trials use."""

    def trials_due(self) -> Mapping[str, int]:
        """Return when each ejected server may be tried, in monotonic nanoseconds."""

    def hold_trial(self, server: str, until: int) -> None:
        """Postpone the trial of a server until this time, in monotonic nanoseconds."""

    def begin_trial(self, server: str) -> None:
        """Start the trial of a server with the next request."""


def boot_clock() -> int:
    """Return nanoseconds since boot, including suspension, so that leases also expire during it."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


class OwnersLink:
    """Drives the `Member` of this process."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, plan: OwnersPlan, peers: PeerLink, servers: Servers, seed: int
    ) -> None:
        self._loop, self._plan, self._peers, self._servers = loop, plan, peers, servers
        self._rng = random.Random(seed ^ 0x0B0E)
        self.name = peers.agent.name
        self.member: Member | None = None
        self.trouble = ""
        self.wanted: list[str] = []
        """Names of tasks that other parts of this process want done, by whichever router owns them."""
        self._storage: Storage | None = None
        self._storage_failed = False
        """Whether the storage failed while this voter was voting; it is reopened as soon as it works."""
        self._storage_retry_at = 0
        self._timer: asyncio.TimerHandle | None = None
        self._last_tick_at = 0
        self._trials: Trials | None = None
        self._trials_at = 0
        self._was_without_coordinator = True
        peers.on_payload = self._on_datagram
        self._tick()

    def _open_storage(self) -> bool:
        """Open the storage if this is a voter; False if another process still has it open."""
        plan = self._plan
        if self.name not in plan.voters or plan.folder is None:
            return True
        previous, self.trouble = self.trouble, ""
        try:
            self._storage = Storage(plan.folder / f"{self.name}.voter", self.name, plan.voters)
        except StorageError as error:
            self.trouble = str(error)
            if self.trouble != previous:
                log.error("owners: this router cannot vote, its storage does not open: %s", error)
            return not isinstance(error, StorageBusyError)
        return True

    def _stored_state(self, storage: Storage) -> tuple[Log, Vote, bool]:
        """Return a storage's log and vote, and whether this voter's state was lost.

        A new file counts as lost state unless the settings allow the voter to begin without one.
        """
        return storage.log, storage.vote, storage.is_new and not self._plan.begin

    def _create_member(self, now: int) -> Member:
        """Return the member of this process; the peers must have settled its start number."""
        stored, boot_count = None, 0
        if self.name in self._plan.voters and not self.trouble:
            if self._storage is not None:
                stored, boot_count = self._stored_state(self._storage), self._storage.boot_count
            else:
                stored = (
                    Log(Snapshot(0, 0, Configuration(self._plan.voters))),
                    Vote(0),
                    not self._plan.begin,
                )
        start = self._peers.agent.me.start
        member = Member(
            self.name, start, self._plan.voters, self._plan.settings, self._rng, now, stored, boot_count
        )
        member.owner_lease.set_wanted([*self._plan.tasks, *self.wanted])
        self._trials = Trials(member.owner_lease, member.fence, self._rng) if self._plan.trials else None
        return member

    def _tick(self) -> None:
        """Run the periodic work of the member and the trials, and schedule the next call."""
        try:
            now = boot_clock()
            member = self.member
            if (
                member is None
                and self._peers.agent.state is MemberState.MEMBER
                and now >= self._storage_retry_at
            ):
                self._storage_retry_at = now + STORAGE_RETRY_NS
                if self._open_storage():
                    member = self.member = self._create_member(now)
            if member is not None and self._storage_failed and now >= self._storage_retry_at:
                self._storage_retry_at = now + STORAGE_RETRY_NS
                self._resume_voting(member, now)
            if member is not None:
                if now - self._last_tick_at > self._plan.settings.lease // 2:
                    member.owner_lease.lapse(now)  # paused: the lease may have expired unnoticed
                member.tick(now)
                if self._trials is not None and now >= self._trials_at:
                    self._trials_at = now + TRIALS_INTERVAL_NS
                    self._run_trials(member, self._trials, now)
                self._perform_output(member)
                self._log_coordinator_change(member, now)
            self._last_tick_at = now
        finally:
            due = self.member.wake_at if self.member is not None else 0
            wait = min(max(due - boot_clock(), 5_000_000), 100_000_000) / NS_PER_S
            self._timer = self._loop.call_later(wait, self._tick)

    def _resume_voting(self, member: Member, now: int) -> None:
        """Reopen the storage and resume voting from its state, as after a crash."""
        self._open_storage()
        if self._storage is not None:
            self._storage_failed = False
            member.begin_voting(self._stored_state(self._storage), self._storage.boot_count, now)
            log.info("owners: the storage works again, this voter resumes voting")

    def _log_coordinator_change(self, member: Member, now: int) -> None:
        """Log when coordinators stop or resume answering this router."""
        is_without = member.without_coordinator(now)
        if is_without != self._was_without_coordinator:
            self._was_without_coordinator = is_without
            if is_without:
                log.warning("owners: no coordinator answers: this router acts on its own")
            else:
                log.info("owners: a coordinator answers")

    def _run_trials(self, member: Member, scheduler: Trials, now: int) -> None:
        """Schedule trials of ejected servers, and send evidence of recovered ones to all routers."""
        ejected = self._servers.trials_due()
        member.owner_lease.set_wanted([*self._plan.tasks, *self.wanted, *scheduler.wanted(ejected)])
        shift = time.monotonic_ns() - now  # the decision module uses the monotonic clock
        due = {server: at - shift for server, at in ejected.items()}
        plan = scheduler.next_plan(due, not member.without_coordinator(now), now)
        for server, until in plan.postponed.items():
            self._servers.hold_trial(server, until + shift)
        for server in plan.starts:
            self._servers.begin_trial(server)
        for evidence in plan.evidence:
            data = trials.encode(evidence)
            for peer in list(self._peers.agent.members.live()):
                self._peers.send_to(peer.name, data)

    def _on_datagram(self, sender: str, data: bytes) -> None:
        """Process a datagram from a live router."""
        member = self.member
        if member is None:
            return
        now = boot_clock()
        try:
            if len(data) > 1 and data[1] == EVIDENCE_TAG:
                evidence = trials.decode(data)
                if self._trials is not None:
                    self._trials.on_evidence(evidence, self._servers.trials_due(), now)
                return
            message = decode(data)
        except ValueError:
            return
        self._receive(member, sender, message, now)

    def _receive(self, member: Member, sender: str, message: Message, now: int) -> None:
        """Pass a message to the member, and store and send the output."""
        member.receive(sender, message, now)
        self._perform_output(member)

    def _perform_output(self, member: Member) -> None:
        """Store the state in the member's output, then send its messages.

        If the storage fails, nothing is sent and the voter stops voting.
        """
        output = member.take_output()
        if self._storage is not None:
            try:
                self._storage.persist(output.vote, output.snapshot, output.entries)
            except StorageError as error:
                # Danger: state that was not stored must not be acknowledged, and nothing may build on it.
                self.trouble = str(error)
                log.error("owners: the storage failed, this voter stops voting until it works: %s", error)
                member.stop_voting()
                self._storage, self._storage_failed = None, True
                return
        for to, message in output.messages:
            if to == self.name:
                self._loop.call_soon(self._receive, member, to, message, boot_clock())
            else:
                self._peers.send_to(to, encode(message))

    # Operators' calls

    def view(self) -> dict[str, Any]:
        """Return this router's tasks, and the replicated assignments if it is a voter."""
        now, member = boot_clock(), self.member
        if member is None:
            return {"state": "waiting for its peers"}
        raft, owner_lease = member.raft, member.owner_lease
        report: dict[str, Any] = {
            "state": "without an owner in sight" if member.without_coordinator(now) else "well",
            "now_ns": now,
            "session": [owner_lease.session.name, owner_lease.session.start, owner_lease.session.lapse],
            "lease_left_ms": max(owner_lease.lease_until - now, 0) // 1_000_000,
            "lapses": owner_lease.lapses,
            "holds": {
                task: epoch
                for task in sorted(owner_lease.tasks)
                if (epoch := owner_lease.effect_epoch(task, now))
            },
            "refused_by_fence": member.fence.refused,
            "trouble": self.trouble,
        }
        if self._trials is not None:
            report["trials"] = {"started_by_owners": self._trials.started, "stale": self._trials.stale}
        if raft is not None:
            coordinator = member.coordinator
            report["voter"] = {
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
            report["pieces"] = {
                task: {
                    "owner": assignment.owner.name,
                    "epoch": assignment.epoch,
                    "given": coordinator.assignment_reasons[task][0]
                    if coordinator and task in coordinator.assignment_reasons
                    else "",
                }
                for task, assignment in sorted(member.assignments.tasks.items())
            }
        return report

    def step_down(self, to: str) -> str:
        """Transfer leadership to a voter, by default the most up-to-date one; return an error text or ''."""
        member, now = self.member, boot_clock()
        raft = member.raft if member is not None else None
        if member is None or raft is None or not raft.leads(now):
            return "this router does not lead"
        targets = [name for name in raft.configuration.voters if name != self.name]
        target = to or max(targets, key=lambda name: raft.progress[name].match_index, default="")
        if not raft.transfer_leadership(target, now):
            return f"{target!r} is no other voter"
        self._perform_output(member)
        return ""

    async def close(self) -> None:
        """Resign and close the storage, before the process ends."""
        if self._timer is not None:
            self._timer.cancel()
        if self.member is not None:
            self.member.resign(boot_clock())
            self._perform_output(self.member)
            await asyncio.sleep(RESIGN_WAIT_S)
            if self.member.raft is not None:
                self.member.raft.tick(boot_clock())
            self._perform_output(self.member)
        if self._storage is not None:
            self._storage.close()
