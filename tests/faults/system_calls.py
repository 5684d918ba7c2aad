"""Fault injection for the system calls of one process: calls fail, are shortened or are delayed.

The library (system_calls.c) is compiled once per test run, and loaded into the process under test.
"""

from __future__ import annotations

import mmap
import struct
import subprocess
import tempfile
from enum import IntEnum
from functools import cache
from pathlib import Path

SOURCE = Path(__file__).with_name("system_calls.c")
ROW = struct.Struct("6q")


class Call(IntEnum):
    """The calls, in the order of the enum in the library."""

    ACCEPT = 0
    SOCKET = 1
    BIND = 2
    CONNECT = 3
    POLL = 4
    READ = 5
    WRITE = 6
    GETSOCKOPT = 7
    SHUTDOWN = 8
    FSYNC = 9
    CLOCK = 10
    EPOLL_CTL = 11
    EPOLL_CREATE = 12
    SETSOCKOPT = 13
    GETSOCKNAME = 14
    GETPEERNAME = 15
    LISTEN = 16
    DUP = 17
    FCNTL = 18
    OPEN = 19
    SENDMSG = 20
    """sendmsg on message sockets, as for the link to another process; on TCP it counts as WRITE."""
    RECVMSG = 21


@cache
def library() -> Path:
    """Return the path of the library, which is compiled at the first call in this process."""
    path = Path(tempfile.mkdtemp(prefix="saltport-faults-")) / "faults.so"
    subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", str(path), str(SOURCE), "-ldl"], check=True)
    return path


class SystemCalls:
    """Faults of one process, which the test starts with `environ`."""

    def __init__(self, folder: Path) -> None:
        file = folder / "faults"
        file.write_bytes(bytes(ROW.size * len(Call)))
        with file.open("r+b") as opened:
            self._rows = mmap.mmap(opened.fileno(), 0)
        self.environ = {"LD_PRELOAD": str(library()), "SALTPORT_FAULTS": str(file)}

    def inject(
        self, call: Call, error: int = 0, times: int = -1, delay_s: float = 0.0, max_bytes: int = 0
    ) -> None:
        """Inject a fault into the next `times` calls; below 0 into all calls until `clear`."""
        ROW.pack_into(
            self._rows, call * ROW.size, error, times, self.injected(call), int(delay_s * 1e9), max_bytes, 0
        )

    def clear(self, call: Call) -> None:
        """Stop the fault of a call."""
        self.inject(call, times=0)

    def injected(self, call: Call) -> int:
        """Return how many calls were affected so far."""
        return int(ROW.unpack_from(self._rows, call * ROW.size)[2])

    def step_wall_clock(self, seconds: float) -> None:
        """Shift the wall clock of the process by this many seconds from the true time."""
        ROW.pack_into(self._rows, Call.CLOCK * ROW.size, 0, 0, 0, 0, 0, int(seconds * 1e9))
