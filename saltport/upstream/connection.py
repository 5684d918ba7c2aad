"""Exchanges with cache servers and the origin, the connections that carry them, and their servers."""

from __future__ import annotations

import asyncio
import logging
import os
import select
import time
from abc import abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from typing import NamedTuple, Protocol, cast

from saltport.address import Address
from saltport.decisions import CacheStatus, Outcome
from saltport.decisions.transmission import LONG_VALUE_BYTES
from saltport.downstream.budget import ANSWER_READS, MemoryBudget
from saltport.handover.record import ReadPosition
from saltport.messages import Data, Request, ValueSource
from saltport.transport.readiness import Readiness
from saltport.transport.stream import (
    READ_SIZE_BYTES,
    StreamProtocol,
    TcpStream,
    limit_unsent_in_kernel,
)
from saltport.transport.unacknowledged import unacknowledged_bytes
from saltport.upstream.idle_connections import IdleConnections
from saltport.upstream.read_values import ReadValue, ReadValues
from saltport.upstream.second_connection import SecondConnectionPolicy
from saltport.upstream.shortage_backoff import ShortageBackoff

HALF_SENT_TIMEOUT_S = 0.1
"""Limit for a request that is half written because this machine lacks memory: its stated time goes stale."""

MAX_ACKNOWLEDGEMENT_DELAY_S = 0.05
"""Longest time for which a receiver's kernel delays an acknowledgement: 40 ms on Linux, and some to spare."""
MAX_UNSENT_IN_KERNEL_BYTES = 128 << 10
"""Bytes of a long request that the kernel may hold unsent, and so pass on while this process is held up."""

log = logging.getLogger("saltport")


class StartResult(Enum):
    """Result of an attempt to start an exchange."""

    STARTED = "started"
    TOO_LATE = "its time is over, and nothing was done"
    SHORTAGE = "this machine could not write, and nothing was done"


class RequestParts(NamedTuple):
    """An encoded request; its value is not copied."""

    head: bytes
    value: Data = b""
    end: bytes = b""


