"""The operators' listener: HTTP/1.1, one call a connection, on the router's own loop.

Strangers may connect and say nothing, or half a call: what they hold is bounded in number, bytes and time,
and the oldest of them makes room for the next caller, once it has had the time that a good one needs.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import cast

import httptools
import orjson

from saltport.address import Address
from saltport.admin.calls import Answer, Operations, answer
from saltport.transport.acceptor import Acceptor
from saltport.transport.listening import listening_socket
from saltport.transport.stream import StreamProtocol, TcpStream

MAX_CALLERS = 32
MAX_HEAD = 8 << 10
MAX_BODY = 64 << 10  # no call has one, but some callers send one
GRACE_S = 0.1  # for which a caller keeps its place, however many come: good ones say what they want at once
CALL_S = 5.0  # in which a call must be whole, and its answer be read
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable",
}  # fmt: skip

log = logging.getLogger("saltport")


class Caller(StreamProtocol):
    """One caller's connection; also what httptools calls back."""

    def __init__(self, listener: AdminListener) -> None:
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._head = self._body = 0
        self._headers_done = self._expects = self._done = False
        self.transport: asyncio.Transport | None = None
        self.came_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be counted in; a call that does not come ends by itself."""
        self.transport = cast(asyncio.Transport, transport)
        self._listener.opened(self)
        loop = asyncio.get_running_loop()
        self.came_at = loop.time()
        self._timer = loop.call_later(CALL_S, self.abort)

    def connection_lost(self, exc: Exception | None) -> None:
        """Be counted out."""
        self._timer.cancel()
        self._listener.closed(self)

    def data_received(self, data: bytes) -> None:
        """Read a part of the call."""
        if self._done:
            return
        if not self._headers_done:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reply("", Answer(400, {"error": "no call that can be read"}))
            return
        if not self._done and self._body > MAX_BODY:
            self._reply("", Answer(413, {"error": "the body is too long"}))
        elif not self._done and not self._headers_done and self._head > MAX_HEAD:
            self._reply("", Answer(431, {"error": "the head is too long"}))

    def on_url(self, url: bytes) -> None:
        """Called by httptools, perhaps with a part only."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools."""
        self._expects = self._expects or name.lower() == b"expect"

    def on_body(self, data: bytes) -> None:
        """Called by httptools: no call needs one."""
        self._body += len(data)

    def on_headers_complete(self) -> None:
        """Called by httptools; a caller that waits to be asked for its body is answered without it."""
        self._headers_done = True
        if self._expects:
            self.on_message_complete()

    def on_message_complete(self) -> None:
        """Called by httptools: the call is whole."""
        if self._done:
            return
        method = self._parser.get_method().decode("ascii")
        try:
            told = answer(method, self._target.decode("ascii"), self._listener.operations)
        except UnicodeDecodeError:
            told = Answer(400, {"error": "the target must be ASCII"})
        except Exception as error:
            log.exception("a call failed")
            told = Answer(500, {"error": f"the call failed: {type(error).__name__}"})
        self._reply(method, told)

    def _reply(self, method: str, told: Answer) -> None:
        self._done = True
        body = orjson.dumps(told.body)
        allow = f"Allow: {told.allow}\r\n" if told.allow else ""
        head = (
            f"HTTP/1.1 {told.status} {_REASONS[told.status]}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n{allow}Connection: close\r\n\r\n"
        )
        assert self.transport is not None
        self.transport.write(head.encode("ascii") + (b"" if method == "HEAD" else body))
        if method:
            self.transport.close()
        else:
            # Danger: closed while more of the call comes, the kernel resets, and the answer is never read.
            self.transport.write_eof()

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class AdminListener:
    """Accepts callers, a bounded number at a time; the others wait in the kernel."""

    def __init__(self, operations: Operations) -> None:
        self.operations = operations
        self._callers: dict[Caller, None] = {}
        self._acceptor: Acceptor | None = None

    def listen(self, address: Address) -> None:
        """Accept callers here; raises OSError.

        Danger: were the oldest sent away at once, a crowd that comes again each time would send good callers
        away before their call is read, and keep this loop busy with nothing else.
        """
        loop = asyncio.get_running_loop()
        listener = listening_socket(address, 2 * MAX_CALLERS)
        self._acceptor = Acceptor(loop, listener, self._accepted, lambda: self._until_room(loop.time()))

    def _accepted(self, connection: socket.socket) -> None:
        TcpStream(asyncio.get_running_loop(), connection, Caller(self))

    def _until_room(self, now: float) -> float:
        """Seconds until a caller can be taken in; 0: now, the oldest having made room if need be."""
        if len(self._callers) < MAX_CALLERS:
            return 0.0
        oldest = next(iter(self._callers))
        if (wait := oldest.came_at + GRACE_S - now) <= 0:
            self.closed(oldest)
            oldest.abort()
        return max(wait, 0.0)

    def opened(self, caller: Caller) -> None:
        """Count a caller in."""
        self._callers[caller] = None

    def closed(self, caller: Caller) -> None:
        """Count a caller out."""
        self._callers.pop(caller, None)

    def close(self) -> None:
        """Take no more calls, and end those that are not whole."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
        for caller in list(self._callers):
            caller.abort()
