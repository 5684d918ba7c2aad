"""What decisions cost against the fleet's size, without sockets: `python -m benchmarks.decisions`.

A cold slot is asked for the first time since a change of the list; a warm one was asked before. The loop is
held by a join or a leave for as long as the module takes for that one event.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any

import orjson

from saltport.decisions import (
    AttemptEnded,
    Event,
    HotKeySettings,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    Settings,
    Tenant,
)

MS = 1_000_000
S = 1_000 * MS
SIZES = (130, 1_000, 5_000)
WARM_KEYS = 4_000


def _server(number: int, **changes: Any) -> Server:
    return Server(f"s-{number:06x}", kind="std", zone="abc"[number % 3], **changes)


class _Played:
    """A router with a fleet, fed from one clock that the benchmark moves on."""

    def __init__(self, size: int, vectors: bool, hot_keys: bool) -> None:
        settings = Settings(
            classes=(RequestClass("read", aim=300 * MS, deadline=S),),
            tenants=(Tenant("a", 1.0, 1e6),), origin_kind="origin", cold_share=0.4, cold_time=6 * S,
            vectors=vectors, hot_keys=HotKeySettings() if hot_keys else None,
        )  # fmt: skip
        self.router, self.now, self.asked = Router(settings, 1), S, 0
        fleet = tuple(_server(number) for number in range(size))
        self.router.handle(ServersChanged(ListKind.FULL, (*fleet, Server("o", kind="origin"))), self.now)

    def hit(self, key: str) -> float:
        """Seconds that one request and its hit take."""
        self.asked += 1
        self.now += MS
        name = f"r{self.asked}"
        begun = time.perf_counter()
        actions = self.router.handle(RequestArrived(name, "read", self.now + S, "a", key), self.now)
        sent = actions[0]
        assert isinstance(sent, Send)
        self.router.handle(AttemptEnded(name, 0, sent.server, Outcome.OK, True, 5 * MS), self.now)
        return time.perf_counter() - begun

    def event(self, event: Event) -> float:
        """Seconds that one event takes."""
        self.now += MS
        begun = time.perf_counter()
        self.router.handle(event, self.now)
        return time.perf_counter() - begun


def _mean_us(times: list[float]) -> float:
    return statistics.fmean(times) * 1e6


def measure(size: int, changes: int, vectors: bool, hot_keys: bool = False) -> dict[str, float]:
    """The costs at one size of fleet."""
    played = _Played(size, vectors, hot_keys)
    cold = [played.hit(f"k{number}") for number in range(1_000)]
    for number in range(WARM_KEYS * 2):
        played.hit(f"k{number % WARM_KEYS}")
    warm = [played.hit(f"k{number % WARM_KEYS}") for number in range(WARM_KEYS)]
    joins, leaves = [], []
    for number in range(changes):
        new = _server(size + number, started=played.now)
        joins.append(played.event(ServersChanged(ListKind.DELTA, (new,))))
        for key in range(200):
            played.hit(f"k{key}")
        old = _server(number, state=ServerState.GONE)
        leaves.append(played.event(ServersChanged(ListKind.DELTA, (old,))))
        for key in range(200):
            played.hit(f"k{key}")
    after = [played.hit(f"k{number % WARM_KEYS}") for number in range(WARM_KEYS)]
    return {
        "nodes": size, "cold_us": _mean_us(cold), "warm_us": _mean_us(warm),
        "after_changes_us": _mean_us(after), "join_ms": max(joins) * 1e3, "leave_ms": max(leaves) * 1e3,
    }  # fmt: skip


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, action="append")
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--vectors", action="store_true", help="rank large fleets with numpy")
    parser.add_argument("--hot-keys", action="store_true", help="with keys told apart")
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    say: Callable[[str], None] = (lambda line: print(line, file=sys.stderr)) if told.json else print
    rows = []
    say("  nodes  cold slot us  warm us  after changes us  longest join ms  longest leave ms")
    for size in told.nodes or SIZES:
        row = measure(size, told.changes, told.vectors, told.hot_keys)
        rows.append(row)
        say(
            f"{size:7} {row['cold_us']:13.0f} {row['warm_us']:8.1f} {row['after_changes_us']:17.1f} "
            f"{row['join_ms']:16.2f} {row['leave_ms']:17.2f}"
        )
    if told.json:
        print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
