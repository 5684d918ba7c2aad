"""Small runs of the membership scale measurements: they check counts and safety, never speed."""

from __future__ import annotations

import asyncio
import math
import socket

from benchmarks.scale import fit
from benchmarks.scale.hollow import KEY, SETTINGS, HollowFleet, HollowLink, slow_time
from benchmarks.scale.membership import (
    Fleet,
    measure_deaths,
    measure_half_stopped,
    measure_idle,
    measure_joins,
    measure_region_apart,
)
from saltport.peers.link import PeerPlan

MEMBERS = 25


def test_bytes_and_datagrams_of_an_idle_member_do_not_grow_with_the_fleet() -> None:
    rows = [measure_idle(size, seconds=3) for size in (MEMBERS, 50, 100)]
    for name in ("bytes_sent_per_s", "datagrams_sent_per_s"):
        exponent = fit.fit_power([(row.members, getattr(row, name)) for row in rows]).slope
        assert -0.05 < exponent < 0.05, (name, exponent)
    assert all(row.busiest_bytes_per_s < 2_000 for row in rows)


def test_members_know_each_other_from_the_beginning_as_if_they_had_joined() -> None:
    fleet = Fleet(MEMBERS)
    assert fleet.members_agree()
    fleet.run(3)
    assert fleet.members_agree()
    assert not fleet.events_of_kind("died")
    assert all(len(agent.members) == MEMBERS for agent in fleet.agents.values())


def test_all_know_of_a_death_and_of_no_other_without_a_socket() -> None:
    for loss in (0.0, 0.05):
        detection = measure_deaths(MEMBERS, loss, 1)
        assert 0 < detection.half <= detection.most <= detection.all <= detection.longest < 60
        assert detection.false_deaths == 0


def test_members_that_start_together_know_each_other_and_finish_their_gossip() -> None:
    result = measure_joins(MEMBERS)
    assert 0 < result.agreed_s < math.inf
    assert 0 <= result.told_s < math.inf


def test_half_of_the_members_paused_for_three_seconds_are_not_believed_dead() -> None:
    result = measure_half_stopped(MEMBERS)
    assert result.deaths_believed == 0
    assert result.agreed_s < 120


async def _lose_one() -> tuple[bool, bool, set[str], int]:
    with slow_time(1.0) as clock:
        fleet = HollowFleet(MEMBERS, clock)
        await fleet.open()
        try:
            joined = await fleet.wait_until(fleet.members_agree, 60)
            await fleet.kill("r0")
            links = list(fleet.links.values())
            all_know = await fleet.wait_until(
                lambda: all(not link.agent.members.is_live("r0") for link in links), 60
            )
        finally:
            await fleet.close()
        dead = {event.name for _, _, event in fleet.events if event.kind == "died"}
        observers = {observer for _, observer, event in fleet.events if event.kind == "died"}
        return joined, all_know, dead, len(observers)


def test_all_know_of_a_death_and_of_no_other_on_sockets() -> None:
    assert asyncio.run(_lose_one()) == (True, True, {"r0"}, MEMBERS - 1)


async def _bytes_of_one() -> tuple[int, int]:
    """Return the bytes that a hollow router reports as sent, and the bytes that the socket received."""
    loop = asyncio.get_running_loop()
    with (
        slow_time(1.0),
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as ours,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free,
    ):
        ours.bind(("127.0.0.1", 0))
        ours.setblocking(False)
        free.bind(("127.0.0.1", 0))
        listen = free.getsockname()
        free.close()
        plan = PeerPlan(listen, (listen, ours.getsockname()), "z0", (KEY,))
        link = HollowLink(loop, "r0", plan, 1, lambda: 0, lambda event: None, SETTINGS)
        await link.open()
        counted = 0
        for _ in range(5):
            counted += fit.udp_bytes(len(await asyncio.wait_for(loop.sock_recv(ours, 2_048), 30)), 1)
        await link.close(replaced=True)
        queue = link.agent.send_queue
        while counted < fit.udp_bytes(queue.bytes, queue.sent):
            counted += fit.udp_bytes(len(await asyncio.wait_for(loop.sock_recv(ours, 2_048), 30)), 1)
        return fit.udp_bytes(queue.bytes, queue.sent), counted


def test_reported_bytes_are_those_that_a_socket_counts() -> None:
    reported, counted = asyncio.run(_bytes_of_one())
    assert reported == counted > 0


def test_false_deaths_during_a_partition_are_counted() -> None:
    result = measure_region_apart(22, 12)
    assert result.deaths_believed > 0
    assert result.agreed_s < 120
