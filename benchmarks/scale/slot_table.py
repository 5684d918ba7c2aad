"""Measures the cost of server list changes for a router, by the number of servers.

    python -m benchmarks.scale.slot_table [--vectors]

The time covers the work from the parsed list to the pool and the slot table, in the router's steps. Measured
are the first list, the restart of one server (draining, removed, up), the replacement of all servers, and the
next ranking of each slot; memory by tracemalloc; and the bytes of a watch reply with one change and with the
full list. Times are the thread's CPU time with garbage collection: best, median and worst of the rounds.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import statistics
import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import orjson

from benchmarks.lists import NS_PER_S, server_entry
from benchmarks.scale.fit import fit_line
from benchmarks.scale.stand_ins import load_average
from saltport.decisions import RequestClass, Server, Settings
from saltport.decisions.table import SlotTable
from saltport.lifecycle.process import GC_THRESHOLD
from saltport.membership.listing import read_entry
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import ListSteps
from saltport.router.host import RouterHost
from saltport.standins.spoil import http_answer
from saltport.structures.slot_rankings import MAX_ROWS
from saltport.upstream.pool import Pool
from saltport.wire.http import request

SERVER_COUNTS = (25, 100, 400, 680, 1_600)
ROW_ROUNDS = 3
FLEET_ROUTERS, RESTARTS_PER_DAY, CHANGES_PER_RESTART = 1_600, 680, 3
"""A restarting server is listed as draining, then removed, then up."""
DAY_S = 86_400
IP_TCP_HEADER_BYTES, SEGMENT_BYTES = 52, 1_448
"""Bytes of the IPv4 and TCP headers with time stamps, and of the payload of a segment."""

JsonObject = dict[str, Any]


def list_body(entries: list[JsonObject], is_full: bool) -> JsonObject:
    """Return a server list in the format of discovery; `is_full` marks a full list."""
    return {"generation": 1_000_000, "reset": is_full, "instances": entries}


def wire_bytes(reply: JsonObject) -> int:
    """Return the bytes on the wire of a watch call and its reply.

    They include IP and TCP headers and one acknowledgement for each segment.
    """
    request_bytes = request("GET", "/registry/instances?index=1000000&wait=2500", "127.0.0.1:5000")
    reply_bytes = http_answer(200, orjson.dumps(reply), b"Content-Type: application/json")
    header_bytes = sum(
        2 * IP_TCP_HEADER_BYTES * -(-len(data) // SEGMENT_BYTES) for data in (request_bytes, reply_bytes)
    )
    return len(request_bytes) + len(reply_bytes) + header_bytes


@dataclass(frozen=True, slots=True)
class UpdateTiming:
    """Time that the update with one list took: steps, the longest step and the total."""

    steps: int
    longest_ms: float
    total_ms: float


class ListReceiver:
    """A router host and its list processing, without a network."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        settings = Settings(classes=(RequestClass("fetch", NS_PER_S, 5 * NS_PER_S),))
        self.host = RouterHost(loop, settings, 1, Pool(loop, 100, 0.5, 10.0), 100)
        self._steps = ListSteps(StartTimes())

    def apply(self, reply: JsonObject) -> UpdateTiming:
        """Parse and apply one reply of discovery; the time of the parser counts for the first step."""
        data, steps_ms = orjson.dumps(reply), []
        started_at = time.thread_time()
        for listing in self._steps.changes(orjson.loads(data)):
            if listing is not None:
                self.host.servers_changed(listing)
            ended_at = time.thread_time()
            steps_ms.append((ended_at - started_at) * 1e3)
            started_at = ended_at
        return UpdateTiming(len(steps_ms), max(steps_ms), sum(steps_ms))


def _restart_changes(number: int) -> Iterator[JsonObject]:
    for lifecycle in ("draining", "removed", "up"):
        yield list_body([{**server_entry(number), "lifecycle": lifecycle, "startedAtMs": 6}], is_full=False)


def _read_server(number: int) -> Server:
    return read_entry(server_entry(number), StartTimes())[0]


@dataclass(frozen=True, slots=True)
class RowCosts:
    """Cost of the slots' rankings: microseconds for one row, bytes for all rows."""

    cold_us: float
    """First ranking."""
    behind_us: float
    """Next ranking after one server was removed and added."""
    warm_us: float
    """Ranking without a change of the list."""
    table_bytes: int
    rows_bytes: int


def measure_rows(servers: int, slots: int, vectors: bool) -> RowCosts:
    """Measure the ranking of all slots: first, without a change, and after the restart of a server."""
    settings = Settings(
        classes=(RequestClass("fetch", NS_PER_S, 5 * NS_PER_S),), slots=slots, vectors=vectors
    )
    gc.collect()
    tracemalloc.start()
    table = SlotTable(settings)
    table.update([_read_server(number) for number in range(servers)], [])
    table_bytes = tracemalloc.get_traced_memory()[0]
    for slot in range(slots):
        table.rank(slot, NS_PER_S)
    rows_bytes = tracemalloc.get_traced_memory()[0] - table_bytes
    tracemalloc.stop()

    warm_us = _rank_all_us(table, slots)
    table.update([], ["n0"])
    table.update([_read_server(0)], [])
    behind_us = _rank_all_us(table, slots)
    fresh_table = SlotTable(settings)
    fresh_table.update([_read_server(number) for number in range(servers)], [])
    return RowCosts(_rank_all_us(fresh_table, slots), behind_us, warm_us, table_bytes, rows_bytes)


