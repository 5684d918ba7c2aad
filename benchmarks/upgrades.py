"""Measures repeated upgrades under load: unanswered and truncated requests, memory and descriptors.

    python -m benchmarks.upgrades --count 20 --clients 16 --long 200

Real router processes run on loopback. Each client keeps its connection and sends requests without a pause;
the readers of long values read 4 MiB at 0.5 to 8 MiB a second. It prints a line for each upgrade and JSON at
the end. The exit status is 1 if a connection closed without an answer, or if a value was truncated or wrong.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
import time
from pathlib import Path

import orjson

from benchmarks.platform import Load, LongReaders, create_long_value_nodes, platform
from saltport.admin.client import ask
from tests.sockets import TIMEOUT_S, eventually

VALUE_BYTES = 4 << 20
MIN_BYTES_PER_S, MAX_BYTES_PER_S = 0.5 * (1 << 20), 8.0 * (1 << 20)
VALUE_COUNT = 8


def measure(count: int, clients: int, nodes: int, long: int, seed: int) -> dict[str, object]:
    """Run the upgrades and return the figures; times are in seconds, memory in kilobytes."""
    rows: list[dict[str, float]] = []
    rng = random.Random(seed)
    values = {b"long%d" % i: rng.randbytes(VALUE_BYTES) for i in range(VALUE_COUNT)}
    byte_rates = [MIN_BYTES_PER_S * (MAX_BYTES_PER_S / MIN_BYTES_PER_S) ** rng.random() for _ in range(long)]
    with tempfile.TemporaryDirectory(prefix="saltport-upgrades-") as folder:
        caches = create_long_value_nodes(nodes, values, byte_rates or [MAX_BYTES_PER_S])
        sockets = 1024 if long else 384
        with platform(Path(folder), caches, sockets=sockets) as running_platform:
            running = running_platform.start().wait_until_healthy()
            load = Load(running_platform, clients)
            load.wait_for_answers(20 * clients)
            readers = LongReaders(running_platform, byte_rates, values)
            eventually(lambda: ask(running.admin, "/stats")["current"] >= long * 0.8, "values are under way")
            for number in range(count):
                started_at = time.monotonic()
                following = running_platform.start().wait_until_healthy()
                ready_s = time.monotonic() - started_at
                answered = load.answered
                running.terminate()
                memory = descriptors = 0
                while not running.has_exited and time.monotonic() - started_at < TIMEOUT_S:
                    try:
                        memory = max(memory, running.memory_kb() + following.memory_kb())
                        descriptors = max(descriptors, running.descriptors() + following.descriptors())
                    except (OSError, IndexError):
                        break  # the process exited meanwhile
                    time.sleep(0.002)
                eventually(lambda old=running: old.has_exited, "the old process exits")  # type: ignore[misc]
                ended_s = time.monotonic() - started_at - ready_s
                load.wait_for_answers(20 * clients)
                row = {
                    "ready_s": round(ready_s, 3),
                    "ended_s": round(ended_s, 3),
                    "memory_kb": memory,
                    "descriptors": descriptors,
                    "answered_meanwhile": load.answered - answered,
                    "doors": load.unanswered,
                    "moved": ask(following.admin, "/state")["taken_over"],
                    "whole": readers.complete,
                    "cut": readers.truncated,
                }
                rows.append(row)
                print(f"{number + 1}: {row}", file=sys.stderr)
                running = following
            load.stop()
            readers.stop()
    return {
        "upgrades": count,
        "clients": clients,
        "answered": load.answered,
        "refused": load.refused,
        "doors": load.unanswered + readers.unanswered,
        "wrong": len(load.wrong) + readers.wrong,
        "long": long,
        "whole": readers.complete,
        "cut": readers.truncated,
        "moved": sum(row["moved"] for row in rows),
        "longest_ready_s": max(row["ready_s"] for row in rows),
        "longest_end_s": max(row["ended_s"] for row in rows),
        "most_memory_kb": max(row["memory_kb"] for row in rows),
        "most_descriptors": max(row["descriptors"] for row in rows),
    }


def main() -> int:
    """Run the benchmark from the command line and return the exit status."""
    parser = argparse.ArgumentParser(description="Upgrades in a row under load.")
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--nodes", type=int, default=16)
    parser.add_argument("--long", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    figures = measure(**vars(parser.parse_args()))
    print(orjson.dumps(figures).decode())
    return int(any(figures[name] for name in ("doors", "wrong", "cut")))


if __name__ == "__main__":
    sys.exit(main())
