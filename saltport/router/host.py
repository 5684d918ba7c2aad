"""The host of the decision module: open requests, attempts, timers and the clock."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter, deque
from collections.abc import Callable

from saltport.address import Address
from saltport.admin.figures import Figures
from saltport.decisions import (
    Action,
    Answer,
    AttemptEnded,
    CacheNote,
    ClientGone,
    Copy,
    CopyEnded,
    Event,
    Fail,
    ListKind,
    Log,
    LoopReport,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    Router,
    Send,
    ServerBack,
    ServerOut,
    ServersChanged,
    ServerState,
    SetTimer,
    Settings,
    SettingsChanged,
    StreamStarted,
    Subscribe,
    TimerFired,
    Void,
    VoidEnded,
    inheritance,
    views,
)
from saltport.decisions.interface import NS_PER_S
from saltport.downstream.clients import Reply
from saltport.lag import HEARTBEAT_NS, LagMeter
from saltport.membership.listing import Listing
from saltport.messages import Request, ValueSource
from saltport.upstream.http import OriginConnection
from saltport.upstream.pool import Connection, Exchange, Pool, Server
from saltport.upstream.resp import CacheConnection
from saltport.wire.resp import read_report

NS_PER_MS = 1_000_000
TIMER_STEP_S = 0.001  # the loop rounds delays to the nearest one
LOOK_S = 0.001  # in which the loop looks at the kernel once
HELD_UP_NS = 5 * NS_PER_MS  # a timer that comes so late tells that the loop was held up
REPORT_NS = 95 * NS_PER_MS  # between two reports of the loop to the module, with heartbeats of 20 ms: 100
STALL_S = 2.0  # a server pauses a value for 0.1 s at most; one silent for so long has vanished

log = logging.getLogger("saltport")


class OpenRequest:
    """A request that is owed an answer, or has attempts out still."""

    __slots__ = (
        "asked", "attempts", "closed", "counted", "deadline", "held", "id", "most_attempts", "out", "reply",
        "streaming",
    )  # fmt: skip

    def __init__(
        self, request_id: str, asked: Request, reply: Reply, deadline: int, most_attempts: int
    ) -> None:
        self.id, self.asked, self.reply, self.deadline = request_id, asked, reply, deadline
        self.attempts = self.out = 0
        self.most_attempts = most_attempts
        self.closed = self.streaming = False
        self.counted = False
        """Whether the figures know its end."""
        self.held: bytes | None = None
        """A write's receipt that the module has not let go yet."""


