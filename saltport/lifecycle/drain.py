"""The steps of draining a router. No I/O and no clock; all times are seconds since the drain began."""

from __future__ import annotations

import math
from dataclasses import dataclass

# The protocol: new connections still arrive for NEW_CONNECTIONS_S after SIGTERM. A request received up to
# KILL_SLACK_S after SIGTERM may be unanswered when SIGKILL arrives. The earliest SIGKILL is at the longest
# deadline, limited to MAX_DEADLINE_S, plus KILL_SLACK_S after SIGTERM.
NEW_CONNECTIONS_S, KILL_SLACK_S, MAX_DEADLINE_S = 0.4, 0.7, 3.0
# The operators' requirement for a drain by call: at this time no client connection is idle or has a request
# that was received within the last 2 s.
OPERATOR_DRAIN_S = 4.0

MAX_STEP_DELAY_S = 0.1  # maximum delay of a step, or of sending a last reply
MAX_WRITE_DELAY_S = 0.15  # STANDING: maximum delay of a router between reading its clock and writing
# Between the last replies and the earliest SIGKILL.
SIGKILL_MARGIN_S = MAX_WRITE_DELAY_S + MAX_STEP_DELAY_S / 2
ACCEPT_S = NEW_CONNECTIONS_S + MAX_STEP_DELAY_S
CLOSE_IDLE_S = 1.0
# A command that is complete by this time is answered, however long that takes.
CLOSE_MID_COMMAND_S = OPERATOR_DRAIN_S - 0.8
SHUTDOWN_CLOSE_MID_COMMAND_S = KILL_SLACK_S - MAX_STEP_DELAY_S / 2


@dataclass(frozen=True, slots=True)
class DrainStep:
    """Which connections are to be closed at one moment of a drain."""

    close_when_answered: bool
    """Connections close once their outstanding requests are answered."""
    close_idle: bool
    """Connections without an outstanding request or a partial command close."""
    close_mid_command: bool
    """Connections with a partially received command close too."""
    expired: bool
    """The drain ends: every request still open gets its final reply now."""


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """The start time of each step of a drain."""

    close_when_answered: float
    close_idle: float
    close_mid_command: float
    expired: float

    def step(self, elapsed_s: float) -> DrainStep:
        """Return the step in force `elapsed_s` after the drain began."""
        return DrainStep(
            elapsed_s >= self.close_when_answered,
            elapsed_s >= self.close_idle,
            elapsed_s >= self.close_mid_command,
            elapsed_s >= self.expired,
        )


OPERATOR_DRAIN = DrainPlan(ACCEPT_S, CLOSE_IDLE_S, CLOSE_MID_COMMAND_S, math.inf)
"""The plan for an operator's drain call: the router answers requests until an operator ends the drain."""


def shutdown_plan(longest_deadline_s: float, replaced: bool) -> DrainPlan:
    """Return the plan for a drain after SIGTERM.

    `replaced`: whether another process accepts clients in place of this one.
    """
    # Danger: clients still connect here for a while; requests sent to a closed listener are lost.
    close_when_answered = 0.0 if replaced else ACCEPT_S
    return DrainPlan(
        close_when_answered,
        close_when_answered,
        SHUTDOWN_CLOSE_MID_COMMAND_S,
        min(longest_deadline_s, MAX_DEADLINE_S) + KILL_SLACK_S - SIGKILL_MARGIN_S,
    )
