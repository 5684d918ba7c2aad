"""The host of the decision module: its events and actions, timers and the clock."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from saltport.address import Address
from saltport.admin.figures import Figures
from saltport.deadline import NEVER, NS_PER_MS, Deadline, Received
from saltport.decisions import (
    Action,
    Answer,
    AttemptEnded,
    Copy,
    CopyEnded,
    Event,
    Fail,
    Invalidate,
    InvalidationEnded,
    ListKind,
    Log,
    LoopReport,
    Outcome,
    Probe,
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
    Subscribe,
    TimerFired,
    inheritance,
    trials,
    views,
)
from saltport.decisions.interface import NS_PER_S
from saltport.decisions.ordering import KeyOrder
from saltport.downstream.replies import Reply
from saltport.handover.record import PartialValue
from saltport.lag import HEARTBEAT_NS, LagMeter
from saltport.membership.listing import Listing
from saltport.messages import Request
from saltport.router.background_requests import Invalidation, ProbeExchange, ReplicationWrite
from saltport.router.requests import Attempt, MovedValue, OpenRequest, Order
from saltport.upstream.connection import Connection, Server
from saltport.upstream.http import OriginConnection
from saltport.upstream.pool import Pool
from saltport.upstream.resp import CacheConnection

if TYPE_CHECKING:
    from saltport.decisions.topology import Evidence

TIMER_STEP_S = 0.001  # the loop rounds delays to the nearest one
REPORT_NS = 95 * NS_PER_MS  # between two reports of the loop to the module, with heartbeats of 20 ms: 100

log = logging.getLogger("saltport")


class RouterHost:
    """Feeds the module events one at a time and carries out its actions."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Settings, seed: int, pool: Pool, max_open: int
    ) -> None:
        self.loop, self.settings = loop, settings
        self.ready = False
        self.ends_at = NEVER
        """By when all must have their final answers, once the process is ending."""
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
        self.unread_since = self.lag.unread_since
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
        return inheritance.export(self._router, time.monotonic_ns())

    def inherit(self, message: object) -> None:
        """Go on from what another process has learnt; raises ValueError, and then nothing of it counts."""
        inheritance.restore(self._router, message, time.monotonic_ns())

    def stats(self) -> dict[str, object]:
        """The figures, as operators read them."""
        return self.figures.view(self._pool.sends, views.cluster(self._router))

    def count(self, request: OpenRequest, ends: Counter[str] | None) -> None:
        """Count a request's end, the first one only; None: its client has left, and it is no end of ours."""
        if request.counted:
            return
        request.counted = True
        self.figures.count_end(request.asked.request_class, ends)
        # A refusal only promises that trying again is harmless: repeats of a keyed write are dropped.
        unknown = ends is not self.figures.answered and (request.ran or request.out > 0)
        request.took_effect(may_have_run=unknown)

    # Settings

    def _follow(self, settings: Settings) -> None:
        self.settings = settings
        self._classes = {cls.name for cls in settings.classes}
        self._probe_timeout = min(cls.aim for cls in settings.classes)
        self.late_s = max(cls.deadline for cls in settings.classes) / NS_PER_S
        """For so long a connection waits for an answer that comes too late."""
        self.figures.add_classes(sorted(self._classes))

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

    def _received_now(self) -> Received:
        now = time.monotonic_ns()
        return Received(self.unread_since(now), now)

    def request_arrived(
        self,
        asked: Request,
        reply: Reply,
        order: Order | None = None,
        received: Received | None = None,
    ) -> None:
        """Take a request: from here on it is owed one final answer.

        `order`: that of its connection; `received`: when its last byte came, where more is known than the
        loop's lag.
        """
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
            among = KeyOrder() if order is None else order
            came = received or self._received_now()
            reply.request = request = OpenRequest(self, request_id, asked, reply, among, came)
            self._requests[request_id] = request
            self.figures.current += 1
            request.arrived()
            return
        reply.release_memory()

    def request_refused(self, asked: Request) -> None:
        """A request is refused at the door."""
        if asked.request_class in self._classes:
            self.figures.deferred[asked.request_class] += 1

    def client_gone(self, reply: Reply) -> None:
        """The client that waits for this reply has left."""
        if reply.request is not None:
            reply.request.client_gone()

    def resume_value(self, value: PartialValue, descriptor: int, reply: Reply) -> MovedValue:
        """Take up a value that another process began, and the server's connection that it comes on."""
        moved = reply.request = MovedValue(self, value, reply)
        dialect = OriginConnection if value.position.kind == "origin" else CacheConnection
        moved.begin(value.position.left, self._pool.adopt(value.position, descriptor, dialect, moved))
        return moved

    def settle(self, request: OpenRequest) -> None:
        """Forget a request that is answered and has nothing out."""
        if request.closed and not request.out and request.id in self._requests:
            del self._requests[request.id]
            request.reply.release_memory()

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

    def refuse(self, request: OpenRequest) -> None:
        """Refuse a request that the module was never told of."""
        self._final(request.id, 0)

    def ends_in(self, span: int) -> None:
        """The process ends after so many nanoseconds: what comes from now on has no longer than that."""
        self.ends_at = Deadline(time.monotonic_ns() + span)

    def end_all(self) -> None:
        """Give every open request its final answer: what is unanswered when the process ends is lost."""
        for request in list(self._requests.values()):
            never_ran = not request.ran and (not request.out or request.queued is not None)
            self._final(request.id, 0 if never_ran else None)

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
                if server.id not in self._router.registry.out:
                    self._pool.list_server(server.id, *place)
            else:
                gone.add(server.id)
        for server_id in gone:
            self._places.pop(server_id, None)
            self._pool.unlist_server(server_id)

    def knows(self, server_id: str) -> bool:
        """Whether a server is listed, was once, or is out by hand."""
        return self._router.registry.knows(server_id)

    @property
    def out(self) -> frozenset[str]:
        """The servers that are out by hand."""
        return frozenset(self._router.registry.out)

    def take_out(self, server_id: str) -> None:
        """Send nothing more to a server, whatever the list says, until it is put back."""
        self.tell(ServerOut(server_id))
        self._pool.unlist_server(server_id)

    def put_back(self, server_id: str) -> None:
        """Use a server again, if it is listed as ready."""
        if server_id in self._places:
            self._pool.list_server(server_id, *self._places[server_id])
        self.tell(ServerBack(server_id))

    def trials_due(self) -> dict[str, int]:
        """The ejected servers, and when each may be tried."""
        return trials.due(self._router.outliers)

    def hold_trial(self, server: str, until: int) -> None:
        """Try an ejected server no sooner than this."""
        trials.hold(self._router.outliers, server, until)

    def begin_trial(self, server: str) -> None:
        """Let the next request try an ejected server."""
        trials.begin(self._router.outliers, server, time.monotonic_ns())

    def take_evidence(self) -> Evidence | None:
        """What was found of the zones since the last call."""
        return self._router.replication.take_evidence()

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
            case Invalidate():
                self._invalidate(action)
            case Probe():
                self._pool.submit(action.server, ProbeExchange(self, action.server, self._probe_timeout))

    def _send(self, action: Send) -> None:
        request = self._requests.get(action.request)
        if request is None:
            log.error("the module sent a request that is over")
            return
        now = time.monotonic_ns()
        attempt = Attempt(self, request, action)
        last = request.deadline.at_ns
        attempt.wait_until(min(now + action.timeout, last) if action.timeout else last)
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
        key, lease = action.key.encode(), Deadline(time.monotonic_ns() + action.lease)
        copy = ReplicationWrite(self, key, self._passing, lease, self._probe_timeout, told)
        self._pool.submit(action.server, copy)

    def _invalidate(self, action: Invalidate) -> None:
        def told(outcome: Outcome) -> Event:
            return InvalidationEnded(action.key, action.server, outcome, action.turn)

        invalidation = Invalidation(self, action.key.encode(), self._probe_timeout, told)
        self._pool.submit(action.server, invalidation)

    def _set_timer(self, due: int, token: str) -> None:
        def fire() -> None:
            # Danger: a timer that comes early tells the module nothing, and the request waits for ever.
            if time.monotonic_ns() < due:
                self._set_timer(due, token)
            else:
                self.tell(TimerFired(token))

        self.call_at(due, fire)
