"""The memory of this process as the kernel counts it."""

from __future__ import annotations

from pathlib import Path

STATUS = Path("/proc/self/status")
KIB = 1 << 10


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
