"""Compares sketches of the most frequent keys with a dict and each other: `python -m benchmarks.sketches`.

Measured are the recall of the true top 20, the time of an update, the memory and the error of estimates. The
streams are Zipf distributed over a million keys, mixed with a scan of five times as many keys that occur
once, or adversarial. Then decay is compared with sliding panes after the popular keys have changed. `pip
install datasketches pyprobables heavykeeper` adds rows for these libraries.
"""

from __future__ import annotations

import argparse
import importlib
import math
import random
import sys
import time
import tracemalloc
from bisect import bisect
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from heapq import nlargest
from itertools import accumulate
from typing import Any, Protocol

import orjson

from saltport.structures.frequent_items import FrequentItems

KEY_COUNT = 1_000_000
TOP_COUNT = 20
NS_PER_S = 1_000_000_000
REQUEST_INTERVAL_NS = NS_PER_S // 1000


class Sketch(Protocol):
    """A sketch of the most frequent items of a stream."""

    def add(self, item: str, now: int) -> object:
        """Count an item."""

    def top_items(self) -> list[tuple[str, float]]:
        """Return the TOP_COUNT most frequent items in descending order, with their estimated counts."""


def _largest_counts(counts: Mapping[str, float]) -> list[tuple[str, float]]:
    """Return the TOP_COUNT items with the largest counts, in descending order."""
    return nlargest(TOP_COUNT, counts.items(), key=lambda pair: pair[1])


class DictSketch:
    """Base of sketches whose counts are in a dict."""

    _counts: Mapping[str, float]

    def top_items(self) -> list[tuple[str, float]]:
        """Return the TOP_COUNT most frequent items in descending order, with their estimated counts."""
        return _largest_counts(self._counts)


class ExactCounts(DictSketch):
    """Exact counts of all keys in a dict, whose size grows with the number of keys."""

    def __init__(self, capacity: int) -> None:
        self._counts: dict[str, float] = {}

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        self._counts[item] = self._counts.get(item, 0.0) + 1


class HalvedCounts(DictSketch):
    """Counts that are halved every 1,024 requests, as for the load of slots; single counts are dropped."""

    def __init__(self, capacity: int) -> None:
        self._counts: dict[str, float] = {}
        self._total = 0.0

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        self._counts[item] = self._counts.get(item, 0.0) + 1
        self._total += 1
        if self._total >= 1024:
            self._counts = {key: count / 2 for key, count in self._counts.items() if count > 1}
            self._total = sum(self._counts.values())


class DecayedCounts:
    """The sketch that the router uses: frequent items with decay."""

    def __init__(self, capacity: int, memory: int = 1 << 50) -> None:
        self._items = FrequentItems(capacity, memory)
        self.add = self._items.add

    def top_items(self) -> list[tuple[str, float]]:
        """Return the TOP_COUNT most frequent items in descending order, with their estimated counts."""
        return self._items.top(TOP_COUNT)


class SpaceSaving(DictSketch):
    """Space-Saving (Metwally, Agrawal, El Abbadi 2005) with a stream summary: keys in buckets by count."""

    def __init__(self, capacity: int) -> None:
        self._capacity = 2 * capacity
        self._counts: dict[str, int] = {}
        self._buckets: dict[int, dict[str, None]] = {}
        self._min_count = 1

    def add(self, item: str, now: int) -> None:
        """Count an item; a new item replaces one with the least count if the sketch is full."""
        counts, buckets = self._counts, self._buckets
        count = counts.get(item)
        if count is None:
            count = 0
            if len(counts) >= self._capacity:
                while not buckets.get(self._min_count):
                    buckets.pop(self._min_count, None)
                    self._min_count += 1
                count = self._min_count
                evicted = next(iter(buckets[count]))
                del buckets[count][evicted], counts[evicted]
            else:
                self._min_count = 1
        else:
            del buckets[count][item]
            if not buckets[count]:
                del buckets[count]
        counts[item] = count + 1
        bucket = buckets.get(count + 1)
        if bucket is None:
            bucket = buckets[count + 1] = {}
        bucket[item] = None


