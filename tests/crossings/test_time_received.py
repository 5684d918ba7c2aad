"""A client's time begins when its last byte came: what the router lets lie unread is taken off what it tells.

The loop is held, a connection is not read, or a listener is not looked at, for a time that a client measures;
then what the server was told is compared with what was left. No bound rests on the machine's speed.
"""

from __future__ import annotations

import asyncio
import re
import signal
import socket
import threading
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from saltport.deadline import NS_PER_MS, Received
from saltport.decisions import ListKind, RequestClass, Server, ServersChanged, Settings
from saltport.decisions.interface import NS_PER_S
from saltport.downstream.clients import MAX_PIPELINE, ClientConnection, ClientServer
from saltport.downstream.received import HELD_UP_NS, TICK_NS, KernelClock, ReceiveTimes
from saltport.downstream.resp import RespDialect
from saltport.membership.listing import Listing
from saltport.router.host import RouterHost
from saltport.transport.loop import on_router_loop
from saltport.upstream.pool import Pool
from tests.sockets import PATIENCE_S, Client, Peer, eventually, get, hit, routed

TOTAL_MS = 10_000
HELD_S = 0.3
SHORT_MS = 150  # over before HELD_S is
ROUNDING_NS = 2 * TICK_NS + NS_PER_MS  # of the kernel's clock, and of what is told

CLASSES = (RequestClass("get", aim=NS_PER_S, deadline=20 * NS_PER_S),)


class World:
    """A router's parts between a listener and one cache server, all over loopback."""

    def __init__(self, host: RouterHost, clients: ClientServer, listener: socket.socket, cache: Peer) -> None:
        self.host, self.clients, self.listener, self.cache = host, clients, listener, cache
        self._loop = asyncio.get_running_loop()

    async def client(self) -> Client:
        return await self._loop.run_in_executor(None, Client, self.listener.getsockname()[1])

    async def connection(self) -> ClientConnection:
        """The only client's connection, once it is accepted."""
        while not self.clients._connections:
            await asyncio.sleep(0)
        (connection,) = self.clients._connections
        return connection

    async def within(self, work: Callable[[], Any]) -> Any:
        """Let a client work beside the loop."""
        return await self._loop.run_in_executor(None, work)

    def listen(self) -> None:
        self.clients.listen_at(self.listener)

    def told_ms(self, request_id: str) -> int:
        (info,) = [words[3] for words in self.cache.seen if words[2] == request_id.encode()]
        (told,) = re.findall(rb",d=(\d+)", info)
        return int(told)


def play(scene: Callable[[World], Coroutine[Any, Any, None]], gate: threading.Event | None = None) -> None:
    """`gate`: what answers to the key `slow` wait for."""

    def serve(_: socket.socket, words: list[bytes]) -> bytes:
        if gate is not None and words[1] == b"slow":
            assert gate.wait(PATIENCE_S)
        return hit(words[2])

    async def run() -> None:
        loop = asyncio.get_running_loop()
        pool = Pool(loop, 64, PATIENCE_S, PATIENCE_S)
        host = RouterHost(loop, Settings(classes=CLASSES), 1, pool, 1000)
        pool.touched, host.ready = host.touched, True
        addresses = {"s1": ("127.0.0.1", cache.port)}
        host.servers_changed(Listing(1, ServersChanged(ListKind.FULL, (Server("s1"),)), addresses))
        clients = ClientServer(loop, host, RespDialect, 64, 1 << 20)
        listener = socket.create_server(("127.0.0.1", 0))
        async with asyncio.timeout(PATIENCE_S):
            await scene(World(host, clients, listener, cache))
        clients.close()
        pool.close()
        await asyncio.sleep(0)

    cache = Peer(serve)
    try:
        on_router_loop(run())
    finally:
        cache.close()


def send_and_hold(client: Client, data: bytes) -> int:
    """Send while the loop stands still, and hold it; returns how long the bytes lay there."""
    client.send(data)
    sent = time.monotonic_ns()
    time.sleep(HELD_S)
    return time.monotonic_ns() - sent


def most_left_ms(unread_ns: int) -> int:
    return (TOTAL_MS * NS_PER_MS - unread_ns) // NS_PER_MS


@pytest.mark.parametrize("commands", [1, 3])
def test_what_lay_unread_while_the_loop_was_held_is_not_told(commands: int) -> None:
    async def scene(world: World) -> None:
        world.listen()
        client = await world.client()
        assert await world.within(lambda: client.ask(get("first", d=TOTAL_MS))) == b"first"
        data = b"".join(get(f"r{i}", f"k{i}", d=TOTAL_MS) for i in range(commands))
        unread_ns = send_and_hold(client, data)
        for i in range(commands):
            assert await world.within(client.answer) == b"r%d" % i
            assert 0 < world.told_ms(f"r{i}") <= most_left_ms(unread_ns)
        client.close()

    play(scene)


def test_what_lay_in_the_backlog_while_the_loop_was_held_is_not_told() -> None:
    async def scene(world: World) -> None:
        world.listen()
        client = Client(world.listener.getsockname()[1])  # the kernel takes it, and the loop does not turn
        unread_ns = send_and_hold(client, get("r1", d=TOTAL_MS))
        assert await world.within(client.answer) == b"r1"
        assert 0 < world.told_ms("r1") <= most_left_ms(unread_ns)
        client.close()

    play(scene)


