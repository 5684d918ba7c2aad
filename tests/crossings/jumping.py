"""A loop whose clock jumps to the next timer once no byte is on its way, over real sockets.

Peers run in the same loop, and loopback hands bytes on at once: so nothing rests on the machine's speed, and
terms of seconds are checked to the millisecond in no time.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _Selector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout is None:
            raise AssertionError("nothing is on its way, and nothing is waited for")
        if not ready and timeout:
            self.now += timeout
        return ready


class JumpingLoop(asyncio.SelectorEventLoop):
    """Its seconds pass only while nothing happens."""

    def __init__(self) -> None:
        self._times = _Selector()
        super().__init__(self._times)

    def time(self) -> float:
        return self._times.now


def pass_time(seconds: float) -> None:
    """Let the clock run on though the loop stands still, as on a machine that is busy."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, JumpingLoop)
    loop._times.now += seconds


def play(scene: Coroutine[Any, Any, None]) -> None:
    loop = JumpingLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(scene)
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
    finally:
        asyncio.set_event_loop(None)
        loop.close()
