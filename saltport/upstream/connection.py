"""Exchanges with cache servers and the origin, the connections that carry them, and where those lead."""

from __future__ import annotations

import asyncio
import logging
import os
import select
import time
from abc import abstractmethod
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

from saltport.address import Address
from saltport.decisions import CacheStatus, Outcome
from saltport.handover.record import ReadPosition
from saltport.messages import Request, ValueSource
from saltport.transport.readiness import Readiness
from saltport.transport.stream import StreamProtocol, TcpStream
from saltport.upstream.second_connection import SecondConnection
from saltport.upstream.shortage_pauses import ShortagePauses

HALF_SENT_S = 0.1
"""For which a request may stand half written for want of memory here: the time that it tells grows old."""

log = logging.getLogger("saltport")


class Start(Enum):
    """What came of the start of an exchange."""

    STARTED = "started"
    TOO_LATE = "its time is over, and nothing was done"
    SHORTAGE = "this machine could not write, and nothing was done"


class ConnectionOwner(Protocol):
    """What connections need of the pool that they belong to."""

    loop: asyncio.AbstractEventLoop
    sends: int
    """Attempts whose last byte the kernel has taken."""
    idle_limit: float
    """Seconds after which a connection that carries nothing is closed."""

    @property
    def touched(self) -> Callable[[], None]:
        """Called at each event that the kernel had for a connection, before it is dealt with."""

    def released(self, connection: Connection) -> None:
        """A connection is free."""

    def lost(self, connection: Connection) -> None:
        """A connection has ended."""

    def descriptor_freed(self) -> None:
        """A descriptor is free, or can be had."""


