"""Runs routers against stand-ins on loopback: processes, faults, load, and the audit at the end.

The demo, the soak tests and the benchmarks all go through it. Only processes that it started are ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from saltport.address import Address, parse_address
from saltport.audit import Limits, Verdict, audit, merge
from saltport.load.driver import LoadDriver, mark_faults, wait_ready
from saltport.load.plan import LoadPlan, most_popular_keys
from saltport.standins.control import ControlClient
from saltport.standins.ledger import Ledger, read_ledger
from saltport.standins.profile import Profile, profile_json

START_S = 30.0
END_S = 10.0
LONGEST_DEADLINE_S, KILL_SLACK_S = 3.0, 0.7  # PROTOCOL: SIGKILL comes no sooner after SIGTERM
SIGNAL_EVERY_S = 0.02
SIGNAL_SERIES = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    (*[signal.SIGHUP] * 10, signal.SIGTERM),
)
"""How a router is told to end."""
TRIES = 5
WARM_KEYS = 400


def environment() -> dict[str, str]:
    """What child processes get: they import the saltport that this process runs, from any folder."""
    root = str(Path(__file__).resolve().parent.parent)
    kept = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    return {**kept, "PYTHONPATH": os.pathsep.join(filter(None, (root, kept.get("PYTHONPATH"))))}


class HarnessError(Exception):
    """Something did not start; the text is one plain line."""


def free_port(host: str = "127.0.0.1") -> int:
    """A port that was free just now; another may take it first, so whoever uses it tries again."""
    with socket.create_server((host, 0)) as listener:
        return int(listener.getsockname()[1])


def reserve_port(host: str = "127.0.0.1") -> socket.socket:
    """A socket that keeps a port for a process that names it, until it is closed.

    Danger: a port that was only looked up may be another process's by the time a router listens there, or
    the near end of a connection, even of one to that very port; who answers there then passes for the
    router. Bound and not listening, a socket keeps it from all who ask for any port, and with SO_REUSEADDR
    on both lets one that names it listen.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((host, 0))
    return held


