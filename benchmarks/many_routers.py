"""Measures many routers on one machine: time until ready, memory, descriptors and served reads.

`python -m benchmarks.many_routers --routers 230 --servers 600`. All routers but the first start at once; one
stand-in process runs the servers, the origin and the registry. It refuses to start the others if, by the
memory of the first router, all would need more than half of the machine's memory.
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

READY_LIMIT_S = 10.0  # the operators require nine routers in ten to be ready within this time
POLL_INTERVAL_S = 0.1  # interval between readiness checks: frequent checks would slow down the start
MAX_ROUTERS = 290
MAX_MEMORY_SHARE = 0.5
KEY_COUNT = 2_000
READ_TIMEOUT_S = 20.0  # far beyond any deadline: a read without an answer by then is lost


@dataclass(frozen=True, slots=True)
class RouterFigures:
    """Figures of one router."""

    name: str
    ready_s: float
    """Seconds from the start of its process."""
    pss_mb: float
    """Proportional set size: memory with its part of shared pages."""
    rss_mb: float
    descriptors: int
    served: int
    answers: int


@dataclass(slots=True)
class Summary:
    """Figures of all routers; times in seconds."""

    routers: int
    servers: int
    all_ready_s: float
    """From the start of the first process to the readiness of the last one."""
    load_before: float
    router_figures: list[RouterFigures] = field(default_factory=list)

    @property
    def is_good(self) -> bool:
        """Whether all routers were ready in time and have served reads."""
        return all(figures.ready_s <= READY_LIMIT_S and figures.served for figures in self.router_figures)

    def lines(self) -> list[str]:
        """Return the summary as lines of text."""
        ready = sorted(figures.ready_s for figures in self.router_figures)
        late_count = sum(time_s > READY_LIMIT_S for time_s in ready)
        served, answers = (
            sum(figures.served for figures in self.router_figures),
            sum(figures.answers for figures in self.router_figures),
        )
        unserved = [figures.name for figures in self.router_figures if not figures.served]
        return [
            f"{self.routers} routers beside {self.servers} servers, load {self.load_before:.1f} before",
            f"ready after {_quantile(ready, 0.5):.2f} s (50%), {_quantile(ready, 0.99):.2f} s (99%), "
            f"{ready[-1]:.2f} s (the last); {late_count} after more than {READY_LIMIT_S:.0f} s; "
            f"{self.all_ready_s:.2f} s from the first start to the last one ready",
            f"memory {_format_spread([figures.pss_mb for figures in self.router_figures])} MB "
            f"(with a share of shared pages), "
            f"{_format_spread([figures.rss_mb for figures in self.router_figures])} MB resident",
            f"descriptors {_format_spread([float(figures.descriptors) for figures in self.router_figures])}",
            f"reads served {served} of {answers}; "
            f"routers that served none: {', '.join(unserved) or 'no one'}",
        ]


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _format_spread(values: Sequence[float]) -> str:
    return f"{statistics.median(values):.1f} ({min(values):.1f} to {max(values):.1f})"


def _read_kb(pid: int, file: str, name: str) -> int:
    text = Path(f"/proc/{pid}/{file}").read_text()
    return int(text.split(f"\n{name}:")[1].split()[0])


@dataclass(slots=True)
class ManyRouters(Harness):
    """A harness that records when each router was ready, and ends all started processes after any failure."""

    started_at: dict[str, float] = field(init=False, default_factory=dict)
    """Start time of the current process of each router."""
    ready_at: dict[str, float] = field(init=False, default_factory=dict)
    spawned: list[asyncio.subprocess.Process] = field(init=False, default_factory=list)

    async def start_router(self, router: RouterProcess) -> bool:
        """Start a router as Harness does, but poll less often and record the times."""
        environ = {**environment(), "LB_CONFIG": str(router.folder / "config.json")}
        self.started_at[router.name] = time.monotonic()
        with (router.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "saltport.router",
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, env=environ, start_new_session=True,
            )  # fmt: skip
        self.spawned.append(process)
        router.process = process
        if not await wait_ready(
            router.address, START_TIMEOUT_S, lambda: process.returncode is None, POLL_INTERVAL_S
        ):
            return False
        self.ready_at[router.name] = time.monotonic()
        return True

    async def start_first(self) -> int:
        """Start the stand-ins and the first router; return the memory of that router in KB."""
        routers, self.routers = self.routers, 1
        names = [f"r{number + 1}" for number in range(routers)]
        await self._start_fleet(names)
        self.routers = routers
        await self._first_start(names[0])
        return _read_kb(self.spawned[-1].pid, "smaps_rollup", "Pss")

    async def start_others(self) -> None:
        """Start all other routers at once; raise HarnessError if one does not start."""
        names = [f"r{number + 1}" for number in range(1, self.routers)]
        await asyncio.gather(*(self._first_start(name) for name in names))

    async def stop(self) -> None:
        """Stop the harness, and kill processes that were started but never became ready."""
        await Harness.stop(self)
        for process in self.spawned:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def _read(address: tuple[str, int], name: str, count: int) -> int:
    """Send this many reads one after another; return the number of served ones."""
    reader, writer = await asyncio.open_connection(*address)
    served = 0
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            for number in range(count):
                key, request = f"key{(key_offset(name) + number) % KEY_COUNT}", f"{name}x{number}"
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


def key_offset(name: str) -> int:
    """Return the index of the first key that a router is asked for, spread over all keys."""
    return int(name[1:]) * 37


async def measure(folder: Path, routers: int, servers: int, reads: int, seed: int = 1) -> Summary:
    """Start the routers, send reads to each, and return their figures; raise HarnessError on failure."""
    if routers > MAX_ROUTERS:
        raise HarnessError(f"at most {MAX_ROUTERS} routers on one machine")
    harness = ManyRouters(folder, Profile(), nodes=servers, routers=routers, seed=seed)
    load_before = os.getloadavg()[0]
    harness.ledger = Ledger("harness", folder / "harness.jsonl")
    try:
        router_kb = await harness.start_first()
        total_kb = _total_kb()
        if router_kb * routers > MAX_MEMORY_SHARE * total_kb:
            raise HarnessError(f"{routers} routers of {router_kb >> 10} MB are more than half of the machine")
        await harness.control.call("warm", keys=[f"key{number}" for number in range(KEY_COUNT)])
        others_started_at = time.monotonic()
        await harness.start_others()
        all_ready_s = time.monotonic() - others_started_at
        served = await asyncio.gather(
            *(_read(router.address, router.name, reads) for router in harness.router_processes)
        )
        router_figures = [
            _measure_router(harness, router, count, reads)
            for router, count in zip(harness.router_processes, served, strict=True)
        ]
    finally:
        await harness.stop()
    return Summary(routers, servers, all_ready_s, load_before, router_figures)


def _total_kb() -> int:
    return int(Path("/proc/meminfo").read_text().split("MemTotal:")[1].split()[0])


def _measure_router(harness: ManyRouters, router: RouterProcess, served: int, answers: int) -> RouterFigures:
    assert router.process is not None
    pid, name = router.process.pid, router.name
    return RouterFigures(
        name,
        harness.ready_at[name] - harness.started_at[name],
        _read_kb(pid, "smaps_rollup", "Pss") / 1024,
        _read_kb(pid, "status", "VmRSS") / 1024,
        len(os.listdir(f"/proc/{pid}/fd")),
        served,
        answers,
    )


def main() -> int:
    """Run the benchmark; the exit status is 1 if a router was late or served nothing."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, default=230)
    parser.add_argument("--servers", type=int, default=600)
    parser.add_argument("--reads", type=int, default=40, help="reads sent to each router, one after another")
    parser.add_argument("--json", type=Path, help="file for the figures of all routers")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary_folder:
        try:
            summary = uvloop.run(
                measure(Path(temporary_folder), arguments.routers, arguments.servers, arguments.reads)
            )
        except HarnessError as error:
            print(f"many_routers: {error}", file=sys.stderr)
            return 1
    print("\n".join(summary.lines()))
    if arguments.json:
        arguments.json.write_bytes(orjson.dumps([asdict(figures) for figures in summary.router_figures]))
    return 0 if summary.is_good else 1


if __name__ == "__main__":
    sys.exit(main())
