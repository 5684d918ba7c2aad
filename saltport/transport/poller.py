"""A selector for asyncio's event loop that falls back from epoll to poll(2) when resources run out.

epoll_ctl(2) fails with ENOMEM or ENOSPC (`fs.epoll.max_user_watches`) when the kernel can't register one more
descriptor, and epoll_create(2) with EMFILE, ENFILE or ENOMEM. Neither is a fault of the descriptor. From then
on all descriptors are polled with poll(2), which needs no registration in the kernel, until an epoll with
every descriptor can be created again.
"""

from __future__ import annotations

import errno
import math
import select
import time
from collections.abc import Mapping
from selectors import EVENT_READ, EVENT_WRITE, BaseSelector, SelectorKey
from typing import Any, TypeAlias

FIRST_PAUSE_S, MAX_PAUSE_S = 0.01, 0.5
"""Pauses before epoll is tried again; they double, as each try registers every descriptor."""

_RESOURCE_ERRORS = frozenset({errno.ENOMEM, errno.ENOSPC, errno.EMFILE, errno.ENFILE})

FileObject: TypeAlias = Any
"""A descriptor, or an object with a `fileno` method."""


class Poller(BaseSelector):
    """A level-triggered selector, as asyncio expects it."""

    def __init__(self) -> None:
        self._keys: dict[int, SelectorKey] = {}
        self._epoll: select.epoll | None = None
        self._poll: select.poll | None = None
        """The fallback that is used while there is no epoll."""
        self._pause_s = 0.0
        self._next_epoll_at = 0.0
        self._use_epoll()

    @property
    def uses_epoll(self) -> bool:
        """Whether epoll is in use; False while poll(2) is used instead."""
        return self._epoll is not None

    def register(self, fileobj: FileObject, events: int, data: Any = None) -> SelectorKey:
        """Register a file object; raises OSError only for errors of the descriptor itself."""
        descriptor = _descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"{fileobj!r} is already registered")
        key = self._keys[descriptor] = SelectorKey(fileobj, descriptor, events, data)
        try:
            if self._epoll is not None:
                self._epoll.register(descriptor, epoll_events(events))
            elif self._poll is not None:
                self._poll.register(descriptor, epoll_events(events))
        except OSError as error:
            if error.errno not in _RESOURCE_ERRORS:
                del self._keys[descriptor]
                raise
            self._use_poll()
        return key

    def unregister(self, fileobj: FileObject) -> SelectorKey:
        """Unregister a file object and return its key."""
        key = self._keys.pop(_descriptor(fileobj))
        try:
            if self._epoll is not None:
                self._epoll.unregister(key.fd)
            elif self._poll is not None:
                self._poll.unregister(key.fd)
        except OSError as error:
            if error.errno in _RESOURCE_ERRORS:
                # Danger: if another process has a copy of the descriptor, epoll would report it indefinitely.
                self._use_poll()
        return key

    def modify(self, fileobj: FileObject, events: int, data: Any = None) -> SelectorKey:
        """Change the events or the data of a registered file object, and return its new key."""
        descriptor = _descriptor(fileobj)
        previous = self._keys[descriptor]
        key = self._keys[descriptor] = SelectorKey(fileobj, descriptor, events, data)
        if events != previous.events:
            try:
                if self._epoll is not None:
                    self._epoll.modify(descriptor, epoll_events(events))
                elif self._poll is not None:
                    self._poll.modify(descriptor, epoll_events(events))
            except OSError as error:
                if error.errno not in _RESOURCE_ERRORS:
                    raise
                self._use_poll()
        return key

    def select(self, timeout: float | None = None) -> list[tuple[SelectorKey, int]]:
        """Return the keys that are ready with their events, after at most `timeout` seconds."""
        if self._epoll is None and time.monotonic() >= self._next_epoll_at:
            self._use_epoll()
        found = self._poll_events(timeout)
        ready = []
        keys = self._keys
        for descriptor, events in found:
            key = keys.get(descriptor)
            if key is not None:
                ready_events = (EVENT_WRITE if events & ~select.EPOLLIN else 0) | (
                    EVENT_READ if events & ~select.EPOLLOUT else 0
                )
                ready.append((key, ready_events & key.events))
        return ready

    def _poll_events(self, timeout: float | None) -> list[tuple[int, int]]:
        """Return descriptors with their events, from epoll or, while that lacks resources, from poll."""
        try:
            if self._epoll is not None:
                return self._epoll.poll(_timeout_ms(timeout) / 1000, max(len(self._keys), 1))
            assert self._poll is not None
            until_epoll_s = max(self._next_epoll_at - time.monotonic(), 0.0)
            return self._poll.poll(
                _timeout_ms(until_epoll_s if timeout is None else min(timeout, until_epoll_s))
            )
        except InterruptedError:
            return []
        except OSError as error:
            if error.errno != errno.ENOMEM:
                raise
            time.sleep(FIRST_PAUSE_S)  # the kernel lacks memory for poll as well
            return []

    def _use_epoll(self) -> None:
        """Create an epoll with all descriptors, or fall back to poll until the next try."""
        epoll = None
        try:
            epoll = select.epoll()
            for key in self._keys.values():
                epoll.register(key.fd, epoll_events(key.events))
        except OSError as error:
            if epoll is not None:
                epoll.close()
            if error.errno not in _RESOURCE_ERRORS:
                raise
            self._use_poll()
            return
        self._epoll, self._poll, self._pause_s = epoll, None, 0.0

    def _use_poll(self) -> None:
        """Replace epoll by poll for a pause that doubles at each failure of epoll."""
        if self._epoll is not None:
            self._epoll.close()
            self._epoll = None
        if self._poll is None:
            self._poll = select.poll()
            for key in self._keys.values():
                self._poll.register(key.fd, epoll_events(key.events))
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S) if self._pause_s else FIRST_PAUSE_S
        self._next_epoll_at = time.monotonic() + self._pause_s

    def get_map(self) -> Mapping[FileObject, SelectorKey]:
        """Return the keys by descriptor."""
        return self._keys

    def get_key(self, fileobj: FileObject) -> SelectorKey:
        """Return the key of a registered file object."""
        return self._keys[_descriptor(fileobj)]

    def close(self) -> None:
        """Close the epoll descriptor and drop all registrations."""
        if self._epoll is not None:
            self._epoll.close()
        self._keys.clear()


def _descriptor(fileobj: FileObject) -> int:
    return fileobj if isinstance(fileobj, int) else int(fileobj.fileno())


def epoll_events(events: int) -> int:
    """Return the epoll(7) event mask for a selector's events; poll(2) uses the same values."""
    return (select.EPOLLIN if events & EVENT_READ else 0) | (select.EPOLLOUT if events & EVENT_WRITE else 0)


def _timeout_ms(timeout: float | None) -> int:
    """Return whole milliseconds, rounded up so that a wait never ends early; -1 for no timeout."""
    if timeout is None:
        return -1
    return math.ceil(timeout * 1e3) if timeout > 0 else 0
