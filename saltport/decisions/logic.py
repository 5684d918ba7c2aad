"""The life of requests from arrival to final answer, without I/O; events and actions are in interface.py.

A key is mapped to a slot, and a slot to the ready cache server with the highest weighted hash of slot and
server id (placement.py). Reads that miss there and all writes go to the origin (origin.py).
"""

from __future__ import annotations

import random
from zlib import crc32

from saltport.decisions import interface as api
from saltport.decisions import timer_tokens
from saltport.decisions.effects import may_refuse, may_repeat, may_send, record_possible_effect
from saltport.decisions.health import ANSWERED, UNANSWERED, Node
from saltport.decisions.interface import NS_PER_S, ListKind, Outcome, Reason
from saltport.decisions.limits import Limit
from saltport.decisions.origin import OriginFetches
from saltport.decisions.outliers import OutlierDetector
from saltport.decisions.overload import FIRST, RETRY, TOO_LATE, OverloadControl
from saltport.decisions.placement import Placement, Suspected
from saltport.decisions.replication_factory import make_replication
from saltport.decisions.request import Request
from saltport.decisions.request_rules import RulesHistory
from saltport.decisions.server_registry import ServerRegistry
from saltport.decisions.table import SlotTable
from saltport.decisions.weight_adjustment import WeightAdjustment
from saltport.structures.recent import RecentCounts
from saltport.structures.response_time import ResponseTimeEstimate

TIMEOUT_DEVIATIONS = 6  # deviations above the mean response time after which an answer counts as lost
INFORMATIVE_OUTCOMES = (*ANSWERED, Outcome.TIMEOUT)
# Shares of a class's aim: the longest attempt time-out; above the second, attempts get no early time-out.
MAX_TIMEOUT_AIM_SHARE, SLOW_AIM_SHARE = 0.95, 0.8


