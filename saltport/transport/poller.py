"""A selector for asyncio's loop that goes on where the kernel refuses to watch a descriptor.

epoll_ctl(2) fails with ENOMEM or ENOSPC (`fs.epoll.max_user_watches`) where the kernel can't keep one more
watch, and epoll_create(2) with EMFILE, ENFILE or ENOMEM. Neither says anything of the descriptor. From then
on all descriptors are asked with poll(2), which needs no watches, until an epoll with every watch could be
made again.
"""

from __future__ import annotations

import errno
import math
import select
import time
from collections.abc import Mapping
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector, SelectorKey
from typing import Any, TypeAlias

FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.01, 0.5
"""Before an epoll is made again: each time registers every descriptor."""

_OF_WATCHES = frozenset({errno.ENOMEM, errno.ENOSPC, errno.EMFILE, errno.ENFILE})

FileObject: TypeAlias = Any
"""A descriptor, or what has one: see selectors."""


class Poller(BaseSelector):
    """Level-triggered, as asyncio expects it."""

    def __init__(self) -> None:
        self._keys: dict[int, SelectorKey] = {}
        self._epoll: select.epoll | None = None
        self._poll: select.poll | None = None
        """Asked in place of the epoll while there is none."""
        self._pause_s = 0.0
        self._next_try = 0.0
        self._use_epoll()

    @property
    def watches(self) -> bool:
        """Whether the kernel keeps the watches; False: descriptors are asked one by one."""
        return self._epoll is not None

    def register(self, fileobj: FileObject, events: int, data: Any = None) -> SelectorKey:
        """See BaseSelector; raises OSError only for what the descriptor itself is to blame for."""
        descriptor = _descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"{fileobj!r} is registered already")
        key = self._keys[descriptor] = SelectorKey(fileobj, descriptor, events, data)
        try:
            if self._epoll is not None:
                self._epoll.register(descriptor, events_asked(events))
            elif self._poll is not None:
                self._poll.register(descriptor, events_asked(events))
        except OSError as error:
            if error.errno not in _OF_WATCHES:
                del self._keys[descriptor]
                raise
            self._use_poll()
        return key

    def unregister(self, fileobj: FileObject) -> SelectorKey:
        """See BaseSelector."""
        key = self._keys.pop(_descriptor(fileobj))
        try:
            if self._epoll is not None:
                self._epoll.unregister(key.fd)
            elif self._poll is not None:
                self._poll.unregister(key.fd)
        except OSError as error:
            if error.errno in _OF_WATCHES:
                # Danger: a copy of the descriptor in another process would keep the watch alive for good.
                self._use_poll()
        return key

    def modify(self, fileobj: FileObject, events: int, data: Any = None) -> SelectorKey:
        """See BaseSelector."""
        descriptor = _descriptor(fileobj)
        former = self._keys[descriptor]
        key = self._keys[descriptor] = SelectorKey(fileobj, descriptor, events, data)
        if events != former.events:
            try:
                if self._epoll is not None:
                    self._epoll.modify(descriptor, events_asked(events))
                elif self._poll is not None:
                    self._poll.modify(descriptor, events_asked(events))
            except OSError as error:
                if error.errno not in _OF_WATCHES:
                    raise
                self._use_poll()
        return key

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """See BaseSelector."""
        if self._epoll is None and time.monotonic() >= self._next_try:
            self._use_epoll()
        found = self._found(timeout)
        ready = []
        keys = self._keys
        for descriptor, events in found:
            key = keys.get(descriptor)
            if key is not None:
                happened = (EVENT_WRITE if events & ~select.EPOLLIN else 0) | (
                    EVENT_READ if events & ~select.EPOLLOUT else 0
                )
                ready.append((key, happened & key.events))
        return ready

    def _found(self, timeout: float | None) -> list[tuple[int, int]]:
        try:
            if self._epoll is not None:
                return self._epoll.poll(_whole_ms(timeout) / 1000, max(len(self._keys), 1))
            assert self._poll is not None
            until_try = max(self._next_try - time.monotonic(), 0.0)
            return self._poll.poll(_whole_ms(until_try if timeout is None else min(timeout, until_try)))
        except InterruptedError:
            return []
        except OSError as error:
            if error.errno != errno.ENOMEM:
                raise
            time.sleep(FIRST_PAUSE_S)  # not even poll has memory
            return []

    def _use_epoll(self) -> None:
        """Make an epoll with all watches, or try again later."""
        epoll = None
        try:
            epoll = select.epoll()
            for key in self._keys.values():
                epoll.register(key.fd, events_asked(key.events))
        except OSError as error:
            if epoll is not None:
                epoll.close()
            if error.errno not in _OF_WATCHES:
                raise
            self._use_poll()
            return
        self._epoll, self._poll, self._pause_s = epoll, None, 0.0

    def _use_poll(self) -> None:
        if self._epoll is not None:
            self._epoll.close()
            self._epoll = None
        if self._poll is None:
            self._poll = select.poll()
            for key in self._keys.values():
                self._poll.register(key.fd, events_asked(key.events))
        self._pause_s = min(self._pause_s * 2, LONGEST_PAUSE_S) if self._pause_s else FIRST_PAUSE_S
        self._next_try = time.monotonic() + self._pause_s

    def get_map(self) -> Mapping[FileObject, SelectorKey]:
        """The keys by descriptor."""
        return self._keys

    def get_key(self, fileobj: FileObject) -> SelectorKey:
        """See BaseSelector."""
        return self._keys[_descriptor(fileobj)]

    def close(self) -> None:
        """See BaseSelector."""
        if self._epoll is not None:
            self._epoll.close()
        self._keys.clear()


def _descriptor(fileobj: FileObject) -> int:
    return fileobj if isinstance(fileobj, int) else int(fileobj.fileno())


def events_asked(events: int) -> int:
    """The events of selectors in those of epoll(7), which are poll(2)'s too."""
    return (select.EPOLLIN if events & EVENT_READ else 0) | (select.EPOLLOUT if events & EVENT_WRITE else 0)


def _whole_ms(timeout: float | None) -> int:
    """Milliseconds, rounded up, as a wait that is too short would be made again at once; -1: no end."""
    if timeout is None:
        return -1
    return math.ceil(timeout * 1e3) if timeout > 0 else 0
