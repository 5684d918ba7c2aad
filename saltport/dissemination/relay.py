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

MOST_REMEMBERED = 256  # pushes
HEARTBEAT_STEP = 101  # milliseconds after which a heartbeat has other relays


class Forward(NamedTuple):
    """Pass a push on to these, as this level."""

    level: Level
    targets: tuple[int, ...]


def turn_of(placement: Placement, push: Push) -> int:
    """Of its entry; of its time, if it is a heartbeat."""
    if push.entry is None:
        return placement.turn(0, push.sent // HEARTBEAT_STEP)
    return placement.turn(push.entry.topic, push.entry.number)


class Forwarded:
    """As what pushes were passed on: a router may be a relay of its region and of its site."""

    def __init__(self) -> None:
        self._levels: OrderedDict[tuple[int, int, int], set[Level]] = OrderedDict()

    def levels(self, push: Push) -> set[Level]:
        """Of this push; whoever passes it on adds to them."""
        entry = push.entry
        key = (entry.topic, entry.number, 0) if entry is not None else (0, push.sent, push.epoch)
        levels = self._levels.get(key)
        if levels is None:
            levels = self._levels[key] = set()
            if len(self._levels) > MOST_REMEMBERED:
                self._levels.popitem(last=False)
        return levels


def forwards(me: int, site: Site, push: Push, placement: Placement, done: set[Level]) -> Iterator[Forward]:
    """What a router does with a push; `done`: as what it passed the same one on already, and does now."""
    turn = turn_of(placement, push)
    if push.level is Level.VOTERS and Level.VOTERS not in done:
        done.add(Level.VOTERS)
        for told in placement.regions.get(site.region, ()):
            chosen = _chosen(me, told, turn, placement)
            yield Forward(Level.REGION, tuple(node for node in chosen if node != me))
    relays = push.level is Level.REGION or (
        push.level is Level.VOTERS and me in placement.site_relays(site, turn)
    )
    if relays and Level.REGION not in done:
        done.add(Level.REGION)
        yield from within_site(me, site, turn, placement)


def _chosen(me: int, site: Site, turn: int, placement: Placement) -> tuple[int, ...]:
    """One of a site's relays for each of the region's, in turn; all of them, if my view doesn't choose me."""
    relays, mine = placement.site_relays(site, turn), placement.region_relays(site.region, turn)
    return (relays[mine.index(me) % len(relays)],) if me in mine else relays


def within_site(me: int, site: Site, turn: int, placement: Placement) -> Iterator[Forward]:
    """What a site's relay passes on: all to its fellows, and to each other router by one of them."""
    relays = placement.site_relays(site, turn)
    others = placement.site_order(site, turn)[len(relays) :]
    yield Forward(Level.REGION, tuple(node for node in relays if node != me))
    if me in relays:
        yield Forward(Level.SITE, others[relays.index(me) :: len(relays)])
    else:  # chosen by somebody with another view: tell everybody, twice does no harm
        yield Forward(Level.SITE, others)
