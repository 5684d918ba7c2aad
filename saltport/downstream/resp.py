"""The RESP2 dialect for clients: KV.GET, KV.SET and PING."""

from __future__ import annotations

import re
from collections.abc import Sequence
from functools import lru_cache

from saltport.downstream.keys import check_key
from saltport.downstream.reader_dialect import ReaderDialect
from saltport.messages import Answers, Data, Discarded, Malformed, Message, Ping, Request
from saltport.wire.resp import MAX_COMMAND_OVERHEAD_BYTES, CommandReader, bulk, parse_info


class RespAnswers:
    """Encodes replies in RESP2; a reply does not depend on its command."""

    def served(self, value: bytes) -> bytes:
        """Return a value or receipt as a bulk string."""
        return bulk(value)

    def head(self, length: int) -> bytes:
        """Return the beginning of a bulk string of this length."""
        return b"$%d\r\n" % length

    def tail(self) -> bytes:
        """Return the end of a bulk string."""
        return b"\r\n"

    def refused(self, retry_after_ms: int) -> bytes:
        """Return a `-BUSY` error, with the retry delay if it is positive."""
        return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else b"-BUSY\r\n"

    def failed(self) -> bytes:
        """Return a generic error line."""
        return b"-ERR failed\r\n"

    def rejected(self, reason: str) -> bytes:
        """Return an error line with the reason."""
        return b"-ERR %b\r\n" % reason.encode()

    def pong(self, ready: bool) -> bytes:
        """Return `+PONG` if the router accepts clients, else a `-LOADING` error."""
        return b"+PONG\r\n" if ready else b"-LOADING no clients are taken now\r\n"


ANSWERS = RespAnswers()
MAX_CACHED_INFO_BYTES = (
    128  # longer info lists are parsed each time, so that clients can't fill the cache with large entries
)
_PLAIN = re.compile(rb"[ -~]+").fullmatch
_TEXT = re.compile(rb"[ -~\x80-\xff]+").fullmatch  # names of classes and tenants may be non-ASCII


class RespDialect(ReaderDialect[CommandReader]):
    """The RESP2 reader of one client connection, see ClientDialect."""

    name = "resp"

    def __init__(self) -> None:
        super().__init__(CommandReader())

    @property
    def partial_timeout_ms(self) -> int:
        """How long the client waits for the answer to the partial command; 0 if that is not known yet."""
        try:
            return parse_request([*self._reader.complete_words(), b""]).timeout_ms
        except ValueError:
            return 0

    def feed(self, data: bytes) -> list[tuple[Message, Answers]]:
        """Parse received bytes; return the complete commands, each with its reply encoder."""
        messages: list[tuple[Message, Answers]] = [
            (_message(words), ANSWERS) for words in self._reader.feed(data)
        ]
        if messages and self._reader.first_is_discarded:
            self._reader.first_is_discarded = False
            message = messages[0][0]
            messages[0] = Discarded(message if isinstance(message, Request) else None), ANSWERS
        return messages

    def closing_reply(self) -> bytes:
        """Return the protocol error that is sent before the close, in the form RESP servers use."""
        return ANSWERS.rejected(f"Protocol error: {self.end_reason or 'command not finished in time'}")


def _message(words: Sequence[Data]) -> Message:
    """Return the command that consists of these words, as a message."""
    if len(words) == 1 and words[0].upper() == b"PING":
        return Ping()
    try:
        return parse_request(words)
    except ValueError as error:
        return Malformed(str(error))


def parse_request(words: Sequence[Data]) -> Request:
    """Parse the words of a command into a request; raise ValueError with a message for the client."""
    name = words[0].upper()
    if name not in (b"KV.GET", b"KV.SET"):
        raise ValueError("unknown command")
    is_write = name == b"KV.SET"
    if len(words) != (5 if is_write else 4):
        raise ValueError(f"wrong number of arguments for {name.decode()}")
    key, request, info = bytes(words[1]), bytes(words[2]), bytes(words[3])
    if len(key) + len(request) + len(info) > MAX_COMMAND_OVERHEAD_BYTES:
        raise ValueError("key, id or list too long")
    # Danger: these words become HTTP header lines to the origin, where a line break would inject a header.
    if not _PLAIN(request) or not _TEXT(info):
        raise ValueError("id and list must be plain text")
    check_key(key)
    parse = _parse_fields if len(info) <= MAX_CACHED_INFO_BYTES else _parse_fields.__wrapped__
    request_class, tenant, timeout_ms, retry = parse(info)
    value = words[4] if is_write else None
    return Request(request, key, request_class, tenant, timeout_ms, value, retry, info)


@lru_cache(maxsize=512)
def _parse_fields(info: bytes) -> tuple[str, str | None, int, bool]:
    """Return class, tenant, timeout in milliseconds and retry mark; cached, as most info lists recur."""
    fields = parse_info(info)
    timeout = fields.get("d", "")
    if not timeout.isdecimal() or len(timeout) > 9:
        raise ValueError("d must be a number of milliseconds")
    if not fields.get("c"):
        raise ValueError("c must name a class")
    return fields["c"], fields.get("t"), int(timeout), fields.get("r") == "1"
