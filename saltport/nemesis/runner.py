"""Runs routers whose peer links pass through faulty relays, injects faults, and records their history."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from saltport.address import Address
from saltport.admin.client import ask
from saltport.audit import Limits
from saltport.harness import Harness, RouterProcess, run_load
from saltport.load.plan import LoadPlan, Step
from saltport.nemesis.history import FaultSpan, History, Member, OwnershipSample, PlanSample, Sample
from saltport.nemesis.schedule import ScheduledFault
from saltport.standins.fleet import ZONES, zone_of
from saltport.standins.links import DatagramRelay, Fault, Links
from saltport.standins.profile import Profile, with_faster_work

PEERS_TOML = '[peers]\non = true\nkey_file = "{folder}/peers.keys"\nzone = "{zone}"\n'
OWNERS_TOML = '[owners]\non = true\nbegin = true\nfolder = "{folder}"\ntrials = true\n'
FAILOVER_TOML = """[topology]
zones = ["a", "b", "c"]
regions = { a = "west", b = "west", c = "east" }
origins = { west = "origin", east = "origin-2" }
[failover]
on = true
"""
"""Sections of the routers' feature file (TOML) for gossip, for ownership and for zone failover.

The harness replaces the placeholders separately for each router.
"""
AUDIT_SLACK_MS = 1_000  # many processes share few cores, which delays answers
UNLIMITED_S = 86_400.0
LINK_FAULTS: dict[str, Callable[[float], Fault]] = {
    "loss": lambda share: Fault(loss=share),
    "double": lambda share: Fault(duplicates=share),
    "delay": lambda share: Fault(delay_s=(0.0, share)),
}
"""Faults on all links by their kind in a schedule; the argument is a share or a delay in seconds."""
SAMPLE_INTERVAL_S = 0.2
ADMIN_TIMEOUT_S = 2.0
"""Longest wait for a router's answer at its admin address; without an answer, this sample is left out."""


FaultContext = contextlib.AbstractContextManager[None]
_Direction = tuple[Sequence[str], Sequence[str]]


class NemesisError(Exception):
    """Raised when an awaited state is not reached in time; the message is one line."""


