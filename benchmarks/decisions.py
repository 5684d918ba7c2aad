"""Measures the time of routing decisions by fleet size, without sockets: `python -m benchmarks.decisions`.

A cold slot is ranked for the first time since the server list changed; a warm slot has its ranking cached. A
join or a leave blocks the event loop for as long as the decision module takes to handle that event.
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

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
FLEET_SIZES = (130, 1_000, 5_000)
WARM_KEY_COUNT = 4_000


def _server(number: int, **changes: Any) -> Server:
    return Server(f"s-{number:06x}", kind="std", zone="abc"[number % 3], **changes)


class _SimulatedRouter:
    """A decision module with a fleet of servers, driven by a clock that the benchmark advances."""

    def __init__(self, size: int, vectors: bool, hot_keys: bool) -> None:
        settings = Settings(
            classes=(RequestClass("read", aim=300 * NS_PER_MS, deadline=NS_PER_S),),
            tenants=(Tenant("a", 1.0, 1e6),), origin_kind="origin", cold_share=0.4, cold_time=6 * NS_PER_S,
            vectors=vectors, hot_keys=HotKeySettings() if hot_keys else None,
        )  # fmt: skip
        self.router, self.now, self.request_count = Router(settings, 1), NS_PER_S, 0
        fleet = tuple(_server(number) for number in range(size))
        self.router.handle(ServersChanged(ListKind.FULL, (*fleet, Server("o", kind="origin"))), self.now)

    def time_hit(self, key: str) -> float:
        """Return the seconds that the module takes to handle one request and its hit."""
        self.request_count += 1
        self.now += NS_PER_MS
        request_id = f"r{self.request_count}"
        started_at = time.perf_counter()
        actions = self.router.handle(
            RequestArrived(request_id, "read", self.now + NS_PER_S, "a", key), self.now
        )
        send_action = actions[0]
        assert isinstance(send_action, Send)
        self.router.handle(
            AttemptEnded(request_id, 0, send_action.server, Outcome.OK, True, 5 * NS_PER_MS), self.now
        )
        return time.perf_counter() - started_at

    def time_event(self, event: Event) -> float:
        """Return the seconds that the module takes to handle one event."""
        self.now += NS_PER_MS
        started_at = time.perf_counter()
        self.router.handle(event, self.now)
        return time.perf_counter() - started_at


def _mean_us(times: list[float]) -> float:
    return statistics.fmean(times) * 1e6


def measure(size: int, changes: int, vectors: bool, hot_keys: bool = False) -> dict[str, float]:
    """Return the decision times for a fleet of `size` servers."""
    simulated = _SimulatedRouter(size, vectors, hot_keys)
    cold_times = [simulated.time_hit(f"k{number}") for number in range(1_000)]
    for number in range(WARM_KEY_COUNT * 2):
        simulated.time_hit(f"k{number % WARM_KEY_COUNT}")
    warm_times = [simulated.time_hit(f"k{number % WARM_KEY_COUNT}") for number in range(WARM_KEY_COUNT)]
    join_times, leave_times = [], []
    for number in range(changes):
        new_server = _server(size + number, started=simulated.now)
        join_times.append(simulated.time_event(ServersChanged(ListKind.DELTA, (new_server,))))
        for key in range(200):
            simulated.time_hit(f"k{key}")
        removed_server = _server(number, state=ServerState.GONE)
        leave_times.append(simulated.time_event(ServersChanged(ListKind.DELTA, (removed_server,))))
        for key in range(200):
            simulated.time_hit(f"k{key}")
    after_change_times = [
        simulated.time_hit(f"k{number % WARM_KEY_COUNT}") for number in range(WARM_KEY_COUNT)
    ]
    return {
        "nodes": size, "cold_us": _mean_us(cold_times), "warm_us": _mean_us(warm_times),
        "after_changes_us": _mean_us(after_change_times), "join_ms": max(join_times) * 1e3,
        "leave_ms": max(leave_times) * 1e3,
    }  # fmt: skip


def main() -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, action="append")
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--vectors", action="store_true", help="rank large fleets with numpy")
    parser.add_argument("--hot-keys", action="store_true", help="with separate handling of hot keys")
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    report_line: Callable[[str], None] = (
        (lambda line: print(line, file=sys.stderr)) if arguments.json else print
    )
    rows = []
    report_line("  nodes  cold slot us  warm us  after changes us  longest join ms  longest leave ms")
    for size in arguments.nodes or FLEET_SIZES:
        row = measure(size, arguments.changes, arguments.vectors, arguments.hot_keys)
        rows.append(row)
        report_line(
            f"{size:7} {row['cold_us']:13.0f} {row['warm_us']:8.1f} {row['after_changes_us']:17.1f} "
            f"{row['join_ms']:16.2f} {row['leave_ms']:17.2f}"
        )
    if arguments.json:
        print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
