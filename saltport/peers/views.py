"""Numbered views of the live routers, and where this router stands: isolated, in a minority or in a majority.

The yardstick of majorities is the last view that stood unchanged for a while in a majority of the yardstick
before it. Danger: measured against the view of a moment ago, a half that is cut off would see the others die
one by one, and be a majority of what it last believed at each step. No I/O; times are nanoseconds.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum

from saltport.peers.settings import PeerSettings


class QuorumState(StrEnum):
    """Where a router stands among those last agreed on."""

    ALONE = "alone"
    """It knows of no other router."""
    ISOLATED = "isolated"
    """It hears nobody."""
    MINORITY = "minority"
    MAJORITY = "majority"


@dataclass(frozen=True, slots=True)
class View:
    """Who is live, as one number for all changes that came together."""

    number: int
    digest: int
    members: frozenset[str]
    since: int


class Views:
    """The view, the yardstick and the quorum state of one router."""

    def __init__(self, settings: PeerSettings, me: str, expected: int, now: int) -> None:
        self._settings, self._me = settings, me
        self._expected = expected
        self.view = View(0, 0, frozenset((me,)), now)
        self._changed: int | None = None
        self.yardstick = frozenset((me,))
        """Until a view has settled: this router only, and so many are expected as the list of peers has."""
        self.yardstick_number = 0
        self.quorum = QuorumState.ALONE
        self.quorum_since = now

    def look(self, digest: int, live: frozenset[str] | None, unsettled: bool, now: int) -> bool:
        """Compare with who is live; whether a new view begins. `unsettled`: more deaths may follow at once.

        `live` None: as `digest` says, nothing has changed.
        """
        if live is None or digest == self.view.digest:
            self._changed = None
            return False
        if self._changed is None:
            self._changed = now
        if unsettled and now - self._changed < self._settings.batch:
            return False
        self.view = View(self.view.number + 1, digest, live, now)
        self._changed = None
        return True

    def agree(self, number: int, digest: int) -> None:
        """Another router believes the same under this number: the greater one is the number of both."""
        if digest == self.view.digest and number > self.view.number:
            self.view = View(number, digest, self.view.members, self.view.since)

    def left(self, name: str) -> None:
        """A router went of its own will: nobody has to count with it."""
        self.yardstick -= {name}

    def settle(self, now: int) -> None:
        """Make the present view the yardstick, whatever it was: an operator's word."""
        self._measure()
        self.stand(False, False, frozenset(), now)

    def _measure(self) -> None:
        self.yardstick, self.yardstick_number = self.view.members, self.view.number
        self._expected = 0

    def stand(self, deaf: bool, fresh: bool, suspected: Set[str], now: int) -> bool:
        """Judge the quorum state; `deaf`: nobody is heard; `fresh`: it just came. Returns whether it changed.

        Danger: were the suspected counted as present, a side that is cut off would call itself the majority
        for as long as deaths take, which is longest where few are left to suspect.
        """
        view, held = self.view, self.yardstick
        sure = view.members - suspected
        present, wanted = len(held & sure), len(held)
        if self._expected:
            present, wanted = len(sure), self._expected
        if deaf and len(view.members | held) > 1:
            state = QuorumState.ISOLATED
        elif len(view.members | held) == 1:
            state = QuorumState.ALONE
        else:
            state = QuorumState.MAJORITY if 2 * present > wanted and not fresh else QuorumState.MINORITY
        changed = state is not self.quorum
        if changed:
            self.quorum, self.quorum_since = state, now
        if (
            state in (QuorumState.MAJORITY, QuorumState.ALONE)
            and held != view.members
            and now - view.since >= self._settings.settle
        ):
            self._measure()
        return changed
