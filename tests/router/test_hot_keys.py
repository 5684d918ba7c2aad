"""Hot keys through the real router: copies by plain writes, invalidation before a write is answered, errors
in the settings."""

from __future__ import annotations

import asyncio
import json
import threading
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
import uvloop
from click.testing import CliRunner

from saltport.admin.client import ask
from saltport.audit import Limits, Verdict
from saltport.cli import cli
from saltport.harness import Harness, run_load
from saltport.load.plan import HOT_KEY, LoadPlan, Step
from saltport.router.config import ConfigError, load_config
from saltport.router.features import FeatureError, read_features
from saltport.standins.profile import ClassProfile, Profile, with_faster_work
from tests.sockets import ROOT, Peer, bulk, eventually, get, hit, http_answer, run_router

GENEROUS = Limits(3_000, 3_000, 3_000, 3_000)
FEATURES = '[hot_keys]\nfill = "FILL"\n'
YANK_CLASSES = (
    ClassProfile("fetch", 0.97, (35.0, 64.0), 300, 1200),
    ClassProfile("yank", 0.03, (43.0, 77.0), 500, 1000, "dedup", 5000),
)


def play(
    folder: Path, fill: str, profile: Profile, seconds: float = 5.0, kills: bool = False
) -> tuple[Verdict, list[dict[str, Any]], dict[str, Any], list[dict[str, Any]]]:
    """Run a load of which half goes to one key.

    Return the audit's verdict, the fleet's records, the router's state and the records of the tries.
    """

    async def run() -> tuple[Any, ...]:
        harness = Harness(folder, profile, 12, 1, seed=3, features=FEATURES.replace("FILL", fill))
        plan = LoadPlan((Step(0, 160),), seconds, keys=300, zipf=0.3, seed=3, hot=0.5)
        async with asyncio.timeout(60):
            async with harness:
                load = asyncio.get_running_loop().create_task(run_load(harness, plan))
                if kills:
                    await asyncio.sleep(2)
                    for node in ("n001", "n002", "n003"):
                        await harness.control.call("strike", kind="kill", target=node)
                        await asyncio.sleep(0.5)
                        await harness.control.call("mend", target=node)
                _, ledger = await load
                state = await asyncio.to_thread(ask, harness.router_processes[0].admin, "/state")
            return harness, ledger, state

    harness, ledger, state = uvloop.run(run())
    tries = [record for record in ledger.records if record["kind"] == "try"]
    return harness.audit([ledger], GENEROUS), harness.fleet_records(), state, tries


def test_plain_writes_spread_a_key_and_invalidations_keep_every_read_fresh(tmp_path: Path) -> None:
    """The origin does not invalidate copies here, so reads are stale unless the router invalidates them."""
    profile = replace(
        with_faster_work(Profile(), 20), plain_writes=1, origin_drops=0,
        classes=with_faster_work(replace(Profile(), classes=YANK_CLASSES), 20).classes,
    )  # fmt: skip
    verdict, fleet, state, tries = play(tmp_path, "writes", profile, kills=True)
    assert verdict.violations == []
    assert verdict.checked["stale"] > 100
    kinds = Counter(record["kind"] for record in fleet)
    assert kinds["copied"] > 5
    assert kinds["voided"] > 50
    assert kinds["syntax"] == 0
    served = Counter(record["answer"] for record in tries)
    assert served["served"] > 0.9 * len(tries)
    assert state["hot_keys"]["counts"]["replicated"] >= 1
    assert {record["node"] for record in fleet if record["kind"] == "copied" and record["key"] == HOT_KEY}
    shown = CliRunner().invoke(cli, ["status", "--json", "127.0.0.1:1"])
    assert shown.exit_code == 1


def test_reads_fill_further_nodes_by_the_platforms_own_rule(tmp_path: Path) -> None:
    verdict, fleet, state, _ = play(tmp_path, "reads", with_faster_work(Profile(), 20))
    assert verdict.violations == []
    assert not [record for record in fleet if record["kind"] in ("copied", "voided", "syntax")]
    (top,) = [entry for entry in state["hot_keys"]["top"] if entry["key"] == HOT_KEY]
    assert 4 <= top["copies"] <= 7
    assert top["held"] >= 2


class Node:
    """A cache server that stores on SET, deletes on DEL, and can delay the answer to a DEL."""

    def __init__(self) -> None:
        self.values: dict[bytes, bytes] = {}
        self.release = threading.Event()
        self.release.set()
        self.words: list[list[bytes]] = []
        self.peer = Peer(self.answer)

    def answer(self, _: object, words: list[bytes]) -> bytes:
        self.words.append(words)
        if words[0] == b"SET":
            self.values[words[1]] = words[2]
            return b"+OK\r\n"
        if words[0] == b"DEL":
            self.release.wait(20)
            return b":%d\r\n" % (self.values.pop(words[1], None) is not None)
        if words[1] in self.values:
            return hit(words[2])
        return b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


def hot_features(folder: Path) -> list[str]:
    path = folder / "features.toml"
    path.write_text(FEATURES.replace("FILL", "writes").replace("{folder}", str(folder)))
    return ["--with", str(path)]


