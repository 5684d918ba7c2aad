"""What clients talk to in any dialect: their connections, and answers in the order of the commands."""

from __future__ import annotations

import asyncio
import itertools
import logging
import os
import select
import socket
import time
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol, cast

from saltport.address import Address
from saltport.deadline import Received
from saltport.decisions.ordering import KeyOrder
from saltport.downstream.arrivals import Arrivals
from saltport.downstream.budget import Budget
from saltport.downstream.departure import Arrival, Departure, Successor, may_go
from saltport.downstream.endings import CloseReason
from saltport.downstream.lingering import Lingering
from saltport.downstream.received import KernelClock, ReceiveTimes
from saltport.downstream.replies import LongAnswer, Reply
from saltport.downstream.taking import STALL_S, waiting_for
from saltport.downstream.unread import UnreadConnections
from saltport.handover.exchange import Parcel
from saltport.handover.record import ConnectionRecord, RecordError, Value, decode
from saltport.messages import Answers, ClientDialect, Malformed, Message, Ping, Request
from saltport.transport.readiness import Readiness
from saltport.transport.stream import READ_SIZE_BYTES, StreamProtocol, TcpStream

if TYPE_CHECKING:
    from saltport.downstream.access_log import AccessLog

LARGE = 64 << 10  # a command that needs more must be given room first
MAX_PIPELINE = 256
HIGH_WATER = 64 << 10
# Good clients may take 2 s for a command's head, and strangers are owed an error or a close within 3 s.
PROGRESS_S = 2.4  # in which a command must be whole, or have come on by
PROGRESS = 16 << 10  # bytes
PENDING = 64 << 10  # bytes of a command under way that go to a process which takes no records
IDLE_S = 2.0  # after which a connection without an open request may be closed
FRESH_S = 0.1  # in which a client that has connected sends its first request
SWEEP_S = 0.2
REFUSERS = 32
FULL_PAUSE_S = 0.01  # until there may be room for one more

log = logging.getLogger("saltport")


class Host(Protocol):
    """What takes the clients' requests."""

    ready: bool

    def touched(self) -> None:
        """The kernel had something for a client's connection."""

    def unread_since(self, now_ns: int) -> int:
        """Since when, at the earliest, what is read now may have lain in the kernel."""

    def request_arrived(
        self, request: Request, reply: Reply, order: KeyOrder[Any], received: Received
    ) -> None:
        """A request is whole; `order` is that of its connection's commands."""

    def request_refused(self, asked: Request) -> None:
        """A request is refused, as there are too many clients."""

    def client_gone(self, reply: Reply) -> None:
        """The client that waits for this reply has left."""

    def go_on(self, value: Value, descriptor: int, reply: Reply) -> LongAnswer:
        """Go on with a value that another process began for this reply; the descriptor is the host's."""


