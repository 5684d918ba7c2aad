"""Answers of cache servers off the wire (RESP2): read strictly and within bounds, as typed messages. No I/O.

What a strict reader has to refuse is refused as soon as it shows: every length has to fit its bytes and their
end mark. A length that does not would make a part of a value look like a whole one.
"""

from __future__ import annotations

from typing import NamedTuple

from saltport.wire.resp import (
    END,
    LARGE,
    MAX_HEADER,
    MAX_VALUE,
    FramingError,
    Unfinished,
    length_line,
    string_of,
)

ELEMENTS = 3
"""Elements of the array that answers a read or a write: the value, how it went, the load report."""
MAX_TEXT = 4 << 10
"""Bytes of any other string or line of an answer: far more than a note, a load report or an error takes."""
NULL = b"$-1\r\n"

_BEGINNING = b"*%d\r\n$" % ELEMENTS
_AT = len(_BEGINNING)  # where the value's length stands
_LINES = 6  # the end of the value's, the note's two, the report's two, and nothing behind
_ZERO = ord(b"0")


class Answer(NamedTuple):
    """A whole answer to a read or a write; a value of None is a miss."""

    value: bytes | None
    note: bytes | None
    """How a read went, in the server's word."""
    report: bytes | None
    """The load report, not yet taken apart."""


class ErrorLine(NamedTuple):
    """A whole answer that begins with `-`, without its mark and end."""

    text: bytes


class PlainAnswer(NamedTuple):
    """A whole answer of another kind: the text of a status line, an integer or a lone string."""

    text: bytes


class ValueStarted(NamedTuple):
    """A value of over 64 KiB begins, which comes in parts."""

    length: int


class ValuePart(NamedTuple):
    """A part of it."""

    data: bytes


class ValueEnded(NamedTuple):
    """The answer that held it is whole."""

    note: bytes | None
    report: bytes | None


Message = Answer | ErrorLine | PlainAnswer | ValueStarted | ValuePart | ValueEnded


class AnswerReader:
    """Reads one answer at a time: what comes behind a whole one is dropped, as nobody has asked for it."""

    def __init__(self) -> None:
        self.trailing = False
        """Whether anything has come behind a whole answer. No further answer may be read then."""
        self.length = 0
        """Bytes of the long value under way; 0 where there is none."""
        self.left = 0
        """Bytes of it, with its end mark, that are still to come."""
        self._held = bytearray()
        self._need = 0  # bytes that have to be held before it is worth reading them again

    @property
    def rest(self) -> bytes:
        """What has come behind the long value under way."""
        return bytes(self._held)

    def resume(self, length: int, left: int, rest: bytes) -> None:
        """Go on within an answer whose long value another reader has read in part."""
        self.length, self.left = length, left
        self._held += rest

    def feed(self, data: bytes) -> list[Message]:
        """Return what these bytes have brought; raises FramingError, after which the stream is lost."""
        if not self._held and not self.length:
            answer = _plain_answer(data)
            if answer is not None:
                return [answer]
        messages: list[Message] = []
        if self.left:
            data = self._pass_on(data, messages)
        self._held += data
        if self._held and len(self._held) >= self._need:
            try:
                self._read(bytes(self._held), messages)
            except Unfinished as unfinished:
                self._need = unfinished.need
        return messages

    def _read(self, data: bytes, messages: list[Message]) -> None:
        """Read a whole answer, or the whole rest of one with a long value, from its first byte."""
        match data[:1]:
            case b"$" if self.length:
                note, position = _string_or_null(data, 0, MAX_TEXT)
                report, position = _string_or_null(data, position, MAX_TEXT)
                self._whole(ValueEnded(note, report), data, position, messages)
            case b"*" if not self.length:
                self._read_array(data, messages)
            case b"$" | b"+" | b"-" | b":" if not self.length:
                answer, position = _single(data)
                self._whole(answer, data, position, messages)
            case _:
                raise FramingError("an element of an unknown type")

    def _read_array(self, data: bytes, messages: list[Message]) -> None:
        count, position = _length(data, 0, b"*")
        if count != ELEMENTS:
            raise FramingError(f"an array of {count} elements")
        if not data.startswith(NULL, position):
            size, start = _length(data, position, b"$")
            if size > MAX_VALUE:
                raise FramingError("value too long")
            if size > LARGE:
                self._start_value(size, data[start:], messages)
                return
        value, position = _string_or_null(data, position, LARGE)
        note, position = _string_or_null(data, position, MAX_TEXT)
        report, position = _string_or_null(data, position, MAX_TEXT)
        self._whole(Answer(value, note, report), data, position, messages)

    def _start_value(self, length: int, data: bytes, messages: list[Message]) -> None:
        messages.append(ValueStarted(length))
        self.length, self.left = length, length + len(END)
        self._held.clear()
        self._need = 0
        rest = self._pass_on(data, messages)
        if rest:
            self._held += rest
            self._read(rest, messages)

    def _pass_on(self, data: bytes, messages: list[Message]) -> bytes:
        """Take what belongs to the long value and its end mark; returns what comes behind them."""
        part = data[: max(self.left - len(END), 0)]
        if part:
            messages.append(ValuePart(part))
            self.left -= len(part)
            data = data[len(part) :]
        if data and self.left:
            mark = data[: self.left]
            if not END[-self.left :].startswith(mark):
                raise FramingError("bulk string without its end")
            self.left -= len(mark)
            data = data[len(mark) :]
        return data

    def _whole(self, answer: Message, data: bytes, position: int, messages: list[Message]) -> None:
        messages.append(answer)
        self.trailing = self.trailing or position < len(data)
        self._held.clear()
        self._need = self.length = 0