def _rank_all_us(table: SlotTable, slots: int) -> float:
    started_at = time.thread_time()
    for slot in range(slots):
        table.rank(slot, NS_PER_S)
    return (time.thread_time() - started_at) * 1e6 / slots


def measure(
    loop: asyncio.AbstractEventLoop, servers: int, rounds: int, slots: int, vectors: bool
) -> JsonObject:
    """Return the figures for one number of servers."""
    first, changes, replaced = [], [], []
    full_list = list_body([server_entry(number) for number in range(servers)], is_full=True)
    other_list = list_body([server_entry(number) for number in range(servers, 2 * servers)], is_full=True)
    for _ in range(rounds):
        receiver = ListReceiver(loop)
        first.append(receiver.apply(full_list))
        changes += [receiver.apply(change) for change in _restart_changes(0)]
        replaced.append(receiver.apply(other_list))
    row_costs = [measure_rows(servers, slots, vectors) for _ in range(ROW_ROUNDS)]
    one_change = list_body([server_entry(0)], is_full=False)
    return {
        "servers": servers,
        "first_ms": _summary(first),
        "one_change_ms": _summary(changes),
        "all_replaced_ms": _summary(replaced),
        **{
            name: round(statistics.median(getattr(costs, name) for costs in row_costs), 2)
            for name in ("cold_us", "behind_us", "warm_us", "table_bytes", "rows_bytes")
        },
        "bytes_one_change": wire_bytes(one_change),
        "bytes_whole_list": wire_bytes(full_list),
        "bytes_no_news": wire_bytes(list_body([], is_full=False)),
        "load_average": load_average(),
    }


def _summary(timings: list[UpdateTiming]) -> dict[str, float]:
    return {
        "steps": timings[0].steps,
        "longest_best": round(min(timing.longest_ms for timing in timings), 3),
        "longest_median": round(statistics.median(timing.longest_ms for timing in timings), 3),
        "longest_worst": round(max(timing.longest_ms for timing in timings), 3),
        "whole_best": round(min(timing.total_ms for timing in timings), 3),
        "whole_median": round(statistics.median(timing.total_ms for timing in timings), 3),
    }


def fit_figure(table: list[JsonObject], name: str, part: str = "") -> dict[str, float]:
    """Return the line fit of a figure by the number of servers, and the largest distance from it."""
    points = [(float(row["servers"]), float(row[name][part] if part else row[name])) for row in table]
    line = fit_line(points)
    residual = line.largest_distance(points)
    return {"base": line.baseline, "slope": line.slope, "residual": residual}


def fleet_watch_bytes(servers: int) -> dict[str, float]:
    """Return the bytes of all watches on an ordinary day, for each router and for the fleet."""
    events = RESTARTS_PER_DAY * CHANGES_PER_RESTART
    change_bytes = wire_bytes(list_body([server_entry(0)], is_full=False))
    full_list_bytes = wire_bytes(list_body([server_entry(number) for number in range(servers)], is_full=True))
    return {
        "events_a_day": events,
        "changes_b_per_s_router": round(events * change_bytes / DAY_S, 2),
        "whole_lists_b_per_s_router": round(events * full_list_bytes / DAY_S, 2),
        "no_news_b_per_s_router": round(wire_bytes(list_body([], is_full=False)) / 2.5, 1),
        "changes_mb_a_day_fleet": round(events * change_bytes * FLEET_ROUTERS / 1e6),
        "whole_lists_gb_a_day_fleet": round(events * full_list_bytes * FLEET_ROUTERS / 1e9),
        "hour_of_680_changes_b_per_s_router": round(events * change_bytes / 3600, 1),
        "hour_of_680_whole_b_per_s_router": round(events * full_list_bytes / 3600, 1),
    }


async def _measure_all(sizes: list[int], rounds: int, slots: int, vectors: bool) -> None:
    loop, table = asyncio.get_running_loop(), []
    for size in sizes:
        table.append(measure(loop, size, rounds, slots, vectors))
        print(orjson.dumps(table[-1]).decode(), flush=True)
    for name, part in (
        ("first_ms", "whole_median"), ("all_replaced_ms", "whole_median"),
        ("one_change_ms", "whole_median"), ("cold_us", ""), ("behind_us", ""), ("table_bytes", ""),
        ("rows_bytes", ""), ("bytes_whole_list", ""),
    ):  # fmt: skip
        print(orjson.dumps({"fit": name, **fit_figure(table, name, part)}).decode())
    print(orjson.dumps(fleet_watch_bytes(680)).decode())


def main() -> int:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, action="append")
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--slots", type=int, default=2_048)
    parser.add_argument("--vectors", action="store_true", help="rank with numpy, as deploy/large-fleet.toml")
    arguments = parser.parse_args()
    if arguments.slots > MAX_ROWS:
        parser.error(f"at most {MAX_ROWS} rows are cached")
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)  # as in the router
    asyncio.run(
        _measure_all(
            arguments.servers or list(SERVER_COUNTS), arguments.rounds, arguments.slots, arguments.vectors
        )
    )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
