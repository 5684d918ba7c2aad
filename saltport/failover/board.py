"""What all routers told of the zones, gathered by windows. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median_low

from saltport.decisions.interface import NS_PER_S
from saltport.decisions.topology import Topology
from saltport.failover.health import Claim, agreed_share
from saltport.failover.messages import Report
from saltport.failover.settings import FailoverSettings

GONE = 3 * NS_PER_S  # without a word of its routers a zone has none
QUICK, SLOW = 0.5, 0.1  # of a new window in the smoothed demand


@dataclass(slots=True)
class _Teller:
    """One router."""

    latest: Report
    at: int
    window: list[Report] = field(default_factory=list)


@dataclass(slots=True)
class Window:
    """What all told since the last one."""

    claims: dict[tuple[int, int], list[Claim]] = field(default_factory=dict)
    """By path: from a zone to another."""
    origins: dict[tuple[int, int], list[Claim]] = field(default_factory=dict)
    """By path: from a region to the origin of another."""
    in_time: list[float] = field(default_factory=list)
    """Answers a second, by zone."""
    strained: list[float] = field(default_factory=list)
    """Share of the attempts that was late or turned away, by zone."""


class Board:
    """The owner's."""

    def __init__(self, topology: Topology, settings: FailoverSettings, now: int) -> None:
        self._topology, self._settings = topology, settings
        self._tellers: dict[str, _Teller] = {}
        self._closed = now
        zones = len(topology.zones)
        self.quick, self.slow = [0.0] * zones, [0.0] * zones
        """Reads a second by zone, smoothed over a second and over five."""
        self._began = False

    def hear(self, name: str, report: Report, now: int) -> None:
        """Take a router's report."""
        topology = self._topology
        sane = report.topology == topology.digest and 0 <= report.zone < len(topology.zones)
        if not sane or len(report.rows) != len(topology.zones) or report.span_ms <= 0:
            return
        teller = self._tellers.setdefault(name, _Teller(report, now))
        teller.latest, teller.at = report, now
        if len(teller.window) < 8:
            teller.window.append(report)

    def fresh(self, now: int) -> list[Report]:
        """The latest report of each router that told anything lately."""
        least = now - self._settings.fresh
        return [teller.latest for teller in self._tellers.values() if teller.at >= least]

    def followers(self, epoch: int, number: int, now: int) -> int:
        """How many routers say that they follow this plan, or a later one."""
        return sum((report.epoch, report.number) >= (epoch, number) for report in self.fresh(now))

    def tells(self, zone: int, now: int) -> bool:
        """Whether any router of a zone told anything lately, for longer than one of them takes to restart."""
        least = now - GONE
        return any(teller.latest.zone == zone and teller.at >= least for teller in self._tellers.values())

    def servers(self, zone: int, now: int) -> float:
        """Servers in use in a zone: as its own routers say, else as those who ask there, else as listed."""
        fresh = self.fresh(now)
        own = [report.rows[zone].usable for report in fresh if report.zone == zone]
        if own:
            return median_low(own)
        asking = [r.rows[zone].usable for r in fresh if r.rows[zone].answered + r.rows[zone].silent]
        return median_low(asking or [report.rows[zone].listed for report in fresh] or [1])

    def listed(self, zone: int, now: int) -> float:
        """Servers that the list names in a zone."""
        return median_low([report.rows[zone].listed for report in self.fresh(now)] or [1])

    def missed(self, zone: int, now: int) -> float:
        """Of a zone's answers, the share that were misses."""
        rows = [report.rows[zone] for report in self.fresh(now)]
        return sum(row.missed for row in rows) / max(sum(row.answered for row in rows), 1)

    def close(self, now: int) -> Window:
        """End a window."""
        topology, window = self._topology, Window()
        zones = range(len(topology.zones))
        span = max(now - self._closed, 1) / NS_PER_S
        self._closed = now
        answered, strained, attempts = ([0.0] * len(zones) for _ in range(3))
        claims: dict[int, list[dict[int, Claim]]] = {}
        for teller in self._tellers.values():
            held, teller.window = teller.window, []
            if not held:
                continue
            source, found = held[0].zone, {}
            for zone in zones:
                rows = [report.rows[zone] for report in held]
                silent, full = sum(row.silent for row in rows), sum(row.full for row in rows)
                good, late = sum(row.answered for row in rows), sum(row.late for row in rows)
                if silent + full + good:
                    found[zone] = Claim(silent + full + good, silent)
                answered[zone] += good - late
                strained[zone] += full + late
                attempts[zone] += full + good
            claims.setdefault(source, []).append(found)
            area = topology.region_index(source)
            for other in range(len(topology.distinct_regions)):
                told = [report.origins[other] for report in held if other < len(report.origins)]
                good, silent = sum(one for one, _ in told), sum(two for _, two in told)
                if good + silent:
                    window.origins.setdefault((area, other), []).append(Claim(good + silent, silent))
        for source, by in claims.items():
            for found in self._trusted(source, by):
                for zone, claim in found.items():
                    window.claims.setdefault((source, zone), []).append(claim)
        window.in_time = [held / span for held in answered]
        window.strained = [part / max(of, 1.0) for part, of in zip(strained, attempts, strict=True)]
        self._learn_demand(now)
        return window

    def _trusted(self, source: int, by: list[dict[int, Claim]]) -> list[dict[int, Claim]]:
        """Without the routers that find their own zone bad while it is well to the others: it is they.

        Danger: nobody else asks in the zones that such a router turns to: it would speak for all there.
        """
        bad = self._settings.bad_share
        own = [found[source] for found in by if source in found]
        if not own or agreed_share(own) >= bad:
            return by
        return [found for found in by if source not in found or found[source].share < bad]

    def _learn_demand(self, now: int) -> None:
        fresh = self.fresh(now)
        for zone in range(len(self._topology.zones)):
            rate = sum(r.demand * 1_000 / r.span_ms for r in fresh if r.zone == zone)
            if not self._began:
                self.quick[zone] = self.slow[zone] = rate
            self.quick[zone] += (rate - self.quick[zone]) * QUICK
            self.slow[zone] += (rate - self.slow[zone]) * SLOW
        self._began = self._began or bool(fresh)
