"""Background requests, which originate in the router: probes, replication writes and invalidations."""

from __future__ import annotations

import time
from collections.abc import Callable

from saltport.deadline import Deadline
from saltport.decisions import CacheStatus, Event, Outcome, ProbeEnded
from saltport.router.event_host import EventHost
from saltport.upstream.connection import Exchange


class ProbeExchange(Exchange):
    """One health probe of a server."""

    def __init__(self, host: EventHost, server: str, timeout: int) -> None:
        self._host, self._server = host, server
        self.wants_load = bool(host.settings.load_fields)
        self._sent_at = time.monotonic_ns()
        self._deadline = Deadline(self._sent_at + timeout)
        self._timer = host.call_at(self._deadline.at_ns, self._timed_out)

    def remaining_ms(self) -> int:
        """Return the time left until the time-out, in whole milliseconds."""
        return self._deadline.remaining_ms(time.monotonic_ns())

    def _timed_out(self) -> None:
        self.give_up(Outcome.TIMEOUT)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Report the result of the probe to the decision module."""
        self._timer.cancel()
        latency = time.monotonic_ns() - self._sent_at
        self._host.dispatch(ProbeEnded(self._server, outcome, latency))


class BackgroundCommand(Exchange):
    """A plain command (`SET` or `DEL`) for one key, sent to a cache server by the router itself."""

    def __init__(self, host: EventHost, timeout: int, ended_event: Callable[[Outcome], Event]) -> None:
        """`timeout`: in nanoseconds; `ended_event`: makes the event that reports the command's outcome."""
        self._host, self._ended_event = host, ended_event
        self._deadline = Deadline(time.monotonic_ns() + timeout)
        self._timer = host.call_at(self._deadline.at_ns, self._timed_out)

    def remaining_ms(self) -> int:
        """Return the time left until the time-out, in whole milliseconds."""
        return self._deadline.remaining_ms(time.monotonic_ns())

    def _timed_out(self) -> None:
        # A command that still waits for a free connection never ran.
        self.give_up(Outcome.NOT_SENT if self.connection is None else Outcome.TIMEOUT)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Report the end of the command to the decision module."""
        self._timer.cancel()
        self._host.dispatch(self._ended_event(outcome))


class ReplicationWrite(BackgroundCommand):
    """A write of a copy of a relayed value to a cache server, which stores it until the lease ends."""

    def __init__(
        self,
        host: EventHost,
        key: bytes,
        value: bytes,
        lease: Deadline,
        timeout: int,
        ended_event: Callable[[Outcome], Event],
    ) -> None:
        super().__init__(host, timeout, ended_event)
        self._key, self._value, self._lease = key, value, lease

    def remaining_ms(self) -> int:
        """Return the time left of the lease in whole milliseconds, or 0 after the time-out.

        The lease ends at a fixed time, so a copy that is sent late is stored for a shorter time.
        """
        now = time.monotonic_ns()
        return 0 if self._deadline.expired(now) else self._lease.remaining_ms(now)

    def plain_command(self, remaining_ms: int) -> tuple[bytes, ...]:
        """Return the `SET` command, whose expiry is the time left of the lease."""
        return (b"SET", self._key, self._value, b"PX", b"%d" % remaining_ms)


class Invalidation(BackgroundCommand):
    """The removal of a key's copy from a cache server."""

    def __init__(
        self, host: EventHost, key: bytes, timeout: int, ended_event: Callable[[Outcome], Event]
    ) -> None:
        super().__init__(host, timeout, ended_event)
        self._key = key

    def plain_command(self, remaining_ms: int) -> tuple[bytes, ...]:
        """Return the `DEL` command."""
        return (b"DEL", self._key)
