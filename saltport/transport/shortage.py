"""Errors by which the system tells that this machine is short of something, and nothing of anybody else."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable, Collection
from typing import TypeVar

OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Of descriptors or memory: socket(2), bind(2), accept(2), open(2), read(2), write(2)."""
OF_DIALS = OF_RESOURCES | {errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EINTR}
"""Of what a connection needs here, local ports among them: socket(2), connect(2)."""
PAUSE_S = 0.01
"""Between two tries."""

T = TypeVar("T")


async def outlast(attempt: Callable[[], T], patience_s: float, errors: Collection[int] = OF_RESOURCES) -> T:
    """Try until the machine has what it takes; at the end of patience the last error is raised."""
    given_up = time.monotonic() + patience_s
    while True:
        try:
            return attempt()
        except OSError as error:
            if error.errno not in errors or time.monotonic() >= given_up:
                raise
        await asyncio.sleep(PAUSE_S)
