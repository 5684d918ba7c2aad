"""How a router is emptied, step by step. No I/O and no clock; all times are seconds since the drain began."""

from __future__ import annotations

import math
from dataclasses import dataclass

ACCEPT_S = 0.5  # for which a front may still send new connections after the first no
IDLE_S = 1.0
# A request that came whole by then has 0.8 s left at 4 s; a longer one is answered all the same.
MIDWAY_S = 3.2
END_MIDWAY_S = 0.65
KILL_SLACK_S = 0.65  # beyond the longest deadline; SIGKILL comes no sooner than 0.7 s


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
    """Nothing is waited for any longer."""


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
    return Plan(leaving, leaving, END_MIDWAY_S, longest + KILL_SLACK_S)
