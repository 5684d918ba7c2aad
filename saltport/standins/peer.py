"""The listener of one stand-in, which can be killed, frozen, cut off and told to refuse, and be mended."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Callable
from typing import cast

Address = tuple[str, int]
BACKLOG = 512
WOKEN_NS = 200_000_000  # in which a process that goes on has read what lay waiting
_RESET = struct.pack("ii", 1, 0)


class PeerConnection(asyncio.Protocol):
    """One connection to a stand-in. While it is silent, what comes stays in the kernel."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.peer.connections.add(self)
        if self.peer.silent:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.lost = True
        self.peer.connections.discard(self)

    def write(self, data: bytes) -> None:
        """Send, unless the connection is over."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def reset(self) -> None:
        """Break the connection as a process that dies does."""
        if self.transport is None or self.transport.is_closing():
            return
        with contextlib.suppress(OSError):
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.transport.abort()

    def spoken(self) -> None:
        """The peer speaks again: answers that were held back may go."""


class Peer:
    """A stand-in's address: accepts by hand, so that each way of not answering can be played."""

    def __init__(self, connect: Callable[[], PeerConnection], host: str = "127.0.0.1") -> None:
        self._connect, self._host = connect, host
        self.connections: set[PeerConnection] = set()
        self.address: Address = (host, 0)
        self.silent = False
        self._silence = (0, 0)
        self._listener: socket.socket | None = None
        self._accepting = False
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Listen; at the address of before, once there has been one."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        try:
            listener.bind(self.address)
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self.address = listener.getsockname()
        self._listener = listener
        self.accept(True)

    @property
    def listening(self) -> bool:
        """Whether connections come up here."""
        return self._listener is not None

    def accept(self, wanted: bool) -> None:
        """Accept, or leave connections to the kernel."""
        if self._listener is None or wanted == self._accepting:
            return
        loop = asyncio.get_running_loop()
        if wanted:
            loop.add_reader(self._listener.fileno(), self._take_all)
        else:
            loop.remove_reader(self._listener.fileno())
        self._accepting = wanted

    def _take_all(self) -> None:
        loop = asyncio.get_running_loop()
        while self._listener is not None:
            try:
                taken, _ = self._listener.accept()
            except OSError:
                return
            taken.setblocking(False)
            taken.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task: asyncio.Task[object] = loop.create_task(self._made(taken))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _made(self, taken: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self._connect, taken)
        except OSError:
            taken.close()

    @property
    def name(self) -> str:
        """The address as the registry tells it."""
        return f"{self.address[0]}:{self.address[1]}"

    def came_since(self, now: int) -> int:
        """The earliest time at which bytes read now can have come: they may have lain in the kernel."""
        begun, ended = self._silence
        return begun if now - ended < WOKEN_NS else now

    def refuse(self) -> None:
        """Take no new connection; those that are open go on."""
        self.accept(False)
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def die(self) -> None:
        """End as a killed process does: connections are reset, new ones refused."""
        self.refuse()
        for connection in list(self.connections):
            connection.reset()

    def fall_silent(self, cut_off: bool) -> None:
        """Read and write nothing; the kernel of a frozen process takes connections, a cut-off machine not."""
        self.silent = True
        self._silence = time.monotonic_ns(), 1 << 62
        self.accept(False)
        for connection in self.connections:
            if connection.transport is not None and not connection.transport.is_closing():
                connection.transport.pause_reading()
        if cut_off and self._listener is not None:
            # A full queue of the kernel drops what asks for a connection, as a machine that is gone does.
            self._listener.listen(0)
            for _ in range(4):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                filler.setblocking(False)
                filler.connect_ex(self.address)
                self._fillers.append(filler)

    def speak(self) -> None:
        """Be back; a machine that was cut off resets the connections of before."""
        self.silent = False
        self._silence = self._silence[0], time.monotonic_ns()
        fillers, self._fillers = self._fillers, []
        for filler in fillers:
            filler.close()
        if self._listener is not None:
            self._listener.listen(BACKLOG)
        self.accept(True)
        for connection in list(self.connections):
            if fillers:
                connection.reset()
            elif connection.transport is not None and not connection.transport.is_closing():
                connection.transport.resume_reading()
                connection.spoken()

    def close(self) -> None:
        """End everything."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.die()
