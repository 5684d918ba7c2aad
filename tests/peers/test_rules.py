"""The parts of membership one by one: records, suspicion, views, gossip, patience, reach, messages."""

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
    Row,
    State,
    Suspect,
    Update,
    decode,
    encode,
)
from saltport.peers.reach import Reach
from saltport.peers.settings import DATAGRAM, NS_PER_MS, NS_PER_S, PeerSettings
from saltport.peers.suspicion import Suspicion
from saltport.peers.views import QuorumState, Views

SETTINGS = PeerSettings()


def alive(name: str, start: int = 1, incarnation: int = 0, place: int = 0) -> Alive:
    return Alive(name, start, incarnation, place, "a")


def members(*names: str) -> Members:
    made = Members(4, 100)
    for number, name in enumerate(names):
        made.merge(alive(name, place=number), 1)
    return made


numbers = st.integers(0, 3)
updates = st.one_of(
    st.builds(alive, st.sampled_from("xy"), numbers, numbers),
    st.builds(Suspect, st.sampled_from("xy"), numbers, numbers, st.just("z"), numbers),
    st.builds(Dead, st.sampled_from("xy"), numbers, numbers, st.just("z")),
    st.builds(Left, st.sampled_from("xy"), numbers),
)


@given(st.lists(updates, max_size=12), st.randoms(use_true_random=False))
def test_records_end_the_same_in_any_order_and_never_go_back(
    told: list[Alive | Suspect | Dead | Left], rng: random.Random
) -> None:
    """With every router's own word heard at last, as its next announcement brings it."""
    last: list[Alive | Suspect | Dead | Left] = [alive("x", 3, 9), alive("y", 3, 9)]
    ends = []
    for _ in range(3):
        held, seen = members(), dict.fromkeys("xy", (-1, -1, -1))
        rng.shuffle(told)
        for update in [*told, *told[:3], *last]:
            held.merge(update, 1)
            for name, record in held.records.items():
                assert record.order >= seen[name]
                seen[name] = record.order
        ends.append((held.digest, {name: r.order for name, r in held.records.items()}))
        recount = 0
        for part in held.parts:
            recount ^= part
        assert recount == held.digest
    assert ends[0] == ends[1] == ends[2]


def test_who_left_is_gone_for_this_start_whatever_is_said_after() -> None:
    held = members("x")
    held.merge(Left("x", 1), 2)
    for update in (alive("x", 1, 50), Suspect("x", 1, 60, "z", 1), Dead("x", 1, 70, "z")):
        assert held.merge(update, 3) is None
    assert held.merge(alive("x", 2), 4) is not None
    assert held.is_live("x")


def test_rings_give_four_watchers_and_move_little() -> None:
    names = [f"r{number}" for number in range(40)]
    held = members(*names)
    watchers = {name: {other for other in names if name in held.watched(other)} for name in names}
    assert all(
        len(watchers[name] & set(held.watchers(name))) >= 3 for name in names if len(watchers[name]) > 3
    )
    assert 3.5 <= sum(map(len, watchers.values())) / 40 <= 4
    before = {name: set(held.watched(name)) for name in names}
    held.merge(Dead("r7", 1, 0, "z"), 2)
    moved = sum(before[name] != set(held.watched(name)) for name in names if name != "r7")
    assert moved <= 4


def test_forgotten_are_only_those_long_gone() -> None:
    held = members("x", "y")
    held.merge(Dead("x", 1, 0, "z"), 10)
    assert held.forget(10) == []
    assert held.forget(11) == ["x"]
    assert set(held.records) == {"y"}


def test_death_is_dated_from_the_last_word_and_needs_more_of_a_lone_accuser() -> None:
    suspicion = Suspicion(1, 0, since=5 * NS_PER_S, heard=5 * NS_PER_S)
    suspicion.suspect("a", 5 * NS_PER_S)
    lone = suspicion.due(SETTINGS, 30, 1)
    assert lone == 5 * NS_PER_S + 4 * SETTINGS.silence(30, 3)
    assert suspicion.due(SETTINGS, 30, 2) < lone
    assert suspicion.due(SETTINGS, 30, 3) == suspicion.due(SETTINGS, 30, 7)
    assert suspicion.due(SETTINGS, 30, 3, crowd=True) > suspicion.due(SETTINGS, 30, 3)
    suspicion.suspect("b", 6 * NS_PER_S)  # heard it later: the silence is shorter
    assert suspicion.due(SETTINGS, 30, 3) == 6 * NS_PER_S + SETTINGS.silence(30, 3)


