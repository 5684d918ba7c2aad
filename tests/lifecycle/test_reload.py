"""New configurations: what a plan takes, what it turns down whole, and a router retuned under load."""

from __future__ import annotations

import copy
import json
import random
import signal
import threading
import time
from collections.abc import Iterator
from dataclasses import fields
from pathlib import Path
from typing import Any

import pytest

from saltport.admin.client import ask
from saltport.decisions import Effect, Settings
from saltport.lifecycle.reload import SETTINGS_AT_START, plan_reload
from saltport.router.config import Config, ConfigError, load_config, reload_config
from saltport.standins.profile import Profile
from tests.sockets import DiscoveryPeer, Peer, bulk, entry, eventually, get, hit, reset, run_router


def base() -> dict[str, Any]:
    told = Profile().config("r", "127.0.0.1:1", "127.0.0.1:2", 3)
    told["settings"]["ceilings"].setdefault("mostTries", 4)
    return copy.deepcopy(told)


def read(folder: Path, told: Any, *, first: bool = False) -> Config:
    path = folder / "config.json"
    path.write_bytes(told if isinstance(told, bytes) else json.dumps(told).encode())
    return (load_config if first else reload_config)({"LB_CONFIG": str(path), "LB_ADMIN_ADDR": ""})


def test_the_same_file_again_changes_nothing(tmp_path: Path) -> None:
    held = read(tmp_path, base(), first=True)
    plan = plan_reload(held, read(tmp_path, base()))
    assert (plan.config, plan.moves, plan.retunes, plan.waits) == (held, False, False, ())


def test_what_may_change_is_taken_and_what_may_not_is_named(tmp_path: Path) -> None:
    held = read(tmp_path, base(), first=True)
    told = base()
    told.update(
        listen="127.0.0.1:9", discovery="127.0.0.1:8", seed="ff", known={"generation": 1, "instances": []}
    )
    told["limits"]["memory_mb"] = 64
    settings = told["settings"]
    settings["classes"][0]["semantics"] = "fragile"
    settings["classes"].append({"name": "new", "aimNs": 10**8, "giveUpNs": 10**9, "semantics": "retryable"})
    settings["ceilings"]["mostTries"] = 2
    settings["tenants"] = settings["tenants"][:1]
    settings["feedback"] = {"fields": ["queue"], "how": "answers"}
    plan = plan_reload(held, read(tmp_path, told))
    assert (plan.moves, plan.retunes) == (True, True)
    assert plan.waits == ("listen", "memory", "settings.load_fields")
    assert plan.config.listen == held.listen
    assert plan.config.memory == held.memory
    assert plan.config.seed == held.seed
    assert plan.config.discovery == ("127.0.0.1", 8)
    taken = plan.config.settings
    assert taken.load_fields == held.settings.load_fields
    assert taken.classes[0].effect is Effect.UNSAFE
    assert taken.classes[-1].name == "new"
    assert (taken.max_attempts, len(taken.tenants)) == (2, 1)


def test_every_setting_is_taken_live_or_named(tmp_path: Path) -> None:
    """What waits for a start is named as it is in the settings."""
    assert set(SETTINGS_AT_START) <= {field.name for field in fields(Settings)}


