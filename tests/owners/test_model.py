"""Random fault histories: each task has at most one owner, and no effect of an older epoch is applied."""

from __future__ import annotations

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from tests.owners.fleet import Fleet

COUNT = 5
names = st.sampled_from([f"r{number}" for number in range(COUNT)])


class Ownership(RuleBasedStateMachine):
    """Five routers with three or five voters; Fleet.check raises after any event that leaves two owners."""

    def __init__(self) -> None:
        super().__init__()
        self.cut: set[tuple[str, str]] = set()
        self.epochs: dict[str, int] = {}

    @initialize(seed=st.integers(0, 1 << 16), voters=st.sampled_from([3, 5]))
    def begin(self, seed: int, voters: int) -> None:
        self.fleet = Fleet(COUNT, voters, seed, tasks=3)
        self.fleet.cut = lambda here, there: (here, there) in self.cut
        self.fleet.run(6)

    @rule(seconds=st.floats(0.05, 5))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(name=names, seconds=st.floats(0.1, 12))
    def stop(self, name: str, seconds: float) -> None:
        self.fleet.stop(name, seconds)

    @rule(name=names)
    def crash(self, name: str) -> None:
        self.fleet.crash(name)

    @rule(name=names)
    def boot(self, name: str) -> None:
        if name not in self.fleet.members:
            self.fleet.boot(name)

    @rule(name=names)
    def drain(self, name: str) -> None:
        if name in self.fleet.members and name not in self.fleet.stopped:
            self.fleet.members[name].resign(self.fleet.clock(name))
            self.fleet.perform_output(name)
            self.fleet.run(0.1)
            self.fleet.crash(name)

    @rule(name=names, to=names)
    def hand_over_leadership(self, name: str, to: str) -> None:
        member = self.fleet.members.get(name)
        if member is not None and member.raft is not None and name not in self.fleet.stopped:
            member.raft.transfer_leadership(to, self.fleet.clock(name))
            self.fleet.perform_output(name)

    @rule(here=names, there=names)
    def cut_one_way(self, here: str, there: str) -> None:
        self.cut.add((here, there))

    @rule(group=st.sets(names))
    def partition_network(self, group: set[str]) -> None:
        everyone = self.fleet.names
        self.cut |= {(a, b) for a in everyone for b in everyone if (a in group) != (b in group)}

    @rule(loss=st.floats(0, 0.5), slow=st.sampled_from([8, 900, 3_000]))
    def stress_network(self, loss: float, slow: int) -> None:
        self.fleet.loss, self.fleet.delay = loss, (1_000_000, slow * 1_000_000)

    @rule()
    def heal_network(self) -> None:
        self.cut.clear()
        self.fleet.loss, self.fleet.delay = 0.0, (1_000_000, 8_000_000)

    @invariant()
    def epochs_only_rise(self) -> None:
        for member in self.fleet.members.values() if hasattr(self, "fleet") else ():
            if member.raft is not None and member.coordinator is not None:
                for task, assignment in member.assignments.tasks.items():
                    assert assignment.epoch >= self.epochs.get(task, 0)
                    self.epochs[task] = assignment.epoch

    def teardown(self) -> None:
        if not hasattr(self, "fleet"):
            return
        self.heal_network()
        for name in self.fleet.names:
            if name not in self.fleet.members:
                self.fleet.boot(name)
        self.fleet.run(13)
        self.fleet.until_owned()
        assert self.fleet.applied_from_older() == 0


def test_one_owner_in_random_histories() -> None:
    run_state_machine_as_test(
        Ownership,
        settings=settings(
            max_examples=40, stateful_step_count=20, deadline=None, derandomize=True, database=None,
            suppress_health_check=list(HealthCheck), phases=(Phase.generate,),
        ),
    )  # fmt: skip
