"""Tests the configuration of zones, the `saltport zones` output and the imports while failover is off."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.zones_world import ZonesWorld
from saltport.failover.formatting import format_view
from saltport.router.check import check_file
from saltport.router.config import ConfigError, load_config
from tests.owners.test_plan import written as owners
from tests.peers.test_link import config, features
from tests.sockets import ROOT

GOOD = {
    "zones": '["a", "b"]',
    "here": '"b"',
    "regions": '{ a = "west", b = "east" }',
    "costs": '{ "a/b" = 9 }',
    "origins": '{ west = "o1", east = "o2" }',
    "capacity": "{ a = 100, b = 50.5 }",
}


def write_failover_file(into: Path, on: str = "true", **more: str) -> Path:
    path = into / "failover.toml"
    rows = "".join(f"{name} = {value}\n" for name, value in {**GOOD, **more}.items())
    path.write_text(f"[topology]\n{rows}[failover]\non = {on}\n")
    return path


def config_files(folder: Path, zones: Path) -> list[Path]:
    return [features(folder), owners(folder), zones]


def test_a_good_topology_is_read(tmp_path: Path) -> None:
    path, files = config(tmp_path), config_files(tmp_path, write_failover_file(tmp_path))
    loaded = load_config({"LB_CONFIG": str(path)}, files)
    topology = loaded.settings.topology
    assert loaded.failover
    assert topology is not None
    assert (topology.here, topology.round_trip_ms(1, 0), topology.server_capacity(1)) == ("b", 9, 50.5)
    assert topology.region_origin(topology.region_index(1)) == "o2"
    assert check_file(path, files) == []
    alone = load_config({"LB_CONFIG": str(path)}, [write_failover_file(tmp_path, "false")])
    assert alone.settings.topology == topology
    assert not alone.failover


@pytest.mark.parametrize(
    ("more", "words"),
    [
        ({"zones": '["a", "a", "b"]'}, "each once"),
        ({"zones": '["a", "b", "c", "d", "e", "f", "g"]'}, "one to 6 names"),
        ({"zones": '"a"'}, "expected a list of names"),
        ({"here": '"x"'}, "'x' is none of a, b"),
        ({"regions": '{ x = "west" }'}, "topology.regions: 'x' is none of a, b"),
        ({"capacity": "{ a = -1 }"}, "expected a number from 0"),
        ({"capacity": "{ a = true }"}, "expected a number from 0"),
        ({"costs": "{ ab = 1 }"}, "expected ZONE/ZONE"),
        ({"costs": '{ "a/x" = 1 }'}, "expected ZONE/ZONE"),
        ({"origins": '{ north = "o" }'}, "'north' is no region"),
        ({"near": "1"}, "topology.near is unknown"),
    ],
)
def test_invalid_topology_settings_are_reported(tmp_path: Path, more: dict[str, str], words: str) -> None:
    path, files = config(tmp_path), config_files(tmp_path, write_failover_file(tmp_path, **more))
    with pytest.raises(ConfigError, match=words):
        load_config({"LB_CONFIG": str(path)}, files)
    assert any(words in fault.reason for fault in check_file(path, files))


def test_failover_needs_owners_and_excludes_hot_keys(tmp_path: Path) -> None:
    path = config(tmp_path)
    with pytest.raises(ConfigError, match=r"needs topology\.zones and owners\.on"):
        load_config({"LB_CONFIG": str(path)}, [write_failover_file(tmp_path)])
    with pytest.raises(ConfigError, match="both at once are not built yet"):
        load_config(
            {"LB_CONFIG": str(path)}, [write_failover_file(tmp_path, "false"), ROOT / "deploy/hot-keys.toml"]
        )


def test_the_shipped_file_is_good(tmp_path: Path) -> None:
    here = tmp_path / "here.toml"
    here.write_text('[topology]\nhere = "mladost"\n')
    files = [features(tmp_path), owners(tmp_path), ROOT / "deploy/failover.toml", here]
    assert check_file(config(tmp_path), files) == []


def test_zones_output_shows_the_plan_and_the_evidence_of_its_owner() -> None:
    world = ZonesWorld("plan", 3, 6, 1)
    world.run_load(100, lambda: ("k",), 6)
    world.lose_zone(1, routers=False)
    world.run_load(100, lambda: (f"k{world.rng.randrange(50)}",), 6)
    output = "\n".join(format_view(world.agents[0].view(world.now)))
    for words in (
        "here a: by plan",
        "(worse)",
        "bad: from b to b",
        "reads from b: a ",
        "this router decides",
    ):
        assert words in output
    assert "this router decides" not in "\n".join(format_view(world.agents[1].view(world.now)))


def test_failover_modules_are_not_imported_while_failover_is_off() -> None:
    program = (
        "import sys, saltport.lifecycle.process, saltport.simulator.adapter\n"
        "off = ('saltport.failover', 'saltport.decisions.zoned', 'saltport.decisions.topology')\n"
        "sys.exit(any(name.startswith(off) for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", program], cwd=ROOT, check=False).returncode == 0
