"""Measures the latency of operators' calls beside silent callers and reads of long values.

    python -m benchmarks.calls --silent 64 --clients 8 --slow 32 --seconds 10

Each silent caller connects, sends half a call, and reconnects when it is disconnected; the clients read 4 MiB
values, some slowly, as in benchmarks.bulk. Every 20 ms a call is made, for health, statistics and state in
turn. The JSON output has latencies in milliseconds, from connecting to the last byte of the answer, and the
number of unanswered calls. The exit status is 1 if a call was not answered or took 1 s or more.
"""

from __future__ import annotations

import argparse
import socket
import sys
import tempfile
import threading
import time
from collections import defaultdict
from itertools import cycle
from pathlib import Path

import orjson

from benchmarks.bulk import VALUE, LongValueReaders
from saltport.address import Address
from saltport.admin.client import call
from tests.sockets import Peer, hit, run_router

PATHS = ("/healthcheck", "/stats", "/state")
CALL_INTERVAL_S = 0.02
MAX_CALL_S = 1.0


def _run_silent_caller(admin: Address, stopping: threading.Event) -> None:
    while not stopping.is_set():
        try:
            with socket.create_connection(admin, timeout=0.2) as caller:
                caller.sendall(b"GET /stats HTTP/1.1\r\nHost")
                while not stopping.is_set():
                    try:
                        if not caller.recv(1):
                            break
                    except TimeoutError:
                        pass
        except OSError:
            time.sleep(0.01)


def measure(silent: int, clients: int, slow: int, seconds: float) -> dict[str, object]:
    """Run the measurement once and return the figures."""
    node = Peer(lambda _, words: hit(VALUE))
    latencies_ms: dict[str, list[float]] = defaultdict(list)
    unanswered = 0
    with (
        tempfile.TemporaryDirectory(prefix="saltport-calls-") as folder,
        run_router(Path(folder), {"s1": node}) as router,
    ):
        stopping = threading.Event()
        callers = [
            threading.Thread(target=_run_silent_caller, args=(router.admin, stopping)) for _ in range(silent)
        ]
        for caller in callers:
            caller.start()
        readers = [LongValueReaders(router, clients, False), LongValueReaders(router, slow, True)]
        end = time.monotonic() + seconds
        for path in cycle(PATHS):
            if time.monotonic() > end:
                break
            started_at = time.perf_counter()
            try:
                unanswered += call(router.admin, "GET", path)[0] != 200
            except (OSError, ValueError):
                unanswered += 1
            latencies_ms[path].append((time.perf_counter() - started_at) * 1000)
            time.sleep(CALL_INTERVAL_S)
        stopping.set()
        for caller in callers:
            caller.join()
        mib = sum(reader.bytes for reader in readers) >> 20
        for reader in readers:
            reader.stop()
    return {
        "silent": silent,
        "mib": mib,
        "calls": sum(map(len, latencies_ms.values())),
        "unanswered": unanswered,
        "ms": {path: _percentiles(times) for path, times in latencies_ms.items()},
        "longest_ms": round(max(map(max, latencies_ms.values())), 1),
    }


def _percentiles(times: list[float]) -> dict[str, float]:
    times.sort()
    return {f"p{share}": round(times[int(len(times) * share / 100)], 2) for share in (50, 90, 99)}


def main() -> int:
    """Run the benchmark from the command line and return the exit status."""
    parser = argparse.ArgumentParser(description="Operators' calls under load.")
    parser.add_argument("--silent", type=int, default=64)
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--slow", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=10.0)
    figures = measure(**vars(parser.parse_args()))
    print(orjson.dumps(figures).decode())
    longest = figures["longest_ms"]
    assert isinstance(longest, float)
    return int(bool(figures["unanswered"]) or longest >= 1000 * MAX_CALL_S)


if __name__ == "__main__":
    sys.exit(main())
