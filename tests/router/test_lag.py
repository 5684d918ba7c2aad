"""A router whose event loop is blocked does not count the delay against its servers.

Answers that wait in the kernel are read before a time-out is decided. The tests block the loop on purpose,
until a peer's thread has written its answer and for longer than the attempt's time-out, so that the results
do not depend on the machine's speed.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable
from typing import Any

from saltport.decisions import (
    Action,
    AttemptEnded,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    RequestClass,
    RequestRules,
    Send,
    Server,
    ServersChanged,
    Settings,
)
from saltport.decisions.interface import NS_PER_S
from saltport.decisions.server_registry import ServerRegistry
from saltport.membership.listing import Listing
from saltport.messages import Request
from saltport.router.host import RouterHost
from saltport.transport.loop import run_on_router_loop
from saltport.transport.settling import SETTLING_TIME_S
from saltport.upstream.pool import Pool
from tests.sockets import MISS, TIMEOUT_S, Peer, hit

MS = 1_000_000
ATTEMPT_TIMEOUT_NS = 30 * MS
BLOCK_S = 0.2


class Decisions:
    """A decision module that sends each request to the server named by its key and records the ends."""

    def __init__(self) -> None:
        self.ends: list[AttemptEnded] = []
        self.ended = asyncio.Event()
        self.registry = ServerRegistry()

    def rules_for(self, request_class: str, tenant: str | None, earliest: int) -> RequestRules:
        return RequestRules(RequestClass(request_class, NS_PER_S, NS_PER_S), 4, tenant or "")

    def handle(self, event: Event, now: int) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [Send(event.request, event.key or "", ATTEMPT_TIMEOUT_NS)]
        if isinstance(event, AttemptEnded):
            self.ends.append(event)
            self.ended.set()
        return []


class NoReply:
    """A reply that is discarded."""

    request: Any = None
    source: Any = None

    def served(self, value: bytes) -> None:
        pass

    def release_memory(self) -> None:
        pass

    def may_buffer(self, size: int) -> bool:
        return True

    def client_has_left(self) -> bool:
        return False


def request_to(number: int, server: str) -> Request:
    info = b"c=get,t=acme,d=20000"
    return Request(b"r%d" % number, server.encode(), "get", "acme", 20_000, None, False, info)


def play(peers: dict[str, Peer], scene: Callable[[RouterHost, Decisions], Any]) -> list[AttemptEnded]:
    async def run() -> list[AttemptEnded]:
        loop = asyncio.get_running_loop()
        settings = Settings(classes=(RequestClass("get", aim=NS_PER_S, deadline=20 * NS_PER_S),))
        pool = Pool(loop, 64, TIMEOUT_S, TIMEOUT_S)
        host = RouterHost(loop, settings, 1, pool, 100)
        pool.on_event = host.begin_loop_iteration
        decisions = Decisions()
        host._router = decisions  # type: ignore[assignment]
        servers = tuple(Server(name) for name in peers)
        addresses = {name: ("127.0.0.1", peer.port) for name, peer in peers.items()}
        host.servers_changed(Listing(1, ServersChanged(ListKind.FULL, servers), addresses))
        async with asyncio.timeout(TIMEOUT_S):
            await scene(host, decisions)
        pool.close()
        return decisions.ends

    try:
        return run_on_router_loop(run())
    finally:
        for peer in peers.values():
            peer.close()


async def end_of(host: RouterHost, decisions: Decisions, number: int, server: str) -> None:
    """Wait until a request has ended and the next one to its server is written at once."""
    decisions.ended.clear()
    host.request_arrived(request_to(number, server), NoReply())  # type: ignore[arg-type]
    await decisions.ended.wait()
    await asyncio.sleep(2 * SETTLING_TIME_S)


class Answering:
    """A peer that sets `written` when its thread has written an answer."""

    def __init__(self, answer: bytes | None = None, after: threading.Event | None = None) -> None:
        self.written, self._after = threading.Event(), after
        self._answer = hit(b"v") if answer is None else answer
        self.peer = Peer(self._handle)

    def _handle(self, connection: Any, _: list[bytes]) -> None:
        if self._after is not None:
            assert self._after.wait(TIMEOUT_S)
        connection.sendall(self._answer)
        self.written.set()


def block(until: threading.Event) -> None:
    assert until.wait(TIMEOUT_S)
    time.sleep(BLOCK_S)  # far longer than the attempt's time-out


async def block_while_reading(
    host: RouterHost, decisions: Decisions, read_first: Answering, quick: Answering
) -> None:
    """Send a request to both servers, and block the loop while it reads the first answer.

    After that the loop runs due timers before it polls the kernel again.
    """
    await end_of(host, decisions, 1, "s1")
    await end_of(host, decisions, 2, "s2")
    quick.written.clear()
    blocking = NoReply()
    blocking.served = lambda value: block(quick.written)  # type: ignore[method-assign]
    read_first.written.clear()
    host.request_arrived(request_to(3, "s1"), blocking)  # type: ignore[arg-type]
    host.request_arrived(request_to(4, "s2"), NoReply())  # type: ignore[arg-type]
    while len(decisions.ends) < 4:
        await asyncio.sleep(0.01)


def test_an_answer_that_lay_in_the_kernel_is_no_time_out_and_no_slowness() -> None:
    read_first = Answering()
    quick = Answering(after=read_first.written)

    async def scene(host: RouterHost, decisions: Decisions) -> None:
        await block_while_reading(host, decisions, read_first, quick)

    ends = play({"s1": read_first.peer, "s2": quick.peer}, scene)
    ended = {end.request: end for end in ends}
    assert ended["r4"].outcome is Outcome.OK
    assert ended["r4"].latency - ended["r4"].lag < BLOCK_S * NS_PER_S / 2


def test_a_request_that_left_late_gets_its_time_back() -> None:
    """Data leaves at the end of a loop iteration: a stall after the write is not the server's delay."""
    quick = Answering()
    stalled = threading.Event()
    stalled.set()

    async def scene(host: RouterHost, decisions: Decisions) -> None:
        await end_of(host, decisions, 1, "s1")
        decisions.ended.clear()

        def send_and_block() -> None:
            host.begin_loop_iteration()
            host.request_arrived(request_to(2, "s1"), NoReply())  # type: ignore[arg-type]
            block(stalled)

        asyncio.get_running_loop().call_later(0.005, send_and_block)
        await decisions.ended.wait()

    ends = play({"s1": quick.peer}, scene)
    assert [end.outcome for end in ends] == [Outcome.OK, Outcome.OK]
    assert ends[1].latency - ends[1].lag < BLOCK_S * NS_PER_S / 2


