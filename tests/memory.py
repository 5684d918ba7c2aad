"""Watches the memory of a router process."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path

from tests.sockets import RunningRouter


def own_memory_mb(router: RunningRouter) -> float:
    """Return the resident memory of the router's process, without files that it has mapped."""
    status = Path(f"/proc/{router.process.pid}/status").read_text()
    return int(status.split("RssAnon:")[1].split()[0]) / 1024


def resident_mb(pid: int) -> float:
    """Return the whole resident memory of a process, with files that it has mapped; 0 once it has ended."""
    with suppress(OSError, IndexError):
        status = Path(f"/proc/{pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0]) / 1024
    return 0.0


def files_mb(folder: Path) -> float:
    """Return the size of all files below a folder, which count as memory."""
    with suppress(OSError):
        return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file()) / 2**20
    return 0.0


class WholeMemoryWatch:
    """Samples the memory that the platform counts: of all processes of a router, and its files."""

    def __init__(self, folder: Path, process_ids: Callable[[], Iterable[int]]) -> None:
        self.most_mb = self.last_mb = 0.0
        self.most_parts_mb: list[float] = []
        """Of each process, and of the files, when there was most."""
        self._folder, self._process_ids, self._over = folder, process_ids, threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        while not self._over.wait(0.02):
            parts_mb = [*map(resident_mb, self._process_ids()), files_mb(self._folder)]
            self.last_mb = sum(parts_mb)
            if self.last_mb > self.most_mb:
                self.most_mb, self.most_parts_mb = self.last_mb, parts_mb

    def __enter__(self) -> WholeMemoryWatch:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over.set()
        self._thread.join()


class MemoryWatch(WholeMemoryWatch):
    """Samples the memory of a router of one process within a `with` block."""

    def __init__(self, router: RunningRouter) -> None:
        super().__init__(router.folder, lambda: [router.process.pid])
