"""The server model without I/O: cache store, cores, cold start, duplicate writes."""

from __future__ import annotations

import random

from saltport.standins.model import (
    NS_PER_MS,
    ColdStartBudget,
    Cores,
    DuplicateFilter,
    LoadReport,
    LruStore,
    StoredObject,
    WarmUp,
)

NS_PER_S = 1000 * NS_PER_MS


def test_store_drops_what_was_used_longest_ago() -> None:
    store = LruStore(300)
    for key in ("a", "b", "c"):
        store.put(key, StoredObject(1, 100))
    store.get("a")
    store.put("d", StoredObject(1, 100))
    assert [key for key in "abcd" if store.get(key)] == ["a", "c", "d"]
    assert store.used == 300


def test_store_rejects_objects_over_its_capacity_and_drops_the_old_version() -> None:
    store = LruStore(300)
    store.put("a", StoredObject(1, 100))
    store.put("a", StoredObject(2, 301))
    assert store.get("a") is None
    assert (store.used, len(store)) == (0, 0)


def test_flush_takes_about_its_share() -> None:
    store = LruStore(1 << 20)
    for number in range(1000):
        store.put(str(number), StoredObject(1, 10))
    dropped = store.flush(0.5, random.Random(3))
    assert 400 < dropped < 600
    assert len(store) == 1000 - dropped


def test_cores_serve_in_order_and_turn_away_beyond_the_queue() -> None:
    cores = Cores(cores=2, queue=1)
    assert [cores.schedule(0, 10, 1.0) for _ in range(4)] == [
        10 * NS_PER_MS,
        10 * NS_PER_MS,
        20 * NS_PER_MS,
        None,
    ]
    assert cores.queue_length(0) == 1
    assert cores.queue_length(10 * NS_PER_MS) == 0
    assert cores.schedule(10 * NS_PER_MS, 10, 1.0) == 20 * NS_PER_MS


def test_cold_and_slow_cores_take_longer() -> None:
    assert Cores(1, 1).schedule(0, 10, 0.5) == 20 * NS_PER_MS
    slow = Cores(1, 1)
    slow.slowdown = 3.0
    assert slow.schedule(0, 10, 1.0) == 30 * NS_PER_MS


def test_warmth_rises_evenly() -> None:
    warmth = WarmUp(NS_PER_S, 0.4, 6 * NS_PER_S)
    assert [round(warmth.capacity_share(NS_PER_S * second), 2) for second in (0, 1, 4, 7, 9)] == [
        0.4,
        0.4,
        0.7,
        1.0,
        1.0,
    ]
    assert WarmUp(None, 0.4, 6 * NS_PER_S).capacity_share(0) == 1.0


def test_cold_budget_counts_a_window() -> None:
    budget = ColdStartBudget(cores=1, multiple=4, window_ns=2 * NS_PER_S)
    assert not budget.record_and_check(0, 3200, 0.4)  # 4 x 0.4 x 2 s
    assert budget.record_and_check(NS_PER_S, 1, 0.4)
    assert not budget.record_and_check(2 * NS_PER_S, 3000, 0.4)  # the first entry has left the window


def test_repeats_are_dropped_for_their_window_only() -> None:
    repeats = DuplicateFilter()
    assert not repeats.is_duplicate("k", 2 * NS_PER_S, 0)
    assert repeats.is_duplicate("k", 2 * NS_PER_S, NS_PER_S)
    assert not repeats.is_duplicate("k", 2 * NS_PER_S, 2 * NS_PER_S)
    assert repeats.is_duplicate("k", 2 * NS_PER_S, 3 * NS_PER_S)


def test_load_report_is_refreshed_once_per_period() -> None:
    report = LoadReport(100 * NS_PER_MS)
    first = report.text(0, 3)
    report.record_latency(80)
    assert report.text(99 * NS_PER_MS, 7) == first
    assert report.text(100 * NS_PER_MS, 7) == b"latency_ms=10.000,queue=7"


def test_crowding_lengthens_work_in_proportion_to_the_queue() -> None:
    plain, crowded = Cores(1, 10), Cores(1, 10, crowding=1.0)
    last = {name: [cores.schedule(0, 10.0, 1.0) for _ in range(11)][-1] for name, cores in
            (("plain", plain), ("crowded", crowded))}  # fmt: skip
    assert last["plain"] == 110 * NS_PER_MS
    assert last["crowded"] == 10 * NS_PER_MS + sum(int((10 + waiting) * NS_PER_MS) for waiting in range(10))
