"""Configuration reloads: what a plan applies, which files it rejects, and reloads of a router under load."""

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
from saltport.lifecycle.reload import RESTART_ONLY_SETTINGS, plan_reload
from saltport.router.config import Config, ConfigError, load_config, reload_config
from saltport.standins.profile import Profile
from tests.sockets import DiscoveryPeer, Peer, bulk, entry, eventually, get, hit, reset, run_router


def valid_document() -> dict[str, Any]:
    document = Profile().config("r", "127.0.0.1:1", "127.0.0.1:2", 3)
    document["settings"]["ceilings"].setdefault("mostTries", 4)
    return copy.deepcopy(document)


def read(folder: Path, document: Any, *, first: bool = False) -> Config:
    path = folder / "config.json"
    path.write_bytes(document if isinstance(document, bytes) else json.dumps(document).encode())
    return (load_config if first else reload_config)({"LB_CONFIG": str(path), "LB_ADMIN_ADDR": ""})


def test_the_same_file_again_changes_nothing(tmp_path: Path) -> None:
    current = read(tmp_path, valid_document(), first=True)
    plan = plan_reload(current, read(tmp_path, valid_document()))
    assert (plan.config, plan.discovery_changed, plan.settings_changed, plan.restart_required) == (
        current,
        False,
        False,
        (),
    )


def test_reloadable_changes_are_applied_and_others_are_reported(tmp_path: Path) -> None:
    current = read(tmp_path, valid_document(), first=True)
    document = valid_document()
    document.update(
        listen="127.0.0.1:9", discovery="127.0.0.1:8", seed="ff", known={"generation": 1, "instances": []}
    )
    document["limits"]["memory_mb"] = 64
    settings = document["settings"]
    settings["classes"][0]["semantics"] = "fragile"
    settings["classes"].append({"name": "new", "aimNs": 10**8, "giveUpNs": 10**9, "semantics": "retryable"})
    settings["ceilings"]["mostTries"] = 2
    settings["tenants"] = settings["tenants"][:1]
    settings["feedback"] = {"fields": ["queue"], "how": "answers"}
    plan = plan_reload(current, read(tmp_path, document))
    assert (plan.discovery_changed, plan.settings_changed) == (True, True)
    assert plan.restart_required == ("listen", "memory", "settings.load_fields")
    assert plan.config.listen == current.listen
    assert plan.config.memory == current.memory
    assert plan.config.seed == current.seed
    assert plan.config.discovery == ("127.0.0.1", 8)
    settings_after = plan.config.settings
    assert settings_after.load_fields == current.settings.load_fields
    assert settings_after.classes[0].effect is Effect.UNSAFE
    assert settings_after.classes[-1].name == "new"
    assert (settings_after.max_attempts, len(settings_after.tenants)) == (2, 1)


def test_restart_only_settings_are_settings(tmp_path: Path) -> None:
    """Each restart-only setting is the name of a field of Settings."""
    assert set(RESTART_ONLY_SETTINGS) <= {field.name for field in fields(Settings)}


