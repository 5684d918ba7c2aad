"""RESP2: reads clients' commands strictly and within size limits, and encodes commands.

Contains the elements that commands and answers have in common (length lines, bulk strings). Answers of cache
servers are read in `resp_answers`.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from saltport.messages import Data
from saltport.wire.partial_message import MessageReader, take_part

MAX_VALUE_BYTES = 4 << 20  # PROTOCOL: the maximum length of a value
STREAMING_THRESHOLD_BYTES = 64 << 10  # longer values are passed on in parts
MAX_FAST_PATH_BYTES = 2048
MAX_WORDS = 16  # in a client's command
MAX_COMMAND_OVERHEAD_BYTES = 16 << 10  # all of a command except its value; valid commands need far less
MAX_REPORT_BYTES = 256  # of a load report
MAX_LENGTH_LINE_BYTES = 16  # type byte, digits and line end
CRLF = b"\r\n"


class FramingError(Exception):
    """The stream violates the framing of the protocol; the text goes to the client or to the log."""


class IncompleteError(Exception):
    """The data ends within an element; at least `needed_bytes` from the start of the data are required."""

    def __init__(self, needed_bytes: int) -> None:
        super().__init__(needed_bytes)
        self.needed_bytes = needed_bytes


class CommandReader(MessageReader):
    """Splits the bytes of a client into commands, each a list of words."""

    def discard(self) -> bool:
        """Discard the rest of the incomplete string; `feed` then returns its command with an empty one.

        Return False if no string is incomplete, but the line with its length.
        """
        _, position = self._complete_words()
        try:
            size, start = read_length_line(bytes(self._buffer), position, b"$")
        except IncompleteError:
            return False
        end = start + size + len(CRLF)
        self._discard_rest(bytes(self._buffer[:position]) + bulk(b""), end - len(self._buffer))
        return True

    def complete_words(self) -> list[bytes]:
        """Return the words of the incomplete command that are complete."""
        return self._complete_words()[0] if self._buffer else []

    def _complete_words(self) -> tuple[list[bytes], int]:
        """Return the complete words of the incomplete command, and the position behind them."""
        words: list[bytes] = []
        data = bytes(self._buffer)
        position = 0
        try:
            _, position = read_length_line(data, 0, b"*")
            while True:
                size, start = read_length_line(data, position, b"$")
                word, position = read_bulk_string(data, start, size)
                words.append(word)
        except IncompleteError:
            return words, position

    def feed(self, data: bytes) -> Sequence[Sequence[Data]]:
        """Return the commands completed by `data`; a framing error sets `framing_error` and ends the list."""
        parseable = self._parseable(data)
        if parseable is None:
            return []
        words = _fast_path_command(parseable) if isinstance(parseable, bytes) else None
        return [words] if words is not None else self._commands(parseable)

    def _commands(self, data: Data) -> list[list[Data]]:
        """Return the commands in `data`, and keep the incomplete one at its end."""
        commands: list[list[Data]] = []
        position = 0
        while position < len(data):
            try:
                words, end = self._command(data, position)
            except IncompleteError as incomplete:
                self.needed_bytes = incomplete.needed_bytes - position
                self._buffer += data[position:]
                break
            except FramingError as error:
                self.framing_error = str(error)
                break
            commands.append(words)
            position = end
        return commands

    def _command(self, data: Data, begin: int) -> tuple[list[Data], int]:
        """Return the command at `begin` and its end; raises IncompleteError or FramingError."""
        count, position = read_length_line(data, begin, b"*")
        if not 1 <= count <= MAX_WORDS:
            raise FramingError("invalid multibulk length")
        spans: list[tuple[int, int]] = []
        while len(spans) < count:
            size, start = read_length_line(data, position, b"$")
            if size > MAX_VALUE_BYTES:
                raise FramingError("value too long")
            if start + size + len(CRLF) - begin > MAX_VALUE_BYTES + MAX_COMMAND_OVERHEAD_BYTES:
                raise FramingError("command too long")
            position = bulk_string_end(data, start, size)
            spans.append((start, start + size))
        # The last word is taken last: it may take the buffer with it.
        return [take_part(data, start, end, position) for start, end in spans], position


def read_length_line(data: Data, begin: int, mark: bytes) -> tuple[int, int]:
    """Return the number in a length line and the end of the line; raises IncompleteError or FramingError."""
    end = data.find(CRLF, begin, begin + MAX_LENGTH_LINE_BYTES)
    if end < 0 and len(data) - begin < MAX_LENGTH_LINE_BYTES and mark.startswith(data[begin : begin + 1]):
        raise IncompleteError(len(data) + 1)
    digits = data[begin + 1 : end] if end > 0 else b""
    if data[begin : begin + 1] != mark or not digits.isdigit():
        raise FramingError(f"expected {mark.decode()!r} and a length")
    return int(digits), end + len(CRLF)


def read_bulk_string(data: bytes, start: int, size: int) -> tuple[bytes, int]:
    """Return a bulk string of `size` bytes and its end; raises IncompleteError or FramingError."""
    end = bulk_string_end(data, start, size)
    return data[start : start + size], end


def bulk_string_end(data: Data, start: int, size: int) -> int:
    """Return the end of a bulk string of `size` bytes; raises IncompleteError or FramingError."""
    end = start + size + len(CRLF)
    if len(data) < end:
        raise IncompleteError(end)
    if data[end - len(CRLF) : end] != CRLF:
        raise FramingError("bulk string without its end")
    return end


def _fast_path_command(data: bytes) -> list[bytes] | None:
    """Return the words if `data` is exactly one short, valid command; None sends it to the full parser."""
    if len(data) > MAX_FAST_PATH_BYTES:
        return None
    lines = data.split(b"\r\n")
    words = lines[2:-1:2]
    if not words or lines[0] != b"*%d" % len(words) or len(lines) != 2 * len(words) + 2 or lines[-1]:
        return None
    for at, word in enumerate(words, 1):
        if lines[2 * at - 1] != b"$%d" % len(word):
            return None
    return words if len(words) <= MAX_WORDS else None


def parse_info(info: bytes) -> dict[str, str]:
    """Return the fields of a request's info (`name=value,...`); raises ValueError with a text for clients."""
    fields: dict[str, str] = {}
    try:
        text = info.decode()
    except UnicodeDecodeError:
        raise ValueError("the list of names and values must be UTF-8") from None
    for part in text.split(","):
        field, sign, value = part.partition("=")
        if not sign:
            raise ValueError("expected a list of names and values")
        if field in fields:
            # Danger: of two `d` fields only one would be rewritten; the other would be forwarded unchanged.
            raise ValueError(f"{field} is told twice")
        fields[field] = value
    return fields


