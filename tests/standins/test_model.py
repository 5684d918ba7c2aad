"""What stand-ins decide without I/O: stores, cores, cold starts, repeats."""

from __future__ import annotations

import random

from saltport.standins.model import MS, ColdBudget, Cores, Kept, LoadReport, LruStore, Repeats, Warmth

S = 1000 * MS


def test_store_drops_what_was_used_longest_ago() -> None:
    store = LruStore(300)
    for key in ("a", "b", "c"):
        store.put(key, Kept(1, 100))
    store.get("a")
    store.put("d", Kept(1, 100))
    assert [key for key in "abcd" if store.get(key)] == ["a", "c", "d"]
    assert store.used == 300


def test_store_keeps_nothing_larger_than_itself_and_drops_the_old_version() -> None:
    store = LruStore(300)
    store.put("a", Kept(1, 100))
    store.put("a", Kept(2, 301))
    assert store.get("a") is None
    assert (store.used, len(store)) == (0, 0)


def test_flush_takes_about_its_share() -> None:
    store = LruStore(1 << 20)
    for number in range(1000):
        store.put(str(number), Kept(1, 10))
    dropped = store.flush(0.5, random.Random(3))
    assert 400 < dropped < 600
    assert len(store) == 1000 - dropped


def test_cores_serve_in_order_and_turn_away_beyond_the_queue() -> None:
    cores = Cores(cores=2, queue=1)
    assert [cores.take(0, 10, 1.0) for _ in range(4)] == [10 * MS, 10 * MS, 20 * MS, None]
    assert cores.waiting(0) == 1
    assert cores.waiting(10 * MS) == 0
    assert cores.take(10 * MS, 10, 1.0) == 20 * MS


def test_cold_and_slow_cores_take_longer() -> None:
    assert Cores(1, 1).take(0, 10, 0.5) == 20 * MS
    slow = Cores(1, 1)
    slow.slow = 3.0
    assert slow.take(0, 10, 1.0) == 30 * MS


def test_warmth_rises_evenly() -> None:
    warmth = Warmth(S, 0.4, 6 * S)
    assert [round(warmth.at(S * second), 2) for second in (0, 1, 4, 7, 9)] == [0.4, 0.4, 0.7, 1.0, 1.0]
    assert Warmth(None, 0.4, 6 * S).at(0) == 1.0


def test_cold_budget_counts_a_window() -> None:
    budget = ColdBudget(cores=1, multiple=4, window_ns=2 * S)
    assert not budget.over(0, 3200, 0.4)  # 4 x 0.4 x 2 s
    assert budget.over(S, 1, 0.4)
    assert not budget.over(2 * S, 3000, 0.4)  # the first has left the window


def test_repeats_are_dropped_for_their_window_only() -> None:
    repeats = Repeats()
    assert not repeats.is_repeat("k", 2 * S, 0)
    assert repeats.is_repeat("k", 2 * S, S)
    assert not repeats.is_repeat("k", 2 * S, 2 * S)
    assert repeats.is_repeat("k", 2 * S, 3 * S)


def test_load_report_is_refreshed_now_and_then() -> None:
    report = LoadReport(100 * MS)
    first = report.text(0, 3)
    report.served(80)
    assert report.text(99 * MS, 7) == first
    assert report.text(100 * MS, 7) == b"latency_ms=10.000,queue=7"


def test_crowded_node_does_less_the_more_it_holds() -> None:
    plain, crowded = Cores(1, 10), Cores(1, 10, crowding=1.0)
    last = {name: [cores.take(0, 10.0, 1.0) for _ in range(11)][-1] for name, cores in
            (("plain", plain), ("crowded", crowded))}  # fmt: skip
    assert last["plain"] == 110 * MS
    assert last["crowded"] == 10 * MS + sum(int((10 + waiting) * MS) for waiting in range(10))
