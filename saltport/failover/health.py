"""Whether a path from a zone to another is well: turned by evidence both ways, never by a timer. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saltport.decisions.interface import NS_PER_S
from saltport.failover.settings import FailoverSettings

VOUCHED = 10 * NS_PER_S  # for which good answers speak for a path
GATHERED = 3 * NS_PER_S  # within which few claims add up to a window
HEAVY = 3.0  # times the usual weight: so much does one router's claim count at the most


@dataclass(frozen=True, slots=True)
class Claim:
    """What one router found on a path within a window."""

    attempts: int
    silent: int

    @property
    def share(self) -> float:
        """Of its attempts, those that nobody answered."""
        return self.silent / self.attempts


def agreed_share(claims: Sequence[Claim]) -> float:
    """The lower weighted median: a share that more than half of the weight reaches or goes beyond.

    Danger: were it a mean, one router with a bad network and much traffic would empty a zone.
    """
    ordered = sorted(claims, key=lambda claim: -claim.share)
    usual = sorted(claim.attempts for claim in claims)[len(claims) // 2]
    weights = [min(claim.attempts, HEAVY * usual) for claim in ordered]
    half, seen = sum(weights) / 2, 0.0
    for claim, weight in zip(ordered, weights, strict=True):
        seen += weight
        if seen > half:
            return claim.share
    return 0.0


class PathHealth:
    """Of one path."""

    def __init__(self, settings: FailoverSettings, bad: bool = False) -> None:
        self._settings = settings
        self.bad = bad
        self.relapses = int(bad)
        self._bad_windows = self._good_windows = self._good = 0
        self._turned_well: int | None = None
        self._vouched: int | None = None
        self._gathered: list[Claim] = []
        """Claims that are too few as yet."""
        self._gathered_at = 0

    def vouched(self, now: int) -> bool:
        """Whether good answers on this very path say that it is well, lately."""
        return not self.bad and self._vouched is not None and now - self._vouched < VOUCHED

    @property
    def _times(self) -> int:
        """As much evidence as the first time it takes to be well again."""
        return 1 << max(min(self.relapses, self._settings.most_relapses) - 1, 0)

    @property
    def hopeful(self) -> bool:
        """Whether its last window was good."""
        return self._good > 0

    def learn(self, claims: Sequence[Claim], now: int) -> bool:
        """Take a window's claims; whether its health has turned."""
        settings = self._settings
        if now - self._gathered_at > GATHERED:
            self._gathered, self._gathered_at = [], now
        claims = self._gathered = [*self._gathered, *(claim for claim in claims if claim.attempts)]
        attempts = sum(claim.attempts for claim in claims)
        if not attempts or (attempts < settings.least_attempts and not self.bad):
            return False
        self._gathered, self._gathered_at = [], now
        share = agreed_share(claims)
        if share <= settings.good_share and attempts >= settings.least_attempts:
            self._vouched = now
        if not self.bad:
            self._bad_windows = self._bad_windows + 1 if share >= settings.bad_share else 0
            if self._bad_windows < settings.bad_windows:
                return False
            recently = self._turned_well is not None and now - self._turned_well < settings.relapse
            self.relapses = self.relapses + 1 if recently else 1
            self.bad, self._good, self._good_windows = True, 0, 0
            return True
        good = attempts - sum(claim.silent for claim in claims)
        hopeful = share <= settings.good_share
        self._good, self._good_windows = (self._good + good, self._good_windows + 1) if hopeful else (0, 0)
        times = self._times
        if self._good < settings.good_answers * times or self._good_windows < settings.good_windows * times:
            return False
        self.turn_well(now)
        return True

    def turn_well(self, now: int) -> None:
        """It is well from now on."""
        self.bad, self._bad_windows, self._turned_well = False, 0, now
        self._vouched = now
