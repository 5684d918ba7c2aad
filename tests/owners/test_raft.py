"""Raft under random walks and an exhaustive search of small clusters, which both find planted defects."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import pytest

from saltport.owners.log import Configuration
from saltport.owners.raft import (
    AppendEntries,
    Raft,
    RaftSettings,
    RequestVote,
    RequestVoteReply,
    Role,
    TimeoutNow,
)
from tests.owners.world import SETTINGS, START, Cluster, CompactRandom, InvariantError, with_settings


def cluster_with_leader(**more: object) -> Cluster:
    cluster = Cluster(**more)  # type: ignore[arg-type]
    cluster.run(6)
    assert cluster.leader()
    return cluster


def random_walk(cluster: Cluster, seed: int, steps: int) -> None:
    """Random reordering, loss, duplicates, delays, crashes, transfers and pauses; raises InvariantError."""
    rng = random.Random(seed)
    names = sorted(cluster.disks)
    number = 0
    for _ in range(steps):
        roll = rng.random()
        alive = sorted(cluster.nodes)
        if cluster.in_flight and roll < 0.62:
            place = min(int(rng.expovariate(0.5)), len(cluster.in_flight) - 1)
            cluster.deliver(place, keep=rng.random() < 0.04)
        elif cluster.in_flight and roll < 0.67:
            del cluster.in_flight[rng.randrange(len(cluster.in_flight))]
        elif roll < 0.87 and alive:
            cluster.now += rng.choice([1, 10, 60, 200, 900, 2_500]) * 1_000_000
            cluster.check_leases()
            cluster.wake(rng.choice(alive))
        elif roll < 0.93:
            number += 1
            leaders = [name for name in alive if cluster.nodes[name].role is Role.LEADER]
            for name in leaders:
                cluster.nodes[name].propose(b"%d" % number, cluster.clock(name))
                cluster.perform_output(name)
        elif roll < 0.95 and alive:
            name, to = rng.choice(alive), rng.choice(names)
            cluster.nodes[name].transfer_leadership(to, cluster.clock(name))
            cluster.perform_output(name)
        elif roll < 0.975 and alive:
            cluster.crash(rng.choice(alive))
        else:
            for name in names:
                if name not in cluster.nodes and rng.random() < 0.7:
                    cluster.boot(name)
                    cluster.perform_output(name)
        if len(cluster.in_flight) > 60:
            del cluster.in_flight[:20]


def settle(cluster: Cluster) -> None:
    """Boot all members and let them communicate: one leads, and all apply the same entries."""
    for name in cluster.disks:
        if name not in cluster.nodes:
            cluster.boot(name)
    cluster.run(30)
    assert cluster.leader()
    assert cluster.propose(b"end")
    cluster.run(3)
    ends = {tuple(data for data in applied if data) for applied in cluster.applied.values()}
    assert {applied[-1] for applied in ends} == {b"end"}


@pytest.mark.parametrize("seed", range(24))
def test_random_walks_keep_all_that_must_hold_and_come_to_an_end(seed: int) -> None:
    voters = ("a", "b", "c") if seed % 2 else ("a", "b", "c", "d", "e")
    rng = random.Random(seed)
    rates = {name: rng.uniform(0.98, 1.02) for name in voters}
    cluster = Cluster(voters, seed, rates=rates)
    random_walk(cluster, seed, 1_500)
    settle(cluster)


@pytest.mark.parametrize("seed", range(12))
def test_voters_without_a_disk_recover_or_wait_and_never_break_a_promise(seed: int) -> None:
    cluster = Cluster(("a", "b", "c", "d", "e"), seed, forgets=True)
    cluster.run(6)
    rng = random.Random(seed)
    for _ in range(12):
        # Five voters tolerate that at most two at a time lose their state.
        gone = rng.sample(sorted(cluster.disks), rng.randint(1, 2))
        cluster.propose(b"%d" % rng.randrange(1_000))
        for name in gone:
            cluster.crash(name)
        cluster.run(rng.uniform(0.1, 5), lose=rng.choice([0.0, 0.2]))
        for name in gone:
            cluster.boot(name)
        cluster.run(12)
        assert all(node.role is not Role.RECOVERING for node in cluster.nodes.values())
    settle(cluster)


def test_two_of_three_voters_without_a_disk_lost_together_wait_for_an_operator() -> None:
    cluster = cluster_with_leader(forgets=True)
    cluster.propose(b"kept")
    cluster.run(1)
    for name in ("a", "b"):
        cluster.crash(name)
        cluster.boot(name)
    cluster.run(30)
    assert not cluster.leader()  # no leader is better than one without the committed entries
    assert {cluster.nodes[name].role for name in ("a", "b")} == {Role.RECOVERING}


FAULTS: dict[str, dict[str, object]] = {
    "a vote is not stored": {"stores_votes": False},
    "the lease counts from the answer": {"settings": with_settings(lease_from_reply=True)},
}


@pytest.mark.parametrize("name", FAULTS)
def test_planted_defects_break_random_walks(name: str) -> None:
    def walks() -> None:
        for seed in range(400):
            random_walk(Cluster(seed=seed, **FAULTS[name]), seed, 800)  # type: ignore[arg-type]

    with pytest.raises(InvariantError):
        walks()


def terms_used_by_flapping(pre_vote: bool) -> int:
    """Number of terms that pass while one voter is cut off repeatedly."""
    cluster = cluster_with_leader(settings=with_settings(pre_vote=pre_vote))
    leader = cluster.leader()
    other = next(name for name in cluster.nodes if name != leader)
    before = cluster.nodes[leader].term
    for _ in range(10):
        cluster.run(4, cut={(here, there) for here in "abc" for there in "abc" if other in (here, there)})
        cluster.run(1)
    return max(node.term for node in cluster.nodes.values()) - before


def test_a_voter_that_flaps_raises_no_terms() -> None:
    assert terms_used_by_flapping(pre_vote=True) == 0
    assert terms_used_by_flapping(pre_vote=False) >= 10


def test_a_leader_that_can_send_and_hears_nothing_steps_down() -> None:
    cluster = cluster_with_leader()
    leader = cluster.leader()
    deaf = {(name, leader) for name in cluster.nodes if name != leader}
    cluster.run(12, cut=deaf)
    assert cluster.nodes[leader].role is not Role.LEADER
    assert cluster.leader() not in ("", leader)


def test_a_leader_that_hears_and_can_not_send_is_replaced_once_its_lease_is_over() -> None:
    cluster = cluster_with_leader()
    leader = cluster.leader()
    mute = {(leader, name) for name in cluster.nodes if name != leader}
    cluster.run(12, cut=mute)
    assert cluster.leader() not in ("", leader)


def test_a_leader_in_the_minority_stops_and_what_it_took_meanwhile_is_void() -> None:
    cluster = cluster_with_leader(voters=("a", "b", "c", "d", "e"))
    old = cluster.leader()
    friend = next(name for name in cluster.nodes if name != old)
    small = {old, friend}
    cut = {(a, b) for a in cluster.nodes for b in cluster.nodes if (a in small) != (b in small)}
    cluster.nodes[old].propose(b"lost", cluster.clock(old))
    cluster.perform_output(old)
    cluster.run(8, cut=cut)
    assert cluster.leader() not in ("", *small)
    assert cluster.propose(b"kept")
    cluster.run(8, cut=cut)
    cluster.run(8)
    assert {tuple(applied[1:]) for applied in cluster.applied.values()} != set()
    assert all(b"lost" not in applied and applied[-1] == b"kept" for applied in cluster.applied.values())


def test_a_leadership_transfer_needs_no_election_timeout() -> None:
    cluster = cluster_with_leader()
    old = cluster.leader()
    target = next(name for name in cluster.nodes if name != old)
    begun = cluster.now
    assert cluster.nodes[old].transfer_leadership(target, cluster.clock(old))
    assert cluster.nodes[old].lease_until() == 0
    assert cluster.nodes[old].propose(b"late", cluster.clock(old)) is None
    cluster.perform_output(old)
    cluster.run(0.3)
    assert cluster.leader() == target
    assert cluster.now - begun < SETTINGS.election_timeout
    assert not cluster.nodes[target].transfer_leadership("nobody", cluster.clock(target))


def test_a_failed_leadership_transfer_never_restores_the_lease_in_its_term() -> None:
    """TimeoutNow may arrive at any later time and make another voter leader."""
    cluster = cluster_with_leader()
    old = cluster.leader()
    target = next(name for name in cluster.nodes if name != old)
    node = cluster.nodes[old]
    term = node.term
    node.transfer_leadership(target, cluster.clock(old))
    cluster.perform_output(old)
    delayed = [entry for entry in cluster.in_flight if isinstance(entry[2], TimeoutNow)]
    cluster.in_flight = [entry for entry in cluster.in_flight if not isinstance(entry[2], TimeoutNow)]
    cluster.run(8)
    assert delayed
    assert cluster.leader()
    assert cluster.nodes[cluster.leader()].term > term
    cluster.in_flight += delayed
    cluster.run(2)
    assert cluster.leader()


def test_a_learner_catches_up_by_a_snapshot_in_parts_that_is_made_anew_meanwhile() -> None:
    cluster = cluster_with_leader(spare=("d",))
    leader = cluster.nodes[cluster.leader()]
    for number in range(30):
        cluster.propose(b"%d" % number)
    cluster.run(2)
    leader.compact(b"x" * 1_000)
    cluster.perform_output(leader.name)
    leader.change_configuration(
        Configuration(leader.configuration.voters, ("d",)), cluster.clock(leader.name)
    )
    cluster.perform_output(leader.name)
    with pytest.raises(ValueError, match=r"not committed yet|not caught up"):
        leader.change_configuration(
            Configuration((*leader.configuration.voters, "d")), cluster.clock(leader.name)
        )
    for _ in range(40):
        cluster.run(0.01)
        if cluster.nodes["d"]._incoming_snapshot is not None:
            break
    cluster.propose(b"more")
    cluster.run(0.02)
    leader.compact(b"y" * 2_000)
    cluster.perform_output(leader.name)
    cluster.run(5)
    assert cluster.nodes["d"].last_applied == leader.last_applied
    assert cluster.applied["d"][0] in (b"x" * 1_000, b"y" * 2_000)
    leader.change_configuration(
        Configuration((*leader.configuration.voters, "d")), cluster.clock(leader.name)
    )
    cluster.perform_output(leader.name)
    cluster.run(3)
    assert cluster.nodes["d"].configuration.voters == (*"abc", "d")


def test_a_voter_is_exchanged_one_step_at_a_time_and_a_leader_may_leave() -> None:
    cluster = cluster_with_leader(spare=("d",))
    leader = cluster.nodes[cluster.leader()]
    now = cluster.clock(leader.name)
    with pytest.raises(ValueError, match="add or remove one voter only"):
        leader.change_configuration(Configuration(("a", "d", "e")), now)
    with pytest.raises(ValueError, match="needs at least one voter"):
        leader.change_configuration(Configuration(()), now)
    with pytest.raises(ValueError, match="has not caught up"):
        leader.change_configuration(Configuration(("a", "b", "c", "d")), now)
    rest = tuple(name for name in "abc" if name != leader.name)
    assert leader.change_configuration(Configuration(rest), now) is not None
    with pytest.raises(ValueError, match="not committed yet"):  # two changes at once
        leader.change_configuration(Configuration(rest[:1]), now)
    cluster.perform_output(leader.name)
    cluster.run(8)
    assert cluster.leader() in rest
    assert cluster.nodes[leader.name].role is not Role.LEADER
    assert cluster.propose(b"on")


def test_all_voters_started_at_once_lose_nothing() -> None:
    cluster = cluster_with_leader()
    for number in range(5):
        cluster.propose(b"%d" % number)
    cluster.run(1)
    for name in tuple(cluster.nodes):
        cluster.crash(name)
    for name in cluster.disks:
        cluster.boot(name)
    cluster.in_flight.clear()
    begun = cluster.now
    cluster.run(0.9 * SETTINGS.election_timeout / 1e9)
    assert not cluster.leader()  # leases granted before the restart are waited out
    cluster.run(8)
    assert cluster.leader()
    assert cluster.now - begun < 10 * SETTINGS.election_timeout
    assert [data for data in cluster.applied["a"] if data] == [b"%d" % number for number in range(5)]


Action = Callable[[Cluster], None]


@dataclass(frozen=True)
class Bounds:
    """Limits of a search and of the actions in it."""

    depth: int
    crashes: int
    hops: int
    """How often time may pass until a member wakes."""
    max_states: int
    sleepers: str = "abc"
    fragile: str = "abc"
    only: tuple[type, ...] = (object,)
    """Types of messages that are delivered; others are lost."""
    endpoints: str = "abc"
    """Messages from or to these members are delivered; others are lost."""


def actions(cluster: Cluster, crashes: int, hops: int, bounds: Bounds) -> Iterator[tuple[str, Action]]:
    seen = set()
    for place, envelope in enumerate(cluster.in_flight):
        is_delivered = isinstance(envelope[2], bounds.only) and (
            envelope[0] in bounds.endpoints or envelope[1] in bounds.endpoints
        )
        if is_delivered and repr(envelope) not in seen:
            seen.add(repr(envelope))
            yield f"deliver {envelope}", lambda world, place=place: world.deliver(place)  # type: ignore[misc]
    if hops:
        yield "time passes", pass_time
    for name, node in sorted(cluster.nodes.items()):
        if hops and node.term < 3 and name in bounds.sleepers:
            yield f"time for {name}", lambda world, name=name: wake_when_due(world, name)  # type: ignore[misc]
        if crashes and name in bounds.fragile:
            yield f"restart {name}", lambda world, name=name: restart(world, name)  # type: ignore[misc]


def pass_time(cluster: Cluster) -> None:
    """Let an election timeout pass while all members are paused."""
    cluster.now += SETTINGS.election_timeout
    cluster.check_leases()


def wake_when_due(cluster: Cluster, name: str) -> None:
    """Let time pass until this member's timer is due; the others do not run."""
    cluster.now = max(cluster.now, int(cluster.nodes[name].wake_at / cluster.rates.get(name, 1.0)) + 1)
    cluster.check_leases()
    cluster.wake(name)


