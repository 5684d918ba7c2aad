"""The pool of connections to cache servers and the origin: assigns exchanges to connections, and dials."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import cast

from saltport.address import Address
from saltport.decisions import Outcome
from saltport.downstream.budget import MemoryBudget
from saltport.handover.record import ReadPosition
from saltport.transport import shortage
from saltport.transport.dialing import dial
from saltport.transport.stream import TcpStream
from saltport.upstream.connection import Connection, Exchange, Server, StartResult
from saltport.upstream.read_values import ReadValues

MAX_CONNECTIONS_PER_SERVER = 16  # that carry an exchange or are dialed; further exchanges are queued
IDLE_SHARE = 0.6  # part of `idle_close` after which an idle connection is closed
MAX_CONNECTIONS_FOR_SETTLING = 8  # of a server, before requests that follow one another wait
SWEEP_INTERVAL_S = 0.5  # between two searches for connections that have been idle for too long
MAX_TIMER_DELAY_S = 0.02  # a later timer means a blocked loop, with unread events in the kernel


class Pool:
    """Assigns exchanges to connections, within the limit on descriptors for server connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limit: int,
        dial_timeout: float,
        idle_close: float,
    ) -> None:
        self.on_event: Callable[[], None] = lambda: None
        """Called for each event that the kernel reports for a connection, before the event is handled."""
        self.loop, self.limit, self._dial_timeout = loop, limit, dial_timeout
        self._full_limit = limit
        self.idle_limit = idle_close * IDLE_SHARE
        self._servers: dict[str, Server] = {}
        self.read_values = ReadValues()
        self.memory = MemoryBudget(sys.maxsize)
        """The budget in which values of unknown length count."""
        self.sends = 0
        """Number of attempts whose last byte has been passed to the kernel."""
        self._descriptor_count = 0
        self._waiting_for_descriptor: dict[Server, None] = {}
        """Servers that could not be dialed because no descriptor was free, in order of arrival."""
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def list_server(self, server_id: str, address: Address, connect: Callable[[Server], Connection]) -> None:
        """Add a server that may receive requests, or change its address."""
        server = self._servers.get(server_id)
        if server is None:
            self._servers[server_id] = Server(self, server_id, address, connect)
            return
        if server.address != address:
            # Danger: connections to the old address would still carry requests meant for the new one.
            server.address = address
            self._retire(server)
        server.is_listed = True

    def unlist_server(self, server_id: str) -> None:
        """Stop sending to a server that drains or was removed.

        Exchanges on its connections finish; queued exchanges fail at once.
        """
        server = self._servers.get(server_id)
        if server is not None:
            server.is_listed = False
            self._retire(server)
            # Danger: queued exchanges would be sent once a connection is free, after the drain's grace.
            queued, server.queue = server.queue, deque()
            for exchange in queued:
                exchange.end(Outcome.CONNECT_FAILED)
            self._remove_if_unused(server)

    def _retire(self, server: Server) -> None:
        """Stop reusing the server's connections: idle ones close now, busy ones after their answer."""
        for connection in server.connections:
            connection.retired = True
        server.close_idle()

    def is_dialing(self, server_id: str) -> bool:
        """Whether a connection to this server is being established."""
        server = self._servers.get(server_id)
        return server is not None and bool(server.dials)

    def submit(self, server_id: str, exchange: Exchange) -> None:
        """Start an exchange on an idle connection, or queue it until a connection is free."""
        server = self._servers.get(server_id)
        if server is None or not server.is_listed:
            exchange.end(Outcome.CONNECT_FAILED)
            return
        if not server.queue and (connection := self._take_reusable(server, exchange)) is not None:
            self._start_or_queue(connection, exchange)
            return
        if not exchange.remaining_ms():
            exchange.end(Outcome.NOT_SENT)
            return
        exchange.waits_for_resources = server.shortage_backoff.is_backing_off
        server.queue.append(exchange)
        self._start_queued(server)
        if not server.queue:
            return
        if server.unserved <= 0:
            self._dial_if_often_settling(server)
        elif not self._wait_for_only_connection(server):
            self._dial_for(server)

    def _take_reusable(self, server: Server, exchange: Exchange) -> Connection | None:
        """Remove and return an idle connection that may carry `exchange`; close those that never may."""
        if not self._has_room(server):
            return None
        now = self.loop.time()
        while (connection := self._take_idle(server, exchange, now)) is not None:
            if connection.reusable and connection.idle_since >= now - self.idle_limit:
                return connection
            connection.close()
        return None

    def _take_idle(self, server: Server, exchange: Exchange, now: float) -> Connection | None:
        """Remove and return a connection on which a second answer would not be taken for this exchange's."""
        connection = server.idle.take_settled(now)
        if connection is None and exchange.request is not None and self.read_values.differ:
            connection = server.idle.take_recognizing(exchange.request)
        return connection

    def _start_or_queue(self, connection: Connection, exchange: Exchange) -> bool:
        """Start an exchange on a connection that was idle; return whether this machine could write."""
        server = connection.server
        start = self._start(connection, exchange)
        if start is not StartResult.STARTED:
            server.idle.put_back(connection)
        if start is StartResult.SHORTAGE:
            server.queue.appendleft(exchange)
            self._retry_after_pause(server)
        return start is not StartResult.SHORTAGE

    def _start_queued(self, server: Server) -> None:
        """Start queued exchanges on idle connections that have settled, and wait for the next to settle."""
        server.remove_ended()
        while server.queue:
            connection = self._take_reusable(server, server.queue[0])
            if connection is None:
                self._wait_until_settled(server)
                return
            if not self._start_or_queue(connection, server.queue.popleft()):
                return
            server.remove_ended()

    def _wait_until_settled(self, server: Server) -> None:
        """Start queued exchanges once the next idle connection has settled.

        At MAX_CONNECTIONS_PER_SERVER they start when an exchange ends.
        """
        if not server.idle or not self._has_room(server):
            return
        settles_at = server.idle.next_settled_at
        for exchange in islice(server.queue, len(server.idle)):
            exchange.settles_at = settles_at
        if server.settling_timer is None:
            server.settling_timer = self.loop.call_at(settles_at, self._connection_settled, server)

    def _connection_settled(self, server: Server) -> None:
        """Start queued exchanges, and dial for the rest: a connection may have closed while it settled."""
        server.settling_timer = None
        self._start_queued(server)
        self._dial_for(server)

    def _dial_if_often_settling(self, server: Server) -> None:
        """Dial one more connection if requests often find only connections that settle.

        Danger: without it, each of several requests in a row would wait for the whole settling time.
        """
        often = server.second_connection.record_overlap(self.loop.time())
        if (
            often
            and not server.dials
            and server.descriptor_count < MAX_CONNECTIONS_FOR_SETTLING
            and self._descriptor_count < self.limit
            and server.shortage_backoff.allows_dial(0)
        ):
            self._start_dial(server)

    def _wait_for_only_connection(self, server: Server) -> bool:
        """Whether the latest exchange waits for the only connection before a second one is dialed for it."""
        if len(server.connections) != 1 or server.unserved != 1 or server.dials or server.late_connections:
            return False
        wait_s = server.second_connection.dial_delay_s(self.loop.time())
        if wait_s:
            server.dial_delay_timer = self.loop.call_later(wait_s, self._dial_after_delay, server)
        return wait_s > 0

    def _dial_after_delay(self, server: Server) -> None:
        server.dial_delay_timer = None
        self._dial_for(server)

    def adopt(
        self, flow: ReadPosition, descriptor: int, connect: Callable[[Server], Connection], exchange: Exchange
    ) -> Connection:
        """Continue a value that another process began to read, on the connection's descriptor.

        The server may have left the list since; the connection then closes after the value.
        """
        server = self._servers.get(flow.server)
        if server is None:
            server = self._servers[flow.server] = Server(self, flow.server, flow.address, connect)
            server.is_listed = False
        connection = connect(server)
        connection.retired = flow.closes or not server.is_listed or server.address != flow.address
        connection.used_before = True
        connection.exchange, exchange.connection = exchange, connection
        connection.resume_value(flow)
        self._descriptor_count += 1
        server.connections.add(connection)
        # Danger: without the address family Python makes calls to find it, which can fail transiently.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptor)
        sock.setblocking(False)
        TcpStream(self.loop, sock, connection)
        return connection

    def release(self, connection: Connection) -> None:
        """Keep a free connection for reuse, or close it if another server needs its descriptor more."""
        server = connection.server
        if connection.started_at:
            server.second_connection.record_answer(self.loop.time() - connection.started_at)
        if not connection.usable:
            connection.close()
            return
        server.remove_ended()
        if (
            not server.queue
            and self._descriptor_count >= self.limit
            and (waiting := self._pop_waiting_server()) is not None
        ):
            self._close_and_free(connection)
            self._dial_for(waiting)
            return
        server.idle.add(connection, self.loop.time())
        self._start_queued(server)

    def _start(self, connection: Connection, exchange: Exchange) -> StartResult:
        """Start an exchange, or end one whose time is over; after SHORTAGE the caller must queue it."""
        start = connection.start(exchange)
        if start is StartResult.STARTED:
            connection.server.shortage_backoff.reset()
        elif start is StartResult.TOO_LATE:
            exchange.end(Outcome.NOT_SENT)
        return start

    def remove(self, connection: Connection) -> None:
        """Remove a closed connection from the pool."""
        server = connection.server
        if connection not in server.connections:
            return
        server.connections.discard(connection)
        self._descriptor_count -= 1
        server.idle.remove(connection)
        self._start_queued(server)
        self._dial_for(server)
        self._remove_if_unused(server)
        self.descriptor_freed()

    def descriptor_freed(self) -> None:
        """Dial the next server that lacks a descriptor, as one is free or can be freed.

        Danger: if only the sweep did this, a router at its descriptor limit would dial too few times in each
        SWEEP_INTERVAL_S, and its other requests would reach their deadlines.
        """
        if self._waiting_for_descriptor and (waiting := self._pop_waiting_server()) is not None:
            self._dial_for(waiting)

    def _pop_waiting_server(self) -> Server | None:
        """Remove and return the first server that lacks a descriptor and still has more queued than dials."""
        while self._waiting_for_descriptor:
            server = next(iter(self._waiting_for_descriptor))
            del self._waiting_for_descriptor[server]
            server.remove_ended()
            if server.unserved > len(server.dials):
                return server
        return None

    @property
    def late_connection_count(self) -> int:
        """Number of connections that wait for the answer to an abandoned exchange."""
        return sum(len(server.late_connections) for server in self._servers.values())

    def set_shared(self, shared: bool) -> None:
        """Halve the descriptor limit while another process of this router runs (`shared`), or restore it."""
        self.limit = self._full_limit // 2 if shared else self._full_limit

    def close(self) -> None:
        """Cancel all dials and close all connections."""
        self._sweep_timer.cancel()
        for server in list(self._servers.values()):
            if server.settling_timer is not None:
                server.settling_timer.cancel()
            for dial_task in server.dials:
                dial_task.cancel()
            for connection in list(server.connections):
                connection.close()

    def _dial_for(self, server: Server) -> None:
        """Dial as many connections as the queue of a server needs and the limits allow."""
        server.remove_ended()
        if server.dial_delay_timer is not None:
            if server.unserved <= 1 and server.connections:
                return
            server.dial_delay_timer.cancel()
            server.dial_delay_timer = None
        while server.unserved > len(server.dials):
            if not server.shortage_backoff.allows_dial(len(server.dials)):
                return
            if not self._has_room(server):
                return
            if server.dials and server.descriptor_count >= MAX_CONNECTIONS_PER_SERVER:
                return  # while some settle, further ones are dialed one after another
            if self._descriptor_count >= self.limit and not self._evict():
                self._waiting_for_descriptor[server] = None
                return
            self._start_dial(server)

    def _start_dial(self, server: Server) -> None:
        self._descriptor_count += 1
        server.dials.add(self.loop.create_task(self._dial(server)))

    def _has_room(self, server: Server) -> bool:
        """Whether one more exchange or dial may start at a server.

        Danger: connections that wait for a silent server's late answers must not block new attempts.
        """
        return server.busy_count < MAX_CONNECTIONS_PER_SERVER or self._close_late(server)

    def _close_late(self, server: Server) -> bool:
        """Close a connection that waits for a late answer; return False if the server has none."""
        if not server.late_connections:
            return False
        self._close_and_free(next(iter(server.late_connections)))
        return True

    def _close_and_free(self, connection: Connection) -> None:
        """Close a connection, and free its descriptor in the count at once."""
        connection.server.connections.discard(connection)
        self._descriptor_count -= 1
        connection.close()

    def _evict(self) -> bool:
        """Free a descriptor by closing an unneeded connection; return False if there is none."""
        if any(map(self._close_late, self._servers.values())):
            return True
        idle = [
            connection
            for server in self._servers.values()
            if not server.queue and (connection := server.idle.longest_idle) is not None
        ]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since)
        oldest.server.idle.remove(oldest)
        self._close_and_free(oldest)
        return True

    async def _dial(self, server: Server) -> None:
        """Dial one connection to a server, and assign queued exchanges to it or handle the failure."""
        connection: Connection | None = None
        own_lag = out_of_resources = False
        address = server.address
        connecting = self.loop.create_task(dial(self.loop, lambda: server.connect(server), address))
        task = asyncio.current_task()
        assert task is not None
        try:
            due = self.loop.time() + self._dial_timeout
            await asyncio.wait((connecting,), timeout=self._dial_timeout)
            own_lag = self.loop.time() - due > MAX_TIMER_DELAY_S
            if not connecting.done() and own_lag:
                await asyncio.wait((connecting,), timeout=MAX_TIMER_DELAY_S)
            if connecting.done():
                own_lag = False
                connection = cast(Connection, connecting.result().get_protocol())
        except OSError as error:
            out_of_resources = error.errno in shortage.DIAL_ERRORS
        finally:
            server.dials.discard(task)
            if connection is None:
                connecting.cancel()
                self._descriptor_count -= 1
        if out_of_resources:
            self._retry_after_pause(server)
            self._remove_if_unused(server)
            return
        server.shortage_backoff.reset()
        if connection is None or not connection.usable:
            if connection is not None:
                self._descriptor_count -= 1
            # A dial that was given up late points to a delay in this router, not in the server.
            self._dial_failed(server, Outcome.NOT_SENT if own_lag else Outcome.CONNECT_FAILED)
            return
        server.connections.add(connection)
        connection.retired = not server.is_listed or server.address != address
        self.release(connection)
        self._dial_for(server)

    def _retry_after_pause(self, server: Server) -> None:
        """Leave the exchanges queued and retry after a pause, as this machine lacks resources.

        The failure is no sign of a fault of the server. Danger: if the exchanges ended here, the router would
        retry them at servers that do not cache their keys, and then at the origin.
        """
        for exchange in server.queue:
            exchange.waits_for_resources = True
        server.shortage_backoff.start_pause(lambda: self._retry_queued(server))

    def _retry_queued(self, server: Server) -> None:
        """Start queued exchanges on idle connections, and dial for the rest."""
        self._start_queued(server)
        self._dial_for(server)

    def _dial_failed(self, server: Server, outcome: Outcome) -> None:
        """End the first exchange that waits for a server with `outcome`, and dial again for the others."""
        while server.queue:
            exchange = server.queue.popleft()
            if not exchange.over:
                # Danger: an exchange dropped without its end would count as running until its deadline.
                exchange.end(outcome)
                break
        self._dial_for(server)
        self._remove_if_unused(server)
        self.descriptor_freed()

    def _remove_if_unused(self, server: Server) -> None:
        """Forget a server that is not listed and uses no descriptor."""
        if not server.is_listed and not server.descriptor_count:
            self._servers.pop(server.id, None)

    def _sweep(self) -> None:
        """Close connections that were idle for too long, and dial for queued exchanges; repeat regularly."""
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        oldest = self.loop.time() - self.idle_limit
        for server in self._servers.values():
            while (connection := server.idle.longest_idle) is not None and connection.idle_since < oldest:
                server.idle.remove(connection)
                connection.close()
            self._dial_for(server)
