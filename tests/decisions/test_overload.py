"""The router's own overload: its detection, the order of shedding, and its end."""

from __future__ import annotations

import random
import sys
from collections import Counter

import pytest
from hypothesis import given, strategies
from hypothesis import settings as profile

from saltport.decisions import LoopReport, Outcome, Refuse, Tenant, views
from saltport.decisions.overload import (
    FIRST,
    MIN_ADMITTED_SHARE,
    MIN_OVERLOADED_REPORTS,
    RETRY,
    TOO_LATE,
    OverloadControl,
)
from saltport.structures.shares import fair_shares
from tests.decisions.helpers import (
    MS,
    S,
    ended,
    fleet,
    given_up,
    only_send,
    request,
    sends,
    settings,
    started,
)

TARGET = 30 * MS
OVER, CALM = LoopReport(1.0, 2 * TARGET), LoopReport(0.6, TARGET // 10)


def control(target: int = TARGET) -> OverloadControl:
    tenants = (Tenant("public", 0.63), Tenant("municipal", 0.37))
    return OverloadControl(settings(tenants=tenants, overload_target=target), random.Random(3))


def load(overload: OverloadControl, reports: int, report: LoopReport, **kinds: int) -> Counter[str]:
    """Send arrivals of each kind (TENANT_RANK) before each of some reports; return the admitted ones."""
    ranks = {"late": TOO_LATE, "retry": RETRY, "first": FIRST}
    taken: Counter[str] = Counter()
    for _ in range(reports):
        for kind, count in kinds.items():
            tenant, _, rank = kind.partition("_")
            taken[kind] += sum(
                overload.admit(tenant, rank == "write", ranks.get(rank, FIRST)) for _ in range(count)
            )
        overload.report(report)
    return taken


@pytest.mark.parametrize(
    "report", [LoopReport(1.0, TARGET), LoopReport(0.9, 10 * TARGET), CALM], ids=["prompt", "rests", "calm"]
)
def test_busy_but_prompt_or_slow_but_with_rest_is_no_overload(report: LoopReport) -> None:
    overload = control()
    assert load(overload, 20, report, public_first=50)["public_first"] == 1000
    assert overload.admitted == 1.0


def test_a_lone_stall_sheds_nothing_and_a_lasting_one_does() -> None:
    overload = control()
    for _ in range(5):
        load(overload, MIN_OVERLOADED_REPORTS - 1, OVER, public_first=50)
        load(overload, 1, CALM, public_first=50)
    assert overload.admitted == 1.0
    load(overload, MIN_OVERLOADED_REPORTS - 1, OVER)
    assert "shedding begins" in (overload.report(OVER) or "")
    assert overload.admitted < 1.0


def test_it_is_off_unless_a_target_is_set() -> None:
    overload = control(0)
    assert load(overload, 50, OVER, public_first=50)["public_first"] == 2500
    assert views.overload(overload)["overloaded"] is False


def test_it_ends_and_says_so() -> None:
    overload = control()
    load(overload, 60, OVER, public_first=50)
    assert overload.admitted == pytest.approx(0.5)  # at twice the target delay there is capacity for half
    load(overload, 60, LoopReport(1.0, 1000 * TARGET), public_first=50)
    assert overload.admitted == pytest.approx(MIN_ADMITTED_SHARE)
    lines = [overload.report(CALM) for _ in range(100)]
    (line,) = [line for line in lines if line]
    assert "no longer overloaded" in line
    assert load(overload, 5, CALM, public_first=50)["public_first"] == 250


def test_a_tenant_beyond_its_share_is_shed_and_the_other_is_not() -> None:
    overload = control()
    load(overload, 9, OVER, public_first=30, municipal_first=300)
    assert 0.4 < overload.admitted < 0.6
    taken = load(overload, 1, LoopReport(1.0, TARGET + 1), public_first=30, municipal_first=300)
    assert taken["public_first"] == 30
    assert 60 < taken["municipal_first"] < 200


def test_within_a_tenant_the_least_worth_goes_first_and_writes_never() -> None:
    overload = control()
    kinds = {"public_late": 20, "public_retry": 40, "public_first": 100, "public_write": 10}
    load(overload, 4, OVER, **kinds)
    taken = load(overload, 1, OVER, **kinds)
    assert taken["public_late"] == 0
    assert 0 < taken["public_retry"] < 40
    assert (taken["public_first"], taken["public_write"]) == (100, 10)
    load(overload, 8, OVER, **kinds)
    taken = load(overload, 1, OVER, **kinds)
    assert taken["public_retry"] == 0
    assert 0 < taken["public_first"] < 100
    assert taken["public_write"] == 10


def test_tenants_that_nobody_stated_share_the_least() -> None:
    overload = control()
    load(overload, 9, OVER, public_first=100, stranger_first=300, other_first=300)
    taken = load(overload, 1, OVER, public_first=100, stranger_first=300, other_first=300)
    assert taken["public_first"] == 100
    assert views.overload(overload)["shed"].keys() == {"(none)"}  # type: ignore[attr-defined]


NAMES = strategies.sampled_from("abcdef")


@given(
    asked=strategies.dictionaries(NAMES, strategies.floats(0, 1000), min_size=1),
    capacity=strategies.floats(0, 3000),
    weights=strategies.lists(strategies.floats(0.01, 1), min_size=6, max_size=6),
)
@profile(derandomize=True, max_examples=300, deadline=None)
def test_fair_shares_use_the_capacity_and_give_nobody_more_than_asked(
    asked: dict[str, float], capacity: float, weights: list[float]
) -> None:
    weighed = dict(zip("abcdef", weights, strict=True))
    given = fair_shares(capacity, asked, weighed)
    assert given.keys() == asked.keys()
    assert all(0 <= given[name] <= asked[name] + 1e-6 for name in asked)
    assert sum(given.values()) == pytest.approx(min(capacity, sum(asked.values())), abs=1e-6)
    short = [name for name in asked if given[name] < asked[name] - 1e-6]
    rates = [given[name] / weighed[name] for name in short]
    rounding = sys.float_info.min  # below it a float has too few digits for a relative difference
    assert max(rates, default=0) - min(rates, default=0) <= 1e-6 * max(rates, default=1) + rounding
    # no limited tenant gets less per weight than a satisfied one
    assert all(given[name] / weighed[name] >= max(rates, default=0) - 1e-6 for name in short)


def test_a_shed_read_is_refused_with_a_pause_and_held_against_no_server() -> None:
    config = settings(
        tenants=(Tenant("a", 1.0),), overload_target=TARGET, retry_after=True, max_retry_after=S
    )
    router = started(config, fleet(3))
    waits = []
    for number in range(200):
        at = number * 10 * MS
        (*_, answer) = router.handle(request(f"r{number}", at, key=f"k{number}"), at)
        if isinstance(answer, Refuse):
            waits.append(answer.retry_after)
        else:
            router.handle(ended(only_send([answer]), Outcome.OK), at)
        write = only_send(router.handle(request(f"w{number}", at, "edit"), at))
        router.handle(ended(write, Outcome.OK), at)
        router.handle(OVER, at)
    assert len(waits) > 50
    assert all(S // 2 <= wait <= S for wait in waits)
    assert len({wait // MS for wait in waits}) > 30  # the waits are spread
    view = views.summary(router, 2 * S)
    assert given_up(view) == {"router overloaded": len(waits)}
    assert view["outliers"]["servers"] == {}  # type: ignore[index]
    for _ in range(200):
        router.handle(CALM, 2 * S)
    assert sends(router.handle(request("x", 3 * S), 3 * S))


@pytest.mark.parametrize("target", [TARGET, 0])
def test_a_storm_is_answered_in_time_for_what_is_taken(target: int) -> None:
    """100 requests arrive per report where 40 can be served: only with shedding the queue stays short."""
    overload, queue = control(target), 0
    waits = []  # in report periods
    for number in range(300):
        queue += sum(overload.admit("public", False, FIRST) for _ in range(100))
        queue = max(queue - 40, 0)
        overload.report(LoopReport(1.0 if queue else 0.5, int(queue / 40 * 100 * MS)))
        if number > 100:
            waits.append(queue / 40)
    mean = sum(waits) / len(waits)
    assert mean < 5 if target else mean > 100
