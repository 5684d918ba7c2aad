"""A TCP connection that outlives what its own machine is short of for a moment.

EAGAIN waits for the kernel's word, and so does a short write for what is left of it. ENOBUFS and ENOMEM say
nothing of the other side: the same call is made again some milliseconds later, in order, each byte once.
EINTR is Python's (PEP 475): again at once. Any other error ends the connection, as documented for
asyncio.Transport.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import threading

from saltport.transport import shortage

READ_SIZE = 256 << 10  # bytes that one read takes at most: a shorter one left nothing in the kernel
HIGH_WATER = 64 << 10  # unsent bytes above which the protocol is paused, unless it says otherwise
FIRST_RETRY_S, LONGEST_RETRY_S = 0.004, 0.032
"""Before a call is made again that this machine had no memory for."""

_LATER = shortage.OF_RESOURCES | {errno.EAGAIN, errno.EINTR}

log = logging.getLogger("saltport")


class StreamProtocol(asyncio.Protocol):
    """What is told of a stream, beyond what any protocol is."""

    def read_held_up(self) -> None:
        """A read failed for want of memory here: what the other side sent lies in the kernel meanwhile."""

    def write_held_up(self) -> None:
        """The same of a write: what is unsent waits for this machine."""


class _ReadBuffer(threading.local):
    """Where a thread's streams read to, one at a time."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_SIZE))


_read_buffer = _ReadBuffer()


