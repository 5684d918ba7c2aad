"""How much a zone can do: by configuration, by what it has proven, and less once it is strained. No I/O."""

from __future__ import annotations

from saltport.decisions.interface import NS_PER_S
from saltport.failover.settings import FailoverSettings
from saltport.failover.waterfall import UNLIMITED

REMEMBERED_S = 600.0  # over which what was proven is forgotten
SLACK = 1.25  # times what is proven counts as proven
CUT = 0.95
FEW = 20.0  # answers a second; below that, shares of late ones tell nothing


class Room:
    """Of one zone; requests a second."""

    def __init__(self, settings: FailoverSettings, of_server: float) -> None:
        self._settings, self._of_server = settings, of_server
        self.rate = 0.0
        """Answers in time, smoothed over some windows."""
        self._best = 0.0
        self._held = UNLIMITED
        self._at = self.cut_at = 0
        self._strained = 0
        self._wait = settings.retry
        self.tried = False
        """Whether more than what it was cut to is being tried."""

    def learn(self, in_time: float, strained: float, now: int, settled: bool = True) -> None:
        """Take a window: answers a second that were in time, and the share that was late or turned away.

        `settled`: no reads have just been moved. Danger: what waited in vain elsewhere comes with them, late
        and all at once; a zone would pass for one without room just where it is needed.
        """
        passed = min((now - self._at) / NS_PER_S, 2.0) if self._at else 0.0
        self._at = now
        self.rate += (in_time - self.rate) * 0.4
        strains = settled and strained > self._settings.strained and in_time + self.rate >= FEW
        self._strained = self._strained + 1 if strains else 0
        if strains:
            if self._strained >= self._settings.bad_windows:
                self._cut(in_time, now)
            return
        if self._held < UNLIMITED and now - self.cut_at >= self._wait:
            self.tried, self._held = True, UNLIMITED
        elif self.tried and now - self.cut_at >= 4 * self._wait:
            self.tried, self._wait = False, self._settings.retry
        self._best = max(self._best * (1 - passed / REMEMBERED_S), self.rate)

    def _cut(self, in_time: float, now: int) -> None:
        self._held = max(min(self._held, max(in_time, self.rate) * CUT), 1.0)
        if self.tried:
            self._wait = min(self._wait * 2, self._settings.most_retry)
        self.cut_at, self.tried = now, False

    def most(self, servers: float) -> float:
        """What it can do with so many servers in use."""
        told = self._of_server * servers if self._of_server else UNLIMITED
        return min(told, self._held) if servers > 0 else 0.0

    def proven(self, servers: float) -> float:
        """What may be counted on: a configured figure is, a learnt one as far as it was seen."""
        most = self.most(servers)
        return most if self._of_server else min(most, max(self._best, self.rate) * SLACK)
