"""What became of submissions, as far as a voter remembers: so that a repeated one is answered alike."""

from __future__ import annotations

from collections import OrderedDict

from saltport.dissemination.messages import Origin

MAX_OUTCOMES = 16_384  # remembered, the latest ones; the outcome of an older submission is unknown
MAX_STREAMS = 16_384

Stream = tuple[int, int, int]
"""A router, its process's start and a topic: submissions of one stream are committed in their order."""


def stream_of(origin: Origin, topic: int) -> Stream:
    """The stream of a submission."""
    return origin.router, origin.process_start, topic


class SubmissionOutcomes:
    """Outcomes by submission, and the last committed one of each stream."""

    def __init__(self) -> None:
        self._outcomes: OrderedDict[Origin, str] = OrderedDict()
        self._last_committed: OrderedDict[Stream, int] = OrderedDict()

    def record_committed(self, origin: Origin, topic: int) -> None:
        """It is committed, also if it was refused before, by this voter while another one led."""
        self._remember(origin, "")
        stream = stream_of(origin, topic)
        self._last_committed[stream] = origin.sequence
        self._last_committed.move_to_end(stream)
        if len(self._last_committed) > MAX_STREAMS:
            self._last_committed.popitem(last=False)

    def record_refused(self, origin: Origin, reason: str) -> None:
        """It won't be proposed by this coordinator."""
        self._remember(origin, reason)

    def _remember(self, origin: Origin, reason: str) -> None:
        self._outcomes[origin] = reason
        if len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)

    def outcome(self, origin: Origin) -> str | None:
        """Why it was refused; empty: it is committed; None: not known here."""
        return self._outcomes.get(origin)

    def last_committed(self) -> dict[Stream, int]:
        """The last committed submission of each stream."""
        return dict(self._last_committed)
