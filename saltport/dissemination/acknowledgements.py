"""Sums of acknowledgements on their way up: from routers to a site's collector, a region's, the coordinator.

A collector holds the last word of each child for some rounds, so that a lost datagram changes a count by
nothing or by a round's delay; a child is counted once. Each site and region has one collector at a time, in
turn. Of rejections the latest few are passed on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from saltport.dissemination.messages import VERSION, Acknowledgement, Level, Rejection, Row, encode
from saltport.dissemination.settings import MESSAGE

MOST_REJECTIONS = 4  # in one acknowledgement
MOST_CHILDREN = 2_048  # at a collector
ROUNDS_HELD = 4  # for which a child's last word counts, while nothing newer came
MOST_REASON = 60  # characters

RejectionKey = tuple[int, int, int, str]


def merge_rows(rows: Iterable[Row]) -> tuple[Row, ...]:
    """The lowest of each topic."""
    lowest: dict[int, Row] = {}
    for row in rows:
        held = lowest.get(row.topic)
        if held is None or row.lowest < held.lowest:
            lowest[row.topic] = row
    return tuple(lowest[topic] for topic in sorted(lowest))


def merge_rejections(rejections: Iterable[Rejection]) -> tuple[Rejection, ...]:
    """Counts of the same rejection added up; the latest ones, if there are too many."""
    counts: dict[RejectionKey, int] = {}
    for told in rejections:
        key = (told.topic, told.number, told.index, told.reason[:MOST_REASON])
        counts[key] = counts.get(key, 0) + told.count
    latest = sorted(counts, key=lambda key: key[1], reverse=True)[:MOST_REJECTIONS]
    return tuple(Rejection(*key, counts[key]) for key in latest)


def fitted(message: Acknowledgement) -> Acknowledgement:
    """Fewer rejections, if it is too long for a datagram."""
    while message.rejections and len(encode(message)) > MESSAGE:
        message = Acknowledgement(
            message.round, message.level, message.counted, message.rows,
            message.rejections[:-1], message.version,
        )  # fmt: skip
    return message


@dataclass(slots=True)
class _Level:
    """What a collector holds for one level."""

    latest: dict[str, Acknowledgement] = field(default_factory=dict)
    """By child: its last word."""
    due: int | None = None
    """When the sum of the round under way goes up."""
    round: int = 0


class Collector:
    """What a router collects for others: the last word of each child, for so many rounds."""

    def __init__(self, site_time: int, region_time: int) -> None:
        self._times = {Level.SITE: site_time, Level.REGION: region_time, Level.VOTERS: 0}
        self._levels: dict[Level, _Level] = {}

    @property
    def due(self) -> int | None:
        """When the next sum goes up."""
        return min((held.due for held in self._levels.values() if held.due is not None), default=None)

    def add(self, child: str, told: Acknowledgement, now: int) -> None:
        """Take the part of a router, a site or a region; an older one than is here is left."""
        held = self._levels.setdefault(told.level, _Level())
        before = held.latest.get(child)
        if before is not None and before.round > told.round:
            return
        if before is None and len(held.latest) >= MOST_CHILDREN:
            return
        held.latest[child] = told
        if told.round > held.round:
            held.round = told.round
            if held.due is None:
                held.due = now + self._times[told.level]

    def take(self, now: int) -> list[Acknowledgement]:
        """Sums whose time has come, for the next level up."""
        due = [level for level, held in self._levels.items() if held.due is not None and held.due <= now]
        for level in due:
            self._levels[level].due = None
        return [self.sum(level) for level in due]

    def sum(self, level: Level) -> Acknowledgement:
        """Of the children heard within the last rounds, as the next level takes it."""
        held = self._levels.setdefault(level, _Level())
        for child in [c for c, told in held.latest.items() if told.round <= held.round - ROUNDS_HELD]:
            del held.latest[child]
        parts = held.latest.values()
        return fitted(
            Acknowledgement(
                held.round,
                Level(min(level + 1, Level.VOTERS)),
                sum(told.counted for told in parts),
                merge_rows(row for told in parts for row in told.rows),
                merge_rejections(rejection for told in parts for rejection in told.rejections),
                min((told.version for told in parts), default=VERSION),
            )
        )