class Router:
    """The decisions of one router: it takes events with the time and returns actions to carry out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._rng = random.Random(seed)
        self.settings, self.rules_history = settings, RulesHistory(settings)
        self._current_rules: dict[tuple[str, str | None], api.RequestRules] = {}
        """The rules of the requests that arrive now, by class and tenant."""
        self.registry = ServerRegistry()
        self.caches, self.origins = SlotTable(settings), SlotTable(settings)
        self.outliers = OutlierDetector(settings, self._rng)
        self.overload = OverloadControl(settings, self._rng)
        self.replication = make_replication(settings, self.caches, self.outliers, self._rng)
        self.requests: dict[str, Request] = {}
        self.placement = Placement(self.replication, self.outliers)
        self.fetches = OriginFetches(settings, self._rng)
        self._response_time = ResponseTimeEstimate(min(cls.aim for cls in settings.classes))  # of all caches
        self._weights = WeightAdjustment(settings)
        self._subscription_scheduled, self._failed_subscriptions = False, 0
        self.given_up = RecentCounts()  # requests without an answer from a server, by tenant and reason
        self._now = 0
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        """Process one event at clock time `now`; return the actions to carry out, in order."""
        self._now, self._actions = now, []
        match event:
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.RequestArrived():
                self._arrived(event)
            case api.ServersChanged():
                self._servers_changed(event)
            case api.SettingsChanged():
                self._apply_settings(event.settings)
            case api.ServerExcluded():
                self.registry.exclude(event.server)
                self._update([], [event.server])
            case api.ServerReadmitted():
                entry = self.registry.readmit(event.server, now)
                self._update([entry] if entry else [], [])
            case api.TimerFired():
                self._timer_fired(event.token)
            case api.StreamStarted() if event.request in self.requests:
                self._stream_started(self.requests[event.request])
            case api.LoopReport():
                if message := self.overload.report(event):
                    self._actions.append(api.Log(message))
            case api.ClientGone() if event.request in self.requests:
                self._finish(self.requests[event.request])
            case api.CopyEnded() | api.InvalidationEnded() | api.ZonePlan():
                self.replication.on_event(event, now)
        for action in self.replication.take_actions():
            if isinstance(action, api.Answer):
                if action.request not in self.requests or self.requests[action.request].done:
                    continue
                self._finish(self.requests[action.request])
            self._actions.append(action)
        return self._actions

    def _apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; open requests keep their class, tenant's limiter and number of attempts."""
        self.settings = settings
        self.rules_history.replace(settings, self._now)
        self._current_rules.clear()
        for part in (self.fetches, self.caches, self.origins, self.outliers, self.overload, self.replication):
            part.apply_settings(settings)

    def _servers_changed(self, event: api.ServersChanged) -> None:
        """Apply a change of the server list, or schedule a new subscription after a failed one."""
        if self.settings.must_subscribe:
            self._schedule_subscription(event.kind)
        if event.kind is not ListKind.FAILED:
            self._update(*self.registry.apply(event))

    def _update(self, ready: list[api.Server], left: list[str]) -> None:
        """Use the servers in `ready`, and stop using those whose ids are in `left`."""
        for table, is_origin in ((self.caches, False), (self.origins, True)):
            entries = [entry for entry in ready if (entry.kind == self.settings.origin_kind) == is_origin]
            table.update(entries, left, self._now)
        self.outliers.update_nodes(self.caches.nodes, self._now)

    def _schedule_subscription(self, kind: ListKind) -> None:
        """Schedule a subscription at the start and after each failure, with jitter and exponential back-off.

        The delays keep routers from overloading the discovery service.
        """
        if kind not in (ListKind.CACHED, ListKind.FAILED):
            self._failed_subscriptions = 0
        elif not self._subscription_scheduled:
            self._subscription_scheduled = True
            max_delay = min(self.settings.ask_within // 2, NS_PER_S << min(self._failed_subscriptions, 8))
            self._failed_subscriptions += kind is ListKind.FAILED
            self._actions.append(
                api.SetTimer(self._rng.randint(max_delay // 4, max_delay), timer_tokens.SUBSCRIPTION)
            )

    def _timer_fired(self, token: str) -> None:
        """Subscribe, or continue the request that has waited; the replication has timers of its own."""
        if token == timer_tokens.SUBSCRIPTION:
            self._subscription_scheduled = False
            self._actions.append(api.Subscribe())
        elif (request_id := timer_tokens.waiting_request_id(token)) is not None:
            self._waited(self.requests.get(request_id))
        else:
            self.replication.on_timer(token, self._now)

    def _waited(self, request: Request | None) -> None:
        """Continue a request at the end of its wait, or give it up; None: it was answered meanwhile."""
        if request and request.waiting and self._now >= request.deadline:
            self._give_up(request, Reason.DEADLINE)
        elif request and request.waiting and request.write:
            self._fetch(request)

    def rules_for(self, request_class: str, tenant: str | None, earliest: int) -> api.RequestRules | None:
        """Return the rules that a request keeps which arrived at `earliest` or later; None: no such class."""
        is_older = earliest < self.rules_history.changed_at
        if not is_older and (current := self._current_rules.get((request_class, tenant))) is not None:
            return current
        found = self.rules_history.find(request_class, earliest)
        if found is None:
            return None
        known_tenant = tenant if tenant and self.fetches.knows(tenant, even_dropped=is_older) else ""
        rules = api.RequestRules(found.request_class, found.max_attempts, known_tenant)
        # Clients may name any tenant, so only those of the settings are kept.
        if not is_older and known_tenant == (tenant or ""):
            self._current_rules[request_class, tenant] = rules
        return rules

    def _arrived(self, event: api.RequestArrived) -> None:
        """Admit or refuse a new request; send an admitted read to a cache server, a write to the origin.

        Without an origin, writes go to cache servers too.
        """
        rules = event.rules or self.rules_for(event.request_class, event.tenant, self._now)
        if rules is None:
            raise ValueError(f"unknown class {event.request_class!r}")
        limiter = self.fetches.limiter(rules.tenant)
        request = Request(event, rules.request_class, limiter, rules.max_attempts)
        slots = self.settings.slots
        request.slot = self._rng.randrange(slots) if event.key is None else crc32(event.key.encode()) % slots
        self.requests[request.id] = request
        late = event.deadline - self._now < self._response_time.mean
        rank = TOO_LATE if late else RETRY if event.retry else FIRST
        if not self.overload.admit(event.tenant or "", request.write, rank):
            self._give_up(request, Reason.ROUTER_OVERLOADED)
            return
        self.replication.arrived(request, event.tenant or "", self._now)
        if request.write and self.settings.origin_kind is not None:
            self._fetch(request)
        else:
            self._route(request)

    def _send(self, request: Request, node: Node, fixed_timeout: int | None = None) -> None:
        """Send an attempt of a request to a server, with the usual time-out or a fixed one."""
        request.sends += 1
        request.node, request.sent_at, request.in_flight, request.counts_as_load = node, self._now, True, True
        node.load += 1
        usual_timeout = self._attempt_timeout(request, node)
        defer_answer = request.write and request.fetching and self.replication.defers_answer(request)
        timeout = usual_timeout if fixed_timeout is None else fixed_timeout
        self._actions.append(api.Send(request.id, node.entry.id, timeout, defer_answer, request.not_after))
        if not request.fetching:
            self.replication.sent(request, node)

    def _attempt_timeout(self, request: Request, node: Node) -> int:
        """Return the time-out of an attempt, 0 for none, and store when its answer counts as lost."""
        overall, aim = (
            self.fetches.response_time if request.fetching else self._response_time,
            request.cls.aim,
        )
        of_node = node.response_time
        mean, deviation = max(overall.mean, of_node.mean), max(overall.deviation, of_node.deviation)
        request.lost_after = int(min(mean + deviation * TIMEOUT_DEVIATIONS, aim * MAX_TIMEOUT_AIM_SHARE))
        slow = mean + deviation * TIMEOUT_DEVIATIONS / 2 > aim * SLOW_AIM_SHARE
        first = not request.refetching if request.fetching else request.sends == 1
        return 0 if slow or not first or not may_repeat(request) else request.lost_after

    def _may_try(self, request: Request) -> bool:
        """Whether a request has time and attempts left for one more attempt."""
        return request.sends < request.attempts and self._now < request.deadline

    def _route(self, request: Request) -> None:
        """Send a request's next attempt to a cache server, or to the origin if none can serve it."""
        if not self._may_try(request):
            self._give_up(request, Reason.TRIES_SPENT)
            return
        # A further server, which does not own the key, would miss and leave no attempt for a fetch.
        last_attempt = 0 < request.sends == request.attempts - 1 and self.origins.nodes
        choice = Reason.NO_SERVER if last_attempt else self.placement.place(request, self._now)
        if isinstance(choice, Node):
            self._send(request, choice)
        elif isinstance(choice, Suspected):
            self._send(request, choice.node, int(request.cls.aim * MAX_TIMEOUT_AIM_SHARE))
        elif choice is Reason.NO_SERVER:
            self._missed(request)
        else:
            self._give_up(request, choice)

    def _missed(self, request: Request) -> None:
        """Fetch a request from the origin, or let it wait for another request's fetch of the same key."""
        if not request.write and (reason := self.replication.refusal_reason(request, self._now)):
            self._give_up(request, reason)
        elif self.replication.bypasses_coalescing(request) or not self.fetches.join(request):
            self._fetch(request)
        else:
            self._wait(request, request.deadline - self._now)

    def _fetch(self, request: Request) -> None:
        """Send a request to the origin if its limits permit; otherwise wait, if it is a write, or give up."""
        request.waiting = False
        origins = self.replication.origins(self.origins.rank(request.slot, self._now), request)
        if not origins or not self._may_try(request) or not may_send(request, origins[0], self._now):
            self._give_up(request, Reason.TRIES_SPENT if origins else Reason.NO_ORIGIN)
            return
        reason = self.fetches.admit(request, origins[0], self._now)
        if reason is None:
            request.fetching = True
            self._send(request, origins[0])
        elif reason is Reason.ORIGIN_BUSY:
            self._wait(request, request.deadline - self._now)
        else:
            self._give_up(request, reason)

    def _stream_started(self, request: Request) -> None:
        """Stop counting an attempt as server load once its answer has begun, except for streamed classes.

        Danger: counted to the last byte, long values read by slow clients filled the limits of idle servers.
        """
        if request.node is not None and request.counts_as_load and not request.cls.streamed:
            request.counts_as_load = False
            request.node.load -= 1

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        """Learn from the outcome of an attempt, and answer, retry, fetch or give up its request."""
        request = self.requests.get(event.request)
        if request is None or request.node is None:
            return
        node, fetched, outcome = request.node, request.fetching, event.outcome
        request.in_flight = request.fetching = False
        node.load -= request.counts_as_load
        request.counts_as_load = False
        # Danger: with the router's own delay included, all servers look late whenever this router is slow.
        took = max(event.latency - max(event.lag, self.overload.lag), 0)
        late = took > request.cls.aim
        # Danger: servers may close idle connections at any time; counted, this ejects healthy ones.
        stale_connection = event.connection_reused and outcome is Outcome.RESET
        self.replication.ended(request, node, event, fetched, self._now)
        self._learn(request, node, event, fetched, took)
        if fetched:
            self.fetches.ended(node, event, late, self._now)
            for waiter in self.fetches.releasable_writes(node):
                self._fetch(waiter)
        elif not stale_connection:
            self._record_outcome(request, node, event, took)
        if not event.never_ran and request.possible_effect_node is None:
            record_possible_effect(request, node)
        if event.broke_off:
            request.deadline = request.not_after = max(request.deadline, event.resume_until)
        if event.closed or request.done:
            self._finish(request, stored=fetched and outcome is Outcome.OK)
        elif outcome is Outcome.MISS and not fetched and self.settings.origin_kind is not None:
            if self.replication.missed(request, node, self._now):
                request.failed = (*request.failed, node)
                self._route(request)
            else:
                self._missed(request)
        elif outcome is Outcome.OK:
            pass  # a write whose answer is deferred until its copies are invalidated
        elif fetched:
            self._fetch_failed(request, outcome, late, stale_connection or event.broke_off)
        else:
            # A server whose only fault is one unanswered attempt that was not late is tried once more.
            if outcome not in UNANSWERED or late or node.unanswered_in_a_row > 1:
                request.failed = (*request.failed, node)
            self._route(request)

    def _learn(self, request: Request, node: Node, event: api.AttemptEnded, fetched: bool, took: int) -> None:
        """Update the response-time statistics and the server's weight from an attempt and its load report."""
        if event.outcome in INFORMATIVE_OUTCOMES and not request.write:
            busy = request.rate_limiter.in_use(self._now) if fetched else node.limit.busy
            node.timeliness.learn(took, event.outcome in ANSWERED, busy, self._now)
            if not fetched:
                self.placement.learn(took, event.outcome, self._now)
        if event.load and not fetched:
            self._weights.learn(node, event.load, request.cls.aim, request.sent_at, self._now)

    def _record_outcome(self, request: Request, node: Node, event: api.AttemptEnded, took: int) -> None:
        """Record an attempt's outcome in the cache server's state and in the outlier detection."""
        if event.outcome in ANSWERED:
            node.response_time.add_sample(event.latency)
            self._response_time.add_sample(event.latency)
        # Danger: if short time-outs counted, clients with little time left would make every server look
        # unresponsive, and an overloaded router would mistake its own delay for theirs.
        cut_short = event.outcome is Outcome.TIMEOUT and took < request.lost_after
        outcome = Outcome.CANCELLED if cut_short else event.outcome
        node.record_outcome(outcome, took, request.cls.aim, request.sent_at, self._now)
        if self.caches.nodes.get(node.entry.id) is not node:
            return
        change = self.outliers.record_outcome(node, request.id, outcome, request.sent_at, self._now)
        if change is not None:
            self._actions.append(api.Log(change.message))
            if change.readmitted:
                node.limit = Limit(self._now)

    def _fetch_failed(self, request: Request, outcome: Outcome, late: bool, repeat: bool) -> None:
        """Retry a failed write after a pause; give up a failed read, which the client may retry.

        Not retrying reads limits the load on the origin. A lost attempt (a stale connection or an early
        time-out) is repeated once without a pause, as it shows no fault of the origin; so is one whose
        client has a part of the value (`repeat` stands for this and the stale connection).
        """
        if (repeat or (outcome is Outcome.TIMEOUT and not late)) and not request.refetching:
            request.refetching = True
            self._fetch(request)
            return
        pause = int(self.fetches.response_time.mean * self._rng.uniform(0.5, 1.5))
        if request.write and self._now + pause < request.deadline and outcome is not Outcome.TIMEOUT:
            self._wait(request, pause)
        else:
            self._give_up(request, Reason.ORIGIN_FAILED)

    def _end_coalesced(self, request: Request, stored: bool) -> None:
        """End a coalesced fetch: its waiters are routed to the cache again, or one becomes the new leader."""
        for waiter in self.fetches.end_coalesced(request):
            if not waiter.done:
                waiter.waiting = False
                (self._route if stored else self._missed)(waiter)

    def _wait(self, request: Request, delay: int) -> None:
        """Let a request wait, and set a timer after which it continues or is given up."""
        request.waiting = True
        self._actions.append(api.SetTimer(delay, timer_tokens.waiting_request(request.id)))

    def _give_up(self, request: Request, reason: Reason) -> None:
        """Refuse a request, or fail it if it may have had an effect that a retry would repeat."""
        self.given_up.add((request.rate_limiter.name, reason.value), self._now)
        if may_refuse(request):
            wait = int(self._rng.uniform(0.5, 1.0) * self.settings.max_retry_after)
            self._actions.append(api.Refuse(request.id, wait if self.settings.retry_after else 0, reason))
        else:
            self._actions.append(api.Fail(request.id, reason))
        self._finish(request)

    def _finish(self, request: Request, stored: bool = False) -> None:
        """Record that a request has its final answer; forget it once no attempt is in flight.

        `stored` says whether its fetch has filled the cache.
        """
        if not request.done:
            self.replication.done(request, stored, self._now)
        request.done, request.waiting = True, False
        if not request.in_flight:
            del self.requests[request.id]
        if request.leader and not request.in_flight:  # waiters still need a fetch whose client left
            self._end_coalesced(request, stored)
