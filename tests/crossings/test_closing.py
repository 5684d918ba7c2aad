"""A close and bytes that come in the same moment: answers arrive whole, and nothing behind the end is taken.

The front of the router runs here in the test's own loop. What a client sends is waited for at the socket,
with the loop standing still, so that it lies unread in the kernel when the router closes.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from saltport.downstream.clients import FRESH_S, MAX_PIPELINE, ClientConnection, ClientServer
from saltport.downstream.lingering import LINGER_BYTES, LINGER_S
from saltport.downstream.replies import Reply
from saltport.downstream.resp import RespDialect
from saltport.downstream.taking import STALL_S
from saltport.downstream.unread import LOOK_S
from saltport.messages import Request
from saltport.transport.loop import run_on_router_loop
from tests.sockets import PATIENCE_S, bulk, get

LIMIT = 3
LONG = b"v" * (1 << 20)


class Taken:
    """A host that keeps what it is given, and answers when it is told."""

    ready = True

    def __init__(self) -> None:
        self.requests: list[tuple[Request, Reply]] = []
        self.gone: list[Reply] = []

    def touched(self) -> None:
        pass

    def unread_since(self, now_ns: int) -> int:
        return now_ns

    def request_arrived(self, request: Request, reply: Reply, *_: Any) -> None:
        self.requests.append((request, reply))

    def request_refused(self, asked: Request) -> None:
        pass

    def client_gone(self, reply: Reply) -> None:
        self.gone.append(reply)

    def go_on(self, *_: Any) -> Any:
        raise NotImplementedError

    @property
    def ids(self) -> list[bytes]:
        return [request.id for request, _ in self.requests]


class Front:
    """The clients' side of a router, its clients, and what it took."""

    def __init__(self, server: ClientServer, host: Taken, port: int) -> None:
        self.server, self.host, self._port = server, host, port
        self._loop = asyncio.get_running_loop()

    async def client(self, small: bool = False) -> tuple[socket.socket, ClientConnection]:
        """A client and the router's end of its connection; `small`: it takes little at a time."""
        known = set(self.server._connections)
        end = socket.socket()
        end.settimeout(PATIENCE_S)
        if small:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await self._loop.run_in_executor(None, end.connect, ("127.0.0.1", self._port))
        await self.until(lambda: set(self.server._connections) - known)
        (connection,) = set(self.server._connections) - known
        return end, connection

    async def until(self, check: Callable[[], Any]) -> None:
        while not check():
            await asyncio.sleep(0.001)

    async def read(self, end: socket.socket, size: int) -> bytes:
        return await asyncio.get_running_loop().run_in_executor(None, end.recv, size)

    async def all_of(self, end: socket.socket) -> bytes:
        """All that a client gets up to a clean end; raises ConnectionResetError if there is none."""

        def read() -> bytes:
            parts = []
            while part := end.recv(1 << 16):
                parts.append(part)
            return b"".join(parts)

        return await self._loop.run_in_executor(None, read)


def unread(connection: ClientConnection) -> None:
    """Wait until something of a client's lies in the kernel, while the loop stands still."""
    assert connection.transport is not None
    handle = connection.transport.get_extra_info("socket").fileno()
    assert select.select([handle], [], [], PATIENCE_S)[0]


