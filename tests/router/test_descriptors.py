"""More servers than the router has descriptors: all are dialed in turn, and no request is forgotten.

The first tests stop the pool's periodic sweep: a request that only the sweep rescued would mostly be late.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest

from saltport.decisions import CacheStatus, Outcome
from saltport.messages import Request
from saltport.transport.loop import run_on_router_loop
from saltport.upstream.connection import Exchange
from saltport.upstream.pool import MAX_CONNECTIONS_PER_SERVER, Pool
from saltport.upstream.resp import CacheConnection
from tests.sockets import (
    TIMEOUT_S,
    DiscoveryPeer,
    RunningRouter,
    configuration,
    echo_cache,
    entry,
    eventually,
    free_port,
    get,
    is_ready,
    start_router,
)

FLEET = 680
BEYOND = 1_100


class Read(Exchange):
    """A read that records its outcome."""

    def __init__(self, name: str) -> None:
        info = b"c=get,t=acme,d=60000"
        self.request = Request(name.encode(), b"k", "get", "acme", 60_000, None, False, info)
        self.outcome: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()

    def remaining_ms(self) -> int:
        return 60_000

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        self.outcome.set_result(outcome)


class Servers:
    """Servers on loopback in the test's loop, which count open connections and the requests of each."""

    def __init__(self, silent: bool = False) -> None:
        self.open = self.most = 0
        self.asked: Counter[int] = Counter()
        self._silent = silent
        self._listeners: list[asyncio.Server] = []

    async def listen(self, pool: Pool, count: int) -> list[str]:
        names = []
        for number in range(count):
            listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self._listeners.append(listener)
            names.append(f"s{number}")
            pool.list_server(names[-1], listener.sockets[0].getsockname(), CacheConnection)
        return names

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        self.most = max(self.most, self.open)
        try:
            while await reader.readuntil(b"d=60000\r\n"):
                self.asked[writer.get_extra_info("sockname")[1]] += 1
                if not self._silent:
                    writer.write(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()


def run(scene: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await scene

    run_on_router_loop(bounded())


def pool_without_sweep(limit: int) -> Pool:
    pool = Pool(asyncio.get_running_loop(), limit, TIMEOUT_S, 2 * TIMEOUT_S)
    pool._sweep_timer.cancel()
    return pool


@pytest.mark.parametrize(
    ("servers", "limit", "each"), [(20, 1, 3), (20, 7, 3), (40, 16, 2 * MAX_CONNECTIONS_PER_SERVER)]
)
def test_servers_beyond_the_share_get_their_turn_without_a_sweep(servers: int, limit: int, each: int) -> None:
    async def scene() -> None:
        fleet, pool = Servers(), pool_without_sweep(limit)
        names = await fleet.listen(pool, servers)
        reads = [Read(f"r{turn}x{name}") for turn in range(each) for name in names]
        for number, read in enumerate(reads):
            pool.submit(names[number % servers], read)
            assert pool._descriptor_count <= limit
        assert {await read.outcome for read in reads} == {Outcome.OK}
        assert sorted(fleet.asked.values()) == [each] * servers
        pool.close()
        fleet.close()

    run(scene())


def test_server_without_descriptor_and_requests_takes_no_connection_from_another() -> None:
    async def scene() -> None:
        fleet, pool = Servers(), pool_without_sweep(1)
        first, second = await fleet.listen(pool, 2)
        kept, unwanted = Read("kept"), Read("unwanted")
        pool.submit(first, kept)
        pool.submit(second, unwanted)
        unwanted.give_up(Outcome.CANCELLED)
        assert await kept.outcome is Outcome.OK
        again = Read("again")
        pool.submit(first, again)
        assert await again.outcome is Outcome.OK
        assert again.connection_reused, "the second read reuses the connection"
        assert len(fleet.asked) == 1
        pool.close()
        fleet.close()

    run(scene())


def test_descriptor_of_a_connection_that_waits_for_a_late_answer_goes_to_a_server_without_one() -> None:
    async def scene() -> None:
        slow, well, pool = Servers(silent=True), Servers(), pool_without_sweep(1)
        (silent,) = await slow.listen(pool, 1)
        pool.list_server("well", (await _address(well, pool)), CacheConnection)
        late, wanted = Read("late"), Read("wanted")
        pool.submit(silent, late)
        while not slow.asked:
            await asyncio.sleep(0.001)
        pool.submit("well", wanted)
        late.abandon(Outcome.TIMEOUT, 10 * TIMEOUT_S)
        assert await wanted.outcome is Outcome.OK
        pool.close()
        slow.close()
        well.close()

    async def _address(servers: Servers, pool: Pool) -> tuple[str, int]:
        (name,) = await servers.listen(Pool(asyncio.get_running_loop(), 1, 1.0, 1.0), 1)
        assert name == "s0"
        address: tuple[str, int] = servers._listeners[0].sockets[0].getsockname()
        return address

    run(scene())


@pytest.mark.parametrize("servers", [FLEET, BEYOND])
def test_router_with_few_descriptors_serves_from_all_servers_of_a_long_list(
    tmp_path: Path, servers: int
) -> None:
    peer = echo_cache()
    discovery, port = DiscoveryPeer([entry(peer, f"s{n:04d}") for n in range(servers)]), free_port()
    config = configuration(port, discovery, sockets=128) | {"admin_addr": f"127.0.0.1:{free_port()}"}
    process = start_router(tmp_path, config)
    try:
        eventually(lambda: is_ready(port), "the router is ready")
        router = RunningRouter(process, port, discovery, tmp_path)
        client = router.client()
        for turn in range(4):
            names = [f"r{turn}x{n}" for n in range(200)]
            client.send(b"".join(get(name, f"k{name}", d=60_000) for name in names))
            assert [client.answer() for _ in names] == [name.encode() for name in names]
        assert router.descriptors() <= 128
    finally:
        process.terminate()
        _, log = process.communicate(timeout=TIMEOUT_S)
        for server in (peer, discovery.peer):
            server.close()
    assert process.returncode == 0, log
    assert "Traceback" not in log, log
