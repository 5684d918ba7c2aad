"""Between the decision and the first byte lies a queue or a dial: what has run out meanwhile does not leave.

Dials come up when the test lets them, over real connections; the loop is held up on purpose.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine
from typing import Any
from unittest.mock import patch

import pytest

from saltport.decisions import (
    Effect,
    ListKind,
    RequestClass,
    Server,
    ServersChanged,
    ServerState,
    Settings,
)
from saltport.decisions.interface import NS_PER_S
from saltport.membership.listing import Listing
from saltport.messages import Request
from saltport.router.host import RouterHost
from saltport.transport.dialing import dial
from saltport.transport.loop import run_on_router_loop
from saltport.transport.stream import TcpStream
from saltport.upstream.pool import Pool
from tests.sockets import PATIENCE_S, Peer, hit, http_answer, reset

MS = NS_PER_S // 1000
WINDOW = 100 * MS
CLASSES = (
    RequestClass("get", aim=NS_PER_S, deadline=20 * NS_PER_S),
    RequestClass("put", aim=NS_PER_S, deadline=20 * NS_PER_S, effect=Effect.KEYED, dedup_window=WINDOW),
)


class HeldDials:
    """Dials as they are, but connections to servers are told of only once they are let go."""

    def __init__(self) -> None:
        self.let_go = asyncio.Event()
        self.up = 0

    async def dial(self, *args: Any) -> TcpStream:
        made = await dial(*args)
        self.up += 1
        await self.let_go.wait()
        return made


class Told:
    """A client's place that keeps its final answer."""

    request: Any = None
    source: Any = None

    def __init__(self) -> None:
        self.answer: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def served(self, value: bytes) -> None:
        self.answer.set_result(value.decode())

    def refused(self, retry_after_ms: int = 0) -> None:
        self.answer.set_result("refused")

    def failed(self) -> None:
        self.answer.set_result("failed")

    def forgotten(self) -> None:
        pass

    def client_has_left(self) -> bool:
        return False


async def until(check: Callable[[], Any]) -> None:
    while not check():
        await asyncio.sleep(0.001)


def listing(peers: dict[str, Peer], state: ServerState = ServerState.READY) -> Listing:
    servers = tuple(Server(name, name if name == "origin" else "std", state) for name in peers)
    addresses = {name: ("127.0.0.1", peer.port) for name, peer in peers.items()}
    return Listing(1, ServersChanged(ListKind.FULL, servers), addresses)


def play(peers: dict[str, Peer], scene: Callable[[RouterHost, HeldDials], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        dials = HeldDials()
        pool = Pool(asyncio.get_running_loop(), 64, PATIENCE_S, PATIENCE_S)
        settings = Settings(classes=CLASSES, origin_kind="origin")
        host = RouterHost(asyncio.get_running_loop(), settings, 1, pool, 100)
        pool.on_event = host.touched
        host.servers_changed(listing(peers))
        with patch("saltport.upstream.pool.dial", dials.dial):
            async with asyncio.timeout(PATIENCE_S):
                await scene(host, dials)
        pool.close()
        await asyncio.sleep(0)

    try:
        run_on_router_loop(run())
    finally:
        for peer in peers.values():
            peer.close()


def ask(host: RouterHost, name: bytes, cls: str, deadline_ms: int) -> Told:
    told = Told()
    info = b"c=%b,t=acme,d=%d" % (cls.encode(), deadline_ms)
    value = b"v" if cls == "put" else None
    host.request_arrived(Request(name, b"k", cls, "acme", deadline_ms, value, False, info), told)  # type: ignore[arg-type]
    return told


def ids(peer: Peer) -> list[bytes]:
    """The ids that came to the origin."""
    lines = [line for words in peer.seen for line in words[2].split(b"\r\n")]
    return [line[12:] for line in lines if line.startswith(b"Request-Id: ")]


@pytest.mark.parametrize("late_s", [0.0, 0.1])
def test_dial_that_comes_up_with_the_deadline_carries_nothing(late_s: float) -> None:
    """`late_s`: the loop is held up past the deadline, so that timer and dial come in one turn."""
    cache = Peer(lambda _, words: hit(words[2]))

    async def scene(host: RouterHost, dials: HeldDials) -> None:
        told = ask(host, b"late", "get", 150)
        await until(lambda: dials.up)
        if late_s:
            dials.let_go.set()
            time.sleep(0.15 + late_s)  # holds the loop: timer and dial wait for the same turn
        assert await told.answer == "refused"
        dials.let_go.set()
        assert await ask(host, b"next", "get", 15_000).answer == "next"
        assert [words[2] for words in cache.seen] == [b"next"]

    play({"s1": cache}, scene)


def test_keyed_write_does_not_leave_after_the_window_of_its_first_attempt() -> None:
    def write(connection: Any, message: list[bytes]) -> bytes:
        if len(origin.seen) == 2:
            reset(connection)  # it may have run
        return http_answer(200, b"receipt")

    origin = Peer(write, is_http=True)

    async def scene(host: RouterHost, dials: HeldDials) -> None:
        dials.let_go.set()
        assert await ask(host, b"first", "put", 15_000).answer == "receipt"
        dials.let_go.clear()
        # The next goes on the kept connection; once that breaks, a second attempt is decided on at once,
        # and its dial comes up after the window.
        told = ask(host, b"keyed", "put", 15_000)
        await until(lambda: dials.up == 2)
        time.sleep(2 * WINDOW / NS_PER_S)
        dials.let_go.set()
        assert await told.answer == "refused"
        assert await ask(host, b"next", "put", 15_000).answer == "receipt"
        assert ids(origin) == [b"first", b"keyed", b"next"]

    play({"origin": origin}, scene)


def test_server_that_drains_while_its_dial_is_under_way_gets_nothing() -> None:
    old, new = Peer(lambda _, words: hit(b"old")), Peer(lambda _, words: hit(b"new"))

    async def scene(host: RouterHost, dials: HeldDials) -> None:
        told = ask(host, b"r1", "get", 15_000)
        await until(lambda: dials.up)
        host.servers_changed(listing({"s1": old}, ServerState.DRAINING))
        host.servers_changed(listing({"s2": new}))
        dials.let_go.set()
        await asyncio.wait([told.answer], timeout=PATIENCE_S)
        assert await ask(host, b"r2", "get", 15_000).answer == "new"
        assert not old.seen

    play({"s1": old}, scene)
    new.close()


def test_client_that_left_during_a_dial_has_nothing_sent() -> None:
    cache = Peer(lambda _, words: hit(words[2]))

    async def scene(host: RouterHost, dials: HeldDials) -> None:
        told = ask(host, b"gone", "get", 15_000)
        await until(lambda: dials.up)
        host.client_gone(told)  # type: ignore[arg-type]
        dials.let_go.set()
        assert await ask(host, b"next", "get", 15_000).answer == "next"
        assert [words[2] for words in cache.seen] == [b"next"]

    play({"s1": cache}, scene)


def test_small_writes_to_servers_are_not_held_back_by_the_system() -> None:
    cache = Peer(lambda _, words: hit(words[2]))

    async def scene(host: RouterHost, dials: HeldDials) -> None:
        dials.let_go.set()
        assert await ask(host, b"one", "get", 15_000).answer == "one"
        (connection,) = host._pool._servers["s1"].idle
        assert connection.transport is not None
        ours = connection.transport.get_extra_info("socket")
        assert ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play({"s1": cache}, scene)
