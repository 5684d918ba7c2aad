"""A small HTTP/1.1 client on one connection: a request at a time, and never sent twice.

httptools reads strictly what decides where a message ends: one length without a sign, no length beside
chunks, whole line ends, no folded lines. What it lets pass and RFC 9112 does not is refused here.
"""

from __future__ import annotations

import re

import httptools

MAX_HEAD = 32 << 10
"""Bytes of a head, and of what else may stand beside a body on end: chunk extensions and trailers."""
MAX_INTERIM = 16
"""Interim answers ahead of one."""
_VERSIONS = ("1.0", "1.1")
_FIRST = b"H"
_LINE_EXTRA = len(": \r\n")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class HttpError(Exception):
    """The bytes are no HTTP/1.1 answer."""


class HttpReader:
    """Reads the answers of one connection; a subclass takes their parts."""

    def __init__(self) -> None:
        self._next_answer()

    def _next_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self._beside = 0  # bytes read since the last one of a body
        self._head = self._interim = 0
        self._in_body = self._whole = self._keep = False

    @property
    def status(self) -> int:
        """The status code of the answer being read."""
        return self._parser.get_status_code()

    @property
    def stays_open(self) -> bool:
        """Whether the head of the answer being read says that the connection may be kept."""
        return bool(self._parser.should_keep_alive())

    def read(self, data: bytes) -> bool:
        """Read a part of an answer; returns whether it is whole."""
        if not self._beside and not self._in_body and data[:1] != _FIRST:
            raise HttpError("expected a status line")
        self._beside += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._whole:
                raise HttpError(str(error.__context__ or error) or type(error).__name__) from None
            # Danger: what stands behind a whole answer does not spoil it, but may never be read as the next.
            self._keep = False
        if not self._whole and self._beside > MAX_HEAD:
            raise HttpError("head too long" if not self._in_body else "too much beside the body")
        return self._whole

    def ended(self) -> bool:
        """The other side has ended cleanly; whether that makes the answer whole.

        Danger: only where the head names no end of its own; and a reset is no end.
        """
        if (
            not self._in_body
            or self._whole
            or self.headers.keys() & {b"content-length", b"transfer-encoding"}
        ):
            return False
        self._whole, self._keep = True, False
        return True

    def answer_done(self) -> bool:
        """Make ready for the next answer; returns whether the connection may be kept."""
        keep = self._keep
        self._next_answer()
        return keep

    def on_status(self, reason: bytes) -> None:
        """Called by httptools with the status line's last part, or a piece of it."""
        self._count(len(reason))
        if _CONTROL.search(reason):
            raise HttpError("a control character in the status line")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools, for trailers as well: these are dropped, as they come from behind the body."""
        self._count(len(name) + len(value) + _LINE_EXTRA)
        if self._in_body:
            return
        # Spaces only: behind a tab httptools does not know the coding, and neither may we.
        name, value = name.lower(), value.strip(b" ")
        former = self.headers.get(name)
        self.headers[name] = value if former is None else b"%b, %b" % (former, value)

    def _count(self, size: int) -> None:
        self._head += size
        if self._head > MAX_HEAD:
            raise HttpError("head too long")

    def on_headers_complete(self) -> None:
        """Called by httptools."""
        status, version = self.status, self._parser.get_http_version()
        if version not in _VERSIONS or not 100 <= status <= 599:
            raise HttpError(f"a status of {status} in HTTP/{version}")
        if status == 101:
            raise HttpError("a change of protocol was not asked for")
        if status < 200:
            self._interim += 1
            if self._interim > MAX_INTERIM:
                raise HttpError("too many interim answers")
            return  # Danger: an interim answer may stand ahead of the real one, and is none itself
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and (version == "1.0" or coding.lower() != b"chunked"):
            raise HttpError("a transfer coding that was not asked for")
        length = self.headers.get(b"content-length")
        self._in_body = True
        self.body_starts(int(length) if length is not None else None)

    def on_body(self, data: bytes) -> None:
        """Called by httptools."""
        if self._whole:
            raise HttpError("more than one answer")
        self._beside = 0
        self.body_came(data)

    def on_message_begin(self) -> None:
        """Called by httptools: a second answer in the same bytes is none that was asked for."""
        if self._whole:
            raise HttpError("more than one answer")

    def on_message_complete(self) -> None:
        """Called by httptools."""
        if not self._in_body:
            self.headers.clear()  # an interim answer's
            return
        self._whole = True
        self._keep = self._parser.should_keep_alive()

    def body_starts(self, length: int | None) -> None:
        """The head is whole; `length` is that of the body, where it is told."""
        raise NotImplementedError

    def body_came(self, data: bytes) -> None:
        """Take a part of the body."""
        raise NotImplementedError


def request(method: str, target: str, host: str, headers: bytes = b"", body: bytes | None = None) -> bytes:
    """Write a request down; `headers` are whole lines."""
    length = b"" if body is None else b"Content-Length: %d\r\n" % len(body)
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n".encode("ascii")
    return b"%b%b%b\r\n%b" % (head, headers, length, body or b"")
