"""A router's part in acknowledgements: its own word each round, and what it collects for others. No I/O."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Mapping

from saltport.dissemination.acknowledgements import Collector, fitted
from saltport.dissemination.archive import Applied
from saltport.dissemination.log import TopicLog
from saltport.dissemination.messages import Acknowledgement, Level, Rejection, Row
from saltport.dissemination.placement import Placement
from saltport.dissemination.settings import NS_PER_MS, DisseminationSettings

ROTATION = 16  # rounds after which another router collects
ROUNDS_TOLD = 6  # in which a rejection is told: datagrams get lost
MOST_REJECTIONS = 16  # waiting to be told
ROUND_BITS = 24  # for rounds of one epoch: later epochs have greater rounds
SPREAD = 200 * NS_PER_MS  # over which the routers of a site send their words


class Acknowledger:
    """Rounds are counted by the coordinator's clock, so that all routers have the same ones."""

    def __init__(self, node: int, settings: DisseminationSettings, rng: random.Random) -> None:
        self._node, self._settings, self._rng = node, settings, rng
        self._collector = Collector(settings.site_collect, settings.region_collect)
        self._rejections: deque[tuple[int, Rejection]] = deque(maxlen=MOST_REJECTIONS)
        self._round = 0
        self._own_due: int | None = None

    @property
    def due(self) -> int | None:
        """When `turn` has something to send."""
        collected = self._collector.due
        if self._own_due is None or collected is None:
            return collected if self._own_due is None else self._own_due
        return min(collected, self._own_due)

    def heard(self, epoch: int, sent: int, now: int) -> None:
        """The first push of a round starts it; `sent`: milliseconds of this epoch's coordinator."""
        number = (epoch << ROUND_BITS) + sent * NS_PER_MS // self._settings.acknowledge
        if number <= self._round:
            return
        self._round = number
        if self._own_due is None:
            self._own_due = now + self._rng.randrange(SPREAD)

    def applied(self, records: Iterable[Applied]) -> None:
        """Refused ones are told for some rounds."""
        for one in records:
            if one.reason:
                rejection = Rejection(one.topic, one.number, one.index, one.reason)
                self._rejections.append((ROUNDS_TOLD, rejection))

    def collect(self, source: int, told: Acknowledgement, placement: Placement, now: int) -> None:
        """By router or by site: a site's collectors take turns, and its last word counts."""
        site = placement.site(source)
        if site is not None:
            child = str(source) if told.level is Level.SITE else site.name
            self._collector.add(child, told, now)

    def turn(
        self, logs: Mapping[int, TopicLog], placement: Placement, coordinator: int, now: int
    ) -> list[tuple[int, Acknowledgement]]:
        """What to send, and to whom."""
        ready = self._collector.take(now)
        if self._own_due is not None and self._own_due <= now:
            self._own_due = None
            ready.append(self._own(logs))
        sent: list[tuple[int, Acknowledgement]] = []
        while ready:
            told = ready.pop()
            target = self._target(told, placement, coordinator)
            if target == self._node:
                self.collect(self._node, told, placement, now)
            else:
                sent.append((target, told))
        return sent

    def _own(self, logs: Mapping[int, TopicLog]) -> Acknowledgement:
        rows = tuple(Row(topic, log.last, self._node) for topic, log in sorted(logs.items()))
        rejections = tuple(rejection for _, rejection in self._rejections)
        left = ((rounds - 1, rejection) for rounds, rejection in self._rejections if rounds > 1)
        self._rejections = deque(left, maxlen=MOST_REJECTIONS)
        return fitted(Acknowledgement(self._round, Level.SITE, 1, rows, rejections))

    def _target(self, told: Acknowledgement, placement: Placement, coordinator: int) -> int:
        site = placement.site(self._node)
        turn = placement.turn(0, told.round // ROTATION)
        if site is None or told.level is Level.VOTERS:
            return coordinator
        if told.level is Level.SITE:
            return placement.site_order(site, turn)[0]
        return placement.region_order(site.region, turn)[0]
