"""The listener of a simulated server, which can crash, hang, become unreachable or refuse connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Callable
from typing import cast

Address = tuple[str, int]
BACKLOG = 512  # limit of the connections that wait in the kernel to be accepted
RESUME_READ_NS = 200_000_000  # time within which a resumed process reads the data buffered in the kernel
_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER that makes a close send a TCP reset


class PeerConnection(asyncio.Protocol):
    """A connection to a simulated server; during a suspension received data stays in the kernel."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; while the peer is suspended, reading is paused."""
        self.transport = cast(asyncio.Transport, transport)
        self.peer.connections.add(self)
        if self.peer.suspended:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister the closed connection."""
        self.lost = True
        self.peer.connections.discard(self)

    def write(self, data: bytes) -> None:
        """Send data, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def reset(self) -> None:
        """Abort the connection with a TCP reset, as the kernel does for a killed process."""
        if self.transport is None or self.transport.is_closing():
            return
        with contextlib.suppress(OSError):
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.transport.abort()

    def on_resumed(self) -> None:
        """Called when the peer resumes after a suspension: pending replies may be sent."""


def _bound_socket(address: Address) -> socket.socket:
    """Return a socket bound to an address, which others with SO_REUSEADDR may share. Raises OSError."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound


class Peer:
    """A simulated server's listener, which accepts connections itself to simulate ways of not responding."""

    def __init__(self, connect: Callable[[], PeerConnection], host: str = "127.0.0.1") -> None:
        self._connect, self._host = connect, host
        self.connections: set[PeerConnection] = set()
        self.address: Address = (host, 0)
        self.suspended = False
        self._suspended_span = (0, 0)
        self._reservation: socket.socket | None = None
        """Bound to the address and not listening: keeps the port while connections are refused."""
        self._listener: socket.socket | None = None
        self._accepting = False
        self._backlog_fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Start listening, on the same address as before if it was open already."""
        if self._reservation is None:
            self._reservation = _bound_socket(self.address)
            self.address = self._reservation.getsockname()
        listener = _bound_socket(self.address)
        listener.setblocking(False)
        try:
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        self.set_accepting(True)

    @property
    def listening(self) -> bool:
        """Whether the listening socket is open."""
        return self._listener is not None

    def set_accepting(self, accepting: bool) -> None:
        """Start or stop accepting; without it, new connections wait in the kernel's backlog."""
        if self._listener is None or accepting == self._accepting:
            return
        loop = asyncio.get_running_loop()
        if accepting:
            loop.add_reader(self._listener.fileno(), self._accept_pending)
        else:
            loop.remove_reader(self._listener.fileno())
        self._accepting = accepting

    def _accept_pending(self) -> None:
        """Accept all connections that wait in the kernel."""
        loop = asyncio.get_running_loop()
        while self._listener is not None:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task: asyncio.Task[object] = loop.create_task(self._set_up(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _set_up(self, accepted: socket.socket) -> None:
        """Create the protocol of an accepted connection."""
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self._connect, accepted)
        except OSError:
            accepted.close()

    @property
    def host_port(self) -> str:
        """The address as `host:port`, the form that the registry lists."""
        return f"{self.address[0]}:{self.address[1]}"

    def earliest_arrival(self, now: int) -> int:
        """Return the earliest time at which data read now may have arrived, given the last suspension."""
        begun, ended = self._suspended_span
        return begun if now - ended < RESUME_READ_NS else now

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones continue."""
        self.set_accepting(False)
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def crash(self) -> None:
        """Simulate a killed process: reset all connections and refuse new ones."""
        self.refuse_connections()
        for connection in list(self.connections):
            connection.reset()

    def stop_responding(self, cut_off: bool) -> None:
        """Stop reading and writing; with `cut_off` new connections time out, as on an unreachable machine."""
        self.suspended = True
        self._suspended_span = time.monotonic_ns(), 1 << 62
        self.set_accepting(False)
        for connection in self.connections:
            if connection.transport is not None and not connection.transport.is_closing():
                connection.transport.pause_reading()
        if cut_off and self._listener is not None:
            # With a full backlog the kernel drops connection requests, as if the machine were unreachable.
            self._listener.listen(0)
            for _ in range(4):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self._backlog_fillers.append(filler)

    def resume(self) -> None:
        """Resume reading and writing; after a cut-off, reset the old connections."""
        self.suspended = False
        self._suspended_span = self._suspended_span[0], time.monotonic_ns()
        fillers, self._backlog_fillers = self._backlog_fillers, []
        for filler in fillers:
            filler.close()
        if self._listener is not None:
            self._listener.listen(BACKLOG)
        self.set_accepting(True)
        for connection in list(self.connections):
            if fillers:
                connection.reset()
            elif connection.transport is not None and not connection.transport.is_closing():
                connection.transport.resume_reading()
                connection.on_resumed()

    def close(self) -> None:
        """Close the listener and reset all connections."""
        for filler in self._backlog_fillers:
            filler.close()
        self._backlog_fillers.clear()
        self.crash()
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None
