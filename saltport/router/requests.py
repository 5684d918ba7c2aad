"""Open client requests and their attempts at servers."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from enum import Enum
from typing import Protocol, TypeAlias

from saltport.deadline import NS_PER_MS, Deadline, Received
from saltport.decisions import (
    AttemptEnded,
    CacheStatus,
    ClientGone,
    Outcome,
    RequestArrived,
    RequestRules,
    Send,
    StreamStarted,
)
from saltport.decisions.ordering import NONE_RELEASED, KeyOrder
from saltport.decisions.transmission import (
    LONG_VALUE_BYTES,
    STATED_TIME_SLACK_MS,
    send_limit,
    send_limit_after_disconnect,
    transfer_allowance_ms,
)
from saltport.downstream.replies import Reply
from saltport.handover.record import MovedRequest
from saltport.lag import LagMeter
from saltport.messages import Request, ValueSource
from saltport.router.event_host import EventHost
from saltport.router.relay import Relay, RelayHost
from saltport.router.resumption import PrefixCheck, RelayedValue
from saltport.wire.resp import parse_load_report

Order: TypeAlias = "KeyOrder[OpenRequest]"

RESUME_TIMEOUT_NS = 2000 * NS_PER_MS  # for another answer to go on with a value that broke off
RESUME_RETRY_NS = 200 * NS_PER_MS  # until it is tried again, if no server can be asked now

LOOP_POLL_WAIT_S = 0.001  # long enough for the loop to poll the kernel once
LOOP_DELAY_THRESHOLD_NS = 5 * NS_PER_MS  # a timer that is later than this shows that the loop was blocked


class RequestHost(EventHost, RelayHost, Protocol):
    """The interface through which open requests and their attempts use the router host."""

    lag: LagMeter
    final_deadline: Deadline
    """Latest time for all final answers, once the process is shutting down."""
    late_answer_wait_s: float
    """How long a connection stays reserved for the answer to an attempt that has timed out."""

    def begin_loop_iteration(self) -> None:
        """Record that the event loop handles an event from the kernel or a timer, for the lag meter."""

    def dialing(self, server_id: str) -> bool:
        """Whether a connection to the server is being established."""

    def count_end(self, request: OpenRequest, ends: Counter[str] | None) -> None:
        """Count the end of a request once, in the counter `ends`; None: its client has left."""

    def forget_if_finished(self, request: OpenRequest) -> None:
        """Remove a request that has its final answer and no open attempts."""

    def refuse(self, request: OpenRequest) -> None:
        """Refuse a request that was never passed to the decision module."""

    def cut_off(self, request: OpenRequest) -> None:
        """Close the connection of a request whose value has begun and can't be continued."""

    def is_being_decided(self, request: OpenRequest) -> bool:
        """Whether the decision module has the request."""


class Stage(Enum):
    """State of a request in the order of its connection's commands for the same key."""

    WAITING = "waiting"
    BEGUN = "begun"
    OVER = "over"


