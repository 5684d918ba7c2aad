"""Reads answers of cache servers (RESP2) strictly and within size limits, as typed messages. No I/O.

Invalid answers are rejected as early as possible. Every length must agree with the bytes and the end mark
that follow: with a wrong length, a part of a value would look like a complete value.
"""

from __future__ import annotations

from typing import NamedTuple

from saltport.wire.resp import (
    CRLF,
    MAX_LENGTH_LINE_BYTES,
    MAX_VALUE_BYTES,
    STREAMING_THRESHOLD_BYTES,
    FramingError,
    IncompleteError,
    read_bulk_string,
    read_length_line,
)

ANSWER_ELEMENTS = 3
"""Elements of the array that answers a read or a write: value, note (how a read went), load report."""
MAX_TEXT_BYTES = 4 << 10
"""Limit for any other string or line of an answer; notes, load reports and errors are far shorter."""
NULL = b"$-1\r\n"

_ANSWER_PREFIX = b"*%d\r\n$" % ANSWER_ELEMENTS
_LENGTH_OFFSET = len(_ANSWER_PREFIX)  # of the digits of the value's length
_LINES_AFTER_VALUE = 6  # end of the value, two of the note, two of the report, and an empty rest
_ZERO_DIGIT = ord(b"0")


class Answer(NamedTuple):
    """A complete answer to a read or a write; a value of None is a miss."""

    value: bytes | None
    note: bytes | None
    """How a read went (for example `hit` or `miss`), as the server states it."""
    report: bytes | None
    """The unparsed load report."""


class ErrorLine(NamedTuple):
    """A complete error line (`-`), without its type byte and line end."""

    text: bytes


class SimpleAnswer(NamedTuple):
    """A complete answer that is a status line, an integer or a single bulk string."""

    text: bytes


class ValueStarted(NamedTuple):
    """The start of a value of more than 64 KiB, which is returned in parts."""

    length: int


class ValuePart(NamedTuple):
    """A part of a value of more than 64 KiB."""

    data: bytes


class ValueEnded(NamedTuple):
    """The end of an answer whose value was returned in parts.

    `note` says how the read went (`hit` or `miss`, for example), `report` is the unparsed load report.
    """

    note: bytes | None
    report: bytes | None


Message = Answer | ErrorLine | SimpleAnswer | ValueStarted | ValuePart | ValueEnded


