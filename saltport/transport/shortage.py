"""Errors by which the system tells that this machine is short of something, and nothing of anybody else."""

from __future__ import annotations

import errno

OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Of descriptors or memory: socket(2), bind(2), accept(2)."""
OF_DIALS = OF_RESOURCES | {errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.EAGAIN, errno.EINTR}
"""Of what a connection needs here, local ports among them: socket(2), connect(2)."""