class ConnectionOwner(Protocol):
    """The part of the pool that connections use."""

    loop: asyncio.AbstractEventLoop
    sends: int
    """Number of attempts whose last byte has been passed to the kernel."""
    idle_limit: float
    """Seconds after which an idle connection is closed."""
    read_values: ReadValues
    """What is known of the values that reads return."""
    memory: MemoryBudget
    """The budget in which values of unknown length count."""

    @property
    def on_event(self) -> Callable[[], None]:
        """Called for each event that the kernel reports for a connection, before the event is handled."""

    def release(self, connection: Connection) -> None:
        """Take back a connection whose exchange has ended."""

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has closed."""

    def descriptor_freed(self) -> None:
        """Use a descriptor that is free or can be freed."""


class Exchange:
    """One command or HTTP request to a server and its answer; `ended` is called exactly once.

    `report` is the load report in the server's answer, unparsed.
    """

    connection: Connection | None = None
    over = False
    request: Request | None = None
    """The client's request; None for a probe or a plain command."""
    wants_load = False
    """Whether a probe asks for the load report, and not only whether the server is alive."""
    report: bytes | None = None
    """The raw load report from the answer, if there was one."""
    connection_reused = False
    """Whether the connection had carried another exchange before this one."""
    waits_for_resources = False
    """Whether the exchange waits, unsent, as this machine lacks resources for a connection or a write."""
    settles_at = 0.0
    """Loop time until which the exchange waits, unsent, for a connection to settle; 0 if it did not wait."""
    discards_value = False
    """Whether nobody waits for the answer's value any more."""
    has_turn = True
    """Whether the answer can be passed on as soon as it is whole, with no earlier answer due."""
    client_buffered_bytes = 0
    """Number of bytes that are buffered for the client that the answer goes to."""
    read_delay_ns = 0
    """Time for which the answer may have been in the kernel while this machine lacked memory to read it."""

    @abstractmethod
    def remaining_ms(self) -> int:
        """Return the time left in milliseconds, rounded down; 0 if the request must not be sent.

        Danger: a dial or a queue may use up all of the time since the decision to send. So this is called
        when the request is written, and the request carries the result.
        """

    def stated_time_ms(self, remaining_ms: int) -> int:
        """Return the time left that the request states, counted from the arrival of its last byte."""
        return remaining_ms

    def may_complete(self) -> bool:
        """Whether the last byte of the request may still leave; asked before the kernel takes more of it."""
        return self.remaining_ms() > 0

    def plain_command(self, remaining_ms: int) -> tuple[bytes, ...]:
        """Return the words of a command that the router itself issues; empty for any other exchange."""
        return ()

    def request_written(self) -> None:
        """Called when the request has been written to a connection."""

    @abstractmethod
    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Called once, when the exchange ends, with its outcome and the answer's value, if it has one."""

    def ended_for_memory(self) -> bool:
        """End the exchange if it is better ended than left waiting for memory; return whether it did."""
        return False

    def value_started(self, length: int, source: ValueSource) -> None:
        """Called when a value over 64 KiB begins, with its length and the source that can pause it."""

    def value_received(self, data: bytes) -> None:
        """Called with each part of a value that `value_started` announced."""

    def end(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """End the exchange, unless it has ended already."""
        if not self.over:
            self.over, self.connection = True, None
            self.ended(outcome, value, note)

    def give_up(self, outcome: Outcome) -> None:
        """End the exchange and close its connection."""
        connection = self.connection
        if connection is not None:
            connection.close()
            connection.exchange = None
        self.end(outcome)

    def abandon(self, outcome: Outcome, wait_s: float) -> None:
        """End the exchange, and keep its connection open for the late answer for `wait_s` seconds.

        Danger: only for a request that is over: another attempt would run beside this one, as a second copy.
        """
        connection = self.connection
        if (
            connection is None
            or connection.unsent
            or connection.is_stalled
            or connection.holds_value
            or not connection.usable
        ):
            self.give_up(outcome)
            return
        connection.await_late_answer(LateAnswer(self), wait_s)
        self.end(outcome)


class LateAnswer(Exchange):
    """Discards the late answer to an attempt whose request is over, so that its connection can be reused."""

    discards_value = True

    def __init__(self, late: Exchange) -> None:
        """Take the place of `late`; the value of a write, which is not sent again, is not kept."""
        self.request = late.request
        if self.request is not None and self.request.value:
            self.request = replace(self.request, value=b"")

    def remaining_ms(self) -> int:
        """Return 0: the request was sent before, and is never sent again."""
        return 0

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Discard the answer."""


class Connection(StreamProtocol):
    """One connection to a server, with at most one exchange at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.exchange: Exchange | None = None
        self.transport: TcpStream | None = None
        self.idle_since = self.settled_at = 0.0
        self.started_at = 0.0
        """Start time of the latest exchange, on the loop's clock; 0 before the first one."""
        self._readiness: Readiness | None = None
        self.used_before = False
        self._latest_read: ReadValue | None = None
        """The latest answer, if it was a value that a read returned whole."""
        self._copy_may_come = False
        """Whether a second copy of the latest answer may come in place of the open exchange's answer."""
        self.unsent = False
        self._is_long_request = self._limits_kernel = False
        self.retired = False
        self._paused = False
        self._is_reading = False
        """Whether `data_received` is running."""
        self._late_timer: asyncio.TimerHandle | None = None
        self._half_sent_timer: asyncio.TimerHandle | None = None
        self._unread_since_ns = 0
        self._kept_bytes = 0  # that a partial answer counts in the memory budget
        self._awaits_memory = False
        self._counts_as_send = 0  # 1 for an attempt, which counts once the kernel has its last byte

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; its write limit of 0 shows exactly whether the kernel has taken every byte."""
        self.transport = cast(TcpStream, transport)
        self.transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        self._readiness = Readiness(sock, select.POLLIN | select.POLLRDHUP)

    def read_size(self) -> int:
        """Return the most bytes that the next read may return."""
        return self.server.pool.memory.read_size(ANSWER_READS, READ_SIZE_BYTES)

    def pause_writing(self) -> None:
        """Note that the kernel has not taken every byte yet."""
        self.unsent = True
        self.server.pool.sends -= self._counts_as_send

    def may_continue_writing(self) -> bool:
        """Give up a half written request that may no longer be completed; return whether it may."""
        exchange = self.exchange
        if exchange is None or exchange.may_complete():
            return True
        exchange.give_up(Outcome.NOT_SENT)
        return False

    @property
    def has_incomplete_request(self) -> bool:
        """Whether bytes of the latest request, the last one with them, may not have reached the server yet.

        They are in this process or in its kernel, which sends them later, and even after a close.
        """
        return self.transport is not None and unacknowledged_bytes(self.transport) > 0

    @property
    def is_stalled(self) -> bool:
        """Whether bytes of the latest request are unacknowledged for longer than a receiver delays that."""
        started_for_s = self.server.pool.loop.time() - self.started_at
        return started_for_s >= MAX_ACKNOWLEDGEMENT_DELAY_S and self.has_incomplete_request

    def write_out_of_memory(self) -> None:
        """Start a timeout for the request: half written, it has not run, and may be sent elsewhere."""
        if self._half_sent_timer is None:
            self._half_sent_timer = self.server.pool.loop.call_later(
                HALF_SENT_TIMEOUT_S, self._give_up_half_sent
            )

    def _give_up_half_sent(self) -> None:
        """End the exchange as not sent if a part of its request is still unsent."""
        self._half_sent_timer = None
        exchange = self.exchange
        if exchange is not None and self.unsent:
            exchange.give_up(Outcome.NOT_SENT)

    def read_out_of_memory(self) -> None:
        """Note since when this machine lacks the memory to read."""
        self._unread_since_ns = self._unread_since_ns or time.monotonic_ns()

    def _end_read_delay(self) -> None:
        """Add the time since reading failed to the exchange, which does not count it as the server's time."""
        if self._unread_since_ns:
            if self.exchange is not None:
                self.exchange.read_delay_ns += time.monotonic_ns() - self._unread_since_ns
            self._unread_since_ns = 0

    def resume_writing(self) -> None:
        """Note that the kernel has taken every byte."""
        if self._half_sent_timer is not None:
            self._half_sent_timer.cancel()
            self._half_sent_timer = None
        self.unsent = False
        self.server.pool.sends += self._counts_as_send

    @property
    def usable(self) -> bool:
        """Whether the connection is open and not retired."""
        return not self.retired and self.transport is not None and not self.transport.is_closing()

    @property
    def reusable(self) -> bool:
        """Whether another exchange may start: the connection is usable and nothing is unread.

        Danger: the loop may not have seen yet that the server has closed the connection, and a request
        written then counts as one that may have run; or that a surplus answer came, which would be taken for
        that of the next request.
        """
        return self.usable and not self.unread

    @property
    def unread(self) -> bool:
        """Whether the kernel has data, or the end of the connection, that the loop has not read yet."""
        if self._readiness is None or self.transport is None or self.transport.is_closing():
            return False
        return self._readiness.is_ready()

    def recognizes_copy(self, request: Request) -> bool:
        """Whether a second copy of the latest answer could be told from the answer to `request`."""
        latest = self._latest_read
        return latest is not None and request.value is None and request.key != latest.key

    def start(self, exchange: Exchange) -> StartResult:
        """Write the exchange's request.

        The bytes go to the kernel within this call, except those that its buffer has no room for.
        """
        assert self.transport is not None
        remaining_ms = exchange.remaining_ms()
        if not remaining_ms:
            return StartResult.TOO_LATE
        head, value, end = self.request_parts(exchange, exchange.stated_time_ms(remaining_ms))
        self._is_long_request = len(head) + len(value) > LONG_VALUE_BYTES
        if self._is_long_request and not self._limits_kernel:
            self._limits_kernel = True
            limit_unsent_in_kernel(self.transport.get_extra_info("socket"), MAX_UNSENT_IN_KERNEL_BYTES)
        self._counts_as_send = int(exchange.request is not None)
        self.server.pool.sends += self._counts_as_send
        if not self._is_long_request and (value or end):
            head = b"".join((head, value, end))
        if not self.transport.write_now(head):
            self.server.pool.sends -= self._counts_as_send
            return StartResult.SHORTAGE
        if self._is_long_request:
            self.transport.write_unchanged(value)
            self.transport.write(end)
        self.exchange, exchange.connection, exchange.connection_reused = exchange, self, self.used_before
        self.started_at = self.server.pool.loop.time()
        self._copy_may_come = self.started_at < self.settled_at
        if self.transport.is_closing() and not self.unsent:
            # The kernel refused the first byte, so none was sent; `connection_lost` follows.
            self.pause_writing()
        exchange.request_written()
        return StartResult.STARTED

    def await_late_answer(self, late: LateAnswer, wait_s: float) -> None:
        """Wait up to `wait_s` seconds for the answer to an abandoned exchange, then close."""
        self._end_read_delay()
        self.exchange, late.connection = late, self
        self.server.late_connections[self] = None
        self.server.pool.descriptor_freed()
        loop = self.server.pool.loop
        self._late_timer = loop.call_later(wait_s, self.close)
        if self.has_incomplete_request:
            loop.call_later(MAX_ACKNOWLEDGEMENT_DELAY_S, self._close_if_incomplete)

    def _close_if_incomplete(self) -> None:
        """Close unless the abandoned request has reached its server, or its answer has come."""
        if self in self.server.late_connections and self.has_incomplete_request:
            self.close()

    def flow(self) -> ReadPosition | None:
        """Return the state of the long value that is being read; None if there is none."""
        return None

    def resume_value(self, flow: ReadPosition) -> None:
        """Continue to read a long value from the state in which another process stopped."""
        raise NotImplementedError

    @property
    def holds_value(self) -> bool:
        """Whether the connection keeps a part of a value, whose length it does not know."""
        return False

    # Memory of an answer that can't be passed on before it is whole

    def keep(self, size: int) -> None:
        """Count so many bytes for the partial answer, once the memory budget has room for them.

        Until then the rest stays unread, unless the exchange is better ended.
        """
        memory = self.server.pool.memory
        if size <= self._kept_bytes:
            memory.release_memory(self._kept_bytes - size)
            self._kept_bytes = size
        elif memory.has_room(size - self._kept_bytes):
            memory.count(size - self._kept_bytes)
            self._kept_bytes = size
        elif self.exchange is not None and not self.exchange.ended_for_memory():
            self.wait_for_memory()

    def reserve(self) -> None:
        """Ask again for the memory of the partial answer."""
        if self.exchange is not None:
            self.read_on()
            self.keep(self.needed_bytes)

    @property
    def needed_bytes(self) -> int:
        """Bytes of a partial answer that have to be kept at least."""
        return 0

    @property
    def closed(self) -> bool:
        """Whether the connection has ended, so that it needs no memory any more."""
        return self.transport is None or self.transport.is_closing()

    @property
    def awaits_memory(self) -> bool:
        """Whether the rest of an answer is not read yet, as the memory budget has no room for it."""
        return self._awaits_memory

    def wait_for_memory(self) -> None:
        """Stop reading until memory is released; that time is the router's own."""
        self.server.pool.memory.wait(self)
        if not self._awaits_memory:
            assert self.transport is not None
            self._awaits_memory = True
            self.transport.pause_reading()
            self.read_out_of_memory()

    def read_on(self) -> None:
        """End a wait for memory, if there is one."""
        if self._awaits_memory:
            self._awaits_memory = False
            if self.transport is not None and not self.transport.is_closing():
                self._end_read_delay()
                self.transport.resume_reading()

    @property
    def movable(self) -> bool:
        """Whether another process can take over this connection within a long value."""
        # Danger: during `data_received`, the part not yet passed on would be lost to both processes.
        alive = self.transport is not None and not self.transport.is_closing() and not self._is_reading
        return alive and not self.unsent and self.exchange is not None and self.flow() is not None

    def copy_descriptor(self) -> int:
        """Return a duplicate of the socket's descriptor for the caller. Raises OSError if none is free."""
        assert self.transport is not None
        return os.dup(self.transport.get_extra_info("socket").fileno())

    def suspend(self) -> ReadPosition:
        """Close this copy of the connection, and return the state from which another process reads on."""
        flow = self.flow()
        assert flow is not None
        self.exchange = None
        self.close()
        return flow

    def close(self) -> None:
        """Close at once; a request whose last byte the server may not have yet is never completed."""
        self.retired = True
        self._end_read_delay()
        self._clear_late()
        if self.transport is None:
            return
        if self.has_incomplete_request:
            self.transport.reset()
        else:
            self.transport.abort()

    def pause(self) -> None:
        """Pause reading."""
        if not self._paused:
            self._paused = True
            if self.transport is not None and not self.transport.is_closing():
                self.transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self._paused:
            self._paused = False
            if self.transport is not None and not self.transport.is_closing():
                self.transport.resume_reading()

    def _clear_late(self) -> None:
        if self.server.late_connections.pop(self, self) is None and self._late_timer is not None:
            self._late_timer.cancel()

    def finish(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """End the exchange with its outcome, and give the connection back to the pool."""
        if self._is_copy(outcome, value):
            self.close_with_error("sent its latest answer again")
            return
        if self._is_long_request and self.has_incomplete_request:
            # Danger: the rest would reach the server ahead of the next request.
            self.retired = True
        exchange, self.exchange, self.used_before = self.exchange, None, True
        self._clear_late()
        # Danger: a slow client may have paused reading at a value's end; the next answer would not be read.
        self.resume()
        self.server.pool.release(self)
        if exchange is not None:
            exchange.end(outcome, value, note)

    def _is_copy(self, outcome: Outcome, value: bytes | None) -> bool:
        """Whether a complete answer repeats the one before it; otherwise it is recorded as the latest."""
        request = self.exchange.request if self.exchange is not None else None
        latest, self._latest_read = self._latest_read, None
        if request is None or request.value is not None or value is None or outcome is not Outcome.OK:
            return False
        answer = ReadValue(request.key, hash(value))
        if not self._copy_may_come:
            self.server.pool.read_values.learn(answer)
        elif latest is not None and latest.is_repeated_by(answer):
            self.server.pool.read_values.copy_received()
            return True
        self._latest_read = answer
        return False

    def close_with_error(self, reason: str) -> None:
        """Log the reason, close the connection, and end its exchange as failed; its request may have run."""
        log.warning("%s: %s", self.server.id, reason)
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            exchange.end(Outcome.ERROR)

    def data_received(self, data: bytes) -> None:
        """Read a part of the current answer."""
        self.server.pool.on_event()
        self._end_read_delay()
        if self.exchange is None:
            if self.usable:
                self.close_with_error("sent an answer without a request")
            return
        self._is_reading = True
        try:
            self.answer_received(data)
            if (needed := self.needed_bytes) or self._kept_bytes:
                self.keep(needed)
        except Exception:
            log.exception("%s: reading an answer failed", self.server.id)
            self.close_with_error("reading an answer failed")
        finally:
            self._is_reading = False

    @abstractmethod
    def request_parts(self, exchange: Exchange, remaining_ms: int) -> RequestParts:
        """Return the request or probe in the server's protocol, with `remaining_ms` as its time left."""

    @abstractmethod
    def answer_received(self, data: bytes) -> None:
        """Parse a part of the answer."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; if a byte of its request was still unsent, it did not run."""
        self.retired = True
        self.keep(0)
        self._end_read_delay()
        self._clear_late()
        if self._half_sent_timer is not None:
            self._half_sent_timer.cancel()
        exchange, self.exchange = self.exchange, None
        if exchange is not None and exchange.connection_reused and not self.unsent:
            # Danger: a server that drops one kept connection may have dropped all; a retry would fail.
            self.server.close_idle()
        self.server.pool.remove(self)
        if exchange is not None:
            exchange.end(Outcome.CONNECT_FAILED if self.unsent else Outcome.RESET)


class Server:
    """One server, with its connections, dials and queued exchanges."""

    def __init__(
        self, pool: ConnectionOwner, server_id: str, address: Address, connect: Callable[[Server], Connection]
    ):
        self.pool, self.id, self.address, self.connect = pool, server_id, address, connect
        self.is_listed = True
        self.idle: IdleConnections[Connection] = IdleConnections()
        self.connections: set[Connection] = set()
        self.dials: set[asyncio.Task[None]] = set()
        self.shortage_backoff = ShortageBackoff(pool.loop)
        self.second_connection = SecondConnectionPolicy(pool.idle_limit)
        self.dial_delay_timer: asyncio.TimerHandle | None = None
        """Delays a second dial while the only queued exchange waits for the only connection."""
        self.late_connections: dict[Connection, None] = {}
        """Connections that wait for the answer to an abandoned exchange, the oldest first."""
        self.queue: deque[Exchange] = deque()
        self.settling_timer: asyncio.TimerHandle | None = None
        """Starts queued exchanges once an idle connection has settled."""

    def close_idle(self) -> None:
        """Close the connections that carry no exchange."""
        for connection in self.idle.remove_all():
            connection.close()

    def remove_ended(self) -> None:
        """Remove exchanges at the head of the queue that have ended, for example as their client left."""
        while self.queue and self.queue[0].over:
            self.queue.popleft()

    @property
    def unserved(self) -> int:
        """Number of queued exchanges beyond those for which an idle connection is about to settle."""
        return len(self.queue) - len(self.idle)

    @property
    def busy_count(self) -> int:
        """Number of connections that carry an exchange, and of dials."""
        return self.descriptor_count - len(self.idle)

    @property
    def descriptor_count(self) -> int:
        """Number of descriptors in use, by connections and dials."""
        return len(self.connections) + len(self.dials)
