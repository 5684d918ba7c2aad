"""Connections to the origin, which speaks HTTP/1.1."""

from __future__ import annotations

from urllib.parse import quote

from saltport.decisions import Outcome
from saltport.handover.record import ReadPosition
from saltport.upstream.connection import Connection, Exchange, Server
from saltport.wire.http import HttpError, HttpReader, request
from saltport.wire.resp import MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES, with_remaining_time

_NEVER_RAN = (503, 504)
KEY_SAFE = "/:@!$&'()*+,;=-._~"  # what a path may hold as it is


class OriginConnection(Connection, HttpReader):
    """Speaks HTTP with the origin, one request at a time."""

    def __init__(self, server: Server) -> None:
        Connection.__init__(self, server)
        HttpReader.__init__(self)
        self._body = bytearray()
        self._streaming = False
        self._length = self._left = 0  # of a long value

    def flow(self) -> ReadPosition | None:
        """See Connection."""
        if not self._streaming:
            return None
        server = self.server
        closes = self.retired or not self.keep_alive
        return ReadPosition("origin", server.id, server.address, self._length, self._left, "", closes=closes)

    def go_on(self, flow: ReadPosition) -> None:
        """See Connection: the parser is told of an answer that has just what is left."""
        self._streaming = True
        self._length, self._left = flow.length, flow.left
        self.read(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % flow.left)

    def request_bytes(self, exchange: Exchange, remaining_ms: int) -> bytes:
        """A read as GET, a write as PUT, with the client's list, whose `d` tells what is left; or a probe."""
        asked, (host, port) = exchange.request, self.server.address
        if asked is None:
            return request("GET", "/stats" if exchange.wants_load else "/health/live", f"{host}:{port}")
        method = "GET" if asked.value is None else "PUT"
        headers = b"Request-Id: %b\r\nRequest-Info: %b\r\n" % (
            asked.id,
            with_remaining_time(asked.info, remaining_ms),
        )
        return request(method, "/" + quote(asked.key, safe=KEY_SAFE), f"{host}:{port}", headers, asked.value)

    def answer_came(self, data: bytes) -> None:
        """Read a part of the answer."""
        try:
            whole = self.read(data)
        except HttpError as error:
            self.spoil(f"broke the protocol: {error}")
            return
        if whole:
            self._answered()

    def eof_received(self) -> bool:
        """The origin has ended, which is the end of an answer that names none."""
        self.server.pool.touched()
        if self.exchange is not None and self.end_of_stream():
            self._answered()
        return False

    def _answered(self) -> None:
        status = self.status
        not_started = self.headers.get(b"not-started") == b"1"
        value = None if self._streaming else bytes(self._body)
        self._streaming = False
        self._body.clear()
        self.retired = not self.finish_answer() or self.retired
        if status == 200:
            self.finish(Outcome.OK, value)
        elif status in _NEVER_RAN and not_started:
            self.finish(Outcome.FULL)
        else:
            self.finish(Outcome.ERROR)

    def body_started(self, length: int | None) -> None:
        """Pass a long value on as it comes; a short one, or one of unknown length, is gathered."""
        if self._streaming:
            return  # goes on
        if length is not None and length > MAX_VALUE_BYTES:
            raise HttpError("value too long")
        if (
            length is not None
            and length > STREAMING_THRESHOLD_BYTES
            and self.status == 200
            and self.exchange is not None
        ):
            self._streaming = True
            self._length = self._left = length
            self.exchange.value_started(length, self)

    def body_received(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._streaming:
            self._left -= len(data)
            if self.exchange is not None:
                self.exchange.value_came(data)
            return
        self._body += data
        if len(self._body) > MAX_VALUE_BYTES:
            raise HttpError("value too long")
