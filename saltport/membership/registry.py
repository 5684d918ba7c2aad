"""Client of the discovery service: fetches the full server list once, then follows its changes.

The timeouts follow from one rule of the protocol: a change takes effect within MAX_CHANGE_DELAY_S of the time
at which discovery had it and was reachable, whatever happened before (a call that failed, was refused or was
abandoned, or a watch without an answer). A watch is a long poll: discovery answers at a change or at the end
of its wait.

Pushed lists: a watch that gets no answer, one more call that hangs, and the call that returns the change:

    PUSHED_WAIT_S + ROUND_TRIP_S + 2 * (RETRY_DELAY_S + CALL_TIMEOUT_S) + LOOP_DELAY_S = 5.7
        <= MAX_CHANGE_DELAY_S

Subscribed lists (`must_subscribe`): the settings give the wait, and after a watch without an answer 2 s are
left (SILENT_WATCH_MARGIN_S). The second line is for a failed call, from its start to the end of the next one:

    ROUND_TRIP_S + CALL_TIMEOUT_S + LOOP_DELAY_S = 2.0 <= SILENT_WATCH_MARGIN_S
    RETRY_INTERVAL_S + SUBSCRIBED_CALL_TIMEOUT_S + LOOP_DELAY_S = MAX_CHANGE_DELAY_S

An abandoned call stays open for another LATE_ANSWER_TIMEOUT_S; its answer is used unless that of a later call
was applied before. So the rule also holds for a discovery service that takes MAX_ANSWER_TIME_S for each call:

    TIMEOUT_RETRY_INTERVAL_S + MAX_ANSWER_TIME_S + LOOP_DELAY_S = MAX_CHANGE_DELAY_S
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
import select
from collections.abc import Callable
from typing import Any, cast

import orjson

from saltport.address import Address
from saltport.membership.listing import Listing
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import ListSteps
from saltport.transport.dialing import dial
from saltport.transport.readiness import Readiness
from saltport.transport.settling import SETTLING_TIME_S
from saltport.transport.stream import StreamProtocol
from saltport.wire.http import HttpError, HttpReader, request

MAX_BODY_BYTES = 8 << 20  # of an answer of the discovery service
LIST_PATH = "/registry/instances"
MAX_CHANGE_DELAY_S, SILENT_WATCH_MARGIN_S = 6.0, 2.0  # limits of the protocol, see above
LOOP_DELAY_S = 0.3  # allowance for delays of the event loop
ROUND_TRIP_S = 0.7  # added to a watch's wait for the round trip
CALL_TIMEOUT_S = 1.0  # for a call without a wait, dial included; the agent answers at once
RETRY_DELAY_S = 0.1  # discovery continues a watch if the next call comes within 0.2 s
PUSHED_WAIT_S = 2.5  # of a watch of a pushed list: discovery answers at a change, or after this time
# Time-out of a call for the full list, by a router that subscribes to the list's changes. It is longer than
# CALL_TIMEOUT_S because calls queue at a discovery service with subscriptions.
SUBSCRIBED_CALL_TIMEOUT_S = 2.0
# From the start of a failed call to the start of the next one.
RETRY_INTERVAL_S = MAX_CHANGE_DELAY_S - SUBSCRIBED_CALL_TIMEOUT_S - LOOP_DELAY_S
MAX_ANSWER_TIME_S = 3.0  # longest time for an answer of a discovery service that counts as reachable
# From the time-out of a call until its connection is closed. Until then a late answer is still applied.
LATE_ANSWER_TIMEOUT_S = MAX_CHANGE_DELAY_S - CALL_TIMEOUT_S
# From the start of an unanswered call to the start of the next one.
TIMEOUT_RETRY_INTERVAL_S = MAX_CHANGE_DELAY_S - MAX_ANSWER_TIME_S - LOOP_DELAY_S
MIN_SUBSCRIBED_WAIT_S = 1.0  # limits the load that subscriptions put on discovery
MAX_WAIT_S = 60.0  # longest wait of a watch that the protocol allows
WAIT_JITTER = 0.25  # part of a wait; keeps routers that started together from calling in step
WAIT_MARGIN_S = 1.0  # a wait ends by this much before `ask_within`
INVALID_LIST_RETRY_S = 1.0  # delay before the next call after an invalid list

log = logging.getLogger("saltport")


class _Call(StreamProtocol, HttpReader):
    """One HTTP connection to discovery, with one call at a time."""

    def __init__(self) -> None:
        HttpReader.__init__(self)
        self.transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None
        self._body = bytearray()
        self._settled_at = 0.0
        self._readiness: Readiness | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._readiness = Readiness(transport.get_extra_info("socket"), select.POLLIN)

    def send_request(self, target: str, host: str) -> asyncio.Future[tuple[int, bytes]]:
        assert self.transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(request("GET", target, host))
        return self._answer

    async def settle(self) -> None:
        """Wait until this connection may carry another call; close it if a surplus answer has arrived."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._settled_at - loop.time())
        # Danger: after a stop of the process, the loop may not have read yet what has arrived.
        if self.usable and self._readiness is not None and self._readiness.is_ready():
            self.close()

    def data_received(self, data: bytes) -> None:
        if self._answer is None or self._answer.done():
            # Danger: it would be taken for the answer to the next call, and that call's for a later one's.
            log.warning("discovery: sent an answer without a request")
            self.close()
            return
        try:
            if self.read(data):
                status, body = self.status, bytes(self._body)
                self._body.clear()
                self._settled_at = asyncio.get_running_loop().time() + SETTLING_TIME_S
                if not self.finish_answer():
                    self.close()
                self._answer.set_result((status, body))
        except HttpError as error:
            self._fail(error)
            self.close()

    def body_started(self, length: int | None) -> None:
        pass

    def body_received(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            raise HttpError("list too long")

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(ConnectionResetError("discovery closed the connection"))
        self.drop_parser()

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)

    @property
    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def _retrieve(answer: asyncio.Future[tuple[int, bytes]]) -> None:
    """Retrieve the exception of an abandoned call, which asyncio would log as never retrieved."""
    if not answer.cancelled():
        answer.exception()


