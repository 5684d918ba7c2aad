"""Sessions indexed by router: the latest is found without a search of all sessions."""

from __future__ import annotations

from collections.abc import Iterator

from hypothesis import given
from hypothesis import strategies as st

from saltport.owners.assignments import Assignments, Session
from saltport.owners.coordinator import Coordinator
from saltport.owners.messages import Renew
from saltport.owners.sessions import Sessions
from saltport.owners.settings import OwnerSettings

FLEET = 1_600
STEPS = st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 3), st.booleans()), max_size=30)


@given(steps=STEPS)
def test_the_latest_of_a_name_is_what_a_search_through_all_finds(steps: list[tuple[str, int, bool]]) -> None:
    sessions = Sessions()
    expected: dict[Session, int] = {}
    for at, (name, start, is_renewed) in enumerate(steps):
        session = Session(name, start)
        if is_renewed:
            sessions.renew(session, at)
            expected[session] = at
        elif session in expected:
            sessions.forget(session)
            del expected[session]
        assert dict(sessions.items()) == expected
        assert list(sessions) == list(expected)
        for known in "ab":
            assert sessions.latest(known) == max((s for s in expected if s.name == known), default=None)
        assert sessions.renewed_at(session, -1) == expected.get(session, -1)


class Unsearchable(Sessions):
    """Sessions that refuse iteration."""

    def __iter__(self) -> Iterator[Session]:
        raise AssertionError("all sessions are looked through")

    def items(self) -> Iterator[tuple[Session, int]]:
        raise AssertionError("all sessions are looked through")


def test_a_renewal_looks_at_the_sessions_of_its_own_router_only() -> None:
    coordinator = Coordinator(Assignments.empty(), OwnerSettings(), 0)
    coordinator._sessions = Unsearchable()
    for number in range(FLEET):
        assert coordinator.renew(Renew(Session(f"r{number}", 1), 0, 0), 1)
    assert coordinator.renew(Renew(Session("r7", 2), 0, 0), 3)
    assert coordinator.renew(Renew(Session("r7", 1), 0, 0), 4) == [], "a process before the latest"