def parse_load_report(report: bytes, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """Return the values of a load report in the order of `fields`, or None if the report is invalid."""
    if len(report) > MAX_REPORT_BYTES:
        return None
    try:
        reported = dict(part.split("=") for part in report.decode("ascii").split(","))
        values = tuple([float(reported[field]) for field in fields])
    except (ValueError, KeyError):  # UnicodeDecodeError is a ValueError
        return None
    return values if all(0.0 <= value < math.inf for value in values) else None


def with_remaining_time(info: bytes, remaining_ms: int) -> bytes:
    """Return a request's info with its `d` field set to the remaining time of the request.

    All protocols towards servers use this function to state the remaining time.
    """
    info = b"," + info
    start = info.index(b",d=") + 3
    end = info.find(b",", start)
    return b"%b%d%b" % (info[1:start], remaining_ms, info[end:] if end >= 0 else b"")


def bulk(value: bytes) -> bytes:
    """Return an encoded bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Return an encoded command."""
    return b"*%d\r\n%b" % (len(words), b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words]))


def command_head(*words: bytes, value_length: int) -> bytes:
    """Return the begin of a command whose last word, a value of this length, and CRLF follow."""
    encoded = b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words])
    return b"*%d\r\n%b$%d\r\n" % (len(words) + 1, encoded, value_length)
