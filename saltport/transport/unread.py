"""Counts the received bytes that wait unread in the kernel."""

from __future__ import annotations

import fcntl
import sys
import termios


def unread_bytes(descriptor: int) -> int:
    """Return the bytes in a socket's receive buffer; 0 if they can't be determined."""
    try:
        return int.from_bytes(fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4)), sys.byteorder)
    except (OSError, ValueError):  # ValueError: the socket is closed
        return 0
