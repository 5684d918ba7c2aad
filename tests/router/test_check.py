"""`saltport check` reports all faults of a configuration at once, and agrees with the router's reader."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, strategies

from saltport.router.check import Fault, check_file, find_faults
from saltport.router.config import ConfigError, load_config
from saltport.standins.profile import Profile

GOOD = Profile().config("r1", "127.0.0.1:6379", "127.0.0.1:8500", 3)


def test_the_example_is_good(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    assert check_file(path) == []
    assert load_config({"LB_CONFIG": str(path)}).name == "r1"


def changed(change: Callable[[dict[str, Any]], object]) -> dict[str, Any]:
    config = copy.deepcopy(GOOD)
    change(config)
    return config


def put(path: str, value: Any) -> Callable[[dict[str, Any]], object]:
    def change(config: dict[str, Any]) -> None:
        *names, last = path.split("/")
        container: Any = config
        for name in names:
            container = container[int(name) if name.isdigit() else name]
        container[int(last) if last.isdigit() else last] = value

    return change


BAD = {
    "listen": put("listen", "nowhere"),
    "discovery": put("discovery", "h:99999"),
    "seed": put("seed", "not hex"),
    "limits.memory_mb": put("limits/memory_mb", -1),
    "limits.sockets": put("limits/sockets", "many"),
    "known": put("known", {"generation": 1, "instances": [{}]}),
    "settings.classes": put("settings/classes", []),
    "settings.classes[0].aimNs": put("settings/classes/0/aimNs", 10**12),
    "settings.classes[1].semantics": put("settings/classes/1/semantics", "often"),
    "settings.classes[1].dedupWindowNs": put("settings/classes/1/dedupWindowNs", 0),
    "settings.classes[2].name": put("settings/classes/2/name", "fetch"),
    "settings.classes[2].group": put("settings/classes/2/group", "moon"),
    "settings.tenants": put("settings/tenants/0/portion", 0.9),
    "settings.tenants[0].portion": put("settings/tenants/0/portion", 1.5),
    "settings.familyInfo.originKind": put("settings/familyInfo/originKind", 7),
    "settings.ceilings.mostTries": put("settings/ceilings/mostTries", 0),
    "settings.rules.coldShare": put("settings/rules/coldShare", 2),
    "settings.balancers": put("settings/balancers", True),
}


@pytest.mark.parametrize("path", BAD)
def test_each_fault_is_reported_with_its_path(path: str) -> None:
    assert [fault.path for fault in find_faults(changed(BAD[path]))] == [path]


def test_all_faults_are_reported_at_once() -> None:
    config = copy.deepcopy(GOOD)
    paths = [path for path in BAD if path not in ("settings.classes", "settings.tenants")]
    for path in paths:
        BAD[path](config)
    assert {fault.path for fault in find_faults(config)} >= set(paths) - {"settings.classes[1].dedupWindowNs"}


def test_missing_fields_are_named() -> None:
    faults = find_faults(changed(lambda config: config["settings"]["classes"][0].pop("giveUpNs")))
    assert len(faults) == 1
    assert "giveUpNs" in str(faults[0])
    assert [fault.path for fault in find_faults({})] == [""]
    assert find_faults([])


def test_files_that_cannot_be_read(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    assert "can't be read" in check_file(path)[0].reason
    path.write_text("{")
    assert "not valid JSON" in check_file(path)[0].reason
    path.write_text(json.dumps({name: GOOD[name] for name in GOOD if name != "listen"}))
    assert check_file(path) == [Fault("", "missing field 'listen'")]


@given(
    path=strategies.sampled_from(sorted({"listen", "seed", "limits", "known", "settings", *BAD})),
    value=strategies.one_of(
        strategies.none(), strategies.booleans(), strategies.integers(-2, 2), strategies.text(max_size=3),
        strategies.just([]), strategies.just({}), strategies.just([None]),
    ),
)  # fmt: skip
def test_a_file_without_faults_is_accepted_by_a_router(path: str, value: Any, tmp_path_factory: Any) -> None:
    names = path.replace("[", "/").replace("]", "").replace(".", "/")
    config = changed(put(names, value))
    file = tmp_path_factory.mktemp("check") / "config.json"
    file.write_text(json.dumps(config))
    faults = check_file(file)
    assert all(fault.reason for fault in faults)
    if not faults:
        try:
            load_config({"LB_CONFIG": str(file)})
        except ConfigError as error:
            pytest.fail(f"no fault found, but rejected by the router's reader: {error}")
