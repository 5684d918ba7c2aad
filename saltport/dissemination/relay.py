"""To whom a relay passes a push on. No I/O.

A region's relay tells the relays of each site; a site's relay tells its fellow relays and its share of the
other routers. Each entry has its own relays by its turn.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple

from saltport.dissemination.messages import Level, Push
from saltport.dissemination.placement import Placement, Site

MOST_REMEMBERED = 256  # pushes


class Forward(NamedTuple):
    """Pass a push on to these, as this level."""

    level: Level
    targets: tuple[int, ...]


def turn_of(placement: Placement, push: Push) -> int:
    """Of its entry; of its beat, if it is a heartbeat."""
    if push.entry is None:
        return placement.turn(0, push.beat)
    return placement.turn(push.entry.topic, push.entry.number)


class Forwarded:
    """Which pushes were passed on, and as what: a router may be a relay of its region and of its site."""

    def __init__(self) -> None:
        self._levels: OrderedDict[tuple[int, int, int], Level] = OrderedDict()

    def admit(self, push: Push) -> Level:
        """Remember as what it is passed on now; returns as what it was before, `SITE`: not at all."""
        entry = push.entry
        key = (entry.topic, entry.number, 0) if entry is not None else (0, push.beat, push.epoch)
        before = self._levels.get(key, Level.SITE)
        self._levels[key] = max(before, push.level)
        if len(self._levels) > MOST_REMEMBERED:
            self._levels.popitem(last=False)
        return before


def forwards(
    me: int, site: Site, push: Push, placement: Placement, before: Level = Level.SITE
) -> Iterator[Forward]:
    """What a router does with a push; `before`: as what it passed the same one on already."""
    turn = turn_of(placement, push)
    if push.level is Level.VOTERS and before < Level.VOTERS:
        for told in placement.regions.get(site.region, ()):
            relays = placement.site_relays(told, turn)
            yield Forward(Level.REGION, tuple(node for node in relays if node != me))
            if me in relays and before < Level.REGION:
                yield from within_site(me, told, turn, placement)
    elif push.level is Level.REGION and before < Level.REGION:
        yield from within_site(me, site, turn, placement)


def within_site(me: int, site: Site, turn: int, placement: Placement) -> Iterator[Forward]:
    """What a site's relay passes on: all to its fellows, and to each other router by one of them."""
    relays = placement.site_relays(site, turn)
    others = placement.site_order(site, turn)[len(relays) :]
    yield Forward(Level.REGION, tuple(node for node in relays if node != me))
    if me in relays:
        yield Forward(Level.SITE, others[relays.index(me) :: len(relays)])
    else:  # chosen by somebody with another view: tell everybody, twice does no harm
        yield Forward(Level.SITE, others)
