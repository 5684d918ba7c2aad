"""Two processes and their link in every order of give, send, take, refuse, answer and die; the records."""

from __future__ import annotations

import dataclasses
from collections import Counter, deque
from collections.abc import Sequence
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saltport.handover import record as form
from saltport.handover.choice import Choice, Progress, choose
from saltport.handover.exchange import LAST, PIECE, TAKEN, TURNED_DOWN, WINDOW, Giver, Parcel, Taker
from saltport.handover.record import ConnectionRecord, Flow, RecordError, Segment, Value, decode, encode

FLOW = Flow("cache", "s1", ("127.0.0.1", 7000), 1 << 20, 5000, "3", b"\r\n$3", False)
OWED = {
    "value": ConnectionRecord(
        "resp", True, b"*4", (Segment(b"x" * (PIECE + 9), Value(FLOW, "get", b"\r\n")),)
    ),
    "write": ConnectionRecord("resp", True, b""),
}
LINK = 2  # messages that the link holds


class World:
    """What each process has in its hands, moved by the real exchange; the kernel's part is two queues."""

    def __init__(self) -> None:
        self.place = dict.fromkeys(OWED, "old")
        self.effects: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.alive = {"old", "new"}
        self.link: deque[tuple[bytes, Sequence[int]]] = deque()
        self.back: deque[bytes] = deque()
        self.giver, self.taker = Giver(lambda _: None), Taker()
        self.may_be_lost: set[str] = set()
        self.over = False
        """Whether the old process has heard that the link is gone."""

    def moves(self) -> dict[str, Any]:
        """All that may happen next."""
        found: dict[str, Any] = {}
        old, new = "old" in self.alive, "new" in self.alive
        for name, place in self.place.items():
            if place in self.alive and not self.answers[name]:
                found[f"answer {name}"] = lambda name=name: self.answer(name)
            if old and not self.over and place == "old" and self.choice(name) is Choice.MOVE:
                found[f"give {name}"] = lambda name=name: self.give(name)
        if old and new and len(self.link) < LINK and self.giver.outgoing() is not None:
            found["send"] = self.send
        if new and self.link:
            found["take"] = self.take
            if self.link[0][0][:1] == LAST:
                found["refuse"] = lambda: self.take(refuse=True)
        if old and (self.back or not (new or self.over)):
            found["hear"] = self.hear
        if old and new:
            found["old dies"], found["new dies"] = self.old_dies, self.new_dies
        return found

    def choice(self, name: str) -> Choice:
        return choose(int(name == "write" and not self.answers[name]), [], 1.0)

    def answer(self, name: str) -> None:
        self.effects[name] += 1
        self.answers[name] += 1

    def give(self, name: str) -> None:
        self.place[name] = "frozen"
        record = OWED[name]

        def thaw() -> None:
            self.place[name] = "old"

        self.giver.offer(Parcel(encode(record), [ord(name[0])] * record.descriptors, thaw))

    def send(self) -> None:
        message = self.giver.outgoing()
        assert message is not None
        self.link.append((message.data, message.descriptors))
        self.giver.sent()
        if message.data[:1] == LAST:
            self.place[self.named(message.descriptors)] = "link"

    @staticmethod
    def named(descriptors: Sequence[int]) -> str:
        return next(name for name in OWED if ord(name[0]) == descriptors[0])

    def take(self, refuse: bool = False) -> None:
        data, descriptors = self.link.popleft()
        record = self.taker.heard(data, len(descriptors))
        if record is None:
            return
        name = self.named(descriptors)
        assert record == OWED[name]
        if refuse:
            self.place[name] = "refused"
            if "old" not in self.alive:
                self.lose("refused")
            self.back.append(TURNED_DOWN)
        else:
            self.place[name] = "new"
            self.back.append(TAKEN)

    def old_dies(self) -> None:
        self.alive.discard("old")
        self.lose("old", "frozen", "refused")

    def new_dies(self) -> None:
        self.alive.discard("new")
        self.link.clear()
        self.lose("new", "link")

    def hear(self) -> None:
        """What a dead process had said is heard before its end is."""
        if self.back:
            self.giver.heard(self.back.popleft())
        else:
            self.over = True
            self.giver.ended()

    def lose(self, *places: str) -> None:
        for name, place in self.place.items():
            if place in places:
                self.place[name] = "lost"
                self.may_be_lost.add(name)

    @property
    def key(self) -> tuple[Any, ...]:
        parcels = [parcel.at for parcel in self.giver._queue]
        queues = (len(self.giver._sent), [data[:1] for data, _ in self.link], list(self.back))
        counts = (sorted(self.effects.items()), sorted(self.alive), self.over, len(self.taker._pieces))
        return (str(self.place), str(parcels), str(queues), str(counts))

    def check(self) -> None:
        assert all(count <= 1 for count in (*self.effects.values(), *self.answers.values()))
        assert not (self.place["write"] == "frozen" and not self.answers["write"]), "an open request moved"
        for place in self.place.values():
            assert place in (*self.alive, "frozen", "link", "refused", "lost")
            assert place != "frozen" or self.giver.busy


def played(path: Sequence[str]) -> World:
    world = World()
    for move in path:
        world.moves()[move]()
        world.check()
    return world


def test_every_order_keeps_each_request_in_one_pair_of_hands() -> None:
    seen = set()
    ahead: deque[tuple[str, ...]] = deque([()])
    ends = Counter[str]()
    while ahead:
        path = ahead.popleft()
        world = played(path)
        if world.key in seen:
            continue
        seen.add(world.key)
        moves = list(world.moves())
        ahead.extend((*path, move) for move in moves)
        if not moves:
            ends[str(sorted(world.alive))] += 1
            for name in OWED:
                lost = world.place[name] == "lost"
                assert world.answers[name] or lost, path
                assert not lost or name in world.may_be_lost
                assert lost or world.place[name] in world.alive, path
    assert len(seen) > 300
    assert set(ends) == {"['new']", "['old']"}, "with both alive one may always still die"