@dataclass(slots=True)
class Nemesis:
    """A fleet of routers with faulty links and a recorded history, as an asynchronous context manager."""

    folder: Path
    routers: int
    seed: int
    nodes: int = 2
    voters: int = 0
    """The number of routers that vote on the ownership of work; 0 turns ownership off."""
    pieces: tuple[str, ...] = ("rollout", "report")
    failover: bool = False
    """Whether zone failover is on; it requires voters."""
    links: Links = field(init=False)
    history: History = field(init=False)
    harness: Harness = field(init=False)
    owner_reports: dict[str, dict[str, Any]] = field(init=False, default_factory=dict)
    """The last answer of each router at /owners."""
    zone_reports: dict[str, dict[str, Any]] = field(init=False, default_factory=dict)
    """The last answer of each router at /zones."""
    _relay: DatagramRelay = field(init=False)
    _started_at: float = field(init=False, default=0.0)
    _open_faults: dict[tuple[str, str], float] = field(init=False, default_factory=dict)
    _sampler: asyncio.Task[None] | None = field(init=False, default=None)

    async def __aenter__(self) -> Nemesis:
        names = [f"r{number + 1}" for number in range(self.routers)]
        self.links, self.history = Links(self.seed), History(names)
        self._relay = DatagramRelay(self.links, {name: _unused_address(n) for n, name in enumerate(names)})
        await self._relay.open()
        (self.folder / "peers.keys").write_text(secrets.token_hex(32))
        profile, features = with_faster_work(Profile(), 20), self._features()
        if self.failover:
            profile = replace(profile, origins=2, origins_apart=1)
        self.harness = Harness(
            self.folder, profile, self.nodes, self.routers, self.seed, features, self._configure_router
        )
        try:
            await self.harness.start()
        except BaseException:
            self._relay.close()
            raise
        self._started_at = time.monotonic()
        self._sampler = asyncio.get_running_loop().create_task(self._sample_periodically())
        return self

    async def __aexit__(self, *_: object) -> None:
        try:
            await self._stop_sampler()
        finally:
            for router in self.harness.router_processes:
                self._signal(router, signal.SIGCONT)  # a stopped process can't shut down gracefully
            await self.harness.stop()
            self._relay.close()

    async def _stop_sampler(self) -> None:
        """Stop the sampling task.

        Danger: a sampling task that failed has recorded nothing since; awaiting it here raises its error.
        """
        if self._sampler is not None:
            self._sampler.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sampler

    def _features(self) -> str:
        if not self.voters:
            return PEERS_TOML
        voters, pieces = self.history.routers[: self.voters], list(self.pieces)
        zones = FAILOVER_TOML if self.failover else ""
        return f"{PEERS_TOML}{OWNERS_TOML}voters = {voters}\npieces = {pieces}\n{zones}"

    def _configure_router(self, name: str, config: dict[str, Any]) -> dict[str, str]:
        """Add the peer settings to a router's configuration; return the values for its feature file."""
        config["settings"]["ceilings"]["peers"] = True
        config["peer_listen"] = "{}:{}".format(*self._relay.endpoints[name])
        config["peers"] = [
            "{}:{}".format(*self._relay.address_of(other, name)) for other in self._relay.endpoints
        ]
        return {"zone": ZONES[list(self._relay.endpoints).index(name) % len(ZONES)]}

    # Sampling

    def restart_clock(self) -> None:
        """Discard the samples so far and begin the history now."""
        self._started_at = time.monotonic()
        self.history.samples.clear()

    def now(self) -> float:
        """Return the seconds since the beginning of the history."""
        return time.monotonic() - self._started_at

    async def _sample_periodically(self) -> None:
        while True:
            begun = time.monotonic()
            await self.sample()
            await asyncio.sleep(max(SAMPLE_INTERVAL_S - (time.monotonic() - begun), 0.01))

    async def sample(self) -> None:
        """Record a sample of each router that runs and is not stopped."""
        running = (router for router in self.harness.router_processes if router.alive)
        await asyncio.gather(
            *(
                self._sample_router(router)
                for router in running
                if ("stopped", router.name) not in self._open_faults
            )
        )

    async def _sample_router(self, router: RouterProcess) -> None:
        process = router.process
        peers = await _fetch(router, "/peers")
        if peers is None or process is None or process is not router.process:
            return
        members = {
            name: Member(member["state"], member["start"], member["incarnation"])
            for name, member in peers["members"].items()
        }
        quorum_state = peers["quorum"]["state"] if peers["state"] == "member" else peers["state"]
        sample = Sample(self.now(), router.name, process.pid, peers["view"]["digest"], quorum_state, members)
        self.history.samples.append(sample)
        owners = await _fetch(router, "/owners") if self.voters else None
        if owners is not None:
            self.owner_reports[router.name] = owners
            for piece, epoch in owners.get("holds", {}).items():
                self.history.ownership.append(OwnershipSample(owners["now_ns"], router.name, piece, epoch))
        zones = await _fetch(router, "/zones") if self.failover else None
        if zones is not None and process is router.process:
            self.zone_reports[router.name] = zones
            if plan := zones.get("plan"):
                content = str([plan["why"], plan["way_s"], plan["bad"], plan["out"]])
                self.history.plans.append(
                    PlanSample(
                        self.now(),
                        router.name,
                        process.pid,
                        plan["epoch"],
                        plan["number"],
                        plan["by"],
                        content,
                    )
                )

    async def wait_until(
        self, description: str, reached: Callable[[dict[str, Sample]], bool], seconds: float = 30.0
    ) -> None:
        """Wait until `reached` is true of the routers' samples taken since the call; raises NemesisError."""
        begun = self.now()
        while self.now() < begun + seconds:
            fresh = {name: last for name, last in self.history.last_samples().items() if last.at >= begun}
            if fresh and reached(fresh):
                return
            await asyncio.sleep(0.05)
        raise NemesisError(f"{description}: not within {seconds:g} s; {self._describe_last_samples()}")

    def _describe_last_samples(self) -> str:
        """Return the last sample of each router as one line, for the message of a failure."""
        last = self.history.last_samples()
        descriptions = []
        for name in sorted(router.name for router in self.harness.router_processes):
            sample = last.get(name)
            if sample is None:
                descriptions.append(f"{name} never answered")
                continue
            states = ", ".join(f"{other} {router.state}" for other, router in sorted(sample.members.items()))
            descriptions.append(f"{name} {self.now() - sample.at:.1f} s ago {sample.quorum_state} ({states})")
        return "; ".join(descriptions)

    async def wait_until_agreed(self, seconds: float = 30.0) -> None:
        """Wait until every running router reports exactly the running routers as members, with equal digests.

        Raises NemesisError after `seconds`.
        """
        running = frozenset(router.name for router in self.harness.router_processes if router.alive)

        def agreed(last: dict[str, Sample]) -> bool:
            views = {
                (last[name].live_members, last[name].digest) if name in last else None for name in running
            }
            return len(views) == 1 and all(view is not None and view[0] == running for view in views)

        await self.wait_until(f"all agree on {len(running)} routers", agreed, seconds)

    # Fault injection

    def router(self, name: str) -> RouterProcess:
        """Return the router of this name."""
        return next(router for router in self.harness.router_processes if router.name == name)

    def _begin_fault(self, kind: str, name: str) -> None:
        self._open_faults[kind, name] = self.now()

    def _end_fault(self, kind: str, name: str) -> float:
        span = FaultSpan(kind, name, self._open_faults.pop((kind, name)), self.now())
        self.history.faults.append(span)
        return span.ended - span.begun

    @staticmethod
    def _signal(router: RouterProcess, number: signal.Signals) -> None:
        if router.alive:
            assert router.process is not None
            os.kill(router.process.pid, number)

    async def stop_for(self, name: str, seconds: float) -> None:
        """Send SIGSTOP to a router, and SIGCONT after this time."""
        router = self.router(name)
        self._begin_fault("stopped", name)
        self._signal(router, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._signal(router, signal.SIGCONT)
            duration_ns = int(self._end_fault("stopped", name) * 1e9)
            self.harness.ledger.write("router", name=name, state="stopped", ns=duration_ns)

    async def kill(self, name: str) -> None:
        """Kill a router with SIGKILL."""
        self._begin_fault("down", name)
        await self.harness.kill_router(self.router(name))

    async def end(self, name: str) -> None:
        """Shut a router down gracefully with SIGTERM."""
        self._begin_fault("down", name)
        await self.harness.end_router(self.router(name))

    async def start(self, name: str) -> None:
        """Start a router again under the same name and addresses."""
        if not await self.harness.start_router(self.router(name)):
            raise NemesisError(f"{name} did not start again")
        self._end_fault("down", name)

    def cut(self, sources: Sequence[str], targets: Sequence[str], both: bool = False) -> FaultContext:
        """Drop all datagrams from sources to targets (`both`: and back) while the context is active."""
        is_partition = both and {*sources, *targets} == set(self._relay.endpoints)
        directions = [(sources, targets), (targets, sources)] if both else [(sources, targets)]
        return self._link_fault(
            "cut", Fault(cut=True), directions, frozenset(sources if is_partition else ())
        )

    @contextlib.contextmanager
    def _link_fault(
        self, kind: str, fault: Fault, directions: Sequence[_Direction], side: frozenset[str] = frozenset()
    ) -> Iterator[None]:
        """Apply a fault to these directions of links while the context is active.

        Danger: faults overlap; with start times stored by router name, one fault would overwrite another's.
        """
        begun, affected = (
            self.now(),
            sorted({name for direction in directions for end in direction for name in end}),
        )
        numbers = [self.links.add_fault(sources, targets, fault) for sources, targets in directions]
        try:
            yield
        finally:
            for number in numbers:
                self.links.remove_fault(number)
            self.history.faults += [FaultSpan(kind, name, begun, self.now(), side) for name in affected]

    @contextlib.asynccontextmanager
    async def zone_lost(self, zones: Sequence[str], kind: str = "cut_off") -> AsyncIterator[None]:
        """Apply a stand-in fault of this kind to all servers of these zones while the context is active."""
        control, nodes = self.harness.control, self.harness.addresses["nodes"]
        affected = [node for node in nodes if zone_of(node) in zones]
        for node in affected:
            await control.call("strike", kind=kind, target=node, figures={})
        try:
            yield
        finally:
            for node in affected:
                await control.call("mend", target=node)

    def others(self, names: Sequence[str]) -> list[str]:
        """Return the names of all routers except these."""
        return [name for name in self._relay.endpoints if name not in names]

    async def inject(self, fault: ScheduledFault) -> None:
        """Inject one fault and wait for its end; routers that are already down or stopped are skipped."""
        unavailable = {who for _, who in self._open_faults}
        who, all_names = [name for name in fault.who if name not in unavailable], self.others([])
        match fault.kind:
            case "kill" | "restart":
                await asyncio.gather(*(self._restart(name, fault) for name in who))
            case "stop":
                await asyncio.gather(*(self.stop_for(name, fault.seconds) for name in who))
            case "zone":
                async with self.zone_lost(fault.who):
                    await asyncio.sleep(fault.seconds)
            case "cut" | "partition":
                both = fault.kind == "partition"
                targets = self.others(fault.who) if both or not fault.whom else fault.whom
                with self.cut(fault.who, targets, both):
                    await asyncio.sleep(fault.seconds)
            case _:
                with self._link_fault(
                    "strained", LINK_FAULTS[fault.kind](fault.share), [(all_names, all_names)]
                ):
                    await asyncio.sleep(fault.seconds)

    async def _restart(self, name: str, fault: ScheduledFault) -> None:
        """End a router as the kind of the fault says, and start it again after the duration of the fault."""
        await (self.kill(name) if fault.kind == "kill" else self.end(name))
        await asyncio.sleep(fault.seconds)
        await self.start(name)

    async def play(self, faults: Sequence[ScheduledFault], progress: Callable[[str], None]) -> None:
        """Inject the faults of a schedule at their times, overlapping, and wait until all routers agree.

        Raises NemesisError if their membership views still differ 60 s after the last fault.
        """

        async def inject_in_time(fault: ScheduledFault) -> None:
            await asyncio.sleep(max(fault.at - self.now(), 0))
            progress(f"{self.now():6.1f} s  {fault}")
            await self.inject(fault)

        tasks = [asyncio.get_running_loop().create_task(inject_in_time(fault)) for fault in faults]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
        await self.wait_until_agreed(60.0)
        self.history.ended = self.now()


def _unused_address(number: int) -> Address:
    """Return a loopback address that only this run uses, with a free port."""
    host = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.{number + 1}"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((host, 0))
        return host, int(probe.getsockname()[1])


async def _fetch(router: RouterProcess, path: str) -> dict[str, Any] | None:
    """Return a router's answer at an admin path, or None if it did not answer in time or has just ended."""
    try:
        return await asyncio.to_thread(ask, router.admin, path, ADMIN_TIMEOUT_S)
    except (OSError, ValueError):
        return None


async def run_nemesis(
    nemesis: Nemesis, faults: Sequence[ScheduledFault], progress: Callable[[str], None], rate: float = 0.0
) -> dict[str, Any]:
    """Play a schedule of faults on a fleet, optionally under load; return the report with the verdict."""
    stop = asyncio.Event()
    async with nemesis:
        await nemesis.wait_until_agreed(60.0)
        nemesis.restart_clock()
        addresses = ", ".join(
            "{} {}:{}".format(router.name, *router.admin) for router in nemesis.harness.router_processes
        )
        progress(f"admin addresses: {addresses}")
        load = None
        if rate:
            plan = LoadPlan((Step(0.0, rate),), UNLIMITED_S, seed=nemesis.seed, keys=500)
            load = asyncio.get_running_loop().create_task(run_load(nemesis.harness, plan, stop=stop))
        try:
            with contextlib.suppress(NemesisError):  # the history shows the same failure
                await nemesis.play(faults, progress)
        finally:
            stop.set()
        if load is not None:
            await load
        await nemesis.sample()
    report = nemesis.history.report()
    if load is not None:
        summary, ledger = load.result()
        verdict = nemesis.harness.audit(
            [ledger], Limits(AUDIT_SLACK_MS, AUDIT_SLACK_MS, AUDIT_SLACK_MS, AUDIT_SLACK_MS)
        )
        report["served"], report["audit"] = summary["served"], verdict.as_json()
        report["clean"] = report["clean"] and verdict.clean
    return report
