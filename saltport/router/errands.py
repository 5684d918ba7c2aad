"""What the router asks of servers on its own account: probes, plain writes and voids."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from saltport.decisions import CacheNote, Event, Outcome, ProbeEnded
from saltport.upstream.pool import Exchange

if TYPE_CHECKING:
    from saltport.router.host import RouterHost


class ProbeExchange(Exchange):
    """One probe of a server."""

    def __init__(self, host: RouterHost, server: str, timeout: int) -> None:
        self._host, self._server = host, server
        self.wants_load = bool(host.settings.load_fields)
        self._sent_at = time.monotonic_ns()
        self._timer = host.call_at(self._sent_at + timeout, self._timed_out)

    def _timed_out(self) -> None:
        self.give_up(Outcome.TIMEOUT)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheNote | None = None) -> None:
        """Tell the module."""
        self._timer.cancel()
        latency = time.monotonic_ns() - self._sent_at
        self._host.tell(ProbeEnded(self._server, outcome, latency))


class PlainExchange(Exchange):
    """A plain write or void of a key at a cache node, which no client asked for."""

    def __init__(
        self, host: RouterHost, words: tuple[bytes, ...], timeout: int, told: Callable[[Outcome], Event]
    ) -> None:
        self._host, self.plain, self._told = host, words, told
        self._timer = host.call_at(time.monotonic_ns() + timeout, self._timed_out)

    def _timed_out(self) -> None:
        # One that waits for a free connection never ran.
        self.give_up(Outcome.MOOT if self.connection is None else Outcome.TIMEOUT)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheNote | None = None) -> None:
        """Tell the module."""
        self._timer.cancel()
        self._host.tell(self._told(outcome))
