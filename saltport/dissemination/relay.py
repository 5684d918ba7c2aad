"""To whom a relay passes a push on. No I/O.

A region's relay tells one of the relays of each site; a site's relay tells its fellow relays and its share
of the other routers. Each entry has its own relays by its turn.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from saltport.dissemination.messages import Level, Push
from saltport.dissemination.placement import Placement, Site

MAX_REMEMBERED_PUSHES = 256  # pushes
HEARTBEAT_ROTATION_MS = 101  # milliseconds after which a heartbeat has other relays


class Forward(NamedTuple):
    """Pass a push on to these, as this level."""

    level: Level
    targets: tuple[int, ...]


def push_rotation(placement: Placement, push: Push) -> int:
    """Of its entry; of its time, if it is a heartbeat."""
    if push.entry is None:
        return placement.rotation(0, push.sent_ms // HEARTBEAT_ROTATION_MS)
    return placement.rotation(push.entry.topic, push.entry.number)


class ForwardHistory:
    """As what pushes were passed on: a router may be a relay of its region and of its site."""

    def __init__(self) -> None:
        self._levels: OrderedDict[tuple[int, int, int], set[Level]] = OrderedDict()

    def levels(self, push: Push) -> set[Level]:
        """Of this push; whoever passes it on adds to them."""
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
    """What a router does with a push; `done`: as what it passed the same one on already, and does now."""
    rotation = push_rotation(placement, push)
    if push.level is Level.VOTERS and Level.VOTERS not in forwarded_levels:
        forwarded_levels.add(Level.VOTERS)
        for target_site in placement.regions.get(site.region, ()):
            chosen = _chosen(own_node, target_site, rotation, placement)
            yield Forward(Level.REGION, tuple(node for node in chosen if node != own_node))
    relays = push.level is Level.REGION or (
        push.level is Level.VOTERS and own_node in placement.site_relays(site, rotation)
    )
    if relays and Level.REGION not in forwarded_levels:
        forwarded_levels.add(Level.REGION)
        yield from plan_site_forwards(own_node, site, rotation, placement)


def _chosen(own_node: int, site: Site, rotation: int, placement: Placement) -> tuple[int, ...]:
    """One of a site's relays for each of the region's, in turn; all, if its own view doesn't choose it."""
    relays, mine = placement.site_relays(site, rotation), placement.region_relays(site.region, rotation)
    return (relays[mine.index(own_node) % len(relays)],) if own_node in mine else relays


def plan_site_forwards(own_node: int, site: Site, rotation: int, placement: Placement) -> Iterator[Forward]:
    """What a site's relay passes on: all to its fellows, and to each other router by one of them."""
    relays = placement.site_relays(site, rotation)
    others = placement.site_order(site, rotation)[len(relays) :]
    yield Forward(Level.REGION, tuple(node for node in relays if node != own_node))
    if own_node in relays:
        yield Forward(Level.SITE, others[relays.index(own_node) :: len(relays)])
    else:  # chosen by somebody with another view: tell everybody, twice does no harm
        yield Forward(Level.SITE, others)