def test_a_witness_is_no_accuser_by_what_it_said_before() -> None:
    suspicion = Suspicion(1, 0, 0, 0)
    suspicion.suspect("a", 1 * NS_PER_S)
    suspicion.vouch("a", 3 * NS_PER_S)
    assert not suspicion.suspect("a", 1 * NS_PER_S)  # the old accusation comes round again
    assert suspicion.accusers == {}
    assert suspicion.suspect("a", 3 * NS_PER_S)


@pytest.mark.parametrize(("count", "least"), [(3, 2.6), (30, 2.6), (300, 4.36)])
def test_silence_grows_with_the_fleet(count: int, least: float) -> None:
    assert SETTINGS.silence(count, 9) == pytest.approx(least * NS_PER_S, rel=0.01)


def test_there_is_a_silence_for_any_number_of_members_and_accusers() -> None:
    """Two members and no accuser once divided by zero: the router did nothing more among its peers."""
    for count in range(6):
        told = [SETTINGS.silence(count, accusers) for accusers in range(6)]
        assert told == sorted(told, reverse=True)
        assert told[0] > 0


def test_the_yardstick_does_not_follow_a_partition_death_by_death() -> None:
    names = [f"r{number}" for number in range(10)]
    views = Views(SETTINGS, "r0", 10, 0)
    views.look(99, frozenset(names), False, NS_PER_S)
    for second in range(1, 13):
        views.stand(False, False, set(), second * NS_PER_S)
    assert (views.quorum, len(views.yardstick)) == (QuorumState.MAJORITY, 10)
    now = 20 * NS_PER_S
    for gone in range(1, 7):
        now += NS_PER_S
        views.look(99 - gone, frozenset(names[:-gone]), False, now)
        views.stand(False, False, set(), now)
    assert views.quorum is QuorumState.MINORITY
    for _ in range(60):
        now += NS_PER_S
        views.stand(False, False, set(), now)
    assert (views.quorum, len(views.yardstick)) == (QuorumState.MINORITY, 10)


def test_who_just_came_claims_no_majority_and_the_doubted_are_not_present() -> None:
    """Six real routers once had two majorities for as long as the deaths across a cut took."""
    views, names = Views(SETTINGS, "r0", 4, 0), frozenset(["r0", "r1", "r2", "r3"])
    views.look(7, names, False, 1)
    views.stand(False, True, set(), 2)
    assert str(views.quorum) == "minority"
    views.stand(False, False, set(), 3)
    assert str(views.quorum) == "majority"
    views.stand(False, False, {"r2", "r3"}, 4)
    assert str(views.quorum) == "minority"


def test_a_fresh_router_is_in_a_majority_only_of_as_many_as_it_was_told_of() -> None:
    views = Views(SETTINGS, "r0", 10, 0)
    views.look(7, frozenset(["r0", "r1", "r2"]), False, 1)
    views.stand(False, False, set(), 60 * NS_PER_S)
    assert views.quorum is QuorumState.MINORITY
    assert views.stand(True, False, set(), 60 * NS_PER_S)
    assert str(views.quorum) == "isolated"


