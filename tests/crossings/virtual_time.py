"""An event loop over real sockets whose clock advances to the next timer when no socket is ready.

Peers run in the same loop, and loopback delivers bytes at once. So results do not depend on the speed of the
machine, and periods of seconds are checked to the millisecond without waiting.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout is None:
            raise AssertionError("no socket is ready and no timer is set")
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while no socket is ready."""

    def __init__(self) -> None:
        self._clock = _VirtualTimeSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now


def advance_time(seconds: float) -> None:
    """Advance the clock while the loop is blocked, as on a busy machine."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop._clock.now += seconds


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario in an event loop with virtual time."""
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scenario)
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
    finally:
        asyncio.set_event_loop(None)
        loop.close()
