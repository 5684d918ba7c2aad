"""The audit accepts a correct run and finds the violation of each rule in a manipulated ledger."""

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


def client_try(request: str, at: int, **more: Any) -> Record:
    """Return the record of a try that was sent at `at` and answered 20 ms later."""
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


def listing(at: int, is_full: bool = True, **states: str) -> Record:
    addresses = {"n1": NODE, "n2": OTHER, "origin": ORIGIN}
    listed = {name: [state, addresses[name]] for name, state in states.items()}
    return {"kind": "told", "t": at, "router": "r1", "whole": is_full, "states": listed, "writer": "fleet"}


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
        listing(0, n1="up", n2="up", origin="up"),
        client_try("a", S), attempt("a", S + MS),
        client_try("w", S, cls="yank"), attempt("w", S + MS, ORIGIN, cls="yank"), effect("w", S + 5 * MS),
        client_try("o", S, cls="once"), attempt("o", S + MS, ORIGIN, cls="once"), effect("o", S + 5 * MS),
        listing(2 * S, is_full=False, n1="draining"),
        client_try("b", 2 * S, t=2 * S + 350 * MS), attempt("b", 2 * S + 300 * MS),
        client_try("c", 3 * S), attempt("c", 3 * S + MS, OTHER),
        listing(4 * S, is_full=False, n1="up"),
        {"kind": "cold", "t": 4 * S, "node": NODE, "cores": 1, "cold_from": 0.4, "cold_ms": 6000,
         "multiple": 4.0, "fall_ms": 2000, "writer": "fleet"},
        client_try("d", 5 * S), attempt("d", 5 * S + MS),
        {"kind": "router", "t": 6 * S, "name": "r1", "state": "killed", "writer": "harness"},
        client_try("e", 6 * S - MS, answer="gone"), attempt("e", 6 * S),
        client_try("g", 7 * S, answer="refused", cls="once"),
        client_try("h", 7 * S, answer="unsent", sent=0),
    ]  # fmt: skip


def broken(records: list[Record], **limits: int) -> list[str]:
    return [violation.rule for violation in audit(records, PROFILE, Limits(**limits)).violations]


def test_good_run_is_clean() -> None:
    verdict = audit(good_run(), PROFILE)
    assert verdict.violations == []
    assert verdict.checked == {"answers": 9, "effects": 3, "drains": 1, "cold": 1, "stale": 0}
    assert verdict.notes["lost_with_a_router"] == 1


MANIPULATED: dict[str, tuple[str, Callable[[], list[Record]]]] = {
    "no answer": ("answers", lambda: [client_try("x", S, answer="none", t=S + 600 * MS)]),
    "closed without an attempt": ("answers", lambda: [client_try("x", S, answer="gone")]),
    "closed after an attempt": ("answers", lambda: [client_try("x", S, answer="gone"), attempt("x", S + MS)]),
    "late": ("answers", lambda: [client_try("x", S, t=S + 551 * MS)]),
    "a wrong value": ("answers", lambda: [client_try("x", S, answer="wrong")]),
    "answered twice": ("answers", lambda: [client_try("x", S), client_try("x", S)]),
    "two answers on the wire": (
        "answers", lambda: [{"kind": "extra", "t": S, "router": "r1", "writer": "clients"}],
    ),
    "sent after the answer": ("answers", lambda: [client_try("x", S), attempt("x", S + 100 * MS)]),
    "sent after its deadline": (
        "answers", lambda: [client_try("x", S, answer="unreadable"), attempt("x", S + 600 * MS)],
    ),
    "a router crashed": (
        "answers",
        lambda: [{"kind": "router", "t": S, "name": "r1", "state": "crashed", "writer": "harness"}],
    ),
    "an effect twice": (
        "effects", lambda: [client_try("x", S, cls="yank"), effect("x", S), effect("x", S + MS)],
    ),
    "sent again beyond the window": (
        "effects",
        lambda: [
            client_try("x", S, cls="publish", wait_ms=4000, t=4 * S),
            attempt("x", S, ORIGIN, cls="publish"), attempt("x", S + 2600 * MS, ORIGIN, cls="publish"),
        ],
    ),
    "an unsafe request run twice": (
        "effects",
        lambda: [
            client_try("x", S, cls="once"),
            attempt("x", S, ORIGIN, cls="once"), attempt("x", S + MS, ORIGIN, cls="once"),
        ],
    ),
    "an unsafe request run and refused": (
        "effects",
        lambda: [client_try("x", S, cls="once", answer="refused"), attempt("x", S, ORIGIN, cls="once")],
    ),
    "an effect that no client requested": ("effects", lambda: [effect("x", S)]),
    "sent to a drained node": (
        "drains", lambda: [client_try("x", 2 * S + 540 * MS), attempt("x", 2 * S + 551 * MS)],
    ),
    "sent to a node that a full list left out": (
        "drains", lambda: [listing(8 * S, n2="up"), client_try("x", 9 * S), attempt("x", 9 * S)],
    ),
    "sent to a node that was never listed": (
        "drains", lambda: [client_try("x", S), attempt("x", S, "127.0.0.1:9999")],
    ),
    "a cold node overloaded": (
        "cold",
        lambda: [r for n in range(120) for r in (client_try(f"x{n}", 5 * S), attempt(f"x{n}", 5 * S + n))],
    ),
    "a read that is older than an answered write": (
        "stale", lambda: [
            client_try("x", 6 * S, cls="yank"), attempt("x", 6 * S, ORIGIN, cls="yank"),
            effect("x", 6 * S + MS, key="k", version=3),
            client_try("y", 7 * S, version=3), attempt("y", 7 * S),
            client_try("z", 7 * S, version=2), attempt("z", 7 * S),
            client_try("during", 6 * S + 10 * MS, version=2), attempt("during", 6 * S + 10 * MS),
        ],
    ),
    "a node that fell": ("cold", lambda: [{"kind": "fell", "t": S, "node": "n9", "writer": "fleet"}]),
}  # fmt: skip