def _paths(document: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    entries = (
        document.items()
        if isinstance(document, dict)
        else enumerate(document)
        if isinstance(document, list)
        else ()
    )
    for key, value in entries:
        yield (*path, key)
        yield from _paths(value, (*path, key))


def _at(document: Any, path: tuple[Any, ...]) -> Any:
    for key in path:
        document = document[key]
    return document


REQUIRED = ("name", "aimNs", "giveUpNs", "semantics", "portion")
NUMBERS = ("aimNs", "giveUpNs", "mostTries", "dialTimeoutNs", "idleCloseNs", "maxOpen")
INVALID_NUMBERS: tuple[Any, ...] = (0, -1, True, "5", [], {}, 1.5e300, 0.5, -(10**30))


def invalid_file(seed: int) -> bytes:
    """Return an invalid configuration file, chosen at random by `seed`."""
    rng = random.Random(seed)
    document = valid_document()
    valid = json.dumps(document).encode()
    paths = list(_paths(document))
    keyed = [path for path in paths if path[0] not in ("seed", "known") and path != ("name",)]
    match rng.randrange(7):
        case 0:
            return valid[: rng.randrange(len(valid))]
        case 1:
            at = rng.randrange(len(valid))
            return valid[:at] + b"\xff" + valid[at + 1 :]
        case 2:  # a required key outside lists
            path = rng.choice([p for p in keyed if all(isinstance(k, str) for k in p)])
            del _at(document, path[:-1])[path[-1]]
        case 3:  # a required key of a list entry
            path = rng.choice([p for p in keyed if p[-1] in REQUIRED and isinstance(p[-2], int)])
            del _at(document, path[:-1])[path[-1]]
        case 4:
            path = rng.choice([p for p in keyed if p[-1] in NUMBERS])
            _at(document, path[:-1])[path[-1]] = rng.choice(INVALID_NUMBERS)
        case 5:
            classes = document["settings"]["classes"]
            classes.append(dict(rng.choice(classes)))
        case _:
            document["settings"]["classes"][0]["semantics"] = rng.choice(
                ["", "safe", None, 3, [], "RETRYABLE"]
            )
    return json.dumps(document).encode()


@pytest.mark.parametrize("seed", range(300))
def test_invalid_file_is_rejected_with_a_one_line_error(tmp_path: Path, seed: int) -> None:
    current = read(tmp_path, valid_document(), first=True)
    with pytest.raises((ConfigError, ValueError)) as raised:
        plan_reload(current, read(tmp_path, invalid_file(seed)))
    assert "\n" not in str(raised.value)


@pytest.mark.parametrize(
    "text", [b"", b"{}", b"[]", b"null", b'"x"', b"NaN", b'{"settings": {"classes": []}}']
)
def test_text_that_is_no_configuration_is_rejected(tmp_path: Path, text: bytes) -> None:
    current = read(tmp_path, valid_document(), first=True)
    with pytest.raises((ConfigError, ValueError)):
        plan_reload(current, read(tmp_path, text))


def test_router_reloads_settings_under_load_and_counts_reloads(tmp_path: Path) -> None:
    release = threading.Event()

    def serve(connection: Any, words: list[bytes]) -> bytes:
        if words[1] == b"slow":
            release.wait(10)
        if words[1] == b"breaks" and not words[2].endswith(b"2"):
            reset(connection)
        return hit(words[2])

    caches = {f"s{i}": Peer(serve) for i in range(2)}
    with run_router(tmp_path, caches) as router:
        client, waiting = router.client(), router.client()
        assert client.ask(get("a0")) == b"a0"
        waiting.send(get("a1", "slow"))
        eventually(lambda: ask(router.admin, "/stats")["current"] == 1, "the request is open")
        document = router.read_configuration()

        for invalid, text in enumerate(("", json.dumps(document)[:-40], "{}"), 1):
            router.reload(text)
            router.until("conf_invalid", invalid)
            assert router.status_value("conf_loaded") == 0
            assert client.ask(get(f"b{invalid}")) == b"b%d" % invalid
        changed = copy.deepcopy(document)
        classes = changed["settings"]["classes"]
        classes[0]["semantics"] = "fragile"
        classes.append({"name": "fresh", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": "retryable"})
        del classes[1]
        assert client.ask(get("c0").replace(b"c=get", b"c=put")) == b"c0"
        router.reload(json.dumps(changed))
        router.until("conf_loaded", 1)
        assert router.status_value("conf_invalid") == 3
        assert client.ask(bulk(b"KV.GET", b"k", b"d1", b"c=fresh,t=acme,d=5000")) == b"d1"
        assert client.ask(get("d2").replace(b"c=get", b"c=put")).startswith(b"-ERR"), "the class was removed"
        assert client.ask(get("d3", "breaks")) == b"-ERR failed", "an unsafe request is not retried"
        release.set()
        assert waiting.answer() == b"a1"
        stats = ask(router.admin, "/stats")
        assert stats["answered"]["fresh"] == 1
        assert stats["answered"]["put"] == 1, "a removed class keeps its counts"
        assert stats["errored"]["get"] == 1


def test_two_signals_at_once_and_a_new_discovery_address(tmp_path: Path) -> None:
    first, second = Peer(lambda _, words: hit(b"first")), Peer(lambda _, words: hit(b"second"))
    with run_router(tmp_path, {"s1": first}) as router:
        other = DiscoveryPeer([entry(second, "s2")])
        document = router.read_configuration()
        document["discovery"] = f"127.0.0.1:{other.peer.port}"
        document["settings"]["ceilings"]["mostTries"] = 2
        router.reload(json.dumps(document))
        router.process.send_signal(signal.SIGHUP)
        client = router.client()
        number = iter(range(10**6))

        def moved() -> bool:
            time.sleep(0.02)
            return client.ask(get(f"r{next(number)}")) == b"second"

        eventually(moved, "the new list applies")
        assert ask(router.admin, "/stats")["conf_loaded"] >= 1
        other.peer.close()
    second.close()
