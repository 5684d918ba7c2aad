"""The ledger: an event log of what each simulated server, client and harness received and did.

A ledger file has one JSON object per line, the first of kind `clock`. Times are readings of the writer's
monotonic clock in nanoseconds; `unix` and `boot` of the `clock` record let the audit align the clocks of
several processes.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO

import orjson

Record = dict[str, Any]


def boot_id() -> str:
    """Return the kernel's boot id, or "" if unknown; processes with the same id share the monotonic clock."""
    with contextlib.suppress(OSError):
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    return ""


class Ledger:
    """Writes records to a file if a path is given, else to the list `records`."""

    def __init__(self, writer: str, path: Path | None = None) -> None:
        self.records: list[Record] = []
        self._file: BinaryIO | None = None
        if path is not None:
            self._file = path.open("wb")
        self.write("clock", writer=writer, unix=time.time_ns(), boot=boot_id())

    def write(self, kind: str, t: int | None = None, **fields: Any) -> None:
        """Add a record of this kind with the time `t` on the monotonic clock in nanoseconds; None: now."""
        record = {"t": time.monotonic_ns() if t is None else t, "kind": kind, **fields}
        if self._file is None:
            self.records.append(record)
        else:
            self._file.write(orjson.dumps(record, option=orjson.OPT_APPEND_NEWLINE))

    def flush(self) -> None:
        """Write buffered records to the file."""
        if self._file is not None:
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()


def read_ledger(path: Path) -> Iterator[Record]:
    """Yield the records of a ledger file; an incomplete last line, left by a killed writer, is skipped."""
    with path.open("rb") as lines:
        for line in lines:
            if not line.endswith(b"\n"):
                return
            yield orjson.loads(line)
