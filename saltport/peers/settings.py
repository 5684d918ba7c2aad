"""The figures that membership goes by; times are nanoseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
DATAGRAM = 256  # bytes: the platform's limit
MOST_MEMBERS = 16_384
"""Routers that are remembered, the dead among them: ten times the largest fleet in sight. It bounds memory
(some 400 bytes each, as they come) against a peer that makes up names; docs/design/bounds.md."""


def in_ms(time: int) -> int:
    """Milliseconds, rounded up: what is told must not grow younger on its way."""
    return max(-(-time // NS_PER_MS), 0)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Rates and times; the same at every router of a fleet."""

    rings: int = 4
    """On each, a router watches the one behind it."""
    period: int = 500 * NS_PER_MS
    """In which each watched router is asked once."""
    retry: int = 100 * NS_PER_MS
    """Between two tries of one probe that has no answer."""
    direct_tries: int = 2
    """Tries before helpers are asked as well."""
    patience: int = 700 * NS_PER_MS
    """After which a probe has failed."""
    helpers: int = 3
    """Asked at each further try."""
    explore: int = NS_PER_S
    """Between two probes to somebody who is not watched."""
    least_silence: int = 2_600 * NS_PER_MS
    """From the last time heard to a death, of which several are sure, in fleets of up to 30."""
    lone_factor: float = 4.0
    """How many times as long it takes where one router alone is sure."""
    confirmations: int = 2
    """Accusers beside the first from which on the least silence is enough."""
    crowd_share: float = 0.25
    """Of all members under suspicion at a time: then it is rather a pause or a cut than so many deaths."""
    crowd_factor: float = 1.6
    """How many times as long it takes then."""
    heard_window: int = 10 * NS_PER_S
    """For so long somebody counts as heard, for reach and for being isolated."""
    gap: int = 1 * NS_PER_S
    """Longer without a turn of this router's loop is a pause."""
    settle: int = 10 * NS_PER_S
    """For so long a view stands before it is the yardstick of majorities."""
    batch: int = NS_PER_S
    """The longest that a change waits for others under way."""
    forget: int = 600 * NS_PER_S
    """After which somebody dead or gone is forgotten."""
    most_members: int = MOST_MEMBERS
    """Beyond it a newcomer takes the place of who has been dead or gone for longest, or is turned away."""
    bytes_per_s: int = 20_000
    """The most that is sent, with one second's worth at once."""
    refutes: bool = True
    """Off only to measure its worth: vouching, dated silence, lone accusers' patience."""

    def silence(self, members: int, accusers: int) -> int:
        """How long somebody must be silent to be declared dead by so many accusers (Lifeguard, 3.2)."""
        least = self.least_silence * max(1.0, math.log10(max(members, 1)) / math.log10(30))
        most = least * self.lone_factor
        wanted = max(min(self.confirmations, members - 2), 0)
        if accusers > wanted:
            return int(least)
        if accusers <= 1:
            return int(most)
        share = math.log(accusers) / math.log(wanted + 1)
        return int(most - (most - least) * share)