class OpenRequest:
    """A client's request that has no final answer yet, or still has open attempts."""

    __slots__ = (
        "_host", "_order", "_stage", "_timer", "arrival_uncertainty_ns", "attempt", "attempts",
        "broken_value", "client_deadline", "closed", "counted", "deadline",
        "deferred_answer", "has_run", "id", "id_digest",
        "may_have_run", "message", "open_attempts", "reply", "rules",
    )  # fmt: skip

    def __init__(
        self,
        host: RequestHost,
        request_id: str,
        message: Request,
        reply: Reply,
        order: Order,
        received: Received,
        rules: RequestRules,
    ) -> None:
        self._host, self._order, self.rules = host, order, rules
        self._stage = Stage.WAITING
        self._timer: asyncio.TimerHandle | None = None
        self.id, self.message, self.reply = request_id, message, reply
        self.deadline = received.deadline(message.timeout_ms).no_later_than(host.final_deadline)
        """Latest time at which this router begins to answer the request, or goes on with a broken value."""
        self.client_deadline = self.deadline
        """Until when the client waits for the answer to begin."""
        self.arrival_uncertainty_ns = received.uncertainty_ns
        """By how much the client's own time-out may be earlier than `deadline`."""
        self.attempts = self.open_attempts = 0
        self.closed = False
        self.may_have_run = False
        """Whether an attempt ended whose server may have executed the request, or still may."""
        self.has_run = False
        """Whether an attempt ended whose server has executed the request, or may have or may yet."""
        self.id_digest = b""
        """Digest of the id, if it is recorded as used."""
        self.counted = False
        """Whether the request's end is counted in the figures."""
        self.attempt: Attempt | None = None
        """The latest attempt, until it ends."""
        self.broken_value: RelayedValue | None = None
        """What the client has of a value that broke off, while a further attempt may continue it."""
        self.deferred_answer: bytes | None = None
        """The origin's answer to a write, which the client receives once the decision module releases it."""

    def start(self) -> None:
        """Start the request, or queue it behind earlier commands of its connection for the same key."""
        message = self.message
        if self._order.enqueue(self, message.key, message.value is not None):
            self._stage = Stage.BEGUN
            self._begin()
        else:
            self._timer = self._host.call_at(self.deadline.at_ns, self._deadline_passed)

    def _begin_after_wait(self) -> None:
        """Start the request after the earlier commands for its key have ended.

        Danger: it must not start within the handling of the earlier command's end, because then the decision
        module would receive the new request before that end.
        """
        self._stage = Stage.BEGUN
        self._stop_waiting()
        self._host.loop.call_soon(self._begin)

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _begin(self) -> None:
        """Pass the request to the decision module."""
        self._dispatch(self.rules)

    def _dispatch(self, rules: RequestRules) -> None:
        message = self.message
        if self.closed:
            return
        self._host.dispatch(
            RequestArrived(
                request=self.id,
                request_class=message.request_class,
                deadline=self.deadline.at_ns,
                tenant=message.tenant,
                key=message.key.decode(),
                write=message.value is not None,
                retry=message.retry,
                rules=rules,
            )
        )

    def await_rest(self, relayed: RelayedValue) -> None:
        """Let a further attempt go on with a value that broke off.

        The client's time is over with the first bytes; what it sent behind its read is lost with the value.
        """
        self.closed, self.broken_value = False, relayed
        resume_until = Deadline(time.monotonic_ns() + RESUME_TIMEOUT_NS)
        if self.deadline.at_ns < resume_until.at_ns:
            self.deadline = resume_until

    def retry_rest(self) -> bool:
        """Try again later to go on with a broken value, as no server can be asked now.

        Return False if no time or no attempt is left.
        """
        due = time.monotonic_ns() + RESUME_RETRY_NS
        if self.attempts >= self.rules.max_attempts or due >= self.deadline.at_ns:
            return False
        self._stop_waiting()
        self._timer = self._host.call_at(due, self.request_rest)
        return True

    def request_rest(self) -> None:
        """Pass the request to the decision module anew, with the attempts that are left.

        Danger: the module may still have it, after a refusal that was not the module's own.
        """
        if self.open_attempts or self._host.is_being_decided(self):
            return
        rules = self.rules
        left = RequestRules(rules.request_class, rules.max_attempts - self.attempts, rules.tenant)
        self._dispatch(left)

    def adopt_rest(self, relayed: RelayedValue) -> None:
        """Go on with a value that another process began, after it broke off in this one."""
        self._stage = Stage.OVER
        self.await_rest(relayed)
        self.request_rest()

    def _deadline_passed(self) -> None:
        """Refuse the request, whose deadline passed while it was queued; nothing of it was executed."""
        self._host.refuse(self)

    def complete_in_order(self, may_have_run: bool = False) -> None:
        """Release the commands that wait behind this one for the same key; later calls have no effect.

        `may_have_run`: whether it is unknown if this command was executed.
        """
        stage, self._stage = self._stage, Stage.OVER
        key = self.message.key
        if stage is Stage.OVER:
            return
        if stage is Stage.WAITING:
            released = self._order.cancel(self, key)
            self._stop_waiting()
        else:
            released = self._order.ended(key, self.message.value is not None, may_have_run)
            if released is NONE_RELEASED:
                return
        for request in released.rejected:
            request._refuse_after_wait()
        for request in released.begin:
            request._begin_after_wait()

    def _refuse_after_wait(self) -> None:
        """Refuse the request because an earlier write may or may not have been executed.

        The key order has already removed the request.
        """
        self._stage = Stage.OVER
        self._stop_waiting()
        self._host.refuse(self)

    def client_gone(self) -> None:
        """Handle the disconnection of the request's client."""
        host, source = self._host, self.reply.source
        self.closed = True
        host.count_end(self, None)
        if source is not None:
            source.client_left()
        if self.attempt is not None:
            self.attempt.client_gone()
        host.forget_if_finished(self)
        host.dispatch(ClientGone(self.id))


