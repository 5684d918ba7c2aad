"""Passive outlier detection: ejects servers that fail, by the outcomes of this router's own attempts.

Terms and rules follow Envoy, except as docs/design/outliers.md says. A server that answers late or is full is
overloaded, not faulty, and is handled by its limit (limits.py). Times are in nanoseconds.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from saltport.decisions.health import NO_EVIDENCE, Node
from saltport.decisions.interface import NS_PER_S, Outcome, Settings
from saltport.structures.windowed_counter import WindowedCounter

CONSECUTIVE_FAILURES = 3  # at 1 % random failures a wrong ejection has a probability of one in a million
FAILURE_WINDOW_NS = 10 * NS_PER_S  # the window in which attempts and failures are counted
MIN_ATTEMPTS, EXCESS_FAILURE_SHARE = 10, 0.5  # the share above the failure rate of all servers
BASE_EJECTION_NS, MAX_EJECTION_NS = NS_PER_S, 30 * NS_PER_S  # duration of the first ejection, and the longest
EJECTION_JITTER = 0.1  # random share added to each ejection, so that routers do not return together
EJECTION_MEMORY_NS = 60 * NS_PER_S  # without an ejection, after which one earlier ejection no longer counts
# Shares of the listed servers: that may be ejected, and above which so many look faulty that ejections are
# ignored. They permit the loss of one zone of three.
MAX_EJECTED_SHARE, PANIC_SHARE = 0.5, 0.5
DEPARTED_MEMORY_NS = 60 * NS_PER_S  # for which the record of a server that left the list is retained

CONNECTION_FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET)
NO_ANSWER = (*CONNECTION_FAILURES, Outcome.TIMEOUT)
FAILURES = (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR)


class EjectionState(Enum):
    """The state of a server, which decides what requests it may receive."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    TRIAL = "trial"
    """The ejection is over, and one request may test the server."""
    PANIC = "panic"
    """The server looks faulty, but so many do that ejections are ignored."""


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of a server's state, with a log message."""

    message: str
    readmitted: bool = False


