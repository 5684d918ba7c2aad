"""What a change of the server list costs a router, by the number of servers.

    python -m benchmarks.scale.slot_table [--vectors]

From the parsed list to the pool and the slot table, in steps as the router takes it. Measured: the first
list, one server that restarts (drains, goes, comes), all replaced, and what the slots' rows pay when they
are next asked for; memory by tracemalloc; the bytes of a watch's answer, for one change and for the whole
list. Times are the thread's own on the processor: the best, the median and the worst of the rounds, passes
of the garbage collector included.
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

from benchmarks.lists import S, _entry
from benchmarks.scale.fit import fit
from benchmarks.scale.stand_ins import machine_load
from saltport.decisions import RequestClass, Server, Settings
from saltport.decisions.table import SlotTable
from saltport.membership.listing import read_entry
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import ListSteps
from saltport.router.__main__ import GC_THRESHOLD
from saltport.router.host import RouterHost
from saltport.standins.spoil import http_answer
from saltport.structures.slot_rankings import MAX_ROWS
from saltport.upstream.pool import Pool
from saltport.wire.http import request

SIZES = (25, 100, 400, 680, 1_600)
ROW_ROUNDS = 3
ROUTERS, RESTARTS_A_DAY, CHANGES_PER_RESTART = 1_600, 680, 3
"""A server that restarts is told as draining, gone, and ready."""
DAY_S = 86_400
IP_TCP_HEAD, SEGMENT = 52, 1_448
"""Bytes of IPv4's and TCP's heads with time stamps, and of what a segment carries beside them."""

Body = dict[str, Any]


def body(entries: list[Body], whole: bool) -> Body:
    """A list in discovery's form."""
    return {"generation": 1_000_000, "reset": whole, "instances": entries}


