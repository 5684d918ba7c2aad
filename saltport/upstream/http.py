"""Connections to the origin, over HTTP/1.1."""

from __future__ import annotations

from urllib.parse import quote

from saltport.decisions import Outcome
from saltport.handover.record import ReadPosition
from saltport.upstream.connection import Connection, Exchange, Server
from saltport.wire.http import HttpError, HttpReader, request
from saltport.wire.resp import MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES, with_remaining_time

_NEVER_RAN = (503, 504)
KEY_SAFE = "/:@!$&'()*+,;=-._~"  # characters that a path may contain unescaped


class OriginConnection(Connection, HttpReader):
    """An HTTP connection to the origin, with one request at a time."""

    def __init__(self, server: Server) -> None:
        Connection.__init__(self, server)
        HttpReader.__init__(self)
        self._body = bytearray()
        self._streaming = False
        self._length = self._left = 0  # bytes of a long value, in all and left to read

    def flow(self) -> ReadPosition | None:
        """Return the state of the long value that is being read; None if there is none."""
        if not self._streaming:
            return None
        server = self.server
        closes = self.retired or not self.keep_alive
        return ReadPosition("origin", server.id, server.address, self._length, self._left, "", closes=closes)

    def resume_value(self, flow: ReadPosition) -> None:
        """Continue a long value: the parser gets the head of an answer whose length is the part left."""
        self._streaming = True
        self._length, self._left = flow.length, flow.left
        self.read(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % flow.left)

    def request_bytes(self, exchange: Exchange, remaining_ms: int) -> bytes:
        """Return a GET for a read, a PUT for a write, or a probe; `d` in Request-Info is the time left."""
        client_request, (host, port) = exchange.request, self.server.address
        if client_request is None:
            return request("GET", "/stats" if exchange.wants_load else "/health/live", f"{host}:{port}")
        method = "GET" if client_request.value is None else "PUT"
        headers = b"Request-Id: %b\r\nRequest-Info: %b\r\n" % (
            client_request.id,
            with_remaining_time(client_request.info, remaining_ms),
        )
        return request(
            method,
            "/" + quote(client_request.key, safe=KEY_SAFE),
            f"{host}:{port}",
            headers,
            client_request.value,
        )

    def answer_received(self, data: bytes) -> None:
        """Parse a part of the answer."""
        try:
            complete = self.read(data)
        except HttpError as error:
            self.close_with_error(f"broke the protocol: {error}")
            return
        if complete:
            self._answered()

    def eof_received(self) -> bool:
        """Finish an answer without a stated length when the origin closes its side."""
        self.server.pool.on_event()
        if self.exchange is not None and self.end_of_stream():
            self._answered()
        return False

    def _answered(self) -> None:
        """End the exchange with the complete HTTP answer."""
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
        """Stream a long value to the exchange; buffer a short one, or one of unknown length."""
        if self._streaming:
            return  # continues a value from another process
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
        """Pass on or buffer a part of the body."""
        if self._streaming:
            self._left -= len(data)
            if self.exchange is not None:
                self.exchange.value_received(data)
            return
        self._body += data
        if len(self._body) > MAX_VALUE_BYTES:
            raise HttpError("value too long")
