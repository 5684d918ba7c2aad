"""How old a router's knowledge of a topic may be: the verdict that the data path asks for. No wall clock.

The coordinator counts its batch intervals. The earliest arrival of a beat, against that count, is the
yardstick for all later ones: a beat that was held up on its way counts as sent when it should have come,
not when it came. A router is caught up as of a beat once it has applied all entries that the beat tells of.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from enum import Enum

from saltport.dissemination.messages import Head

DRIFT = 1_000  # clocks don't run alike: the yardstick rises by a part in so many of the time passed
MOST_WAITING = 64  # beats that wait for entries, by topic; later ones are left out, which errs to refusal


class Verdict(Enum):
    """Whether the topic may be served from."""

    FRESH = "fresh"
    STALE = "not caught up"
    """Refuse, or pass by what depends on the topic, until caught up."""


class Freshness:
    """As of when a router was provably caught up, by topic."""

    def __init__(self, interval: int, fresh_for: int, settle_beats: int) -> None:
        self._interval, self._fresh_for, self._settle = interval, fresh_for, settle_beats
        self._epoch = self._heard = 0
        self._offset = self._at = 0
        self._caught_up: dict[int, int] = {}
        self._waiting: dict[int, deque[tuple[int, int]]] = {}

    def heard(self, epoch: int, beat: int, heads: Iterable[Head], now: int) -> None:
        """A beat came; entries that came with it are counted by `applied` afterwards."""
        offset = now - beat * self._interval
        if epoch != self._epoch:
            self._epoch, self._heard, self._offset, self._at = epoch, 0, offset, now
            self._waiting.clear()
        self._heard += 1
        self._offset = min(offset, self._offset + (now - self._at) // DRIFT)
        self._at = now
        if self._heard < self._settle:
            return
        sent = beat * self._interval + self._offset
        for head in heads:
            waiting = self._waiting.get(head.topic)
            if waiting is None:
                waiting = self._waiting[head.topic] = deque()
            if len(waiting) < MOST_WAITING:
                waiting.append((head.number, sent))

    def applied(self, topic: int, number: int) -> None:
        """All entries up to this one are applied."""
        waiting = self._waiting.get(topic)
        while waiting and waiting[0][0] <= number:
            sent = waiting.popleft()[1]
            if sent > self._caught_up.get(topic, 0):
                self._caught_up[topic] = sent

    def age(self, topic: int, now: int) -> int | None:
        """Nanoseconds since the router was provably caught up; None: never yet."""
        caught_up = self._caught_up.get(topic)
        return None if caught_up is None else now - caught_up

    def verdict(self, topic: int, now: int) -> Verdict:
        """Whether the topic may be served from."""
        age = self.age(topic, now)
        return Verdict.FRESH if age is not None and age <= self._fresh_for else Verdict.STALE
