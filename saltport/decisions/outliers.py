"""Passive outlier detection: the servers that look broken to this router, by the ends of its own attempts.

Terms and rules are Envoy's, except as docs/design/outliers.md says. A server that answers late or is full is
overrun and not broken: its limit gives it less (limits.py). Times are nanoseconds on the caller's clock.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from saltport.decisions.health import NO_EVIDENCE, Node
from saltport.decisions.interface import NS_PER_S, Outcome, Settings
from saltport.structures.windowed_counter import WindowedCounter

CONSECUTIVE = 3  # signs in a row: one failure in a hundred by chance makes a wrong ejection one in a million
INTERVAL = 10 * NS_PER_S  # over which failures are counted
MIN_ATTEMPTS, FAILURE_SHARE = 10, 0.5  # the share beyond what fails with all servers together
BASE_EJECTION, MAX_EJECTION = NS_PER_S, 30 * NS_PER_S
JITTER = 0.1  # added to each ejection, so that routers do not come back to a server together
FORGIVEN = 60 * NS_PER_S  # without an ejection, after which one less counts
MAX_EJECTED, PANIC_SHARE = 0.5, 0.5  # of the servers listed; a third is a zone of three
REMEMBERED = 60 * NS_PER_S  # for which a server that left the list is known again

BROKEN = (Outcome.CONNECT_FAILED, Outcome.RESET)
SILENT = (*BROKEN, Outcome.TIMEOUT)
FAILED = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR)


class EjectionState(Enum):
    """What a server may get."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    TRIAL = "trial"
    """Its time out is over: one request may find out whether it is back."""
    PANIC = "panic"
    """It looks bad and is asked all the same, as nobody is believed bad."""


@dataclass(frozen=True, slots=True)
class StateChange:
    """What became of a server by an attempt's end."""

    message: str
    readmitted: bool = False


