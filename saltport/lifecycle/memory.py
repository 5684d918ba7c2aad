"""The memory of this router as the kernel counts it."""

from __future__ import annotations

import os
from pathlib import Path

STATUS = Path("/proc/self/status")
KIB = 1 << 10
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MAX_STATM_BYTES = 256


def private_memory_bytes() -> int | None:
    """Return the resident memory without mapped files (RssAnon); None if it can't be determined."""
    try:
        text = STATUS.read_text()
    except OSError:
        return None
    for line in text.splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * KIB
    return None


def resident_memory_bytes(process_id: int | None = None) -> int | None:
    """Return the resident memory of a process, or of this one, with mapped files; None if it is unknown."""
    try:
        descriptor = os.open(f"/proc/{process_id or 'self'}/statm", os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return None
    try:
        return int(os.read(descriptor, MAX_STATM_BYTES).split()[1]) * PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return None
    finally:
        os.close(descriptor)


def folder_bytes(folder: Path) -> int:
    """Return the size of all files below a folder; what can't be read counts nothing."""
    size = 0
    for path, _, names in os.walk(folder):
        for name in names:
            try:
                size += os.lstat(os.path.join(path, name)).st_size
            except OSError:
                continue
    return size
