"""The host of the decision module: delivers its events, carries out its actions, runs its timers."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from saltport.address import Address
from saltport.admin.figures import Figures
from saltport.deadline import NEVER, NS_PER_MS, Deadline, Received
from saltport.decisions import (
    Action,
    Answer,
    AttemptEnded,
    Copy,
    CopyEnded,
    Effect,
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
    RequestRules,
    Router,
    Send,
    ServerExcluded,
    ServerReadmitted,
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
from saltport.decisions.used_ids import UsedIds, digest_of
from saltport.downstream.outcomes import CloseReason
from saltport.downstream.replies import Reply
from saltport.handover.record import MovedRequest, PartialValue
from saltport.lag import HEARTBEAT_NS, LagMeter
from saltport.membership.listing import Listing
from saltport.messages import Request
from saltport.router.background_requests import Invalidation, ProbeExchange, ReplicationWrite
from saltport.router.relay import MovedValue
from saltport.router.requests import Attempt, OpenRequest, Order
from saltport.router.resumption import RelayedValue
from saltport.upstream.connection import Connection, Server
from saltport.upstream.http import OriginConnection
from saltport.upstream.pool import Pool
from saltport.upstream.resp import CacheConnection

if TYPE_CHECKING:
    from saltport.decisions.topology import Evidence

TIMER_MARGIN_S = 0.001  # the loop rounds delays to the nearest millisecond, possibly down
REPORT_INTERVAL_NS = 95 * NS_PER_MS  # at heartbeats of 20 ms a report is made every 100 ms

log = logging.getLogger("saltport")


class IdSharing(Protocol):
    """Tells the other process of this router, if there is one, which ids are used."""

    def receive(self) -> None:
        """Process what the other process has sent."""

    def used(self, digest: bytes) -> None:
        """Tell that a request with this id may take effect."""

    def released(self, digest: bytes) -> None:
        """Tell that a request with this id surely never ran."""


class NoIdSharing:
    """For a router that has one process."""

    def receive(self) -> None:
        """Do nothing."""

    def used(self, digest: bytes) -> None:
        """Do nothing."""

    def released(self, digest: bytes) -> None:
        """Do nothing."""


class RouterHost:
    """Passes events to the decision module one at a time and carries out the resulting actions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        seed: int,
        pool: Pool,
        max_open: int,
        used_ids: UsedIds | None = None,
    ) -> None:
        self.loop, self.settings = loop, settings
        self.used_ids = UsedIds(0) if used_ids is None else used_ids
        self.id_sharing: IdSharing = NoIdSharing()
        self.ready = False
        self.final_deadline = NEVER
        """Latest time for all final answers, once the process is shutting down."""
        self.subscribe: Callable[[], None] = lambda: None
        """Starts a watch of the server list, if discovery has to be asked; set by the watch's owner."""
        self._router = Router(settings, seed)
        self._pool, self._max_open = pool, max_open
        self.figures = Figures(())
        self._use_settings(settings)
        self._ready_servers: dict[str, tuple[Address, Callable[[Server], Connection]]] = {}
        """Address and connection class of each server listed as ready, including those that are excluded."""
        self._requests: dict[str, OpenRequest] = {}
        self._events: deque[tuple[Event, bytes | None]] = deque()
        self._event_value: bytes | None = None  # the value that belongs to the event being handled
        self._handling = False
        self.lag = LagMeter()
        self.unread_since = self.lag.unread_since
        self._heartbeat()

    # The router's own lag

    def begin_loop_iteration(self) -> None:
        """Record that the event loop handles an event from the kernel or a timer.

        The first such event after a wait of the loop begins an iteration of the lag meter; further ones have
        no effect.
        """
        if not self.lag.in_iteration:
            self.lag.begin_iteration(time.monotonic_ns())
            # The loop runs this callback just before it polls the kernel again.
            self.loop.call_soon(self._end_loop_iteration)

    def _end_loop_iteration(self) -> None:
        """Record in the lag meter that the event loop has finished an iteration and polls the kernel next."""
        self.lag.end_iteration(time.monotonic_ns())

    def _heartbeat(self) -> None:
        """Wake up periodically, so that a long wait of the loop shows that the process was stopped."""
        self.begin_loop_iteration()
        self.loop.call_later(HEARTBEAT_NS / NS_PER_S, self._heartbeat)
        # By elapsed time and not by the number of heartbeats: late heartbeats must not make reports rare.
        now = time.monotonic_ns()
        if now - self.lag.reported_at >= REPORT_INTERVAL_NS:
            self.dispatch(LoopReport(*self.lag.take_report(now)))

    def view(self) -> dict[str, object]:
        """Return the state of the decision module and the event loop for operators."""
        lag = {"longest_ms": self.lag.longest_stall / NS_PER_MS, "stalls": self.lag.stalls}
        open_requests = self.figures.current
        return {
            "ready": self.ready,
            "owed": open_requests,
            "lag": lag,
            **views.summary(self._router, time.monotonic_ns()),
        }

    def export_state(self) -> dict[str, object]:
        """Return the learned state of the decision module, for the process that replaces this one."""
        return inheritance.export(self._router, time.monotonic_ns())

    def restore_state(self, message: object) -> None:
        """Restore the state that another process exported; raises ValueError and then restores nothing."""
        inheritance.restore(self._router, message, time.monotonic_ns())

    def stats(self) -> dict[str, object]:
        """Return the request counters in the form shown to operators."""
        return self.figures.view(self._pool.sends, views.cluster(self._router))

    def count_end(self, request: OpenRequest, ends: Counter[str] | None) -> None:
        """Count the end of a request once, in the counter `ends`; None: the client left without an answer."""
        if request.counted:
            return
        request.counted = True
        self.figures.count_end(request.message.request_class, ends)
        # After a refusal too the write may have run: it only promises that a retry is harmless, as repeats of
        # keyed writes are dropped.
        unknown = ends is not self.figures.answered and (request.may_have_run or request.open_attempts > 0)
        request.complete_in_order(may_have_run=unknown)

    # Settings

    def _use_settings(self, settings: Settings) -> None:
        """Store the settings and what is derived from them."""
        self.settings = settings
        self._probe_timeout = min(cls.aim for cls in settings.classes)
        self.late_answer_wait_s = max(cls.deadline for cls in settings.classes) / NS_PER_S
        """How long a connection stays reserved for the answer to an attempt that has timed out."""
        self._class_names = frozenset(cls.name for cls in settings.classes)
        self.figures.add_classes(sorted(self._class_names))

    def apply_settings(self, settings: Settings) -> None:
        """Apply all new settings at once; open requests keep the ones that they arrived with."""
        self._use_settings(settings)
        self.dispatch(SettingsChanged(settings))

    def call_at(self, due: int, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call `callback` at the time `due` or later, never earlier, though the loop counts milliseconds."""
        return self.loop.call_later(max(due - time.monotonic_ns(), 0) / NS_PER_S + TIMER_MARGIN_S, callback)

    def dialing(self, server_id: str) -> bool:
        """Whether a connection to the server is being established."""
        return self._pool.is_dialing(server_id)

    # Clients

    def _received_now(self) -> Received:
        now = time.monotonic_ns()
        return Received(self.unread_since(now), now)

    def request_arrived(
        self,
        message: Request,
        reply: Reply,
        order: Order | None = None,
        received: Received | None = None,
        began_ns: int | None = None,
    ) -> None:
        """Accept a client's request, to which exactly one final answer will be given.

        `order`: the key order of its connection. `received`: when its last byte arrived, if that is known
        more closely than from the loop's lag. `began_ns`: a time before which its first byte did not arrive;
        None: it arrived with the last one.
        """
        request_id = message.id.decode("ascii")
        arrival = received or self._received_now()
        earliest_ns = arrival.earliest_ns if began_ns is None else min(began_ns, arrival.earliest_ns)
        rules = self._router.rules_for(message.request_class, message.tenant, earliest_ns)
        if rules is None:
            reply.rejected("unknown class")
        elif request_id in self._requests or self._is_used(message, rules):
            # Danger: two open requests with one id would share attempts, and get each other's answers; one
            # that comes again later would take effect twice.
            reply.rejected("duplicate id")
        elif len(self._requests) >= self._max_open:
            self.request_refused(message)
            reply.refused()
        else:
            key_order = KeyOrder() if order is None else order
            reply.request = request = OpenRequest(self, request_id, message, reply, key_order, arrival, rules)
            self._requests[request_id] = request
            self.figures.current += 1
            request.start()
            return
        reply.release_memory()

    def _is_used(self, message: Request, rules: RequestRules) -> bool:
        """Whether an earlier request with this id may have taken effect, in any process of this router."""
        if rules.request_class.effect is Effect.SAFE:
            return False
        self.id_sharing.receive()
        return digest_of(message.id) in self.used_ids

    def _use_id(self, request: OpenRequest) -> None:
        """Record and tell the other process, before the first attempt, that a request may take effect."""
        if request.rules.request_class.effect is not Effect.SAFE:
            request.id_digest = digest_of(request.message.id)
            self.used_ids.add(request.id_digest, time.monotonic_ns())
            self.id_sharing.used(request.id_digest)

    def _release_id(self, request: OpenRequest) -> None:
        """Allow the id of a request that surely never ran to come again."""
        if request.id_digest and not request.has_run:
            self.used_ids.discard(request.id_digest)
            self.id_sharing.released(request.id_digest)

    def request_refused(self, message: Request) -> None:
        """Count a request that was refused before it was accepted."""
        if message.request_class in self._class_names:
            self.figures.deferred[message.request_class] += 1

    def client_gone(self, reply: Reply) -> None:
        """Handle the disconnection of the client that waits for this reply."""
        if reply.request is not None:
            reply.request.client_gone()

    def closed_unanswered(self, reason: CloseReason, requests: int) -> None:
        """Log and count that the router closed a connection with requests that had no whole answer."""
        log.warning("closed a connection with %d unanswered requests: %s", requests, reason.value)
        self.figures.closed_unanswered[reason.name.lower()] += requests

    def resume_value(self, value: PartialValue, descriptor: int, reply: Reply) -> MovedValue:
        """Continue the relay of a value that another process started.

        `descriptor`: the connection to the server that sends the value, which the host now owns.
        """
        moved = reply.request = MovedValue(self, value, reply)
        dialect = OriginConnection if value.position.kind == "origin" else CacheConnection
        moved.begin(value.position.left, self._pool.adopt(value.position, descriptor, dialect, moved))
        return moved

    def continue_moved(
        self, request_class: str, moved: MovedRequest, relayed: RelayedValue, reply: Reply
    ) -> bool:
        """Let a further attempt go on with a value that another process began; return False if none may."""
        rules = self._router.rules_for(request_class, moved.tenant, 0)
        if rules is None or not moved.attempts_left or moved.id in self._requests:
            return False
        rules = replace(rules, max_attempts=min(rules.max_attempts, moved.attempts_left))
        message = Request(
            moved.id.encode(),
            moved.key.encode(),
            request_class,
            moved.tenant or None,
            timeout_ms=0,
            value=None,
            retry=False,
            info=moved.info.encode(),
        )
        reply.source = None
        reply.request = request = OpenRequest(
            self, moved.id, message, reply, KeyOrder(), self._received_now(), rules
        )
        self._requests[moved.id] = request
        request.adopt_rest(relayed)
        return True

    def forget_if_finished(self, request: OpenRequest) -> None:
        """Remove a request that has its final answer and no open attempts."""
        if request.closed and not request.open_attempts and request.id in self._requests:
            del self._requests[request.id]
            self._release_id(request)
            request.reply.release_memory()
            # Danger: the two refer to each other, and such cycles are collected rarely. Until then the value
            # of a write would stay in memory.
            request.reply.request = None

    def _finish_request(self, request_id: str, retry_after: int | None) -> None:
        """Give a request its final answer: refused, with `retry_after` in nanoseconds, or failed if None."""
        request = self._requests.get(request_id)
        if request is None or request.closed:
            return
        if request.broken_value is not None:
            if request.retry_rest():
                return
            self.cut_off(request)
            self.forget_if_finished(request)
            return
        request.closed = True
        figures = self.figures
        self.count_end(request, figures.errored if retry_after is None else figures.deferred)
        if retry_after is None:
            request.reply.failed()
        else:
            request.reply.refused(-(-retry_after // NS_PER_MS))
        if request.attempt is not None:
            request.attempt.stop_sending()
        self.forget_if_finished(request)

    def cut_off(self, request: OpenRequest) -> None:
        """Close the connection of a request whose value has begun and can't be continued."""
        request.closed, request.broken_value = True, None
        self.count_end(request, self.figures.errored)
        request.reply.abort_value()

    def is_being_decided(self, request: OpenRequest) -> bool:
        """Whether the decision module has the request."""
        return request.id in self._router.requests

    def refuse(self, request: OpenRequest) -> None:
        """Refuse a request that was never passed to the decision module."""
        self._finish_request(request.id, 0)

    def set_final_deadline(self, span: int) -> None:
        """Limit the deadlines of new requests to `span` nanoseconds from now, when the process will end."""
        self.final_deadline = Deadline(time.monotonic_ns() + span)

    def finish_all_requests(self) -> None:
        """Give every open request its final answer now, because the process is about to end.

        Requests that surely never ran are refused, the others fail.
        """
        for request in list(self._requests.values()):
            never_ran = not request.may_have_run and (
                not request.open_attempts or (request.attempt is not None and request.attempt.is_queued)
            )
            self._finish_request(request.id, 0 if never_ran else None)

    # Server list

    def servers_changed(self, listing: Listing) -> None:
        """Apply a change of the server list; the decision module gets it before any event caused by it."""
        self._events.append((listing.change, None))
        handling, self._handling = self._handling, True
        try:
            self._list_servers(listing)
        finally:
            self._handling = handling
        self._handle_events()

    def _list_servers(self, listing: Listing) -> None:
        """Pass the usable servers of a listing to the pool, and the removed ones."""
        is_full_list = listing.change.kind is not ListKind.DELTA
        gone = set(self._ready_servers) if is_full_list else set()
        for server in listing.change.servers:
            if server.state is ServerState.READY:
                gone.discard(server.id)
                is_origin = server.kind == self.settings.origin_kind
                endpoint = listing.addresses[server.id], OriginConnection if is_origin else CacheConnection
                self._ready_servers[server.id] = endpoint
                if server.id not in self._router.registry.excluded:
                    self._pool.list_server(server.id, *endpoint)
            else:
                gone.add(server.id)
        for server_id in gone:
            self._ready_servers.pop(server_id, None)
            self._pool.unlist_server(server_id)

    def knows(self, server_id: str) -> bool:
        """Whether a server is listed, was listed earlier, or is excluded by an operator."""
        return self._router.registry.knows(server_id)

    @property
    def excluded_servers(self) -> frozenset[str]:
        """The ids of the servers that an operator has excluded from use."""
        return frozenset(self._router.registry.excluded)

    def exclude_server(self, server_id: str) -> None:
        """Send no more requests to a server, whatever the list says, until `readmit_server`."""
        self.dispatch(ServerExcluded(server_id))
        self._pool.unlist_server(server_id)

    def readmit_server(self, server_id: str) -> None:
        """End the exclusion of a server: use it again if it is listed as ready."""
        if server_id in self._ready_servers:
            self._pool.list_server(server_id, *self._ready_servers[server_id])
        self.dispatch(ServerReadmitted(server_id))

    def trials_due(self) -> dict[str, int]:
        """Return the ejected servers and the earliest time of each one's next trial."""
        return trials.due(self._router.outliers)

    def hold_trial(self, server: str, until: int) -> None:
        """Postpone the next trial of an ejected server to the time `until` or later."""
        trials.postpone(self._router.outliers, server, until)

    def begin_trial(self, server: str) -> None:
        """Allow the next request to be a trial of an ejected server."""
        trials.allow(self._router.outliers, server, time.monotonic_ns())

    def take_evidence(self) -> Evidence | None:
        """Return the observations of the zones since the last call, or None if there are none."""
        return self._router.replication.take_evidence()

    def discovery_failed(self) -> None:
        """Tell the decision module that the watch of the server list has ended."""
        self.dispatch(ServersChanged(ListKind.FAILED))

    # Events and actions

    def dispatch(self, event: Event, value: bytes | None = None) -> None:
        """Pass an event to the decision module; events raised while actions are carried out are queued.

        `value`: the value that arrived with the event, which can be copied only while the event is handled.
        """
        self._events.append((event, value))
        if not self._handling:
            self._handle_events()

    def _handle_events(self) -> None:
        """Pass the queued events to the decision module, and carry out its actions."""
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event, self._event_value = self._events.popleft()
                try:
                    for action in self._router.handle(event, time.monotonic_ns()):
                        self._carry_out(action)
                except Exception:
                    log.exception("decision module failed to handle %s", type(event).__name__)
                    self._fail_if_unanswered(event)
        finally:
            self._handling, self._event_value = False, None

    def _fail_if_unanswered(self, event: Event) -> None:
        """Fail the event's request if it has no open attempts, after an exception in the decision module.

        Without this its client would get no answer.
        """
        if isinstance(event, RequestArrived | AttemptEnded):
            request = self._requests.get(event.request)
            if request is not None and not request.open_attempts:
                self._finish_request(event.request, None)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                self._set_timer(time.monotonic_ns() + action.delay, action.token)
            case Refuse():
                self._finish_request(action.request, action.retry_after)
            case Fail():
                self._finish_request(action.request, None)
            case Subscribe():
                self.subscribe()
            case Log():
                log.info("%s", action.message)
            case Answer():
                self._send_deferred_answer(action.request)
            case Copy():
                self._copy(action)
            case Invalidate():
                self._invalidate(action)
            case Probe():
                self._pool.submit(action.server, ProbeExchange(self, action.server, self._probe_timeout))

    def _send(self, action: Send) -> None:
        request = self._requests.get(action.request)
        if request is None:
            log.error("decision module returned a Send for a request that has already ended")
            return
        if not request.attempts:
            self._use_id(request)
        now = time.monotonic_ns()
        attempt = Attempt(self, request, action)
        last = request.deadline.at_ns
        attempt.set_timeout_at(min(now + action.timeout, last) if action.timeout else last)
        self._pool.submit(action.server, attempt)

    def _send_deferred_answer(self, request_id: str) -> None:
        """Send the client the origin's answer to a write, deferred until all copies were invalidated."""
        request = self._requests.get(request_id)
        if request is None or request.closed or request.deferred_answer is None:
            return
        request.closed = True
        self.count_end(request, self.figures.answered)
        request.reply.served(request.deferred_answer)
        self.forget_if_finished(request)

    def _copy(self, action: Copy) -> None:
        """Write the current event's value to one more cache server; the router itself does not store it."""

        def ended_event(outcome: Outcome) -> Event:
            return CopyEnded(action.key, action.server, outcome)

        if self._event_value is None:
            self.dispatch(ended_event(Outcome.NOT_SENT))
            return
        key, lease = action.key.encode(), Deadline(time.monotonic_ns() + action.lease)
        copy = ReplicationWrite(self, key, self._event_value, lease, self._probe_timeout, ended_event)
        self._pool.submit(action.server, copy)

    def _invalidate(self, action: Invalidate) -> None:
        """Delete a key at one cache server, and report the result to the decision module."""

        def ended_event(outcome: Outcome) -> Event:
            return InvalidationEnded(action.key, action.server, outcome, action.sequence)

        invalidation = Invalidation(self, action.key.encode(), self._probe_timeout, ended_event)
        self._pool.submit(action.server, invalidation)

    def _set_timer(self, due: int, token: str) -> None:
        """Raise a TimerFired event with this token at the time `due`, never earlier."""

        def fire() -> None:
            # Danger: the decision module ignores a timer that fires early; the request would wait for ever.
            if time.monotonic_ns() < due:
                self._set_timer(due, token)
            else:
                self.dispatch(TimerFired(token))

        self.call_at(due, fire)
