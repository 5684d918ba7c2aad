"""Tracks how current a router's state of each topic is, for the data path. Uses no wall clock.

Pushes carry their send time by the coordinator's clock. A router synchronises with that clock by polling the
coordinator: the answer was sent after the poll left. So a push that was delayed, or repeated by a router that
is itself cut off, counts from when the coordinator sent it, never later. A router is caught up as of a push
once it has applied all entries up to the heads in the push. Nothing is fresh before the coordinator itself
answered.
"""

from __future__ import annotations

import random
from collections import deque
from enum import Enum

from saltport.dissemination.messages import MAX_HEADS, Push
from saltport.dissemination.settings import NS_PER_MS, DisseminationSettings

CLOCK_DRIFT_DIVISOR = 1_000  # a clock may be off by elapsed time divided by this
# Limit of the heads of each topic that wait for entries; later ones are ignored, which errs towards refusal.
MAX_PENDING_HEADS = 64
BACKOFF_FACTOR = 1.5  # factor by which the time between unanswered polls grows
MAX_BACKOFF_STEPS = 3  # limits polls to about one per second


class Verdict(Enum):
    """Whether data that depends on a topic may be served."""

    FRESH = "fresh"
    STALE = "not caught up"
    """Refuse or bypass data that depends on the topic until the router is caught up."""


class Freshness:
    """The latest time at which a router was provably caught up, by topic."""

    def __init__(self, settings: DisseminationSettings, rng: random.Random) -> None:
        self._settings, self._rng = settings, rng
        self.due: int | None = None
        """Time of the next poll of the coordinator's clock, or None if no coordinator is known."""
        self._epoch = self._poll_number = self._poll_sent_at = self._poll_tries = 0
        self._coordinator_started: int | None = None
        """Lower bound of the start of the coordinator's term by this router's clock, or None if unknown."""
        self._synced_at = 0
        """Time of the answer that `_coordinator_started` was computed from."""
        self._all_heads_as_of: int | None = None
        """Send time of the latest push that listed all heads: topics not listed then had no entries."""
        self._known_topics: set[int] = set()
        """Topics that any push has listed."""
        self._caught_up: dict[int, int] = {}
        """By topic: the latest time as of which all entries are applied."""
        self._pending_heads: dict[int, deque[tuple[int, int]]] = {}
        """By topic: head and send time of pushes whose entries are not all applied."""

    def start_poll(self, now: int) -> int:
        """Start a poll of the coordinator, and return its number.

        The number is random, so that no answer to an earlier process matches.
        """
        self._poll_number = self._rng.getrandbits(31) | 1
        self._poll_sent_at = now
        self.due = now + int(
            self._settings.clock_retry * BACKOFF_FACTOR ** min(self._poll_tries, MAX_BACKOFF_STEPS)
        )
        self._poll_tries += 1
        return self._poll_number

    def on_push(self, push: Push, now: int) -> None:
        """Process a received push before its entry is applied; call `on_applied` afterwards.

        The heads of a push (the number of the last committed entry of each topic) and its send time tell as
        of when this router is caught up once it has applied the entries up to the heads.
        """
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
        """Record that a topic has entries.

        Danger: from its first head on, a complete list of heads no longer proves that the topic is empty.
        """
        if topic not in self._known_topics:
            self._known_topics.add(topic)
            if self._all_heads_as_of is not None:
                self._caught_up[topic] = self._all_heads_as_of

    def _sync_clock(self, sent_ms: int, now: int) -> None:
        """Synchronise with the coordinator's clock: its answer was sent no earlier than the poll."""
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
        """Record that all entries of a topic up to `number` are applied."""
        pending = self._pending_heads.get(topic)
        while pending and pending[0][0] <= number:
            sent = pending.popleft()[1]
            if sent > self._caught_up.get(topic, 0):
                self._caught_up[topic] = sent

    def age(self, topic: int, now: int) -> int | None:
        """Return how long ago at most, in nanoseconds, this router was caught up; None if it never was."""
        caught_up = self._caught_up.get(topic) if topic in self._known_topics else self._all_heads_as_of
        return None if caught_up is None else now - caught_up

    def verdict(self, topic: int, now: int) -> Verdict:
        """Whether data that depends on the topic may be served."""
        age = self.age(topic, now)
        return Verdict.FRESH if age is not None and age <= self._settings.fresh_for else Verdict.STALE
