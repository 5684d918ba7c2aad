"""What waits for a client that was written to, here and in the kernel."""

from __future__ import annotations

import fcntl
import sys
import termios

from saltport.transport.stream import TcpStream

STALL_S = 10.0  # in which a client must take something of what waits for it


def waiting_for(transport: TcpStream) -> int:
    """Bytes written to a client that it has not acknowledged."""
    return transport.get_write_buffer_size() + kept_by_kernel(transport.get_extra_info("socket").fileno())


def kept_by_kernel(descriptor: int) -> int:
    """Bytes written to a connection that its other side has not acknowledged; 0 where nobody can tell."""
    try:
        return int.from_bytes(fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except OSError:
        return 0