def restart(cluster: Cluster, name: str) -> None:
    cluster.crash(name)
    cluster.boot(name)
    cluster.perform_output(name)


def search(bounds: Bounds, **more: object) -> int:
    """Search all orders of actions up to a depth; return the number of states. Raises InvariantError."""
    first = Cluster(**more)  # type: ignore[arg-type]
    for name in first.nodes:
        first.nodes[name]._rng = CompactRandom(1)  # equal draws in each branch
    first.rng = CompactRandom(1)
    frontier = [(first, bounds.crashes, bounds.hops)]
    seen: set[object] = set()
    for _ in range(bounds.depth):
        following = []
        for world, left, time_left in frontier:
            for what, action in actions(world, left, time_left, bounds):
                other = world.copy()
                action(other)
                rest = (left - what.startswith("restart"), time_left - what.startswith("time"))
                state = (other.state(), rest)
                if state not in seen:
                    seen.add(state)
                    following.append((other, *rest))
                    if len(seen) >= bounds.max_states:
                        return len(seen)
        frontier = following
    return len(seen)


def test_all_orders_of_a_small_world_keep_what_must_hold() -> None:
    assert search(Bounds(depth=7, crashes=1, hops=3, max_states=2_500)) > 1_000


def test_the_search_finds_a_vote_that_is_not_stored() -> None:
    bounds = Bounds(
        8, 1, 3, 9_000, sleepers="ab", fragile="c", only=(RequestVote, RequestVoteReply), endpoints="c"
    )
    with pytest.raises(InvariantError, match="two leaders"):
        search(bounds, stores_votes=False, settings=with_settings(pre_vote=False))
    assert search(bounds, settings=with_settings(pre_vote=False)) > 100


def test_old_messages_and_strangers_change_nothing() -> None:
    cluster = cluster_with_leader()
    leader = cluster.nodes[cluster.leader()]
    term = leader.term
    leader.receive("b", RequestVote(term, 0, 0, False), cluster.clock(leader.name))
    leader.receive("x", AppendEntries(term - 1, 0, 0, 0, 0), cluster.clock(leader.name))
    assert (leader.role, leader.term) == (Role.LEADER, term)
    assert isinstance(leader, Raft)
    assert RaftSettings().lease < RaftSettings().election_timeout
    assert cluster.now > START
