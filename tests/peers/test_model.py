"""Random histories of a small fleet with faults in any order: invariants at each step, and agreement at the
end.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from benchmarks.peers_world import World
from saltport.peers.agent import Agent, MemberState
from saltport.peers.messages import Dead, Suspect
from saltport.peers.settings import NS_PER_S

COUNT = 5
places = st.integers(0, COUNT - 1)


class Fleet(RuleBasedStateMachine):
    """Five routers in virtual time, with random faults."""

    agent: type[Agent] = Agent

    def __init__(self) -> None:
        super().__init__()
        self.cut: set[tuple[int, int]] = set()
        self.clock = 1_000
        self.seen_orders: dict[tuple[int, str], tuple[int, int, int]] = {}

    @initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed: int) -> None:
        self.world = World(COUNT, seed, agent=self.agent)
        self.world.cuts.append(lambda here, there, _: (here, there) in self.cut)
        self.world.start_all()
        self.world.run(3)

    @rule(seconds=st.floats(0.1, 6))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(place=places)
    def kill(self, place: int) -> None:
        if place in self.world.agents:
            self.world.kill(place)

    @rule(place=places, clock_set_back=st.booleans())
    def start(self, place: int, clock_set_back: bool) -> None:
        if place not in self.world.agents:
            self.clock += 1
            self.world.start(place, 5 if clock_set_back else self.clock)
            self.seen_orders = {key: order for key, order in self.seen_orders.items() if key[0] != place}

    @rule(place=places)
    def leave(self, place: int) -> None:
        if place in self.world.agents:
            self.world.leave(place)

    @rule(place=places, seconds=st.integers(1, 12))
    def pause(self, place: int, seconds: int) -> None:
        self.world.pause(place, seconds * NS_PER_S)

    @rule(here=places, there=places)
    def cut_one_way(self, here: int, there: int) -> None:
        self.cut.add((here, there))

    @rule(group=st.sets(places))
    def partition(self, group: set[int]) -> None:
        self.cut |= {(a, b) for a in range(COUNT) for b in range(COUNT) if (a in group) != (b in group)}

    @rule(loss=st.floats(0, 0.5))
    def lose_packets(self, loss: float) -> None:
        self.world.loss = loss

    @rule()
    def open_all_links(self) -> None:
        self.cut.clear()
        self.world.loss = 0

    @invariant()
    def records_never_go_back(self) -> None:
        for place, agent in self.world.agents.items() if hasattr(self, "world") else ():
            for name, record in agent.members.records.items():
                assert record.order >= self.seen_orders.get((place, name), (-1, 0, 0))
                self.seen_orders[place, name] = record.order

    @invariant()
    def no_incarnation_exceeds_the_routers_own(self) -> None:
        """Only a router itself raises its incarnation, so no other router knows a greater one."""
        for agent in self.world.agents.values() if hasattr(self, "world") else ():
            for other in self.world.agents.values():
                record = other.members.records.get(agent.name)
                if (
                    record is not None
                    and record.start == agent.me.start
                    and agent.state is MemberState.MEMBER
                ):
                    assert record.incarnation <= agent.me.incarnation

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        self.cut.clear()
        self.world.loss = 0
        self.world.run(13)  # paused routers resume
        if len(self.world.agents) < 2:
            return  # a router that hears nobody declares nobody dead
        assert self.world.until_agreed(30) < 30
        for agent in self.world.agents.values():
            assert not any(suspicion.accusers for suspicion in agent.suspicions.by_name.values())


def play(machine: type[Fleet], examples: int) -> None:
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples, stateful_step_count=20, deadline=None, derandomize=True,
            suppress_health_check=list(HealthCheck), phases=(Phase.generate,),
        ),
    )  # fmt: skip


def test_records_never_go_back_and_all_agree_in_the_end() -> None:
    play(Fleet, 60)


class _NeverRefutes(Agent):
    def _on_own_suspicion(self, update: Suspect | Dead, sender: str, now: int) -> None:
        """A planted defect: a suspicion of this router is ignored."""


class _ForgetsIncarnation(Agent):
    def _raise_incarnation(self, incarnation: int, now: int) -> None:
        super()._raise_incarnation(incarnation, now)
        self.me.incarnation = 0  # a planted defect: the incarnation is lost


def test_a_planted_defect_is_found() -> None:
    machine = type("Defect", (Fleet,), {"agent": _ForgetsIncarnation})
    with pytest.raises(AssertionError):
        play(machine, 60)


@pytest.mark.parametrize(("agent", "heals"), [(Agent, True), (_NeverRefutes, False)])
def test_without_refutation_a_dead_router_does_not_return(agent: type[Agent], heals: bool) -> None:
    world = World(6, 1, agent=agent)
    world.start_all()
    world.run(3)
    world.cuts.append(lambda here, there, _: here % 2 != there % 2)
    world.run(15)
    world.cuts.clear()
    assert (world.until_agreed(15) < 5) is heals
