"""The listener for operators' calls: HTTP/1.1, one call per connection, on the event loop of the router.

Any process may connect and send nothing, or only a part of a call, so connections are limited in number,
bytes and time. At the maximum number, the oldest connection is closed for a new one, once it has had the time
that a well-behaved caller needs to send its call.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import cast

import httptools
import orjson

from saltport.address import Address
from saltport.admin.calls import CallResponse, Operations, handle_call
from saltport.transport.acceptor import Acceptor
from saltport.transport.listening import listening_socket
from saltport.transport.stream import StreamProtocol, TcpStream

MAX_CALLERS = 32  # connections to the administration interface at the same time
MAX_HEAD_BYTES = 8 << 10  # of a call's request line and headers
MAX_BODY_BYTES = 64 << 10  # no call needs a body, but some callers send one
EVICTION_GRACE_S = 0.1  # no connection younger than this is closed for a new one: callers send at once
CALL_TIMEOUT_S = 5.0  # to receive a complete call and to send its response
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable",
}  # fmt: skip

log = logging.getLogger("saltport")


class CallerConnection(StreamProtocol):
    """The connection of one caller; it also receives the callbacks of the HTTP parser."""

    def __init__(self, listener: AdminListener) -> None:
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._head_bytes = self._body_bytes = 0
        self._headers_done = self._expects_continue = self._done = False
        self.transport: asyncio.Transport | None = None
        self.connected_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and abort it unless it ends within `CALL_TIMEOUT_S`."""
        self.transport = cast(asyncio.Transport, transport)
        self._listener.add_connection(self)
        loop = asyncio.get_running_loop()
        self.connected_at = loop.time()
        self._timer = loop.call_later(CALL_TIMEOUT_S, self.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self._timer.cancel()
        self._listener.remove_connection(self)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the call; reject a call that is malformed or too long."""
        if self._done:
            return
        if not self._headers_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reply("", CallResponse(400, {"error": "malformed HTTP request"}))
            return
        if not self._done and self._body_bytes > MAX_BODY_BYTES:
            self._reply("", CallResponse(413, {"error": "the body is too long"}))
        elif not self._done and not self._headers_done and self._head_bytes > MAX_HEAD_BYTES:
            self._reply("", CallResponse(431, {"error": "the head is too long"}))

    def on_url(self, url: bytes) -> None:
        """Parser callback: append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: note an `Expect` header."""
        self._expects_continue = self._expects_continue or name.lower() == b"expect"

    def on_body(self, data: bytes) -> None:
        """Parser callback: count the bytes of the body, which is otherwise ignored."""
        self._body_bytes += len(data)

    def on_headers_complete(self) -> None:
        """Parser callback: answer now if the caller sent `Expect`, as it waits before it sends its body."""
        self._headers_done = True
        if self._expects_continue:
            self.on_message_complete()

    def on_message_complete(self) -> None:
        """Parser callback: carry out the complete call and send the response."""
        if self._done:
            return
        method = self._parser.get_method().decode("ascii")
        try:
            response = handle_call(method, self._target.decode("ascii"), self._listener.operations)
        except UnicodeDecodeError:
            response = CallResponse(400, {"error": "the target must be ASCII"})
        except Exception as error:
            log.exception("an operator's call failed")
            response = CallResponse(500, {"error": f"the call failed: {type(error).__name__}"})
        self._reply(method, response)

    def _reply(self, method: str, response: CallResponse) -> None:
        self._done = True
        body = orjson.dumps(response.body)
        allow = f"Allow: {response.allow}\r\n" if response.allow else ""
        head = (
            f"HTTP/1.1 {response.status} {_REASONS[response.status]}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n{allow}Connection: close\r\n\r\n"
        )
        assert self.transport is not None
        self.transport.write(head.encode("ascii") + (b"" if method == "HEAD" else body))
        if method:
            self.transport.close()
        else:
            # Danger: if the socket closes while more of the call arrives, the kernel resets the connection
            # and the caller never reads the response.
            self.transport.write_eof()

    def abort(self) -> None:
        """Close the connection at once, without sending what is still buffered."""
        if self.transport is not None:
            self.transport.abort()


class AdminListener:
    """Accepts at most `MAX_CALLERS` connections at a time; further callers wait in the listen backlog."""

    def __init__(self, operations: Operations) -> None:
        self.operations = operations
        self._connections: dict[CallerConnection, None] = {}
        self._acceptor: Acceptor | None = None

    def listen(self, address: Address) -> None:
        """Accept callers at this address; raises OSError.

        Danger: without the grace period for the oldest connection, many callers that reconnect at once would
        displace well-behaved callers before their call is read, and keep this event loop fully occupied.
        """
        loop = asyncio.get_running_loop()
        listener = listening_socket(address, 2 * MAX_CALLERS)
        self._acceptor = Acceptor(
            loop, listener, self._accepted, lambda: self._seconds_until_room(loop.time())
        )

    def _accepted(self, connection: socket.socket) -> None:
        TcpStream(asyncio.get_running_loop(), connection, CallerConnection(self))

    def _seconds_until_room(self, now: float) -> float:
        """Return the seconds until a connection can be accepted; for 0, close the oldest one if necessary."""
        if len(self._connections) < MAX_CALLERS:
            return 0.0
        oldest = next(iter(self._connections))
        if (wait := oldest.connected_at + EVICTION_GRACE_S - now) <= 0:
            self.remove_connection(oldest)
            oldest.abort()
        return max(wait, 0.0)

    def add_connection(self, connection: CallerConnection) -> None:
        """Register an open connection."""
        self._connections[connection] = None

    def remove_connection(self, connection: CallerConnection) -> None:
        """Unregister a connection."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """Stop accepting connections, and abort all open ones."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
        for connection in list(self._connections):
            connection.abort()
