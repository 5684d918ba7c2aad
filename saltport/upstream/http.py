"""Connections to the origin, over HTTP/1.1."""

from __future__ import annotations

from urllib.parse import quote

from saltport.decisions import Outcome
from saltport.handover.record import ReadPosition
from saltport.upstream.connection import Connection, Exchange, RequestParts, Server
from saltport.upstream.unknown_length import UnknownLengthValue
from saltport.wire.http import HttpError, HttpReader, content_length, request
from saltport.wire.resp import MAX_VALUE_BYTES, STREAMING_THRESHOLD_BYTES, with_remaining_time

_NEVER_RAN = (503, 504)
FREE_GROWTH_BYTES = 16 << 10  # of a value of unknown length, before it asks for room
KEY_SAFE = "/:@!$&'()*+,;=-._~"  # characters that a path may contain unescaped


class OriginConnection(Connection, HttpReader):
    """An HTTP connection to the origin, with one request at a time."""

    def __init__(self, server: Server) -> None:
        Connection.__init__(self, server)
        HttpReader.__init__(self)
        self._body = bytearray()
        self._unknown_length: UnknownLengthValue | None = None
        self._short_length = 0  # of a body that is kept
        self._skipped_bytes = 0  # of a body that is not kept
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

    def request_parts(self, exchange: Exchange, remaining_ms: int) -> RequestParts:
        """Return a GET for a read, a PUT for a write, or a probe; `d` in Request-Info is the time left."""
        client_request, (host, port) = exchange.request, self.server.address
        if client_request is None:
            target = "/stats" if exchange.wants_load else "/health/live"
            return RequestParts(request("GET", target, f"{host}:{port}"))
        headers = b"Request-Id: %b\r\nRequest-Info: %b\r\n" % (
            client_request.id,
            with_remaining_time(client_request.info, remaining_ms),
        )
        target, value = "/" + quote(client_request.key, safe=KEY_SAFE), client_request.value
        if value is None:
            return RequestParts(request("GET", target, f"{host}:{port}", headers))
        return RequestParts(request("PUT", target, f"{host}:{port}", headers + content_length(value)), value)

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
        if self._unknown_length is not None:
            value = self._deliver(self._unknown_length)
        self.retired = not self.finish_answer() or self.retired
        if status == 200:
            self.finish(Outcome.OK, value)
        elif status in _NEVER_RAN and not_started:
            self.finish(Outcome.FULL)
        else:
            self.finish(Outcome.ERROR)

    def body_started(self, length: int | None) -> None:
        """Stream a long value to the exchange; keep a short one, or one of unknown length."""
        if self._streaming:
            return  # continues a value from another process
        self._skipped_bytes = 0
        if length is not None and length > MAX_VALUE_BYTES:
            raise HttpError("value too long")
        if self.status != 200 or self.exchange is None:
            return
        if length is None:
            self._unknown_length = UnknownLengthValue(self.server.pool.memory)
        elif length <= STREAMING_THRESHOLD_BYTES:
            self._short_length = length
        else:
            self._streaming = True
            self._length = self._left = length
            self.exchange.value_started(length, self)

    def body_received(self, data: bytes) -> None:
        """Pass on, keep or skip a part of the body."""
        if self._streaming:
            self._left -= len(data)
            if self.exchange is not None:
                self.exchange.value_received(data)
        elif self._unknown_length is not None:
            self._grow(self._unknown_length, data)
        elif self.status == 200:
            self._body += data
        else:
            self._skip(len(data))

    def _skip(self, size: int) -> None:
        """Count a part of a body that is not kept: the text of an error, or a value that nobody waits for."""
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_VALUE_BYTES:
            raise HttpError("value too long")

    def read_size(self) -> int:
        """Return the most bytes that the next read may return: for a growing value, what it has room for."""
        if self._unknown_length is None:
            return super().read_size()
        return self.server.pool.memory.growth_size(self)

    # A value of unknown length: no dialect towards clients can begin it before its length is known.

    def _grow(self, unknown: UnknownLengthValue, data: bytes) -> None:
        """Keep a part of the value, as long as somebody waits for it."""
        if self._skipped_bytes or self.exchange is None or self.exchange.discards_value:
            unknown.take()
            self._skip(len(data))
            return
        unknown.add(data)
        if unknown.size > FREE_GROWTH_BYTES and not self._awaits_memory:
            self.reserve()

    def _deliver(self, unknown: UnknownLengthValue) -> bytes | None:
        """Return a short value; pass a long one on in parts and return None."""
        self._unknown_length = None
        self.read_on()
        self.server.pool.memory.end_growth(self)
        length, parts = unknown.size, unknown.take()
        if self._skipped_bytes or self.exchange is None:
            return None
        if length <= STREAMING_THRESHOLD_BYTES:
            return b"".join(parts)
        self.exchange.value_started(length, self)
        while parts and self.exchange is not None:
            self.exchange.value_received(bytes(parts.popleft()))
        return None

    def reserve(self) -> None:
        """Read on in a value of unknown length if the budget has room for more of it, else wait or end."""
        memory, exchange = self.server.pool.memory, self.exchange
        if self._unknown_length is None:
            super().reserve()
        elif exchange is None:
            return
        elif memory.may_grow(self):
            self.read_on()
        elif not exchange.ended_for_memory():
            self.wait_for_memory()

    @property
    def needed_bytes(self) -> int:
        """Bytes of a short body of known length that have to be kept."""
        return self._short_length if self._body else 0

    @property
    def has_turn(self) -> bool:
        """Whether the value can be passed on as soon as it is whole, with no earlier answer due."""
        return self.exchange is None or self.exchange.has_turn

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered for the client that the value goes to."""
        return self.exchange.client_buffered_bytes if self.exchange is not None else 0

    @property
    def holds_value(self) -> bool:
        """Whether the connection keeps a part of a value whose length it does not know."""
        return self._unknown_length is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what was kept of a value, and end the exchange."""
        self._body.clear()
        if self._unknown_length is not None:
            self._unknown_length.take()
            self._unknown_length = None
        self.server.pool.memory.end_growth(self)
        super().connection_lost(exc)
        self.drop_parser()
