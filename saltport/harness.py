"""Runs router processes against stand-ins on loopback, with faults, load and a final audit.

The demo, the soak tests and the benchmarks use this module. It ends only processes that it started.
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

START_TIMEOUT_S = 30.0
SHUTDOWN_TIMEOUT_S = 10.0
LONGEST_DEADLINE_S, KILL_SLACK_S = 3.0, 0.7  # SIGKILL must not follow SIGTERM sooner than their sum
SIGNAL_INTERVAL_S = 0.02
SIGNAL_SERIES = (
    (signal.SIGTERM,),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    (*[signal.SIGHUP] * 10, signal.SIGTERM),
)
"""Sequences of signals that end a router."""
MAX_START_ATTEMPTS = 5
WARMED_KEYS = 400


def environment() -> dict[str, str]:
    """Return the environment of child processes, in which they import the same saltport package as this one.

    Variables that configure a router (`LB_...`) are left out.
    """
    root = str(Path(__file__).resolve().parent.parent)
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    return {**inherited, "PYTHONPATH": os.pathsep.join(filter(None, (root, inherited.get("PYTHONPATH"))))}


class HarnessError(Exception):
    """Raised when a process does not start; the message is one line."""


def reserve_port(host: str = "127.0.0.1") -> socket.socket:
    """Return a socket that reserves a port until it is closed, for a process that binds to it by number.

    Danger: a port that is only looked up may belong to another process by the time a router listens on it, or
    be the local end of a connection, even of one to that same port; whoever answers there is then taken for
    the router. A socket that is bound and does not listen keeps the kernel from assigning the port to others,
    and with SO_REUSEADDR on both sockets a process that binds to it explicitly can still listen.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, 0))
    return reserved


@dataclass(slots=True)
class RouterProcess:
    """A router with a fixed configuration, whose process can be ended and started again."""

    name: str
    address: Address
    folder: Path
    admin: Address
    """The admin address, for operators."""
    process: asyncio.subprocess.Process | None = None

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None


