"""The audit passes a good run, and finds each rule broken on a doctored ledger."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from saltport.audit import AuditError, Limits, audit, merge
from saltport.standins.ledger import Record
from saltport.standins.profile import ClassProfile, Profile

MS = 1_000_000
S = 1000 * MS
PROFILE = replace(
    Profile(), classes=(*Profile().classes, ClassProfile("once", 0.0, (5.0, 5.0), 500, 1000, "fragile"))
)
NODE, OTHER = "127.0.0.1:7001", "127.0.0.1:7002"
ORIGIN = "127.0.0.1:7000"


def tried(request: str, at: int, **more: Any) -> Record:
    """A try that was sent at `at` and answered 20 ms later."""
    return {
        "kind": "try", "t": at + 20 * MS, "id": request, "cls": "fetch", "key": "k", "router": "r1",
        "sent": at, "wait_ms": 500, "answer": "served", "writer": "clients", **more,
    }  # fmt: skip


def attempt(request: str, at: int, address: str = NODE, **more: Any) -> Record:
    return {
        "kind": "attempt", "t": at, "first": at, "id": request, "node": address, "address": address,
        "cls": "fetch",
        "outcome": "begun", "work": 40.0, "writer": "fleet", **more,
    }  # fmt: skip


def told(at: int, whole: bool = True, **states: str) -> Record:
    addresses = {"n1": NODE, "n2": OTHER, "origin": ORIGIN}
    listed = {name: [state, addresses[name]] for name, state in states.items()}
    return {"kind": "told", "t": at, "router": "r1", "whole": whole, "states": listed, "writer": "fleet"}


def effect(request: str, at: int, **more: Any) -> Record:
    return {
        "kind": "effect",
        "t": at,
        "node": "origin",
        "id": request,
        "repeat": False,
        "writer": "fleet",
        **more,
    }


def good_run() -> list[Record]:
    return [
        told(0, n1="up", n2="up", origin="up"),
        tried("a", S), attempt("a", S + MS),
        tried("w", S, cls="yank"), attempt("w", S + MS, ORIGIN, cls="yank"), effect("w", S + 5 * MS),
        tried("o", S, cls="once"), attempt("o", S + MS, ORIGIN, cls="once"), effect("o", S + 5 * MS),
        told(2 * S, whole=False, n1="draining"),
        tried("b", 2 * S, t=2 * S + 350 * MS), attempt("b", 2 * S + 300 * MS),
        tried("c", 3 * S), attempt("c", 3 * S + MS, OTHER),
        told(4 * S, whole=False, n1="up"),
        {"kind": "cold", "t": 4 * S, "node": NODE, "cores": 1, "cold_from": 0.4, "cold_ms": 6000,
         "multiple": 4.0, "fall_ms": 2000, "writer": "fleet"},
        tried("d", 5 * S), attempt("d", 5 * S + MS),
        {"kind": "router", "t": 6 * S, "name": "r1", "state": "killed", "writer": "harness"},
        tried("e", 6 * S - MS, answer="gone"), attempt("e", 6 * S),
        tried("g", 7 * S, answer="refused", cls="once"),
        tried("h", 7 * S, answer="unsent", sent=0),
    ]  # fmt: skip


def broken(records: list[Record], **limits: int) -> list[str]:
    return [violation.rule for violation in audit(records, PROFILE, Limits(**limits)).violations]


def test_good_run_is_clean() -> None:
    verdict = audit(good_run(), PROFILE)
    assert verdict.violations == []
    assert verdict.checked == {"answers": 9, "effects": 3, "drains": 1, "cold": 1, "stale": 0}
    assert verdict.notes["lost_with_a_router"] == 1


DOCTORED: dict[str, tuple[str, Callable[[], list[Record]]]] = {
    "no answer": ("answers", lambda: [tried("x", S, answer="none", t=S + 600 * MS)]),
    "closed with nothing sent on": ("answers", lambda: [tried("x", S, answer="gone")]),
    "closed after it was sent on": ("answers", lambda: [tried("x", S, answer="gone"), attempt("x", S + MS)]),
    "late": ("answers", lambda: [tried("x", S, t=S + 551 * MS)]),
    "another's value": ("answers", lambda: [tried("x", S, answer="wrong")]),
    "answered twice": ("answers", lambda: [tried("x", S), tried("x", S)]),
    "two answers on the wire": (
        "answers", lambda: [{"kind": "extra", "t": S, "router": "r1", "writer": "clients"}],
    ),
    "sent after the answer": ("answers", lambda: [tried("x", S), attempt("x", S + 100 * MS)]),
    "sent after its time": (
        "answers", lambda: [tried("x", S, answer="unreadable"), attempt("x", S + 600 * MS)],
    ),
    "a router crashed": (
        "answers",
        lambda: [{"kind": "router", "t": S, "name": "r1", "state": "crashed", "writer": "harness"}],
    ),
    "an effect twice": (
        "effects", lambda: [tried("x", S, cls="yank"), effect("x", S), effect("x", S + MS)],
    ),
    "sent again beyond the window": (
        "effects",
        lambda: [
            tried("x", S, cls="publish", wait_ms=4000, t=4 * S),
            attempt("x", S, ORIGIN, cls="publish"), attempt("x", S + 2600 * MS, ORIGIN, cls="publish"),
        ],
    ),
    "an unsafe one run twice": (
        "effects",
        lambda: [
            tried("x", S, cls="once"),
            attempt("x", S, ORIGIN, cls="once"), attempt("x", S + MS, ORIGIN, cls="once"),
        ],
    ),
    "an unsafe one run and refused": (
        "effects", lambda: [tried("x", S, cls="once", answer="refused"), attempt("x", S, ORIGIN, cls="once")],
    ),
    "an effect that nobody asked for": ("effects", lambda: [effect("x", S)]),
    "sent to a drained node": (
        "drains", lambda: [tried("x", 2 * S + 540 * MS), attempt("x", 2 * S + 551 * MS)],
    ),
    "sent to a node that a whole list left out": (
        "drains", lambda: [told(8 * S, n2="up"), tried("x", 9 * S), attempt("x", 9 * S)],
    ),
    "sent to a node that was never listed": (
        "drains", lambda: [tried("x", S), attempt("x", S, "127.0.0.1:9999")],
    ),
    "a cold node pushed over": (
        "cold", lambda: [r for n in range(120) for r in (tried(f"x{n}", 5 * S), attempt(f"x{n}", 5 * S + n))],
    ),
    "a read that is older than an answered write": (
        "stale", lambda: [
            tried("x", 6 * S, cls="yank"), attempt("x", 6 * S, ORIGIN, cls="yank"),
            effect("x", 6 * S + MS, key="k", version=3),
            tried("y", 7 * S, version=3), attempt("y", 7 * S),
            tried("z", 7 * S, version=2), attempt("z", 7 * S),
            tried("during", 6 * S + 10 * MS, version=2), attempt("during", 6 * S + 10 * MS),
        ],
    ),
    "a node that fell": ("cold", lambda: [{"kind": "fell", "t": S, "node": "n9", "writer": "fleet"}]),
}  # fmt: skip


@pytest.mark.parametrize("case", DOCTORED)
def test_each_rule_fails_on_a_doctored_ledger(case: str) -> None:
    rule, more = DOCTORED[case]
    records = sorted([*good_run(), *more()], key=lambda record: int(record["t"]))
    assert set(broken(records)) == {rule}


def test_what_a_stalled_writer_noted_late_is_no_violation() -> None:
    late = [*good_run(), tried("x", S, t=S + 700 * MS)]
    assert broken(late) == ["answers"]
    stalled = {"kind": "lag", "t": S + 690 * MS, "ns": 200 * MS, "writer": "clients"}
    assert broken([*late, stalled]) == []
    elsewhere = {**stalled, "writer": "fleet"}
    assert broken([*late, elsewhere]) == ["answers"]


def test_a_value_begun_in_time_has_failed_and_is_not_lost() -> None:
    late = tried("x", S, t=S + 900 * MS)
    unfinished = tried("y", S, t=S + 1500 * MS, answer="none")
    for record, note in ((late, "finished_late"), (unfinished, "not_finished")):
        assert broken([*good_run(), record]) == ["answers"]
        assert broken([*good_run(), {**record, "begun": S + 560 * MS}]) == ["answers"]  # too late itself
        verdict = audit([*good_run(), {**record, "begun": S + 400 * MS}], PROFILE)
        assert verdict.violations == []
        assert verdict.notes[f"begun_in_time_and_{note}"] == 1


def test_limits_can_be_widened() -> None:
    late = [*good_run(), tried("x", S, t=S + 700 * MS)]
    assert broken(late, answer_slack_ms=300) == []


def clock(writer: str, unix: int, boot: str, t: int) -> Record:
    return {"kind": "clock", "t": t, "writer": writer, "unix": unix, "boot": boot}


def test_ledgers_of_one_boot_share_the_monotonic_clock() -> None:
    # Unix time jumped between the two: it must not be asked.
    merged = merge([
        [clock("fleet", 1000 * S, "b", 0), attempt("x", 5 * S)],
        [clock("clients", 5000 * S, "b", S), tried("x", 5 * S - MS)],
    ])  # fmt: skip
    assert [record["t"] for record in merged if record["kind"] in ("attempt", "try")] == [
        5 * S,
        5 * S + 19 * MS,
    ]
    assert merged[-1]["writer"] == "clients"


def test_ledgers_of_several_machines_meet_on_unix_time() -> None:
    # The second machine's monotonic clock is 100 s behind: what it calls 5 s is 105 s on the first.
    merged = merge([
        [clock("fleet", 1000 * S, "b1", 0)],
        [clock("clients", 1100 * S, "b2", 0), tried("x", 5 * S)],
    ])  # fmt: skip
    assert (merged[-1]["t"], merged[-1]["sent"]) == (105 * S + 20 * MS, 105 * S)


def test_ledger_without_a_clock_is_turned_down() -> None:
    with pytest.raises(AuditError):
        merge([[tried("x", S)]])
