"""Starts routers that know one another through faulty links, strikes them, and keeps their history."""

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
from saltport.nemesis.history import Course, History, Hold, Member, Sample, Span
from saltport.nemesis.schedule import Act
from saltport.standins.fleet import ZONES, zone_of
from saltport.standins.links import DatagramRelay, Fault, Links
from saltport.standins.profile import Profile, with_faster_work

FEATURES = '[peers]\non = true\nkey_file = "{folder}/peers.keys"\nzone = "{zone}"\n'
OWNERS = '[owners]\non = true\nbegin = true\nfolder = "{folder}"\ntrials = true\n'
FAILOVER = """[topology]
zones = ["a", "b", "c"]
regions = { a = "west", b = "west", c = "east" }
origins = { west = "origin", east = "origin-2" }
[failover]
on = true
"""
SLACK_MS = 1_000  # of the audit: many processes share few cores
FOR_GOOD_S = 86_400.0
STRAINS: dict[str, Callable[[float], Fault]] = {
    "loss": lambda share: Fault(loss=share),
    "double": lambda share: Fault(duplicates=share),
    "delay": lambda share: Fault(delay_s=(0.0, share)),
}
"""What befalls all links, by kind of act."""
SAMPLE_S = 0.2
ASK_S = 2.0  # in which a router that runs answers how it sees the others


Broken = contextlib.AbstractContextManager[None]
_Pair = tuple[Sequence[str], Sequence[str]]


class NemesisError(Exception):
    """A state that was waited for did not come; the text is one plain line."""


