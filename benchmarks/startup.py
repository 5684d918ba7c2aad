"""Measures a router's start-up time and memory: `python -m benchmarks.startup [--against FOLDER:MODULE]`.

`--against` names another checkout and the module that starts its router; the runs of both alternate.
"""

from __future__ import annotations

import argparse
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import orjson

from saltport.harness import reserve_port
from saltport.standins.profile import Profile
from saltport.wire.resp import command

START_TIMEOUT_S = 30.0


def _is_ready(port: int) -> bool:
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1) as client:
            client.sendall(command(b"PING"))
            return client.recv(64) == b"+PONG\r\n"
    except OSError:
        return False


def measure_start(folder: Path, arguments: list[str]) -> tuple[float, float]:
    """Start a router and return the milliseconds until its port is open and its resident MB when ready."""
    with reserve_port() as listen, reserve_port() as registry:
        return _measure_start_at(listen.getsockname()[1], registry.getsockname()[1], folder, arguments)


def _measure_start_at(
    port: int, registry_port: int, folder: Path, arguments: list[str]
) -> tuple[float, float]:
    settings = Profile().config("r1", f"127.0.0.1:{port}", f"127.0.0.1:{registry_port}", 1)
    settings["known"] = {"generation": 1, "reset": True, "instances": []}
    with tempfile.TemporaryDirectory() as temporary_folder:
        config = Path(temporary_folder) / "config.json"
        config.write_bytes(orjson.dumps(settings))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        started_at = time.perf_counter()
        process = subprocess.Popen(
            [sys.executable, *arguments], cwd=folder, env={**environment, "LB_CONFIG": str(config)},
            stderr=subprocess.DEVNULL,
        )  # fmt: skip
        try:
            open_after_s = 0.0
            while not open_after_s:
                if time.perf_counter() - started_at > START_TIMEOUT_S:
                    raise RuntimeError(f"{arguments}: not ready in {START_TIMEOUT_S:.0f} s")
                try:
                    socket.create_connection(("127.0.0.1", port), timeout=1).close()
                    open_after_s = time.perf_counter() - started_at
                except OSError:
                    time.sleep(0.002)
            while not _is_ready(port):
                time.sleep(0.01)
            status = Path(f"/proc/{process.pid}/status").read_text()
            return open_after_s * 1e3, int(status.split("VmRSS:")[1].split()[0]) / 1024
        finally:
            process.terminate()
            process.wait()


def main() -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=7)
    parser.add_argument("--against", metavar="FOLDER:MODULE", action="append", default=[])
    arguments = parser.parse_args()
    this_checkout = Path(__file__).resolve().parent.parent
    variants = [(this_checkout, ["-m", "saltport.router"], "this router")]
    for against in arguments.against:
        folder, _, module = against.rpartition(":")
        variants.append((Path(folder), ["-m", module], module))
    measurements: dict[str, list[tuple[float, float]]] = {name: [] for _, _, name in variants}
    for _ in range(arguments.runs):
        for folder, command_arguments, name in variants:
            measurements[name].append(measure_start(folder, command_arguments))
    for name, runs in measurements.items():
        times, memory_mb = zip(*runs, strict=True)
        print(
            f"{name}: open after {statistics.median(times):.0f} ms ({min(times):.0f} to {max(times):.0f}), "
            f"{statistics.median(memory_mb):.1f} MB ({min(memory_mb):.1f} to {max(memory_mb):.1f}), "
            f"{arguments.runs} runs"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
