"""When and at which level a router fetches the missing entries of one topic. No I/O.

Gaps are found by number: from an entry beyond the next one, a head in a push, or another node's fetch.
Fetches go to the relays of the first missing entry, one after the other; after `tries_per_level` fetches
without progress they go to the next level up, and at last to the voters. A node that is asked for an entry it
lacks asks one level higher itself, so that one node of a site fetches for all.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from saltport.dissemination.log import TopicLog
from saltport.dissemination.messages import Level
from saltport.dissemination.settings import DisseminationSettings

BACKOFF_FACTOR = 1.4  # factor by which the time between fetches without progress grows


class PlannedFetch(NamedTuple):
    """A fetch to send now."""

    level: Level
    numbers: tuple[int, ...]
    """Entry numbers to fetch; empty to fetch a snapshot."""
    first: int
    """Number of the entry whose relays are asked."""
    target_index: int
    """Index of the relay in their order; it grows with each try."""


class GapRepair:
    """Schedule of the fetches of one topic."""

    def __init__(self, log: TopicLog, settings: DisseminationSettings) -> None:
        self._log, self._settings = log, settings
        self.due: int | None = None
        """Time of the next fetch, or None if nothing is missing."""
        self.tries = self._site_tries = self._escalation_due = 0
        self._level = Level.SITE
        self._outstanding: set[int] = set()
        self._first_missing = 0

    @property
    def needs_snapshot(self) -> bool:
        """Whether the log cannot be repaired by fetching single entries."""
        log = self._log
        begins_late = log.last == 0 and log.head > self._settings.fetch_entries
        return log.diverged or begins_late or log.head - log.last > self._settings.retained_entries

    def check_for_gap(self, now: int) -> None:
        """Schedule a fetch after `gap_grace` if entries are missing and no fetch is scheduled."""
        if self.due is None and (self._log.head > self._log.last or self._log.diverged):
            self._restart(now + self._settings.gap_grace)

    def on_unanswered_fetch(self, level: Level, now: int) -> None:
        """Fetch at once from the level above `level`, where another node asked for an entry missing here."""
        self.check_for_gap(now)
        next_level = Level(min(level + 1, Level.VOTERS))
        if self.due is not None and next_level > self._level:
            self._level, self.tries, self.due, self._escalation_due = next_level, 0, now, now

    def on_entry(self, number: int, now: int) -> None:
        """Record the arrival of an entry; the next fetch is due once all entries of the last one arrived."""
        if self._log.last >= self._log.head:
            self.due = None
            return
        if self.due is None:
            self.check_for_gap(now)
            return
        self._outstanding.discard(number)
        if self._first_missing <= self._log.last and not self._outstanding:
            self._restart(now)

    def _restart(self, due: int) -> None:
        """Schedule the next fetch for `due`, starting again at the lowest level."""
        self.due = self._escalation_due = due
        self.tries, self._level, self._site_tries = 0, Level.SITE, 0
        self._outstanding.clear()
        self._first_missing = self._log.last + 1

    def plan_fetches(self, now: int, lowest_level: Callable[[int], Level]) -> list[PlannedFetch]:
        """Return the fetches to send now, and schedule the next try.

        `lowest_level` returns the lowest level that this router asks for an entry. A router that asks above
        its site also asks within it, because an answer from there arrives sooner.
        """
        numbers = () if self.needs_snapshot else self._log.missing(self._settings.fetch_entries)
        first = numbers[0] if numbers else self._log.last
        self._outstanding = set(numbers)
        self._first_missing = first
        steps = self.tries // self._settings.tries_per_level
        level = Level(min(max(lowest_level(first), self._level) + steps, Level.VOTERS))
        fetches: list[PlannedFetch] = []
        if level > Level.SITE and self._site_tries:
            fetches.append(PlannedFetch(Level.SITE, numbers, first, self._site_tries))
        self._site_tries += 1
        if now >= self._escalation_due:
            fetches.append(PlannedFetch(level, numbers, first, self.tries))
            wait = self._retry_interval(level) * BACKOFF_FACTOR ** (
                self.tries % self._settings.tries_per_level
            )
            self._escalation_due = now + min(int(wait), self._settings.max_retry)
            self.tries += 1
        self.due = min(self._escalation_due, now + self._settings.region_retry)
        return fetches

    def _retry_interval(self, level: Level) -> int:
        """Return the time in nanoseconds between the first two fetches at a level."""
        settings = self._settings
        return (settings.site_retry, settings.region_retry, settings.voter_retry)[level]
