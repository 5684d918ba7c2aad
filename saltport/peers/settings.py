"""Settings and limits of the membership protocol; times are nanoseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
MAX_DATAGRAM_BYTES = 256  # the platform's limit
MAX_MEMBERS = 16_384
"""The most records in the member table, including dead members: ten times the largest expected fleet.

It bounds memory (about 400 bytes per record) against a peer that invents names; see docs/design/bounds.md.
"""


def ceil_ms(duration_ns: int) -> int:
    """Return a duration in milliseconds, rounded up and at least 0.

    Rounding down at each hop would make a relayed silence look shorter than it is.
    """
    return max(-(-duration_ns // NS_PER_MS), 0)


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Rates, timeouts and limits of the membership protocol; the same at every router of a fleet."""

    rings: int = 4
    """The number of hash rings; each router probes its successor on each ring."""
    probe_period_ns: int = 500 * NS_PER_MS
    """The period within which a router probes each of its subjects once."""
    probe_retry_ns: int = 100 * NS_PER_MS
    """The time between two attempts of an unanswered probe."""
    direct_attempts: int = 2
    """The number of direct attempts before helpers are asked for indirect probes too."""
    probe_timeout_ns: int = 700 * NS_PER_MS
    """The time after which an unanswered probe fails."""
    helpers: int = 3
    """The number of helpers asked at each further attempt."""
    exploration_interval_ns: int = NS_PER_S
    """The time between two probes of routers that are not subjects on the rings."""
    min_silence_ns: int = 2_600 * NS_PER_MS
    """The silence after which a member with enough accusers is declared dead, in fleets of up to 30."""
    lone_accuser_factor: float = 4.0
    """How many times longer the silence must be with a single accuser."""
    confirmations: int = 2
    """The accusers besides the first one that suffice for the shortest silence."""
    mass_suspicion_share: float = 0.25
    """The share of members suspected at the same time from which a pause or a network partition is more
    likely than that many deaths.
    """
    mass_suspicion_factor: float = 1.6
    """How many times longer the silence must be during a mass suspicion."""
    heard_window_ns: int = 10 * NS_PER_S
    """The window within which a member counts as heard in the reachability report."""
    pause_threshold_ns: int = 1 * NS_PER_S
    """A longer gap between two ticks of this router's event loop counts as a pause."""
    view_settle_ns: int = 10 * NS_PER_S
    """How long a view must stay unchanged before it becomes the reference for majorities."""
    view_batch_ns: int = NS_PER_S
    """The longest time that a changed view waits for further expected deaths."""
    forget_after_ns: int = 600 * NS_PER_S
    """The time after which the record of a dead or departed member is removed."""
    max_members: int = MAX_MEMBERS
    """The size of the member table.

    Beyond it a new member replaces the record that has been dead or departed for longest, or is rejected.
    """
    bytes_per_s: int = 20_000
    """The budget for datagrams that may be skipped, with a burst of one second's worth."""
    refutation: bool = True
    """Whether suspicions can be refuted and are dated by the last time heard.

    Switched off only in benchmarks, to compare with plain SWIM.
    """

    def silence(self, members: int, accusers: int) -> int:
        """Return the silence, in nanoseconds, after which that many accusers may declare a member dead
        (Lifeguard, section 3.2).
        """
        shortest = self.min_silence_ns * max(1.0, math.log10(max(members, 1)) / math.log10(30))
        longest = shortest * self.lone_accuser_factor
        required = max(min(self.confirmations, members - 2), 0)
        if accusers > required:
            return int(shortest)
        if accusers <= 1:
            return int(longest)
        share = math.log(accusers) / math.log(required + 1)
        return int(longest - (longest - shortest) * share)
