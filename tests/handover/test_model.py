"""The hand-over protocol in every order of its events (an exhaustive model), and the record format."""

from __future__ import annotations

import dataclasses
from collections import Counter, deque
from collections.abc import Sequence
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saltport.handover import record as record_format
from saltport.handover.choice import TransferDecision, ValueProgress, decide_transfer
from saltport.handover.exchange import (
    ACCEPTED,
    EXTENDED,
    MAX_DESCRIPTORS_PER_MESSAGE,
    MAX_IN_FLIGHT,
    RECORD_LAST,
    RECORD_PART_BYTES,
    REJECTED,
    ConnectionTransfer,
    TransferReceiver,
    TransferSender,
)
from saltport.handover.record import (
    Closing,
    ConnectionRecord,
    DiscardedCommand,
    MovedRequest,
    PartialValue,
    ReadPosition,
    RecordError,
    Segment,
    decode,
    encode,
)

POSITION = ReadPosition("cache", "s1", ("127.0.0.1", 7000), 1 << 20, 5000, "3", b"\r\n$3", False)
RECORDS = {
    "value": ConnectionRecord(
        "resp",
        True,
        b"*4",
        (Segment(b"x" * (RECORD_PART_BYTES + 9), PartialValue(POSITION, "get", b"\r\n")),),
    ),
    "write": ConnectionRecord("resp", True, b""),
}
LINK_CAPACITY = 2  # messages that the link holds


class World:
    """Two processes with the real protocol code; two queues stand for the kernel's side of the link."""

    def __init__(self) -> None:
        self.location = dict.fromkeys(RECORDS, "old")
        self.effects: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.alive = {"old", "new"}
        self.link: deque[tuple[bytes, Sequence[int]]] = deque()
        self.answers_in_transit: deque[bytes] = deque()
        self.sender, self.receiver = TransferSender(lambda _: None), TransferReceiver()
        self.allowed_losses: set[str] = set()
        self.link_closed = False
        """Whether the old process has noticed that the link is closed."""

    def events(self) -> dict[str, Any]:
        """Return all events that can happen next."""
        events: dict[str, Any] = {}
        old, new = "old" in self.alive, "new" in self.alive
        for name, location in self.location.items():
            if location in self.alive and not self.answers[name]:
                events[f"answer {name}"] = lambda name=name: self.answer(name)
            if (
                old
                and not self.link_closed
                and location == "old"
                and self.decision(name) is TransferDecision.MOVE
            ):
                events[f"freeze {name}"] = lambda name=name: self.freeze(name)
        if old and new and len(self.link) < LINK_CAPACITY and self.sender.next_message() is not None:
            events["send"] = self.send
        if new and self.link:
            events["take"] = self.take
            if self.link[0][0][:1] == RECORD_LAST:
                events["refuse"] = lambda: self.take(refuse=True)
        if old and (self.answers_in_transit or not (new or self.link_closed)):
            events["receive"] = self.receive
        if old and new:
            events["old dies"], events["new dies"] = self.old_dies, self.new_dies
        return events

    def decision(self, name: str) -> TransferDecision:
        return decide_transfer(int(name == "write" and not self.answers[name]), [], 1.0)

    def answer(self, name: str) -> None:
        self.effects[name] += 1
        self.answers[name] += 1

    def freeze(self, name: str) -> None:
        self.location[name] = "frozen"
        record = RECORDS[name]

        def resume() -> None:
            self.location[name] = "old"

        self.sender.enqueue(
            ConnectionTransfer(encode(record), [ord(name[0])] * record.descriptor_count, resume)
        )

    def send(self) -> None:
        message = self.sender.next_message()
        assert message is not None
        self.link.append((message.data, message.descriptors))
        self.sender.message_sent()
        if message.data[:1] == RECORD_LAST:
            self.location[self.name_of(message.descriptors)] = "link"

    @staticmethod
    def name_of(descriptors: Sequence[int]) -> str:
        return next(name for name in RECORDS if ord(name[0]) == descriptors[0])

    def take(self, refuse: bool = False) -> None:
        data, descriptors = self.link.popleft()
        record = self.receiver.receive_record(data, len(descriptors))
        if record is None:
            return
        name = self.name_of(descriptors)
        assert record == RECORDS[name]
        if refuse:
            self.location[name] = "refused"
            if "old" not in self.alive:
                self.lose("refused")
            self.answers_in_transit.append(REJECTED)
        else:
            self.location[name] = "new"
            self.answers_in_transit.append(ACCEPTED)

    def old_dies(self) -> None:
        self.alive.discard("old")
        self.lose("old", "frozen", "refused")

    def new_dies(self) -> None:
        self.alive.discard("new")
        self.link.clear()
        self.lose("new", "link")

    def receive(self) -> None:
        """The old process reads the messages of a dead process before the end of the link."""
        if self.answers_in_transit:
            self.sender.receive(self.answers_in_transit.popleft())
        else:
            self.link_closed = True
            self.sender.link_closed()

    def lose(self, *locations: str) -> None:
        """Mark the connections at these locations as lost with a process that died."""
        for name, location in self.location.items():
            if location in locations:
                self.location[name] = "lost"
                self.allowed_losses.add(name)

    @property
    def key(self) -> tuple[Any, ...]:
        """Return a key that is equal for equal states of the model."""
        transfers = [transfer.sent_bytes for transfer in self.sender._queue]
        queues = (
            len(self.sender._unacknowledged),
            [data[:1] for data, _ in self.link],
            list(self.answers_in_transit),
        )
        counts = (
            sorted(self.effects.items()),
            sorted(self.alive),
            self.link_closed,
            len(self.receiver._parts),
        )
        return (str(self.location), str(transfers), str(queues), str(counts))

    def check(self) -> None:
        """Assert that no request is executed or answered twice, and that each connection has one location."""
        assert all(count <= 1 for count in (*self.effects.values(), *self.answers.values()))
        assert not (self.location["write"] == "frozen" and not self.answers["write"]), (
            "a connection with an unanswered request was frozen"
        )
        for location in self.location.values():
            assert location in (*self.alive, "frozen", "link", "refused", "lost")
            assert location != "frozen" or self.sender.busy


