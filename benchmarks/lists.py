"""Measures how long a server list blocks the event loop, unsplit and in steps: `python -m benchmarks.lists`.

The time covers the work from the parsed list to the pool and the slot table, as in the router. The time of
the JSON parser is reported separately, as parsing can't be split.
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
from saltport.lifecycle.process import GC_THRESHOLD
from saltport.membership.listing import read_listing
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import ListSteps
from saltport.router.host import RouterHost
from saltport.upstream.pool import Pool

NS_PER_S = 1_000_000_000


def server_entry(number: int, weight: float = 1.0) -> dict[str, Any]:
    """Return the entry of one server in the format of discovery."""
    return {
        "instanceId": f"n{number}", "hostPort": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000",
        "zone": "a", "machineType": "std", "cell": 0, "lifecycle": "up", "weight": weight, "startedAtMs": 5,
    }  # fmt: skip


def _server_lists(size: int) -> dict[str, list[dict[str, Any]]]:
    first = [server_entry(number) for number in range(size)]
    return {
        "the first": first,
        "the same, other order": first[::-1],
        "every weight changed": [server_entry(number, 2.0) for number in range(size)],
        "all replaced": [server_entry(number) for number in range(size, 2 * size)],
    }


def _create_host(loop: asyncio.AbstractEventLoop) -> RouterHost:
    settings = Settings(classes=(RequestClass("fetch", NS_PER_S, 5 * NS_PER_S),), weighted=True)
    return RouterHost(loop, settings, 1, Pool(loop, 100, 0.5, 10.0), 100)


def _elapsed_ms(function: Callable[[], Any]) -> float:
    started_at = time.perf_counter()
    function()
    return (time.perf_counter() - started_at) * 1e3


async def measure(size: int) -> None:
    """Print a row for each list, with the longest time in milliseconds that the event loop was blocked."""
    loop = asyncio.get_running_loop()
    unsplit_host, stepped_host, start_times = _create_host(loop), _create_host(loop), StartTimes()
    steps = ListSteps(start_times)
    for name, entries in _server_lists(size).items():
        data = orjson.dumps({"generation": 1, "reset": True, "instances": entries})
        parse_ms = _elapsed_ms(lambda data=data: orjson.loads(data))  # type: ignore[misc]
        body = orjson.loads(data)
        unsplit_ms = _elapsed_ms(
            lambda body=body: unsplit_host.servers_changed(read_listing(body, start_times))  # type: ignore[misc]
        )
        step_ms = []
        changes = steps.changes(orjson.loads(data))
        while True:
            started_at = time.perf_counter()
            try:
                step = next(changes)
            except StopIteration:
                break
            if step is not None:
                stepped_host.servers_changed(step)
            step_ms.append((time.perf_counter() - started_at) * 1e3)
        print(
            f"{size:6} {name:22} whole {unsplit_ms:7.2f} ms; {len(step_ms):4} steps, "
            f"longest {max(step_ms):5.2f} ms, "
            f"together {sum(step_ms):7.2f} ms; JSON {parse_ms:5.2f} ms"
        )


async def _measure_all(sizes: list[int]) -> None:
    for size in sizes:
        await measure(size)


def main() -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, action="append")
    arguments = parser.parse_args()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)  # as in the router
    asyncio.run(_measure_all(arguments.nodes or [130, 1000, 5000]))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
