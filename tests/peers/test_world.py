"""Membership in virtual time: deaths, pauses, packet loss, network partitions of every shape, names and
places that move.
"""

from __future__ import annotations

import random
from collections import Counter

import pytest

from benchmarks.peers_world import World
from saltport.peers.agent import MemberState
from saltport.peers.messages import Ack, Alive, Gossip, Packet, Ping, State, Suspect, encode
from saltport.peers.settings import NS_PER_MS, NS_PER_S, PeerSettings
from saltport.peers.views import QuorumState

SHORT_PACKET_BYTES = 100  # that get through where long packets are lost


def running(count: int, seed: int = 1, settings: PeerSettings | None = None) -> World:
    world = World(count, seed, settings)
    world.start_all()
    assert world.until_agreed(10) < 3
    world.run(12)  # until the first view settles
    return world


def quorum_states(world: World) -> Counter[str]:
    return Counter(str(agent.views.quorum) for agent in world.agents.values())


def died(world: World, since: int) -> list[tuple[str, str]]:
    return [(seen.by, seen.event.name) for seen in world.events_of_kind("died", since)]


@pytest.mark.parametrize(("count", "bound"), [(2, None), (3, 4.0), (12, 3.2), (40, 3.6)])
def test_a_death_is_known_to_all_in_time(count: int, bound: float | None) -> None:
    world = running(count)
    world.kill(1)
    if bound is None:
        # A router that hears nobody cannot tell which side has failed.
        world.run(20)
        assert world.agents[0].views.quorum is QuorumState.ISOLATED
        assert world.agents[0].members.is_live("r1")
        return
    assert world.until_agreed(10) <= bound
    world.start(1, clock=2_000)
    assert world.until_agreed(10) < 2
    assert {seen.event.name for seen in world.events_of_kind("restarted")} == {"r1"}


@pytest.mark.parametrize("seed", [1, 2])
def test_no_false_death_under_loss_pauses_and_one_sided_cuts(seed: int) -> None:
    world = running(12, seed)
    since, rng = world.now, random.Random(seed)
    world.loss = 0.3
    cuts = {(rng.randrange(12), rng.randrange(12)) for _ in range(4)}
    world.cuts.append(lambda here, there, _: (here, there) in cuts)
    for _ in range(6):
        world.pause(rng.randrange(12), 2 * NS_PER_S)
        world.run(12)
    assert died(world, since) == []
    assert sum(agent.false_alarms for agent in world.agents.values()) > 0  # there were suspicions to refute


def test_without_witnesses_and_refutation_the_same_faults_kill() -> None:
    """Shows that the test above can fail."""
    world = running(12, settings=PeerSettings(refutation=False))
    since, world.loss = world.now, 0.3
    for place in range(6):
        world.pause(place, 3 * NS_PER_S)
        world.run(12)
    assert died(world, since)


def test_halves_are_minorities_and_heal_in_one_view() -> None:
    world = running(12)
    world.cuts.append(lambda here, there, _: here % 2 != there % 2)
    world.run(20)
    assert quorum_states(world) == {"minority": 12}
    assert {len(agent.members) for agent in world.agents.values()} == {6}
    world.cuts.clear()
    assert world.until_agreed(10) < 5
    world.run(2)
    assert quorum_states(world) == {"majority": 12}
    assert len({(agent.views.view.number, agent.views.view.digest) for agent in world.agents.values()}) == 1


def test_a_third_that_is_cut_off_is_a_minority_and_disappears_in_few_views() -> None:
    world = running(12)
    since = world.now
    world.cuts.append(lambda here, there, _: (here < 4) != (there < 4))
    world.run(30)  # longer than a view needs to settle: the smaller side must not become its own reference
    assert {place: str(agent.views.quorum) for place, agent in world.agents.items()} == {
        place: "minority" if place < 4 else "majority" for place in range(12)
    }
    views = Counter(seen.by for seen in world.events_of_kind("view", since))
    assert max(views[f"r{place}"] for place in range(4, 12)) <= 3
    world.cuts.clear()
    assert world.until_agreed(10) < 5


def test_the_second_attempt_of_a_probe_and_its_answer_are_short() -> None:
    world = running(6)
    prober, target = world.agents[0], world.agents[1]
    for number in range(40):
        for agent in (prober, target):
            agent.send_queue.gossip.enqueue(Alive(f"other-{number}", 1, 0, number, "a"), world.now)
    prober.probes.clear()
    prober.take_packets()
    prober.probes.start("r1", world.now)
    prober.probes.tick(world.now + 150 * NS_PER_MS)
    first, second = [
        packet for to, packet in prober.take_packets() if to == 1 and isinstance(packet.body, Ping)
    ]
    assert len(encode(first)) > 200 > SHORT_PACKET_BYTES > len(encode(second))
    for ping, is_long in ((first, True), (second, False)):
        target.receive(ping, 0, world.now)
        (answer,) = [packet for _, packet in target.take_packets() if isinstance(packet.body, Ack)]
        assert (len(encode(answer)) > SHORT_PACKET_BYTES) is is_long


