"""The recording of overlapping faults by the runner, without any process."""

from __future__ import annotations

import time
from pathlib import Path

from saltport.nemesis.history import History
from saltport.nemesis.runner import Nemesis
from saltport.standins.links import DatagramRelay, Links


def test_cuts_that_overlap_on_one_router_are_both_recorded_in_full(tmp_path: Path) -> None:
    """A lost span made deaths during the first cut count as false: 592 of them in a run of thirty routers."""
    names = ["r1", "r2", "r3"]
    nemesis = Nemesis(tmp_path, 3, 1)
    nemesis.links, nemesis.history = Links(1), History(names)
    nemesis._relay = DatagramRelay(nemesis.links, dict.fromkeys(names, ("127.0.0.1", 1)))
    nemesis._started_at = time.monotonic()
    first = nemesis.cut(["r1"], ["r2", "r3"], both=True)
    first.__enter__()
    between = nemesis.now()
    with nemesis.cut(["r2"], ["r1"]):
        first.__exit__(None, None, None)
    spans = nemesis.history.faults
    assert {span.router for span in spans if span.begun <= between and span.side} == set(names)
    assert sum(span.router == "r1" for span in spans) == 2
    assert not nemesis.links.active_faults("r2", "r1")
