"""What all routers told of the zones, gathered by windows. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median_low

from saltport.decisions.interface import NS_PER_S
from saltport.decisions.topology import Topology
from saltport.failover.health import PathSample, weighted_median_share
from saltport.failover.messages import Report
from saltport.failover.settings import FailoverSettings

ROUTER_TIMEOUT_NS = 3 * NS_PER_S  # without a word of its routers a zone has none
FAST_SMOOTHING, SLOW_SMOOTHING = 0.5, 0.1  # of a new window in the smoothed demand


@dataclass(slots=True)
class _Reporter:
    """One router."""

    latest: Report
    received_at: int
    window: list[Report] = field(default_factory=list)


@dataclass(slots=True)
class Window:
    """What all told since the last one."""

    samples: dict[tuple[int, int], list[PathSample]] = field(default_factory=dict)
    """By path: from a zone to another."""
    origins: dict[tuple[int, int], list[PathSample]] = field(default_factory=dict)
    """By path: from a region to the origin of another."""
    in_time_rates: list[float] = field(default_factory=list)
    """Answers a second, by zone."""
    strained_shares: list[float] = field(default_factory=list)
    """Share of the attempts that was late or turned away, by zone."""


class ReportAggregator:
    """The owner's."""

    def __init__(self, topology: Topology, settings: FailoverSettings, now: int) -> None:
        self._topology, self._settings = topology, settings
        self._reporters: dict[str, _Reporter] = {}
        self._window_opened_at = now
        zones = len(topology.zones)
        self.fast_demand, self.slow_demand = [0.0] * zones, [0.0] * zones
        """Reads a second by zone, smoothed over a second and over five."""
        self._has_reports = False

    def receive(self, name: str, report: Report, now: int) -> None:
        """Take a router's report."""
        topology = self._topology
        is_valid = report.topology == topology.digest and 0 <= report.zone < len(topology.zones)
        if not is_valid or len(report.zone_reports) != len(topology.zones) or report.span_ms <= 0:
            return
        reporter = self._reporters.setdefault(name, _Reporter(report, now))
        reporter.latest, reporter.received_at = report, now
        if len(reporter.window) < 8:
            reporter.window.append(report)

    def recent_reports(self, now: int) -> list[Report]:
        """The latest report of each router that told anything lately."""
        oldest = now - self._settings.report_max_age_ns
        return [reporter.latest for reporter in self._reporters.values() if reporter.received_at >= oldest]

    def follower_count(self, epoch: int, number: int, now: int) -> int:
        """How many routers say that they follow this plan, or a later one."""
        return sum((report.epoch, report.number) >= (epoch, number) for report in self.recent_reports(now))

    def has_live_routers(self, zone: int, now: int) -> bool:
        """Whether any router of a zone told anything lately, for longer than one of them takes to restart."""
        oldest = now - ROUTER_TIMEOUT_NS
        return any(
            reporter.latest.zone == zone and reporter.received_at >= oldest
            for reporter in self._reporters.values()
        )

    def servers(self, zone: int, now: int) -> float:
        """Servers in use in a zone: as its own routers say, else as those who ask there, else as listed."""
        recent_reports = self.recent_reports(now)
        own_zone = [report.zone_reports[zone].usable for report in recent_reports if report.zone == zone]
        if own_zone:
            return median_low(own_zone)
        callers = [
            r.zone_reports[zone].usable
            for r in recent_reports
            if r.zone_reports[zone].answered + r.zone_reports[zone].unanswered
        ]
        return median_low(callers or [report.zone_reports[zone].listed for report in recent_reports] or [1])

    def listed(self, zone: int, now: int) -> float:
        """Servers that the list names in a zone."""
        return median_low([report.zone_reports[zone].listed for report in self.recent_reports(now)] or [1])

    def miss_share(self, zone: int, now: int) -> float:
        """Of a zone's answers, the share that were misses."""
        rows = [report.zone_reports[zone] for report in self.recent_reports(now)]
        return sum(row.misses for row in rows) / max(sum(row.answered for row in rows), 1)

    def close_window(self, now: int) -> Window:
        """End a window."""
        topology, window = self._topology, Window()
        zones = range(len(topology.zones))
        span = max(now - self._window_opened_at, 1) / NS_PER_S
        self._window_opened_at = now
        answered, strained_shares, attempts = ([0.0] * len(zones) for _ in range(3))
        samples: dict[int, list[dict[int, PathSample]]] = {}
        for reporter in self._reporters.values():
            received, reporter.window = reporter.window, []
            if not received:
                continue
            source, by_zone = received[0].zone, {}
            for zone in zones:
                rows = [report.zone_reports[zone] for report in received]
                unanswered, rejected = sum(row.unanswered for row in rows), sum(row.rejected for row in rows)
                answered_count, late = sum(row.answered for row in rows), sum(row.late for row in rows)
                if unanswered + rejected + answered_count:
                    by_zone[zone] = PathSample(unanswered + rejected + answered_count, unanswered)
                answered[zone] += answered_count - late
                strained_shares[zone] += rejected + late
                attempts[zone] += rejected + answered_count
            samples.setdefault(source, []).append(by_zone)
            source_area = topology.area_of(source)
            for origin_area in range(len(topology.areas)):
                counts = [
                    report.origins[origin_area] for report in received if origin_area < len(report.origins)
                ]
                answered_count, unanswered = (
                    sum(good_count for good_count, _ in counts),
                    sum(silent_count for _, silent_count in counts),
                )
                if answered_count + unanswered:
                    window.origins.setdefault((source_area, origin_area), []).append(
                        PathSample(answered_count + unanswered, unanswered)
                    )
        for source, by_router in samples.items():
            for by_zone in self._trusted(source, by_router):
                for zone, sample in by_zone.items():
                    window.samples.setdefault((source, zone), []).append(sample)
        window.in_time_rates = [received / span for received in answered]
        window.strained_shares = [
            strained_count / max(attempt_count, 1.0)
            for strained_count, attempt_count in zip(strained_shares, attempts, strict=True)
        ]
        self._learn_demand(now)
        return window

    def _trusted(self, source: int, by_router: list[dict[int, PathSample]]) -> list[dict[int, PathSample]]:
        """Without the routers that find their own zone bad while it is well to the others: it is they.

        Danger: nobody else asks in the zones that such a router turns to: it would speak for all there.
        """
        bad = self._settings.bad_share
        own_zone = [by_zone[source] for by_zone in by_router if source in by_zone]
        if not own_zone or weighted_median_share(own_zone) >= bad:
            return by_router
        return [
            by_zone
            for by_zone in by_router
            if source not in by_zone or by_zone[source].unanswered_share < bad
        ]

    def _learn_demand(self, now: int) -> None:
        recent_reports = self.recent_reports(now)
        for zone in range(len(self._topology.zones)):
            rate = sum(r.demand * 1_000 / r.span_ms for r in recent_reports if r.zone == zone)
            if not self._has_reports:
                self.fast_demand[zone] = self.slow_demand[zone] = rate
            self.fast_demand[zone] += (rate - self.fast_demand[zone]) * FAST_SMOOTHING
            self.slow_demand[zone] += (rate - self.slow_demand[zone]) * SLOW_SMOOTHING
        self._has_reports = self._has_reports or bool(recent_reports)
