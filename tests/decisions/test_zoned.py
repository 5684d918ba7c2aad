"""Reads across zones: by distance, by a plan, around ejected servers; refusals by rank; origins by region."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

from saltport.decisions import (
    AttemptEnded,
    Effect,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Router,
    Send,
    Server,
    ServersChanged,
    Settings,
    Tenant,
    ZonePlan,
)
from saltport.decisions.topology import Topology
from saltport.decisions.zoned import ZonedReplication, slot_position

MS, S = 1_000_000, 1_000_000_000
TOPOLOGY = Topology(
    ("a", "b", "c"), "a", ("w", "w", "e"), {(0, 1): 1, (0, 2): 9, (1, 2): 9}, (("w", "ow"), ("e", "oe"))
)
SETTINGS = Settings(
    classes=(
        RequestClass("get", 300 * MS, S),
        RequestClass("put", 300 * MS, S, Effect.KEYED, dedup_window=5 * S),
        RequestClass("raw", 300 * MS, S, Effect.UNSAFE),
    ),
    tenants=(Tenant("t", 0.9), Tenant("u", 0.1)),
    origin_kind="origin", retry_after=True, topology=TOPOLOGY,
)  # fmt: skip


class Rig:
    """A router whose attempts are ended by the test."""

    def __init__(self, topology: Topology = TOPOLOGY, nodes: int = 12) -> None:
        self.router, self.now, self.count = Router(replace(SETTINGS, topology=topology), 1), S, 0
        servers = [Server(f"{'abc'[n % 3]}{n}", "std", zone="abc"[n % 3]) for n in range(nodes)]
        origins = (Server("ow", "origin", zone="a"), Server("oe", "origin", zone="c"))
        self.handle(ServersChanged(ListKind.FULL, (*servers, Server("x1", "std", zone="q"), *origins)))

    def handle(self, event: Any) -> list[Any]:
        return self.router.handle(event, self.now)

    def ask(self, key: str, cls: str = "get", **more: Any) -> list[Any]:
        self.count += 1
        self.now += MS
        write = cls != "get"
        return self.handle(RequestArrived(f"r{self.count}", cls, self.now + S, "t", key, write, **more))

    def end(self, actions: list[Any], outcome: Outcome) -> list[Any]:
        send = next(action for action in actions if isinstance(action, Send))
        closed = outcome is Outcome.OK
        return self.handle(AttemptEnded(send.request, 0, send.server, outcome, closed, 20 * MS))

    def ends_well(self, count: int, **more: Any) -> Counter[str]:
        """Return the number of reads by the zone that serves them."""
        found: Counter[str] = Counter()
        for number in range(count):
            actions = self.ask(f"k{number}", **more)
            if isinstance(actions[0], Send):
                found[actions[0].server[0]] += 1
                self.end(actions, Outcome.OK)
            else:
                found["refused"] += 1
        return found


def test_reads_stay_near_and_a_plan_moves_just_its_share_of_the_slots() -> None:
    rig = Rig()
    assert rig.ends_well(300) == {"a": 300}
    before = {f"k{n}": server(rig, f"k{n}") for n in range(300)}
    rig.handle(ZonePlan((0.7, 0.3, 0.0)))
    after = {key: server(rig, key) for key in before}
    moved = {key for key in before if after[key] != before[key]}
    assert 60 < len(moved) < 120
    assert {after[key][0] for key in moved} == {"b"}
    rig.handle(ZonePlan((0.4, 0.6, 0.0)))
    later = {key: server(rig, key) for key in before}
    assert all(later[key] == after[key] for key in moved)  # a growing share keeps its slots


def server(rig: Rig, key: str) -> str:
    actions = rig.ask(key)
    rig.end(actions, Outcome.OK)
    send = actions[0]
    assert isinstance(send, Send)
    return send.server


def test_what_moves_comes_to_the_servers_that_the_zone_s_own_reads_use() -> None:
    near_b, far = Rig(replace(TOPOLOGY, here="b")), Rig()
    far.handle(ZonePlan((0.0, 1.0, 0.0)))
    assert all(server(near_b, f"k{n}") == server(far, f"k{n}") for n in range(100))
    assert (
        0
        <= min(slot_position(slot) for slot in range(1_000))
        < 0.01
        < 0.99
        < max(slot_position(n) for n in range(1_000))
        < 1
    )


def test_a_full_zone_does_not_spill_by_a_router_s_own_choice_while_a_plan_binds() -> None:
    for binding, there in ((True, {"a"}), (False, {"a", "b", "c", "x"})):
        rig = Rig()
        rig.handle(ZonePlan((1.0, 0.0, 0.0), binding=binding))
        request = rig.router.requests
        actions = rig.ask("k")
        opened = request[actions[0].request]
        opened.sends = 0  # as if it had not been sent yet
        found = {node.entry.id[0] for node in rig.router.replication.candidates(opened, rig.now)}
        assert found == there


def test_a_failure_goes_to_the_next_zone_and_an_evacuated_one_gets_nothing() -> None:
    rig = Rig(nodes=6)
    rig.handle(ZonePlan((1.0, 0.0, 0.0), closed=(1,)))
    tried = []
    actions = rig.ask("k")
    for _ in range(3):
        tried.append(actions[0].server)
        actions = rig.end(actions, Outcome.CONNECT_FAILED)
    assert [name[0] for name in tried] == ["a", "a", "c"]


def test_a_bad_zone_is_asked_now_and_then_by_first_tries_of_reads_only() -> None:
    rig = Rig()
    rig.handle(ZonePlan((0.0, 1.0, 0.0), trials=(0,), trial=0.05))
    assert 25 < rig.ends_well(1_000)["a"] < 80
    assert rig.ends_well(500, retry=True) == {"b": 500}


def test_what_has_no_room_is_refused_retries_first_then_tenants_beyond_their_portion() -> None:
    rig = Rig()
    rig.handle(ZonePlan((1.0, 0.0, 0.0), refused=0.25))
    ends: Counter[tuple[str, bool, bool]] = Counter()
    for number in range(4_000):
        retry, tenant = number % 5 == 0, "u" if number % 2 else "t"
        rig.count, rig.now = rig.count + 1, rig.now + MS
        arrived = RequestArrived(f"r{rig.count}", "get", rig.now + S, tenant, f"k{number}", retry=retry)
        actions = rig.handle(arrived)
        refused = isinstance(actions[0], Refuse)
        ends[tenant, retry, refused] += 1
        if not refused:
            rig.end(actions, Outcome.OK)
    assert 0.2 < sum(n for (_, _, refused), n in ends.items() if refused) / 4_000 < 0.3
    assert ends["t", True, True] > 300 > 100 > ends["t", True, False]  # of 400
    assert ends["t", False, True] < 80  # of 1,600
    evidence = rig.router.replication.take_evidence()
    assert evidence is not None
    assert (evidence.demand, evidence.refused > 800) == (3_200, True)
    assert isinstance(rig.ask("k", "put")[0], Send)  # the plan never refuses writes


def test_origins_go_by_region_and_a_write_that_may_have_run_never_changes_its_origin() -> None:
    rig = Rig()
    assert rig.ask("k", "put")[0].server == "ow"
    actions = rig.ask("k", "raw")
    rig.handle(ZonePlan((1.0, 0.0, 0.0), origins=(1, 0), lost=True))
    assert rig.ask("k2", "put")[0].server == "oe"
    again = rig.end(actions, Outcome.RESET)
    assert not any(isinstance(action, Send) and action.server == "oe" for action in again)
    evidence = rig.router.replication.take_evidence()
    assert evidence is not None
    assert evidence.origins == [[0, 1], [0, 0]]


def test_evidence_tells_silence_from_refusal_and_leaves_short_patience_out() -> None:
    rig = Rig()
    for outcome in (Outcome.OK, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MISS, Outcome.TIMEOUT):
        rig.end(rig.ask("k1"), outcome)
        rig.now += 10 * MS
    replication = rig.router.replication
    assert isinstance(replication, ZonedReplication)
    found = replication.take_evidence()
    here = found.zones[0]
    assert (here.listed, here.usable) == (4, 4)
    assert (here.answered, here.full, here.missed) == (2, 1, 1)
    assert here.silent in (1, 2)
    assert replication.take_evidence().zones[0].attempts == 0


def test_servers_of_no_zone_are_the_last_resort() -> None:
    rig = Rig(replace(TOPOLOGY, zones=("d", "e", "f"), here="d", regions=("", "", ""), origins=()))
    found = rig.ends_well(50)
    assert sum(found.values()) == 50
    assert found["refused"] == 0
