"""Upgrades in a row under load: requests that end at the door, and what both processes hold together.

    python -m benchmarks.upgrades --count 20 --clients 16

Real processes on loopback, as the tests' platform starts them; each client keeps its connection and asks
without a pause. Prints a line an upgrade and JSON at the end; status 1 if a request ended at the door or got
a wrong answer.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from pathlib import Path

import orjson

from benchmarks.platform import Load, platform
from tests.sockets import eventually, serving


def measure(count: int, clients: int, nodes: int) -> dict[str, object]:
    """Play the upgrades; times are seconds, memory kilobytes."""
    rows: list[dict[str, float]] = []
    with tempfile.TemporaryDirectory(prefix="saltport-upgrades-") as folder:
        caches = {f"s{i}": serving() for i in range(nodes)}
        with platform(Path(folder), caches) as held:
            running = held.start().ready()
            load = Load(held, clients)
            load.more(20 * clients)
            for number in range(count):
                begun = time.monotonic()
                following = held.start().ready()
                ready = time.monotonic() - begun
                memory = running.memory_kb() + following.memory_kb()
                descriptors = running.descriptors() + following.descriptors()
                answered = load.answered
                running.terminate()
                eventually(lambda old=running: old.gone, "the old one ends")  # type: ignore[misc]
                ended = time.monotonic() - begun - ready
                load.more(20 * clients)
                row = {
                    "ready_s": round(ready, 3),
                    "ended_s": round(ended, 3),
                    "memory_kb": memory,
                    "descriptors": descriptors,
                    "answered_meanwhile": load.answered - answered,
                    "doors": load.doors,
                }
                rows.append(row)
                print(f"{number + 1}: {row}", file=sys.stderr)
                running = following
            load.stop()
    return {
        "upgrades": count,
        "clients": clients,
        "answered": load.answered,
        "doors": load.doors,
        "wrong": len(load.wrong),
        "longest_ready_s": max(row["ready_s"] for row in rows),
        "longest_end_s": max(row["ended_s"] for row in rows),
        "most_memory_kb": max(row["memory_kb"] for row in rows),
        "most_descriptors": max(row["descriptors"] for row in rows),
    }


def main() -> int:
    """The command line; returns the exit status."""
    parser = argparse.ArgumentParser(description="Upgrades in a row under load.")
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--clients", type=int, default=16)
    parser.add_argument("--nodes", type=int, default=4)
    told = measure(**vars(parser.parse_args()))
    print(orjson.dumps(told).decode())
    return int(bool(told["doors"] or told["wrong"]))


if __name__ == "__main__":
    sys.exit(main())
