"""Decides which connections move to the next process, and when. No I/O; bytes and seconds are passed in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MAX_WAIT_FOR_VALUE_S = 0.2  # a value that ends within this time is not worth a transfer
EXIT_MARGIN_S = 0.2  # a value that is waited for must end this long before the process exits


class TransferDecision(Enum):
    """Whether a connection is transferred to the next process now."""

    MOVE = "move"
    WAIT = "wait"
    """The caller decides again when a reply has ended, or a moment later."""


@dataclass(frozen=True, slots=True)
class ValueProgress:
    """How far the transmission of a value to its client has got."""

    remaining_bytes: int
    """Bytes that have not been passed to the client."""
    delivered_bytes: int
    elapsed_s: float
    """Seconds since the transmission began."""

    @property
    def remaining_s(self) -> float:
        """Seconds until the end at the average rate so far; infinite if nothing has been delivered."""
        return (
            self.remaining_bytes * self.elapsed_s / self.delivered_bytes
            if self.delivered_bytes
            else float("inf")
        )


def decide_transfer(
    unanswered: int, values: Iterable[ValueProgress], process_time_left_s: float
) -> TransferDecision:
    """Return whether a connection with these unanswered requests and partly sent values is transferred now.

    A connection with unanswered requests waits: their deadlines bound the wait, and an attempt in progress is
    never known to two processes. Only the client's own pace bounds a value that has begun, so it is
    transferred unless it is about to end.
    """
    if unanswered:
        return TransferDecision.WAIT
    longest_s = max((value.remaining_s for value in values), default=0.0)
    if 0.0 < longest_s <= min(MAX_WAIT_FOR_VALUE_S, process_time_left_s - EXIT_MARGIN_S):
        return TransferDecision.WAIT
    return TransferDecision.MOVE
