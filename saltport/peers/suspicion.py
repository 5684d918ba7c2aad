"""The suspicion against one router, its accusers and witnesses, and when it becomes a death.

The silence of the subject counts from the last time that any accuser or witness heard it, not from the
first suspicion, so late accusers do not delay the death. The required silence shrinks with the number of
accusers (Lifeguard, section 3.2). No I/O; times are nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saltport.peers.members import Record
from saltport.peers.messages import Suspect
from saltport.peers.settings import NS_PER_MS, PeerSettings, ceil_ms

TRANSIT_TOLERANCE_NS = 250 * NS_PER_MS  # time by which two reports of the same moment may differ
MAX_ACCUSERS = 8  # limit of the accusers stored for a suspicion: more make no difference


@dataclass(slots=True)
class Suspicion:
    """The suspicion against one start and incarnation of a router."""

    start: int
    incarnation: int
    started_at: int
    last_heard_at: int
    """The last time that any accuser or witness is known to have heard the subject."""
    accusers: dict[str, None] = field(default_factory=dict)
    witnesses: dict[str, int] = field(default_factory=dict)
    """The routers that heard the subject, with the time when each last did."""
    notified_at: int = 0
    """When this router last notified the accusers that it hears the subject."""

    def matches(self, record: Record) -> bool:
        """Whether the suspicion is about the start and incarnation of a record."""
        return (self.start, self.incarnation) == (record.start, record.incarnation)

    def to_update(self, name: str, accuser: str, now: int) -> Suspect:
        """Return the suspicion as an update of one accuser, with the latest time heard by anyone."""
        return Suspect(name, self.start, self.incarnation, accuser, ceil_ms(now - self.last_heard_at))

    def add_accuser(self, accuser: str, heard_at: int) -> bool:
        """Add an accuser, with the time when it last heard the subject; returns whether it is new."""
        self.last_heard_at = max(self.last_heard_at, heard_at)
        known = accuser in self.accusers or len(self.accusers) >= MAX_ACCUSERS
        if known or heard_at + TRANSIT_TOLERANCE_NS < self.witnesses.get(accuser, 0):
            return False
        self.accusers[accuser] = None
        return True

    def add_witness(self, witness: str, heard_at: int) -> None:
        """Record when a router heard the subject; the router is no longer an accuser."""
        self.last_heard_at = max(self.last_heard_at, heard_at)
        self.accusers.pop(witness, None)
        if witness in self.witnesses or len(self.witnesses) < MAX_ACCUSERS:
            self.witnesses[witness] = max(heard_at, self.witnesses.get(witness, 0))

    def withdraw_accuser(self, accuser: str, now: int) -> None:
        """Remove an accuser that was paused or cut off, and restart the silence."""
        self.accusers.pop(accuser, None)
        self.last_heard_at = max(self.last_heard_at, now)

    def death_due_at(
        self, settings: PeerSettings, members: int, accusers: int, mass_suspicion: bool = False
    ) -> int:
        """Return when the subject may be declared dead, unless it is heard before.

        `members` is the number of live members, `accusers` that of credible accusers; both determine the
        required silence, which is longer during a mass suspicion.
        """
        if not settings.refutation:
            return self.started_at + settings.silence(members, settings.confirmations + 1)
        silence = settings.silence(members, accusers)
        return self.last_heard_at + (
            int(silence * settings.mass_suspicion_factor) if mass_suspicion else silence
        )
