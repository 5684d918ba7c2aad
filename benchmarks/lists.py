"""How long a list of servers holds the loop, whole and in steps: `python -m benchmarks.lists`.

From the parsed list to the pool and the slot table, as the router does it; the JSON parser's own time is
shown beside it, as that can't be cut.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import time
from collections.abc import Callable
from typing import Any

import orjson

from saltport.decisions import RequestClass, Settings
from saltport.membership.listing import read_listing
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import ListSteps
from saltport.router.__main__ import GC_THRESHOLD
from saltport.router.host import RouterHost
from saltport.upstream.pool import Pool

S = 1_000_000_000


def _entry(number: int, weight: float = 1.0) -> dict[str, Any]:
    return {
        "instanceId": f"n{number}", "hostPort": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000",
        "zone": "a", "machineType": "std", "cell": 0, "lifecycle": "up", "weight": weight, "startedAtMs": 5,
    }  # fmt: skip


def _lists(size: int) -> dict[str, list[dict[str, Any]]]:
    first = [_entry(number) for number in range(size)]
    return {
        "the first": first,
        "the same, other order": first[::-1],
        "every weight changed": [_entry(number, 2.0) for number in range(size)],
        "all replaced": [_entry(number) for number in range(size, 2 * size)],
    }


def _host(loop: asyncio.AbstractEventLoop) -> RouterHost:
    settings = Settings(classes=(RequestClass("fetch", S, 5 * S),), weighted=True)
    return RouterHost(loop, settings, 1, Pool(loop, 100, 0.5, 10.0), 100)


def _timed(work: Callable[[], Any]) -> float:
    begin = time.perf_counter()
    work()
    return (time.perf_counter() - begin) * 1e3


async def measure(size: int) -> None:
    """Print a row for each list, with the longest hold in milliseconds."""
    loop = asyncio.get_running_loop()
    whole, stepped, clock = _host(loop), _host(loop), StartTimes()
    steps = ListSteps(clock)
    for name, entries in _lists(size).items():
        data = orjson.dumps({"generation": 1, "reset": True, "instances": entries})
        parse = _timed(lambda data=data: orjson.loads(data))  # type: ignore[misc]
        body = orjson.loads(data)
        at_once = _timed(lambda body=body: whole.servers_changed(read_listing(body, clock)))  # type: ignore[misc]
        holds = []
        changes = steps.changes(orjson.loads(data))
        while True:
            begin = time.perf_counter()
            try:
                step = next(changes)
            except StopIteration:
                break
            if step is not None:
                stepped.servers_changed(step)
            holds.append((time.perf_counter() - begin) * 1e3)
        print(
            f"{size:6} {name:22} whole {at_once:7.2f} ms; {len(holds):4} steps, "
            f"longest {max(holds):5.2f} ms, "
            f"together {sum(holds):7.2f} ms; JSON {parse:5.2f} ms"
        )


async def _all(sizes: list[int]) -> None:
    for size in sizes:
        await measure(size)


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, action="append")
    told = parser.parse_args()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)  # as the router has it
    asyncio.run(_all(told.nodes or [130, 1000, 5000]))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
