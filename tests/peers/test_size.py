"""Fleets of the largest expected size and beyond: below the bound, `MAX_MEMBERS`, nothing is dropped.

1,600 routers are the size that the product is designed for.
"""

from __future__ import annotations

import random

import pytest

from saltport.peers import gossip_queue
from saltport.peers.agent import SYNC_INTERVAL_NS, Agent
from saltport.peers.envelope import Envelope
from saltport.peers.gossip_queue import GossipQueue
from saltport.peers.members import Members
from saltport.peers.messages import Alive, Dead, Gossip, Packet, State, Suspect
from saltport.peers.report import report
from saltport.peers.send_queue import Identity
from saltport.peers.settings import MAX_MEMBERS, NS_PER_S, PeerSettings

FLEET = 1_600
KEY = bytes(range(32))


def alive(number: int, incarnation: int = 0) -> Alive:
    return Alive(f"router-{number:05d}", 1_000, incarnation, number, f"zone-{number % 36}")


def agent_of(number: int, seed: int) -> Agent:
    me = Identity(f"router-{number:05d}", 1_000, number, f"zone-{number % 36}")
    return Agent(me, range(FLEET), PeerSettings(), random.Random(seed), NS_PER_S)


def test_the_bound_is_far_beyond_the_fleet() -> None:
    assert PeerSettings().max_members == MAX_MEMBERS >= 10 * FLEET


def test_router_that_knows_nobody_learns_the_whole_fleet_from_one_other() -> None:
    informed, newcomer = agent_of(0, 1), agent_of(1, 2)
    for number in range(FLEET):
        informed.members.merge(alive(number), NS_PER_S)
    # Only answers to sync requests: gossip among 1,600 routers would spread the records at another rate.
    now, requests = NS_PER_S, 0
    while len(newcomer.members) < FLEET and requests < 1_000:
        requests += 1
        now += max(SYNC_INTERVAL_NS, NS_PER_S)
        informed.send_queue.send(1, Gossip(), now, bare=True)
        for _, packet in informed.take_packets():
            newcomer.receive(packet, 0, now)
        for place, packet in newcomer.take_packets():
            if place == 0:
                informed.receive(packet, 1, now)
        for place, packet in informed.take_packets():
            if place == 1:
                newcomer.receive(packet, 0, now)
        newcomer.take_packets()
    assert len(newcomer.members) == FLEET
    assert newcomer.members.digest == informed.members.digest
    assert len(report(newcomer, now)["members"]) == FLEET


def test_full_table_of_live_routers_turns_others_away_at_once_and_counts_them() -> None:
    members = Members(4, FLEET)
    for number in range(FLEET):
        assert members.merge(alive(number), number) is not None
    assert members.merge(alive(FLEET), FLEET) is None
    assert (len(members), members.turned_away) == (FLEET, 1)
    assert members.merge(alive(3, 1), FLEET) is None or members.records["router-00003"].incarnation == 1


def test_newcomer_to_a_full_table_takes_the_place_of_who_has_been_dead_for_longest() -> None:
    members = Members(4, FLEET)
    for number in range(FLEET):
        members.merge(alive(number), 0)
    for at, number in ((10, 7), (5, 9), (20, 8)):
        members.merge(Dead(f"router-{number:05d}", 1_000, 0, "router-00000"), at)
    assert members.merge(alive(FLEET), 30) is not None
    assert members.is_live(f"router-{FLEET:05d}")
    assert "router-00009" not in members.records
    assert members.records["router-00007"].state is State.DEAD
    assert members.turned_away == 0
    assert members.forget(0) == ["router-00009"], "callers learn of the evicted record"
    assert members.forget(0) == []


def test_the_death_of_an_unknown_router_evicts_nobody_from_a_full_table() -> None:
    members = Members(4, 3)
    for number in range(3):
        members.merge(alive(number), 0)
    members.merge(Dead("router-00001", 1_000, 0, "router-00000"), 1)
    assert members.merge(Dead("nobody", 1, 0, "router-00000"), 2) is None
    assert "router-00001" in members.records


def test_a_full_gossip_queue_drops_the_most_transmitted_updates(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gossip_queue, "MAX_UPDATES", 8)
    queue = GossipQueue()
    for number in range(8):
        queue.enqueue(alive(number), 0)
    picked = list(queue.pick(100, FLEET, 0))
    assert picked
    for number in range(8, 8 + len(picked)):
        queue.enqueue(alive(number), 0)
    assert len(queue) == 8
    assert queue.unsent == 8, "a transmitted update was dropped, and no unsent one"
    queue.enqueue(alive(99), 0)
    assert "router-00099" in {update.name for update in queue.pick(10_000, FLEET, 0)}


def test_the_gossip_queue_holds_the_updates_of_a_whole_fleet() -> None:
    queue = GossipQueue()
    for number in range(FLEET):
        for accuser in range(3):
            queue.enqueue(Suspect(f"router-{number:05d}", 1_000, 0, f"router-{accuser:05d}", 2_000), 0)
    assert len(queue) == 3 * FLEET
    for number in range(FLEET):
        queue.enqueue(Dead(f"router-{number:05d}", 1_000, 0, "router-00000"), 0)
    assert len(queue) == FLEET, "a death replaces the suspicions"
    queue.drop_suspicions_and_deaths()
    assert len(queue) == 0


def test_replays_of_every_sender_in_a_fleet_that_restarted_three_times_are_refused() -> None:
    sender, receiver = Envelope([KEY]), Envelope([KEY])
    datagrams = [
        sender.seal(Packet(f"router-{number:05d}", start, 1, 0, 0, Gossip()))
        for start in range(4)
        for number in range(FLEET)
    ]
    assert all(receiver.open(datagram) is not None for datagram in datagrams)
    assert not any(receiver.open(datagram) for datagram in datagrams)
    assert receiver.dropped == {"replayed": len(datagrams)}