class AnswerReader:
    """Reads one answer at a time; drops bytes after a complete answer, as no request asked for them."""

    def __init__(self) -> None:
        self.has_trailing_data = False
        """Whether bytes followed a complete answer. No further answer may be read then."""
        self.value_length = 0
        """Length of the value that is being returned in parts; 0 if there is none."""
        self.remaining_bytes = 0
        """Bytes of that value, including its end mark, that have not been received."""
        self._buffer = bytearray()
        self._needed_bytes = 0  # to be buffered before parsing can progress

    @property
    def needed_bytes(self) -> int:
        """Bytes of the incomplete answer that have to be kept at least; 0 if none is kept."""
        return max(self._needed_bytes, len(self._buffer)) if self._buffer else 0

    def drop_partial(self) -> None:
        """Drop the incomplete answer, after which the reader must not be used again."""
        self._buffer.clear()

    @property
    def pending(self) -> bytes:
        """The bytes received after the value that is being returned in parts."""
        return bytes(self._buffer)

    def resume(self, value_length: int, remaining_bytes: int, pending: bytes) -> None:
        """Continue in the middle of a value, of which another reader has returned the first part.

        `remaining_bytes`: bytes of the value and its end mark that are still to be received; `pending`: bytes
        after the end mark that were received already, which `remaining_bytes` does not count.
        """
        self.value_length, self.remaining_bytes = value_length, remaining_bytes
        self._buffer += pending

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages completed by `data`; after a FramingError the reader must not be used again."""
        if not self._buffer and not self.value_length:
            answer = _fast_path_answer(data)
            if answer is not None:
                return [answer]
        messages: list[Message] = []
        if self.remaining_bytes:
            data = self._consume_value(data, messages)
        self._buffer += data
        if self._buffer and len(self._buffer) >= self._needed_bytes:
            try:
                self._read(bytes(self._buffer), messages)
            except IncompleteError as incomplete:
                self._needed_bytes = incomplete.needed_bytes
        return messages

    def _read(self, data: bytes, messages: list[Message]) -> None:
        """Parse a complete answer, or the elements after a value that was returned in parts."""
        match data[:1]:
            case b"$" if self.value_length:
                note, position = _read_string_or_null(data, 0, MAX_TEXT_BYTES)
                report, position = _read_string_or_null(data, position, MAX_TEXT_BYTES)
                self._complete_answer(ValueEnded(note, report), data, position, messages)
            case b"*" if not self.value_length:
                self._read_array(data, messages)
            case b"$" | b"+" | b"-" | b":" if not self.value_length:
                answer, position = _read_simple_answer(data)
                self._complete_answer(answer, data, position, messages)
            case _:
                raise FramingError("an element of an unknown type")

    def _read_array(self, data: bytes, messages: list[Message]) -> None:
        """Parse the array that answers a read or a write; only the start of a long value is parsed."""
        count, position = _read_length(data, 0, b"*")
        if count != ANSWER_ELEMENTS:
            raise FramingError(f"an array of {count} elements")
        if not data.startswith(NULL, position):
            size, start = _read_length(data, position, b"$")
            if size > MAX_VALUE_BYTES:
                raise FramingError("value too long")
            if size > STREAMING_THRESHOLD_BYTES:
                self._start_value(size, data[start:], messages)
                return
        value, position = _read_string_or_null(data, position, STREAMING_THRESHOLD_BYTES)
        note, position = _read_string_or_null(data, position, MAX_TEXT_BYTES)
        report, position = _read_string_or_null(data, position, MAX_TEXT_BYTES)
        self._complete_answer(Answer(value, note, report), data, position, messages)

    def _start_value(self, length: int, data: bytes, messages: list[Message]) -> None:
        """Begin to return a long value in parts; `data` is what follows its length line."""
        messages.append(ValueStarted(length))
        self.value_length, self.remaining_bytes = length, length + len(CRLF)
        self._buffer.clear()
        self._needed_bytes = 0
        rest = self._consume_value(data, messages)
        if rest:
            self._buffer += rest
            self._read(rest, messages)

    def _consume_value(self, data: bytes, messages: list[Message]) -> bytes:
        """Consume bytes of the value and its end mark; return the bytes that follow them."""
        part = data[: max(self.remaining_bytes - len(CRLF), 0)]
        if part:
            messages.append(ValuePart(part))
            self.remaining_bytes -= len(part)
            data = data[len(part) :]
        if data and self.remaining_bytes:
            mark = data[: self.remaining_bytes]
            if not CRLF[-self.remaining_bytes :].startswith(mark):
                raise FramingError("bulk string without its end")
            self.remaining_bytes -= len(mark)
            data = data[len(mark) :]
        return data

    def _complete_answer(self, answer: Message, data: bytes, position: int, messages: list[Message]) -> None:
        """Append a complete answer that ends at `position`; the bytes after it are dropped."""
        messages.append(answer)
        self.has_trailing_data = self.has_trailing_data or position < len(data)
        self._buffer.clear()
        self._needed_bytes = self.value_length = 0


def _fast_path_answer(data: bytes) -> Answer | None:
    """Return the answer if `data` is exactly one with a value of at most 64 KiB; None: use the parser."""
    if not data.startswith(_ANSWER_PREFIX):
        return None
    if data.startswith(b"-1\r\n", _LENGTH_OFFSET):
        value, end = None, _LENGTH_OFFSET + 2
    else:
        line_end = data.find(CRLF, _LENGTH_OFFSET, _LENGTH_OFFSET + MAX_LENGTH_LINE_BYTES)
        digits = data[_LENGTH_OFFSET:line_end]
        if (
            line_end < 0
            or not digits.isdigit()
            or digits[0] == _ZERO_DIGIT
            or (size := int(digits)) > STREAMING_THRESHOLD_BYTES
        ):
            return None
        end = line_end + len(CRLF) + size
        value = data[end - size : end]
    lines = data[end:].split(CRLF)
    if len(lines) == _LINES_AFTER_VALUE:
        behind_value, note_size, note, report_size, report, last = lines
        if behind_value or last or note_size != b"$%d" % len(note) or report_size != b"$%d" % len(report):
            return None
        return Answer(value, note, report)
    return None


def _read_length(data: bytes, begin: int, mark: bytes) -> tuple[int, int]:
    """Return the number in a length line and the end of the line; rejects leading zeros."""
    number, end = read_length_line(data, begin, mark)
    if end - begin != len(mark) + len(b"%d" % number) + len(CRLF):
        raise FramingError("a length with leading zeros")
    return number, end


def _read_string_or_null(data: bytes, begin: int, longest: int) -> tuple[bytes | None, int]:
    """Return an element of an array (None for null) and its end."""
    if data.startswith(NULL, begin):
        return None, begin + len(NULL)
    size, start = _read_length(data, begin, b"$")
    if size > longest:
        raise FramingError("string too long")
    return read_bulk_string(data, start, size)


def _read_simple_answer(data: bytes) -> tuple[Message, int]:
    """Return an answer that is no array (error, status, integer or bulk string) and its end."""
    if data[:1] == b"$":
        size, start = _read_length(data, 0, b"$")
        if size > MAX_TEXT_BYTES:
            raise FramingError("string too long")
        text, position = read_bulk_string(data, start, size)
        return SimpleAnswer(text), position
    text, position = _read_line(data)
    if data[:1] == b"-":
        return ErrorLine(text), position
    if data[:1] == b":" and not _is_integer(text):
        raise FramingError("expected an integer")
    return SimpleAnswer(text), position


def _read_line(data: bytes) -> tuple[bytes, int]:
    """Return the text of a line after its type byte, and the end of the line."""
    end = data.find(b"\r")
    text = data[1:end] if end >= 0 else data[1:]
    if len(text) > MAX_TEXT_BYTES:
        raise FramingError("line too long")
    if b"\n" in text:
        raise FramingError("a line that ends without a carriage return")
    if end < 0 or len(data) == end + 1:
        raise IncompleteError(len(data) + 1)
    if not data.startswith(CRLF, end):
        raise FramingError("a carriage return within a line")
    return text, end + len(CRLF)


def _is_integer(text: bytes) -> bool:
    return len(text) < MAX_LENGTH_LINE_BYTES and text.isdigit() and (text == b"0" or text[0] != _ZERO_DIGIT)
