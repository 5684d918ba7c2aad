"""The parts of membership one by one: records, suspicions, views, gossip, local health, reachability,
messages.
"""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from saltport.peers.agent import MembershipEvent
from saltport.peers.event_log import EventLog
from saltport.peers.gossip_queue import GossipQueue
from saltport.peers.local_health import LocalHealth
from saltport.peers.members import Members
from saltport.peers.messages import (
    Ack,
    Alive,
    Dead,
    Gossip,
    Left,
    Packet,
    Ping,
    State,
    Suspect,
    Update,
    ZoneCut,
    decode,
    encode,
)
from saltport.peers.reach import Reach
from saltport.peers.settings import MAX_DATAGRAM_BYTES, NS_PER_MS, NS_PER_S, PeerSettings
from saltport.peers.suspicion import Suspicion
from saltport.peers.views import QuorumState, Views

SETTINGS = PeerSettings()


def alive(name: str, start: int = 1, incarnation: int = 0, place: int = 0) -> Alive:
    return Alive(name, start, incarnation, place, "a")


def members(*names: str) -> Members:
    table = Members(4, 100)
    for number, name in enumerate(names):
        table.merge(alive(name, place=number), 1)
    return table


numbers = st.integers(0, 3)
updates = st.one_of(
    st.builds(alive, st.sampled_from("xy"), numbers, numbers),
    st.builds(Suspect, st.sampled_from("xy"), numbers, numbers, st.just("z"), numbers),
    st.builds(Dead, st.sampled_from("xy"), numbers, numbers, st.just("z")),
    st.builds(Left, st.sampled_from("xy"), numbers),
)


@given(st.lists(updates, max_size=12), st.randoms(use_true_random=False))
def test_records_end_the_same_in_any_order_and_never_go_back(
    changes: list[Alive | Suspect | Dead | Left], rng: random.Random
) -> None:
    """Each router's own announcement arrives last, as its next refutation would."""
    final: list[Alive | Suspect | Dead | Left] = [alive("x", 3, 9), alive("y", 3, 9)]
    outcomes = []
    for _ in range(3):
        table, seen = members(), dict.fromkeys("xy", (-1, -1, -1))
        rng.shuffle(changes)
        for update in [*changes, *changes[:3], *final]:
            table.merge(update, 1)
            for name, record in table.records.items():
                assert record.order >= seen[name]
                seen[name] = record.order
        outcomes.append((table.digest, {name: r.order for name, r in table.records.items()}))
        recount = 0
        for part in table.part_digests:
            recount ^= part
        assert recount == table.digest
    assert outcomes[0] == outcomes[1] == outcomes[2]


def test_a_departure_is_final_for_its_start() -> None:
    table = members("x")
    table.merge(Left("x", 1), 2)
    for update in (alive("x", 1, 50), Suspect("x", 1, 60, "z", 1), Dead("x", 1, 70, "z")):
        assert table.merge(update, 3) is None
    assert table.merge(alive("x", 2), 4) is not None
    assert table.is_live("x")


def test_rings_give_four_observers_and_change_little() -> None:
    names = [f"r{number}" for number in range(40)]
    table = members(*names)
    observers = {name: {other for other in names if name in table.subjects(other)} for name in names}
    assert all(
        len(observers[name] & set(table.observers(name))) >= 3 for name in names if len(observers[name]) > 3
    )
    assert 3.5 <= sum(map(len, observers.values())) / 40 <= 4
    before = {name: set(table.subjects(name)) for name in names}
    table.merge(Dead("r7", 1, 0, "z"), 2)
    moved = sum(before[name] != set(table.subjects(name)) for name in names if name != "r7")
    assert moved <= 4


def test_only_records_dead_for_long_are_forgotten() -> None:
    table = members("x", "y")
    table.merge(Dead("x", 1, 0, "z"), 10)
    assert table.forget(10) == []
    assert table.forget(11) == ["x"]
    assert set(table.records) == {"y"}


def test_a_death_counts_from_the_last_time_heard_and_takes_longer_with_a_lone_accuser() -> None:
    suspicion = Suspicion(1, 0, started_at=5 * NS_PER_S, last_heard_at=5 * NS_PER_S)
    suspicion.add_accuser("a", 5 * NS_PER_S)
    lone = suspicion.death_due_at(SETTINGS, 30, 1)
    assert lone == 5 * NS_PER_S + 4 * SETTINGS.silence(30, 3)
    assert suspicion.death_due_at(SETTINGS, 30, 2) < lone
    assert suspicion.death_due_at(SETTINGS, 30, 3) == suspicion.death_due_at(SETTINGS, 30, 7)
    assert suspicion.death_due_at(SETTINGS, 30, 3, mass_suspicion=True) > suspicion.death_due_at(
        SETTINGS, 30, 3
    )
    suspicion.add_accuser("b", 6 * NS_PER_S)  # it heard the subject later, so the silence is shorter
    assert suspicion.death_due_at(SETTINGS, 30, 3) == 6 * NS_PER_S + SETTINGS.silence(30, 3)


