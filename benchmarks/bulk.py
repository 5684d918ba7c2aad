"""Measures long values: the router's CPU per MiB, its memory per value, and the latency of short reads.

    python -m benchmarks.bulk --clients 16 --seconds 8

One node answers reads of `k...` with a few bytes and all others with 4 MiB. Some clients read long values at
full speed, some slowly, and one sends short reads throughout. They share an interpreter, so the latencies of
short reads are an upper bound. The JSON output has CPU milliseconds per forwarded MiB, idle and peak memory
in kilobytes, and latencies in milliseconds.
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
SLOW_CHUNK_BYTES, SLOW_PAUSE_S = 128 << 10, 0.05  # about 2.5 MB a second


def _cpu_s(router: RunningRouter) -> float:
    fields = Path(f"/proc/{router.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class LongValueReaders:
    """Clients that read long values, and the number of bytes that they received."""

    def __init__(self, router: RunningRouter, count: int, slow: bool) -> None:
        self.bytes = 0
        self._lock, self._stopping = threading.Lock(), threading.Event()
        self._clients = [
            threading.Thread(target=self._run, args=(router, f"{'s' if slow else 'f'}{n}", slow))
            for n in range(count)
        ]
        for client in self._clients:
            client.start()

    def _request_value(self, router: RunningRouter, client: Client, request_id: str) -> tuple[Client, int]:
        """Request a value; return the connection and the length of the reply.

        A connection that was closed as idle is replaced.
        """
        while True:
            try:
                client.send(get(request_id, request_id, d=60_000))
                if head := client.stream.readline():
                    return client, int(head[1:]) + 2
            except OSError:
                pass
            client.close()
            client = router.client()

    def _run(self, router: RunningRouter, request_id: str, slow: bool) -> None:
        client, count = router.client(), 0
        while not self._stopping.is_set():
            client, remaining = self._request_value(router, client, f"{request_id}x{count}")
            count += 1
            while remaining:
                chunk = client.stream.read(min(SLOW_CHUNK_BYTES if slow else remaining, remaining))
                remaining -= len(chunk)
                with self._lock:
                    self.bytes += len(chunk)
                if slow:
                    time.sleep(SLOW_PAUSE_S)

    def stop(self) -> None:
        """Request no more values, and wait for the clients."""
        self._stopping.set()
        for client in self._clients:
            client.join()


def measure(clients: int, slow: int, seconds: float) -> dict[str, float]:
    """Run the measurement once and return the figures."""
    node = Peer(lambda _, words: hit(words[2] if words[1].startswith(b"k") else VALUE))
    with (
        tempfile.TemporaryDirectory(prefix="saltport-bulk-") as folder,
        run_router(Path(folder), {"s1": node}) as router,
    ):
        short = router.client()
        assert short.ask(get("first")) == b"first"
        idle_kb, cpu_before_s = router.memory_kb(), _cpu_s(router)
        fast_readers, slow_readers = (
            LongValueReaders(router, clients, False),
            LongValueReaders(router, slow, True),
        )
        latencies_ms: list[float] = []
        peak_kb, end = idle_kb, time.monotonic() + seconds
        while time.monotonic() < end:
            started_at = time.perf_counter()
            short.ask(get(f"q{len(latencies_ms)}", "k", d=60_000))
            latencies_ms.append((time.perf_counter() - started_at) * 1000)
            peak_kb = max(peak_kb, router.memory_kb())
            time.sleep(0.005)
        cpu_used_s, passed_mib = (
            _cpu_s(router) - cpu_before_s,
            (fast_readers.bytes + slow_readers.bytes) / (1 << 20),
        )
        for readers in (fast_readers, slow_readers):
            readers.stop()
    latencies_ms.sort()
    return {
        "mib": round(passed_mib),
        "cpu_ms_per_mib": round(1000 * cpu_used_s / passed_mib, 3),
        "rest_kb": idle_kb,
        "most_kb": peak_kb,
        "kb_per_value": round((peak_kb - idle_kb) / (clients + slow)),
        "short_p50_ms": round(statistics.median(latencies_ms), 2),
        "short_p99_ms": round(latencies_ms[int(len(latencies_ms) * 0.99)], 2),
    }


def main() -> int:
    """Run the benchmark from the command line and return the exit status."""
    parser = argparse.ArgumentParser(description="Long values through a router.")
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--slow", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=8.0)
    print(orjson.dumps(measure(**vars(parser.parse_args()))).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
