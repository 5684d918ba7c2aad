"""Start of a router while discovery is unavailable or slow, and with an old, empty or invalid known list."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from saltport.downstream.connection import FIRST_REQUEST_GRACE_S
from tests.sockets import (
    TIMEOUT_S,
    Client,
    DiscoveryPeer,
    Peer,
    bulk,
    configuration,
    echo_cache,
    entry,
    eventually,
    free_port,
    get,
    is_ready,
    run_router,
    start_router,
)

BROKEN = [
    "no list",
    7,
    {},
    {"generation": "x", "instances": []},
    {"generation": 1, "instances": [{}]},
    {"generation": 1, "instances": [{"instanceId": "s", "hostPort": "nowhere", "lifecycle": "up"}]},
]


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
@pytest.mark.parametrize("known", [None, *BROKEN], ids=json.dumps)
def test_invalid_known_list_does_not_prevent_the_start(tmp_path: Path, known: Any, mode: str) -> None:
    cache = echo_cache()
    discovery = DiscoveryPeer([entry(cache, "s1")])
    port = free_port()
    settings = configuration(port, discovery, facts={"membershipMode": mode}) | {"known": known}
    process = start_router(tmp_path, settings)
    try:
        eventually(lambda: is_ready(port) or process.poll() is not None, "the router is ready")
        assert process.poll() is None, process.communicate()[1]
        assert Client(port).ask(get("r1")) == b"r1"
    finally:
        process.terminate()
        log = process.communicate(timeout=TIMEOUT_S)[1]
        cache.close()
        discovery.peer.close()
    assert log.count("known:") == (known is not None), "logged once, in one line"


def test_idle_clients_at_their_limit_do_not_block_discovery_or_servers(tmp_path: Path) -> None:
    """Discovery does not answer at first, and more idle clients connect than there are descriptors."""
    cache, answering = echo_cache(), threading.Event()
    discovery = DiscoveryPeer([entry(cache, "s1")])
    answer = discovery.peer.handler

    def silent(connection: Any, message: list[bytes]) -> bytes | None:
        answering.wait(2 * TIMEOUT_S)
        return answer(connection, message)

    discovery.peer.handler = silent
    port = free_port()
    old = Peer(lambda _, words: b"-BUSY\r\n")
    known = {"generation": 0, "reset": True, "instances": [entry(old, "old")]}
    process = start_router(tmp_path, configuration(port, discovery, sockets=160) | {"known": known})
    idle: list[Client] = []
    try:
        eventually(lambda: is_ready(port), "ready with the known list")
        idle += [Client(port) for _ in range(400)]
        first = Client(port)
        assert first.ask(bulk(b"PING")) == b"+PONG"
        assert first.ask(get("r1")).startswith(b"-BUSY"), "the known server is used, and is busy"
        assert len(old.seen) > 0
        answering.set()
        names = (f"n{i}" for i in range(10_000))
        eventually(lambda: Client(port).ask(get(next(names))).startswith(b"n"), "the new list is used")
        idle += [Client(port) for _ in range(400)]
        assert Client(port).ask(bulk(b"PING")) == b"+PONG"
        # All before it are accepted now; none that is so new gives up its place.
        time.sleep(2 * FIRST_REQUEST_GRACE_S)
        assert Client(port).ask(get("last")) == b"last"
    finally:
        answering.set()
        process.terminate()
        log = process.communicate(timeout=TIMEOUT_S)[1]
        for peer in (cache, old, discovery.peer):
            peer.close()
        for client in idle:
            client.close()
    assert process.returncode == 0, log
    assert "Traceback" not in log
    assert "Too many open files" not in log


def test_a_router_runs_in_one_thread(tmp_path: Path) -> None:
    """Threads cost memory in each of hundreds of processes on one machine."""
    cache = echo_cache()
    with run_router(tmp_path, {"s1": cache}) as router:
        assert router.client().ask(get("r1")) == b"r1"
        assert router.status_value("pid") == router.process.pid
        tasks = Path(f"/proc/{router.process.pid}/task")
        threads = [task.joinpath("comm").read_text().strip() for task in tasks.iterdir()]
    assert len(threads) == 1, threads
