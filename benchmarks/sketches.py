"""Sketches of the keys read most, against a plain dict and each other: `python -m benchmarks.sketches`.

Recall of the true top 20, cost of an update, memory, and how far an estimate is off, on Zipf streams over
a million keys, with a once-only scan at five times the load, and hostile; then decay against sliding panes
after the popular keys have changed. `pip install datasketches pyprobables heavykeeper` adds their rows.
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

KEYS = 1_000_000
TOP = 20
S = 1_000_000_000
GAP = S // 1000


class Sketch(Protocol):
    """What is measured."""

    def add(self, item: str, now: int) -> object:
        """Count an item."""

    def best(self) -> list[tuple[str, float]]:
        """The items seen most, most first, with their estimates."""


def _most(counts: Mapping[str, float]) -> list[tuple[str, float]]:
    return nlargest(TOP, counts.items(), key=lambda pair: pair[1])


class Counting:
    """What keeps its counts in a dict."""

    _counts: Mapping[str, float]

    def best(self) -> list[tuple[str, float]]:
        """The items seen most."""
        return _most(self._counts)


class Plain(Counting):
    """A dict of all keys: exact, and as large as they are many."""

    def __init__(self, capacity: int) -> None:
        self._counts: dict[str, float] = {}

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        self._counts[item] = self._counts.get(item, 0.0) + 1


class Halved(Counting):
    """As the load of slots is counted: all halved each 1,024 requests, single counts dropped."""

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


class Decayed:
    """The one that is used."""

    def __init__(self, capacity: int, memory: int = 1 << 50) -> None:
        self._items = FrequentItems(capacity, memory)
        self.add = self._items.add

    def best(self) -> list[tuple[str, float]]:
        """The items seen most."""
        return self._items.top(TOP)


class SpaceSaving(Counting):
    """Metwally, Agrawal, El Abbadi 2005, with the stream summary: keys in buckets by count."""

    def __init__(self, capacity: int) -> None:
        self._capacity = 2 * capacity
        self._counts: dict[str, int] = {}
        self._buckets: dict[int, dict[str, None]] = {}
        self._least = 1

    def add(self, item: str, now: int) -> None:
        """Count an item; one that is not held takes the place of one with the least count."""
        counts, buckets = self._counts, self._buckets
        count = counts.get(item)
        if count is None:
            count = 0
            if len(counts) >= self._capacity:
                while not buckets.get(self._least):
                    buckets.pop(self._least, None)
                    self._least += 1
                count = self._least
                old = next(iter(buckets[count]))
                del buckets[count][old], counts[old]
            else:
                self._least = 1
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
    """Apache DataSketches' frequent items, from its wheel."""

    def __init__(self, capacity: int) -> None:
        self._lib: Any = importlib.import_module("datasketches")
        self._items = self._lib.frequent_strings_sketch(max((2 * capacity).bit_length(), 4))

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        self._items.update(item)

    def best(self) -> list[tuple[str, float]]:
        """The items seen most."""
        kind = self._lib.frequent_items_error_type.NO_FALSE_NEGATIVES
        held = self._items.get_frequent_items(kind, 0)
        return [(entry[0], float(entry[1])) for entry in held[:TOP]]


class Probables:
    """pyprobables' heavy hitters over a count-min sketch."""

    def __init__(self, capacity: int) -> None:
        lib: Any = importlib.import_module("probables")
        self._items = lib.HeavyHitters(num_hitters=2 * TOP, width=4 * capacity, depth=4)

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        self._items.add(item)

    def best(self) -> list[tuple[str, float]]:
        """The items seen most."""
        return _most(self._items.heavy_hitters)


class RustKeeper:
    """The wheel `heavykeeper`."""

    def __init__(self, capacity: int) -> None:
        lib: Any = importlib.import_module("heavykeeper")
        self._items = lib.HeavyKeeper(2 * TOP, 4 * capacity, 2, 0.9)

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        self._items.add(item)

    def best(self) -> list[tuple[str, float]]:
        """The items seen most."""
        return [(str(key), float(count)) for key, count in self._items.list()[:TOP]]


KINDS: dict[str, Callable[[int], Sketch]] = {
    "plain dict": Plain, "dict, halved": Halved, "frequent items, decayed": Decayed,
    "Space-Saving": SpaceSaving,
    "datasketches (library)": DataSketches, "pyprobables (library)": Probables,
    "heavykeeper (library)": RustKeeper,
}  # fmt: skip


def zipf(exponent: float, count: int, seed: int) -> Iterator[str]:
    """A stream of keys by their popularity."""
    rng = random.Random(seed)
    weights = list(accumulate(1 / (rank + 1) ** exponent for rank in range(KEYS)))
    for _ in range(count):
        yield f"pkg-{bisect(weights, rng.random() * weights[-1]):06d}/1.0"


