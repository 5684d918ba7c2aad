"""Numbered views of the live routers, and this router's quorum state.

Majorities are measured against a reference: the last view that stayed unchanged for a while in a majority
of the reference before it. Danger: if they were measured against the previous view, a half that is cut off
would see the others die one by one and be a majority at each step. No I/O; times are nanoseconds.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum

from saltport.peers.settings import PeerSettings


class QuorumState(StrEnum):
    """The position of a router relative to the reference members."""

    ALONE = "alone"
    """No other router is known."""
    ISOLATED = "isolated"
    """No other router is heard."""
    MINORITY = "minority"
    MAJORITY = "majority"


@dataclass(frozen=True, slots=True)
class View:
    """The set of live routers under one number, which rises with each change or batch of changes."""

    number: int
    digest: int
    members: frozenset[str]
    since: int


class Views:
    """The view, the reference for majorities and the quorum state of one router."""

    def __init__(self, settings: PeerSettings, me: str, expected_members: int, now: int) -> None:
        self._settings, self._me = settings, me
        self._expected_members = expected_members
        self.view = View(0, 0, frozenset((me,)), now)
        self._changed_at: int | None = None
        """When the live members were first seen to differ from the view; None where they agree."""
        self.reference = frozenset((me,))
        """The members that majorities are counted against; until a view has settled, this router only, and
        the size of the configured list of peers counts instead.
        """
        self.reference_number = 0
        self.quorum = QuorumState.ALONE
        self.quorum_since = now

    def update(self, digest: int, live: frozenset[str] | None, deaths_pending: bool, now: int) -> bool:
        """Compare the view with the live members; returns whether a new view begins.

        `live` is None where the digest shows no change. `deaths_pending`: more deaths may follow soon, so
        the change waits for them for a limited time.
        """
        if live is None or digest == self.view.digest:
            self._changed_at = None
            return False
        if self._changed_at is None:
            self._changed_at = now
        if deaths_pending and now - self._changed_at < self._settings.view_batch_ns:
            return False
        self.view = View(self.view.number + 1, digest, live, now)
        self._changed_at = None
        return True

    def adopt_number(self, number: int, digest: int) -> None:
        """Adopt the greater view number of another router that has the same live members."""
        if digest == self.view.digest and number > self.view.number:
            self.view = View(number, digest, self.view.members, self.view.since)

    def remove(self, name: str) -> None:
        """Remove a router that left on purpose from the reference."""
        self.reference -= {name}

    def settle(self, now: int) -> None:
        """Make the present view the reference by an operator's order, regardless of the quorum."""
        self._set_reference()
        self.update_quorum(False, False, frozenset(), now)

    def _set_reference(self) -> None:
        """Make the present view the reference."""
        self.reference, self.reference_number = self.view.members, self.view.number
        self._expected_members = 0

    def update_quorum(self, isolated: bool, just_started: bool, suspected: Set[str], now: int) -> bool:
        """Update the quorum state; returns whether it changed.

        `isolated`: no router is heard; `just_started`: this router just started or resumed. Danger: if
        suspected members counted as present, a side that is cut off would count itself a majority until the
        deaths are declared, which takes longest where few members are left to suspect.
        """
        view, reference = self.view, self.reference
        unsuspected = view.members - suspected
        present, required = len(reference & unsuspected), len(reference)
        if self._expected_members:
            present, required = len(unsuspected), self._expected_members
        if isolated and len(view.members | reference) > 1:
            state = QuorumState.ISOLATED
        elif len(view.members | reference) == 1:
            state = QuorumState.ALONE
        else:
            state = (
                QuorumState.MAJORITY if 2 * present > required and not just_started else QuorumState.MINORITY
            )
        changed = state is not self.quorum
        if changed:
            self.quorum, self.quorum_since = state, now
        if (
            state in (QuorumState.MAJORITY, QuorumState.ALONE)
            and reference != view.members
            and now - view.since >= self._settings.view_settle_ns
        ):
            self._set_reference()
        return changed
