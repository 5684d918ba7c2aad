"""Settings of ownership: invalid ones are refused, and nothing is imported while ownership is off."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from saltport.router.check import check_file
from saltport.router.config import ConfigError, load_config
from tests.peers.test_link import config, features
from tests.sockets import ROOT

GOOD = {
    "on": "true",
    "voters": '["r1", "r2", "r3"]',
    "folder": '"{folder}"',
    "begin": "true",
    "pieces": '["rollout"]',
    "trials": "true",
    "lease_ms": "3000",
    "election_ms": "1500",
}


def written(into: Path, **changes: str) -> Path:
    rows = {**GOOD, **changes}
    text = "[owners]\n" + "".join(f"{name} = {value}\n" for name, value in rows.items())
    path = into / "owners.toml"
    path.write_text(text.replace("{folder}", str(into)))
    return path


def test_a_good_plan_is_read(tmp_path: Path) -> None:
    path, files = config(tmp_path), [features(tmp_path), written(tmp_path)]
    plan = load_config({"LB_CONFIG": str(path)}, files).owners
    assert plan is not None
    assert (plan.voters, plan.folder, plan.tasks) == (("r1", "r2", "r3"), tmp_path, ("rollout",))
    assert (
        plan.settings.raft.lease
        < plan.settings.raft.election_timeout
        < plan.settings.owner_lease_duration
        < plan.settings.lease
    )
    assert check_file(path, files) == []


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        ({"voters": '["r1", "r2"]'}, "three or five names"),
        ({"voters": '["r1", "r2", "r3", "r4"]'}, "three or five names"),
        ({"voters": '["r1", "r2", "r2"]'}, "each once"),
        ({"voters": '["r1", "r2", "a-name-that-is-long"]'}, "at most 14 characters"),
        ({"pieces": '[""]'}, "names have 1 to 64 characters"),
        ({"election_ms": "100"}, "must be at least 500"),
        ({"lease_ms": "2000"}, "at least twice"),
        ({"folder": '"/nowhere/at/all"'}, "is no folder"),
        ({"voters": "3"}, "expected a list of routers' names"),
    ],
)
def test_invalid_settings_are_refused_with_a_reason(
    tmp_path: Path, changes: dict[str, str], words: str
) -> None:
    path, files = config(tmp_path), [features(tmp_path), written(tmp_path, **changes)]
    with pytest.raises(ConfigError, match=words):
        load_config({"LB_CONFIG": str(path)}, files)
    assert any(words in fault.reason for fault in check_file(path, files))


def test_ownership_requires_peers(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=r"needs peers\.on"):
        load_config({"LB_CONFIG": str(config(tmp_path))}, [written(tmp_path)])


def test_where_it_is_off_nothing_of_it_is_imported() -> None:
    program = (
        "import sys, saltport.lifecycle.process, saltport.simulator.adapter\n"
        "sys.exit(any(name.startswith('saltport.owners') for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", program], cwd=ROOT, check=False).returncode == 0
