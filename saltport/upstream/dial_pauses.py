"""Growing pauses between the dials to a server, while this machine has no resources for a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FIRST_S, LONGEST_S = 0.01, 0.1


class DialPauses:
    """Of the dials to one server: a single one is tried after each pause until one has gone through."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pause_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> bool:
        """Whether the last dial failed for want of resources, and none has gone through since."""
        return self._pause_s > 0

    def allow(self, under_way: int) -> bool:
        """Whether one more may be dialed, beside so many dials that are under way."""
        return self._timer is None and not (self.waiting and under_way)

    def begin(self, dial: Callable[[], None]) -> None:
        """A dial failed for want of resources; `dial` is called after the pause."""
        if self._timer is not None:
            return  # of several that failed together
        self._pause_s = min(self._pause_s * 2, LONGEST_S) if self._pause_s else FIRST_S
        self._timer = self._loop.call_later(self._pause_s, self._pause_over, dial)

    def over(self) -> None:
        """A dial went through, or failed for a reason of the server's."""
        self._pause_s = 0.0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _pause_over(self, dial: Callable[[], None]) -> None:
        self._timer = None
        dial()
