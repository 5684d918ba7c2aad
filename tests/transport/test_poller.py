"""The poller on real descriptors, with failing epoll calls: no event is missed, no registration is lost."""

from __future__ import annotations

import errno
import os
import select
import socket
import time
from collections.abc import Iterator
from selectors import EVENT_READ, EVENT_WRITE
from typing import Any

import pytest

from saltport.transport.poller import Poller

PATIENCE_S = 10.0
REFUSALS = (errno.ENOMEM, errno.ENOSPC)


class Refusals:
    """Lets the next epoll calls of one kind fail."""

    def __init__(self, real: Any) -> None:
        self.real = real
        self.left = {"create": 0, "register": 0, "modify": 0, "unregister": 0}
        self.number = errno.ENOMEM

    def check(self, call: str) -> None:
        if self.left[call]:
            self.left[call] -= 1
            raise OSError(self.number, os.strerror(self.number))

    def epoll(self) -> Any:
        self.check("create")
        return RefusingEpoll(self, self.real())


class RefusingEpoll:
    def __init__(self, refusals: Refusals, epoll: Any) -> None:
        self._refusals, self._epoll = refusals, epoll

    def register(self, *arguments: int) -> None:
        self._refusals.check("register")
        self._epoll.register(*arguments)

    def modify(self, *arguments: int) -> None:
        self._refusals.check("modify")
        self._epoll.modify(*arguments)

    def unregister(self, *arguments: int) -> None:
        self._refusals.check("unregister")
        self._epoll.unregister(*arguments)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._epoll, name)


@pytest.fixture
def refusals(monkeypatch: pytest.MonkeyPatch) -> Refusals:
    refusals = Refusals(select.epoll)
    monkeypatch.setattr(select, "epoll", refusals.epoll)
    return refusals


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


def ready(poller: Poller, timeout: float = 0.0) -> list[tuple[int, int]]:
    return [(key.fd, events) for key, events in poller.select(timeout)]


@pytest.mark.parametrize("number", REFUSALS)
def test_descriptor_that_can_not_be_registered_is_polled(
    refusals: Refusals, pair: tuple[socket.socket, socket.socket], number: int
) -> None:
    poller, (ours, theirs) = Poller(), pair
    refusals.number, refusals.left["register"] = number, 1
    poller.register(ours, EVENT_READ)
    assert not poller.uses_epoll
    assert ready(poller) == []
    theirs.send(b"x")
    assert ready(poller, 1.0) == [(ours.fileno(), EVENT_READ)]


def test_poller_returns_to_epoll_with_every_descriptor(
    refusals: Refusals, pair: tuple[socket.socket, socket.socket]
) -> None:
    poller, (ours, theirs) = Poller(), pair
    refusals.left["register"] = 2  # the first call, and the first try to return to epoll
    poller.register(ours, EVENT_READ)
    poller.register(theirs, EVENT_WRITE)
    end = time.monotonic() + PATIENCE_S
    while not poller.uses_epoll and time.monotonic() < end:
        assert ready(poller, 0.01) == [(theirs.fileno(), EVENT_WRITE)]
    assert poller.uses_epoll
    ours.send(b"x")
    poller.modify(theirs, EVENT_READ)
    assert ready(poller) == [(theirs.fileno(), EVENT_READ)]


@pytest.mark.parametrize("call", ["modify", "unregister"])
def test_failed_change_of_a_registration_reports_no_unregistered_event(
    refusals: Refusals, pair: tuple[socket.socket, socket.socket], call: str
) -> None:
    poller, (ours, _) = Poller(), pair
    poller.register(ours, EVENT_READ | EVENT_WRITE, "what it is")
    assert ready(poller) == [(ours.fileno(), EVENT_WRITE)]
    refusals.left[call] = 1
    if call == "modify":
        poller.modify(ours, EVENT_READ, "what it is")
        assert poller.get_key(ours).data == "what it is"
    else:
        poller.unregister(ours)
    assert ready(poller) == [], "an event that is not registered would make the loop spin"
    for _ in range(100):
        assert ready(poller, 0.005) == []
        if poller.uses_epoll:
            break
    assert poller.uses_epoll
    assert ready(poller) == []


def test_registration_does_not_outlive_its_descriptor_in_another_process(
    refusals: Refusals, pair: tuple[socket.socket, socket.socket]
) -> None:
    """epoll keeps a registration while any copy of the descriptor is open; the hand-over makes copies."""
    poller, (ours, theirs) = Poller(), pair
    poller.register(ours, EVENT_READ)
    copy = os.dup(ours.fileno())
    refusals.left["unregister"] = 1
    poller.unregister(ours)
    ours.close()
    theirs.send(b"x")
    for _ in range(20):
        assert ready(poller, 0.005) == []
    os.close(copy)


def test_poller_starts_without_epoll(refusals: Refusals, pair: tuple[socket.socket, socket.socket]) -> None:
    refusals.left["create"], refusals.number = 1, errno.ENFILE
    poller, (ours, theirs) = Poller(), pair
    assert not poller.uses_epoll
    poller.register(ours, EVENT_READ)
    theirs.send(b"x")
    assert ready(poller, 1.0) == [(ours.fileno(), EVENT_READ)]


def test_errors_of_the_descriptor_are_raised(pair: tuple[socket.socket, socket.socket]) -> None:
    poller, (ours, _) = Poller(), pair
    poller.register(ours, EVENT_READ)
    with pytest.raises(KeyError):
        poller.register(ours, EVENT_READ)
    poller.unregister(ours)
    with pytest.raises(KeyError):
        poller.unregister(ours)
    with pytest.raises(OSError, match="Bad file descriptor"):
        poller.register(1_000_000, EVENT_READ)
    assert 1_000_000 not in poller.get_map()
