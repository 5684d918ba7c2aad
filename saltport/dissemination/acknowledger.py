"""A router's acknowledgements: its own in each round, and those it collects for others. No I/O."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Mapping

from saltport.dissemination.acknowledgements import Collector, fit_to_datagram
from saltport.dissemination.log import TopicLog
from saltport.dissemination.messages import Acknowledgement, Level, Rejection, TopicProgress
from saltport.dissemination.placement import Placement
from saltport.dissemination.settings import NS_PER_MS, DisseminationSettings
from saltport.dissemination.topic_store import AppliedRecord

ROUNDS_PER_COLLECTOR = 16  # rounds after which another router becomes the collector
REJECTION_REPEAT_ROUNDS = 6  # rounds in which the same rejection is reported, because datagrams get lost
MAX_REJECTIONS = 16  # limit of the rejections waiting to be reported
ROUND_BITS = 24  # bits for the round within an epoch; the epoch above them makes later rounds greater
OWN_REPORT_SPREAD_NS = 200 * NS_PER_MS  # the routers of a site spread their acknowledgements over this time


class Acknowledger:
    """Schedules and sends a router's acknowledgements.

    Rounds are derived from the coordinator's clock, so that all routers agree on them.
    """

    def __init__(self, node: int, settings: DisseminationSettings, rng: random.Random) -> None:
        self._node, self._settings, self._rng = node, settings, rng
        self._collector = Collector(settings.site_collect_delay, settings.region_collect_delay)
        self._rejections: deque[tuple[int, Rejection]] = deque(maxlen=MAX_REJECTIONS)
        self._round = 0
        self._own_due: int | None = None

    @property
    def due(self) -> int | None:
        """Time of the next call of `tick`, or None if nothing is to be sent."""
        collected = self._collector.due
        if self._own_due is None or collected is None:
            return collected if self._own_due is None else self._own_due
        return min(collected, self._own_due)

    def on_push(self, epoch: int, sent_ms: int, now: int) -> None:
        """Start a round at its first push; `sent_ms` is the push's send time by the coordinator's clock."""
        round_number = (epoch << ROUND_BITS) + sent_ms * NS_PER_MS // self._settings.acknowledge_interval
        if round_number <= self._round:
            return
        self._round = round_number
        if self._own_due is None:
            self._own_due = now + self._rng.randrange(OWN_REPORT_SPREAD_NS)

    def on_applied(self, records: Iterable[AppliedRecord]) -> None:
        """Queue the refused records, to be reported for `REJECTION_REPEAT_ROUNDS` rounds."""
        for record in records:
            if record.reason:
                rejection = Rejection(record.topic, record.number, record.index, record.reason)
                self._rejections.append((REJECTION_REPEAT_ROUNDS, rejection))

    def collect(self, source: int, acknowledgement: Acknowledgement, placement: Placement, now: int) -> None:
        """Store an acknowledgement by its router or, above the site level, by its site.

        The collector of a site rotates: keyed by site, its latest acknowledgement replaces that of the
        previous collector.
        """
        site = placement.site(source)
        if site is not None:
            child = str(source) if acknowledgement.level is Level.SITE else site.name
            self._collector.add(child, acknowledgement, now)

    def tick(
        self, logs: Mapping[int, TopicLog], placement: Placement, coordinator: int, now: int
    ) -> list[tuple[int, Acknowledgement]]:
        """Return the acknowledgements that are due, each with its target."""
        ready = self._collector.take_due(now)
        if self._own_due is not None and self._own_due <= now:
            self._own_due = None
            ready.append(self._own(logs))
        sent: list[tuple[int, Acknowledgement]] = []
        while ready:
            acknowledgement = ready.pop()
            target = self._target(acknowledgement, placement, coordinator)
            if target == self._node:
                self.collect(self._node, acknowledgement, placement, now)
            else:
                sent.append((target, acknowledgement))
        return sent

    def _own(self, logs: Mapping[int, TopicLog]) -> Acknowledgement:
        """Return this router's own acknowledgement of the current round."""
        progress = tuple(TopicProgress(topic, log.last, self._node) for topic, log in sorted(logs.items()))
        rejections = tuple(rejection for _, rejection in self._rejections)
        left = ((rounds - 1, rejection) for rounds, rejection in self._rejections if rounds > 1)
        self._rejections = deque(left, maxlen=MAX_REJECTIONS)
        return fit_to_datagram(Acknowledgement(self._round, Level.SITE, 1, progress, rejections))

    def _target(self, acknowledgement: Acknowledgement, placement: Placement, coordinator: int) -> int:
        """Return the node to send an acknowledgement to: the collector of its level, or the coordinator."""
        site = placement.site(self._node)
        rotation = placement.rotation(0, acknowledgement.round // ROUNDS_PER_COLLECTOR)
        if site is None or acknowledgement.level is Level.VOTERS:
            return coordinator
        if acknowledgement.level is Level.SITE:
            return placement.site_order(site, rotation)[0]
        return placement.region_order(site.region, rotation)[0]
