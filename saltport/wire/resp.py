"""Clients' commands off the wire: arrays of bulk strings, read strictly and within bounds.

Caches' answers are left to hiredis. For commands it would allocate whatever a header claims (an array of
a thousand million places, say) before anything of it has come, and strangers write those headers.
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


class FramingError(Exception):
    """The stream breaks the protocol's framing; the text is for the client."""


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
            except FramingError as error:
                self.broken = str(error)
                break
            if not end:
                self._held += data[position:]
                break
            commands.append(words)
            position = end
        return commands

    def _command(self, data: bytes, begin: int) -> tuple[list[bytes], int]:
        count, position = self._length(data, begin, b"*")
        if position and not 1 <= count <= MAX_PARTS:
            raise FramingError("invalid multibulk length")
        words: list[bytes] = []
        while position and len(words) < count:
            size, start = self._length(data, position, b"$")
            if not start:
                position = 0
                break
            position = start + size + 2
            if size > MAX_VALUE:
                raise FramingError("value too long")
            if position - begin > MAX_VALUE + MAX_WORD:
                raise FramingError("command too long")
            if len(data) < position:
                self.need = position - begin
                return [], 0
            if data[position - 2 : position] != b"\r\n":
                raise FramingError("bulk string without its end")
            words.append(data[start : position - 2])
        if not position:
            self.need = len(data) - begin + 1
        return words, position

    def _length(self, data: bytes, begin: int, mark: bytes) -> tuple[int, int]:
        """A length line's number and where the line ends; 0 where it is not whole."""
        end = data.find(b"\r\n", begin, begin + MAX_HEADER)
        if end < 0 and len(data) - begin < MAX_HEADER and mark.startswith(data[begin : begin + 1]):
            return 0, 0
        digits = data[begin + 1 : end] if end > 0 else b""
        if data[begin : begin + 1] != mark or not digits.isdigit():
            raise FramingError(f"expected {mark.decode()!r} and a length")
        return int(digits), end + 2


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
