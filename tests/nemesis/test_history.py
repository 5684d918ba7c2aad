"""Checks on constructed histories: clean ones pass, and each planted defect is found by its rule."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import pytest
from click.testing import CliRunner

from saltport.cli import cli
from saltport.nemesis.history import FaultSpan, History, Member, OwnershipSample, Sample
from saltport.nemesis.schedule import KINDS, ScheduleError, draw_schedule, read_schedule

NAMES = ["r1", "r2", "r3", "r4"]
HEALTHY = {name: Member("alive", 5, 0) for name in NAMES}


def sample(at: float, router: str, members: Mapping[str, Member] = HEALTHY, **more: str) -> Sample:
    fields = {"digest": "d", "standing": "majority", **more}
    return Sample(at, router, 1, fields["digest"], fields["standing"], members)


def history(*samples: Sample, faults: tuple[FaultSpan, ...] = ()) -> History:
    last = [sample(100, name) for name in NAMES]
    return History(list(NAMES), [*samples, *last], list(faults), ended=101)


def broken(recorded: History) -> set[str]:
    return {violation.rule for violation in recorded.check()}


def test_a_clean_history_passes_and_counts_its_cases() -> None:
    dead = {**HEALTHY, "r2": Member("dead", 5, 0)}
    back = {**HEALTHY, "r2": Member("alive", 5, 1)}
    recorded = history(
        sample(3, "r1", dead), sample(4, "r1", back), faults=(FaultSpan("stopped", "r2", 0, 3.5),)
    )  # fmt: skip
    recorded.samples[-4:] = [sample(100, name, back) for name in NAMES]
    assert recorded.check() == []
    assert recorded.checked()["no_false_death"] == 1
    assert recorded.checked()["agreed_at_last"] == 4


def test_a_reported_death_of_a_healthy_router_is_false() -> None:
    dead = {**HEALTHY, "r2": Member("dead", 5, 0)}
    assert "no_false_death" in broken(history(sample(3, "r1", dead)))
    assert "no_false_death" in broken(
        history(sample(30, "r1", dead), faults=(FaultSpan("stopped", "r2", 0, 3.5),))
    )
    assert "no_false_death" not in broken(
        history(sample(3, "r1", dead), faults=(FaultSpan("cut", "r1", 0, 3.5),))
    )


@pytest.mark.parametrize(
    "later", [Member("alive", 5, 2), Member("alive", 4, 9), Member("alive", 5, 3), Member("suspect", 5, 3)]
)
def test_records_that_go_back_are_found(later: Member) -> None:
    earlier = {**HEALTHY, "r2": Member("dead", 5, 3)}
    recorded = history(sample(1, "r1", earlier), sample(2, "r1", {**HEALTHY, "r2": later}))
    assert "records_only_rise" in broken(recorded)


def test_two_majorities_are_found_once_a_partition_has_lasted() -> None:
    side = frozenset(["r1", "r2"])
    faults = tuple(FaultSpan("cut", name, 0, 20, side) for name in NAMES)
    assert "one_majority" in broken(history(sample(15, "r1"), sample(16, "r3"), faults=faults))
    assert "one_majority" not in broken(history(sample(3, "r1"), sample(16, "r3"), faults=faults))
    minority = sample(15, "r1", standing="minority")
    assert "one_majority" not in broken(history(minority, sample(16, "r3"), faults=faults))


def test_an_owner_that_continues_after_a_later_epoch_is_found() -> None:
    recorded = history()
    recorded.ownership = [
        OwnershipSample(2, "r1", "p", 5),
        OwnershipSample(1, "r1", "p", 5),
        OwnershipSample(3, "r2", "p", 6),
        OwnershipSample(1, "r2", "q", 4),
    ]
    assert recorded.check() == []
    # A router that resumes late and still reports ownership.
    recorded.ownership.append(OwnershipSample(4, "r1", "p", 5))
    assert broken(recorded) == {"one_owner"}
    recorded.ownership[-1] = OwnershipSample(4, "r3", "p", 6)
    assert broken(recorded) == {"one_owner"}


def test_a_router_that_disagrees_at_the_end_is_found() -> None:
    recorded = history()
    recorded.samples[-1] = sample(100, "r4", {**HEALTHY, "r2": Member("dead", 5, 0)})
    assert "agreed_at_last" in broken(recorded)
    recorded.samples[-1] = sample(100, "r4", digest="other")
    assert "agreed_at_last" in broken(recorded)
    recorded.samples.pop()
    assert "agreed_at_last" in broken(recorded)


def test_deaths_are_timed_until_the_last_router_reports_them() -> None:
    dead = {**HEALTHY, "r2": Member("dead", 5, 0)}
    span = FaultSpan("down", "r2", 10, 20)
    recorded = history(
        sample(12, "r1", dead), sample(13, "r3", dead), sample(14.5, "r4", dead), faults=(span,)
    )  # fmt: skip
    assert recorded.detection_times() == [4.5]
    recorded.samples.pop(2)
    assert recorded.detection_times() == []


def test_a_drawn_schedule_is_repeatable_has_every_kind_and_ends_without_faults() -> None:
    faults = draw_schedule(3, NAMES, 200)
    assert faults == draw_schedule(3, NAMES, 200)
    assert faults != draw_schedule(4, NAMES, 200)
    assert {fault.kind for fault in faults} == set(KINDS)
    assert all(fault.at + fault.seconds <= 161 for fault in faults)


def test_a_file_is_read_in_order_and_its_errors_are_reported(tmp_path: Path) -> None:
    path = tmp_path / "schedule.toml"
    act = '[[act]]\nat = {at}\nkind = "{kind}"\nseconds = 1\nwho = {who}\n'
    path.write_text(act.format(at=3, kind="kill", who='["r1"]') + act.format(at=1, kind="stop", who='"r2"'))
    assert [(fault.at, fault.kind, fault.who) for fault in read_schedule(path, NAMES)] == [
        (1, "stop", ("r2",)),
        (3, "kill", ("r1",)),
    ]
    for text, words in [
        (act.format(at=1, kind="hug", who='["r1"]'), "unknown kind 'hug'"),
        (act.format(at=1, kind="kill", who='["r9"]'), "'r9' is no router"),
        (act.format(at=1, kind="kill", who="[]"), "must be named"),
        (act.format(at=-1, kind="kill", who='["r1"]'), "expected a number"),
        ("[[act]]\nat = 1\n", "expected at, kind, seconds"),
        ("x = 1\n", "nothing else"),
        ("[[act", "no TOML"),
    ]:
        path.write_text(text)
        with pytest.raises(ScheduleError, match=words.replace("[", r"\[")):
            read_schedule(path, NAMES)
    with pytest.raises(ScheduleError, match="can't be read"):
        read_schedule(tmp_path / "none", NAMES)
    result = CliRunner().invoke(cli, ["nemesis", "--schedule", str(tmp_path / "none")])
    assert (result.exit_code, "can't be read" in result.output) == (2, True)
