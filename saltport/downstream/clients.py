"""What clients talk to in any dialect: their connections, and answers in the order of the commands."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

from saltport.address import Address
from saltport.messages import Answers, ClientDialect, Malformed, Message, Ping, Request, ValueSource

BACKLOG = 1024
LARGE = 64 << 10  # a command that needs more must be given room first
MAX_PIPELINE = 256
HIGH_WATER = 64 << 10
# Good clients may take 2 s for a command's head, and strangers are owed an error or a close within 3 s.
PROGRESS_S = 2.4  # in which a command must be whole, or have come on by
PROGRESS = 16 << 10  # bytes
PENDING = 64 << 10  # bytes of a command under way that may go to another process with their connection
IDLE_S = 2.0  # after which a connection without an open request may be closed
STALL_S = 10.0  # in which a client must take something of what waits for it
SWEEP_S = 0.2
REFUSERS = 32

log = logging.getLogger("saltport")


class Host(Protocol):
    """What takes the clients' requests."""

    ready: bool

    def touched(self) -> None:
        """The kernel had something for a client's connection."""

    def request_arrived(self, request: Request, reply: Reply) -> None:
        """A request is whole."""

    def request_refused(self, asked: Request) -> None:
        """A request is refused, as there are too many clients."""

    def client_gone(self, reply: Reply) -> None:
        """The client that waits for this reply has left."""


class Budget:
    """Bytes for long commands: they are set aside before the command is read, so that all can be finished."""

    def __init__(self, total: int) -> None:
        self._free = total
        self._waiting: deque[ClientConnection] = deque()

    def take(self, connection: ClientConnection, size: int) -> bool:
        """Set bytes aside, or queue the connection for them."""
        if size > self._free:
            self._waiting.append(connection)
            return False
        self._free -= size
        return True

    def give_back(self, size: int) -> None:
        """Free bytes, and let those that wait go on."""
        self._free += size
        waiting, self._waiting = self._waiting, deque()
        while waiting:
            connection = waiting.popleft()
            if not connection.closed:
                connection.reserve()


