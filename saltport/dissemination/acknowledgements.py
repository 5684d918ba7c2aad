"""Sums of acknowledgements on their way up: from routers to a site's collector, a region's, the coordinator.

A collector holds the last word of each child for some rounds, so that a lost datagram changes a count by
nothing or by a round's delay; a child is counted once. Each site and region has one collector at a time, in
turn. Of rejections the latest few are passed on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from saltport.dissemination.messages import VERSION, Acknowledgement, Level, Rejection, TopicProgress, encode
from saltport.dissemination.settings import MAX_MESSAGE_BYTES

MAX_REJECTIONS = 4  # in one acknowledgement
MAX_CHILDREN = 2_048  # at a collector
CHILD_EXPIRY_ROUNDS = 4  # for which a child's last word counts, while nothing newer came
MAX_REASON_CHARS = 60  # characters

RejectionKey = tuple[int, int, int, str]


def merge_progress(progress: Iterable[TopicProgress]) -> tuple[TopicProgress, ...]:
    """The lowest of each topic."""
    lowest: dict[int, TopicProgress] = {}
    for row in progress:
        current = lowest.get(row.topic)
        if current is None or row.lowest_number < current.lowest_number:
            lowest[row.topic] = row
    return tuple(lowest[topic] for topic in sorted(lowest))


def merge_rejections(rejections: Iterable[Rejection]) -> tuple[Rejection, ...]:
    """Counts of the same rejection added up; the latest ones, if there are too many."""
    counts: dict[RejectionKey, int] = {}
    for rejection in rejections:
        key = (rejection.topic, rejection.number, rejection.index, rejection.reason[:MAX_REASON_CHARS])
        counts[key] = counts.get(key, 0) + rejection.count
    latest = sorted(counts, key=lambda key: key[1], reverse=True)[:MAX_REJECTIONS]
    return tuple(Rejection(*key, counts[key]) for key in latest)


def fitted(message: Acknowledgement) -> Acknowledgement:
    """Fewer rejections, if it is too long for a datagram."""
    while message.rejections and len(encode(message)) > MAX_MESSAGE_BYTES:
        message = Acknowledgement(
            message.round, message.level, message.router_count, message.progress,
            message.rejections[:-1], message.version,
        )  # fmt: skip
    return message


@dataclass(slots=True)
class _LevelState:
    """What a collector holds for one level."""

    latest: dict[str, Acknowledgement] = field(default_factory=dict)
    """By child: its last word."""
    due: int | None = None
    """When the sum of the round under way goes up."""
    round: int = 0


class Collector:
    """What a router collects for others: the last word of each child, for so many rounds."""

    def __init__(self, site_delay: int, region_delay: int) -> None:
        self._collect_delays = {Level.SITE: site_delay, Level.REGION: region_delay, Level.VOTERS: 0}
        self._levels: dict[Level, _LevelState] = {}

    @property
    def due(self) -> int | None:
        """When the next sum goes up."""
        return min((state.due for state in self._levels.values() if state.due is not None), default=None)

    def add(self, child: str, acknowledgement: Acknowledgement, now: int) -> None:
        """Take the part of a router, a site or a region; an older one than is here is left."""
        state = self._levels.setdefault(acknowledgement.level, _LevelState())
        previous = state.latest.get(child)
        if previous is not None and previous.round > acknowledgement.round:
            return
        if previous is None and len(state.latest) >= MAX_CHILDREN:
            return
        state.latest[child] = acknowledgement
        if acknowledgement.round > state.round:
            state.round = acknowledgement.round
            if state.due is None:
                state.due = now + self._collect_delays[acknowledgement.level]

    def take_due(self, now: int) -> list[Acknowledgement]:
        """Sums whose time has come, for the next level up."""
        due = [level for level, state in self._levels.items() if state.due is not None and state.due <= now]
        for level in due:
            self._levels[level].due = None
        return [self.sum(level) for level in due]

    def sum(self, level: Level) -> Acknowledgement:
        """Of the children heard within the last rounds, as the next level takes it."""
        state = self._levels.setdefault(level, _LevelState())
        for child in [
            c
            for c, acknowledgement in state.latest.items()
            if acknowledgement.round <= state.round - CHILD_EXPIRY_ROUNDS
        ]:
            del state.latest[child]
        parts = state.latest.values()
        return fitted(
            Acknowledgement(
                state.round,
                Level(min(level + 1, Level.VOTERS)),
                sum(acknowledgement.router_count for acknowledgement in parts),
                merge_progress(row for acknowledgement in parts for row in acknowledgement.progress),
                merge_rejections(
                    rejection for acknowledgement in parts for rejection in acknowledgement.rejections
                ),
                min((acknowledgement.version for acknowledgement in parts), default=VERSION),
            )
        )
