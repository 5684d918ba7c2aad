"""Long values: the router's CPU for each MiB, its memory for each value, and short reads beside them.

    python -m benchmarks.bulk --clients 16 --seconds 8

One node answers reads of `k...` with a few bytes and all others with 4 MiB. Some clients read long values
as fast as they come, some slowly, and one asks for short ones all the while; they share an interpreter, so
that the short reads' times are an upper bound. JSON: CPU in milliseconds for a MiB passed on, memory at
rest and at the most in kilobytes, times in milliseconds.
"""

from __future__ import annotations

import argparse
import os
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path

import orjson

from tests.sockets import Client, Peer, RunningRouter, get, hit, run_router

VALUE = b"v" * (4 << 20)
SLOW_STEP, SLOW_PAUSE_S = 128 << 10, 0.05  # some 2.5 MB a second


def _cpu_s(router: RunningRouter) -> float:
    fields = Path(f"/proc/{router.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Readers:
    """Clients of long values, and how much they got."""

    def __init__(self, router: RunningRouter, count: int, slow: bool) -> None:
        self.bytes = 0
        self._lock, self._over = threading.Lock(), threading.Event()
        self._clients = [
            threading.Thread(target=self._run, args=(router, f"{'s' if slow else 'f'}{n}", slow))
            for n in range(count)
        ]
        for client in self._clients:
            client.start()

    def _ask(self, router: RunningRouter, client: Client, name: str) -> tuple[Client, int]:
        """The length that is to come; a connection that was closed as idle meanwhile is made anew."""
        while True:
            try:
                client.send(get(name, name, d=60_000))
                if head := client.stream.readline():
                    return client, int(head[1:]) + 2
            except OSError:
                pass
            client.close()
            client = router.client()

    def _run(self, router: RunningRouter, name: str, slow: bool) -> None:
        client, count = router.client(), 0
        while not self._over.is_set():
            client, left = self._ask(router, client, f"{name}x{count}")
            count += 1
            while left:
                part = client.stream.read(min(SLOW_STEP if slow else left, left))
                left -= len(part)
                with self._lock:
                    self.bytes += len(part)
                if slow:
                    time.sleep(SLOW_PAUSE_S)

    def stop(self) -> None:
        """Begin no more values."""
        self._over.set()
        for client in self._clients:
            client.join()


def measure(clients: int, slow: int, seconds: float) -> dict[str, float]:
    """Play it once."""
    node = Peer(lambda _, words: hit(words[2] if words[1].startswith(b"k") else VALUE))
    with (
        tempfile.TemporaryDirectory(prefix="saltport-bulk-") as folder,
        run_router(Path(folder), {"s1": node}) as router,
    ):
        short = router.client()
        assert short.ask(get("first")) == b"first"
        rest, cpu = router.memory_kb(), _cpu_s(router)
        fast, slowly = Readers(router, clients, False), Readers(router, slow, True)
        took: list[float] = []
        most, end = rest, time.monotonic() + seconds
        while time.monotonic() < end:
            begun = time.perf_counter()
            short.ask(get(f"q{len(took)}", "k", d=60_000))
            took.append((time.perf_counter() - begun) * 1000)
            most = max(most, router.memory_kb())
            time.sleep(0.005)
        used, passed = _cpu_s(router) - cpu, (fast.bytes + slowly.bytes) / (1 << 20)
        for readers in (fast, slowly):
            readers.stop()
    took.sort()
    return {
        "mib": round(passed),
        "cpu_ms_per_mib": round(1000 * used / passed, 3),
        "rest_kb": rest,
        "most_kb": most,
        "kb_per_value": round((most - rest) / (clients + slow)),
        "short_p50_ms": round(statistics.median(took), 2),
        "short_p99_ms": round(took[int(len(took) * 0.99)], 2),
    }


def main() -> int:
    """The command line; returns the exit status."""
    parser = argparse.ArgumentParser(description="Long values through a router.")
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--slow", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=8.0)
    print(orjson.dumps(measure(**vars(parser.parse_args()))).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
