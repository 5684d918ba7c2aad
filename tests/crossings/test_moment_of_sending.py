"""A request that expires in a queue or during connection setup, after the decision to send it, is not sent.

The test decides when a real connection counts as established, and blocks the event loop on purpose.
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
from tests.sockets import TIMEOUT_S, Peer, hit, http_answer, reset

MS = NS_PER_S // 1000
WINDOW = 100 * MS
CLASSES = (
    RequestClass("get", aim=NS_PER_S, deadline=20 * NS_PER_S),
    RequestClass("put", aim=NS_PER_S, deadline=20 * NS_PER_S, effect=Effect.KEYED, dedup_window=WINDOW),
)


class DelayedDials:
    """Establishes real connections, but returns them only once `let_go` is set."""

    def __init__(self) -> None:
        self.let_go = asyncio.Event()
        self.established = 0

    async def dial(self, *args: Any) -> TcpStream:
        stream = await dial(*args)
        self.established += 1
        await self.let_go.wait()
        return stream


class RecordingReply:
    """A reply that records the final answer."""

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

    def release_memory(self) -> None:
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


def run_scenario(
    peers: dict[str, Peer], scenario: Callable[[RouterHost, DelayedDials], Coroutine[Any, Any, None]]
) -> None:
    async def run() -> None:
        dials = DelayedDials()
        pool = Pool(asyncio.get_running_loop(), 64, TIMEOUT_S, TIMEOUT_S)
        settings = Settings(classes=CLASSES, origin_kind="origin")
        host = RouterHost(asyncio.get_running_loop(), settings, 1, pool, 100)
        pool.on_event = host.begin_loop_iteration
        host.servers_changed(listing(peers))
        with patch("saltport.upstream.pool.dial", dials.dial):
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(host, dials)
        pool.close()
        await asyncio.sleep(0)

    try:
        run_on_router_loop(run())
    finally:
        for peer in peers.values():
            peer.close()


def ask(host: RouterHost, name: bytes, cls: str, deadline_ms: int) -> RecordingReply:
    reply = RecordingReply()
    info = b"c=%b,t=acme,d=%d" % (cls.encode(), deadline_ms)
    value = b"v" if cls == "put" else None
    host.request_arrived(Request(name, b"k", cls, "acme", deadline_ms, value, False, info), reply)  # type: ignore[arg-type]
    return reply


def ids(peer: Peer) -> list[bytes]:
    """Return the ids of the requests that reached the origin."""
    lines = [line for words in peer.seen for line in words[2].split(b"\r\n")]
    return [line[12:] for line in lines if line.startswith(b"Request-Id: ")]


@pytest.mark.parametrize("late_s", [0.0, 0.1])
def test_connection_established_at_the_deadline_carries_no_request(late_s: float) -> None:
    """`late_s`: blocks the loop past the deadline, so that timer and connection fall into one iteration."""
    cache = Peer(lambda _, words: hit(words[2]))

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        reply = ask(host, b"late", "get", 150)
        await until(lambda: dials.established)
        if late_s:
            dials.let_go.set()
            time.sleep(0.15 + late_s)  # blocks the loop: timer and connection are due in the same iteration
        assert await reply.answer == "refused"
        dials.let_go.set()
        assert await ask(host, b"next", "get", 15_000).answer == "next"
        assert [words[2] for words in cache.seen] == [b"next"]

    run_scenario({"s1": cache}, scenario)


def test_keyed_write_is_not_sent_after_the_dedup_window_of_its_first_attempt() -> None:
    def write(connection: Any, message: list[bytes]) -> bytes:
        if len(origin.seen) == 2:
            reset(connection)  # the write may have run
        return http_answer(200, b"receipt")

    origin = Peer(write, is_http=True)

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        dials.let_go.set()
        assert await ask(host, b"first", "put", 15_000).answer == "receipt"
        dials.let_go.clear()
        # The next write uses the open connection. When that is reset, a second attempt is decided at once,
        # and its connection is established after the window.
        reply = ask(host, b"keyed", "put", 15_000)
        await until(lambda: dials.established == 2)
        time.sleep(2 * WINDOW / NS_PER_S)
        dials.let_go.set()
        assert await reply.answer == "refused"
        assert await ask(host, b"next", "put", 15_000).answer == "receipt"
        assert ids(origin) == [b"first", b"keyed", b"next"]

    run_scenario({"origin": origin}, scenario)


def test_server_that_drains_during_connection_setup_gets_no_request() -> None:
    old, new = Peer(lambda _, words: hit(b"old")), Peer(lambda _, words: hit(b"new"))

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        reply = ask(host, b"r1", "get", 15_000)
        await until(lambda: dials.established)
        host.servers_changed(listing({"s1": old}, ServerState.DRAINING))
        host.servers_changed(listing({"s2": new}))
        dials.let_go.set()
        await asyncio.wait([reply.answer], timeout=TIMEOUT_S)
        assert await ask(host, b"r2", "get", 15_000).answer == "new"
        assert not old.seen

    run_scenario({"s1": old}, scenario)
    new.close()


def test_request_is_not_sent_if_its_client_disconnects_during_connection_setup() -> None:
    cache = Peer(lambda _, words: hit(words[2]))

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        reply = ask(host, b"gone", "get", 15_000)
        await until(lambda: dials.established)
        host.client_gone(reply)  # type: ignore[arg-type]
        dials.let_go.set()
        assert await ask(host, b"next", "get", 15_000).answer == "next"
        assert [words[2] for words in cache.seen] == [b"next"]

    run_scenario({"s1": cache}, scenario)


def test_small_writes_to_servers_are_sent_without_delay() -> None:
    cache = Peer(lambda _, words: hit(words[2]))

    async def scenario(host: RouterHost, dials: DelayedDials) -> None:
        dials.let_go.set()
        assert await ask(host, b"one", "get", 15_000).answer == "one"
        (connection,) = host._pool._servers["s1"].idle
        assert connection.transport is not None
        router_socket = connection.transport.get_extra_info("socket")
        assert router_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario({"s1": cache}, scenario)
