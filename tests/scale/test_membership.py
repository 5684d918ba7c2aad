"""Small forms of the scale measurements of membership: counts and safety, never speed."""

from __future__ import annotations

import asyncio
import math
import socket

from benchmarks.scale import fit
from benchmarks.scale.hollow import KEY, SETTINGS, HollowLink, Hollows, slowed
from benchmarks.scale.membership import Fleet, calm, deaths, half_stopped, joins, region_apart
from saltport.peers.link import PeerPlan

MEMBERS = 25


def test_bytes_and_datagrams_of_a_member_in_calm_stay_flat() -> None:
    rows = [calm(size, seconds=3) for size in (MEMBERS, 50, 100)]
    for name in ("bytes_sent_per_s", "datagrams_sent_per_s"):
        exponent = fit.fit_power([(row.members, getattr(row, name)) for row in rows]).slope
        assert -0.05 < exponent < 0.05, (name, exponent)
    assert all(row.busiest_bytes_per_s < 2_000 for row in rows)


def test_members_know_each_other_from_the_beginning_as_if_they_had_joined() -> None:
    fleet = Fleet(MEMBERS)
    assert fleet.agrees()
    fleet.run(3)
    assert fleet.agrees()
    assert not fleet.told("died")
    assert all(len(agent.members) == MEMBERS for agent in fleet.agents.values())


def test_all_know_of_a_death_and_of_no_other_without_a_socket() -> None:
    for loss in (0.0, 0.05):
        known = deaths(MEMBERS, loss, 1)
        assert 0 < known.half <= known.most <= known.all <= known.longest < 60
        assert known.false_deaths == 0


def test_all_who_start_together_know_each_other_and_come_to_rest() -> None:
    found = joins(MEMBERS)
    assert 0 < found.agreed_s < math.inf
    assert 0 <= found.told_s < math.inf


def test_half_stopped_for_three_seconds_are_not_believed_dead() -> None:
    found = half_stopped(MEMBERS)
    assert found.deaths_believed == 0
    assert found.agreed_s < 120


async def _lose_one() -> tuple[bool, bool, set[str], int]:
    with slowed(1.0) as clock:
        fleet = Hollows(MEMBERS, clock)
        await fleet.open()
        try:
            joined = await fleet.until(fleet.agree, 60)
            await fleet.kill("r0")
            links = list(fleet.links.values())
            known = await fleet.until(lambda: all(not k.agent.members.is_live("r0") for k in links), 60)
        finally:
            await fleet.close()
        dead = {told.name for _, _, told in fleet.told if told.kind == "died"}
        tellers = {by for _, by, told in fleet.told if told.kind == "died"}
        return joined, known, dead, len(tellers)


def test_all_know_of_a_death_and_of_no_other_on_sockets() -> None:
    assert asyncio.run(_lose_one()) == (True, True, {"r0"}, MEMBERS - 1)


async def _bytes_of_one() -> tuple[int, int]:
    """What a hollow router says that it sent to a socket of ours, and what that socket has counted."""
    loop = asyncio.get_running_loop()
    with (
        slowed(1.0),
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as ours,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free,
    ):
        ours.bind(("127.0.0.1", 0))
        ours.setblocking(False)
        free.bind(("127.0.0.1", 0))
        listen = free.getsockname()
        free.close()
        plan = PeerPlan(listen, (listen, ours.getsockname()), "z0", (KEY,))
        link = HollowLink(loop, "r0", plan, 1, lambda: 0, lambda told: None, SETTINGS)
        await link.open()
        counted = 0
        for _ in range(5):
            counted += fit.udp_bytes(len(await asyncio.wait_for(loop.sock_recv(ours, 2_048), 30)), 1)
        await link.close(replaced=True)
        box = link.agent.send_queue
        while counted < fit.udp_bytes(box.bytes, box.sent):
            counted += fit.udp_bytes(len(await asyncio.wait_for(loop.sock_recv(ours, 2_048), 30)), 1)
        return fit.udp_bytes(box.bytes, box.sent), counted


def test_bytes_told_are_what_a_socket_counts() -> None:
    told, counted = asyncio.run(_bytes_of_one())
    assert told == counted > 0


def test_deaths_of_those_who_live_are_counted_where_a_cut_makes_them_be_believed() -> None:
    found = region_apart(22, 12)
    assert found.deaths_believed > 0
    assert found.agreed_s < 120
