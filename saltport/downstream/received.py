"""When the requests that are read on a client's connection came, as closely as that can be known.

The loop's meter bounds how long bytes may have lain unread while this process was busy or stopped. It knows
nothing of a connection that was not read on purpose, or not accepted yet: those moments are kept here. Where
that leaves much room, the kernel is asked when the connection's last data came.
"""

from __future__ import annotations

import select
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from saltport.deadline import NS_PER_MS, Received
from saltport.transport.readiness import Readiness

HELD_UP_NS = 5 * NS_PER_MS
"""A closer look costs two calls of the system: a narrower doubt than this is not worth them."""
SPARED_PART, SPARED_NS = 64, 50 * NS_PER_MS
"""Nor is one that is within both a part of what the client gives and this: a busy loop would ask for each
request, and all that the doubt costs is that so much less is told."""
TICK_NS = 10 * NS_PER_MS
"""The kernel counts in ticks, which are never longer (CONFIG_HZ is 100 at least)."""

# Of `struct tcp_info` (linux/tcp.h), as offsets of 32 bits each: `tcpi_rto` in microseconds, and
# `tcpi_last_data_recv`, the milliseconds since the last data came.
_RESEND_AT = 8
_AGE_AT = 52
_INFO_SIZE = _AGE_AT + 4


class Socket(Protocol):
    """What is asked of a socket."""

    def fileno(self) -> int:
        """Its descriptor."""

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """One of its options."""

    def recv(self, size: int, flags: int) -> bytes:
        """What has come."""


class KernelClock:
    """Asks the kernel when a connection's last data came, as long as it knows."""

    def __init__(self) -> None:
        self._tells = True

    def age_ns(self, end: Socket) -> int | None:
        """How long ago the last data came, to a tick; None where the kernel does not tell."""
        if not self._tells:
            return None
        try:
            told = end.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_SIZE)
        except OSError:
            return None  # the connection has ended
        # Danger: a system that only fills in zeros would make the oldest request look fresh. Where the kernel
        # counts, no connection is without a time after which it sends again.
        self._tells = len(told) == _INFO_SIZE and _field(told, _RESEND_AT) > 0
        return _field(told, _AGE_AT) * NS_PER_MS if self._tells else None


def _field(told: bytes, offset: int) -> int:
    (number,) = struct.unpack_from("=I", told, offset)
    return int(number)


class ReceiveTimes:
    """Tells when what was read on one connection came."""

    __slots__ = ("_end", "_is_first", "_kernel", "_stopped", "_unread_since", "_unread_since_ns")

    def __init__(
        self, end: Socket, kernel: KernelClock, unread_since: Callable[[int], int], now_ns: int
    ) -> None:
        """`unread_since`: since when, at the earliest, a connection that is read may hold what is read now.

        The connection has just been accepted: its first bytes may have come while it waited for that, at a
        listener that may be older than this process. So the kernel is asked at the first read in any case.
        """
        self._end, self._kernel, self._unread_since = end, kernel, unread_since
        self._unread_since_ns = unread_since(now_ns)
        self._stopped = False
        self._is_first = True

    def stopped(self, now_ns: int) -> None:
        """Nothing is read from now on, on purpose, until the next read."""
        self.held_up(now_ns)
        self._stopped = True

    def held_up(self, now_ns: int) -> None:
        """Nothing could be read now, which is this machine's doing: it goes on until the next read."""
        self._unread_since_ns = self._unread_since_ns or self._unread_since(now_ns)

    def prompt(self, now_ns: int, timeout_ms: int) -> Received | None:
        """When the commands of this read came, if only the loop has had them waiting, and not for long.

        `timeout_ms`: the least that one of their clients gives; 0: that is not known.
        """
        earliest_ns = self._unread_since(now_ns)
        spared_ns = min(timeout_ms * NS_PER_MS // SPARED_PART, SPARED_NS)
        if self._unread_since_ns or now_ns - earliest_ns > max(HELD_UP_NS, spared_ns):
            return None
        return Received(earliest_ns, now_ns)

    def read(self, now_ns: int, emptied: bool, is_last: bool) -> Received:
        """When the commands of any read came.

        `emptied`: the kernel had no more; `is_last`: there is one, and it ends with the last byte read.
        """
        earliest_ns = self._unread_since(now_ns)
        is_first, stopped = self._is_first, self._stopped
        if self._unread_since_ns:
            earliest_ns = min(earliest_ns, self._unread_since_ns)
            if emptied:
                self._unread_since_ns, self._stopped = 0, False
        self._is_first = False
        if now_ns - earliest_ns <= HELD_UP_NS and not is_first:
            return Received(earliest_ns, now_ns)
        age_ns = self._kernel.age_ns(self._end)
        if age_ns is None:
            return Received(earliest_ns, now_ns)
        no_sooner, no_later = now_ns - age_ns - TICK_NS, min(now_ns - age_ns + TICK_NS, now_ns)
        if no_later < earliest_ns or (is_last and earliest_ns < no_sooner and _all_read(self._end)):
            earliest_ns = no_sooner
        # Danger: time behind others of its connection does not count for a request's answer.
        return Received(earliest_ns, now_ns if stopped else no_later)


def _all_read(end: Socket) -> bool:
    """Whether nothing has come since the last read."""
    return not Readiness(end, select.POLLIN).is_ready()
