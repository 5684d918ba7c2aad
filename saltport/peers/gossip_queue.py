"""The queue of updates to disseminate: least transmitted first, each O(log N) times (SWIM, section 4.1).

No I/O.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator
from dataclasses import dataclass

import msgspec

from saltport.peers.messages import Dead, Suspect, Update, ZoneCut, encode
from saltport.peers.settings import MAX_MEMBERS, NS_PER_MS

RETRANSMIT_MULTIPLIER = 4  # each update is sent this many times log10 of the number of members
MAX_UPDATES = MAX_MEMBERS  # limit of queued updates: as many as a full member table produces


@dataclass(slots=True)
class _QueuedUpdate:
    """An update to disseminate, its encoded size in bytes, when it was queued, and how often it was sent."""

    update: Update
    size: int
    created_at: int
    transmissions: int = 0


def aged(update: Update, age_ns: int) -> Update:
    """Return an update as it reads after a delay: the silence in a suspicion grows with its age."""
    if isinstance(update, Suspect):
        return msgspec.structs.replace(update, silent_ms=update.silent_ms + age_ns // NS_PER_MS)
    return update


class GossipQueue:
    """Updates to disseminate, by subject; a newer update about the same router replaces the older one."""

    def __init__(self) -> None:
        self._levels: list[dict[Hashable, _QueuedUpdate]] = [{}]
        """The updates by the number of their transmissions."""
        self._level_of: dict[Hashable, int] = {}
        self._suspected_by: dict[str, set[str]] = {}
        """The accusers with a queued suspicion, by the suspected router."""

    def __len__(self) -> int:
        return len(self._level_of)

    @property
    def unsent(self) -> int:
        """The number of updates not transmitted yet."""
        return len(self._levels[0])

    def enqueue(self, update: Update, now: int) -> None:
        """Queue an update for dissemination, replacing older updates about the same subject."""
        key: Hashable = ("state", update.name)
        if isinstance(update, Suspect):
            key = ("suspect", update.name, update.accuser)
        elif isinstance(update, ZoneCut):
            key = ("row", update.name)
        else:
            self.drop_suspicions(update.name)
        self._remove(key)
        if len(self._level_of) >= MAX_UPDATES:
            self._evict_oldest()
        size = len(encode(update)) + (2 if isinstance(update, Suspect) else 0)
        self._put(key, _QueuedUpdate(update, size, now), 0)

    def _evict_oldest(self) -> None:
        """Remove the oldest of the most transmitted updates, which nearly all routers have received."""
        most_transmitted = next(level for level in reversed(self._levels) if level)
        self._remove(next(iter(most_transmitted)))

    def _put(self, key: Hashable, queued: _QueuedUpdate, level: int) -> None:
        """Add an update under its key at the level of its number of transmissions."""
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][key] = queued
        self._level_of[key] = level
        if isinstance(queued.update, Suspect):
            self._suspected_by.setdefault(queued.update.name, set()).add(queued.update.accuser)

    def _remove(self, key: Hashable) -> None:
        """Remove the update with this key, if there is one."""
        level = self._level_of.pop(key, None)
        if level is None:
            return
        update = self._levels[level].pop(key).update
        if isinstance(update, Suspect):
            suspected_by = self._suspected_by[update.name]
            suspected_by.discard(update.accuser)
            if not suspected_by:
                del self._suspected_by[update.name]

    def drop_suspicions(self, name: str) -> None:
        """Remove the queued suspicions of a router, which are out of date."""
        for accuser in list(self._suspected_by.get(name, ())):
            self._remove(("suspect", name, accuser))

    def drop_suspicions_and_deaths(self) -> None:
        """Remove all queued suspicions and deaths, which a pause has made out of date."""
        for level in self._levels:
            for key in [key for key, queued in level.items() if isinstance(queued.update, Suspect | Dead)]:
                self._remove(key)

    def pick(self, room_bytes: int, members: int, now: int) -> Iterator[Update]:
        """Yield updates that fit into a number of bytes, counting one more transmission of each."""
        max_transmissions = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 2))
        picked: list[tuple[Hashable, _QueuedUpdate]] = []
        for level_number, level in enumerate(self._levels):
            for key, queued in level.items():
                if queued.size <= room_bytes:
                    room_bytes -= queued.size
                    picked.append((key, queued))
                if room_bytes < 12:
                    break
            if room_bytes < 12 or level_number >= max_transmissions:
                break
        for key, queued in picked:
            self._remove(key)
            queued.transmissions += 1
            if queued.transmissions < max_transmissions:
                self._put(key, queued, queued.transmissions)
            yield aged(queued.update, now - queued.created_at)
