"""Clients' commands off the wire: arrays of bulk strings, read strictly and within bounds.

Caches' answers are left to hiredis. For commands it would allocate whatever a header claims (an array of
a thousand million places, say) before anything of it has come, and strangers write those headers.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_VALUE = 4 << 20  # PROTOCOL: values hold at most 4 MiB
LARGE = 64 << 10
MAX_PARTS = 16
MAX_WORD = 16 << 10  # all words of a command but its value together: far more than any has
MAX_HEADER = 16  # a length line: its mark, digits and end


class FramingError(Exception):
    """The stream breaks the protocol's framing; the text is for the client."""


@dataclass(frozen=True, slots=True)
class Command:
    """A request as it came: what is passed on, and the list of names and values taken apart."""

    name: bytes
    key: bytes
    id: bytes
    info: bytes
    value: bytes | None
    fields: dict[str, str]
    timeout_ms: int

    def info_with(self, left_ms: int) -> bytes:
        """The list of names and values with `d` telling how long the router will wait."""
        info = b"," + self.info
        start = info.index(b",d=") + 3
        end = info.find(b",", start)
        return b"%b%d%b" % (info[1:start], left_ms, info[end:] if end >= 0 else b"")


class CommandReader:
    """Cuts a client's bytes into commands, each a list of its words."""

    def __init__(self) -> None:
        self._held = bytearray()
        self.need = 0
        """Bytes that the command under way is known to need; 0 between commands."""
        self.broken = ""
        """Why the stream can't be followed any further, once that is so."""

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the commands that are now whole, up to a broken one if `broken` is set by it."""
        if self.need:
            self._held += data
            if len(self._held) < self.need:
                return []
            data = bytes(self._held)
            self._held.clear()
            self.need = 0
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


def parse_request(words: list[bytes]) -> Command:
    """Read a client's request; raises ValueError in words for the client."""
    name = words[0].upper()
    if name not in (b"KV.GET", b"KV.SET"):
        raise ValueError("unknown command")
    is_write = name == b"KV.SET"
    if len(words) != (5 if is_write else 4):
        raise ValueError(f"wrong number of arguments for {name.decode()}")
    key, request, info = words[1:4]
    if len(key) + len(request) + len(info) > MAX_WORD:
        raise ValueError("key, id or list too long")
    # Danger: these words become HTTP lines at the origin, where a line break would forge a header.
    if not _plain(request) or not _plain(info):
        raise ValueError("id and list must be plain text")
    try:
        if not key or not key.decode().isprintable() or b" " in key:
            raise ValueError("key must be text without spaces")
    except UnicodeDecodeError:
        raise ValueError("key must be text without spaces") from None
    fields: dict[str, str] = {}
    for part in info.decode("ascii").split(","):
        field, sign, value = part.partition("=")
        if not sign:
            raise ValueError("expected a list of names and values")
        fields[field] = value
    timeout = fields.get("d", "")
    if not timeout.isdecimal() or len(timeout) > 9:
        raise ValueError("d must be a number of milliseconds")
    if not fields.get("c"):
        raise ValueError("c must name a class")
    return Command(name, key, request, info, words[4] if is_write else None, fields, int(timeout))


def _plain(word: bytes) -> bool:
    return bool(word) and word.isascii() and word.decode("ascii").isprintable()


def bulk(value: bytes) -> bytes:
    """Encode one bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Encode one command."""
    return b"*%d\r\n%b" % (len(words), b"".join(map(bulk, words)))


def parse_load(report: bytes, names: tuple[str, ...]) -> tuple[float, ...] | None:
    """Read a load report into the order of the settings; None where it is not whole."""
    try:
        told = dict(part.split("=", 1) for part in report.decode("ascii").split(","))
        return tuple(float(told[name]) for name in names) or None
    except (ValueError, KeyError):
        return None
