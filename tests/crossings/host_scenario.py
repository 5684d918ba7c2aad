"""The router's host and pool over real sockets in the test's own process, with dials that the test delays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any
from unittest.mock import patch

from saltport.decisions import (
    DedupScope,
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
from tests.sockets import TIMEOUT_S, Peer

MS = NS_PER_S // 1000
WINDOW = 100 * MS
LONG_WINDOW = 600 * MS  # time for a long value and its repeat to be sent on a busy machine
CLASSES = (
    RequestClass("get", aim=NS_PER_S, deadline=20 * NS_PER_S),
    RequestClass("put", aim=NS_PER_S, deadline=20 * NS_PER_S, effect=Effect.KEYED, dedup_window=WINDOW),
    *(
        RequestClass(
            f"put-{scope.value}",
            aim=NS_PER_S,
            deadline=20 * NS_PER_S,
            effect=Effect.KEYED,
            dedup_window=LONG_WINDOW,
            dedup_scope=scope,
        )
        for scope in DedupScope
    ),
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

    def may_buffer(self, size: int) -> bool:
        return True

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
    peers: dict[str, Peer],
    scenario: Callable[[RouterHost, DelayedDials], Coroutine[Any, Any, None]],
    origin_kind: str | None = "origin",
) -> None:
    """Run a scenario with these servers; without an origin's kind, writes go to the cache servers."""

    async def run() -> None:
        dials = DelayedDials()
        pool = Pool(asyncio.get_running_loop(), 64, TIMEOUT_S, TIMEOUT_S)
        settings = Settings(classes=CLASSES, origin_kind=origin_kind)
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