def play(scene: Callable[[Front], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        host = Taken()
        server = ClientServer(asyncio.get_running_loop(), host, RespDialect, LIMIT, 1 << 20)
        port = server.listen(("127.0.0.1", 0))
        async with asyncio.timeout(2 * PATIENCE_S):
            await scene(Front(server, host, port))
        server.close()
        await asyncio.sleep(0)

    run_on_router_loop(run())


def test_idle_close_that_crosses_a_request_ends_cleanly_and_takes_nothing() -> None:
    async def scene(front: Front) -> None:
        end, connection = await front.client()
        end.sendall(get("a1"))
        unread(connection)
        connection.finish(even_midway=False)
        assert await front.all_of(end) == b""
        assert front.host.ids == []
        end.close()
        await front.until(lambda: not front.server.connected)

    play(scene)


def test_last_answer_arrives_whole_over_a_request_behind_it() -> None:
    async def scene(front: Front) -> None:
        end, connection = await front.client(small=True)
        end.sendall(get("a1"))
        await front.until(lambda: front.host.requests)
        front.server.emptying = True
        end.sendall(get("a2"))
        unread(connection)
        front.host.requests[0][1].served(LONG)
        assert await front.all_of(end) == b"$%d\r\n%b\r\n" % (len(LONG), LONG)
        assert front.host.ids == [b"a1"]
        assert front.host.gone == []
        end.close()
        await front.until(lambda: not front.server.connected)

    play(scene)


def test_word_on_a_malformed_command_arrives_over_what_stands_behind_it() -> None:
    async def scene(front: Front) -> None:
        end, connection = await front.client(small=True)
        end.sendall(get("a1") + b"?never a command\r\n")
        await front.until(lambda: connection._dialect.broken)
        end.sendall(get("a2") * 100)  # nothing is read any more: it lies in the kernel at the close
        unread(connection)
        front.host.requests[0][1].served(LONG)
        told = await front.all_of(end)
        assert told.startswith(b"$%d\r\n%b\r\n-ERR Protocol error" % (len(LONG), LONG))
        assert front.host.ids == [b"a1"]
        end.close()
        await front.until(lambda: not front.server.connected)

    play(scene)


def test_commands_that_were_read_with_a_refused_one_are_served_before_the_end() -> None:
    async def scene(front: Front) -> None:
        end, connection = await front.client()
        end.sendall(get("a1"))
        await front.until(lambda: front.host.requests)
        front.server.emptying = True
        front.host.requests[0][1].served(b"one")
        other, beside = await front.client()
        half = get("b1")[:20]
        other.sendall(half)
        await front.until(lambda: beside._dialect.need)
        beside.carried = True  # it had been used before, and is within a command as the drain begins
        connection.finish(even_midway=False)
        beside.finish(even_midway=False)
        # Of two commands in one read the first has its answer at once; the second was taken with it.
        other.sendall(get("b1")[20:] + bulk(b"NO", b"SUCH") + get("b2"))
        await front.until(lambda: len(front.host.requests) == 3)
        front.host.requests[1][1].served(b"two")
        front.host.requests[2][1].served(b"three")
        told = await front.all_of(other)
        assert told.startswith(b"$3\r\ntwo\r\n-ERR ")
        assert told.endswith(b"$5\r\nthree\r\n")
        assert front.host.gone == []
        assert await front.all_of(end) == b"$3\r\none\r\n"

    play(scene)


def test_refused_command_does_not_end_the_connection_under_the_next_of_its_read() -> None:
    async def scene(front: Front) -> None:
        end, connection = await front.client()
        connection.carried = front.server.emptying = True
        end.sendall(bulk(b"NO", b"SUCH") + get("a1"))
        await front.until(lambda: front.host.requests)
        assert not connection.closed
        front.host.requests[0][1].served(b"one")
        told = await front.all_of(end)
        assert told.startswith(b"-ERR ")
        assert told.endswith(b"$3\r\none\r\n")

    play(scene)


def test_client_that_never_ends_is_closed_after_a_bound() -> None:
    async def scene(front: Front) -> None:
        end, connection = await front.client()
        connection.finish(even_midway=False)
        assert await front.all_of(end) == b""
        now = asyncio.get_running_loop().time()
        front.server.lingering.check(now + LINGER_S / 2)
        assert front.server.connected == 1
        front.server.lingering.check(now + LINGER_S)
        await front.until(lambda: not front.server.connected)
        end.close()

    play(scene)


def test_client_that_sends_without_end_is_read_to_a_bound() -> None:
    async def scene(front: Front) -> None:
        end, connection = await front.client()
        connection.finish(even_midway=False)
        assert await front.all_of(end) == b""

        def flood() -> int:
            sent = 0
            try:
                while sent < 64 * LINGER_BYTES:
                    sent += end.send(b"x" * 65536)
            except OSError:
                pass
            return sent

        assert await asyncio.get_running_loop().run_in_executor(None, flood) < 64 * LINGER_BYTES
        await front.until(lambda: not front.server.connected)

    play(scene)


def test_slow_client_keeps_its_time_to_take_the_last_answer() -> None:
    async def scene(front: Front) -> None:
        end, _ = await front.client(small=True)
        end.sendall(get("a1"))
        await front.until(lambda: front.host.requests)
        front.server.emptying = True
        front.host.requests[0][1].served(LONG)
        now = asyncio.get_running_loop().time()
        for later in (LINGER_S, STALL_S / 2):
            front.server.lingering.check(now + later)
        assert await front.all_of(end) == b"$%d\r\n%b\r\n" % (len(LONG), LONG)

    play(scene)


def test_room_is_made_by_the_one_longest_idle_that_loses_nothing() -> None:
    async def scene(front: Front) -> None:
        full, at_work = await front.client(small=True)
        asking, asked = await front.client()
        idle, rests = await front.client()
        full.sendall(get("a1"))
        await front.until(lambda: front.host.requests)
        front.host.requests[0][1].served(LONG)  # more than its client takes now
        await front.until(lambda: at_work.idle)
        now = asyncio.get_running_loop().time()
        at_work.used_at, asked.used_at, rests.used_at = now - 0.03, now - 0.02, now - 0.01
        rests.came_at = asked.came_at = now - FRESH_S
        # A new client comes in the same turn of the loop in which a request lies unread.
        asking.sendall(get("a2"))
        unread(asked)
        new, _ = await front.client()
        assert rests.closed
        assert await front.all_of(idle) == b""
        new.sendall(get("a3"))
        await front.until(lambda: len(front.host.requests) == 3)
        for _, reply in front.host.requests[1:]:
            reply.served(b"v")
        assert await asyncio.get_running_loop().run_in_executor(None, asking.recv, 99) == b"$1\r\nv\r\n"
        assert await asyncio.get_running_loop().run_in_executor(None, new.recv, 99) == b"$1\r\nv\r\n"
        front.server.emptying = True
        at_work.finish(even_midway=False)
        assert await front.all_of(full) == b"$%d\r\n%b\r\n" % (len(LONG), LONG)

    play(scene)


def test_connection_that_has_just_come_is_not_closed_before_its_request_can_be_there() -> None:
    async def scene(front: Front) -> None:
        end, connection = await front.client()
        front.server.finish(even_midway=False)
        assert not connection.evictable
        end.sendall(get("r1"))
        await front.until(lambda: front.host.requests)
        front.host.requests[0][1].served(b"v")
        assert await front.read(end, 8) == b"$1\r\nv\r\n"
        late, connection = await front.client()
        await asyncio.sleep(FRESH_S)
        assert connection.evictable
        front.server.finish(even_midway=False)
        assert await front.all_of(late) == b""
        end.close()
        late.close()

    play(scene)


def test_connections_that_only_linger_make_room_first() -> None:
    async def scene(front: Front) -> None:
        ends = [await front.client() for _ in range(LIMIT)]
        ends[0][1].finish(even_midway=False)
        assert len(front.server.lingering) == 1
        await front.client()
        assert len(front.server.lingering) == 0
        assert not any(connection.closed for _, connection in ends[1:])

    play(scene)


@pytest.mark.parametrize("ends", ["close", "half"])
def test_client_that_leaves_unread_is_noticed_within_a_tenth_of_a_second(ends: str) -> None:
    """The bound is the timer's own; a loop that is late shifts it, so two looks are allowed here."""

    async def scene(front: Front) -> None:
        end, connection = await front.client()
        end.sendall(b"".join(get(f"a{i}") for i in range(MAX_PIPELINE + 5)))
        await front.until(lambda: not connection._reading)
        if ends == "close":
            end.close()
        else:
            end.shutdown(socket.SHUT_WR)
        await front.until(lambda: connection.closed)
        assert len(front.host.gone) == len(front.host.requests)
        assert 2 * LOOK_S < 0.1
        assert not front.server.unread._held

    play(scene)


def test_small_writes_are_not_held_back_by_the_system() -> None:
    async def scene(front: Front) -> None:
        _, connection = await front.client()
        assert connection.transport is not None
        ours = connection.transport.get_extra_info("socket")
        assert ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    play(scene)
