"""The link between a process and the one that takes its place: clients' connections go over it, whole.

The old process listens at a Unix socket in the folder that both share; the new one connects when it starts.
As long as the link stands both run, and each knows it. Messages keep their bounds (SOCK_SEQPACKET); one that
brings a connection carries its descriptor (SCM_RIGHTS) and what had been read of a command under way.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

NAME = "saltport.takeover"
MAX_PATH = 107  # bytes that the kernel takes
MAX_MESSAGE = 96 << 10
CONNECTION, LEARNT = b"C", b"L"

log = logging.getLogger("saltport")


class Takeover:
    """Both ends: towards the process before this one, and towards the one after it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        folder: Path,
        adopt: Callable[[socket.socket, bytes], None],
        changed: Callable[[], None],
        learnt: Callable[[], bytes],
    ) -> None:
        """`adopt` takes a connection that comes; `changed` is called when a link begins or ends.

        `learnt` words what the next process should know.
        """
        self._loop, self._path, self._adopt, self._changed = loop, folder / NAME, adopt, changed
        self._learnt = learnt
        self.inherited = b""
        """What the process before this one had learnt, once that is told."""
        self._before: socket.socket | None = None
        self._after: socket.socket | None = None
        self._listener: socket.socket | None = None

    @property
    def shared(self) -> bool:
        """Whether another process of this router runs, as far as known."""
        return self._before is not None or self._after is not None

    @property
    def replaced(self) -> bool:
        """Whether another process is there to take this one's place."""
        return self._after is not None

    def open(self) -> None:
        """Join the process that runs, if there is one, and stand where the next one will look."""
        if len(os.fsencode(self._path)) > MAX_PATH:
            log.warning("%s: too long a path; connections will not outlive this process", self._path)
            return
        link = _seqpacket()
        try:
            link.connect(str(self._path))
        except OSError:  # nobody is there, or has died
            link.close()
        else:
            self._before = link
            self._loop.add_reader(link.fileno(), self._receive)
            self._changed()
        listener = _seqpacket()
        name = f"{self._path}.{os.getpid()}"
        try:
            with suppress(FileNotFoundError):
                os.unlink(name)
            listener.bind(name)
            listener.listen(1)
            os.replace(name, self._path)
        except OSError as error:
            listener.close()
            log.warning(
                "%s: %s; connections will not outlive this process", self._path, error.strerror or error
            )
            return
        self._listener = listener
        self._loop.add_reader(listener.fileno(), self._accept)

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            link, _ = self._listener.accept()
        except OSError:
            return
        link.setblocking(False)
        if self._after is not None:
            # Danger: a process that died before it took over must not keep the next one out.
            self._end_after()
        self._after = link
        self._loop.add_reader(link.fileno(), self._look_after)
        message = LEARNT + self._learnt()
        if len(message) <= MAX_MESSAGE:
            with suppress(OSError):  # it may have gone already, and can do without
                link.send(message)
        self._changed()

    def _look_after(self) -> None:
        """The process after this one says nothing: its end is all there is to hear."""
        assert self._after is not None
        try:
            gone = not self._after.recv(1)
        except BlockingIOError:
            return
        except OSError:
            gone = True
        if gone:
            self._end_after()
            self._changed()

    def _end_after(self) -> None:
        assert self._after is not None
        self._drop(self._after)
        self._after = None

    def _drop(self, end: socket.socket) -> None:
        self._loop.remove_reader(end.fileno())
        end.close()

    def give(self, descriptor: int, pending: bytes) -> bool:
        """Give a connection away; False: not now, or to nobody. The caller has to close its own copy."""
        if self._after is None:
            return False
        try:
            socket.send_fds(self._after, [CONNECTION + pending], [descriptor])
        except OSError:  # its buffer is full, or it has gone, which the loop will hear
            return False
        return True

    def _receive(self) -> None:
        assert self._before is not None
        try:
            message, descriptors, _, _ = socket.recv_fds(self._before, MAX_MESSAGE, 1)
        except BlockingIOError:
            return
        except OSError:
            message, descriptors = b"", []
        if not message:
            self._drop(self._before)
            self._before = None
            self._changed()
            return
        if message[:1] == LEARNT:
            self.inherited = message[1:]
        for descriptor in descriptors:
            connection = socket.socket(fileno=descriptor)
            connection.setblocking(False)
            self._adopt(connection, message[len(CONNECTION) :])

    def close(self) -> None:
        """Leave; the place in the folder stays with whoever holds it now."""
        for end in (self._before, self._after, self._listener):
            if end is not None:
                self._drop(end)
        self._before = self._after = self._listener = None


def _seqpacket() -> socket.socket:
    end = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    end.setblocking(False)
    return end
