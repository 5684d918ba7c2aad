"""The reader of cache servers' answers: bounds of work and memory for any split, and invalid lines."""

from __future__ import annotations

import pytest

from saltport.wire.resp import MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES, FramingError
from saltport.wire.resp_answers import (
    MAX_TEXT_BYTES,
    Answer,
    AnswerReader,
    ErrorLine,
    Message,
    SimpleAnswer,
    ValueEnded,
    ValuePart,
    ValueStarted,
)
from tests.sockets import hit


def read_by_bytes(answer: bytes) -> None:
    reader = AnswerReader()
    for at in range(len(answer)):
        reader.feed(answer[at : at + 1])


class Counting(AnswerReader):
    """Counts the bytes that are parsed, including repeated parsing of the same bytes."""

    parsed_bytes = 0

    def _read(self, data: bytes, messages: list[Message]) -> None:
        self.parsed_bytes += len(data)
        super()._read(data, messages)


@pytest.mark.parametrize("piece", [1, 7, 4096])
def test_value_in_small_pieces_is_read_in_linear_work(piece: int) -> None:
    answer = hit(b"\r\n" * (STREAMING_THRESHOLD_BYTES // 2))
    reader, messages = Counting(), list[Message]()
    for at in range(0, len(answer), piece):
        messages += reader.feed(answer[at : at + piece])
    assert messages == [Answer(b"\r\n" * (STREAMING_THRESHOLD_BYTES // 2), b"hit", b"latency_ms=1.5,queue=2")]
    assert reader.parsed_bytes < 80 * len(answer), "an element is parsed a few times, not once for each piece"


def test_longest_value_is_passed_on_without_buffering() -> None:
    answer, size = hit(b"v" * MAX_VALUE_BYTES), 1 << 18
    reader, messages, max_buffered = AnswerReader(), list[Message](), 0
    for at in range(0, len(answer), size):
        messages += reader.feed(answer[at : at + size])
        max_buffered = max(max_buffered, len(reader.pending))
    assert messages[0] == ValueStarted(MAX_VALUE_BYTES)
    assert messages[-1] == ValueEnded(b"hit", b"latency_ms=1.5,queue=2")
    assert sum(len(part.data) for part in messages if isinstance(part, ValuePart)) == MAX_VALUE_BYTES
    assert max_buffered < MAX_TEXT_BYTES


@pytest.mark.parametrize(
    ("answer", "message"),
    [
        (b"+PONG\r\n", SimpleAnswer(b"PONG")),
        (b":1\r\n", SimpleAnswer(b"1")),
        (b"$5\r\nqueue\r\n", SimpleAnswer(b"queue")),
        (b"-ERR failed queue=1\r\n", ErrorLine(b"ERR failed queue=1")),
        (b"-" + b"e" * MAX_TEXT_BYTES + b"\r\n", ErrorLine(b"e" * MAX_TEXT_BYTES)),
    ],
)
def test_answers_that_are_no_arrays(answer: bytes, message: Message) -> None:
    for piece in (1, len(answer)):
        reader, messages = AnswerReader(), list[Message]()
        for at in range(0, len(answer), piece):
            messages += reader.feed(answer[at : at + piece])
        assert messages == [message]
        assert not reader.has_trailing_data


@pytest.mark.parametrize(
    "answer",
    [
        b"-" + b"e" * (MAX_TEXT_BYTES + 1),
        b":-1\r\n",
        b":01\r\n",
        b":\r\n",
        b":1x\r\n",
        b"$4097\r\n",
        b"$-1\r\n",
        b"+a\n",
    ],
)
def test_invalid_lines_are_rejected_before_their_end(answer: bytes) -> None:
    with pytest.raises(FramingError):
        read_by_bytes(answer)
