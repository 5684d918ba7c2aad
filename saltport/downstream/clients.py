"""The listeners and all connections of clients, within their limits."""

from __future__ import annotations

import asyncio
import itertools
import math
import socket
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING

from saltport.address import Address
from saltport.downstream.acceptors import ClientAcceptors
from saltport.downstream.budget import MemoryBudget
from saltport.downstream.connection import IDLE_TIMEOUT_S, ClientConnection
from saltport.downstream.connection_handover import ReceivedConnection, Successor
from saltport.downstream.lingering_close import LingeringConnections
from saltport.downstream.outcomes import CloseReason
from saltport.downstream.paused_reads import PausedReads
from saltport.downstream.receive_times import KernelClock
from saltport.downstream.request_host import Host
from saltport.downstream.turns import TurnScheduler
from saltport.handover.record import ConnectionRecord, RecordError, decode
from saltport.messages import ClientDialect

if TYPE_CHECKING:
    from saltport.downstream.access_log import AccessLog

SWEEP_INTERVAL_S = 0.2  # between two checks of all connections for timeouts
MAX_REFUSED_CONNECTIONS = 32  # accepted beyond the limit so that their requests can be refused
MIN_CONNECTIONS = 32  # accepted and kept however short the memory is
ACCEPT_RETRY_S = 0.01  # before the limit is checked again when no connection can be evicted


def _no_limit() -> int | None:
    """Return None: no process of an earlier version may have to take over the connections."""
    return None


def _check_nothing() -> None:
    """Do nothing: nobody watches the memory."""


def _moved_bytes(connection: ClientConnection) -> int:
    return connection.moved_bytes


