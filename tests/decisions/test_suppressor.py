"""The three regimes of the Trypema paper against values computed by hand, and the AIMD limit."""

from __future__ import annotations

import random

import pytest

from saltport.decisions.interface import Tenant
from saltport.decisions.suppression import CUT_FACTOR, RISE_S, Suppressor
from tests.decisions.helpers import MS, S


class Fixed(random.Random):
    """A random source that always returns the same number."""

    def __init__(self, value: float) -> None:
        super().__init__(0)
        self.value = value

    def random(self) -> float:
        return self.value


def suppressor(limit: float = 10.0, window_s: float = 60.0, draw: float = 0.5) -> Suppressor:
    limiter = Suppressor(Tenant("t", 1.0, limit), 1, Fixed(draw))
    limiter.window_s = window_s
    return limiter


def fill(limiter: Suppressor, start: int, count: int, per_s: float, declined: bool = False) -> int:
    """Count calls at an even rate from `start`; return the time after the last."""
    now = start
    for _ in range(count):
        limiter.count(now, declined)
        now += int(S / per_s)
    return now


def test_first_call_goes_and_below_the_soft_limit_all_go() -> None:
    limiter = suppressor(limit=1.0, window_s=10.0, draw=0.999)
    assert [limiter.admit(i * 100 * MS) for i in range(10)] == [True] * 10
    assert len(limiter.calls) == 10
    assert limiter.calls.declined == 0


def test_worked_example_of_the_paper_700_in_the_window_and_12_in_the_last_second() -> None:
    # 700 / 60 = 11.67 per second on average, 12 in the last 1000 ms: the chance is 10 / 12.
    limiter = suppressor()
    fill(limiter, 0, 688, per_s=12.0)
    now = 59 * S
    fill(limiter, now, 12, per_s=100.0)
    assert len(limiter.calls) == 700
    assert limiter.chance(now + 500 * MS) == pytest.approx(10 / 12)


def test_window_average_is_used_when_it_is_the_higher_rate() -> None:
    limiter = suppressor()
    now = fill(limiter, 0, 840, per_s=15.0)  # 56 s; 840 / 60 = 14 per second
    assert limiter.chance(now + 2 * S) == pytest.approx(10 / 14)


@pytest.mark.parametrize(("draw", "allowed"), [(0.70, True), (0.72, False)])
def test_between_the_limits_a_fetch_goes_with_the_chance(draw: float, allowed: bool) -> None:
    limiter = suppressor(draw=draw)
    now = fill(limiter, 0, 840, per_s=15.0)
    assert limiter.admit(now + 2 * S) is allowed
    assert len(limiter.calls) == 841
    assert limiter.calls.declined == (not allowed)


def test_hard_limit_on_the_current_total_denies_whatever_the_draw() -> None:
    limiter = suppressor(draw=0.0)
    now = fill(limiter, 0, 899, per_s=15.0)
    assert limiter.admit(now)  # 899: still between the limits
    assert not limiter.admit(now)  # 900 = 60 x 10 x 1.5


def test_chance_is_cached_for_100_ms_and_never_above_one() -> None:
    limiter = suppressor()
    limiter.count(0)
    assert limiter.chance(0) == 1.0
    fill(limiter, 10 * MS, 30, per_s=1000.0)
    assert limiter.chance(99 * MS) == 1.0
    assert limiter.chance(100 * MS) == pytest.approx(10 / 31)


def test_window_forgets() -> None:
    limiter = suppressor(window_s=10.0)
    fill(limiter, 0, 50, per_s=100.0)
    assert limiter.accepted(9 * S) == 50
    assert limiter.accepted(11 * S) == 0
    assert len(limiter.calls) == 0


def test_declined_calls_alone_do_not_keep_a_tenant_at_the_hard_limit() -> None:
    # Guards against a deadlock under overload: retries of declined reads are counted and keep the total high.
    limiter = suppressor(limit=1.0, window_s=10.0, draw=0.05)
    fill(limiter, 0, 100, per_s=20.0, declined=True)
    assert limiter.accepted(5 * S) == 0
    assert limiter.admit(5 * S)  # admitted with the chance 1 / 20 instead of being denied
    shut = suppressor(limit=1.0, window_s=10.0, draw=0.06)
    fill(shut, 0, 100, per_s=20.0, declined=True)
    assert not shut.admit(5 * S)


def test_rise_only_while_used_and_up_to_the_cap() -> None:
    limiter = suppressor(limit=10.0, window_s=10.0)
    limiter.limit = 4.0
    limiter.rise(S)
    assert limiter.limit == 4.0
    now = fill(limiter, S, 60, per_s=10.0)
    limiter.rise(now)
    assert limiter.limit == pytest.approx(4.0 + 10.0 / RISE_S * 6.0)  # 6 s since the last rise
    for i in range(1, 200):
        limiter.count(now + i * 50 * MS)
        limiter.rise(now + i * 50 * MS)
    assert limiter.limit <= 10.0


def test_cut_is_from_what_was_used_and_harder_over_the_portion() -> None:
    limiter = Suppressor(Tenant("t", 0.5, 10.0), 1, Fixed(0.5))
    now = fill(limiter, S, 40, per_s=20.0)  # 8 per second over the window of 5 s
    limiter.cut(now, total_rate=20.0)
    assert limiter.limit == pytest.approx(8.0 * CUT_FACTOR)
    limiter.cut(now, total_rate=10.0)
    assert limiter.limit == pytest.approx(8.0 * CUT_FACTOR**3)
    for _ in range(30):
        limiter.cut(now, total_rate=10.0)
    assert limiter.limit == limiter.floor == pytest.approx(0.2)
