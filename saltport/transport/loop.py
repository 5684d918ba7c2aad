"""The router's event loop: asyncio's own, with this package's poller.

uvloop is not used for the router: libuv aborts the process when a descriptor can't be watched, and its
streams close a connection after any failed read or write (docs/design/transport.md).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

from saltport.transport import shortage
from saltport.transport.poller import Poller

CREATION_TIMEOUT_S = 10.0  # for a loop that the machine has no descriptors for
RETRY_PAUSE_S = 0.01  # between two attempts to create the event loop

T = TypeVar("T")


class RouterEventLoop(asyncio.SelectorEventLoop):
    """The standard library's loop, with a `time` that calls the C function directly."""

    time = staticmethod(time.monotonic)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Create an event loop; waits while the machine lacks the resources. Raises OSError after a timeout."""
    give_up_at = time.monotonic() + CREATION_TIMEOUT_S
    while True:
        try:
            return RouterEventLoop(Poller())
        except OSError as error:
            if error.errno not in shortage.RESOURCE_ERRORS or time.monotonic() >= give_up_at:
                raise
        time.sleep(RETRY_PAUSE_S)


def run_on_router_loop(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on the router's event loop, and return its result."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(main)
