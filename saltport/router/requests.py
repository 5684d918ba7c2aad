"""Open requests, their attempts, and values that are passed on as they come."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from enum import Enum
from typing import Protocol, TypeAlias

from saltport.admin.figures import Figures
from saltport.deadline import NS_PER_MS, Deadline, Received
from saltport.decisions import (
    AttemptEnded,
    CacheNote,
    ClientGone,
    Outcome,
    RequestArrived,
    Send,
    StreamStarted,
)
from saltport.decisions.ordering import NOTHING, KeyOrder
from saltport.downstream.replies import Reply
from saltport.handover.choice import ValueProgress
from saltport.handover.record import PartialValue
from saltport.lag import LagMeter
from saltport.messages import Request, ValueSource
from saltport.router.event_host import EventHost
from saltport.upstream.connection import Exchange
from saltport.wire.resp import parse_load_report

Order: TypeAlias = "KeyOrder[OpenRequest]"

LOOK_S = 0.001  # in which the loop looks at the kernel once
HELD_UP_NS = 5 * NS_PER_MS  # a timer that comes so late tells that the loop was held up
STALL_S = 2.0  # a server pauses a value for 0.1 s at most; one silent for so long has vanished


class RequestHost(EventHost, Protocol):
    """What open requests and their attempts need of the host that runs them."""

    loop: asyncio.AbstractEventLoop
    lag: LagMeter
    figures: Figures
    ends_at: Deadline
    """By when all must have their final answers, once the process is ending."""
    late_s: float
    """For so long a connection waits for an answer that comes too late."""

    def touched(self) -> None:
        """An event from the kernel or the clock is dealt with."""

    def dialing(self, server_id: str) -> bool:
        """Whether a connection to this server is coming up."""

    def count(self, request: OpenRequest, ends: Counter[str] | None) -> None:
        """Count a request's end, the first one only; None: its client has left."""

    def settle(self, request: OpenRequest) -> None:
        """Forget a request that is answered and has nothing out."""

    def refuse(self, request: OpenRequest) -> None:
        """Refuse a request that the decisions were never told of."""


class Stage(Enum):
    """Where a request stands among its connection's commands for its key."""

    WAITING = "waiting"
    BEGUN = "begun"
    OVER = "over"


class OpenRequest:
    """A request that is owed an answer, or has attempts out still."""

    __slots__ = (
        "_host", "_order", "_stage", "_timer", "asked", "attempts", "closed", "counted", "deadline",
        "doubt_ns", "held", "id", "most_attempts", "out", "queued", "ran", "reply",
    )  # fmt: skip

    def __init__(
        self,
        host: RequestHost,
        request_id: str,
        asked: Request,
        reply: Reply,
        order: Order,
        received: Received,
    ) -> None:
        self._host, self._order = host, order
        self._stage = Stage.WAITING
        self._timer: asyncio.TimerHandle | None = None
        self.id, self.asked, self.reply = request_id, asked, reply
        self.deadline = received.deadline(asked.timeout_ms).no_later_than(host.ends_at)
        """Until then it may be answered here."""
        self.doubt_ns = received.doubt_ns
        """By so much sooner its client's time may be over."""
        self.attempts = self.out = 0
        self.most_attempts = host.settings.max_attempts
        self.closed = False
        self.ran = False
        """Whether an attempt ended so that nobody knows if it has run, or may run yet."""
        self.counted = False
        """Whether the figures know its end."""
        self.queued: Attempt | None = None
        """The attempt that waits for a connection."""
        self.held: bytes | None = None
        """A write's receipt that the module has not let go yet."""

    def arrived(self) -> None:
        """Begin, or wait for the commands ahead of its connection that touch its key."""
        asked = self.asked
        if self._order.arrives(self, asked.key, asked.value is not None):
            self._stage = Stage.BEGUN
            self._begin()
        else:
            self._timer = self._host.call_at(self.deadline.at_ns, self._too_late)

    def _released(self) -> None:
        """Its turn has come.

        Danger: begun within the end of the one ahead, it would reach the module before that end does.
        """
        self._stage = Stage.BEGUN
        self._stop_waiting()
        self._host.loop.call_soon(self._begin)

    def _stop_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _begin(self) -> None:
        """From here on the module decides."""
        asked = self.asked
        if self.closed:
            return
        self._host.tell(
            RequestArrived(
                request=self.id,
                request_class=asked.request_class,
                deadline=self.deadline.at_ns,
                tenant=asked.tenant,
                key=asked.key.decode(),
                write=asked.value is not None,
                retry=asked.retry,
            )
        )

    def _too_late(self) -> None:
        """Its time is up while it waits: nothing of it was done."""
        self._host.refuse(self)

    def took_effect(self, may_have_run: bool = False) -> None:
        """What waits behind it for its key may go on; told again, it changes nothing."""
        stage, self._stage = self._stage, Stage.OVER
        key = self.asked.key
        if stage is Stage.OVER:
            return
        if stage is Stage.WAITING:
            released = self._order.left(self, key)
            self._stop_waiting()
        else:
            released = self._order.ended(key, self.asked.value is not None, may_have_run)
            if released is NOTHING:
                return
        for request in released.turn_down:
            request._dismissed()
        for request in released.begin:
            request._released()

    def _dismissed(self) -> None:
        """The order has forgotten it already: a write ahead of it may or may not have run."""
        self._stage = Stage.OVER
        self._stop_waiting()
        self._host.refuse(self)

    def client_gone(self) -> None:
        """Its client has left."""
        host, source = self._host, self.reply.source
        self.closed = True
        host.count(self, None)
        if source is not None:
            source.client_left()
        if self.queued is not None:
            # Danger: left in the queue it would be sent for nobody, and those who wait for it wait as long.
            self.queued.give_up(Outcome.MOOT)
        host.settle(self)
        host.tell(ClientGone(self.id))