def wire_bytes(told: Body) -> int:
    """One call of a watch and its answer, with the heads of IP and TCP and an acknowledgement for each."""
    asked = request("GET", "/registry/instances?index=1000000&wait=2500", "127.0.0.1:5000")
    answer = http_answer(200, orjson.dumps(told), b"Content-Type: application/json")
    heads = sum(2 * IP_TCP_HEAD * -(-len(data) // SEGMENT) for data in (asked, answer))
    return len(asked) + len(answer) + heads


@dataclass(frozen=True, slots=True)
class Hold:
    """What taking a list took, in milliseconds."""

    steps: int
    longest_ms: float
    whole_ms: float


class Taker:
    """A router's list and host, without a network."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        settings = Settings(classes=(RequestClass("fetch", S, 5 * S),))
        self.host = RouterHost(loop, settings, 1, Pool(loop, 100, 0.5, 10.0), 100)
        self._steps = ListSteps(StartTimes())

    def take(self, told: Body) -> Hold:
        """Take one answer of discovery from its bytes; the parser's time belongs to the first step."""
        data, holds = orjson.dumps(told), []
        begin = time.thread_time()
        for listing in self._steps.changes(orjson.loads(data)):
            if listing is not None:
                self.host.servers_changed(listing)
            end = time.thread_time()
            holds.append((end - begin) * 1e3)
            begin = end
        return Hold(len(holds), max(holds), sum(holds))


def _restart(number: int) -> Iterator[Body]:
    for lifecycle in ("draining", "removed", "up"):
        yield body([{**_entry(number), "lifecycle": lifecycle, "startedAtMs": 6}], whole=False)


def _server(number: int) -> Server:
    return read_entry(_entry(number), StartTimes())[0]


@dataclass(frozen=True, slots=True)
class Rows:
    """What the slots' rows cost, in microseconds for one of them and bytes for all."""

    cold_us: float
    behind_us: float
    """Asked for again after one server has gone and come."""
    warm_us: float
    table_bytes: int
    rows_bytes: int


def rows(servers: int, slots: int, vectors: bool) -> Rows:
    """Rank every slot of a table anew, after a restart, and once more."""
    settings = Settings(classes=(RequestClass("fetch", S, 5 * S),), slots=slots, vectors=vectors)
    gc.collect()
    tracemalloc.start()
    table = SlotTable(settings)
    table.update([_server(number) for number in range(servers)], [])
    of_table = tracemalloc.get_traced_memory()[0]
    for slot in range(slots):
        table.rank(slot, S)
    of_rows = tracemalloc.get_traced_memory()[0] - of_table
    tracemalloc.stop()

    warm = _rank_all_us(table, slots)
    table.update([], ["n0"])
    table.update([_server(0)], [])
    behind = _rank_all_us(table, slots)
    fresh = SlotTable(settings)
    fresh.update([_server(number) for number in range(servers)], [])
    return Rows(_rank_all_us(fresh, slots), behind, warm, of_table, of_rows)


def _rank_all_us(table: SlotTable, slots: int) -> float:
    begin = time.thread_time()
    for slot in range(slots):
        table.rank(slot, S)
    return (time.thread_time() - begin) * 1e6 / slots


def measure(loop: asyncio.AbstractEventLoop, servers: int, rounds: int, slots: int, vectors: bool) -> Body:
    """One size."""
    first, single, replaced = [], [], []
    whole = body([_entry(number) for number in range(servers)], whole=True)
    other = body([_entry(number) for number in range(servers, 2 * servers)], whole=True)
    for _ in range(rounds):
        taker = Taker(loop)
        first.append(taker.take(whole))
        single += [taker.take(change) for change in _restart(0)]
        replaced.append(taker.take(other))
    ranked = [rows(servers, slots, vectors) for _ in range(ROW_ROUNDS)]
    one = body([_entry(0)], whole=False)
    return {
        "servers": servers,
        "first_ms": _summary(first), "one_change_ms": _summary(single), "all_replaced_ms": _summary(replaced),
        **{
            name: round(statistics.median(getattr(each, name) for each in ranked), 2)
            for name in ("cold_us", "behind_us", "warm_us", "table_bytes", "rows_bytes")
        },
        "bytes_one_change": wire_bytes(one), "bytes_whole_list": wire_bytes(whole),
        "bytes_no_news": wire_bytes(body([], whole=False)), "load_average": machine_load(),
    }  # fmt: skip


def _summary(holds: list[Hold]) -> dict[str, float]:
    return {
        "steps": holds[0].steps,
        "longest_best": round(min(hold.longest_ms for hold in holds), 3),
        "longest_median": round(statistics.median(hold.longest_ms for hold in holds), 3),
        "longest_worst": round(max(hold.longest_ms for hold in holds), 3),
        "whole_best": round(min(hold.whole_ms for hold in holds), 3),
        "whole_median": round(statistics.median(hold.whole_ms for hold in holds), 3),
    }


def fitted(table: list[Body], name: str, part: str = "") -> dict[str, float]:
    """The least-squares line of a figure over the number of servers, and the largest distance from it."""
    points = [(float(row["servers"]), float(row[name][part] if part else row[name])) for row in table]
    line = fit(points)
    residual = line.largest_distance(points)
    return {"base": line.baseline, "slope": line.slope, "residual": residual}


def fleet_watch(servers: int) -> dict[str, float]:
    """Bytes of the watches at the fleet's size, for each router and from discovery, on an ordinary day."""
    events = RESTARTS_A_DAY * CHANGES_PER_RESTART
    one = wire_bytes(body([_entry(0)], whole=False))
    whole = wire_bytes(body([_entry(number) for number in range(servers)], whole=True))
    return {
        "events_a_day": events,
        "changes_b_per_s_router": round(events * one / DAY_S, 2),
        "whole_lists_b_per_s_router": round(events * whole / DAY_S, 2),
        "no_news_b_per_s_router": round(wire_bytes(body([], whole=False)) / 2.5, 1),
        "changes_mb_a_day_fleet": round(events * one * ROUTERS / 1e6),
        "whole_lists_gb_a_day_fleet": round(events * whole * ROUTERS / 1e9),
        "hour_of_680_changes_b_per_s_router": round(events * one / 3600, 1),
        "hour_of_680_whole_b_per_s_router": round(events * whole / 3600, 1),
    }


async def _all(sizes: list[int], rounds: int, slots: int, vectors: bool) -> None:
    loop, table = asyncio.get_running_loop(), []
    for size in sizes:
        table.append(measure(loop, size, rounds, slots, vectors))
        print(orjson.dumps(table[-1]).decode(), flush=True)
    for name, part in (
        ("first_ms", "whole_median"), ("all_replaced_ms", "whole_median"),
        ("one_change_ms", "whole_median"), ("cold_us", ""), ("behind_us", ""), ("table_bytes", ""),
        ("rows_bytes", ""), ("bytes_whole_list", ""),
    ):  # fmt: skip
        print(orjson.dumps({"fit": name, **fitted(table, name, part)}).decode())
    print(orjson.dumps(fleet_watch(680)).decode())


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, action="append")
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--slots", type=int, default=2_048)
    parser.add_argument("--vectors", action="store_true", help="rank with numpy, as deploy/large-fleet.toml")
    told = parser.parse_args()
    if told.slots > MAX_ROWS:
        parser.error(f"at most {MAX_ROWS} rows are kept")
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)  # as the router has it
    asyncio.run(_all(told.servers or list(SIZES), told.rounds, told.slots, told.vectors))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
