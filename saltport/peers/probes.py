"""Probes under way, also for others: tries, helpers, answers (SWIM, section 3.1). No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from saltport.peers.local_health import LocalHealth
from saltport.peers.members import Members, Record
from saltport.peers.messages import Ping, Relay, Relayed
from saltport.peers.reach import Reach
from saltport.peers.send_queue import SendQueue
from saltport.peers.settings import PeerSettings

MOST_RELAYS = 256  # probes under way for others


@dataclass(slots=True)
class _Probe:
    target: str
    seq: int
    begun: int
    again_at: int
    fails_at: int
    tries: int = 1
    asked: set[str] = field(default_factory=set)
    said: bool = False
    """Whether any helper said anything."""


@dataclass(frozen=True, slots=True)
class _ForAnother:
    asker: str
    seq: int
    target: str
    until: int


class Probes:
    """Who is asked whether it is there, and what came of it."""

    def __init__(
        self,
        me: str,
        members: Members,
        send_queue: SendQueue,
        reach: Reach,
        local_health: LocalHealth,
        settings: PeerSettings,
        rng: random.Random,
        failed: Callable[[Record, int, int], None],
    ) -> None:
        self._me, self._members, self._send_queue = me, members, send_queue
        self._reach, self._local_health, self._settings, self._rng = reach, local_health, settings, rng
        self._failed = failed
        """Called with a live router that did not answer, when the probe began, and the time."""
        self._open: dict[str, _Probe] = {}
        self._relays: dict[int, _ForAnother] = {}

    def clear(self) -> None:
        """Nothing that was asked counts any more."""
        self._open.clear()
        self._relays.clear()

    def drop(self, name: str) -> None:
        """Whether this router is there is known by other means."""
        self._open.pop(name, None)

    def ask(self, name: str, now: int) -> None:
        """Begin a probe, unless one is under way."""
        record = self._members.records.get(name)
        if record is None or record.place is None or name in self._open or name == self._me:
            return
        seq, stretch = self._send_queue.next_seq(), self._local_health.stretch
        again, fails = now + stretch(self._settings.retry), now + stretch(self._settings.patience)
        self._open[name] = _Probe(name, seq, now, again, fails)
        self._send_queue.send_to(name, Ping(seq), now)

    def turn(self, now: int) -> None:
        """Ask again, ask helpers, give up."""
        for probe in list(self._open.values()):
            if now >= probe.fails_at:
                del self._open[probe.target]
                self._give_up(probe, now)
            elif now >= probe.again_at:
                probe.again_at = now + self._local_health.stretch(self._settings.retry)
                probe.tries += 1
                self._reach.asked[probe.target] = probe.begun
                self._send_queue.send_to(probe.target, Ping(probe.seq, bare=True), now)
                if probe.tries > self._settings.direct_tries:
                    self._ask_helpers(probe, now)
        for seq, held in list(self._relays.items()):
            if now >= held.until:
                # The asker learns that it is heard itself (Lifeguard's nack).
                del self._relays[seq]
                self._send_queue.send_to(held.asker, Relayed(held.seq, held.target, False), now)

    def _ask_helpers(self, probe: _Probe, now: int) -> None:
        helpers = self._settings.helpers
        known = [name for name in self._reach.helpers(probe.target) if self._members.is_live(name)]
        some = self._members.some(helpers + 1, self._rng, (self._me, probe.target))
        for name in list(dict.fromkeys([*known[:1], *some]))[:helpers]:
            probe.asked.add(name)
            self._send_queue.send_to(name, Relay(probe.seq, probe.target), now)

    def _give_up(self, probe: _Probe, now: int) -> None:
        self._reach.asked[probe.target] = probe.begun
        if probe.asked and not probe.said:
            self._local_health.went_badly()
        record = self._members.records.get(probe.target)
        if record is not None and record.live:
            self._failed(record, probe.begun, now)

    def answered(self, name: str, now: int) -> None:
        """A router answered, for this one or for whoever had it asked."""
        if self._open.pop(name, None) is not None:
            self._local_health.went_well()
        for seq, held in list(self._relays.items()):
            if held.target == name:
                del self._relays[seq]
                self._send_queue.send_to(held.asker, Relayed(held.seq, name, True), now)

    def relay(self, asker: str, seq: int, name: str, now: int) -> None:
        """Ask a router for another one."""
        if len(self._relays) < MOST_RELAYS and name in self._members.records:
            mine = self._send_queue.next_seq()
            self._relays[mine] = _ForAnother(asker, seq, name, now + 3 * self._settings.retry)
            self._send_queue.send_to(name, Ping(mine), now)

    def helper_said(self, name: str, seq: int) -> None:
        """A helper said something of a probe, good or bad: this router is heard."""
        probe = self._open.get(name)
        if probe is not None and probe.seq == seq:
            probe.said = True