def replay(path: Sequence[str]) -> World:
    """Return the model after this sequence of events, checked after each."""
    world = World()
    for event in path:
        world.events()[event]()
        world.check()
    return world


def test_every_order_of_events_leaves_each_connection_with_one_process() -> None:
    seen_states = set()
    pending_paths: deque[tuple[str, ...]] = deque([()])
    final_states = Counter[str]()
    while pending_paths:
        path = pending_paths.popleft()
        world = replay(path)
        if world.key in seen_states:
            continue
        seen_states.add(world.key)
        events = list(world.events())
        pending_paths.extend((*path, event) for event in events)
        if not events:
            final_states[str(sorted(world.alive))] += 1
            for name in RECORDS:
                lost = world.location[name] == "lost"
                assert world.answers[name] or lost, path
                assert not lost or name in world.allowed_losses
                assert lost or world.location[name] in world.alive, path
    assert len(seen_states) > 300
    assert set(final_states) == {"['new']", "['old']"}, "while both live, one of them can still die"


def test_link_closed_before_an_answer_releases_sent_connections_and_resumes_unsent_ones() -> None:
    closed: list[Sequence[int]] = []
    resumed: list[str] = []
    sender = TransferSender(closed.append)
    sender.enqueue(ConnectionTransfer(b"sent", [7, 8], lambda: resumed.append("sent")))
    sender.enqueue(
        ConnectionTransfer(b"x" * (RECORD_PART_BYTES + 1), [9], lambda: resumed.append("half sent"))
    )
    for _ in range(2):
        assert sender.next_message() is not None
        sender.message_sent()
    sender.enqueue(ConnectionTransfer(b"waits", [10], lambda: resumed.append("waits")))
    sender.link_closed()
    assert closed == [[7, 8]], "the receiver may have continued the connection, so this process must not"
    assert resumed == ["half sent", "waits"]
    assert not sender.busy


@pytest.mark.parametrize("size", [1, 3 * RECORD_PART_BYTES])
@pytest.mark.parametrize("count", [1, 65, 66, 130, 131, 257])
def test_descriptors_beyond_one_message_go_with_several_in_their_order(count: int, size: int) -> None:
    sender = TransferSender(lambda _: None)
    sender.enqueue(ConnectionTransfer(b"x" * size, list(range(count)), lambda: None))
    messages = []
    while (message := sender.next_message()) is not None:
        messages.append(message)
        sender.message_sent()
    assert [number for message in messages for number in message.descriptors] == list(range(count))
    assert max(len(message.descriptors) for message in messages) <= MAX_DESCRIPTORS_PER_MESSAGE
    assert b"".join(message.data[1:] for message in messages) == b"x" * size
    assert [message.data[:1] == RECORD_LAST for message in messages].index(True) == len(messages) - 1


