"""Trials of ejected servers: the owner of a trial makes it and reports success to the other routers. No I/O.

Danger: such evidence only starts trials. Each router's own decision module ejects and readmits servers.
Without a coordinator each router tries for itself, at times spread at random.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from saltport.owners.fence import Fence
from saltport.owners.owner_lease import OwnerLease
from saltport.owners.raft import NS_PER_S

PREFIX = "probe/"  # a task with this prefix is the trial of the server named after it
POSTPONE_NS = 2 * NS_PER_S  # time by which routers other than the owner postpone their trial, again and again
REPORT_PERIOD_NS = 8 * NS_PER_S  # time for which a recovery is reported repeatedly, as messages may be lost
REPORT_INTERVAL_NS = 1 * NS_PER_S  # time between two reports of the same recovery
TRIAL_SPREAD_NS = 2 * NS_PER_S  # after evidence, the other routers start their trials within this time
# Without evidence from the owner, another router tries a server itself after this time to twice this time.
OWNER_TIMEOUT_NS = 30 * NS_PER_S
TRIAL_WINDOW_NS = 6 * NS_PER_S  # time after the owner timeout in which a router's own trial is not postponed
UNCOORDINATED_SPREAD_NS = 6 * NS_PER_S  # routers without a coordinator start their trials within this time
MAX_EVIDENCE_AGE_NS = 10 * NS_PER_S  # evidence of an older recovery starts no trial


class Evidence(Struct, frozen=True, array_like=True, tag=64):
    """Report of the owner that a server was healthy `ago_ms` ago."""

    server: str
    epoch: int
    ago_ms: int


_decoder = msgspec.msgpack.Decoder(Evidence)


def encode(evidence: Evidence) -> bytes:
    """Return the encoded evidence."""
    return msgspec.msgpack.encode(evidence)


def decode(data: bytes) -> Evidence:
    """Decode evidence; raises ValueError if it is invalid."""
    return _decoder.decode(data)


@dataclass(slots=True)
class Plan:
    """Actions to take now."""

    postponed: dict[str, int] = field(default_factory=dict)
    """Servers whose trial by this router is postponed, and until when."""
    starts: list[str] = field(default_factory=list)
    """Servers to try now."""
    evidence: list[Evidence] = field(default_factory=list)
    """Evidence to send to all other routers."""


class Trials:
    """Schedules one router's trials of ejected servers."""

    def __init__(self, owner_lease: OwnerLease, fence: Fence, rng: random.Random) -> None:
        self._owner_lease, self._fence, self._rng = owner_lease, fence, rng
        self._recovered: dict[str, int] = {}
        """Owned servers that recovered, and when this router began to report so."""
        self._reported_at: dict[str, int] = {}
        self._trial_at: dict[str, int] = {}
        """When to start trials for which evidence was received."""
        self._uncoordinated_at: dict[str, int] = {}
        self._owner_deadlines: dict[str, int] = {}
        """Until when each ejected server is left to its owner."""
        self.started = self.stale = 0

    @staticmethod
    def wanted(ejected: Mapping[str, int]) -> list[str]:
        """Return the names of the tasks for the trials of ejected servers."""
        return [PREFIX + server for server in ejected]

    def next_plan(self, ejected: Mapping[str, int], has_coordinator: bool, now: int) -> Plan:
        """Return the actions that are due.

        `ejected`: the servers ejected at this router, and when their trials are due;
        `has_coordinator`: whether a coordinator answers.
        """
        plan = Plan()
        owned = {task[len(PREFIX) :] for task in self._owner_lease.tasks if task.startswith(PREFIX)}
        for server in owned:
            if server not in ejected:
                self._recovered.setdefault(server, now)
            else:
                self._recovered.pop(server, None)
        for server, since in list(self._recovered.items()):
            epoch = self._owner_lease.effect_epoch(PREFIX + server, now)
            if server not in owned:
                del self._recovered[server]
                self._reported_at.pop(server, None)
            elif now - since > REPORT_PERIOD_NS:
                continue
            elif (
                epoch is not None
                and now - self._reported_at.get(server, -REPORT_INTERVAL_NS) >= REPORT_INTERVAL_NS
            ):
                self._reported_at[server] = now
                plan.evidence.append(Evidence(server, epoch, (now - since) // 1_000_000))
        for server, due in ejected.items():
            if server in self._trial_at:
                if now >= self._trial_at[server]:
                    plan.starts.append(server)
                    del self._trial_at[server]
            elif self._owner_lease.effect_epoch(PREFIX + server, now) is not None:
                continue  # this router owns the trial and makes it when it is due
            elif has_coordinator and now < self._owner_deadline(server, now):
                self._uncoordinated_at.pop(server, None)
                plan.postponed[server] = now + POSTPONE_NS
            elif has_coordinator:
                # Danger: an owner that has no requests for a server never tries it, which must not keep it
                # ejected for good. The last postponement ends within this window.
                if now >= self._owner_deadlines[server] + TRIAL_WINDOW_NS:
                    del self._owner_deadlines[server]
            elif server not in self._uncoordinated_at:
                self._uncoordinated_at[server] = now + self._rng.randrange(UNCOORDINATED_SPREAD_NS)
                plan.postponed[server] = max(due, self._uncoordinated_at[server])
        for server in [server for server in self._trial_at if server not in ejected]:
            del self._trial_at[server]
        for server in [server for server in self._owner_deadlines if server not in ejected]:
            del self._owner_deadlines[server]
        for server in [server for server in self._uncoordinated_at if server not in ejected]:
            del self._uncoordinated_at[server]
        return plan

    def _owner_deadline(self, server: str, now: int) -> int:
        """Return until when a server without evidence is left to its owner."""
        if server not in self._owner_deadlines:
            self._owner_deadlines[server] = now + self._rng.randint(OWNER_TIMEOUT_NS, 2 * OWNER_TIMEOUT_NS)
        return self._owner_deadlines[server]

    def on_evidence(self, evidence: Evidence, ejected: Mapping[str, int], now: int) -> bool:
        """Process an owner's evidence; whether it starts a trial. Evidence of an older epoch is refused."""
        if not self._fence.admit(PREFIX + evidence.server, evidence.epoch):
            self.stale += 1
            return False
        is_recent = evidence.ago_ms * 1_000_000 <= MAX_EVIDENCE_AGE_NS
        if not is_recent or evidence.server not in ejected or evidence.server in self._trial_at:
            return False
        self.started += 1
        self._trial_at[evidence.server] = now + self._rng.randrange(TRIAL_SPREAD_NS)
        return True
