"""Combines the reports of all routers about zones into windows of evidence, at the owner. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median_low

from saltport.decisions.interface import NS_PER_S
from saltport.decisions.topology import Topology
from saltport.failover.health import PathSample, weighted_median_share
from saltport.failover.messages import Report
from saltport.failover.settings import FailoverSettings

ROUTER_TIMEOUT_NS = 3 * NS_PER_S  # a zone none of whose routers has reported for this long has no live router
FAST_SMOOTHING, SLOW_SMOOTHING = 0.5, 0.1  # weight of a new window in the smoothed demand
MAX_REPORTS_PER_WINDOW = 8  # limit per router; further reports of a window only replace its latest report


@dataclass(slots=True)
class _Reporter:
    """The reports of one router: the latest, when it arrived, and all of the current window."""

    latest: Report
    received_at: int
    window: list[Report] = field(default_factory=list)


@dataclass(slots=True)
class Window:
    """The combined evidence of all routers since the previous window."""

    samples: dict[tuple[int, int], list[PathSample]] = field(default_factory=dict)
    """By path (source zone, target zone): one sample for each router."""
    origins: dict[tuple[int, int], list[PathSample]] = field(default_factory=dict)
    """By path (source region, region of the origin): one sample for each router."""
    in_time_rates: list[float] = field(default_factory=list)
    """By zone: answers per second that were in time."""
    strained_shares: list[float] = field(default_factory=list)
    """By zone: share of the answered or rejected attempts that were late or rejected."""


class ReportAggregator:
    """Collects the routers' reports and evaluates them window by window."""

    def __init__(self, topology: Topology, settings: FailoverSettings, now: int) -> None:
        self._topology, self._settings = topology, settings
        self._reporters: dict[str, _Reporter] = {}
        self._window_opened_at = now
        zones = len(topology.zones)
        self.fast_demand, self.slow_demand = [0.0] * zones, [0.0] * zones
        """Reads per second by zone, smoothed over one second and over five seconds."""
        self._has_reports = False

    def receive(self, name: str, report: Report, now: int) -> None:
        """Store a report of the router `name`; reports that do not fit the topology are ignored."""
        topology = self._topology
        is_valid = report.topology == topology.digest and 0 <= report.zone < len(topology.zones)
        if not is_valid or len(report.zone_reports) != len(topology.zones) or report.span_ms <= 0:
            return
        reporter = self._reporters.setdefault(name, _Reporter(report, now))
        reporter.latest, reporter.received_at = report, now
        if len(reporter.window) < MAX_REPORTS_PER_WINDOW:
            reporter.window.append(report)

    def recent_reports(self, now: int) -> list[Report]:
        """Return the latest report of each router, without those that are too old."""
        oldest = now - self._settings.report_max_age_ns
        return [reporter.latest for reporter in self._reporters.values() if reporter.received_at >= oldest]

    def follower_count(self, epoch: int, number: int, now: int) -> int:
        """Return how many routers report that they follow this plan or a later one."""
        return sum((report.epoch, report.number) >= (epoch, number) for report in self.recent_reports(now))

    def has_live_routers(self, zone: int, now: int) -> bool:
        """Whether any router of a zone reported recently; the time limit is longer than a restart takes."""
        oldest = now - ROUTER_TIMEOUT_NS
        return any(
            reporter.latest.zone == zone and reporter.received_at >= oldest
            for reporter in self._reporters.values()
        )

    def servers(self, zone: int, now: int) -> float:
        """Return the number of servers in use in a zone.

        It is the median reported by the zone's own routers, else by routers that send attempts there, else
        the number of listed servers.
        """
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
        """Return the number of servers of a zone in the server list."""
        return median_low([report.zone_reports[zone].listed for report in self.recent_reports(now)] or [1])

    def miss_share(self, zone: int, now: int) -> float:
        """Return the share of a zone's answers that were cache misses."""
        rows = [report.zone_reports[zone] for report in self.recent_reports(now)]
        return sum(row.misses for row in rows) / max(sum(row.answered for row in rows), 1)

    def close_window(self, now: int) -> Window:
        """Return the evidence of the current window and start the next one."""
        topology, window = self._topology, Window()
        zones = range(len(topology.zones))
        span = max(now - self._window_opened_at, 1) / NS_PER_S
        self._window_opened_at = now
        answered, strained_counts, attempts = ([0.0] * len(zones) for _ in range(3))
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
                strained_counts[zone] += rejected + late
                attempts[zone] += rejected + answered_count
            samples.setdefault(source, []).append(by_zone)
            source_region = topology.region_index(source)
            for origin_region in range(len(topology.distinct_regions)):
                counts = [
                    report.origins[origin_region]
                    for report in received
                    if origin_region < len(report.origins)
                ]
                answered_count, unanswered = (
                    sum(good_count for good_count, _ in counts),
                    sum(silent_count for _, silent_count in counts),
                )
                if answered_count + unanswered:
                    window.origins.setdefault((source_region, origin_region), []).append(
                        PathSample(answered_count + unanswered, unanswered)
                    )
        for source, by_router in samples.items():
            for by_zone in self._trusted_samples(source, by_router):
                for zone, sample in by_zone.items():
                    window.samples.setdefault((source, zone), []).append(sample)
        window.in_time_rates = [received / span for received in answered]
        window.strained_shares = [
            strained_count / max(attempt_count, 1.0)
            for strained_count, attempt_count in zip(strained_counts, attempts, strict=True)
        ]
        self._learn_demand(now)
        return window

    def _trusted_samples(
        self, source: int, by_router: list[dict[int, PathSample]]
    ) -> list[dict[int, PathSample]]:
        """Return the samples of a zone's routers without those of routers whose own network is faulty.

        Such a router sees its own zone as bad while most routers of the zone see it as good.
        Danger: it sends its attempts to zones that no other router of its zone uses, so its samples alone
        would decide the health of those paths.
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
        """Update the smoothed demand of all zones from the recent reports."""
        recent_reports = self.recent_reports(now)
        for zone in range(len(self._topology.zones)):
            rate = sum(r.demand * 1_000 / r.span_ms for r in recent_reports if r.zone == zone)
            if not self._has_reports:
                self.fast_demand[zone] = self.slow_demand[zone] = rate
            self.fast_demand[zone] += (rate - self.fast_demand[zone]) * FAST_SMOOTHING
            self.slow_demand[zone] += (rate - self.slow_demand[zone]) * SLOW_SMOOTHING
        self._has_reports = self._has_reports or bool(recent_reports)
