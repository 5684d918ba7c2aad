"""Operators' calls beside callers that say nothing and long values: how long an answer takes.

    python -m benchmarks.calls --silent 64 --clients 8 --slow 32 --seconds 10

Each silent caller connects, sends half a call, and comes again when it is dropped; the clients read 4 MiB,
some slowly, as in benchmarks.bulk. Every 20 ms one call is made, in turn health, figures and state. JSON:
times in milliseconds from connecting to the answer's last byte, and calls that were not answered; status 1
if one was not, or took 1 s.
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

from benchmarks.bulk import VALUE, Readers
from saltport.address import Address
from saltport.admin.client import call
from tests.sockets import Peer, hit, run_router

CALLS = ("/healthcheck", "/stats", "/state")
PAUSE_S = 0.02
OWED_S = 1.0


def _silent(admin: Address, over: threading.Event) -> None:
    while not over.is_set():
        try:
            with socket.create_connection(admin, timeout=0.2) as caller:
                caller.sendall(b"GET /stats HTTP/1.1\r\nHost")
                while not over.is_set():
                    try:
                        if not caller.recv(1):
                            break
                    except TimeoutError:
                        pass
        except OSError:
            time.sleep(0.01)


def measure(silent: int, clients: int, slow: int, seconds: float) -> dict[str, object]:
    """Play it once."""
    node = Peer(lambda _, words: hit(VALUE))
    took: dict[str, list[float]] = defaultdict(list)
    unanswered = 0
    with (
        tempfile.TemporaryDirectory(prefix="saltport-calls-") as folder,
        run_router(Path(folder), {"s1": node}) as router,
    ):
        over = threading.Event()
        callers = [threading.Thread(target=_silent, args=(router.admin, over)) for _ in range(silent)]
        for caller in callers:
            caller.start()
        readers = [Readers(router, clients, False), Readers(router, slow, True)]
        end = time.monotonic() + seconds
        for path in cycle(CALLS):
            if time.monotonic() > end:
                break
            begun = time.perf_counter()
            try:
                unanswered += call(router.admin, "GET", path)[0] != 200
            except (OSError, ValueError):
                unanswered += 1
            took[path].append((time.perf_counter() - begun) * 1000)
            time.sleep(PAUSE_S)
        over.set()
        for caller in callers:
            caller.join()
        mib = sum(reader.bytes for reader in readers) >> 20
        for reader in readers:
            reader.stop()
    return {
        "silent": silent,
        "mib": mib,
        "calls": sum(map(len, took.values())),
        "unanswered": unanswered,
        "ms": {path: _percentiles(times) for path, times in took.items()},
        "longest_ms": round(max(map(max, took.values())), 1),
    }


def _percentiles(times: list[float]) -> dict[str, float]:
    times.sort()
    return {f"p{share}": round(times[int(len(times) * share / 100)], 2) for share in (50, 90, 99)}


def main() -> int:
    """The command line; returns the exit status."""
    parser = argparse.ArgumentParser(description="Operators' calls under load.")
    parser.add_argument("--silent", type=int, default=64)
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--slow", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=10.0)
    told = measure(**vars(parser.parse_args()))
    print(orjson.dumps(told).decode())
    longest = told["longest_ms"]
    assert isinstance(longest, float)
    return int(bool(told["unanswered"]) or longest >= 1000 * OWED_S)


if __name__ == "__main__":
    sys.exit(main())
