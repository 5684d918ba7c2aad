"""Memory of ended connections is free at once, without Python's collector of reference cycles."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
from collections import Counter
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from typing import cast

from saltport.lifecycle.service import Service
from saltport.router.config import load_config
from saltport.transport.loop import run_on_router_loop
from tests.faults.crowd import FACTS, HostileClient, cache_of, many_reads
from tests.faults.hostile_clients import SIZES, VISITS
from tests.sockets import DiscoveryPeer, Peer, RunningRouter, configuration, entry, free_port, http_answer

CLIENTS_OF_A_KIND = 4
VISIT_S = 3.5  # longer than clients may take to complete a command
END_S = 2.5  # for lingering closes


def unreachable() -> Counter[str]:
    """Return the types of this project whose objects only the collector would free."""
    gc.set_debug(gc.DEBUG_SAVEALL)
    gc.collect()
    gc.set_debug(0)
    kept = Counter(type(each).__qualname__ for each in gc.garbage if "saltport." in type(each).__module__)
    gc.garbage.clear()
    return kept


async def pay_visit(router: RunningRouter, visit: HostileClient, number: int) -> None:
    with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(VISIT_S):
            await visit(router, number)


async def pay_visits(config_path: Path, port: int) -> Counter[str]:
    """Run a router in this process while clients of all kinds come and go; return what they leave."""
    service = Service(asyncio.get_running_loop(), load_config({"LB_CONFIG": str(config_path)}), {}, [])
    running = asyncio.create_task(service.run())
    router = cast(RunningRouter, SimpleNamespace(port=port))
    while not service.healthy():
        await asyncio.sleep(0.01)
    visits = [*VISITS, many_reads] * CLIENTS_OF_A_KIND
    await asyncio.gather(*(pay_visit(router, visit, number) for number, visit in enumerate(visits)))
    await asyncio.sleep(END_S)
    kept = unreachable()
    signal.raise_signal(signal.SIGTERM)
    await running
    return kept


def test_nothing_of_an_ended_connection_waits_for_the_collector(tmp_path: Path) -> None:
    """Guards against connections that refer to themselves, and stay in memory long after their end."""
    sizes = {name.encode(): size for name, size in SIZES.items()}
    caches = {f"s{number}": cache_of(sizes) for number in range(3)}
    origin = Peer(lambda _, message: http_answer(200, b"value", "Connection: close"), is_http=True)
    entries = [entry(peer, name) for name, peer in caches.items()]
    discovery = DiscoveryPeer([*entries, entry(origin, "origin", "origin")])
    port, path = free_port(), tmp_path / "config.json"
    path.write_text(json.dumps(configuration(port, discovery, facts=FACTS)))
    gc.collect()
    gc.disable()
    try:
        kept = run_on_router_loop(pay_visits(path, port))
    finally:
        gc.enable()
    for peer in (*caches.values(), origin, discovery.peer):
        peer.close()
    assert kept == {}