class Relay(Exchange):
    """A value over 64 KiB on its way from its server to its client, and what holds it up on either side."""

    # What most attempts never change costs nothing here.
    _source: ValueSource | None = None
    _came_at = 0.0
    _begun_relay = 0.0
    _given = _size = 0
    _timer: asyncio.TimerHandle | None = None

    def __init__(self, host: RequestHost, reply: Reply, request_class: str) -> None:
        self._host, self._reply, self._class = host, reply, request_class

    def _relay(self, length: int, source: ValueSource) -> None:
        """Pass on what comes from this source, of a value that has so many bytes to go."""
        self._source, self._size = source, length
        self._came_at = self._begun_relay = self._host.loop.time()
        self._timer = self._host.loop.call_later(STALL_S, self._check_stall)

    def value_came(self, data: bytes) -> None:
        """Pass a part of a long value on."""
        if self._source is not None:
            # Danger: what was on its way when the client was full says nothing of what follows; counted, a
            # server that is not read would be given up as silent.
            self._came_at = max(self._came_at, self._host.loop.time())
            self._given += len(data)
            self._reply.send_part(data)

    def pause(self) -> None:
        """The client can't take more: stop reading at the server."""
        self._came_at = float("inf")
        if self._source is not None:
            self._source.pause()

    def resume(self) -> None:
        """The client takes again."""
        self._came_at = self._host.loop.time()
        if self._source is not None:
            self._source.resume()

    def _check_stall(self) -> None:
        if self._host.loop.time() - self._came_at >= STALL_S:
            self.give_up(Outcome.RESET)
        else:
            self._timer = self._host.loop.call_later(STALL_S / 4, self._check_stall)

    def client_left(self) -> None:
        """Nobody reads the value any more."""
        self.give_up(Outcome.CANCELLED)

    @property
    def progress(self) -> ValueProgress:
        """How it gets on."""
        return ValueProgress(
            self._size - self._given, self._given, self._host.loop.time() - self._begun_relay
        )

    @property
    def movable(self) -> bool:
        """Whether another process could go on with it now."""
        return self._source is not None and self.connection is not None and self.connection.movable

    def copy_descriptor(self) -> int:
        """A descriptor of the server's connection that is the caller's. Raises OSError."""
        assert self.connection is not None
        return self.connection.copy_descriptor()

    def suspend(self) -> PartialValue:
        """Stop here for good, for another process to go on with a copy of the descriptor."""
        assert self.connection is not None
        flow = self.connection.suspend()
        value = PartialValue(flow, self._class, self._reply.tail)
        self._source = None
        self._moved()
        self.end(Outcome.CANCELLED)
        return value

    def _moved(self) -> None:
        """The request is another process's: it ends in its figures."""