@pytest.mark.parametrize(("count", "small"), [(30, 4), (30, 2), (12, 2)])
def test_a_small_side_of_a_cut_is_a_minority_before_deaths_are_declared(count: int, small: int) -> None:
    """Of thirty routers, four that were cut off once counted as a majority for over five seconds, as they
    probed only some of the others.
    """
    world = running(count)
    world.cuts.append(lambda here, there, _: (here < small) != (there < small))
    world.run(3.5)
    assert {str(world.agents[place].views.quorum) for place in range(small)} <= {"minority", "isolated"}
    assert {str(world.agents[place].views.quorum) for place in range(small, count)} == {"majority"}


@pytest.mark.parametrize("seed", [2, 3, 7])
def test_the_smaller_side_is_never_a_majority_between_deaths_and_the_view_without_them(seed: int) -> None:
    """Dead members once counted as present until the next view: one of thirty routers was in a majority for
    a moment, five seconds into a partition.
    """
    world = World(30, seed)
    world.start_all()
    world.until_agreed(10)
    world.run(3)
    small = {0, 2, 3, 7, 8, 9, 10, 12, 16, 18, 20, 24}
    world.cuts.append(lambda here, there, _: (here in small) != (there in small))
    world.run(3)
    for _ in range(30):
        world.run(0.1)
        assert "majority" not in {str(world.agents[place].views.quorum) for place in small}