def test_link_that_ends_before_a_receipt_closes_what_was_sent_and_thaws_what_was_not() -> None:
    released: list[Sequence[int]] = []
    thawed: list[str] = []
    giver = Giver(released.append)
    giver.offer(Parcel(b"sent", [7, 8], lambda: thawed.append("sent")))
    giver.offer(Parcel(b"x" * (PIECE + 1), [9], lambda: thawed.append("half sent")))
    giver.offer(Parcel(b"waits", [10], lambda: thawed.append("waits")))
    for _ in range(2):
        assert giver.outgoing() is not None
        giver.sent()
    giver.ended()
    assert released == [[7, 8]], "the taker may have gone on with it: nobody here may"
    assert thawed == ["half sent", "waits"]
    assert not giver.busy


def test_window_bounds_what_is_frozen_or_under_way() -> None:
    giver = Giver(lambda _: None)
    for left in range(WINDOW, 0, -1):
        assert giver.room == left
        giver.offer(Parcel(encode(OWED["write"]), [1], lambda: None))
    for _ in range(WINDOW // 2):
        assert giver.outgoing() is not None
        giver.sent()
    assert giver.room == 0
    giver.heard(TAKEN)
    giver.heard(TURNED_DOWN)
    assert giver.room == 2


@pytest.mark.parametrize(
    ("unanswered", "under_way", "left_s", "chosen"),
    [
        (0, [], 1.0, Choice.MOVE),
        (1, [], 1.0, Choice.WAIT),
        (1, [Progress(100, 100, 1.0)], 1.0, Choice.WAIT),
        (0, [Progress(1000, 0, 0.0)], 9.0, Choice.MOVE),  # nothing has moved
        (0, [Progress(100, 1000, 1.0)], 9.0, Choice.WAIT),  # 0.1 s to go
        (0, [Progress(100, 1000, 1.0)], 0.25, Choice.MOVE),  # the process has not that long
        (0, [Progress(100, 1000, 1.0), Progress(1000, 1000, 1.0)], 9.0, Choice.MOVE),
    ],
)
def test_choice(unanswered: int, under_way: list[Progress], left_s: float, chosen: Choice) -> None:
    assert choose(unanswered, under_way, left_s) is chosen


names = st.text(max_size=20)
flows = st.builds(
    Flow, st.just("cache"), names, st.tuples(names, st.integers(1, 65535)), st.just(1 << 20),
    st.integers(0, 1 << 20), st.sampled_from("123456789"), st.binary(max_size=50), st.booleans(),
) | st.builds(
    Flow, st.just("origin"), names, st.tuples(names, st.integers(1, 65535)), st.just(1 << 20),
    st.integers(1, 1 << 20), st.just(""), st.just(b""), st.booleans(),
)  # fmt: skip
segments = st.builds(
    Segment, st.binary(max_size=90), st.none() | st.builds(Value, flows, names, st.binary(max_size=9))
)
records = st.builds(
    ConnectionRecord, names, st.booleans(), st.binary(max_size=90), st.lists(segments, max_size=5).map(tuple)
)


@given(records)
def test_record_is_read_as_it_was_told(record: ConnectionRecord) -> None:
    assert decode(encode(record), record.descriptors) == record


@settings(max_examples=400)
@given(records, st.data())
def test_record_that_is_damaged_is_refused_or_read_within_bounds(record: ConnectionRecord, data: Any) -> None:
    message = bytearray(encode(record))
    for _ in range(data.draw(st.integers(1, 3))):
        at = data.draw(st.integers(0, len(message) - 1))
        message[at : at + data.draw(st.integers(0, 2))] = data.draw(st.binary(max_size=3))
    try:
        read = decode(bytes(message), record.descriptors)
    except RecordError:
        return
    assert read.descriptors == record.descriptors
    assert sum(len(segment.data) for segment in read.segments) <= len(message)


def test_bounds_of_a_record_are_told() -> None:
    value = Value(FLOW, "get", b"")
    for damaged, why in [
        (Flow(**{**dataclasses.asdict(FLOW), "left": FLOW.length + 3}), "left"),
        (Flow(**{**dataclasses.asdict(FLOW), "kind": "disk"}), "no such server"),
        (Flow(**{**dataclasses.asdict(FLOW), "form": "11"}), "no such server"),
        (Flow("origin", "o", ("h", 1), 9, 0, ""), "has ended"),
        (Flow(**{**dataclasses.asdict(FLOW), "address": ("h", 0)}), "address"),
    ]:
        record = ConnectionRecord(
            "resp", True, b"", (Segment(b"", dataclasses.replace(value, flow=damaged)),)
        )
        with pytest.raises(RecordError, match=why):
            decode(encode(record), 2)
    many = ConnectionRecord("resp", True, b"", (Segment(b"", value),) * (form.MAX_STREAMS + 1))
    with pytest.raises(RecordError):
        decode(encode(many), many.descriptors)


def test_pieces_beyond_the_longest_record_are_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("saltport.handover.exchange.MAX_RECORD", 1000)
    taker = Taker()
    for _ in range(50):
        assert taker.heard(b"P" + bytes(100), 0) is None
    assert sum(map(len, taker._pieces)) <= 1000
    with pytest.raises(RecordError, match="too long"):
        taker.heard(b"M", 1)
    assert taker.heard(b"M" + encode(OWED["write"]), 1) == OWED["write"]