def scanned(count: int, seed: int) -> Iterator[str]:
    """Zipf 1.0 among five times as many keys that are asked for once."""
    rng, number = random.Random(seed), 0
    for key in zipf(1.0, count // 6, seed):
        for _ in range(5):
            number += 1
            yield f"once-{seed}-{number}"
        yield key
    rng.random()


def hostile(count: int, seed: int) -> Iterator[str]:
    """Keys in runs that each just fail to be frequent, between reads of twenty that are."""
    rng = random.Random(seed)
    for step in range(count):
        yield f"true-{rng.randrange(TOP)}" if step % 10 == 0 else f"run-{step // 40}"


def recall(held: Sketch, true: Counter[str]) -> float:
    """The part of the true top that is told; keys that tie with the last one count as well."""
    last = true.most_common(TOP)[-1][1]
    return sum(true[key] >= last for key, _ in held.best()[:TOP]) / TOP


def off(held: Sketch, true: Counter[str]) -> float:
    """The greatest error of an estimate told, as a part of all items."""
    total = true.total()
    return max((abs(estimate - true[key]) / total for key, estimate in held.best()[:TOP]), default=1.0)


def measure(kind: str, capacity: int, streams: Sequence[list[str]]) -> dict[str, Any] | None:
    """Mean recall over the streams, the worst error, and the cost of the last one."""
    recalls, errors, took = [], [], 0.0
    try:
        for stream in streams:
            held = KINDS[kind](capacity)
            add, now = held.add, S
            begun = time.perf_counter()
            for item in stream:
                now += GAP
                add(item, now)
            took = (time.perf_counter() - begun) / len(stream)
            true = Counter(stream)
            recalls.append(recall(held, true))
            errors.append(off(held, true))
        tracemalloc.start()
        held, now = KINDS[kind](capacity), S
        for item in map(str.upper, streams[-1]):  # new strings, so that those it keeps count
            now += GAP
            held.add(item, now)
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
    except ImportError:
        return None
    return {"kind": kind, "recall": sum(recalls) / len(recalls), "worst": min(recalls), "off": max(errors),
            "us": took * 1e6, "kib": size / 1024}  # fmt: skip


class Panes:
    """The other way to forget: counts of this pane and the one before, by the same sketch."""

    def __init__(self, capacity: int, pane: int) -> None:
        self._capacity, self._pane, self._since = capacity, pane, 0
        self._now, self._old = FrequentItems(capacity, 1 << 50), FrequentItems(capacity, 1 << 50)

    def add(self, item: str, now: int) -> None:
        """Count an item."""
        if now - self._since >= self._pane:
            self._old, self._now, self._since = self._now, FrequentItems(self._capacity, 1 << 50), now
        self._now.add(item, now)

    def best(self) -> list[tuple[str, float]]:
        """The items seen most in both panes."""
        both: dict[str, float] = {}
        for items in (self._now, self._old):
            for key, count in items.top(2 * TOP):
                both[key] = both.get(key, 0.0) + count
        return _most(both)


def after_change(make: Callable[[], Sketch], seed: int) -> float:
    """Seconds until 18 of 20 keys told are new ones, after all keys have changed at 1,000 a second."""
    held, now = make(), S
    for key in zipf(1.2, 60_000, seed):
        now += GAP
        held.add(key, now)
    begun = now
    for key in zipf(1.2, 60_000, seed + 1):
        now += GAP
        held.add("new-" + key, now)
        if (now - begun) % (S // 10) == 0 and sum(k.startswith("new-") for k, _ in held.best()) >= 18:
            return (now - begun) / S
    return math.inf


def main() -> int:
    """Run it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--capacity", type=int, default=1024)
    parser.add_argument("--items", type=int, default=300_000)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    makers: dict[str, Callable[[int, int], Iterator[str]]] = {
        f"Zipf {exponent}": lambda count, seed, e=exponent: zipf(e, count, seed)  # type: ignore[misc]
        for exponent in (0.8, 1.0, 1.2, 1.4)
    }
    makers |= {"scan x5": scanned, "hostile": hostile}
    rows = []
    out = sys.stderr if told.json else sys.stdout
    for name, make in makers.items():
        streams = [list(make(told.items, seed)) for seed in range(told.seeds)]
        print(f"{name}: {told.items} items, {told.seeds} seeds, capacity {told.capacity}", file=out)
        print("  kind                      recall  worst  off/total  us/update      KiB", file=out)
        for kind in KINDS:
            row = measure(kind, told.capacity, streams)
            if row is None:
                continue
            rows.append({"stream": name, **row})
            print(
                f"  {kind:25} {row['recall']:6.3f} {row['worst']:6.2f} {row['off']:10.5f} "
                f"{row['us']:10.2f} {row['kib']:8.0f}", file=out, flush=True,
            )  # fmt: skip
    memory = 10 * S
    changes = {
        "decay of 10 s": [after_change(lambda: Decayed(told.capacity, memory), s) for s in range(told.seeds)],
        "panes of 10 s": [after_change(lambda: Panes(told.capacity, memory), s) for s in range(told.seeds)],
    }
    for kind, seconds in changes.items():
        shown = ", ".join(f"{value:.1f}" for value in seconds)
        print(f"all popular keys changed: {kind}: {shown} s until 18 of 20 are told", file=out)
    if told.json:
        print(orjson.dumps({"rows": rows, "changes": changes}).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
