"""Router CPU for a hit beside a bare uvloop byte relay, in one run: `python -m benchmarks.relay`.

Loopback nodes answer every request at once, all hits; closed loop, so that the process in the middle is the
bottleneck. CPU is that of the middle process alone, user and system, from /proc. The ratio is what to quote:
absolute times move with the machine.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import orjson
import uvloop

from saltport.address import Address, parse_address
from saltport.harness import environment, free_port
from saltport.load.driver import wait_ready
from saltport.standins.ledger import Ledger
from saltport.standins.profile import Profile
from saltport.standins.registry import Registry, instance_entry
from saltport.standins.spoil import resp_answer
from saltport.wire.resp import command

NODES = 8
KEYS = 512
VALUE = b"x" * 512
HIT = resp_answer(VALUE, b"hit", b"latency_ms=1.000,queue=0")
TICKS = os.sysconf("SC_CLK_TCK")
START_S = 30.0


class _Node(asyncio.Protocol):
    """Answers each command at once; commands come whole, as they fit one segment."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.transport.write(HIT * data.count(b"KV.GET"))


class _Upstream(asyncio.Protocol):
    def __init__(self, client: _Relay) -> None:
        self._client = client

    def data_received(self, data: bytes) -> None:
        self._client.transport.write(data)


class _Relay(asyncio.Protocol):
    """Passes bytes on, each client's on a connection of its own."""

    def __init__(self, nodes: list[Address]) -> None:
        self._nodes = nodes
        self._held = b""
        self._up: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        address = self._nodes[id(self) // 64 % len(self._nodes)]
        loop = asyncio.get_running_loop()
        up, _ = await loop.create_connection(lambda: _Upstream(self), *address)
        self._up = up
        self._up.write(self._held)

    def data_received(self, data: bytes) -> None:
        if self._up is None:
            self._held += data
        else:
            self._up.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._up is not None:
            self._up.close()


class _Client(asyncio.Protocol):
    """One client of a closed loop."""

    def __init__(self, run: _ClientRun, number: int) -> None:
        self._run, self._number = run, number
        self._left = b""
        self.done = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.next()

    def next(self) -> None:
        run = self._run
        if run.left <= 0:
            if not self.done.done():
                self.done.set_result(None)
            self.transport.close()
            return
        run.left -= 1
        self._at = time.perf_counter_ns()
        request = f"{run.left:08x}{self._number:08x}".encode()
        key = b"pkg-%d" % (run.left % KEYS)
        self.transport.write(command(b"KV.GET", key, request, b"c=fetch,t=public,d=5000"))

    def data_received(self, data: bytes) -> None:
        self._left += data
        whole = self._left.endswith(b"\r\n") and (self._left[:1] != b"$" or len(self._left) > len(VALUE))
        if not whole:
            return
        run = self._run
        if self._left[:1] in (b"$", b"*"):
            run.served += 1
        else:
            run.others[self._left.split(maxsplit=1)[0].decode("ascii", "replace")] += 1
        self._left = b""
        run.took.append(time.perf_counter_ns() - self._at)
        self.next()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


class _ClientRun:
    """The state of one closed loop."""

    def __init__(self, requests: int) -> None:
        self.left = requests
        self.served = 0
        self.others: Counter[str] = Counter()
        self.took: list[int] = []

    async def play(self, address: Address, connections: int) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        begun = time.perf_counter()
        made = await asyncio.gather(
            *(
                loop.create_connection(lambda number=number: _Client(self, number), *address)  # type: ignore[misc]
                for number in range(connections)
            )
        )
        await asyncio.gather(*(client.done for _, client in made))
        seconds = time.perf_counter() - begun
        tail = statistics.quantiles(self.took, n=100)
        return {
            "served": self.served, "others": self.others, "per_s": round(len(self.took) / seconds),
            "p50_ms": round(tail[49] / 1e6, 2), "p99_ms": round(tail[98] / 1e6, 2),
        }  # fmt: skip


async def _nodes() -> None:
    """Role `nodes`: the nodes and their registry."""
    loop = asyncio.get_running_loop()
    registry = Registry(Ledger("nodes"))
    addresses = []
    for number in range(NODES):
        server = await loop.create_server(_Node, "127.0.0.1", 0)
        addresses.append(server.sockets[0].getsockname())
        registry.change(instance_entry(f"n{number}", addresses[-1], "std-1c", "up", "a", 0, 0))
    told = {"nodes": addresses, "registry": "{}:{}".format(*registry.listen("r1"))}
    print(orjson.dumps(told).decode(), flush=True)
    await asyncio.Event().wait()


async def _relay(nodes: list[Address]) -> None:
    """Role `relay`."""
    server = await asyncio.get_running_loop().create_server(lambda: _Relay(nodes), "127.0.0.1", 0)
    print(orjson.dumps("{}:{}".format(*server.sockets[0].getsockname())).decode(), flush=True)
    await asyncio.Event().wait()


def cpu_s(pid: int) -> float:
    """CPU seconds that a process has used, user and system."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def _child(*words: str, **more: str) -> tuple[asyncio.subprocess.Process, Any]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, *words, env={**environment(), **more}, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    return process, orjson.loads(await asyncio.wait_for(process.stdout.readline(), START_S))


async def _stop_now_and_then(process: asyncio.subprocess.Process, stop_ms: int) -> None:
    """Hold a process still for so long, once a second."""
    while True:
        await asyncio.sleep(1.0)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(stop_ms / 1000)
        process.send_signal(signal.SIGCONT)


async def _measure(
    process: asyncio.subprocess.Process, address: Address, requests: int, connections: int, stop_ms: int = 0
) -> dict[str, Any]:
    await _ClientRun(requests // 10).play(address, connections)  # connections and tables are warm then
    before = cpu_s(process.pid)
    stopper = asyncio.get_running_loop().create_task(_stop_now_and_then(process, stop_ms))
    if not stop_ms:
        stopper.cancel()
    told = await _ClientRun(requests).play(address, connections)
    stopper.cancel()
    process.send_signal(signal.SIGCONT)
    return {**told, "cpu_us": (cpu_s(process.pid) - before) * 1e6 / requests}


def _row(width: int, bare: list[dict[str, Any]], whole: list[dict[str, Any]]) -> dict[str, Any]:
    relay_us = statistics.fmean(told["cpu_us"] for told in bare)
    router_us = statistics.fmean(told["cpu_us"] for told in whole)
    return {
        "connections": width, "relay_us": relay_us, "router_us": router_us, "ratio": router_us / relay_us,
        "ratios": [mine["cpu_us"] / theirs["cpu_us"] for mine, theirs in zip(whole, bare, strict=True)],
        "served": sum(told["served"] for told in whole),
        "others": dict(sum((told["others"] for told in whole), Counter())),
        **{name: statistics.median(told[name] for told in whole) for name in ("per_s", "p50_ms", "p99_ms")},
    }  # fmt: skip


async def compare(
    requests: int, widths: list[int], say: Callable[[str], None], stop_ms: int = 0, rounds: int = 5
) -> list[dict[str, Any]]:
    """Measure relay and router in turn for each number of connections; returns a row each."""
    held: list[asyncio.subprocess.Process] = []
    rows = []
    with tempfile.TemporaryDirectory(prefix="saltport-relay-") as folder:
        try:
            nodes, told = await _child("-m", "benchmarks.relay", "--role", "nodes")
            held.append(nodes)
            names = ["{}:{}".format(*node) for node in told["nodes"]]
            relay, address = await _child("-m", "benchmarks.relay", "--role", "relay", *names)
            held.append(relay)
            listen = ("127.0.0.1", free_port())
            config = Path(folder) / "config.json"
            config.write_bytes(
                orjson.dumps(Profile().config("r1", "{}:{}".format(*listen), told["registry"], 1))
            )
            router = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "saltport.router", env={**environment(), "LB_CONFIG": str(config)}
            )
            held.append(router)
            if not await wait_ready(listen, START_S):
                raise RuntimeError("the router did not start")
            for width in widths:
                bare, whole = [], []
                for _ in range(rounds):  # in turn, as a shared machine is slower now and faster then
                    bare.append(await _measure(relay, parse_address("relay", address), requests, width))
                    whole.append(await _measure(router, listen, requests, width, stop_ms))
                row = _row(width, bare, whole)
                rows.append(row)
                say(
                    f"{width:4} connections: relay {row['relay_us']:.1f} us, "
                    f"router {row['router_us']:.1f} us, ratio {row['ratio']:.2f} "
                    f"(rounds {', '.join(f'{ratio:.1f}' for ratio in row['ratios'])}); "
                    f"{row['per_s']} a second, "
                    f"p50 {row['p50_ms']} ms, p99 {row['p99_ms']} ms, "
                    f"served {row['served']}, others {row['others'] or 0}"
                )
        finally:
            for process in held:
                if process.returncode is None:
                    process.terminate()
                    await process.wait()
    return rows


def main() -> int:
    """Run it, or play one of its processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5, help="relay and router in turn, so often")
    parser.add_argument("--connections", type=int, action="append")
    parser.add_argument("--stop-ms", type=int, default=0, help="hold the router still so long, once a second")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--role", choices=["nodes", "relay"], help=argparse.SUPPRESS)
    parser.add_argument("nodes", nargs="*", help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.role == "nodes":
        uvloop.run(_nodes())
    elif told.role == "relay":
        uvloop.run(_relay([parse_address("node", node) for node in told.nodes]))
    else:
        say = (lambda line: print(line, file=sys.stderr)) if told.json else print
        rows = uvloop.run(
            compare(told.requests, told.connections or [8, 32, 128], say, told.stop_ms, told.rounds)
        )
        if told.json:
            print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