def test_what_lay_in_the_backlog_before_the_process_looked_is_not_told() -> None:
    async def scene(world: World) -> None:
        client = Client(world.listener.getsockname()[1])
        client.send(get("r1", d=TOTAL_MS))
        sent = time.monotonic_ns()
        await asyncio.sleep(HELD_S)  # the loop turns, but has not been told of the listener
        unread_ns = time.monotonic_ns() - sent
        world.listen()
        assert await world.within(client.answer) == b"r1"
        assert 0 < world.told_ms("r1") <= most_left_ms(unread_ns)
        client.close()

    play(scene)


def test_what_lay_behind_a_full_pipeline_is_not_told() -> None:
    gate = threading.Event()

    async def scene(world: World) -> None:
        world.listen()
        client = await world.client()
        client.send(b"".join(get(f"r{i}", "slow", d=TOTAL_MS) for i in range(MAX_PIPELINE)))
        connection = await world.connection()
        while len(connection.replies) < MAX_PIPELINE:
            await asyncio.sleep(0.001)
        client.send(get("last", d=TOTAL_MS))
        sent = time.monotonic_ns()
        await asyncio.sleep(HELD_S)
        unread_ns = time.monotonic_ns() - sent
        gate.set()
        for i in range(MAX_PIPELINE):
            assert await world.within(client.answer) == b"r%d" % i
        assert await world.within(client.answer) == b"last"
        assert 0 < world.told_ms("last") <= most_left_ms(unread_ns)
        client.close()

    play(scene, gate)


def test_request_whose_time_ran_out_unread_is_refused_and_not_sent() -> None:
    async def scene(world: World) -> None:
        world.listen()
        client = await world.client()
        assert await world.within(lambda: client.ask(get("first", d=TOTAL_MS))) == b"first"
        send_and_hold(client, get("late", d=SHORT_MS))
        assert (await world.within(client.answer)).startswith(b"-BUSY")
        assert [words[2] for words in world.cache.seen] == [b"first"]
        client.close()

    play(scene)


def test_request_that_came_late_in_a_stall_keeps_what_it_has() -> None:
    """Told the whole stall's length less, servers would be asked to hurry for nothing."""

    async def scene(world: World) -> None:
        world.listen()
        client = await world.client()
        assert await world.within(lambda: client.ask(get("first", d=TOTAL_MS))) == b"first"
        time.sleep(2 * HELD_S)
        before = time.monotonic_ns()
        client.send(get("r1", d=TOTAL_MS))
        assert await world.within(client.answer) == b"r1"
        passed_ns = time.monotonic_ns() - before
        assert world.told_ms("r1") * NS_PER_MS >= TOTAL_MS * NS_PER_MS - passed_ns - ROUNDING_NS
        client.close()

    play(scene)


def test_what_came_while_the_process_was_stopped_is_not_told(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with routed(tmp_path, {"s1": cache}) as router:
        client = router.client()
        assert client.ask(get("first", d=TOTAL_MS)) == b"first"
        router.process.send_signal(signal.SIGSTOP)
        try:
            stat = Path(f"/proc/{router.process.pid}/stat")
            eventually(lambda: stat.read_text().rsplit(")", 1)[1].split()[0] == "T", "the process stands")
            unread_ns = send_and_hold(client, get("r1", d=TOTAL_MS))
        finally:
            router.process.send_signal(signal.SIGCONT)
        assert client.answer() == b"r1"
    (told,) = re.findall(rb",d=(\d+)", cache.seen[-1][3])
    assert 0 < int(told) <= most_left_ms(unread_ns)


class Silent:
    """A socket whose kernel tells nothing, or something made up."""

    def __init__(self, told: bytes | None) -> None:
        self._told = told
        self.asked = 0

    def recv(self, size: int, flags: int) -> bytes:
        raise BlockingIOError

    def fileno(self) -> int:
        raise AssertionError("not asked for")

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        self.asked += 1
        if self._told is None:
            raise OSError("gone")
        return self._told


@pytest.mark.parametrize("told", [None, b"", b"\x01" + bytes(55)], ids=["gone", "short", "zeros"])
def test_kernel_that_does_not_tell_leaves_the_loop_s_own_bounds(told: bytes | None) -> None:
    end, now = Silent(told), 100 * NS_PER_S
    times = ReceiveTimes(end, KernelClock(), lambda at: at - 2 * HELD_UP_NS, now)
    first = times.read(now + NS_PER_MS, emptied=True, is_last=True)
    assert first == Received(now - 2 * HELD_UP_NS, now + NS_PER_MS)
    second = times.read(now + NS_PER_S, emptied=True, is_last=True)
    assert second == Received(now + NS_PER_S - 2 * HELD_UP_NS, now + NS_PER_S)
    assert end.asked == (2 if told is None else 1)


def test_connection_that_was_not_read_bounds_what_is_read_until_the_kernel_has_no_more() -> None:
    now = 100 * NS_PER_S
    times = ReceiveTimes(Silent(None), KernelClock(), lambda at: at, now)
    times.read(now, emptied=True, is_last=True)
    times.stopped(now + 1)
    times.stopped(now + 2)
    told = [times.read(now + at, emptied=at > 3, is_last=True) for at in (3, 4, 5)]
    assert [received.earliest_ns - now for received in told] == [1, 1, 5]
    assert [received.latest_ns - now for received in told] == [3, 4, 5]


def test_the_router_s_own_time_ends_later_than_what_it_tells_by_the_doubt() -> None:
    received = Received(5 * NS_PER_MS, 8 * NS_PER_MS)
    assert received.deadline(100).at_ns == 108 * NS_PER_MS
    assert received.uncertainty_ns == 3 * NS_PER_MS
