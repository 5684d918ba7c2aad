"""A small HTTP/1.1 client on one connection: a request at a time, and never sent twice."""

from __future__ import annotations

import httptools

MAX_HEAD = 32 << 10


class HttpError(Exception):
    """The bytes are no HTTP/1.1 answer."""


class HttpReader:
    """Reads the answers of one connection; a subclass takes their parts."""

    def __init__(self) -> None:
        self._next_answer()

    def _next_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self._head = 0
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
        if not self._in_body:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._whole:
                raise HttpError(str(error) or type(error).__name__) from None
            # Danger: what stands behind a whole answer does not spoil it, but may never be read as the next.
            self._keep = False
        if not self._in_body and self._head > MAX_HEAD:
            raise HttpError("head too long")
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

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Called by httptools."""
        if self.status == 101:
            raise HttpError("a change of protocol was not asked for")
        if self.status < 200:
            return  # Danger: an interim answer may stand ahead of the real one, and is none itself
        self._in_body = True
        length = self.headers.get(b"content-length")
        self.body_starts(int(length) if length is not None and length.isdigit() else None)

    def on_body(self, data: bytes) -> None:
        """Called by httptools."""
        if self._whole:
            raise HttpError("more than one answer")
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
