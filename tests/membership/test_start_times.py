"""Start times without a wall clock: never older than they are, and real spans afterwards."""

from __future__ import annotations

from typing import Any

from saltport.membership.start_times import StartTimes

MS = 10**6
STAMP_MS = 1_700_000_000_000


class Times:
    """Start times under a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 10**12
        self.starts = StartTimes(lambda: self.now)

    def read(self, whole: bool, is_old: bool = False, **stamps: int) -> dict[str, int]:
        """Read a list; returns the age of each server in it, in milliseconds."""
        entries: list[dict[str, Any]] = [
            {"instanceId": name, "startedAtMs": stamp} for name, stamp in stamps.items()
        ]
        self.starts.begin_list(entries, whole, is_old)
        started = {name: self.starts.started(name, stamp) for name, stamp in stamps.items()}
        return {name: (self.now - start) // MS if start else -1 for name, start in started.items()}

    def passes(self, span_ms: int) -> None:
        self.now += span_ms * MS


def test_a_start_that_comes_as_a_change_counts_from_then_on() -> None:
    times = Times()
    assert times.read(False, a=STAMP_MS) == {"a": 0}
    times.passes(700)
    assert times.read(False, a=STAMP_MS, b=STAMP_MS - 60_000) == {"a": 700, "b": 0}
    assert times.read(True, a=STAMP_MS, b=STAMP_MS - 60_000) == {"a": 700, "b": 0}, "known ones keep theirs"


def test_stamps_of_a_whole_list_compare_with_its_newest() -> None:
    times = Times()
    ages = times.read(True, long_ago=0, old=STAMP_MS - 60_000, later=STAMP_MS - 2_000, new=STAMP_MS)
    assert ages == {"long_ago": -1, "old": 60_000, "later": 2_000, "new": 0}


def test_a_restart_counts_anew_also_with_an_earlier_stamp() -> None:
    times = Times()
    times.read(False, a=STAMP_MS)
    times.passes(9_000)
    assert times.read(False, a=STAMP_MS - 3_600_000) == {"a": 0}


def test_a_list_that_was_kept_is_told_more_of_by_the_next_one_and_only_by_that() -> None:
    times = Times()
    assert times.read(True, is_old=True, a=STAMP_MS, b=STAMP_MS) == {"a": 0, "b": 0}
    times.passes(500)
    assert times.read(True, a=STAMP_MS, b=STAMP_MS, c=STAMP_MS + 30_000) == {"a": 30_000, "b": 30_000, "c": 0}
    times.passes(500)
    assert times.read(True, a=STAMP_MS, c=STAMP_MS + 90_000) == {"a": 30_500, "c": 0}
    times.passes(500)
    assert times.read(True, a=STAMP_MS, c=STAMP_MS + 90_000) == {"a": 31_000, "c": 500}


def test_the_newest_of_a_kept_list_is_as_old_as_the_process_at_least() -> None:
    times = Times()
    times.read(True, is_old=True, a=STAMP_MS)
    times.passes(8_000)
    assert times.read(True, a=STAMP_MS) == {"a": 8_000}


def test_one_that_is_gone_is_forgotten() -> None:
    times = Times()
    times.read(True, a=STAMP_MS, b=STAMP_MS)
    times.passes(1_000)
    times.starts.forget("a")
    assert times.read(False, a=STAMP_MS) == {"a": 0}
    times.read(True, a=STAMP_MS)
    assert times.read(False, b=STAMP_MS) == {"b": 0}