@dataclass(slots=True)
class Record:
    """The evidence against one server. Servers without any have no record."""

    started: int
    attempts: WindowedCounter
    row: int = 0
    """Failures in a row."""
    broken: int = 0
    """Those of them that were failed dials or resets, each sent after the one before was known."""
    broken_at: int = 0
    silent_since: int = 0
    """When the first attempt of the row was sent."""
    failed_at: int = 0
    ejections: int = 0
    ejected_at: int = 0
    until: int = 0
    """The end of the ejection; 0: not ejected."""
    returned_at: int = 0
    reason: str = ""
    trial: str | None = None
    """The request that tries it."""
    left_at: int | None = None

    def reason_to_eject(self, usual: float, silence: int) -> str:
        """Why the server should be ejected, or nothing; `usual`: the share of failures with all servers."""
        if self.broken >= CONSECUTIVE:
            return f"{self.broken} broken or refused connections in a row"
        # Danger: an overrun server answers later than patience lasts; ejected, it would overrun the next one.
        silent = self.failed_at - self.silent_since
        if self.row >= CONSECUTIVE and silent >= silence:
            return f"{self.row} failures in a row over {silent / NS_PER_S:.1f} s"
        attempts, failures = self.attempts.totals()
        if attempts >= MIN_ATTEMPTS and failures >= attempts * (usual + FAILURE_SHARE):
            return f"{failures} of {attempts} attempts failed"
        return ""

    def repeated(self, now: int) -> int:
        """Its ejections that are not yet forgiven."""
        return max(self.ejections - max(now - self.returned_at, 0) // FORGIVEN, 0)

    def clean(self, now: int) -> bool:
        """Whether nothing is held against it any more."""
        return not (self.row or self.attempts.totals()[1] or self.until or self.repeated(now))


class OutlierDetector:
    """Holds the evidence and tells each server's state."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        self.apply_settings(settings)
        self.records: dict[str, Record] = {}
        self.ejected: set[str] = set()
        self.suspects: set[str] = set()  # ejected but for the ceiling
        self.listed = 0
        self._all = WindowedCounter(INTERVAL)

    def apply_settings(self, settings: Settings) -> None:
        """Take new settings; the evidence stays."""
        # For so long a server that only times out has to be silent, nanoseconds.
        self._silence = max(cls.deadline for cls in settings.classes)

    def follow(self, nodes: Mapping[str, Node], now: int) -> None:
        """Take the list: one that leaves and comes back is known again, unless it started anew meanwhile."""
        self.listed = len(nodes)
        for server, record in list(self.records.items()):
            node = nodes.get(server)
            restarted = node is not None and node.entry.started != record.started
            if node is None or restarted:
                self.ejected.discard(server)
                self.suspects.discard(server)
            if node is None and record.left_at is None:
                record.left_at, record.trial = now, None
            elif restarted or (node is None and now - (record.left_at or 0) > REMEMBERED):
                del self.records[server]
            elif node is not None and record.left_at is not None:
                record.left_at = None
                if record.until:
                    self.ejected.add(server)

    @property
    def panicking(self) -> bool:
        """Whether so many look bad that the fault is likelier this router's own."""
        return len(self.ejected) + len(self.suspects) > self.listed * PANIC_SHARE

    def state(self, server: str, now: int, first: bool = True) -> EjectionState:
        """What a server may get now of a request, `first`: that has been nowhere yet.

        In panic the slot's holder is asked whatever is held against it, and then only who is not suspect.
        """
        if server not in self.ejected and server not in self.suspects:
            return EjectionState.HEALTHY
        if self.panicking:
            return EjectionState.PANIC if first else EjectionState.EJECTED
        if server in self.suspects:
            return EjectionState.HEALTHY
        record = self.records[server]
        return EjectionState.EJECTED if now < record.until or record.trial else EjectionState.TRIAL

    def try_out(self, server: str, request: str) -> None:
        """Let one request find out whether a server is back; nobody else is sent there until it has ended."""
        self.records[server].trial = request

    def record_outcome(
        self, node: Node, request: str, outcome: Outcome, sent_at: int, now: int
    ) -> StateChange | None:
        """Take one attempt's end; returns what became of the server by it, if its state changed."""
        server = node.entry.id
        record = self.records.get(server)
        if outcome not in NO_EVIDENCE:
            self._all.count(outcome in FAILED, now)
        if record is None:
            if outcome not in SILENT and outcome not in FAILED:
                return None
            record = self.records[server] = Record(node.entry.started, WindowedCounter(INTERVAL, now))
        is_trial = record.trial == request
        if is_trial:
            record.trial = None
        if outcome in NO_EVIDENCE:
            return None
        self._count(record, outcome, sent_at, now)
        answered = outcome not in SILENT and outcome not in FAILED
        if server in self.ejected:
            if answered and (is_trial or sent_at >= record.ejected_at):
                return self._take_back(server, record, now)
            return self._eject(server, record, f"trial: {outcome.value}", now) if is_trial else None
        attempts, failures = self._all.totals()
        reason = record.reason_to_eject(failures / attempts, self._silence)
        if reason:
            return self._eject(server, record, reason, now)
        if record.clean(now):
            del self.records[server]
        if server in self.suspects:
            self.suspects.discard(server)
            return StateChange(f"{server}: answers again", readmitted=True)
        return None

    def adopt(self, server: str, record: Record) -> None:
        """Take over an ejection that another process made, within the ceiling; it ends with a trial."""
        if server not in self.records and len(self.ejected) < max(1, int(self.listed * MAX_EJECTED)):
            self.records[server] = record
            self.ejected.add(server)

    def _count(self, record: Record, outcome: Outcome, sent_at: int, now: int) -> None:
        record.attempts.count(outcome in FAILED, now)
        if outcome not in SILENT:
            record.row = record.broken = 0
            return
        if not record.row or sent_at - record.failed_at > INTERVAL:
            record.row, record.broken, record.silent_since = 0, 0, sent_at  # failures far apart are no row
        record.row, record.failed_at = record.row + 1, now
        if outcome in BROKEN and (not record.broken or sent_at >= record.broken_at):
            # Danger: what was out when one cause struck is one sign, however many attempts it took down.
            record.broken, record.broken_at = record.broken + 1, now

    def _eject(self, server: str, record: Record, reason: str, now: int) -> StateChange | None:
        record.reason = reason
        if server not in self.ejected and len(self.ejected) >= max(1, int(self.listed * MAX_EJECTED)):
            told = server in self.suspects
            self.suspects.add(server)
            return None if told else StateChange(f"{server}: {reason}; kept in, as too many are ejected")
        if server not in self.ejected:
            record.ejections = record.repeated(now)
        record.ejections += 1
        time_out = min(BASE_EJECTION << min(record.ejections - 1, 8), MAX_EJECTION)
        record.ejected_at, record.until = now, now + int(time_out * (1 + self._rng.random() * JITTER))
        self.ejected.add(server)
        self.suspects.discard(server)
        return StateChange(f"{server}: ejected for {(record.until - now) / NS_PER_S:.1f} s: {reason}")

    def _take_back(self, server: str, record: Record, now: int) -> StateChange:
        self.ejected.discard(server)
        out = (now - record.ejected_at) / NS_PER_S
        record.until, record.returned_at, record.row, record.reason = 0, now, 0, ""
        record.broken = 0
        record.attempts = WindowedCounter(INTERVAL, now)
        return StateChange(f"{server}: back; it was last ejected {out:.1f} s ago", readmitted=True)
