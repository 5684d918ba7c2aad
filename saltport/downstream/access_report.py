"""Reads access logs and lists the requests that were accepted and got no final answer, or a late one.

Started as `python -m saltport.downstream.access_report LOG...`; the exit status is 1 if there are any.
"""

from __future__ import annotations

import sys
from collections import Counter, deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain
from pathlib import Path

import msgspec

from saltport.downstream.access_log import (
    ConnectionClosed,
    Entry,
    LogStopped,
    RequestAccepted,
    RequestAnswered,
)
from saltport.downstream.outcomes import CloseReason

NS_PER_MS = 1_000_000
LATE_AFTER_NS = 500 * NS_PER_MS
"""An answer that comes longer than this after the request's time counts as lost (STANDING)."""


class Finding(Enum):
    """What is wrong with a request."""

    UNANSWERED = "closed by the router without a final answer"
    FORGOTTEN = "no final answer although the process ended by itself"
    OVERDUE = "no final answer although its time was over while the process went on"
    KILLED = "no final answer when the process was killed"
    CUT = "its value had begun, and was cut off so that the client can tell"
    LATE = "answered too late"
    UNSENT = "answered, but the router closed before its bytes had left"
    ANSWERED_TWICE = "answered twice"

    @property
    def expected(self) -> bool:
        """Whether it can be no fault of the router's."""
        return self in (Finding.KILLED, Finding.CUT)


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request, and what is wrong with it."""

    source: str
    finding: Finding
    request: RequestAccepted
    detail: str = ""

    def __str__(self) -> str:
        request = self.request
        line = f"{self.source}: {request.id} ({request.request_class}, {request.timeout_ms} ms)"
        line += f" accepted at {request.at_ns / 1e9:.3f} s: {self.finding.value}"
        return f"{line}: {self.detail}" if self.detail else line


@dataclass(slots=True)
class Report:
    """What one log says."""

    accepted: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    """Final answers by kind."""
    left: int = 0
    """Requests whose client had left before their answer."""
    moved: int = 0
    """Requests that another process goes on with."""
    unreadable: int = 0
    """Lines that are no entry."""
    suspects: list[Suspect] = field(default_factory=list)


class _Reading:
    """One log as it is read."""

    def __init__(self, source: str) -> None:
        self._source = source
        self._open: dict[tuple[int, str], deque[RequestAccepted]] = {}
        """By connection and id; answers on a connection come in the order of its requests."""
        self._last_answer: dict[int, RequestAccepted] = {}
        """By connection: the request that was answered last."""
        self._stopped = False
        self._last_ns = 0
        self.report = Report()

    def take(self, entry: Entry) -> None:
        """Read the next entry."""
        self._last_ns = max(self._last_ns, entry.at_ns)
        match entry:
            case RequestAccepted():
                self.report.accepted += 1
                self._open.setdefault((entry.connection, entry.id), deque()).append(entry)
            case RequestAnswered():
                self._answered(entry)
            case ConnectionClosed():
                self._closed(entry)
            case LogStopped():
                self._stopped = True

    def _answered(self, entry: RequestAnswered) -> None:
        request = self._take_open(entry.connection, entry.id)
        if request is None:
            unknown = RequestAccepted(entry.at_ns, entry.connection, entry.id, "unknown", 0)
            self._suspect(Finding.ANSWERED_TWICE, unknown)
            return
        self.report.answers[entry.answer.value] += 1
        self._last_answer[entry.connection] = request
        late_ns = _late_ns(request, entry.at_ns)
        if late_ns > LATE_AFTER_NS:
            detail = f"{entry.answer.value}, {late_ns / NS_PER_MS:.0f} ms after its time"
            self._suspect(Finding.LATE, request, detail)

    def _closed(self, entry: ConnectionClosed) -> None:
        for place, request_id in enumerate(entry.unanswered):
            request = self._take_open(entry.connection, request_id)
            if request is None:
                continue
            if entry.reason is CloseReason.MOVED:
                self.report.moved += 1
            elif entry.reason.by_router:
                is_cut = entry.reason is CloseReason.VALUE_CUT and place == 0
                finding = Finding.CUT if is_cut else Finding.UNANSWERED
                self._suspect(finding, request, entry.reason.value)
            else:
                self.report.left += 1
        last = self._last_answer.pop(entry.connection, None)
        if last is not None and entry.unsent_bytes and entry.reason.by_router:
            detail = f"{entry.reason.value}, {entry.unsent_bytes} bytes unsent"
            self._suspect(Finding.UNSENT, last, detail)

    def finish(self) -> Report:
        """The report, once all entries are read."""
        for request in chain.from_iterable(self._open.values()):
            self._suspect(self._open_at_the_end(request), request)
        return self.report

    def _take_open(self, connection: int, request_id: str) -> RequestAccepted | None:
        """The oldest request of this id that is open on its connection, which is open no longer."""
        requests = self._open.get((connection, request_id))
        if requests is None:
            return None
        request = requests.popleft()
        if not requests:
            del self._open[connection, request_id]
        return request

    def _open_at_the_end(self, request: RequestAccepted) -> Finding:
        if self._stopped:
            return Finding.FORGOTTEN
        if _late_ns(request, self._last_ns) > LATE_AFTER_NS:
            return Finding.OVERDUE
        return Finding.KILLED

    def _suspect(self, finding: Finding, request: RequestAccepted, detail: str = "") -> None:
        self.report.suspects.append(Suspect(self._source, finding, request, detail))


def _late_ns(request: RequestAccepted, now_ns: int) -> int:
    """For how long the request's time has been over; below 0 while it is not."""
    return now_ns - request.at_ns - request.timeout_ms * NS_PER_MS


def read_log(source: str, lines: Iterable[bytes]) -> Report:
    """What one process's log says; `source` names it in the report."""
    reading = _Reading(source)
    decode = msgspec.json.Decoder(Entry).decode
    for line in lines:
        try:
            reading.take(decode(line))
        except msgspec.DecodeError:  # the last line of a killed process may be cut
            reading.report.unreadable += 1
    return reading.finish()


def describe(reports: Sequence[Report]) -> Iterator[str]:
    """The reports of all processes in lines for people."""
    answers: Counter[str] = Counter()
    for report in reports:
        answers.update(report.answers)
        yield from map(str, report.suspects)
    accepted = sum(report.accepted for report in reports)
    ends = ", ".join(f"{count} {answer}" for answer, count in sorted(answers.items()))
    left = sum(report.left for report in reports)
    moved = sum(report.moved for report in reports)
    unreadable = sum(report.unreadable for report in reports)
    yield (
        f"{len(reports)} processes accepted {accepted} requests: {ends or 'none answered'}; "
        f"{left} whose client left, {moved} moved, {unreadable} lines that can't be read"
    )
    findings = Counter(suspect.finding for report in reports for suspect in report.suspects)
    for finding, count in findings.items():
        yield f"{count}: {finding.value}"


def main(paths: Sequence[str]) -> int:
    """Print the report of these logs; returns the exit status."""
    if not paths:
        print("usage: python -m saltport.downstream.access_report LOG...", file=sys.stderr)
        return 2
    reports = []
    for path in paths:
        try:
            with Path(path).open("rb") as lines:
                reports.append(read_log(Path(path).name, lines))
        except OSError as error:
            print(f"{path}: {error.strerror or error}", file=sys.stderr)
            return 2
    for line in describe(reports):
        print(line)
    faults = [suspect for report in reports for suspect in report.suspects if not suspect.finding.expected]
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
