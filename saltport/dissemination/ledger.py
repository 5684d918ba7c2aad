"""Ledger of the outcomes of submissions at a voter, so that repeated submissions get the same answer."""

from __future__ import annotations

from collections import OrderedDict

from saltport.dissemination.messages import Origin

MAX_OUTCOMES = 16_384  # limit of the outcomes remembered; that of an older submission is unknown
MAX_STREAMS = 16_384  # limit of the streams whose last committed submission is remembered

Stream = tuple[int, int, int]
"""Router, process start and topic; submissions of one stream are committed in order."""


def stream_of(origin: Origin, topic: int) -> Stream:
    """Return the stream that a submission belongs to."""
    return origin.router, origin.process_start, topic


class OutcomeLedger:
    """Outcomes by submission, and the last committed submission of each stream."""

    def __init__(self) -> None:
        self._outcomes: OrderedDict[Origin, str] = OrderedDict()
        self._last_committed: OrderedDict[Stream, int] = OrderedDict()

    def record_committed(self, origin: Origin, topic: int) -> None:
        """Record a committed submission.

        It replaces a refusal that this voter recorded while another voter was coordinator.
        """
        self._remember(origin, "")
        stream = stream_of(origin, topic)
        self._last_committed[stream] = origin.sequence
        self._last_committed.move_to_end(stream)
        if len(self._last_committed) > MAX_STREAMS:
            self._last_committed.popitem(last=False)

    def record_refused(self, origin: Origin, reason: str) -> None:
        """Record that this coordinator refused a submission, and why."""
        self._remember(origin, reason)

    def _remember(self, origin: Origin, reason: str) -> None:
        """Store the outcome of a submission: why it was refused, or an empty string if committed."""
        self._outcomes[origin] = reason
        if len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)

    def outcome(self, origin: Origin) -> str | None:
        """Reason for a refusal, an empty string if committed, or None if unknown."""
        return self._outcomes.get(origin)

    def last_committed(self) -> dict[Stream, int]:
        """Sequence of the last committed submission of each stream."""
        return dict(self._last_committed)