def test_an_earlier_accusation_of_a_witness_does_not_count() -> None:
    suspicion = Suspicion(1, 0, 0, 0)
    suspicion.add_accuser("a", 1 * NS_PER_S)
    suspicion.add_witness("a", 3 * NS_PER_S)
    assert not suspicion.add_accuser("a", 1 * NS_PER_S)  # the old accusation arrives again
    assert suspicion.accusers == {}
    assert suspicion.add_accuser("a", 3 * NS_PER_S)


@pytest.mark.parametrize(("count", "least"), [(3, 2.6), (30, 2.6), (300, 4.36)])
def test_silence_grows_with_the_fleet(count: int, least: float) -> None:
    assert SETTINGS.silence(count, 9) == pytest.approx(least * NS_PER_S, rel=0.01)


def test_there_is_a_silence_for_any_number_of_members_and_accusers() -> None:
    """Two members and no accuser once divided by zero, which stopped the membership of the router."""
    for count in range(6):
        silences = [SETTINGS.silence(count, accusers) for accusers in range(6)]
        assert silences == sorted(silences, reverse=True)
        assert silences[0] > 0


def test_the_reference_does_not_follow_a_partition_death_by_death() -> None:
    names = [f"r{number}" for number in range(10)]
    views = Views(SETTINGS, "r0", 10, 0)
    views.update(99, frozenset(names), False, NS_PER_S)
    for second in range(1, 13):
        views.update_quorum(False, False, set(), second * NS_PER_S)
    assert (views.quorum, len(views.reference)) == (QuorumState.MAJORITY, 10)
    now = 20 * NS_PER_S
    for gone in range(1, 7):
        now += NS_PER_S
        views.update(99 - gone, frozenset(names[:-gone]), False, now)
        views.update_quorum(False, False, set(), now)
    assert views.quorum is QuorumState.MINORITY
    for _ in range(60):
        now += NS_PER_S
        views.update_quorum(False, False, set(), now)
    assert (views.quorum, len(views.reference)) == (QuorumState.MINORITY, 10)


def test_a_new_router_claims_no_majority_and_suspected_members_do_not_count() -> None:
    """Suspected members once counted as present: six routers had two majorities until the deaths across a
    partition were declared.
    """
    views, names = Views(SETTINGS, "r0", 4, 0), frozenset(["r0", "r1", "r2", "r3"])
    views.update(7, names, False, 1)
    views.update_quorum(False, True, set(), 2)
    assert str(views.quorum) == "minority"
    views.update_quorum(False, False, set(), 3)
    assert str(views.quorum) == "majority"
    views.update_quorum(False, False, {"r2", "r3"}, 4)
    assert str(views.quorum) == "minority"


def test_a_new_router_counts_its_majority_against_the_configured_peers() -> None:
    views = Views(SETTINGS, "r0", 10, 0)
    views.update(7, frozenset(["r0", "r1", "r2"]), False, 1)
    views.update_quorum(False, False, set(), 60 * NS_PER_S)
    assert views.quorum is QuorumState.MINORITY
    assert views.update_quorum(True, False, set(), 60 * NS_PER_S)
    assert str(views.quorum) == "isolated"


