"""Discovery's client: the whole list once, then a watch that goes on without a gap."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any, cast

import orjson

from saltport.address import Address
from saltport.membership.listing import Clock, Listing
from saltport.membership.steps import ListSteps
from saltport.wire.http import HttpError, HttpReader, request

MAX_BODY = 8 << 20
LIST_PATH = "/registry/instances"
PUSHED_WAIT_MS = 5_000
ASKED_LEAST_S = 1.0  # where discovery is asked each call costs it work
ASKED_SPREAD = 0.25  # of a wait: routers that started together must not go on asking together
CALL_SLACK_S = 1.0
LIST_TIMEOUT_S = 2.0
RETRY_S = 0.1  # a watch goes on if the next call comes within 0.2 s

log = logging.getLogger("saltport")


class _Call(asyncio.Protocol, HttpReader):
    """One connection to discovery."""

    def __init__(self) -> None:
        HttpReader.__init__(self)
        self.transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's own class is no subclass

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
                if not self.answer_done():
                    self.close()
                if self._answer is not None and not self._answer.done():
                    self._answer.set_result((status, body))
        except HttpError as error:
            self._fail(error)
            self.close()

    def body_starts(self, length: int | None) -> None:
        pass

    def body_came(self, data: bytes) -> None:
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


class Discovery:
    """Keeps the list of servers up to date; a failed call changes nothing of what is held."""

    def __init__(
        self,
        address: Address,
        asked: bool,
        clock: Clock,
        take: Callable[[Listing], None],
        failed: Callable[[], None],
        ask_within: float,
        rng: random.Random,
    ) -> None:
        """`ask_within`: after so many seconds without a watch or a call the router counts as told."""
        self._address, self._asked = address, asked
        self._rng = rng
        self.ask_within(ask_within)
        self._steps = ListSteps(clock)
        self._take, self._failed = take, failed
        self._call: _Call | None = None
        self._task: asyncio.Task[None] | None = None
        self.generation = 0

    def ask_within(self, seconds: float) -> None:
        """Take a new time after which the router counts as told; the watch under way keeps its own."""
        self._longest_s = max(seconds - CALL_SLACK_S, ASKED_LEAST_S)

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
            self._task = asyncio.get_running_loop().create_task(self._watch_asked())

    def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
        if self._call is not None:
            self._call.close()

    def move(self, address: Address) -> None:
        """Go on at another address, from the whole list; what is held stays valid until that has come."""
        watching = self._task is not None and not self._task.done()
        self.close()
        # Danger: the old call's end must not close the new one.
        self._address, self._call = address, None
        if watching:
            follow = self._watch_asked(whole=True) if self._asked else self._follow()
            self._task = asyncio.get_running_loop().create_task(follow)

    async def _follow(self) -> None:
        whole, down = True, False
        while True:
            try:
                await self._ask_once(whole, PUSHED_WAIT_MS)
                whole = down = False
            except Exception as error:
                if not down:
                    log.warning("discovery: %s", str(error) or type(error).__name__)
                down = True
                await asyncio.sleep(RETRY_S)

    async def _watch_asked(self, whole: bool = False) -> None:
        try:
            while True:
                # Danger: a watch that fell silent looks like one with no news until its wait is over; if it
                # waits longer than the settings let news wait, whole zones go and this router sends to them.
                share = 1 - ASKED_SPREAD * self._rng.random()
                await self._ask_once(whole, int(self._longest_s * share * 1000))
                whole = False
        except Exception as error:
            log.warning("discovery: %s", str(error) or type(error).__name__)
        self._task = None
        self._failed()

    async def _ask_once(self, whole: bool, wait_ms: int) -> None:
        target = LIST_PATH if whole else f"{LIST_PATH}?index={self.generation}&wait={wait_ms}"
        limit = LIST_TIMEOUT_S if whole else wait_ms / 1000 + CALL_SLACK_S
        try:
            async with asyncio.timeout(limit):
                if self._call is None or not self._call.usable:
                    loop = asyncio.get_running_loop()
                    _, self._call = await loop.create_connection(_Call, *self._address)
                host, port = self._address
                status, body = await self._call.ask(target, f"{host}:{port}")
        except BaseException:
            if self._call is not None:
                self._call.close()
            raise
        if status != 200:
            raise ValueError(f"answered {status}")
        for listing in self._steps.changes(orjson.loads(body)):
            if listing is not None:
                self._take(listing)
                if not listing.more:
                    self.generation = listing.generation
            await asyncio.sleep(0)
