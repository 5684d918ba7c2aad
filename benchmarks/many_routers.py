"""Many routers on one machine beside a large fleet: time until ready, memory, descriptors, reads served.

`python -m benchmarks.many_routers --routers 230 --servers 600`. All routers but one start at one moment;
the servers, the origin and the lists are one process of stand-ins. It refuses to start what would take more
than half of the machine's memory, by what the first router takes.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

import orjson
import uvloop

from saltport.harness import START_TIMEOUT_S, Harness, HarnessError, RouterProcess, environment
from saltport.load.driver import wait_ready
from saltport.standins.ledger import Ledger
from saltport.standins.profile import Profile
from saltport.wire.resp import command

READY_S = 10.0  # what the operators allow for nine in ten
POLL_S = 0.1  # between two looks whether a router is ready: looking must not be what keeps it busy
MOST_PROCESSES = 290
MEMORY_SHARE = 0.5
KEYS = 2_000
READ_S = 20.0  # far beyond any deadline: a read that takes so long has no answer


@dataclass(frozen=True, slots=True)
class Found:
    """Of one router."""

    name: str
    ready_s: float
    """Since its process was started."""
    pss_mb: float
    """Memory, with its part of what processes share."""
    rss_mb: float
    descriptors: int
    served: int
    answers: int


@dataclass(slots=True)
class Summary:
    """Of all routers; times are seconds."""

    routers: int
    servers: int
    all_ready_s: float
    """From the first process started to the last one ready."""
    load_before: float
    found: list[Found] = field(default_factory=list)

    @property
    def good(self) -> bool:
        """Whether all were ready in time and all have served."""
        return all(one.ready_s <= READY_S and one.served for one in self.found)

    def lines(self) -> list[str]:
        """For people."""
        ready = sorted(one.ready_s for one in self.found)
        late = sum(time_s > READY_S for time_s in ready)
        served, answers = sum(one.served for one in self.found), sum(one.answers for one in self.found)
        idle = [one.name for one in self.found if not one.served]
        return [
            f"{self.routers} routers beside {self.servers} servers, load {self.load_before:.1f} before",
            f"ready after {_share(ready, 0.5):.2f} s (50%), {_share(ready, 0.99):.2f} s (99%), "
            f"{ready[-1]:.2f} s (the last); {late} after more than {READY_S:.0f} s; "
            f"{self.all_ready_s:.2f} s from the first start to the last one ready",
            f"memory {_spread([one.pss_mb for one in self.found])} MB (share of what is shared), "
            f"{_spread([one.rss_mb for one in self.found])} MB resident",
            f"descriptors {_spread([float(one.descriptors) for one in self.found])}",
            f"reads served {served} of {answers}; routers that served none: {', '.join(idle) or 'no one'}",
        ]


def _share(ordered: Sequence[float], share: float) -> float:
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _spread(values: Sequence[float]) -> str:
    return f"{statistics.median(values):.1f} ({min(values):.1f} to {max(values):.1f})"


def _kb(pid: int, file: str, name: str) -> int:
    text = Path(f"/proc/{pid}/{file}").read_text()
    return int(text.split(f"\n{name}:")[1].split()[0])


@dataclass(slots=True)
class ManyRouters(Harness):
    """A harness that notes when each router was ready, and ends all that it started whatever fails."""

    begun: dict[str, float] = field(init=False, default_factory=dict)
    """When the process that runs now was started."""
    ready: dict[str, float] = field(init=False, default_factory=dict)
    spawned: list[asyncio.subprocess.Process] = field(init=False, default_factory=list)

    async def start_router(self, router: RouterProcess) -> bool:
        """See Harness; looks less often, and keeps the times."""
        environ = {**environment(), "LB_CONFIG": str(router.folder / "config.json")}
        self.begun[router.name] = time.monotonic()
        with (router.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "saltport.router",
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, env=environ, start_new_session=True,
            )  # fmt: skip
        self.spawned.append(process)
        router.process = process
        if not await wait_ready(router.address, START_TIMEOUT_S, lambda: process.returncode is None, POLL_S):
            return False
        self.ready[router.name] = time.monotonic()
        return True

    async def first(self) -> int:
        """Start the stand-ins and one router; returns the memory that it takes, in KB."""
        routers, self.routers = self.routers, 1
        names = [f"r{number + 1}" for number in range(routers)]
        await self._start_fleet(names)
        self.routers = routers
        await self._first_start(names[0])
        return _kb(self.spawned[-1].pid, "smaps_rollup", "Pss")

    async def rest(self) -> None:
        """Start all others at one moment; raises HarnessError."""
        names = [f"r{number + 1}" for number in range(1, self.routers)]
        await asyncio.gather(*(self._first_start(name) for name in names))

    async def stop(self) -> None:
        """See Harness; what was started and never got ready ends, too."""
        await Harness.stop(self)
        for process in self.spawned:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def _read(address: tuple[str, int], name: str, count: int) -> int:
    """Ask for so many values, one after another; returns how many were served."""
    reader, writer = await asyncio.open_connection(*address)
    served = 0
    try:
        async with asyncio.timeout(READ_S):
            for number in range(count):
                key, request = f"key{(hash_of(name) + number) % KEYS}", f"{name}x{number}"
                writer.write(command(b"KV.GET", key.encode(), request.encode(), b"c=fetch,t=public,d=1200"))
                line = await reader.readline()
                if line.startswith(b"$"):
                    value = await reader.readexactly(int(line[1:]) + 2)
                    served += value.startswith(request.encode())
                elif not line:
                    break
    except TimeoutError:
        pass
    finally:
        writer.close()
    return served


def hash_of(name: str) -> int:
    """Where a router's keys begin, spread over all of them."""
    return int(name[1:]) * 37