class Reply:
    """The place of one answer among those of its connection."""

    _held: list[bytes] | None = None
    done = False
    source: ValueSource | None = None
    request: Any = None
    """The host's."""
    reserved = 0

    def __init__(self, connection: ClientConnection, answers: Answers | None = None) -> None:
        self._connection = connection
        self._answers = answers

    @property
    def answers(self) -> Answers:
        """How this command's answer is worded."""
        assert self._answers is not None
        return self._answers

    def served(self, value: bytes) -> None:
        """Answer with a value or a receipt."""
        self.send(self.answers.served(value))

    def refused(self, retry_after_ms: int = 0) -> None:
        """Answer that nothing was done, and that trying again is harmless."""
        self.send(self.answers.refused(retry_after_ms))

    def failed(self) -> None:
        """Answer that it failed."""
        self.send(self.answers.failed())

    def rejected(self, reason: str) -> None:
        """Answer that this is no request to be taken."""
        self.send(self.answers.rejected(reason))

    def send(self, data: bytes) -> None:
        """Give the whole answer, or its last part, as it goes on the wire."""
        self._write(data)
        self.done, self.source = True, None
        self._connection.flush()

    def start(self, length: int, source: ValueSource) -> None:
        """Begin an answer that comes in parts; the source is paused while the client can't take more."""
        self.source = source
        if not self._write(self.answers.head(length)) or self._connection.blocked:
            source.pause()

    def part(self, data: bytes) -> None:
        """Pass a part of the value on."""
        self._write(data)

    def finish(self) -> None:
        """The value is whole."""
        self.send(self.answers.tail())

    def _write(self, data: bytes) -> bool:
        """Pass a part on, or keep it until the answers ahead are written; False: kept."""
        connection = self._connection
        if connection.closed:
            return True
        if connection.replies[0] is not self:
            if self._held is None:
                self._held = []
            self._held.append(data)
            return False
        connection.write(data)
        return True

    def cut_off(self) -> None:
        """End a begun answer so that the client sees that it is not whole."""
        self._connection.abort()

    def forgotten(self) -> None:
        """The host needs the command no longer."""
        if self.reserved:
            self._connection.server.budget.give_back(self.reserved)
            self.reserved = 0

    def its_turn(self) -> None:
        """The answers ahead have been written."""
        for data in self._held or ():
            self._connection.write(data)
        self._held = None
        if self.source is not None and not self._connection.blocked:
            self.source.resume()


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(
        self, server: ClientServer, dialect: Callable[[], ClientDialect], pending: bytes = b""
    ) -> None:
        """`pending`: what another process has read here already, and could not answer."""
        self.server = server
        self._pending = pending
        self.carried = False
        """Whether a request ever came; the front asks on connections of its own how the router is."""
        self.transport: asyncio.Transport | None = None
        self.replies: deque[Reply] = deque()
        self.blocked = self.closed = False
        self.used_at = server.loop.time()
        self._dialect = dialect()
        self._reading = True
        self._reserved = 0  # set aside for the command under way
        self._begun_at = 0.0
        self._came = 0  # since then
        self._starved = False  # waits for the budget
        self._last = self._refused = False
        self.refusing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, and be counted in."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        self.server.opened(self)
        if self._pending:
            pending, self._pending = self._pending, b""
            self.data_received(pending)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._leave()

    def eof_received(self) -> bool:
        """The client sends no more: it has gone."""
        self._leave()
        return False

    def _leave(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.server.closed(self)
        if self._reserved:
            self.server.budget.give_back(self._reserved)
        replies, self.replies = self.replies, deque()
        for reply in replies:
            if not reply.done:
                self.server.host.client_gone(reply)

    def data_received(self, data: bytes) -> None:
        """Read what has come; a fault in doing so ends only this connection."""
        self.server.host.touched()
        try:
            self._read(data)
        except Exception:
            log.exception("reading a command failed")
            self.abort()

    def _read(self, data: bytes) -> None:
        reader = self._dialect
        self.used_at = self.server.loop.time()
        fresh = not reader.need
        commands = reader.feed(data)
        for message, answers in commands:
            reply = Reply(self, answers)
            if self._reserved:
                reply.reserved, self._reserved = self._reserved, 0
            self.replies.append(reply)
            self._take(message, reply)
        if reader.broken:
            self._break()
        elif reader.need:
            self._came = 0 if fresh or commands else self._came + len(data)
            if not self._came or self._came >= PROGRESS:
                # Danger: the whole command's time would end good clients that send long values slowly, and
                # the last byte's would let bad ones hold a connection for good.
                self._begun_at, self._came = self.used_at, 0
            if reader.need > LARGE and not self._reserved and not self._starved:
                self.reserve()
        elif self._reserved:
            self.server.budget.give_back(self._reserved)
            self._reserved = 0
        if len(self.replies) >= MAX_PIPELINE:
            self._set_reading()

    def reserve(self) -> None:
        """Ask for the bytes of the long command under way; reading stops until they are there."""
        self._starved = not self.server.budget.take(self, self._dialect.need)
        if not self._starved:
            self._reserved = self._dialect.need
            self._begun_at = self.server.loop.time()
        self._set_reading()

    def _break(self) -> None:
        """Tell the client why its stream ends, and end it."""
        self._last = True
        self._set_reading()
        reply = Reply(self)
        self.replies.append(reply)
        reply.send(self._dialect.breaking())

    def _take(self, message: Message, reply: Reply) -> None:
        match message:
            case Request() if not self.refusing:
                self.carried = True
                self.server.host.request_arrived(message, reply)
                return
            case Request():
                self._last = self._refused = True
                self.server.host.request_refused(message)
                reply.refused()
            case Ping():
                reply.send(reply.answers.pong(self.server.takes_clients))
            case Malformed():
                reply.rejected(message.reason)
        reply.forgotten()

    def write(self, data: bytes) -> None:
        """Write to the client."""
        if self.transport is not None:
            self.transport.write(data)

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        replies = self.replies
        while replies and replies[0].done:
            replies.popleft()
            self.used_at = self.server.loop.time()
            if replies:
                replies[0].its_turn()
        if not replies and self._leaves and self.transport is not None:
            if not self._hand_over():
                self.transport.close()
        elif not self._reading:
            self._set_reading()

    def pause_writing(self) -> None:
        """The client does not take what it asked for: read no more for it, from it or for its answer."""
        self.blocked = True
        self.used_at = self.server.loop.time()
        self._set_reading()
        if self.replies and self.replies[0].source is not None:
            self.replies[0].source.pause()

    def resume_writing(self) -> None:
        """The client takes again."""
        self.blocked = False
        self._set_reading()
        if self.replies and self.replies[0].source is not None:
            self.replies[0].source.resume()

    def _set_reading(self) -> None:
        full = len(self.replies) >= MAX_PIPELINE
        wanted = not (self.blocked or self._starved or self._dialect.broken or full)
        if wanted == self._reading or self.transport is None or self.transport.is_closing():
            return
        self._reading = wanted
        if wanted:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    @property
    def idle(self) -> bool:
        """Whether it stands between requests."""
        return not self.replies and not self._dialect.need

    @property
    def _leaves(self) -> bool:
        """Whether it closes once nothing is owed here."""
        return self._last or (self.server.emptying and self.carried)

    def finish(self, even_midway: bool) -> None:
        """Go to the other process, or close, once nothing is owed; `even_midway`: also within a command."""
        if self.transport is None or self.closed or (not self.replies and self._hand_over()):
            return
        if not self.replies and (even_midway or not self._dialect.need):
            self.transport.close()
        else:
            self._last = even_midway or not self._dialect.need or self._last

    def _hand_over(self) -> bool:
        """Give the connection to the process that takes this one's place; False: it can't be done now."""
        successor, transport, held = self.server.successor, self.transport, self._dialect.held
        if successor is None or transport is None or transport.is_closing() or self.closed:
            return False
        if held is None or len(held) > PENDING or self._reserved or self._starved or self._dialect.broken:
            return False
        if self._refused or transport.get_write_buffer_size():
            return False
        # Danger: nothing may be read from here on, or what was read in between would be lost with this copy.
        if not successor(transport.get_extra_info("socket").fileno(), held):
            return False
        transport.abort()
        self._leave()
        return True

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()
        self._leave()

    def check(self, now: float) -> None:
        """End a connection whose client does not go on."""
        if self.blocked:
            assert self.transport is not None
            size = self.transport.get_write_buffer_size()
            if size != self._unsent:
                self._unsent, self.used_at = size, now
            if now - self.used_at > STALL_S:
                log.warning("a client takes nothing of its answer")
                self.abort()
            return
        if self.idle and now - self.used_at >= IDLE_S:
            # Danger: those that only connect, or ask once and stay, would hold descriptors for good.
            self.finish(even_midway=False)
            return
        midway = self._dialect.need and not self._starved and not self.replies
        if midway and now - self._begun_at > PROGRESS_S:
            log.warning("a client does not finish its command")
            self._break()

    _unsent = 0


class ClientServer:
    """The listener and all clients' connections, within their share of descriptors."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: Host,
        dialect: Callable[[], ClientDialect],
        limit: int,
        budget: int,
    ) -> None:
        self.loop, self.host, self.dialect, self._limit = loop, host, dialect, limit
        self.budget = Budget(budget)
        self._connections: dict[ClientConnection, None] = {}
        self._listeners: list[asyncio.Server] = []
        self.emptying = False
        """Whether connections that carried a request close after their last answer."""
        self.draining = False
        """Whether clients are told to go elsewhere."""
        self.successor: Callable[[int, bytes], bool] | None = None
        """Gives a connection's descriptor, and what was read on it, to the process that replaces this one."""
        self._adopting: set[asyncio.Task[Any]] = set()
        self._timer = loop.call_later(SWEEP_S, self._sweep)

    async def listen(self, address: Address, dialect: Callable[[], ClientDialect] | None = None) -> None:
        """Accept clients at this address, of the server's dialect or another; they share all limits."""
        speaks = dialect or self.dialect
        await self._listen(lambda: ClientConnection(self, speaks), host=address[0], port=address[1])

    async def listen_at(self, listener: socket.socket) -> None:
        """Accept clients at a socket that somebody else holds too, and that outlives this process."""
        await self._listen(lambda: ClientConnection(self, self.dialect), sock=listener)

    async def _listen(self, made: Callable[[], ClientConnection], **where: Any) -> None:
        self._listeners.append(await self.loop.create_server(made, backlog=BACKLOG, **where))

    def adopt(self, connection: socket.socket, pending: bytes) -> None:
        """Take over a client's connection from the process before this one."""
        made = self.loop.connect_accepted_socket(
            lambda: ClientConnection(self, self.dialect, pending), connection
        )
        task = self.loop.create_task(made)
        self._adopting.add(task)
        task.add_done_callback(self._adopted)

    def _adopted(self, task: asyncio.Task[Any]) -> None:
        self._adopting.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.warning("a connection could not be taken over: %s", task.exception())

    @property
    def accepting(self) -> bool:
        """Whether clients can connect."""
        return bool(self._listeners)

    @property
    def takes_clients(self) -> bool:
        """Whether the router is ready and wants clients."""
        return self.host.ready and not self.draining

    def opened(self, connection: ClientConnection) -> None:
        """Count a new connection in, making room for it where there is none."""
        if len(self._connections) >= self._limit:
            idle = min(
                (other for other in self._connections if other.idle),
                key=lambda other: other.used_at,
                default=None,
            )
            if idle is not None:
                idle.abort()
            elif len(self._connections) < self._limit + REFUSERS:
                connection.refusing = True
            else:
                connection.abort()
                return
        self._connections[connection] = None

    def closed(self, connection: ClientConnection) -> None:
        """Count a connection out."""
        self._connections.pop(connection, None)

    @property
    def connected(self) -> int:
        """How many clients are connected."""
        return len(self._connections)

    def stop_accepting(self) -> None:
        """Close the listeners."""
        while self._listeners:
            self._listeners.pop().close()

    def finish(self, even_midway: bool, health: bool = True) -> None:
        """Have all close once nothing is owed on them; `health`: also those that only ask how it is."""
        now = self.loop.time()
        for connection in list(self._connections):
            if health or connection.carried or now - connection.used_at >= IDLE_S:
                connection.finish(even_midway)

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_S, self._sweep)
        now = self.loop.time()
        for connection in list(self._connections):
            connection.check(now)

    def close(self) -> None:
        """Close everything."""
        self._timer.cancel()
        self.stop_accepting()
        for connection in list(self._connections):
            connection.abort()
