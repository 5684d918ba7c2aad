"""The system calls of a router, the errors that each may return, and the scenes in which they are tested.

The errors are those in the manual page or POSIX that are neither a mistake of the caller nor a fault of
another machine. Errors of a connection are tested in test_system_calls.py, those of accept and of dials in
more detail in test_accept.py and test_dial.py.
"""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import Enum

from tests.faults.system_calls import Call


class Scene(Enum):
    """What a router does while its calls fail."""

    START = "start"
    SERVICE = "service"
    RELOAD = "reload"
    END = "end"
    HAND_OVER = "hand-over"


MEMORY_ERRORS = (errno.ENOBUFS, errno.ENOMEM)
DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)
RETRIED_AT_ONCE = (errno.EINTR, errno.EAGAIN)

WHILE_RUNNING = (Scene.SERVICE, Scene.RELOAD, Scene.END, Scene.HAND_OVER)
ALWAYS = (Scene.START, *WHILE_RUNNING)

CALLS: dict[Call, tuple[tuple[int, ...], tuple[Scene, ...]]] = {
    Call.ACCEPT: ((*DESCRIPTOR_ERRORS, *MEMORY_ERRORS, errno.ECONNABORTED, *RETRIED_AT_ONCE), ALWAYS),
    Call.SOCKET: ((*DESCRIPTOR_ERRORS, *MEMORY_ERRORS), ALWAYS),
    Call.BIND: (MEMORY_ERRORS, (Scene.START,)),
    Call.LISTEN: (MEMORY_ERRORS, (Scene.START,)),
    Call.CONNECT: ((errno.EADDRNOTAVAIL, errno.ENOBUFS, *RETRIED_AT_ONCE), ALWAYS),
    Call.EPOLL_CREATE: ((*DESCRIPTOR_ERRORS, errno.ENOMEM), (Scene.START,)),
    Call.EPOLL_CTL: ((errno.ENOMEM, errno.ENOSPC), ALWAYS),
    Call.POLL: ((errno.EINTR, errno.ENOMEM), ALWAYS),
    Call.READ: ((*RETRIED_AT_ONCE, *MEMORY_ERRORS), ALWAYS),
    Call.WRITE: ((*RETRIED_AT_ONCE, *MEMORY_ERRORS), ALWAYS),
    Call.GETSOCKOPT: (MEMORY_ERRORS, ALWAYS),
    Call.SETSOCKOPT: (MEMORY_ERRORS, ALWAYS),
    Call.GETSOCKNAME: ((errno.ENOBUFS,), ALWAYS),
    Call.GETPEERNAME: ((errno.ENOBUFS,), ALWAYS),
    Call.SHUTDOWN: ((errno.ENOBUFS, errno.ENOTCONN), WHILE_RUNNING),
    Call.DUP: (DESCRIPTOR_ERRORS, (Scene.HAND_OVER,)),
    Call.OPEN: ((*DESCRIPTOR_ERRORS, errno.ENOMEM, errno.EINTR), (Scene.RELOAD,)),
    Call.SENDMSG: ((*RETRIED_AT_ONCE, *MEMORY_ERRORS, errno.ETOOMANYREFS), (Scene.HAND_OVER,)),
    Call.RECVMSG: ((*RETRIED_AT_ONCE, errno.ENOMEM), (Scene.HAND_OVER,)),
}


@dataclass(frozen=True)
class Case:
    """One call that fails with one error in one scene."""

    scene: Scene
    call: Call
    number: int

    def __str__(self) -> str:
        return f"{self.scene.value}-{self.call.name.lower()}-{errno.errorcode[self.number]}"


CASES = [
    Case(scene, call, number)
    for call, (numbers, scenes) in CALLS.items()
    for scene in scenes
    for number in numbers
]
