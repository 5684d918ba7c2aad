"""A soak: stand-ins and routers under seeded faults and router restarts, and the audit at the end."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from saltport.audit import Limits, Verdict
from saltport.harness import Harness, run_load
from saltport.load.plan import LoadPlan, Step
from saltport.standins.faults import KINDS
from saltport.standins.profile import Profile, quick


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


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a soak showed."""

    summary: dict[str, Any]
    verdict: Verdict
    struck: dict[str, int]
    """How often each kind of fault struck."""
    schedule: list[dict[str, Any]]


async def run_soak(
    soak: Soak, folder: Path, limits: Limits, progress: Callable[[str], None] | None = None
) -> SoakResult:
    """Run a soak in an empty folder, which keeps its ledgers and logs; raises HarnessError."""
    profile = quick(Profile(), soak.divide)
    harness = Harness(folder, profile, soak.nodes, soak.routers, soak.seed)
    plan = LoadPlan((Step(0.0, soak.rate),), soak.seconds, keys=soak.keys, seed=soak.seed)
    async with harness:
        told = await harness.control.call(
            "play", seed=soak.seed, seconds=soak.seconds, kinds=list(soak.kinds), every_s=soak.fault_every_s
        )
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
    struck = Counter(record["fault"] for record in harness.fleet_records() if record["kind"] == "fault")
    return SoakResult(summary, harness.audit([ledger], limits), dict(struck), told["schedule"])
