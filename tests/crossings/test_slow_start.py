"""The slow start limits the load of cold servers from all routers together, from 1 to 200 routers.

In each time window of the settings a cold server may receive N requests of mean work, where N is its
allowance at that time, plus a random deviation of at most 2 x sqrt(N) + 2. The number of routers is the
random seed; the simulation is in slow_start_world.py.
"""

from __future__ import annotations

import pytest

from saltport.decisions import RequestClass, Settings, Tenant
from saltport.decisions.table import SlotTable
from tests.crossings.slow_start_world import World
from tests.decisions.helpers import MS, S

SERVERS = 21
SITES = {"sofia": (4.0, 2 * S, 0.32, 8900 * MS), "stricter": (2.5, S, 0.1, 8 * S)}
SCENARIOS = ("one", "a zone", "a zone, routers killed", "others hang", "others full", "again while cold")


def highest_load(routers: int, site: str, scenario: str) -> float:
    """Return the highest load in a window of any cold server, as a share of its allowance."""
    multiple, window, share, cold_time = SITES[site]
    settings = Settings(
        classes=(RequestClass("read", aim=300 * MS, deadline=S),),
        tenants=(Tenant("a", 1.0),), routers=routers, origin_kind="origin",
        cold_share=share, cold_time=cold_time, max_attempts=4,
    )  # fmt: skip
    world = World(settings, routers, SERVERS, seed=routers)
    world.run(0.6, 2.0)
    names = list(world.nodes)
    cold = names[0::3] if "zone" in scenario else names[:1]
    if "others" in scenario:
        for name in names[1:8]:
            world.nodes[name].fault = scenario.split()[-1]
    world.restart(cold)
    if "killed" in scenario:
        world.restart_routers()
    world.run(0.6, 2.5)
    if "again" in scenario:
        world.restart(cold)
    world.run(0.75, 2.5)
    assert all(world.nodes[name].arrivals for name in cold), "cold servers receive requests"
    return max(world.worst(name, multiple, window) for name in cold)


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("routers", [1, 4, 30, 200])
def test_cold_servers_stay_within_their_budget(routers: int, site: str, scenario: str) -> None:
    assert highest_load(routers, site, scenario) <= 1.0


def test_budget_is_exceeded_without_the_slow_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlotTable, "slow_start_factor", lambda *_: 1.0)
    assert highest_load(200, "stricter", "a zone") > 1.0
