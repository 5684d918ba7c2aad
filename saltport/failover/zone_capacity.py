"""Capacity of a zone: configured or learned from its answers, and reduced under overload. No I/O."""

from __future__ import annotations

from saltport.decisions.interface import NS_PER_S
from saltport.failover.settings import FailoverSettings
from saltport.failover.waterfall import UNLIMITED

PEAK_DECAY_S = 600.0  # time over which the observed peak rate decays to nothing
PROVEN_MARGIN = 1.25  # a zone without a configured capacity may get this multiple of its peak rate
CUT_FACTOR = 0.95  # share of the rate at overload to which the limit is cut
RATE_SMOOTHING = 0.4  # weight of a new window in the smoothed rate
MAX_DECAY_STEP_S = 2.0  # a longer gap between two windows decays the peak rate no further
PROBE_RETRIES = 4  # an uncut limit resets the retry time after this many retry times since the last cut
MIN_RATE_PER_S = 20.0  # below this rate, the share of late answers is not significant


class ZoneCapacity:
    """Capacity of one zone, in requests per second."""

    def __init__(self, settings: FailoverSettings, per_server: float) -> None:
        self._settings, self._per_server = settings, per_server
        self.rate = 0.0
        """Answers in time per second, smoothed over some windows."""
        self._peak_rate = 0.0
        self._learned_limit = UNLIMITED
        self._updated_at = self.cut_at = 0
        self._strained_windows = 0
        self._retry_after_ns = settings.capacity_retry_ns
        self.probing = False
        """Whether the limit was lifted after a cut, to find out if the zone can do more again."""

    def add_window(self, in_time_rate: float, strained_share: float, now: int, settled: bool = True) -> None:
        """Update the zone's capacity from the evidence of one report interval.

        `in_time_rate` is the answers in time per second, `strained_share` the share of attempts that were
        late or rejected. `settled` is False shortly after reads were moved between zones: such a window does
        not reduce the capacity.
        Danger: requests that waited in vain in another zone move along with the reads, all at once and
        already late. Counted as overload, they would reduce the capacity of a zone just when it is needed.
        """
        elapsed_s = min((now - self._updated_at) / NS_PER_S, MAX_DECAY_STEP_S) if self._updated_at else 0.0
        self._updated_at = now
        self.rate += (in_time_rate - self.rate) * RATE_SMOOTHING
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
        elif self.probing and now - self.cut_at >= PROBE_RETRIES * self._retry_after_ns:
            self.probing, self._retry_after_ns = False, self._settings.capacity_retry_ns
        self._peak_rate = max(self._peak_rate * (1 - elapsed_s / PEAK_DECAY_S), self.rate)

    def _cut(self, in_time_rate: float, now: int) -> None:
        """Lower the limit to just below the current rate; a cut while probing doubles the retry time."""
        self._learned_limit = max(min(self._learned_limit, max(in_time_rate, self.rate) * CUT_FACTOR), 1.0)
        if self.probing:
            self._retry_after_ns = min(self._retry_after_ns * 2, self._settings.max_capacity_retry_ns)
        self.cut_at, self.probing = now, False

    def limit(self, servers: float) -> float:
        """Return the most requests per second the zone can take with this number of servers in use."""
        configured = self._per_server * servers if self._per_server else UNLIMITED
        return min(configured, self._learned_limit) if servers > 0 else 0.0

    def proven(self, servers: float) -> float:
        """Return the requests per second that the zone can be relied on to take.

        It is the limit if the capacity is configured; else at most the observed peak rate with a margin.
        """
        limit = self.limit(servers)
        return limit if self._per_server else min(limit, max(self._peak_rate, self.rate) * PROVEN_MARGIN)