async def measure(folder: Path, routers: int, servers: int, reads: int, seed: int = 1) -> Summary:
    """Start them, read from each, and look at each; raises HarnessError."""
    if routers > MOST_PROCESSES:
        raise HarnessError(f"at most {MOST_PROCESSES} routers on one machine")
    harness = ManyRouters(folder, Profile(), nodes=servers, routers=routers, seed=seed)
    load = os.getloadavg()[0]
    harness.ledger = Ledger("harness", folder / "harness.jsonl")
    try:
        each = await harness.first()
        memory = _total_kb()
        if each * routers > MEMORY_SHARE * memory:
            raise HarnessError(f"{routers} routers of {each >> 10} MB are more than half of the machine")
        await harness.control.call("warm", keys=[f"key{number}" for number in range(KEYS)])
        begun = time.monotonic()
        await harness.rest()
        all_ready = time.monotonic() - begun
        served = await asyncio.gather(
            *(_read(router.address, router.name, reads) for router in harness.router_processes)
        )
        found = [
            _look(harness, router, count, reads)
            for router, count in zip(harness.router_processes, served, strict=True)
        ]
    finally:
        await harness.stop()
    return Summary(routers, servers, all_ready, load, found)


def _total_kb() -> int:
    return int(Path("/proc/meminfo").read_text().split("MemTotal:")[1].split()[0])


def _look(harness: ManyRouters, router: RouterProcess, served: int, answers: int) -> Found:
    assert router.process is not None
    pid, name = router.process.pid, router.name
    return Found(
        name,
        harness.ready[name] - harness.begun[name],
        _kb(pid, "smaps_rollup", "Pss") / 1024,
        _kb(pid, "status", "VmRSS") / 1024,
        len(os.listdir(f"/proc/{pid}/fd")),
        served,
        answers,
    )


def main() -> int:
    """Run it; exit status 1 if one was late or served nothing."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, default=230)
    parser.add_argument("--servers", type=int, default=600)
    parser.add_argument("--reads", type=int, default=40, help="of each router, one after another")
    parser.add_argument("--json", type=Path, help="a file for all figures")
    told = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        try:
            summary = uvloop.run(measure(Path(temporary), told.routers, told.servers, told.reads))
        except HarnessError as error:
            print(f"many_routers: {error}", file=sys.stderr)
            return 1
    print("\n".join(summary.lines()))
    if told.json:
        told.json.write_bytes(orjson.dumps([asdict(one) for one in summary.found]))
    return 0 if summary.good else 1


if __name__ == "__main__":
    sys.exit(main())
