"""Estimates when the requests read from a client connection arrived in the kernel.

The lag meter of the event loop bounds how long data can have been unread while this process was busy or
stopped. It does not cover a connection on which reading was paused, or that was not accepted yet: those times
are recorded here. If the resulting interval is wide, the kernel is asked when data was last received.
"""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from saltport.deadline import NS_PER_MS, Received
from saltport.transport.readiness import Readiness

MAX_UNCERTAINTY_NS = 5 * NS_PER_MS
"""Width of the arrival interval up to which the kernel is not asked, as that costs two system calls."""
TOLERATED_TIMEOUT_DIVISOR, MAX_TOLERATED_NS = 64, 50 * NS_PER_MS
"""The kernel is not asked either if the interval is within both this fraction of the client's timeout and
this limit: a busy event loop would ask for each request, and the uncertainty only shortens the timeout that
is passed on by as much."""
KERNEL_TICK_NS = 10 * NS_PER_MS
"""Longest timer tick of the kernel (CONFIG_HZ is at least 100), and so the error of its times."""

# Byte offsets of 32-bit fields in `struct tcp_info` (linux/tcp.h): `tcpi_rto` in microseconds, and
# `tcpi_last_data_recv`, the milliseconds since data was last received.
_RTO_OFFSET = 8
_LAST_RECEIVED_OFFSET = 52
_INFO_SIZE = _LAST_RECEIVED_OFFSET + 4


class Socket(Protocol):
    """The socket methods that this module uses."""

    def fileno(self) -> int:
        """Return the file descriptor."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return the value of a socket option."""

    def recv(self, size: int, flags: int) -> bytes:
        """Return received data."""


class KernelClock:
    """Asks the kernel when a connection last received data, as long as the system supports that."""

    def __init__(self) -> None:
        self._is_supported = True

    def age_ns(self, sock: Socket) -> int | None:
        """Return how long ago the last data arrived, to within one kernel tick; None if unknown."""
        if not self._is_supported:
            return None
        try:
            tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_SIZE)
        except OSError:
            return None  # the connection has ended
        # Danger: a system that fills the fields with zeros would make every request look new. A kernel that
        # fills them reports a non-zero retransmission timeout for each connection.
        self._is_supported = len(tcp_info) == _INFO_SIZE and _uint32_at(tcp_info, _RTO_OFFSET) > 0
        return _uint32_at(tcp_info, _LAST_RECEIVED_OFFSET) * NS_PER_MS if self._is_supported else None


def _uint32_at(tcp_info: bytes, offset: int) -> int:
    (number,) = struct.unpack_from("=I", tcp_info, offset)
    return int(number)


class ReceiveTimes:
    """Estimates the arrival times of the commands read from one connection."""

    __slots__ = ("_is_first", "_kernel", "_reading_stopped", "_socket", "_unread_since", "_unread_since_ns")

    def __init__(
        self, sock: Socket, kernel: KernelClock, unread_since: Callable[[int], int], now_ns: int
    ) -> None:
        """Start for a connection that has just been accepted.

        `unread_since` returns the earliest time at which data read now from a continuously read connection
        can have arrived. The first bytes may have arrived in the backlog of a listener that is older than
        this process, so the kernel is always asked at the first read.
        """
        self._socket, self._kernel, self._unread_since = sock, kernel, unread_since
        self._unread_since_ns = unread_since(now_ns)
        self._reading_stopped = False
        self._is_first = True

    def reading_stopped(self, now_ns: int) -> None:
        """Record that reading is paused deliberately until the next read."""
        self.read_delayed(now_ns)
        self._reading_stopped = True

    def read_delayed(self, now_ns: int) -> None:
        """Record that a read failed for lack of local resources, so that data waits until the next read."""
        self._unread_since_ns = self._unread_since_ns or self._unread_since(now_ns)

    def estimate_from_loop(self, now_ns: int, timeout_ms: int) -> Received | None:
        """Return when the commands read now arrived if the lag of the loop bounds that closely enough.

        Return None if `record_read` has to be called. `timeout_ms`: shortest timeout of the commands; 0 if
        unknown.
        """
        earliest_ns = self._unread_since(now_ns)
        tolerated_ns = min(timeout_ms * NS_PER_MS // TOLERATED_TIMEOUT_DIVISOR, MAX_TOLERATED_NS)
        if self._unread_since_ns or now_ns - earliest_ns > max(MAX_UNCERTAINTY_NS, tolerated_ns):
            return None
        return Received(earliest_ns, now_ns)

    def record_read(self, now_ns: int, emptied: bool, is_last: bool) -> Received:
        """Return when the commands read now arrived, asking the kernel where necessary.

        `emptied`: the read left no data in the kernel; `is_last`: the read yielded exactly one command, which
        ends with the last byte read.
        """
        earliest_ns = self._unread_since(now_ns)
        is_first, reading_stopped = self._is_first, self._reading_stopped
        if self._unread_since_ns:
            earliest_ns = min(earliest_ns, self._unread_since_ns)
            if emptied:
                self._unread_since_ns, self._reading_stopped = 0, False
        self._is_first = False
        if now_ns - earliest_ns <= MAX_UNCERTAINTY_NS and not is_first:
            return Received(earliest_ns, now_ns)
        age_ns = self._kernel.age_ns(self._socket)
        if age_ns is None:
            return Received(earliest_ns, now_ns)
        earliest_kernel_ns, latest_kernel_ns = (
            now_ns - age_ns - KERNEL_TICK_NS,
            min(now_ns - age_ns + KERNEL_TICK_NS, now_ns),
        )
        if latest_kernel_ns < earliest_ns or (
            is_last and earliest_ns < earliest_kernel_ns and _nothing_unread(self._socket)
        ):
            earliest_ns = earliest_kernel_ns
        # Danger: for the answer's deadline, the time that a request waited unread while reading was paused
        # behind earlier requests of its connection does not count.
        return Received(earliest_ns, now_ns if reading_stopped else latest_kernel_ns)


def _nothing_unread(sock: Socket) -> bool:
    """Whether no data has arrived since the last read."""
    return not Readiness(sock, select.POLLIN).is_ready()
