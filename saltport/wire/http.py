"""An HTTP/1.1 answer reader for one connection, one answer at a time, and an encoder of requests. No I/O.

httptools is strict about message framing: one unsigned length, no length together with chunks, complete line
ends, no folded lines. This module rejects what httptools accepts although RFC 9112 forbids it.
"""

from __future__ import annotations

import re

import httptools

from saltport.messages import Data

MAX_HEADER_BYTES = 32 << 10
"""Limit for a header, and for consecutive bytes outside a body (chunk extensions, trailers)."""
MAX_INTERIM_ANSWERS = 16
"""Maximum number of interim (1xx) answers before a final answer."""
_VERSIONS = ("1.0", "1.1")
_FIRST_BYTE = b"H"
_HEADER_LINE_OVERHEAD_BYTES = len(": \r\n")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class HttpError(Exception):
    """The bytes are not a valid HTTP/1.1 answer."""


class HttpReader:
    """Reads the answers of one connection; a subclass receives the parts of their bodies."""

    def __init__(self) -> None:
        self._reset_parser()

    def _reset_parser(self) -> None:
        """Prepare for the next answer."""
        self._parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self._bytes_outside_body = 0  # since the last body byte
        self._header_bytes = self._interim_answers = 0
        self._in_body = self._complete = self._keep_alive = False

    @property
    def status(self) -> int:
        """The status code of the answer being read."""
        return self._parser.get_status_code()

    @property
    def keep_alive(self) -> bool:
        """Whether the header of the answer being read allows the connection to be reused."""
        return bool(self._parser.should_keep_alive())

    def read(self, data: bytes) -> bool:
        """Parse a part of an answer; return whether the answer is complete. Raises HttpError."""
        if not self._bytes_outside_body and not self._in_body and data[:1] != _FIRST_BYTE:
            raise HttpError("expected a status line")
        self._bytes_outside_body += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                raise HttpError(str(error.__context__ or error) or type(error).__name__) from None
            # Danger: bytes after a complete answer do not invalidate it, but must never be read as the next.
            self._keep_alive = False
        if not self._complete and self._bytes_outside_body > MAX_HEADER_BYTES:
            raise HttpError(
                "header too long" if not self._in_body else "chunk extensions or trailers too long"
            )
        return self._complete

    def end_of_stream(self) -> bool:
        """Process a clean end of the connection; return whether it completes the answer.

        Danger: it does so only if the header states neither a length nor chunks; a reset never completes an
        answer, as part of the body may be missing.
        """
        if (
            not self._in_body
            or self._complete
            or self.headers.keys() & {b"content-length", b"transfer-encoding"}
        ):
            return False
        self._complete, self._keep_alive = True, False
        return True

    def finish_answer(self) -> bool:
        """Prepare for the next answer; return whether the connection can be reused."""
        keep_alive = self._keep_alive
        self._reset_parser()
        return keep_alive

    def drop_parser(self) -> None:
        """Free the parser, which refers to this reader; nothing may be read any more."""
        del self._parser

    def on_status(self, reason: bytes) -> None:
        """Check the reason phrase, or a part of it (called by httptools)."""
        self._count_header_bytes(len(reason))
        if _CONTROL_CHARACTER.search(reason):
            raise HttpError("control character in the status line")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; drop a trailer, as it follows the body (called by httptools for both)."""
        self._count_header_bytes(len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES)
        if self._in_body:
            return
        # Strips spaces only: httptools does not recognize a transfer coding after a tab, and this must agree.
        name, value = name.lower(), value.strip(b" ")
        former = self.headers.get(name)
        self.headers[name] = value if former is None else b"%b, %b" % (former, value)

    def _count_header_bytes(self, size: int) -> None:
        """Add to the size of the header; raises HttpError if it exceeds the limit."""
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            raise HttpError("header too long")

    def on_headers_complete(self) -> None:
        """Check the header, and announce the body of a final answer (called by httptools)."""
        status, version = self.status, self._parser.get_http_version()
        if version not in _VERSIONS or not 100 <= status <= 599:
            raise HttpError(f"unsupported status {status} or version HTTP/{version}")
        if status == 101:
            raise HttpError("unrequested protocol upgrade")
        if status < 200:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise HttpError("too many interim answers")
            return  # Danger: an interim answer precedes the final answer and must not be taken for it
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and (version == "1.0" or coding.lower() != b"chunked"):
            raise HttpError("unsupported transfer coding")
        length = self.headers.get(b"content-length")
        self._in_body = True
        self.body_started(int(length) if length is not None else None)

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on (called by httptools)."""
        if self._complete:
            raise HttpError("more than one answer to a request")
        self._bytes_outside_body = 0
        self.body_received(data)

    def on_message_begin(self) -> None:
        """Reject a second answer in the same bytes, as no request asked for it (called by httptools)."""
        if self._complete:
            raise HttpError("more than one answer to a request")

    def on_message_complete(self) -> None:
        """Mark a final answer as complete, or discard an interim answer (called by httptools)."""
        if not self._in_body:
            self.headers.clear()  # of an interim answer
            return
        self._complete = True
        self._keep_alive = self._parser.should_keep_alive()

    def body_started(self, length: int | None) -> None:
        """Called when the header is complete; `length` is the length of the body if the header states it."""
        raise NotImplementedError

    def body_received(self, data: bytes) -> None:
        """Called with each part of the body."""
        raise NotImplementedError


def request(method: str, target: str, host: str, headers: bytes = b"") -> bytes:
    """Return an encoded request without a body; `headers` are complete header lines with their line ends."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n".encode("ascii")
    return b"%b%b\r\n" % (head, headers)


def content_length(body: Data) -> bytes:
    """Return the header line that announces a body."""
    return b"Content-Length: %d\r\n" % len(body)