class Attempt(Exchange):
    """One attempt at a request."""

    # What most attempts never change costs nothing here.
    _latency = (0, 0)  # until a long value's first bytes
    _source: ValueSource | None = None
    _came_at = 0.0
    _timer: asyncio.TimerHandle | None = None
    _due = 0
    _begun_at = 0
    _looked = False
    _size = 0

    def __init__(self, host: RouterHost, request: OpenRequest, server: str, hold: bool) -> None:
        self._host, self._request, self._server, self._hold = host, request, server, hold
        self.request = request.asked
        self._number = request.attempts
        self._sent_at = time.monotonic_ns()
        request.attempts += 1
        request.out += 1

    def wait_until(self, due: int) -> None:
        """Give up at the time `due`."""
        self._due = due
        self._timer = self._host.call_at(due, self._timed_out)

    def _timed_out(self) -> None:
        """Its time is up by the clock; what this router's own lag took of it is given back once.

        Danger: timers run before the loop looks at the kernel, and requests leave after it has. Judged at
        once, an attempt would be held against its server though only this router was too busy for it.
        """
        host, now = self._host, time.monotonic_ns()
        host.touched()
        late = now - self._due
        if not self._looked:
            self._looked = True
            # While it has not begun, its dial has not been looked at either.
            taken = self._lag() if self._begun_at else 2 * late
            again = min(self._due + taken, self._request.deadline)
            if taken > HELD_UP_NS and again > now:
                self._due = again
                self._timer = host.call_at(again, self._timed_out)
                return
            if late > HELD_UP_NS or (self.connection is not None and self.connection.unread):
                self._timer = host.loop.call_later(LOOK_S, self._timed_out)
                return
        # One that waits for a free connection never ran, and tells nothing of its server.
        queued = not self._begun_at and not host.dialing(self._server)
        if self._begun_at and now >= self._request.deadline:
            self.leave(Outcome.TIMEOUT, host.late_s)
        else:
            self.give_up(Outcome.MOOT if queued else Outcome.TIMEOUT)

    def begun(self) -> None:
        """Its request is written."""
        self._begun_at = time.monotonic_ns()

    def _lag(self) -> int:
        """The time from the module's word until the request had left."""
        return self._host.lag.left(self._begun_at) - self._sent_at if self._begun_at else 0

    def _took(self) -> tuple[int, int]:
        """How long it took until now, and this router's own part of that."""
        now = time.monotonic_ns()
        took = now - self._sent_at
        return took, min(self._lag() + self._host.lag.unread(now), took)

    def left_ms(self) -> int:
        """What is left of the client's time."""
        return max((self._request.deadline - time.monotonic_ns()) // NS_PER_MS, 1)

    def value_started(self, length: int, source: ValueSource) -> None:
        """Begin the client's answer with a long value."""
        self._latency, self._size = self._took(), length
        request = self._request
        if request.closed:
            return  # nobody reads it: the attempt's time runs on
        if self._timer is not None:
            self._timer.cancel()
        request.streaming = request.closed = True
        self._source = source
        self._came_at = self._host.loop.time()
        self._timer = self._host.loop.call_later(STALL_S, self._check_stall)
        request.reply.start(length, self)
        self._host.tell(StreamStarted(request.id, self._number))

    def value_came(self, data: bytes) -> None:
        """Pass a part of a long value on."""
        if self._source is not None:
            self._came_at = self._host.loop.time()
            self._request.reply.part(data)

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

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheNote | None = None) -> None:
        """The first OK is the client's answer; the module is told of every end."""
        if self._timer is not None:
            self._timer.cancel()
        request, reply = self._request, self._request.reply
        request.out -= 1
        if self._source is not None:
            self._source = None
            request.streaming = False
            if outcome is Outcome.OK:
                self._host.count(request, self._host.figures.answered)
                reply.finish()
            else:
                self._host.count(request, self._host.figures.errored)
                reply.cut_off()
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
            read_report(self.report, self._host.settings.load_fields) if self.report else None,
            lag,
            self.kept,
            self._size if value is None else len(value),
        )
        self._host.settle(request)
        self._host.tell(event, value)


class ProbeExchange(Exchange):
    """One probe of a server."""

    def __init__(self, host: RouterHost, server: str, timeout: int) -> None:
        self._host, self._server = host, server
        self.wants_load = bool(host.settings.load_fields)
        self._sent_at = time.monotonic_ns()
        self._timer = host.call_at(self._sent_at + timeout, self._timed_out)

    def _timed_out(self) -> None:
        self.give_up(Outcome.TIMEOUT)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheNote | None = None) -> None:
        """Tell the module."""
        self._timer.cancel()
        latency = time.monotonic_ns() - self._sent_at
        self._host.tell(ProbeEnded(self._server, outcome, latency))


class PlainExchange(Exchange):
    """A plain write or void of a key at a cache node, which no client asked for."""

    def __init__(
        self, host: RouterHost, words: tuple[bytes, ...], timeout: int, told: Callable[[Outcome], Event]
    ) -> None:
        self._host, self.plain, self._told = host, words, told
        self._timer = host.call_at(time.monotonic_ns() + timeout, self._timed_out)

    def _timed_out(self) -> None:
        # One that waits for a free connection never ran.
        self.give_up(Outcome.MOOT if self.connection is None else Outcome.TIMEOUT)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheNote | None = None) -> None:
        """Tell the module."""
        self._timer.cancel()
        self._host.tell(self._told(outcome))


