"""Health of the paths between zones; it changes only by evidence, never by a timer. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.decisions.interface import NS_PER_S
from saltport.failover.settings import FailoverSettings

GOOD_EVIDENCE_NS = 10 * NS_PER_S  # good answers count as evidence for a path for this long
SAMPLE_MERGE_NS = 3 * NS_PER_S  # samples too small for a window are merged within this time
MAX_WEIGHT_FACTOR = 3.0  # maximum weight of one router's sample, in medians of the attempts


@dataclass(frozen=True, slots=True)
class PathSample:
    """The attempts of one router on a path within a window, and how many got no answer."""

    attempts: int
    unanswered: int

    @property
    def unanswered_share(self) -> float:
        """The share of the attempts that got no answer."""
        return self.unanswered / self.attempts


def weighted_median_share(samples: Sequence[PathSample]) -> float:
    """Return the lower median of the samples' unanswered shares, weighted by attempts with an upper limit.

    Danger: with a mean, one router with a faulty network and much traffic would take all reads from a zone.
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
    """Whether one path is good or bad, by the samples of all routers that use it.

    The evidence needed to recover doubles with each relapse.
    """

    def __init__(self, settings: FailoverSettings, bad: bool = False) -> None:
        self._settings = settings
        self.bad = bad
        self.relapses = int(bad)
        self._bad_windows = self._good_windows = self._good_answers = 0
        self._recovered_at: int | None = None
        self._good_evidence_at: int | None = None
        self._pending_samples: list[PathSample] = []
        """Samples that do not yet have enough attempts for a window."""
        self._pending_since = 0

    def has_recent_good_evidence(self, now: int) -> bool:
        """Whether the path is good and was shown to be so within GOOD_EVIDENCE_NS."""
        return (
            not self.bad
            and self._good_evidence_at is not None
            and now - self._good_evidence_at < GOOD_EVIDENCE_NS
        )

    @property
    def _evidence_factor(self) -> int:
        """How many times the evidence of a first recovery is needed for the next one."""
        return 1 << max(min(self.relapses, self._settings.max_relapses) - 1, 0)

    @property
    def last_window_good(self) -> bool:
        """Whether the last window of a bad path was good."""
        return self._good_answers > 0

    def add_window(self, samples: Sequence[PathSample], now: int) -> bool:
        """Evaluate the samples of a window; return whether the path became good or bad."""
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
        """Mark the path as good from now on."""
        self.bad, self._bad_windows, self._recovered_at = False, 0, now
        self._good_evidence_at = now
