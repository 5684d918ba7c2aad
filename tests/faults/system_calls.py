"""Faults of the operating system in one process: its calls fail, come short or come late, on command.

The library (system_calls.c) is compiled once for each run of the tests, and loaded into the process tested.
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
    """The calls, in the order of the library's own list."""

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
    """Of messages, as on the link to another process; on TCP it counts as WRITE."""
    RECVMSG = 21


@cache
def library() -> Path:
    """The compiled library; it stays for as long as this process runs."""
    built = Path(tempfile.mkdtemp(prefix="saltport-faults-")) / "faults.so"
    subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", str(built), str(SOURCE), "-ldl"], check=True)
    return built


class SystemCalls:
    """The faults of one process to be, which is started with `environ`."""

    def __init__(self, folder: Path) -> None:
        file = folder / "faults"
        file.write_bytes(bytes(ROW.size * len(Call)))
        with file.open("r+b") as opened:
            self._rows = mmap.mmap(opened.fileno(), 0)
        self.environ = {"LD_PRELOAD": str(library()), "SALTPORT_FAULTS": str(file)}

    def strike(self, call: Call, error: int = 0, times: int = -1, late_s: float = 0.0, most: int = 0) -> None:
        """From now on so many of these calls are struck; below 0: all of them, until `end`."""
        ROW.pack_into(
            self._rows, call * ROW.size, error, times, self.struck(call), int(late_s * 1e9), most, 0
        )

    def end(self, call: Call) -> None:
        """Let the call work again."""
        self.strike(call, times=0)

    def struck(self, call: Call) -> int:
        """How many of these calls were struck so far."""
        return int(ROW.unpack_from(self._rows, call * ROW.size)[2])

    def step_wall_clock(self, seconds: float) -> None:
        """Have the process's wall clock show the true time and so much more."""
        ROW.pack_into(self._rows, Call.CLOCK * ROW.size, 0, 0, 0, 0, 0, int(seconds * 1e9))