@dataclass(slots=True)
class Nemesis:
    """Routers, their links and their history; use it as an asynchronous context."""

    folder: Path
    routers: int
    seed: int
    nodes: int = 2
    voters: int = 0
    """So many routers vote on who owns which work; 0: nobody does."""
    pieces: tuple[str, ...] = ("rollout", "report")
    failover: bool = False
    """Whether zones go by common plans; it takes voters."""
    links: Links = field(init=False)
    history: History = field(init=False)
    harness: Harness = field(init=False)
    told: dict[str, dict[str, Any]] = field(init=False, default_factory=dict)
    """What each router said last of the fleet's work."""
    zones: dict[str, dict[str, Any]] = field(init=False, default_factory=dict)
    """And of the zones."""
    _relay: DatagramRelay = field(init=False)
    _began: float = field(init=False, default=0.0)
    _open: dict[tuple[str, str], float] = field(init=False, default_factory=dict)
    _sampler: asyncio.Task[None] | None = field(init=False, default=None)

    async def __aenter__(self) -> Nemesis:
        names = [f"r{number + 1}" for number in range(self.routers)]
        self.links, self.history = Links(self.seed), History(names)
        self._relay = DatagramRelay(self.links, {name: _own_address(n) for n, name in enumerate(names)})
        await self._relay.open()
        (self.folder / "peers.keys").write_text(secrets.token_hex(32))
        profile, features = with_faster_work(Profile(), 20), self._features()
        if self.failover:
            profile = replace(profile, origins=2, origins_apart=1)
        self.harness = Harness(
            self.folder, profile, self.nodes, self.routers, self.seed, features, self._dress
        )
        try:
            await self.harness.start()
        except BaseException:
            self._relay.close()
            raise
        self._began = time.monotonic()
        self._sampler = asyncio.get_running_loop().create_task(self._sample_for_ever())
        return self

    async def __aexit__(self, *_: object) -> None:
        try:
            await self._end_sampler()
        finally:
            for router in self.harness.held:
                self._signal(router, signal.SIGCONT)  # a stopped process can't end in good order
            await self.harness.stop()
            self._relay.close()

    async def _end_sampler(self) -> None:
        """Danger: had it failed, all readings stood still since; its error says so, once all is stopped."""
        if self._sampler is not None:
            self._sampler.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sampler

    def _features(self) -> str:
        if not self.voters:
            return FEATURES
        voters, pieces = self.history.routers[: self.voters], list(self.pieces)
        zones = FAILOVER if self.failover else ""
        return f"{FEATURES}{OWNERS}voters = {voters}\npieces = {pieces}\n{zones}"

    def _dress(self, name: str, told: dict[str, Any]) -> dict[str, str]:
        """Add what a router needs to know the others by; returns words for its features."""
        told["settings"]["ceilings"]["peers"] = True
        told["peer_listen"] = "{}:{}".format(*self._relay.endpoints[name])
        told["peers"] = [
            "{}:{}".format(*self._relay.address_of(other, name)) for other in self._relay.endpoints
        ]
        return {"zone": ZONES[list(self._relay.endpoints).index(name) % len(ZONES)]}

    # Watching

    def restart_clock(self) -> None:
        """The history begins now."""
        self._began = time.monotonic()
        self.history.samples.clear()

    def now(self) -> float:
        """Seconds since the beginning."""
        return time.monotonic() - self._began

    async def _sample_for_ever(self) -> None:
        while True:
            begun = time.monotonic()
            await self.sample()
            await asyncio.sleep(max(SAMPLE_S - (time.monotonic() - begun), 0.01))

    async def sample(self) -> None:
        """Ask all routers that run and are not stopped."""
        running = (held for held in self.harness.held if held.alive)
        await asyncio.gather(
            *(self._ask(held) for held in running if ("stopped", held.name) not in self._open)
        )

    async def _ask(self, router: RouterProcess) -> None:
        process = router.process
        told = await _told(router, "/peers")
        if told is None or process is None or process is not router.process:
            return
        members = {
            name: Member(held["state"], held["start"], held["incarnation"])
            for name, held in told["members"].items()
        }
        standing = told["quorum"]["state"] if told["state"] == "member" else told["state"]
        sample = Sample(self.now(), router.name, process.pid, told["view"]["digest"], standing, members)
        self.history.samples.append(sample)
        owned = await _told(router, "/owners") if self.voters else None
        if owned is not None:
            self.told[router.name] = owned
            for piece, epoch in owned.get("holds", {}).items():
                self.history.holds.append(Hold(owned["now_ns"], router.name, piece, epoch))
        zoned = await _told(router, "/zones") if self.failover else None
        if zoned is not None and process is router.process:
            self.zones[router.name] = zoned
            if plan := zoned.get("plan"):
                end = str([plan["why"], plan["way_s"], plan["bad"], plan["out"]])
                self.history.courses.append(
                    Course(
                        self.now(), router.name, process.pid, plan["epoch"], plan["number"], plan["by"], end
                    )
                )

    async def until(
        self, what: str, holds: Callable[[dict[str, Sample]], bool], seconds: float = 30.0
    ) -> None:
        """Wait until the latest samples of all routers are so; raises NemesisError."""
        begun = self.now()
        while self.now() < begun + seconds:
            fresh = {name: held for name, held in self.history.last().items() if held.at >= begun}
            if fresh and holds(fresh):
                return
            await asyncio.sleep(0.05)
        raise NemesisError(f"{what}: not within {seconds:g} s; {self._last_told()}")

    def _last_told(self) -> str:
        """What each router said last, for a failure that has to be understood without the run."""
        last = self.history.last()
        told = []
        for name in sorted(held.name for held in self.harness.held):
            sample = last.get(name)
            if sample is None:
                told.append(f"{name} never answered")
                continue
            states = ", ".join(f"{other} {held.state}" for other, held in sorted(sample.members.items()))
            told.append(f"{name} {self.now() - sample.at:.1f} s ago {sample.standing} ({states})")
        return "; ".join(told)

    async def until_agreed(self, seconds: float = 30.0) -> None:
        """Wait until all that run hold the same view, just those that run."""
        running = frozenset(held.name for held in self.harness.held if held.alive)

        def agreed(last: dict[str, Sample]) -> bool:
            views = {(last[name].live, last[name].digest) if name in last else None for name in running}
            return len(views) == 1 and all(view is not None and view[0] == running for view in views)

        await self.until(f"all agree on {len(running)} routers", agreed, seconds)

    # Striking

    def router(self, name: str) -> RouterProcess:
        """By name."""
        return next(held for held in self.harness.held if held.name == name)

    def _begin(self, kind: str, name: str) -> None:
        self._open[kind, name] = self.now()

    def _end(self, kind: str, name: str) -> float:
        span = Span(kind, name, self._open.pop((kind, name)), self.now())
        self.history.spans.append(span)
        return span.ended - span.begun

    @staticmethod
    def _signal(router: RouterProcess, number: signal.Signals) -> None:
        if router.alive:
            assert router.process is not None
            os.kill(router.process.pid, number)

    async def stop_for(self, name: str, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after so long."""
        router = self.router(name)
        self._begin("stopped", name)
        self._signal(router, signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            self._signal(router, signal.SIGCONT)
            lasted = int(self._end("stopped", name) * 1e9)
            self.harness.ledger.write("router", name=name, state="stopped", ns=lasted)

    async def kill(self, name: str) -> None:
        """SIGKILL."""
        self._begin("down", name)
        await self.harness.kill_router(self.router(name))

    async def end(self, name: str) -> None:
        """SIGTERM, and its end in good order."""
        self._begin("down", name)
        await self.harness.end_router(self.router(name))

    async def start(self, name: str) -> None:
        """Start a router again, under its name and addresses."""
        if not await self.harness.start_router(self.router(name)):
            raise NemesisError(f"{name} did not start again")
        self._end("down", name)

    def cut(self, who: Sequence[str], whom: Sequence[str], both: bool = False) -> Broken:
        """Nothing gets from these to those (`both`: nor back) while the context lasts."""
        whole = both and {*who, *whom} == set(self._relay.endpoints)
        pairs = [(who, whom), (whom, who)] if both else [(who, whom)]
        return self._broken("cut", Fault(cut=True), pairs, frozenset(who if whole else ()))

    @contextlib.contextmanager
    def _broken(
        self, kind: str, fault: Fault, pairs: Sequence[_Pair], group: frozenset[str] = frozenset()
    ) -> Iterator[None]:
        """Danger: faults overlap; were one's beginning kept by name, the next would take it away."""
        begun, touched = self.now(), sorted({name for pair in pairs for side in pair for name in side})
        numbers = [self.links.add_fault(here, there, fault) for here, there in pairs]
        try:
            yield
        finally:
            for number in numbers:
                self.links.remove_fault(number)
            self.history.spans += [Span(kind, name, begun, self.now(), group) for name in touched]

    @contextlib.asynccontextmanager
    async def zone_lost(self, zones: Sequence[str], kind: str = "cut_off") -> AsyncIterator[None]:
        """All servers of these zones are struck while the context lasts; `kind`: of the stand-ins' faults."""
        control, nodes = self.harness.control, self.harness.addresses["nodes"]
        struck = [node for node in nodes if zone_of(node) in zones]
        for node in struck:
            await control.call("strike", kind=kind, target=node, figures={})
        try:
            yield
        finally:
            for node in struck:
                await control.call("mend", target=node)

    def others(self, who: Sequence[str]) -> list[str]:
        """All but these."""
        return [name for name in self._relay.endpoints if name not in who]

    async def strike(self, act: Act) -> None:
        """Carry one act out, whole; whoever is down or stopped already is left alone."""
        taken = {who for _, who in self._open}
        who, everyone = [name for name in act.who if name not in taken], self.others([])
        match act.kind:
            case "kill" | "restart":
                await asyncio.gather(*(self._bounce(name, act) for name in who))
            case "stop":
                await asyncio.gather(*(self.stop_for(name, act.seconds) for name in who))
            case "zone":
                async with self.zone_lost(act.who):
                    await asyncio.sleep(act.seconds)
            case "cut" | "partition":
                both = act.kind == "partition"
                whom = self.others(act.who) if both or not act.whom else act.whom
                with self.cut(act.who, whom, both):
                    await asyncio.sleep(act.seconds)
            case _:
                with self._broken("strained", STRAINS[act.kind](act.share), [(everyone, everyone)]):
                    await asyncio.sleep(act.seconds)

    async def _bounce(self, name: str, act: Act) -> None:
        await (self.kill(name) if act.kind == "kill" else self.end(name))
        await asyncio.sleep(act.seconds)
        await self.start(name)

    async def play(self, acts: Sequence[Act], say: Callable[[str], None]) -> None:
        """Play a schedule to its end, faults side by side as they come, and wait until all agree."""

        async def one(act: Act) -> None:
            await asyncio.sleep(max(act.at - self.now(), 0))
            say(f"{self.now():6.1f} s  {act}")
            await self.strike(act)

        playing = [asyncio.get_running_loop().create_task(one(act)) for act in acts]
        try:
            await asyncio.gather(*playing)
        finally:
            for task in playing:
                task.cancel()
        await self.until_agreed(60.0)
        self.history.ended = self.now()


def _own_address(number: int) -> Address:
    """An address that only this run has, at a port that is free."""
    host = f"127.{1 + os.getpid() % 250}.{os.getpid() // 250 % 250}.{number + 1}"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as bound:
        bound.bind((host, 0))
        return host, int(bound.getsockname()[1])


async def _told(router: RouterProcess, path: str) -> dict[str, Any] | None:
    """What a router answers; None: not in time, or its process has just gone."""
    try:
        return await asyncio.to_thread(ask, router.admin, path, ASK_S)
    except (OSError, ValueError):
        return None


async def run_nemesis(
    nemesis: Nemesis, acts: Sequence[Act], say: Callable[[str], None], rate: float = 0.0
) -> dict[str, Any]:
    """Play a schedule on a fleet of its own, beside a load; returns the report and the audit."""
    stop = asyncio.Event()
    async with nemesis:
        await nemesis.until_agreed(60.0)
        nemesis.restart_clock()
        calls = ", ".join("{} {}:{}".format(held.name, *held.admin) for held in nemesis.harness.held)
        say(f"operators call {calls}")
        load = None
        if rate:
            plan = LoadPlan((Step(0.0, rate),), FOR_GOOD_S, seed=nemesis.seed, keys=500)
            load = asyncio.get_running_loop().create_task(run_load(nemesis.harness, plan, stop=stop))
        try:
            with contextlib.suppress(NemesisError):  # the history tells as much
                await nemesis.play(acts, say)
        finally:
            stop.set()
        if load is not None:
            await load
        await nemesis.sample()
    report = nemesis.history.report()
    if load is not None:
        summary, ledger = load.result()
        verdict = nemesis.harness.audit([ledger], Limits(SLACK_MS, SLACK_MS, SLACK_MS, SLACK_MS))
        report["served"], report["audit"] = summary["served"], verdict.as_json()
        report["clean"] = report["clean"] and verdict.clean
    return report
