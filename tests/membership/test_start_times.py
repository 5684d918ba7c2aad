"""Start times without a wall clock: no server appears older than it is, and ages grow in real time."""

from __future__ import annotations

from typing import Any

from saltport.membership.start_times import StartTimes

MS = 10**6
STAMP_MS = 1_700_000_000_000


class Times:
    """Start times with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 10**12
        self.starts = StartTimes(lambda: self.now)

    def read(self, full: bool, is_cached: bool = False, **stamps: int) -> dict[str, int]:
        """Read a list; return the age of each server in milliseconds, -1 for one without a start."""
        entries: list[dict[str, Any]] = [
            {"instanceId": name, "startedAtMs": stamp} for name, stamp in stamps.items()
        ]
        self.starts.begin_list(entries, full, is_cached)
        started = {name: self.starts.started(name, stamp) for name, stamp in stamps.items()}
        return {name: (self.now - start) // MS if start else -1 for name, start in started.items()}

    def advance(self, span_ms: int) -> None:
        self.now += span_ms * MS


def test_a_start_that_comes_as_a_change_counts_from_then_on() -> None:
    times = Times()
    assert times.read(False, a=STAMP_MS) == {"a": 0}
    times.advance(700)
    assert times.read(False, a=STAMP_MS, b=STAMP_MS - 60_000) == {"a": 700, "b": 0}
    assert times.read(True, a=STAMP_MS, b=STAMP_MS - 60_000) == {"a": 700, "b": 0}, (
        "known servers keep their start"
    )


def test_stamps_of_a_whole_list_compare_with_its_newest() -> None:
    times = Times()
    ages = times.read(True, long_ago=0, old=STAMP_MS - 60_000, later=STAMP_MS - 2_000, new=STAMP_MS)
    assert ages == {"long_ago": -1, "old": 60_000, "later": 2_000, "new": 0}


def test_a_restart_counts_anew_also_with_an_earlier_stamp() -> None:
    times = Times()
    times.read(False, a=STAMP_MS)
    times.advance(9_000)
    assert times.read(False, a=STAMP_MS - 3_600_000) == {"a": 0}


def test_only_the_next_full_list_corrects_the_starts_of_a_cached_list() -> None:
    times = Times()
    assert times.read(True, is_cached=True, a=STAMP_MS, b=STAMP_MS) == {"a": 0, "b": 0}
    times.advance(500)
    assert times.read(True, a=STAMP_MS, b=STAMP_MS, c=STAMP_MS + 30_000) == {"a": 30_000, "b": 30_000, "c": 0}
    times.advance(500)
    assert times.read(True, a=STAMP_MS, c=STAMP_MS + 90_000) == {"a": 30_500, "c": 0}
    times.advance(500)
    assert times.read(True, a=STAMP_MS, c=STAMP_MS + 90_000) == {"a": 31_000, "c": 500}


def test_newest_server_of_a_cached_list_is_at_least_as_old_as_the_process() -> None:
    times = Times()
    times.read(True, is_cached=True, a=STAMP_MS)
    times.advance(8_000)
    assert times.read(True, a=STAMP_MS) == {"a": 8_000}


def test_removed_server_is_forgotten() -> None:
    times = Times()
    times.read(True, a=STAMP_MS, b=STAMP_MS)
    times.advance(1_000)
    times.starts.forget("a")
    assert times.read(False, a=STAMP_MS) == {"a": 0}
    times.read(True, a=STAMP_MS)
    assert times.read(False, b=STAMP_MS) == {"b": 0}
