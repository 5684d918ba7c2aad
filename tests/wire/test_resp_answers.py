"""The bounds of the reader of cache servers' answers: work and memory, however the bytes come."""

from __future__ import annotations

import pytest

from saltport.wire.resp import LARGE, MAX_VALUE, FramingError
from saltport.wire.resp_answers import (
    MAX_TEXT,
    Answer,
    AnswerReader,
    ErrorLine,
    Message,
    PlainAnswer,
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
    """Counts the bytes that it looks at, some of them more than once."""

    looked_at = 0

    def _read(self, data: bytes, messages: list[Message]) -> None:
        self.looked_at += len(data)
        super()._read(data, messages)


@pytest.mark.parametrize("piece", [1, 7, 4096])
def test_value_in_small_pieces_is_read_in_linear_work(piece: int) -> None:
    answer = hit(b"\r\n" * (LARGE // 2))
    reader, messages = Counting(), list[Message]()
    for at in range(0, len(answer), piece):
        messages += reader.feed(answer[at : at + piece])
    assert messages == [Answer(b"\r\n" * (LARGE // 2), b"hit", b"latency_ms=1.5,queue=2")]
    assert reader.looked_at < 80 * len(answer), "a few looks for each element, not one for each piece"


def test_longest_value_is_passed_on_and_never_held() -> None:
    answer, size = hit(b"v" * MAX_VALUE), 1 << 18
    reader, messages, held = AnswerReader(), list[Message](), 0
    for at in range(0, len(answer), size):
        messages += reader.feed(answer[at : at + size])
        held = max(held, len(reader.rest))
    assert messages[0] == ValueStarted(MAX_VALUE)
    assert messages[-1] == ValueEnded(b"hit", b"latency_ms=1.5,queue=2")
    assert sum(len(part.data) for part in messages if isinstance(part, ValuePart)) == MAX_VALUE
    assert held < MAX_TEXT


@pytest.mark.parametrize(
    ("answer", "message"),
    [
        (b"+PONG\r\n", PlainAnswer(b"PONG")),
        (b":1\r\n", PlainAnswer(b"1")),
        (b"$5\r\nqueue\r\n", PlainAnswer(b"queue")),
        (b"-ERR failed queue=1\r\n", ErrorLine(b"ERR failed queue=1")),
        (b"-" + b"e" * MAX_TEXT + b"\r\n", ErrorLine(b"e" * MAX_TEXT)),
    ],
)
def test_answers_that_are_no_arrays(answer: bytes, message: Message) -> None:
    for piece in (1, len(answer)):
        reader, messages = AnswerReader(), list[Message]()
        for at in range(0, len(answer), piece):
            messages += reader.feed(answer[at : at + piece])
        assert messages == [message]
        assert not reader.trailing


@pytest.mark.parametrize(
    "answer",
    [
        b"-" + b"e" * (MAX_TEXT + 1),
        b":-1\r\n",
        b":01\r\n",
        b":\r\n",
        b":1x\r\n",
        b"$4097\r\n",
        b"$-1\r\n",
        b"+a\n",
    ],
)
def test_lines_that_are_none_are_refused_before_they_end(answer: bytes) -> None:
    with pytest.raises(FramingError):
        read_by_bytes(answer)
