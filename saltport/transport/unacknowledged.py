"""Counts the bytes written to a peer that it has not acknowledged yet."""

from __future__ import annotations

import fcntl
import sys
import termios

from saltport.transport.stream import TcpStream


def unacknowledged_bytes(transport: TcpStream) -> int:
    """Return the bytes, buffered here and in the kernel, that the peer has not acknowledged."""
    return transport.get_write_buffer_size() + kernel_unacknowledged_bytes(
        transport.get_extra_info("socket").fileno()
    )


def kernel_unacknowledged_bytes(descriptor: int) -> int:
    """Return the unacknowledged bytes in the kernel's send buffer; 0 if they can't be determined."""
    try:
        return int.from_bytes(fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except (OSError, ValueError):  # ValueError: the socket is closed
        return 0
