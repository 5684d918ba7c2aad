"""Datagrams that wait to be sent, within the budget of their sender. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from saltport.dissemination.budget import Budget, Work
from saltport.dissemination.messages import Message, encode
from saltport.dissemination.settings import ENVELOPE_BYTES, UDP_IP_HEADER_BYTES


class Outgoing(NamedTuple):
    """One datagram."""

    target: int
    """The receiver's node number."""
    message: Message
    size: int
    """Bytes on the wire."""


class SendQueue:
    """Takes messages as long as the budget has room for their kind of work."""

    def __init__(self, bytes_per_s: float, burst: float, now: int) -> None:
        self.budget = Budget(bytes_per_s, burst, now)
        self._waiting: list[Outgoing] = []

    def send(self, work: Work, targets: Iterable[int], message: Message, now: int) -> None:
        """Queue one message for each target; what the budget refuses is dropped and counted."""
        size = len(encode(message)) + ENVELOPE_BYTES + UDP_IP_HEADER_BYTES
        for target in targets:
            if self.budget.admit(work, size, now):
                self._waiting.append(Outgoing(target, message, size))

    def take_datagrams(self) -> list[Outgoing]:
        """All that waits."""
        waiting, self._waiting = self._waiting, []
        return waiting
