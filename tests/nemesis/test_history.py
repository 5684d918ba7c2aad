"""The checkers on made histories: clean ones pass, and each planted defect is found by its rule."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import pytest
from click.testing import CliRunner

from saltport.cli import cli
from saltport.nemesis.history import History, Hold, Member, Sample, Span
from saltport.nemesis.schedule import KINDS, ScheduleError, draw_schedule, read_schedule

NAMES = ["r1", "r2", "r3", "r4"]
WELL = {name: Member("alive", 5, 0) for name in NAMES}


def sample(at: float, by: str, members: Mapping[str, Member] = WELL, **more: str) -> Sample:
    told = {"digest": "d", "standing": "majority", **more}
    return Sample(at, by, 1, told["digest"], told["standing"], members)


def history(*samples: Sample, spans: tuple[Span, ...] = ()) -> History:
    last = [sample(100, name) for name in NAMES]
    return History(list(NAMES), [*samples, *last], list(spans), ended=101)


def broken(made: History) -> set[str]:
    return {violation.rule for violation in made.check()}


def test_a_clean_history_passes_and_says_on_how_much() -> None:
    dead = {**WELL, "r2": Member("dead", 5, 0)}
    back = {**WELL, "r2": Member("alive", 5, 1)}
    made = history(
        sample(3, "r1", dead), sample(4, "r1", back), spans=(Span("stopped", "r2", 0, 3.5),)
    )  # fmt: skip
    made.samples[-4:] = [sample(100, name, back) for name in NAMES]
    assert made.check() == []
    assert made.checked()["no_false_death"] == 1
    assert made.checked()["agreed_at_last"] == 4


def test_a_death_of_who_was_well_is_false() -> None:
    dead = {**WELL, "r2": Member("dead", 5, 0)}
    assert "no_false_death" in broken(history(sample(3, "r1", dead)))
    assert "no_false_death" in broken(history(sample(30, "r1", dead), spans=(Span("stopped", "r2", 0, 3.5),)))
    assert "no_false_death" not in broken(history(sample(3, "r1", dead), spans=(Span("cut", "r1", 0, 3.5),)))


@pytest.mark.parametrize(
    "later", [Member("alive", 5, 2), Member("alive", 4, 9), Member("alive", 5, 3), Member("suspect", 5, 3)]
)
def test_records_that_go_back_are_found(later: Member) -> None:
    earlier = {**WELL, "r2": Member("dead", 5, 3)}
    made = history(sample(1, "r1", earlier), sample(2, "r1", {**WELL, "r2": later}))
    assert "records_only_rise" in broken(made)


def test_two_majorities_are_found_once_a_partition_has_lasted() -> None:
    side = frozenset(["r1", "r2"])
    spans = tuple(Span("cut", name, 0, 20, side) for name in NAMES)
    assert "one_majority" in broken(history(sample(15, "r1"), sample(16, "r3"), spans=spans))
    assert "one_majority" not in broken(history(sample(3, "r1"), sample(16, "r3"), spans=spans))
    minority = sample(15, "r1", standing="minority")
    assert "one_majority" not in broken(history(minority, sample(16, "r3"), spans=spans))


def test_an_owner_beside_a_later_one_is_found() -> None:
    made = history()
    made.holds = [Hold(2, "r1", "p", 5), Hold(1, "r1", "p", 5), Hold(3, "r2", "p", 6), Hold(1, "r2", "q", 4)]
    assert made.check() == []
    made.holds.append(Hold(4, "r1", "p", 5))  # it woke up late, and still believes
    assert broken(made) == {"one_owner"}
    made.holds[-1] = Hold(4, "r3", "p", 6)
    assert broken(made) == {"one_owner"}


def test_whoever_disagrees_at_the_end_is_found() -> None:
    made = history()
    made.samples[-1] = sample(100, "r4", {**WELL, "r2": Member("dead", 5, 0)})
    assert "agreed_at_last" in broken(made)
    made.samples[-1] = sample(100, "r4", digest="other")
    assert "agreed_at_last" in broken(made)
    made.samples.pop()
    assert "agreed_at_last" in broken(made)


def test_deaths_are_timed_until_the_last_one_knows() -> None:
    dead = {**WELL, "r2": Member("dead", 5, 0)}
    span = Span("down", "r2", 10, 20)
    made = history(
        sample(12, "r1", dead), sample(13, "r3", dead), sample(14.5, "r4", dead), spans=(span,)
    )  # fmt: skip
    assert made.detections() == [4.5]
    made.samples.pop(2)
    assert made.detections() == []


def test_a_drawn_schedule_repeats_has_every_kind_and_ends_in_calm() -> None:
    acts = draw_schedule(3, NAMES, 200)
    assert acts == draw_schedule(3, NAMES, 200)
    assert acts != draw_schedule(4, NAMES, 200)
    assert {act.kind for act in acts} == set(KINDS)
    assert all(act.at + act.seconds <= 161 for act in acts)


def test_a_file_is_read_in_order_and_its_faults_are_told(tmp_path: Path) -> None:
    path = tmp_path / "schedule.toml"
    act = '[[act]]\nat = {at}\nkind = "{kind}"\nseconds = 1\nwho = {who}\n'
    path.write_text(act.format(at=3, kind="kill", who='["r1"]') + act.format(at=1, kind="stop", who='"r2"'))
    assert [(held.at, held.kind, held.who) for held in read_schedule(path, NAMES)] == [
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
    told = CliRunner().invoke(cli, ["nemesis", "--schedule", str(tmp_path / "none")])
    assert (told.exit_code, "can't be read" in told.output) == (2, True)