@dataclass(slots=True)
class RouterProcess:
    """One router: its configuration stays, its process may be ended and started again."""

    name: str
    address: Address
    folder: Path
    admin: Address
    """Where operators call it."""
    process: asyncio.subprocess.Process | None = None

    @property
    def alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Harness:
    """Stand-ins, routers and the ledgers of a run, all under one folder."""

    folder: Path
    profile: Profile
    nodes: int = 6
    routers: int = 1
    seed: int = 1
    features: str = ""
    """Sections for a file that routers are started `--with`; `{folder}` stands for this run's folder."""
    dress: Callable[[str, dict[str, Any]], dict[str, str]] | None = None
    """Given a router's name and configuration, which it may change; returns more words for its features."""
    environ: Mapping[str, str] = field(default_factory=dict)
    """What routers find in their environment beside the rest."""
    ledger: Ledger = field(init=False)
    control: ControlClient = field(init=False)
    """Set once the fleet runs."""
    addresses: dict[str, Any] = field(init=False)
    held: list[RouterProcess] = field(init=False, default_factory=list)
    _fleet: asyncio.subprocess.Process | None = field(init=False, default=None)
    _watchers: set[asyncio.Task[None]] = field(init=False, default_factory=set)
    _ending: set[str] = field(init=False, default_factory=set)
    _reserved: list[socket.socket] = field(init=False, default_factory=list)
    """They keep the routers' ports from all others, also while a router is down."""

    async def start(self) -> None:
        """Start the fleet and the routers; raises HarnessError, with nothing left running."""
        self.ledger = Ledger("harness", self.folder / "harness.jsonl")
        names = [f"r{number + 1}" for number in range(self.routers)]
        try:
            await self._start_fleet(names)
            await asyncio.gather(*(self._first_start(name) for name in names))
        except BaseException:
            await self.stop()
            raise

    async def __aenter__(self) -> Harness:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def _start_fleet(self, names: list[str]) -> None:
        (self.folder / "profile.json").write_bytes(orjson.dumps(profile_json(self.profile)))
        more = [word for name in names for word in ("--router", name)]
        self._fleet = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "saltport.standins", "--nodes", str(self.nodes), "--seed", str(self.seed),
            "--profile", str(self.folder / "profile.json"), "--ledger", str(self.folder / "fleet.jsonl"),
            *more, "--tied", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, env=environment(),
            start_new_session=True,
        )  # fmt: skip
        assert self._fleet.stdout is not None
        try:
            line = await asyncio.wait_for(self._fleet.stdout.readline(), START_S)
            self.addresses = orjson.loads(line)
        except (TimeoutError, orjson.JSONDecodeError):
            raise HarnessError("the stand-ins did not start") from None
        self.control = await ControlClient.connect(parse_address("control", self.addresses["control"]))

    async def _first_start(self, name: str) -> None:
        folder = self.folder / name
        folder.mkdir()
        for _ in range(TRIES):
            router = RouterProcess(name, self._own_address(), folder, self._own_address())
            told = self.profile.config(
                name,
                "{}:{}".format(*router.address),
                self.addresses["registries"][name],
                self.routers,
                self.seed,
            )
            told["admin_addr"] = "{}:{}".format(*router.admin)
            words = self.dress(name, told) if self.dress is not None else {}
            (folder / "features.toml").write_text(self._features({"folder": str(self.folder), **words}))
            (folder / "config.json").write_bytes(orjson.dumps(told, option=orjson.OPT_INDENT_2))
            if await self.start_router(router):
                self.held.append(router)
                return
        raise HarnessError(f"router {name} did not start; its log is {folder / 'log'}")

    def _own_address(self) -> Address:
        self._reserved.append(reserve_port())
        host, port = self._reserved[-1].getsockname()
        return host, port

    async def start_router(self, router: RouterProcess) -> bool:
        """Start a router's process and wait until it is ready; False: it ended, its port may be taken."""
        environ = {**environment(), **self.environ, "LB_CONFIG": str(router.folder / "config.json")}
        with (router.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "saltport.router", *self._with_features(router),
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, env=environ, start_new_session=True,
            )  # fmt: skip
        router.process = process
        ready = await wait_ready(router.address, START_S, lambda: process.returncode is None)
        if ready:
            self.ledger.write("router", name=router.name, state="ready")
            task = asyncio.get_running_loop().create_task(self._watch(router, process))
            self._watchers.add(task)
            task.add_done_callback(self._watchers.discard)
        return ready

    def _features(self, words: dict[str, str]) -> str:
        text = self.features
        for name, word in words.items():
            text = text.replace(f"{{{name}}}", word)
        return text

    def _with_features(self, router: RouterProcess) -> list[str]:
        return ["--with", str(router.folder / "features.toml")] if self.features else []

    async def _watch(self, router: RouterProcess, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        wanted = router.name in self._ending
        self._ending.discard(router.name)
        state = "exited" if wanted else "crashed"
        self.ledger.write("router", name=router.name, state=state, status=status)

    async def kill_router(self, router: RouterProcess) -> None:
        """SIGKILL: what it held is its clients' to retry."""
        if router.alive:
            assert router.process is not None
            self._ending.add(router.name)
            self.ledger.write("router", name=router.name, state="killed")
            router.process.kill()
            await router.process.wait()

    async def end_router(
        self, router: RouterProcess, signals: Sequence[int] = (signal.SIGTERM,), kill_after_s: float = END_S
    ) -> None:
        """Send signals, and SIGKILL so many seconds after SIGTERM if the process still runs."""
        if not router.alive:
            return
        process = router.process
        assert process is not None
        self._ending.add(router.name)
        for number in signals:
            if number == signal.SIGTERM:
                self.ledger.write("router", name=router.name, state="terminated")
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)
            await asyncio.sleep(SIGNAL_EVERY_S if len(signals) > 1 else 0)
        try:
            await asyncio.wait_for(process.wait(), kill_after_s - SIGNAL_EVERY_S * (len(signals) - 1))
        except TimeoutError:
            self.ledger.write("router", name=router.name, state="overrun")
            process.kill()
            await process.wait()

    async def restart_routers(self, seconds: float, every_s: float) -> None:
        """Kill or terminate a router now and then, by seed, and start it again."""
        rng = random.Random(self.seed ^ 0xD1E)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(every_s * rng.uniform(0.7, 1.3))
            router = rng.choice(self.held)
            if rng.random() < 0.5:
                await self.kill_router(router)
            else:
                await self.end_router(router, rng.choice(SIGNAL_SERIES), self._earliest_kill_s)
            if not await self.start_router(router):
                raise HarnessError(f"router {router.name} did not start again")

    @property
    def _earliest_kill_s(self) -> float:
        """When SIGKILL may come after SIGTERM at the earliest (PROTOCOL)."""
        longest_s = max(known.deadline_ms for known in self.profile.classes) / 1000
        return min(longest_s, LONGEST_DEADLINE_S) + KILL_SLACK_S

    async def stop(self) -> None:
        """End all processes that were started here."""
        await asyncio.gather(*(self.end_router(router) for router in self.held))
        if hasattr(self, "control"):
            await self.control.close()
        if self._fleet is not None and self._fleet.returncode is None:
            self._fleet.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self._fleet.wait(), END_S)
            except TimeoutError:
                self._fleet.kill()
                await self._fleet.wait()
        for task in list(self._watchers):
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for held in self._reserved:
            held.close()
        self.ledger.close()

    def audit(self, clients: list[Ledger | Path], limits: Limits) -> Verdict:
        """Audit the run from all ledgers; call it after `stop`."""
        ledgers = [read_ledger(self.folder / f"{name}.jsonl") for name in ("harness", "fleet")]
        more = [read_ledger(held) if isinstance(held, Path) else held.records for held in clients]
        return audit(merge([*ledgers, *more]), self.profile, limits)

    def fleet_records(self) -> list[dict[str, Any]]:
        """What the fleet has written down so far."""
        return list(read_ledger(self.folder / "fleet.jsonl"))


async def run_load(
    harness: Harness,
    plan: LoadPlan,
    closed: int = 0,
    progress: Callable[[str], None] | None = None,
    stop: asyncio.Event | None = None,
) -> tuple[dict[str, Any], Ledger]:
    """Play a load against a harness's routers; returns the report and the clients' ledger.

    Once `stop` is set nothing more is asked, and what is out is waited for.
    """
    ledger = Ledger("clients")
    await harness.control.call("warm", keys=most_popular_keys(plan, WARM_KEYS))
    driver = LoadDriver(
        plan, harness.profile, {router.name: router.address for router in harness.held}, ledger, closed
    )
    stopper = asyncio.get_running_loop().create_task(stop.wait()) if stop is not None else None
    if stopper is not None:

        def stopped(done: asyncio.Future[Any]) -> None:
            if not done.cancelled():
                driver.stop()

        stopper.add_done_callback(stopped)
    try:
        summary = await driver.run(progress)
    finally:
        if stopper is not None:
            stopper.cancel()
    await harness.control.call("flush_ledger")
    mark_faults(driver.report, driver.begun, harness.fleet_records())
    summary["marks"] = driver.report.summary()["marks"]
    return summary, ledger
