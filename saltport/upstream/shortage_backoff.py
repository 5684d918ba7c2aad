"""Exponential backoff while this machine lacks the resources for a connection to a server, or for a write."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FIRST_PAUSE_S, MAX_PAUSE_S = 0.01, 0.1  # before dials are retried; doubled at each failure


class ShortageBackoff:
    """Backoff for one server: after each pause a dial or an idle connection is tried, until one succeeds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._pause_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_backing_off(self) -> bool:
        """Whether the latest try failed for lack of resources."""
        return self._pause_s > 0

    @property
    def is_paused(self) -> bool:
        """Whether a pause is running."""
        return self._timer is not None

    def allows_dial(self, dials: int) -> bool:
        """Whether one more dial may start beside `dials` others."""
        return self._timer is None and not (self.is_backing_off and dials)

    def start_pause(self, retry: Callable[[], None]) -> None:
        """Start a pause after a try failed for lack of resources; `retry` is called at its end."""
        if self._timer is not None:
            return  # one pause for tries that failed together
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S) if self._pause_s else FIRST_PAUSE_S
        self._timer = self._loop.call_later(self._pause_s, self._end_pause, retry)

    def reset(self) -> None:
        """End the backoff: a try succeeded, or failed for another reason."""
        self._pause_s = 0.0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_pause(self, retry: Callable[[], None]) -> None:
        self._timer = None
        retry()
