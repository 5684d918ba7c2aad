"""A request's time starts when its last byte arrives: time unread in the kernel is deducted from the rest.

The loop is blocked, a connection is not read, or a listener is not polled for a time that the client
measures. Then the remaining time that the server received is checked. No bound depends on the speed of the
machine.
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
from saltport.downstream.clients import ClientServer
from saltport.downstream.connection import MAX_PIPELINE, ClientConnection
from saltport.downstream.receive_times import KERNEL_TICK_NS, MAX_UNCERTAINTY_NS, KernelClock, ReceiveTimes
from saltport.downstream.resp import RespDialect
from saltport.membership.listing import Listing
from saltport.router.host import RouterHost
from saltport.transport.loop import run_on_router_loop
from saltport.upstream.pool import Pool
from tests.sockets import TIMEOUT_S, Client, Peer, eventually, get, hit, run_router

TOTAL_MS = 10_000
BUDGET_BYTES = 16 << 20  # with room for MAX_PIPELINE open requests of one client
HELD_S = 0.3
SHORT_MS = 150  # shorter than HELD_S
ROUNDING_NS = 2 * KERNEL_TICK_NS + NS_PER_MS  # of the kernel's clock, and of the milliseconds that are sent

CLASSES = (RequestClass("get", aim=NS_PER_S, deadline=20 * NS_PER_S),)


class World:
    """The parts of a router between a listener and one cache server, over loopback."""

    def __init__(self, host: RouterHost, clients: ClientServer, listener: socket.socket, cache: Peer) -> None:
        self.host, self.clients, self.listener, self.cache = host, clients, listener, cache
        self._loop = asyncio.get_running_loop()

    async def client(self) -> Client:
        return await self._loop.run_in_executor(None, Client, self.listener.getsockname()[1])

    async def connection(self) -> ClientConnection:
        """Return the connection of the only client once it is accepted."""
        while not self.clients._connections:
            await asyncio.sleep(0)
        (connection,) = self.clients._connections
        return connection

    async def in_thread(self, work: Callable[[], Any]) -> Any:
        """Run a client's blocking work in a thread beside the loop."""
        return await self._loop.run_in_executor(None, work)

    def listen(self) -> None:
        self.clients.listen_at(self.listener)

    def sent_remaining_ms(self, request_id: str) -> int:
        """Return the remaining time that the cache server received with this request."""
        (info,) = [words[3] for words in self.cache.seen if words[2] == request_id.encode()]
        (value,) = re.findall(rb",d=(\d+)", info)
        return int(value)


def run_scenario(
    scenario: Callable[[World], Coroutine[Any, Any, None]], gate: threading.Event | None = None
) -> None:
    """Run a scenario; answers for the key `slow` wait for `gate`."""

    def serve(_: socket.socket, words: list[bytes]) -> bytes:
        if gate is not None and words[1] == b"slow":
            assert gate.wait(TIMEOUT_S)
        return hit(words[2])

    async def run() -> None:
        loop = asyncio.get_running_loop()
        pool = Pool(loop, 64, TIMEOUT_S, TIMEOUT_S)
        host = RouterHost(loop, Settings(classes=CLASSES), 1, pool, 1000)
        pool.on_event, host.ready = host.begin_loop_iteration, True
        addresses = {"s1": ("127.0.0.1", cache.port)}
        host.servers_changed(Listing(1, ServersChanged(ListKind.FULL, (Server("s1"),)), addresses))
        clients = ClientServer(loop, host, RespDialect, 64, BUDGET_BYTES)
        listener = socket.create_server(("127.0.0.1", 0))
        async with asyncio.timeout(TIMEOUT_S):
            await scenario(World(host, clients, listener, cache))
        clients.close()
        pool.close()
        await asyncio.sleep(0)

    cache = Peer(serve)
    try:
        run_on_router_loop(run())
    finally:
        cache.close()


def send_and_block_loop(client: Client, data: bytes) -> int:
    """Send while the loop is blocked, and block it for a time; return how long the bytes were unread."""
    client.send(data)
    sent = time.monotonic_ns()
    time.sleep(HELD_S)
    return time.monotonic_ns() - sent


def max_remaining_ms(unread_ns: int) -> int:
    """Return the most time that is left after bytes were unread for so long."""
    return (TOTAL_MS * NS_PER_MS - unread_ns) // NS_PER_MS


@pytest.mark.parametrize("commands", [1, 3])
def test_time_unread_while_the_loop_was_blocked_is_deducted(commands: int) -> None:
    async def scenario(world: World) -> None:
        world.listen()
        client = await world.client()
        assert await world.in_thread(lambda: client.ask(get("first", d=TOTAL_MS))) == b"first"
        data = b"".join(get(f"r{i}", f"k{i}", d=TOTAL_MS) for i in range(commands))
        unread_ns = send_and_block_loop(client, data)
        for i in range(commands):
            assert await world.in_thread(client.answer) == b"r%d" % i
            assert 0 < world.sent_remaining_ms(f"r{i}") <= max_remaining_ms(unread_ns)
        client.close()

    run_scenario(scenario)


def test_time_in_the_backlog_while_the_loop_was_blocked_is_deducted() -> None:
    async def scenario(world: World) -> None:
        world.listen()
        client = Client(world.listener.getsockname()[1])  # the kernel accepts it while the loop is blocked
        unread_ns = send_and_block_loop(client, get("r1", d=TOTAL_MS))
        assert await world.in_thread(client.answer) == b"r1"
        assert 0 < world.sent_remaining_ms("r1") <= max_remaining_ms(unread_ns)
        client.close()

    run_scenario(scenario)


