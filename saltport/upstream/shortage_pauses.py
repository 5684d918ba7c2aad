"""Growing pauses while this machine has no resources to ask a server: for a connection, or for a write."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FIRST_S, LONGEST_S = 0.01, 0.1


class ShortagePauses:
    """Of one server: after each pause a dial, or the idle connections, are tried until one goes through."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pause_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> bool:
        """Whether the last try failed for want of resources, and none has gone through since."""
        return self._pause_s > 0

    @property
    def paused(self) -> bool:
        """Whether nothing is tried just now."""
        return self._timer is not None

    def allow(self, under_way: int) -> bool:
        """Whether one more may be dialed, beside so many dials that are under way."""
        return self._timer is None and not (self.waiting and under_way)

    def begin(self, again: Callable[[], None]) -> None:
        """A try failed for want of resources; `again` is called after the pause."""
        if self._timer is not None:
            return  # of several that failed together
        self._pause_s = min(self._pause_s * 2, LONGEST_S) if self._pause_s else FIRST_S
        self._timer = self._loop.call_later(self._pause_s, self._pause_over, again)

    def over(self) -> None:
        """A try went through, or failed for a reason of the server's."""
        self._pause_s = 0.0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _pause_over(self, again: Callable[[], None]) -> None:
        self._timer = None
        again()
