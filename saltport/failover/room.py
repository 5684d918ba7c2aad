"""How much a zone can do: by configuration, by what it has proven, and less once it is strained. No I/O."""

from __future__ import annotations

from saltport.decisions.interface import NS_PER_S
from saltport.failover.settings import FailoverSettings
from saltport.failover.waterfall import UNLIMITED

PEAK_DECAY_S = 600.0  # over which what was proven is forgotten
PROVEN_MARGIN = 1.25  # times what is proven counts as proven
CUT_FACTOR = 0.95
MIN_RATE_PER_S = 20.0  # answers a second; below that, shares of late ones tell nothing


class ZoneCapacity:
    """Of one zone; requests a second."""

    def __init__(self, settings: FailoverSettings, per_server: float) -> None:
        self._settings, self._per_server = settings, per_server
        self.rate = 0.0
        """Answers in time, smoothed over some windows."""
        self._peak_rate = 0.0
        self._learned_limit = UNLIMITED
        self._updated_at = self.cut_at = 0
        self._strained_windows = 0
        self._retry_after_ns = settings.capacity_retry_ns
        self.probing = False
        """Whether more than what it was cut to is being tried."""

    def add_window(self, in_time_rate: float, strained_share: float, now: int, settled: bool = True) -> None:
        """Take a window: answers a second that were in time, and the share that was late or turned away.

        `settled`: no reads have just been moved. Danger: what waited in vain elsewhere comes with them, late
        and all at once; a zone would pass for one without room just where it is needed.
        """
        elapsed_s = min((now - self._updated_at) / NS_PER_S, 2.0) if self._updated_at else 0.0
        self._updated_at = now
        self.rate += (in_time_rate - self.rate) * 0.4
        is_strained = (
            settled
            and strained_share > self._settings.max_strained_share
            and in_time_rate + self.rate >= MIN_RATE_PER_S
        )
        self._strained_windows = self._strained_windows + 1 if is_strained else 0
        if is_strained:
            if self._strained_windows >= self._settings.bad_windows:
                self._cut(in_time_rate, now)
            return
        if self._learned_limit < UNLIMITED and now - self.cut_at >= self._retry_after_ns:
            self.probing, self._learned_limit = True, UNLIMITED
        elif self.probing and now - self.cut_at >= 4 * self._retry_after_ns:
            self.probing, self._retry_after_ns = False, self._settings.capacity_retry_ns
        self._peak_rate = max(self._peak_rate * (1 - elapsed_s / PEAK_DECAY_S), self.rate)

    def _cut(self, in_time_rate: float, now: int) -> None:
        self._learned_limit = max(min(self._learned_limit, max(in_time_rate, self.rate) * CUT_FACTOR), 1.0)
        if self.probing:
            self._retry_after_ns = min(self._retry_after_ns * 2, self._settings.max_capacity_retry_ns)
        self.cut_at, self.probing = now, False

    def limit(self, servers: float) -> float:
        """What it can do with so many servers in use."""
        configured = self._per_server * servers if self._per_server else UNLIMITED
        return min(configured, self._learned_limit) if servers > 0 else 0.0

    def proven(self, servers: float) -> float:
        """What may be counted on: a configured figure is, a learnt one as far as it was seen."""
        limit = self.limit(servers)
        return limit if self._per_server else min(limit, max(self._peak_rate, self.rate) * PROVEN_MARGIN)
