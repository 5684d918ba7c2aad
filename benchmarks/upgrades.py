"""Upgrades in a row under load: what ends at the door or is cut, and what both processes hold together.

    python -m benchmarks.upgrades --count 20 --clients 16 --long 200

Real processes on loopback, as the tests' platform starts them; each client keeps its connection and asks
without a pause, and those of long values read 4 MiB at 0.5 to 8 MiB a second. Prints a line an upgrade and
JSON at the end; status 1 if a request ended at the door, or a value was cut or not what its node sent.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
import time
from pathlib import Path

import orjson

from benchmarks.platform import Load, LongReaders, long_nodes, platform
from saltport.admin.client import ask
from tests.sockets import TIMEOUT_S, eventually

VALUE = 4 << 20
SLOWEST, FASTEST = 0.5 * (1 << 20), 8.0 * (1 << 20)
VALUES = 8


def measure(count: int, clients: int, nodes: int, long: int, seed: int) -> dict[str, object]:
    """Play the upgrades; times are seconds, memory kilobytes."""
    rows: list[dict[str, float]] = []
    rng = random.Random(seed)
    values = {b"long%d" % i: rng.randbytes(VALUE) for i in range(VALUES)}
    paces = [SLOWEST * (FASTEST / SLOWEST) ** rng.random() for _ in range(long)]
    with tempfile.TemporaryDirectory(prefix="saltport-upgrades-") as folder:
        caches = long_nodes(nodes, values, paces or [FASTEST])
        sockets = 1024 if long else 384
        with platform(Path(folder), caches, sockets=sockets) as held:
            running = held.start().ready()
            load = Load(held, clients)
            load.more(20 * clients)
            readers = LongReaders(held, paces, values)
            eventually(lambda: ask(running.admin, "/stats")["current"] >= long * 0.8, "values are under way")
            for number in range(count):
                begun = time.monotonic()
                following = held.start().ready()
                ready = time.monotonic() - begun
                answered = load.answered
                running.terminate()
                memory = descriptors = 0
                while not running.gone and time.monotonic() - begun < TIMEOUT_S:
                    try:
                        memory = max(memory, running.memory_kb() + following.memory_kb())
                        descriptors = max(descriptors, running.descriptors() + following.descriptors())
                    except (OSError, IndexError):
                        break  # it ended under our eyes
                    time.sleep(0.002)
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
                    "moved": ask(following.admin, "/state")["taken_over"],
                    "whole": readers.whole,
                    "cut": readers.cut,
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
        "doors": load.doors + readers.doors,
        "wrong": len(load.wrong) + readers.wrong,
        "long": long,
        "whole": readers.whole,
        "cut": readers.cut,
        "moved": sum(row["moved"] for row in rows),
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
    parser.add_argument("--nodes", type=int, default=16)
    parser.add_argument("--long", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    told = measure(**vars(parser.parse_args()))
    print(orjson.dumps(told).decode())
    return int(any(told[name] for name in ("doors", "wrong", "cut")))


if __name__ == "__main__":
    sys.exit(main())