def test_transfer_that_broke_off_between_descriptors_resumes_with_all_of_them() -> None:
    resumed: list[Sequence[int]] = []
    sender = TransferSender(lambda _: None)
    transfer = ConnectionTransfer(b"x", list(range(200)), lambda: resumed.append(transfer.descriptors))
    sender.enqueue(transfer)
    sender.next_message()
    sender.message_sent()
    sender.link_closed()
    assert resumed == [list(range(200))]
    sender.enqueue(transfer)
    message = sender.next_message()
    assert message is not None
    assert list(message.descriptors) == list(range(MAX_DESCRIPTORS_PER_MESSAGE))


def test_short_records_go_ahead_of_long_ones_that_have_not_begun() -> None:
    """Guards against a read that waits, unread, until the long writes of others have moved."""
    sender = TransferSender(lambda _: None)
    begun, long = b"b" * (3 * RECORD_PART_BYTES), b"l" * (2 * RECORD_PART_BYTES)
    sender.enqueue(ConnectionTransfer(begun, [1], lambda: None))
    sender.next_message()
    sender.message_sent()
    for record in (long, b"first", b"other", b"it"):
        sender.enqueue(ConnectionTransfer(record, [1], lambda: None))
    messages = []
    while (message := sender.next_message()) is not None:
        messages.append(message.data[1:])
        sender.message_sent()
    assert b"".join(messages) == begun[RECORD_PART_BYTES:] + b"it" + b"first" + b"other" + long


def test_more_values_than_one_message_carries_wait_for_a_receiver_that_accepts_them() -> None:
    sender = TransferSender(lambda _: None)
    sender.receive(b"H1")
    assert sender.max_values == record_format.MAX_VALUES_IN_ONE_MESSAGE
    sender.receive(EXTENDED)
    assert sender.max_values == record_format.MAX_VALUES_IN_PROGRESS
    sender.link_closed()
    assert sender.max_values == record_format.MAX_VALUES_IN_ONE_MESSAGE