class Exchange:
    """One command or HTTP request to a server and what comes of it; told of its end exactly once."""

    connection: Connection | None = None
    over = False
    request: Request | None = None
    """What is asked; None: a probe, or a plain command."""
    wants_load = False
    """Whether a probe asks for the load report, and not only for a sign of life."""
    report: bytes | None = None
    """The load report that came with the answer, as it came."""
    kept = False
    """Whether the connection had carried others before."""
    held_back = False
    """Whether it waits because this machine has no resources to ask its server, which knows nothing of it."""
    unread_ns = 0
    """For how long its answer may have lain in the kernel, as this machine had no memory for a read."""

    @abstractmethod
    def remaining_ms(self) -> int:
        """What is left of its time in whole milliseconds, rounded down; 0: its request may not leave.

        Danger: what decided on it was told of another moment; a dial or a queue may take its whole time.
        So it is asked where the bytes leave, and they tell what it says.
        """

    def plain_command(self, remaining_ms: int) -> tuple[bytes, ...]:
        """The words of a command of the node's own, which no client sent; empty: it is none."""
        return ()

    def begun(self) -> None:
        """Its request is written to a connection."""

    @abstractmethod
    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Take the end."""

    def value_started(self, length: int, source: ValueSource) -> None:
        """Take the start of a value over 64 KiB."""

    def value_came(self, data: bytes) -> None:
        """Take a part of it."""

    def end(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Take the first end; later ones are dropped."""
        if not self.over:
            self.over, self.connection = True, None
            self.ended(outcome, value, note)

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting."""
        connection = self.connection
        if connection is not None:
            connection.close()
            connection.exchange = None
        self.end(outcome)

    def leave(self, outcome: Outcome, wait_s: float) -> None:
        """Stop waiting, and leave the connection to the late answer for so many seconds.

        Danger: only for a request that is over; another attempt would be a second copy while this one is out.
        """
        connection = self.connection
        if connection is None or connection.unsent or not connection.usable:
            self.give_up(outcome)
            return
        connection.leave(LateAnswer(self), wait_s)
        self.end(outcome)


class LateAnswer(Exchange):
    """Takes the answer to an attempt whose request is over: it is nobody's, but its connection is good."""

    def __init__(self, late: Exchange) -> None:
        self.request = late.request

    def remaining_ms(self) -> int:
        """It is never sent: its request left long ago."""
        return 0

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Nobody waits for it."""


class Connection(StreamProtocol):
    """One connection, with at most one exchange on it: an answer never waits behind another's."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.exchange: Exchange | None = None
        self.transport: TcpStream | None = None
        self.idle_since = 0.0
        self.started_at = 0.0
        """When its last exchange began, by the loop's clock."""
        self._arrivals: Readiness | None = None
        self.kept = False
        self.unsent = False
        self.retired = False
        self._paused = False
        self._within = False
        """Whether a part of an answer is being read just now."""
        self._late_timer: asyncio.TimerHandle | None = None
        self._half_sent_timer: asyncio.TimerHandle | None = None
        self._unread_since_ns = 0
        self._counts = 0  # 1: what is written is an attempt, and counts once the kernel has its last byte

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; a limit of 0 tells precisely whether the kernel has taken every byte."""
        self.transport = cast(TcpStream, transport)
        self.transport.set_write_buffer_limits(high=0)
        end = transport.get_extra_info("socket")
        self._arrivals = Readiness(end, select.POLLIN | select.POLLRDHUP)

    def pause_writing(self) -> None:
        """The kernel has not taken every byte yet."""
        self.unsent = True
        self.server.pool.sends -= self._counts

    def write_held_up(self) -> None:
        """See StreamProtocol; a request that stands half written never ran, and may begin anew elsewhere."""
        if self._half_sent_timer is None:
            self._half_sent_timer = self.server.pool.loop.call_later(HALF_SENT_S, self._give_up_half_sent)

    def _give_up_half_sent(self) -> None:
        self._half_sent_timer = None
        exchange = self.exchange
        if exchange is not None and self.unsent:
            exchange.give_up(Outcome.NOT_SENT)

    def read_held_up(self) -> None:
        """See StreamProtocol."""
        self._unread_since_ns = self._unread_since_ns or time.monotonic_ns()

    def _read_again(self) -> None:
        """Reading goes on, or is over: what lay in the kernel meanwhile is none of the server's time."""
        if self._unread_since_ns:
            if self.exchange is not None:
                self.exchange.unread_ns += time.monotonic_ns() - self._unread_since_ns
            self._unread_since_ns = 0

    def resume_writing(self) -> None:
        """The kernel has every byte."""
        if self._half_sent_timer is not None:
            self._half_sent_timer.cancel()
            self._half_sent_timer = None
        self.unsent = False
        self.server.pool.sends += self._counts

    @property
    def usable(self) -> bool:
        """Whether another exchange may start here."""
        return not self.retired and self.transport is not None and not self.transport.is_closing()

    @property
    def reusable(self) -> bool:
        """Whether nothing has come since the last answer.

        Danger: the loop may not have seen yet that the server has closed, and a request written then counts
        as one that may have run; or that a second answer came, which the next request would take for its own.
        """
        return self.usable and not self.unread

    @property
    def unread(self) -> bool:
        """Whether the kernel has something that the loop has not read yet, be it an end."""
        if self._arrivals is None or self.transport is None or self.transport.is_closing():
            return False
        return self._arrivals.now()

    def start(self, exchange: Exchange) -> Start:
        """Write the exchange's request.

        The kernel has the bytes within this call, or its buffer is full: none waits here for a turn's end.
        """
        assert self.transport is not None
        remaining_ms = exchange.remaining_ms()
        if not remaining_ms:
            return Start.TOO_LATE
        request_bytes = self.request_bytes(exchange, remaining_ms)
        self._counts = int(exchange.request is not None)
        self.server.pool.sends += self._counts
        if not self.transport.write_whole_or_later(request_bytes):
            self.server.pool.sends -= self._counts
            return Start.SHORTAGE
        self.exchange, exchange.connection, exchange.kept = exchange, self, self.kept
        self.started_at = self.server.pool.loop.time()
        if self.transport.is_closing() and not self.unsent:
            # The kernel refused the first byte, and so all; the connection's end is told in a moment.
            self.pause_writing()
        exchange.begun()
        return Start.STARTED

    def leave(self, late: LateAnswer, wait_s: float) -> None:
        """Wait for an answer that nobody wants any more, to carry others after it."""
        self._read_again()
        self.exchange, late.connection = late, self
        self.server.late[self] = None
        self.server.pool.descriptor_freed()
        self._late_timer = self.server.pool.loop.call_later(wait_s, self.close)

    def flow(self) -> ReadPosition | None:
        """Where it stands within a long value; None: within none."""
        return None

    def go_on(self, flow: ReadPosition) -> None:
        """Read on from where another process has stopped."""
        raise NotImplementedError

    @property
    def movable(self) -> bool:
        """Whether another process could read on here."""
        # Danger: within a read, the part of it that is not passed on yet would be in nobody's hands.
        alive = self.transport is not None and not self.transport.is_closing() and not self._within
        return alive and not self.unsent and self.exchange is not None and self.flow() is not None

    def copy_descriptor(self) -> int:
        """A descriptor of its socket that is the caller's. Raises OSError where there is none to be had."""
        assert self.transport is not None
        return os.dup(self.transport.get_extra_info("socket").fileno())

    def suspend(self) -> ReadPosition:
        """Read no more, for whoever has a copy of its descriptor; returns where it stands."""
        flow = self.flow()
        assert flow is not None
        self.exchange = None
        self.close()
        return flow

    def close(self) -> None:
        """Close at once; what is unsent is dropped."""
        self.retired = True
        self._read_again()
        self._no_longer_late()
        if self.transport is not None:
            self.transport.abort()

    def pause(self) -> None:
        """Read no more for now."""
        if not self._paused:
            self._paused = True
            if self.transport is not None and not self.transport.is_closing():
                self.transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self._paused:
            self._paused = False
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def _no_longer_late(self) -> None:
        if self.server.late.pop(self, self) is None and self._late_timer is not None:
            self._late_timer.cancel()

    def finish(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """End the exchange on this connection, which may take another."""
        exchange, self.exchange, self.kept = self.exchange, None, True
        self._no_longer_late()
        # Danger: the last part of a value may find its client full; the next exchange would never be read.
        self.resume()
        self.server.pool.released(self)
        if exchange is not None:
            exchange.end(outcome, value, note)

    def spoil(self, reason: str) -> None:
        """End a connection whose answers can't be followed; its request may have run."""
        log.warning("%s: %s", self.server.id, reason)
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            exchange.end(Outcome.ERROR)

    def data_received(self, data: bytes) -> None:
        """Read a part of the answer under way."""
        self.server.pool.touched()
        self._read_again()
        if self.exchange is None:
            if self.usable:
                self.spoil("sent an answer that nobody asked for")
            return
        self._within = True
        try:
            self.answer_came(data)
        except Exception:
            log.exception("%s: reading an answer failed", self.server.id)
            self.spoil("reading an answer failed")
        finally:
            self._within = False

    @abstractmethod
    def request_bytes(self, exchange: Exchange, remaining_ms: int) -> bytes:
        """Write the exchange's request or probe down as the server reads it, with so much time left to it."""

    @abstractmethod
    def answer_came(self, data: bytes) -> None:
        """Read a part of the answer."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange: it never ran if a byte of it was still unsent."""
        self.retired = True
        self._read_again()
        self._no_longer_late()
        if self._half_sent_timer is not None:
            self._half_sent_timer.cancel()
        exchange, self.exchange = self.exchange, None
        self.server.pool.lost(self)
        if exchange is not None:
            exchange.end(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)


class Server:
    """One listed server as the pool sees it."""

    def __init__(
        self, pool: ConnectionOwner, server_id: str, address: Address, connect: Callable[[Server], Connection]
    ):
        self.pool, self.id, self.address, self.connect = pool, server_id, address, connect
        self.open = True
        self.idle: list[Connection] = []
        self.connections: set[Connection] = set()
        self.dials: set[asyncio.Task[None]] = set()
        self.shortage_pauses = ShortagePauses(pool.loop)
        self.second = SecondConnection(pool.idle_limit)
        self.dial_held: asyncio.TimerHandle | None = None
        """Runs while the only request in the queue waits for the only connection."""
        self.late: dict[Connection, None] = {}
        """Those that wait for an answer that nobody wants, the oldest first."""
        self.waiting: deque[Exchange] = deque()

    @property
    def held(self) -> int:
        """Descriptors in use."""
        return len(self.connections) + len(self.dials)
