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

from saltport.dissemination.messages import MAX_HEADS, Push
from saltport.dissemination.settings import NS_PER_MS, DisseminationSettings

CLOCK_DRIFT_DIVISOR = 1_000  # clocks don't run alike: by so much a part of the time passed a date may be off
MAX_PENDING_HEADS = (
    64  # pushes that wait for entries, by topic; later ones are left out, which errs to refusal
)
BACKOFF_FACTOR = 1.5
MAX_BACKOFF_STEPS = 3  # after which polls get no rarer: about one a second


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
        self._epoch = self._poll_number = self._poll_sent_at = self._poll_tries = 0
        self._coordinator_started: int | None = None
        """When the coordinator began, by this router's clock, at the latest then; None: not known."""
        self._synced_at = 0
        self._all_heads_as_of: int | None = None
        """As of when a topic that wasn't told of had no entries."""
        self._known_topics: set[int] = set()
        """Topics that were told of, ever."""
        self._caught_up: dict[int, int] = {}
        self._pending_heads: dict[int, deque[tuple[int, int]]] = {}

    def start_poll(self, now: int) -> int:
        """The number of a poll that leaves now; at random, so that no answer to an earlier process fits."""
        self._poll_number = self._rng.getrandbits(31) | 1
        self._poll_sent_at = now
        self.due = now + int(
            self._settings.clock_retry * BACKOFF_FACTOR ** min(self._poll_tries, MAX_BACKOFF_STEPS)
        )
        self._poll_tries += 1
        return self._poll_number

    def on_push(self, push: Push, now: int) -> None:
        """A push came; entries that came with it are counted by `applied` afterwards."""
        if push.epoch != self._epoch:
            self._epoch, self._coordinator_started, self._poll_tries = push.epoch, None, 0
            self._pending_heads.clear()
            self.due = now + self._rng.randrange(self._settings.clock_spread)
        if push.poll_number and push.poll_number == self._poll_number:
            self._sync_clock(push.sent_ms, now)
        for head in push.heads:
            self._mark_known(head.topic)
        if self._coordinator_started is None:
            return
        sent = (
            self._coordinator_started
            - (now - self._synced_at) // CLOCK_DRIFT_DIVISOR
            + push.sent_ms * NS_PER_MS
        )
        for head in push.heads:
            pending = self._pending_heads.get(head.topic)
            if pending is None:
                pending = self._pending_heads[head.topic] = deque()
            if len(pending) < MAX_PENDING_HEADS:
                pending.append((head.number, sent))
        if len(push.heads) < MAX_HEADS and (self._all_heads_as_of is None or sent > self._all_heads_as_of):
            self._all_heads_as_of = sent

    def _mark_known(self, topic: int) -> None:
        """Danger: from its first head on, a full list says no more that the topic is empty."""
        if topic not in self._known_topics:
            self._known_topics.add(topic)
            if self._all_heads_as_of is not None:
                self._caught_up[topic] = self._all_heads_as_of

    def _sync_clock(self, sent_ms: int, now: int) -> None:
        """The answer to the latest poll was sent no earlier than the poll left."""
        coordinator_started = self._poll_sent_at - (sent_ms + 1) * NS_PER_MS
        if (
            self._coordinator_started is None
            or coordinator_started
            > self._coordinator_started - (now - self._synced_at) // CLOCK_DRIFT_DIVISOR
        ):
            self._coordinator_started, self._synced_at = coordinator_started, now
        self._poll_tries = 0
        self.due = now + self._settings.clock_poll_interval

    def on_applied(self, topic: int, number: int) -> None:
        """All entries up to this one are applied."""
        pending = self._pending_heads.get(topic)
        while pending and pending[0][0] <= number:
            sent = pending.popleft()[1]
            if sent > self._caught_up.get(topic, 0):
                self._caught_up[topic] = sent

    def age(self, topic: int, now: int) -> int | None:
        """Nanoseconds since the router was provably caught up, rather too many; None: never yet."""
        caught_up = self._caught_up.get(topic) if topic in self._known_topics else self._all_heads_as_of
        return None if caught_up is None else now - caught_up

    def verdict(self, topic: int, now: int) -> Verdict:
        """Whether the topic may be served from."""
        age = self.age(topic, now)
        return Verdict.FRESH if age is not None and age <= self._settings.fresh_for else Verdict.STALE
