"""Reachability: which members were heard recently, directly or through helpers, by zone. No I/O.

It is independent of whether a member is alive.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from saltport.peers.members import Members, Record
from saltport.peers.messages import ZoneCut

MIN_CUT_MEMBERS = 2  # a zone is reported as cut if at least so many of its members are not heard directly
MAX_CUT_ZONES = 8  # limit of the zones in one update
MAX_HELPERS = 3  # limit of the helpers stored for one member


@dataclass(frozen=True, slots=True)
class ZoneReach:
    """The reachability of one zone: counts of its live members other than this router."""

    direct: int
    """Heard on the direct path within the window."""
    relayed: int
    """Heard within the window only through helpers."""
    unheard: int
    """Probed within the window, but not heard."""
    unknown: int
    """Neither heard nor probed within the window."""


class Reach:
    """When each member was last heard or probed, and the zone cuts reported by other routers."""

    def __init__(self, window_ns: int) -> None:
        self._window_ns = window_ns
        self.direct_at: dict[str, int] = {}
        """When each member was last heard on the direct path."""
        self.relayed_at: dict[str, int] = {}
        """When each member was last heard through a helper."""
        self.probed_at: dict[str, int] = {}
        """When the last direct probe of each member started whose answer is overdue."""
        self._helpers: dict[str, dict[str, None]] = {}
        self.zone_cuts: dict[str, ZoneCut] = {}
        self.cut_zones: tuple[str, ...] = ()
        self.version = 0

    def record_direct(self, name: str, now: int) -> None:
        """Record that a datagram of a member arrived directly."""
        self.direct_at[name] = now

    def record_relayed(self, name: str, helper: str, now: int) -> None:
        """Record that a helper heard a member; the helper is preferred for its next indirect probe."""
        self.relayed_at[name] = now
        helpers = self._helpers.setdefault(name, {})
        helpers.pop(helper, None)
        helpers[helper] = None
        if len(helpers) > MAX_HELPERS:
            del helpers[next(iter(helpers))]

    def heard_at(self, name: str) -> int:
        """Return when a member was last heard on any path, or 0."""
        return max(self.direct_at.get(name, 0), self.relayed_at.get(name, 0))

    def helpers(self, name: str) -> list[str]:
        """Return the routers that heard a member when this router did not, the latest first."""
        return list(reversed(self._helpers.get(name, ())))

    def forget(self, name: str) -> None:
        """Remove all data about a member."""
        for table in (self.direct_at, self.relayed_at, self.probed_at, self._helpers, self.zone_cuts):
            table.pop(name, None)

    def merge_zone_cut(self, zone_cut: ZoneCut) -> bool:
        """Store the zone cut reported by another router; returns whether it is newer than the stored one."""
        known = self.zone_cuts.get(zone_cut.name)
        if known is not None and (known.start, known.version) >= (zone_cut.start, zone_cut.version):
            return False
        self.zone_cuts[zone_cut.name] = zone_cut
        return True

    def kind(self, record: Record, now: int) -> str:
        """Return how a member is reached: `direct`, `relayed`, `unheard` or `unknown`."""
        since = now - self._window_ns
        if self.direct_at.get(record.name, 0) > since:
            return "direct"
        if self.relayed_at.get(record.name, 0) > since:
            return "relayed"
        return "unheard" if self.probed_at.get(record.name, 0) > since else "unknown"

    def zones(self, members: Members, me: str, now: int) -> dict[str, ZoneReach]:
        """Return the reachability of each zone."""
        counts: dict[str, Counter[str]] = {}
        for record in members.live():
            if record.name != me:
                counts.setdefault(record.zone, Counter())[self.kind(record, now)] += 1
        return {
            zone: ZoneReach(count["direct"], count["relayed"], count["unheard"], count["unknown"])
            for zone, count in sorted(counts.items())
        }

    def next_zone_cut(self, members: Members, me: str, start: int, now: int) -> ZoneCut | None:
        """Return an update with the zones in which this router hears no member directly.

        Return None if they are the same as in the previous update.
        """
        cut_zones = tuple(
            zone
            for zone, reach in self.zones(members, me, now).items()
            if not reach.direct and reach.relayed + reach.unheard >= MIN_CUT_MEMBERS
        )[:MAX_CUT_ZONES]
        if cut_zones == self.cut_zones:
            return None
        self.cut_zones = cut_zones
        self.version += 1
        return ZoneCut(me, start, self.version, cut_zones)

    def cut_by(self, members: Iterable[Record]) -> dict[str, list[str]]:
        """Return, by zone, the live routers that report hearing no member of it."""
        reporters: dict[str, list[str]] = {}
        for record in members:
            zone_cut = self.zone_cuts.get(record.name)
            if zone_cut is not None and zone_cut.start == record.start:
                for zone in zone_cut.zones:
                    reporters.setdefault(zone, []).append(record.name)
        return reporters