class _RefusedError(Exception):
    """Discovery answered with another status than 200."""


class Discovery:
    """Keeps the list of servers up to date; a failed call leaves the known list unchanged."""

    def __init__(
        self,
        address: Address,
        must_subscribe: bool,
        starts: StartTimes,
        on_listing: Callable[[Listing], None],
        on_failure: Callable[[], None],
        ask_within: float,
        rng: random.Random,
    ) -> None:
        """`must_subscribe`: whether changes come only after `subscribe`, else they are pushed.

        `on_listing` is called with each listing, `on_failure` after a subscription has failed. `ask_within`
        is the number of seconds within which the router must call discovery again.
        """
        self._address, self._must_subscribe = address, must_subscribe
        self._rng = rng
        self.set_ask_within(ask_within)
        self._steps = ListSteps(starts)
        self._on_listing, self._on_failure = on_listing, on_failure
        self._call: _Call | None = None
        self._task: asyncio.Task[None] | None = None
        self._needs_full_list = not must_subscribe
        """Whether the next call fetches the full list, as changes since the known version may be missing."""
        self._subscribe_timer: asyncio.TimerHandle | None = None
        self._started_calls = self._applied_call = 0
        """Number of calls started, and the number of the latest one whose answer was applied."""
        self._late_tasks: set[asyncio.Task[None]] = set()
        """Abandoned calls that may still be answered."""
        self._apply_lock = asyncio.Lock()
        self.generation = 0

    def set_ask_within(self, seconds: float) -> None:
        """Set `ask_within` for watches that start from now on."""
        self._max_wait_s = min(max(seconds - WAIT_MARGIN_S, MIN_SUBSCRIBED_WAIT_S), MAX_WAIT_S)

    def set_known_list(self, known: Any, generation: int) -> None:
        """Set the list, in discovery's form, that the router knows from another source; it may be stale."""
        self.generation = generation
        self._steps.set_known(known)

    def start(self) -> None:
        """Start to follow the pushed list."""
        self._task = asyncio.get_running_loop().create_task(self._follow_pushed())

    def subscribe(self) -> None:
        """Start a watch for a discovery service with subscriptions, unless one is running."""
        if self._task is None or self._task.done():
            self._schedule_subscribe(None)
            self._task = asyncio.get_running_loop().create_task(self._follow_subscribed())

    def close(self) -> None:
        """Cancel all calls and stop following the list."""
        self._schedule_subscribe(None)
        if self._task is not None:
            self._task.cancel()
        for late in self._late_tasks:
            late.cancel()
        if self._call is not None:
            self._call.close()

    def change_address(self, address: Address) -> None:
        """Continue at another address with a full list; the known list stays valid until it arrives."""
        self.close()
        # Danger: without this, the end of the old call would close the new one.
        self._address, self._call = address, None
        # Danger: versions of two discovery services don't compare, whether or not a watch is running.
        self._needs_full_list = True
        follow = self._follow_subscribed() if self._must_subscribe else self._follow_pushed()
        self._task = asyncio.get_running_loop().create_task(follow)

    def _schedule_subscribe(self, due: float | None) -> None:
        """Schedule `subscribe` for the time `due`, in place of any earlier schedule; None only cancels."""
        if self._subscribe_timer is not None:
            self._subscribe_timer.cancel()
        self._subscribe_timer = (
            asyncio.get_running_loop().call_at(due, self.subscribe) if due is not None else None
        )

    async def _follow_pushed(self) -> None:
        """Watch the server list for ever, for a discovery service that answers without a subscription."""
        is_failing = False
        while True:
            try:
                await self._fetch_once(PUSHED_WAIT_S, CALL_TIMEOUT_S)
                is_failing = False
                continue
            except Exception as error:
                pause = INVALID_LIST_RETRY_S if isinstance(error, ValueError) else RETRY_DELAY_S
                if not is_failing:
                    log.warning("discovery: %s", str(error) or type(error).__name__)
            # Danger: a restarted discovery may reset its versions; a watch from a higher one sees no change.
            is_failing = self._needs_full_list = True
            await asyncio.sleep(pause)

    async def _follow_subscribed(self) -> None:
        """Watch the server list until a call fails, for a discovery service that requires subscriptions.

        A failure ends the watch, schedules the next `subscribe` and is reported to the owner of this object.
        """
        loop = asyncio.get_running_loop()
        started_at, timed_out = loop.time(), False
        try:
            while True:
                # Danger: a watch that is no longer served looks like one without changes until its wait ends.
                # If the wait exceeds the settings' limit, zones go while the router still sends to them.
                wait_s = self._max_wait_s * (1 - WAIT_JITTER * self._rng.random())
                started_at = loop.time()
                try:
                    await self._fetch_once(
                        0.0 if timed_out else wait_s,
                        CALL_TIMEOUT_S if timed_out else SUBSCRIBED_CALL_TIMEOUT_S,
                    )
                    timed_out = False
                except TimeoutError:
                    # Retry once, at once: SILENT_WATCH_MARGIN_S after its wait, a change must be in effect.
                    if timed_out or self._needs_full_list:
                        raise
                    timed_out = True
                    log.warning("discovery: no answer to a watch in time; calling again")
        except Exception as error:
            log.warning("discovery: %s", str(error) or type(error).__name__)
            retry_s = TIMEOUT_RETRY_INTERVAL_S if isinstance(error, TimeoutError) else RETRY_INTERVAL_S
        self._task = None
        self._schedule_subscribe(started_at + retry_s * (1 - WAIT_JITTER * self._rng.random()))
        self._on_failure()

    async def _fetch_once(self, wait_s: float, timeout_s: float) -> None:
        """Make one call and apply the list in its answer; raises an exception if the call fails.

        Unless the full list is needed, the call is a watch: discovery answers at a change of the list, or
        after `wait_s`. `timeout_s` is the time-out of a call that does not wait.
        """
        full = self._needs_full_list
        target = LIST_PATH if full else f"{LIST_PATH}?index={self.generation}&wait={int(wait_s * 1000)}"
        self._started_calls += 1
        number = self._started_calls
        answer: asyncio.Future[tuple[int, bytes]] | None = None
        try:
            async with asyncio.timeout(timeout_s if full or not wait_s else wait_s + ROUND_TRIP_S) as limit:
                if self._call is not None and self._call.usable:
                    await self._call.settle()
                if self._call is None or not self._call.usable:
                    loop = asyncio.get_running_loop()
                    stream = await dial(loop, _Call, self._address)
                    if loop.time() >= (limit.when() or math.inf):
                        # Danger: a connection established at the timeout belongs to no call and would leak.
                        stream.abort()
                        raise TimeoutError
                    self._call = cast(_Call, stream.get_protocol())
                host, port = self._address
                answer = self._call.send_request(target, f"{host}:{port}")
                answer.add_done_callback(_retrieve)
                status, body = await asyncio.shield(answer)
        except TimeoutError:
            if self._call is not None and answer is not None:
                self._await_late_answer(self._call, answer, number, full)
            raise
        except BaseException:
            if self._call is not None:
                self._call.close()
            raise
        await self._apply_answer(status, body, number, full)

    def _await_late_answer(
        self, call: _Call, answer: asyncio.Future[tuple[int, bytes]], number: int, full: bool
    ) -> None:
        """Abandon a call, but still apply its answer if it comes late."""
        self._call = None
        late = asyncio.get_running_loop().create_task(self._apply_late_answer(call, answer, number, full))
        self._late_tasks.add(late)
        late.add_done_callback(self._late_tasks.discard)

    async def _apply_late_answer(
        self, call: _Call, answer: asyncio.Future[tuple[int, bytes]], number: int, full: bool
    ) -> None:
        """Wait for the answer to an abandoned call, apply it, and close the connection."""
        try:
            async with asyncio.timeout(LATE_ANSWER_TIMEOUT_S):
                status, body = await answer
            await self._apply_answer(status, body, number, full)
            log.info("discovery: received a late answer")
        except (OSError, TimeoutError, ValueError, _RefusedError, HttpError) as error:
            log.debug("discovery: an abandoned call failed: %s", str(error) or type(error).__name__)
        finally:
            call.close()

    async def _apply_answer(self, status: int, body: bytes, number: int, full: bool) -> None:
        """Apply a list, unless that of a later call was applied before; raises ValueError, _RefusedError."""
        if status != 200:
            raise _RefusedError(f"answered {status}")
        # Danger: if the steps of two lists were mixed, the result would match neither.
        async with self._apply_lock:
            if number < self._applied_call:
                return
            self._applied_call = number
            for listing in self._steps.changes(orjson.loads(body)):
                if listing is not None:
                    self._on_listing(listing)
                    if not listing.has_more:
                        # A version below the known one: discovery has restarted, and changes may be missing.
                        self._needs_full_list = not full and listing.generation < self.generation
                        self.generation = listing.generation
                await asyncio.sleep(0)
