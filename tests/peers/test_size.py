"""Fleets of the largest size in sight and beyond: nothing is left out below the stated bound.

1,600 routers are the fleet that the product is made for; the bound is `MOST_MEMBERS`.
"""

from __future__ import annotations

import random

import pytest

from saltport.peers import gossip_queue
from saltport.peers.agent import SYNC_EVERY, Agent
from saltport.peers.envelope import Envelope
from saltport.peers.gossip_queue import GossipQueue
from saltport.peers.members import Members
from saltport.peers.messages import Alive, Dead, Gossip, Packet, State, Suspect
from saltport.peers.report import report
from saltport.peers.send_queue import Identity
from saltport.peers.settings import MOST_MEMBERS, NS_PER_S, PeerSettings

FLEET = 1_600
KEY = bytes(range(32))


def alive(number: int, incarnation: int = 0) -> Alive:
    return Alive(f"router-{number:05d}", 1_000, incarnation, number, f"zone-{number % 36}")


def agent_of(number: int, seed: int) -> Agent:
    me = Identity(f"router-{number:05d}", 1_000, number, f"zone-{number % 36}")
    return Agent(me, range(FLEET), PeerSettings(), random.Random(seed), NS_PER_S)


def test_the_bound_is_far_beyond_the_fleet() -> None:
    assert PeerSettings().most_members == MOST_MEMBERS >= 10 * FLEET


def test_router_that_knows_nobody_learns_the_whole_fleet_from_one_other() -> None:
    knowing, coming = agent_of(0, 1), agent_of(1, 2)
    for number in range(FLEET):
        knowing.members.merge(alive(number), NS_PER_S)
    # Only what answers a question for differences: what 1,600 gossip would bring them at another pace.
    now, asked = NS_PER_S, 0
    while len(coming.members) < FLEET and asked < 1_000:
        asked += 1
        now += max(SYNC_EVERY, NS_PER_S)
        knowing.send_queue.send(1, Gossip(), now, bare=True)
        for _, packet in knowing.take():
            coming.receive(packet, 0, now)
        for place, packet in coming.take():
            if place == 0:
                knowing.receive(packet, 1, now)
        for place, packet in knowing.take():
            if place == 1:
                coming.receive(packet, 0, now)
        coming.take()
    assert len(coming.members) == FLEET
    assert coming.members.digest == knowing.members.digest
    assert len(report(coming, now)["members"]) == FLEET


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
    assert members.forget(0) == ["router-00009"], "whoever keeps more of it is told"
    assert members.forget(0) == []


def test_strange_death_displaces_nobody_from_a_full_table() -> None:
    members = Members(4, 3)
    for number in range(3):
        members.merge(alive(number), 0)
    members.merge(Dead("router-00001", 1_000, 0, "router-00000"), 1)
    assert members.merge(Dead("nobody", 1, 0, "router-00000"), 2) is None
    assert "router-00001" in members.records


def test_more_news_than_are_held_push_out_what_was_told_most(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gossip_queue, "MOST", 8)
    held = GossipQueue()
    for number in range(8):
        held.tell(alive(number), 0)
    told = list(held.pick(100, FLEET, 0))
    assert told
    for number in range(8, 8 + len(told)):
        held.tell(alive(number), 0)
    assert len(held) == 8
    assert held.fresh == 8, "what had been told once gave way, and nothing that never was"
    held.tell(alive(99), 0)
    assert "router-00099" in {update.name for update in held.pick(10_000, FLEET, 0)}


def test_all_that_happens_in_a_fleet_at_once_is_held_as_news() -> None:
    held = GossipQueue()
    for number in range(FLEET):
        for accuser in range(3):
            held.tell(Suspect(f"router-{number:05d}", 1_000, 0, f"router-{accuser:05d}", 2_000), 0)
    assert len(held) == 3 * FLEET
    for number in range(FLEET):
        held.tell(Dead(f"router-{number:05d}", 1_000, 0, "router-00000"), 0)
    assert len(held) == FLEET, "a suspicion goes with the death"
    held.drop_judgements()
    assert len(held) == 0


def test_replays_of_every_sender_in_a_fleet_that_restarted_three_times_are_refused() -> None:
    sender, taker = Envelope([KEY]), Envelope([KEY])
    datagrams = [
        sender.seal(Packet(f"router-{number:05d}", start, 1, 0, 0, Gossip()))
        for start in range(4)
        for number in range(FLEET)
    ]
    assert all(taker.open(datagram) is not None for datagram in datagrams)
    assert not any(taker.open(datagram) for datagram in datagrams)
    assert taker.dropped == {"replayed": len(datagrams)}