def test_three_partitions_and_an_intermittent_cut() -> None:
    world = running(12)
    world.cuts.append(lambda here, there, _: here % 3 != there % 3)
    world.run(15)
    assert quorum_states(world) == {"minority": 12}
    world.cuts.clear()
    assert world.until_agreed(10) < 5
    world.run(12)
    since = world.now
    world.cuts.append(lambda here, there, now: here % 2 != there % 2 and now // (2 * NS_PER_S) % 2 == 0)
    world.run(40)
    assert died(world, since) == []


@pytest.mark.parametrize("count", [12, 30])
def test_half_of_the_fleet_paused_for_three_seconds_stays(count: int) -> None:
    world = running(count)
    since = world.now
    for place in range(count // 2):
        world.pause(place, 3 * NS_PER_S)
    world.run(10)
    assert died(world, since) == []
    assert quorum_states(world) == {"majority": count}


def test_a_router_paused_while_accusing_probes_before_it_accuses() -> None:
    world = running(6)
    world.kill(2)
    world.run(1.4)  # accused, but not declared dead yet
    accuser = next(a for a in world.agents.values() if a.name in a.suspicions.by_name["r2"].accusers)
    place = accuser.me.place
    assert isinstance(place, int)
    since = world.now
    world.pause(place, 10 * NS_PER_S)
    world.run(20)
    assert [seen.event.detail for seen in world.events_of_kind("paused", since)] == ["10.0 s"]
    declared_here = [name for by, name in died(world, since) if by == accuser.name]
    assert set(declared_here) <= {"r2"}  # no other router, even if not heard during the pause
    assert world.until_agreed(10) < 1


@pytest.mark.parametrize("heard_by", [(), (3,)])
def test_a_router_heard_by_none_or_by_a_single_one(heard_by: tuple[int, ...]) -> None:
    world = running(8)
    since = world.now
    world.cuts.append(lambda here, there, _: here == 1 and there not in heard_by)
    world.run(30)
    unheard = world.agents[1]
    assert {name for _, name in died(world, since)} == (set() if heard_by else {"r1"})
    assert unheard.views.quorum is (QuorumState.MAJORITY if heard_by else QuorumState.ISOLATED)
    assert len(unheard.members) == 8  # a router that is cut off itself declares nobody dead
    world.cuts.clear()
    healed = world.now
    assert world.until_agreed(10) < 5
    world.run(5)
    assert died(world, healed) == []


def test_routers_that_reach_each_other_only_through_a_third_stay() -> None:
    world = running(6)
    since = world.now
    world.cuts.append(lambda here, there, _: {here, there} == {0, 1})
    world.run(30)
    assert died(world, since) == []
    record = world.agents[0].members.records["r1"]
    assert world.agents[0].reach.kind(record, world.now) == "relayed"
    assert world.agents[2].reach.kind(record, world.now) == "direct"


def test_an_unreachable_zone_is_reported_to_routers_that_reach_it() -> None:
    """Zones a and b are cut from each other; both reach c."""
    world = running(9)
    world.cuts.append(lambda here, there, _: {here % 3, there % 3} == {0, 1})
    world.run(30)
    witness = world.agents[2]
    cut_by = witness.reach.cut_by(witness.members.live())
    assert set(cut_by["b"]) == {"r0", "r3", "r6"}
    assert set(cut_by["a"]) == {"r1", "r4", "r7"}
    assert len(witness.members) == 9


def test_of_two_routers_with_one_name_the_later_one_stays() -> None:
    world = running(5)
    world.kill(4)
    world.until_agreed(10)
    # Its clock is far behind, but it still counts as the later one.
    twin = world.start(4, clock=500, name="r1")
    world.run(8)
    assert world.agents[1].state is MemberState.DISPLACED
    assert world.events_of_kind("displaced")
    assert twin.me.start > 1_000
    assert {agent.members.records["r1"].place for place, agent in world.agents.items() if place != 1} == {4}


def test_a_restart_with_a_clock_set_back_counts_as_a_restart() -> None:
    world = running(5)
    world.kill(2)
    world.run(1)
    agent = world.start(2, clock=3)
    assert world.until_agreed(10) < 3
    world.run(5)
    assert agent.me.start == 1_001
    assert agent.state is MemberState.MEMBER
    assert died(world, 0) == []


def test_a_router_comes_back_at_another_place_and_another_at_its_old_one() -> None:
    world = running(6)
    world.places.append(6)
    world.kill(2)
    world.run(0.5)
    world.start(6, clock=2_000, name="r2")
    world.start(2, clock=2_000, name="new")
    assert world.until_agreed(20) < 10
    records = world.agents[0].members.records
    assert (records["r2"].place, records["new"].place) == (6, 2)


def test_a_departure_during_a_suspicion_counts_as_a_departure() -> None:
    world = running(6)
    since = world.now
    world.pause(3, 1_500 * NS_PER_MS)
    world.run(1.45)
    assert any("r3" in agent.suspicions.by_name for agent in world.agents.values())
    world.leave(3)
    assert world.until_agreed(10) < 2
    world.run(10)
    assert died(world, since) == []
    assert quorum_states(world) == {"majority": 5}
    assert all("r3" not in agent.views.reference for agent in world.agents.values())


def test_all_start_within_a_second_and_are_restarted_one_by_one() -> None:
    world = World(60, 3)
    world.start_all(NS_PER_S)
    assert world.until_agreed(10) < 2
    sent = max(agent.send_queue.bytes for agent in world.agents.values())
    assert sent < world.settings.bytes_per_s * 2
    world.run(12)
    since = world.now
    for place in range(0, 60, 3):
        world.leave(place)
        world.run(0.3)
        world.start(place, clock=2_000)
        world.run(0.2)
    assert world.until_agreed(10) < 2
    assert died(world, since) == []


def test_bytes_do_not_grow_with_the_fleet() -> None:
    small, large = running(12).bytes_per_s(10), running(60).bytes_per_s(10)
    assert large < 1.15 * small < 1_000


def test_a_view_is_the_same_number_everywhere_and_majorities_can_be_settled_by_hand() -> None:
    world = running(9)
    for place in range(5):
        world.kill(place)
    world.run(12)
    assert quorum_states(world) == {"minority": 4}
    world.agents[5].views.settle(world.now)
    world.run(1)
    assert world.agents[5].views.quorum is QuorumState.MAJORITY
    assert len({agent.views.view.number for agent in world.agents.values()}) == 1


def test_a_suspicion_of_an_earlier_incarnation_is_answered_with_the_later_record() -> None:
    world = running(4)
    agent = world.agents[0]
    agent.me.incarnation = 5
    agent._announce(world.now)
    world.run(2)
    other = world.agents[1]
    old = Suspect("r0", 1_000, 4, "r2", 2_000)
    other.receive(Packet("r2", 1_000, 1 << 40, 0, other.members.digest, Gossip(), (old,)), 2, world.now)
    answers = [update for _, packet in other.take_packets() for update in packet.updates]
    assert Alive("r0", 1_000, 5, 0, "a") in answers
    assert "r0" not in other.suspicions.by_name


def test_a_full_table_rejects_others_and_counts_them() -> None:
    world = running(3, settings=PeerSettings(max_members=3))
    world.places.append(3)
    world.start(3)
    world.run(5)
    assert {len(agent.members) for agent in world.agents.values()} == {3}
    assert world.agents[0].members.turned_away > 0


@pytest.mark.parametrize("cut_ms", range(900, 2_700, 150))
def test_no_suspicion_outlives_the_cut_that_it_came_from(cut_ms: int) -> None:
    """Includes a suspicion whose accusers have all heard the suspect again before the suspect learned of
    it.
    """
    for seed in range(6):
        world = running(6, seed)
        world.cuts.append(lambda here, there, _: (here < 2) != (there < 2))
        world.run(cut_ms / 1_000)
        world.cuts.clear()
        world.run(10)
        suspected = {
            (agent.name, record.name)
            for agent in world.agents.values()
            for record in agent.members.live()
            if record.state is State.SUSPECT
        }
        assert suspected == set(), seed
        assert quorum_states(world) == {"majority": 6}