def test_time_in_the_backlog_before_the_listener_was_polled_is_deducted() -> None:
    async def scenario(world: World) -> None:
        client = Client(world.listener.getsockname()[1])
        client.send(get("r1", d=TOTAL_MS))
        sent = time.monotonic_ns()
        await asyncio.sleep(HELD_S)  # the loop runs, but does not poll the listener yet
        unread_ns = time.monotonic_ns() - sent
        world.listen()
        assert await world.in_thread(client.answer) == b"r1"
        assert 0 < world.sent_remaining_ms("r1") <= max_remaining_ms(unread_ns)
        client.close()

    run_scenario(scenario)


def test_time_unread_behind_a_full_pipeline_is_deducted() -> None:
    gate = threading.Event()

    async def scenario(world: World) -> None:
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
            assert await world.in_thread(client.answer) == b"r%d" % i
        assert await world.in_thread(client.answer) == b"last"
        assert 0 < world.sent_remaining_ms("last") <= max_remaining_ms(unread_ns)
        client.close()

    run_scenario(scenario, gate)


def test_request_that_expired_unread_is_refused_and_not_sent() -> None:
    async def scenario(world: World) -> None:
        world.listen()
        client = await world.client()
        assert await world.in_thread(lambda: client.ask(get("first", d=TOTAL_MS))) == b"first"
        send_and_block_loop(client, get("late", d=SHORT_MS))
        assert (await world.in_thread(client.answer)).startswith(b"-BUSY")
        assert [words[2] for words in world.cache.seen] == [b"first"]
        client.close()

    run_scenario(scenario)


def test_request_that_arrived_late_in_a_stall_keeps_its_remaining_time() -> None:
    """If the length of the stall were deducted, servers would get a needlessly short time."""

    async def scenario(world: World) -> None:
        world.listen()
        client = await world.client()
        assert await world.in_thread(lambda: client.ask(get("first", d=TOTAL_MS))) == b"first"
        time.sleep(2 * HELD_S)
        before = time.monotonic_ns()
        client.send(get("r1", d=TOTAL_MS))
        assert await world.in_thread(client.answer) == b"r1"
        passed_ns = time.monotonic_ns() - before
        assert world.sent_remaining_ms("r1") * NS_PER_MS >= TOTAL_MS * NS_PER_MS - passed_ns - ROUNDING_NS
        client.close()

    run_scenario(scenario)


def test_time_unread_while_the_process_was_stopped_is_deducted(tmp_path: Path) -> None:
    cache = Peer(lambda _, words: hit(words[2]))
    with run_router(tmp_path, {"s1": cache}) as router:
        client = router.client()
        assert client.ask(get("first", d=TOTAL_MS)) == b"first"
        router.process.send_signal(signal.SIGSTOP)
        try:
            stat = Path(f"/proc/{router.process.pid}/stat")
            eventually(lambda: stat.read_text().rsplit(")", 1)[1].split()[0] == "T", "the process is stopped")
            unread_ns = send_and_block_loop(client, get("r1", d=TOTAL_MS))
        finally:
            router.process.send_signal(signal.SIGCONT)
        assert client.answer() == b"r1"
    (value,) = re.findall(rb",d=(\d+)", cache.seen[-1][3])
    assert 0 < int(value) <= max_remaining_ms(unread_ns)


class FakeSocket:
    """A socket whose kernel returns no receive time, or invalid data."""

    def __init__(self, answer: bytes | None) -> None:
        self._answer = answer
        self.queries = 0

    def recv(self, size: int, flags: int) -> bytes:
        raise BlockingIOError

    def fileno(self) -> int:
        raise AssertionError("the descriptor must not be used")

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        self.queries += 1
        if self._answer is None:
            raise OSError("gone")
        return self._answer


@pytest.mark.parametrize("told", [None, b"", b"\x01" + bytes(55)], ids=["gone", "short", "zeros"])
def test_bounds_of_the_loop_apply_if_the_kernel_states_no_receive_time(told: bytes | None) -> None:
    end, now = FakeSocket(told), 100 * NS_PER_S
    times = ReceiveTimes(end, KernelClock(), lambda at: at - 2 * MAX_UNCERTAINTY_NS, now)
    first = times.record_read(now + NS_PER_MS, emptied=True, is_last=True)
    assert first == Received(now - 2 * MAX_UNCERTAINTY_NS, now + NS_PER_MS)
    second = times.record_read(now + NS_PER_S, emptied=True, is_last=True)
    assert second == Received(now + NS_PER_S - 2 * MAX_UNCERTAINTY_NS, now + NS_PER_S)
    assert end.queries == (2 if told is None else 1)


def test_pause_of_reading_bounds_receive_times_until_the_kernel_buffer_is_empty() -> None:
    now = 100 * NS_PER_S
    times = ReceiveTimes(FakeSocket(None), KernelClock(), lambda at: at, now)
    times.record_read(now, emptied=True, is_last=True)
    times.reading_stopped(now + 1)
    times.reading_stopped(now + 2)
    results = [times.record_read(now + at, emptied=at > 3, is_last=True) for at in (3, 4, 5)]
    assert [received.earliest_ns - now for received in results] == [1, 1, 5]
    assert [received.latest_ns - now for received in results] == [3, 4, 5]


def test_deadline_of_the_router_is_later_than_the_sent_one_by_the_uncertainty() -> None:
    received = Received(5 * NS_PER_MS, 8 * NS_PER_MS)
    assert received.deadline(100).at_ns == 108 * NS_PER_MS
    assert received.uncertainty_ns == 3 * NS_PER_MS
