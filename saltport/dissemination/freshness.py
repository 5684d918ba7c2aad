"""How old a router's knowledge of a topic may be: the verdict that the data path asks for. No wall clock.

Pushes tell when they were sent by the coordinator's own clock. A router dates that clock by polling the
coordinator: what it answers was sent after the poll left. So a push that was held up on its way, or is told
again by somebody who was cut off himself, counts as sent when it was, and at the latest then. A router is
caught up as of a push once it has applied all entries that the push tells of. Nothing is fresh before the
coordinator itself answered.
"""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

from saltport.dissemination.messages import MOST_HEADS, Push
from saltport.dissemination.settings import NS_PER_MS, DisseminationSettings

DRIFT = 1_000  # clocks don't run alike: by so much a part of the time passed a date may be off
MOST_WAITING = 64  # pushes that wait for entries, by topic; later ones are left out, which errs to refusal
BACKOFF = 1.5
MOST_RETRIES = 3  # after which polls get no rarer: about one a second


class Verdict(Enum):
    """Whether the topic may be served from."""

    FRESH = "fresh"
    STALE = "not caught up"
    """Refuse, or pass by what depends on the topic, until caught up."""


class Freshness:
    """As of when a router was provably caught up, by topic."""

    def __init__(self, settings: DisseminationSettings, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        self.due: int | None = None
        """When to poll the coordinator's clock; None: no coordinator is known."""
        self._epoch = self._number = self._asked = self._tries = 0
        self._began: int | None = None
        """When the coordinator began, by this router's clock, at the latest then; None: not known."""
        self._dated = 0
        self._complete: int | None = None
        """As of when a topic that wasn't told of had no entries."""
        self._known: set[int] = set()
        """Topics that were told of, ever."""
        self._caught_up: dict[int, int] = {}
        self._waiting: dict[int, deque[tuple[int, int]]] = {}

    def poll(self, now: int) -> int:
        """The number of a poll that leaves now; at random, so that no answer to an earlier process fits."""
        self._number = self._rng.getrandbits(31) | 1
        self._asked = now
        self.due = now + int(self._settings.clock_retry * BACKOFF ** min(self._tries, MOST_RETRIES))
        self._tries += 1
        return self._number

    def heard(self, push: Push, now: int) -> None:
        """A push came; entries that came with it are counted by `applied` afterwards."""
        if push.epoch != self._epoch:
            self._epoch, self._began, self._tries = push.epoch, None, 0
            self._waiting.clear()
            self.due = now + self._rng.randrange(self._settings.clock_spread)
        if push.answers and push.answers == self._number:
            self._date(push.sent, now)
        for head in push.heads:
            self._know(head.topic)
        if self._began is None:
            return
        sent = self._began - (now - self._dated) // DRIFT + push.sent * NS_PER_MS
        for head in push.heads:
            waiting = self._waiting.get(head.topic)
            if waiting is None:
                waiting = self._waiting[head.topic] = deque()
            if len(waiting) < MOST_WAITING:
                waiting.append((head.number, sent))
        if len(push.heads) < MOST_HEADS and (self._complete is None or sent > self._complete):
            self._complete = sent

    def _know(self, topic: int) -> None:
        """Danger: from its first head on, a full list says no more that the topic is empty."""
        if topic not in self._known:
            self._known.add(topic)
            if self._complete is not None:
                self._caught_up[topic] = self._complete

    def _date(self, sent: int, now: int) -> None:
        """The answer to the latest poll was sent no earlier than the poll left."""
        began = self._asked - (sent + 1) * NS_PER_MS
        if self._began is None or began > self._began - (now - self._dated) // DRIFT:
            self._began, self._dated = began, now
        self._tries = 0
        self.due = now + self._settings.clock_poll

    def applied(self, topic: int, number: int) -> None:
        """All entries up to this one are applied."""
        waiting = self._waiting.get(topic)
        while waiting and waiting[0][0] <= number:
            sent = waiting.popleft()[1]
            if sent > self._caught_up.get(topic, 0):
                self._caught_up[topic] = sent

    def age(self, topic: int, now: int) -> int | None:
        """Nanoseconds since the router was provably caught up, rather too many; None: never yet."""
        caught_up = self._caught_up.get(topic) if topic in self._known else self._complete
        return None if caught_up is None else now - caught_up

    def verdict(self, topic: int, now: int) -> Verdict:
        """Whether the topic may be served from."""
        age = self.age(topic, now)
        return Verdict.FRESH if age is not None and age <= self._settings.fresh_for else Verdict.STALE