class DataSketches:
    """The frequent-items sketch of the package `datasketches` (Apache DataSketches)."""

    def __init__(self, capacity: int) -> None:
        self._lib: Any = importlib.import_module("datasketches")
        self._items = self._lib.frequent_strings_sketch(max((2 * capacity).bit_length(), 4))

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        self._items.update(item)

    def top_items(self) -> list[tuple[str, float]]:
        """Return the TOP_COUNT most frequent items in descending order, with their estimated counts."""
        error_type = self._lib.frequent_items_error_type.NO_FALSE_NEGATIVES
        frequent_items = self._items.get_frequent_items(error_type, 0)
        return [(entry[0], float(entry[1])) for entry in frequent_items[:TOP_COUNT]]


class Probables:
    """Heavy hitters over a count-min sketch, from the package `pyprobables`."""

    def __init__(self, capacity: int) -> None:
        lib: Any = importlib.import_module("probables")
        self._items = lib.HeavyHitters(num_hitters=2 * TOP_COUNT, width=4 * capacity, depth=4)

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        self._items.add(item)

    def top_items(self) -> list[tuple[str, float]]:
        """Return the TOP_COUNT most frequent items in descending order, with their estimated counts."""
        return _largest_counts(self._items.heavy_hitters)


class RustKeeper:
    """The HeavyKeeper sketch of the package `heavykeeper`."""

    def __init__(self, capacity: int) -> None:
        lib: Any = importlib.import_module("heavykeeper")
        self._items = lib.HeavyKeeper(2 * TOP_COUNT, 4 * capacity, 2, 0.9)

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        self._items.add(item)

    def top_items(self) -> list[tuple[str, float]]:
        """Return the TOP_COUNT most frequent items in descending order, with their estimated counts."""
        return [(str(key), float(count)) for key, count in self._items.list()[:TOP_COUNT]]


SKETCHES: dict[str, Callable[[int], Sketch]] = {
    "plain dict": ExactCounts, "dict, halved": HalvedCounts, "frequent items, decayed": DecayedCounts,
    "Space-Saving": SpaceSaving,
    "datasketches (library)": DataSketches, "pyprobables (library)": Probables,
    "heavykeeper (library)": RustKeeper,
}  # fmt: skip


def zipf_stream(exponent: float, count: int, seed: int) -> Iterator[str]:
    """Yield keys with Zipf-distributed popularity."""
    rng = random.Random(seed)
    weights = list(accumulate(1 / (rank + 1) ** exponent for rank in range(KEY_COUNT)))
    for _ in range(count):
        yield f"pkg-{bisect(weights, rng.random() * weights[-1]):06d}/1.0"


