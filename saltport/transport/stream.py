"""An asyncio transport for TCP that survives a temporary lack of memory on its own machine.

After EAGAIN or a short write, the stream waits until the socket is ready. ENOBUFS and ENOMEM are no sign of a
fault of the peer: the same call is repeated some milliseconds later, in order, each byte once. Python itself
retries after EINTR (PEP 475). Any other error ends the connection, as documented for asyncio.Transport.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import struct
import threading

from saltport.transport import shortage
from saltport.transport.send_buffer import SendBuffer

READ_SIZE_BYTES = (
    256 << 10
)  # most that one read returns; one shorter than asked has emptied the kernel's buffer
HIGH_WATER_BYTES = 64 << 10  # default limit of unsent data above which the protocol is paused
FIRST_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.004, 0.032
"""Pauses before a failed call is repeated: the first one, and the limit of their doubling."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for no time

_RETRIABLE = shortage.RESOURCE_ERRORS | {errno.EAGAIN, errno.EINTR}

log = logging.getLogger("saltport")


class StreamProtocol(asyncio.Protocol):
    """A protocol that is also notified when the system lacks memory to read or write."""

    def read_size(self) -> int:
        """Return the most bytes that the next read may return, from 1 to READ_SIZE_BYTES."""
        return READ_SIZE_BYTES

    def read_out_of_memory(self) -> None:
        """Called when a read failed as this machine lacks memory; the peer's data stays in the kernel."""

    def write_out_of_memory(self) -> None:
        """Called when a write failed as this machine lacks memory; the unsent bytes are retried."""

    def may_continue_writing(self) -> bool:
        """Return whether the kernel may take more of the unsent bytes; before False, reset the stream."""
        return True


_CLOSED = StreamProtocol()
"""The protocol of all streams that have closed."""


