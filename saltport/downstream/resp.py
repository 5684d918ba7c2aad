"""The RESP2 dialect towards clients: KV.GET, KV.SET and PING."""

from __future__ import annotations

import re
from functools import lru_cache

from saltport.downstream.words import check_key
from saltport.messages import Answers, Malformed, Message, Ping, Request
from saltport.wire.resp import MAX_COMMAND_OVERHEAD_BYTES, CommandReader, bulk, parse_info


class RespAnswers:
    """How replies are worded; none needs anything of its command."""

    def served(self, value: bytes) -> bytes:
        """A bulk string."""
        return bulk(value)

    def head(self, length: int) -> bytes:
        """A bulk string's beginning."""
        return b"$%d\r\n" % length

    def tail(self) -> bytes:
        """A bulk string's end."""
        return b"\r\n"

    def refused(self, retry_after_ms: int) -> bytes:
        """`-BUSY`, with the milliseconds where there are any."""
        return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"

    def failed(self) -> bytes:
        """An error line that says no more."""
        return b"-ERR failed\r\n"

    def rejected(self, reason: str) -> bytes:
        """An error line with the reason."""
        return b"-ERR %b\r\n" % reason.encode()

    def pong(self, ready: bool) -> bytes:
        """`+PONG` while clients are taken."""
        return b"+PONG\r\n" if ready else b"-LOADING no clients are taken now\r\n"


ANSWERS = RespAnswers()
REMEMBERED_INFO = 128  # longer lists are read each time, so that strangers can't fill the memory
_PLAIN = re.compile(rb"[ -~]+").fullmatch
_TEXT = re.compile(rb"[ -~\x80-\xff]+").fullmatch  # names of classes and tenants may be in any script


class RespDialect:
    """Reads one client's commands."""

    name = "resp"

    def __init__(self) -> None:
        self._reader = CommandReader()

    @property
    def need(self) -> int:
        """See ClientDialect."""
        return self._reader.needed_bytes

    @property
    def held(self) -> bytes:
        """See ClientDialect."""
        return self._reader.pending

    @property
    def broken(self) -> str:
        """See ClientDialect."""
        return self._reader.broken

    def feed(self, data: bytes) -> list[tuple[Message, Answers]]:
        """See ClientDialect."""
        return [(_message(words), ANSWERS) for words in self._reader.feed(data)]

    def breaking(self) -> bytes:
        """An error line, as servers of this protocol give it."""
        return ANSWERS.rejected(f"Protocol error: {self.broken or 'command not finished in time'}")


def _message(words: list[bytes]) -> Message:
    if len(words) == 1 and words[0].upper() == b"PING":
        return Ping()
    try:
        return parse_request(words)
    except ValueError as error:
        return Malformed(str(error))


def parse_request(words: list[bytes]) -> Request:
    """Read a client's request; raises ValueError in words for the client."""
    name = words[0].upper()
    if name not in (b"KV.GET", b"KV.SET"):
        raise ValueError("unknown command")
    is_write = name == b"KV.SET"
    if len(words) != (5 if is_write else 4):
        raise ValueError(f"wrong number of arguments for {name.decode()}")
    key, request, info = words[1:4]
    if len(key) + len(request) + len(info) > MAX_COMMAND_OVERHEAD_BYTES:
        raise ValueError("key, id or list too long")
    # Danger: these words become HTTP lines at the origin, where a line break would forge a header.
    if not _PLAIN(request) or not _TEXT(info):
        raise ValueError("id and list must be plain text")
    check_key(key)
    told = _told if len(info) <= REMEMBERED_INFO else _told.__wrapped__
    request_class, tenant, timeout_ms, retry = told(info)
    value = words[4] if is_write else None
    return Request(request, key, request_class, tenant, timeout_ms, value, retry, info)


@lru_cache(maxsize=512)
def _told(info: bytes) -> tuple[str, str | None, int, bool]:
    """Class, tenant, milliseconds and retry mark; most requests' lists are like some that came before."""
    fields = parse_info(info)
    timeout = fields.get("d", "")
    if not timeout.isdecimal() or len(timeout) > 9:
        raise ValueError("d must be a number of milliseconds")
    if not fields.get("c"):
        raise ValueError("c must name a class")
    return fields["c"], fields.get("t"), int(timeout), fields.get("r") == "1"