def scan_stream(count: int, seed: int) -> Iterator[str]:
    """Yield keys with Zipf exponent 1.0, and five times as many keys that occur once."""
    rng, number = random.Random(seed), 0
    for key in zipf_stream(1.0, count // 6, seed):
        for _ in range(5):
            number += 1
            yield f"once-{seed}-{number}"
        yield key
    rng.random()


def hostile_stream(count: int, seed: int) -> Iterator[str]:
    """Yield runs of keys that are just too rare to be frequent, mixed with twenty frequent keys."""
    rng = random.Random(seed)
    for step in range(count):
        yield f"true-{rng.randrange(TOP_COUNT)}" if step % 10 == 0 else f"run-{step // 40}"


def recall(sketch: Sketch, counts: Counter[str]) -> float:
    """Return the share of the true top keys that the sketch reports; ties with the last one count."""
    min_count = counts.most_common(TOP_COUNT)[-1][1]
    return sum(counts[key] >= min_count for key, _ in sketch.top_items()[:TOP_COUNT]) / TOP_COUNT


def estimate_error(sketch: Sketch, counts: Counter[str]) -> float:
    """Return the largest error of a reported estimate, as a share of all items."""
    total = counts.total()
    return max(
        (abs(estimate - counts[key]) / total for key, estimate in sketch.top_items()[:TOP_COUNT]), default=1.0
    )


def measure(kind: str, capacity: int, streams: Sequence[list[str]]) -> dict[str, Any] | None:
    """Return recall and error over the streams, and time and memory for the last one.

    Return None where the library of the sketch is not installed.
    """
    recalls, errors, update_s = [], [], 0.0
    try:
        for stream in streams:
            sketch = SKETCHES[kind](capacity)
            add, now = sketch.add, NS_PER_S
            started_at = time.perf_counter()
            for item in stream:
                now += REQUEST_INTERVAL_NS
                add(item, now)
            update_s = (time.perf_counter() - started_at) / len(stream)
            counts = Counter(stream)
            recalls.append(recall(sketch, counts))
            errors.append(estimate_error(sketch, counts))
        tracemalloc.start()
        sketch, now = SKETCHES[kind](capacity), NS_PER_S
        for item in map(str.upper, streams[-1]):  # new strings, so that the memory of stored ones is counted
            now += REQUEST_INTERVAL_NS
            sketch.add(item, now)
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
    except ImportError:
        return None
    return {"kind": kind, "recall": sum(recalls) / len(recalls), "worst": min(recalls), "off": max(errors),
            "us": update_s * 1e6, "kib": size / 1024}  # fmt: skip


class SlidingPanes:
    """An alternative to decay: the same sketch for the current and the previous time window (pane)."""

    def __init__(self, capacity: int, pane_ns: int) -> None:
        self._capacity, self._pane_ns, self._pane_started_at = capacity, pane_ns, 0
        self._current, self._previous = FrequentItems(capacity, 1 << 50), FrequentItems(capacity, 1 << 50)

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        if now - self._pane_started_at >= self._pane_ns:
            self._previous, self._current, self._pane_started_at = (
                self._current,
                FrequentItems(self._capacity, 1 << 50),
                now,
            )
        self._current.add(item, now)

    def top_items(self) -> list[tuple[str, float]]:
        """Return the TOP_COUNT most frequent items of the current and the previous time window together.

        They are in descending order, with their estimated counts.
        """
        totals: dict[str, float] = {}
        for items in (self._current, self._previous):
            for key, count in items.top(2 * TOP_COUNT):
                totals[key] = totals.get(key, 0.0) + count
        return _largest_counts(totals)


def seconds_after_change(create_sketch: Callable[[], Sketch], seed: int) -> float:
    """Return the seconds until 18 of the 20 top keys are new, after all keys changed at 1,000 a second."""
    sketch, now = create_sketch(), NS_PER_S
    for key in zipf_stream(1.2, 60_000, seed):
        now += REQUEST_INTERVAL_NS
        sketch.add(key, now)
    changed_at = now
    for key in zipf_stream(1.2, 60_000, seed + 1):
        now += REQUEST_INTERVAL_NS
        sketch.add("new-" + key, now)
        if (now - changed_at) % (NS_PER_S // 10) == 0 and sum(
            k.startswith("new-") for k, _ in sketch.top_items()
        ) >= 18:
            return (now - changed_at) / NS_PER_S
    return math.inf


def main() -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--capacity", type=int, default=1024)
    parser.add_argument("--items", type=int, default=300_000)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    streams_by_name: dict[str, Callable[[int, int], Iterator[str]]] = {
        f"Zipf {exponent}": lambda count, seed, e=exponent: zipf_stream(e, count, seed)  # type: ignore[misc]
        for exponent in (0.8, 1.0, 1.2, 1.4)
    }
    streams_by_name |= {"scan x5": scan_stream, "hostile": hostile_stream}
    rows = []
    output = sys.stderr if arguments.json else sys.stdout
    for name, create_stream in streams_by_name.items():
        streams = [list(create_stream(arguments.items, seed)) for seed in range(arguments.seeds)]
        print(
            f"{name}: {arguments.items} items, {arguments.seeds} seeds, capacity {arguments.capacity}",
            file=output,
        )
        print("  kind                      recall  worst  off/total  us/update      KiB", file=output)
        for kind in SKETCHES:
            row = measure(kind, arguments.capacity, streams)
            if row is None:
                continue
            rows.append({"stream": name, **row})
            print(
                f"  {kind:25} {row['recall']:6.3f} {row['worst']:6.2f} {row['off']:10.5f} "
                f"{row['us']:10.2f} {row['kib']:8.0f}", file=output, flush=True,
            )  # fmt: skip
    memory_ns = 10 * NS_PER_S
    changes = {
        "decay of 10 s": [
            seconds_after_change(lambda: DecayedCounts(arguments.capacity, memory_ns), s)
            for s in range(arguments.seeds)
        ],
        "panes of 10 s": [
            seconds_after_change(lambda: SlidingPanes(arguments.capacity, memory_ns), s)
            for s in range(arguments.seeds)
        ],
    }
    for kind, seconds in changes.items():
        seconds_text = ", ".join(f"{value:.1f}" for value in seconds)
        print(
            f"all popular keys changed: {kind}: {seconds_text} s until 18 of 20 reported keys are new",
            file=output,
        )
    if arguments.json:
        print(orjson.dumps({"rows": rows, "changes": changes}).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
