"""The relay of values over 64 KiB from servers to clients."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Protocol

from saltport.admin.figures import Figures
from saltport.decisions import CacheStatus, Outcome
from saltport.downstream.replies import Reply
from saltport.handover.choice import ValueProgress
from saltport.handover.record import MovedRequest, PartialValue
from saltport.messages import ValueSource
from saltport.router.resumption import PrefixCheck, PrefixDiffersError, RelayedValue
from saltport.upstream.connection import Exchange

VALUE_STALL_TIMEOUT_S = 2.0  # servers pause within a value for 0.1 s at most


class RelayHost(Protocol):
    """The interface through which relays use the router host."""

    loop: asyncio.AbstractEventLoop
    figures: Figures

    def continue_moved(
        self, request_class: str, moved: MovedRequest, relayed: RelayedValue, reply: Reply
    ) -> bool:
        """Let a further attempt go on with a value that another process began; return False if none may."""


class Relay(Exchange):
    """Relays a value over 64 KiB from a server to a client, with flow control and a stall time-out."""

    # Class attributes: most attempts never set these, so they cost no memory or time per instance.
    _source: ValueSource | None = None
    _last_data_at = 0.0
    _relay_started_at = 0.0
    _relayed_bytes = _value_bytes = 0
    _timer: asyncio.TimerHandle | None = None
    _relayed: RelayedValue | None = None
    _prefix_check: PrefixCheck | None = None
    """Compares the answer's begin with what another attempt has passed on, until that is done."""
    _pauses_after_prefix = False
    """Whether reading pauses once that is done."""

    def __init__(self, host: RelayHost, reply: Reply, request_class: str) -> None:
        self._host, self._reply, self._class = host, reply, request_class

    def _relay(self, length: int, source: ValueSource) -> None:
        """Start to relay the remaining `length` bytes of a value from `source`."""
        self._source, self._value_bytes = source, length
        self._last_data_at = self._relay_started_at = self._host.loop.time()
        self._timer = self._host.loop.call_later(VALUE_STALL_TIMEOUT_S, self._check_stall)

    def value_received(self, data: bytes) -> None:
        """Forward a part of a long value to the client."""
        if self._source is not None:
            # Danger: parts may still arrive after `pause` has set the time to infinity. They must not reset
            # it: a server that is not being read would be given up as silent.
            self._last_data_at = max(self._last_data_at, self._host.loop.time())
            self._relayed_bytes += len(data)
            if self._prefix_check is not None:
                data = self._without_prefix(self._prefix_check, data)
            if self._relayed is not None:
                self._relayed.add(data)
            if data:
                self._reply.send_part(data)

    def _without_prefix(self, check: PrefixCheck, data: bytes) -> bytes:
        """Return what the client does not have yet of a part; end the relay if the prefix differs."""
        try:
            data = check.rest(data)
        except PrefixDiffersError:
            self.prefix_differs()
            return b""
        if check.is_complete:
            self._prefix_check = None
            if self._pauses_after_prefix:
                self.pause()
        return data

    def prefix_differs(self) -> None:
        """Called when the answer can't continue the value that the client has a part of."""

    def pause(self) -> None:
        """Stop reading from the server because the client's buffer is full.

        Danger: what the client has already is read on all the same. A connection with a value that waits in
        the middle of it could not be moved to the next process.
        """
        if self._prefix_check is not None:
            self._pauses_after_prefix = True
            return
        self._last_data_at = float("inf")
        if self._source is not None:
            self._source.pause()

    def resume(self) -> None:
        """Read from the server again because the client's buffer has room."""
        self._pauses_after_prefix = False
        self._last_data_at = self._host.loop.time()
        if self._source is not None:
            self._source.resume()

    def _check_stall(self) -> None:
        """End the relay if the server has sent nothing for too long; otherwise check again later."""
        if self._host.loop.time() - self._last_data_at >= VALUE_STALL_TIMEOUT_S:
            self.give_up(Outcome.RESET)
        else:
            self._timer = self._host.loop.call_later(VALUE_STALL_TIMEOUT_S / 4, self._check_stall)

    def client_left(self) -> None:
        """Cancel the relay because the client has disconnected."""
        self.give_up(Outcome.CANCELLED)

    @property
    def progress(self) -> ValueProgress:
        """Bytes left, bytes relayed and the time since the relay started."""
        return ValueProgress(
            self._value_bytes - self._relayed_bytes,
            self._relayed_bytes,
            self._host.loop.time() - self._relay_started_at,
        )

    @property
    def movable(self) -> bool:
        """Whether another process could take over the relay now."""
        if self._source is None or self._prefix_check is not None:
            return False
        return self.connection is not None and self.connection.movable

    def copy_descriptor(self) -> int:
        """Return a duplicate of the server connection's descriptor, which the caller owns; raises OSError."""
        assert self.connection is not None
        return self.connection.copy_descriptor()

    def suspend(self) -> PartialValue:
        """End the relay in this process and return its state, for another process to continue it."""
        assert self.connection is not None
        flow = self.connection.suspend()
        value = PartialValue(flow, self._class, self._reply.tail, self.moved_request)
        self._source = None
        self._stop_counting()
        self.end(Outcome.CANCELLED)
        return value

    @property
    def moved_request(self) -> MovedRequest | None:
        """What another process needs to go on with the value if it breaks off there; None: it can't."""
        return None

    def _stop_counting(self) -> None:
        """End the counting of the request as open, without a result: another process counts its result."""


