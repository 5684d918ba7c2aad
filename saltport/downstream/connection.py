"""One client connection in any dialect: reads commands and writes the replies in command order."""

from __future__ import annotations

import asyncio
import logging
import os
import select
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol, cast

from saltport.deadline import NS_PER_MS, Received
from saltport.decisions.ordering import KeyOrder
from saltport.downstream.budget import COMMAND_READS, MIN_READ_BYTES, MemoryBudget
from saltport.downstream.client_memory import ClientMemory
from saltport.downstream.client_presence import ClientPresence
from saltport.downstream.command_input import CommandInput, Turn
from saltport.downstream.command_progress import COMMAND_PROGRESS_TIMEOUT_S, CommandProgress
from saltport.downstream.connection_handover import (
    FrozenConnection,
    ReceivedConnection,
    Successor,
    can_hand_over,
)
from saltport.downstream.lingering_close import STALL_TIMEOUT_S, LingeringConnections
from saltport.downstream.outcomes import CloseReason
from saltport.downstream.paused_reads import PausedReads
from saltport.downstream.receive_times import KernelClock, ReceiveTimes
from saltport.downstream.replies import Reply
from saltport.downstream.request_host import Host
from saltport.downstream.turns import TURN_BYTES, TurnScheduler
from saltport.handover.exchange import ConnectionTransfer
from saltport.handover.record import Closing
from saltport.messages import Answers, ClientDialect, Discarded, Malformed, Message, Ping, Request
from saltport.transport.readiness import Readiness
from saltport.transport.stream import READ_SIZE_BYTES, StreamProtocol, TcpStream
from saltport.transport.unacknowledged import unacknowledged_bytes

if TYPE_CHECKING:
    from saltport.downstream.access_log import AccessLog

MAX_PIPELINE = 256  # outstanding replies per connection; reading pauses at this number
USUAL_READ_BYTES = 4 << 10  # read at once from a connection, unless more is known to be there
MAX_READ_AHEAD_BYTES = 64 << 10  # read at once while earlier bytes wait for turns
MAX_BACKLOG_BYTES = 1 << 20  # that wait for turns, as far as the memory budget allows
MAX_PARTIAL_COMMAND_BYTES = 64 << 10  # of a partial command passed to a successor that does not take records
IDLE_TIMEOUT_S = 2.0  # a connection without an open request may be closed after this time
ADOPTION_TIME_NS = 200_000_000  # in which what waited in the kernel is read after a hand-over
FIRST_REQUEST_GRACE_S = 0.1  # a new client is expected to send its first request within this time

log = logging.getLogger("saltport")