class _ReadBuffer(threading.local):
    """The read buffer that all streams of a thread share; a read ends before the next begins."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_SIZE_BYTES))


_read_buffer = _ReadBuffer()


class TcpStream(asyncio.Transport):
    """Transport of one connected socket, on any event loop with `add_reader` and `add_writer`."""

    __slots__ = (
        "_buffer", "_closing", "_eof_requested", "_has_reader", "_has_writer", "_high", "_loop",
        "_lost", "_low", "_protocol", "_protocol_paused", "_read_pause_s", "_read_retry",
        "_reading", "_sock", "_unsent", "_write_pause_s", "_write_retry", "is_out_of_memory",
    )  # fmt: skip

    def __init__(
        self, loop: asyncio.AbstractEventLoop, sock: socket.socket, protocol: StreamProtocol
    ) -> None:
        """Take ownership of a connected, non-blocking socket; calls the protocol's `connection_made`."""
        super().__init__({"socket": sock})
        self._loop, self._sock = loop, sock
        self._protocol = protocol
        self._buffer = _read_buffer.view
        self._unsent = SendBuffer()
        self._high, self._low = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self._protocol_paused = self._closing = self._lost = self._eof_requested = False
        self._reading = True
        self.is_out_of_memory = False
        """Whether the latest read failed because this machine lacks memory."""
        self._has_reader = self._has_writer = False
        self._read_retry: asyncio.TimerHandle | None = None
        self._write_retry: asyncio.TimerHandle | None = None
        self._read_pause_s = self._write_pause_s = 0.0
        set_no_delay(sock)
        protocol.connection_made(self)
        self._start_reading()

    # Reading

    def is_reading(self) -> bool:
        """Whether received data is passed to the protocol."""
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        """Stop reading; received data stays in the kernel."""
        self._reading = False
        self._stop_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        self._reading = True
        self._start_reading()

    def _start_reading(self) -> None:
        """Register the socket for reading, unless reading is paused, closing or retried later."""
        wanted = self._reading and not self._closing and self._read_retry is None
        if wanted and not self._has_reader:
            self._has_reader = True
            self._loop.add_reader(self._sock.fileno(), self._read)

    def _stop_reading(self) -> None:
        """Unregister the socket for reading."""
        if self._has_reader:
            self._has_reader = False
            self._loop.remove_reader(self._sock.fileno())

    def _read(self) -> None:
        try:
            size = self._sock.recv_into(self._buffer[: self._protocol.read_size()])
        except OSError as error:
            if error.errno in _RETRIABLE:
                self._read_later(error.errno in shortage.RESOURCE_ERRORS)
            else:
                self._force_close(error)
            return
        self._read_pause_s, self.is_out_of_memory = 0.0, False
        try:
            if size:
                self._protocol.data_received(bytes(self._buffer[:size]))
            else:
                self._handle_eof()
        except Exception as error:
            log.exception("a connection's protocol raised an exception")
            self._force_close(error)

    def _read_later(self, is_out_of_memory: bool) -> None:
        """Retry a read after a pause.

        Danger: the socket may stay readable, so a reader on the loop would repeat the call in a busy loop.
        """
        self._stop_reading()
        self.is_out_of_memory = is_out_of_memory
        if is_out_of_memory:
            self._protocol.read_out_of_memory()
        self._read_pause_s = _next_pause_s(self._read_pause_s)
        self._read_retry = self._loop.call_later(self._read_pause_s, self._read_again)

    def _read_again(self) -> None:
        self._read_retry = None
        self._start_reading()

    def _handle_eof(self) -> None:
        """Handle that the other side has ended its direction of the connection."""
        self._reading = False
        self._stop_reading()
        if not self._protocol.eof_received():
            self.close()

    # Writing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Pass bytes to the kernel as far as it takes them now, and queue the rest behind what is unsent."""
        if self._closing or not data:
            return
        if self._eof_requested:
            raise RuntimeError("write after write_eof")
        if not self._unsent:
            sent = self._send(data)
            if self._closing or sent == len(data):
                return
            data = memoryview(data)[sent:]
        self._unsent.append(data)
        self._pause_protocol()

    def write_unchanged(self, data: bytes | bytearray) -> None:
        """Write as `write` does, without a copy: `data` must not be changed as long as it is unsent."""
        if self._closing:
            return
        sent = self._send(data) if not self._unsent else 0
        if not self._closing:
            self._unsent.append_in_place(memoryview(data)[sent:])
            self._pause_protocol()

    def write_now(self, data: bytes) -> bool:
        """Write as `write` does, but return False, with nothing queued, if no byte can be sent now.

        For messages that must not be sent long after they were built. Nothing may be unsent before.
        """
        assert not self._unsent
        sent = self._try_send(data)
        # Danger: with nothing unsent before, EAGAIN for the first byte means that the kernel lacks memory.
        if not sent and not self._closing:
            return False
        if sent is not None and sent < len(data) and not self._closing:
            self._unsent.append(memoryview(data)[sent:])
            self._start_writing()
            self._pause_protocol()
        return True

    def _pause_protocol(self) -> None:
        """Tell the protocol to pause writing if there are too many unsent bytes."""
        if len(self._unsent) > self._high and not self._protocol_paused:
            self._protocol_paused = True
            self._protocol.pause_writing()

    def _send(self, data: bytes | bytearray | memoryview) -> int:
        """Pass bytes to the kernel and schedule a retry for the rest; return how many it took."""
        sent = self._try_send(data)
        if sent is None:
            self._write_later()
            return 0
        self._write_pause_s = 0.0
        if sent < len(data) and not self._closing:
            self._start_writing()
        return sent

    def _try_send(self, data: bytes | bytearray | memoryview) -> int | None:
        """Return how many bytes the kernel took; None if the call failed for lack of memory."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            if error.errno in _RETRIABLE:
                return None
            self._force_close(error)
            return 0

    def _write_later(self) -> None:
        """Retry a write after a pause.

        Danger: the socket may be writable, so a writer on the loop would repeat the call in a busy loop.
        """
        self._stop_writing()
        self._protocol.write_out_of_memory()
        if self._write_retry is None:
            self._write_pause_s = _next_pause_s(self._write_pause_s)
            self._write_retry = self._loop.call_later(self._write_pause_s, self._write_again)

    def _write_again(self) -> None:
        self._write_retry = None
        self._write_unsent()

    def _start_writing(self) -> None:
        """Register the socket for writing."""
        if not self._has_writer:
            self._has_writer = True
            self._loop.add_writer(self._sock.fileno(), self._write_unsent)

    def _stop_writing(self) -> None:
        """Unregister the socket for writing."""
        if self._has_writer:
            self._has_writer = False
            self._loop.remove_writer(self._sock.fileno())

    def _write_unsent(self) -> None:
        """Send unsent bytes now that the socket is writable; then resume the protocol, or close."""
        if not self._protocol.may_continue_writing():
            return
        sent = self._send(self._unsent.first)
        if self._lost:
            return
        if not sent and self._has_writer:
            # Danger: when the kernel lacks memory for a buffer, it returns EAGAIN for a writable socket, and
            # a writer on the loop would repeat the call in a busy loop.
            self._write_later()
            return
        self._unsent.remove(sent)
        if not self._unsent:
            self._stop_writing()
        elif sent:
            self._start_writing()
        if self._protocol_paused and len(self._unsent) <= self._low:
            self._protocol_paused = False
            self._protocol.resume_writing()
        if not self._unsent and not self._lost:
            if self._closing:
                self._force_close(None)
            elif self._eof_requested:
                self._shut_down()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the numbers of unsent bytes at which the protocol is paused and resumed."""
        self._high = HIGH_WATER_BYTES if high is None else high
        self._low = self._high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        """Number of bytes that the kernel has not taken yet."""
        return len(self._unsent)

    @property
    def unsent(self) -> bytes:
        """The bytes that the kernel has not taken; after an abort they stay until `connection_lost`."""
        return bytes(self._unsent)

    def can_write_eof(self) -> bool:
        """Return True: the sending side can be closed alone."""
        return True

    def write_eof(self) -> None:
        """Close the sending side once all is sent; reading continues."""
        if not self._closing and not self._eof_requested:
            self._eof_requested = True
            if not self._unsent:
                self._shut_down()

    def _shut_down(self) -> None:
        """End the sending direction of the connection."""
        if self._lost:
            return
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            if error.errno in shortage.RESOURCE_ERRORS:
                self._loop.call_later(FIRST_RETRY_PAUSE_S, self._shut_down)
            # Otherwise the connection has ended already, and the next read reports it.

    # Closing

    def is_closing(self) -> bool:
        """Whether the stream is closing or closed."""
        return self._closing

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol that is called from now on."""
        assert isinstance(protocol, StreamProtocol)
        self._protocol = protocol

    def get_protocol(self) -> StreamProtocol:
        """Return the current protocol."""
        return self._protocol

    def close(self) -> None:
        """Close once all unsent bytes are sent."""
        if not self._closing:
            self._closing = True
            self._stop_reading()
            if not self._unsent:
                self._force_close(None)

    def abort(self) -> None:
        """Close at once; unsent bytes are dropped, and the kernel still sends those that it has taken."""
        self._force_close(None)

    def reset(self) -> None:
        """Close at once by a TCP reset: the kernel too drops what it has not sent."""
        if self._lost:
            return
        self._stop()
        self._reset_socket()

    def _reset_socket(self) -> None:
        """Close the socket by a reset, and report the close to the protocol."""
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        except OSError as error:
            if error.errno in shortage.RESOURCE_ERRORS:
                self._loop.call_later(FIRST_RETRY_PAUSE_S, self._reset_socket)
                return
            # Otherwise the connection has ended already.
        self._sock.close()
        self._loop.call_soon(self._finish_close, None)

    def _force_close(self, error: Exception | None) -> None:
        """Close without sending the unsent bytes, and report the close to the protocol."""
        if self._lost:
            return
        self._stop()
        self._loop.call_soon(self._finish_close, error)

    def _stop(self) -> None:
        """Stop reading and writing for good."""
        self._closing = self._lost = True
        self._stop_reading()
        self._stop_writing()
        for retry in (self._read_retry, self._write_retry):
            if retry is not None:
                retry.cancel()
        self._read_retry = self._write_retry = None

    def _finish_close(self, error: Exception | None) -> None:
        """Call `connection_lost` and close the socket."""
        try:
            self._protocol.connection_lost(error)
        finally:
            # Danger: the protocol refers to its stream, and cycles of references are collected rarely.
            self._protocol = _CLOSED
            self._unsent.clear()
            self._sock.close()


def limit_unsent_in_kernel(sock: socket.socket, size: int) -> None:
    """Let the kernel take at most some `size` bytes beyond those it has sent; a failure is only logged."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)
    except OSError as error:
        log.warning("TCP_NOTSENT_LOWAT can't be set: %s", error.strerror or error)


def set_no_delay(sock: socket.socket) -> None:
    """Set TCP_NODELAY, so that small writes are sent at once; a failure is only logged."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        if error.errno != errno.EOPNOTSUPP:  # not TCP, where the option does not apply
            log.warning("TCP_NODELAY can't be set, small writes may be delayed: %s", error.strerror or error)


def _next_pause_s(pause_s: float) -> float:
    return min(pause_s * 2, MAX_RETRY_PAUSE_S) if pause_s else FIRST_RETRY_PAUSE_S
