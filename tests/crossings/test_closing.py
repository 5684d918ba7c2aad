"""A connection is closed while bytes arrive: replies are complete, and later commands are not executed.

The client side of the router runs in the event loop of the test. The test waits for the client's bytes at the
socket while the loop is blocked, so that they are unread in the kernel when the router closes.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from saltport.downstream.clients import ClientServer
from saltport.downstream.connection import FIRST_REQUEST_GRACE_S, MAX_PIPELINE, ClientConnection
from saltport.downstream.lingering_close import LINGER_TIMEOUT_S, MAX_LINGER_BYTES, STALL_TIMEOUT_S
from saltport.downstream.outcomes import CloseReason
from saltport.downstream.paused_reads import POLL_INTERVAL_S
from saltport.downstream.replies import Reply
from saltport.downstream.resp import RespDialect
from saltport.messages import Request
from saltport.transport.loop import run_on_router_loop
from tests.sockets import TIMEOUT_S, bulk, get

LIMIT = 3
LONG = b"v" * (1 << 20)


class RecordingHost:
    """A host that records requests; the test answers them."""

    ready = True

    def __init__(self) -> None:
        self.requests: list[tuple[Request, Reply]] = []
        self.gone: list[Reply] = []
        self.closed_unanswered_reasons: list[CloseReason] = []

    def begin_loop_iteration(self) -> None:
        pass

    def unread_since(self, now_ns: int) -> int:
        return now_ns

    def request_arrived(self, request: Request, reply: Reply, *_: Any) -> None:
        self.requests.append((request, reply))

    def request_refused(self, asked: Request) -> None:
        pass

    def closed_unanswered(self, reason: CloseReason, requests: int) -> None:
        self.closed_unanswered_reasons.append(reason)

    def client_gone(self, reply: Reply) -> None:
        self.gone.append(reply)

    def resume_value(self, *_: Any) -> Any:
        raise NotImplementedError

    @property
    def ids(self) -> list[bytes]:
        return [request.id for request, _ in self.requests]


class ClientSide:
    """The client side of a router, with its clients and the recorded requests."""

    def __init__(self, server: ClientServer, host: RecordingHost, port: int) -> None:
        self.server, self.host, self._port = server, host, port
        self._loop = asyncio.get_running_loop()

    async def client(self, small: bool = False) -> tuple[socket.socket, ClientConnection]:
        """Return a client and the router's end of its connection; `small`: with a small receive buffer."""
        known = set(self.server._connections)
        end = socket.socket()
        end.settimeout(TIMEOUT_S)
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
        """Return all bytes up to a clean end; raises ConnectionResetError if the connection is reset."""

        def read() -> bytes:
            parts = []
            while part := end.recv(1 << 16):
                parts.append(part)
            return b"".join(parts)

        return await self._loop.run_in_executor(None, read)


def wait_for_unread_bytes(connection: ClientConnection) -> None:
    """Block the loop until bytes of the client are in the kernel."""
    assert connection.transport is not None
    handle = connection.transport.get_extra_info("socket").fileno()
    assert select.select([handle], [], [], TIMEOUT_S)[0]


