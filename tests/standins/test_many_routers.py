"""The benchmark `many_routers` at a small scale: several routers with the server list of a large fleet."""

from __future__ import annotations

from pathlib import Path

import pytest
import uvloop

from benchmarks.many_routers import MAX_ROUTERS, RouterFigures, Summary, measure
from saltport.harness import HarnessError

SERVERS = 600


def test_six_routers_beside_600_servers_get_ready_and_each_serves(tmp_path: Path) -> None:
    summary = uvloop.run(measure(tmp_path, routers=6, servers=SERVERS, reads=20))
    assert len(summary.router_figures) == summary.routers == 6
    assert all(router.served for router in summary.router_figures)
    assert all(router.descriptors > 5 for router in summary.router_figures)
    assert all(0 < router.pss_mb <= router.rss_mb for router in summary.router_figures)


def test_more_routers_than_one_machine_should_hold_are_refused_before_any_starts(tmp_path: Path) -> None:
    with pytest.raises(HarnessError, match="at most"):
        uvloop.run(measure(tmp_path, routers=MAX_ROUTERS + 1, servers=1, reads=1))
    assert list(tmp_path.iterdir()) == []


@pytest.mark.parametrize(("ready_s", "served", "good"), [(9.9, 1, True), (10.1, 1, False), (0.1, 0, False)])
def test_a_late_or_idle_router_fails_the_run(ready_s: float, served: int, good: bool) -> None:
    found = [
        RouterFigures("r1", 0.3, 18.0, 30.0, 60, 5, 5),
        RouterFigures("r2", ready_s, 18.0, 30.0, 60, served, 5),
    ]
    summary = Summary(2, SERVERS, 1.0, 0.0, found)
    assert summary.is_good is good
    assert ("r2" in summary.lines()[-1]) is (served == 0)