def test_changes_that_come_together_make_one_view() -> None:
    views = Views(SETTINGS, "r0", 3, 0)
    assert not views.look(1, frozenset(["r0"]), True, 0)
    assert not views.look(2, frozenset(["r0", "r1"]), True, NS_PER_S // 2)
    assert views.look(3, frozenset(["r0", "r2"]), True, NS_PER_S)
    assert views.view.number == 1
    views.agree(9, 3)
    assert views.view.number == 9
    views.agree(20, 4)  # another view: its number tells nothing of this one
    assert views.view.number == 9


def test_rumours_fit_their_room_are_told_so_often_and_age() -> None:
    gossip = GossipQueue()
    for number in range(20):
        gossip.tell(Suspect(f"router-{number}", 1, 0, "z", 100), 0)
    told: dict[str, int] = {}
    for _ in range(200):
        picked = list(gossip.pick(80, 30, 500 * NS_PER_MS))
        assert sum(len(encode(update)) for update in picked) <= 80
        for update in picked:
            assert isinstance(update, Suspect)
            assert update.silent_ms == 600
            told[update.name] = told.get(update.name, 0) + 1
    assert len(gossip) == 0
    assert set(told.values()) == {8}
    gossip.tell(Suspect("x", 1, 0, "z", 1), 0)
    gossip.tell(alive("x", 1, 1), 0)
    assert [type(update) for update in gossip.pick(200, 30, 0)] == [Alive]
    gossip.tell(Dead("y", 1, 0, "z"), 0)
    gossip.drop_judgements()
    assert [update.name for update in gossip.pick(200, 30, 0)] == ["x"]


def test_a_pause_is_noticed_and_a_bad_ear_is_given_time() -> None:
    health = LocalHealth(NS_PER_S)
    assert health.turn(0) == 0
    assert health.turn(NS_PER_S) == 0
    assert health.turn(11 * NS_PER_S) == 10 * NS_PER_S
    assert (health.pauses, health.awake_since) == (1, 11 * NS_PER_S)
    for _ in range(9):
        health.went_badly()
    health.lag = NS_PER_MS
    assert health.stretch(100) == 500 + 2 * NS_PER_MS
    health.went_well()
    assert health.stretch(100) == 400 + 2 * NS_PER_MS


def test_reach_tells_direct_from_relayed_and_rows_go_forward() -> None:
    held, reach = members("a", "b", "c", "d"), Reach(NS_PER_S)
    now = 10 * NS_PER_S
    reach.hear("a", now)
    reach.hear_of("b", "a", now)
    reach.asked["c"] = now
    (zone,) = reach.zones(held, "me", now).values()
    assert (zone.direct, zone.relayed, zone.unheard, zone.unknown) == (1, 1, 1, 1)
    assert reach.helpers("b") == ["a"]
    assert reach.news(held, "me", 1, now) is None
    row = reach.news(held, "me", 1, now + 5 * NS_PER_S)
    assert row is None  # nobody was asked lately: nothing is known of the zone
    reach.asked.update(dict.fromkeys("abcd", now + 5 * NS_PER_S))
    assert reach.news(held, "me", 1, now + 5 * NS_PER_S) == Row("me", 1, 1, ("a",))
    assert reach.take_row(Row("x", 1, 2, ("a",)))
    assert not reach.take_row(Row("x", 1, 1, ()))


@given(st.binary(max_size=DATAGRAM))
def test_noise_is_an_error_and_no_crash(noise: bytes) -> None:
    try:
        decode(noise)
    except ValueError:
        return


def test_names_and_numbers_out_of_bounds_are_errors() -> None:
    good = Packet("r1", 1, 1, 1, 1, Ping(1))
    assert decode(encode(good)) == good
    said: list[Update] = [alive("x" * 33), alive(""), alive("x", -1), alive("x", 1, -1)]
    bad = [Packet("r1", 1, 1, 1, 1, Gossip(), (update,)) for update in said]
    bad += [Packet("", 1, 1, 1, 1, Gossip()), Packet("r1", 1, -1, 1, 1, Gossip())]
    bad += [Packet("r1", 1, 1, 1, 1, Gossip(), (Alive("x", 1, 0, b"123", ""),))]
    for packet in bad:
        with pytest.raises(ValueError, match=r"bounds|no place"):
            decode(encode(packet))


def test_what_a_later_version_adds_is_passed_over_and_the_rest_is_taken() -> None:
    later = ["r1", 1, 7, 3, 4, [99, "new"], [[0, "r2", 1, 0, 2, "a", "more"], [77, 1]], "further"]
    packet = decode(msgspec.msgpack.encode(later))
    assert packet == Packet("r1", 1, 7, 3, 4, Gossip(), (Alive("r2", 1, 0, 2, "a"),))
    assert decode(msgspec.msgpack.encode(["r1", 1, 7, 3, 4, [1, 5]])).body == Ack(5)


def test_what_comes_together_is_one_line() -> None:
    event_log = EventLog()
    lines: list[tuple[bool, str]] = []
    for number in range(8):
        lines += event_log.take(MembershipEvent("died", f"r{number}", "incarnation 0"))
    lines += event_log.take(MembershipEvent("quorum", "me", "minority (4 of 12)"))
    lines += event_log.take(MembershipEvent("view", "me", "7: 4 routers"))
    lines += event_log.take(MembershipEvent("view", "me", "8: 4 routers"))
    assert lines == [
        (True, "quorum: minority (4 of 12)"),
        (False, "view 7: 4 routers; died r0, r1, r2, r3, r4 and 3 more"),
        (False, "view 8: 4 routers"),
    ]


def test_states_are_in_their_order() -> None:
    assert State.ALIVE < State.SUSPECT < State.DEAD < State.LEFT