@pytest.mark.parametrize("case", MANIPULATED)
def test_each_rule_fails_on_a_manipulated_ledger(case: str) -> None:
    rule, more = MANIPULATED[case]
    records = sorted([*good_run(), *more()], key=lambda record: int(record["t"]))
    assert set(broken(records)) == {rule}


def test_a_late_record_of_a_stalled_writer_is_no_violation() -> None:
    late = [*good_run(), client_try("x", S, t=S + 700 * MS)]
    assert broken(late) == ["answers"]
    stalled = {"kind": "lag", "t": S + 690 * MS, "ns": 200 * MS, "writer": "clients"}
    assert broken([*late, stalled]) == []
    elsewhere = {**stalled, "writer": "fleet"}
    assert broken([*late, elsewhere]) == ["answers"]


def test_a_value_begun_in_time_has_failed_and_is_not_lost() -> None:
    late = client_try("x", S, t=S + 900 * MS)
    unfinished = client_try("y", S, t=S + 1500 * MS, answer="none")
    for record, note in ((late, "finished_late"), (unfinished, "not_finished")):
        assert broken([*good_run(), record]) == ["answers"]
        assert broken([*good_run(), {**record, "begun": S + 560 * MS}]) == [
            "answers"
        ]  # the value itself began too late
        verdict = audit([*good_run(), {**record, "begun": S + 400 * MS}], PROFILE)
        assert verdict.violations == []
        assert verdict.notes[f"begun_in_time_and_{note}"] == 1


def test_limits_can_be_widened() -> None:
    late = [*good_run(), client_try("x", S, t=S + 700 * MS)]
    assert broken(late, answer_slack_ms=300) == []


def clock(writer: str, unix: int, boot: str, t: int) -> Record:
    return {"kind": "clock", "t": t, "writer": writer, "unix": unix, "boot": boot}


def test_ledgers_of_one_boot_share_the_monotonic_clock() -> None:
    # Unix time jumped between the two ledgers: it must not be used.
    merged = merge([
        [clock("fleet", 1000 * S, "b", 0), attempt("x", 5 * S)],
        [clock("clients", 5000 * S, "b", S), client_try("x", 5 * S - MS)],
    ])  # fmt: skip
    assert [record["t"] for record in merged if record["kind"] in ("attempt", "try")] == [
        5 * S,
        5 * S + 19 * MS,
    ]
    assert merged[-1]["writer"] == "clients"


def test_ledgers_of_several_machines_are_aligned_by_unix_time() -> None:
    # The second machine's monotonic clock is 100 s behind: its 5 s is 105 s on the first.
    merged = merge([
        [clock("fleet", 1000 * S, "b1", 0)],
        [clock("clients", 1100 * S, "b2", 0), client_try("x", 5 * S)],
    ])  # fmt: skip
    assert (merged[-1]["t"], merged[-1]["sent"]) == (105 * S + 20 * MS, 105 * S)


def test_ledger_without_a_clock_is_rejected() -> None:
    with pytest.raises(AuditError):
        merge([[client_try("x", S)]])
