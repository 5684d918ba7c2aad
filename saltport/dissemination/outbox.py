"""Queue of outgoing datagrams, limited by the sender's byte budget. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from saltport.dissemination.budget import Budget, WorkKind
from saltport.dissemination.messages import Message, encode
from saltport.dissemination.settings import ENVELOPE_BYTES, UDP_IP_HEADER_BYTES


class Outgoing(NamedTuple):
    """An outgoing datagram."""

    target: int
    """Node number of the receiver."""
    message: Message
    size: int
    """Size on the wire in bytes."""


class SendQueue:
    """Accepts messages as long as the budget has room for their kind of work."""

    def __init__(self, bytes_per_s: float, burst: float, now: int) -> None:
        self.budget = Budget(bytes_per_s, burst, now)
        self._waiting: list[Outgoing] = []

    def enqueue(self, work: WorkKind, targets: Iterable[int], message: Message, now: int) -> None:
        """Queue a message for each target; messages over budget are dropped and counted."""
        size = len(encode(message)) + ENVELOPE_BYTES + UDP_IP_HEADER_BYTES
        for target in targets:
            if self.budget.admit(work, size, now):
                self._waiting.append(Outgoing(target, message, size))

    def take_datagrams(self) -> list[Outgoing]:
        """Return all queued datagrams, and clear the queue."""
        waiting, self._waiting = self._waiting, []
        return waiting
