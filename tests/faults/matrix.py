"""Which calls a router makes, how each may fail, and the scenes in which that is played.

The errors are those that the call's manual page or POSIX names for something else than a mistake of the
caller's, and that say nothing of another machine; errors of a connection are played in test_system_calls.py,
those of accept and of dials at length in test_accept.py and test_dial.py.
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


OF_MEMORY = (errno.ENOBUFS, errno.ENOMEM)
OF_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
AT_ONCE = (errno.EINTR, errno.EAGAIN)

WHILE_RUNNING = (Scene.SERVICE, Scene.RELOAD, Scene.END, Scene.HAND_OVER)
ALWAYS = (Scene.START, *WHILE_RUNNING)

CALLS: dict[Call, tuple[tuple[int, ...], tuple[Scene, ...]]] = {
    Call.ACCEPT: ((*OF_DESCRIPTORS, *OF_MEMORY, errno.ECONNABORTED, *AT_ONCE), ALWAYS),
    Call.SOCKET: ((*OF_DESCRIPTORS, *OF_MEMORY), ALWAYS),
    Call.BIND: (OF_MEMORY, (Scene.START,)),
    Call.LISTEN: (OF_MEMORY, (Scene.START,)),
    Call.CONNECT: ((errno.EADDRNOTAVAIL, errno.ENOBUFS, *AT_ONCE), ALWAYS),
    Call.EPOLL_CREATE: ((*OF_DESCRIPTORS, errno.ENOMEM), (Scene.START,)),
    Call.EPOLL_CTL: ((errno.ENOMEM, errno.ENOSPC), ALWAYS),
    Call.POLL: ((errno.EINTR, errno.ENOMEM), ALWAYS),
    Call.READ: ((*AT_ONCE, *OF_MEMORY), ALWAYS),
    Call.WRITE: ((*AT_ONCE, *OF_MEMORY), ALWAYS),
    Call.GETSOCKOPT: (OF_MEMORY, ALWAYS),
    Call.SETSOCKOPT: (OF_MEMORY, ALWAYS),
    Call.GETSOCKNAME: ((errno.ENOBUFS,), ALWAYS),
    Call.GETPEERNAME: ((errno.ENOBUFS,), ALWAYS),
    Call.SHUTDOWN: ((errno.ENOBUFS, errno.ENOTCONN), WHILE_RUNNING),
    Call.DUP: (OF_DESCRIPTORS, (Scene.HAND_OVER,)),
    Call.OPEN: ((*OF_DESCRIPTORS, errno.ENOMEM, errno.EINTR), (Scene.RELOAD,)),
    Call.SENDMSG: ((*AT_ONCE, *OF_MEMORY, errno.ETOOMANYREFS), (Scene.HAND_OVER,)),
    Call.RECVMSG: ((*AT_ONCE, errno.ENOMEM), (Scene.HAND_OVER,)),
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