class RouterHost:
    """Feeds the module events one at a time and carries out its actions."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Settings, seed: int, pool: Pool, max_open: int
    ) -> None:
        self.loop, self.settings = loop, settings
        self.ready = False
        self.subscribe: Callable[[], None] = lambda: None
        """Begins a watch where discovery is asked; whoever owns the watch sets it."""
        self._router = Router(settings, seed)
        self._pool, self._max_open = pool, max_open
        self.figures = Figures(())
        self._follow(settings)
        self._places: dict[str, tuple[Address, Callable[[Server], Connection]]] = {}
        """Where and how the servers that may be sent to by the list are reached, those out by hand too."""
        self._requests: dict[str, OpenRequest] = {}
        self._events: deque[tuple[Event, bytes | None]] = deque()
        self._passing: bytes | None = None  # the value that came with the event being handled
        self._handling = False
        self.lag = LagMeter()
        self._beat()

    # The router's own lag

    def touched(self) -> None:
        """An event from the kernel or the clock is dealt with: a turn of the loop has begun."""
        if not self.lag.open:
            self.lag.turn_begins(time.monotonic_ns())
            # The loop runs this just before it looks at the kernel again.
            self.loop.call_soon(self._turn_over)

    def _turn_over(self) -> None:
        self.lag.turn_ends(time.monotonic_ns())

    def _beat(self) -> None:
        """Wake now and then, so that a long wait of the loop tells of a process that stood still."""
        self.touched()
        self.loop.call_later(HEARTBEAT_NS / NS_PER_S, self._beat)
        # By the clock: where beats come late, reports must not come rarely.
        now = time.monotonic_ns()
        if now - self.lag.reported_at >= REPORT_NS:
            self.tell(LoopReport(*self.lag.take_report(now)))

    def view(self) -> dict[str, object]:
        """The state of decisions and loop, for people."""
        lag = {"longest_ms": self.lag.longest / NS_PER_MS, "stalls": self.lag.stalls}
        owed = self.figures.current
        return {
            "ready": self.ready,
            "owed": owed,
            "lag": lag,
            **views.whole(self._router, time.monotonic_ns()),
        }

    def learnt(self) -> dict[str, object]:
        """What this process has learnt, for the one that takes its place."""
        return inheritance.told(self._router, time.monotonic_ns())

    def inherit(self, message: object) -> None:
        """Go on from what another process has learnt; raises ValueError, and then nothing of it counts."""
        inheritance.take(self._router, message, time.monotonic_ns())

    def stats(self) -> dict[str, object]:
        """The figures, as operators read them."""
        return self.figures.view(self._pool.sends, views.cluster(self._router))

    def count(self, request: OpenRequest, ends: Counter[str] | None) -> None:
        """Count a request's end, the first one only; None: its client has left, and it is no end of ours."""
        if request.counted:
            return
        request.counted = True
        self.figures.current -= 1
        if ends is not None:
            ends[request.asked.request_class] += 1

    # Settings

    def _follow(self, settings: Settings) -> None:
        self.settings = settings
        self._classes = {cls.name for cls in settings.classes}
        self._probe_timeout = min(cls.aim for cls in settings.classes)
        self.late_s = max(cls.deadline for cls in settings.classes) / NS_PER_S
        """For so long a connection waits for an answer that comes too late."""
        self.figures.classes(sorted(self._classes))

    def retune(self, settings: Settings) -> None:
        """Take new settings, all at one moment; open requests keep what they came with."""
        self._follow(settings)
        self.tell(SettingsChanged(settings))

    def call_at(self, due: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call back once the clock shows `due`; never before, though the loop counts in milliseconds."""
        return self.loop.call_later(max(due - time.monotonic_ns(), 0) / NS_PER_S + TIMER_STEP_S, callback)

    def dialing(self, server_id: str) -> bool:
        """Whether a connection to this server is coming up."""
        return self._pool.dialing(server_id)

    # Clients

    def request_arrived(self, asked: Request, reply: Reply) -> None:
        """Take a request: from here on it is owed one final answer."""
        request_id = asked.id.decode("ascii")
        if asked.request_class not in self._classes:
            reply.rejected("unknown class")
        elif request_id in self._requests:
            # Danger: two requests under one id would share attempts, and one would have the other's answer.
            reply.rejected("duplicate id")
        elif len(self._requests) >= self._max_open:
            self.request_refused(asked)
            reply.refused()
        else:
            deadline = time.monotonic_ns() + asked.timeout_ms * NS_PER_MS
            request = OpenRequest(request_id, asked, reply, deadline, self.settings.max_attempts)
            reply.request = request
            self._requests[request_id] = request
            self.figures.current += 1
            self.tell(
                RequestArrived(
                    request=request_id,
                    request_class=asked.request_class,
                    deadline=deadline,
                    tenant=asked.tenant,
                    key=asked.key.decode(),
                    write=asked.value is not None,
                    retry=asked.retry,
                )
            )
            return
        reply.forgotten()

    def request_refused(self, asked: Request) -> None:
        """A request is refused at the door."""
        if asked.request_class in self._classes:
            self.figures.deferred[asked.request_class] += 1

    def client_gone(self, reply: Reply) -> None:
        """The client that waits for this reply has left."""
        request = reply.request
        if not isinstance(request, OpenRequest):
            return
        request.closed = True
        self.count(request, None)
        if isinstance(reply.source, Attempt):
            reply.source.client_left()
        self.settle(request)
        self.tell(ClientGone(request.id))

    def settle(self, request: OpenRequest) -> None:
        """Forget a request that is answered and has nothing out."""
        if request.closed and not request.out and request.id in self._requests:
            del self._requests[request.id]
            request.reply.forgotten()

    def _final(self, request_id: str, retry_after: int | None) -> None:
        """Give a request its final answer: refused with this pause in nanoseconds, or failed."""
        request = self._requests.get(request_id)
        if request is None or request.closed:
            return
        request.closed = True
        figures = self.figures
        self.count(request, figures.errored if retry_after is None else figures.deferred)
        if retry_after is None:
            request.reply.failed()
        else:
            request.reply.refused(-(-retry_after // NS_PER_MS))
        self.settle(request)

    # The list of servers

    def servers_changed(self, listing: Listing) -> None:
        """Take news of the list: the module hears of it before anything that follows from it."""
        self._events.append((listing.change, None))
        handling, self._handling = self._handling, True
        try:
            self._list_servers(listing)
        finally:
            self._handling = handling
        self._handle_events()

    def _list_servers(self, listing: Listing) -> None:
        whole = listing.change.kind is not ListKind.DELTA
        gone = set(self._places) if whole else set()
        for server in listing.change.servers:
            if server.state is ServerState.READY:
                gone.discard(server.id)
                is_origin = server.kind == self.settings.origin_kind
                place = listing.addresses[server.id], OriginConnection if is_origin else CacheConnection
                self._places[server.id] = place
                if server.id not in self._router.roster.out:
                    self._pool.list_server(server.id, *place)
            else:
                gone.add(server.id)
        for server_id in gone:
            self._places.pop(server_id, None)
            self._pool.unlist_server(server_id)

    def knows(self, server_id: str) -> bool:
        """Whether a server is listed, was once, or is out by hand."""
        return self._router.roster.knows(server_id)

    @property
    def out(self) -> frozenset[str]:
        """The servers that are out by hand."""
        return frozenset(self._router.roster.out)

    def take_out(self, server_id: str) -> None:
        """Send nothing more to a server, whatever the list says, until it is put back."""
        self.tell(ServerOut(server_id))
        self._pool.unlist_server(server_id)

    def put_back(self, server_id: str) -> None:
        """Use a server again, if it is listed as ready."""
        if server_id in self._places:
            self._pool.list_server(server_id, *self._places[server_id])
        self.tell(ServerBack(server_id))

    def discovery_failed(self) -> None:
        """Tell the module that a watch has ended."""
        self.tell(ServersChanged(ListKind.FAILED))

    # Events and actions

    def tell(self, event: Event, value: bytes | None = None) -> None:
        """Give the module an event; one made while actions are carried out waits for its turn.

        The value that came with it can be copied while it is handled, and no longer.
        """
        self._events.append((event, value))
        if not self._handling:
            self._handle_events()

    def _handle_events(self) -> None:
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event, self._passing = self._events.popleft()
                try:
                    for action in self._router.handle(event, time.monotonic_ns()):
                        self._carry_out(action)
                except Exception:
                    log.exception("handling %s failed", type(event).__name__)
                    self._give_what_is_owed(event)
        finally:
            self._handling, self._passing = False, None

    def _give_what_is_owed(self, event: Event) -> None:
        """A fault in the decisions must not leave a client without its answer."""
        if isinstance(event, RequestArrived | AttemptEnded):
            request = self._requests.get(event.request)
            if request is not None and not request.out:
                self._final(event.request, None)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                self._set_timer(time.monotonic_ns() + action.delay, action.token)
            case Refuse():
                self._final(action.request, action.retry_after)
            case Fail():
                self._final(action.request, None)
            case Subscribe():
                self.subscribe()
            case Log():
                log.info("%s", action.message)
            case Answer():
                self._answer(action.request)
            case Copy():
                self._copy(action)
            case Void():
                self._void(action)
            case Probe():
                self._pool.submit(action.server, ProbeExchange(self, action.server, self._probe_timeout))

    def _send(self, action: Send) -> None:
        request = self._requests.get(action.request)
        if request is None:
            log.error("the module sent a request that is over")
            return
        now = time.monotonic_ns()
        attempt = Attempt(self, request, action.server, action.hold)
        if request.closed or now >= request.deadline or request.attempts > request.most_attempts:
            attempt.end(Outcome.MOOT)
            return
        due = min(now + action.timeout, request.deadline) if action.timeout else request.deadline
        attempt.wait_until(due)
        self._pool.submit(action.server, attempt)

    def _answer(self, request_id: str) -> None:
        """Give the receipt that was held."""
        request = self._requests.get(request_id)
        if request is None or request.closed or request.held is None:
            return
        request.closed = True
        self.count(request, self.figures.answered)
        request.reply.served(request.held)
        self.settle(request)

    def _copy(self, action: Copy) -> None:
        """Write the value that passes by to one more node; it is kept nowhere here."""

        def told(outcome: Outcome) -> Event:
            return CopyEnded(action.key, action.server, outcome)

        if self._passing is None:
            self.tell(told(Outcome.MOOT))
            return
        lease = str(action.lease // NS_PER_MS).encode()
        words = (b"SET", action.key.encode(), self._passing, b"PX", lease)
        self._pool.submit(action.server, PlainExchange(self, words, self._probe_timeout, told))

    def _void(self, action: Void) -> None:
        def told(outcome: Outcome) -> Event:
            return VoidEnded(action.key, action.server, outcome, action.turn)

        words = (b"DEL", action.key.encode())
        self._pool.submit(action.server, PlainExchange(self, words, self._probe_timeout, told))

    def _set_timer(self, due: int, token: str) -> None:
        def fire() -> None:
            # Danger: a timer that comes early tells the module nothing, and the request waits for ever.
            if time.monotonic_ns() < due:
                self._set_timer(due, token)
            else:
                self.tell(TimerFired(token))

        self.call_at(due, fire)