class Attempt(Relay):
    """One attempt at a request."""

    _latency = (0, 0)  # until a long value's first bytes
    _due = 0
    _begun_at = 0
    _patience = 0
    _was_held_back = False
    _looked = False

    def __init__(self, host: RequestHost, request: OpenRequest, told: Send) -> None:
        super().__init__(host, request.reply, request.asked.request_class)
        self._request, self._server, self._hold = request, told.server, told.hold
        self._not_after_ns = told.not_after or request.deadline.at_ns
        self.request = request.asked
        self._number = request.attempts
        self._sent_at = time.monotonic_ns()
        request.attempts += 1
        request.out += 1
        request.queued = self

    def remaining_ms(self) -> int:
        """See Exchange: nothing if its client has left, a repeat would have effect, or it is one too many."""
        request, now = self._request, time.monotonic_ns()
        if request.closed or self._number >= request.most_attempts or now >= self._not_after_ns:
            return 0
        # Danger: behind a stop, or in the queue of a listener, its end may have come long ago, unread.
        if request.reply.client_has_left():
            return 0
        return request.deadline.remaining_ms(now + request.doubt_ns)

    def wait_until(self, due: int) -> None:
        """Give up at the time `due`."""
        self._due = due
        self._patience = due - self._sent_at
        self._timer = self._host.call_at(due, self._timed_out)

    def _wait_anew(self, now: int) -> None:
        """Its server has not been asked yet, as this machine could not: from now on it has its whole time."""
        self.held_back, self._was_held_back = False, True
        self._due = min(now + self._patience, self._request.deadline.at_ns)
        self._timer = self._host.call_at(self._due, self._timed_out)

    def _timed_out(self) -> None:
        """Its time is up by the clock; what this router's own lag took of it is given back once.

        Danger: timers run before the loop looks at the kernel, and requests leave after it has. Judged at
        once, an attempt would be held against its server though only this router was too busy for it.
        """
        host, now = self._host, time.monotonic_ns()
        host.touched()
        if self.held_back and not self._request.deadline.expired(now):
            self._wait_anew(now)
            return
        late = now - self._due
        if not self._looked:
            self._looked = True
            # While it has not begun, its dial has not been looked at either.
            taken = self._lag() if self._begun_at else 2 * late
            again = min(self._due + taken, self._request.deadline.at_ns)
            if taken > HELD_UP_NS and again > now:
                self._due = again
                self._timer = host.call_at(again, self._timed_out)
                return
            if late > HELD_UP_NS or (self.connection is not None and self.connection.unread):
                self._timer = host.loop.call_later(LOOK_S, self._timed_out)
                return
        # One that waits for a free connection never ran, and tells nothing of its server.
        queued = not self._begun_at and (self.held_back or not host.dialing(self._server))
        if self._begun_at and self._request.deadline.expired(now):
            self.leave(Outcome.TIMEOUT, host.late_s)
        else:
            self.give_up(Outcome.MOOT if queued else Outcome.TIMEOUT)

    def begun(self) -> None:
        """Its request is written."""
        self._begun_at = time.monotonic_ns()
        self._request.queued = None
        if self.held_back or self._was_held_back:
            if self._timer is not None:
                self._timer.cancel()
            # Danger: counted in, the wait for this machine would pass for the server's slowness.
            self._sent_at = self._begun_at
            self._wait_anew(self._begun_at)

    def _lag(self) -> int:
        """The time from the module's word until the request had left."""
        return self._host.lag.left(self._begun_at) - self._sent_at if self._begun_at else 0

    def _took(self) -> tuple[int, int]:
        """How long it took until now, and this router's own part of that."""
        now = time.monotonic_ns()
        took = now - self._sent_at
        return took, min(self._lag() + self._host.lag.unread(now) + self.unread_ns, took)

    def value_started(self, length: int, source: ValueSource) -> None:
        """Begin the client's answer with a long value."""
        self._latency = self._took()
        request = self._request
        if request.closed:
            self._size = length
            return  # nobody reads it: the attempt's time runs on
        if self._timer is not None:
            self._timer.cancel()
        request.closed = True
        self._relay(length, source)
        request.took_effect()
        request.reply.start(length, self)
        self._host.tell(StreamStarted(request.id, self._number))

    def _moved(self) -> None:
        self._host.count(self._request, None)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheNote | None = None) -> None:
        """The first OK is the client's answer; the module is told of every end."""
        if self._timer is not None:
            self._timer.cancel()
        request, reply = self._request, self._reply
        request.out -= 1
        if request.queued is self:
            request.queued = None
        unsent = not self._begun_at
        request.ran = request.ran or not (outcome is Outcome.OK or outcome.never_ran or unsent)
        if self._source is not None:
            self._source = None
            if outcome is Outcome.OK:
                self._host.count(request, self._host.figures.answered)
                reply.finish()
            else:
                self._host.count(request, self._host.figures.errored)
                reply.abort_value()
        elif outcome is Outcome.OK and not request.closed and value is not None:
            if self._hold:
                request.held = value
            else:
                request.closed = True
                self._host.count(request, self._host.figures.answered)
                reply.served(value)
        latency, lag = self._latency if self._latency[0] else self._took()
        event = AttemptEnded(
            request.id,
            self._number,
            self._server,
            outcome,
            request.closed,
            latency,
            note,
            parse_load_report(self.report, self._host.settings.load_fields) if self.report else None,
            lag,
            self.kept,
            self._size if value is None else len(value),
            unsent,
        )
        self._host.settle(request)
        self._host.tell(event, value)


class MovedValue(Relay):
    """A value that another process began. The module never hears of it: all that it decides is done.

    Danger: told of its end, the module would count an attempt that it never made.
    """

    def __init__(self, host: RequestHost, value: PartialValue, reply: Reply) -> None:
        super().__init__(host, reply, value.request_class)
        self._counted = False
        host.figures.current += 1

    def begin(self, left: int, source: ValueSource) -> None:
        """So many bytes are still to come from this source."""
        self._relay(left, source)

    def remaining_ms(self) -> int:
        """See Exchange: its request left in another process."""
        return 0

    def client_gone(self) -> None:
        """Its client has left."""
        self._moved()
        self.client_left()

    def _moved(self) -> None:
        if not self._counted:
            self._counted = True
            self._host.figures.count_end(self._class, None)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheNote | None = None) -> None:
        """The first end is the request's."""
        if self._timer is not None:
            self._timer.cancel()
        self._source = None
        if self._counted:
            return
        self._counted = True
        figures = self._host.figures
        whole = outcome is Outcome.OK
        figures.count_end(self._class, figures.answered if whole else figures.errored)
        if whole:
            self._reply.finish()
        else:
            self._reply.abort_value()