@dataclass(slots=True)
class Record:
    """The evidence against one server; a server without any has no record."""

    started: int
    """When the server started; a record of an earlier start is discarded."""
    attempts: WindowedCounter
    """Recent attempts and, among them, those that failed."""
    consecutive_failures: int = 0
    """Unanswered attempts in a row."""
    connection_failures: int = 0
    """Failed dials and resets among the consecutive failures.

    One counts only if its attempt was sent after the end of the previous one was known.
    """
    last_connection_failure_at: int = 0
    first_failure_sent_at: int = 0
    """When the first of the consecutive failures was sent."""
    last_failure_at: int = 0
    ejections: int = 0
    """The number of ejections, by which the next one is lengthened; see `recent_ejections`."""
    ejected_at: int = 0
    ejected_until: int = 0
    """The end of the ejection; 0: not ejected."""
    readmitted_at: int = 0
    reason: str = ""
    """Why the server was last ejected, or would have been."""
    trial: str | None = None
    """The id of the request that currently tests the server."""
    left_at: int | None = None
    """When the server left the list; None: it is listed."""

    def reason_to_eject(self, usual: float, silence: int) -> str:
        """Return why the server should be ejected, or an empty string.

        `usual` is the failure rate of all servers, `silence` the least duration of consecutive time-outs.
        """
        if self.connection_failures >= CONSECUTIVE_FAILURES:
            return f"{self.connection_failures} broken or refused connections in a row"
        # Danger: an overloaded server may exceed the attempt time-out; ejecting it would overload the next.
        silent = self.last_failure_at - self.first_failure_sent_at
        if self.consecutive_failures >= CONSECUTIVE_FAILURES and silent >= silence:
            return f"{self.consecutive_failures} failures in a row over {silent / NS_PER_S:.1f} s"
        attempts, failures = self.attempts.totals()
        if attempts >= MIN_ATTEMPTS and failures >= attempts * (usual + EXCESS_FAILURE_SHARE):
            return f"{failures} of {attempts} attempts failed"
        return ""

    def recent_ejections(self, now: int) -> int:
        """Return the number of ejections that still lengthen the next one.

        For each EJECTION_MEMORY_NS since the server was last readmitted, one ejection less counts.
        """
        return max(self.ejections - max(now - self.readmitted_at, 0) // EJECTION_MEMORY_NS, 0)

    def has_no_evidence(self, now: int) -> bool:
        """Whether the record contains no evidence any more."""
        return not (
            self.consecutive_failures
            or self.attempts.totals()[1]
            or self.ejected_until
            or self.recent_ejections(now)
        )


class OutlierDetector:
    """Collects evidence from attempts and derives each server's state."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self._rng = rng
        self.apply_settings(settings)
        self.records: dict[str, Record] = {}
        self.ejected: set[str] = set()
        self.suspects: set[str] = set()  # would be ejected, but MAX_EJECTED_SHARE is reached
        self.listed = 0
        self._all_attempts = WindowedCounter(FAILURE_WINDOW_NS)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; the evidence is preserved."""
        # A server with time-outs only is ejected after this time without an answer.
        self._min_silence = max(cls.deadline for cls in settings.classes)

    def update_nodes(self, nodes: Mapping[str, Node], now: int) -> None:
        """Apply a new server list; a server that leaves and returns without a restart keeps its record."""
        self.listed = len(nodes)
        for server, record in list(self.records.items()):
            node = nodes.get(server)
            restarted = node is not None and node.entry.started != record.started
            if node is None or restarted:
                self.ejected.discard(server)
                self.suspects.discard(server)
            if node is None and record.left_at is None:
                record.left_at, record.trial = now, None
            elif restarted or (node is None and now - (record.left_at or 0) > DEPARTED_MEMORY_NS):
                del self.records[server]
            elif node is not None and record.left_at is not None:
                record.left_at = None
                if record.ejected_until:
                    self.ejected.add(server)

    @property
    def panicking(self) -> bool:
        """Whether so many servers look faulty that this router itself is more likely at fault.

        Ejections are ignored then.
        """
        return len(self.ejected) + len(self.suspects) > self.listed * PANIC_SHARE

    def state(self, server: str, now: int, first: bool = True) -> EjectionState:
        """Return a server's state for a request; `first` says that this is the request's first attempt.

        In panic, the first attempt goes to the slot's own server whatever its record, and further attempts
        only to servers without suspicion.
        """
        if server not in self.ejected and server not in self.suspects:
            return EjectionState.HEALTHY
        if self.panicking:
            return EjectionState.PANIC if first else EjectionState.EJECTED
        if server in self.suspects:
            return EjectionState.HEALTHY
        record = self.records[server]
        return EjectionState.EJECTED if now < record.ejected_until or record.trial else EjectionState.TRIAL

    def start_trial(self, server: str, request: str) -> None:
        """Record that a request is sent to an ejected server as a trial.

        Its outcome ends or renews the ejection. No other request is sent there until the trial has ended.
        """
        self.records[server].trial = request

    def record_outcome(
        self, node: Node, request: str, outcome: Outcome, sent_at: int, now: int
    ) -> StateChange | None:
        """Record an attempt's outcome; return the change of the server's state, if any."""
        server = node.entry.id
        record = self.records.get(server)
        if outcome not in NO_EVIDENCE:
            self._all_attempts.count(outcome in FAILURES, now)
        if record is None:
            if outcome not in NO_ANSWER and outcome not in FAILURES:
                return None
            record = self.records[server] = Record(
                node.entry.started, WindowedCounter(FAILURE_WINDOW_NS, now)
            )
        is_trial = record.trial == request
        if is_trial:
            record.trial = None
        if outcome in NO_EVIDENCE:
            return None
        self._count(record, outcome, sent_at, now)
        answered = outcome not in NO_ANSWER and outcome not in FAILURES
        if server in self.ejected:
            if answered and (is_trial or sent_at >= record.ejected_at):
                return self._readmit(server, record, now)
            return self._eject(server, record, f"trial: {outcome.value}", now) if is_trial else None
        attempts, failures = self._all_attempts.totals()
        reason = record.reason_to_eject(failures / attempts, self._min_silence)
        if reason:
            return self._eject(server, record, reason, now)
        if record.has_no_evidence(now):
            del self.records[server]
        if server in self.suspects:
            self.suspects.discard(server)
            return StateChange(f"{server}: answers again", readmitted=True)
        return None

    def adopt(self, server: str, record: Record) -> None:
        """Adopt the record of a server that another process has ejected; the ejection ends with a trial.

        Nothing changes if this router has a record of the server, or if MAX_EJECTED_SHARE of the listed
        servers are ejected already.
        """
        if server not in self.records and len(self.ejected) < max(1, int(self.listed * MAX_EJECTED_SHARE)):
            self.records[server] = record
            self.ejected.add(server)

    def _count(self, record: Record, outcome: Outcome, sent_at: int, now: int) -> None:
        """Count an attempt's outcome in a server's record."""
        record.attempts.count(outcome in FAILURES, now)
        if outcome not in NO_ANSWER:
            record.consecutive_failures = record.connection_failures = 0
            return
        if not record.consecutive_failures or sent_at - record.last_failure_at > FAILURE_WINDOW_NS:
            # Failures far apart are not consecutive.
            record.consecutive_failures, record.connection_failures, record.first_failure_sent_at = (
                0,
                0,
                sent_at,
            )
        record.consecutive_failures, record.last_failure_at = record.consecutive_failures + 1, now
        if outcome in CONNECTION_FAILURES and (
            not record.connection_failures or sent_at >= record.last_connection_failure_at
        ):
            # Danger: all attempts in flight at one fault count as one failure, however many it ended.
            record.connection_failures, record.last_connection_failure_at = (
                record.connection_failures + 1,
                now,
            )

    def _eject(self, server: str, record: Record, reason: str, now: int) -> StateChange | None:
        """Eject a server for longer than last time; only suspect it if too many are ejected already.

        Return the change of the server's state, or None if it was a suspect before and remains one.
        """
        record.reason = reason
        if server not in self.ejected and len(self.ejected) >= max(1, int(self.listed * MAX_EJECTED_SHARE)):
            already_suspected = server in self.suspects
            self.suspects.add(server)
            return (
                None
                if already_suspected
                else StateChange(f"{server}: {reason}; kept in, as too many are ejected")
            )
        if server not in self.ejected:
            record.ejections = record.recent_ejections(now)
        record.ejections += 1
        duration = min(BASE_EJECTION_NS << min(record.ejections - 1, 8), MAX_EJECTION_NS)
        record.ejected_at, record.ejected_until = (
            now,
            now + int(duration * (1 + self._rng.random() * EJECTION_JITTER)),
        )
        self.ejected.add(server)
        self.suspects.discard(server)
        return StateChange(f"{server}: ejected for {(record.ejected_until - now) / NS_PER_S:.1f} s: {reason}")

    def _readmit(self, server: str, record: Record, now: int) -> StateChange:
        """End a server's ejection and discard the evidence of failures."""
        self.ejected.discard(server)
        ejected_s = (now - record.ejected_at) / NS_PER_S
        record.ejected_until, record.readmitted_at, record.consecutive_failures, record.reason = 0, now, 0, ""
        record.connection_failures = 0
        record.attempts = WindowedCounter(FAILURE_WINDOW_NS, now)
        return StateChange(f"{server}: back; it was last ejected {ejected_s:.1f} s ago", readmitted=True)
