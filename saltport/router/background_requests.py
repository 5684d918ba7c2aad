"""Background requests, which no client sent: probes, replication writes and invalidations."""

from __future__ import annotations

import time
from collections.abc import Callable

from saltport.deadline import Deadline
from saltport.decisions import CacheStatus, Event, Outcome, ProbeEnded
from saltport.router.event_host import EventHost
from saltport.upstream.connection import Exchange


class ProbeExchange(Exchange):
    """One probe of a server."""

    def __init__(self, host: EventHost, server: str, timeout: int) -> None:
        self._host, self._server = host, server
        self.wants_load = bool(host.settings.load_fields)
        self._sent_at = time.monotonic_ns()
        self._deadline = Deadline(self._sent_at + timeout)
        self._timer = host.call_at(self._deadline.at_ns, self._timed_out)

    def remaining_ms(self) -> int:
        """See Exchange: of the time that it may take."""
        return self._deadline.remaining_ms(time.monotonic_ns())

    def _timed_out(self) -> None:
        self.give_up(Outcome.TIMEOUT)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Tell the decisions."""
        self._timer.cancel()
        latency = time.monotonic_ns() - self._sent_at
        self._host.tell(ProbeEnded(self._server, outcome, latency))


class BackgroundCommand(Exchange):
    """A plain command for one key at a cache server."""

    def __init__(self, host: EventHost, timeout: int, ended_event: Callable[[Outcome], Event]) -> None:
        """`timeout`: nanoseconds; `ended_event`: makes the event that tells the decisions of its end."""
        self._host, self._ended_event = host, ended_event
        self._deadline = Deadline(time.monotonic_ns() + timeout)
        self._timer = host.call_at(self._deadline.at_ns, self._timed_out)

    def remaining_ms(self) -> int:
        """See Exchange: of the time that it may take."""
        return self._deadline.remaining_ms(time.monotonic_ns())

    def _timed_out(self) -> None:
        # One that waits for a free connection never ran.
        self.give_up(Outcome.NOT_SENT if self.connection is None else Outcome.TIMEOUT)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Tell the decisions."""
        self._timer.cancel()
        self._host.tell(self._ended_event(outcome))


class ReplicationWrite(BackgroundCommand):
    """A write of a value that passes by, kept by the cache server until its lease ends."""

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
        """See Exchange: of the lease, which ends when it does, however late the copy leaves."""
        now = time.monotonic_ns()
        return 0 if self._deadline.expired(now) else self._lease.remaining_ms(now)

    def plain_command(self, remaining_ms: int) -> tuple[bytes, ...]:
        """See Exchange."""
        return (b"SET", self._key, self._value, b"PX", b"%d" % remaining_ms)


class Invalidation(BackgroundCommand):
    """The removal of a key's copy."""

    def __init__(
        self, host: EventHost, key: bytes, timeout: int, ended_event: Callable[[Outcome], Event]
    ) -> None:
        super().__init__(host, timeout, ended_event)
        self._key = key

    def plain_command(self, remaining_ms: int) -> tuple[bytes, ...]:
        """See Exchange."""
        return (b"DEL", self._key)
