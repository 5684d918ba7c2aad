"""A set that can be drawn from: a list with the place of each member; all takes constant time."""

from __future__ import annotations

import random
from collections.abc import Hashable, Iterable, Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member", bound=Hashable)


class IndexedSet(Generic[Member]):
    """Members in no stable order."""

    __slots__ = ("_list", "_places")

    def __init__(self, members: Iterable[Member] = ()) -> None:
        self._list = list(dict.fromkeys(members))
        self._places = {member: place for place, member in enumerate(self._list)}

    def __len__(self) -> int:
        return len(self._list)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._list)

    def __contains__(self, member: object) -> bool:
        return member in self._places

    def add(self, member: Member) -> None:
        """Take a member in."""
        if member not in self._places:
            self._places[member] = len(self._list)
            self._list.append(member)

    def discard(self, member: Member) -> None:
        """Let a member go; the last one gets its place."""
        place = self._places.pop(member, None)
        if place is None:
            return
        last = self._list.pop()
        if place < len(self._list):
            self._list[place] = last
            self._places[last] = place

    def draw(self, rng: random.Random) -> Member:
        """Any member, each as likely; raises IndexError when there is none."""
        return self._list[int(rng.random() * len(self._list))]

    def two(self, rng: random.Random) -> tuple[Member, Member]:
        """Two members, different ones where there are two; raises IndexError when there is none."""
        count = len(self._list)
        first = int(rng.random() * count)
        second = first if count < 2 else (first + 1 + int(rng.random() * (count - 1))) % count
        return self._list[first], self._list[second]
