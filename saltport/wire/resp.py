"""RESP2: clients' commands off the wire, read strictly and within bounds, and commands put on it.

The elements that commands and answers have in common (length lines, bulk strings) are read here; answers of
cache servers are read in `resp_answers`.
"""

from __future__ import annotations

import math

MAX_VALUE = 4 << 20  # PROTOCOL: values hold at most 4 MiB
LARGE = 64 << 10
SHORT = 2048
MAX_PARTS = 16
MAX_WORD = 16 << 10  # all words of a command but its value together: far more than any has
MAX_REPORT = 256
MAX_HEADER = 16  # a length line: its mark, digits and end
END = b"\r\n"


class FramingError(Exception):
    """The stream breaks the protocol's framing; the text is for the client, or for the log."""


class Unfinished(Exception):  # noqa: N818 - no error: it goes on with the next bytes
    """What is being read is not whole; it takes at least `need` bytes, counted from the start of the data."""

    def __init__(self, need: int) -> None:
        super().__init__(need)
        self.need = need


class CommandReader:
    """Cuts a client's bytes into commands, each a list of its words."""

    def __init__(self) -> None:
        self._held = bytearray()
        self.need = 0
        """Bytes that the command under way is known to need; 0 between commands."""
        self.broken = ""
        """Why the stream can't be followed any further, once that is so."""

    @property
    def held(self) -> bytes:
        """What has come of the command under way."""
        return bytes(self._held)

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the commands that are now whole, up to a broken one if `broken` is set by it."""
        if self.need:
            self._held += data
            if len(self._held) < self.need:
                return []
            data = bytes(self._held)
            self._held.clear()
            self.need = 0
        words = _plain_command(data)
        if words is not None:
            return [words]
        commands: list[list[bytes]] = []
        position = 0
        while position < len(data):
            try:
                words, end = self._command(data, position)
            except Unfinished as unfinished:
                self.need = unfinished.need - position
                self._held += data[position:]
                break
            except FramingError as error:
                self.broken = str(error)
                break
            commands.append(words)
            position = end
        return commands

    def _command(self, data: bytes, begin: int) -> tuple[list[bytes], int]:
        count, position = length_line(data, begin, b"*")
        if not 1 <= count <= MAX_PARTS:
            raise FramingError("invalid multibulk length")
        words: list[bytes] = []
        while len(words) < count:
            size, start = length_line(data, position, b"$")
            if size > MAX_VALUE:
                raise FramingError("value too long")
            if start + size + len(END) - begin > MAX_VALUE + MAX_WORD:
                raise FramingError("command too long")
            word, position = string_of(data, start, size)
            words.append(word)
        return words, position


def length_line(data: bytes, begin: int, mark: bytes) -> tuple[int, int]:
    """Return a length line's number and where the line ends; raises Unfinished and FramingError."""
    end = data.find(END, begin, begin + MAX_HEADER)
    if end < 0 and len(data) - begin < MAX_HEADER and mark.startswith(data[begin : begin + 1]):
        raise Unfinished(len(data) + 1)
    digits = data[begin + 1 : end] if end > 0 else b""
    if data[begin : begin + 1] != mark or not digits.isdigit():
        raise FramingError(f"expected {mark.decode()!r} and a length")
    return int(digits), end + len(END)


def string_of(data: bytes, start: int, size: int) -> tuple[bytes, int]:
    """Return a bulk string that has so many bytes and where it ends; raises Unfinished and FramingError."""
    end = start + size
    if len(data) < end + len(END):
        raise Unfinished(end + len(END))
    if data[end : end + len(END)] != END:
        raise FramingError("bulk string without its end")
    return data[start:end], end + len(END)


def _plain_command(data: bytes) -> list[bytes] | None:
    """The words of one whole, short command, as most reads come; None: it is to be read strictly."""
    if len(data) > SHORT:
        return None
    lines = data.split(b"\r\n")
    words = lines[2:-1:2]
    if not words or lines[0] != b"*%d" % len(words) or len(lines) != 2 * len(words) + 2 or lines[-1]:
        return None
    for at, word in enumerate(words, 1):
        if lines[2 * at - 1] != b"$%d" % len(word):
            return None
    return words if len(words) <= MAX_PARTS else None


def parse_info(info: bytes) -> dict[str, str]:
    """Take a request's list of names and values apart; raises ValueError in words for the client."""
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
            # Danger: of a `d` that stands there twice, one would go on as the client wrote it.
            raise ValueError(f"{field} is told twice")
        fields[field] = value
    return fields


def read_report(report: bytes, fields: tuple[str, ...]) -> tuple[float, ...] | None:
    """The values of a load report in the order of `fields`; None where it can't be read."""
    if len(report) > MAX_REPORT:
        return None
    try:
        told = dict(part.split("=") for part in report.decode("ascii").split(","))
        values = tuple([float(told[field]) for field in fields])
    except (ValueError, KeyError):  # one that isn't ASCII is a ValueError too
        return None
    return values if all(0.0 <= value < math.inf for value in values) else None


def info_with(info: bytes, remaining_ms: int) -> bytes:
    """The list of names and values, its `d` telling what is left of the client's time.

    On every wire to servers, time is worded here and nowhere else.
    """
    info = b"," + info
    start = info.index(b",d=") + 3
    end = info.find(b",", start)
    return b"%b%d%b" % (info[1:start], remaining_ms, info[end:] if end >= 0 else b"")


def bulk(value: bytes) -> bytes:
    """Encode one bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Encode one command."""
    return b"*%d\r\n%b" % (len(words), b"".join([b"$%d\r\n%b\r\n" % (len(word), word) for word in words]))