class ConnectionServer(Protocol):
    """The part of the client server that its connections use."""

    loop: asyncio.AbstractEventLoop
    host: Host
    budget: MemoryBudget
    paused_reads: PausedReads
    turns: TurnScheduler
    lingering: LingeringConnections
    kernel_clock: KernelClock
    memory_check_at: float
    check_memory: Callable[[], None]
    closing_when_answered: bool
    successor: Successor | None
    max_values_in_progress: Callable[[], int | None]
    handovers_in_progress: int
    exits_at: float
    access_log: AccessLog | None

    @property
    def takes_clients(self) -> bool:
        """Whether the router is ready and not draining."""

    def next_number(self) -> int:
        """Return a connection number that is unique within this process."""

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a new connection, or let it refuse its requests if there are too many."""

    def remove_connection(self, connection: ClientConnection) -> None:
        """Unregister a closed connection."""

    def restore(self, record: bytes, descriptors: Sequence[int], pinned: bool) -> None:
        """Restore a frozen connection in this process; `pinned`: it must not be handed over again."""


class ClientConnection(StreamProtocol):
    """One client connection: reads commands, passes requests to the host and writes the replies in order."""

    def __init__(
        self,
        server: ConnectionServer,
        dialect: Callable[[], ClientDialect],
        received_connection: ReceivedConnection | None = None,
    ) -> None:
        """Create the protocol; `received_connection` holds the state if another process handed it over."""
        self.server = server
        self._received_connection = received_connection
        self._frozen: FrozenConnection | None = None
        self._in_batch = False
        """Whether commands that were read together are being handled."""
        self._pinned = received_connection is not None and received_connection.pinned
        self._order: KeyOrder[Any] = KeyOrder()
        self.has_carried_request = False
        """Whether a request ever arrived; health checks use connections of their own."""
        self.number = server.next_number()
        """Number of the connection in the access log."""
        self.transport: TcpStream | None = None
        self.replies: list[Reply] = []
        self.writing_paused = self.closed = False
        """Whether the write buffer is full; whether the connection has ended."""
        self.last_active_at = self.connected_at = server.loop.time()
        self._dialect = dialect()
        self._input = CommandInput(self._dialect)
        self._waits_for_replies = False
        """Whether bytes that were read have waited because too many replies were outstanding."""
        self._has_more_unread = False
        """Whether the latest read has not emptied the kernel's buffer."""
        self._presence = ClientPresence(server.loop.time)
        self._read_size = READ_SIZE_BYTES
        self._reading = True
        self.memory = ClientMemory(server.budget, server.loop, self._input, self._memory_changed)
        """What is kept for this client."""
        self._unsent_count = 0  # bytes counted in the budget that the kernel had not taken at a pause
        self._last_unacknowledged = 0  # unacknowledged bytes at the previous check
        self._progress = CommandProgress()
        self._adopted_at_ns = 0  # when another process handed the connection over; 0: none did
        self._close_when_answered = False
        self._ended_elsewhere = False
        """Whether the client's stream had ended when another process handed the connection over."""
        self.refusing = False
        """Whether its requests are refused because there are too many clients."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register with the server; restore the state of a hand-over."""
        host = self.server.host
        host.begin_loop_iteration()
        self.transport = cast(TcpStream, transport)
        self.transport.set_write_buffer_limits(high=0)  # so that all that the kernel does not take counts
        self._receive_times = self._new_receive_times()
        self._presence.connected(self.transport)
        self.server.add_connection(self)
        if self._received_connection is not None:
            received_connection, self._received_connection = self._received_connection, None
            self._restore(received_connection)
            # The data in the record was not read here: the kernel may hold older unread data.
            self._receive_times = self._new_receive_times()
            if not self._reading:
                self._receive_times.reading_stopped(time.monotonic_ns())

    def _new_receive_times(self) -> ReceiveTimes:
        """Return a new estimator of the times at which received data arrived in the kernel."""
        assert self.transport is not None
        sock, server = self.transport.get_extra_info("socket"), self.server
        return ReceiveTimes(sock, server.kernel_clock, server.host.unread_since, time.monotonic_ns())

    def _restore(self, received_connection: ReceivedConnection) -> None:
        """Restore the outstanding replies and the partial command of a connection from another process."""
        record = received_connection.record
        self.has_carried_request = record.carried
        self._adopted_at_ns = time.monotonic_ns()
        self._in_batch = True
        for segment in record.segments:
            reply = Reply(self)
            reply.restore(segment)
            self.replies.append(reply)
            if segment.value is not None:
                reply.source = self.server.host.resume_value(segment.value, received_connection.take(), reply)
                if len(self.replies) > 1:
                    reply.source.pause()
        if self.replies:
            self.replies[0].start_writing()
        self._in_batch = False
        self._close_when_answered = record.closing is not Closing.NOT
        self._ended_elsewhere = record.closing is Closing.STREAM_ENDED
        if record.discarded is not None:
            self._input.resume_discarding(record.discarded.head, record.discarded.left)
            self._progress.restart(self.last_active_at)
        self.memory.waited_ns = record.waited_ms * NS_PER_MS
        if record.command:
            self.data_received(record.command)
        self._progress.move_back(record.command_age_ms / 1000)
        self._update_flow()
        self.remove_completed_replies()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete a hand-over, or handle the end of the connection."""
        if self._frozen is not None:
            self._hand_over_frozen(self._frozen)
        self._mark_closed(CloseReason.CLIENT_RESET if exc else CloseReason.CLIENT_ENDED)

    def eof_received(self) -> bool:
        """Treat the end of the client's stream as a disconnect."""
        self._mark_closed(CloseReason.CLIENT_ENDED)
        return False

    def _mark_closed(self, reason: CloseReason) -> None:
        """Remove the connection from the server, release its resources, and drop its open requests."""
        if self.closed:
            return
        self.closed = True
        if self.server.access_log is not None:
            self._log_close(self.server.access_log, reason)
        if reason.by_router and self.replies:
            self.server.host.closed_unanswered(reason, len(self.replies))
        self.server.remove_connection(self)
        self.server.paused_reads.discard(self)
        self.server.turns.discard(self)
        self.memory.close()
        self._release_unsent()
        replies, self.replies = self.replies, []
        for reply in replies:
            reply.drop_buffered()
        # Danger: in forward order, dropping one request could start another that waits behind it on this
        # closed connection.
        for reply in reversed(replies):
            if not reply.done:
                self.server.host.client_gone(reply)
            reply.source = None

    def _log_close(self, access_log: AccessLog, reason: CloseReason) -> None:
        """Write the close of the connection to the access log."""
        unsent = 0
        # After ALL_ANSWERED, the lingering close still sends the unsent bytes.
        if self.transport is not None and reason is not CloseReason.ALL_ANSWERED:
            unsent = self.transport.get_write_buffer_size()
        unanswered = [reply.logged_id for reply in self.replies if reply.logged_id is not None]
        access_log.closed(self.number, reason, unanswered, unsent, self._input.is_partial)

    def read_size(self) -> int:
        """Return the most bytes that the next read may return: the rest of a partial command, or more."""
        if not self._input.is_between_commands and (self.memory.reserved or self._dialect.is_discarding):
            size = min(max(self._input.missing_bytes, MIN_READ_BYTES), READ_SIZE_BYTES)
        else:
            most = MAX_READ_AHEAD_BYTES if self._has_more_unread else USUAL_READ_BYTES
            size = self.server.budget.read_size(COMMAND_READS, most)
        self._read_size = size
        return size

    def data_received(self, data: bytes) -> None:
        """Handle few received bytes at once; more of them wait for turns."""
        self.server.host.begin_loop_iteration()
        self.last_active_at = self.server.loop.time()
        if self.last_active_at >= self.server.memory_check_at:
            self.server.check_memory()
        now, emptied = time.monotonic_ns(), len(data) < self._read_size
        self._has_more_unread = not emptied
        if emptied:
            self._presence.seen(self.last_active_at)
        if self._input.is_between_commands and len(data) <= TURN_BYTES:
            self._handle_turn(now, emptied, data)
            return
        is_first = not self._input.backlog_bytes
        self._input.add(data, None)
        if is_first and self._input.is_small:
            self._handle_turn(now, emptied)
            return
        times = self._receive_times
        self._input.set_received(times.estimate_from_loop(now, 0) or times.record_read(now, emptied, False))
        self.memory.count_input()
        self._update_flow()

    def take_turn(self) -> None:
        """Handle the next of the bytes that wait, unless the client has left."""
        self.server.host.begin_loop_iteration()
        if self.client_has_left():
            self.client_left()
        elif self._has_capacity:
            self._handle_turn(time.monotonic_ns(), False)

    def _handle_turn(self, now: int, emptied: bool, data: bytes = b"") -> None:
        """Parse the bytes of one turn and handle their commands; an exception closes only this connection.

        `emptied`: whether the latest read has emptied the kernel's buffer; `data`: the bytes of a read that
        is handled at once.
        """
        self._in_batch = True
        try:
            starts_command = not self._dialect.needed_bytes
            turn = self._input.parse_read(data) if data else self._input.parse_turn()
            self._process_turn(turn, starts_command, now, emptied)
        except Exception:
            log.exception("client connection closed: handling received data failed")
            self.abort(CloseReason.FAULT)
        finally:
            self._in_batch = False
        if not self.replies and self._closes_when_answered:
            self.remove_completed_replies()
        if not self.closed and not (self._reading and self._input.is_between_commands):
            self._update_flow()

    def _process_turn(self, turn: Turn, starts_command: bool, now: int, emptied: bool) -> None:
        """Queue a reply for each command that is complete, and start to handle it.

        For a command that is received in part, update its progress and reserve memory if it is long.
        `starts_command`: whether the first of the bytes was that of a command.
        """
        reader = self._dialect
        size, received, commands = turn
        if received is None:
            received = self._estimate_arrival(now, emptied, commands)
        elif self._waits_for_replies:
            # Danger: for the answer's deadline, the time that a request waited behind earlier requests of its
            # connection does not count.
            received = Received(received.earliest_ns, now)
        if self._input.is_between_commands:
            self._waits_for_replies = False
        # What waited in the kernel of a connection that was handed over may be older than this process.
        earliest_ns = 0 if received.earliest_ns < self._adopted_at_ns + ADOPTION_TIME_NS else None
        began_ns = earliest_ns if starts_command else min(self._progress.began_ns, received.earliest_ns)
        for message, answers in commands:
            reply = Reply(self, answers)
            self.replies.append(reply)
            if self.memory.waited_ns:
                # Danger: the client's time runs on while its command waits here for memory.
                received, self.memory.waited_ns = received.moved_back(self.memory.waited_ns), 0
            self._handle_message(message, reply, received, began_ns)
            began_ns = earliest_ns
            self.memory.reserved = 0
        if reader.end_reason:
            self._end_stream()
        elif reader.needed_bytes:
            if starts_command or commands:
                began_ns = received.earliest_ns if earliest_ns is None else earliest_ns
                self._progress.begin(began_ns, self.last_active_at)
            else:
                self._progress.received(size, self.last_active_at)
        if self.memory.input_count or not self._input.is_between_commands:
            self.memory.count_input()
        if not self._has_capacity:
            self._update_flow()

    def _estimate_arrival(
        self, now: int, emptied: bool, commands: Sequence[tuple[Message, Answers]]
    ) -> Received:
        """Return when the commands arrived that were read and parsed at once."""
        received = self._receive_times.estimate_from_loop(now, _shortest_timeout_ms(commands))
        if received is None:
            is_last = len(commands) == 1 and not self._input.is_partial
            received = self._receive_times.record_read(now, emptied=emptied, is_last=is_last)
        return received

    def may_begin_value(self) -> bool:
        """Whether a value may begin: the next process may have to take over those in progress together."""
        limit = self.server.max_values_in_progress()
        return limit is None or sum(reply.source is not None for reply in self.replies) < limit

    def keeps_up(self) -> bool:
        """Whether the client has acknowledged all that was written to it, so that the kernel takes more."""
        return self.transport is not None and not unacknowledged_bytes(self.transport)

    def _admit(self, request: Request, reply: Reply) -> bool:
        """Whether a request is handled: there is memory for it, and its client has not left unseen."""
        if not self.may_have_left:
            reply.reserved = self.memory.admit(request)
        return reply.reserved > 0

    def _end_stream(self) -> None:
        """Send the dialect's closing reply after the outstanding ones, and then close the connection.

        Called for an invalid stream, a command not completed in time, or the client's QUIT.
        """
        self._close_when_answered = True
        self._update_flow()
        reply = Reply(self)
        self.replies.append(reply)
        reply.send(self._dialect.closing_reply())

    def _handle_message(
        self, message: Message, reply: Reply, received: Received, began_ns: int | None
    ) -> None:
        """Handle one parsed command: pass on, refuse or reject a request, or answer a ping."""
        match message:
            case Request() if not self.refusing and self._admit(message, reply):
                self.has_carried_request = True
                if self.server.access_log is not None:
                    self._log_request(self.server.access_log, message, reply)
                self.server.host.request_arrived(message, reply, self._order, received, began_ns)
                return
            case Request():
                self._close_when_answered = self._close_when_answered or self.refusing
                self.server.host.request_refused(message)
                reply.refused()
            case Ping():
                reply.send(reply.answers.pong(self.server.takes_clients))
            case Malformed():
                reply.rejected(message.reason)
            case Discarded():
                if message.request is not None:
                    self.server.host.request_refused(message.request)
                reply.refused()
        reply.release_memory()

    def _log_request(self, access_log: AccessLog, request: Request, reply: Reply) -> None:
        reply.logged_id = request.id.decode("ascii", "replace")
        access_log.accepted(self.number, reply.logged_id, request.request_class, request.timeout_ms)

    def write(self, data: bytes) -> None:
        """Write bytes to the client."""
        if self.transport is not None:
            self.transport.write(data)
            if not self._reading:
                self._presence.seen(self.server.loop.time())

    def remove_completed_replies(self) -> None:
        """Remove the completed replies, which are written already, from the head of the queue.

        The next reply then writes what it has buffered. A connection that moves to the successor or closes
        after its last reply does so here.
        """
        replies = self.replies
        while replies and replies[0].written:
            reply = replies.pop(0)
            if reply.logged_id is not None:
                self._log_answer(reply, reply.logged_id)
            self.last_active_at = self.server.loop.time()
            if replies:
                replies[0].start_writing()
        if self._moves_to_successor and not self._is_done:
            self.freeze()
        elif not replies and self._closes_when_answered and not self._in_batch:
            # Danger: closing within a batch would drop the commands that were read but not handled yet.
            if self.server.successor is None or not self._hand_over_idle():
                self._end()
        elif not self._reading:
            self._update_flow()

    def _log_answer(self, reply: Reply, request_id: str) -> None:
        """Write the final answer of a request to the access log."""
        access_log = self.server.access_log
        if access_log is not None and reply.answer is not None and not self.closed:
            access_log.answered(self.number, request_id, reply.answer)

    def _end(self) -> None:
        """Close a connection without outstanding replies so that all written bytes reach the client."""
        if self.transport is not None and not self.closed and not self.transport.is_closing():
            unsent, self._unsent_count = self._unsent_count, 0
            self._mark_closed(CloseReason.ALL_ANSWERED)
            self.server.lingering.add(self.transport, partial(self.memory.remove_buffered, unsent))

    def read_out_of_memory(self) -> None:
        """Record that a read failed for lack of memory, so that the data ages in the kernel meanwhile."""
        self._receive_times.read_delayed(time.monotonic_ns())

    def pause_writing(self) -> None:
        """Pause reading from the client and from the source of its answer: the write buffer is full."""
        self.writing_paused = True
        assert self.transport is not None
        self._unsent_count = self.transport.get_write_buffer_size()
        self.memory.add_buffered(self._unsent_count)
        self.last_active_at = self.server.loop.time()
        self._update_flow()
        if self.replies and self.replies[0].source is not None:
            self.replies[0].source.pause()

    def resume_writing(self) -> None:
        """Resume reading from the client and from the source of its answer."""
        self.writing_paused = False
        self._release_unsent()
        self._update_flow()
        if self.replies:
            self.replies[0].start_writing()
            self.remove_completed_replies()

    def _release_unsent(self) -> None:
        """Release the memory that was counted for bytes that the kernel has not taken."""
        size, self._unsent_count = self._unsent_count, 0
        self.memory.remove_buffered(size)

    @property
    def _stream_ended(self) -> bool:
        """Whether nothing that the client sends any more is a command."""
        return self._ended_elsewhere or bool(self._dialect.end_reason)

    @property
    def _has_capacity(self) -> bool:
        """Whether further commands may be handled."""
        return not (
            self.closed
            or self.writing_paused
            or self.memory.awaits_memory
            or self._stream_ended
            or len(self.replies) >= MAX_PIPELINE
            or (self.replies and not self.memory.has_share)
            or self._stops_to_move
        )

    def _update_flow(self) -> None:
        """Ask for a turn, and resume or pause reading, as the connection has capacity for more commands."""
        wanted = self._has_capacity
        if self._input.backlog_bytes:
            if wanted:
                self.server.turns.add(self)
            elif not self.closed:
                self._waits_for_replies = True
            wanted = self._reads_ahead
        if wanted == self._reading or self.transport is None or self.transport.is_closing():
            return
        self._reading = wanted
        if wanted:
            self.transport.resume_reading()
            self.server.paused_reads.discard(self)
        else:
            self.transport.pause_reading()
            if self.memory.awaits_memory:
                self._receive_times.read_delayed(time.monotonic_ns())
            else:
                self._receive_times.reading_stopped(time.monotonic_ns())
            self.server.paused_reads.add(self)

    @property
    def _reads_ahead(self) -> bool:
        """Whether to read on although received bytes wait.

        Danger: the end of a connection behind much unread data is not visible, and its requests would be sent
        on for a client that has left.
        """
        return (
            self._has_more_unread
            and self._input.backlog_bytes < MAX_BACKLOG_BYTES
            and self.memory.may_read_ahead
            and not (self.closed or self.memory.awaits_memory or self._stream_ended)
            and not self._stops_to_move
        )

    def look_behind_unread(self) -> None:
        """Read on if so much is unread that the end of the connection may be hidden behind it."""
        if not self._reading and not self._has_more_unread and self._presence.end_may_be_hidden:
            self._has_more_unread = True
            self._update_flow()

    @property
    def may_have_left(self) -> bool:
        """Whether the client may have left without a sign of it, so that nothing may be sent on for it."""
        return not self._reading and self._presence.is_doubtful

    def _memory_changed(self) -> None:
        """Pause or resume reading, as a long command waits for memory or has it."""
        if not self.closed:
            self._update_flow()

    @property
    def has_unsent(self) -> bool:
        """Whether answers are outstanding, or bytes of them that the kernel has not taken."""
        return bool(self.replies) or (
            self.transport is not None and self.transport.get_write_buffer_size() > 0
        )

    @property
    def idle(self) -> bool:
        """Whether no reply is outstanding and no command is partially received."""
        # Danger: data that can't be read for lack of memory may be a request, which the kernel has already
        # acknowledged to the client.
        return not (self.replies or self._input.is_partial or self._has_unread_input)

    @property
    def _has_unread_input(self) -> bool:
        """Whether received bytes, in this process or in the kernel, may be whole commands."""
        is_delayed = self.transport is not None and self.transport.is_out_of_memory
        return is_delayed or self._input.backlog_bytes > 0

    @property
    def awaits_first_request(self) -> bool:
        """Whether it is so new that its first request may be in transit; no client would send it again."""
        return (
            not self.has_carried_request
            and self.server.loop.time() - self.connected_at < FIRST_REQUEST_GRACE_S
        )

    @property
    def _closes_when_answered(self) -> bool:
        """Whether the connection closes once no reply is outstanding."""
        if self._input.backlog_bytes:
            return False
        return self._close_when_answered or (
            self.server.closing_when_answered and self.has_carried_request and not self._input.is_partial
        )

    @property
    def _moves_to_successor(self) -> bool:
        """Whether the successor takes the connection, including any outstanding replies."""
        successor = self.server.successor
        if successor is None or self._pinned or not successor.takes_records:
            return False
        needs_extended = self._close_when_answered or self._stream_ended or self._dialect.is_discarding
        return successor.takes_extended_records or not needs_extended

    @property
    def _stops_to_move(self) -> bool:
        """Whether further commands wait until the connection has moved to the successor.

        Danger: while the successor takes no more connections, this process has to answer: what waited unread
        until it is killed would be lost.
        """
        if not self._moves_to_successor:
            return False
        return self._frozen is not None or self._successor_has_room

    @property
    def _successor_has_room(self) -> bool:
        """Whether one more connection may be frozen for the successor."""
        successor = self.server.successor
        return successor is not None and self.server.handovers_in_progress < successor.free_capacity

    @property
    def _is_done(self) -> bool:
        """Whether nothing is left but to close: the connection closes, and the kernel has all answers."""
        if not self._close_when_answered or self.replies or self._input.backlog_bytes:
            return False
        return self.transport is None or not self.transport.get_write_buffer_size()

    @property
    def _closing(self) -> Closing:
        """When the connection closes, for the process that takes it over."""
        if self._stream_ended:
            return Closing.STREAM_ENDED
        return Closing.WHEN_ANSWERED if self._close_when_answered else Closing.NOT

    def finish(self, even_mid_command: bool) -> None:
        """Hand the connection over, or close it once no reply is outstanding.

        `even_mid_command`: also close while a command is partially received.
        """
        if (
            self.transport is None
            or self.closed
            or (self.server.successor is not None and self._try_hand_over())
        ):
            return
        if self.idle or (even_mid_command and not self.replies and not self._has_unread_input):
            self._end()
        else:
            self._close_when_answered = (
                even_mid_command or not self._input.is_partial or self._close_when_answered
            )

    def _try_hand_over(self) -> bool:
        """Start the hand-over of the connection to the successor process, if that is possible.

        Return True if the connection has been passed on or will be once its outstanding replies permit, and
        False if it stays in this process.
        """
        self._update_flow()
        if self._moves_to_successor and not self._is_done:
            self.freeze()
            return True
        return not self.replies and self._hand_over_idle()

    @property
    def moved_bytes(self) -> int:
        """About how many bytes a hand-over of the connection has to move."""
        return self._input.held_bytes + self.memory.buffered_bytes

    def freeze(self) -> None:
        """Stop reading and writing the connection, to send its state to the successor process.

        Nothing happens while its outstanding replies do not permit a hand-over; this is then called again.
        """
        self._update_flow()
        transport, successor = self.transport, self.server.successor
        # Danger: within a batch, commands that were read but not handled yet would be lost.
        if self._in_batch or self._frozen is not None or self.closed:
            return
        if transport is None or transport.is_closing():
            return
        if successor is None or not self._successor_has_room:
            return  # retried at the next drain step; until then it is served here
        remaining_s = self.server.exits_at - self.server.loop.time()
        if can_hand_over(self.replies, remaining_s, successor.max_values):
            try:
                self._frozen = FrozenConnection(transport, self.replies)
            except OSError:
                return  # no descriptors are available; also retried
            self.server.handovers_in_progress += 1

    def _hand_over_frozen(self, frozen: FrozenConnection) -> None:
        """Send the frozen connection's record and descriptors to the successor, and close it here."""
        successor, transport = self.server.successor, self.transport
        self.server.handovers_in_progress -= 1
        if self.closed or successor is None or transport is None:
            for descriptor in frozen.descriptors:
                os.close(descriptor)
            return
        if self.server.access_log is not None:
            self._log_close(self.server.access_log, CloseReason.MOVED)
        replies, self.replies = self.replies, []
        age_s = self.server.loop.time() - self._progress.made_at if self._input.is_partial else 0.0
        record = frozen.record(
            self._input,
            self.has_carried_request,
            transport.unsent,
            replies,
            age_s,
            self._closing,
            self.memory.waited_so_far_ns,
        )
        for reply in replies:
            reply.drop_buffered()
            reply.source = None
        self._mark_closed(CloseReason.MOVED)
        server, descriptors = self.server, frozen.descriptors
        transfer = ConnectionTransfer(
            record,
            descriptors,
            lambda: server.restore(record, descriptors, pinned=not transfer.may_be_offered_again),
        )
        successor.offer(transfer)

    def _hand_over_idle(self) -> bool:
        """Pass on a connection without outstanding replies, as its socket and the bytes of a partial command.

        This is for a successor that does not accept a `ConnectionRecord`, the serialized state of a
        connection with outstanding replies. Return False if it is not possible now.
        """
        successor, transport, partial_command = (
            self.server.successor,
            self.transport,
            self._dialect.partial_command,
        )
        if successor is None or transport is None or transport.is_closing() or self.closed:
            return False
        if (
            self._pinned
            or self._close_when_answered
            or self._stream_ended
            or transport.get_write_buffer_size()
        ):
            return False
        if (
            len(partial_command) > MAX_PARTIAL_COMMAND_BYTES
            or self.memory.reserved
            or self.memory.awaits_memory
            or self._input.backlog_bytes
            or self._dialect.is_discarding
            or self._dialect.name != "resp"
        ):
            return False
        # Danger: data read from here on would be lost, because the successor already has the partial command.
        if not successor.send_idle_connection(transport.get_extra_info("socket").fileno(), partial_command):
            return False
        transport.abort()
        self._mark_closed(CloseReason.MOVED)
        return True

    def abort(self, reason: CloseReason) -> None:
        """Close the connection immediately."""
        self._mark_closed(reason)
        if self.transport is not None:
            self.transport.abort()

    def client_has_left(self) -> bool:
        """Whether the kernel reports that the client ended or reset the connection."""
        return self._presence.has_left

    def client_left(self) -> None:
        """Close the connection: its client disconnected while reading was paused."""
        self.abort(CloseReason.CLIENT_RESET)

    def check_timeouts(self, now: float) -> None:
        """Close the connection if its client is idle, does not read, or does not complete a command."""
        if self.writing_paused:
            assert self.transport is not None
            self._note_unacknowledged(self.transport.get_write_buffer_size(), now)
            if now - self.last_active_at > STALL_TIMEOUT_S:
                log.warning("client read nothing of its answer within the stall timeout; closing")
                self.abort(CloseReason.STALLED)
            return
        if self.idle and now - self.last_active_at >= IDLE_TIMEOUT_S:
            if self._client_is_reading(now):
                return
            # Danger: clients that only connect, or send one request and stay, would hold descriptors
            # indefinitely.
            self.finish(even_mid_command=False)
            return
        if self.awaits_rest_of_command and now - self.progress_at > COMMAND_PROGRESS_TIMEOUT_S:
            log.warning("client did not complete its command in time; closing")
            self.end_incomplete_command()

    @property
    def awaits_rest_of_command(self) -> bool:
        """Whether nothing is due but the client's own bytes, the rest of its command."""
        return self._input.is_partial and not (
            self.memory.awaits_memory or self.replies or self._input.backlog_bytes
        )

    @property
    def progress_at(self) -> float:
        """Loop time at which the incomplete command began, made progress, or had its memory reserved."""
        return max(self._progress.made_at, self.memory.granted_at)

    def end_incomplete_command(self) -> None:
        """Answer an incomplete command with an error, and close the connection."""
        self._end_stream()

    def _client_is_reading(self, now: float) -> bool:
        """Whether the client still acknowledges buffered bytes, so that it is slow rather than idle."""
        assert self.transport is not None
        size = unacknowledged_bytes(self.transport)
        self._note_unacknowledged(size, now)
        return bool(size) and now - self.last_active_at < STALL_TIMEOUT_S

    def _note_unacknowledged(self, size: int, now: float) -> None:
        """Record the number of unacknowledged bytes; a change counts as activity of the client."""
        if size != self._last_unacknowledged:
            self._last_unacknowledged, self.last_active_at = size, now

    @property
    def descriptor(self) -> int:
        """The descriptor of the socket; -1 once the connection is closed."""
        if self.closed or self.transport is None or self.transport.is_closing():
            return -1
        return int(self.transport.get_extra_info("socket").fileno())

    @property
    def evictable(self) -> bool:
        """Whether the connection can be closed immediately without losing a request or an answer.

        One that carries requests is kept while it may be used again, or new clients would drive it out.

        Danger: a close discards answer bytes that the client has not acknowledged, also those in transit if
        an unread request makes the kernel reset the connection.
        """
        assert self.transport is not None
        if not self.idle or self.awaits_first_request or unacknowledged_bytes(self.transport):
            return False
        if self.has_carried_request and self.server.loop.time() - self.last_active_at < IDLE_TIMEOUT_S:
            return False
        return not Readiness(self.transport.get_extra_info("socket"), select.POLLIN).is_ready()


def _shortest_timeout_ms(commands: Sequence[tuple[Message, Answers]]) -> int:
    """Return the shortest timeout among the commands; 0 if any of them has none."""
    shortest = 0
    for message, _ in commands:
        if not isinstance(message, Request):
            return 0
        shortest = min(shortest, message.timeout_ms) if shortest else message.timeout_ms
    return shortest
