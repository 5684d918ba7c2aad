"""The failover protocol of one router: it reports evidence, follows and forwards plans. No I/O.

While this router owns the failover task, it also computes the plans: it is then called the owner. The caller
passes in received messages, the time and the evidence, and sends the messages that `Agent.take_messages`
returns.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from saltport.decisions.interface import ZonePlan
from saltport.decisions.topology import Evidence, Topology
from saltport.failover.decider import Decider, bad_paths
from saltport.failover.follower import Follower
from saltport.failover.messages import (
    SHARE_SCALE,
    Message,
    Order,
    OrderResult,
    Plan,
    PlanQuery,
    PlanReply,
    Report,
    ZoneReport,
)
from saltport.failover.plans import NS_PER_MS, bit_positions
from saltport.failover.settings import FailoverSettings

# Number of routers to which a new plan is forwarded at once, and to which the latest plan is sent
# periodically.
FORWARD_NEW, FORWARD_PERIODIC = 3, 2
ORDER_RETRY_NS = 500 * NS_PER_MS  # time after which an unanswered order or plan query is sent again
ORDER_TIMEOUT_NS = 5_000 * NS_PER_MS  # time after which an unanswered order fails
MAX_ORDERS = 32  # limit of a router's unanswered orders, and of its stored order results
# A report that covers more report intervals than this is not sent: the process was suspended meanwhile, so
# the evidence is out of date.
MAX_REPORT_INTERVALS = 4


class Agent:
    """The failover state machine of one router."""

    def __init__(
        self, name: str, topology: Topology, settings: FailoverSettings, rng: random.Random, now: int,
        current_epoch: Callable[[int], int | None], warm_up_ns: int = 0,
        admit: Callable[[int], bool] = lambda epoch: True,
    ) -> None:  # fmt: skip
        """Create the agent of the router `name`.

        `current_epoch` returns the epoch under which this router owns the failover task at the given time, or
        None if it does not own it.
        `warm_up_ns` is how long a cold server takes to warm up. `admit` returns whether plans of an epoch may
        be applied.
        """
        self.name, self.topology, self.settings, self._rng = name, topology, settings, rng
        self.follower = Follower(topology, settings, admit)
        self.decider: Decider | None = None
        self._current_epoch, self._warm_up_ns = current_epoch, warm_up_ns
        self._live_routers: Sequence[str] = ()
        self._messages: list[tuple[str, Message]] = []
        self._reported_at = now
        self._decide_at = now
        self._announce_at = self._forward_at = now
        self._query: tuple[int, int] | None = None
        """While a new owner asks for the latest plan: its epoch and the end of the query, else None."""
        self._query_at = now
        self._orders: dict[int, tuple[Order, int, int]] = {}
        """By id of an unanswered order: the order, when it was submitted, and when it was last sent."""
        self._last_order_id = rng.getrandbits(32)
        self.order_results: dict[int, OrderResult] = {}
        """Results of orders submitted at this router, by order id; the oldest are dropped."""

    def take_messages(self) -> list[tuple[str, Message]]:
        """Return the messages to send, each with the name of its receiver, and clear the queue."""
        messages, self._messages = self._messages, []
        return messages

    def _send(self, to: str, message: Message) -> None:
        """Queue a message for a router, unless it is this one."""
        if to != self.name:
            self._messages.append((to, message))

    def _broadcast(self, message: Message) -> None:
        """Queue a message for all other live routers."""
        for name in self._live_routers:
            self._send(name, message)

    # Time

    def tick(self, live_routers: Sequence[str], now: int) -> None:
        """Do all work that is due at `now`; `live_routers` names all routers that are alive."""
        self._live_routers = live_routers
        epoch = self._current_epoch(now)
        if epoch is not None and (self.decider is None or self.decider.epoch != epoch):
            self._begin_ownership(epoch, now)
        decider = self._current_decider(now)
        if decider is not None and now >= self._decide_at:
            self._decide_at = now + self.settings.decision_interval_ns
            plan = decider.tick(now)
            if plan is not None:
                self._announce(plan, now)
            elif now >= self._announce_at:
                self._confirm_plan(decider, now)
        if now >= self._forward_at:
            self._forward_at = now + self.settings.plan_interval_ns
            self._forward_plan(FORWARD_PERIODIC, now)
        self._resend_orders(now)

    def _forward_plan(self, count: int, now: int) -> None:
        """Send the current plan to some random routers.

        So a plan and the owner's confirmations of it also reach routers that have no working link to the
        owner.
        """
        plan = self.follower.plan_to_forward(now)
        if plan is not None:
            others = [name for name in self._live_routers if name not in (self.name, plan.owner)]
            for name in self._rng.sample(others, min(count, len(others))):
                self._send(name, plan)

    def _current_decider(self, now: int) -> Decider | None:
        """Return the decider if this router still owns the failover task under its epoch, else None.

        Danger: call this before each effect: the process may have been suspended, and its ownership may have
        expired, since the last check.
        """
        if self.decider is not None and self.decider.epoch != self._current_epoch(now):
            self.decider = None
        if self._query is not None and self._query[0] != self._current_epoch(now):
            self._query = None
        return self.decider

    def _begin_ownership(self, epoch: int, now: int) -> None:
        """As a new owner of the failover task, query all routers for the latest plan, then start to decide.

        The plan is the only record of operators' orders, so a new owner must have it before it makes its own.
        Danger: a process that has just started knows few other routers. If answers from a majority of them
        were enough, it might start without any plan. So it queries for the whole period, each time all
        routers that it knows by then.
        """
        self.decider = None
        if self._query is None or self._query[0] != epoch:
            self._query, self._query_at = (epoch, now + self.settings.plan_query_ns), now
        if now >= self._query_at:
            self._query_at = now + ORDER_RETRY_NS
            self._broadcast(PlanQuery(epoch))
        if now >= self._query[1]:
            self._query = None
            self.decider = Decider(
                self.name, self.topology, self.settings, self.follower, epoch, now, self._warm_up_ns
            )

    def _on_plan_reply(self, answer: PlanReply, now: int) -> None:
        """Take over the plan of an earlier epoch that a router sent in answer to the query."""
        expected = self._query is not None and answer.epoch == self._query[0] == self._current_epoch(now)
        if expected and answer.plan is not None and answer.plan.epoch < answer.epoch:
            self.follower.inherit(answer.plan, now)

    def _announce(self, plan: Plan, now: int) -> None:
        """As the owner, apply a plan that this router has just made and send it to all other routers."""
        self.follower.receive(plan, now)
        self._announce_at = now + self.settings.plan_interval_ns
        self._broadcast(plan)

    def _confirm_plan(self, decider: Decider, now: int) -> None:
        """As the owner, confirm to all routers that the current plan is still valid."""
        plan = self.follower.plan
        if plan is not None and plan.epoch == decider.epoch:
            self._announce_at = now + self.settings.plan_interval_ns
            self.follower.confirm(now)
            confirmed = self.follower.plan_to_forward(now)
            assert confirmed is not None
            self._broadcast(confirmed)

    # Reports

    def report_due(self, now: int) -> bool:
        """Whether the next report is due."""
        return now - self._reported_at >= self.settings.report_interval_ns

    def report(self, evidence: Evidence, now: int) -> None:
        """Report the evidence collected since the last report to the owner of the failover task.

        The owner is the router that made the current plan; without a plan there is no one to report to. If it
        is this router, the report goes to its own decider.
        """
        span_ms, self._reported_at = max((now - self._reported_at) // NS_PER_MS, 1), now
        plan = self.follower.plan
        zone_reports = tuple(
            ZoneReport(
                zone.listed, zone.usable, zone.answered, zone.silent, zone.full, zone.late, zone.missed
            )
            for zone in evidence.zones
        )
        origins = tuple((good, silent) for good, silent in evidence.origins)
        epoch, number = plan.version if plan else (0, 0)
        message = Report(
            self.topology.digest, self.topology.own_zone, epoch, number, span_ms, evidence.demand,
            evidence.refused, zone_reports, origins,
        )  # fmt: skip
        if span_ms > MAX_REPORT_INTERVALS * self.settings.report_interval_ns // NS_PER_MS:
            return  # the process was suspended, so the evidence is out of date
        decider = self._current_decider(now)
        if decider is not None:
            decider.reports.receive(self.name, message, now)
        elif plan is not None:
            self._send(plan.owner, message)

    # Messages

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Handle a message from another router."""
        match message:
            case Report():
                self._on_report(sender, message, now)
            case Plan():
                self._on_plan(message, now)
            case PlanQuery():
                self._send(sender, PlanReply(message.epoch, self.follower.plan_to_forward(now)))
            case PlanReply():
                self._on_plan_reply(message, now)
            case Order():
                self._on_order(sender, message, now)
            case OrderResult():
                if self._orders.pop(message.id, None) is not None:
                    self._store_result(message)

    def _on_plan(self, plan: Plan, now: int) -> None:
        """Apply a received plan; forward it if it is new."""
        if self.follower.receive(plan, now):
            self._forward_plan(FORWARD_NEW, now)

    def _on_report(self, sender: str, report: Report, now: int) -> None:
        """As the owner, take a report; a sender that follows an older plan gets the current one."""
        decider = self._current_decider(now)
        if decider is None:
            return
        decider.reports.receive(sender, report, now)
        plan = self.follower.plan_to_forward(now)
        if plan is not None and (report.epoch, report.number) < plan.version and plan.epoch == decider.epoch:
            self._send(sender, plan)

    # Orders

    def order(self, action: str, zone: int, transition_ms: int, force: bool, now: int) -> int:
        """Submit an operator's order to the owner of the failover task; return the order's id.

        The result appears under this id in `order_results`. `zone` is the index of the zone to evacuate or to
        return, `transition_ms` the duration of the move (0: the default); `force` evacuates also where too
        many reads would be refused.
        """
        self._last_order_id += 1
        order = Order(self._last_order_id & 0xFFFFFFFF, action, zone, transition_ms, force)
        if len(self._orders) >= MAX_ORDERS:
            self._store_result(OrderResult(order.id, "too many orders are under way"))
            return order.id
        self._orders[order.id] = order, now, now - ORDER_RETRY_NS
        self._resend_orders(now)
        return order.id

    def _store_result(self, answer: OrderResult) -> None:
        """Store the result of an order of this router; drop the oldest results beyond MAX_ORDERS."""
        self.order_results[answer.id] = answer
        while len(self.order_results) > MAX_ORDERS:
            del self.order_results[next(iter(self.order_results))]

    def _resend_orders(self, now: int) -> None:
        """Send unanswered orders to the owner again until they time out.

        The owner may have changed meanwhile; an owner executes each order only once.
        """
        for number, (order, submitted_at, sent_at) in list(self._orders.items()):
            plan = self.follower.plan
            if self._current_decider(now) is not None:
                del self._orders[number]
                self._on_order(self.name, order, now)
            elif now - submitted_at > ORDER_TIMEOUT_NS:
                del self._orders[number]
                self._store_result(OrderResult(number, "no owner answers"))
            elif plan is not None and now - sent_at >= ORDER_RETRY_NS:
                self._orders[number] = order, submitted_at, now
                self._send(plan.owner, order)

    def _on_order(self, sender: str, order: Order, now: int) -> None:
        """As the owner, execute an order and send its result to the router that sent it."""
        decider = self._current_decider(now)
        if decider is None:
            return
        answer, plan = decider.order(sender, order, now)
        if plan is not None:
            self._announce(plan, now)
        if sender == self.name:
            self._store_result(answer)
        else:
            self._send(sender, answer)

    # State

    def zone_plan(self, now: int) -> ZonePlan | None:
        """Return what the current plan means for this router's zone; None without a plan."""
        return self.follower.zone_plan(now)

    def view(self, now: int) -> dict[str, object]:
        """Return the state of failover at this router as a JSON object for operators."""
        plan, topology, follower = self.follower.plan, self.topology, self.follower
        zones = topology.zones
        matrix = follower.matrix(now)
        state = "near first: nothing was decided yet"
        if plan is not None:
            state = "by plan" if follower.is_binding(now) else "on its own: the owner is silent"
        view: dict[str, object] = {
            "state": state,
            "here": topology.here,
            "shares": {
                zone: {to: round(share, 3) for to, share in zip(zones, matrix[index], strict=True)}
                for index, zone in enumerate(zones)
            },
            "refused_plans": follower.rejected_plans,
            "deciding": None if self.decider is None else self.decider.view(now),
        }
        if plan is not None:
            view["plan"] = {
                "epoch": plan.epoch,
                "number": plan.number,
                "by": plan.owner,
                "why": plan.reason,
                "age_s": round((now - follower.created_at) / 1e9, 1),
                "silent_s": round(follower.owner_silence_ns(now) / 1e9, 1),
                "way_s": plan.transition_ms / 1e3,
                "bad": bad_paths(plan, topology),
                "out": [zones[index] for index in bit_positions(plan.evacuated, len(zones))],
                "frozen": plan.frozen,
                "refused": {
                    zone: parts / SHARE_SCALE for zone, parts in zip(zones, plan.refused, strict=True)
                },
                "origins": {
                    region: topology.distinct_regions[served]
                    for region, served in zip(topology.distinct_regions, plan.origins, strict=True)
                },
            }
        return view
