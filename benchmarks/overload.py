"""Compares a throttled router with and without shedding: `python -m benchmarks.overload`.

The router is throttled to a fifth of the CPU time (SIGSTOP for 40 ms of every 50 ms). Nodes on loopback
answer every request immediately with a hit. A closed loop measures the router's capacity. Then tenant
`public` sends a third of that rate and `municipal` an increasing multiple of it, both in an open loop;
latency counts from the intended start of a request.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, cast

import orjson
import uvloop

from benchmarks.relay import KEY_COUNT, VALUE, _ClosedLoop, _start_child
from saltport.address import Address
from saltport.admin.client import ask
from saltport.harness import environment, reserve_port
from saltport.load.driver import wait_ready
from saltport.standins.profile import Profile
from saltport.wire.resp import command

CONNECTIONS_PER_TENANT = 160  # each carries one request at a time, as the connections of a build machine do
DEADLINE_MS = 2000
RECOVERY_S = 5.0
RUN_S, STOP_S = 0.010, 0.040
START_TIMEOUT_S = 30.0
FEATURES_TOML = "[overload]\ntarget_ms = {target}\n"


class _Tenant:
    """A tenant's connections. A request takes an idle connection, or waits until one is idle."""

    def __init__(self, name: str, aim_s: float) -> None:
        self.name, self._aim_s = name, aim_s
        self.free: list[_ClientConnection] = []
        self.waiting: deque[tuple[float, int]] = deque()
        self.outcomes: Counter[str] = Counter()
        self.latencies_s: list[float] = []

    def enqueue(self, intended_at: float, number: int) -> None:
        self.outcomes["asked"] += 1
        self.waiting.append((intended_at, number))
        self.send_waiting()

    def send_waiting(self) -> None:
        now = time.perf_counter()
        while self.waiting and self.free:
            intended_at, number = self.waiting.popleft()
            remaining_ms = DEADLINE_MS - int((now - intended_at) * 1000)
            if remaining_ms <= 0:
                self.outcomes["never sent"] += 1
            else:
                self.free.pop().send(intended_at, number, remaining_ms)

    def record_reply(self, client: _ClientConnection, intended_at: float, reply_type: bytes) -> None:
        latency = time.perf_counter() - intended_at
        in_time = latency <= self._aim_s
        if reply_type == b"$":
            self.latencies_s.append(latency)
            self.outcomes["in time" if in_time else "late"] += 1
        else:
            self.outcomes["refused" if in_time else "refused late"] += 1
        self.free.append(client)
        self.send_waiting()


class _ClientConnection(asyncio.Protocol):
    """One client connection of a tenant, with at most one request under way."""

    def __init__(self, tenant: _Tenant) -> None:
        self._tenant = tenant
        self._received = b""
        self._intended_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, intended_at: float, number: int, remaining_ms: int) -> None:
        self._intended_at = intended_at
        info = b"c=fetch,t=%b,d=%d" % (self._tenant.name.encode(), remaining_ms)
        key = b"pkg-%d" % (number % KEY_COUNT)
        self.transport.write(command(b"KV.GET", key, b"%016x" % number, info))

    def data_received(self, data: bytes) -> None:
        self._received += data
        if self._received.endswith(b"\r\n") and (
            self._received[:1] != b"$" or len(self._received) > len(VALUE)
        ):
            reply_type, self._received = self._received[:1], b""
            self._tenant.record_reply(self, self._intended_at, reply_type)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._tenant.free:
            self._tenant.free.remove(self)


def _percentiles(latencies_s: list[float]) -> dict[str, int]:
    if len(latencies_s) < 2:
        return {}
    hundredths = statistics.quantiles(latencies_s, n=100)
    return {"p50_ms": round(hundredths[49] * 1000), "p99_ms": round(hundredths[98] * 1000)}


async def _throttle(process: asyncio.subprocess.Process) -> None:
    while True:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(STOP_S)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(RUN_S)


