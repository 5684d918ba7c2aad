"""A link of messages that keep their bounds and bring descriptors (SOCK_SEQPACKET, SCM_RIGHTS)."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from saltport.transport import shortage

PAUSE_S = 0.01
"""Before a call is made again that this machine was short of something for, or the link full."""


@dataclass(frozen=True, slots=True)
class Packet:
    """One message that came."""

    data: bytes
    """Empty: the link has ended."""
    descriptors: Sequence[int] = ()
    """Those of the taker from now on."""
    is_cut: bool = False
    """Whether data or descriptors are missing."""


class PacketLink:
    """One end of a link, which is owned from the beginning on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        end: socket.socket,
        came: Callable[[Packet], None],
        max_size: int,
        max_descriptors: int = 0,
    ) -> None:
        """`came` takes each message, and one without data at the link's end."""
        self._loop, self._end, self._came = loop, end, came
        self._max_size, self._max_descriptors = max_size, max_descriptors
        self._answers: deque[bytes] = deque()
        self._reading_again: asyncio.TimerHandle | None = None
        self._answering_again: asyncio.TimerHandle | None = None
        end.setblocking(False)
        self._read_on()

    def send(self, data: bytes, descriptors: Sequence[int] = ()) -> bool:
        """Whether the link has taken a message; it takes it whole or not at all."""
        try:
            socket.send_fds(self._end, [data], descriptors)
        except OSError:  # its buffer is full, this machine is short of memory, or it has gone, which is read
            return False
        return True

    def answer(self, data: bytes) -> None:
        """Send a message behind the answers before it, as soon as the link takes it."""
        self._answers.append(data)
        if self._answering_again is None:
            self._send_answers()

    def close(self) -> None:
        """Close this end at once."""
        if self._reading_again is None:
            self._loop.remove_reader(self._end.fileno())
        for timer in (self._reading_again, self._answering_again):
            if timer is not None:
                timer.cancel()
        self._end.close()

    def _send_answers(self) -> None:
        self._answering_again = None
        while self._answers:
            if not self.send(self._answers[0]):
                # Danger: an answer that is lost leaves the other side with what it gave away, or without it.
                self._answering_again = self._loop.call_later(PAUSE_S, self._send_answers)
                return
            self._answers.popleft()

    def _read_on(self) -> None:
        self._reading_again = None
        self._loop.add_reader(self._end.fileno(), self._read)

    def _read(self) -> None:
        try:
            data, descriptors, flags, _ = socket.recv_fds(self._end, self._max_size, self._max_descriptors)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in shortage.OF_RESOURCES:
                self._loop.remove_reader(self._end.fileno())
                self._reading_again = self._loop.call_later(PAUSE_S, self._read_on)
                return
            data, descriptors, flags = b"", [], 0
        self._came(Packet(data, descriptors, bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC))))
