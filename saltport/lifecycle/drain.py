"""How a router is emptied, step by step. No I/O and no clock; all times are seconds since the drain began."""

from __future__ import annotations

import math
from dataclasses import dataclass

# The protocol's terms: after SIGTERM new connections go on coming for FRONT_S; what came by KILL_SLACK_S may
# be found unanswered by SIGKILL, and that comes no sooner than so long after the longest deadline, of which
# LONGEST_S count at the most.
FRONT_S, KILL_SLACK_S, LONGEST_S = 0.4, 0.7, 3.0
# The operators' terms for a drain by call: at DRAINED_S no client's connection is idle, or has a request
# that came within the last 2 s.
DRAINED_S = 4.0

LATE_S = 0.1  # by which a step may come late, or a last answer leave
HELD_UP_S = 0.15  # STANDING: for which a router may be held up between reading its clock and writing
END_MARGIN_S = HELD_UP_S + LATE_S / 2  # between the last answers and the earliest SIGKILL
ACCEPT_S = FRONT_S + LATE_S
IDLE_S = 1.0
MIDWAY_S = DRAINED_S - 0.8  # a command that is whole by then is answered, as long as it takes
END_MIDWAY_S = KILL_SLACK_S - LATE_S / 2


@dataclass(frozen=True, slots=True)
class Step:
    """What holds at one moment of a drain."""

    leaving: bool
    """Connections close after the answer that they wait for."""
    idle: bool
    """Connections that stand between requests close."""
    midway: bool
    """Connections within a command close, too."""
    over: bool
    """Nothing is waited for any longer: what is still open gets its final answer now."""


@dataclass(frozen=True, slots=True)
class Plan:
    """From when on each of a drain's steps holds."""

    leaving: float
    idle: float
    midway: float
    over: float

    def step(self, since: float) -> Step:
        """What holds so long after the drain began."""
        return Step(since >= self.leaving, since >= self.idle, since >= self.midway, since >= self.over)


BY_CALL = Plan(ACCEPT_S, IDLE_S, MIDWAY_S, math.inf)
"""An operator empties the router; it goes on answering until it is told to go back to work."""


def at_the_end(longest: float, replaced: bool) -> Plan:
    """At SIGTERM; `longest`: the longest deadline in seconds, `replaced`: another process accepts clients."""
    # Danger: clients are sent here for a while yet, and what they send to a closed door is lost.
    leaving = 0.0 if replaced else ACCEPT_S
    return Plan(leaving, leaving, END_MIDWAY_S, min(longest, LONGEST_S) + KILL_SLACK_S - END_MARGIN_S)