@dataclass(slots=True)
class Harness:
    """The stand-ins, the routers and the ledgers of one run, with all files in one folder."""

    folder: Path
    profile: Profile
    nodes: int = 6
    routers: int = 1
    seed: int = 1
    features: str = ""
    """TOML text for the routers' `--with` file, in which `{folder}` stands for the folder of the run."""
    configure: Callable[[str, dict[str, Any]], dict[str, str]] | None = None
    """Called with a router's name and configuration, which it may change; returns values for `features`."""
    environ: Mapping[str, str] = field(default_factory=dict)
    """Environment variables of the routers, beside those of `environment()`."""
    ledger: Ledger = field(init=False)
    control: ControlClient = field(init=False)
    """The connection to the stand-ins' control socket; set once the fleet runs."""
    addresses: dict[str, Any] = field(init=False)
    router_processes: list[RouterProcess] = field(init=False, default_factory=list)
    _fleet: asyncio.subprocess.Process | None = field(init=False, default=None)
    _watchers: set[asyncio.Task[None]] = field(init=False, default_factory=set)
    _ending: set[str] = field(init=False, default_factory=set)
    _reserved: list[socket.socket] = field(init=False, default_factory=list)
    """Sockets that reserve the routers' ports, also while a router is down."""

    async def start(self) -> None:
        """Start the fleet and the routers; on HarnessError no process is left running."""
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
        router_options = [word for name in names for word in ("--router", name)]
        self._fleet = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "saltport.standins", "--nodes", str(self.nodes), "--seed", str(self.seed),
            "--profile", str(self.folder / "profile.json"), "--ledger", str(self.folder / "fleet.jsonl"),
            *router_options, "--tied", stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
            env=environment(), start_new_session=True,
        )  # fmt: skip
        assert self._fleet.stdout is not None
        try:
            line = await asyncio.wait_for(self._fleet.stdout.readline(), START_TIMEOUT_S)
            self.addresses = orjson.loads(line)
        except (TimeoutError, orjson.JSONDecodeError):
            raise HarnessError("the stand-ins did not start") from None
        self.control = await ControlClient.connect(parse_address("control", self.addresses["control"]))

    async def _first_start(self, name: str) -> None:
        folder = self.folder / name
        folder.mkdir()
        for _ in range(MAX_START_ATTEMPTS):
            router = RouterProcess(name, self._reserve_address(), folder, self._reserve_address())
            config = self.profile.config(
                name,
                "{}:{}".format(*router.address),
                self.addresses["registries"][name],
                self.routers,
                self.seed,
            )
            config["admin_addr"] = "{}:{}".format(*router.admin)
            placeholders = self.configure(name, config) if self.configure is not None else {}
            (folder / "features.toml").write_text(
                self._features({"folder": str(self.folder), **placeholders})
            )
            (folder / "config.json").write_bytes(orjson.dumps(config, option=orjson.OPT_INDENT_2))
            if await self.start_router(router):
                self.router_processes.append(router)
                return
        raise HarnessError(f"router {name} did not start; its log is {folder / 'log'}")

    def _reserve_address(self) -> Address:
        self._reserved.append(reserve_port())
        host, port = self._reserved[-1].getsockname()
        return host, port

    async def start_router(self, router: RouterProcess) -> bool:
        """Start a router's process and wait until it is ready.

        Return False if the process ended first, for example because its port was taken.
        """
        environ = {**environment(), **self.environ, "LB_CONFIG": str(router.folder / "config.json")}
        with (router.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "saltport.router", *self._with_features(router),
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, env=environ, start_new_session=True,
            )  # fmt: skip
        router.process = process
        ready = await wait_ready(router.address, START_TIMEOUT_S, lambda: process.returncode is None)
        if ready:
            self.ledger.write("router", name=router.name, state="ready")
            task = asyncio.get_running_loop().create_task(self._watch(router, process))
            self._watchers.add(task)
            task.add_done_callback(self._watchers.discard)
        return ready

    def _features(self, placeholders: dict[str, str]) -> str:
        text = self.features
        for name, value in placeholders.items():
            text = text.replace(f"{{{name}}}", value)
        return text

    def _with_features(self, router: RouterProcess) -> list[str]:
        return ["--with", str(router.folder / "features.toml")] if self.features else []

    async def _watch(self, router: RouterProcess, process: asyncio.subprocess.Process) -> None:
        status = await process.wait()
        expected = router.name in self._ending
        self._ending.discard(router.name)
        state = "exited" if expected else "crashed"
        self.ledger.write("router", name=router.name, state=state, status=status)

    async def kill_router(self, router: RouterProcess) -> None:
        """Kill a router with SIGKILL; its open requests get no answer."""
        if router.alive:
            assert router.process is not None
            self._ending.add(router.name)
            self.ledger.write("router", name=router.name, state="killed")
            router.process.kill()
            await router.process.wait()

    async def end_router(
        self,
        router: RouterProcess,
        signals: Sequence[int] = (signal.SIGTERM,),
        kill_after_s: float = SHUTDOWN_TIMEOUT_S,
    ) -> None:
        """Send signals to a router, and SIGKILL `kill_after_s` after SIGTERM if its process still runs."""
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
            await asyncio.sleep(SIGNAL_INTERVAL_S if len(signals) > 1 else 0)
        try:
            await asyncio.wait_for(process.wait(), kill_after_s - SIGNAL_INTERVAL_S * (len(signals) - 1))
        except TimeoutError:
            self.ledger.write("router", name=router.name, state="overrun")
            process.kill()
            await process.wait()

    async def restart_routers(self, seconds: float, every_s: float) -> None:
        """Kill or terminate a random router about every `every_s` and start it again, drawn from the seed."""
        rng = random.Random(self.seed ^ 0xD1E)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(every_s * rng.uniform(0.7, 1.3))
            router = rng.choice(self.router_processes)
            if rng.random() < 0.5:
                await self.kill_router(router)
            else:
                await self.end_router(router, rng.choice(SIGNAL_SERIES), self._earliest_kill_s)
            if not await self.start_router(router):
                raise HarnessError(f"router {router.name} did not start again")

    @property
    def _earliest_kill_s(self) -> float:
        """The shortest time from SIGTERM to SIGKILL, within which a router has to answer its open requests.

        It is the longest deadline of the request classes, limited to LONGEST_DEADLINE_S, plus KILL_SLACK_S.
        """
        longest_s = max(known.deadline_ms for known in self.profile.classes) / 1000
        return min(longest_s, LONGEST_DEADLINE_S) + KILL_SLACK_S

    async def stop(self) -> None:
        """End all processes that this harness started."""
        await asyncio.gather(*(self.end_router(router) for router in self.router_processes))
        if hasattr(self, "control"):
            await self.control.close()
        if self._fleet is not None and self._fleet.returncode is None:
            self._fleet.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self._fleet.wait(), SHUTDOWN_TIMEOUT_S)
            except TimeoutError:
                self._fleet.kill()
                await self._fleet.wait()
        for task in list(self._watchers):
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for reserved in self._reserved:
            reserved.close()
        self.ledger.close()

    def audit(self, clients: list[Ledger | Path], limits: Limits) -> Verdict:
        """Return the audit's verdict on the ledgers of the run and its clients; call it after `stop`."""
        ledgers = [read_ledger(self.folder / f"{name}.jsonl") for name in ("harness", "fleet")]
        client_ledgers = [
            read_ledger(client) if isinstance(client, Path) else client.records for client in clients
        ]
        return audit(merge([*ledgers, *client_ledgers]), self.profile, limits)

    def fleet_records(self) -> list[dict[str, Any]]:
        """Return the records in the fleet's ledger so far."""
        return list(read_ledger(self.folder / "fleet.jsonl"))


async def run_load(
    harness: Harness,
    plan: LoadPlan,
    closed: int = 0,
    progress: Callable[[str], None] | None = None,
    stop: asyncio.Event | None = None,
) -> tuple[dict[str, Any], Ledger]:
    """Drive load at the routers of a harness; return the report and the clients' ledger.

    `closed`: the number of clients in a closed loop, each of which sends its next request after the last
    reply; 0 sends at the rates of the plan. `progress` is called with lines of text during the run. Once
    `stop` is set, no more requests are sent, and the open ones are waited for.
    """
    ledger = Ledger("clients")
    await harness.control.call("warm", keys=most_popular_keys(plan, WARMED_KEYS))
    driver = LoadDriver(
        plan,
        harness.profile,
        {router.name: router.address for router in harness.router_processes},
        ledger,
        closed,
    )
    stop_task = asyncio.get_running_loop().create_task(stop.wait()) if stop is not None else None
    if stop_task is not None:

        def stopped(done: asyncio.Future[Any]) -> None:
            if not done.cancelled():
                driver.stop()

        stop_task.add_done_callback(stopped)
    try:
        summary = await driver.run(progress)
    finally:
        if stop_task is not None:
            stop_task.cancel()
    await harness.control.call("flush_ledger")
    mark_faults(driver.report, driver.begun, harness.fleet_records())
    summary["marks"] = driver.report.summary()["marks"]
    return summary, ledger