class ClientServer:
    """The listeners and all client connections, within their limit of descriptors."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: Host,
        dialect: Callable[[], ClientDialect],
        limit: int,
        budget: int,
    ) -> None:
        self.loop, self.host, self.dialect, self._limit = loop, host, dialect, limit
        self.budget = MemoryBudget(budget)
        self.paused_reads, self.lingering = PausedReads(loop), LingeringConnections(loop)
        self.turns = TurnScheduler(loop)
        self.kernel_clock = KernelClock()
        self._connections: dict[ClientConnection, None] = {}
        self._acceptors = ClientAcceptors(loop, self._wait_for_room_s)
        self.closing_when_answered = False
        """Whether connections that carried a request close once no reply is outstanding."""
        self.is_short_of_memory = False
        """Whether the process is so near its memory limit that a new client has to take another's place."""
        self.memory_check_at = math.inf
        """Loop time from which `check_memory` is called at the next event of a client."""
        self.check_memory: Callable[[], None] = _check_nothing
        self.draining = False
        """Whether health checks are answered negatively so that clients go to other routers."""
        self.successor: Successor | None = None
        """The process that takes over the connections, once this process is ending."""
        self.max_values_in_progress: Callable[[], int | None] = _no_limit
        """Returns the most values that may be in progress on one connection; None: no limit."""
        self.handovers_in_progress = 0
        """Number of connections that are frozen but not yet passed to the successor."""
        self.exits_at = 0.0
        """When this process exits, by the clock of the event loop."""
        self.dialects = {"": dialect}
        """Dialect factories by name, for connections handed over by another process."""
        self.access_log: AccessLog | None = None
        self._numbers = itertools.count(1)
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def next_number(self) -> int:
        """Return a connection number that is unique within this process."""
        return next(self._numbers)

    def listen(self, address: Address, dialect: Callable[[], ClientDialect] | None = None) -> int:
        """Accept clients at this address, with the server's dialect unless `dialect` is given.

        All listeners share the same limits. Return the port; raise OSError.
        """
        return self._acceptors.listen(address, partial(ClientConnection, self, dialect or self.dialect))

    def listen_at(self, listener: socket.socket) -> None:
        """Accept clients at a listening socket that is shared with other processes and outlives this one."""
        self._acceptors.listen_at(listener, partial(ClientConnection, self, self.dialect))

    def _wait_for_room_s(self) -> float:
        """Return the seconds to wait before accepting the next client; 0 if there is room for it now."""
        connected = self.connected + len(self._acceptors)
        has_memory = not self.is_short_of_memory or connected < MIN_CONNECTIONS
        if has_memory and connected < self._limit + MAX_REFUSED_CONNECTIONS:
            return 0.0
        return 0.0 if self.lingering.make_room() or self._evict() else ACCEPT_RETRY_S

    def adopt(self, record: ConnectionRecord, descriptors: Sequence[int], pinned: bool = False) -> None:
        """Adopt a client connection from another process; `pinned`: it must not be handed over again.

        Takes ownership of the descriptors. Raises RecordError, and then the caller still owns them.
        """
        make_dialect = self.dialects.get(record.dialect)
        if make_dialect is None:
            raise RecordError(f"no dialect {record.dialect!r} is spoken here")
        received_connection = ReceivedConnection(record, descriptors[1:], pinned)
        protocol = ClientConnection(self, make_dialect, received_connection)
        try:
            # Danger: without an explicit family, the socket constructor makes system calls that can fail
            # temporarily.
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=descriptors[0])
        except OSError:
            raise RecordError("the first descriptor is no socket") from None
        sock.setblocking(False)
        self._acceptors.adopt(sock, protocol, received_connection.drop)

    def restore(self, record: bytes, descriptors: Sequence[int], pinned: bool) -> None:
        """Restore a frozen connection in this process; `pinned`: it must not be handed over again."""
        self.adopt(decode(record, len(descriptors)), descriptors, pinned)

    @property
    def accepting(self) -> bool:
        """Whether there is a listener that accepts clients."""
        return self._acceptors.accepting

    @property
    def empty(self) -> bool:
        """Whether no client is connected and none can connect."""
        return not self.connected and not self._acceptors and not self._acceptors.accepting

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer has not been passed to the kernel yet."""
        return self.lingering.has_unsent or any(connection.has_unsent for connection in self._connections)

    @property
    def takes_clients(self) -> bool:
        """Whether the router is ready and not draining."""
        return self.host.ready and not self.draining

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a new connection; at the limit, evict another or let the new one refuse its requests."""
        if self.connected >= self._limit and not self.lingering.make_room() and not self._evict():
            connection.refusing = True
        self._connections[connection] = None

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; return False if none can be closed."""
        for candidate in sorted(self._connections, key=lambda candidate: candidate.last_active_at):
            if candidate.evictable:
                candidate.abort(CloseReason.EVICTED)
                return True
        return False

    def shed(self, count: int) -> None:
        """Close up to `count` connections that are owed nothing: idle ones, then incomplete commands.

        Few connections are not worth it: what takes the memory is not theirs.
        """
        count = min(count, self.connected - MIN_CONNECTIONS)
        for close_one in (self.lingering.make_room, self._evict, self._end_incomplete):
            while count > 0 and close_one():
                count -= 1

    def _end_incomplete(self) -> bool:
        """End the command that has made no progress for longest; return False if there is none."""
        candidates = [connection for connection in self._connections if connection.awaits_rest_of_command]
        if not candidates:
            return False
        min(candidates, key=lambda candidate: candidate.progress_at).end_incomplete_command()
        return True

    def remove_connection(self, connection: ClientConnection) -> None:
        """Unregister a closed connection."""
        self._connections.pop(connection, None)

    @property
    def connected(self) -> int:
        """Number of client connections, including those in a lingering close."""
        return len(self._connections) + len(self.lingering)

    def stop_accepting(self) -> None:
        """Accept the clients already in the backlog, then close the listeners.

        Has to be called again while `accepting` remains true, as accepting can fail temporarily.
        """
        self._acceptors.stop()

    def finish(self, even_mid_command: bool, health: bool = True) -> None:
        """Hand over or close all connections once no reply is outstanding on them.

        `even_mid_command`: also connections with a partially received command; `health`: also connections
        that only carry health checks.
        """
        now = self.loop.time()
        connections = list(self._connections)
        if self.successor is not None:
            connections.sort(key=_moved_bytes)  # only so many move at a time
        for connection in connections:
            if connection.awaits_first_request and not even_mid_command:
                continue
            if health or connection.has_carried_request or now - connection.last_active_at >= IDLE_TIMEOUT_S:
                connection.finish(even_mid_command)

    def _sweep(self) -> None:
        """Check the timeouts of all connections; repeat regularly."""
        self._timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for connection in list(self._connections):
            connection.check_timeouts(now)
        self.lingering.check(now)

    def close(self) -> None:
        """Close all listeners and connections immediately."""
        self._timer.cancel()
        self._acceptors.close()
        for connection in list(self._connections):
            connection.abort(CloseReason.SHUTDOWN)
        self.lingering.close()
