"""Chooses relays by rotating a hash order of live members; nodes with the same view choose the same relays.

The relays of each site and region rotate with the entry number, so that all routers share the work of
relaying, and a dead or slow relay delays only its own entries. Nodes with different views choose different
relays: that costs bytes but never order, because entries are applied by number.
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


def _hash_rank(place: str, node: int) -> bytes:
    """Return the sort key of a node in the hash order of a site or region."""
    return blake2b(f"{place}/{node}".encode(), digest_size=8).digest()


class Placement:
    """Relays by rotation, for one view of the live routers."""

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
        """Return nodes in the hash order of a site or region, which is the same at every node."""
        return tuple(sorted(nodes, key=lambda node: _hash_rank(place, node)))

    @property
    def regions(self) -> Mapping[str, list[Site]]:
        """The sites that have live routers, by region."""
        return self._regions

    @staticmethod
    def rotation(topic: int, number: int) -> int:
        """Return the rotation that selects an entry's relays; topic 0 is for heartbeats and collectors."""
        return number + 7 * topic

    def site(self, node: int) -> Site | None:
        """Return the site of a router, or None if the router is not in this view."""
        return self._site_of.get(node)

    def site_order(self, site: Site, rotation: int) -> tuple[int, ...]:
        """All live routers of a site, the relays of this rotation first."""
        return self._order("site", site.name, rotation)

    def site_relays(self, site: Site, rotation: int) -> tuple[int, ...]:
        """Relays of a site in this rotation."""
        return self._order("site", site.name, rotation)[: self._relay_count["site"]]

    def region_order(self, region: str, rotation: int) -> tuple[int, ...]:
        """All live routers of a region, the relays of this rotation first."""
        return self._order("region", region, rotation)

    def region_relays(self, region: str, rotation: int) -> tuple[int, ...]:
        """Relays of a region in this rotation."""
        return self._order("region", region, rotation)[: self._relay_count["region"]]

    def _order(self, kind: str, name: str, rotation: int) -> tuple[int, ...]:
        """Return the nodes of a site or region, starting with the relays of a rotation.

        `kind` is "site" or "region"; the result is empty if there is no such site or region.
        """
        order = self._orders.get((kind, name), ())
        if not order:
            return order
        first = rotation * self._relay_count[kind] % len(order)
        rotated = self._rotations.get((kind, name, first))
        if rotated is None:
            rotated = self._rotations[kind, name, first] = order[first:] + order[:first]
        return rotated
