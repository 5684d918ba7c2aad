"""A short soak with seeded faults and restarts must pass the audit; `benchmarks/soak.py` runs a long one."""

from __future__ import annotations

from pathlib import Path

import uvloop

from saltport.audit import RULES, Limits
from saltport.soak import Soak, run_soak
from saltport.standins.faults import KINDS

# A machine that is busy with other tests may stall a router for longer than the audit's default of 50 ms.
GENEROUS = Limits(3_000, 3_000, 3_000, 3_000)


def test_short_soak_under_every_kind_of_fault_is_clean(tmp_path: Path) -> None:
    soak = Soak(
        seconds=12,
        nodes=24,
        routers=2,
        rate=60,
        seed=38,
        fault_every_s=0.35,
        restart_every_s=4,
        work_divisor=4,
        keys=400,
    )
    result = uvloop.run(run_soak(soak, tmp_path, GENEROUS))
    assert result.verdict.violations == []
    assert set(result.fault_counts) == {fault["kind"] for fault in result.schedule} == set(KINDS)
    assert set(result.verdict.checked) == set(RULES)
    assert result.verdict.checked["answers"] > 400
    assert result.verdict.checked["drains"] > 0
    assert result.verdict.checked["cold"] > 0
    assert result.summary["served"] > result.summary["requests"] / 3
    for log in tmp_path.glob("*/log"):
        assert "Traceback" not in log.read_text()
