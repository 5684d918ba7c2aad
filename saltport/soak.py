"""A soak: stand-ins and routers under seeded faults and router restarts, and the audit at the end."""

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
from saltport.load.plan import LoadPlan, Step
from saltport.standins.faults import KINDS
from saltport.standins.profile import Profile, with_faster_work, with_shorter_deadlines

IDLE_AGAIN_S = 0.05  # before a client of the crowd comes back


@dataclass(frozen=True, slots=True)
class Soak:
    """The size of a soak; `restart_every_s` 0: routers are left alone. A seed gives the same faults again."""

    seconds: float
    nodes: int = 30
    routers: int = 3
    rate: float = 400.0
    seed: int = 1
    fault_every_s: float = 1.0
    restart_every_s: float = 20.0
    divide: float = 1.0
    keys: int = 2000
    kinds: Sequence[str] = tuple(KINDS)
    hurry: float = 1.0
    """Clients wait for a part of their usual time, as 1 / this: SIGKILL follows SIGTERM the sooner."""
    crowd: int = 0
    """So many idle connections at each router, again as soon as one is closed."""
    sockets: int = 1024
    """What a router may hold."""
    environ: Mapping[str, str] = field(default_factory=dict)
    """What routers find in their environment beside the rest."""


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a soak showed."""

    summary: dict[str, Any]
    verdict: Verdict
    struck: dict[str, int]
    """How often each kind of fault struck."""
    schedule: list[dict[str, Any]]


async def stand_idle(address: Address, seconds: float) -> None:
    """Connect, say nothing, and connect again when that is closed."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            reader, writer = await asyncio.open_connection(*address)
            await reader.read(1)
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(IDLE_AGAIN_S)


async def run_soak(
    soak: Soak, folder: Path, limits: Limits, progress: Callable[[str], None] | None = None
) -> SoakResult:
    """Run a soak in an empty folder, which keeps its ledgers and logs; raises HarnessError."""
    profile = with_shorter_deadlines(with_faster_work(Profile(), soak.divide), soak.hurry)

    def dress(_: str, told: dict[str, Any]) -> dict[str, str]:
        told["limits"]["sockets"] = soak.sockets
        return {}

    harness = Harness(folder, profile, soak.nodes, soak.routers, soak.seed, dress=dress, environ=soak.environ)
    plan = LoadPlan((Step(0.0, soak.rate),), soak.seconds, keys=soak.keys, seed=soak.seed)
    async with harness:
        told = await harness.control.call(
            "play", seed=soak.seed, seconds=soak.seconds, kinds=list(soak.kinds), every_s=soak.fault_every_s
        )
        crowds = [
            asyncio.get_running_loop().create_task(stand_idle(router.address, soak.seconds))
            for router in harness.held
            for _ in range(soak.crowd)
        ]
        load = asyncio.get_running_loop().create_task(run_load(harness, plan, progress=progress))
        if soak.restart_every_s:
            chaos = asyncio.get_running_loop().create_task(
                harness.restart_routers(soak.seconds, soak.restart_every_s)
            )
            try:
                summary, ledger = await load
            finally:
                chaos.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await chaos
        else:
            summary, ledger = await load
        for crowd in crowds:
            crowd.cancel()
        await asyncio.gather(*crowds, return_exceptions=True)
    struck = Counter(record["fault"] for record in harness.fleet_records() if record["kind"] == "fault")
    return SoakResult(summary, harness.audit([ledger], limits), dict(struck), told["schedule"])