def test_changes_at_the_same_time_make_one_view() -> None:
    views = Views(SETTINGS, "r0", 3, 0)
    assert not views.update(1, frozenset(["r0"]), True, 0)
    assert not views.update(2, frozenset(["r0", "r1"]), True, NS_PER_S // 2)
    assert views.update(3, frozenset(["r0", "r2"]), True, NS_PER_S)
    assert views.view.number == 1
    views.adopt_number(9, 3)
    assert views.view.number == 9
    views.adopt_number(20, 4)  # the number of another view does not count
    assert views.view.number == 9


def test_gossip_fits_its_room_is_sent_a_limited_number_of_times_and_ages() -> None:
    gossip = GossipQueue()
    for number in range(20):
        gossip.enqueue(Suspect(f"router-{number}", 1, 0, "z", 100), 0)
    transmissions: dict[str, int] = {}
    for _ in range(200):
        picked = list(gossip.pick(80, 30, 500 * NS_PER_MS))
        assert sum(len(encode(update)) for update in picked) <= 80
        for update in picked:
            assert isinstance(update, Suspect)
            assert update.silent_ms == 600
            transmissions[update.name] = transmissions.get(update.name, 0) + 1
    assert len(gossip) == 0
    assert set(transmissions.values()) == {8}
    gossip.enqueue(Suspect("x", 1, 0, "z", 1), 0)
    gossip.enqueue(alive("x", 1, 1), 0)
    assert [type(update) for update in gossip.pick(200, 30, 0)] == [Alive]
    gossip.enqueue(Dead("y", 1, 0, "z"), 0)
    gossip.drop_suspicions_and_deaths()
    assert [update.name for update in gossip.pick(200, 30, 0)] == ["x"]


def test_a_pause_is_detected_and_poor_local_health_extends_timeouts() -> None:
    health = LocalHealth(NS_PER_S)
    assert health.tick(0) == 0
    assert health.tick(NS_PER_S) == 0
    assert health.tick(11 * NS_PER_S) == 10 * NS_PER_S
    assert (health.pauses, health.awake_since) == (1, 11 * NS_PER_S)
    for _ in range(9):
        health.record_failure()
    health.lag_ns = NS_PER_MS
    assert health.scale_timeout(100) == 500 + 2 * NS_PER_MS
    health.record_success()
    assert health.scale_timeout(100) == 400 + 2 * NS_PER_MS


def test_reach_distinguishes_direct_from_relayed_and_zone_cuts_never_go_back() -> None:
    table, reach = members("a", "b", "c", "d"), Reach(NS_PER_S)
    now = 10 * NS_PER_S
    reach.record_direct("a", now)
    reach.record_relayed("b", "a", now)
    reach.probed_at["c"] = now
    (zone,) = reach.zones(table, "me", now).values()
    assert (zone.direct, zone.relayed, zone.unheard, zone.unknown) == (1, 1, 1, 1)
    assert reach.helpers("b") == ["a"]
    assert reach.next_zone_cut(table, "me", 1, now) is None
    zone_cut = reach.next_zone_cut(table, "me", 1, now + 5 * NS_PER_S)
    assert zone_cut is None  # no member was probed recently, so the zone is unknown
    reach.probed_at.update(dict.fromkeys("abcd", now + 5 * NS_PER_S))
    assert reach.next_zone_cut(table, "me", 1, now + 5 * NS_PER_S) == ZoneCut("me", 1, 1, ("a",))
    assert reach.merge_zone_cut(ZoneCut("x", 1, 2, ("a",)))
    assert not reach.merge_zone_cut(ZoneCut("x", 1, 1, ()))


@given(st.binary(max_size=MAX_DATAGRAM_BYTES))
def test_random_bytes_raise_only_value_error(data: bytes) -> None:
    try:
        decode(data)
    except ValueError:
        return


def test_names_and_numbers_out_of_bounds_are_errors() -> None:
    valid = Packet("r1", 1, 1, 1, 1, Ping(1))
    assert decode(encode(valid)) == valid
    bad_updates: list[Update] = [alive("x" * 33), alive(""), alive("x", -1), alive("x", 1, -1)]
    invalid = [Packet("r1", 1, 1, 1, 1, Gossip(), (update,)) for update in bad_updates]
    invalid += [Packet("", 1, 1, 1, 1, Gossip()), Packet("r1", 1, -1, 1, 1, Gossip())]
    invalid += [Packet("r1", 1, 1, 1, 1, Gossip(), (Alive("x", 1, 0, b"123", ""),))]
    for packet in invalid:
        with pytest.raises(ValueError, match=r"bounds|invalid place"):
            decode(encode(packet))


def test_unknown_parts_of_a_later_version_are_skipped() -> None:
    later = ["r1", 1, 7, 3, 4, [99, "new"], [[0, "r2", 1, 0, 2, "a", "more"], [77, 1]], "further"]
    packet = decode(msgspec.msgpack.encode(later))
    assert packet == Packet("r1", 1, 7, 3, 4, Gossip(), (Alive("r2", 1, 0, 2, "a"),))
    assert decode(msgspec.msgpack.encode(["r1", 1, 7, 3, 4, [1, 5]])).body == Ack(5)


def test_events_before_a_view_are_one_log_line() -> None:
    event_log = EventLog()
    lines: list[tuple[bool, str]] = []
    for number in range(8):
        lines += event_log.add(MembershipEvent("died", f"r{number}", "incarnation 0"))
    lines += event_log.add(MembershipEvent("quorum", "me", "minority (4 of 12)"))
    lines += event_log.add(MembershipEvent("view", "me", "7: 4 routers"))
    lines += event_log.add(MembershipEvent("view", "me", "8: 4 routers"))
    assert lines == [
        (True, "quorum: minority (4 of 12)"),
        (False, "view 7: 4 routers; died r0, r1, r2, r3, r4 and 3 more"),
        (False, "view 8: 4 routers"),
    ]


def test_states_are_in_their_order() -> None:
    assert State.ALIVE < State.SUSPECT < State.DEAD < State.LEFT
