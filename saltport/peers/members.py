"""Who is in the fleet: records that merge in any order, the rings on which routers watch, and digests.

A record's order is (start, incarnation, state), after SWIM, section 4.2, with the start number in front: the
greater one holds. So each order of messages, and each double or loss that a later message makes good, ends in
the same record. No I/O; times are nanoseconds on the caller's clock.
"""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right, insort
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from saltport.peers.messages import Alive, Dead, Left, Place, State, Suspect
from saltport.peers.settings import MOST_MEMBERS

PARTS = 16  # of the members' digest
_FINAL = 1 << 62  # in place of an incarnation: nothing of the same start comes after leaving


@lru_cache(maxsize=2 * MOST_MEMBERS)
def hash_of(name: str, salt: int) -> int:
    """32 bits, the same at every router."""
    return int.from_bytes(blake2b(f"{salt}:{name}".encode(), digest_size=4).digest())


@dataclass(slots=True)
class Record:
    """What is held of one router."""

    name: str
    start: int
    incarnation: int
    state: State
    place: Place | None
    """None: only heard of, and never where it is."""
    zone: str
    since: int
    """When it came to this state."""
    restarts: int = 0

    @property
    def live(self) -> bool:
        """Whether it counts as a member: suspicion alone takes nobody out."""
        return self.state <= State.SUSPECT

    @property
    def order(self) -> tuple[int, int, int]:
        """The greater one holds."""
        return (self.start, _FINAL if self.state is State.LEFT else self.incarnation, self.state)

    def update(self, by: str) -> Alive | Dead | Left:
        """This record, to be told; suspicion is told by its accusers."""
        if self.state is State.LEFT:
            return Left(self.name, self.start)
        if self.state is State.DEAD or self.place is None:
            return Dead(self.name, self.start, self.incarnation, by)
        return Alive(self.name, self.start, self.incarnation, self.place, self.zone)


@dataclass(frozen=True, slots=True)
class Change:
    """A record has gone on."""

    record: Record
    before: State | None
    """None: it was unknown."""
    restarted: bool


def order_of(update: Alive | Suspect | Dead | Left) -> tuple[int, int, int]:
    """The order of the record that an update makes."""
    match update:
        case Alive():
            return (update.start, update.incarnation, State.ALIVE)
        case Suspect():
            return (update.start, update.incarnation, State.SUSPECT)
        case Dead():
            return (update.start, update.incarnation, State.DEAD)
        case Left():
            return (update.start, _FINAL, State.LEFT)


class Members:
    """All records, at most `most` of them."""

    def __init__(self, rings: int, most: int) -> None:
        self.records: dict[str, Record] = {}
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(rings)]
        self._most = most
        self.parts = [0] * PARTS
        self.digest = 0
        """Of who is live, with start numbers: equal where two routers believe the same."""
        self.turned_away = 0
        """Routers not taken up, as the table is full of live ones."""
        self._displaced: list[str] = []
        """Dead ones that made room since the last call of `forget`."""

    def __len__(self) -> int:
        return len(self._rings[0])

    def live(self) -> Iterator[Record]:
        """All that count as members."""
        return (self.records[name] for _, name in self._rings[0])

    def is_live(self, name: str) -> bool:
        """Whether a router counts as a member."""
        record = self.records.get(name)
        return record is not None and record.live

    def some(self, count: int, rng: random.Random, but: Collection[str]) -> list[str]:
        """Up to so many live ones at random, without these."""
        ring = self._rings[0]
        places = {rng.randrange(len(ring)) for _ in range(count + len(but))} if ring else set()
        return [name for place in places if (name := ring[place][1]) not in but][:count]

    def merge(self, update: Alive | Suspect | Dead | Left, now: int) -> Change | None:
        """Take an update; None: nothing new in it."""
        record, order = self.records.get(update.name), order_of(update)
        if record is None:
            if isinstance(update, Suspect):
                return None  # nobody knows where it is: who does will tell of it
            if len(self.records) >= self._most and not (isinstance(update, Alive) and self._make_room()):
                self.turned_away += 1
                return None
            record = Record(update.name, update.start, 0, State.DEAD, None, "", now)
            self.records[update.name] = record
            before, restarted = None, False
        elif order <= record.order:
            return None
        else:
            before, restarted = record.state, update.start > record.start
            if restarted and isinstance(update, Suspect):
                return None
            self._count(record, -1)
            record.restarts += restarted
        record.start, record.state = update.start, State(order[2])
        if not isinstance(update, Left):
            record.incarnation = update.incarnation
        elif restarted:
            record.incarnation = 0
        if isinstance(update, Alive):
            record.place, record.zone = update.place, update.zone
        if before is not record.state or restarted:
            record.since = now
        self._count(record, 1)
        return Change(record, before, restarted)

    def _count(self, record: Record, sign: int) -> None:
        if not record.live:
            return
        name = record.name
        mark = hash_of(f"{name}/{record.start}", 0)
        self.parts[mark_part(name)] ^= mark
        self.digest ^= mark
        for salt, ring in enumerate(self._rings):
            entry = (hash_of(name, salt + 1), name)
            if sign > 0:
                insort(ring, entry)
            else:
                del ring[bisect_left(ring, entry)]

    def _make_room(self) -> bool:
        """Drop who has been dead or gone for longest; False: all live."""
        gone = min((r for r in self.records.values() if not r.live), key=lambda r: r.since, default=None)
        if gone is None:
            return False
        del self.records[gone.name]
        self._displaced.append(gone.name)
        return True

    def forget(self, before: int) -> list[str]:
        """Drop who has been dead or gone since before this time; returns all dropped since its last call."""
        displaced, self._displaced = self._displaced, []
        old = [r.name for r in self.records.values() if not r.live and r.since < before]
        for name in old:
            del self.records[name]
        return [*old, *(name for name in displaced if name not in self.records)]

    def watched(self, me: str) -> list[str]:
        """Whom this router asks: the next one on each ring."""
        return self._next_to(me, 1)

    def watchers(self, me: str) -> list[str]:
        """By whom this router is asked, as far as it knows: the one before it on each ring."""
        return self._next_to(me, -1)

    def _next_to(self, me: str, step: int) -> list[str]:
        found: dict[str, None] = {}
        for salt, ring in enumerate(self._rings):
            mine = (hash_of(me, salt + 1), me)
            place = bisect_right(ring, mine) if step > 0 else bisect_left(ring, mine) - 1
            for _ in range(len(ring)):
                name = ring[place % len(ring)][1]
                if name != me and name not in found:
                    found[name] = None
                    break
                place += step
        return list(found)

    def part(self, number: int) -> Iterator[Record]:
        """The records of one part of the digest, dead ones too."""
        return (record for record in self.records.values() if mark_part(record.name) == number)


def mark_part(name: str) -> int:
    """In which part of the digest a name counts."""
    return hash_of(name, 0) % PARTS
