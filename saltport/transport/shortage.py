"""Errors that mean a lack of resources on this machine, not a fault of a peer, and a retry for them."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable, Collection
from typing import TypeVar

RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Lack of descriptors or memory: socket(2), bind(2), accept(2), open(2), read(2), write(2)."""
DIAL_ERRORS = RESOURCE_ERRORS | {errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EINTR}
"""Lack of what a new connection needs, local ports included: socket(2), connect(2)."""
RETRY_PAUSE_S = 0.01
"""Pause between two attempts."""

T = TypeVar("T")


async def retry_on_shortage(
    attempt: Callable[[], T], timeout_s: float, errors: Collection[int] = RESOURCE_ERRORS
) -> T:
    """Call `attempt` again while it fails with one of `errors`, and return its result.

    Raises the last error after `timeout_s`, and any other error at once.
    """
    give_up_at = time.monotonic() + timeout_s
    while True:
        try:
            return attempt()
        except OSError as error:
            if error.errno not in errors or time.monotonic() >= give_up_at:
                raise
        await asyncio.sleep(RETRY_PAUSE_S)
