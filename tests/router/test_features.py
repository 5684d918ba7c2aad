"""Feature files: the features that they enable, and error messages for mistakes in them."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from saltport.downstream.access_report import read_log
from saltport.router.check import check_file
from saltport.router.config import ConfigError, load_config
from saltport.router.features import FeatureError, Features, TableFeatures, read_features
from saltport.standins.profile import Profile
from tests.sockets import ROOT, Peer, get, hit, run_router


def write_file(folder: Path, text: str, name: str = "features.toml") -> Path:
    path = folder / name
    path.write_text(text)
    return path


def test_all_is_off_by_default() -> None:
    assert read_features([]) == Features(TableFeatures(slots=8192, vectors=False))


def test_shipped_files_are_good() -> None:
    assert read_features([ROOT / "deploy/large-fleet.toml"]).table == TableFeatures(65536, vectors=True)


def test_later_files_override_earlier_ones(tmp_path: Path) -> None:
    first = write_file(tmp_path, "[table]\nslots = 1024\nvectors = true\n")
    second = write_file(tmp_path, "[table]\nslots = 2048\n", "second.toml")
    assert read_features([first, second]).table == TableFeatures(2048, vectors=True)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("[tabel]\nslots = 1", "unknown section [tabel]"),
        ("table = 3", "unknown section [table]"),
        ("[table]\nslot = 1", "table.slot is unknown"),
        ("[table]\nslots = '1'", "table.slots: expected an integer"),
        ("[table]\nvectors = 1", "table.vectors: expected true or false"),
        ("[table", "not valid TOML"),
        ("[access_log]\nfolder = 1", "access_log.folder: expected a folder"),
        ("[access_log]\nmax_mb = 0", "access_log.max_mb: expected megabytes"),
    ],
)
def test_mistakes_are_reported_with_their_place(tmp_path: Path, text: str, words: str) -> None:
    path = write_file(tmp_path, text)
    with pytest.raises(FeatureError) as raised:
        read_features([path])
    assert words in str(raised.value)
    assert str(path) in str(raised.value)


def test_check_and_router_reject_the_same_files(tmp_path: Path) -> None:
    config = write_file(
        tmp_path, json.dumps(Profile().config("r", "127.0.0.1:1", "127.0.0.1:2", 1)), "c.json"
    )
    assert check_file(config, [ROOT / "deploy/large-fleet.toml"]) == []
    for text in ("[table]\nslots = 0", "[table]\nslots = 99999999", "[nothing]"):
        bad = write_file(tmp_path, text)
        assert len(check_file(config, [bad])) == 1
        with pytest.raises(ConfigError):
            load_config({"LB_CONFIG": str(config)}, [bad])
    assert "can't be read" in check_file(config, [tmp_path / "none.toml"])[0].reason


def test_a_router_serves_with_feature_files(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[1]))
    large = ["--with", str(ROOT / "deploy/large-fleet.toml")]
    with run_router(tmp_path, {"s1": cache}, more=large) as router:
        assert router.client().ask(get("r1", "a")) == b"a"


def test_a_router_logs_what_it_answered(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[1]))
    features = write_file(tmp_path, f'[access_log]\nfolder = "{tmp_path}"\n')
    with run_router(tmp_path, {"s1": cache}, more=["--with", str(features)]) as router:
        assert router.client().ask(get("r1", "a")) == b"a"
        (path,) = tmp_path.glob("access-*.jsonl")
    assert b'"event":"stopped"' in path.read_bytes()
    report = read_log("r1", path.read_bytes().splitlines())
    assert (report.accepted, report.answers, report.problems) == (1, {"served": 1}, [])


def test_an_access_log_needs_its_folder(tmp_path: Path) -> None:
    config = write_file(
        tmp_path, json.dumps(Profile().config("r", "127.0.0.1:1", "127.0.0.1:2", 1)), "c.json"
    )
    features = write_file(tmp_path, f'[access_log]\nfolder = "{tmp_path / "none"}"\n')
    with pytest.raises(ConfigError, match="is no folder"):
        load_config({"LB_CONFIG": str(config)}, [features])