async def _run_open_loop(
    address: Address, rates: dict[str, float], seconds: float, aim_s: float
) -> dict[str, Any]:
    """Send requests in an open loop at these rates; return the counts of outcomes of each tenant."""
    loop = asyncio.get_running_loop()
    tenants = {name: _Tenant(name, aim_s) for name in rates}
    transports = []
    for tenant in tenants.values():
        for _ in range(CONNECTIONS_PER_TENANT):
            connection = await loop.create_connection(
                lambda tenant=tenant: _ClientConnection(tenant),  # type: ignore[misc]
                *address,
            )
            tenant.free.append(connection[1])
            transports.append(connection[0])
    rng, number = random.Random(1), 0
    started_at = time.perf_counter()
    due_at = dict.fromkeys(rates, started_at)
    while (now := time.perf_counter()) < started_at + seconds:
        for name, rate in rates.items():
            while due_at[name] <= now:
                number += 1
                tenants[name].enqueue(due_at[name], number)
                due_at[name] += rng.expovariate(rate)
        await asyncio.sleep(0.001)
    await asyncio.sleep(DEADLINE_MS / 1000 + 0.5)
    for transport in transports:
        transport.close()
    return {name: {**tenant.outcomes, **_percentiles(tenant.latencies_s)} for name, tenant in tenants.items()}


async def compare(seconds: float, target_ms: int, report_line: Callable[[str], None]) -> list[dict[str, Any]]:
    """Run all rates without and with shedding; return one row of results for each run."""
    rows = []
    profile = Profile()
    for target in (0, target_ms):
        processes: list[asyncio.subprocess.Process] = []
        with (
            tempfile.TemporaryDirectory(prefix="saltport-overload-") as folder,
            reserve_port() as reserved,
            reserve_port() as reserved_for_admin,
        ):
            try:
                nodes, description = await _start_child("-m", "benchmarks.relay", "--role", "nodes")
                processes.append(nodes)
                listen = reserved.getsockname()
                admin = reserved_for_admin.getsockname()
                config = Path(folder) / "config.json"
                settings = profile.config("r1", "{}:{}".format(*listen), description["registry"], 1)
                settings["admin_addr"] = "{}:{}".format(*admin)
                config.write_bytes(orjson.dumps(settings))
                aim_s = (
                    next(c["aimNs"] for c in settings["settings"]["classes"] if c["name"] == "fetch") / 1e9
                )
                features = Path(folder) / "features.toml"
                features.write_text(FEATURES_TOML.format(folder=folder, target=target))
                router = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "saltport.router", "--with", str(features),
                    env={**environment(), "LB_CONFIG": str(config)},
                )  # fmt: skip
                processes.append(router)
                if not await wait_ready(listen, START_TIMEOUT_S):
                    raise RuntimeError("the router did not start")
                await _ClosedLoop(5000).run(listen, 32)
                throttling = asyncio.get_running_loop().create_task(_throttle(router))
                capacity = (await _ClosedLoop(8000).run(listen, 128))["per_s"]
                await asyncio.sleep(RECOVERY_S)  # the closed loop overloads the router as well
                for multiple in (0.2, 1.5, 3.0):
                    rates = {"public": capacity / 3, "municipal": capacity * multiple}
                    outcomes = await _run_open_loop(listen, rates, seconds, aim_s)
                    rows.append(
                        {"target_ms": target, "capacity_per_s": capacity, "municipal": multiple, **outcomes}
                    )
                    report_line(
                        f"target {target} ms, capacity {capacity} a second, municipal {multiple} times that:"
                    )
                    for tenant, counts in outcomes.items():
                        report_line(f"    {tenant}: {counts}")
                throttling.cancel()
                router.send_signal(signal.SIGCONT)
                state = await asyncio.to_thread(ask, admin, "/state")
                report_line(f"    {state['overload']}, given up {state['given_up']}")
                report_line(f"    ejected {cast(dict[str, Any], state['outliers'])['ejected']}")
            finally:
                for process in processes:
                    if process.returncode is None:
                        with suppress(ProcessLookupError):
                            process.send_signal(signal.SIGCONT)
                        process.terminate()
                        await process.wait()
    return rows


def main() -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0, help="duration of the run at each rate")
    parser.add_argument("--target-ms", type=int, default=30)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    report_line = (lambda line: print(line, file=sys.stderr)) if arguments.json else print
    rows = uvloop.run(compare(arguments.seconds, arguments.target_ms, report_line))
    if arguments.json:
        print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
