"""asyncio's event loop on this package's poller.

uvloop is not used for the router: libuv ends the process where a descriptor can't be watched, and its streams
end a connection at any error of a read or write (docs/design/transport.md).
"""

from __future__ import annotations

import asyncio
import time

from saltport.transport import shortage
from saltport.transport.poller import Poller

PATIENCE_S = 10.0  # for a loop that the machine has no descriptors for
PAUSE_S = 0.01


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Make a loop; waits while the machine is short of what it needs. Raises OSError."""
    given_up = time.monotonic() + PATIENCE_S
    while True:
        try:
            return asyncio.SelectorEventLoop(Poller())
        except OSError as error:
            if error.errno not in shortage.OF_RESOURCES or time.monotonic() >= given_up:
                raise
        time.sleep(PAUSE_S)
