"""Suspicions against one router, and when they amount to its death.

A death is dated from the last time that any accuser or witness heard the subject, not from when the first one
noticed: late accusers do not lengthen it. How long it must have been silent falls with the number of accusers
(Lifeguard, section 3.2). No I/O; times are nanoseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saltport.peers.members import Record
from saltport.peers.messages import Suspect
from saltport.peers.settings import NS_PER_MS, PeerSettings, in_ms

TRANSIT = 250 * NS_PER_MS  # by so much two tellings of one time may differ
MOST_ACCUSERS = 8  # that are remembered: more make no difference


@dataclass(slots=True)
class Suspicion:
    """Of one start and incarnation of one router."""

    start: int
    incarnation: int
    since: int
    heard: int
    """The last time that anyone is known to have heard it."""
    accusers: dict[str, None] = field(default_factory=dict)
    witnesses: dict[str, int] = field(default_factory=dict)
    """Who heard it, and when."""
    witnessed: int = 0
    """When this router last told the accusers that it hears the subject."""

    def is_of(self, record: Record) -> bool:
        """Whether it is of this very start and incarnation."""
        return (self.start, self.incarnation) == (record.start, record.incarnation)

    def told(self, name: str, accuser: str, now: int) -> Suspect:
        """The suspicion of one of its accusers, with the latest word that is known of anybody's."""
        return Suspect(name, self.start, self.incarnation, accuser, in_ms(now - self.heard))

    def suspect(self, accuser: str, heard: int) -> bool:
        """Take an suspicion, by who heard it last then; whether it is a new one."""
        self.heard = max(self.heard, heard)
        known = accuser in self.accusers or len(self.accusers) >= MOST_ACCUSERS
        if known or heard + TRANSIT < self.witnesses.get(accuser, 0):
            return False
        self.accusers[accuser] = None
        return True

    def vouch(self, witness: str, heard: int) -> None:
        """This router heard it at this time; if it was an accuser, what it said before counts no more."""
        self.heard = max(self.heard, heard)
        self.accusers.pop(witness, None)
        if witness in self.witnesses or len(self.witnesses) < MOST_ACCUSERS:
            self.witnesses[witness] = max(heard, self.witnesses.get(witness, 0))

    def pardon(self, accuser: str, now: int) -> None:
        """An accuser was paused: what it said counts no more, and the silence begins anew."""
        self.accusers.pop(accuser, None)
        self.heard = max(self.heard, now)

    def due(self, settings: PeerSettings, members: int, accusers: int, crowd: bool = False) -> int:
        """When it is dead, by so many accusers; `crowd`: it is one of many, perhaps a pause or a cut."""
        if not settings.refutes:
            return self.since + settings.silence(members, settings.confirmations + 1)
        silence = settings.silence(members, accusers)
        return self.heard + (int(silence * settings.crowd_factor) if crowd else silence)
