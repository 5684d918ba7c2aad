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
from saltport.failover.messages import PARTS, Ask, Known, Message, Order, Ordered, Plan, Report, Row
from saltport.failover.plans import MS, bits
from saltport.failover.settings import FailoverSettings

PASSED_ON, PASSED_AGAIN = (
    3,
    2,
)  # routers to whom a new plan is passed on at once, and what is known each second
ORDER_AGAIN = 500 * MS
ORDER_FOR = 5_000 * MS
MOST_ORDERS = 32


class Agent:
    """The rules for one router."""

    def __init__(
        self, name: str, topology: Topology, settings: FailoverSettings, rng: random.Random, now: int,
        may: Callable[[int], int | None], warm: int = 0, admit: Callable[[int], bool] = lambda epoch: True,
    ) -> None:  # fmt: skip
        """`may`: the epoch under which this router may decide at a time, if it may; `warm`: nanoseconds in
        which a cold server gets warm; `admit`: whether a plan of an epoch may be applied."""
        self.name, self.topology, self.settings, self._rng = name, topology, settings, rng
        self.follower = Follower(topology, settings, admit)
        self.decider: Decider | None = None
        self._may, self._warm = may, warm
        self._live: Sequence[str] = ()
        self._messages: list[tuple[str, Message]] = []
        self._reported = now
        self._decide_at = now
        self._tell_at = self._pass_at = now
        self._learning: tuple[int, int] | None = None
        """Of a new owner: its epoch, and until when it asks."""
        self._ask_at = now
        self._orders: dict[int, tuple[Order, int, int]] = {}
        """Under way: the order, when it was given, and when it was sent last."""
        self._made = rng.getrandbits(32)
        self.ordered: dict[int, Ordered] = {}

    def take(self) -> list[tuple[str, Message]]:
        """What is to be sent now, and to whom."""
        messages, self._messages = self._messages, []
        return messages

    def _send(self, to: str, message: Message) -> None:
        if to != self.name:
            self._messages.append((to, message))

    def _to_all(self, message: Message) -> None:
        for name in self._live:
            self._send(name, message)

    # Time

    def turn(self, live: Sequence[str], now: int) -> None:
        """Time has passed; `live`: the names of all routers that live."""
        self._live = live
        epoch = self._may(now)
        if epoch is not None and (self.decider is None or self.decider.epoch != epoch):
            self._begin(epoch, now)
        decider = self._deciding(now)
        if decider is not None and now >= self._decide_at:
            self._decide_at = now + self.settings.decide
            plan = decider.turn(now)
            if plan is not None:
                self._tell(plan, now)
            elif now >= self._tell_at:
                self._tell_again(decider, now)
        if now >= self._pass_at:
            self._pass_at = now + self.settings.tell
            self._pass_on(PASSED_AGAIN, now)
        self._order_again(now)

    def _pass_on(self, most: int, now: int) -> None:
        """Tell some others what is known here: a cut link must keep neither a plan nor its maker's word."""
        plan = self.follower.aged(now)
        if plan is not None:
            others = [name for name in self._live if name not in (self.name, plan.by)]
            for name in self._rng.sample(others, min(most, len(others))):
                self._send(name, plan)

    def _deciding(self, now: int) -> Decider | None:
        """Danger: asked before each effect: this process may have stood still since the last look."""
        if self.decider is not None and self.decider.epoch != self._may(now):
            self.decider = None
        if self._learning is not None and self._learning[0] != self._may(now):
            self._learning = None
        return self.decider

    def _begin(self, epoch: int, now: int) -> None:
        """Ask all for the latest plan first: what operators ordered stands there and nowhere else.

        Danger: a process that has just started knows few others: were most of those enough, it might begin
        with no plan at all. So it asks for the whole time, and each time all that it knows by then.
        """
        self.decider = None
        if self._learning is None or self._learning[0] != epoch:
            self._learning, self._ask_at = (epoch, now + self.settings.learn), now
        if now >= self._ask_at:
            self._ask_at = now + ORDER_AGAIN
            self._to_all(Ask(epoch))
        if now >= self._learning[1]:
            self._learning = None
            self.decider = Decider(
                self.name, self.topology, self.settings, self.follower, epoch, now, self._warm
            )

    def _learn(self, answer: Known, now: int) -> None:
        asked = self._learning is not None and answer.epoch == self._learning[0] == self._may(now)
        if asked and answer.plan is not None and answer.plan.epoch < answer.epoch:
            self.follower.inherit(answer.plan, now)

    def _tell(self, plan: Plan, now: int) -> None:
        self.follower.hear(plan, now)
        self._tell_at = now + self.settings.tell
        self._to_all(plan)

    def _tell_again(self, decider: Decider, now: int) -> None:
        """The owner's word that its plan still holds."""
        plan = self.follower.plan
        if plan is not None and plan.epoch == decider.epoch:
            self._tell_at = now + self.settings.tell
            self.follower.keep(now)
            told = self.follower.aged(now)
            assert told is not None
            self._to_all(told)

    # Reports

    def report_due(self, now: int) -> bool:
        """Whether it is time to tell what was found."""
        return now - self._reported >= self.settings.report

    def report(self, found: Evidence, now: int) -> None:
        """Tell the owner what was found since the last report."""
        span, self._reported = max((now - self._reported) // MS, 1), now
        plan = self.follower.plan
        rows = tuple(
            Row(z.listed, z.usable, z.answered, z.silent, z.full, z.late, z.missed) for z in found.zones
        )
        origins = tuple((good, silent) for good, silent in found.origins)
        epoch, number = plan.age if plan else (0, 0)
        told = Report(
            self.topology.digest, self.topology.own_zone, epoch, number, span, found.demand, found.refused,
            rows, origins,
        )  # fmt: skip
        if span > 4 * self.settings.report // MS:
            return  # it stood still: what it found is old news
        decider = self._deciding(now)
        if decider is not None:
            decider.board.hear(self.name, told, now)
        elif plan is not None:
            self._send(plan.by, told)

    # Messages

    def receive(self, sender: str, message: Message, now: int) -> None:
        """Take what another router says."""
        match message:
            case Report():
                self._reported_by(sender, message, now)
            case Plan():
                self._hear(message, now)
            case Ask():
                self._send(sender, Known(message.epoch, self.follower.aged(now)))
            case Known():
                self._learn(message, now)
            case Order():
                self._asked(sender, message, now)
            case Ordered():
                if self._orders.pop(message.id, None) is not None:
                    self._note(message)

    def _hear(self, plan: Plan, now: int) -> None:
        if self.follower.hear(plan, now):
            self._pass_on(PASSED_ON, now)

    def _reported_by(self, sender: str, report: Report, now: int) -> None:
        decider = self._deciding(now)
        if decider is None:
            return
        decider.board.hear(sender, report, now)
        plan = self.follower.aged(now)
        if plan is not None and (report.epoch, report.number) < plan.age and plan.epoch == decider.epoch:
            self._send(sender, plan)

    # Orders

    def order(self, what: str, zone: int, way_ms: int, force: bool, now: int) -> int:
        """Have an order carried out by the owner, wherever it is; its number, for `ordered`."""
        self._made += 1
        asked = Order(self._made & 0xFFFFFFFF, what, zone, way_ms, force)
        if len(self._orders) >= MOST_ORDERS:
            self._note(Ordered(asked.id, "too many orders are under way"))
            return asked.id
        self._orders[asked.id] = asked, now, now - ORDER_AGAIN
        self._order_again(now)
        return asked.id

    def _note(self, answer: Ordered) -> None:
        self.ordered[answer.id] = answer
        while len(self.ordered) > MOST_ORDERS:
            del self.ordered[next(iter(self.ordered))]

    def _order_again(self, now: int) -> None:
        """Until it is answered: the owner may be another one meanwhile, and takes each order once."""
        for number, (asked, given, sent) in list(self._orders.items()):
            plan = self.follower.plan
            if self._deciding(now) is not None:
                del self._orders[number]
                self._asked(self.name, asked, now)
            elif now - given > ORDER_FOR:
                del self._orders[number]
                self._note(Ordered(number, "no owner answers"))
            elif plan is not None and now - sent >= ORDER_AGAIN:
                self._orders[number] = asked, given, now
                self._send(plan.by, asked)

    def _asked(self, sender: str, asked: Order, now: int) -> None:
        decider = self._deciding(now)
        if decider is None:
            return
        answer, plan = decider.order(sender, asked, now)
        if plan is not None:
            self._tell(plan, now)
        if sender == self.name:
            self._note(answer)
        else:
            self._send(sender, answer)

    # What holds

    def told(self, now: int) -> ZonePlan | None:
        """For this router's decisions."""
        return self.follower.told(now)

    def view(self, now: int) -> dict[str, object]:
        """For operators."""
        plan, topology, follower = self.follower.plan, self.topology, self.follower
        zones = topology.zones
        matrix = follower.matrix(now)
        state = "near first: nothing was decided yet"
        if plan is not None:
            state = "by plan" if follower.holds(now) else "on its own: the owner is silent"
        told: dict[str, object] = {
            "state": state,
            "here": topology.here,
            "shares": {
                zone: {to: round(share, 3) for to, share in zip(zones, matrix[place], strict=True)}
                for place, zone in enumerate(zones)
            },
            "refused_plans": follower.refused,
            "deciding": None if self.decider is None else self.decider.view(now),
        }
        if plan is not None:
            told["plan"] = {
                "epoch": plan.epoch,
                "number": plan.number,
                "by": plan.by,
                "why": plan.why,
                "age_s": round((now - follower.made_at) / 1e9, 1),
                "silent_s": round(follower.silent_for(now) / 1e9, 1),
                "way_s": plan.way_ms / 1e3,
                "bad": bad_paths(plan, topology),
                "out": [zones[place] for place in bits(plan.out, len(zones))],
                "frozen": plan.frozen,
                "refused": {zone: parts / PARTS for zone, parts in zip(zones, plan.refused, strict=True)},
                "origins": {
                    area: topology.distinct_regions[served]
                    for area, served in zip(topology.distinct_regions, plan.origins, strict=True)
                },
            }
        return told