def run_scenario(scenario: Callable[[ClientSide], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        host = RecordingHost()
        server = ClientServer(asyncio.get_running_loop(), host, RespDialect, LIMIT, 1 << 20)
        port = server.listen(("127.0.0.1", 0))
        async with asyncio.timeout(2 * TIMEOUT_S):
            await scenario(ClientSide(server, host, port))
        server.close()
        await asyncio.sleep(0)

    run_on_router_loop(run())


def test_idle_close_during_a_request_ends_cleanly_without_executing_it() -> None:
    async def scenario(clients: ClientSide) -> None:
        end, connection = await clients.client()
        end.sendall(get("a1"))
        wait_for_unread_bytes(connection)
        connection.finish(even_mid_command=False)
        assert await clients.all_of(end) == b""
        assert clients.host.ids == []
        end.close()
        await clients.until(lambda: not clients.server.connected)

    run_scenario(scenario)


def test_last_reply_arrives_completely_despite_a_later_request() -> None:
    async def scenario(clients: ClientSide) -> None:
        end, connection = await clients.client(small=True)
        end.sendall(get("a1"))
        await clients.until(lambda: clients.host.requests)
        clients.server.closing_when_answered = True
        end.sendall(get("a2"))
        wait_for_unread_bytes(connection)
        clients.host.requests[0][1].served(LONG)
        assert await clients.all_of(end) == b"$%d\r\n%b\r\n" % (len(LONG), LONG)
        assert clients.host.ids == [b"a1"]
        assert clients.host.gone == []
        end.close()
        await clients.until(lambda: not clients.server.connected)

    run_scenario(scenario)


def test_error_reply_to_a_malformed_command_arrives_despite_later_commands() -> None:
    async def scenario(clients: ClientSide) -> None:
        end, connection = await clients.client(small=True)
        end.sendall(get("a1") + b"?never a command\r\n")
        await clients.until(lambda: connection._dialect.end_reason)
        end.sendall(get("a2") * 100)  # no longer read: it is in the kernel at the close
        wait_for_unread_bytes(connection)
        clients.host.requests[0][1].served(LONG)
        received = await clients.all_of(end)
        assert received.startswith(b"$%d\r\n%b\r\n-ERR Protocol error" % (len(LONG), LONG))
        assert clients.host.ids == [b"a1"]
        end.close()
        await clients.until(lambda: not clients.server.connected)

    run_scenario(scenario)


def test_commands_read_together_with_a_rejected_one_are_served_before_the_close() -> None:
    async def scenario(clients: ClientSide) -> None:
        end, connection = await clients.client()
        end.sendall(get("a1"))
        await clients.until(lambda: clients.host.requests)
        clients.server.closing_when_answered = True
        clients.host.requests[0][1].served(b"one")
        other, other_connection = await clients.client()
        half = get("b1")[:20]
        other.sendall(half)
        await clients.until(lambda: other_connection._dialect.needed_bytes)
        other_connection.has_carried_request = True  # used before, and within a command when the drain begins
        connection.finish(even_mid_command=False)
        other_connection.finish(even_mid_command=False)
        # Of the commands in one read, the invalid one is answered at once; the one after it is executed too.
        other.sendall(get("b1")[20:] + bulk(b"NO", b"SUCH") + get("b2"))
        await clients.until(lambda: len(clients.host.requests) == 3)
        clients.host.requests[1][1].served(b"two")
        clients.host.requests[2][1].served(b"three")
        received = await clients.all_of(other)
        assert received.startswith(b"$3\r\ntwo\r\n-ERR ")
        assert received.endswith(b"$5\r\nthree\r\n")
        assert clients.host.gone == []
        assert await clients.all_of(end) == b"$3\r\none\r\n"

    run_scenario(scenario)


def test_rejected_command_does_not_close_the_connection_before_the_next_of_its_read() -> None:
    async def scenario(clients: ClientSide) -> None:
        end, connection = await clients.client()
        connection.has_carried_request = clients.server.closing_when_answered = True
        end.sendall(bulk(b"NO", b"SUCH") + get("a1"))
        await clients.until(lambda: clients.host.requests)
        assert not connection.closed
        clients.host.requests[0][1].served(b"one")
        received = await clients.all_of(end)
        assert received.startswith(b"-ERR ")
        assert received.endswith(b"$3\r\none\r\n")

    run_scenario(scenario)


def test_client_that_never_closes_is_closed_after_a_time_limit() -> None:
    async def scenario(clients: ClientSide) -> None:
        end, connection = await clients.client()
        connection.finish(even_mid_command=False)
        assert await clients.all_of(end) == b""
        now = asyncio.get_running_loop().time()
        clients.server.lingering.check(now + LINGER_TIMEOUT_S / 2)
        assert clients.server.connected == 1
        clients.server.lingering.check(now + LINGER_TIMEOUT_S)
        await clients.until(lambda: not clients.server.connected)
        end.close()

    run_scenario(scenario)


def test_client_that_sends_endlessly_is_read_up_to_a_limit() -> None:
    async def scenario(clients: ClientSide) -> None:
        end, connection = await clients.client()
        connection.finish(even_mid_command=False)
        assert await clients.all_of(end) == b""

        def flood() -> int:
            sent = 0
            try:
                while sent < 64 * MAX_LINGER_BYTES:
                    sent += end.send(b"x" * 65536)
            except OSError:
                pass
            return sent

        assert await asyncio.get_running_loop().run_in_executor(None, flood) < 64 * MAX_LINGER_BYTES
        await clients.until(lambda: not clients.server.connected)

    run_scenario(scenario)


def test_slow_client_has_time_to_receive_the_last_reply() -> None:
    async def scenario(clients: ClientSide) -> None:
        end, _ = await clients.client(small=True)
        end.sendall(get("a1"))
        await clients.until(lambda: clients.host.requests)
        clients.server.closing_when_answered = True
        clients.host.requests[0][1].served(LONG)
        now = asyncio.get_running_loop().time()
        for later in (LINGER_TIMEOUT_S, STALL_TIMEOUT_S / 2):
            clients.server.lingering.check(now + later)
        assert await clients.all_of(end) == b"$%d\r\n%b\r\n" % (len(LONG), LONG)

    run_scenario(scenario)


def test_connection_limit_closes_the_longest_idle_connection_without_unread_requests() -> None:
    async def scenario(clients: ClientSide) -> None:
        slow, busy_connection = await clients.client(small=True)
        asking, asking_connection = await clients.client()
        idle, idle_connection = await clients.client()
        slow.sendall(get("a1"))
        await clients.until(lambda: clients.host.requests)
        clients.host.requests[0][1].served(LONG)  # more than the client receives now
        await clients.until(lambda: busy_connection.idle)
        now = asyncio.get_running_loop().time()
        busy_connection.last_active_at, asking_connection.last_active_at, idle_connection.last_active_at = (
            now - 0.03,
            now - 0.02,
            now - 0.01,
        )
        idle_connection.connected_at = asking_connection.connected_at = now - FIRST_REQUEST_GRACE_S
        # A new client connects in the loop iteration in which a request of another client is unread.
        asking.sendall(get("a2"))
        wait_for_unread_bytes(asking_connection)
        new, _ = await clients.client()
        assert idle_connection.closed
        assert await clients.all_of(idle) == b""
        new.sendall(get("a3"))
        await clients.until(lambda: len(clients.host.requests) == 3)
        for _, reply in clients.host.requests[1:]:
            reply.served(b"v")
        assert await asyncio.get_running_loop().run_in_executor(None, asking.recv, 99) == b"$1\r\nv\r\n"
        assert await asyncio.get_running_loop().run_in_executor(None, new.recv, 99) == b"$1\r\nv\r\n"
        clients.server.closing_when_answered = True
        busy_connection.finish(even_mid_command=False)
        assert await clients.all_of(slow) == b"$%d\r\n%b\r\n" % (len(LONG), LONG)

    run_scenario(scenario)


def test_new_connection_is_not_closed_before_its_first_request_can_arrive() -> None:
    async def scenario(clients: ClientSide) -> None:
        end, connection = await clients.client()
        clients.server.finish(even_mid_command=False)
        assert not connection.evictable
        end.sendall(get("r1"))
        await clients.until(lambda: clients.host.requests)
        clients.host.requests[0][1].served(b"v")
        assert await clients.read(end, 8) == b"$1\r\nv\r\n"
        late, connection = await clients.client()
        await asyncio.sleep(FIRST_REQUEST_GRACE_S)
        assert connection.evictable
        clients.server.finish(even_mid_command=False)
        assert await clients.all_of(late) == b""
        end.close()
        late.close()

    run_scenario(scenario)


def test_connection_limit_closes_lingering_connections_first() -> None:
    async def scenario(clients: ClientSide) -> None:
        ends = [await clients.client() for _ in range(LIMIT)]
        ends[0][1].finish(even_mid_command=False)
        assert len(clients.server.lingering) == 1
        await clients.client()
        assert len(clients.server.lingering) == 0
        assert not any(connection.closed for _, connection in ends[1:])

    run_scenario(scenario)


@pytest.mark.parametrize("ends", ["close", "half"])
def test_disconnect_is_noticed_within_a_tenth_of_a_second_while_reading_is_paused(ends: str) -> None:
    """The bound is that of the polling timer; as the loop can be late, two polls are allowed."""

    async def scenario(clients: ClientSide) -> None:
        end, connection = await clients.client()
        end.sendall(b"".join(get(f"a{i}") for i in range(MAX_PIPELINE + 5)))
        await clients.until(lambda: not connection._reading)
        if ends == "close":
            end.close()
        else:
            end.shutdown(socket.SHUT_WR)
        await clients.until(lambda: connection.closed)
        assert len(clients.host.gone) == len(clients.host.requests)
        assert 2 * POLL_INTERVAL_S < 0.1
        assert not clients.server.paused_reads._connections

    run_scenario(scenario)


def test_small_writes_are_sent_without_delay() -> None:
    async def scenario(clients: ClientSide) -> None:
        _, connection = await clients.client()
        assert connection.transport is not None
        router_socket = connection.transport.get_extra_info("socket")
        assert router_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run_scenario(scenario)
