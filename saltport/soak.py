"""Soak runs: routers against stand-ins under seeded faults and router restarts, with a final audit."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from saltport.address import Address
from saltport.audit import Limits, Verdict
from saltport.harness import Harness, run_load
from saltport.lifecycle.memory import resident_memory_bytes
from saltport.load.plan import LoadPlan, Step
from saltport.standins.faults import KINDS
from saltport.standins.profile import Profile, with_faster_work, with_shorter_deadlines
from saltport.wire.resp import command

IDLE_RECONNECT_DELAY_S = 0.05
MEMORY_SAMPLE_S = 0.05
HALF_COMMAND = command(b"KV.SET", b"half", b"half", b"c=put,d=500", bytes(64 << 10))[: 32 << 10]


@dataclass(frozen=True, slots=True)
class Soak:
    """The parameters of a soak run; the same seed gives the same faults."""

    seconds: float
    nodes: int = 30
    """The number of simulated cache servers."""
    routers: int = 3
    rate: float = 400.0
    """The requests per second of all clients together."""
    seed: int = 1
    fault_every_s: float = 1.0
    """The mean time between two faults of the stand-ins."""
    restart_every_s: float = 20.0
    """The mean time between two router restarts; 0: no restarts."""
    work_divisor: float = 1.0
    """The factor by which the stand-ins work faster than in the default profile."""
    keys: int = 2000
    """The number of different keys that the clients request."""
    kinds: Sequence[str] = tuple(KINDS)
    """The kinds of faults of the stand-ins to inject."""
    deadline_divisor: float = 1.0
    """The factor by which the clients' deadlines are shorter than in the default profile.

    Shorter deadlines also let SIGKILL follow SIGTERM sooner.
    """
    idle_connections: int = 0
    """The number of idle connections to each router; a closed one is opened again.

    Every second one sends half of a command.
    """
    memory_mb: int = 192
    """The memory limit of each router."""
    sockets: int = 1024
    """The limit of open sockets of each router."""
    environ: Mapping[str, str] = field(default_factory=dict)
    """Additional environment variables of the routers."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The report, the audit's verdict and the injected faults of a soak run."""

    summary: dict[str, Any]
    verdict: Verdict
    fault_counts: dict[str, int]
    """The number of injected faults by kind."""
    schedule: list[dict[str, Any]]
    most_memory_bytes: int
    """The most resident memory that a router process had, with mapped files."""


class MemoryWatch:
    """Samples the memory of all routers of a harness."""

    def __init__(self, harness: Harness) -> None:
        self._harness = harness
        self.most_bytes = 0

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            for router in self._harness.router_processes:
                if router.process is not None and router.alive:
                    self.most_bytes = max(self.most_bytes, resident_memory_bytes(router.process.pid) or 0)
            await asyncio.sleep(MEMORY_SAMPLE_S)


async def keep_idle_connection(address: Address, seconds: float, greeting: bytes = b"") -> None:
    """Keep one idle connection open, and open it again whenever it is closed; `greeting` is sent at first."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(greeting)
            await reader.read(1)
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(IDLE_RECONNECT_DELAY_S)


async def run_soak(
    soak: Soak, folder: Path, limits: Limits, progress: Callable[[str], None] | None = None
) -> SoakResult:
    """Run a soak with its ledgers and logs in an empty folder; raises HarnessError."""
    profile = with_shorter_deadlines(with_faster_work(Profile(), soak.work_divisor), soak.deadline_divisor)

    def configure(_: str, config: dict[str, Any]) -> dict[str, str]:
        config["limits"] |= {"sockets": soak.sockets, "memory_mb": soak.memory_mb}
        return {}

    harness = Harness(
        folder, profile, soak.nodes, soak.routers, soak.seed, configure=configure, environ=soak.environ
    )
    plan = LoadPlan((Step(0.0, soak.rate),), soak.seconds, keys=soak.keys, seed=soak.seed)
    async with harness:
        played = await harness.control.call(
            "play", seed=soak.seed, seconds=soak.seconds, kinds=list(soak.kinds), every_s=soak.fault_every_s
        )
        idle_tasks = [
            asyncio.get_running_loop().create_task(
                keep_idle_connection(router.address, soak.seconds, HALF_COMMAND if number % 2 else b"")
            )
            for router in harness.router_processes
            for number in range(soak.idle_connections)
        ]
        memory = MemoryWatch(harness)
        idle_tasks.append(asyncio.get_running_loop().create_task(memory.run()))
        load = asyncio.get_running_loop().create_task(run_load(harness, plan, progress=progress))
        if soak.restart_every_s:
            restarts = asyncio.get_running_loop().create_task(
                harness.restart_routers(soak.seconds, soak.restart_every_s)
            )
            try:
                summary, ledger = await load
            finally:
                restarts.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await restarts
        else:
            summary, ledger = await load
        for task in idle_tasks:
            task.cancel()
        await asyncio.gather(*idle_tasks, return_exceptions=True)
    fault_counts = Counter(record["fault"] for record in harness.fleet_records() if record["kind"] == "fault")
    verdict = harness.audit([ledger], limits)
    return SoakResult(summary, verdict, dict(fault_counts), played["schedule"], memory.most_bytes)
