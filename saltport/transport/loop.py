"""asyncio's event loop on this package's poller.

uvloop is not used for the router: libuv ends the process where a descriptor can't be watched, and its streams
end a connection at any error of a read or write (docs/design/transport.md).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from saltport.transport import shortage
from saltport.transport.poller import Poller

PATIENCE_S = 10.0  # for a loop that the machine has no descriptors for
PAUSE_S = 0.01

T = TypeVar("T")


class RouterEventLoop(asyncio.SelectorEventLoop):
    """The loop of the standard library, told the time without a call of Python's in between."""

    time = staticmethod(time.monotonic)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Make a loop; waits while the machine is short of what it needs. Raises OSError."""
    given_up = time.monotonic() + PATIENCE_S
    while True:
        try:
            return RouterEventLoop(Poller())
        except OSError as error:
            if error.errno not in shortage.OF_RESOURCES or time.monotonic() >= given_up:
                raise
        time.sleep(PAUSE_S)


def on_router_loop(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine as the router's process does, to its end. Raises what it raises."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)