def test_misses_are_read_first_as_well() -> None:
    quick = Answering(MISS)

    async def scene(host: RouterHost, decisions: Decisions) -> None:
        await end_of(host, decisions, 1, "s1")
        quick.written.clear()
        decisions.ended.clear()
        host.request_arrived(request_to(2, "s1"), NoReply())  # type: ignore[arg-type]
        asyncio.get_running_loop().call_soon(block, quick.written)
        await decisions.ended.wait()

    assert [end.outcome for end in play({"s1": quick.peer}, scene)] == [Outcome.MISS, Outcome.MISS]


def test_a_dial_under_way_in_a_stall_gets_its_time_back() -> None:
    quick = Answering()
    stalled = threading.Event()
    stalled.set()

    async def scene(host: RouterHost, decisions: Decisions) -> None:
        host.request_arrived(request_to(1, "s1"), NoReply())  # type: ignore[arg-type]
        block(stalled)  # before the loop has seen the connection come up
        await decisions.ended.wait()

    assert [end.outcome for end in play({"s1": quick.peer}, scene)] == [Outcome.OK]


def test_a_server_that_is_silent_during_a_stall_times_out_all_the_same() -> None:
    first = threading.Event()

    def once(connection: Any, _: list[bytes]) -> bytes | None:
        if first.is_set():
            return None
        first.set()
        return hit(b"v")

    silent, quick = Peer(once), Answering()

    async def scene(host: RouterHost, decisions: Decisions) -> None:
        await end_of(host, decisions, 1, "silent")
        await end_of(host, decisions, 2, "quick")
        quick.written.clear()
        for number, server in ((3, "silent"), (4, "quick")):
            host.request_arrived(request_to(number, server), NoReply())  # type: ignore[arg-type]
        asyncio.get_running_loop().call_soon(block, quick.written)
        while len(decisions.ends) < 4:
            await asyncio.sleep(0.01)

    ends = play({"silent": silent, "quick": quick.peer}, scene)
    ended = {end.request: end.outcome for end in ends}
    assert ended == {"r1": Outcome.OK, "r2": Outcome.OK, "r3": Outcome.TIMEOUT, "r4": Outcome.OK}
    late = next(end for end in ends if end.request == "r3")
    assert late.latency - late.lag >= ATTEMPT_TIMEOUT_NS / 2