class Attempt(Relay):
    """One attempt to have a client's request executed by a server."""

    _host: RequestHost
    _latency = (0, 0)  # of a long value: time until its first bytes, and the router's own part of it
    _due = 0
    _written_at = 0
    _stated_until_ns = 0  # when the time that a long request states goes stale; 0 for others
    _timeout = 0
    _send_timer: asyncio.TimerHandle | None = None
    _delayed_by_shortage = False
    _lateness_checked = False

    def __init__(self, host: RequestHost, request: OpenRequest, send: Send) -> None:
        super().__init__(host, request.reply, request.message.request_class)
        self._request, self._server, self._defer_answer = request, send.server, send.defer_answer
        self._send_limit_ns = send_limit(send.not_after, request.deadline.at_ns)
        self.request = request.message
        self._number = request.attempts
        self._sent_at = time.monotonic_ns()
        request.attempts += 1
        request.open_attempts += 1
        request.attempt = self

    def remaining_ms(self) -> int:
        """Return the time left in whole milliseconds; 0: the attempt must not be sent.

        It is 0 if the client has left, if a repeat is no longer dropped as a duplicate, or if the request has
        used up its attempts.
        """
        request, now = self._request, time.monotonic_ns()
        if request.closed or self._number >= request.rules.max_attempts or now >= self._send_limit_ns:
            return 0
        # Danger: after a stop of the process, or a wait in the listener's queue, the client's disconnection
        # may have arrived long ago without having been read.
        if request.reply.client_has_left():
            return 0
        return request.deadline.remaining_ms(now + request.arrival_uncertainty_ns)

    def stated_time_ms(self, remaining_ms: int) -> int:
        """Return the time left, less the time that it takes to send a long value.

        While a value that broke off is continued, servers are told no more than the client's own time left.
        """
        request, message = self._request, self._request.message
        if request.broken_value is not None:
            now_ns = time.monotonic_ns() + request.arrival_uncertainty_ns
            return min(remaining_ms, max(request.client_deadline.remaining_ms(now_ns), STATED_TIME_SLACK_MS))
        if message.value is None or len(message.value) <= LONG_VALUE_BYTES:
            return remaining_ms
        allowance_ms = transfer_allowance_ms(len(message.value), remaining_ms)
        self._stated_until_ns = time.monotonic_ns() + (allowance_ms + STATED_TIME_SLACK_MS) * NS_PER_MS
        return remaining_ms - allowance_ms

    def may_complete(self) -> bool:
        """Whether the last byte may still leave; an answer that came ahead of it is passed on."""
        if self._source is not None:
            return True
        stale = self._stated_until_ns and time.monotonic_ns() >= self._stated_until_ns
        return not stale and self.remaining_ms() > 0

    @property
    def discards_value(self) -> bool:  # type: ignore[override]
        """Whether the request has its final answer already, or its client has left."""
        return self._request.closed

    @property
    def has_turn(self) -> bool:  # type: ignore[override]
        """Whether no earlier answer of the client's connection is due."""
        return self._reply.has_turn

    @property
    def client_buffered_bytes(self) -> int:  # type: ignore[override]
        """Number of bytes that are buffered for the client."""
        return self._reply.buffered_bytes

    @property
    def is_queued(self) -> bool:
        """Whether nothing of the attempt has been written to a connection."""
        return not self._written_at

    def client_gone(self) -> None:
        """Cancel the attempt if it is queued or half written, or stays incomplete for a short while."""
        if self.is_queued:
            # Danger: if it stayed in the queue it would be sent in vain, and delay the attempts behind it.
            self.give_up(Outcome.NOT_SENT)
        elif self.connection is not None and self.connection.unsent:
            self.stop_sending()
        elif self.connection is not None and self.connection.has_incomplete_request:
            self._stop_sending_at(send_limit_after_disconnect(self._send_limit_ns, time.monotonic_ns()))

    def _stop_sending_at(self, limit_ns: int) -> None:
        """Call `stop_sending` at this time, unless the attempt has ended by then."""
        self._cancel_send_timer()
        self._send_timer = self._host.call_at(limit_ns, self.stop_sending)

    def _cancel_send_timer(self) -> None:
        """Cancel the call of `stop_sending`, which would keep the request and its value until then."""
        if self._send_timer is not None:
            self._send_timer.cancel()

    def stop_sending(self) -> None:
        """Give the attempt up unless its server has the whole request, which nothing takes back."""
        connection = self.connection
        if connection is not None and self._source is None and connection.has_incomplete_request:
            # Danger: with every byte in the kernel, the last one may have arrived unacknowledged.
            self.give_up(Outcome.NOT_SENT if connection.unsent else Outcome.TIMEOUT)

    def set_timeout_at(self, due: int) -> None:
        """Set the attempt's time-out to the time `due` in nanoseconds."""
        self._due = due
        self._timeout = due - self._sent_at
        self._timer = self._host.call_at(due, self._timed_out)

    def _restart_timeout(self, now: int) -> None:
        """Restart the full time-out at `now`, for an attempt that this router kept from being sent.

        It lacked resources, or waited for a connection to settle.
        """
        self.waits_for_resources, self._delayed_by_shortage = False, True
        self._due = min(now + self._timeout, self._request.deadline.at_ns)
        self._timer = self._host.call_at(self._due, self._timed_out)

    def _timed_out(self) -> None:
        """Handle an expired time-out, which is extended once by the delay that this router itself caused.

        Danger: timers run before the loop polls the kernel, and requests leave after it. Without the
        extension, a time-out would count against the server although only this router was too busy.
        """
        host, now = self._host, time.monotonic_ns()
        host.begin_loop_iteration()
        settling = not self._written_at and host.loop.time() < self.settles_at
        has_time = not self._request.deadline.expired(now)
        if (self.waits_for_resources or settling) and has_time:
            self._restart_timeout(now)
            return
        # An attempt that waits for a free connection never ran, so it says nothing about the server.
        queued = not self._written_at and (self.waits_for_resources or not host.dialing(self._server))
        if queued and not has_time:
            self.give_up(Outcome.NOT_SENT)
            return
        if self.connection is not None and self.connection.awaits_memory:
            self._wait_for_memory(now)
            return
        late = now - self._due
        if not self._lateness_checked:
            self._lateness_checked = True
            # While the attempt is not written, the loop has not polled its connection's dial either.
            own_delay = self._send_delay() if self._written_at else 2 * late
            extended_due = min(self._due + own_delay, self._request.deadline.at_ns)
            if own_delay > LOOP_DELAY_THRESHOLD_NS and extended_due > now:
                self._due = extended_due
                self._timer = host.call_at(extended_due, self._timed_out)
                return
            if late > LOOP_DELAY_THRESHOLD_NS or (self.connection is not None and self.connection.unread):
                self._timer = host.loop.call_later(LOOP_POLL_WAIT_S, self._timed_out)
                return
        if self._written_at and not has_time:
            self.abandon(Outcome.TIMEOUT, host.late_answer_wait_s)
        else:
            self.give_up(Outcome.NOT_SENT if queued else Outcome.TIMEOUT)

    def ended_for_memory(self) -> bool:
        """Refuse a read whose value has to wait for earlier answers; one whose turn it is waits for memory.

        Danger: values that wait for memory hold the server's connections, which the earlier answers need.
        """
        request = self._request
        if request.message.value is not None or (self.has_turn and not request.closed):
            return False
        self._host.refuse(request)
        self.give_up(Outcome.CANCELLED)
        return True

    def _wait_for_memory(self, now: int) -> None:
        """Wait until the deadline for an answer that the router has no memory to read, and then end it."""
        deadline = self._request.deadline
        if deadline.expired(now):
            self.give_up(Outcome.CANCELLED)  # neutral: the server has answered
        else:
            self._due = deadline.at_ns
            self._timer = self._host.call_at(self._due, self._timed_out)

    def request_written(self) -> None:
        """Note that the request has been written to a connection."""
        self._written_at = time.monotonic_ns()
        if self._stated_until_ns or self._send_limit_ns < self._request.deadline.at_ns:
            self._stop_sending_at(send_limit(self._stated_until_ns, self._send_limit_ns))
        if self.waits_for_resources or self._delayed_by_shortage or self.settles_at:
            if self._timer is not None:
                self._timer.cancel()
            # Danger: if the latency included the router's own wait, the server would seem slow.
            self._sent_at = self._written_at
            self._restart_timeout(self._written_at)

    def _send_delay(self) -> int:
        """Return the time from the decision to send until the request left this process; 0 if unwritten."""
        return self._host.lag.sent_at(self._written_at) - self._sent_at if self._written_at else 0

    def _elapsed(self) -> tuple[int, int]:
        """Return the time since the decision to send, and the part of it that this router caused."""
        now = time.monotonic_ns()
        elapsed = now - self._sent_at
        return elapsed, min(
            self._send_delay() + self._host.lag.max_unread_time(now) + self.read_delay_ns, elapsed
        )

    def value_started(self, length: int, source: ValueSource) -> None:
        """Start the client's answer with a long value of `length` bytes from `source`.

        It is refused instead if it would have to wait for its turn and the memory budget is exhausted, or if
        the next process could not take over its connection with one value more.
        """
        self._latency = self._elapsed()
        request = self._request
        if request.broken_value is not None and not request.closed:
            self._resume_value(request.broken_value, length, source)
            return
        may_begin = request.reply.may_buffer(1) and request.reply.may_begin_value()
        if not (request.closed or may_begin) and request.message.value is None:
            self._host.refuse(request)
            self.give_up(Outcome.CANCELLED)
            return
        if request.closed:
            self._value_bytes = length
            return  # the request is already answered or abandoned: the attempt's time-out stays in force
        if self._timer is not None:
            self._timer.cancel()
        request.closed = True
        self._relayed = RelayedValue(length)
        self._relay(length, source)
        request.complete_in_order()
        request.reply.start(length, self)
        self._host.dispatch(StreamStarted(request.id, self._number))

    def _resume_value(self, broken: RelayedValue, length: int, source: ValueSource) -> None:
        """Continue the value that broke off with this answer, or close the connection if it is another."""
        request = self._request
        if length != broken.length:
            self.prefix_differs()
            return
        if self._timer is not None:
            self._timer.cancel()
        request.closed, request.broken_value = True, None
        self._relayed, self._prefix_check = broken, PrefixCheck(broken)
        self._relay(length, source)
        request.reply.resume(self)
        self._host.dispatch(StreamStarted(request.id, self._number))

    def prefix_differs(self) -> None:
        """Close the client's connection: its value can't be continued."""
        self._source = None
        self._host.cut_off(self._request)
        self.give_up(Outcome.CANCELLED)

    def _may_resume(self, outcome: Outcome) -> bool:
        """Whether a further attempt may continue the value that ended with this outcome."""
        request = self._request
        return (
            outcome is not Outcome.CANCELLED
            and request.message.value is None
            and request.attempts < request.rules.max_attempts
            and not request.reply.client_has_left()
        )

    @property
    def moved_request(self) -> MovedRequest | None:
        """What another process needs to go on with the value if it breaks off there."""
        request, relayed = self._request, self._relayed
        if request.message.value is not None or relayed is None:
            return None
        message, attempts_left = request.message, request.rules.max_attempts - request.attempts
        return MovedRequest(
            request.id,
            message.key.decode(),
            message.info.decode(),
            message.tenant or "",
            max(attempts_left, 0),
            relayed.size,
            relayed.checksum,
        )

    def _stop_counting(self) -> None:
        self._host.count_end(self._request, None)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Report the attempt's end to the decision module; the first success answers the client."""
        if self._timer is not None:
            self._timer.cancel()
        self._cancel_send_timer()
        request, reply = self._request, self._reply
        request.open_attempts -= 1
        if request.attempt is self:
            request.attempt = None
        unsent = not self._written_at
        never_ran = outcome.never_ran or unsent
        request.has_run = request.has_run or not never_ran
        request.may_have_run = request.may_have_run or not (outcome is Outcome.OK or never_ran)
        broke_off = False
        if self._source is not None:
            self._source = None
            if outcome is Outcome.OK:
                self._host.count_end(request, self._host.figures.answered)
                reply.finish()
            elif self._relayed is not None and self._may_resume(outcome):
                broke_off, reply.source = True, None
                request.await_rest(self._relayed)
            else:
                self._host.count_end(request, self._host.figures.errored)
                reply.abort_value()
        elif outcome is Outcome.OK and not request.closed and value is not None:
            if request.broken_value is not None:
                self._host.cut_off(request)
            elif self._defer_answer:
                request.deferred_answer = value
            elif request.message.value is None and not reply.may_buffer(len(value)):
                self._host.refuse(request)  # a read, which is harmless to repeat
            else:
                request.closed = True
                self._host.count_end(request, self._host.figures.answered)
                reply.served(value)
        latency, own_delay = self._latency if self._latency[0] else self._elapsed()
        event = AttemptEnded(
            request.id,
            self._number,
            self._server,
            outcome,
            request.closed,
            latency,
            note,
            parse_load_report(self.report, self._host.settings.load_fields) if self.report else None,
            own_delay,
            self.connection_reused,
            self._value_bytes if value is None else len(value),
            unsent,
            broke_off,
            request.deadline.at_ns if broke_off else 0,
        )
        self._host.forget_if_finished(request)
        self._host.dispatch(event, value)
