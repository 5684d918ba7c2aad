"""Memory of ended connections is free at once, without Python's collector of reference cycles."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from typing import TypeVar, cast

from saltport.lifecycle.service import Service
from saltport.messages import Request
from saltport.router.config import load_config
from saltport.transport.loop import run_on_router_loop
from tests.faults.crowd import FACTS, HostileClient, cache_of, connected, many_reads
from tests.faults.hostile_clients import LONG, SIZES, VISITS
from tests.sockets import (
    DiscoveryPeer,
    Peer,
    RunningRouter,
    configuration,
    entry,
    free_port,
    http_answer,
    put,
)

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


async def pay_visits(router: RunningRouter) -> Counter[str]:
    """Let clients of all kinds come and go; return what they leave."""
    visits = [*VISITS, many_reads] * CLIENTS_OF_A_KIND
    await asyncio.gather(*(pay_visit(router, visit, number) for number, visit in enumerate(visits)))
    await asyncio.sleep(END_S)
    return unreachable()


async def write_and_read_on(router: RunningRouter) -> list[int]:
    """Send writes that are answered long before their time; return the lengths of the values still kept."""
    async with connected(router) as (reader, writer):
        for number in range(3):
            writer.write(put(f"w{number}", b"v" * LONG, d=60_000))
            assert (await reader.readline()).startswith(b"$")
            await reader.readline()
        await asyncio.sleep(0)
        requests = [each for each in gc.get_objects() if isinstance(each, Request)]
        return [len(request.value) for request in requests if request.value]


T = TypeVar("T")


async def run_here(config_path: Path, port: int, clients: Callable[[RunningRouter], Awaitable[T]]) -> T:
    """Run a router in this process beside clients, whose result is returned."""
    service = Service(asyncio.get_running_loop(), load_config({"LB_CONFIG": str(config_path)}), {}, [])
    running = asyncio.create_task(service.run())
    while not service.healthy():
        await asyncio.sleep(0.01)
    result = await clients(cast(RunningRouter, SimpleNamespace(port=port)))
    signal.raise_signal(signal.SIGTERM)
    await running
    return result


def played(folder: Path, clients: Callable[[RunningRouter], Awaitable[T]]) -> T:
    """Run a router in this process, without the collector, beside clients."""
    sizes = {name.encode(): size for name, size in SIZES.items()}
    caches = {f"s{number}": cache_of(sizes) for number in range(3)}
    origin = Peer(lambda _, message: http_answer(200, b"value", "Connection: close"), is_http=True)
    entries = [entry(peer, name) for name, peer in caches.items()]
    discovery = DiscoveryPeer([*entries, entry(origin, "origin", "origin")])
    port, path = free_port(), folder / "config.json"
    # The memory of this process is that of the clients and servers too.
    limits = {"cores": 1.0, "memory_mb": 8192, "sockets": 1024}
    path.write_text(json.dumps({**configuration(port, discovery, facts=FACTS), "limits": limits}))
    gc.collect()
    gc.disable()
    try:
        return run_on_router_loop(run_here(path, port, clients))
    finally:
        gc.enable()
        for peer in (*caches.values(), origin, discovery.peer):
            peer.close()


def test_nothing_of_an_ended_connection_waits_for_the_collector(tmp_path: Path) -> None:
    """Guards against connections that refer to themselves, and stay in memory long after their end."""
    assert played(tmp_path, pay_visits) == {}


def test_value_of_an_answered_write_is_not_kept_until_its_deadline(tmp_path: Path) -> None:
    """Guards against timers that outlive their request, and keep its value."""
    assert played(tmp_path, write_and_read_on) == []
