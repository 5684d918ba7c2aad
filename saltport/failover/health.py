"""Whether a path from a zone to another is well: turned by evidence both ways, never by a timer. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.decisions.interface import NS_PER_S
from saltport.failover.settings import FailoverSettings

GOOD_EVIDENCE_NS = 10 * NS_PER_S  # for which good answers speak for a path
SAMPLE_MERGE_NS = 3 * NS_PER_S  # within which few claims add up to a window
MAX_WEIGHT_FACTOR = 3.0  # times the usual weight: so much does one router's claim count at the most


@dataclass(frozen=True, slots=True)
class PathSample:
    """What one router found on a path within a window."""

    attempts: int
    unanswered: int

    @property
    def unanswered_share(self) -> float:
        """Of its attempts, those that nobody answered."""
        return self.unanswered / self.attempts


def weighted_median_share(samples: Sequence[PathSample]) -> float:
    """The lower weighted median: a share that more than half of the weight reaches or goes beyond.

    Danger: were it a mean, one router with a bad network and much traffic would empty a zone.
    """
    ordered = sorted(samples, key=lambda sample: -sample.unanswered_share)
    median_attempts = sorted(sample.attempts for sample in samples)[len(samples) // 2]
    weights = [min(sample.attempts, MAX_WEIGHT_FACTOR * median_attempts) for sample in ordered]
    half, seen = sum(weights) / 2, 0.0
    for sample, weight in zip(ordered, weights, strict=True):
        seen += weight
        if seen > half:
            return sample.unanswered_share
    return 0.0


class PathHealth:
    """Of one path."""

    def __init__(self, settings: FailoverSettings, bad: bool = False) -> None:
        self._settings = settings
        self.bad = bad
        self.relapses = int(bad)
        self._bad_windows = self._good_windows = self._good_answers = 0
        self._recovered_at: int | None = None
        self._good_evidence_at: int | None = None
        self._pending_samples: list[PathSample] = []
        """Claims that are too few as yet."""
        self._pending_since = 0

    def has_recent_good_evidence(self, now: int) -> bool:
        """Whether good answers on this very path say that it is well, lately."""
        return (
            not self.bad
            and self._good_evidence_at is not None
            and now - self._good_evidence_at < GOOD_EVIDENCE_NS
        )

    @property
    def _evidence_factor(self) -> int:
        """As much evidence as the first time it takes to be well again."""
        return 1 << max(min(self.relapses, self._settings.max_relapses) - 1, 0)

    @property
    def last_window_good(self) -> bool:
        """Whether its last window was good."""
        return self._good_answers > 0

    def add_window(self, samples: Sequence[PathSample], now: int) -> bool:
        """Take a window's claims; whether its health has turned."""
        settings = self._settings
        if now - self._pending_since > SAMPLE_MERGE_NS:
            self._pending_samples, self._pending_since = [], now
        samples = self._pending_samples = [
            *self._pending_samples,
            *(sample for sample in samples if sample.attempts),
        ]
        attempts = sum(sample.attempts for sample in samples)
        if not attempts or (attempts < settings.min_attempts and not self.bad):
            return False
        self._pending_samples, self._pending_since = [], now
        unanswered_share = weighted_median_share(samples)
        if unanswered_share <= settings.good_share and attempts >= settings.min_attempts:
            self._good_evidence_at = now
        if not self.bad:
            self._bad_windows = self._bad_windows + 1 if unanswered_share >= settings.bad_share else 0
            if self._bad_windows < settings.bad_windows:
                return False
            recently = (
                self._recovered_at is not None and now - self._recovered_at < settings.relapse_window_ns
            )
            self.relapses = self.relapses + 1 if recently else 1
            self.bad, self._good_answers, self._good_windows = True, 0, 0
            return True
        answered = attempts - sum(sample.unanswered for sample in samples)
        last_window_good = unanswered_share <= settings.good_share
        self._good_answers, self._good_windows = (
            (self._good_answers + answered, self._good_windows + 1) if last_window_good else (0, 0)
        )
        factor = self._evidence_factor
        if (
            self._good_answers < settings.good_answers * factor
            or self._good_windows < settings.good_windows * factor
        ):
            return False
        self.mark_good(now)
        return True

    def mark_good(self, now: int) -> None:
        """It is well from now on."""
        self.bad, self._bad_windows, self._recovered_at = False, 0, now
        self._good_evidence_at = now