def _plain_answer(data: bytes) -> Answer | None:
    """One whole answer with a value of at most 64 KiB, as most come; None: it is to be read strictly."""
    if not data.startswith(_BEGINNING):
        return None
    if data.startswith(b"-1\r\n", _AT):
        value, end = None, _AT + 2
    else:
        line_end = data.find(END, _AT, _AT + MAX_HEADER)
        digits = data[_AT:line_end]
        if line_end < 0 or not digits.isdigit() or digits[0] == _ZERO or (size := int(digits)) > LARGE:
            return None
        end = line_end + len(END) + size
        value = data[end - size : end]
    lines = data[end:].split(END)
    if len(lines) == _LINES:
        behind_value, note_size, note, report_size, report, last = lines
        if behind_value or last or note_size != b"$%d" % len(note) or report_size != b"$%d" % len(report):
            return None
        return Answer(value, note, report)
    return None


def _length(data: bytes, begin: int, mark: bytes) -> tuple[int, int]:
    """A length line as a server may word it: with no zero ahead of its digits."""
    number, end = length_line(data, begin, mark)
    if end - begin != len(mark) + len(b"%d" % number) + len(END):
        raise FramingError("a length with leading zeros")
    return number, end


def _string_or_null(data: bytes, begin: int, longest: int) -> tuple[bytes | None, int]:
    """An element of an array and where it ends."""
    if data.startswith(NULL, begin):
        return None, begin + len(NULL)
    size, start = _length(data, begin, b"$")
    if size > longest:
        raise FramingError("string too long")
    return string_of(data, start, size)


def _single(data: bytes) -> tuple[Message, int]:
    """An answer that is no array: an error, a status, an integer or a lone string."""
    if data[:1] == b"$":
        size, start = _length(data, 0, b"$")
        if size > MAX_TEXT:
            raise FramingError("string too long")
        text, position = string_of(data, start, size)
        return PlainAnswer(text), position
    text, position = _line(data)
    if data[:1] == b"-":
        return ErrorLine(text), position
    if data[:1] == b":" and not _is_integer(text):
        raise FramingError("expected an integer")
    return PlainAnswer(text), position


def _line(data: bytes) -> tuple[bytes, int]:
    """The text of a line behind its mark, and where the line ends."""
    end = data.find(b"\r")
    text = data[1:end] if end >= 0 else data[1:]
    if len(text) > MAX_TEXT:
        raise FramingError("line too long")
    if b"\n" in text:
        raise FramingError("a line that ends without a carriage return")
    if end < 0 or len(data) == end + 1:
        raise Unfinished(len(data) + 1)
    if not data.startswith(END, end):
        raise FramingError("a carriage return within a line")
    return text, end + len(END)


def _is_integer(text: bytes) -> bool:
    return len(text) < MAX_HEADER and text.isdigit() and (text == b"0" or text[0] != _ZERO)
