"""Reads access logs and lists the accepted requests without a final answer or with a late one.

Run as `python -m saltport.downstream.access_report LOG...`. The exit status is 1 if a request has a problem
that can be a fault of the router, see `Finding.expected`.
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
"""Delay after a request's timeout beyond which its answer counts as late (STANDING)."""


class Finding(Enum):
    """The kinds of problems that a request can have."""

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
        """Whether the problem is not necessarily a fault of the router."""
        return self in (Finding.KILLED, Finding.CUT)


@dataclass(frozen=True, slots=True)
class Problem:
    """A request that was not answered correctly, and why."""

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
    """The summary of one log."""

    accepted: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    """Number of final answers by kind."""
    left: int = 0
    """Number of requests whose client disconnected before the answer."""
    moved: int = 0
    """Number of requests handed over to another process."""
    unreadable: int = 0
    """Number of lines that are not a valid entry."""
    problems: list[Problem] = field(default_factory=list)


class _LogReader:
    """Builds the report of one log from its entries."""

    def __init__(self, source: str) -> None:
        self._source = source
        self._open: dict[tuple[int, str], deque[RequestAccepted]] = {}
        """Unanswered requests by connection and id, in the order in which they are answered."""
        self._last_answer: dict[int, RequestAccepted] = {}
        """The most recently answered request by connection."""
        self._stopped = False
        self._last_ns = 0
        self.report = Report()

    def read(self, entry: Entry) -> None:
        """Process the next entry of the log."""
        self._last_ns = max(self._last_ns, entry.at_ns)
        match entry:
            case RequestAccepted():
                self.report.accepted += 1
                self._open.setdefault((entry.connection, entry.id), deque()).append(entry)
            case RequestAnswered():
                self._read_answered(entry)
            case ConnectionClosed():
                self._read_closed(entry)
            case LogStopped():
                self._stopped = True

    def _read_answered(self, entry: RequestAnswered) -> None:
        """Count a final answer, and report it if it was late or answers no open request."""
        request = self._remove_open(entry.connection, entry.id)
        if request is None:
            unknown = RequestAccepted(entry.at_ns, entry.connection, entry.id, "unknown", 0)
            self._add_problem(Finding.ANSWERED_TWICE, unknown)
            return
        self.report.answers[entry.answer.value] += 1
        self._last_answer[entry.connection] = request
        late_ns = _late_ns(request, entry.at_ns)
        if late_ns > LATE_AFTER_NS:
            detail = f"{entry.answer.value}, {late_ns / NS_PER_MS:.0f} ms after its time"
            self._add_problem(Finding.LATE, request, detail)

    def _read_closed(self, entry: ConnectionClosed) -> None:
        """Count the requests that a closed connection left open; report those that the router dropped."""
        for position, request_id in enumerate(entry.unanswered):
            request = self._remove_open(entry.connection, request_id)
            if request is None:
                continue
            if entry.reason is CloseReason.MOVED:
                self.report.moved += 1
            elif entry.reason.by_router:
                is_cut = entry.reason is CloseReason.VALUE_CUT and position == 0
                finding = Finding.CUT if is_cut else Finding.UNANSWERED
                self._add_problem(finding, request, entry.reason.value)
            else:
                self.report.left += 1
        last = self._last_answer.pop(entry.connection, None)
        if last is not None and entry.unsent_bytes and entry.reason.by_router:
            detail = f"{entry.reason.value}, {entry.unsent_bytes} bytes unsent"
            self._add_problem(Finding.UNSENT, last, detail)

    def finish(self) -> Report:
        """Return the report; requests that are still open become problems."""
        for request in chain.from_iterable(self._open.values()):
            self._add_problem(self._finding_at_end(request), request)
        return self.report

    def _remove_open(self, connection: int, request_id: str) -> RequestAccepted | None:
        """Remove and return the oldest open request with this id on the connection; None if there is none."""
        requests = self._open.get((connection, request_id))
        if requests is None:
            return None
        request = requests.popleft()
        if not requests:
            del self._open[connection, request_id]
        return request

    def _finding_at_end(self, request: RequestAccepted) -> Finding:
        """Return the finding for a request that is still open at the end of the log."""
        if self._stopped:
            return Finding.FORGOTTEN
        if _late_ns(request, self._last_ns) > LATE_AFTER_NS:
            return Finding.OVERDUE
        return Finding.KILLED

    def _add_problem(self, finding: Finding, request: RequestAccepted, detail: str = "") -> None:
        self.report.problems.append(Problem(self._source, finding, request, detail))


def _late_ns(request: RequestAccepted, now_ns: int) -> int:
    """Return the time since the request's timeout; negative before the timeout."""
    return now_ns - request.at_ns - request.timeout_ms * NS_PER_MS


def read_log(source: str, lines: Iterable[bytes]) -> Report:
    """Return the report of one process's log; `source` names the log in the report."""
    reader = _LogReader(source)
    decode = msgspec.json.Decoder(Entry).decode
    for line in lines:
        try:
            reader.read(decode(line))
        except msgspec.DecodeError:  # the last line may be truncated if the process was killed
            reader.report.unreadable += 1
    return reader.finish()


def describe(reports: Sequence[Report]) -> Iterator[str]:
    """Yield the reports of all processes as readable lines: each problem, then the totals."""
    answers: Counter[str] = Counter()
    for report in reports:
        answers.update(report.answers)
        yield from map(str, report.problems)
    accepted = sum(report.accepted for report in reports)
    counts = ", ".join(f"{count} {answer}" for answer, count in sorted(answers.items()))
    left = sum(report.left for report in reports)
    moved = sum(report.moved for report in reports)
    unreadable = sum(report.unreadable for report in reports)
    yield (
        f"{len(reports)} processes accepted {accepted} requests: {counts or 'none answered'}; "
        f"{left} whose client left, {moved} moved, {unreadable} lines that can't be read"
    )
    findings = Counter(problem.finding for report in reports for problem in report.problems)
    for finding, count in findings.items():
        yield f"{count}: {finding.value}"


def main(paths: Sequence[str]) -> int:
    """Print the report of these logs; return the exit status."""
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
    unexpected = [
        problem for report in reports for problem in report.problems if not problem.finding.expected
    ]
    return 1 if unexpected else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