class MovedValue(Relay):
    """The relay of a long value that another process started.

    Danger: its end must not be reported to the decision module, which would count an attempt that it never
    made.
    """

    def __init__(self, host: RelayHost, value: PartialValue, reply: Reply) -> None:
        super().__init__(host, reply, value.request_class)
        self._counted = False
        host.figures.current += 1
        self._moved = value.request
        if value.request is not None:
            self._relayed = RelayedValue(
                value.position.length, value.request.relayed_bytes, value.request.checksum
            )

    def begin(self, left: int, source: ValueSource) -> None:
        """Start to relay the `left` remaining bytes from `source`."""
        self._relay(left, source)

    def remaining_ms(self) -> int:
        """Return 0: another process has already sent the request."""
        return 0

    def client_gone(self) -> None:
        """Cancel the relay because the client has disconnected; the request is not counted as answered."""
        self._stop_counting()
        self.client_left()

    @property
    def moved_request(self) -> MovedRequest | None:
        """What the next process needs to go on with the value if it breaks off there."""
        if self._moved is None or self._relayed is None:
            return None
        return replace(self._moved, relayed_bytes=self._relayed.size, checksum=self._relayed.checksum)

    def _may_continue(self, outcome: Outcome) -> bool:
        """Let a further attempt go on with the value, which ended with this outcome, if one may."""
        if outcome is Outcome.CANCELLED or self._moved is None or self._relayed is None:
            return False
        if self._reply.client_has_left():
            return False
        return self._host.continue_moved(self._class, self._moved, self._relayed, self._reply)

    def _stop_counting(self) -> None:
        """End the counting of the request as open, without a result, unless its end is counted already."""
        if not self._counted:
            self._counted = True
            self._host.figures.count_end(self._class, None)

    def ended(self, outcome: Outcome, value: bytes | None = None, note: CacheStatus | None = None) -> None:
        """Finish the client's answer, or cut it off if the value is incomplete; only the first end counts."""
        if self._timer is not None:
            self._timer.cancel()
        self._source = None
        if self._counted:
            return
        self._counted = True
        figures = self._host.figures
        complete = outcome is Outcome.OK
        if not complete and self._may_continue(outcome):
            return  # the request is open, and counted, as one of this process
        figures.count_end(self._class, figures.answered if complete else figures.errored)
        if complete:
            self._reply.finish()
        else:
            self._reply.abort_value()
