"""Who has been heard lately, directly or through others, by zone: kept apart from who is alive. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from saltport.peers.members import Members, Record
from saltport.peers.messages import Row

LEAST_ASKED = 2  # of a zone, before it is told as cut
MOST_ZONES = 8  # in a row
MOST_HELPERS = 3  # remembered for one subject


@dataclass(frozen=True, slots=True)
class ZoneReach:
    """One zone, as this router hears it: counts of live members other than itself."""

    direct: int
    """Heard on the direct path within the window."""
    relayed: int
    """Not so, but through others."""
    unheard: int
    """Asked or expected to speak within the window, and not heard."""
    unknown: int
    """Not tried within the window."""


class Reach:
    """This router's own ears, and the rows that others have told."""

    def __init__(self, window: int) -> None:
        self._window = window
        self.direct: dict[str, int] = {}
        """When each was last heard on the direct path."""
        self.relayed: dict[str, int] = {}
        self.asked: dict[str, int] = {}
        """When each was last asked directly, as far as the answer is due."""
        self._helpers: dict[str, dict[str, None]] = {}
        self.rows: dict[str, Row] = {}
        self.cut: tuple[str, ...] = ()
        self.version = 0

    def hear(self, name: str, now: int) -> None:
        """A datagram of this router came."""
        self.direct[name] = now

    def hear_of(self, name: str, helper: str, now: int) -> None:
        """A helper has heard it for this router: it is asked first the next time."""
        self.relayed[name] = now
        held = self._helpers.setdefault(name, {})
        held.pop(helper, None)
        held[helper] = None
        if len(held) > MOST_HELPERS:
            del held[next(iter(held))]

    def heard_at(self, name: str) -> int:
        """When it was last heard on any path; 0: never."""
        return max(self.direct.get(name, 0), self.relayed.get(name, 0))

    def helpers(self, name: str) -> list[str]:
        """Who has heard this router when we did not, the latest first."""
        return list(reversed(self._helpers.get(name, ())))

    def forget(self, name: str) -> None:
        """Drop all that is held of a router."""
        for held in (self.direct, self.relayed, self.asked, self._helpers, self.rows):
            held.pop(name, None)

    def take_row(self, row: Row) -> bool:
        """Take what another router tells; whether it is news."""
        held = self.rows.get(row.name)
        if held is not None and (held.start, held.version) >= (row.start, row.version):
            return False
        self.rows[row.name] = row
        return True

    def kind(self, record: Record, now: int) -> str:
        """How this router hears another: `direct`, `relayed`, `unheard` or `unknown`."""
        since = now - self._window
        if self.direct.get(record.name, 0) > since:
            return "direct"
        if self.relayed.get(record.name, 0) > since:
            return "relayed"
        return "unheard" if self.asked.get(record.name, 0) > since else "unknown"

    def zones(self, members: Members, me: str, now: int) -> dict[str, ZoneReach]:
        """By zone."""
        counts: dict[str, Counter[str]] = {}
        for record in members.live():
            if record.name != me:
                counts.setdefault(record.zone, Counter())[self.kind(record, now)] += 1
        return {
            zone: ZoneReach(held["direct"], held["relayed"], held["unheard"], held["unknown"])
            for zone, held in sorted(counts.items())
        }

    def news(self, members: Members, me: str, start: int, now: int) -> Row | None:
        """This router's row, if it says something else than the last one."""
        cut = tuple(
            zone
            for zone, held in self.zones(members, me, now).items()
            if not held.direct and held.relayed + held.unheard >= LEAST_ASKED
        )[:MOST_ZONES]
        if cut == self.cut:
            return None
        self.cut = cut
        self.version += 1
        return Row(me, start, self.version, cut)

    def cut_by(self, members: Iterable[Record]) -> dict[str, list[str]]:
        """By zone, the live routers that say they hear nobody there."""
        found: dict[str, list[str]] = {}
        for record in members:
            row = self.rows.get(record.name)
            if row is not None and row.start == record.start:
                for zone in row.cut:
                    found.setdefault(zone, []).append(record.name)
        return found
