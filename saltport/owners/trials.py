"""Trials of servers that were taken out: one router tries each, and tells the others what it saw. No I/O.

Danger: what is told starts trials and does nothing else. Each router's own decision module takes out and
takes back. Where no owner is in sight each tries for itself again, spread over a while.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
from msgspec import Struct

from saltport.owners.fence import Fence
from saltport.owners.raft import NS_PER_S
from saltport.owners.tenure import Tenure

PREFIX = "probe/"
HOLD = 2 * NS_PER_S  # for so long ahead the others leave a server to its owner
TELL_FOR = 8 * NS_PER_S  # an owner says so for so long that a server is well, each second
TELL_EVERY = 1 * NS_PER_S
SPREAD = 2 * NS_PER_S  # over which the others' trials begin
LONGEST = 30 * NS_PER_S  # for which a server is left to its owner without a word, and up to twice that
WINDOW = 6 * NS_PER_S  # in which it may then be tried here
ALONE_SPREAD = 6 * NS_PER_S  # and those of routers without an owner in sight
FRESH = 10 * NS_PER_S  # older evidence starts nothing


class Evidence(Struct, frozen=True, array_like=True, tag=64):
    """An owner's word: it found this server well, so long ago."""

    server: str
    epoch: int
    ago_ms: int


_decoder = msgspec.msgpack.Decoder(Evidence)


def encode(told: Evidence) -> bytes:
    """The bytes on the wire."""
    return msgspec.msgpack.encode(told)


def decode(told: bytes) -> Evidence:
    """Read evidence; raises ValueError for anything else."""
    return _decoder.decode(told)


@dataclass(slots=True)
class Plan:
    """What is to be done now."""

    holds: dict[str, int] = field(default_factory=dict)
    """Servers that are not to be tried here before this time."""
    starts: list[str] = field(default_factory=list)
    """Servers to be tried now."""
    tell: list[Evidence] = field(default_factory=list)
    """For all other routers."""


class Trials:
    """One router's part in it."""

    def __init__(self, tenure: Tenure, fence: Fence, rng: random.Random) -> None:
        self._tenure, self._fence, self._rng = tenure, fence, rng
        self._well: dict[str, int] = {}
        """Servers that this router owned and found well, and when it began to say so."""
        self._told_at: dict[str, int] = {}
        self._due: dict[str, int] = {}
        """Trials to begin, by what others told."""
        self._spread: dict[str, int] = {}
        self._until: dict[str, int] = {}
        """For so long each ejected server is left to its owner."""
        self.taken = self.stale = 0

    @staticmethod
    def wanted(ejected: Mapping[str, int]) -> list[str]:
        """The pieces of work that this router would have done."""
        return [PREFIX + server for server in ejected]

    def turn(self, ejected: Mapping[str, int], in_sight: bool, now: int) -> Plan:
        """`ejected`: the servers out here, and when their next trial is due; `in_sight`: a steward is."""
        plan = Plan()
        held = {piece[len(PREFIX) :] for piece in self._tenure.pieces if piece.startswith(PREFIX)}
        for server in held:
            if server not in ejected:
                self._well.setdefault(server, now)
            else:
                self._well.pop(server, None)
        for server, since in list(self._well.items()):
            epoch = self._tenure.may(PREFIX + server, now)
            if server not in held:
                del self._well[server]
                self._told_at.pop(server, None)
            elif now - since > TELL_FOR:
                continue
            elif epoch is not None and now - self._told_at.get(server, -TELL_EVERY) >= TELL_EVERY:
                self._told_at[server] = now
                plan.tell.append(Evidence(server, epoch, (now - since) // 1_000_000))
        for server, due in ejected.items():
            if server in self._due:
                if now >= self._due[server]:
                    plan.starts.append(server)
                    del self._due[server]
            elif self._tenure.may(PREFIX + server, now) is not None:
                continue  # its owner tries it when its time has come
            elif in_sight and now < self._patience(server, now):
                self._spread.pop(server, None)
                plan.holds[server] = now + HOLD
            elif in_sight:
                # Danger: an owner that never tries, as no client of its own asks there, must not keep it out
                # for good. What was held back last ends within this window.
                if now >= self._until[server] + WINDOW:
                    del self._until[server]
            elif server not in self._spread:
                self._spread[server] = now + self._rng.randrange(ALONE_SPREAD)
                plan.holds[server] = max(due, self._spread[server])
        for server in [server for server in self._due if server not in ejected]:
            del self._due[server]
        for server in [server for server in self._until if server not in ejected]:
            del self._until[server]
        for server in [server for server in self._spread if server not in ejected]:
            del self._spread[server]
        return plan

    def _patience(self, server: str, now: int) -> int:
        """Until when a server is left to its owner, without a word from there."""
        if server not in self._until:
            self._until[server] = now + self._rng.randint(LONGEST, 2 * LONGEST)
        return self._until[server]

    def heard(self, told: Evidence, ejected: Mapping[str, int], now: int) -> bool:
        """Take an owner's word; whether it starts a trial. One of an older epoch is refused."""
        if not self._fence.admit(PREFIX + told.server, told.epoch):
            self.stale += 1
            return False
        fresh = told.ago_ms * 1_000_000 <= FRESH
        if not fresh or told.server not in ejected or told.server in self._due:
            return False
        self.taken += 1
        self._due[told.server] = now + self._rng.randrange(SPREAD)
        return True
