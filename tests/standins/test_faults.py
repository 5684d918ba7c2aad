"""Fault schedules: reproducible by seed, with every kind of fault, and few faulty nodes at a time."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from saltport.standins.faults import (
    CORRUPTIONS,
    KINDS,
    ONE_SHOT_KINDS,
    FaultError,
    schedule,
    validated_figures,
)

NODES = [f"n{number:03d}" for number in range(30)]


def test_same_seed_gives_the_same_schedule() -> None:
    assert schedule(7, 60, NODES) == schedule(7, 60, NODES)
    assert schedule(7, 60, NODES) != schedule(8, 60, NODES)


def test_every_kind_occurs_in_a_long_run() -> None:
    assert {fault.kind for fault in schedule(1, 120, NODES)} == set(KINDS)


@given(seed=strategies.integers(0, 2**32), nodes=strategies.integers(1, 40), every=strategies.floats(0.05, 5))
def test_targets_carry_one_fault_at_a_time_and_few_nodes_are_ill(seed: int, nodes: int, every: float) -> None:
    names = NODES[:nodes] if nodes <= 30 else [*NODES, *(f"m{n}" for n in range(nodes - 30))]
    faults = schedule(seed, 30, names, every_s=every)
    assert [fault.at for fault in faults] == sorted(fault.at for fault in faults)
    for number, fault in enumerate(faults):
        assert fault.until == 0 if fault.kind in ONE_SHOT_KINDS else fault.at < fault.until
        assert not any(
            other.target == fault.target and other.at <= fault.at < other.until for other in faults[:number]
        )
        faulty = [o for o in faults[:number] if o.target in names and o.at <= fault.at < o.until]
        if fault.target in names:
            assert len(faulty) < max(0.2 * len(names), 1)


def test_replaced_nodes_get_no_further_fault() -> None:
    faults = schedule(3, 200, NODES, every_s=0.2)
    for number, fault in enumerate(faults):
        if fault.kind.startswith("replace"):
            assert fault.target not in {later.target for later in faults[number + 1 :]}


def test_commands_are_checked() -> None:
    assert validated_figures("slow", {"factor": 4}) == {"factor": 4}
    assert validated_figures("spoil", {"how": "huge"}) == {"share": 0.4, "how": "huge"}
    for kind, figures in (
        ("melt", {}),
        ("slow", {"speed": 2}),
        ("slow", {"factor": 0}),
        ("slow", {"factor": True}),
        ("slow", {"factor": "fast"}),
        ("spoil", {"how": "gently"}),
    ):
        with pytest.raises(FaultError):
            validated_figures(kind, figures)
    with pytest.raises(FaultError):
        schedule(1, 10, NODES, ["melt"])


def test_spoils_are_all_drawn() -> None:
    faults = schedule(5, 2000, NODES, ["spoil", "origin_spoil"])
    assert {fault.figures["how"] for fault in faults} == set(CORRUPTIONS)
