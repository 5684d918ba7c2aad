"""One router's part in failover: it reports, follows, passes plans on, decides while it is the owner. No I/O.

Whoever drives it gives messages, the time and what it found, and sends what `take` gives.
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

FORWARD_NEW, FORWARD_PERIODIC = (
    3,
    2,
)  # routers to whom a new plan is passed on at once, and what is known each second
ORDER_RETRY_NS = 500 * NS_PER_MS
ORDER_TIMEOUT_NS = 5_000 * NS_PER_MS
MAX_ORDERS = 32


class Agent:
    """The rules for one router."""

    def __init__(
        self, name: str, topology: Topology, settings: FailoverSettings, rng: random.Random, now: int,
        current_epoch: Callable[[int], int | None], warm_up_ns: int = 0,
        admit: Callable[[int], bool] = lambda epoch: True,
    ) -> None:  # fmt: skip
        """`may`: the epoch under which this router may decide at a time, if it may; `warm`: nanoseconds in
        which a cold server gets warm; `admit`: whether a plan of an epoch may be applied."""
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
        """Of a new owner: its epoch, and until when it asks."""
        self._query_at = now
        self._orders: dict[int, tuple[Order, int, int]] = {}
        """Under way: the order, when it was given, and when it was sent last."""
        self._last_order_id = rng.getrandbits(32)
        self.order_results: dict[int, OrderResult] = {}

    def take_messages(self) -> list[tuple[str, Message]]:
        """What is to be sent now, and to whom."""
        messages, self._messages = self._messages, []
        return messages

    def _send(self, to: str, message: Message) -> None:
        if to != self.name:
            self._messages.append((to, message))

    def _broadcast(self, message: Message) -> None:
        for name in self._live_routers:
            self._send(name, message)

    # Time

    def tick(self, live_routers: Sequence[str], now: int) -> None:
        """Time has passed; `live`: the names of all routers that live."""
        self._live_routers = live_routers
        epoch = self._current_epoch(now)
        if epoch is not None and (self.decider is None or self.decider.epoch != epoch):
            self._begin_tenure(epoch, now)
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
        """Tell some others what is known here: a cut link must keep neither a plan nor its maker's word."""
        plan = self.follower.plan_to_forward(now)
        if plan is not None:
            others = [name for name in self._live_routers if name not in (self.name, plan.owner)]
            for name in self._rng.sample(others, min(count, len(others))):
                self._send(name, plan)

    def _current_decider(self, now: int) -> Decider | None:
        """Danger: asked before each effect: this process may have stood still since the last look."""
        if self.decider is not None and self.decider.epoch != self._current_epoch(now):
            self.decider = None
        if self._query is not None and self._query[0] != self._current_epoch(now):
            self._query = None
        return self.decider

    def _begin_tenure(self, epoch: int, now: int) -> None:
        """Ask all for the latest plan first: what operators ordered stands there and nowhere else.

        Danger: a process that has just started knows few others: were most of those enough, it might begin
        with no plan at all. So it asks for the whole time, and each time all that it knows by then.
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
        expected = self._query is not None and answer.epoch == self._query[0] == self._current_epoch(now)
        if expected and answer.plan is not None and answer.plan.epoch < answer.epoch:
            self.follower.inherit(answer.plan, now)

    def _announce(self, plan: Plan, now: int) -> None:
        self.follower.receive(plan, now)
        self._announce_at = now + self.settings.plan_interval_ns
        self._broadcast(plan)

    def _confirm_plan(self, decider: Decider, now: int) -> None:
        """The owner's word that its plan still holds."""
        plan = self.follower.plan
        if plan is not None and plan.epoch == decider.epoch:
            self._announce_at = now + self.settings.plan_interval_ns
            self.follower.confirm(now)
            confirmed = self.follower.plan_to_forward(now)
            assert confirmed is not None
            self._broadcast(confirmed)

    # Reports

    def report_due(self, now: int) -> bool:
        """Whether it is time to tell what was found."""
        return now - self._reported_at >= self.settings.report_interval_ns

    def report(self, evidence: Evidence, now: int) -> None:
        """Tell the owner what was found since the last report."""
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
            self.topology.digest, self.topology.mine, epoch, number, span_ms, evidence.demand,
            evidence.refused, zone_reports, origins,
        )  # fmt: skip
        if span_ms > 4 * self.settings.report_interval_ns // NS_PER_MS:
            return  # it stood still: what it found is old news
        decider = self._current_decider(now)
        if decider is not None:
            decider.reports.receive(self.name, message, now)
        elif plan is not None:
            self._send(plan.owner, message)

    # Messages

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Take what another router says."""
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
        if self.follower.receive(plan, now):
            self._forward_plan(FORWARD_NEW, now)

    def _on_report(self, sender: str, report: Report, now: int) -> None:
        decider = self._current_decider(now)
        if decider is None:
            return
        decider.reports.receive(sender, report, now)
        plan = self.follower.plan_to_forward(now)
        if plan is not None and (report.epoch, report.number) < plan.version and plan.epoch == decider.epoch:
            self._send(sender, plan)

    # Orders

    def order(self, action: str, zone: int, transition_ms: int, force: bool, now: int) -> int:
        """Have an order carried out by the owner, wherever it is; its number, for `ordered`."""
        self._last_order_id += 1
        order = Order(self._last_order_id & 0xFFFFFFFF, action, zone, transition_ms, force)
        if len(self._orders) >= MAX_ORDERS:
            self._store_result(OrderResult(order.id, "too many orders are under way"))
            return order.id
        self._orders[order.id] = order, now, now - ORDER_RETRY_NS
        self._resend_orders(now)
        return order.id

    def _store_result(self, answer: OrderResult) -> None:
        self.order_results[answer.id] = answer
        while len(self.order_results) > MAX_ORDERS:
            del self.order_results[next(iter(self.order_results))]

    def _resend_orders(self, now: int) -> None:
        """Until it is answered: the owner may be another one meanwhile, and takes each order once."""
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

    # What holds

    def zone_plan(self, now: int) -> ZonePlan | None:
        """For this router's decisions."""
        return self.follower.zone_plan(now)

    def view(self, now: int) -> dict[str, object]:
        """For operators."""
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
                    area: topology.areas[served]
                    for area, served in zip(topology.areas, plan.origins, strict=True)
                },
            }
        return view
