"""The slow start of cold servers holds for all routers together, one or two hundred of them.

In each window that the settings name, a cold server gets at most N requests of mean work, N being what they
allow it then, and 2 x root of N + 2 by chance. Seeds are the numbers of routers; slow_start_world.py plays.
"""

from __future__ import annotations

import pytest

from saltport.decisions import RequestClass, Settings, Tenant
from saltport.decisions.table import SlotTable
from tests.crossings.slow_start_world import World
from tests.decisions.helpers import MS, S

SERVERS = 21
SITES = {"sofia": (4.0, 2 * S, 0.32, 8900 * MS), "stricter": (2.5, S, 0.1, 8 * S)}
SCENES = ("one", "a zone", "a zone, routers killed", "others hang", "others full", "again while cold")


def fullest(routers: int, site: str, scene: str) -> float:
    """The fullest window of any cold server, as a part of what it may hold."""
    multiple, window, share, cold_time = SITES[site]
    settings = Settings(
        classes=(RequestClass("read", aim=300 * MS, deadline=S),),
        tenants=(Tenant("a", 1.0),), routers=routers, origin_kind="origin",
        cold_share=share, cold_time=cold_time, max_attempts=4,
    )  # fmt: skip
    world = World(settings, routers, SERVERS, seed=routers)
    world.play(0.6, 2.0)
    names = list(world.nodes)
    cold = names[0::3] if "zone" in scene else names[:1]
    if "others" in scene:
        for name in names[1:8]:
            world.nodes[name].bad = scene.split()[-1]
    world.restart(cold)
    if "killed" in scene:
        world.restart_routers()
    world.play(0.6, 2.5)
    if "again" in scene:
        world.restart(cold)
    world.play(0.75, 2.5)
    assert all(world.nodes[name].got for name in cold), "they are used all the same"
    return max(world.worst(name, multiple, window) for name in cold)


@pytest.mark.parametrize("scene", SCENES)
@pytest.mark.parametrize("site", SITES)
@pytest.mark.parametrize("routers", [1, 4, 30, 200])
def test_cold_servers_stay_within_their_budget(routers: int, site: str, scene: str) -> None:
    assert fullest(routers, site, scene) <= 1.0


def test_without_the_ramp_they_would_not(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SlotTable, "slow_start_factor", lambda *_: 1.0)
    assert fullest(200, "stricter", "a zone") > 1.0
