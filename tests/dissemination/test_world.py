"""The hard cases in virtual time: verdicts by safety and counts, seconds of the world and not the machine."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from functools import partial

import pytest

from benchmarks.scale.dissemination_world import Fleet, World
from saltport.dissemination.freshness import Verdict
from saltport.dissemination.messages import Topic
from saltport.dissemination.settings import NS_PER_S, DisseminationSettings
from saltport.dissemination.states import Configuration, Purges, TopicState, pack_change
from saltport.dissemination.submissions import Outcome

FLEET = Fleet(60, 6, 3)
REGION_0 = [node for node in range(60) if node % 6 % 3 == 0]
REGION_2 = [node for node in range(60) if node % 6 % 3 == 2]
SITE_0 = list(range(0, 60, 6))


def world(seed: int = 1, loss: float = 0.05, settings: DisseminationSettings | None = None) -> World:
    made = World(FLEET, seed, settings, loss)
    made.start_all()
    made.run(3)
    return made


def purges(made: World, count: int, nodes: list[int], name: str = "p", rate: int = 8) -> None:
    """So many, at a rate a second, in turn from these routers."""
    for number in range(count):
        made.submit(nodes[number % len(nodes)], Topic.PURGES, f"{name}{number}".encode())
        made.run(1 / rate)


def purge_state(made: World, node: int) -> Purges:
    state = made.router(node).archive.states[Topic.PURGES]
    assert isinstance(state, Purges)
    return state


def values(made: World, node: int) -> dict[str, bytes]:
    state = made.router(node).archive.states[Topic.CONFIGURATION]
    assert isinstance(state, Configuration)
    return state.values


def outcomes(made: World, node: int) -> Counter[Outcome]:
    return Counter(one.outcome for one in made.router(node).submissions.outcomes)


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.3])
def test_everywhere_once_and_in_order(loss: float) -> None:
    made = world(loss=loss)
    purges(made, 80, [1, 2, 7])
    made.run(8)
    assert made.history.finish() == []
    assert made.history.delays.total == 80 * 60
    assert outcomes(made, 1)[Outcome.COMMITTED] == 27
    assert {made.router(node).verdict(Topic.PURGES, made.now) for node in range(60)} == {Verdict.FRESH}


def test_without_any_change_all_routers_are_fresh() -> None:
    made = world()
    assert {made.router(node).verdict(Topic.PURGES, made.now) for node in range(60)} == {Verdict.FRESH}


def test_dead_relays_cost_under_a_second() -> None:
    """All relays of the next entry in a site, and of its region, die at once."""
    made = world(loss=0.0)
    purges(made, 8, [1])
    made.run(2)
    before = made.history.slowest()
    number = made.voter().archive.logs[Topic.PURGES].last + 1
    turn = made.placement.turn(Topic.PURGES, number)
    site = made.placement.site(0)
    assert site is not None
    dead = {*made.placement.site_relays(site, turn), *made.placement.region_relays(site.region, turn)} - {1}
    for node in dead:
        made.kill(node)
    made.submit(1, Topic.PURGES, b"after")
    made.run(0.2)
    purges(made, 16, [1], "more")
    made.run(3)
    assert made.history.finish() == []
    assert made.history.slowest() < before + 1
    for node in dead:
        made.start(node)
    made.run(5)
    assert made.history.finish() == []


def test_a_slow_relay_delays_nobody_but_itself_by_much() -> None:
    made = world(loss=0.0)
    purges(made, 8, [1])
    before = made.history.slowest()
    made.slow[0] = 4 * NS_PER_S
    purges(made, 80, [1], "slow")
    made.run(10)
    assert made.history.finish() == []
    assert made.history.slowest() < before + 1


def test_a_relay_whose_sending_is_cut_delays_nobody_by_much() -> None:
    made = world(loss=0.0)
    purges(made, 8, [1])
    before = made.history.slowest()
    made.cuts.append(lambda source, target: source == 0)
    purges(made, 80, [1], "cut")
    made.run(5)
    assert made.history.finish() == []
    assert made.history.slowest() < before + 1


def test_two_minutes_apart_refuses_to_serve_until_caught_up() -> None:
    """A purge overtakes a fetch that began before the cut: nothing is served before the purge is there."""
    made = world()
    purges(made, 16, [1])
    token = purge_state(made, 2).begin_fetch()
    made.part(2, 120 * NS_PER_S)
    made.submit(1, Topic.PURGES, b"object")
    made.run(5)
    assert {made.router(node).verdict(Topic.PURGES, made.now) for node in REGION_2} == {Verdict.STALE}
    assert {made.router(node).verdict(Topic.PURGES, made.now) for node in REGION_0} == {Verdict.FRESH}
    assert not purge_state(made, 2).overtaken(b"object", token)
    purges(made, 345, [1, 3], "apart", rate=3)
    made.run(20)
    assert purge_state(made, 2).overtaken(b"object", token)
    assert {made.router(node).verdict(Topic.PURGES, made.now) for node in REGION_2} == {Verdict.FRESH}
    assert made.history.finish() == []
    assert made.history.late.total > 340 * len(REGION_2)


def test_away_for_too_long_takes_a_snapshot() -> None:
    made = world(settings=DisseminationSettings(retained_entries=16))
    for number in range(40):
        made.submit(
            1 + number % 5, Topic.CONFIGURATION, pack_change(f"key{number % 30}", b"%d" % number * 20)
        )
        made.run(0.1)
    purges(made, 16, [1])
    token = purge_state(made, 2).begin_fetch()
    made.part(2, 30 * NS_PER_S)
    for number in range(40, 160):
        made.submit(1, Topic.CONFIGURATION, pack_change(f"key{number % 30}", b"%d" % number * 20))
        made.submit(1, Topic.PURGES, b"p" + pack_change("", b"%d" % number))
        made.run(0.25)
    made.run(15)
    assert made.history.finish() == []
    assert purge_state(made, 2).overtaken(b"whatever", token)
    assert {tuple(sorted(values(made, node).items())) for node in range(60)} == {
        tuple(sorted((f"key{n % 30}", b"%d" % n * 20) for n in range(130, 160)))
    }


def test_a_region_alone_changes_nothing() -> None:
    """The coordinator is in it, with a minority of voters."""
    made = world()
    purges(made, 8, [1])
    made.part(0, 20 * NS_PER_S)
    made.run(2)
    alone = [b"alone%d" % number for number in range(5)]
    for record in alone:
        made.submit(0, Topic.PURGES, record)
        made.run(0.5)
    purges(made, 40, [1, 2], "rest")
    made.run(4)
    assert made.epoch == 2
    assert outcomes(made, 0)[Outcome.COMMITTED] == 0
    assert {made.router(node).verdict(Topic.PURGES, made.now) for node in REGION_0} == {Verdict.STALE}
    made.run(20)
    told = outcomes(made, 0)
    assert told[Outcome.REFUSED] + told[Outcome.UNKNOWN] == 5
    assert {one.reason for one in made.router(0).submissions.outcomes} <= {
        "no majority of voters", "no voter answered",
    }  # fmt: skip
    assert [f for f in made.history.finish() if not f.startswith("never committed: b'alone")] == []
    assert {made.router(node).verdict(Topic.PURGES, made.now) for node in range(60)} == {Verdict.FRESH}


def test_a_coordinator_that_stood_still_does_no_harm() -> None:
    made = world()
    purges(made, 8, [1])
    old = made.leader
    made.stop(old, 6 * NS_PER_S)
    purges(made, 80, [1, 2], "during")
    made.run(5)
    assert made.epoch == 2
    assert made.voter(old).epoch is None
    assert made.history.finish() == []


def test_a_bad_change_is_refused_by_all_and_the_reason_gets_back() -> None:
    made = world()
    for number in range(20):
        made.submit(1, Topic.CONFIGURATION, pack_change(f"key{number}", b"good"))
        made.run(0.25)
    made.submit(2, Topic.CONFIGURATION, pack_change("key3", b"bad"))
    made.run(1)
    made.submit(1, Topic.CONFIGURATION, pack_change("key4", b"better"))
    made.run(16)
    assert made.history.finish() == []
    assert {values(made, node)["key3"] for node in range(60)} == {b"good"}
    assert {values(made, node)["key4"] for node in range(60)} == {b"better"}
    told = [one for one in made.router(2).submissions.outcomes if one.outcome is Outcome.REJECTED]
    assert [one.reason for one in told[:1]] == ["bad value"]
    ((key, count),) = made.voter().rejections.items()
    assert key[3] == "bad value"
    assert 57 <= count <= 60
    assert made.voter().progress.counted >= 57


def test_two_changes_of_one_thing_have_one_order_everywhere() -> None:
    made = world(loss=0.2)
    made.slow[6] = made.slow[12] = NS_PER_S
    for number in range(30):
        for node in (1, 2, 7):
            made.submit(node, Topic.CONFIGURATION, pack_change("one", b"%d/%d" % (node, number)))
        made.run(0.2)
    made.run(15)
    assert made.history.finish() == []
    assert len({values(made, node)["one"] for node in range(60)}) == 1
    for node in (1, 2, 7):
        sequences = [one.sequence for one in made.router(node).submissions.outcomes]
        assert sequences == sorted(sequences)
        assert len(sequences) == 30


def test_a_whole_site_restarted_at_once() -> None:
    made = world()
    for number in range(100):
        made.submit(1 + number % 5, Topic.CONFIGURATION, pack_change(f"key{number}", b"value" * 8))
        made.run(0.05)
    purges(made, 16, [1])
    made.run(3)
    for node in SITE_0:
        made.kill(node)
    for node in SITE_0:
        made.start(node)
    purges(made, 40, [1], "after")
    made.run(10)
    assert made.history.finish() == []
    assert {len(values(made, node)) for node in SITE_0} == {100}
    assert {made.router(node).verdict(Topic.PURGES, made.now) for node in SITE_0} == {Verdict.FRESH}


def test_an_old_release_beside_a_new_one_relays_what_it_doesnt_know() -> None:
    made = world()

    def older(topic: int) -> TopicState | None:
        return None if topic == Topic.CONFIGURATION else made.states(topic)

    for node in range(0, 60, 2):
        made.kill(node)
        made.start(node, older)
    made.run(5)
    for number in range(20):
        made.submit(1, Topic.CONFIGURATION, pack_change(f"key{number}", b"1"))
        made.run(0.25)
    made.run(14)
    assert made.history.finish() == []
    assert {len(values(made, node)) for node in range(1, 60, 2)} == {20}
    assert {key[3] for key in made.voter().rejections} == {"unknown topic"}
    assert max(made.voter().rejections.values()) <= 30


def test_half_of_a_site_stopped_for_three_seconds() -> None:
    made = world()
    for node in SITE_0[:5]:
        made.stop(node, 3 * NS_PER_S)
    purges(made, 40, [1])
    made.run(5)
    assert made.history.finish() == []
    assert made.history.slowest() < 2.6


def test_routers_keep_within_their_bounds() -> None:
    """Over a cut and a return: what a router holds, and the bytes that it sends in any ten seconds."""
    made = world()
    settings = made.settings
    made.part(2, 40 * NS_PER_S)
    before = list(made.sent)
    for second in range(60):
        purges(made, 8, [1, 3], f"s{second}/")
        if second % 10 == 9:
            for node in range(60):
                assert made.sent[node] - before[node] <= 10 * settings.bytes_per_s + settings.burst_bytes
            before = list(made.sent)
    made.run(10)
    assert made.history.finish() == []
    for node in range(60):
        (log,) = made.router(node).archive.logs.values()
        assert len(log._retained) <= settings.retained_entries
        assert len(log._pending) <= settings.pending_entries


def test_a_router_that_starts_in_a_region_apart_isnt_fresh_by_what_its_neighbours_tell() -> None:
    """They tell the last heartbeat again, many times: it is no younger for that."""
    made = world()
    purges(made, 16, [1])
    made.part(2, 20 * NS_PER_S)
    made.run(3)
    made.kill(2)
    made.start(2)
    purges(made, 80, [1, 3], "apart")
    assert made.router(2).verdict(Topic.PURGES, made.now) is Verdict.STALE
    made.run(12)
    assert made.router(2).verdict(Topic.PURGES, made.now) is Verdict.FRESH
    assert made.history.finish() == []


def restart(made: World, node: int) -> None:
    made.start(node)


def chaos(seed: int, seconds: int = 20) -> World:
    """Deaths, stops, cuts both ways and one way, slow nodes and coordinators that stand still, at random."""
    rng = random.Random(seed)
    made = world(seed=seed, loss=rng.choice([0.0, 0.05, 0.3]))
    made.settings = replace(made.settings, retained_entries=rng.choice([16, 4_096]))
    for turn in range(seconds * 4):
        node = rng.choice([n for n in range(60) if n % 4])
        if rng.random() < 0.25 and turn < (seconds - 5) * 4:
            what = rng.randrange(6)
            if what == 0 and node in made.nodes:
                made.kill(node)
                made.later(rng.random() * 5, partial(restart, made, node))
            elif what == 1:
                made.stop(node, int(rng.random() * 4 * NS_PER_S))
            elif what == 2 and not made.cuts:
                made.part(rng.randrange(3), int(rng.random() * 8 * NS_PER_S))
            elif what == 3:
                made.slow[node] = int(rng.random() * 2 * NS_PER_S)
            elif what == 4:
                made.stop(made.leader, int(rng.random() * 5 * NS_PER_S))
        made.submit(4 * rng.randrange(15), rng.choice([1, 2]), pack_change(f"k{turn % 9}", b"%d" % turn))
        made.run(0.25)
    made.slow.clear()
    made.run(25)
    return made


@pytest.mark.parametrize("seed", [1, 2, 3, 33, 56])
def test_random_faults_break_no_rule(seed: int) -> None:
    """A change of a router that was cut off may be lost: then it wasn't told that it is committed."""
    made = chaos(seed)
    lost = [fault for fault in made.history.finish() if fault.startswith("never committed")]
    assert [fault for fault in made.history.faults if fault not in lost] == []
    told: Counter[Outcome] = sum((outcomes(made, node) for node in range(0, 60, 4)), Counter())
    assert len(lost) <= told[Outcome.UNKNOWN] + told[Outcome.REFUSED]
    assert told.total() == 80
    assert {made.router(node).verdict(Topic.PURGES, made.now) for node in range(60)} == {Verdict.FRESH}
