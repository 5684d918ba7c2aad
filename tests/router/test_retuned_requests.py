"""Requests keep the effect that they came with, however late the router reads or begins them.

Each play takes a write of class `once`, which may not be repeated. Before it runs, the class is dropped and
comes back as one that may be: a router that went by the new rules would repeat it after the origin's 500.
"""

from __future__ import annotations

import json
import socket
import threading
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from benchmarks.platform import platform
from tests.sockets import (
    FACTS,
    TIMEOUT_S,
    Peer,
    RunningRouter,
    echo_cache_with_slow_key,
    entry,
    eventually,
    get,
    http_answer,
    put,
    run_router,
)

FAILED = b"-ERR failed"
RECEIPT = b"receipt"


def classes(once: str | None) -> list[dict[str, Any]]:
    """Return the classes with `once` of this effect, or without it."""
    others = [known for known in FACTS["classes"] if known["name"] != "once"]
    if once is None:
        return others
    return [*others, {"name": "once", "aimNs": 10**9, "giveUpNs": 2 * 10**9, "semantics": once}]


class FailingOrigin:
    """An origin that answers the write `first` once it is released, and fails the first run of any other."""

    def __init__(self) -> None:
        self.released = threading.Event()
        self.runs: Counter[bytes] = Counter()
        self.peer = Peer(self._serve, is_http=True)

    def _serve(self, _: socket.socket, message: list[bytes]) -> bytes:
        name = message[2].split(b"Request-Id: ")[1].split(b"\r\n")[0]
        self.runs[name] += 1
        if name == b"first":
            assert self.released.wait(TIMEOUT_S)
        elif self.runs[name] == 1:
            return http_answer(500, b"failed")
        return http_answer(200, RECEIPT)


def reload_classes(router: RunningRouter, *effects: str | None) -> None:
    """Load configurations with these effects of `once`, one after another."""
    for effect in effects:
        loaded = router.status_value("conf_loaded")
        config = router.read_configuration()
        config["settings"]["classes"] = classes(effect)
        router.reload(json.dumps(config))
        router.until("conf_loaded", loaded + 1)


@pytest.mark.parametrize("effects", [(None, "retryable"), ("retryable",), (None,), (None, "fragile")])
def test_write_that_waits_behind_another_one_keeps_its_effect(
    tmp_path: Path, effects: tuple[str | None, ...]
) -> None:
    # Guards against: the class of a waiting write was looked up by its name when it began, after the reload.
    origin, release = FailingOrigin(), threading.Event()
    with run_router(tmp_path, {"s1": echo_cache_with_slow_key(release)}, origin.peer) as router:
        client = router.client()
        client.send(put("first", cls="once") + put("second", cls="once"))
        eventually(lambda: origin.runs[b"first"], "the first write has reached the origin")
        router.until("current", 2)
        reload_classes(router, *effects)
        origin.released.set()
        assert [client.answer(), client.answer()] == [RECEIPT, FAILED]
        assert origin.runs[b"second"] == 1


def test_write_that_was_not_read_yet_keeps_its_effect(tmp_path: Path) -> None:
    # Guards against: a write that had arrived behind 256 open reads was read, and judged, after the reload.
    origin, release = FailingOrigin(), threading.Event()
    with run_router(tmp_path, {"s1": echo_cache_with_slow_key(release)}, origin.peer) as router:
        client = router.client()
        reads = [get(f"r{number}", "slow", 20_000) for number in range(300)]
        client.send(b"".join(reads) + put("second", cls="once"))
        eventually(lambda: router.status_value("current") >= 256, "reading has paused")
        reload_classes(router, None, "retryable")
        release.set()
        answers = [client.answer() for _ in range(301)]
        assert answers[-1] == FAILED
        assert origin.runs[b"second"] == 1


def test_write_that_was_read_in_part_keeps_its_effect(tmp_path: Path) -> None:
    # Guards against: a write that its client began to send under the old rules was judged by the new ones.
    origin, release = FailingOrigin(), threading.Event()
    with run_router(tmp_path, {"s1": echo_cache_with_slow_key(release)}, origin.peer) as router:
        client = router.client()
        second = put("second", bytes(100_000), cls="once")
        client.send(second[:60])
        eventually(lambda: router.status_value("connected"), "the client is connected")
        client.send(second[60:50_000])
        eventually(lambda: router.status_value("held_bytes") > 100_000, "a part has been read")
        reload_classes(router, None, "retryable")
        assert client.ask(second[50_000:]) == FAILED
        assert origin.runs[b"second"] == 1
        assert client.ask(put("third", cls="once")) == RECEIPT, (
            "a write that came later goes by the new rules"
        )
        assert origin.runs[b"third"] == 2


@pytest.mark.parametrize("is_read_before", [True, False])
def test_write_keeps_its_effect_over_an_upgrade_to_other_settings(
    tmp_path: Path, is_read_before: bool
) -> None:
    # Guards against: the next process read a write of the old process's time, and went by its own settings.
    origin, release = FailingOrigin(), threading.Event()
    cache = echo_cache_with_slow_key(release)
    with platform(tmp_path, {"s1": cache}) as cluster:
        cluster.discovery.change(entry(cache, "s1"), entry(origin.peer, "origin", "origin"))
        old = cluster.start().wait_until_healthy()
        client = cluster.client()
        assert client.ask(get("c1")) == b"c1"
        second = put("second", bytes(100_000), cls="once")
        settings = {**cluster.configuration["settings"], "classes": classes("retryable")}
        cluster.configuration["settings"] = settings
        new = cluster.start().wait_until_healthy()
        if is_read_before:
            client.send(second[:50_000])
            eventually(lambda: old.status_value("held_bytes") > 100_000, "a part has been read")
            old.terminate()
            new.until("connected", 1)
            client.send(second[50_000:])
        else:
            # The write waits unread behind reads that are answered once the old process is told to end.
            client.send(b"".join(get(f"r{number}", "slow", 20_000) for number in range(300)) + second)
            eventually(lambda: old.status_value("current") >= 256, "reading has paused")
            old.terminate()
            release.set()
            assert [client.answer()[:1] for _ in range(300)] == [b"r"] * 300
        assert client.answer() == FAILED
        assert origin.runs[b"second"] == 1
        origin.peer.close()