class ClientConnection(StreamProtocol):
    """One client's connection."""

    def __init__(
        self, server: ClientServer, dialect: Callable[[], ClientDialect], arrival: Arrival | None = None
    ) -> None:
        """`arrival`: where another process has stopped."""
        self.server = server
        self._arrival = arrival
        self._departure: Departure | None = None
        self._within = False
        """Whether commands are being taken just now."""
        self._stays = arrival is not None and arrival.stays
        self._order: KeyOrder[Any] = KeyOrder()
        self.carried = False
        """Whether a request ever came; the front asks on connections of its own how the router is."""
        self.number = server.next_number()
        self.transport: TcpStream | None = None
        self._departures: Readiness | None = None
        self.replies: deque[Reply] = deque()
        self.blocked = self.closed = False
        self.used_at = self.came_at = server.loop.time()
        self._dialect = dialect()
        self._reading = True
        self._reserved = 0  # set aside for the command under way
        self._begun_at = 0.0
        self._came = 0  # since then
        self._starved = False  # waits for the budget
        self._last = False
        self.refusing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, and be counted in."""
        host = self.server.host
        host.touched()
        self.transport = cast(TcpStream, transport)
        self.transport.set_write_buffer_limits(high=HIGH_WATER)
        self._receive_times = self._received_from_now()
        self._departures = Readiness(self.transport.get_extra_info("socket"), select.POLLRDHUP)
        self.server.opened(self)
        if self._arrival is not None:
            arrival, self._arrival = self._arrival, None
            self._go_on(arrival)
            # What the record brought was no read: the kernel may hold more from before.
            self._receive_times = self._received_from_now()
            if not self._reading:
                self._receive_times.stopped(time.monotonic_ns())

    def _received_from_now(self) -> ReceiveTimes:
        assert self.transport is not None
        end, server = self.transport.get_extra_info("socket"), self.server
        return ReceiveTimes(end, server.kernel_clock, server.host.unread_since, time.monotonic_ns())

    def _go_on(self, arrival: Arrival) -> None:
        """Owe what another process owed, and read on where it stopped."""
        record = arrival.record
        self.carried = record.carried
        self._within = True
        for segment in record.segments:
            reply = Reply(self)
            reply.go_on(segment)
            self.replies.append(reply)
            if segment.value is not None:
                reply.source = self.server.host.go_on(segment.value, arrival.take(), reply)
                if len(self.replies) > 1:
                    reply.source.pause()
        if self.replies:
            self.replies[0].its_turn()
        self._within = False
        if record.command:
            self.data_received(record.command)
            # Danger: timed anew in each process, half a command could hold its connection for good.
            self._begun_at -= record.command_age_ms / 1000
        self.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, here at least."""
        if self._departure is not None:
            self._depart(self._departure)
        self._leave(CloseReason.CLIENT_RESET if exc else CloseReason.CLIENT_ENDED)

    def eof_received(self) -> bool:
        """The client sends no more: it has gone."""
        self._leave(CloseReason.CLIENT_ENDED)
        return False

    def _leave(self, reason: CloseReason) -> None:
        if self.closed:
            return
        self.closed = True
        if self.server.access_log is not None:
            self._log_close(self.server.access_log, reason)
        self.server.closed(self)
        self.server.unread.discard(self)
        if self._reserved:
            self.give_back(self._reserved)
        replies, self.replies = self.replies, deque()
        # Danger: from the first on, what waits for its turn behind another would begin for nobody.
        for reply in reversed(replies):
            if not reply.done:
                self.server.host.client_gone(reply)

    def _log_close(self, access_log: AccessLog, reason: CloseReason) -> None:
        unsent = 0
        # What is unsent where nothing else is owed goes on leaving, see `lingering`.
        if self.transport is not None and reason is not CloseReason.NOTHING_OWED:
            unsent = self.transport.get_write_buffer_size()
        unanswered = [reply.logged_id for reply in self.replies if reply.logged_id is not None]
        access_log.closed(self.number, reason, unanswered, unsent, bool(self._dialect.need))

    def data_received(self, data: bytes) -> None:
        """Read what has come; a fault in doing so ends only this connection."""
        self.server.host.touched()
        self._within = True
        try:
            self._read(data)
        except Exception:
            log.exception("reading a command failed")
            self.abort(CloseReason.FAULT)
        finally:
            self._within = False
        if not self.replies and self._leaves:
            self.flush()

    def _read(self, data: bytes) -> None:
        reader = self._dialect
        self.used_at = self.server.loop.time()
        fresh = not reader.need
        commands = reader.feed(data)
        now, times = time.monotonic_ns(), self._receive_times
        received = times.prompt(now, _least_timeout_ms(commands))
        if received is None:
            is_last = len(commands) == 1 and not reader.need
            received = times.read(now, emptied=len(data) < READ_SIZE_BYTES, is_last=is_last)
        for message, answers in commands:
            reply = Reply(self, answers)
            if self._reserved:
                reply.reserved, self._reserved = self._reserved, 0
            self.replies.append(reply)
            self._take(message, reply, received)
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
            self.give_back(self._reserved)
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

    def give_back(self, reserved: int) -> None:
        """See Channel."""
        self.server.budget.give_back(reserved)

    def _break(self) -> None:
        """Tell the client why its stream ends, and end it."""
        self._last = True
        self._set_reading()
        reply = Reply(self)
        self.replies.append(reply)
        reply.send(self._dialect.breaking())

    def _take(self, message: Message, reply: Reply, received: Received) -> None:
        match message:
            case Request() if not self.refusing:
                self.carried = True
                if self.server.access_log is not None:
                    self._log_request(self.server.access_log, message, reply)
                self.server.host.request_arrived(message, reply, self._order, received)
                return
            case Request():
                self._last = True
                self.server.host.request_refused(message)
                reply.refused()
            case Ping():
                reply.send(reply.answers.pong(self.server.takes_clients))
            case Malformed():
                reply.rejected(message.reason)
        reply.forgotten()

    def _log_request(self, access_log: AccessLog, request: Request, reply: Reply) -> None:
        reply.logged_id = request.id.decode("ascii", "replace")
        access_log.accepted(self.number, reply.logged_id, request.request_class, request.timeout_ms)

    def write(self, data: bytes) -> None:
        """Write to the client."""
        if self.transport is not None:
            self.transport.write(data)

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        replies = self.replies
        while replies and replies[0].done:
            reply = replies.popleft()
            if reply.logged_id is not None:
                self._log_answer(reply, reply.logged_id)
            self.used_at = self.server.loop.time()
            if replies:
                replies[0].its_turn()
        if self._moves:
            self.depart()
        elif not replies and self._leaves and not self._within:
            # Danger: within a batch, the commands behind would be taken for a client that is hung up on.
            if self.server.successor is None or not self._hand_over():
                self._end()
        elif not self._reading:
            self._set_reading()

    def _log_answer(self, reply: Reply, request_id: str) -> None:
        access_log = self.server.access_log
        if access_log is not None and reply.answer is not None and not self.closed:
            access_log.answered(self.number, request_id, reply.answer)

    def _end(self) -> None:
        """End the connection, on which nothing is owed: all that was written reaches the client."""
        if self.transport is not None and not self.closed and not self.transport.is_closing():
            self._leave(CloseReason.NOTHING_OWED)
            self.server.lingering.begin(self.transport)

    def read_out_of_memory(self) -> None:
        """See StreamProtocol: what the client has sent goes on growing older."""
        self._receive_times.held_up(time.monotonic_ns())

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
        wanted = not (self.blocked or self._starved or self._dialect.broken or full or self._moves)
        if wanted == self._reading or self.transport is None or self.transport.is_closing():
            return
        self._reading = wanted
        if wanted:
            self.transport.resume_reading()
            self.server.unread.discard(self)
        else:
            self.transport.pause_reading()
            self._receive_times.stopped(time.monotonic_ns())
            self.server.unread.add(self)

    @property
    def idle(self) -> bool:
        """Whether it stands between requests."""
        # Danger: what can't be read just now may be a request, and the client has it acknowledged.
        return not self.replies and not self._dialect.need and not self._is_held_up

    @property
    def _is_held_up(self) -> bool:
        return self.transport is not None and self.transport.is_out_of_memory

    @property
    def has_just_come(self) -> bool:
        """Whether it is so new that its first request may be on its way; nobody would send that again."""
        return not self.carried and self.server.loop.time() - self.came_at < FRESH_S

    @property
    def _leaves(self) -> bool:
        """Whether it closes once nothing is owed here."""
        return self._last or (self.server.emptying and self.carried and not self._dialect.need)

    @property
    def _moves(self) -> bool:
        """Whether another process goes on with it, whatever is owed on it."""
        successor = self.server.successor
        if successor is None or not successor.takes_records:
            return False
        return not (self._stays or self._last or self._dialect.broken)

    def finish(self, even_midway: bool) -> None:
        """Go to the other process, or close, once nothing is owed; `even_midway`: also within a command."""
        if self.transport is None or self.closed or (self.server.successor is not None and self._goes()):
            return
        if self.idle or (even_midway and not self.replies and not self._is_held_up):
            self._end()
        else:
            self._last = even_midway or not self._dialect.need or self._last

    def _goes(self) -> bool:
        """Whether another process takes it, now or when what is owed allows it."""
        self._set_reading()
        if self._moves:
            self.depart()
            return True
        return not self.replies and self._hand_over()

    def depart(self) -> None:
        """Go to the process that takes this one's place, if what is owed allows it by now."""
        self._set_reading()
        transport, successor = self.transport, self.server.successor
        # Danger: within a batch, the commands that are not taken yet would be in nobody's hands.
        if self._within or self._departure is not None or self.closed:
            return
        if transport is None or transport.is_closing():
            return
        if successor is None or self.server.departing >= successor.room:
            return  # looked at again in a moment: meanwhile its values go on
        if may_go(self.replies, self.server.ends_at - self.server.loop.time()):
            try:
                self._departure = Departure(transport, self.replies)
            except OSError:
                return  # the same: no descriptors are to be had just now
            self.server.departing += 1

    def _depart(self, departure: Departure) -> None:
        """Nothing is read or written here any more."""
        successor, transport = self.server.successor, self.transport
        self.server.departing -= 1
        if self.closed or successor is None or transport is None:
            for descriptor in departure.descriptors:
                os.close(descriptor)
            return
        if self.server.access_log is not None:
            self._log_close(self.server.access_log, CloseReason.MOVED)
        replies, self.replies = self.replies, deque()
        age_s = self.server.loop.time() - self._begun_at if self._dialect.need else 0.0
        record = departure.record(self._dialect, self.carried, transport.unsent, replies, age_s)
        self._leave(CloseReason.MOVED)
        successor.offer(
            Parcel(record, departure.descriptors, self.server.thawing(record, departure.descriptors))
        )

    def _hand_over(self) -> bool:
        """Give a connection to a process that takes no records; False: it can't be done now."""
        successor, transport, held = self.server.successor, self.transport, self._dialect.held
        if successor is None or transport is None or transport.is_closing() or self.closed:
            return False
        if self._stays or self._last or self._dialect.broken or transport.get_write_buffer_size():
            return False
        if len(held) > PENDING or self._reserved or self._starved or self._dialect.name != "resp":
            return False
        # Danger: nothing may be read from here on, or what was read in between would be lost with this copy.
        if not successor.give(transport.get_extra_info("socket").fileno(), held):
            return False
        transport.abort()
        self._leave(CloseReason.MOVED)
        return True

    def abort(self, reason: CloseReason) -> None:
        """Close at once."""
        self._leave(reason)
        if self.transport is not None:
            self.transport.abort()

    def client_has_left(self) -> bool:
        """See Channel."""
        return self._departures is not None and self._departures.is_ready()

    def client_left(self) -> None:
        """The client has ended or reset the connection while nothing was read on it."""
        self.abort(CloseReason.CLIENT_RESET)

    def check(self, now: float) -> None:
        """End a connection whose client does not go on."""
        if self.blocked:
            assert self.transport is not None
            self._look_at(self.transport.get_write_buffer_size(), now)
            if now - self.used_at > STALL_S:
                log.warning("a client takes nothing of its answer")
                self.abort(CloseReason.STALLED)
            return
        if self.idle and now - self.used_at >= IDLE_S:
            if self._takes(now):
                return
            # Danger: those that only connect, or ask once and stay, would hold descriptors for good.
            self.finish(even_midway=False)
            return
        midway = self._dialect.need and not self._starved and not self.replies
        if midway and now - self._begun_at > PROGRESS_S:
            log.warning("a client does not finish its command")
            self._break()

    def _takes(self, now: float) -> bool:
        """Whether its client is still taking what the kernel holds for it: it is slow, and not idle."""
        assert self.transport is not None
        size = waiting_for(self.transport)
        self._look_at(size, now)
        return bool(size) and now - self.used_at < STALL_S

    def _look_at(self, size: int, now: float) -> None:
        """So many bytes wait for the client; it takes some as long as their number changes."""
        if size != self._stuck:
            self._stuck, self.used_at = size, now

    _stuck = 0  # bytes that waited for the client at the last look

    @property
    def descriptor(self) -> int:
        """Its socket's; -1 once it is closed."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return -1
        return int(self.transport.get_extra_info("socket").fileno())

    @property
    def evictable(self) -> bool:
        """Whether it can be closed at once and nobody loses anything by it.

        Danger: an answer that waits for its client goes with the close, and so does one on its way if a
        request lies unread here.
        """
        assert self.transport is not None
        if not self.idle or self.has_just_come or waiting_for(self.transport):
            return False
        return not Readiness(self.transport.get_extra_info("socket"), select.POLLIN).is_ready()


def _least_timeout_ms(commands: Sequence[tuple[Message, Answers]]) -> int:
    """The least time that a client gives; 0 where some command tells none."""
    least = 0
    for message, _ in commands:
        if not isinstance(message, Request):
            return 0
        least = min(least, message.timeout_ms) if least else message.timeout_ms
    return least


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
        self.unread, self.lingering = UnreadConnections(loop), Lingering(loop)
        self.kernel_clock = KernelClock()
        self._connections: dict[ClientConnection, None] = {}
        self._arrivals = Arrivals(loop, self._until_room)
        self.emptying = False
        """Whether connections that carried a request close after their last answer."""
        self.draining = False
        """Whether clients are told to go elsewhere."""
        self.successor: Successor | None = None
        """The process that replaces this one, once this one ends."""
        self.departing = 0
        """Connections that are frozen and not yet in its hands."""
        self.ends_at = 0.0
        """When that is over, by the loop's clock."""
        self.dialects = {"": dialect}
        """What connections that come from another process speak, by the names of the dialects."""
        self.access_log: AccessLog | None = None
        self._numbers = itertools.count(1)
        self._timer = loop.call_later(SWEEP_S, self._sweep)

    def next_number(self) -> int:
        """A number that no other connection of this process has."""
        return next(self._numbers)

    def listen(self, address: Address, dialect: Callable[[], ClientDialect] | None = None) -> int:
        """Accept clients at this address, of the server's dialect or another; they share all limits.

        Returns the port; raises OSError.
        """
        return self._arrivals.listen(address, partial(ClientConnection, self, dialect or self.dialect))

    def listen_at(self, listener: socket.socket) -> None:
        """Accept clients at a socket that somebody else holds too, and that outlives this process."""
        self._arrivals.listen_at(listener, partial(ClientConnection, self, self.dialect))

    def _until_room(self) -> float:
        """Seconds until there is room for one more client, which waits in the kernel with what it sent."""
        if self.connected + len(self._arrivals) < self._limit + REFUSERS:
            return 0.0
        return 0.0 if self.lingering.make_room() or self._evict() else FULL_PAUSE_S

    def adopt(self, record: ConnectionRecord, descriptors: Sequence[int], stays: bool = False) -> None:
        """Go on with a client's connection from another process; `stays`: it can't go there again.

        The descriptors are taken over. Raises RecordError, and then they are still the caller's.
        """
        speaks = self.dialects.get(record.dialect)
        if speaks is None:
            raise RecordError(f"no dialect {record.dialect!r} is spoken here")
        arrival = Arrival(record, descriptors[1:], stays)
        made = ClientConnection(self, speaks, arrival)
        try:
            # Danger: with its family told, no call is needed that may fail for a moment.
            end = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptors[0])
        except OSError:
            raise RecordError("the first descriptor is no socket") from None
        end.setblocking(False)
        self._arrivals.take_over(end, made, arrival.drop)

    def thawing(self, record: bytes, descriptors: Sequence[int]) -> Callable[[], None]:
        """What takes a frozen connection up here again."""
        return lambda: self.adopt(decode(record, len(descriptors)), descriptors, stays=True)

    @property
    def accepting(self) -> bool:
        """Whether clients can connect."""
        return self._arrivals.accepting

    @property
    def empty(self) -> bool:
        """Whether no client is connected, or about to be."""
        return not self.connected and not self._arrivals and not self._arrivals.accepting

    @property
    def takes_clients(self) -> bool:
        """Whether the router is ready and wants clients."""
        return self.host.ready and not self.draining

    def opened(self, connection: ClientConnection) -> None:
        """Count a new connection in, making room for it where there is none."""
        if self.connected >= self._limit and not self.lingering.make_room() and not self._evict():
            connection.refusing = True
        self._connections[connection] = None

    def _evict(self) -> bool:
        """Close the connection that has been idle for longest; False: none can be closed."""
        for other in sorted(self._connections, key=lambda other: other.used_at):
            if other.evictable:
                other.abort(CloseReason.EVICTED)
                return True
        return False

    def closed(self, connection: ClientConnection) -> None:
        """Count a connection out."""
        self._connections.pop(connection, None)

    @property
    def connected(self) -> int:
        """How many clients are connected."""
        return len(self._connections) + len(self.lingering)

    def stop_accepting(self) -> None:
        """Take who has connected by now, and nobody after; called again where that could not be done yet."""
        self._arrivals.stop()

    def finish(self, even_midway: bool, health: bool = True) -> None:
        """Have all close once nothing is owed on them; `health`: also those that only ask how it is."""
        now = self.loop.time()
        for connection in list(self._connections):
            if connection.has_just_come and not even_midway:
                continue
            if health or connection.carried or now - connection.used_at >= IDLE_S:
                connection.finish(even_midway)

    def _sweep(self) -> None:
        self._timer = self.loop.call_later(SWEEP_S, self._sweep)
        now = self.loop.time()
        for connection in list(self._connections):
            connection.check(now)
        self.lingering.check(now)

    def close(self) -> None:
        """Close everything."""
        self._timer.cancel()
        self._arrivals.close()
        for connection in list(self._connections):
            connection.abort(CloseReason.SHUTDOWN)
        self.lingering.close()