def _paths(told: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    entries = told.items() if isinstance(told, dict) else enumerate(told) if isinstance(told, list) else ()
    for key, value in entries:
        yield (*path, key)
        yield from _paths(value, (*path, key))


def _at(told: Any, path: tuple[Any, ...]) -> Any:
    for key in path:
        told = told[key]
    return told


REQUIRED = ("name", "aimNs", "giveUpNs", "semantics", "portion")
NUMBERS = ("aimNs", "giveUpNs", "mostTries", "dialTimeoutNs", "idleCloseNs", "maxOpen")
BAD_NUMBERS: tuple[Any, ...] = (0, -1, True, "5", [], {}, 1.5e300, 0.5, -(10**30))


def broken(seed: int) -> bytes:
    """A file that may not be taken, by chance."""
    rng = random.Random(seed)
    told = base()
    whole = json.dumps(told).encode()
    paths = list(_paths(told))
    keyed = [path for path in paths if path[0] not in ("seed", "known") and path != ("name",)]
    match rng.randrange(7):
        case 0:
            return whole[: rng.randrange(len(whole))]
        case 1:
            at = rng.randrange(len(whole))
            return whole[:at] + b"\xff" + whole[at + 1 :]
        case 2:  # a key of an object that is there once
            path = rng.choice([p for p in keyed if all(isinstance(k, str) for k in p)])
            del _at(told, path[:-1])[path[-1]]
        case 3:  # a key of an entry
            path = rng.choice([p for p in keyed if p[-1] in REQUIRED and isinstance(p[-2], int)])
            del _at(told, path[:-1])[path[-1]]
        case 4:
            path = rng.choice([p for p in keyed if p[-1] in NUMBERS])
            _at(told, path[:-1])[path[-1]] = rng.choice(BAD_NUMBERS)
        case 5:
            classes = told["settings"]["classes"]
            classes.append(dict(rng.choice(classes)))
        case _:
            told["settings"]["classes"][0]["semantics"] = rng.choice(["", "safe", None, 3, [], "RETRYABLE"])
    return json.dumps(told).encode()


@pytest.mark.parametrize("seed", range(300))
def test_a_broken_file_is_turned_down_whole_in_one_line(tmp_path: Path, seed: int) -> None:
    held = read(tmp_path, base(), first=True)
    with pytest.raises((ConfigError, ValueError)) as told:
        plan_reload(held, read(tmp_path, broken(seed)))
    assert "\n" not in str(told.value)


@pytest.mark.parametrize(
    "text", [b"", b"{}", b"[]", b"null", b'"x"', b"NaN", b'{"settings": {"classes": []}}']
)
def test_what_is_no_configuration_is_turned_down(tmp_path: Path, text: bytes) -> None:
    held = read(tmp_path, base(), first=True)
    with pytest.raises((ConfigError, ValueError)):
        plan_reload(held, read(tmp_path, text))


def test_router_is_retuned_under_load_and_counts_its_files(tmp_path: Path) -> None:
    held = threading.Event()

    def serve(connection: Any, words: list[bytes]) -> bytes:
        if words[1] == b"slow":
            held.wait(10)
        if words[1] == b"breaks" and not words[2].endswith(b"2"):
            reset(connection)
        return hit(words[2])

    caches = {f"s{i}": Peer(serve) for i in range(2)}
    with run_router(tmp_path, caches) as router:
        client, waiting = router.client(), router.client()
        assert client.ask(get("a0")) == b"a0"
        waiting.send(get("a1", "slow"))
        eventually(lambda: ask(router.admin, "/stats")["current"] == 1, "it is open")
        told = router.read_configuration()

        for invalid, text in enumerate(("", json.dumps(told)[:-40], "{}"), 1):
            router.reload(text)
            router.until("conf_invalid", invalid)
            assert router.status_value("conf_loaded") == 0
            assert client.ask(get(f"b{invalid}")) == b"b%d" % invalid
        changed = copy.deepcopy(told)
        classes = changed["settings"]["classes"]
        classes[0]["semantics"] = "fragile"
        classes.append({"name": "fresh", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": "retryable"})
        del classes[1]
        assert client.ask(get("c0").replace(b"c=get", b"c=put")) == b"c0"
        router.reload(json.dumps(changed))
        router.until("conf_loaded", 1)
        assert router.status_value("conf_invalid") == 3
        assert client.ask(bulk(b"KV.GET", b"k", b"d1", b"c=fresh,t=acme,d=5000")) == b"d1"
        assert client.ask(get("d2").replace(b"c=get", b"c=put")).startswith(b"-ERR"), "a dropped class"
        assert client.ask(get("d3", "breaks")) == b"-ERR failed", "an unsafe one is not sent again"
        held.set()
        assert waiting.answer() == b"a1"
        stats = ask(router.admin, "/stats")
        assert stats["answered"]["fresh"] == 1
        assert stats["answered"]["put"] == 1, "a dropped one keeps its counts"
        assert stats["errored"]["get"] == 1


def test_two_signals_at_once_and_a_move_of_discovery(tmp_path: Path) -> None:
    first, second = Peer(lambda _, words: hit(b"first")), Peer(lambda _, words: hit(b"second"))
    with run_router(tmp_path, {"s1": first}) as router:
        other = DiscoveryPeer([entry(second, "s2")])
        told = router.read_configuration()
        told["discovery"] = f"127.0.0.1:{other.peer.port}"
        told["settings"]["ceilings"]["mostTries"] = 2
        router.reload(json.dumps(told))
        router.process.send_signal(signal.SIGHUP)
        client = router.client()
        number = iter(range(10**6))

        def moved() -> bool:
            time.sleep(0.02)
            return client.ask(get(f"r{next(number)}")) == b"second"

        eventually(moved, "the new list is in force")
        assert ask(router.admin, "/stats")["conf_loaded"] >= 1
        other.peer.close()
    second.close()
