"""The rules against double effects, for all combinations of effect, scope, history, time and place."""

from __future__ import annotations

import random
from itertools import product

import pytest

from saltport.decisions.effects import may_refuse, may_repeat, may_send, record_possible_effect
from saltport.decisions.health import Node
from saltport.decisions.interface import DedupScope, Effect, RequestArrived, RequestClass, Server, Tenant
from saltport.decisions.request import Request
from saltport.decisions.suppression import Suppressor
from tests.decisions.helpers import S

FIRST = Server("first", zone="a", cell=1)
PLACES = {
    "same server": FIRST,
    "same cell": Server("neighbour", zone="a", cell=1),
    "same zone": Server("zonal", zone="a", cell=2),
    "elsewhere": Server("far", zone="b", cell=1),
}
IN_GROUP = {
    DedupScope.ALL: {"same server", "same cell", "same zone", "elsewhere"},
    DedupScope.ZONE: {"same server", "same cell", "same zone"},
    DedupScope.CELL: {"same server", "same cell"},
}
WINDOW_END = 2 * S
TIMES = {"inside": WINDOW_END - 1, "at its end": WINDOW_END, "after": WINDOW_END + 1}


def request(effect: Effect, group: DedupScope, ran: bool) -> Request:
    cls = RequestClass("c", S, 4 * S, effect, group, WINDOW_END)
    limiter = Suppressor(Tenant("t", 1.0), 1, random.Random(1))
    made = Request(RequestArrived("r", "c", 4 * S), cls, limiter, 4)
    if ran:
        record_possible_effect(made, Node(FIRST, False))
    return made


@pytest.mark.parametrize("sent_at", [0, S, 3 * S])
def test_repeats_are_dropped_from_the_first_send_on_and_never_past_the_deadline(sent_at: int) -> None:
    made = request(Effect.KEYED, DedupScope.ALL, ran=False)
    made.sent_at = sent_at
    record_possible_effect(made, Node(FIRST, False))
    assert made.not_after == min(sent_at + WINDOW_END, made.deadline)
    safe = request(Effect.SAFE, DedupScope.ALL, ran=True)
    assert safe.not_after == safe.deadline


@pytest.mark.parametrize(("effect", "group", "ran"), list(product(Effect, DedupScope, (False, True))))
def test_attempts_and_refusals(effect: Effect, group: DedupScope, ran: bool) -> None:
    asked = request(effect, group, ran)
    for (place, server), (time, now) in product(PLACES.items(), TIMES.items()):
        if not ran or effect is Effect.SAFE:
            allowed = True
        elif effect is Effect.UNSAFE:
            allowed = False
        else:
            allowed = time == "inside" and place in IN_GROUP[group]
        assert may_send(asked, Node(server, False), now) is allowed, (place, time)
    harmless = effect is Effect.SAFE or (effect is Effect.KEYED and group is DedupScope.ALL)
    assert may_repeat(asked) is harmless
    assert may_refuse(asked) is (harmless or not ran)
