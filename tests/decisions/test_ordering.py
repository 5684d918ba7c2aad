"""The order of one connection's commands: cases, and random histories compared with a replay."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest

from saltport.decisions.ordering import KeyOrder


@pytest.mark.parametrize(
    ("commands", "begin", "after_first"),
    [
        ("rr", "01", ""),
        ("rw", "0", "1"),
        ("wr", "0", "1"),
        ("ww", "0", "1"),
        ("wrr", "0", "12"),
        ("wrw", "0", "1"),
        ("rrw", "01", ""),
        ("rwr", "0", "1"),  # the read arrived after the write, and sees it
    ],
)
def test_who_begins(commands: str, begin: str, after_first: str) -> None:
    order: KeyOrder[str] = KeyOrder()
    begun = [str(n) for n, kind in enumerate(commands) if order.enqueue(str(n), b"k", kind == "w")]
    assert "".join(begun) == begin
    assert "".join(order.ended(b"k", commands[0] == "w").begin) == after_first


def test_writes_behind_one_that_may_have_run_are_turned_down_and_reads_go_on() -> None:
    order: KeyOrder[str] = KeyOrder()
    for name in ("w0", "w1", "r2", "w3", "r4"):
        order.enqueue(name, b"k", name[0] == "w")
    released = order.ended(b"k", True, may_have_run=True)
    assert (released.rejected, released.begin) == (("w1", "w3"), ("r2", "r4"))
    assert order.enqueue("w5", b"other", True)
    assert not order.enqueue("w6", b"k", True), "what comes later is ordered behind the reads"
    order.ended(b"k", False)
    assert order.ended(b"k", False).begin == ("w6",)


def test_cancelled_command_releases_the_next_and_leaves_no_state() -> None:
    order: KeyOrder[str] = KeyOrder()
    for name in ("r0", "w1", "r2"):
        order.enqueue(name, b"k", name[0] == "w")
    assert order.cancel("w1", b"k").begin == ("r2",)
    order.ended(b"k", False)
    order.ended(b"k", False)
    assert len(order) == 0


def test_ten_thousand_histories_take_effect_in_order() -> None:
    """Commands end in any order or fail; reads must see the value of a replay in the client's order."""
    rng = random.Random(17)
    for history in range(10_000):
        order: KeyOrder[int] = KeyOrder()
        came: list[tuple[bytes, bool]] = []
        running: list[int] = []
        value: dict[bytes, int] = defaultdict(lambda: -1)
        ahead: dict[int, int] = {}  # by read: the last effective write before it
        void: set[int] = set()
        for _ in range(rng.randrange(2, 24)):
            if running and rng.random() < 0.5:
                number = running.pop(rng.randrange(len(running)))
                key, write = came[number]
                doubt = write and rng.random() < 0.1
                if write and not (doubt and rng.random() < 0.5):
                    assert value[key] < number, history
                    value[key] = number
                elif write:
                    void.add(number)
                else:
                    seen = ahead[number]
                    assert value[key] >= seen or seen in void, (history, number)
                    assert value[key] < number, "a read sees nothing that came behind it"
                released = order.ended(key, write, doubt)
                void.update(released.rejected)
                running += released.begin
                continue
            number, key, write = len(came), rng.choice([b"a", b"b"]), rng.random() < 0.5
            came.append((key, write))
            if not write:
                earlier = [n for n, (k, w) in enumerate(came[:-1]) if w and k == key and n not in void]
                ahead[number] = earlier[-1] if earlier else -1
            if order.enqueue(number, key, write):
                running.append(number)
        while running:
            number = running.pop()
            running += order.ended(*came[number]).begin
        assert len(order) == 0
