"""The ledger: every stand-in, client and harness writes down what it received and did, one JSON a line.

Each ledger begins with a `clock` record. Times are the writer's monotonic clock in nanoseconds; `unix` and
`boot` in that record let the audit bring ledgers of several processes on one clock.
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
    """What names this boot of the machine: processes with the same one share the monotonic clock."""
    with contextlib.suppress(OSError):
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    return ""


class Ledger:
    """Records in memory, and in a file where one is named."""

    def __init__(self, writer: str, path: Path | None = None) -> None:
        self.records: list[Record] = []
        self._file: BinaryIO | None = None
        if path is not None:
            self._file = path.open("wb")
        self.write("clock", writer=writer, unix=time.time_ns(), boot=boot_id())

    def write(self, kind: str, t: int | None = None, **fields: Any) -> None:
        """Add a record of this kind, as of now or of the time `t`."""
        record = {"t": time.monotonic_ns() if t is None else t, "kind": kind, **fields}
        if self._file is None:
            self.records.append(record)
        else:
            self._file.write(orjson.dumps(record, option=orjson.OPT_APPEND_NEWLINE))

    def flush(self) -> None:
        """Have the file hold all that was written."""
        if self._file is not None:
            self._file.flush()

    def close(self) -> None:
        """Write no more."""
        if self._file is not None:
            self._file.close()


def read_ledger(path: Path) -> Iterator[Record]:
    """The records of a file; a last line that a killed writer left half is passed over."""
    with path.open("rb") as lines:
        for line in lines:
            if not line.endswith(b"\n"):
                return
            yield orjson.loads(line)