class TcpStream(asyncio.Transport):
    """One connected socket, on any loop that can tell when a descriptor is ready."""

    __slots__ = (
        "_buffer", "_closing", "_end", "_end_of_sending", "_high", "_is_watched_for_reading",
        "_is_watched_for_writing", "_loop", "_lost", "_low", "_protocol", "_protocol_paused",
        "_read_pause_s", "_read_retry", "_reading", "_unsent", "_write_pause_s", "_write_retry", "is_held_up",
    )  # fmt: skip

    def __init__(self, loop: asyncio.AbstractEventLoop, end: socket.socket, protocol: StreamProtocol) -> None:
        """Take over a connected socket that doesn't block; the protocol is told within this call."""
        super().__init__({"socket": end})
        self._loop, self._end = loop, end
        self._protocol = protocol
        self._buffer = _read_buffer.view
        self._unsent = bytearray()
        self._high, self._low = HIGH_WATER, HIGH_WATER // 4
        self._protocol_paused = self._closing = self._lost = self._end_of_sending = False
        self._reading = True
        self.is_held_up = False
        """Whether this machine has no memory to read what may have come."""
        self._is_watched_for_reading = self._is_watched_for_writing = False
        self._read_retry: asyncio.TimerHandle | None = None
        self._write_retry: asyncio.TimerHandle | None = None
        self._read_pause_s = self._write_pause_s = 0.0
        set_no_delay(end)
        protocol.connection_made(self)
        self._watch_for_reading()

    # Reading

    def is_reading(self) -> bool:
        """Whether what comes is passed on."""
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        """Leave what comes in the kernel."""
        self._reading = False
        self._watch_no_more_for_reading()

    def resume_reading(self) -> None:
        """Pass on what comes."""
        self._reading = True
        self._watch_for_reading()

    def _watch_for_reading(self) -> None:
        wanted = self._reading and not self._closing and self._read_retry is None
        if wanted and not self._is_watched_for_reading:
            self._is_watched_for_reading = True
            self._loop.add_reader(self._end.fileno(), self._read)

    def _watch_no_more_for_reading(self) -> None:
        if self._is_watched_for_reading:
            self._is_watched_for_reading = False
            self._loop.remove_reader(self._end.fileno())

    def _read(self) -> None:
        try:
            size = self._end.recv_into(self._buffer)
        except OSError as error:
            if error.errno in _LATER:
                self._read_later(error.errno in shortage.OF_RESOURCES)
            else:
                self._lose(error)
            return
        self._read_pause_s, self.is_held_up = 0.0, False
        try:
            if size:
                self._protocol.data_received(bytes(self._buffer[:size]))
            else:
                self._ended()
        except Exception as error:
            log.exception("a connection's protocol failed")
            self._lose(error)

    def _read_later(self, is_held_up: bool) -> None:
        """Danger: the socket may stay readable, so a watch would make the same call again without end."""
        self._watch_no_more_for_reading()
        self.is_held_up = is_held_up
        if is_held_up:
            self._protocol.read_held_up()
        self._read_pause_s = _longer(self._read_pause_s)
        self._read_retry = self._loop.call_later(self._read_pause_s, self._read_again)

    def _read_again(self) -> None:
        self._read_retry = None
        self._watch_for_reading()

    def _ended(self) -> None:
        self._reading = False
        self._watch_no_more_for_reading()
        if not self._protocol.eof_received():
            self.close()

    # Writing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write behind what is unsent; the kernel has the bytes within this call, as far as it takes them."""
        if self._closing or not data:
            return
        if self._end_of_sending:
            raise RuntimeError("a write behind write_eof")
        if not self._unsent:
            sent = self._send(data)
            if self._closing or sent == len(data):
                return
            data = memoryview(data)[sent:]
        self._unsent += data
        self._pause_protocol()

    def write_whole_or_later(self, data: bytes) -> bool:
        """Write as `write` does, unless this machine can't take the first byte now; False: nothing was done.

        For what must not leave long after it was worded. Only where nothing is unsent.
        """
        assert not self._unsent
        sent = self._try_to_send(data)
        # Danger: with nothing before it, EAGAIN for the first byte tells of no memory for a buffer.
        if not sent and not self._closing:
            return False
        if sent is not None and sent < len(data) and not self._closing:
            self._unsent += memoryview(data)[sent:]
            self._watch_for_writing()
            self._pause_protocol()
        return True

    def _pause_protocol(self) -> None:
        if len(self._unsent) > self._high and not self._protocol_paused:
            self._protocol_paused = True
            self._protocol.pause_writing()

    def _send(self, data: bytes | bytearray | memoryview) -> int:
        """Give the kernel what it takes; returns how many bytes, having seen to it that the rest follows."""
        sent = self._try_to_send(data)
        if sent is None:
            self._write_later()
            return 0
        self._write_pause_s = 0.0
        if sent < len(data) and not self._closing:
            self._watch_for_writing()
        return sent

    def _try_to_send(self, data: bytes | bytearray | memoryview) -> int | None:
        """How many bytes the kernel took; None: this machine was short of memory for the call."""
        try:
            return self._end.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno in _LATER:
                return None
            self._lose(error)
            return 0

    def _write_later(self) -> None:
        """Danger: the socket may well be writable, so a watch would make the same call again without end."""
        self._watch_no_more_for_writing()
        self._protocol.write_held_up()
        if self._write_retry is None:
            self._write_pause_s = _longer(self._write_pause_s)
            self._write_retry = self._loop.call_later(self._write_pause_s, self._write_again)

    def _write_again(self) -> None:
        self._write_retry = None
        self._write_unsent()

    def _watch_for_writing(self) -> None:
        if not self._is_watched_for_writing:
            self._is_watched_for_writing = True
            self._loop.add_writer(self._end.fileno(), self._write_unsent)

    def _watch_no_more_for_writing(self) -> None:
        if self._is_watched_for_writing:
            self._is_watched_for_writing = False
            self._loop.remove_writer(self._end.fileno())

    def _write_unsent(self) -> None:
        sent = self._send(self._unsent)
        if self._lost:
            return
        if not sent and self._is_watched_for_writing:
            # Danger: short of memory for a buffer, the kernel says EAGAIN of a socket that is writable, and a
            # watch would make the same call again without end.
            self._write_later()
            return
        del self._unsent[:sent]
        if not self._unsent:
            self._watch_no_more_for_writing()
        if self._protocol_paused and len(self._unsent) <= self._low:
            self._protocol_paused = False
            self._protocol.resume_writing()
        if not self._unsent and not self._lost:
            if self._closing:
                self._lose(None)
            elif self._end_of_sending:
                self._shut_down()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """See asyncio.Transport."""
        self._high = HIGH_WATER if high is None else high
        self._low = self._high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        """Bytes that the kernel has not taken."""
        return len(self._unsent)

    @property
    def unsent(self) -> bytes:
        """What the kernel has not taken; after an abort, until the protocol is told that it is lost."""
        return bytes(self._unsent)

    def can_write_eof(self) -> bool:
        """See asyncio.Transport."""
        return True

    def write_eof(self) -> None:
        """End the sending side behind what is unsent, and read on."""
        if not self._closing and not self._end_of_sending:
            self._end_of_sending = True
            if not self._unsent:
                self._shut_down()

    def _shut_down(self) -> None:
        if self._lost:
            return
        try:
            self._end.shutdown(socket.SHUT_WR)
        except OSError as error:
            if error.errno in shortage.OF_RESOURCES:
                self._loop.call_later(FIRST_RETRY_S, self._shut_down)
            # else the connection has ended already, which the next read tells

    # Ends

    def is_closing(self) -> bool:
        """Whether nothing more is read or written."""
        return self._closing

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Tell somebody else from now on."""
        assert isinstance(protocol, StreamProtocol)
        self._protocol = protocol

    def get_protocol(self) -> StreamProtocol:
        """Who is told."""
        return self._protocol

    def close(self) -> None:
        """Close behind what is unsent."""
        if not self._closing:
            self._closing = True
            self._watch_no_more_for_reading()
            if not self._unsent:
                self._lose(None)

    def abort(self) -> None:
        """Close at once."""
        self._lose(None)

    def _lose(self, error: Exception | None) -> None:
        if self._lost:
            return
        self._closing = self._lost = True
        self._watch_no_more_for_reading()
        self._watch_no_more_for_writing()
        for retry in (self._read_retry, self._write_retry):
            if retry is not None:
                retry.cancel()
        self._read_retry = self._write_retry = None
        self._loop.call_soon(self._tell_lost, error)

    def _tell_lost(self, error: Exception | None) -> None:
        try:
            self._protocol.connection_lost(error)
        finally:
            self._unsent.clear()
            self._end.close()


def set_no_delay(end: socket.socket) -> None:
    """Have small writes leave at once; a wish, and no reason to end the connection."""
    try:
        end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        if error.errno != errno.EOPNOTSUPP:  # other than on TCP, where it means nothing
            log.warning("a connection keeps its small writes back: %s", error.strerror or error)


def _longer(pause_s: float) -> float:
    return min(pause_s * 2, LONGEST_RETRY_S) if pause_s else FIRST_RETRY_S
