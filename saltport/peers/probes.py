"""Active probes of this router, and those it runs on behalf of others (SWIM, section 3.1). No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from saltport.peers.local_health import LocalHealth
from saltport.peers.members import Members, Record
from saltport.peers.messages import IndirectPing, IndirectResult, Ping
from saltport.peers.reach import Reach
from saltport.peers.send_queue import SendQueue
from saltport.peers.settings import PeerSettings

MAX_RELAYED_PROBES = 256  # limit of the unfinished probes on behalf of other routers


@dataclass(slots=True)
class _Probe:
    """An unanswered probe that this router has sent to `target`.

    After some attempts, helpers are asked to probe the target too; each helper replies with a result.
    """

    target: str
    seq: int
    started_at: int
    retry_at: int
    fails_at: int
    attempts: int = 1
    asked_helpers: set[str] = field(default_factory=set)
    helper_replied: bool = False
    """Whether any helper sent a result, also a negative one: this router itself can then be reached."""


@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    """A probe that this router, as a helper, has sent to `target` on behalf of `asker`.

    `seq` is the number of the asker's own probe, `expires_at` when a negative result is sent.
    """

    asker: str
    seq: int
    target: str
    expires_at: int


class Probes:
    """The active probes: attempts, indirect probes through helpers, timeouts and answers."""

    def __init__(
        self,
        me: str,
        members: Members,
        send_queue: SendQueue,
        reach: Reach,
        local_health: LocalHealth,
        settings: PeerSettings,
        rng: random.Random,
        on_failure: Callable[[Record, int, int], None],
    ) -> None:
        self._me, self._members, self._send_queue = me, members, send_queue
        self._reach, self._local_health, self._settings, self._rng = reach, local_health, settings, rng
        self._on_failure = on_failure
        """Called with the record of a live router that did not answer, the probe's start, and the time."""
        self._active: dict[str, _Probe] = {}
        self._relays: dict[int, _RelayedProbe] = {}

    def clear(self) -> None:
        """Discard all active probes."""
        self._active.clear()
        self._relays.clear()

    def cancel(self, name: str) -> None:
        """Discard the probe of a router that is already known to be dead or departed."""
        self._active.pop(name, None)

    def start(self, name: str, now: int) -> None:
        """Start a probe of a router, unless one is active or its address is unknown."""
        record = self._members.records.get(name)
        if record is None or record.place is None or name in self._active or name == self._me:
            return
        seq, scale_timeout = self._send_queue.next_seq(), self._local_health.scale_timeout
        retry_at, fails_at = (
            now + scale_timeout(self._settings.probe_retry_ns),
            now + scale_timeout(self._settings.probe_timeout_ns),
        )
        self._active[name] = _Probe(name, seq, now, retry_at, fails_at)
        self._send_queue.send_to(name, Ping(seq), now)

    def tick(self, now: int) -> None:
        """Retry unanswered probes, ask helpers, and fail probes whose timeout has passed."""
        for probe in list(self._active.values()):
            if now >= probe.fails_at:
                del self._active[probe.target]
                self._fail(probe, now)
            elif now >= probe.retry_at:
                probe.retry_at = now + self._local_health.scale_timeout(self._settings.probe_retry_ns)
                probe.attempts += 1
                self._reach.probed_at[probe.target] = probe.started_at
                self._send_queue.send_to(probe.target, Ping(probe.seq, bare=True), now)
                if probe.attempts > self._settings.direct_attempts:
                    self._ask_helpers(probe, now)
        for seq, relayed in list(self._relays.items()):
            if now >= relayed.expires_at:
                # A negative result shows the asker that it can be reached itself (the nack of Lifeguard).
                del self._relays[seq]
                self._send_queue.send_to(
                    relayed.asker, IndirectResult(relayed.seq, relayed.target, False), now
                )

    def _ask_helpers(self, probe: _Probe, now: int) -> None:
        """Ask helpers for indirect probes: the last one that heard the target, then random members."""
        helpers = self._settings.helpers
        earlier_helpers = [name for name in self._reach.helpers(probe.target) if self._members.is_live(name)]
        candidates = self._members.sample(helpers + 1, self._rng, (self._me, probe.target))
        for name in list(dict.fromkeys([*earlier_helpers[:1], *candidates]))[:helpers]:
            probe.asked_helpers.add(name)
            self._send_queue.send_to(name, IndirectPing(probe.seq, probe.target), now)

    def _fail(self, probe: _Probe, now: int) -> None:
        """End a probe without an answer, and call `on_failure` if its target is live."""
        self._reach.probed_at[probe.target] = probe.started_at
        if probe.asked_helpers and not probe.helper_replied:
            self._local_health.record_failure()
        record = self._members.records.get(probe.target)
        if record is not None and record.live:
            self._on_failure(record, probe.started_at, now)

    def on_answer(self, name: str, now: int) -> None:
        """Complete the probe of a router that answered, and report it to the routers that asked for it."""
        if self._active.pop(name, None) is not None:
            self._local_health.record_success()
        for seq, relayed in list(self._relays.items()):
            if relayed.target == name:
                del self._relays[seq]
                self._send_queue.send_to(relayed.asker, IndirectResult(relayed.seq, name, True), now)

    def probe_for(self, asker: str, seq: int, name: str, now: int) -> None:
        """Probe a router on behalf of the asker."""
        if len(self._relays) < MAX_RELAYED_PROBES and name in self._members.records:
            own_seq = self._send_queue.next_seq()
            self._relays[own_seq] = _RelayedProbe(asker, seq, name, now + 3 * self._settings.probe_retry_ns)
            self._send_queue.send_to(name, Ping(own_seq), now)

    def on_helper_reply(self, name: str, seq: int) -> None:
        """Note that a helper sent a result for a probe, so this router itself can be reached."""
        probe = self._active.get(name)
        if probe is not None and probe.seq == seq:
            probe.helper_replied = True
