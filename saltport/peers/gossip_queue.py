"""What is to be told further, the least told first; each some log(N) times (SWIM, section 4.1). No I/O."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterator
from dataclasses import dataclass

import msgspec

from saltport.peers.messages import Dead, Row, Suspect, Update, encode
from saltport.peers.settings import MOST_MEMBERS, NS_PER_MS

TELLINGS = 4  # times log10 of the members
MOST = MOST_MEMBERS  # updates held: as many as a full table makes


@dataclass(slots=True)
class _QueuedUpdate:
    update: Update
    size: int
    made: int
    told: int = 0


def aged(update: Update, by: int) -> Update:
    """An update as it reads so many nanoseconds later."""
    if isinstance(update, Suspect):
        return msgspec.structs.replace(update, silent_ms=update.silent_ms + by // NS_PER_MS)
    return update


class GossipQueue:
    """Updates by what they are about: a newer one of a router takes the place of the older."""

    def __init__(self) -> None:
        self._levels: list[dict[Hashable, _QueuedUpdate]] = [{}]
        """By how often they were told."""
        self._level_of: dict[Hashable, int] = {}
        self._suspected_by: dict[str, set[str]] = {}
        """By the suspected router, who suspects it."""

    def __len__(self) -> int:
        return len(self._level_of)

    @property
    def fresh(self) -> int:
        """How many were never told."""
        return len(self._levels[0])

    def tell(self, update: Update, now: int) -> None:
        """Spread an update from now on."""
        key: Hashable = ("state", update.name)
        if isinstance(update, Suspect):
            key = ("suspect", update.name, update.accuser)
        elif isinstance(update, Row):
            key = ("row", update.name)
        else:
            self.drop_suspicions(update.name)
        self._remove(key)
        if len(self._level_of) >= MOST:
            self._make_room()
        size = len(encode(update)) + (2 if isinstance(update, Suspect) else 0)
        self._put(key, _QueuedUpdate(update, size, now), 0)

    def _make_room(self) -> None:
        """Drop the oldest of those told most often: news goes before what nearly all have heard."""
        told_most = next(level for level in reversed(self._levels) if level)
        self._remove(next(iter(told_most)))

    def _put(self, key: Hashable, queued: _QueuedUpdate, level: int) -> None:
        while len(self._levels) <= level:
            self._levels.append({})
        self._levels[level][key] = queued
        self._level_of[key] = level
        if isinstance(queued.update, Suspect):
            self._suspected_by.setdefault(queued.update.name, set()).add(queued.update.accuser)

    def _remove(self, key: Hashable) -> None:
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
        """Whatever is said against a router is out of date."""
        for accuser in list(self._suspected_by.get(name, ())):
            self._remove(("suspect", name, accuser))

    def drop_judgements(self) -> None:
        """Spread no suspicion and no death any more: they are old news."""
        for level in self._levels:
            for key in [key for key, held in level.items() if isinstance(held.update, Suspect | Dead)]:
                self._remove(key)

    def pick(self, room: int, members: int, now: int) -> Iterator[Update]:
        """As much as fits in so many bytes; each counts as told once more."""
        most = TELLINGS * math.ceil(math.log10(members + 2))
        taken: list[tuple[Hashable, _QueuedUpdate]] = []
        for number, level in enumerate(self._levels):
            for key, held in level.items():
                if held.size <= room:
                    room -= held.size
                    taken.append((key, held))
                if room < 12:
                    break
            if room < 12 or number >= most:
                break
        for key, held in taken:
            self._remove(key)
            held.told += 1
            if held.told < most:
                self._put(key, held, held.told)
            yield aged(held.update, now - held.made)
