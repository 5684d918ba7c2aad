"""The demo behind `saltport demo`: stand-ins, routers and light load on loopback, without further setup."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from saltport.audit import Limits
from saltport.harness import Harness, run_load
from saltport.load.plan import LoadPlan, Step
from saltport.load.report import table
from saltport.standins.faults import KINDS
from saltport.standins.ledger import Ledger
from saltport.standins.profile import Profile, with_faster_work

UNLIMITED_S = 365 * 86_400.0
AUDIT_SLACK_MS = 1_000
"""Larger than the audit's default, since a demo shares its cores with other programs."""


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """The options of a demo; with `seconds` None it runs until Ctrl-C."""

    seconds: float | None
    nodes: int = 6
    """The number of simulated cache servers."""
    routers: int = 1
    rate: float = 60.0
    """The requests per second of all clients together."""
    fault: str | None = None
    """The kind of fault that is injected repeatedly; None: no faults."""
    seed: int = 1
    work_divisor: float = 4.0
    """The factor by which the stand-ins work faster than in the default profile."""
    as_json: bool = False


def _print(options: DemoOptions, fields: dict[str, Any], text: str) -> None:
    print(orjson.dumps(fields).decode() if options.as_json else text, flush=True)


def _introduction(addresses: dict[str, Any], routers: dict[str, str]) -> str:
    first_router = next(iter(routers.values()))
    return (
        f"routers: {', '.join(f'{name} at {address}' for name, address in routers.items())}\n"
        f"control socket of the stand-ins: {addresses['control']}\n"
        "to try, from another terminal:\n"
        f"  saltport load --router {first_router} --rate 200 --seconds 10\n"
        f"  saltport fault --control {addresses['control']} strike kill n000\n"
        f"  saltport fault --control {addresses['control']} mend n000\n"
        f"  saltport fault --control {addresses['control']} state\n"
        "Ctrl-C ends the demo and prints the totals and the audit's verdict."
    )


async def run_demo(options: DemoOptions, progress: Callable[[str], None] | None = None) -> int:
    """Run a demo; return 0 if the audit is clean, else 1. On HarnessError no process is left running."""
    profile = with_faster_work(Profile(), options.work_divisor)
    plan = LoadPlan((Step(0.0, options.rate),), options.seconds or UNLIMITED_S, seed=options.seed, keys=500)
    with tempfile.TemporaryDirectory(prefix="saltport-demo-") as folder:
        harness = Harness(Path(folder), profile, options.nodes, options.routers, options.seed)
        stop = asyncio.Event()
        # Danger: outside its own task, a cancellation would also hit the clean-up and leave processes.
        work = asyncio.get_running_loop().create_task(_play(harness, options, plan, progress, stop))
        interrupt = _Interrupt(stop, work)
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, interrupt)
        summary: dict[str, Any] = {}
        clients: list[Ledger | Path] = []
        try:
            with contextlib.suppress(asyncio.CancelledError):
                summary, ledger = await work
                clients.append(ledger)
        finally:
            await harness.stop()
        verdict = harness.audit(
            clients, Limits(AUDIT_SLACK_MS, AUDIT_SLACK_MS, AUDIT_SLACK_MS, AUDIT_SLACK_MS)
        )
    _print(
        options,
        {"totals": summary, "audit": verdict.as_json()},
        f"{table(summary) if summary else 'ended before any load'}\n"
        + ("the audit is clean" if verdict.clean else "the audit found:")
        + "".join(f"\n  {violation.rule}: {violation.what}" for violation in verdict.violations[:20]),
    )
    return 0 if verdict.clean else 1


async def _play(
    harness: Harness,
    options: DemoOptions,
    plan: LoadPlan,
    progress: Callable[[str], None] | None,
    stop: asyncio.Event,
) -> tuple[dict[str, Any], Ledger]:
    await harness.start()
    routers = {router.name: "{}:{}".format(*router.address) for router in harness.router_processes}
    _print(options, {"routers": routers, **harness.addresses}, _introduction(harness.addresses, routers))
    if options.fault is not None:
        await _schedule_fault(harness, options)
    return await run_load(harness, plan, progress=progress, stop=stop)


class _Interrupt:
    """The handler of Ctrl-C: the first stops the load gracefully, the second cancels the run."""

    def __init__(self, stop: asyncio.Event, work: asyncio.Task[Any]) -> None:
        self._stop, self._work = stop, work

    def __call__(self) -> None:
        if not self._stop.is_set():
            self._stop.set()
        else:
            self._work.cancel()


async def _schedule_fault(harness: Harness, options: DemoOptions) -> None:
    """Schedule repeated faults of one kind on nodes drawn from the seed."""
    assert options.fault is not None
    seconds = options.seconds or 600.0
    every_s = max(min(KINDS[options.fault].seconds[1] + 1.0, seconds / 3), 0.5)
    await harness.control.call(
        "play", seed=options.seed, seconds=seconds, kinds=[options.fault], every_s=every_s
    )
