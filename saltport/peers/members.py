"""The table of member records, the hash rings that assign probes, and the digests of live members.

Records are ordered by (start, incarnation, state): the precedence of SWIM, section 4.2, preceded by the
start number. The greater record wins, so updates that are reordered, duplicated, or lost and sent again end
in the same record. No I/O; times are nanoseconds on the caller's clock.
"""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right, insort
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b

from saltport.peers.messages import Alive, Dead, Left, Place, State, Suspect
from saltport.peers.settings import MAX_MEMBERS

DIGEST_PARTS = 16  # number of parts of the member table, whose digests are compared one by one in a sync
# Compared in place of a departed router's incarnation: no update of the same start supersedes a departure.
_FINAL = 1 << 62


@lru_cache(maxsize=2 * MAX_MEMBERS)
def hash_of(name: str, salt: int) -> int:
    """Return a 32-bit hash of a name with a salt, equal at every router."""
    return int.from_bytes(blake2b(f"{salt}:{name}".encode(), digest_size=4).digest())


@dataclass(slots=True)
class Record:
    """What this router knows of one member."""

    name: str
    start: int
    incarnation: int
    state: State
    place: Place | None
    """The address; None where only the name is known so far."""
    zone: str
    since: int
    """When the record entered its present state."""
    restarts: int = 0

    @property
    def live(self) -> bool:
        """Whether the router counts as a member; a suspected one still does."""
        return self.state <= State.SUSPECT

    @property
    def order(self) -> tuple[int, int, int]:
        """The precedence of this record; the greater one wins a merge."""
        return (self.start, _FINAL if self.state is State.LEFT else self.incarnation, self.state)

    def update(self, declared_by: str) -> Alive | Dead | Left:
        """Return this record as an update to disseminate.

        A suspected member is sent as alive, as its accusers send the suspicion.
        """
        if self.state is State.LEFT:
            return Left(self.name, self.start)
        if self.state is State.DEAD or self.place is None:
            return Dead(self.name, self.start, self.incarnation, declared_by)
        return Alive(self.name, self.start, self.incarnation, self.place, self.zone)


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a record by a merged update."""

    record: Record
    previous_state: State | None
    """The state before the change; None where the record is new."""
    restarted: bool


def order_of(update: Alive | Suspect | Dead | Left) -> tuple[int, int, int]:
    """Return the precedence of the record that an update would produce: start, incarnation and state."""
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
    """The table of member records, limited to `max_records`."""

    def __init__(self, rings: int, max_records: int) -> None:
        self.records: dict[str, Record] = {}
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(rings)]
        self._max_records = max_records
        self.part_digests = [0] * DIGEST_PARTS
        self.digest = 0
        """The XOR of hashes of live members and their starts: equal where two routers know the same
        members.
        """
        self.turned_away = 0
        """The number of new routers rejected because the table was full."""
        self._evicted: list[str] = []
        """The names of dead members removed to make room since the last call of `forget`."""

    def __len__(self) -> int:
        return len(self._rings[0])

    def live(self) -> Iterator[Record]:
        """Return the records of all live members."""
        return (self.records[name] for _, name in self._rings[0])

    def is_live(self, name: str) -> bool:
        """Whether a router is a live member."""
        record = self.records.get(name)
        return record is not None and record.live

    def sample(self, count: int, rng: random.Random, exclude: Collection[str]) -> list[str]:
        """Return up to `count` random live members other than the excluded ones."""
        ring = self._rings[0]
        indexes = {rng.randrange(len(ring)) for _ in range(count + len(exclude))} if ring else set()
        return [name for index in indexes if (name := ring[index][1]) not in exclude][:count]

    def merge(self, update: Alive | Suspect | Dead | Left, now: int) -> Change | None:
        """Merge an update; returns the change, or None where the update is not newer than the record."""
        record, order = self.records.get(update.name), order_of(update)
        if record is None:
            if isinstance(update, Suspect):
                return None  # the address is unknown; it comes from a router that has the record
            if len(self.records) >= self._max_records and not (
                isinstance(update, Alive) and self._evict_oldest()
            ):
                self.turned_away += 1
                return None
            record = Record(update.name, update.start, 0, State.DEAD, None, "", now)
            self.records[update.name] = record
            previous_state, restarted = None, False
        elif order <= record.order:
            return None
        else:
            previous_state, restarted = record.state, update.start > record.start
            if restarted and isinstance(update, Suspect):
                return None
            self._update_indexes(record, -1)
            record.restarts += restarted
        record.start, record.state = update.start, State(order[2])
        if not isinstance(update, Left):
            record.incarnation = update.incarnation
        elif restarted:
            record.incarnation = 0
        if isinstance(update, Alive):
            record.place, record.zone = update.place, update.zone
        if previous_state is not record.state or restarted:
            record.since = now
        self._update_indexes(record, 1)
        return Change(record, previous_state, restarted)

    def _update_indexes(self, record: Record, sign: int) -> None:
        """Add a record to the digests of live members and to the hash rings; with `sign` -1 remove it.

        A record that is not live is in neither, so it is ignored.
        """
        if not record.live:
            return
        name = record.name
        name_hash = hash_of(f"{name}/{record.start}", 0)
        self.part_digests[digest_part(name)] ^= name_hash
        self.digest ^= name_hash
        for salt, ring in enumerate(self._rings):
            entry = (hash_of(name, salt + 1), name)
            if sign > 0:
                insort(ring, entry)
            else:
                del ring[bisect_left(ring, entry)]

    def _evict_oldest(self) -> bool:
        """Remove the record that has been dead or departed for longest; False where all are live."""
        oldest = min((r for r in self.records.values() if not r.live), key=lambda r: r.since, default=None)
        if oldest is None:
            return False
        del self.records[oldest.name]
        self._evicted.append(oldest.name)
        return True

    def forget(self, before_ns: int) -> list[str]:
        """Remove the records of routers that have been dead or departed since before a time.

        Returns the names of these routers, and of those evicted for lack of space since the last call.
        """
        evicted, self._evicted = self._evicted, []
        expired = [r.name for r in self.records.values() if not r.live and r.since < before_ns]
        for name in expired:
            del self.records[name]
        return [*expired, *(name for name in evicted if name not in self.records)]

    def subjects(self, name: str) -> list[str]:
        """Return the routers that this router probes: its successor on each ring."""
        return self._neighbours(name, 1)

    def observers(self, name: str) -> list[str]:
        """Return the routers that probe this router, as far as known: its predecessor on each ring."""
        return self._neighbours(name, -1)

    def _neighbours(self, router: str, step: int) -> list[str]:
        """Return the next router on each ring in the direction of `step`, skipping those already found."""
        found: dict[str, None] = {}
        for salt, ring in enumerate(self._rings):
            own_entry = (hash_of(router, salt + 1), router)
            index = bisect_right(ring, own_entry) if step > 0 else bisect_left(ring, own_entry) - 1
            for _ in range(len(ring)):
                name = ring[index % len(ring)][1]
                if name != router and name not in found:
                    found[name] = None
                    break
                index += step
        return list(found)

    def records_in_part(self, number: int) -> Iterator[Record]:
        """Return the records in one part of the digest, including dead members."""
        return (record for record in self.records.values() if digest_part(record.name) == number)


def digest_part(name: str) -> int:
    """Return the number of the digest part that a name belongs to."""
    return hash_of(name, 0) % DIGEST_PARTS
