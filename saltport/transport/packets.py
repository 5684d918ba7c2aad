"""A message link to another process that can pass descriptors (SOCK_SEQPACKET, SCM_RIGHTS)."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import NamedTuple

from saltport.transport import shortage

_CREDENTIALS = struct.Struct("3i")
RETRY_PAUSE_S = 0.01
"""Pause before a call is repeated that failed for lack of resources or because the link was full."""
MESSAGES_PER_ITERATION = 16
"""Most messages that one iteration of the event loop receives, so that others have their turn."""
SEND_BUFFER_BYTES = 512 << 10
"""Buffer of the kernel for unread messages; a kernel may allow less."""


class PeerCredentials(NamedTuple):
    """The process at the other end of a Unix socket (`struct ucred`)."""

    process_id: int
    user_id: int
    group_id: int


def peer_credentials(sock: socket.socket) -> PeerCredentials:
    """Return whose process is at the other end; raises OSError."""
    return PeerCredentials(
        *_CREDENTIALS.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size))
    )


@dataclass(frozen=True, slots=True)
class Packet:
    """One received message."""

    data: bytes
    """The message; empty when the link has ended."""
    descriptors: Sequence[int] = ()
    """Received descriptors, owned by the receiver."""
    is_truncated: bool = False
    """Whether data or descriptors were truncated."""


class PacketLink:
    """One end of a message link; owns its socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_packet: Callable[[Packet], None],
        max_size: int,
        max_descriptors: int = 0,
    ) -> None:
        """`on_packet` is called with each message, and with an empty one at the end of the link."""
        self._loop, self._sock, self._on_packet = loop, sock, on_packet
        self._max_size, self._max_descriptors = max_size, max_descriptors
        self._unsent_answers: deque[bytes] = deque()
        self._read_retry: asyncio.TimerHandle | None = None
        self._answer_retry: asyncio.TimerHandle | None = None
        self._peer_process_id = 0
        self._awaits_room = False
        sock.setblocking(False)
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._resume_reading()

    @property
    def peer_process_id(self) -> int:
        """Id of the process at the other end; 0 while the kernel does not tell it."""
        if not self._peer_process_id:
            with suppress(OSError):
                self._peer_process_id = peer_credentials(self._sock).process_id
        return self._peer_process_id

    def send(self, data: bytes, descriptors: Sequence[int] = ()) -> bool:
        """Send a message; return whether the link took it, which is all or nothing."""
        try:
            socket.send_fds(self._sock, [data], descriptors)
        except OSError:  # buffer full, no memory, or the link has ended, which the next read reports
            return False
        return True

    def send_or_wait(self, data: bytes, descriptors: Sequence[int], on_room: Callable[[], None]) -> bool:
        """Send a message as `send` does; if the link is full, call `on_room` once the peer has received.

        Other failures, such as too many descriptors in flight, end without a sign: the caller tries again.
        """
        try:
            socket.send_fds(self._sock, [data], descriptors)
        except OSError as error:
            if error.errno == errno.EAGAIN and not self._awaits_room:
                self._awaits_room = True
                self._loop.add_writer(self._sock.fileno(), self._has_room, on_room)
            return False
        return True

    def _has_room(self, on_room: Callable[[], None]) -> None:
        self._stop_waiting_for_room()
        on_room()

    def _stop_waiting_for_room(self) -> None:
        if self._awaits_room:
            self._awaits_room = False
            self._loop.remove_writer(self._sock.fileno())

    def answer(self, data: bytes) -> None:
        """Queue an answer behind earlier ones; it is sent as soon as the link takes it."""
        self._unsent_answers.append(data)
        if self._answer_retry is None:
            self._send_answers()

    def close(self) -> None:
        """Close this end at once; queued answers are dropped."""
        self._stop_waiting_for_room()
        if self._read_retry is None:
            self._loop.remove_reader(self._sock.fileno())
        for timer in (self._read_retry, self._answer_retry):
            if timer is not None:
                timer.cancel()
        self._sock.close()

    def _send_answers(self) -> None:
        """Send the queued answers; retry after a pause if the kernel does not take them."""
        self._answer_retry = None
        while self._unsent_answers:
            if not self.send(self._unsent_answers[0]):
                # Danger: without the answer the peer can't know whether what it handed over was taken.
                self._answer_retry = self._loop.call_later(RETRY_PAUSE_S, self._send_answers)
                return
            self._unsent_answers.popleft()

    def _resume_reading(self) -> None:
        self._read_retry = None
        self._loop.add_reader(self._sock.fileno(), self._read)

    def receive_pending(self) -> None:
        """Process the messages that have arrived, without waiting for the event loop to report them."""
        while self._receive():
            pass

    def _read(self) -> None:
        for _ in range(MESSAGES_PER_ITERATION):
            if not self._receive():
                return

    def _receive(self) -> bool:
        """Receive one message and process it; return whether there was one."""
        if self._read_retry is not None or self._sock.fileno() < 0:
            return False
        try:
            data, descriptors, flags, _ = socket.recv_fds(self._sock, self._max_size, self._max_descriptors)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in shortage.RESOURCE_ERRORS:
                self._loop.remove_reader(self._sock.fileno())
                self._read_retry = self._loop.call_later(RETRY_PAUSE_S, self._resume_reading)
                return False
            data, descriptors, flags = b"", [], 0
        self._on_packet(Packet(data, descriptors, bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC))))
        return bool(data)