def test_number_of_frozen_and_unacknowledged_connections_is_bounded() -> None:
    sender = TransferSender(lambda _: None)
    for left in range(MAX_IN_FLIGHT, 0, -1):
        assert sender.free_capacity == left
        sender.enqueue(ConnectionTransfer(encode(RECORDS["write"]), [1], lambda: None))
    for _ in range(MAX_IN_FLIGHT // 2):
        assert sender.next_message() is not None
        sender.message_sent()
    assert sender.free_capacity == 0
    sender.receive(ACCEPTED)
    sender.receive(REJECTED)
    assert sender.free_capacity == 2


@pytest.mark.parametrize(
    ("unanswered", "under_way", "time_left_s", "expected"),
    [
        (0, [], 1.0, TransferDecision.MOVE),
        (1, [], 1.0, TransferDecision.WAIT),
        (1, [ValueProgress(100, 100, 1.0)], 1.0, TransferDecision.WAIT),
        (0, [ValueProgress(1000, 0, 0.0)], 9.0, TransferDecision.MOVE),  # nothing has been delivered
        (0, [ValueProgress(100, 1000, 1.0)], 9.0, TransferDecision.WAIT),  # 0.1 s to go
        (0, [ValueProgress(100, 1000, 1.0)], 0.25, TransferDecision.MOVE),  # the process exits earlier
        (0, [ValueProgress(100, 1000, 1.0), ValueProgress(1000, 1000, 1.0)], 9.0, TransferDecision.MOVE),
    ],
)
def test_transfer_decision(
    unanswered: int, under_way: list[ValueProgress], time_left_s: float, expected: TransferDecision
) -> None:
    assert decide_transfer(unanswered, under_way, time_left_s) is expected


names = st.text(max_size=20)
positions = st.builds(
    ReadPosition, st.just("cache"), names, st.tuples(names, st.integers(1, 65535)), st.just(1 << 20),
    st.integers(0, 1 << 20), st.sampled_from("123456789"), st.binary(max_size=50), st.booleans(),
) | st.builds(
    ReadPosition, st.just("origin"), names, st.tuples(names, st.integers(1, 65535)), st.just(1 << 20),
    st.integers(1, 1 << 20), st.just(""), st.just(b""), st.booleans(),
)  # fmt: skip
segments = st.builds(
    Segment,
    st.binary(max_size=90),
    st.none() | st.builds(PartialValue, positions, names, st.binary(max_size=9)),
)
records = st.builds(
    ConnectionRecord, names, st.booleans(), st.binary(max_size=90), st.lists(segments, max_size=5).map(tuple)
)


@given(records)
def test_decoded_record_equals_the_encoded_one(record: ConnectionRecord) -> None:
    assert decode(encode(record), record.descriptor_count) == record


EXTENDED_RECORDS = [
    ConnectionRecord("resp", True, b"*4", (), 5, Closing.WHEN_ANSWERED),
    ConnectionRecord("resp", True, b"", RECORDS["value"].segments, 0, Closing.STREAM_ENDED),
    ConnectionRecord("resp", True, b"rest", (), 0, Closing.NOT, DiscardedCommand(b"*5", 9000)),
    ConnectionRecord("resp", True, b"*4", (), 0, Closing.NOT, None, 700),
    ConnectionRecord(
        "resp",
        True,
        b"",
        (
            Segment(
                b"",
                PartialValue(
                    POSITION, "get", b"", MovedRequest("id", "key \u00e9", "c=get,d=9", "acme", 3, 77, 123)
                ),
            ),
        ),
    ),
]


@pytest.mark.parametrize("record", EXTENDED_RECORDS)
def test_decoded_record_equals_the_encoded_one_with_all_fields(record: ConnectionRecord) -> None:
    assert decode(encode(record), record.descriptor_count) == record


@pytest.mark.parametrize("record", EXTENDED_RECORDS)
@settings(max_examples=60)
@given(data=st.data())
def test_damaged_extended_record_is_rejected_or_decoded(record: ConnectionRecord, data: Any) -> None:
    message = bytearray(encode(record))
    at = data.draw(st.integers(0, message.index(b"\n")))
    message[at : at + data.draw(st.integers(0, 2))] = data.draw(st.binary(max_size=3))
    with suppress(RecordError):
        decode(bytes(message), record.descriptor_count)


@settings(max_examples=400)
@given(records, st.data())
def test_damaged_record_is_rejected_or_decoded_within_bounds(record: ConnectionRecord, data: Any) -> None:
    message = bytearray(encode(record))
    for _ in range(data.draw(st.integers(1, 3))):
        at = data.draw(st.integers(0, len(message) - 1))
        message[at : at + data.draw(st.integers(0, 2))] = data.draw(st.binary(max_size=3))
    try:
        read = decode(bytes(message), record.descriptor_count)
    except RecordError:
        return
    assert read.descriptor_count == record.descriptor_count
    assert sum(len(segment.data) for segment in read.segments) <= len(message)


def test_record_fields_out_of_bounds_are_rejected() -> None:
    value = PartialValue(POSITION, "get", b"")
    for damaged, why in [
        (ReadPosition(**{**dataclasses.asdict(POSITION), "left": POSITION.length + 3}), "left"),
        (ReadPosition(**{**dataclasses.asdict(POSITION), "kind": "disk"}), "no such server"),
        (ReadPosition(**{**dataclasses.asdict(POSITION), "form": "11"}), "no such server"),
        (ReadPosition("origin", "o", ("h", 1), 9, 0, ""), "has ended"),
        (ReadPosition(**{**dataclasses.asdict(POSITION), "address": ("h", 0)}), "address"),
    ]:
        record = ConnectionRecord(
            "resp", True, b"", (Segment(b"", dataclasses.replace(value, position=damaged)),)
        )
        with pytest.raises(RecordError, match=why):
            decode(encode(record), 2)
    many = ConnectionRecord(
        "resp", True, b"", (Segment(b"", value),) * (record_format.MAX_VALUES_IN_PROGRESS + 1)
    )
    with pytest.raises(RecordError):
        decode(encode(many), many.descriptor_count)


def test_parts_beyond_the_maximum_record_size_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("saltport.handover.exchange.MAX_RECORD_BYTES", 1000)
    receiver = TransferReceiver()
    for _ in range(50):
        assert receiver.receive_record(b"P" + bytes(100), 0) is None
    assert sum(map(len, receiver._parts)) <= 1000
    with pytest.raises(RecordError, match="too long"):
        receiver.receive_record(b"M", 1)
    assert receiver.receive_record(b"M" + encode(RECORDS["write"]), 1) == RECORDS["write"]
