"""`saltport demo`: stand-ins, routers and light load on loopback, with nothing else to set up."""

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

FOR_GOOD_S = 365 * 86_400.0
SLACK_MS = 1_000
"""A demo shares its cores with whatever else runs, so the audit allows more than on a quiet machine."""


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """What a demo is to show; `seconds` None: until Ctrl-C."""

    seconds: float | None
    nodes: int = 6
    routers: int = 1
    rate: float = 60.0
    fault: str | None = None
    seed: int = 1
    divide: float = 4.0
    as_json: bool = False


def _say(options: DemoOptions, fields: dict[str, Any], text: str) -> None:
    print(orjson.dumps(fields).decode() if options.as_json else text, flush=True)


def _welcome(addresses: dict[str, Any], routers: dict[str, str]) -> str:
    one = next(iter(routers.values()))
    return (
        f"routers: {', '.join(f'{name} at {address}' for name, address in routers.items())}\n"
        f"control socket of the stand-ins: {addresses['control']}\n"
        "to try, from another terminal:\n"
        f"  saltport load --router {one} --rate 200 --seconds 10\n"
        f"  saltport fault --control {addresses['control']} strike kill n000\n"
        f"  saltport fault --control {addresses['control']} mend n000\n"
        f"  saltport fault --control {addresses['control']} state\n"
        "Ctrl-C ends it, with the totals and the audit's verdict."
    )


async def run_demo(options: DemoOptions, progress: Callable[[str], None] | None = None) -> int:
    """Run a demo; returns 0 if the audit is clean, else 1. Raises HarnessError, with nothing left running."""
    profile = with_faster_work(Profile(), options.divide)
    plan = LoadPlan((Step(0.0, options.rate),), options.seconds or FOR_GOOD_S, seed=options.seed, keys=500)
    with tempfile.TemporaryDirectory(prefix="saltport-demo-") as folder:
        harness = Harness(Path(folder), profile, options.nodes, options.routers, options.seed)
        stop = asyncio.Event()
        # Danger: cancelled together with the clean-up, it would leave processes behind.
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
        verdict = harness.audit(clients, Limits(SLACK_MS, SLACK_MS, SLACK_MS, SLACK_MS))
    _say(
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
    routers = {router.name: "{}:{}".format(*router.address) for router in harness.held}
    _say(options, {"routers": routers, **harness.addresses}, _welcome(harness.addresses, routers))
    if options.fault is not None:
        await _strike(harness, options)
    return await run_load(harness, plan, progress=progress, stop=stop)


class _Interrupt:
    """Ctrl-C: the first ends the load in good order, a second one ends all at once; more change nothing."""

    def __init__(self, stop: asyncio.Event, work: asyncio.Task[Any]) -> None:
        self._stop, self._work = stop, work

    def __call__(self) -> None:
        if not self._stop.is_set():
            self._stop.set()
        else:
            self._work.cancel()


async def _strike(harness: Harness, options: DemoOptions) -> None:
    """Have one kind of fault strike again and again, on nodes drawn by seed."""
    assert options.fault is not None
    seconds = options.seconds or 600.0
    every = max(min(KINDS[options.fault].seconds[1] + 1.0, seconds / 3), 0.5)
    await harness.control.call(
        "play", seed=options.seed, seconds=seconds, kinds=[options.fault], every_s=every
    )
