"""Which nodes a relay forwards a push to. No I/O.

A relay of a region forwards to one relay of each site. A relay of a site forwards to the other relays of the
site and to its share of the remaining routers. Each entry has its own relays, chosen by its rotation.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from saltport.dissemination.messages import Level, Push
from saltport.dissemination.placement import Placement, Site

MAX_REMEMBERED_PUSHES = 256  # limit of the pushes in the history of forwards
HEARTBEAT_ROTATION_MS = 101  # interval after which heartbeats use other relays


class Forward(NamedTuple):
    """Nodes to forward a push to, and the level the forwarded push carries."""

    level: Level
    targets: tuple[int, ...]


def push_rotation(placement: Placement, push: Push) -> int:
    """Rotation that selects the relays of a push: by its entry, or by its send time for a heartbeat."""
    if push.entry is None:
        return placement.rotation(0, push.sent_ms // HEARTBEAT_ROTATION_MS)
    return placement.rotation(push.entry.topic, push.entry.number)


class ForwardHistory:
    """Levels at which recent pushes were forwarded.

    A router may relay the same push both for its region and for its site.
    """

    def __init__(self) -> None:
        self._levels: OrderedDict[tuple[int, int, int], set[Level]] = OrderedDict()

    def levels(self, push: Push) -> set[Level]:
        """Set of levels at which a push was forwarded; the caller adds to it when it forwards the push."""
        entry = push.entry
        key = (entry.topic, entry.number, 0) if entry is not None else (0, push.sent_ms, push.epoch)
        levels = self._levels.get(key)
        if levels is None:
            levels = self._levels[key] = set()
            if len(self._levels) > MAX_REMEMBERED_PUSHES:
                self._levels.popitem(last=False)
        return levels


def plan_forwards(
    own_node: int, site: Site, push: Push, placement: Placement, forwarded_levels: set[Level]
) -> Iterator[Forward]:
    """Yield the forwards of a push by this router, and add their levels to `forwarded_levels`.

    Levels that are already in `forwarded_levels` are skipped.
    """
    rotation = push_rotation(placement, push)
    if push.level is Level.VOTERS and Level.VOTERS not in forwarded_levels:
        forwarded_levels.add(Level.VOTERS)
        for target_site in placement.regions.get(site.region, ()):
            chosen = _assigned_relays(own_node, target_site, rotation, placement)
            yield Forward(Level.REGION, tuple(node for node in chosen if node != own_node))
    relays = push.level is Level.REGION or (
        push.level is Level.VOTERS and own_node in placement.site_relays(site, rotation)
    )
    if relays and Level.REGION not in forwarded_levels:
        forwarded_levels.add(Level.REGION)
        yield from plan_site_forwards(own_node, site, rotation, placement)


def _assigned_relays(own_node: int, site: Site, rotation: int, placement: Placement) -> tuple[int, ...]:
    """Return the one relay of a site that this router, a relay of the region, forwards to.

    If this router is not a relay of the region in its own view, return all relays of the site.
    """
    relays, mine = placement.site_relays(site, rotation), placement.region_relays(site.region, rotation)
    return (relays[mine.index(own_node) % len(relays)],) if own_node in mine else relays


def plan_site_forwards(own_node: int, site: Site, rotation: int, placement: Placement) -> Iterator[Forward]:
    """Yield a site relay's forwards: to the other relays, and to its share of the remaining routers."""
    relays = placement.site_relays(site, rotation)
    others = placement.site_order(site, rotation)[len(relays) :]
    yield Forward(Level.REGION, tuple(node for node in relays if node != own_node))
    if own_node in relays:
        yield Forward(Level.SITE, others[relays.index(own_node) :: len(relays)])
    else:  # chosen under another view: forward to all, because duplicates are ignored
        yield Forward(Level.SITE, others)
