"""Changes that a router has submitted, until the voters decide them. No I/O.

Undecided submissions are sent again in order, starting with the oldest, so that the coordinator never accepts
a later one before an earlier one. A refusal is final only if no other voter was sent the submission.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from saltport.dissemination.messages import Decision, Submission, Submit, encode
from saltport.dissemination.settings import MAX_MESSAGE_BYTES, DisseminationSettings

MAX_RECORD_BYTES = 144  # limit of the body of a submission
SUBMIT_OVERHEAD_BYTES = 16  # size of an encoded Submit message without its submissions


class Outcome(Enum):
    """Outcome of a submission."""

    COMMITTED = "committed"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """No voter decided in time; the change may or may not be committed."""
    REJECTED = "rejected by routers"
    """Committed, but routers refused to apply it and use the previous value."""


@dataclass(frozen=True, slots=True)
class SubmissionResult:
    """Outcome of one submission, with the reason for a failure."""

    sequence: int
    outcome: Outcome
    reason: str = ""


class SubmissionError(ValueError):
    """A change cannot be submitted; the text says why."""


@dataclass(slots=True)
class _Pending:
    """An undecided submission, with the voters that it was sent to."""

    submission: Submission
    submitted_at: int
    voters: set[int] = field(default_factory=set)


class Submissions:
    """Undecided submissions of one router, at most `max_submissions`."""

    def __init__(self, process_start: int, voters: tuple[int, ...], settings: DisseminationSettings) -> None:
        self._process_start, self._voters, self._settings = process_start, voters, settings
        self._next_sequence = 1
        self._pending: deque[_Pending] = deque()
        self._tries = 0
        self.due: int | None = None
        """Time of the next call of `tick`, or None if nothing is undecided."""
        self.coordinator: int | None = None
        """Node number of the coordinator, or None if unknown."""
        self.outcomes: list[SubmissionResult] = []
        """Results of submissions, in the order in which they became known."""

    def submit(self, topic: int, body: bytes, now: int) -> int:
        """Queue a change and return its sequence number; raise SubmissionError if it is not accepted."""
        if len(body) > MAX_RECORD_BYTES:
            raise SubmissionError(f"a record has at most {MAX_RECORD_BYTES} bytes, this one {len(body)}")
        if len(self._pending) >= self._settings.max_submissions:
            raise SubmissionError("too many undecided submissions")
        sequence, self._next_sequence = self._next_sequence, self._next_sequence + 1
        self._pending.append(_Pending(Submission(sequence, topic, body), now))
        self.due = now
        return sequence

    def tick(self, now: int) -> list[tuple[int, Submit]]:
        """Return the messages that are due, each with its target voter; expire old submissions."""
        while self._pending and now - self._pending[0].submitted_at >= self._settings.submit_timeout:
            timed_out = self._pending.popleft()
            self.outcomes.append(
                SubmissionResult(timed_out.submission.sequence, Outcome.UNKNOWN, "no voter answered")
            )
        if not self._pending:
            self.due = None
            return []
        self.due = now + self._settings.submit_retry
        chosen: list[Submission] = []
        size = SUBMIT_OVERHEAD_BYTES
        for pending in self._pending:
            size += len(encode(pending.submission))
            if size > MAX_MESSAGE_BYTES:
                break
            chosen.append(pending.submission)
        targets = self._targets()
        for pending, _ in zip(self._pending, chosen, strict=False):
            pending.voters.update(targets)
        self._tries += 1
        message = Submit(self._process_start, tuple(chosen))
        return [(target, message) for target in targets]

    def _targets(self) -> list[int]:
        """The coordinator while it answers, otherwise it and each voter in rotation."""
        copies = self._settings.submit_copies
        if self.coordinator is not None and self._tries < 4:
            return [self.coordinator] * copies
        next_voter = self._voters[self._tries % len(self._voters)]
        return [next_voter if self.coordinator is None else self.coordinator] + [next_voter] * (copies - 1)

    def on_decision(self, decision: Decision) -> None:
        """Record the outcomes in a decision; ignore one for an earlier process of this router."""
        if decision.process_start != self._process_start:
            return
        refused = {refusal.sequence: refusal.reason for refusal in decision.refusals}
        committed = set(decision.committed)
        undecided: deque[_Pending] = deque()
        for pending in self._pending:
            sequence = pending.submission.sequence
            if sequence in committed:
                self.outcomes.append(SubmissionResult(sequence, Outcome.COMMITTED))
                self._tries = 0
            elif sequence in refused and len(pending.voters) <= 1:
                self.outcomes.append(SubmissionResult(sequence, Outcome.REFUSED, refused[sequence]))
            else:
                undecided.append(pending)
        for rejection in decision.rejections:
            self.outcomes.append(SubmissionResult(rejection.sequence, Outcome.REJECTED, rejection.reason))
        self._pending = undecided
        if not undecided:
            self.due = None
