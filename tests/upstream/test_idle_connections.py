"""When an idle connection may carry its next exchange, and which of several is taken."""

from __future__ import annotations

from dataclasses import dataclass

from saltport.messages import Request
from saltport.transport.settling import SETTLING_TIME_S
from saltport.upstream.idle_connections import IdleConnections


@dataclass(eq=False)
class Used:
    """A connection that has carried an exchange."""

    used_before: bool = True
    idle_since: float = 0.0
    settled_at: float = 0.0
    recognizes: bool = False

    def recognizes_copy(self, request: Request) -> bool:
        return self.recognizes


def test_used_connection_is_taken_only_once_it_has_settled() -> None:
    idle: IdleConnections[Used] = IdleConnections()
    used = Used()
    idle.add(used, 1.0)
    assert idle.next_settled_at == 1.0 + SETTLING_TIME_S
    assert idle.take_settled(1.0) is None
    assert idle.take_settled(idle.next_settled_at - 1e-6) is None
    assert idle.take_settled(idle.next_settled_at) is used
    assert not idle


def test_connection_that_has_carried_nothing_is_taken_at_once() -> None:
    idle: IdleConnections[Used] = IdleConnections()
    settling, fresh = Used(), Used(used_before=False)
    idle.add(fresh, 1.0)
    idle.add(settling, 1.0)
    assert idle.next_settled_at == 1.0
    assert idle.take_settled(1.0) is fresh
    assert list(idle) == [settling]


def test_settled_connection_that_was_used_last_is_taken_first() -> None:
    idle: IdleConnections[Used] = IdleConnections()
    oldest, newer, settling = Used(), Used(), Used()
    idle.add(oldest, 1.0)
    idle.add(newer, 2.0)
    idle.add(settling, 3.0)
    assert idle.longest_idle is oldest
    assert idle.take_settled(3.0) is newer
    idle.put_back(newer)
    assert list(idle) == [oldest, newer, settling]
    assert idle.take_settled(3.0) is newer
    assert idle.take_settled(3.0) is oldest
    assert idle.take_settled(3.0) is None


def test_removed_connections_are_not_taken() -> None:
    idle: IdleConnections[Used] = IdleConnections()
    assert idle.longest_idle is None
    assert idle.next_settled_at == float("inf")
    first, second, third = Used(), Used(), Used()
    for connection in (first, second, third):
        idle.add(connection, 1.0)
    idle.remove(second)
    idle.remove(second)
    assert idle.remove_all() == [first, third]
    assert idle.take_settled(9.0) is None


def test_connection_that_recognizes_a_copy_is_taken_before_it_has_settled() -> None:
    request = Request(b"r", b"k", "get", "acme", 5000, None, False, b"c=get,t=acme,d=5000")
    idle: IdleConnections[Used] = IdleConnections()
    connections = [Used(recognizes=recognizes) for recognizes in (True, True, False)]
    for connection in connections:
        idle.add(connection, 1.0)
    assert idle.take_recognizing(request) is connections[1]
    assert idle.take_recognizing(request) is connections[0]
    assert idle.take_recognizing(request) is None
