"""A router's memory and the time until it is ready: `python -m benchmarks.startup [--against FOLDER:MODULE]`.

`--against` names another checkout and the module that starts its router, to compare in turn.
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

from saltport.harness import free_port
from saltport.standins.profile import Profile
from saltport.wire.resp import command

START_S = 30.0


def _ready(port: int) -> bool:
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=1) as client:
            client.sendall(command(b"PING"))
            return client.recv(64) == b"+PONG\r\n"
    except OSError:
        return False


def start_once(folder: Path, words: list[str]) -> tuple[float, float]:
    """Start a router; returns milliseconds until its port is open, and its resident MB when ready."""
    port = free_port()
    told = Profile().config("r1", f"127.0.0.1:{port}", f"127.0.0.1:{free_port()}", 1)
    told["known"] = {"generation": 1, "reset": True, "instances": []}
    with tempfile.TemporaryDirectory() as temporary:
        config = Path(temporary) / "config.json"
        config.write_bytes(orjson.dumps(told))
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        begun = time.perf_counter()
        process = subprocess.Popen(
            [sys.executable, *words], cwd=folder, env={**environ, "LB_CONFIG": str(config)},
            stderr=subprocess.DEVNULL,
        )  # fmt: skip
        try:
            opened = 0.0
            while not opened:
                if time.perf_counter() - begun > START_S:
                    raise RuntimeError(f"{words}: not ready in {START_S:.0f} s")
                try:
                    socket.create_connection(("127.0.0.1", port), timeout=1).close()
                    opened = time.perf_counter() - begun
                except OSError:
                    time.sleep(0.002)
            while not _ready(port):
                time.sleep(0.01)
            status = Path(f"/proc/{process.pid}/status").read_text()
            return opened * 1e3, int(status.split("VmRSS:")[1].split()[0]) / 1024
        finally:
            process.terminate()
            process.wait()


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=7)
    parser.add_argument("--against", metavar="FOLDER:MODULE", action="append", default=[])
    told = parser.parse_args()
    here = Path(__file__).resolve().parent.parent
    sides = [(here, ["-m", "saltport.router"], "this router")]
    for other in told.against:
        folder, _, module = other.rpartition(":")
        sides.append((Path(folder), ["-m", module], module))
    found: dict[str, list[tuple[float, float]]] = {name: [] for _, _, name in sides}
    for _ in range(told.runs):
        for folder, words, name in sides:
            found[name].append(start_once(folder, words))
    for name, runs in found.items():
        times, sizes = zip(*runs, strict=True)
        print(
            f"{name}: open after {statistics.median(times):.0f} ms ({min(times):.0f} to {max(times):.0f}), "
            f"{statistics.median(sizes):.1f} MB ({min(sizes):.1f} to {max(sizes):.1f}), {told.runs} runs"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