def test_write_is_answered_only_after_every_node_has_confirmed_the_invalidation(tmp_path: Path) -> None:
    nodes = {f"s{i}": Node() for i in range(4)}
    origin = Peer(lambda _, words: http_answer(200, b"receipt"), is_http=True)
    peers = {name: node.peer for name, node in nodes.items()}
    with run_router(tmp_path, peers, origin, more=hot_features(tmp_path)) as router:
        slow = nodes["s2"]
        slow.release.clear()
        client = router.client()
        client.send(bulk(b"KV.SET", b"k", b"w1", b"c=put,t=acme,d=5000,k=5c", b"v"))
        eventually(lambda: all(n.words for n in nodes.values()), "all nodes get the invalidation")
        other = router.client()
        assert other.ask(get("r1", "other")) is not None, "others are served meanwhile"
        client.socket.settimeout(0.2)
        with pytest.raises(TimeoutError):
            client.socket.recv(1)
        slow.release.set()
        client.socket.settimeout(20)
        assert client.socket.recv(100).startswith(b"$7\r\nreceipt")
        assert [n.words[0][:2] for n in nodes.values()] == [[b"DEL", b"k"]] * 4


def test_write_is_answered_in_time_though_a_node_never_answers(tmp_path: Path) -> None:
    nodes = {f"s{i}": Node() for i in range(3)}
    origin = Peer(lambda _, words: http_answer(200, b"receipt"), is_http=True)
    with run_router(
        tmp_path, {name: node.peer for name, node in nodes.items()}, origin, more=hot_features(tmp_path)
    ) as router:
        nodes["s1"].release.clear()
        client = router.client()
        assert client.ask(bulk(b"KV.SET", b"k", b"w1", b"c=put,t=acme,d=1900,k=5c", b"v")) == b"receipt"
        state: Any = ask(router.admin, "/state")
        assert state["hot_keys"]["invalidations"]["in_doubt"] == 1
        shown = CliRunner().invoke(cli, ["status", "{}:{}".format(*router.admin)])
        assert "1 in doubt" in shown.output
        assert "servers overrun: 0% of reads find their server full, 0 went to another one" in shown.output
        assert "out of no limit" in shown.output
        nodes["s1"].release.set()

        def settled() -> bool:
            now: Any = ask(router.admin, "/state")
            return bool(now["hot_keys"]["invalidations"]["in_doubt"] == 0)

        eventually(settled, "the doubt ends with the node's answer")


def test_failed_write_has_its_answer_at_once(tmp_path: Path) -> None:
    node = Node()
    origin = Peer(lambda _, words: http_answer(500), is_http=True)
    with run_router(tmp_path, {"s0": node.peer}, origin, more=hot_features(tmp_path)) as router:
        client = router.client()
        assert client.ask(bulk(b"KV.SET", b"k", b"w1", b"c=once,t=acme,d=1500", b"v")).startswith(b"-ERR")
        eventually(
            lambda: any(words[0] == b"DEL" for words in node.words),
            "the write may have run: its key is invalidated",
        )


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('fill = "copies"', 'expected "reads", "writes" or nothing'),
        ("fill = 3", "hot_keys.fill"),
        ("max_keys = 1.5", "hot_keys.max_keys: expected an integer"),
        ("fil = 1", "hot_keys.fil is unknown"),
    ],
)
def test_mistakes_in_the_file_are_reported(tmp_path: Path, text: str, words: str) -> None:
    path = tmp_path / "f.toml"
    path.write_text(f"[hot_keys]\n{text}\n")
    with pytest.raises(FeatureError, match="hot_keys") as raised:
        read_features([path])
    assert words in str(raised.value)


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("max_copies = 1", "max_copies must be from 2"),
        ("max_keys = 0", "max_keys must be at least 1"),
        ("max_value = 100000", "max_value must be from 1"),
        ("lease_ms = 10", "lease must be at least a second"),
        ("capacity = 3", "capacity must be from 16"),
        ("fair_shares = 1", "fair_shares must be from 1.05"),
    ],
)
def test_values_out_of_range_are_reported(tmp_path: Path, text: str, words: str) -> None:
    config, path = tmp_path / "c.json", tmp_path / "f.toml"
    config.write_text(json.dumps(Profile().config("r", "127.0.0.1:1", "127.0.0.1:2", 1)))
    path.write_text(f'[hot_keys]\nfill = "reads"\n{text}\n')
    with pytest.raises(ConfigError) as raised:
        load_config({"LB_CONFIG": str(config)}, [path])
    assert words in str(raised.value)


def test_shipped_file_switches_it_on_and_nothing_else_does(tmp_path: Path) -> None:
    config = tmp_path / "c.json"
    config.write_text(json.dumps(Profile().config("r", "127.0.0.1:1", "127.0.0.1:2", 1)))
    assert load_config({"LB_CONFIG": str(config)}).settings.hot_keys is None
    hot_keys = load_config({"LB_CONFIG": str(config)}, [ROOT / "deploy/hot-keys.toml"]).settings.hot_keys
    assert hot_keys is not None
    assert hot_keys.fill.value == "reads"


def test_hot_keys_need_an_origin(tmp_path: Path) -> None:
    config = tmp_path / "c.json"
    facts = Profile().config("r", "127.0.0.1:1", "127.0.0.1:2", 1)
    facts["settings"]["familyInfo"] = {"mode": "through"}
    config.write_text(json.dumps(facts))
    with pytest.raises(ConfigError, match="no origin"):
        load_config({"LB_CONFIG": str(config)}, [ROOT / "deploy/hot-keys.toml"])
