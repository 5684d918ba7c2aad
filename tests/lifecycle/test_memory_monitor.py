"""A router compares the memory that the kernel counts for it with its limit, and acts on that."""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import ExitStack
from pathlib import Path
from types import SimpleNamespace
from typing import cast

from benchmarks.platform import platform
from saltport.downstream.budget import MemoryBudget
from saltport.downstream.clients import ClientServer
from saltport.lifecycle.memory_monitor import READ_INTERVAL_S, MemoryMonitor
from tests.sockets import Peer, RunningRouter, echo_cache, eventually, get, http_answer, put, run_router

LIMIT_MB = 48
LIMITS = {"cores": 1.0, "memory_mb": LIMIT_MB, "sockets": 1024}
CLIENTS = 100
VALUE = b"v" * (1 << 20)


def reads(router: RunningRouter, name: str) -> set[bytes]:
    """Send some reads; return their answers."""
    client = router.client()
    answers = {client.ask(get(f"{name}-{number}")) for number in range(10)}
    client.leave()
    return answers


def write(router: RunningRouter, name: str) -> bytes:
    client = router.client()
    answer = client.ask(put(name, VALUE, cls="get"))[:5]
    client.leave()
    return answer


def test_files_in_memory_leave_less_for_clients(tmp_path: Path) -> None:
    """Guards against a budget that only knows of itself: the platform counts files too."""
    origin = Peer(lambda _, message: http_answer(200, b"stored"), is_http=True)
    caches = {"s1": echo_cache()}
    with run_router(tmp_path, caches, origin, limits=LIMITS) as router, ExitStack() as stack:
        assert write(router, "w1") != b"-BUSY"
        idle = [router.client() for _ in range(CLIENTS)]
        for client in idle:
            stack.callback(client.leave)
        eventually(lambda: router.status_value("connected") >= CLIENTS, "all are connected")
        (tmp_path / "large").write_bytes(bytes(LIMIT_MB << 20))
        router.until("memory_pressure", "shed")
        assert write(router, "w2") == b"-BUSY"
        eventually(lambda: router.status_value("connected") < CLIENTS / 2, "idle clients are closed")
        assert reads(router, "r") == {f"r-{number}".encode() for number in range(10)}
        (tmp_path / "large").unlink()
        eventually(lambda: router.status_value("memory_pressure") != "shed", "the memory suffices again")
        assert write(router, "w3") != b"-BUSY"


def test_memory_is_read_in_time_while_one_iteration_of_the_loop_is_long() -> None:
    """Guards against a timer alone: it is late exactly when hundreds of clients send at once."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        shed: list[int] = []
        clients = SimpleNamespace(budget=MemoryBudget(1 << 20), connected=0, shed=shed.append)
        monitor = MemoryMonitor(loop, 1 << 20, cast(ClientServer, clients), None, lambda: None)
        monitor.start()
        assert clients.is_short_of_memory, "this process has more than its limit"
        assert loop.time() < clients.memory_check_at <= loop.time() + READ_INTERVAL_S
        time.sleep(READ_INTERVAL_S)
        due_at = clients.memory_check_at
        clients.check_memory()
        assert clients.memory_check_at > due_at
        assert shed == [], "no connection is closed within the event of one"
        await asyncio.sleep(0)
        assert len(shed) == 2
        monitor.close()
        assert clients.memory_check_at == math.inf

    asyncio.run(main())


def test_processes_of_an_upgrade_count_together(tmp_path: Path) -> None:
    """Guards against two processes that each believe in a limit of their own."""
    with platform(tmp_path, {"s1": echo_cache()}) as cluster:
        old = cluster.start().wait_until_healthy()
        alone = old.status_value("resident_bytes")
        new = cluster.start().wait_until_healthy()
        for process in (old, new):
            eventually(lambda: process.status_value("resident_bytes") > 1.7 * alone, "both count")  # noqa: B023
        new.terminate()
        eventually(lambda: old.status_value("resident_bytes") < 1.3 * alone, "one counts again")
