"""Discovery's client: the whole list once, then a watch that goes on without a gap.

Its times come from one term of the protocol: a change is acted on within TERM_S of when discovery had it
and could be reached, whatever came before (a call that failed, was refused or given up, a silent watch).

Pushed lists, from the silence of a watch that has just begun, through one more call that hangs, to the one
that brings the change:

    PUSHED_WAIT_S + SLACK_S + RETRY_S + CALL_S + RETRY_S + CALL_S + LATE_S = 5.7 <= TERM_S

Asked: the wait is the settings' own, and after a silent one 2 s are left (SILENT_S); a call that failed, from
when it began, to the end of the next one:

    SLACK_S + CALL_S + LATE_S = 2.0 <= SILENT_S        AGAIN_S + ASKED_CALL_S + LATE_S = TERM_S

A call that is given up stays open for LATE_ANSWER_S more: its answer counts, unless that of a later call was
taken before it. So a discovery that takes SLOWEST_S for each call is followed too:

    AGAIN_AFTER_SILENCE_S + SLOWEST_S + LATE_S = TERM_S
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable
from typing import Any, cast

import orjson

from saltport.address import Address
from saltport.membership.listing import Listing
from saltport.membership.start_times import StartTimes
from saltport.membership.steps import ListSteps
from saltport.transport.dialing import dial
from saltport.transport.stream import StreamProtocol
from saltport.wire.http import HttpError, HttpReader, request

MAX_BODY = 8 << 20
LIST_PATH = "/registry/instances"
TERM_S, SILENT_S = 6.0, 2.0  # PROTOCOL and the operators' terms: see above
LATE_S = 0.3  # by which the loop may be late, all in all
SLACK_S = 0.7  # beyond a wait, for the call's way there and back
CALL_S = 1.0  # for a call that need not wait, with its dial; the agent answers at once
RETRY_S = 0.1  # a watch goes on if the next call comes within 0.2 s
PUSHED_WAIT_S = 2.5
ASKED_CALL_S = 2.0  # calls wait in turn at a discovery that is asked
AGAIN_S = TERM_S - ASKED_CALL_S - LATE_S  # from a call's beginning to that of the next, where it fails
SLOWEST_S = 3.0  # that a discovery takes for a call, and still counts as one that could be reached
LATE_ANSWER_S = TERM_S - CALL_S
AGAIN_AFTER_SILENCE_S = TERM_S - SLOWEST_S - LATE_S  # from a call's beginning to the next, where it is silent
ASKED_LEAST_S = 1.0  # where discovery is asked each call costs it work
LONGEST_WAIT_S = 60.0  # PROTOCOL: of a watch
ASKED_SPREAD = 0.25  # of a wait: routers that started together must not go on asking together
CALL_SLACK_S = 1.0  # of the time that the settings let news wait, kept back from a wait
UNREADABLE_S = 1.0  # before a list that can't be read is asked for again

log = logging.getLogger("saltport")


class _Call(StreamProtocol, HttpReader):
    """One connection to discovery."""

    def __init__(self) -> None:
        HttpReader.__init__(self)
        self.transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, target: str, host: str) -> asyncio.Future[tuple[int, bytes]]:
        assert self.transport is not None
        self._answer = asyncio.get_running_loop().create_future()
        self.transport.write(request("GET", target, host))
        return self._answer

    def data_received(self, data: bytes) -> None:
        try:
            if self.read(data):
                status, body = self.status, bytes(self._body)
                self._body.clear()
                if not self.finish_answer():
                    self.close()
                if self._answer is not None and not self._answer.done():
                    self._answer.set_result((status, body))
        except HttpError as error:
            self._fail(error)
            self.close()

    def body_started(self, length: int | None) -> None:
        pass

    def body_received(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_BODY:
            raise HttpError("list too long")

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(ConnectionResetError("discovery closed the connection"))

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
    """Take note of how a call ended for which nobody waits any more: asyncio logs what nobody takes."""
    if not answer.cancelled():
        answer.exception()


class _RefusedError(Exception):
    """Discovery answered, and not with a list."""


class Discovery:
    """Keeps the list of servers up to date; a failed call changes nothing of what is held."""

    def __init__(
        self,
        address: Address,
        asked: bool,
        starts: StartTimes,
        take: Callable[[Listing], None],
        failed: Callable[[], None],
        ask_within: float,
        rng: random.Random,
    ) -> None:
        """`ask_within`: after so many seconds without a watch or a call the router counts as told."""
        self._address, self._asked = address, asked
        self._rng = rng
        self.ask_within(ask_within)
        self._steps = ListSteps(starts)
        self._take, self._failed = take, failed
        self._call: _Call | None = None
        self._task: asyncio.Task[None] | None = None
        self._whole = not asked
        """Whether the next call is for the whole list: changes since the version held may not be told."""
        self._again: asyncio.TimerHandle | None = None
        self._begun_calls = self._taken_call = 0
        """How many calls were begun, and the latest of them whose answer was taken."""
        self._late: set[asyncio.Task[None]] = set()
        """Calls that were given up and may be answered yet."""
        self._taking = asyncio.Lock()
        self.generation = 0

    def ask_within(self, seconds: float) -> None:
        """Take a new time after which the router counts as told; the watch under way keeps its own."""
        self._longest_s = min(max(seconds - CALL_SLACK_S, ASKED_LEAST_S), LONGEST_WAIT_S)

    def hold(self, known: Any, generation: int) -> None:
        """The router holds this list already, in discovery's form; it may be old."""
        self.generation = generation
        self._steps.hold(known)

    def start(self) -> None:
        """Follow the pushed list."""
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def subscribe(self) -> None:
        """Begin a watch where discovery is asked, unless one is under way."""
        if self._task is None or self._task.done():
            self._ask_no_later(None)
            self._task = asyncio.get_running_loop().create_task(self._watch_asked())

    def close(self) -> None:
        """Stop following."""
        self._ask_no_later(None)
        if self._task is not None:
            self._task.cancel()
        for late in self._late:
            late.cancel()
        if self._call is not None:
            self._call.close()

    def move(self, address: Address) -> None:
        """Go on at another address, from the whole list; what is held stays valid until that has come."""
        self.close()
        # Danger: the old call's end must not close the new one.
        self._address, self._call = address, None
        # Danger: another discovery's versions are none of this one's, be a watch under way just now or not.
        self._whole = True
        follow = self._watch_asked() if self._asked else self._follow()
        self._task = asyncio.get_running_loop().create_task(follow)

    def _ask_no_later(self, due: float | None) -> None:
        """Ask again at this time, unless it is done before; None: it is."""
        if self._again is not None:
            self._again.cancel()
        self._again = asyncio.get_running_loop().call_at(due, self.subscribe) if due is not None else None

    async def _follow(self) -> None:
        down = False
        while True:
            try:
                await self._ask_once(PUSHED_WAIT_S, CALL_S)
                down = False
                continue
            except Exception as error:
                pause = UNREADABLE_S if isinstance(error, ValueError) else RETRY_S
                if not down:
                    log.warning("discovery: %s", str(error) or type(error).__name__)
            # Danger: a discovery that restarted may count anew: a watch from a version ahead hears nothing.
            down = self._whole = True
            await asyncio.sleep(pause)

    async def _watch_asked(self) -> None:
        loop = asyncio.get_running_loop()
        begun, silent = loop.time(), False
        try:
            while True:
                # Danger: a watch that fell silent looks like one with no news until its wait is over; if it
                # waits longer than the settings let news wait, whole zones go and this router sends to them.
                wait_s = self._longest_s * (1 - ASKED_SPREAD * self._rng.random())
                begun = loop.time()
                try:
                    await self._ask_once(0.0 if silent else wait_s, CALL_S if silent else ASKED_CALL_S)
                    silent = False
                except TimeoutError:
                    # Once, and at once: what a silent watch missed counts as told SILENT_S after its wait.
                    if silent or self._whole:
                        raise
                    silent = True
                    log.warning("discovery: a watch fell silent")
        except Exception as error:
            log.warning("discovery: %s", str(error) or type(error).__name__)
            again_s = AGAIN_AFTER_SILENCE_S if isinstance(error, TimeoutError) else AGAIN_S
        self._task = None
        self._ask_no_later(begun + again_s * (1 - ASKED_SPREAD * self._rng.random()))
        self._failed()

    async def _ask_once(self, wait_s: float, call_s: float) -> None:
        whole = self._whole
        target = LIST_PATH if whole else f"{LIST_PATH}?index={self.generation}&wait={int(wait_s * 1000)}"
        self._begun_calls += 1
        number = self._begun_calls
        answer: asyncio.Future[tuple[int, bytes]] | None = None
        try:
            async with asyncio.timeout(call_s if whole or not wait_s else wait_s + SLACK_S) as limit:
                if self._call is None or not self._call.usable:
                    loop = asyncio.get_running_loop()
                    stream = await dial(loop, _Call, self._address)
                    if loop.time() >= (limit.when() or math.inf):
                        # Danger: what came up with the end of its time is nobody's call.
                        stream.abort()
                        raise TimeoutError
                    self._call = cast(_Call, stream.get_protocol())
                host, port = self._address
                answer = self._call.ask(target, f"{host}:{port}")
                answer.add_done_callback(_retrieve)
                status, body = await asyncio.shield(answer)
        except TimeoutError:
            if self._call is not None and answer is not None:
                self._leave(self._call, answer, number, whole)
            raise
        except BaseException:
            if self._call is not None:
                self._call.close()
            raise
        await self._take_answer(status, body, number, whole)

    def _leave(
        self, call: _Call, answer: asyncio.Future[tuple[int, bytes]], number: int, whole: bool
    ) -> None:
        """Give a call up, and take its answer all the same if it comes late."""
        self._call = None
        late = asyncio.get_running_loop().create_task(self._take_late(call, answer, number, whole))
        self._late.add(late)
        late.add_done_callback(self._late.discard)

    async def _take_late(
        self, call: _Call, answer: asyncio.Future[tuple[int, bytes]], number: int, whole: bool
    ) -> None:
        try:
            async with asyncio.timeout(LATE_ANSWER_S):
                status, body = await answer
            await self._take_answer(status, body, number, whole)
            log.info("discovery: an answer came late")
        except (OSError, TimeoutError, ValueError, _RefusedError, HttpError) as error:
            log.debug("discovery: a call that was given up: %s", str(error) or type(error).__name__)
        finally:
            call.close()

    async def _take_answer(self, status: int, body: bytes, number: int, whole: bool) -> None:
        """Take a list, unless that of a later call was taken before; raises ValueError, _RefusedError."""
        if status != 200:
            raise _RefusedError(f"answered {status}")
        # Danger: two lists whose steps mix would leave neither.
        async with self._taking:
            if number < self._taken_call:
                return
            self._taken_call = number
            for listing in self._steps.changes(orjson.loads(body)):
                if listing is not None:
                    self._take(listing)
                    if not listing.more:
                        # A version behind the one held: discovery counts anew, not all is told as changes.
                        self._whole = not whole and listing.generation < self.generation
                        self.generation = listing.generation
                await asyncio.sleep(0)
