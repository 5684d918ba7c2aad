"""Watches the memory of a router process."""

from __future__ import annotations

import threading
from contextlib import suppress
from pathlib import Path

from tests.sockets import RunningRouter


def own_memory_mb(router: RunningRouter) -> float:
    """Return the resident memory of the router's process, without files that it has mapped."""
    status = Path(f"/proc/{router.process.pid}/status").read_text()
    return int(status.split("RssAnon:")[1].split()[0]) / 1024


class MemoryWatch:
    """Samples the router's memory within a `with` block."""

    def __init__(self, router: RunningRouter) -> None:
        self.most_mb = 0.0
        self._router, self._over = router, threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self._over.wait(0.01):
            with suppress(OSError):
                self.most_mb = max(self.most_mb, own_memory_mb(self._router))

    def __enter__(self) -> MemoryWatch:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over.set()
        self._thread.join()
