"""A set with random sampling: a list of the members and the index of each. Operations take constant time."""

from __future__ import annotations

import random
from collections.abc import Hashable, Iterable, Iterator
from typing import Generic, TypeVar

Member = TypeVar("Member", bound=Hashable)


class IndexedSet(Generic[Member]):
    """A set whose members can be sampled at random; iteration has no stable order."""

    __slots__ = ("_indexes", "_list")

    def __init__(self, members: Iterable[Member] = ()) -> None:
        self._list = list(dict.fromkeys(members))
        self._indexes = {member: index for index, member in enumerate(self._list)}

    def __len__(self) -> int:
        return len(self._list)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._list)

    def __contains__(self, member: object) -> bool:
        return member in self._indexes

    def add(self, member: Member) -> None:
        """Add a member, if it is not in the set."""
        if member not in self._indexes:
            self._indexes[member] = len(self._list)
            self._list.append(member)

    def discard(self, member: Member) -> None:
        """Remove a member, if it is in the set; the last member of the list moves to its index."""
        index = self._indexes.pop(member, None)
        if index is None:
            return
        last = self._list.pop()
        if index < len(self._list):
            self._list[index] = last
            self._indexes[last] = index

    def sample(self, rng: random.Random) -> Member:
        """Return a random member, all equally likely; raises IndexError if the set is empty."""
        return self._list[int(rng.random() * len(self._list))]

    def sample_two(self, rng: random.Random) -> tuple[Member, Member]:
        """Return two distinct random members, or the only one twice; raises IndexError if there is none."""
        count = len(self._list)
        first = int(rng.random() * count)
        second = first if count < 2 else (first + 1 + int(rng.random() * (count - 1))) % count
        return self._list[first], self._list[second]
