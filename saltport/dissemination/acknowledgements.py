"""Combines acknowledgements on the way from routers through site and region collectors to the coordinator.

In each round, every router acknowledges the last entry of each topic that it has applied. A collector
combines the acknowledgements of its children (the routers of a site, the sites of a region, or at the
coordinator the regions) into a single one.

A collector uses the latest acknowledgement of each child for some rounds, so that a lost datagram at most
delays a count by a round; each child is counted once. The collector of each site and region rotates. Only the
latest rejections are passed on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from saltport.dissemination.messages import VERSION, Acknowledgement, Level, Rejection, TopicProgress, encode
from saltport.dissemination.settings import MAX_MESSAGE_BYTES

MAX_REJECTIONS = 4  # limit of the rejections in one acknowledgement
MAX_CHILDREN = 2_048  # limit of the children of a collector
CHILD_EXPIRY_ROUNDS = 4  # rounds after which a child without a newer acknowledgement is no longer counted
MAX_REASON_CHARS = 60  # limit of the length of a rejection's reason

RejectionKey = tuple[int, int, int, str]
"""Topic, entry number, index of the record in the entry, and reason."""


def merge_progress(progress: Iterable[TopicProgress]) -> tuple[TopicProgress, ...]:
    """Return the progress of the slowest router for each topic, ordered by topic."""
    lowest: dict[int, TopicProgress] = {}
    for reported in progress:
        current = lowest.get(reported.topic)
        if current is None or reported.lowest_number < current.lowest_number:
            lowest[reported.topic] = reported
    return tuple(lowest[topic] for topic in sorted(lowest))


def merge_rejections(rejections: Iterable[Rejection]) -> tuple[Rejection, ...]:
    """Combine equal rejections, adding up their counts of routers.

    Return those of the entries with the highest numbers, at most `MAX_REJECTIONS`.
    """
    counts: dict[RejectionKey, int] = {}
    for rejection in rejections:
        key = (rejection.topic, rejection.number, rejection.index, rejection.reason[:MAX_REASON_CHARS])
        counts[key] = counts.get(key, 0) + rejection.count
    latest = sorted(counts, key=lambda key: key[1], reverse=True)[:MAX_REJECTIONS]
    return tuple(Rejection(*key, counts[key]) for key in latest)


def fit_to_datagram(message: Acknowledgement) -> Acknowledgement:
    """Drop rejections from the end until the acknowledgement fits a datagram."""
    while message.rejections and len(encode(message)) > MAX_MESSAGE_BYTES:
        message = Acknowledgement(
            message.round, message.level, message.router_count, message.progress,
            message.rejections[:-1], message.version,
        )  # fmt: skip
    return message


@dataclass(slots=True)
class _LevelState:
    """A collector's state for one level."""

    latest: dict[str, Acknowledgement] = field(default_factory=dict)
    """Latest acknowledgement by child."""
    due: int | None = None
    """Time to send the combined acknowledgement of the current round, or None if it was sent."""
    round: int = 0
    """Latest round of which an acknowledgement arrived."""


class Collector:
    """Stores the latest acknowledgement of each child, and combines them for the next level."""

    def __init__(self, site_delay: int, region_delay: int) -> None:
        self._collect_delays = {Level.SITE: site_delay, Level.REGION: region_delay, Level.VOTERS: 0}
        self._levels: dict[Level, _LevelState] = {}

    @property
    def due(self) -> int | None:
        """Time to send the next combined acknowledgement, or None."""
        return min((state.due for state in self._levels.values() if state.due is not None), default=None)

    def add(self, child: str, acknowledgement: Acknowledgement, now: int) -> None:
        """Store the acknowledgement of a router, site or region; ignore it if a newer one is stored."""
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
        """Return the combined acknowledgements that are due, addressed to the next level."""
        due = [level for level, state in self._levels.items() if state.due is not None and state.due <= now]
        for level in due:
            self._levels[level].due = None
        return [self.combine(level) for level in due]

    def combine(self, level: Level) -> Acknowledgement:
        """Combine the acknowledgements that this collector received at `level`, one from each child.

        Children whose latest acknowledgement is `CHILD_EXPIRY_ROUNDS` or more rounds old are left out. The
        result is addressed to the level above `level`.
        """
        state = self._levels.setdefault(level, _LevelState())
        for child in [
            c
            for c, acknowledgement in state.latest.items()
            if acknowledgement.round <= state.round - CHILD_EXPIRY_ROUNDS
        ]:
            del state.latest[child]
        parts = state.latest.values()
        return fit_to_datagram(
            Acknowledgement(
                state.round,
                Level(min(level + 1, Level.VOTERS)),
                sum(acknowledgement.router_count for acknowledgement in parts),
                merge_progress(
                    reported for acknowledgement in parts for reported in acknowledgement.progress
                ),
                merge_rejections(
                    rejection for acknowledgement in parts for rejection in acknowledgement.rejections
                ),
                min((acknowledgement.version for acknowledgement in parts), default=VERSION),
            )
        )
