"""The operators' listener: HTTP/1.1, one call a connection, on the router's own loop.

Strangers may connect and say nothing, or half a call: what they hold is bounded in number, bytes and time,
and the oldest of them makes room for the next caller.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

import httptools
import orjson

from saltport.address import Address
from saltport.admin.calls import Answer, Operations, answer

MAX_CALLERS = 32
MAX_HEAD = 8 << 10
MAX_BODY = 64 << 10  # no call has one, but some callers send one
CALL_S = 5.0  # in which a call must be whole, and its answer be read
_REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable",
}  # fmt: skip

log = logging.getLogger("saltport")


class Caller(asyncio.Protocol):
    """One caller's connection; also what httptools calls back."""

    def __init__(self, listener: AdminListener) -> None:
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._head = self._body = 0
        self._headers_done = self._expects = self._done = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Be counted in; a call that does not come ends by itself."""
        self.transport = cast(asyncio.Transport, transport)
        self._listener.opened(self)
        self._timer = asyncio.get_running_loop().call_later(CALL_S, self.abort)

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
    """Accepts callers, a bounded number at a time."""

    def __init__(self, operations: Operations) -> None:
        self.operations = operations
        self._callers: dict[Caller, None] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Accept callers here; raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Caller(self), *address, backlog=2 * MAX_CALLERS)

    def opened(self, caller: Caller) -> None:
        """Count a caller in; where there are too many, the oldest makes room."""
        if len(self._callers) >= MAX_CALLERS:
            oldest = next(iter(self._callers))
            self.closed(oldest)
            oldest.abort()
        self._callers[caller] = None

    def closed(self, caller: Caller) -> None:
        """Count a caller out."""
        self._callers.pop(caller, None)

    def close(self) -> None:
        """Take no more calls, and end those that are not whole."""
        if self._server is not None:
            self._server.close()
        for caller in list(self._callers):
            caller.abort()
