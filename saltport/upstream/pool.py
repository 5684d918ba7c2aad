"""The pool of connections to cache servers and the origin: what runs on which, and who is dialed."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from saltport.address import Address
from saltport.decisions import Outcome
from saltport.handover.record import ReadPosition
from saltport.transport import shortage
from saltport.transport.dialing import dial
from saltport.transport.stream import TcpStream
from saltport.upstream.connection import Connection, Exchange, Server, Start

PER_SERVER = 16
IDLE_SHARE = 0.6
SWEEP_S = 0.5
LATE_NOTICE_S = 0.02  # a timer this late means that the loop was held up, and news may wait in the kernel


class Pool:
    """Deals exchanges out to connections, within the share of descriptors that servers have."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: int,
        dial_timeout: float,
        idle_close: float,
    ) -> None:
        self.touched: Callable[[], None] = lambda: None
        """Called at each event that the kernel had for a connection, before it is dealt with."""
        self.loop, self.limit, self._dial_timeout = loop, limit, dial_timeout
        self._whole_limit = limit
        self.idle_limit = idle_close * IDLE_SHARE
        self._servers: dict[str, Server] = {}
        self.sends = 0
        """Attempts whose last byte the kernel has taken."""
        self._held = 0
        self._short: dict[Server, None] = {}
        """Servers that could not be dialed for want of a descriptor, the first one first."""
        self._sweep_timer = loop.call_later(SWEEP_S, self._sweep)

    def list_server(self, server_id: str, address: Address, connect: Callable[[Server], Connection]) -> None:
        """A server may be sent to, at this address."""
        server = self._servers.get(server_id)
        if server is None:
            self._servers[server_id] = Server(self, server_id, address, connect)
            return
        if server.address != address:
            # Danger: connections to the old address would go on carrying what is meant for the new one.
            server.address = address
            self._retire(server)
        server.open = True

    def unlist_server(self, server_id: str) -> None:
        """A server drains or is gone: it finishes what it has, and nothing waits for it any longer."""
        server = self._servers.get(server_id)
        if server is not None:
            server.open = False
            self._retire(server)
            # Danger: what waits for a connection would be sent after the drain's grace, when one is free.
            waiting, server.waiting = server.waiting, deque()
            for exchange in waiting:
                exchange.end(Outcome.CONNECT_FAILED)
            self._forget(server)

    def _retire(self, server: Server) -> None:
        """Use the server's connections no more: idle ones close now, busy ones after their answer."""
        for connection in server.connections:
            connection.retired = True
        while server.idle:
            server.idle.pop().close()

    def dialing(self, server_id: str) -> bool:
        """Whether a connection to this server is coming up, so that what waits does so for the server."""
        server = self._servers.get(server_id)
        return server is not None and bool(server.dials)

    def submit(self, server_id: str, exchange: Exchange) -> None:
        """Start an exchange on an idle connection, or have it wait for one."""
        server = self._servers.get(server_id)
        if server is None or not server.open:
            exchange.end(Outcome.CONNECT_FAILED)
            return
        oldest = self.loop.time() - self.idle_limit
        while server.idle:
            connection = server.idle.pop()
            if connection.reusable and connection.idle_since >= oldest:
                start = self._start(connection, exchange)
                if start is not Start.STARTED:
                    server.idle.append(connection)
                if start is Start.SHORTAGE:
                    server.waiting.append(exchange)
                    self._try_later(server)
                return
            connection.close()
        if not exchange.remaining_ms():
            exchange.end(Outcome.NOT_SENT)
            return
        exchange.held_back = server.shortage_pauses.waiting
        server.waiting.append(exchange)
        if not self._waits_for_the_only_connection(server):
            self._dial_for(server)

    def _waits_for_the_only_connection(self, server: Server) -> bool:
        """Whether the request that came last waits a moment before a second connection is made for it."""
        if len(server.connections) != 1 or len(server.waiting) != 1 or server.dials or server.late:
            return False
        wait_s = server.second.wait_s(self.loop.time())
        if wait_s:
            server.dial_held = self.loop.call_later(wait_s, self._dial_after_all, server)
        return wait_s > 0

    def _dial_after_all(self, server: Server) -> None:
        server.dial_held = None
        self._dial_for(server)

    def adopt(
        self, flow: ReadPosition, descriptor: int, connect: Callable[[Server], Connection], exchange: Exchange
    ) -> Connection:
        """Go on with a value that another process began; its server need not be listed any more."""
        server = self._servers.get(flow.server)
        if server is None:
            server = self._servers[flow.server] = Server(self, flow.server, flow.address, connect)
            server.open = False
        connection = connect(server)
        connection.retired = flow.closes or not server.open or server.address != flow.address
        connection.kept = True
        connection.exchange, exchange.connection = exchange, connection
        connection.go_on(flow)
        self._held += 1
        server.connections.add(connection)
        # Danger: with its family told, no call is needed that may fail for a moment.
        end = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
        end.setblocking(False)
        TcpStream(self.loop, end, connection)
        return connection

    def released(self, connection: Connection) -> None:
        """Give a connection that is free to whoever waits, or keep it."""
        server = connection.server
        if connection.started_at:
            server.second.answered(self.loop.time() - connection.started_at)
        if not (connection.reusable if server.waiting else connection.usable):
            connection.close()
            return
        while server.waiting:
            exchange = server.waiting.popleft()
            if exchange.over:
                continue
            start = self._start(connection, exchange)
            if start is Start.STARTED:
                return
            if start is Start.SHORTAGE:
                server.waiting.appendleft(exchange)
                self._try_later(server)
                break
        if self._held >= self.limit and (short := self._next_short()) is not None:
            self._drop(connection)
            self._dial_for(short)
            return
        # Danger: without the time every connection counts as too old, and each request dials anew.
        connection.idle_since = self.loop.time()
        server.idle.append(connection)

    def _start(self, connection: Connection, exchange: Exchange) -> Start:
        """Start an exchange, or end one whose time is over; one that can't be written now is the caller's."""
        start = connection.start(exchange)
        if start is Start.STARTED:
            connection.server.shortage_pauses.over()
        elif start is Start.TOO_LATE:
            exchange.end(Outcome.NOT_SENT)
        return start

    def lost(self, connection: Connection) -> None:
        """Count a connection out."""
        server = connection.server
        if connection not in server.connections:
            return
        server.connections.discard(connection)
        self._held -= 1
        if connection in server.idle:
            server.idle.remove(connection)
        self._dial_for(server)
        self._forget(server)
        self.descriptor_freed()

    def descriptor_freed(self) -> None:
        """A descriptor is free, or can be had: a server that is short of one is dialed.

        Danger: left to the sweep, a router whose share is full would dial so many times in each SWEEP_S, and
        the rest of its requests would run out of time.
        """
        if self._short and (short := self._next_short()) is not None:
            self._dial_for(short)

    def _next_short(self) -> Server | None:
        """The first server that is short of a descriptor and still wanted."""
        while self._short:
            server = next(iter(self._short))
            del self._short[server]
            while server.waiting and server.waiting[0].over:
                server.waiting.popleft()
            if len(server.waiting) > len(server.dials):
                return server
        return None

    @property
    def late(self) -> int:
        """Connections that wait for an answer that nobody wants any more."""
        return sum(len(server.late) for server in self._servers.values())

    def share(self, shared: bool) -> None:
        """Leave half of the descriptors to another process of this router, while there is one."""
        self.limit = self._whole_limit // 2 if shared else self._whole_limit

    def close(self) -> None:
        """Close everything."""
        self._sweep_timer.cancel()
        for server in list(self._servers.values()):
            for under_way in server.dials:
                under_way.cancel()
            for connection in list(server.connections):
                connection.close()

    def _dial_for(self, server: Server) -> None:
        while server.waiting and server.waiting[0].over:
            server.waiting.popleft()
        if server.dial_held is not None:
            if len(server.waiting) <= 1 and server.connections:
                return
            server.dial_held.cancel()
            server.dial_held = None
        while len(server.waiting) > len(server.dials):
            if not server.shortage_pauses.allow(len(server.dials)):
                return
            # Danger: a silent server's late answers must not keep the next attempts from finding out.
            if server.held >= PER_SERVER and not self._drop_late(server):
                return
            if self._held >= self.limit and not self._evict():
                self._short[server] = None
                return
            self._held += 1
            server.dials.add(self.loop.create_task(self._dial(server)))

    def _drop_late(self, server: Server) -> bool:
        if not server.late:
            return False
        self._drop(next(iter(server.late)))
        return True

    def _drop(self, connection: Connection) -> None:
        """Close a connection that makes room at once."""
        connection.server.connections.discard(connection)
        self._held -= 1
        connection.close()

    def _evict(self) -> bool:
        if any(map(self._drop_late, self._servers.values())):
            return True
        idle = [server.idle[0] for server in self._servers.values() if server.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since)
        oldest.server.idle.remove(oldest)
        self._drop(oldest)
        return True

    async def _dial(self, server: Server) -> None:
        connection: Connection | None = None
        own_lag = out_of_resources = False
        address = server.address
        connecting = self.loop.create_task(dial(self.loop, lambda: server.connect(server), address))
        task = asyncio.current_task()
        assert task is not None
        try:
            due = self.loop.time() + self._dial_timeout
            await asyncio.wait((connecting,), timeout=self._dial_timeout)
            own_lag = self.loop.time() - due > LATE_NOTICE_S
            if not connecting.done() and own_lag:
                await asyncio.wait((connecting,), timeout=LATE_NOTICE_S)
            if connecting.done():
                own_lag = False
                connection = cast(Connection, connecting.result().get_protocol())
        except OSError as error:
            out_of_resources = error.errno in shortage.OF_DIALS
        finally:
            server.dials.discard(task)
            if connection is None:
                connecting.cancel()
                self._held -= 1
        if out_of_resources:
            self._try_later(server)
            self._forget(server)
            return
        server.shortage_pauses.over()
        if connection is None or not connection.usable:
            if connection is not None:
                self._held -= 1
            # One that was given up late says more of this router than of the server.
            self._dial_failed(server, Outcome.NOT_SENT if own_lag else Outcome.CONNECT_FAILED)
            return
        server.connections.add(connection)
        connection.retired = not server.open or server.address != address
        self.released(connection)
        self._dial_for(server)

    def _try_later(self, server: Server) -> None:
        """This machine could not ask the server, which says nothing of that: what waits goes on waiting.

        Danger: ended here, it would move to servers that do not hold its key, and on to the origin.
        """
        for exchange in server.waiting:
            exchange.held_back = True
        server.shortage_pauses.begin(lambda: self._try_again(server))

    def _try_again(self, server: Server) -> None:
        """Give what waits to the connections that are idle, and make others for the rest."""
        for _ in range(len(server.idle)):
            if server.waiting and server.idle and not server.shortage_pauses.paused:
                self.released(server.idle.pop())
        self._dial_for(server)

    def _dial_failed(self, server: Server, outcome: Outcome) -> None:
        while server.waiting:
            exchange = server.waiting.popleft()
            if not exchange.over:
                # Danger: one that is only dropped here would count as under way until its deadline.
                exchange.end(outcome)
                break
        self._dial_for(server)
        self._forget(server)
        self.descriptor_freed()

    def _forget(self, server: Server) -> None:
        if not server.open and not server.held:
            self._servers.pop(server.id, None)

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_S, self._sweep)
        oldest = self.loop.time() - self.idle_limit
        for server in self._servers.values():
            while server.idle and server.idle[0].idle_since < oldest:
                server.idle.pop(0).close()
            self._dial_for(server)
