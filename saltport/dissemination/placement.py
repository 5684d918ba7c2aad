"""Who relays what: a turn by hash order over live members, computed alike by all who hold the same view.

Each entry has its own relays in each site and region, in turn, so that relaying is shared evenly by all
routers, and a dead or slow relay delays its own entries only. Two who hold different views choose different
relays: that costs bytes, and never order, because entries are taken by their numbers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from saltport.dissemination.settings import DisseminationSettings


@dataclass(frozen=True, slots=True)
class Site:
    """A site's name, its region, and the node numbers of its live routers."""

    name: str
    region: str
    members: tuple[int, ...]


def _score(place: str, node: int) -> bytes:
    return blake2b(f"{place}/{node}".encode(), digest_size=8).digest()


class Placement:
    """Relays by turn, from one view of the live routers."""

    def __init__(
        self, sites: Iterable[Site], voters: tuple[int, ...], settings: DisseminationSettings
    ) -> None:
        self.voters = voters
        self._relay_count = {"site": settings.site_relays, "region": settings.region_relays}
        self._site_of: dict[int, Site] = {}
        self._regions: dict[str, list[Site]] = {}
        members: dict[str, list[int]] = {}
        self._orders: dict[tuple[str, str], tuple[int, ...]] = {}
        for site in sites:
            if not site.members:
                continue
            self._site_of.update(dict.fromkeys(site.members, site))
            self._regions.setdefault(site.region, []).append(site)
            members.setdefault(site.region, []).extend(site.members)
            self._orders["site", site.name] = self._hash_order(site.name, site.members)
        for region, nodes in members.items():
            self._orders["region", region] = self._hash_order(region, nodes)
        self._rotations: dict[tuple[str, str, int], tuple[int, ...]] = {}

    @staticmethod
    def _hash_order(place: str, nodes: Iterable[int]) -> tuple[int, ...]:
        return tuple(sorted(nodes, key=lambda node: _score(place, node)))

    @property
    def regions(self) -> Mapping[str, list[Site]]:
        """The sites that have live routers, by region."""
        return self._regions

    @staticmethod
    def rotation(topic: int, number: int) -> int:
        """Which relays an entry has; topic 0: a heartbeat, or a time of collecting acknowledgements."""
        return number + 7 * topic

    def site(self, node: int) -> Site | None:
        """Where a router is; None: this view doesn't have it."""
        return self._site_of.get(node)

    def site_order(self, site: Site, rotation: int) -> tuple[int, ...]:
        """All live routers of a site, this turn's relays first."""
        return self._order("site", site.name, rotation)

    def site_relays(self, site: Site, rotation: int) -> tuple[int, ...]:
        """Those to which a site's copies come."""
        return self._order("site", site.name, rotation)[: self._relay_count["site"]]

    def region_order(self, region: str, rotation: int) -> tuple[int, ...]:
        """All live routers of a region, this turn's relays first."""
        return self._order("region", region, rotation)

    def region_relays(self, region: str, rotation: int) -> tuple[int, ...]:
        """Those to which a region's copies come."""
        return self._order("region", region, rotation)[: self._relay_count["region"]]

    def _order(self, kind: str, name: str, rotation: int) -> tuple[int, ...]:
        order = self._orders.get((kind, name), ())
        if not order:
            return order
        first = rotation * self._relay_count[kind] % len(order)
        rotated = self._rotations.get((kind, name, first))
        if rotated is None:
            rotated = self._rotations[kind, name, first] = order[first:] + order[:first]
        return rotated
